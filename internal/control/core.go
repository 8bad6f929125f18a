package control

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"

	"vetchwood/internal/channel"
	"vetchwood/internal/park"
	"vetchwood/internal/sums"
	"vetchwood/internal/tables"
	"vetchwood/internal/versions"
	"vetchwood/logic"
)

// Core is one director's.
type Core struct {
	svc              Service
	module           *logic.Director
	ids              *idRegistry
	line             tables.Line
	current          *world      // as ordered
	stored           *world      // the newest that would outlive a crash
	firstStep        tables.Step // the first of this start
	unsaved          []*pendingStep
	channel          *channel.Channel
	aggregator       *sums.Aggregator
	proxies          map[logic.ProxyID]*joinedProxy
	joined           []logic.ProxyID // joined, in order
	heldSteps        versions.Index[logic.ProxyID]
	catchingUp       map[logic.ProxyID]bool // that read what was ordered before they joined as it is stored
	bases            map[tables.Tag]*tables.Document
	baseTags         []tables.Tag
	view             lotView
	heldBack         []*pendingStep // stored, and held back until a removal has been shown to all lots
	timers           []timer
	routeIDs         map[string]logic.RouteID
	listed           map[tables.Address]bool
	lastRefresh      logic.Millis
	newestBase       *tables.Document // the newest that was kept
	hostList         []HostEntry      // the list as it was told last
	pinned           map[logic.TableID]Pin
	lastOperatorStep tables.Step // the newest version by an operator
	changeCause      cause
	watchers         map[Ticket]watcher
	ownership        *custody // nil: all slices are ours
	observations     *known
	listLostAt       logic.Millis // since when the list does not answer; 0: it does
	slicesAssignedAt logic.Millis // when slices came last
	peersQueriedAt   logic.Millis // when the others were asked last
	peerStates       map[tables.Address]believed
	expectedDemand   map[logic.TableID][]expectation
	// healthFrom are hosts of which another's health was taken over; once is enough, or it would count again and again.
	healthAdopted map[tables.Address]bool
	events        []any
	out           []any
	stats         Stats
}

type timer struct {
	at logic.Millis
	id logic.TimerID
}

// step is a world on its way to the store, with the messages that wait for it.
type pendingStep struct {
	state       *world
	messages    []channel.Message
	changed     []logic.TableID
	removesHost bool // a host from all tables
}

// New is a director's start. What it returns first must be carried out before the first Handle.
func New(seed uint64, now logic.Millis, svc Service, saved SavedState) (*Core, []any) {
	f := svc.Config
	c := &Core{svc: svc, module: logic.New(seed, f), ids: newIDRegistry(svc.Zones, f.Proxies, &saved), line: saved.Line,
		channel:    channel.New(f.LinesPerSecond, f.MessageWindow),
		aggregator: sums.New(f.Slices > 0, f.ReportInterval, f.ReportLinesPerSecond), proxies: map[logic.ProxyID]*joinedProxy{},
		catchingUp: map[logic.ProxyID]bool{}, view: lotView{dirty: true, validUntil: logic.Millis(math.Inf(1))}, bases: map[tables.Tag]*tables.Document{}, routeIDs: map[string]logic.RouteID{},
		listed: map[tables.Address]bool{}, observations: newKnown(now), watchers: map[Ticket]watcher{}, peerStates: map[tables.Address]believed{},
		expectedDemand: map[logic.TableID][]expectation{}, healthAdopted: map[tables.Address]bool{}}
	for i, r := range svc.Routes {
		c.routeIDs[r.Name] = logic.RouteID(i)
	}
	w := &world{step: saved.Step, at: saved.At, tables: saved.Tables, masked: saved.Masked, levels: saved.Levels,
		bound: map[logic.ProxyID][]logic.TableID{}, carried: saved.Carried, docs: map[string]*tables.Document{}}
	if w.masked == nil {
		w.masked = map[tables.Address]bool{}
	}
	for r := len(w.levels); r < len(svc.Routes); r++ {
		w.levels = append(w.levels, svc.Routes[r].Level)
	}
	w.levels = w.levels[:len(svc.Routes)]
	c.current, c.stored = w, w
	// Opening state is a step of its own, so that nothing is told that is not stored.
	d := c.draft(float64(now))
	d.change.Levels = d.is.levels
	if svc.SlicesLeased {
		d.bare()
	} else if f.Slices > 0 {
		for t := range logic.TableID(f.Slices) {
			if d.is.tables[t] == nil {
				d.table(t)
			}
		}
		for t := range d.is.tables {
			if int(t) >= f.Slices {
				if d.change.Tables == nil {
					d.change.Tables = map[logic.TableID]*tables.Table{}
				}
				delete(d.is.tables, t)
				d.change.Tables[t] = nil
			}
		}
	} else {
		d.carryOverTables(&saved)
	}
	c.events = append(c.events, logic.HostList{Kind: logic.HostListFromDisk, Entries: c.hostEntries(saved.List, now)})
	c.hostList, c.pinned = saved.List, map[logic.TableID]Pin{}
	maps.Copy(c.pinned, saved.Pinned)
	for t := range logic.TableID(f.Slices) {
		if _, held := c.pinned[t]; !held && !svc.SlicesLeased {
			c.give(t, d.is)
		}
	}
	for _, a := range slices.Sorted(maps.Keys(d.is.masked)) {
		if k, known := c.ids.hosts[a]; known {
			c.events = append(c.events, logic.InheritedMask{Host: k.Number})
		}
	}
	c.out = nil
	d.change.Known = c.ids.hosts
	if f.Slices > 0 && saved.Step > 0 && !svc.SlicesLeased {
		c.keepBase(c.document(w, 0)) // most proxies hold it, and need no more than the difference
	}
	c.current, c.firstStep = d.is, d.is.step
	c.unsaved = append(c.unsaved, &pendingStep{state: d.is})
	c.out = append(c.out, Persist{d.change})
	return c, c.takeOutputs()
}

