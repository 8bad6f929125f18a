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
	svc       Service
	module    *logic.Director
	names     *names
	line      tables.HistoryID
	world     *snapshot   // as ordered
	stored    *snapshot   // the newest that would outlive a crash
	opening   tables.Step // the first of this start
	unsaved   []*step
	channel   *channel.Channel
	intake    *sums.Aggregator
	streams   map[logic.ProxyID]*stream
	ids       []logic.ProxyID // joined, in order
	stands    versions.Index[logic.ProxyID]
	readers   map[logic.ProxyID]bool // that read what was ordered before they joined as it is stored
	kept      map[tables.Tag]*tables.Document
	oldest    []tables.Tag
	shown     shown
	behind    []*step // stored, and held back until a removal has been shown to all lots
	timers    []timer
	routes    map[string]logic.RouteID
	listed    map[tables.Address]bool
	swept     logic.Millis
	last      *tables.Document // the newest that was kept
	list0     []Listed         // the list as it was told last
	pinned    map[logic.TableID]Pin
	operated  tables.Step // the newest version by an operator
	cause     pinCause
	onlookers map[Ticket]onlooker
	custody   *sliceOwnership // nil: all slices are ours
	known     *localFacts
	lost      logic.Millis // since when the list does not answer; 0: it does
	given     logic.Millis // when slices came last
	asked     logic.Millis // when the others were asked last
	believed  map[tables.Address]peerHostState
	expected  map[logic.TableID][]expectedDemand
	// healthFrom are hosts of which another's health was taken over; once is enough, or it would count again and again.
	healthFrom map[tables.Address]bool
	notes      []any
	out        []any
	figures    Figures
}

type timer struct {
	at logic.Millis
	id logic.TimerID
}

// step is a world on its way to the store, with the messages that wait for it.
type step struct {
	world    *snapshot
	messages []channel.Message
	changed  []logic.TableID
	removes  bool // a host from all tables
}

// New is a director's start. What it returns first must be carried out before the first Handle.
func New(seed uint64, now logic.Millis, svc Service, saved Saved) (*Core, []any) {
	f := svc.Facts
	c := &Core{svc: svc, module: logic.New(seed, f), names: newNames(svc.Zones, f.Proxies, &saved), line: saved.Line,
		channel: channel.New(f.LinesPerSecond, f.MessageWindow),
		intake:  sums.New(f.Slices > 0, f.ReportInterval, f.ReportLinesPerSecond), streams: map[logic.ProxyID]*stream{},
		readers: map[logic.ProxyID]bool{}, shown: shown{dirty: true, until: logic.Millis(math.Inf(1))}, kept: map[tables.Tag]*tables.Document{}, routes: map[string]logic.RouteID{},
		listed: map[tables.Address]bool{}, known: newLocalFacts(now), onlookers: map[Ticket]onlooker{}, believed: map[tables.Address]peerHostState{},
		expected: map[logic.TableID][]expectedDemand{}, healthFrom: map[tables.Address]bool{}}
	for i, r := range svc.Routes {
		c.routes[r.Name] = logic.RouteID(i)
	}
	w := &snapshot{step: saved.Step, at: saved.At, tables: saved.Tables, masked: saved.Masked, levels: saved.Levels,
		bound: map[logic.ProxyID][]logic.TableID{}, carried: saved.Carried, docs: map[string]*tables.Document{}}
	if w.masked == nil {
		w.masked = map[tables.Address]bool{}
	}
	for r := len(w.levels); r < len(svc.Routes); r++ {
		w.levels = append(w.levels, svc.Routes[r].Level)
	}
	w.levels = w.levels[:len(svc.Routes)]
	c.world, c.stored = w, w
	// Opening state is a step of its own, so that nothing is told that is not stored.
	d := c.newDraft(float64(now))
	d.change.Levels = d.next.levels
	if svc.Leased {
		d.dropAllSlices()
	} else if f.Slices > 0 {
		for t := range logic.TableID(f.Slices) {
			if d.next.tables[t] == nil {
				d.writableTable(t)
			}
		}
		for t := range d.next.tables {
			if int(t) >= f.Slices {
				if d.change.Tables == nil {
					d.change.Tables = map[logic.TableID]*tables.Table{}
				}
				delete(d.next.tables, t)
				d.change.Tables[t] = nil
			}
		}
	} else {
		d.carry(&saved)
	}
	c.notes = append(c.notes, logic.HostList{Kind: logic.HostListFromDisk, Entries: c.entries(saved.List, now)})
	c.list0, c.pinned = saved.List, map[logic.TableID]Pin{}
	maps.Copy(c.pinned, saved.Pinned)
	for t := range logic.TableID(f.Slices) {
		if _, held := c.pinned[t]; !held && !svc.Leased {
			c.assignToModule(t, d.next)
		}
	}
	for _, a := range slices.Sorted(maps.Keys(d.next.masked)) {
		if k, known := c.names.hosts[a]; known {
			c.notes = append(c.notes, logic.InheritedMask{Host: k.Number})
		}
	}
	c.out = nil
	d.change.Known = c.names.hosts
	if f.Slices > 0 && saved.Step > 0 && !svc.Leased {
		c.keep(c.document(w, 0)) // most proxies hold it, and need no more than the difference
	}
	c.world, c.opening = d.next, d.next.step
	c.unsaved = append(c.unsaved, &step{world: d.next})
	c.out = append(c.out, Persist{d.change})
	return c, c.take()
}

