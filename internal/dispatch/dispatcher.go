// Package dispatch makes a proxy's decisions about the calls it forwards: which table applies, whether a call is
// admitted, which line it goes to, whether it is retried, and what is reported to directors. It follows the tables and
// overrides none of them. It does no I/O and reads no clock; the caller passes the time and a source of random numbers.
package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"vetchwood/internal/admission"
	"vetchwood/internal/loadreport"
	"vetchwood/internal/outlier"
	"vetchwood/internal/pick"
	"vetchwood/internal/retry"
	"vetchwood/internal/tables"
	"vetchwood/logic"

	"github.com/cespare/xxhash/v2"
)

// Limits are the proxy's own limits, independent of the tables.
type Limits struct {
	Zone             string  // zone that the proxy runs in
	MaxInFlight      int     // concurrent calls in total
	MaxQueued        int     // calls that may wait for one of the MaxInFlight places
	MaxPerHost       int     // concurrent calls at one host
	TableWaitMs      float64 // how long a call waits for the first document, in milliseconds
	UnlimitedRetries bool    // disables the retry budget, as a baseline for measurements
}

// Dispatcher holds the decision state of one proxy. It is not safe for concurrent use.
type Dispatcher struct {
	limits      Limits
	random      pick.RandFunc
	doc         *tables.Document
	ranges      []hashRange
	tables      map[string]*table
	routes      map[string]*route
	hosts       map[tables.Address]*host
	detector    *outlier.Detector[tables.Address]
	limiter     *admission.Limiter
	budget      *retry.Budget
	tallies     []*loadreport.Tally // by index of the director in the proxy's list
	instanceID  string
	routeLevels map[levelKey]*admission.Level
	counters    Counters
}

// Counters count events for metrics, since the start of the proxy.
type Counters struct {
	Calls, Throttled, Rejected, NoLine, Tries, Retries, Ejections uint64
}

// hashRange is an inclusive range of key hashes and the name of its table.
type hashRange struct {
	from, to uint64
	table    string
}

// table is a table of the document, prepared for picking.
type table struct {
	name       string
	levels     map[string]*admission.Level
	retryModes map[string]int
	lineSets   map[string]*lineSet // by required zone; "" is any zone
	content    *tables.Table
	doc        *tables.Document // the document that its masks and levels belong to
	director   int              // index of the director that published it
}

// levelKey identifies a route's level as set by one director. It applies only to the slices of that director.
type levelKey struct {
	director int
	route    string
}

// lineSet holds the unmasked lines of a table in one zone, or in all zones.
type lineSet struct {
	hosts  []tables.Address
	picker *pick.Picker
}

// route is a route of the document with its observed latency.
type route struct {
	tables.Route
	meanLatency float64 // of successful tries, in milliseconds, as an exponentially weighted moving average
}

// host is the state of a host as seen by this proxy.
type host struct {
	location retry.Location
	inFlight int
}

// latencyWeight is the weight of a new answer in the moving average of a route's latency.
const latencyWeight = 0.05

// New returns a Dispatcher that has no document yet. The parameter instanceID distinguishes load reports of this run of
// the proxy from those of earlier runs.
func New(limits Limits, instanceID string, random pick.RandFunc) *Dispatcher {
	d := &Dispatcher{limits: limits, random: random, tables: map[string]*table{}, routes: map[string]*route{},
		hosts: map[tables.Address]*host{}, detector: outlier.New[tables.Address](0),
		limiter: admission.NewLimiter(limits.MaxInFlight, limits.MaxQueued),
		budget:  retry.NewBudget(), instanceID: instanceID, routeLevels: map[levelKey]*admission.Level{}}
	if limits.UnlimitedRetries {
		d.budget = retry.NewUnlimitedBudget()
	}
	return d
}

// updateLevel sets the value of an existing level, or returns a new one if there is none or its unit changed. The unit
// is the levels_by of the document: "share", "rate" or "none".
func updateLevel(level *admission.Level, unit string, value float64) *admission.Level {
	if unit == "none" {
		value = 1
	}
	if level != nil && level.IsRate() == (unit == "rate") {
		level.Set(value)
		return level
	}
	l := admission.NewShareLevel(value)
	if unit == "rate" {
		l = admission.NewRateLevel(value)
	}
	return &l
}