// carry keeps what proxies with tables of their own held before the start: the module lays new ones from the
// same numbers, and a proxy goes by the old until it is bound anew.
func (d *draft) carryOverTables(saved *SavedState) {
	d.is.carried = map[logic.ProxyID]map[string]*tables.Table{}
	for id, old := range saved.Carried {
		d.is.carried[id] = maps.Clone(old)
	}
	for id, by := range saved.Bound {
		for r, t := range by {
			if table := saved.Tables[t]; table != nil && r < len(d.c.svc.Routes) {
				if d.is.carried[id] == nil {
					d.is.carried[id] = map[string]*tables.Table{}
				}
				d.is.carried[id][d.c.svc.Routes[r].Name] = table
			}
		}
	}
	d.change.Carried, d.change.Bound = d.is.carried, map[logic.ProxyID][]logic.TableID{}
	for id := range saved.Bound {
		d.change.Bound[id] = nil
	}
	d.change.Tables = map[logic.TableID]*tables.Table{}
	for t := range saved.Tables {
		d.change.Tables[t] = nil
	}
	d.is.tables = map[logic.TableID]*tables.Table{}
}

func (c *Core) log(e LogEvent) { c.out = append(c.out, e) }

// take gives what is to be carried out, what all lots see first.
func (c *Core) takeOutputs() []any {
	out := c.out
	c.out = nil
	if c.view.dirty {
		out = append([]any{c.publishView()}, out...)
	}
	return out
}

// Handle is all that happened up to a time; what it returns is to be carried out in order.
func (c *Core) Handle(now logic.Millis, in []any) []any {
	for _, i := range in {
		switch i := i.(type) {
		case park.Join:
			c.join(now, i)
		case park.Holds:
			c.acknowledge(now, i)
		case park.Leaves:
			c.handleLeave(i)
		case park.Wants:
			c.notifyStored(i)
		case AnswersFlushed:
			c.endBarrier(now)
		case Disconnected:
			delete(c.watchers, i.Ticket)
		case Watch:
			c.watch(now, i)
		case Report:
			c.report(now, i)
		case HostList:
			c.updateHosts(now, i.Hosts)
		case Stored:
			c.advanceStored(now, i.Step)
		case Rollback:
			c.rollback(now, i)
		case Release:
			c.release(now, i)
		case Givens:
			c.givens(now, i.Slices)
		case Withdrawn:
			c.withdrawn(now, i.Slice)
		case Facts:
			c.facts(now, i)
		case Learnt:
			c.learnt(now, i)
		case ListLost:
			if c.listLostAt == 0 {
				c.listLostAt = now
			}
		case Guard:
			c.guard(now, i)
		case Pins:
			c.tellPins(now, i.Ticket)
		case ProbeResult:
			if k, known := c.ids.hosts[i.Address]; known {
				c.events = append(c.events, logic.ProbeResult{Host: k.Number, Latency: i.Latency, Healthy: i.Healthy, Load: i.Load})
			}
		}
	}
	if named := c.ids.unstored; len(named) > 0 { // once a turn: a whole fleet may come in one
		c.ids.unstored = map[logic.ProxyID]string{}
		c.out = append(c.out, Persist{Change{Line: c.line, Named: named}})
	}
	for _, m := range c.channel.PopDue(now) {
		c.deliver(now, m)
	}
	c.refreshPeerStates(now)
	c.events = append(c.events, c.aggregator.Due(now)...)
	slices.SortStableFunc(c.timers, func(a, b timer) int { return cmp.Compare(a.at, b.at) })
	for len(c.timers) > 0 && c.timers[0].at <= now {
		c.events = append(c.events, logic.TimerFired{Timer: c.timers[0].id})
		c.timers = c.timers[1:]
	}
	if len(c.events) > 0 {
		notes := c.events
		c.events = nil
		c.execute(now, c.module.Handle(now, notes))
	}
	c.tend(now)
	c.answerWatchers(now)
	return c.takeOutputs()
}

