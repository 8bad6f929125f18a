// Package sums adds up what proxies report until the director's module may hear it: at a stated number of lines
// a second, the oldest first, the rest added up and following. No I/O, no clock.
package sums

import "vetchwood/logic"

// Tries is what one proxy met at a host since its last report.
type Tries struct {
	Host        logic.HostID
	Zone        logic.ZoneID
	Ended, Lost int
	Spent       float64 // milliseconds of all tries that were answered, added up
	Load        logic.Load
}

// Calls is what came to a proxy for a slice or, without slices, to the proxy itself.
type Calls struct {
	Slice       logic.TableID
	Proxy       logic.ProxyID
	Route       logic.RouteID
	Calls, Lost int
}

type (
	metKey struct {
		host logic.HostID
		zone logic.ZoneID
	}
	callKey struct {
		slice logic.TableID
		proxy logic.ProxyID
		route logic.RouteID
	}
	row struct {
		met   Tries
		calls Calls
		since logic.Millis
	}
)

// Intake is one director's.
type Intake struct {
	sliced    bool
	every     logic.Millis
	perSecond float64
	turn      logic.Millis // when the last period ended
	credit    float64
	order     []any // keys of what waits, the oldest first
	rows      map[any]*row
}

func New(sliced bool, every logic.Millis, linesPerSecond float64) *Intake {
	return &Intake{sliced: sliced, every: every, perSecond: linesPerSecond, rows: map[any]*row{}}
}

func (in *Intake) row(now logic.Millis, key any) *row {
	r := in.rows[key]
	if r == nil {
		if in.turn == 0 {
			in.turn = now - in.every
		}
		r = &row{since: in.turn}
		in.rows[key] = r
		in.order = append(in.order, key)
	}
	return r
}

// Tried adds what a proxy met at a host. The newest load report among them is kept.
func (in *Intake) Tried(now logic.Millis, t Tries) {
	r := in.row(now, metKey{t.Host, t.Zone})
	load := r.met.Load
	if t.Load != (logic.Load{}) {
		load = t.Load
	}
	r.met = Tries{t.Host, t.Zone, r.met.Ended + t.Ended, r.met.Lost + t.Lost, r.met.Spent + t.Spent, load}
}

// Came adds the calls of a route.
func (in *Intake) Came(now logic.Millis, c Calls) {
	if in.sliced {
		c.Proxy = 0
	}
	r := in.row(now, callKey{c.Slice, c.Proxy, c.Route})
	c.Calls, c.Lost = c.Calls+r.calls.Calls, c.Lost+r.calls.Lost
	r.calls = c
}

// Next is when the period at hand ends.
func (in *Intake) Next() logic.Millis { return in.turn + in.every }

// Due gives the lines of a period that has ended, as notes.
func (in *Intake) Due(now logic.Millis) (notes []any) {
	if now < in.Next() {
		return nil
	}
	in.credit = min(in.credit+in.perSecond*float64(now-in.turn)/1000, max(1, in.perSecond*float64(in.every)/1000))
	in.turn = now
	n := min(len(in.order), int(in.credit))
	in.credit -= float64(n)
	for _, key := range in.order[:n] {
		r := in.rows[key]
		delete(in.rows, key)
		over := now - r.since
		switch key.(type) {
		case metKey:
			m := logic.HostSample{Host: r.met.Host, Zone: r.met.Zone, Period: over, Finished: r.met.Ended, Failed: r.met.Lost,
				Load: r.met.Load}
			if good := m.Finished - m.Failed; good > 0 {
				m.MeanLatency = logic.Millis(r.met.Spent / float64(good))
			}
			notes = append(notes, m)
		case callKey:
			c := r.calls
			if in.sliced {
				notes = append(notes, logic.SliceDemand{Slice: c.Slice, Route: c.Route, Period: over, Calls: c.Calls, Unanswered: c.Lost})
			} else {
				notes = append(notes, logic.RouteDemand{Proxy: c.Proxy, Route: c.Route, Period: over, Calls: c.Calls, Unanswered: c.Lost})
			}
		}
	}
	in.order = append([]any(nil), in.order[n:]...)
	return notes
}

// Waiting is how many lines have yet to be heard.
func (in *Intake) Waiting() int { return len(in.order) }
