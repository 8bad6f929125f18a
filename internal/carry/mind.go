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
type Bounds struct {
	Zone        string
	InHand      int     // calls at a time, in all
	Queue       int     // calls that may wait for that
	PerHost     int     // calls at a time at one host
	WaitsTables float64 // milliseconds that a call waits for a line
	NoBudget    bool    // further tries without a limit: to measure against
}

// Mind is one proxy's. It is owned by one goroutine at a time.
type Mind struct {
	bounds  Bounds
	chance  pick.Chance
	doc     *tables.Document
	ranges  []part
	tables  map[string]*table
	routes  map[string]*route
	hosts   map[tables.Address]*host
	avoid   *avoid.View[tables.Address]
	gate    *admit.Gate
	budget  *again.Budget
	tallies []*tally.Tally // by director, in the order of the proxy's list
	birth   string
	levels  map[levelOf]*admit.Level
	counts  Counts
}

// Counts are for metrics.
type Counts struct {
	Calls, Throttled, Refused, Bare, Tries, Further, Shut uint64
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
	pick  *pick.Lines
}

type route struct {
	tables.Route
	usual float64 // milliseconds that good answers take, as a decaying mean
}

type host struct {
	place  again.Place
	inHand int
}

// usualShare is the weight of a new answer in the mean of a route.
const usualShare = 0.05

func New(bounds Bounds, birth string, chance pick.Chance) *Mind {
	m := &Mind{bounds: bounds, chance: chance, tables: map[string]*table{}, routes: map[string]*route{},
		hosts: map[tables.Address]*host{}, avoid: avoid.New[tables.Address](0), gate: admit.NewGate(bounds.InHand, bounds.Queue),
		budget: again.NewBudget(), birth: birth, levels: map[levelOf]*admit.Level{}}
	if bounds.NoBudget {
		m.budget = again.NoLimit()
	}
	return m
}

// levelled makes or changes a level; by is how the tables count them.
func levelled(was *admit.Level, by string, to float64) *admit.Level {
	if by == "none" {
		to = 1
	}
	if was != nil && was.ByRate() == (by == "rate") {
		was.Set(to)
		return was
	}
	l := admit.ByShare(to)
	if by == "rate" {
		l = admit.ByRate(to)
	}
	return &l
}

// Follow takes a new document. What is known of hosts that it still names is kept.
func (m *Mind) Follow(d *tables.Document) {
	m.doc = d
	m.avoid.After(d.Ejects)
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
	m.avoid.Keep(func(a tables.Address) bool { return named[a] })
	for a, h := range m.hosts {
		if !named[a] && h.inHand == 0 {
			delete(m.hosts, a)
		}
	}
	for a, h := range d.Hosts {
		m.host(a).place = again.Place{Zone: h.Zone, Cell: h.Cell}
	}
}

// relevel takes the levels of routes from one director's document.
func (m *Mind) relevel(d *tables.Document, from int) {
	for name, r := range d.Routes {
		k := levelOf{from, name}
		m.levels[k] = levelled(m.levels[k], d.LevelsBy, r.Level.Level)
	}
}

// level is that of a call's route where its table is from, and what is ordered beside it.
func (m *Mind) level(c *Call, r *route) (*admit.Level, tables.Level) {
	if c.table != nil {
		if own, known := c.table.doc.Routes[c.Route]; known {
			return m.levels[levelOf{c.table.from, c.Route}], own.Level
		}
	}
	return m.levels[levelOf{0, c.Route}], r.Level
}

func (m *Mind) host(a tables.Address) *host {
	h := m.hosts[a]
	if h == nil {
		h = &host{}
		m.hosts[a] = h
	}
	return h
}

// Bind changes what the proxy can hold. More than that may be in hand for a while.
func (m *Mind) Bind(b Bounds) {
	m.bounds = b
	m.gate.Bind(b.InHand, b.Queue)
}

// Held is the document in force.
func (m *Mind) Held() *tables.Document { return m.doc }

// Call is one in hand. It belongs to the mind; the shell keeps it between the steps.
type Call struct {
	Route, Key string
	Marked     bool // it bears a mark against repeats, without which a keyed call is not known again
	Ticket     admit.Ticket
	Until      float64 // its time limit
	Importance float64
	route      *route
	table      *table
	retry      again.Call
	level      tables.Level
	tried      []tables.Address
	host       tables.Address
	sent       float64
	began      float64
	gated      bool
	counted    bool
}