// Wake is when Handle must be called again at the latest.
func (c *Core) NextWake() logic.Millis {
	at := c.aggregator.Next()
	for _, t := range c.timers {
		at = min(at, t.at)
	}
	if next, waits := c.channel.Next(); waits {
		at = min(at, next)
	}
	return at
}

func (c *Core) execute(now logic.Millis, orders []logic.Order) {
	d := c.draft(float64(now))
	for _, o := range orders {
		switch o := o.(type) {
		case logic.SetTimer:
			c.timers = append(c.timers, timer{now + o.Delay, o.Timer})
		case logic.Probe:
			if a := c.ids.addresses[o.Host]; c.svc.Config.MayProbe && a != "" {
				c.out = append(c.out, Probe{a})
			}
		case logic.LogText:
			c.log(LogEvent{Name: "module.says", Detail: o.Text})
		case logic.WatchHosts, logic.RequestHosts, logic.SendToPeer:
			// The list comes by itself, and there is no peer yet.
		default:
			d.order(o)
		}
	}
	if d.wrote {
		c.commit(now, d)
	}
}

// commit makes a draft the newest version: on its way to the store, and with its messages from there to the channel.
func (c *Core) commit(now logic.Millis, d *draft) {
	d.check(now)
	d.change.OldestInUse = d.is.step
	if d.change.Levels != nil {
		c.observations.levels = now
	}
	if oldest, any := c.heldSteps.Oldest(); any {
		d.change.OldestInUse = min(d.change.OldestInUse, oldest)
	}
	c.current = d.is
	s := &pendingStep{state: d.is, changed: slices.Collect(maps.Keys(d.change.Tables)), removesHost: d.removes()}
	var same *documentUpdate // where all are told the same
	for _, id := range c.joined {
		lines, concerned := d.of, d.of > 0
		if len(d.lines) > 0 {
			own, its := d.lines[id]
			lines, concerned = lines+own, concerned || its
		}
		if !concerned && !(d.stamped && d.all) {
			continue
		}
		if lines += c.svc.Config.MessageOverhead; d.stamped {
			lines++
		}
		l := same
		if l == nil {
			l = &documentUpdate{c.document(d.is, id), d.serial, d.stamped, now}
		}
		if c.svc.Config.Slices > 0 {
			same = l
		}
		s.messages = append(s.messages, channel.Message{Proxy: id, Lines: lines, Body: l})
	}
	c.unsaved = append(c.unsaved, s)
	c.out = append(c.out, Persist{d.change})
	c.log(LogEvent{Name: "step.ordered", Version: strconv.Itoa(int(d.is.step)),
		Detail: strconv.Itoa(len(s.messages)) + " messages"})
}

func (c *Core) refuse(t Ticket, kind AnswerKind, why string) {
	c.stats.Refused++
	c.out = append(c.out, Answer{Ticket: t, Kind: kind, Why: why})
}

// believe lets go of what was learnt long ago, and asks for more.
func (c *Core) refreshPeerStates(now logic.Millis) {
	if now < c.lastRefresh+50 {
		return
	}
	c.lastRefresh = now
	c.disbelieve(now)
	c.askPeers(now)
}