// SetDocument puts a new document in force. The state of hosts that it does not name is dropped, unless calls are in
// flight at them.
func (d *Dispatcher) SetDocument(doc *tables.Document) {
	d.doc = doc
	d.detector.SetThreshold(doc.EjectAfterFailures)
	for name := range d.routes {
		if _, found := doc.Routes[name]; !found {
			delete(d.routes, name)
		}
	}
	for name, r := range doc.Routes {
		existing := d.routes[name]
		if existing == nil {
			existing = &route{}
			d.routes[name] = existing
		}
		existing.Route = r
	}
	d.updateRouteLevels(doc, 0)
	for _, s := range doc.Sources {
		d.updateRouteLevels(s.Doc, s.Director)
	}
	d.ranges = d.ranges[:0]
	old := d.tables
	d.tables = make(map[string]*table, len(doc.Tables))
	for name, t := range doc.Tables {
		updated := &table{name: name, content: t, lineSets: map[string]*lineSet{}, levels: map[string]*admission.Level{},
			retryModes: map[string]int{}}
		for r, l := range t.Levels {
			var level *admission.Level
			if o := old[name]; o != nil {
				level = o.levels[r]
			}
			updated.levels[r], updated.retryModes[r] = updateLevel(level, doc.LevelUnit, l.Level), l.RetryMode
		}
		updated.doc, updated.director = doc.SourceOf(name)
		d.tables[name] = updated
		if t.From != nil {
			d.ranges = append(d.ranges, hashRange{*t.From, *t.To, name})
		}
	}
	slices.SortFunc(d.ranges, func(a, b hashRange) int { return cmp.Compare(a.from, b.from) })
	named := map[tables.Address]bool{}
	for _, t := range doc.Tables {
		for a := range t.Lines {
			named[a] = true
		}
	}
	d.detector.Retain(func(a tables.Address) bool { return named[a] })
	for a, h := range d.hosts {
		if !named[a] && h.inFlight == 0 {
			delete(d.hosts, a)
		}
	}
	for a, h := range doc.Hosts {
		d.host(a).location = retry.Location{Zone: h.Zone, Cell: h.Cell}
	}
}

// updateRouteLevels sets the levels of the routes to those in the document of one director.
func (d *Dispatcher) updateRouteLevels(doc *tables.Document, director int) {
	for name, r := range doc.Routes {
		k := levelKey{director, name}
		d.routeLevels[k] = updateLevel(d.routeLevels[k], doc.LevelUnit, r.Level.Level)
	}
}

// routeLevel returns the level of the call's route as set by the director that published the call's table, and the
// entry of that director's document, which also holds the retry mode.
func (d *Dispatcher) routeLevel(c *Call, r *route) (*admission.Level, tables.Level) {
	if c.table != nil {
		if own, found := c.table.doc.Routes[c.Route]; found {
			return d.routeLevels[levelKey{c.table.director, c.Route}], own.Level
		}
	}
	return d.routeLevels[levelKey{0, c.Route}], r.Level
}

// host returns the state of a host and creates it if there is none.
func (d *Dispatcher) host(a tables.Address) *host {
	h := d.hosts[a]
	if h == nil {
		h = &host{}
		d.hosts[a] = h
	}
	return h
}

// SetLimits changes the proxy's limits. Calls in flight are not cut off, so new limits may be exceeded for a while.
func (d *Dispatcher) SetLimits(limits Limits) {
	d.limits = limits
	d.limiter.SetLimits(limits.MaxInFlight, limits.MaxQueued)
}

// Document returns the document in force, nil if there is none yet.
func (d *Dispatcher) Document() *tables.Document { return d.doc }

// Call is one call and the state of its tries. The caller keeps it between the steps; the unexported fields belong to
// the Dispatcher.
type Call struct {
	Route, Key        string
	HasIdempotencyKey bool // without an idempotency key, hosts can't recognize a repeat of the call
	Ticket            admission.Ticket
	Deadline          float64 // 0: Admit sets it by the time limit of the route
	Importance        float64
	route             *route
	table             *table
	retry             retry.State
	level             tables.Level
	triedHosts        []tables.Address
	host              tables.Address
	sentAt            float64
	arrivedAt         float64
	admitted          bool
	counted           bool
}

