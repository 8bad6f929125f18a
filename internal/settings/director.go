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

// Director holds the settings of a director.
type Director struct {
	Name          string
	Listen, Admin string
	StorePath     string
	Memory        int64             // bytes that the process may use
	Attributes    map[string]string // source text of each attribute by its path, see Flatten
	Service       control.Service
	LongPoll      longpoll.Limits
	Discovery     Discovery
	History       store.Retention
	ProbePath     string
	ProbeTimeout  time.Duration
	SliceLease    *lease.Config // nil: this director owns all slices
	MQTT          *MQTT         // nil: long polling only
}

// MQTT holds the settings of the MQTT front.
type MQTT struct {
	Listen string
	Limits mqtt.Limits
}

// Discovery holds the settings of the source of the host list.
type Discovery struct {
	Consul, Service string
	QueryWait       time.Duration
}

// toMillis converts a duration to milliseconds, with a resolution of 1 µs.
func toMillis(d time.Duration) logic.Millis { return logic.Millis(float64(d.Microseconds()) / 1000) }

// LoadDirector reads a director's settings file.
func LoadDirector(path string) (*Director, error) { return loadDirector(path, nil) }

// ParseDirector reads a director's settings from text. The name is that of the file in errors.
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
	d := &Director{}
	if d.Attributes, err = Flatten(text, path); err != nil {
		return nil, err
	}
	config := &d.Service.Config
	if all, names := r.Blocks("director", 1, 1, 1); len(all) > 0 {
		d.readDirector(all[0], names[0], path)
		d.Service.Name = names[0]
	}
	d.readService(r.Block("service", true))
	d.readHosts(r.Block("hosts", true), config)
	d.readProxies(r.Block("proxies", true), config)
	d.readChannel(r.Block("channel", true), config)
	d.readOtherBlocks(r)
	r.RejectUnknown()
	return d, r.Err()
}

// readSocket reads a host:port address.
func (d *Director) readSocket(r *Reader, attr, fallback string) string {
	s := r.String(attr, fallback)
	if _, _, err := net.SplitHostPort(s); err != nil && s != "" {
		r.Fail(attr, "%q is not a host:port address", s)
	}
	return s
}

func (d *Director) readDirector(r *Reader, name, path string) {
	d.Name = name
	d.Listen = d.readSocket(r, "listen", Required)
	if d.Admin = d.readSocket(r, "admin", ""); d.Admin != "" && d.Admin == d.Listen {
		r.Fail("admin", "is the same socket as listen")
	}
	if d.StorePath = r.String("store", Required); !filepath.IsAbs(d.StorePath) {
		d.StorePath = filepath.Join(filepath.Dir(path), d.StorePath)
	}
	d.Memory = int64(r.Size("memory", 1<<30, 64<<20, 1<<40))
	zone := r.String("zone", "")
	d.Service.Zones = []string{zone} // replaced by readService, which determines its index
	r.RejectUnknown()
}

var idempotencyByName = map[string]logic.Idempotency{"repeatable": logic.Idempotent, "keyed": logic.IdempotentByKey, "mutating": logic.NonIdempotent}
var dedupScopeByName = map[string]logic.DedupScope{"": logic.DedupNone, "all": logic.DedupAll, "zone": logic.DedupZone,
	"cell": logic.DedupCell}

func (d *Director) readService(r *Reader) {
	config, ownZone := &d.Service.Config, ""
	if len(d.Service.Zones) > 0 {
		ownZone = d.Service.Zones[0]
	}
	zones := r.Strings("zones", true)
	d.Service.Zones = zones
	found := ownZone == ""
	for i, z := range zones {
		if z == ownZone {
			config.Zone, found = logic.ZoneID(i), true
		}
	}
	if !found {
		r.Fail("zones", "the director's zone %q is not among them", ownZone)
	}
	d.Service.Pick = r.String("pick", "lottery", "lottery", "wheel", "pair")
	config.Pick = map[string]logic.PickPolicy{"wheel": logic.PickRoundRobin, "pair": logic.PickTwoChoices}[d.Service.Pick]
	config.Slices = r.Int("slices", 0, 0, 4096)
	if config.SingleOwner = r.Bool("one_owner", false); config.SingleOwner && config.Slices == 0 {
		r.Fail("one_owner", "requires slices")
	}
	config.WarmKeys = r.Bool("warm_keys", false)
	config.Levels = map[string]logic.LevelUnit{"share": logic.LevelShare, "rate": logic.LevelRate}[r.String("levels", "share",
		"share", "rate", "none")]
	routes, names := r.Blocks("route", 1, 1, 63)
	for i, block := range routes {
		d.readRoute(block, names[i])
	}
	r.RejectUnknown()
}

