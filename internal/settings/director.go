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
type Running struct {
	Name          string
	Listen, Admin string
	StorePath     string
	Memory        int64             // that the process may use
	Written       map[string]string // each attribute by its path, as it stands in the file
	Service       control.Service
	Front         longpoll.Limits
	Roster        Roster
	History       store.Retention
	ProbePath     string
	ProbeTimeout  time.Duration
	Custody       *lease.Config // nil: all slices are this director's
	MQTT          *MQTT         // nil: the first front alone
}

// MQTT is the second front's.
type MQTT struct {
	Listen string
	Limits mqtt.Limits
}

// Roster says where the list of hosts comes from.
type Roster struct {
	Consul, Service string
	Wait            time.Duration
}

func millis(d time.Duration) logic.Millis { return logic.Millis(float64(d.Microseconds()) / 1000) }

// Load reads a director's file.
func Load(path string) (*Running, error) { return load(path, nil) }

// Parse reads a director's settings from text; name stands for the file in errors.
func Parse(name string, text []byte) (*Running, error) { return load(name, text) }

func load(path string, text []byte) (_ *Running, err error) {
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
	out := &Running{}
	if out.Written, err = Flat(text, path); err != nil {
		return nil, err
	}
	f := &out.Service.Config
	if all, names := r.Blocks("director", 1, 1, 1); len(all) > 0 {
		out.director(all[0], names[0], path)
		out.Service.Name = names[0]
	}
	out.service(r.One("service", true))
	out.hosts(r.One("hosts", true), f)
	out.proxies(r.One("proxies", true), f)
	out.channel(r.One("channel", true), f)
	out.rest(r)
	r.Done()
	return out, r.Err()
}

func (out *Running) socket(r *Reader, attr, otherwise string) string {
	s := r.Text(attr, otherwise)
	if _, _, err := net.SplitHostPort(s); err != nil && s != "" {
		r.Fail(attr, "%q is no host:port", s)
	}
	return s
}

func (out *Running) director(r *Reader, name, path string) {
	out.Name = name
	out.Listen = out.socket(r, "listen", Needed)
	if out.Admin = out.socket(r, "admin", ""); out.Admin != "" && out.Admin == out.Listen {
		r.Fail("admin", "is the same socket as listen")
	}
	if out.StorePath = r.Text("store", Needed); !filepath.IsAbs(out.StorePath) {
		out.StorePath = filepath.Join(filepath.Dir(path), out.StorePath)
	}
	out.Memory = int64(r.Size("memory", 1<<30, 64<<20, 1<<40))
	zone := r.Text("zone", "")
	out.Service.Zones = []string{zone} // its place is found once the service's zones are known
	r.Done()
}

var repeats = map[string]logic.Idempotency{"repeatable": logic.Idempotent, "keyed": logic.IdempotentByKey, "mutating": logic.NonIdempotent}
var reaches = map[string]logic.DedupScope{"": logic.DedupNone, "all": logic.DedupAll, "zone": logic.DedupZone,
	"cell": logic.DedupCell}

func (out *Running) service(r *Reader) {
	f, own := &out.Service.Config, ""
	if len(out.Service.Zones) > 0 {
		own = out.Service.Zones[0]
	}
	zones := r.Texts("zones", true)
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
	out.Service.Pick = r.Text("pick", "lottery", "lottery", "wheel", "pair")
	f.Pick = map[string]logic.PickPolicy{"wheel": logic.PickRoundRobin, "pair": logic.PickTwoChoices}[out.Service.Pick]
	f.Slices = r.Whole("slices", 0, 0, 4096)
	if f.SingleOwner = r.Truth("one_owner", false); f.SingleOwner && f.Slices == 0 {
		r.Fail("one_owner", "takes slices")
	}
	f.WarmKeys = r.Truth("warm_keys", false)
	f.Levels = map[string]logic.LevelUnit{"share": logic.LevelShare, "rate": logic.LevelRate}[r.Text("levels", "share",
		"share", "rate", "none")]
	routes, names := r.Blocks("route", 1, 1, 63)
	for i, in := range routes {
		out.route(in, names[i])
	}
	r.Done()
}