// carry keeps what proxies with tables of their own held before the start: the module lays new ones from the
// same numbers, and a proxy goes by the old until it is bound anew.
func (d *draft) carry(saved *Saved) {
	d.next.carried = map[logic.ProxyID]map[string]*tables.Table{}
	for id, old := range saved.Carried {
		d.next.carried[id] = maps.Clone(old)
	}
	for id, by := range saved.Bound {
		for r, t := range by {
			if table := saved.Tables[t]; table != nil && r < len(d.c.svc.Routes) {
				if d.next.carried[id] == nil {
					d.next.carried[id] = map[string]*tables.Table{}
				}
				d.next.carried[id][d.c.svc.Routes[r].Name] = table
			}
		}
	}
	d.change.Carried, d.change.Bound = d.next.carried, map[logic.ProxyID][]logic.TableID{}
	for id := range saved.Bound {
		d.change.Bound[id] = nil
	}
	d.change.Tables = map[logic.TableID]*tables.Table{}
	for t := range saved.Tables {
		d.change.Tables[t] = nil
	}
	d.next.tables = map[logic.TableID]*tables.Table{}
}

func (c *Core) say(e Event) { c.out = append(c.out, e) }

// take gives what is to be carried out, what all lots see first.
func (c *Core) take() []any {
	out := c.out
	c.out = nil
	if c.shown.dirty {
		out = append([]any{c.publish()}, out...)
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
			c.acknowledged(now, i)
		case park.Leaves:
			c.leaves(i)
		case park.Wants:
			c.wants(i)
		case Passed:
			c.passed(now)
		case Broke:
			delete(c.onlookers, i.Ticket)
		case Watch:
			c.watch(now, i)
		case Report:
			c.report(now, i)
		case List:
			c.list(now, i.Hosts)
		case Stored:
			c.settle(now, i.Step)
		case Rollback:
			c.rollback(now, i)
		case Release:
			c.release(now, i)
		case SliceGrants:
			c.acquireSlices(now, i.Grants)
		case SliceRevoked:
			c.revokeSlice(now, i.Slice)
		case FactsQuery:
			c.answerFacts(now, i)
		case PeerFacts:
			c.applyPeerFacts(now, i)
		case DiscoveryLost:
			if c.lost == 0 {
				c.lost = now
			}
		case LeaseDeadline:
			c.setLeaseDeadline(now, i)
		case PinsQuery:
			c.answerPins(now, i.Ticket)
		case Probed:
			if k, known := c.names.hosts[i.Address]; known {
				c.notes = append(c.notes, logic.ProbeResult{Host: k.Number, Latency: i.Spent, Healthy: i.Good, Load: i.Load})
			}
		}
	}
	if named := c.names.fresh; len(named) > 0 { // once a turn: a whole fleet may come in one
		c.names.fresh = map[logic.ProxyID]string{}
		c.out = append(c.out, Persist{Change{Line: c.line, Named: named}})
	}
	for _, m := range c.channel.PopDue(now) {
		c.arrive(now, m)
	}
	c.believe(now)
	c.notes = append(c.notes, c.intake.Due(now)...)
	slices.SortStableFunc(c.timers, func(a, b timer) int { return cmp.Compare(a.at, b.at) })
	for len(c.timers) > 0 && c.timers[0].at <= now {
		c.notes = append(c.notes, logic.TimerFired{Timer: c.timers[0].id})
		c.timers = c.timers[1:]
	}
	if len(c.notes) > 0 {
		notes := c.notes
		c.notes = nil
		c.carryOut(now, c.module.Handle(now, notes))
	}
	c.updatePinned(now)
	c.look(now)
	return c.take()
}

