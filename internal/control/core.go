package control

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"

	"vetchwood/internal/aggregate"
	"vetchwood/internal/channel"
	"vetchwood/internal/pollshard"
	"vetchwood/internal/tables"
	"vetchwood/internal/versions"
	"vetchwood/logic"
)

// Core is the state of one director.
type Core struct {
	svc              Service
	module           *logic.Director
	ids              *idRegistry
	history          tables.HistoryID
	current          *snapshot      // state as of the newest ordered step
	stored           *snapshot      // state as of the newest durable step
	firstStep        tables.Step    // the first step of this start
	unsaved          []*pendingStep // ordered steps that are not yet durable, oldest first
	channel          *channel.Channel
	aggregator       *aggregate.Aggregator
	proxies          map[logic.ProxyID]*joinedProxy
	joined           []logic.ProxyID                 // numbers of the joined proxies, ascending
	heldSteps        versions.Index[logic.ProxyID]   // joined proxies by the version that they hold
	catchingUp       map[logic.ProxyID]bool          // proxies that have not received joinedProxy.catchUpTo yet
	bases            map[tables.Tag]*tables.Document // documents that deltas may start from
	baseTags         []tables.Tag                    // tags of bases, oldest first
	view             shardView
	heldBack         []*pendingStep // durable steps whose messages are held back until the barrier of a removal ends
	timers           []timer
	routeIDs         map[string]logic.RouteID
	listed           map[tables.Address]bool // addresses of the host list
	lastRefresh      logic.Millis            // time of the last refreshPeerStates
	newestBase       *tables.Document        // document of the newest version in bases
	hostList         []HostEntry             // as last reported by discovery
	pinned           map[logic.TableID]Pin
	lastOperatorStep tables.Step // the newest version that an operator ordered
	changeCause      pinCause
	watchers         map[Ticket]watcher
	ownership        *sliceOwnership                    // nil: this director owns all slices
	observations     *localFacts                        // what this director observed itself
	listLostAt       logic.Millis                       // time at which discovery stopped answering; 0: it answers
	slicesAssignedAt logic.Millis                       // time of the last assignment of slices to this director
	peersQueriedAt   logic.Millis                       // time of the last query to other directors
	peerStates       map[tables.Address]peerHostState   // host states taken over from other directors
	expectedDemand   map[logic.TableID][]expectedDemand // demand of slices as their previous holders saw it
	// healthAdopted holds the hosts whose health figures were taken over from another director. This is done once per
	// host, since the same tries would otherwise be counted repeatedly.
	healthAdopted map[tables.Address]bool
	events        []any // events for the next call of the decision module
	out           []any // outputs of the current call
	stats         Stats
}

// timer is a pending timer of the decision module.
type timer struct {
	at logic.Millis
	id logic.TimerID
}

// pendingStep is a step that is being stored, with the messages to send once it is durable.
type pendingStep struct {
	state       *snapshot
	messages    []channel.Message
	changed     []logic.TableID // tables that the step changes
	removesHost bool            // the step removes a host from all tables
}

