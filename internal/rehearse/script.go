// Package rehearse starts directors, proxies and simulated hosts on the local machine, plays a scripted day of load and
// faults over real sockets, and checks the rules of package verdict against the traffic recorded there.
package rehearse

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"time"

	"vetchwood/internal/load"
	"vetchwood/internal/settings"
)

//go:embed days
var days embed.FS

// Script is a parsed day: the environment to start, its load and its faults.
type Script struct {
	Length        time.Duration // 0: runs until a signal
	Director      string        // template of the directors' settings file
	Listen, Admin string
	Fleet         Fleet
	Load          Load
	Routes        []RouteLoad
	Faults        []Fault
}

// Fleet describes the processes and stand-ins to start.
type Fleet struct {
	Hosts, Cores, Queue, PerCell, Proxies int
	Directors                             int
	LearnFromPeers                        bool   // a starting director asks its peers for their state
	SimulatedProxies                      int    // proxies simulated by storms; they poll but forward no calls
	Front                                 string // poll, mqtt, or mixed, where every other proxy uses mqtt
	ListDelay                             time.Duration
}

// Load describes the calls that clients send to the proxies in total.
type Load struct {
	InitialRate, PeakRate float64 // calls per second
	RampDuration          time.Duration
	Keys                  int
}

// RouteLoad is one route's share of the load.
type RouteLoad struct {
	Name  string
	Share float64
	Work  time.Duration
}

// Fault is a scripted fault, operation or storm. Which of its fields apply depends on the kind; see faultParams.
type Fault struct {
	Kind                  string
	At, Duration, Drain   time.Duration
	Hosts, Proxies, Batch int
	Director              int // number of the director, from 1
	SlowFactor            float64
	LossProbability       float64
	StormKind             load.Kind // kind of request in a storm
	Rate                  float64   // requests per second
	Burst                 int       // requests sent at once when the storm starts
}

// faultParams lists the kinds of faults and the parameters of each. "several" is no parameter: it requires a fleet of
// several directors.
var faultParams = map[string][]string{
	"die":             {"hosts", "last"},
	"silent":          {"hosts", "last"},
	"hang":            {"hosts", "last"},
	"slow":            {"hosts", "last", "times"},
	"lose_answers":    {"hosts", "last", "part"},
	"deploy":          {"hosts", "batch", "drain"},
	"list_wrong":      {"hosts", "last"},
	"list_empty":      {"last"},
	"list_away":       {"last"},
	"kill_director":   {"last", "director"},
	"stop_director":   {"last", "director"},
	"pause_director":  {"last", "director"},
	"cut_director":    {"last", "director", "several"},
	"lossy_director":  {"last", "part", "director", "several"},
	"flap_leases":     {"last", "director", "several"},
	"cut_peer":        {"last", "director", "several"},
	"leases_away":     {"last", "several"},
	"restart_proxies": {"proxies", "last"},
	"stale_proxies":   {"proxies", "last"},
	"storm":           {"last", "storm"},
	"rollback":        {},
	"release":         {},
}

// LoadScript parses the built-in day of that name or, if there is none, the script file at that path.
func LoadScript(name string) (*Script, error) {
	text, err := days.ReadFile("days/" + name + ".hcl")
	dir, file := "", name+".hcl"
	if errors.Is(err, fs.ErrNotExist) {
		dir, file = filepath.Dir(name), name
		if text, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("day %q is neither built in nor a readable file: %w", name, err)
		}
	}
	if err != nil {
		return nil, err
	}
	return parseScript(file, text, dir)
}

