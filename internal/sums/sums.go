// Package sums adds up what proxies report until the director's module may hear it: at a stated number of lines
// a second, the oldest first, the rest added up and following. No I/O, no clock.
package sums

import "vetchwood/logic"

// Tries is what one proxy met at a host since its last report.
type Tries struct {
	Host              logic.HostID
	Zone              logic.ZoneID
	Ended, Unanswered int
	AnsweredMs        float64 // milliseconds of all tries that were answered, added up
	Load              logic.Load
}

// Calls is what came to a proxy for a slice or, without slices, to the proxy itself.
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
	row struct {
		tries  Tries
		demand Demand
		since  logic.Millis
	}
)

// Intake is one director's.
type Aggregator struct {
	bySlice        bool
	interval       logic.Millis
	linesPerSecond float64
	periodEnd      logic.Millis // when the last period ended
	credit         float64
	pending        []any // keys of what waits, the oldest first
	rows           map[any]*row
}

func New(sliced bool, every logic.Millis, linesPerSecond float64) *Aggregator {
	return &Aggregator{bySlice: sliced, interval: every, linesPerSecond: linesPerSecond, rows: map[any]*row{}}
}

func (in *Aggregator) row(now logic.Millis, key any) *row {
	r := in.rows[key]
	if r == nil {
		if in.periodEnd == 0 {
			in.periodEnd = now - in.interval
		}
		r = &row{since: in.periodEnd}
		in.rows[key] = r
		in.pending = append(in.pending, key)
	}
	return r
}

// Tried adds what a proxy met at a host. The newest load report among them is kept.
func (in *Aggregator) AddTries(now logic.Millis, t Tries) {
	r := in.row(now, triesKey{t.Host, t.Zone})
	load := r.tries.Load
	if t.Load != (logic.Load{}) {
		load = t.Load
	}
	r.tries = Tries{t.Host, t.Zone, r.tries.Ended + t.Ended, r.tries.Unanswered + t.Unanswered, r.tries.AnsweredMs + t.AnsweredMs, load}
}

// Came adds the calls of a route.
func (in *Aggregator) AddDemand(now logic.Millis, c Demand) {
	if in.bySlice {
		c.Proxy = 0
	}
	r := in.row(now, demandKey{c.Slice, c.Proxy, c.Route})
	c.Calls, c.Unanswered = c.Calls+r.demand.Calls, c.Unanswered+r.demand.Unanswered
	r.demand = c
}

// Next is when the period at hand ends.
func (in *Aggregator) Next() logic.Millis { return in.periodEnd + in.interval }

// Due gives the lines of a period that has ended, as notes.
func (in *Aggregator) Due(now logic.Millis) (notes []any) {
	if now < in.Next() {
		return nil
	}
	in.credit = min(in.credit+in.linesPerSecond*float64(now-in.periodEnd)/1000, max(1, in.linesPerSecond*float64(in.interval)/1000))
	in.periodEnd = now
	n := min(len(in.pending), int(in.credit))
	in.credit -= float64(n)
	for _, key := range in.pending[:n] {
		r := in.rows[key]
		delete(in.rows, key)
		over := now - r.since
		switch key.(type) {
		case triesKey:
			m := logic.Met{Host: r.tries.Host, Zone: r.tries.Zone, Over: over, Ended: r.tries.Ended, Lost: r.tries.Unanswered,
				Load: r.tries.Load}
			if good := m.Ended - m.Lost; good > 0 {
				m.Spent = logic.Millis(r.tries.AnsweredMs / float64(good))
			}
			notes = append(notes, m)
		case demandKey:
			c := r.demand
			if in.bySlice {
				notes = append(notes, logic.Heat{Slice: c.Slice, Route: c.Route, Over: over, Calls: c.Calls, Lost: c.Unanswered})
			} else {
				notes = append(notes, logic.Asked{Proxy: c.Proxy, Route: c.Route, Over: over, Calls: c.Calls, Lost: c.Unanswered})
			}
		}
	}
	in.pending = append([]any(nil), in.pending[n:]...)
	return notes
}

// Waiting is how many lines have yet to be heard.
func (in *Aggregator) Pending() int { return len(in.pending) }