// Outcome tells whether a call may proceed.
type Outcome int

// The outcomes of Admit and FirstTry.
const (
	Proceed          Outcome = iota
	Throttled                // rejected by an admission level
	AtCapacity               // the proxy or the hosts of the table have no room for another call
	Queued                   // waiting for a place among the calls in flight
	NoLine                   // from Admit: no document yet, the caller may wait and ask again; from FirstTry: no usable line
	NoRoute                  // the document has no such route
	DeadlineExceeded         // the deadline of the call has passed
)

// Admit decides whether a call that just arrived may proceed. If the call displaced a less important one from the
// queue, evicted is the ticket of that one, otherwise 0.
func (d *Dispatcher) Admit(c *Call, now float64) (o Outcome, evicted admission.Ticket) {
	d.counters.Calls++
	c.arrivedAt = now
	if d.doc == nil {
		return NoLine, 0
	}
	r := d.routes[c.Route]
	if r == nil {
		return NoRoute, 0
	}
	c.Importance = r.Importance
	if c.Deadline == 0 {
		c.Deadline = now + r.TimeLimitMs
	}
	d.findTable(c, r)
	if !c.counted && (c.table != nil || len(d.ranges) == 0) {
		d.Tally(c.director()).AddCall(c.Route, c.tableName())
		c.counted = true
	}
	var level *admission.Level
	level, c.level = d.routeLevel(c, r)
	if c.table != nil {
		// The lower of the two levels applies, and the table's own retry mode.
		if own := c.table.levels[c.Route]; own != nil {
			if c.level.RetryMode = c.table.retryModes[c.Route]; own.Value() < level.Value() {
				level = own
			}
		}
	}
	if !level.Admit(now, d.random()) {
		d.counters.Throttled++
		return Throttled, 0
	}
	switch v, evicted := d.limiter.Acquire(c.Ticket, c.Importance, now, c.Deadline); v {
	case admission.Queued:
		return Queued, evicted
	case admission.Rejected:
		d.counters.Rejected++
		return AtCapacity, 0
	}
	c.admitted = true
	d.budget.RecordFirstTry(now)
	return Proceed, 0
}

// Dequeued records that a queued call got its place among the calls in flight.
func (d *Dispatcher) Dequeued(c *Call, now float64) {
	c.admitted = true
	d.budget.RecordFirstTry(now)
}

// CancelQueued removes a call from the queue and reports whether it was still there.
func (d *Dispatcher) CancelQueued(c *Call) bool { return d.limiter.Cancel(c.Ticket) }

// RetryAfter returns how long a throttled client should wait before it repeats the call, in milliseconds.
func (d *Dispatcher) RetryAfter(c *Call) float64 {
	if r := d.routes[c.Route]; r != nil {
		l, _ := d.routeLevel(c, r)
		return l.RetryAfter()
	}
	return 1000
}

func (c *Call) tableName() string {
	if c.table == nil {
		return ""
	}
	return c.table.name
}

// director returns the index of the director that published the call's table.
func (c *Call) director() int {
	if c.table == nil {
		return 0
	}
	return c.table.director
}

// Table returns the name of the call's table, "" if it has none. The table is looked up again for each try, in the
// tables then in force.
func (c *Call) Table() string { return c.tableName() }

// findTable looks up the call's table: by the hash of its key if the tables are slices, otherwise by its route.
func (d *Dispatcher) findTable(c *Call, r *route) {
	c.route, c.table = r, nil
	if len(d.ranges) > 0 {
		h := xxhash.Sum64String(c.Key) >> 32
		i, exact := slices.BinarySearchFunc(d.ranges, h, func(r hashRange, h uint64) int { return cmp.Compare(r.from, h) })
		if !exact {
			i--
		}
		if i >= 0 && h <= d.ranges[i].to {
			c.table = d.tables[d.ranges[i].table]
		}
	} else if r.Table != "" {
		c.table = d.tables[r.Table]
	}
}

