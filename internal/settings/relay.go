package settings

import (
	"net/url"
	"path/filepath"
	"strings"
	"time"

	"vetchwood/internal/dispatch"
	"vetchwood/internal/routing"
)

// Relay holds the settings of a proxy.
type Relay struct {
	Name           string
	Listen, Admin  string
	Zone           string
	Directors      []string // base URLs; the first is used at the start
	FollowAll      bool     // follows each director for the slices it owns; otherwise one, and the next if it fails
	SnapshotPath   string   // file in which the last document is kept; empty: none
	ExpectedRate   float64  // approximate number of calls per second in ordinary operation
	PollWait       time.Duration
	ReportInterval time.Duration
	Routes         []routing.Match
	Limits         dispatch.Limits
	Clients        ClientLimits
	HostConns      HostConns
	TraceOneIn     int // one call in this many is traced; 0: none
	DrainTimeout   time.Duration
}

// ClientLimits bound what clients may take up of the proxy.
type ClientLimits struct {
	MaxHead, MaxBody            int
	RequestTimeout, IdleTimeout time.Duration
}

// HostConns holds the settings of the connections to hosts.
type HostConns struct {
	ConnectTimeout, IdleTimeout time.Duration
	MaxBuffered                 int // bytes of a response that are held back until it is complete
}

// LoadRelay reads a proxy's settings file.
func LoadRelay(path string) (*Relay, error) { return loadRelay(path, nil) }

// ParseRelay reads a proxy's settings from text. The name is that of the file in errors.
func ParseRelay(name string, text []byte) (*Relay, error) { return loadRelay(name, text) }

func loadRelay(path string, text []byte) (*Relay, error) {
	top, err := Open(path, text)
	if err != nil {
		return nil, err
	}
	top.Name = "the file"
	relay, sockets := &Relay{}, &Director{}
	if all, names := top.Blocks("relay", 1, 1, 1); len(all) > 0 {
		r := all[0]
		relay.Name = names[0]
		relay.Listen = sockets.readSocket(r, "listen", Required)
		if relay.Admin = sockets.readSocket(r, "admin", ""); relay.Admin != "" && relay.Admin == relay.Listen {
			r.Fail("admin", "is the same socket as listen")
		}
		relay.Zone, relay.Limits.Zone = r.String("zone", ""), r.String("zone", "")
		if relay.SnapshotPath = r.String("kept", ""); relay.SnapshotPath != "" && !filepath.IsAbs(relay.SnapshotPath) {
			relay.SnapshotPath = filepath.Join(filepath.Dir(path), relay.SnapshotPath)
		}
		scheme := map[string]string{"mqtt": "mqtt"}[r.String("front", "poll", "poll", "mqtt")]
		if scheme == "" {
			scheme = "http"
		}
		relay.Directors = r.Strings("directors", true)
		for _, d := range relay.Directors {
			if u, err := url.Parse(d); err != nil || u.Scheme != scheme || u.Host == "" {
				r.Fail("directors", "%q is not a %s URL, as the setting front requires", d, scheme)
			}
		}
		relay.FollowAll = r.String("follow", "one", "one", "all") == "all"
		relay.ExpectedRate = r.Number("rate", 0, 0, 1e6)
		relay.PollWait = r.Duration("wait", 20*time.Second, time.Second, time.Hour)
		relay.ReportInterval = r.Duration("report_every", 500*time.Millisecond, 10*time.Millisecond, time.Minute)
		relay.TraceOneIn = r.Int("trace_one_in", 0, 0, 1e9)
		relay.DrainTimeout = r.Duration("drain", 5*time.Second, 0, time.Hour)
		r.RejectUnknown()
	}
	routes, names := top.Blocks("route", 1, 1, 1000)
	for i, r := range routes {
		m := routing.Match{Route: names[i], Prefix: r.String("prefix", Required), Methods: r.Strings("methods", false)}
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
			r.Fail("key", "%q is not one of path, header:NAME, query:NAME", key)
		}
		m.IdempotencyHeader = strings.ToLower(r.String("mark", "idempotency-key"))
		relay.Routes = append(relay.Routes, m)
		r.RejectUnknown()
	}
	bounds := top.Block("bounds", false)
	relay.Limits.MaxInFlight = bounds.Int("in_hand", 1000, 1, 1e6)
	relay.Limits.MaxQueued = bounds.Int("queue", 200, 0, 1e5)
	relay.Limits.MaxPerHost = bounds.Int("per_host", 100, 1, 1e5)
	relay.Limits.TableWaitMs = float64(toMillis(bounds.Duration("waits_for_table", 500*time.Millisecond, 0, time.Minute)))
	relay.Clients = ClientLimits{MaxHead: bounds.Size("most_head", 16<<10, 512, 1<<20), MaxBody: bounds.Size("most_body", 1<<20, 0, 1<<30),
		RequestTimeout: bounds.Duration("slow_request", 10*time.Second, 10*time.Millisecond, time.Hour),
		IdleTimeout:    bounds.Duration("client_idle", time.Minute, 100*time.Millisecond, 24*time.Hour)}
	relay.HostConns = HostConns{ConnectTimeout: bounds.Duration("connect", 300*time.Millisecond, time.Millisecond, time.Minute),
		IdleTimeout: bounds.Duration("host_idle", 15*time.Second, 100*time.Millisecond, time.Hour),
		MaxBuffered: bounds.Size("answer_buffer", 64<<10, 0, 64<<20)}
	bounds.RejectUnknown()
	top.RejectUnknown()
	return relay, top.Err()
}
