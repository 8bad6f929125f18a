// Package aggregate sums up the load reports of the proxies until they are passed to the decision module. A report line
// is the sum for one key: a host and the zone of its callers, or a route and its slice or proxy. Lines are released at
// a limited rate per second, oldest first; the others keep aggregating and follow later. The package does no I/O and
// reads no clock.
package aggregate

import "vetchwood/logic"

// Tries sums tries at a host by callers of one zone: those of one proxy since its last report, or of all proxies in a
// pending line.
type Tries struct {
	Host              logic.HostID
	Zone              logic.ZoneID
	Ended, Unanswered int
	AnsweredMs        float64 // total duration in milliseconds of all answered tries
	Load              logic.Load
}

// Demand counts the calls of a route for a slice or, without slices, for a proxy.
type Demand struct {
	Slice             logic.TableID
	Proxy             logic.ProxyID
	Route             logic.RouteID
	Calls, Unanswered int
}

type (
	triesKey struct {
		host logic.HostID
		zone logic.ZoneID
	}
	demandKey struct {
		slice logic.TableID
		proxy logic.ProxyID
		route logic.RouteID
	}
	// reportLine is a pending report line; since is the start of the time that it covers.
	reportLine struct {
		tries  Tries
		demand Demand
		since  logic.Millis
	}
)

// Aggregator aggregates the reports to one director.
type Aggregator struct {
	bySlice        bool
	interval       logic.Millis
	linesPerSecond float64
	periodEnd      logic.Millis // end of the latest period
	credit         float64
	pending        []any // keys of the pending lines, oldest first
	lines          map[any]*reportLine
}

// New returns an empty Aggregator that releases lines at the end of each interval. bySlice tells that the key space has
// slices, so that demand is summed by slice and not by proxy.
func New(bySlice bool, interval logic.Millis, linesPerSecond float64) *Aggregator {
	return &Aggregator{bySlice: bySlice, interval: interval, linesPerSecond: linesPerSecond, lines: map[any]*reportLine{}}
}

// lineFor returns the pending line for a key, and adds one if there is none.
func (a *Aggregator) lineFor(now logic.Millis, key any) *reportLine {
	r := a.lines[key]
	if r == nil {
		if a.periodEnd == 0 {
			a.periodEnd = now - a.interval
		}
		r = &reportLine{since: a.periodEnd}
		a.lines[key] = r
		a.pending = append(a.pending, key)
	}
	return r
}

// AddTries adds the tries of a proxy at a host. Of the hosts' own load figures, the latest are kept.
func (a *Aggregator) AddTries(now logic.Millis, t Tries) {
	r := a.lineFor(now, triesKey{t.Host, t.Zone})
	load := r.tries.Load
	if t.Load != (logic.Load{}) {
		load = t.Load
	}
	r.tries = Tries{t.Host, t.Zone, r.tries.Ended + t.Ended, r.tries.Unanswered + t.Unanswered, r.tries.AnsweredMs + t.AnsweredMs, load}
}

// AddDemand adds the calls of a route to the pending line for the slice or the proxy.
func (a *Aggregator) AddDemand(now logic.Millis, c Demand) {
	if a.bySlice {
		c.Proxy = 0
	}
	r := a.lineFor(now, demandKey{c.Slice, c.Proxy, c.Route})
	c.Calls, c.Unanswered = c.Calls+r.demand.Calls, c.Unanswered+r.demand.Unanswered
	r.demand = c
}

// Next returns when the current period ends.
func (a *Aggregator) Next() logic.Millis { return a.periodEnd + a.interval }

// Due returns the lines to release, as events, if the current period has ended. The rate limit is applied as credit,
// of which at most one interval's worth, or one line, is saved up.
func (a *Aggregator) Due(now logic.Millis) (events []any) {
	if now < a.Next() {
		return nil
	}
	a.credit = min(a.credit+a.linesPerSecond*float64(now-a.periodEnd)/1000, max(1, a.linesPerSecond*float64(a.interval)/1000))
	a.periodEnd = now
	n := min(len(a.pending), int(a.credit))
	a.credit -= float64(n)
	for _, key := range a.pending[:n] {
		r := a.lines[key]
		delete(a.lines, key)
		period := now - r.since
		switch key.(type) {
		case triesKey:
			m := logic.HostSample{Host: r.tries.Host, Zone: r.tries.Zone, Period: period, Finished: r.tries.Ended, Failed: r.tries.Unanswered,
				Load: r.tries.Load}
			if good := m.Finished - m.Failed; good > 0 {
				m.MeanLatency = logic.Millis(r.tries.AnsweredMs / float64(good))
			}
			events = append(events, m)
		case demandKey:
			c := r.demand
			if a.bySlice {
				events = append(events, logic.SliceDemand{Slice: c.Slice, Route: c.Route, Period: period, Calls: c.Calls, Unanswered: c.Unanswered})
			} else {
				events = append(events, logic.RouteDemand{Proxy: c.Proxy, Route: c.Route, Period: period, Calls: c.Calls, Unanswered: c.Unanswered})
			}
		}
	}
	a.pending = append([]any(nil), a.pending[n:]...)
	return events
}

// Pending returns the number of lines not yet released.
func (a *Aggregator) Pending() int { return len(a.pending) }