// Outcome of asking.
type Outcome int

const (
	Go        Outcome = iota
	Throttled         // by a level
	Full              // the proxy holds as much as it may
	Queued            // it waits for its turn
	NoTable           // no line yet; it may wait a little and ask again
	NoRoute           // the tables know no such route
	Over              // its time limit has passed
)

// Come is a call that has just come. Out is a call that gives up its place in the queue for it.
func (m *Mind) Come(c *Call, now float64) (o Outcome, out admit.Ticket) {
	m.counts.Calls++
	c.began = now
	if m.doc == nil {
		return NoTable, 0
	}
	r := m.routes[c.Route]
	if r == nil {
		return NoRoute, 0
	}
	c.Importance = r.Importance
	if c.Until == 0 {
		c.Until = now + r.TimeLimitMs
	}
	m.find(c, r)
	if !c.counted && (c.table != nil || len(m.ranges) == 0) {
		m.Tally(c.from()).AddCall(c.Route, c.name())
		c.counted = true
	}
	var gate *admit.Level
	gate, c.level = m.level(c, r)
	if c.table != nil {
		// The lower level wins, and the table's own way of trying again.
		if own := c.table.levels[c.Route]; own != nil {
			if c.level.Tries = c.table.tries[c.Route]; own.Amount() < gate.Amount() {
				gate = own
			}
		}
	}
	if !gate.In(now, m.chance()) {
		m.counts.Throttled++
		return Throttled, 0
	}
	switch v, out := m.gate.Come(c.Ticket, c.Importance, now, c.Until); v {
	case admit.Wait:
		return Queued, out
	case admit.Refuse:
		m.counts.Refused++
		return Full, 0
	}
	c.gated = true
	m.budget.First(now)
	return Go, 0
}

// Turn is a queued call's.
func (m *Mind) Turn(c *Call, now float64) {
	c.gated = true
	m.budget.First(now)
}

// GiveUp takes a queued call out of the queue; false if it has its turn already.
func (m *Mind) GiveUp(c *Call) bool { return m.gate.Leave(c.Ticket) }

