// Package carry holds a proxy's choices about the calls it carries: which table, whether a call is let in, which
// line, whether to try again, and what to report. It obeys the tables, and overrides none. No I/O, no clock; chance
// and time are handed in.
package carry

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"vetchwood/internal/admit"
	"vetchwood/internal/again"
	"vetchwood/internal/avoid"
	"vetchwood/internal/pick"
	"vetchwood/internal/tables"
	"vetchwood/internal/tally"
	"vetchwood/logic"

	"github.com/cespare/xxhash/v2"
)

// Bounds are what the proxy itself can hold.
type Limits struct {
	Zone             string
	MaxInFlight      int     // calls at a time, in all
	MaxQueued        int     // calls that may wait for that
	MaxPerHost       int     // calls at a time at one host
	TableWaitMs      float64 // milliseconds that a call waits for a line
	UnlimitedRetries bool    // further tries without a limit: to measure against
}

// Mind is one proxy's. It is owned by one goroutine at a time.
type Dispatcher struct {
	bounds  Limits
	chance  pick.RandFunc
	doc     *tables.Document
	ranges  []part
	tables  map[string]*table
	routes  map[string]*route
	hosts   map[tables.Address]*host
	avoid   *avoid.Detector[tables.Address]
	gate    *admit.Limiter
	budget  *again.Budget
	tallies []*tally.Tally // by director, in the order of the proxy's list
	birth   string
	levels  map[levelOf]*admit.Level
	counts  Counters
}

// Counts are for metrics.
type Counters struct {
	Calls, Throttled, Rejected, NoLine, Tries, Retries, Ejections uint64
}

// part is a range of hashes and its table.
type part struct {
	from, to uint64
	name     string
}

// table is one of the document's, ready to be picked from.
type table struct {
	name   string
	levels map[string]*admit.Level
	tries  map[string]int
	lines  map[string]*lines // by zone asked for; "" is any
	of     *tables.Table
	doc    *tables.Document // that its masks and levels are in
	from   int              // whose word it is
}

// levelOf names a route's level by a director: it holds for that one's slices alone.
type levelOf struct {
	from  int
	route string
}

type lines struct {
	hosts []tables.Address
	pick  *pick.Picker
}

type route struct {
	tables.Route
	usual float64 // milliseconds that good answers take, as a decaying mean
}

type host struct {
	place  again.Location
	inHand int
}

// usualShare is the weight of a new answer in the mean of a route.
const usualShare = 0.05

func New(bounds Limits, birth string, chance pick.RandFunc) *Dispatcher {
	m := &Dispatcher{bounds: bounds, chance: chance, tables: map[string]*table{}, routes: map[string]*route{},
		hosts: map[tables.Address]*host{}, avoid: avoid.New[tables.Address](0), gate: admit.NewLimiter(bounds.MaxInFlight, bounds.MaxQueued),
		budget: again.NewBudget(), birth: birth, levels: map[levelOf]*admit.Level{}}
	if bounds.UnlimitedRetries {
		m.budget = again.NewUnlimitedBudget()
	}
	return m
}

// levelled makes or changes a level; by is how the tables count them.
func levelled(was *admit.Level, by string, to float64) *admit.Level {
	if by == "none" {
		to = 1
	}
	if was != nil && was.IsRate() == (by == "rate") {
		was.Set(to)
		return was
	}
	l := admit.NewShareLevel(to)
	if by == "rate" {
		l = admit.NewRateLevel(to)
	}
	return &l
}

// Follow takes a new document. What is known of hosts that it still names is kept.
func (m *Dispatcher) SetDocument(d *tables.Document) {
	m.doc = d
	m.avoid.SetThreshold(d.Ejects)
	for name := range m.routes {
		if _, stays := d.Routes[name]; !stays {
			delete(m.routes, name)
		}
	}
	for name, r := range d.Routes {
		was := m.routes[name]
		if was == nil {
			was = &route{}
			m.routes[name] = was
		}
		was.Route = r
	}
	m.relevel(d, 0)
	for _, s := range d.Sources {
		m.relevel(s.Doc, s.From)
	}
	m.ranges = m.ranges[:0]
	old := m.tables
	m.tables = make(map[string]*table, len(d.Tables))
	for name, t := range d.Tables {
		now := &table{name: name, of: t, lines: map[string]*lines{}, levels: map[string]*admit.Level{}, tries: map[string]int{}}
		for r, l := range t.Levels {
			var was *admit.Level
			if o := old[name]; o != nil {
				was = o.levels[r]
			}
			now.levels[r], now.tries[r] = levelled(was, d.LevelsBy, l.Level), l.Tries
		}
		now.doc, now.from = d.Of(name)
		m.tables[name] = now
		if t.From != nil {
			m.ranges = append(m.ranges, part{*t.From, *t.To, name})
		}
	}
	slices.SortFunc(m.ranges, func(a, b part) int { return cmp.Compare(a.from, b.from) })
	named := map[tables.Address]bool{}
	for _, t := range d.Tables {
		for a := range t.Lines {
			named[a] = true
		}
	}
	m.avoid.Retain(func(a tables.Address) bool { return named[a] })
	for a, h := range m.hosts {
		if !named[a] && h.inHand == 0 {
			delete(m.hosts, a)
		}
	}
	for a, h := range d.Hosts {
		m.host(a).place = again.Location{Zone: h.Zone, Cell: h.Cell}
	}
}

