// Package load asks a director for more than it may be able to answer, by a script: arrivals come by themselves and wait for
// no answer, and an answer's time counts from when its request should have gone out, so that a director that stalls is not
// asked less and does not look better for it. Floods ask as fast as answers come, to find out how much that is; waits hold a poll
// for each proxy and time how long a change takes to reach it.
package load

import (
	"net/url"
	"strings"
	"time"

	"vetchwood/internal/settings"
)

// Kind of request.
type Kind string

const (
	InitialPolls Kind = "new"     // polls of proxies that hold nothing
	Polls        Kind = "polls"   // polls that acknowledge what was told last
	Reports      Kind = "reports" // sums, of proxies that have polled
	PendingPolls Kind = "waits"   // polls that wait for a change, one for each proxy at a time
)

// Step is a stretch of the script.
type Step struct {
	Name             string
	Kind             Kind
	Rate             float64 // requests a second
	Burst            int     // requests at once, at the step's start
	Flood            int     // requests in hand on each connection, without end
	Proxies          int     // that the requests are of, in turn
	Connections      int
	OnePerConnection bool // one request in hand on each connection, as a proxy has; what finds its connection busy has failed
	Duration         time.Duration
}

// Script is what is asked of whom.
type Script struct {
	Director   string // host:port
	NameFormat string // of proxies; %d is the number
	Zone       string
	TimeLimit  time.Duration
	PID        int // of the director, to tell what it costs; 0: not told
	Steps      []Step
}

// Read reads a script; all its faults are told at once.
func Read(path string, text []byte) (*Script, error) {
	top, err := settings.Open(path, text)
	if err != nil {
		return nil, err
	}
	top.Name = "the file"
	s := &Script{}
	r := top.One("load", true)
	if u, err := url.Parse(r.Text("director", settings.Needed)); err != nil || u.Scheme != "http" || u.Port() == "" {
		r.Fail("director", "is no http URL with a port")
	} else {
		s.Director = u.Host
	}
	if s.NameFormat = r.Text("names", "relay-%d"); strings.Count(s.NameFormat, "%d") != 1 {
		r.Fail("names", "%q does not have one %%d", s.NameFormat)
	}
	s.Zone = r.Text("zone", "")
	s.TimeLimit = r.Span("time_limit", 5*time.Second, time.Millisecond, time.Minute)
	s.PID = r.Whole("pid", 0, 0, 1<<30)
	r.Done()
	steps, names := top.Blocks("step", 1, 1, 1000)
	for i, in := range steps {
		st := Step{Name: names[i], Kind: Kind(in.Text("kind", settings.Needed, string(InitialPolls), string(Polls), string(Reports), string(PendingPolls))),
			Rate: in.Number("rate", 0, 0, 1e6), Burst: in.Whole("storm", 0, 0, 1e6), Flood: in.Whole("flood", 0, 0, 1000),
			Proxies: in.Whole("proxies", 100, 1, 1e6), Duration: in.Span("for", -1, time.Second, time.Hour)}
		st.Connections = in.Whole("connections", min(st.Proxies, 4096), 1, 60000)
		st.OnePerConnection = in.Truth("alone", false)
		ways := 0
		for _, set := range []bool{st.Rate > 0 || st.Burst > 0, st.Flood > 0, st.Kind == PendingPolls} {
			if set {
				ways++
			}
		}
		switch {
		case ways != 1:
			in.Fail("", "a step needs a rate or a storm, or a flood, or kind = \"waits\", and no two of these")
		case st.Kind == PendingPolls && st.Connections != st.Proxies:
			st.Connections = st.Proxies // a poll that waits holds its connection
		}
		in.Done()
		s.Steps = append(s.Steps, st)
	}
	top.Done()
	return s, top.Err()
}