// parseScript parses a script. A settings file of the directors in dir, if dir is not empty, takes precedence over the
// built-in one of the same name.
func parseScript(file string, text []byte, dir string) (*Script, error) {
	top, err := settings.Open(file, text)
	if err != nil {
		return nil, err
	}
	top.Name = "the file"
	s := &Script{}
	r := top.Block("day", true)
	s.Length = r.Duration("length", -1, 0, 24*time.Hour)
	s.Listen, s.Admin = r.String("listen", "127.0.0.1:0"), r.String("admin", "127.0.0.1:0")
	if name := r.String("director", settings.Required); name != "" {
		text, err := days.ReadFile("days/" + name)
		if dir != "" {
			if own, failed := os.ReadFile(filepath.Join(dir, name)); failed == nil {
				text, err = own, nil
			}
		}
		if s.Director = string(text); err != nil {
			r.Fail("director", "no such file: %s", name)
		}
	}
	f := r.Block("fleet", true)
	s.Fleet = Fleet{Hosts: f.Int("hosts", 0, 1, 1000), Cores: f.Int("cores", 4, 1, 64), Queue: f.Int("queue", 16, 0, 10000),
		PerCell: f.Int("per_cell", 2, 1, 100), Proxies: f.Int("proxies", 0, 1, 5000),
		Directors: f.Int("directors", 1, 1, 5), LearnFromPeers: f.Bool("learn", true),
		SimulatedProxies: f.Int("phantoms", 0, 0, 20000), Front: f.String("front", "poll", "poll", "mqtt", "mixed"), ListDelay: f.Duration("list_delay", 0, 0, time.Minute)}
	f.RejectUnknown()
	l := r.Block("load", true)
	s.Load = Load{InitialRate: l.Number("calls_per_second", 0, 0, 1e5), PeakRate: l.Number("peak", 0, 0, 1e5),
		RampDuration: l.Duration("rise_over", time.Second, time.Millisecond, time.Hour), Keys: l.Int("keys", 1000, 1, 1e7)}
	l.RejectUnknown()
	share := 0.0
	routes, names := r.Blocks("route", 1, 1, 63)
	for i, in := range routes {
		s.Routes = append(s.Routes, RouteLoad{Name: names[i], Share: in.Number("share", 0, 0, 1),
			Work: in.Duration("work", -1, time.Millisecond, time.Minute)})
		share += s.Routes[i].Share
		in.RejectUnknown()
	}
	if share < 0.999 || share > 1.001 {
		r.Fail("", "the shares of the routes add up to %.3f instead of 1", share)
	}
	faults, names := r.RepeatableBlocks("trouble")
	for i, in := range faults {
		t := Fault{Kind: names[i], At: in.Duration("at", -1, 0, 24*time.Hour)}
		needs, known := faultParams[t.Kind]
		if !known {
			in.Fail("", "unknown kind of trouble %q", t.Kind)
		}
		for _, need := range needs {
			switch need {
			case "hosts":
				t.Hosts = in.Int("hosts", 0, 1, s.Fleet.Hosts)
			case "proxies":
				t.Proxies = in.Int("proxies", 0, 1, s.Fleet.Proxies)
			case "batch":
				t.Batch = in.Int("batch", 0, 1, s.Fleet.Hosts)
			case "director":
				t.Director = in.Int("director", 1, 1, s.Fleet.Directors)
			case "several":
				if s.Fleet.Directors < 2 {
					in.Fail("", "needs a fleet with at least 2 directors")
				}
			case "last":
				t.Duration = in.Duration("last", -1, time.Millisecond, time.Hour)
			case "drain":
				t.Drain = in.Duration("drain", -1, time.Millisecond, time.Hour)
			case "times":
				t.SlowFactor = in.Number("times", 2, 1, 100)
			case "storm":
				t.StormKind = load.Kind(in.String("ask", settings.Required, string(load.InitialPolls), string(load.Polls), string(load.Reports)))
				t.Rate, t.Burst = in.Number("rate", math.NaN(), 1, 1e6), in.Int("burst", 0, 0, 1e5)
				if s.Fleet.SimulatedProxies == 0 {
					in.Fail("", "needs a fleet with phantoms")
				}
			case "part":
				t.LossProbability = in.Number("part", 0.2, 0, 1)
			}
		}
		if s.Length > 0 && t.At >= s.Length {
			in.Fail("at", "%v is past the end of the day at %v", t.At, s.Length)
		}
		in.RejectUnknown()
		s.Faults = append(s.Faults, t)
	}
	r.RejectUnknown()
	top.RejectUnknown()
	return s, top.Err()
}