func (out *Running) route(r *Reader, name string) {
	f := &out.Service.Config
	repeat := r.Text("repeat", Needed, "repeatable", "keyed", "mutating")
	reach := r.Text("reach", "", "", "all", "zone", "cell")
	span := r.Span("span", 0, 0, time.Hour)
	if keyed := repeat == "keyed"; keyed != (reach != "") || keyed != (span > 0) {
		r.Fail("repeat", "reach and span belong to keyed routes, and those need both")
	}
	slo := r.Span("slo", -1, time.Millisecond, time.Hour)
	limit := r.Span("time_limit", -1, time.Millisecond, time.Hour)
	if limit < slo {
		r.Fail("time_limit", "%v is shorter than the SLO time, %v", limit, slo)
	}
	route := logic.Route{SLO: millis(slo), TimeLimit: millis(limit), DedupWindow: millis(span),
		Importance: r.Number("importance", math.NaN(), 0, 1e6), LateShare: r.Number("late_share", 0, 0, 1),
		Idempotency: repeats[repeat], DedupScope: reaches[reach], OwnZone: r.Truth("own_zone", false),
		IsWrite: r.Truth("writes", false)}
	f.Routes = append(f.Routes, route)
	out.Service.Routes = append(out.Service.Routes, control.RouteInfo{Name: name, Route: tables.Route{
		Idempotency: repeat, DedupScope: reach, DedupWindowMs: float64(route.DedupWindow), SLOMs: float64(route.SLO),
		TimeLimitMs: float64(route.TimeLimit), Importance: route.Importance, Writes: route.IsWrite,
		OwnZone: route.OwnZone}})
	r.Done()
}

func (out *Running) hosts(r *Reader, f *logic.Config) {
	f.ColdCapacity = r.Number("cold_from", 0.2, 0.01, 1)
	f.WarmAfter = millis(r.Span("warm_after", -1, 0, time.Hour))
	f.ColdOverloadLimit = r.Number("tip_multiple", 3, 1, 1000)
	f.ColdFailAfter = millis(r.Span("fall_after", 2*time.Second, 0, time.Hour))
	f.DrainGrace = millis(r.Span("drain_grace", -1, 100*time.Millisecond, time.Hour))
	f.Weighted = r.Truth("weighted", false)
	f.RejectedMayHaveRun = r.Truth("full_may_have_run", true)
	f.RemovalIsAdvisory = r.Truth("gone_is_advice", false)
	names := map[string]string{"busy": "utilization", "rate": "throughput", "queue": "backlog",
		"in_hand": "outstanding", "recent": "recent_ms", "errors": "errors_per_s"}
	for _, l := range r.Texts("load", false, "busy", "rate", "queue", "in_hand", "recent", "errors") {
		f.LoadColumns = append(f.LoadColumns, names[l])
	}
	p := r.One("probe", false)
	f.MayProbe = r.Has("probe")
	out.ProbePath = p.Text("path", "/")
	out.ProbeTimeout = p.Span("timeout", 250*time.Millisecond, time.Millisecond, time.Minute)
	p.Done()
	r.Done()
}

