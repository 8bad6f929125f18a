package settings

import (
	"net/url"
	"path/filepath"
	"strings"
	"time"

	"vetchwood/internal/carry"
	"vetchwood/internal/choose"
)

// Relaying is what a proxy needs to run.
type Relaying struct {
	Name          string
	Listen, Admin string
	Zone          string
	Directors     []string // base URLs, the first preferred at the start
	FollowAll     bool     // each of them, for the slices that it holds; else one, and the next when it fails
	Kept          string   // file of the last document; empty: none
	Rate          float64  // calls a second that it ordinarily gets, roughly
	Wait          time.Duration
	ReportEvery   time.Duration
	Routes        []choose.Match
	Bounds        carry.Limits
	Front         RelayFront
	Hosts         RelayHosts
	TraceOneIn    int // calls; 0: none
	Drain         time.Duration
}

// RelayFront guards the proxy against its clients.
type RelayFront struct {
	MostHead, MostBody int
	Slow, Idle         time.Duration
}

// RelayHosts is how it meets hosts.
type RelayHosts struct {
	Connect, Idle time.Duration
	Buffer        int // bytes of an answer that are held until it is whole
}

// LoadRelay reads a proxy's file.
func LoadRelay(path string) (*Relaying, error) { return loadRelay(path, nil) }

// ParseRelay reads a proxy's settings from text.
func ParseRelay(name string, text []byte) (*Relaying, error) { return loadRelay(name, text) }

func loadRelay(path string, text []byte) (*Relaying, error) {
	top, err := Open(path, text)
	if err != nil {
		return nil, err
	}
	top.Name = "the file"
	out, sockets := &Relaying{}, &Running{}
	if all, names := top.Blocks("relay", 1, 1, 1); len(all) > 0 {
		r := all[0]
		out.Name = names[0]
		out.Listen = sockets.socket(r, "listen", Needed)
		if out.Admin = sockets.socket(r, "admin", ""); out.Admin != "" && out.Admin == out.Listen {
			r.Fail("admin", "is the same socket as listen")
		}
		out.Zone, out.Bounds.Zone = r.Text("zone", ""), r.Text("zone", "")
		if out.Kept = r.Text("kept", ""); out.Kept != "" && !filepath.IsAbs(out.Kept) {
			out.Kept = filepath.Join(filepath.Dir(path), out.Kept)
		}
		scheme := map[string]string{"mqtt": "mqtt"}[r.Text("front", "poll", "poll", "mqtt")]
		if scheme == "" {
			scheme = "http"
		}
		out.Directors = r.Texts("directors", true)
		for _, d := range out.Directors {
			if u, err := url.Parse(d); err != nil || u.Scheme != scheme || u.Host == "" {
				r.Fail("directors", "%q is no %s URL, as front asks for", d, scheme)
			}
		}
		out.FollowAll = r.Text("follow", "one", "one", "all") == "all"
		out.Rate = r.Number("rate", 0, 0, 1e6)
		out.Wait = r.Span("wait", 20*time.Second, time.Second, time.Hour)
		out.ReportEvery = r.Span("report_every", 500*time.Millisecond, 10*time.Millisecond, time.Minute)
		out.TraceOneIn = r.Whole("trace_one_in", 0, 0, 1e9)
		out.Drain = r.Span("drain", 5*time.Second, 0, time.Hour)
		r.Done()
	}
	routes, names := top.Blocks("route", 1, 1, 1000)
	for i, r := range routes {
		m := choose.Match{Route: names[i], Prefix: r.Text("prefix", Needed), Methods: r.Texts("methods", false)}
		if !strings.HasPrefix(m.Prefix, "/") {
			r.Fail("prefix", "%q does not begin with /", m.Prefix)
		}
		key := r.Text("key", "path")
		from, name, _ := strings.Cut(key, ":")
		switch {
		case from == "path" && name == "":
		case (from == "header" || from == "query") && name != "":
			m.KeySource, m.KeyName = from, strings.ToLower(name)
			if from == "query" {
				m.KeyName = name
			}
		default:
			r.Fail("key", "%q is none of path, header:NAME, query:NAME", key)
		}
		m.IdempotencyHeader = strings.ToLower(r.Text("mark", "idempotency-key"))
		out.Routes = append(out.Routes, m)
		r.Done()
	}
	b := top.One("bounds", false)
	out.Bounds.MaxInFlight = b.Whole("in_hand", 1000, 1, 1e6)
	out.Bounds.MaxQueued = b.Whole("queue", 200, 0, 1e5)
	out.Bounds.MaxPerHost = b.Whole("per_host", 100, 1, 1e5)
	out.Bounds.TableWaitMs = float64(millis(b.Span("waits_for_table", 500*time.Millisecond, 0, time.Minute)))
	out.Front = RelayFront{MostHead: b.Size("most_head", 16<<10, 512, 1<<20), MostBody: b.Size("most_body", 1<<20, 0, 1<<30),
		Slow: b.Span("slow_request", 10*time.Second, 10*time.Millisecond, time.Hour),
		Idle: b.Span("client_idle", time.Minute, 100*time.Millisecond, 24*time.Hour)}
	out.Hosts = RelayHosts{Connect: b.Span("connect", 300*time.Millisecond, time.Millisecond, time.Minute),
		Idle:   b.Span("host_idle", 15*time.Second, 100*time.Millisecond, time.Hour),
		Buffer: b.Size("answer_buffer", 64<<10, 0, 64<<20)}
	b.Done()
	top.Done()
	return out, top.Err()
}
