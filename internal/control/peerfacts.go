package control

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"vetchwood/internal/aggregate"
	"vetchwood/internal/orca"
	"vetchwood/internal/peerfacts"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// localFacts is what this director observed itself, for peers that ask. It leaves out what peers reported.
type localFacts struct {
	startedAt logic.Millis // when this director started
	listedAt  logic.Millis // when the last host list came; 0 if none has
	states    map[tables.Address]hostState
	tries     map[logic.HostID]*hostTries
	demand    map[demandKey]*routeDemand
	levelsAt  logic.Millis // when admission levels were last set
}

type (
	// hostState is a host's state in the host list and the time since which the list has it so.
	hostState struct {
		state     logic.HostState
		startedAt float64 // Unix milliseconds; 0: long ago
		since     logic.Millis
	}
	// hostTries sums up the recent tries at a host, as proxies reported them.
	hostTries struct {
		finished, failed, answeredMs decayingSum
		load                         logic.Load
		last                         logic.Millis
	}
	demandKey struct {
		slice logic.TableID
		route logic.RouteID
	}
	// routeDemand sums up the recent calls of a route for a slice.
	routeDemand struct {
		calls, unanswered decayingSum
		last              logic.Millis
	}
)

// decayingSum is an exponentially decaying sum with a half-life of factHalfLife.
type decayingSum struct {
	sum float64
	at  logic.Millis
}

// factHalfLife is the half-life of observed counts, in milliseconds: long enough for a slice with few calls, short
// enough to follow a failing host.
const factHalfLife logic.Millis = 3000

func (d *decayingSum) read(now logic.Millis) float64 {
	d.sum *= math.Exp2(-float64((now - d.at) / factHalfLife))
	d.at = now
	return d.sum
}

func (d *decayingSum) add(now logic.Millis, x float64) { d.sum = d.read(now) + x }

// decaySpanMs is the span of time, in milliseconds, whose total a decayingSum equals at a constant rate.
const decaySpanMs = float64(factHalfLife) / math.Ln2

func newLocalFacts(now logic.Millis) *localFacts {
	return &localFacts{startedAt: now, levelsAt: now, states: map[tables.Address]hostState{}, tries: map[logic.HostID]*hostTries{}, demand: map[demandKey]*routeDemand{}}
}

func (k *localFacts) setHosts(now logic.Millis, hosts []HostEntry) {
	next := make(map[tables.Address]hostState, len(hosts))
	for _, l := range hosts {
		current := hostState{l.State, l.StartedAt, now}
		if previous, found := k.states[l.Address]; found && previous.state == l.State && previous.startedAt == l.StartedAt {
			current.since = previous.since
		}
		next[l.Address] = current
	}
	k.states, k.listedAt = next, now
}

func (k *localFacts) addTries(now logic.Millis, t aggregate.Tries) {
	h := k.tries[t.Host]
	if h == nil {
		h = &hostTries{}
		k.tries[t.Host] = h
	}
	h.finished.add(now, float64(t.Ended))
	h.failed.add(now, float64(t.Unanswered))
	h.answeredMs.add(now, t.AnsweredMs)
	if h.last = now; t.Load != (logic.Load{}) {
		h.load = t.Load
	}
}

func (k *localFacts) addDemand(now logic.Millis, c aggregate.Demand) {
	key := demandKey{c.Slice, c.Route}
	x := k.demand[key]
	if x == nil {
		x = &routeDemand{}
		k.demand[key] = x
	}
	x.calls.add(now, float64(c.Calls))
	x.unanswered.add(now, float64(c.Unanswered))
	x.last = now
}

// demandRates returns the recent demand of a slice, one entry per route.
func (c *Core) demandRates(now logic.Millis, slice logic.TableID) (out []peerfacts.Demand) {
	for r, info := range c.svc.Routes {
		x := c.observations.demand[demandKey{slice, logic.RouteID(r)}]
		if x == nil || now-x.last > 10*factHalfLife {
			continue
		}
		// Shortly after the start the sums cover less than the full span.
		span := decaySpanMs * (1 - math.Exp(-max(500, float64(now-c.observations.startedAt))/decaySpanMs))
		out = append(out, peerfacts.Demand{Slice: int(slice), Route: info.Name, Rate: 1000 * x.calls.read(now) / span,
			Unanswered: 1000 * x.unanswered.read(now) / span, Age: float64(now - x.last)})
	}
	return out
}