func (out *Running) proxies(r *Reader, f *logic.Config) {
	f.Proxies = r.Whole("most", 0, 1, 65535)
	names := r.Text("names", ".+")
	pattern, err := regexp.Compile(`\A(?:` + names + `)\z`)
	if err != nil {
		r.Fail("names", "no regular expression: %v", err)
		pattern = regexp.MustCompile(".+")
	}
	out.Service.ProxyNames = pattern
	out.Service.Lease = millis(r.Span("lease", 3*time.Second, 200*time.Millisecond, time.Hour))
	f.EmptyTableLimit = millis(r.Span("bare_limit", -1, time.Millisecond, time.Hour))
	f.EjectAfterFailures = r.Whole("ejects_after", 0, 0, 1000)
	f.DefaultRetries = r.Whole("tries", 1, 0, 3)
	f.TryTimeout = r.Number("try_wait", 1.2, 0.01, 100)
	f.TableWait = millis(r.Span("waits_for_table", 0, 0, time.Minute))
	f.WriteLease = millis(r.Span("write_lease", 0, 0, time.Hour))
	f.WriteSettle = millis(r.Span("write_settle", 0, 0, time.Hour))
	for i := range out.Service.Routes {
		out.Service.Routes[i].Level = tables.Level{Level: 1, RetryMode: f.DefaultRetries}
		if f.Levels == logic.LevelRate {
			out.Service.Routes[i].Level.Level = 1e6
		}
	}
	r.Done()
}

func (out *Running) channel(r *Reader, f *logic.Config) {
	f.LinesPerSecond = r.Number("lines_per_second", math.NaN(), 1, 1e7)
	f.QueueLimit = r.Number("queue_lines", math.NaN(), 1, 1e8)
	f.MessageOverhead = r.Number("head_lines", 0, 0, 1e4)
	f.Transit = millis(r.Span("transit", 20*time.Millisecond, 0, time.Minute))
	f.WorstTransit = millis(r.Span("worst_transit", 250*time.Millisecond, 0, time.Minute))
	if f.WorstTransit < f.Transit {
		r.Fail("worst_transit", "is shorter than transit")
	}
	f.MessageLimit = r.Whole("messages", 0, 0, 1e6)
	f.MessageWindow = millis(r.Span("message_span", 10*time.Second, 0, time.Hour))
	// What can't be put off must fit: a message with one line for every proxy, twice.
	if least := 2 * float64(f.Proxies) * (f.MessageOverhead + 2); f.QueueLimit < least {
		r.Fail("queue_lines", "%v is under %v: two messages of one line for each of %d proxies", f.QueueLimit, least, f.Proxies)
	}
	r.Done()
}

func (out *Running) rest(r *Reader) {
	f := &out.Service.Config
	f.Directors = 1
	in := r.One("reports", false)
	f.ReportInterval = millis(in.Span("every", 500*time.Millisecond, 10*time.Millisecond, time.Minute))
	f.ReportLinesPerSecond = in.Number("lines_per_second", 1000, 1, 1e6)
	in.Done()

	in = r.One("roster", true)
	out.Roster.Consul = in.Text("consul", Needed)
	if u, err := url.Parse(out.Roster.Consul); err != nil || out.Roster.Consul != "" && (u.Host == "" || u.Scheme != "http") {
		in.Fail("consul", "%q is no http URL", out.Roster.Consul)
	}
	out.Roster.Service = in.Text("service", Needed)
	out.Roster.Wait = in.Span("wait", 30*time.Second, 100*time.Millisecond, 10*time.Minute)
	in.Done()

	out.custody(r)
	out.mqtt(r)

	in = r.One("history", false)
	out.History = store.Retention{Versions: in.Whole("versions", 10000, 1, 1e7),
		AgeMs: float64(millis(in.Span("age", 24*time.Hour, time.Second, 10000*time.Hour)))}
	in.Done()

	in = r.One("poll", false)
	longest := in.Span("longest_wait", 30*time.Second, time.Second, time.Hour)
	out.Service.MaxWait = millis(longest)
	idle := in.Span("idle", 2*time.Minute, time.Second, time.Hour)
	if idle < longest {
		in.Fail("longest_wait", "%v is longer than a connection may be idle, %v", longest, idle)
	}
	if out.Custody != nil {
		// A poll is sent anew often enough that what its answer says is covered by the lease.
		out.Service.MaxWait = min(out.Service.MaxWait, millis(out.Custody.TTL/3))
	}
	out.Service.MaxBases = in.Whole("kept_versions", 256, 1, 100000)
	out.Front = longpoll.Limits{MaxHeadBytes: in.Size("most_head", 16<<10, 512, 1<<20),
		MaxBodyBytes:   in.Size("most_body", 4<<20, 512, 64<<20),
		RequestTimeout: in.Span("slow_request", 10*time.Second, 100*time.Millisecond, 10*time.Minute),
		IdleTimeout:    idle, WriteTimeout: in.Span("slow_answer", 10*time.Second, 100*time.Millisecond, 10*time.Minute),
		MaxWait: out.Service.MaxWait}
	if out.MQTT != nil {
		out.MQTT.Limits.MaxWait = out.Service.MaxWait
	}
	in.Done()
}

