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
	New     Kind = "new"     // polls of proxies that hold nothing
	Polls   Kind = "polls"   // polls that acknowledge what was told last
	Reports Kind = "reports" // sums, of proxies that have polled
	Waits   Kind = "waits"   // polls that wait for a change, one for each proxy at a time
)

// Step is a stretch of the script.
type Step struct {
	Name        string
	Kind        Kind
	Rate        float64 // requests a second
	Storm       int     // requests at once, at the step's start
	Flood       int     // requests in hand on each connection, without end
	Proxies     int     // that the requests are of, in turn
	Connections int
	Alone       bool // one request in hand on each connection, as a proxy has; what finds its connection busy has failed
	For         time.Duration
}

// Script is what is asked of whom.
type Script struct {
	Director string // host:port
	Names    string // of proxies; %d is the number
	Zone     string
	Limit    time.Duration
	PID      int // of the director, to tell what it costs; 0: not told
	Steps    []Step
}

// Read reads a script; all its faults are told at once.
func Read(path string, text []byte) (*Script, error) {
	top, err := settings.Open(path, text)
	if err != nil {
		return nil, err
	}
	top.Name = "the file"
	s := &Script{}
	r := top.Block("load", true)
	if u, err := url.Parse(r.String("director", settings.Required)); err != nil || u.Scheme != "http" || u.Port() == "" {
		r.Fail("director", "is no http URL with a port")
	} else {
		s.Director = u.Host
	}
	if s.Names = r.String("names", "relay-%d"); strings.Count(s.Names, "%d") != 1 {
		r.Fail("names", "%q does not have one %%d", s.Names)
	}
	s.Zone = r.String("zone", "")
	s.Limit = r.Duration("time_limit", 5*time.Second, time.Millisecond, time.Minute)
	s.PID = r.Int("pid", 0, 0, 1<<30)
	r.RejectUnknown()
	steps, names := top.Blocks("step", 1, 1, 1000)
	for i, in := range steps {
		st := Step{Name: names[i], Kind: Kind(in.String("kind", settings.Required, string(New), string(Polls), string(Reports), string(Waits))),
			Rate: in.Number("rate", 0, 0, 1e6), Storm: in.Int("storm", 0, 0, 1e6), Flood: in.Int("flood", 0, 0, 1000),
			Proxies: in.Int("proxies", 100, 1, 1e6), For: in.Duration("for", -1, time.Second, time.Hour)}
		st.Connections = in.Int("connections", min(st.Proxies, 4096), 1, 60000)
		st.Alone = in.Bool("alone", false)
		ways := 0
		for _, set := range []bool{st.Rate > 0 || st.Storm > 0, st.Flood > 0, st.Kind == Waits} {
			if set {
				ways++
			}
		}
		switch {
		case ways != 1:
			in.Fail("", "a step needs a rate or a storm, or a flood, or kind = \"waits\", and no two of these")
		case st.Kind == Waits && st.Connections != st.Proxies:
			st.Connections = st.Proxies // a poll that waits holds its connection
		}
		in.RejectUnknown()
		s.Steps = append(s.Steps, st)
	}
	top.RejectUnknown()
	return s, top.Err()
}