// relevel takes the levels of routes from one director's document.
func (m *Dispatcher) relevel(d *tables.Document, from int) {
	for name, r := range d.Routes {
		k := levelOf{from, name}
		m.levels[k] = levelled(m.levels[k], d.LevelsBy, r.Level.Level)
	}
}

// level is that of a call's route where its table is from, and what is ordered beside it.
func (m *Dispatcher) level(c *Call, r *route) (*admit.Level, tables.Level) {
	if c.table != nil {
		if own, known := c.table.doc.Routes[c.Route]; known {
			return m.levels[levelOf{c.table.from, c.Route}], own.Level
		}
	}
	return m.levels[levelOf{0, c.Route}], r.Level
}

func (m *Dispatcher) host(a tables.Address) *host {
	h := m.hosts[a]
	if h == nil {
		h = &host{}
		m.hosts[a] = h
	}
	return h
}

// Bind changes what the proxy can hold. More than that may be in hand for a while.
func (m *Dispatcher) SetLimits(b Limits) {
	m.bounds = b
	m.gate.SetLimits(b.MaxInFlight, b.MaxQueued)
}

// Held is the document in force.
func (m *Dispatcher) Document() *tables.Document { return m.doc }

// Call is one in hand. It belongs to the mind; the shell keeps it between the steps.
type Call struct {
	Route, Key        string
	HasIdempotencyKey bool // it bears a mark against repeats, without which a keyed call is not known again
	Ticket            admit.Ticket
	Deadline          float64 // its time limit
	Importance        float64
	route             *route
	table             *table
	retry             again.State
	level             tables.Level
	tried             []tables.Address
	host              tables.Address
	sent              float64
	began             float64
	gated             bool
	counted           bool
}

// Outcome of asking.
type Outcome int

const (
	Proceed          Outcome = iota
	Throttled                // by a level
	AtCapacity               // the proxy holds as much as it may
	Queued                   // it waits for its turn
	NoLine                   // no line yet; it may wait a little and ask again
	NoRoute                  // the tables know no such route
	DeadlineExceeded         // its time limit has passed
)

// Come is a call that has just come. Out is a call that gives up its place in the queue for it.
func (m *Dispatcher) Admit(c *Call, now float64) (o Outcome, out admit.Ticket) {
	m.counts.Calls++
	c.began = now
	if m.doc == nil {
		return NoLine, 0
	}
	r := m.routes[c.Route]
	if r == nil {
		return NoRoute, 0
	}
	c.Importance = r.Importance
	if c.Deadline == 0 {
		c.Deadline = now + r.TimeLimitMs
	}
	m.find(c, r)
	if !c.counted && (c.table != nil || len(m.ranges) == 0) {
		m.Tally(c.from()).Came(c.Route, c.name())
		c.counted = true
	}
	var gate *admit.Level
	gate, c.level = m.level(c, r)
	if c.table != nil {
		// The lower level wins, and the table's own way of trying again.
		if own := c.table.levels[c.Route]; own != nil {
			if c.level.Tries = c.table.tries[c.Route]; own.Value() < gate.Value() {
				gate = own
			}
		}
	}
	if !gate.Admit(now, m.chance()) {
		m.counts.Throttled++
		return Throttled, 0
	}
	switch v, out := m.gate.Acquire(c.Ticket, c.Importance, now, c.Deadline); v {
	case admit.Queued:
		return Queued, out
	case admit.Rejected:
		m.counts.Rejected++
		return AtCapacity, 0
	}
	c.gated = true
	m.budget.RecordFirstTry(now)
	return Proceed, 0
}