// Wake is when Handle must be called again at the latest.
func (c *Core) Wake() logic.Millis {
	at := c.intake.Next()
	for _, t := range c.timers {
		at = min(at, t.at)
	}
	if next, waits := c.channel.Next(); waits {
		at = min(at, next)
	}
	return at
}

func (c *Core) carryOut(now logic.Millis, orders []logic.Order) {
	d := c.newDraft(float64(now))
	for _, o := range orders {
		switch o := o.(type) {
		case logic.SetTimer:
			c.timers = append(c.timers, timer{now + o.Delay, o.Timer})
		case logic.Probe:
			if a := c.names.address[o.Host]; c.svc.Facts.MayProbe && a != "" {
				c.out = append(c.out, Probe{a})
			}
		case logic.LogText:
			c.say(Event{Name: "module.says", Detail: o.Text})
		case logic.WatchHosts, logic.RequestHosts, logic.SendToPeer:
			// The list comes by itself, and there is no peer yet.
		default:
			d.apply(o)
		}
	}
	if d.changed {
		c.commit(now, d)
	}
}

// commit makes a draft the newest version: on its way to the store, and with its messages from there to the channel.
func (c *Core) commit(now logic.Millis, d *draft) {
	d.verify(now)
	d.change.Least = d.next.step
	if d.change.Levels != nil {
		c.known.levelsAt = now
	}
	if oldest, any := c.stands.Oldest(); any {
		d.change.Least = min(d.change.Least, oldest)
	}
	c.world = d.next
	s := &step{world: d.next, changed: slices.Collect(maps.Keys(d.change.Tables)), removes: d.removesHost()}
	var same *letter // where all are told the same
	for _, id := range c.ids {
		lines, concerned := d.linesOfAll, d.linesOfAll > 0
		if len(d.linesOf) > 0 {
			own, its := d.linesOf[id]
			lines, concerned = lines+own, concerned || its
		}
		if !concerned && !(d.stamped && d.stampAll) {
			continue
		}
		if lines += c.svc.Facts.MessageOverhead; d.stamped {
			lines++
		}
		l := same
		if l == nil {
			l = &letter{c.document(d.next, id), d.serial, d.stamped, now}
		}
		if c.svc.Facts.Slices > 0 {
			same = l
		}
		s.messages = append(s.messages, channel.Message{Proxy: id, Lines: lines, Body: l})
	}
	c.unsaved = append(c.unsaved, s)
	c.out = append(c.out, Persist{d.change})
	c.say(Event{Name: "step.ordered", Version: strconv.Itoa(int(d.next.step)),
		Detail: strconv.Itoa(len(s.messages)) + " messages"})
}

func (c *Core) refuse(t Ticket, kind AnswerKind, why string) {
	c.figures.Refused++
	c.out = append(c.out, Answer{Ticket: t, Kind: kind, Why: why})
}

// believe lets go of what was learnt long ago, and asks for more.
func (c *Core) believe(now logic.Millis) {
	if now < c.swept+50 {
		return
	}
	c.swept = now
	c.expirePeerStates(now)
	c.askPeers(now)
}