// Wait says how long a throttled client might stay away, in milliseconds.
func (m *Mind) Wait(c *Call) float64 {
	if r := m.routes[c.Route]; r != nil {
		l, _ := m.level(c, r)
		return l.Wait()
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

func (m *Mind) find(c *Call, r *route) {
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
func (m *Mind) lines(t *table, zone string) *lines {
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
	way := map[string]pick.Way{"wheel": pick.ByWheel, "pair": pick.Pair}[m.doc.Pick]
	l.pick = pick.New(way, weights, m.chance)
	t.lines[zone] = l
	return l
}

// Try is where a call goes next, and until when it may wait there.
type Try struct {
	Host  tables.Address
	Until float64
	Sent  float64 // it must reach the host by then, which would not know an earlier try again
	Nth   int
	Least bool // every line was avoided: this is the least bad of them
}

// First chooses the line of the first try.
func (m *Mind) First(c *Call, now float64) (Try, Outcome) {
	if now >= c.Until {
		return Try{}, Over
	}
	r := m.routes[c.Route]
	if r == nil {
		return Try{}, NoRoute
	}
	m.find(c, r) // the tables may be others than when it came
	repeat := r.Repeat
	if repeat == again.Keyed && !c.Marked {
		repeat = again.Mutating
	}
	c.retry = again.Begin(again.Route{Repeat: repeat, Reach: r.Reach, Span: r.SpanMs, SLO: r.SLOMs, TryWait: m.doc.TryWait},
		c.level.Tries, c.Until)
	return m.choose(c, now)
}

func (m *Mind) choose(c *Call, now float64) (t Try, o Outcome) {
	if c.table == nil {
		return t, NoTable
	}
	zone := ""
	if c.route.OwnZone {
		zone = m.bounds.Zone
	}
	l := m.lines(c.table, zone)
	may := func(i int) bool {
		a := l.hosts[i]
		return !slices.Contains(c.tried, a) && m.host(a).inHand < m.bounds.PerHost && c.retry.Among(m.host(a).place)
	}
	open := func(i int) bool { return may(i) && m.avoid.Open(l.hosts[i], now) }
	at := l.pick.Pick(m.chance, open, func(i int) int { return m.host(l.hosts[i]).inHand })
	if at < 0 && len(c.tried) == 0 {
		// All are avoided or full: a table's lines are all there is, and the least bad answers more than none.
		best := math.Inf(1)
		for i, a := range l.hosts {
			if until := m.avoid.Until(a); may(i) && until < best {
				at, best, t.Least = i, until, true
			}
		}
	}
	if at < 0 {
		if l.pick.Len() > 0 && len(c.tried) == 0 {
			return t, Full
		}
		return t, NoTable
	}
	c.host, c.sent = l.hosts[at], now
	t.Host, t.Until, t.Sent, t.Nth = c.host, c.retry.Wait(now), c.retry.Arrives(), len(c.tried)+1
	m.host(c.host).inHand++
	m.avoid.Begin(c.host, now)
	m.counts.Tries++
	return t, Go
}

// Failure is how a try ended without a good answer.
type Failure int

const (
	NotSent   Failure = iota // no byte of it left
	Unclear                  // no whole answer came
	Busy                     // the host turned it away
	Errored                  // the host answered that it failed
	Abandoned                // its client gave up
)

// Answered ends a try that was answered well.
func (m *Mind) Answered(c *Call, now float64, load logic.Load) {
	m.host(c.host).inHand--
	took := now - c.sent
	m.avoid.End(c.host, true, now, 0)
	m.Tally(c.from()).AddTry(c.Route, c.host, true, took, load)
	if r := m.routes[c.Route]; r != nil {
		if r.usual == 0 {
			r.usual = took
		}
		r.usual += (took - r.usual) * usualShare
	}
}

// Failed ends a try that was not, and says whether and where there is another.
func (m *Mind) Failed(c *Call, f Failure, now float64, load logic.Load) (Try, again.Verdict) {
	h := m.host(c.host)
	h.inHand--
	if f == Abandoned {
		m.avoid.Unended(c.host)
		m.Tally(c.from()).AddTry(c.Route, c.host, false, 0, load)
		return Try{}, again.NotOrdered
	}
	if m.avoid.End(c.host, false, now, m.chance()) {
		m.counts.Shut++
	}
	m.Tally(c.from()).AddTry(c.Route, c.host, false, 0, load)
	fate := again.MayHaveRun
	if f == NotSent || f == Busy && m.doc.FullIsProof {
		fate = again.NeverRan
	}
	c.retry.Failed(fate, h.place, c.sent)
	c.tried = append(c.tried, c.host)
	r := m.routes[c.Route]
	if r == nil {
		return Try{}, again.NotOrdered
	}
	if v := c.retry.Next(now, r.usual, m.budget); v != again.Goes {
		return Try{}, v
	}
	m.find(c, r)
	t, o := m.choose(c, now)
	if o != Go {
		return Try{}, again.Nowhere
	}
	t.Until = min(t.Until, c.Until)
	m.counts.Further++
	return t, again.Goes
}

// Done ends a call. Next is a queued call whose turn it is, out those whose clients have given up.
func (m *Mind) Done(c *Call, answered bool, now float64) (next admit.Ticket, out []admit.Ticket) {
	if !answered && c.counted && c.gated {
		m.Tally(c.from()).AddUnanswered(c.Route, c.name())
	}
	if !c.gated {
		return 0, nil
	}
	c.gated = false
	return m.gate.End(now)
}

// Bare counts a call that found no line in time.
func (m *Mind) Bare() { m.counts.Bare++ }

// Tally is what is to be reported to a director, by its place in the proxy's list.
func (m *Mind) Tally(director int) *tally.Tally {
	for len(m.tallies) <= director {
		m.tallies = append(m.tallies, tally.New(m.birth))
	}
	return m.tallies[director]
}

// Counts and the rest are for metrics.
func (m *Mind) Counts() Counts               { return m.counts }
func (m *Mind) Load() (running, waiting int) { return m.gate.Running(), m.gate.Waiting() }
func (m *Mind) Avoided(now float64) int      { return m.avoid.Shut(now) }
func (m *Mind) WaitsTables() float64         { return m.bounds.WaitsTables }
func (m *Mind) Route(name string) (r tables.Route, is bool) {
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
