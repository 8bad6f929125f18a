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
	Troubles      []Trouble
}

// Fleet is what is raised.
type Fleet struct {
	Hosts, Cores, Queue, PerCell, Proxies int
	Directors                             int
	Learns                                bool   // a director that starts asks the others
	Phantoms                              int    // proxies that storms make up; they poll and carry nothing
	Front                                 string // poll, mqtt or mixed: every other proxy
	ListDelay                             time.Duration
}

// Load is what callers ask for.
type Load struct {
	From, Peak float64 // calls a second
	Rise       time.Duration
	Keys       int
}

// RouteLoad is a route's part of it.
type RouteLoad struct {
	Name  string
	Share float64
	Work  time.Duration
}

// Trouble is one, by its kind.
type Trouble struct {
	Kind                  string
	At, Last, Drain       time.Duration
	Hosts, Proxies, Batch int
	Director              int // which, from 1
	Times                 float64
	Part                  float64
	Ask                   load.Kind // what a storm asks
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
func Find(name string) (*Script, error) {
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
		Directors: f.Int("directors", 1, 1, 5), Learns: f.Bool("learn", true),
		Phantoms: f.Int("phantoms", 0, 0, 20000), Front: f.String("front", "poll", "poll", "mqtt", "mixed"), ListDelay: f.Duration("list_delay", 0, 0, time.Minute)}
	f.RejectUnknown()
	l := r.Block("load", true)
	s.Load = Load{From: l.Number("calls_per_second", 0, 0, 1e5), Peak: l.Number("peak", 0, 0, 1e5),
		Rise: l.Duration("rise_over", time.Second, time.Millisecond, time.Hour), Keys: l.Int("keys", 1000, 1, 1e7)}
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
		r.Fail("", "the shares of the routes add up to %.3f, not to 1", share)
	}
	troubles, names := r.RepeatableBlocks("trouble")
	for i, in := range troubles {
		t := Trouble{Kind: names[i], At: in.Duration("at", -1, 0, 24*time.Hour)}
		needs, known := kinds[t.Kind]
		if !known {
			in.Fail("", "no trouble is called %q", t.Kind)
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
					in.Fail("", "takes a fleet with several directors")
				}
			case "last":
				t.Last = in.Duration("last", -1, time.Millisecond, time.Hour)
			case "drain":
				t.Drain = in.Duration("drain", -1, time.Millisecond, time.Hour)
			case "times":
				t.Times = in.Number("times", 2, 1, 100)
			case "storm":
				t.Ask = load.Kind(in.String("ask", settings.Required, string(load.InitialPolls), string(load.Polls), string(load.Reports)))
				t.Rate, t.Burst = in.Number("rate", math.NaN(), 1, 1e6), in.Int("burst", 0, 0, 1e5)
				if s.Fleet.Phantoms == 0 {
					in.Fail("", "takes a fleet with phantoms")
				}
			case "part":
				t.Part = in.Number("part", 0.2, 0, 1)
			}
		}
		if s.Length > 0 && t.At >= s.Length {
			in.Fail("at", "%v is past the end of the day, %v", t.At, s.Length)
		}
		in.RejectUnknown()
		s.Troubles = append(s.Troubles, t)
	}
	r.RejectUnknown()
	top.RejectUnknown()
	return s, top.Err()
}
