// Package tally adds up what a proxy meets until its director takes it: each batch once, whatever becomes of the
// answer. No I/O, no clock.
package tally

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"vetchwood/internal/lrs"
	"vetchwood/internal/orca"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Tries is what was met at a host.
type TryStats struct {
	Succeeded, Failed int
	TotalMs           float64 // milliseconds of all good answers
	Load              logic.Load
}

// Calls is what came for a route and table.
type CallStats struct{ Received, Unanswered int }

type (
	tryKey struct {
		route string
		host  tables.Address
	}
	callKey struct{ route, table string }
)

// Batch is one report.
type Batch struct {
	Key   string
	Tries map[tryKey]TryStats
	Calls map[callKey]CallStats
}

// Tally is one proxy's. Birth tells this life of the proxy from others.
type Tally struct {
	instanceID string
	serial     int
	current    Batch
	pending    *Batch // handed out, and its fate not known yet
	recipient  string // whom it was sent to
	rejected   int
}

func New(birth string) *Tally { return &Tally{instanceID: birth, current: newBatch()} }

func newBatch() Batch { return Batch{Tries: map[tryKey]TryStats{}, Calls: map[callKey]CallStats{}} }

// Tried adds a try that ended; a load that came with its answer is the newest of that host.
func (t *Tally) AddTry(route string, host tables.Address, good bool, spent float64, load logic.Load) {
	k := tryKey{route, host}
	x := t.current.Tries[k]
	if good {
		x.Succeeded, x.TotalMs = x.Succeeded+1, x.TotalMs+spent
	} else {
		x.Failed++
	}
	if load != (logic.Load{}) {
		x.Load = load
	}
	t.current.Tries[k] = x
}

// Came adds a call that came; Unanswered one that was let in and got no answer.
func (t *Tally) AddCall(route, table string) { t.addCalls(route, table, CallStats{1, 0}) }
func (t *Tally) AddUnanswered(route, table string) {
	t.addCalls(route, table, CallStats{0, 1})
}

func (t *Tally) addCalls(route, table string, c CallStats) {
	k := callKey{route, table}
	x := t.current.Calls[k]
	t.current.Calls[k] = CallStats{x.Received + c.Received, x.Unanswered + c.Unanswered}
}

// Cut gives what is to be sent to a director now, nil if there is nothing. A batch whose fate is not known is sent
// again, under its key, to the same director, who counts it once. Another director is sent it too: it has not counted
// it, and what the first one counted went with that one's knowledge.
func (t *Tally) PendingBatch(to string) *Batch {
	if t.pending == nil {
		if len(t.current.Tries) == 0 && len(t.current.Calls) == 0 {
			return nil
		}
		t.serial++
		b := t.current
		b.Key = fmt.Sprintf("%s-%d", t.instanceID, t.serial)
		t.pending, t.current = &b, newBatch()
	}
	t.recipient = to
	return t.pending
}

// Fate of a batch.
type Outcome int

const (
	Accepted Outcome = iota
	Rejected         // it will never be counted: dropped, or it would block all that follows
	Unknown
)

// Ended tells what became of the batch that was cut last.
func (t *Tally) Resolve(key string, f Outcome) {
	if t.pending == nil || t.pending.Key != key {
		return
	}
	switch f {
	case Rejected:
		t.rejected++
		fallthrough
	case Accepted:
		t.pending = nil
	}
}

// Dropped is how many batches were refused.
func (t *Tally) RejectedBatches() int { return t.rejected }

// Request is the batch in the published form.
func (b *Batch) Request(proxy, zone string) lrs.Request {
	q := lrs.Request{Node: lrs.Node{ID: proxy, Locality: lrs.Locality{Zone: zone}}}
	for _, k := range slices.SortedFunc(maps.Keys(b.Calls), func(x, y callKey) int {
		return cmp.Or(cmp.Compare(x.route, y.route), cmp.Compare(x.table, y.table))
	}) {
		c := b.Calls[k]
		q.ClusterStats = append(q.ClusterStats, lrs.Cluster{Name: k.route, ServiceName: k.table, Localities: []lrs.Upstream{{
			Metrics: []lrs.Metric{{Name: lrs.Calls, Finished: lrs.Count(c.Received), Total: float64(c.Received)},
				{Name: lrs.Unanswered, Finished: lrs.Count(c.Unanswered), Total: float64(c.Unanswered)}}}}})
	}
	byRoute := map[string]*lrs.Upstream{}
	for _, k := range slices.SortedFunc(maps.Keys(b.Tries), func(x, y tryKey) int {
		return cmp.Or(cmp.Compare(x.route, y.route), cmp.Compare(x.host, y.host))
	}) {
		t := b.Tries[k]
		address, err := lrs.At(k.host)
		if err != nil {
			continue
		}
		e := lrs.Endpoint{Address: address, Successful: lrs.Count(t.Succeeded), Errors: lrs.Count(t.Failed), Issued: lrs.Count(t.Succeeded + t.Failed),
			Metrics: []lrs.Metric{{Name: lrs.Spent, Finished: lrs.Count(t.Succeeded), Total: t.TotalMs}}}
		orca.Each(t.Load, func(name string, v float64) {
			e.Metrics = append(e.Metrics, lrs.Metric{Name: name, Finished: 1, Total: v})
		})
		if byRoute[k.route] == nil {
			byRoute[k.route] = &lrs.Upstream{Locality: lrs.Locality{Zone: zone}}
		}
		byRoute[k.route].Endpoints = append(byRoute[k.route].Endpoints, e)
	}
	for _, route := range slices.Sorted(maps.Keys(byRoute)) {
		q.ClusterStats = append(q.ClusterStats, lrs.Cluster{Name: route, Localities: []lrs.Upstream{*byRoute[route]}})
	}
	return q
}