var stateNames = map[logic.HostState]peerfacts.State{logic.Up: peerfacts.Up, logic.Draining: peerfacts.Draining, logic.Gone: peerfacts.Gone}
var statesByName = map[peerfacts.State]logic.HostState{peerfacts.Up: logic.Up, peerfacts.Draining: logic.Draining, peerfacts.Gone: logic.Gone}

// hostListAge returns the milliseconds since the host list was last known to be current, or a negative number if there
// has been none. Blocking queries report each change, so that the last list is current until they fail.
func (c *Core) hostListAge(now logic.Millis) float64 {
	switch {
	case c.observations.listedAt == 0:
		return -1
	case c.listLostAt > 0:
		return float64(now - c.listLostAt)
	}
	return 0
}

func (c *Core) listedHosts(now logic.Millis) (out []peerfacts.Host) {
	for _, l := range c.hostList {
		h := peerfacts.Host{Address: l.Address, ID: l.ID, Zone: l.Zone, Cell: l.Cell, State: stateNames[l.State], Weight: l.Weight,
			StartedAt: l.StartedAt, Masked: c.current.masked[l.Address]}
		if s, found := c.observations.states[l.Address]; found {
			h.StateAge = float64(now - s.since)
		}
		out = append(out, h)
	}
	return out
}

// FactsQuery asks for what this director observed itself.
type FactsQuery struct{ Ticket Ticket }

func (c *Core) answerFacts(now logic.Millis, q FactsQuery) {
	k := c.observations
	f := peerfacts.Facts{Director: c.svc.Name, History: c.history, Uptime: float64(now - k.startedAt), ProxyCount: len(c.joined), ListAge: c.hostListAge(now)}
	if k.listedAt > 0 { // a list from the local store predates the start and is of no use to peers
		f.Hosts = c.listedHosts(now)
	}
	for i, h := range f.Hosts {
		id := c.ids.hosts[h.Address].Number
		t := k.tries[id]
		if t == nil || now-t.last > 10*factHalfLife {
			continue
		}
		x := &peerfacts.Health{Period: min(decaySpanMs, float64(now-k.startedAt)), Age: float64(now - t.last), Finished: t.finished.read(now), Failed: t.failed.read(now)}
		if good := x.Finished - x.Failed; good > 0.01 {
			x.MeanLatency = t.answeredMs.read(now) / good
		}
		orca.EachMetric(t.load, func(name string, v float64) {
			if x.Load == nil {
				x.Load = map[string]float64{}
			}
			x.Load[name] = v
		})
		f.Hosts[i].Health = x
	}
	for _, t := range slices.Sorted(maps.Keys(c.current.tables)) {
		f.Demand = append(f.Demand, c.demandRates(now, t)...)
		f.Slices = append(f.Slices, peerfacts.Slice{Slice: int(t), Fence: c.current.tables[t].Fence, Version: c.current.step})
	}
	for r, l := range c.current.levels {
		f.Levels = append(f.Levels, peerfacts.Level{Route: c.svc.Routes[r].Name, Level: l.Level, Tries: l.RetryMode, Age: float64(now - k.levelsAt)})
	}
	c.out = append(c.out, Answer{Ticket: q.Ticket, Kind: FactsReply, Body: &f})
}

// DiscoveryLost reports that host discovery no longer answers. The next HostList ends that state.
type DiscoveryLost struct{}

// PeerFacts holds the facts that other directors reported, each with its age.
type PeerFacts struct{ Peers []peerfacts.Report }

// peerHostState is a host's state as reported by a peer. It overrides the host list, which may lag behind, until it
// expires.
type peerHostState struct {
	peerfacts.Host
	expiresAt logic.Millis
}

// peerStateTTL is how long a peer's report of a host is in force, in milliseconds. The host list lags by seconds, and a
// wrong report must not keep a host out for long.
const peerStateTTL logic.Millis = 12000