func (c *Core) report(now logic.Millis, r Report) {
	id, ok := c.find(r.Proxy)
	st := c.streams[id]
	if !ok || st == nil {
		c.refuse(r.Ticket, Unknown, "proxy "+strconv.Quote(r.Proxy)+" has not polled within the lease")
		return
	}
	if r.Key != "" && r.Key == st.reports {
		c.figures.Repeats++
		c.out = append(c.out, Answer{Ticket: r.Ticket, Kind: Taken})
		return
	}
	var calls []sums.Demand
	for i, l := range r.Calls {
		route, known := c.routes[l.Route]
		if !known {
			c.refuse(r.Ticket, Wrong, "cluster_stats["+strconv.Itoa(i)+"]: the settings know no route "+strconv.Quote(l.Route))
			return
		}
		line := sums.Demand{Proxy: id, Route: route, Calls: l.Calls, Unanswered: l.Lost}
		if n := c.svc.Facts.Slices; n > 0 {
			slice, err := strconv.Atoi(l.Table)
			if err != nil || slice < 0 || slice >= n {
				c.refuse(r.Ticket, Wrong, "cluster_stats["+strconv.Itoa(i)+"]: "+strconv.Quote(l.Table)+" is no slice")
				return
			}
			line.Slice = logic.TableID(slice)
		}
		calls = append(calls, line)
	}
	st.reports = r.Key
	c.figures.Reports++
	zone := c.names.zone(st.zone)
	for _, t := range r.Tries {
		if k, known := c.names.hosts[t.Address]; known && t.Ended > 0 {
			met := sums.Tries{Host: k.Number, Zone: zone, Ended: t.Ended, Unanswered: t.Lost, AnsweredMs: t.Spent, Load: t.Load}
			c.intake.AddTries(now, met)
			c.known.addTries(now, met)
		}
	}
	for _, l := range calls {
		if l.Calls > 0 {
			c.intake.AddDemand(now, l)
			c.known.addDemand(now, l)
		}
	}
	c.out = append(c.out, Answer{Ticket: r.Ticket, Kind: Taken})
}

// list follows the list of hosts.
func (c *Core) list(now logic.Millis, hosts []Listed) {
	c.list0, c.lost = slices.Clone(hosts), 0
	c.known.setHosts(now, hosts)
	c.notes = append(c.notes, logic.HostList{Kind: logic.HostListFull, Entries: c.entries(c.overlayPeerStates(now, hosts), now)})
	c.out = append(c.out, Persist{Change{Line: c.line, List: slices.Clone(hosts), Known: maps.Clone(c.names.hosts)}})
	c.say(Event{Name: "list.told", Detail: strconv.Itoa(len(hosts)) + " hosts"})
}

func (c *Core) entries(hosts []Listed, now logic.Millis) (out []logic.HostEntry) {
	clear(c.listed)
	for _, l := range hosts {
		if c.listed[l.Address] {
			continue // named twice: the first counts
		}
		c.listed[l.Address] = true
		out = append(out, c.entry(l, now))
	}
	return out
}

func (c *Core) entry(l Listed, now logic.Millis) logic.HostEntry {
	id, _ := c.names.host(l)
	return logic.HostEntry{Host: id, State: l.State, Cell: c.names.cell(l.Cell), Zone: c.names.zone(l.Zone), Weight: l.Weight,
		StartedAt: min(logic.Millis(l.Born), now)}
}

// Figures are those of now.
func (c *Core) Figures() Figures {
	f := c.figures
	f.Step, f.Stored, f.Joined = c.world.step, c.stored.step, len(c.ids)
	f.Hosts, f.Masked = len(c.listed), len(c.world.masked)
	f.Oldest, _ = c.stands.Oldest()
	f.Behind = c.stands.CountOlder(c.stored.step)
	f.Slices = len(c.world.tables)
	f.Waiting, f.MostWaiting, f.QueueLimit = c.channel.QueuedLines(), c.channel.MaxQueuedLines(), c.svc.Facts.QueueLimit
	f.MostMessages, f.ReportLinesWaiting = c.channel.MaxMessagesInWindow(), c.intake.Pending()
	return f
}