// lineSet returns the unmasked lines of a table in a zone; an empty zone stands for all zones.
func (d *Dispatcher) lineSet(t *table, zone string) *lineSet {
	if l := t.lineSets[zone]; l != nil {
		return l
	}
	l := &lineSet{}
	var weights []float64
	for _, a := range slices.Sorted(maps.Keys(t.content.Lines)) {
		if !t.doc.Masked[a] && (zone == "" || d.doc.Hosts[a].Zone == zone) {
			l.hosts, weights = append(l.hosts, a), append(weights, t.content.Lines[a])
		}
	}
	policy := map[string]pick.Policy{"wheel": pick.RoundRobin, "pair": pick.TwoChoices}[d.doc.PickPolicy]
	l.picker = pick.New(policy, weights, d.random)
	t.lineSets[zone] = l
	return l
}

// Try is the next attempt of a call.
type Try struct {
	Host       tables.Address
	Deadline   float64
	ArriveBy   float64 // the try must reach the host by then, since later the host no longer recognizes earlier tries
	Number     int     // 1 for the first try
	LastResort bool    // every line was ejected or full, so the one with the earliest end of ejection was picked
}

// FirstTry picks the host of the first try.
func (d *Dispatcher) FirstTry(c *Call, now float64) (Try, Outcome) {
	if now >= c.Deadline {
		return Try{}, DeadlineExceeded
	}
	r := d.routes[c.Route]
	if r == nil {
		return Try{}, NoRoute
	}
	d.findTable(c, r) // the tables may have changed since the call arrived
	idempotency := r.Idempotency
	if idempotency == retry.IdempotentByKey && !c.HasIdempotencyKey {
		idempotency = retry.NonIdempotent
	}
	c.retry = retry.NewState(retry.Route{Idempotency: idempotency, DedupScope: r.DedupScope, DedupWindow: r.DedupWindowMs, SLO: r.SLOMs,
		TryTimeoutShare: d.doc.TryTimeoutShare}, c.level.RetryMode, c.Deadline)
	return d.pickHost(c, now)
}

// pickHost picks the host of the next try and counts the try as in flight there.
func (d *Dispatcher) pickHost(c *Call, now float64) (t Try, o Outcome) {
	if c.table == nil {
		return t, NoLine
	}
	zone := ""
	if c.route.OwnZone {
		zone = d.limits.Zone
	}
	l := d.lineSet(c.table, zone)
	eligible := func(i int) bool {
		a := l.hosts[i]
		return !slices.Contains(c.triedHosts, a) && d.host(a).inFlight < d.limits.MaxPerHost && c.retry.Allows(d.host(a).location)
	}
	available := func(i int) bool { return eligible(i) && d.detector.Available(l.hosts[i], now) }
	index := l.picker.Pick(d.random, available, func(i int) int { return d.host(l.hosts[i]).inFlight })
	if index < 0 && len(c.triedHosts) == 0 {
		// All hosts are ejected or full. The table has no others, and a try at the least bad host answers more calls
		// than none.
		best := math.Inf(1)
		for i, a := range l.hosts {
			if until := d.detector.EjectedUntil(a); eligible(i) && until < best {
				index, best, t.LastResort = i, until, true
			}
		}
	}
	if index < 0 {
		if l.picker.Len() > 0 && len(c.triedHosts) == 0 {
			return t, AtCapacity
		}
		return t, NoLine
	}
	c.host, c.sentAt = l.hosts[index], now
	t.Host, t.Deadline, t.ArriveBy, t.Number = c.host, c.retry.TryDeadline(now), c.retry.ArriveBy(), len(c.triedHosts)+1
	d.host(c.host).inFlight++
	d.detector.TryStarted(c.host, now)
	d.counters.Tries++
	return t, Proceed
}

// Failure is the way a try failed.
type Failure int

// The kinds of failure.
const (
	NotSent     Failure = iota // no byte of the request was sent
	NoAnswer                   // no complete answer arrived
	Rejected                   // the host rejected the call because of overload (status 503 or 429)
	ServerError                // the host answered with a server error
	Canceled                   // the client closed its connection
)

