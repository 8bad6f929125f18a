package settings

import (
	"math"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/lease"
	"vetchwood/internal/longpoll"
	"vetchwood/internal/mqtt"
	"vetchwood/internal/store"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Running is what a director needs to run.
type Director struct {
	Name          string
	Listen, Admin string
	StorePath     string
	Memory        int64             // that the process may use
	Attributes    map[string]string // each attribute by its path, as it stands in the file
	Service       control.Service
	LongPoll      longpoll.Limits
	Discovery     Discovery
	History       store.Retention
	ProbePath     string
	ProbeTimeout  time.Duration
	SliceLease    *lease.Terms // nil: all slices are this director's
	MQTT          *MQTT        // nil: the first front alone
}

// MQTT is the second front's.
type MQTT struct {
	Listen string
	Limits mqtt.Limits
}

// Roster says where the list of hosts comes from.
type Discovery struct {
	Consul, Service string
	QueryWait       time.Duration
}

func toMillis(d time.Duration) logic.Millis { return logic.Millis(float64(d.Microseconds()) / 1000) }

// Load reads a director's file.
func LoadDirector(path string) (*Director, error) { return loadDirector(path, nil) }

// Parse reads a director's settings from text; name stands for the file in errors.
func ParseDirector(name string, text []byte) (*Director, error) { return loadDirector(name, text) }

func loadDirector(path string, text []byte) (_ *Director, err error) {
	if text == nil {
		if text, err = os.ReadFile(path); err != nil {
			return nil, err
		}
	}
	r, err := Open(path, text)
	if err != nil {
		return nil, err
	}
	r.Name = "the file"
	out := &Director{}
	if out.Attributes, err = Flatten(text, path); err != nil {
		return nil, err
	}
	f := &out.Service.Config
	if all, names := r.Blocks("director", 1, 1, 1); len(all) > 0 {
		out.readDirector(all[0], names[0], path)
		out.Service.Name = names[0]
	}
	out.readService(r.Block("service", true))
	out.readHosts(r.Block("hosts", true), f)
	out.readProxies(r.Block("proxies", true), f)
	out.readChannel(r.Block("channel", true), f)
	out.readOtherBlocks(r)
	r.RejectUnknown()
	return out, r.Err()
}

func (out *Director) readSocket(r *Reader, attr, otherwise string) string {
	s := r.String(attr, otherwise)
	if _, _, err := net.SplitHostPort(s); err != nil && s != "" {
		r.Fail(attr, "%q is no host:port", s)
	}
	return s
}

func (out *Director) readDirector(r *Reader, name, path string) {
	out.Name = name
	out.Listen = out.readSocket(r, "listen", Required)
	if out.Admin = out.readSocket(r, "admin", ""); out.Admin != "" && out.Admin == out.Listen {
		r.Fail("admin", "is the same socket as listen")
	}
	if out.StorePath = r.String("store", Required); !filepath.IsAbs(out.StorePath) {
		out.StorePath = filepath.Join(filepath.Dir(path), out.StorePath)
	}
	out.Memory = int64(r.Size("memory", 1<<30, 64<<20, 1<<40))
	zone := r.String("zone", "")
	out.Service.Zones = []string{zone} // its place is found once the service's zones are known
	r.RejectUnknown()
}

var idempotencyByName = map[string]logic.Idempotency{"repeatable": logic.Idempotent, "keyed": logic.IdempotentByKey, "mutating": logic.NonIdempotent}
var dedupScopeByName = map[string]logic.DedupScope{"": logic.DedupNone, "all": logic.DedupAll, "zone": logic.DedupZone,
	"cell": logic.DedupCell}

func (out *Director) readService(r *Reader) {
	f, own := &out.Service.Config, ""
	if len(out.Service.Zones) > 0 {
		own = out.Service.Zones[0]
	}
	zones := r.Strings("zones", true)
	out.Service.Zones = zones
	found := own == ""
	for i, z := range zones {
		if z == own {
			f.Zone, found = logic.ZoneID(i), true
		}
	}
	if !found {
		r.Fail("zones", "the director's zone %q is not among them", own)
	}
	out.Service.Pick = r.String("pick", "lottery", "lottery", "wheel", "pair")
	f.Pick = map[string]logic.PickPolicy{"wheel": logic.PickRoundRobin, "pair": logic.PickTwoChoices}[out.Service.Pick]
	f.Slices = r.Int("slices", 0, 0, 4096)
	if f.SingleOwner = r.Bool("one_owner", false); f.SingleOwner && f.Slices == 0 {
		r.Fail("one_owner", "takes slices")
	}
	f.WarmKeys = r.Bool("warm_keys", false)
	f.Levels = map[string]logic.LevelUnit{"share": logic.LevelShare, "rate": logic.LevelRate}[r.String("levels", "share",
		"share", "rate", "none")]
	routes, names := r.Blocks("route", 1, 1, 63)
	for i, in := range routes {
		out.readRoute(in, names[i])
	}
	r.RejectUnknown()
}

func (out *Director) readRoute(r *Reader, name string) {
	f := &out.Service.Config
	repeat := r.String("repeat", Required, "repeatable", "keyed", "mutating")
	reach := r.String("reach", "", "", "all", "zone", "cell")
	span := r.Duration("span", 0, 0, time.Hour)
	if keyed := repeat == "keyed"; keyed != (reach != "") || keyed != (span > 0) {
		r.Fail("repeat", "reach and span belong to keyed routes, and those need both")
	}
	slo := r.Duration("slo", -1, time.Millisecond, time.Hour)
	limit := r.Duration("time_limit", -1, time.Millisecond, time.Hour)
	if limit < slo {
		r.Fail("time_limit", "%v is shorter than the SLO time, %v", limit, slo)
	}
	route := logic.Route{SLO: toMillis(slo), TimeLimit: toMillis(limit), DedupWindow: toMillis(span),
		Importance: r.Number("importance", math.NaN(), 0, 1e6), LateShare: r.Number("late_share", 0, 0, 1),
		Idempotency: idempotencyByName[repeat], DedupScope: dedupScopeByName[reach], OwnZone: r.Bool("own_zone", false),
		IsWrite: r.Bool("writes", false)}
	f.Routes = append(f.Routes, route)
	out.Service.Routes = append(out.Service.Routes, control.RouteInfo{Name: name, Route: tables.Route{
		Repeat: repeat, Reach: reach, SpanMs: float64(route.DedupWindow), SLOMs: float64(route.SLO),
		TimeLimitMs: float64(route.TimeLimit), Importance: route.Importance, Writes: route.IsWrite,
		OwnZone: route.OwnZone}})
	r.RejectUnknown()
}

func (out *Director) readHosts(r *Reader, f *logic.Config) {
	f.ColdCapacity = r.Number("cold_from", 0.2, 0.01, 1)
	f.WarmAfter = toMillis(r.Duration("warm_after", -1, 0, time.Hour))
	f.ColdOverloadLimit = r.Number("tip_multiple", 3, 1, 1000)
	f.ColdFailAfter = toMillis(r.Duration("fall_after", 2*time.Second, 0, time.Hour))
	f.DrainGrace = toMillis(r.Duration("drain_grace", -1, 100*time.Millisecond, time.Hour))
	f.Weighted = r.Bool("weighted", false)
	f.RejectedMayHaveRun = r.Bool("full_may_have_run", true)
	f.RemovalIsAdvisory = r.Bool("gone_is_advice", false)
	names := map[string]string{"busy": "utilization", "rate": "throughput", "queue": "backlog",
		"in_hand": "outstanding", "recent": "recent_ms", "errors": "errors_per_s"}
	for _, l := range r.Strings("load", false, "busy", "rate", "queue", "in_hand", "recent", "errors") {
		f.LoadColumns = append(f.LoadColumns, names[l])
	}
	p := r.Block("probe", false)
	f.MayProbe = r.HasBlock("probe")
	out.ProbePath = p.String("path", "/")
	out.ProbeTimeout = p.Duration("timeout", 250*time.Millisecond, time.Millisecond, time.Minute)
	p.RejectUnknown()
	r.RejectUnknown()
}

func (out *Director) readProxies(r *Reader, f *logic.Config) {
	f.Proxies = r.Int("most", 0, 1, 65535)
	names := r.String("names", ".+")
	pattern, err := regexp.Compile(`\A(?:` + names + `)\z`)
	if err != nil {
		r.Fail("names", "no regular expression: %v", err)
		pattern = regexp.MustCompile(".+")
	}
	out.Service.ProxyNames = pattern
	out.Service.Lease = toMillis(r.Duration("lease", 3*time.Second, 200*time.Millisecond, time.Hour))
	f.EmptyTableLimit = toMillis(r.Duration("bare_limit", -1, time.Millisecond, time.Hour))
	f.EjectAfterFailures = r.Int("ejects_after", 0, 0, 1000)
	f.DefaultRetries = r.Int("tries", 1, 0, 3)
	f.TryTimeout = r.Number("try_wait", 1.2, 0.01, 100)
	f.TableWait = toMillis(r.Duration("waits_for_table", 0, 0, time.Minute))
	f.WriteLease = toMillis(r.Duration("write_lease", 0, 0, time.Hour))
	f.WriteSettle = toMillis(r.Duration("write_settle", 0, 0, time.Hour))
	for i := range out.Service.Routes {
		out.Service.Routes[i].Level = tables.Level{Level: 1, Tries: f.DefaultRetries}
		if f.Levels == logic.LevelRate {
			out.Service.Routes[i].Level.Level = 1e6
		}
	}
	r.RejectUnknown()
}

func (out *Director) readChannel(r *Reader, f *logic.Config) {
	f.LinesPerSecond = r.Number("lines_per_second", math.NaN(), 1, 1e7)
	f.QueueLimit = r.Number("queue_lines", math.NaN(), 1, 1e8)
	f.MessageOverhead = r.Number("head_lines", 0, 0, 1e4)
	f.Transit = toMillis(r.Duration("transit", 20*time.Millisecond, 0, time.Minute))
	f.WorstTransit = toMillis(r.Duration("worst_transit", 250*time.Millisecond, 0, time.Minute))
	if f.WorstTransit < f.Transit {
		r.Fail("worst_transit", "is shorter than transit")
	}
	f.MessageLimit = r.Int("messages", 0, 0, 1e6)
	f.MessageWindow = toMillis(r.Duration("message_span", 10*time.Second, 0, time.Hour))
	// What can't be put off must fit: a message with one line for every proxy, twice.
	if least := 2 * float64(f.Proxies) * (f.MessageOverhead + 2); f.QueueLimit < least {
		r.Fail("queue_lines", "%v is under %v: two messages of one line for each of %d proxies", f.QueueLimit, least, f.Proxies)
	}
	r.RejectUnknown()
}

func (out *Director) readOtherBlocks(r *Reader) {
	f := &out.Service.Config
	f.Directors = 1
	in := r.Block("reports", false)
	f.ReportInterval = toMillis(in.Duration("every", 500*time.Millisecond, 10*time.Millisecond, time.Minute))
	f.ReportLinesPerSecond = in.Number("lines_per_second", 1000, 1, 1e6)
	in.RejectUnknown()

	in = r.Block("roster", true)
	out.Discovery.Consul = in.String("consul", Required)
	if u, err := url.Parse(out.Discovery.Consul); err != nil || out.Discovery.Consul != "" && (u.Host == "" || u.Scheme != "http") {
		in.Fail("consul", "%q is no http URL", out.Discovery.Consul)
	}
	out.Discovery.Service = in.String("service", Required)
	out.Discovery.QueryWait = in.Duration("wait", 30*time.Second, 100*time.Millisecond, 10*time.Minute)
	in.RejectUnknown()

	out.readSliceLease(r)
	out.readMQTT(r)

	in = r.Block("history", false)
	out.History = store.Retention{Versions: in.Int("versions", 10000, 1, 1e7),
		AgeMs: float64(toMillis(in.Duration("age", 24*time.Hour, time.Second, 10000*time.Hour)))}
	in.RejectUnknown()

	in = r.Block("poll", false)
	longest := in.Duration("longest_wait", 30*time.Second, time.Second, time.Hour)
	out.Service.MaxWait = toMillis(longest)
	idle := in.Duration("idle", 2*time.Minute, time.Second, time.Hour)
	if idle < longest {
		in.Fail("longest_wait", "%v is longer than a connection may be idle, %v", longest, idle)
	}
	if out.SliceLease != nil {
		// A poll is sent anew often enough that what its answer says is covered by the lease.
		out.Service.MaxWait = min(out.Service.MaxWait, toMillis(out.SliceLease.TTL/3))
	}
	out.Service.MaxBases = in.Int("kept_versions", 256, 1, 100000)
	out.LongPoll = longpoll.Limits{MostHead: in.Size("most_head", 16<<10, 512, 1<<20),
		MostBody:    in.Size("most_body", 4<<20, 512, 64<<20),
		SlowRequest: in.Duration("slow_request", 10*time.Second, 100*time.Millisecond, 10*time.Minute),
		Idle:        idle, Write: in.Duration("slow_answer", 10*time.Second, 100*time.Millisecond, 10*time.Minute),
		LongestWait: out.Service.MaxWait}
	if out.MQTT != nil {
		out.MQTT.Limits.LongestWait = out.Service.MaxWait
	}
	in.RejectUnknown()
}

// custody says by what leases slices are held, where there are several directors.
func (out *Director) readSliceLease(r *Reader) {
	f := &out.Service.Config
	all, _ := r.Blocks("custody", 0, 0, 1)
	if len(all) == 0 {
		return
	}
	in := all[0]
	t := &lease.Terms{Consul: in.String("consul", out.Discovery.Consul), Prefix: in.String("prefix", "vetchwood"),
		TTL: in.Duration("ttl", 10*time.Second, 200*time.Millisecond, time.Hour), LockDelay: in.Duration("lock_delay", 0, 0, time.Minute),
		URL: in.String("advertise", "http://"+out.Listen), Slices: f.Slices}
	if u, err := url.Parse(t.Consul); err != nil || t.Consul != "" && (u.Host == "" || u.Scheme != "http") {
		in.Fail("consul", "%q is no http URL", t.Consul)
	}
	if u, err := url.Parse(t.URL); err != nil || u.Host == "" || u.Scheme != "http" {
		in.Fail("advertise", "%q is no http URL", t.URL)
	}
	if f.Slices == 0 {
		in.Fail("", "custody takes slices: without them each director has tables of its own for the proxies that poll it")
	}
	if f.SingleOwner {
		in.Fail("", "custody is not yet to be had where slices have single owners")
	}
	out.Service.QueriesPeers = in.Bool("learn", true)
	out.SliceLease, out.Service.SlicesLeased = t, true
	in.RejectUnknown()
}

// mqtt says how the second front listens, where there is one.
func (out *Director) readMQTT(r *Reader) {
	all, _ := r.Blocks("mqtt", 0, 0, 1)
	if len(all) == 0 {
		return
	}
	in := all[0]
	m := &MQTT{Listen: out.readSocket(in, "listen", Required)}
	if m.Listen != "" && (m.Listen == out.Listen || m.Listen == out.Admin) {
		in.Fail("listen", "is the same socket as another of the director's")
	}
	m.Limits = mqtt.Limits{MostPacket: in.Size("most_packet", 4<<20, 512, 64<<20),
		Connect:   in.Duration("connect", 10*time.Second, 100*time.Millisecond, time.Minute),
		KeepAlive: in.Duration("keep_alive", time.Minute, time.Second, 10*time.Hour), Write: in.Duration("slow_packet", 10*time.Second, 100*time.Millisecond, 10*time.Minute)}
	m.Limits.Sessions = in.Int("sessions", 2*out.Service.Config.Proxies+100, 1, 1e6)
	m.Limits.Expiry = toMillis(in.Duration("session", 5*time.Minute, 0, 24*time.Hour))
	m.Limits.Unanswered = toMillis(in.Duration("unanswered", 30*time.Second, time.Second, time.Hour))
	m.Limits.Connects = in.Number("connects_per_second", 2000, 1, 1e6)
	m.Limits.Watchers = in.Int("watchers", 50, 0, 200)
	out.MQTT = m
	in.RejectUnknown()
}
