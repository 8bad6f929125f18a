package control

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"vetchwood/internal/learn"
	"vetchwood/internal/orca"
	"vetchwood/internal/sums"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// known is what this director knows at first hand, for others that ask. What it learnt from them is not in it.
type known struct {
	since  logic.Millis // of this start
	listed logic.Millis // when the list was heard last; 0 never
	states map[tables.Address]stated
	met    map[logic.HostID]*meeting
	calls  map[callsOf]*calls
	levels logic.Millis // when they were stated last
}

type (
	stated struct {
		state logic.HostState
		born  float64
		since logic.Millis
	}
	meeting struct {
		ended, lost, spent decaying
		load               logic.Load
		last               logic.Millis
	}
	callsOf struct {
		slice logic.TableID
		route logic.RouteID
	}
	calls struct {
		came, lost decaying
		last       logic.Millis
	}
)

// decaying is a sum whose parts lose half their weight in each half-life.
type decaying struct {
	sum float64
	at  logic.Millis
}

// knownFor is that half-life: long enough for a slice with few calls, short enough to follow a failing host.
const knownFor logic.Millis = 3000

func (d *decaying) read(now logic.Millis) float64 {
	d.sum *= math.Exp2(-float64((now - d.at) / knownFor))
	d.at = now
	return d.sum
}

func (d *decaying) add(now logic.Millis, x float64) { d.sum = d.read(now) + x }

// overMs is the span that a decaying sum stands for.
const overMs = float64(knownFor) / math.Ln2

func newKnown(now logic.Millis) *known {
	return &known{since: now, levels: now, states: map[tables.Address]stated{}, met: map[logic.HostID]*meeting{}, calls: map[callsOf]*calls{}}
}

func (k *known) list(now logic.Millis, hosts []HostEntry) {
	next := make(map[tables.Address]stated, len(hosts))
	for _, l := range hosts {
		is := stated{l.State, l.Born, now}
		if was, has := k.states[l.Address]; has && was.state == l.State && was.born == l.Born {
			is.since = was.since
		}
		next[l.Address] = is
	}
	k.states, k.listed = next, now
}

func (k *known) tried(now logic.Millis, t sums.Tries) {
	m := k.met[t.Host]
	if m == nil {
		m = &meeting{}
		k.met[t.Host] = m
	}
	m.ended.add(now, float64(t.Ended))
	m.lost.add(now, float64(t.Unanswered))
	m.spent.add(now, t.AnsweredMs)
	if m.last = now; t.Load != (logic.Load{}) {
		m.load = t.Load
	}
}

func (k *known) came(now logic.Millis, c sums.Demand) {
	at := callsOf{c.Slice, c.Route}
	x := k.calls[at]
	if x == nil {
		x = &calls{}
		k.calls[at] = x
	}
	x.came.add(now, float64(c.Calls))
	x.lost.add(now, float64(c.Unanswered))
	x.last = now
}

// rates are those of a slice's routes by their names.
func (c *Core) rates(now logic.Millis, slice logic.TableID) (out []learn.Demand) {
	for r, info := range c.svc.Routes {
		x := c.observations.calls[callsOf{slice, logic.RouteID(r)}]
		if x == nil || now-x.last > 10*knownFor {
			continue
		}
		// What has been gathered since a short while ago stands for less than the whole span.
		span := overMs * (1 - math.Exp(-max(500, float64(now-c.observations.since))/overMs))
		out = append(out, learn.Demand{Slice: int(slice), Route: info.Name, Rate: 1000 * x.came.read(now) / span,
			Lost: 1000 * x.lost.read(now) / span, Age: float64(now - x.last)})
	}
	return out
}

var stateNames = map[logic.HostState]learn.State{logic.Up: learn.Up, logic.Draining: learn.Draining, logic.Gone: learn.Gone}
var statesNamed = map[learn.State]logic.HostState{learn.Up: logic.Up, learn.Draining: logic.Draining, learn.Gone: logic.Gone}