// TrySucceeded records that the current try got a successful answer.
func (d *Dispatcher) TrySucceeded(c *Call, now float64, load logic.Load) {
	d.host(c.host).inFlight--
	latency := now - c.sentAt
	d.detector.TryEnded(c.host, true, now, 0)
	d.Tally(c.director()).AddTry(c.Route, c.host, true, latency, load)
	if r := d.routes[c.Route]; r != nil {
		if r.meanLatency == 0 {
			r.meanLatency = latency
		}
		r.meanLatency += (latency - r.meanLatency) * latencyWeight
	}
}

// TryFailed records that the current try failed, and returns the next one if the verdict is retry.Allowed.
func (d *Dispatcher) TryFailed(c *Call, f Failure, now float64, load logic.Load) (Try, retry.Verdict) {
	h := d.host(c.host)
	h.inFlight--
	if f == Canceled {
		d.detector.TryCanceled(c.host)
		d.Tally(c.director()).AddTry(c.Route, c.host, false, 0, load)
		return Try{}, retry.NotAllowed
	}
	if d.detector.TryEnded(c.host, false, now, d.random()) {
		d.counters.Ejections++
	}
	d.Tally(c.director()).AddTry(c.Route, c.host, false, 0, load)
	execution := retry.MayHaveRun
	if f == NotSent || f == Rejected && d.doc.RejectedDidNotRun {
		execution = retry.NeverRan
	}
	c.retry.RecordFailure(execution, h.location, c.sentAt)
	c.triedHosts = append(c.triedHosts, c.host)
	r := d.routes[c.Route]
	if r == nil {
		return Try{}, retry.NotAllowed
	}
	if v := c.retry.Decide(now, r.meanLatency, d.budget); v != retry.Allowed {
		return Try{}, v
	}
	d.findTable(c, r)
	t, o := d.pickHost(c, now)
	if o != Proceed {
		return Try{}, retry.NoLine
	}
	t.Deadline = min(t.Deadline, c.Deadline)
	d.counters.Retries++
	return t, retry.Allowed
}

// EndCall records the end of a call. Next is the queued call that takes its place, 0 if there is none, and expired are
// queued calls whose deadlines have passed.
func (d *Dispatcher) EndCall(c *Call, answered bool, now float64) (next admission.Ticket, expired []admission.Ticket) {
	if !answered && c.counted && c.admitted {
		d.Tally(c.director()).AddUnanswered(c.Route, c.tableName())
	}
	if !c.admitted {
		return 0, nil
	}
	c.admitted = false
	return d.limiter.Release(now)
}

// CountNoLine counts a call that ended before the proxy had a document.
func (d *Dispatcher) CountNoLine() { d.counters.NoLine++ }

// Tally returns the counts not yet reported to a director, given by its index in the proxy's list.
func (d *Dispatcher) Tally(director int) *loadreport.Tally {
	for len(d.tallies) <= director {
		d.tallies = append(d.tallies, loadreport.New(d.instanceID))
	}
	return d.tallies[director]
}

// Counters returns the counters for metrics.
func (d *Dispatcher) Counters() Counters { return d.counters }

// Occupancy returns how many calls are in flight and how many are queued.
func (d *Dispatcher) Occupancy() (running, queued int) {
	return d.limiter.Running(), d.limiter.Queued()
}

// EjectedHosts returns how many hosts are ejected now.
func (d *Dispatcher) EjectedHosts(now float64) int { return d.detector.EjectedCount(now) }

// TableWaitMs returns how long a call waits for the first document, in milliseconds.
func (d *Dispatcher) TableWaitMs() float64 { return d.limits.TableWaitMs }

// Route returns a route of the document in force.
func (d *Dispatcher) Route(name string) (r tables.Route, found bool) {
	if x := d.routes[name]; x != nil {
		return x.Route, true
	}
	return r, false
}

// String returns the name of the outcome in traces.
func (o Outcome) String() string {
	return [...]string{"go", "throttled", "full", "queued", "no table", "no route", "over"}[o]
}

// String returns the name of the failure in traces, "none" for a negative value.
func (f Failure) String() string {
	if f < 0 {
		return "none"
	}
	return [...]string{"not sent", "no answer", "turned away", "error", "given up"}[f]
}