// custody says by what leases slices are held, where there are several directors.
func (out *Running) custody(r *Reader) {
	f := &out.Service.Config
	all, _ := r.Blocks("custody", 0, 0, 1)
	if len(all) == 0 {
		return
	}
	in := all[0]
	t := &lease.Config{ConsulURL: in.Text("consul", out.Roster.Consul), KeyPrefix: in.Text("prefix", "vetchwood"),
		TTL: in.Span("ttl", 10*time.Second, 200*time.Millisecond, time.Hour), LockDelay: in.Span("lock_delay", 0, 0, time.Minute),
		AdvertiseURL: in.Text("advertise", "http://"+out.Listen), SliceCount: f.Slices}
	if u, err := url.Parse(t.ConsulURL); err != nil || t.ConsulURL != "" && (u.Host == "" || u.Scheme != "http") {
		in.Fail("consul", "%q is no http URL", t.ConsulURL)
	}
	if u, err := url.Parse(t.AdvertiseURL); err != nil || u.Host == "" || u.Scheme != "http" {
		in.Fail("advertise", "%q is no http URL", t.AdvertiseURL)
	}
	if f.Slices == 0 {
		in.Fail("", "custody takes slices: without them each director has tables of its own for the proxies that poll it")
	}
	if f.SingleOwner {
		in.Fail("", "custody is not yet to be had where slices have single owners")
	}
	out.Service.QueriesPeers = in.Truth("learn", true)
	out.Custody, out.Service.SlicesLeased = t, true
	in.Done()
}

// mqtt says how the second front listens, where there is one.
func (out *Running) mqtt(r *Reader) {
	all, _ := r.Blocks("mqtt", 0, 0, 1)
	if len(all) == 0 {
		return
	}
	in := all[0]
	m := &MQTT{Listen: out.socket(in, "listen", Needed)}
	if m.Listen != "" && (m.Listen == out.Listen || m.Listen == out.Admin) {
		in.Fail("listen", "is the same socket as another of the director's")
	}
	m.Limits = mqtt.Limits{MaxPacketBytes: in.Size("most_packet", 4<<20, 512, 64<<20),
		ConnectTimeout: in.Span("connect", 10*time.Second, 100*time.Millisecond, time.Minute),
		MaxKeepAlive:   in.Span("keep_alive", time.Minute, time.Second, 10*time.Hour), WriteTimeout: in.Span("slow_packet", 10*time.Second, 100*time.Millisecond, 10*time.Minute)}
	m.Limits.MaxSessions = in.Whole("sessions", 2*out.Service.Config.Proxies+100, 1, 1e6)
	m.Limits.MaxExpiry = millis(in.Span("session", 5*time.Minute, 0, 24*time.Hour))
	m.Limits.AckTimeout = millis(in.Span("unanswered", 30*time.Second, time.Second, time.Hour))
	m.Limits.ConnectsPerSecond = in.Number("connects_per_second", 2000, 1, 1e6)
	m.Limits.MaxWatchers = in.Whole("watchers", 50, 0, 200)
	out.MQTT = m
	in.Done()
}