// Turn is a queued call's.
func (m *Dispatcher) Dequeued(c *Call, now float64) {
	c.gated = true
	m.budget.RecordFirstTry(now)
}

// GiveUp takes a queued call out of the queue; false if it has its turn already.
func (m *Dispatcher) CancelQueued(c *Call) bool { return m.gate.Cancel(c.Ticket) }

// Wait says how long a throttled client might stay away, in milliseconds.
func (m *Dispatcher) RetryAfter(c *Call) float64 {
	if r := m.routes[c.Route]; r != nil {
		l, _ := m.level(c, r)
		return l.RetryAfter()
	}
	return 1000
}

func (c *Call) name() string {
	if c.table == nil {
		return ""
	}
	return c.table.name
}

func (c *Call) from() int {
	if c.table == nil {
		return 0
	}
	return c.table.from
}

// Table is the name of the call's table, and Version is not kept: the tables of now hold for each try.
func (c *Call) Table() string { return c.name() }

func (m *Dispatcher) find(c *Call, r *route) {
	c.route, c.table = r, nil
	if len(m.ranges) > 0 {
		h := xxhash.Sum64String(c.Key) >> 32
		i, exact := slices.BinarySearchFunc(m.ranges, h, func(p part, h uint64) int { return cmp.Compare(p.from, h) })
		if !exact {
			i--
		}
		if i >= 0 && h <= m.ranges[i].to {
			c.table = m.tables[m.ranges[i].name]
		}
	} else if r.Table != "" {
		c.table = m.tables[r.Table]
	}
}

// of gives the lines of a table that are not masked, in the zone that a route keeps to.
func (m *Dispatcher) lines(t *table, zone string) *lines {
	if l := t.lines[zone]; l != nil {
		return l
	}
	l := &lines{}
	var weights []float64
	for _, a := range slices.Sorted(maps.Keys(t.of.Lines)) {
		if !t.doc.Masked[a] && (zone == "" || m.doc.Hosts[a].Zone == zone) {
			l.hosts, weights = append(l.hosts, a), append(weights, t.of.Lines[a])
		}
	}
	way := map[string]pick.Policy{"wheel": pick.RoundRobin, "pair": pick.TwoChoices}[m.doc.Pick]
	l.pick = pick.New(way, weights, m.chance)
	t.lines[zone] = l
	return l
}

// Try is where a call goes next, and until when it may wait there.
type Try struct {
	Host       tables.Address
	Deadline   float64
	ArriveBy   float64 // it must reach the host by then, which would not know an earlier try again
	Number     int
	LastResort bool // every line was avoided: this is the least bad of them
}

// First chooses the line of the first try.
func (m *Dispatcher) FirstTry(c *Call, now float64) (Try, Outcome) {
	if now >= c.Deadline {
		return Try{}, DeadlineExceeded
	}
	r := m.routes[c.Route]
	if r == nil {
		return Try{}, NoRoute
	}
	m.find(c, r) // the tables may be others than when it came
	repeat := r.Repeat
	if repeat == again.IdempotentByKey && !c.HasIdempotencyKey {
		repeat = again.NonIdempotent
	}
	c.retry = again.NewState(again.Route{Idempotency: repeat, DedupScope: r.Reach, DedupWindow: r.SpanMs, SLO: r.SLOMs, TryTimeoutShare: m.doc.TryWait},
		c.level.Tries, c.Deadline)
	return m.choose(c, now)
}

func (m *Dispatcher) choose(c *Call, now float64) (t Try, o Outcome) {
	if c.table == nil {
		return t, NoLine
	}
	zone := ""
	if c.route.OwnZone {
		zone = m.bounds.Zone
	}
	l := m.lines(c.table, zone)
	may := func(i int) bool {
		a := l.hosts[i]
		return !slices.Contains(c.tried, a) && m.host(a).inHand < m.bounds.MaxPerHost && c.retry.Allows(m.host(a).place)
	}
	open := func(i int) bool { return may(i) && m.avoid.Available(l.hosts[i], now) }
	at := l.pick.Pick(m.chance, open, func(i int) int { return m.host(l.hosts[i]).inHand })
	if at < 0 && len(c.tried) == 0 {
		// All are avoided or full: a table's lines are all there is, and the least bad answers more than none.
		best := math.Inf(1)
		for i, a := range l.hosts {
			if until := m.avoid.EjectedUntil(a); may(i) && until < best {
				at, best, t.LastResort = i, until, true
			}
		}
	}
	if at < 0 {
		if l.pick.Len() > 0 && len(c.tried) == 0 {
			return t, AtCapacity
		}
		return t, NoLine
	}
	c.host, c.sent = l.hosts[at], now
	t.Host, t.Deadline, t.ArriveBy, t.Number = c.host, c.retry.TryDeadline(now), c.retry.ArriveBy(), len(c.tried)+1
	m.host(c.host).inHand++
	m.avoid.TryStarted(c.host, now)
	m.counts.Tries++
	return t, Proceed
}

