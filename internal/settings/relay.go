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
type Relay struct {
	Name           string
	Listen, Admin  string
	Zone           string
	Directors      []string // base URLs, the first preferred at the start
	FollowAll      bool     // each of them, for the slices that it holds; else one, and the next when it fails
	SnapshotPath   string   // file of the last document; empty: none
	ExpectedRate   float64  // calls a second that it ordinarily gets, roughly
	PollWait       time.Duration
	ReportInterval time.Duration
	Routes         []choose.Match
	Limits         carry.Limits
	Clients        ClientLimits
	HostConns      HostConns
	TraceOneIn     int // calls; 0: none
	DrainTimeout   time.Duration
}

// RelayFront guards the proxy against its clients.
type ClientLimits struct {
	MaxHead, MaxBody            int
	RequestTimeout, IdleTimeout time.Duration
}

// RelayHosts is how it meets hosts.
type HostConns struct {
	ConnectTimeout, IdleTimeout time.Duration
	MaxBuffered                 int // bytes of an answer that are held until it is whole
}

// LoadRelay reads a proxy's file.
func LoadRelay(path string) (*Relay, error) { return loadRelay(path, nil) }

// ParseRelay reads a proxy's settings from text.
func ParseRelay(name string, text []byte) (*Relay, error) { return loadRelay(name, text) }

func loadRelay(path string, text []byte) (*Relay, error) {
	top, err := Open(path, text)
	if err != nil {
		return nil, err
	}
	top.Name = "the file"
	out, sockets := &Relay{}, &Director{}
	if all, names := top.Blocks("relay", 1, 1, 1); len(all) > 0 {
		r := all[0]
		out.Name = names[0]
		out.Listen = sockets.readSocket(r, "listen", Required)
		if out.Admin = sockets.readSocket(r, "admin", ""); out.Admin != "" && out.Admin == out.Listen {
			r.Fail("admin", "is the same socket as listen")
		}
		out.Zone, out.Limits.Zone = r.String("zone", ""), r.String("zone", "")
		if out.SnapshotPath = r.String("kept", ""); out.SnapshotPath != "" && !filepath.IsAbs(out.SnapshotPath) {
			out.SnapshotPath = filepath.Join(filepath.Dir(path), out.SnapshotPath)
		}
		scheme := map[string]string{"mqtt": "mqtt"}[r.String("front", "poll", "poll", "mqtt")]
		if scheme == "" {
			scheme = "http"
		}
		out.Directors = r.Strings("directors", true)
		for _, d := range out.Directors {
			if u, err := url.Parse(d); err != nil || u.Scheme != scheme || u.Host == "" {
				r.Fail("directors", "%q is no %s URL, as front asks for", d, scheme)
			}
		}
		out.FollowAll = r.String("follow", "one", "one", "all") == "all"
		out.ExpectedRate = r.Number("rate", 0, 0, 1e6)
		out.PollWait = r.Duration("wait", 20*time.Second, time.Second, time.Hour)
		out.ReportInterval = r.Duration("report_every", 500*time.Millisecond, 10*time.Millisecond, time.Minute)
		out.TraceOneIn = r.Int("trace_one_in", 0, 0, 1e9)
		out.DrainTimeout = r.Duration("drain", 5*time.Second, 0, time.Hour)
		r.RejectUnknown()
	}
	routes, names := top.Blocks("route", 1, 1, 1000)
	for i, r := range routes {
		m := choose.Match{Route: names[i], Prefix: r.String("prefix", Required), Methods: r.Strings("methods", false)}
		if !strings.HasPrefix(m.Prefix, "/") {
			r.Fail("prefix", "%q does not begin with /", m.Prefix)
		}
		key := r.String("key", "path")
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
		m.IdempotencyHeader = strings.ToLower(r.String("mark", "idempotency-key"))
		out.Routes = append(out.Routes, m)
		r.RejectUnknown()
	}
	b := top.Block("bounds", false)
	out.Limits.MaxInFlight = b.Int("in_hand", 1000, 1, 1e6)
	out.Limits.MaxQueued = b.Int("queue", 200, 0, 1e5)
	out.Limits.MaxPerHost = b.Int("per_host", 100, 1, 1e5)
	out.Limits.TableWaitMs = float64(toMillis(b.Duration("waits_for_table", 500*time.Millisecond, 0, time.Minute)))
	out.Clients = ClientLimits{MaxHead: b.Size("most_head", 16<<10, 512, 1<<20), MaxBody: b.Size("most_body", 1<<20, 0, 1<<30),
		RequestTimeout: b.Duration("slow_request", 10*time.Second, 10*time.Millisecond, time.Hour),
		IdleTimeout:    b.Duration("client_idle", time.Minute, 100*time.Millisecond, 24*time.Hour)}
	out.HostConns = HostConns{ConnectTimeout: b.Duration("connect", 300*time.Millisecond, time.Millisecond, time.Minute),
		IdleTimeout: b.Duration("host_idle", 15*time.Second, 100*time.Millisecond, time.Hour),
		MaxBuffered: b.Size("answer_buffer", 64<<10, 0, 64<<20)}
	b.RejectUnknown()
	top.RejectUnknown()
	return out, top.Err()
}