// listAge is how long ago the list was last known to be so; below 0 it was never told. Blocking queries tell of each change:
// what was told last is so until they fail.
func (c *Core) listAge(now logic.Millis) float64 {
	switch {
	case c.observations.listed == 0:
		return -1
	case c.listLostAt > 0:
		return float64(now - c.listLostAt)
	}
	return 0
}

func (c *Core) listHosts(now logic.Millis) (out []learn.Host) {
	for _, l := range c.hostList {
		h := learn.Host{Address: l.Address, ID: l.ID, Zone: l.Zone, Cell: l.Cell, State: stateNames[l.State], Weight: l.Weight,
			Born: l.Born, Masked: c.current.masked[l.Address]}
		if s, has := c.observations.states[l.Address]; has {
			h.StateAge = float64(now - s.since)
		}
		out = append(out, h)
	}
	return out
}

// Facts asks what this director knows at first hand.
type Facts struct{ Ticket Ticket }

func (c *Core) facts(now logic.Millis, q Facts) {
	k := c.observations
	f := learn.Facts{Director: c.svc.Name, Line: c.line, Up: float64(now - k.since), Joined: len(c.joined), ListAge: c.listAge(now)}
	if k.listed > 0 { // its store's list is from before its start: no news to anybody
		f.Hosts = c.listHosts(now)
	}
	for i, h := range f.Hosts {
		id := c.ids.hosts[h.Address].Number
		m := k.met[id]
		if m == nil || now-m.last > 10*knownFor {
			continue
		}
		x := &learn.Health{Over: min(overMs, float64(now-k.since)), Age: float64(now - m.last), Ended: m.ended.read(now), Lost: m.lost.read(now)}
		if good := x.Ended - x.Lost; good > 0.01 {
			x.Spent = m.spent.read(now) / good
		}
		orca.Each(m.load, func(name string, v float64) {
			if x.Load == nil {
				x.Load = map[string]float64{}
			}
			x.Load[name] = v
		})
		f.Hosts[i].Health = x
	}
	for _, t := range slices.Sorted(maps.Keys(c.current.tables)) {
		f.Demand = append(f.Demand, c.rates(now, t)...)
		f.Slices = append(f.Slices, learn.Slice{Slice: int(t), Fence: c.current.tables[t].Fence, Version: c.current.step})
	}
	for r, l := range c.current.levels {
		f.Levels = append(f.Levels, learn.Level{Route: c.svc.Routes[r].Name, Level: l.Level, Tries: l.Tries, Age: float64(now - k.levels)})
	}
	c.out = append(c.out, Answer{Ticket: q.Ticket, Kind: FactsReply, Body: &f})
}

// ListLost says that the list does not answer any more; it is found again with the next List.
type ListLost struct{}

// Learnt is what other directors told, each with its age by now.
type Learnt struct{ Heard []learn.Heard }

// believed is a host's state by another director's word, for a while: the list may be late, and has the last word.
type believed struct {
	learn.Host
	until logic.Millis
}

// believeFor is how long: the list is seconds late, and a donor that was wrong must not keep a host out for long.
const believeFor logic.Millis = 12000