func (c *Core) report(now logic.Millis, r Report) {
	id, ok := c.proxyID(r.Proxy)
	st := c.proxies[id]
	if !ok || st == nil {
		c.refuse(r.Ticket, Unknown, "proxy "+strconv.Quote(r.Proxy)+" has not polled within the lease")
		return
	}
	if r.Key != "" && r.Key == st.lastReportKey {
		c.stats.RepeatedReports++
		c.out = append(c.out, Answer{Ticket: r.Ticket, Kind: Accepted})
		return
	}
	var calls []sums.Demand
	for i, l := range r.Calls {
		route, known := c.routeIDs[l.Route]
		if !known {
			c.refuse(r.Ticket, Invalid, "cluster_stats["+strconv.Itoa(i)+"]: the settings know no route "+strconv.Quote(l.Route))
			return
		}
		line := sums.Demand{Proxy: id, Route: route, Calls: l.Calls, Unanswered: l.Unanswered}
		if n := c.svc.Config.Slices; n > 0 {
			slice, err := strconv.Atoi(l.Table)
			if err != nil || slice < 0 || slice >= n {
				c.refuse(r.Ticket, Invalid, "cluster_stats["+strconv.Itoa(i)+"]: "+strconv.Quote(l.Table)+" is no slice")
				return
			}
			line.Slice = logic.TableID(slice)
		}
		calls = append(calls, line)
	}
	st.lastReportKey = r.Key
	c.stats.Reports++
	zone := c.ids.zone(st.zone)
	for _, t := range r.Tries {
		if k, known := c.ids.hosts[t.Address]; known && t.Ended > 0 {
			met := sums.Tries{Host: k.Number, Zone: zone, Ended: t.Ended, Unanswered: t.Unanswered, AnsweredMs: t.AnsweredMs, Load: t.Load}
			c.aggregator.AddTries(now, met)
			c.observations.tried(now, met)
		}
	}
	for _, l := range calls {
		if l.Calls > 0 {
			c.aggregator.AddDemand(now, l)
			c.observations.came(now, l)
		}
	}
	c.out = append(c.out, Answer{Ticket: r.Ticket, Kind: Accepted})
}

// list follows the list of hosts.
func (c *Core) updateHosts(now logic.Millis, hosts []HostEntry) {
	c.hostList, c.listLostAt = slices.Clone(hosts), 0
	c.observations.list(now, hosts)
	c.events = append(c.events, logic.HostList{Kind: logic.HostListFull, Entries: c.hostEntries(c.doubt(now, hosts), now)})
	c.out = append(c.out, Persist{Change{Line: c.line, List: slices.Clone(hosts), Known: maps.Clone(c.ids.hosts)}})
	c.log(LogEvent{Name: "list.told", Detail: strconv.Itoa(len(hosts)) + " hosts"})
}

func (c *Core) hostEntries(hosts []HostEntry, now logic.Millis) (out []logic.HostEntry) {
	clear(c.listed)
	for _, l := range hosts {
		if c.listed[l.Address] {
			continue // named twice: the first counts
		}
		c.listed[l.Address] = true
		out = append(out, c.hostEntry(l, now))
	}
	return out
}

func (c *Core) hostEntry(l HostEntry, now logic.Millis) logic.HostEntry {
	id, _ := c.ids.host(l)
	return logic.HostEntry{Host: id, State: l.State, Cell: c.ids.cell(l.Cell), Zone: c.ids.zone(l.Zone), Weight: l.Weight,
		StartedAt: min(logic.Millis(l.Born), now)}
}

// Figures are those of now.
func (c *Core) Stats() Stats {
	f := c.stats
	f.Step, f.Stored, f.Joined = c.current.step, c.stored.step, len(c.joined)
	f.Hosts, f.Masked = len(c.listed), len(c.current.masked)
	f.OldestHeld, _ = c.heldSteps.Oldest()
	f.ProxiesBehind = c.heldSteps.Behind(c.stored.step)
	f.Slices = len(c.current.tables)
	f.QueuedLines, f.MaxQueuedLines, f.QueueLimit = c.channel.QueuedLines(), c.channel.MaxQueuedLines(), c.svc.Config.QueueLimit
	f.MaxMessagesInWindow, f.PendingReportLines = c.channel.MaxMessagesInWindow(), c.aggregator.Pending()
	return f
}
