// Package load generates load for a director by a script, up to more than it can serve. Arrivals are independent of
// the responses, and the latency of a request counts from when it was due: a director that stalls does not get fewer
// requests and does not look better for it. Floods send as fast as responses come, to measure the capacity. Pending
// polls keep a poll open for each proxy and measure how long a change takes to reach it.
package load

import (
	"net/url"
	"strings"
	"time"

	"vetchwood/internal/settings"
)

// Kind is a kind of request.
type Kind string

// The kinds of requests.
const (
	InitialPolls Kind = "new"     // polls of proxies without tables
	Polls        Kind = "polls"   // polls that acknowledge the last tables received
	Reports      Kind = "reports" // load reports of proxies that have polled
	PendingPolls Kind = "waits"   // polls that wait for a change, one per proxy at a time
)

// Step is a step of a script.
type Step struct {
	Name             string
	Kind             Kind
	Rate             float64 // requests per second
	Burst            int     // requests sent at once at the start of the step
	Flood            int     // requests in flight on each connection, renewed during the whole step
	Proxies          int     // number of proxies, which the requests come from in turn
	Connections      int
	OnePerConnection bool // one request in flight per connection, as a proxy has; further ones fail
	Duration         time.Duration
}

// Script holds the director to load and the steps of the load.
type Script struct {
	Director   string // host:port
	NameFormat string // of proxies' names, with a %d for the number
	Zone       string
	TimeLimit  time.Duration // for a response
	PID        int           // of the director, to measure its CPU time and memory; 0: not measured
	Steps      []Step
}

// Read reads a script from text or, if that is nil, from the file at path. The error lists all errors in the script.
func Read(path string, text []byte) (*Script, error) {
	top, err := settings.Open(path, text)
	if err != nil {
		return nil, err
	}
	top.Name = "the file"
	s := &Script{}
	r := top.Block("load", true)
	if u, err := url.Parse(r.String("director", settings.Required)); err != nil || u.Scheme != "http" || u.Port() == "" {
		r.Fail("director", "must be an http URL with a port")
	} else {
		s.Director = u.Host
	}
	if s.NameFormat = r.String("names", "relay-%d"); strings.Count(s.NameFormat, "%d") != 1 {
		r.Fail("names", "%q must contain %%d exactly once", s.NameFormat)
	}
	s.Zone = r.String("zone", "")
	s.TimeLimit = r.Duration("time_limit", 5*time.Second, time.Millisecond, time.Minute)
	s.PID = r.Int("pid", 0, 0, 1<<30)
	r.RejectUnknown()
	steps, names := top.Blocks("step", 1, 1, 1000)
	for i, in := range steps {
		st := Step{Name: names[i], Kind: Kind(in.String("kind", settings.Required, string(InitialPolls), string(Polls), string(Reports),
			string(PendingPolls))),
			Rate: in.Number("rate", 0, 0, 1e6), Burst: in.Int("storm", 0, 0, 1e6), Flood: in.Int("flood", 0, 0, 1000),
			Proxies: in.Int("proxies", 100, 1, 1e6), Duration: in.Duration("for", -1, time.Second, time.Hour)}
		st.Connections = in.Int("connections", min(st.Proxies, 4096), 1, 60000)
		st.OnePerConnection = in.Bool("alone", false)
		modes := 0
		for _, set := range []bool{st.Rate > 0 || st.Burst > 0, st.Flood > 0, st.Kind == PendingPolls} {
			if set {
				modes++
			}
		}
		switch {
		case modes != 1:
			in.Fail("", "a step needs exactly one of: rate or storm; flood; kind = \"waits\"")
		case st.Kind == PendingPolls && st.Connections != st.Proxies:
			st.Connections = st.Proxies // a pending poll occupies its connection
		}
		in.RejectUnknown()
		s.Steps = append(s.Steps, st)
	}
	top.RejectUnknown()
	return s, top.Err()
}