// applyPeerFacts reconciles the facts of peers with the local ones and passes the conclusions to the decision module.
func (c *Core) applyPeerFacts(now logic.Millis, in PeerFacts) {
	local := peerfacts.Local{ListAge: c.hostListAge(now), Hosts: c.listedHosts(now), HasReports: len(c.observations.tries) > 0 && now-c.observations.startedAt > 2*factHalfLife}
	if local.ListAge > float64(peerStateTTL) {
		local.ListAge = -1
	}
	result := peerfacts.Reconcile(local, in.Peers)
	for _, d := range result.WeightReductions {
		c.log(LogEvent{Name: "peer.doubted", Detail: d.Director + ": " + d.Reason})
	}
	var entries []logic.HostEntry
	for _, h := range result.Hosts {
		previous, repeated := c.peerStates[h.Address]
		c.peerStates[h.Address] = peerHostState{h, now + peerStateTTL}
		if repeated && previous.State == h.State && previous.StartedAt == h.StartedAt {
			continue
		}
		l := HostEntry{ID: h.ID, Address: h.Address, Zone: h.Zone, Cell: h.Cell, State: statesByName[h.State], Weight: cmp.Or(h.Weight, 1), StartedAt: h.StartedAt}
		entries = append(entries, c.hostEntry(l, now))
		c.log(LogEvent{Name: "host.learnt", Host: string(h.Address), Detail: string(h.State)})
	}
	if len(entries) > 0 {
		c.events = append(c.events, logic.HostList{Kind: logic.HostListDelta, Entries: entries})
	}
	c.stats.HostsLearnt += uint64(len(entries))
	for _, h := range result.Health {
		k, known := c.ids.hosts[h.Address]
		if !known || c.healthAdopted[h.Address] {
			continue
		}
		c.healthAdopted[h.Address] = true
		sample := logic.HostSample{Host: k.Number, Zone: c.ids.zone(h.Zone), Period: logic.Millis(h.Health.Period), Finished: int(math.Round(h.Health.Finished)),
			Failed: int(math.Round(h.Health.Failed)), MeanLatency: logic.Millis(h.Health.MeanLatency), Load: orca.FromMetrics(h.Health.Load)}
		if sample.Finished > 0 {
			c.events = append(c.events, sample)
		}
	}
	for _, d := range result.Demand {
		c.expectedDemand[logic.TableID(d.Slice)] = append(slices.DeleteFunc(c.expectedDemand[logic.TableID(d.Slice)], func(o expectedDemand) bool {
			return o.Route == d.Route
		}), expectedDemand{d, now})
	}
}

// expectedDemand is the demand for a slice as its last owner or a peer observed it.
type expectedDemand struct {
	peerfacts.Demand
	receivedAt logic.Millis
}

// reportExpectedDemand reports the expected demand for a newly granted slice to the decision module, as far as it is
// known and not older than peerStateTTL.
func (c *Core) reportExpectedDemand(now logic.Millis, slice logic.TableID) {
	for _, e := range c.expectedDemand[slice] {
		route, known := c.routeIDs[e.Route]
		age := float64(now-e.receivedAt) + e.Age
		if !known || age > float64(peerStateTTL) || e.Rate <= 0 {
			continue
		}
		n := int(math.Round(e.Rate * decaySpanMs / 1000))
		if n > 0 {
			c.events = append(c.events, logic.SliceDemand{Slice: slice, Route: route, Period: logic.Millis(decaySpanMs), Calls: n, Unanswered: int(e.Unanswered * decaySpanMs / 1000)})
		}
	}
	delete(c.expectedDemand, slice)
}

// overlayPeerStates returns the host list with the unexpired states that peers reported for hosts which are up by the
// list. A host that has restarted since keeps its listed state.
func (c *Core) overlayPeerStates(now logic.Millis, hosts []HostEntry) []HostEntry {
	if len(c.peerStates) == 0 {
		return hosts
	}
	hosts = slices.Clone(hosts)
	for i, l := range hosts {
		if p, found := c.peerStates[l.Address]; found && now < p.expiresAt && p.StartedAt == l.StartedAt && l.State == logic.Up && p.State != peerfacts.Up {
			hosts[i].State = statesByName[p.State]
		}
	}
	return hosts
}

// expirePeerStates drops expired states of peers, after which the host list is in force again.
func (c *Core) expirePeerStates(now logic.Millis) {
	expired := false
	for a, p := range c.peerStates {
		if now >= p.expiresAt {
			delete(c.peerStates, a)
			expired = true
		}
	}
	if expired && c.observations.listedAt > 0 {
		c.events = append(c.events, logic.HostList{Kind: logic.HostListFull, Entries: c.hostEntries(c.overlayPeerStates(now, c.hostList), now)})
	}
}

// queryPeers queries the other directors when peerfacts.QueryDue reports so.
func (c *Core) queryPeers(now logic.Millis) {
	since := func(at logic.Millis) float64 {
		if at == 0 {
			return -1
		}
		return float64(now - at)
	}
	if c.svc.QueriesPeers && peerfacts.QueryDue(float64(now-c.observations.startedAt), since(c.listLostAt), since(c.slicesAssignedAt), since(c.peersQueriedAt)) {
		c.peersQueriedAt = now
		c.out = append(c.out, QueryPeers{})
	}
}