func (d *Director) readRoute(r *Reader, name string) {
	config := &d.Service.Config
	repeat := r.String("repeat", Required, "repeatable", "keyed", "mutating")
	reach := r.String("reach", "", "", "all", "zone", "cell")
	span := r.Duration("span", 0, 0, time.Hour)
	if keyed := repeat == "keyed"; keyed != (reach != "") || keyed != (span > 0) {
		r.Fail("repeat", "reach and span are required on keyed routes and not permitted on others")
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
	config.Routes = append(config.Routes, route)
	d.Service.Routes = append(d.Service.Routes, control.RouteInfo{Name: name, Route: tables.Route{
		Idempotency: repeat, DedupScope: reach, DedupWindowMs: float64(route.DedupWindow), SLOMs: float64(route.SLO),
		TimeLimitMs: float64(route.TimeLimit), Importance: route.Importance, Writes: route.IsWrite,
		OwnZone: route.OwnZone}})
	r.RejectUnknown()
}

func (d *Director) readHosts(r *Reader, config *logic.Config) {
	config.ColdCapacity = r.Number("cold_from", 0.2, 0.01, 1)
	config.WarmAfter = toMillis(r.Duration("warm_after", -1, 0, time.Hour))
	config.ColdOverloadLimit = r.Number("tip_multiple", 3, 1, 1000)
	config.ColdFailAfter = toMillis(r.Duration("fall_after", 2*time.Second, 0, time.Hour))
	config.DrainGrace = toMillis(r.Duration("drain_grace", -1, 100*time.Millisecond, time.Hour))
	config.Weighted = r.Bool("weighted", false)
	config.RejectedMayHaveRun = r.Bool("full_may_have_run", true)
	config.RemovalIsAdvisory = r.Bool("gone_is_advice", false)
	names := map[string]string{"busy": "utilization", "rate": "throughput", "queue": "backlog",
		"in_hand": "outstanding", "recent": "recent_ms", "errors": "errors_per_s"}
	for _, l := range r.Strings("load", false, "busy", "rate", "queue", "in_hand", "recent", "errors") {
		config.LoadColumns = append(config.LoadColumns, names[l])
	}
	p := r.Block("probe", false)
	config.MayProbe = r.HasBlock("probe")
	d.ProbePath = p.String("path", "/")
	d.ProbeTimeout = p.Duration("timeout", 250*time.Millisecond, time.Millisecond, time.Minute)
	p.RejectUnknown()
	r.RejectUnknown()
}

func (d *Director) readProxies(r *Reader, config *logic.Config) {
	config.Proxies = r.Int("most", 0, 1, 65535)
	names := r.String("names", ".+")
	pattern, err := regexp.Compile(`\A(?:` + names + `)\z`)
	if err != nil {
		r.Fail("names", "not a valid regular expression: %v", err)
		pattern = regexp.MustCompile(".+")
	}
	d.Service.ProxyNames = pattern
	d.Service.Lease = toMillis(r.Duration("lease", 3*time.Second, 200*time.Millisecond, time.Hour))
	config.EmptyTableLimit = toMillis(r.Duration("bare_limit", -1, time.Millisecond, time.Hour))
	config.EjectAfterFailures = r.Int("ejects_after", 0, 0, 1000)
	config.DefaultRetryMode = r.Int("tries", 1, 0, 3)
	config.TryTimeout = r.Number("try_wait", 1.2, 0.01, 100)
	config.TableWait = toMillis(r.Duration("waits_for_table", 0, 0, time.Minute))
	config.WriteLease = toMillis(r.Duration("write_lease", 0, 0, time.Hour))
	config.WriteSettle = toMillis(r.Duration("write_settle", 0, 0, time.Hour))
	for i := range d.Service.Routes {
		d.Service.Routes[i].Level = tables.Level{Level: 1, RetryMode: config.DefaultRetryMode}
		if config.Levels == logic.LevelRate {
			d.Service.Routes[i].Level.Level = 1e6
		}
	}
	r.RejectUnknown()
}

func (d *Director) readChannel(r *Reader, config *logic.Config) {
	config.LinesPerSecond = r.Number("lines_per_second", math.NaN(), 1, 1e7)
	config.QueueLimit = r.Number("queue_lines", math.NaN(), 1, 1e8)
	config.MessageOverhead = r.Number("head_lines", 0, 0, 1e4)
	config.Transit = toMillis(r.Duration("transit", 20*time.Millisecond, 0, time.Minute))
	config.WorstTransit = toMillis(r.Duration("worst_transit", 250*time.Millisecond, 0, time.Minute))
	if config.WorstTransit < config.Transit {
		r.Fail("worst_transit", "is shorter than transit")
	}
	config.MessageLimit = r.Int("messages", 0, 0, 1e6)
	config.MessageWindow = toMillis(r.Duration("message_span", 10*time.Second, 0, time.Hour))
	// Orders that cannot be deferred must fit into the queue: two messages of one line and a stamp to
	// every proxy.
	if minimum := 2 * float64(config.Proxies) * (config.MessageOverhead + 2); config.QueueLimit < minimum {
		r.Fail("queue_lines", "%v is less than %v, the size of two messages of one line to each of %d proxies", config.QueueLimit, minimum, config.Proxies)
	}
	r.RejectUnknown()
}

// readOtherBlocks reads the blocks reports, roster, custody, mqtt, history and poll. The block poll comes last, as it
// depends on whether slices are leased.
func (d *Director) readOtherBlocks(r *Reader) {
	config := &d.Service.Config
	config.Directors = 1
	block := r.Block("reports", false)
	config.ReportInterval = toMillis(block.Duration("every", 500*time.Millisecond, 10*time.Millisecond, time.Minute))
	config.ReportLinesPerSecond = block.Number("lines_per_second", 1000, 1, 1e6)
	block.RejectUnknown()

	block = r.Block("roster", true)
	d.Discovery.Consul = block.String("consul", Required)
	if u, err := url.Parse(d.Discovery.Consul); err != nil || d.Discovery.Consul != "" && (u.Host == "" || u.Scheme != "http") {
		block.Fail("consul", "%q is not an http URL", d.Discovery.Consul)
	}
	d.Discovery.Service = block.String("service", Required)
	d.Discovery.QueryWait = block.Duration("wait", 30*time.Second, 100*time.Millisecond, 10*time.Minute)
	block.RejectUnknown()

	d.readSliceLease(r)
	d.readMQTT(r)

	block = r.Block("history", false)
	d.History = store.Retention{Versions: block.Int("versions", 10000, 1, 1e7),
		AgeMs: float64(toMillis(block.Duration("age", 24*time.Hour, time.Second, 10000*time.Hour)))}
	block.RejectUnknown()

	block = r.Block("poll", false)
	longest := block.Duration("longest_wait", 30*time.Second, time.Second, time.Hour)
	d.Service.MaxWait = toMillis(longest)
	idle := block.Duration("idle", 2*time.Minute, time.Second, time.Hour)
	if idle < longest {
		block.Fail("longest_wait", "%v is longer than the idle timeout of a connection, %v", longest, idle)
	}
	if d.SliceLease != nil {
		// A proxy polls again within a third of the time to live, so that its tables stay covered by the slice lease.
		d.Service.MaxWait = min(d.Service.MaxWait, toMillis(d.SliceLease.TTL/3))
	}
	d.Service.MaxBases = block.Int("kept_versions", 256, 1, 100000)
	d.LongPoll = longpoll.Limits{MaxHeadBytes: block.Size("most_head", 16<<10, 512, 1<<20),
		MaxBodyBytes:   block.Size("most_body", 4<<20, 512, 64<<20),
		RequestTimeout: block.Duration("slow_request", 10*time.Second, 100*time.Millisecond, 10*time.Minute),
		IdleTimeout:    idle, WriteTimeout: block.Duration("slow_answer", 10*time.Second, 100*time.Millisecond, 10*time.Minute),
		MaxWait: d.Service.MaxWait}
	if d.MQTT != nil {
		d.MQTT.Limits.MaxWait = d.Service.MaxWait
	}
	block.RejectUnknown()
}

// readSliceLease reads the block custody, which is present if several directors hold the slices under leases.
func (d *Director) readSliceLease(r *Reader) {
	config := &d.Service.Config
	all, _ := r.Blocks("custody", 0, 0, 1)
	if len(all) == 0 {
		return
	}
	block := all[0]
	t := &lease.Config{ConsulURL: block.String("consul", d.Discovery.Consul), KeyPrefix: block.String("prefix", "vetchwood"),
		TTL: block.Duration("ttl", 10*time.Second, 200*time.Millisecond, time.Hour), LockDelay: block.Duration("lock_delay", 0, 0, time.Minute),
		AdvertiseURL: block.String("advertise", "http://"+d.Listen), SliceCount: config.Slices}
	if u, err := url.Parse(t.ConsulURL); err != nil || t.ConsulURL != "" && (u.Host == "" || u.Scheme != "http") {
		block.Fail("consul", "%q is not an http URL", t.ConsulURL)
	}
	if u, err := url.Parse(t.AdvertiseURL); err != nil || u.Host == "" || u.Scheme != "http" {
		block.Fail("advertise", "%q is not an http URL", t.AdvertiseURL)
	}
	if config.Slices == 0 {
		block.Fail("", "custody requires slices: without them, each director has separate tables for the proxies that poll it")
	}
	if config.SingleOwner {
		block.Fail("", "custody is not supported with one_owner")
	}
	d.Service.QueriesPeers = block.Bool("learn", true)
	d.SliceLease, d.Service.SlicesLeased = t, true
	block.RejectUnknown()
}

// readMQTT reads the block mqtt, which is present if the director also listens for MQTT.
func (d *Director) readMQTT(r *Reader) {
	all, _ := r.Blocks("mqtt", 0, 0, 1)
	if len(all) == 0 {
		return
	}
	block := all[0]
	m := &MQTT{Listen: d.readSocket(block, "listen", Required)}
	if m.Listen != "" && (m.Listen == d.Listen || m.Listen == d.Admin) {
		block.Fail("listen", "is the same socket as listen or admin of the director")
	}
	m.Limits = mqtt.Limits{MaxPacketBytes: block.Size("most_packet", 4<<20, 512, 64<<20),
		ConnectTimeout: block.Duration("connect", 10*time.Second, 100*time.Millisecond, time.Minute),
		MaxKeepAlive:   block.Duration("keep_alive", time.Minute, time.Second, 10*time.Hour), WriteTimeout: block.Duration("slow_packet", 10*time.Second, 100*time.Millisecond, 10*time.Minute)}
	m.Limits.MaxSessions = block.Int("sessions", 2*d.Service.Config.Proxies+100, 1, 1e6)
	m.Limits.MaxExpiry = toMillis(block.Duration("session", 5*time.Minute, 0, 24*time.Hour))
	m.Limits.AckTimeout = toMillis(block.Duration("unanswered", 30*time.Second, time.Second, time.Hour))
	m.Limits.ConnectsPerSecond = block.Number("connects_per_second", 2000, 1, 1e6)
	m.Limits.MaxWatchers = block.Int("watchers", 50, 0, 200)
	d.MQTT = m
	block.RejectUnknown()
}