// learnt weighs what was told and passes on what follows from it.
func (c *Core) learnt(now logic.Millis, in Learnt) {
	own := learn.Own{ListAge: c.listAge(now), Hosts: c.listHosts(now), Reports: len(c.observations.met) > 0 && now-c.observations.since > 2*knownFor}
	if own.ListAge > float64(believeFor) {
		own.ListAge = -1
	}
	con := learn.Weigh(own, in.Heard)
	for _, d := range con.Doubts {
		c.log(LogEvent{Name: "peer.doubted", Detail: d.Director + ": " + d.Why})
	}
	var entries []logic.HostEntry
	for _, h := range con.Hosts {
		was, again := c.peerStates[h.Address]
		c.peerStates[h.Address] = believed{h, now + believeFor}
		if again && was.State == h.State && was.Born == h.Born {
			continue
		}
		l := HostEntry{ID: h.ID, Address: h.Address, Zone: h.Zone, Cell: h.Cell, State: statesNamed[h.State], Weight: cmp.Or(h.Weight, 1), Born: h.Born}
		entries = append(entries, c.hostEntry(l, now))
		c.log(LogEvent{Name: "host.learnt", Host: string(h.Address), Detail: string(h.State)})
	}
	if len(entries) > 0 {
		c.events = append(c.events, logic.HostList{Kind: logic.HostListDelta, Entries: entries})
	}
	c.stats.HostsLearnt += uint64(len(entries))
	for _, h := range con.Health {
		k, has := c.ids.hosts[h.Address]
		if !has || c.healthAdopted[h.Address] {
			continue
		}
		c.healthAdopted[h.Address] = true
		m := logic.HostSample{Host: k.Number, Zone: c.ids.zone(h.Zone), Period: logic.Millis(h.Health.Over), Finished: int(math.Round(h.Health.Ended)),
			Failed: int(math.Round(h.Health.Lost)), MeanLatency: logic.Millis(h.Health.Spent), Load: orca.Of(h.Health.Load)}
		if m.Finished > 0 {
			c.events = append(c.events, m)
		}
	}
	for _, d := range con.Demand {
		c.expectedDemand[logic.TableID(d.Slice)] = append(slices.DeleteFunc(c.expectedDemand[logic.TableID(d.Slice)], func(o expectation) bool {
			return o.Route == d.Route
		}), expectation{d, now})
	}
}

// expectation is what a slice's last holder saw come for it.
type expectation struct {
	learn.Demand
	at logic.Millis
}

// expect tells the module what a slice that was just given is asked for, as far as that is known and not too old.
func (c *Core) expect(now logic.Millis, slice logic.TableID) {
	for _, e := range c.expectedDemand[slice] {
		route, has := c.routeIDs[e.Route]
		age := float64(now-e.at) + e.Age
		if !has || age > float64(believeFor) || e.Rate <= 0 {
			continue
		}
		n := int(math.Round(e.Rate * overMs / 1000))
		if n > 0 {
			c.events = append(c.events, logic.SliceDemand{Slice: slice, Route: route, Period: logic.Millis(overMs), Calls: n, Unanswered: int(e.Lost * overMs / 1000)})
		}
	}
	delete(c.expectedDemand, slice)
}

// doubt puts what is believed over the list's word where that is later news, for hosts of the same life.
func (c *Core) doubt(now logic.Millis, hosts []HostEntry) []HostEntry {
	if len(c.peerStates) == 0 {
		return hosts
	}
	hosts = slices.Clone(hosts)
	for i, l := range hosts {
		if b, has := c.peerStates[l.Address]; has && now < b.until && b.Born == l.Born && l.State == logic.Up && b.State != learn.Up {
			hosts[i].State = statesNamed[b.State]
		}
	}
	return hosts
}

// disbelieve lets go of what was learnt long ago: the list's word holds again.
func (c *Core) disbelieve(now logic.Millis) {
	over := false
	for a, b := range c.peerStates {
		if now >= b.until {
			delete(c.peerStates, a)
			over = true
		}
	}
	if over && c.observations.listed > 0 {
		c.events = append(c.events, logic.HostList{Kind: logic.HostListFull, Entries: c.hostEntries(c.doubt(now, c.hostList), now)})
	}
}

// askPeers asks the others when there is something to learn.
func (c *Core) askPeers(now logic.Millis) {
	since := func(at logic.Millis) float64 {
		if at == 0 {
			return -1
		}
		return float64(now - at)
	}
	if c.svc.QueriesPeers && learn.Due(float64(now-c.observations.since), since(c.listLostAt), since(c.slicesAssignedAt), since(c.peersQueriedAt)) {
		c.peersQueriedAt = now
		c.out = append(c.out, AskPeers{})
	}
}
