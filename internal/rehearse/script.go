// Package rehearse raises a director and stand-ins on this machine, plays a scripted day on real sockets, and
// has the five rules judged from what was seen there.
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

// Script is a day as it is written down.
type Script struct {
	Length        time.Duration // 0: until a signal
	Director      string        // text of the director's settings, a template
	Listen, Admin string
	Fleet         Fleet
	Load          Load
	Routes        []RouteLoad
	Faults        []Fault
}

// Fleet is what is raised.
type Fleet struct {
	Hosts, Cores, Queue, PerCell, Proxies int
	Directors                             int
	LearnFromPeers                        bool   // a director that starts asks the others
	SimulatedProxies                      int    // proxies that storms make up; they poll and carry nothing
	Front                                 string // poll, mqtt or mixed: every other proxy
	ListDelay                             time.Duration
}

// Load is what callers ask for.
type Load struct {
	InitialRate, PeakRate float64 // calls a second
	RampDuration          time.Duration
	Keys                  int
}

// RouteLoad is a route's part of it.
type RouteLoad struct {
	Name  string
	Share float64
	Work  time.Duration
}

// Trouble is one, by its kind.
type Fault struct {
	Kind                  string
	At, Duration, Drain   time.Duration
	Hosts, Proxies, Batch int
	Director              int // which, from 1
	SlowFactor            float64
	LossProbability       float64
	StormKind             load.Kind // what a storm asks
	Rate                  float64   // requests a second
	Burst                 int       // at once, as it begins
}

// kinds of trouble and what each needs.
var kinds = map[string][]string{
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

// Find reads a day that comes with the program, or a file.
func LoadScript(name string) (*Script, error) {
	text, err := days.ReadFile("days/" + name + ".hcl")
	dir, file := "", name+".hcl"
	if errors.Is(err, fs.ErrNotExist) {
		dir, file = filepath.Dir(name), name
		if text, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("no day %q comes with the program, and: %w", name, err)
		}
	}
	if err != nil {
		return nil, err
	}
	return read(file, text, dir)
}

func read(file string, text []byte, dir string) (*Script, error) {
	top, err := settings.Open(file, text)
	if err != nil {
		return nil, err
	}
	top.Name = "the file"
	s := &Script{}
	r := top.One("day", true)
	s.Length = r.Span("length", -1, 0, 24*time.Hour)
	s.Listen, s.Admin = r.Text("listen", "127.0.0.1:0"), r.Text("admin", "127.0.0.1:0")
	if name := r.Text("director", settings.Needed); name != "" {
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
	f := r.One("fleet", true)
	s.Fleet = Fleet{Hosts: f.Whole("hosts", 0, 1, 1000), Cores: f.Whole("cores", 4, 1, 64), Queue: f.Whole("queue", 16, 0, 10000),
		PerCell: f.Whole("per_cell", 2, 1, 100), Proxies: f.Whole("proxies", 0, 1, 5000),
		Directors: f.Whole("directors", 1, 1, 5), LearnFromPeers: f.Truth("learn", true),
		SimulatedProxies: f.Whole("phantoms", 0, 0, 20000), Front: f.Text("front", "poll", "poll", "mqtt", "mixed"), ListDelay: f.Span("list_delay", 0, 0, time.Minute)}
	f.Done()
	l := r.One("load", true)
	s.Load = Load{InitialRate: l.Number("calls_per_second", 0, 0, 1e5), PeakRate: l.Number("peak", 0, 0, 1e5),
		RampDuration: l.Span("rise_over", time.Second, time.Millisecond, time.Hour), Keys: l.Whole("keys", 1000, 1, 1e7)}
	l.Done()
	share := 0.0
	routes, names := r.Blocks("route", 1, 1, 63)
	for i, in := range routes {
		s.Routes = append(s.Routes, RouteLoad{Name: names[i], Share: in.Number("share", 0, 0, 1),
			Work: in.Span("work", -1, time.Millisecond, time.Minute)})
		share += s.Routes[i].Share
		in.Done()
	}
	if share < 0.999 || share > 1.001 {
		r.Fail("", "the shares of the routes add up to %.3f, not to 1", share)
	}
	troubles, names := r.Repeated("trouble")
	for i, in := range troubles {
		t := Fault{Kind: names[i], At: in.Span("at", -1, 0, 24*time.Hour)}
		needs, known := kinds[t.Kind]
		if !known {
			in.Fail("", "no trouble is called %q", t.Kind)
		}
		for _, need := range needs {
			switch need {
			case "hosts":
				t.Hosts = in.Whole("hosts", 0, 1, s.Fleet.Hosts)
			case "proxies":
				t.Proxies = in.Whole("proxies", 0, 1, s.Fleet.Proxies)
			case "batch":
				t.Batch = in.Whole("batch", 0, 1, s.Fleet.Hosts)
			case "director":
				t.Director = in.Whole("director", 1, 1, s.Fleet.Directors)
			case "several":
				if s.Fleet.Directors < 2 {
					in.Fail("", "takes a fleet with several directors")
				}
			case "last":
				t.Duration = in.Span("last", -1, time.Millisecond, time.Hour)
			case "drain":
				t.Drain = in.Span("drain", -1, time.Millisecond, time.Hour)
			case "times":
				t.SlowFactor = in.Number("times", 2, 1, 100)
			case "storm":
				t.StormKind = load.Kind(in.Text("ask", settings.Needed, string(load.New), string(load.Polls), string(load.Reports)))
				t.Rate, t.Burst = in.Number("rate", math.NaN(), 1, 1e6), in.Whole("burst", 0, 0, 1e5)
				if s.Fleet.SimulatedProxies == 0 {
					in.Fail("", "takes a fleet with phantoms")
				}
			case "part":
				t.LossProbability = in.Number("part", 0.2, 0, 1)
			}
		}
		if s.Length > 0 && t.At >= s.Length {
			in.Fail("at", "%v is past the end of the day, %v", t.At, s.Length)
		}
		in.Done()
		s.Faults = append(s.Faults, t)
	}
	r.Done()
	top.Done()
	return s, top.Err()
}