// New starts a director from its saved state. The caller carries out the returned outputs before the first call of
// Handle.
func New(seed uint64, now logic.Millis, svc Service, saved SavedState) (*Core, []any) {
	cfg := svc.Config
	cfg.MasksRecorded = true
	c := &Core{svc: svc, module: logic.New(seed, cfg), ids: newIDRegistry(svc.Zones, cfg.Proxies, &saved), history: saved.History,
		channel:    channel.New(cfg.LinesPerSecond, cfg.MessageWindow),
		aggregator: aggregate.New(cfg.Slices > 0, cfg.ReportInterval, cfg.ReportLinesPerSecond),
		proxies:    map[logic.ProxyID]*joinedProxy{}, catchingUp: map[logic.ProxyID]bool{},
		view:  shardView{dirty: true, leaseEnd: logic.Millis(math.Inf(1))},
		bases: map[tables.Tag]*tables.Document{}, routeIDs: map[string]logic.RouteID{},
		listed: map[tables.Address]bool{}, observations: newLocalFacts(now), watchers: map[Ticket]watcher{},
		peerStates: map[tables.Address]peerHostState{}, expectedDemand: map[logic.TableID][]expectedDemand{},
		healthAdopted: map[tables.Address]bool{}}
	for i, r := range svc.Routes {
		c.routeIDs[r.Name] = logic.RouteID(i)
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
	c.current, c.stored = w, w
	// The initial state is a step of its own, so that only stored state is published.
	d := c.newDraft(float64(now))
	d.change.Levels = d.next.levels
	if svc.SlicesLeased {
		d.dropAllSlices()
	} else if cfg.Slices > 0 {
		for t := range logic.TableID(cfg.Slices) {
			if d.next.tables[t] == nil {
				d.writableTable(t)
			}
		}
		for t := range d.next.tables {
			if int(t) >= cfg.Slices {
				if d.change.Tables == nil {
					d.change.Tables = map[logic.TableID]*tables.Table{}
				}
				delete(d.next.tables, t)
				d.change.Tables[t] = nil
			}
		}
	} else {
		d.carryOverTables(&saved)
	}
	c.events = append(c.events, logic.HostList{Kind: logic.HostListFromDisk, Entries: c.hostEntries(saved.List, now)})
	c.hostList, c.pinned = saved.List, map[logic.TableID]Pin{}
	maps.Copy(c.pinned, saved.Pinned)
	for t := range logic.TableID(cfg.Slices) {
		if _, held := c.pinned[t]; !held && !svc.SlicesLeased {
			c.assignToModule(t, d.next)
		}
	}
	for _, a := range slices.Sorted(maps.Keys(d.next.masked)) {
		if k, known := c.ids.hosts[a]; known {
			c.events = append(c.events, logic.InheritedMask{Host: k.Number})
		}
	}
	c.out = nil
	d.change.Known = c.ids.hosts
	if cfg.Slices > 0 && saved.Step > 0 && !svc.SlicesLeased {
		c.keepBase(c.document(w, 0)) // most proxies hold this document, so a delta is enough for them
	}
	c.current, c.firstStep = d.next, d.next.step
	c.unsaved = append(c.unsaved, &pendingStep{state: d.next})
	c.out = append(c.out, Persist{d.change})
	return c, c.takeOutputs()
}

// carryOverTables keeps the tables that proxies with their own tables held before the start. The decision module
// assigns new tables under the same numbers, and a proxy follows its old tables until it is bound again.
func (d *draft) carryOverTables(saved *SavedState) {
	d.next.carried = map[logic.ProxyID]map[string]*tables.Table{}
	for id, old := range saved.Carried {
		d.next.carried[id] = maps.Clone(old)
	}
	for id, byRoute := range saved.Bound {
		for r, t := range byRoute {
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

// log outputs an entry for the log.
func (c *Core) log(e LogEvent) { c.out = append(c.out, e) }

// takeOutputs returns and clears the collected outputs. If the view of the shards has changed, it comes first.
func (c *Core) takeOutputs() []any {
	out := c.out
	c.out = nil
	if c.view.dirty {
		out = append([]any{c.publishView()}, out...)
	}
	return out
}

// Handle processes the inputs that arrived up to now. The caller carries out the returned outputs in order.
func (c *Core) Handle(now logic.Millis, in []any) []any {
	for _, i := range in {
		switch i := i.(type) {
		case pollshard.JoinRequest:
			c.join(now, i)
		case pollshard.Acknowledgement:
			c.acknowledge(now, i)
		case pollshard.Left:
			c.handleLeave(i)
		case pollshard.DocumentRequest:
			c.sendStoredDocument(i)
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
		case SliceGrants:
			c.acquireSlices(now, i.Grants)
		case SliceRevoked:
			c.revokeSlice(now, i.Slice)
		case FactsQuery:
			c.answerFacts(now, i)
		case PeerFacts:
			c.applyPeerFacts(now, i)
		case DiscoveryLost:
			if c.listLostAt == 0 {
				c.listLostAt = now
			}
		case LeaseDeadline:
			c.setLeaseDeadline(now, i)
		case PinsQuery:
			c.answerPins(now, i.Ticket)
		case ProbeResult:
			if k, known := c.ids.hosts[i.Address]; known {
				c.events = append(c.events, logic.ProbeResult{Host: k.Number, Latency: i.Latency, Healthy: i.Healthy, Load: i.Load})
			}
		}
	}
	if named := c.ids.unstored; len(named) > 0 { // one write per call, as a whole fleet may join in one
		c.ids.unstored = map[logic.ProxyID]string{}
		c.out = append(c.out, Persist{Change{History: c.history, Named: named}})
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
		events := c.events
		c.events = nil
		c.execute(now, c.module.Handle(now, events))
	}
	c.updatePinned(now)
	c.answerWatchers(now)
	return c.takeOutputs()
}

// NextWakeup returns the time by which Handle must be called again.
func (c *Core) NextWakeup() logic.Millis {
	at := c.aggregator.Next()
	for _, t := range c.timers {
		at = min(at, t.at)
	}
	if next, pending := c.channel.Next(); pending {
		at = min(at, next)
	}
	return at
}

// execute carries out the orders of the decision module. Those that change published state form one step.
func (c *Core) execute(now logic.Millis, orders []logic.Order) {
	d := c.newDraft(float64(now))
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
			// The host list arrives without a request, and messages to peers are not supported yet.
		default:
			d.apply(o)
		}
	}
	if d.changed {
		c.commit(now, d)
	}
}

// commit makes a draft the newest version and passes it to the store. Its messages are queued for the channel once it
// is durable.
func (c *Core) commit(now logic.Millis, d *draft) {
	d.verify(now)
	d.change.OldestInUse = d.next.step
	if d.change.Levels != nil {
		c.observations.levelsAt = now
	}
	if oldest, found := c.heldSteps.Oldest(); found {
		d.change.OldestInUse = min(d.change.OldestInUse, oldest)
	}
	c.current = d.next
	s := &pendingStep{state: d.next, changed: slices.Collect(maps.Keys(d.change.Tables)), removesHost: d.removesHost()}
	var shared *documentUpdate // shared by all proxies where there are slices
	for _, id := range c.joined {
		lines, concerned := d.linesOfAll, d.linesOfAll > 0
		if len(d.linesOf) > 0 {
			own, found := d.linesOf[id]
			lines, concerned = lines+own, concerned || found
		}
		if !concerned && !(d.stamped && d.stampAll) {
			continue
		}
		if lines += c.svc.Config.MessageOverhead; d.stamped {
			lines++
		}
		u := shared
		if u == nil {
			u = &documentUpdate{c.document(d.next, id), d.serial, d.stamped, now}
		}
		if c.svc.Config.Slices > 0 {
			shared = u
		}
		s.messages = append(s.messages, channel.Message{Proxy: id, Lines: lines, Body: u})
	}
	c.unsaved = append(c.unsaved, s)
	c.out = append(c.out, Persist{d.change})
	c.log(LogEvent{Name: "step.ordered", Version: strconv.Itoa(int(d.next.step)),
		Detail: strconv.Itoa(len(s.messages)) + " messages"})
}

// refuse answers a ticket with an error and counts it.
func (c *Core) refuse(t Ticket, kind AnswerKind, why string) {
	c.stats.Refused++
	c.out = append(c.out, Answer{Ticket: t, Kind: kind, Reason: why})
}

// peerRefreshInterval is the minimum interval in milliseconds between two calls of refreshPeerStates that take effect.
const peerRefreshInterval logic.Millis = 50

// refreshPeerStates expires host states that were learnt from other directors and queries the directors when due.
func (c *Core) refreshPeerStates(now logic.Millis) {
	if now < c.lastRefresh+peerRefreshInterval {
		return
	}
	c.lastRefresh = now
	c.expirePeerStates(now)
	c.queryPeers(now)
}

// report handles a load report: it adds the sums to the aggregator and to the local facts.
func (c *Core) report(now logic.Millis, r Report) {
	id, ok := c.proxyID(r.Proxy)
	p := c.proxies[id]
	if !ok || p == nil {
		c.refuse(r.Ticket, Unknown, "proxy "+strconv.Quote(r.Proxy)+" has not polled within the lease")
		return
	}
	if r.Key != "" && r.Key == p.lastReportKey {
		c.stats.RepeatedReports++
		c.out = append(c.out, Answer{Ticket: r.Ticket, Kind: Accepted})
		return
	}
	var calls []aggregate.Demand
	for i, l := range r.Calls {
		route, known := c.routeIDs[l.Route]
		if !known {
			c.refuse(r.Ticket, Invalid, "cluster_stats["+strconv.Itoa(i)+"]: the settings know no route "+strconv.Quote(l.Route))
			return
		}
		line := aggregate.Demand{Proxy: id, Route: route, Calls: l.Calls, Unanswered: l.Unanswered}
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
	p.lastReportKey = r.Key
	c.stats.Reports++
	zone := c.ids.zone(p.zone)
	for _, t := range r.Tries {
		if k, known := c.ids.hosts[t.Address]; known && t.Ended > 0 {
			tries := aggregate.Tries{Host: k.Number, Zone: zone, Ended: t.Ended, Unanswered: t.Unanswered, AnsweredMs: t.AnsweredMs, Load: t.Load}
			c.aggregator.AddTries(now, tries)
			c.observations.addTries(now, tries)
		}
	}
	for _, l := range calls {
		if l.Calls > 0 {
			c.aggregator.AddDemand(now, l)
			c.observations.addDemand(now, l)
		}
	}
	c.out = append(c.out, Answer{Ticket: r.Ticket, Kind: Accepted})
}

// updateHosts takes over a new host list, stores it and passes it to the decision module.
func (c *Core) updateHosts(now logic.Millis, hosts []HostEntry) {
	c.hostList, c.listLostAt = slices.Clone(hosts), 0
	c.observations.setHosts(now, hosts)
	c.events = append(c.events, logic.HostList{Kind: logic.HostListFull, Entries: c.hostEntries(c.overlayPeerStates(now, hosts), now)})
	c.out = append(c.out, Persist{Change{History: c.history, List: slices.Clone(hosts), Known: maps.Clone(c.ids.hosts)}})
	c.log(LogEvent{Name: "list.told", Detail: strconv.Itoa(len(hosts)) + " hosts"})
}

// hostEntries converts a host list for the decision module and records the listed addresses.
func (c *Core) hostEntries(hosts []HostEntry, now logic.Millis) (out []logic.HostEntry) {
	clear(c.listed)
	for _, l := range hosts {
		if c.listed[l.Address] {
			continue // the first of several entries with the same address counts
		}
		c.listed[l.Address] = true
		out = append(out, c.hostEntry(l, now))
	}
	return out
}

// hostEntry converts a host for the decision module. A start time in the future is taken as now.
func (c *Core) hostEntry(l HostEntry, now logic.Millis) logic.HostEntry {
	id, _ := c.ids.host(l)
	return logic.HostEntry{Host: id, State: l.State, Cell: c.ids.cell(l.Cell), Zone: c.ids.zone(l.Zone), Weight: l.Weight,
		StartedAt: min(logic.Millis(l.StartedAt), now)}
}

// Stats returns the current statistics.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Step, s.Stored, s.Joined = c.current.step, c.stored.step, len(c.joined)
	s.Hosts, s.Masked = len(c.listed), len(c.current.masked)
	s.OldestHeld, _ = c.heldSteps.Oldest()
	s.ProxiesBehind = c.heldSteps.CountOlder(c.stored.step)
	s.Slices = len(c.current.tables)
	s.QueuedLines, s.MaxQueuedLines, s.QueueLimit = c.channel.QueuedLines(), c.channel.MaxQueuedLines(), c.svc.Config.QueueLimit
	s.MaxMessagesInWindow, s.PendingReportLines = c.channel.MaxMessagesInWindow(), c.aggregator.Pending()
	return s
}