// Failure is how a try ended without a good answer.
type Failure int

const (
	NotSent     Failure = iota // no byte of it left
	NoAnswer                   // no whole answer came
	Rejected                   // the host turned it away
	ServerError                // the host answered that it failed
	Canceled                   // its client gave up
)

// Answered ends a try that was answered well.
func (m *Dispatcher) TrySucceeded(c *Call, now float64, load logic.Load) {
	m.host(c.host).inHand--
	took := now - c.sent
	m.avoid.TryEnded(c.host, true, now, 0)
	m.Tally(c.from()).Tried(c.Route, c.host, true, took, load)
	if r := m.routes[c.Route]; r != nil {
		if r.usual == 0 {
			r.usual = took
		}
		r.usual += (took - r.usual) * usualShare
	}
}

// Failed ends a try that was not, and says whether and where there is another.
func (m *Dispatcher) TryFailed(c *Call, f Failure, now float64, load logic.Load) (Try, again.Verdict) {
	h := m.host(c.host)
	h.inHand--
	if f == Canceled {
		m.avoid.TryCanceled(c.host)
		m.Tally(c.from()).Tried(c.Route, c.host, false, 0, load)
		return Try{}, again.NotAllowed
	}
	if m.avoid.TryEnded(c.host, false, now, m.chance()) {
		m.counts.Ejections++
	}
	m.Tally(c.from()).Tried(c.Route, c.host, false, 0, load)
	fate := again.MayHaveRun
	if f == NotSent || f == Rejected && m.doc.FullIsProof {
		fate = again.NeverRan
	}
	c.retry.RecordFailure(fate, h.place, c.sent)
	c.tried = append(c.tried, c.host)
	r := m.routes[c.Route]
	if r == nil {
		return Try{}, again.NotAllowed
	}
	if v := c.retry.Decide(now, r.usual, m.budget); v != again.Retry {
		return Try{}, v
	}
	m.find(c, r)
	t, o := m.choose(c, now)
	if o != Proceed {
		return Try{}, again.NoLine
	}
	t.Deadline = min(t.Deadline, c.Deadline)
	m.counts.Retries++
	return t, again.Retry
}

// Done ends a call. Next is a queued call whose turn it is, out those whose clients have given up.
func (m *Dispatcher) EndCall(c *Call, answered bool, now float64) (next admit.Ticket, out []admit.Ticket) {
	if !answered && c.counted && c.gated {
		m.Tally(c.from()).Unanswered(c.Route, c.name())
	}
	if !c.gated {
		return 0, nil
	}
	c.gated = false
	return m.gate.Release(now)
}

// Bare counts a call that found no line in time.
func (m *Dispatcher) CountNoLine() { m.counts.NoLine++ }

// Tally is what is to be reported to a director, by its place in the proxy's list.
func (m *Dispatcher) Tally(director int) *tally.Tally {
	for len(m.tallies) <= director {
		m.tallies = append(m.tallies, tally.New(m.birth))
	}
	return m.tallies[director]
}

// Counts and the rest are for metrics.
func (m *Dispatcher) Counters() Counters                { return m.counts }
func (m *Dispatcher) Occupancy() (running, waiting int) { return m.gate.Running(), m.gate.Queued() }
func (m *Dispatcher) EjectedHosts(now float64) int      { return m.avoid.EjectedCount(now) }
func (m *Dispatcher) TableWaitMs() float64              { return m.bounds.TableWaitMs }
func (m *Dispatcher) Route(name string) (r tables.Route, is bool) {
	if x := m.routes[name]; x != nil {
		return x.Route, true
	}
	return r, false
}

func (o Outcome) String() string {
	return [...]string{"go", "throttled", "full", "queued", "no table", "no route", "over"}[o]
}

func (f Failure) String() string {
	if f < 0 {
		return "none"
	}
	return [...]string{"not sent", "no answer", "turned away", "error", "given up"}[f]
}
