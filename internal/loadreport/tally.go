// Package loadreport accumulates the counts of a proxy's calls and tries for load reports until its director has
// counted them. A director counts each batch once, even if its response is lost. The package does no I/O and reads no
// clock.
package loadreport

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

// TryStats are the tries of a route at a host.
type TryStats struct {
	Succeeded, Failed int
	TotalMs           float64 // sum of the latencies of successful tries in milliseconds
	Load              logic.Load
}

// CallStats are the calls of a route and table.
type CallStats struct{ Received, Unanswered int }

type (
	tryKey struct {
		route string
		host  tables.Address
	}
	callKey struct{ route, table string }
)

// Batch is the content of one load report.
type Batch struct {
	Key   string // identifies the batch, so that a director counts a repeated one once
	Tries map[tryKey]TryStats
	Calls map[callKey]CallStats
}

// Tally accumulates the counts of a proxy for one director.
type Tally struct {
	instanceID string // distinguishes this run of the proxy from others
	serial     int
	current    Batch
	pending    *Batch // batch that was handed out and whose outcome is not known yet
	recipient  string // director that pending was last sent to
	rejected   int
}

// New returns an empty tally. The parameter instanceID distinguishes this run of the proxy from others.
func New(instanceID string) *Tally { return &Tally{instanceID: instanceID, current: newBatch()} }

func newBatch() Batch { return Batch{Tries: map[tryKey]TryStats{}, Calls: map[callKey]CallStats{}} }

// AddTry adds a completed try. A load that its response carried replaces the earlier load of the host.
func (t *Tally) AddTry(route string, host tables.Address, succeeded bool, latencyMs float64, load logic.Load) {
	key := tryKey{route, host}
	stats := t.current.Tries[key]
	if succeeded {
		stats.Succeeded, stats.TotalMs = stats.Succeeded+1, stats.TotalMs+latencyMs
	} else {
		stats.Failed++
	}
	if load != (logic.Load{}) {
		stats.Load = load
	}
	t.current.Tries[key] = stats
}

// AddCall adds a received call.
func (t *Tally) AddCall(route, table string) { t.addCalls(route, table, CallStats{1, 0}) }

// AddUnanswered adds a call that was admitted and not answered.
func (t *Tally) AddUnanswered(route, table string) {
	t.addCalls(route, table, CallStats{0, 1})
}

func (t *Tally) addCalls(route, table string, c CallStats) {
	k := callKey{route, table}
	x := t.current.Calls[k]
	t.current.Calls[k] = CallStats{x.Received + c.Received, x.Unanswered + c.Unanswered}
}

// PendingBatch returns the batch to send to a director now, or nil if there is none. A batch whose outcome is unknown is
// returned again with the same key, by which a director counts it once. It is also sent if the director has changed: the
// new one has not counted it, and what the previous one may have counted was lost with that director's state.
func (t *Tally) PendingBatch(director string) *Batch {
	if t.pending == nil {
		if len(t.current.Tries) == 0 && len(t.current.Calls) == 0 {
			return nil
		}
		t.serial++
		b := t.current
		b.Key = fmt.Sprintf("%s-%d", t.instanceID, t.serial)
		t.pending, t.current = &b, newBatch()
	}
	t.recipient = director
	return t.pending
}

// Outcome says what became of a batch that was sent.
type Outcome int

// The outcomes of a batch.
const (
	Accepted Outcome = iota // the director has counted it
	Rejected                // the director will never count it; it is dropped, as it would block all later batches
	Unknown                 // it is not known whether the director counted it; the batch is sent again
)

// Resolve reports the outcome of the pending batch. Keys of other batches are ignored.
func (t *Tally) Resolve(key string, outcome Outcome) {
	if t.pending == nil || t.pending.Key != key {
		return
	}
	switch outcome {
	case Rejected:
		t.rejected++
		fallthrough
	case Accepted:
		t.pending = nil
	}
}

// RejectedBatches returns the number of batches that were dropped because the director rejected them.
func (t *Tally) RejectedBatches() int { return t.rejected }

// Request returns the batch as a load report in the published format.
func (b *Batch) Request(proxy, zone string) lrs.Request {
	request := lrs.Request{Node: lrs.Node{ID: proxy, Locality: lrs.Locality{Zone: zone}}}
	for _, k := range slices.SortedFunc(maps.Keys(b.Calls), func(x, y callKey) int {
		return cmp.Or(cmp.Compare(x.route, y.route), cmp.Compare(x.table, y.table))
	}) {
		c := b.Calls[k]
		request.ClusterStats = append(request.ClusterStats, lrs.ClusterStats{Name: k.route, ServiceName: k.table, Localities: []lrs.LocalityStats{{
			Metrics: []lrs.MetricStats{{Name: lrs.Calls, Finished: lrs.Count(c.Received), Total: float64(c.Received)},
				{Name: lrs.Unanswered, Finished: lrs.Count(c.Unanswered), Total: float64(c.Unanswered)}}}}})
	}
	byRoute := map[string]*lrs.LocalityStats{}
	for _, k := range slices.SortedFunc(maps.Keys(b.Tries), func(x, y tryKey) int {
		return cmp.Or(cmp.Compare(x.route, y.route), cmp.Compare(x.host, y.host))
	}) {
		t := b.Tries[k]
		address, err := lrs.AddressOf(k.host)
		if err != nil {
			continue
		}
		endpoint := lrs.EndpointStats{Address: address, Successful: lrs.Count(t.Succeeded), Errors: lrs.Count(t.Failed), Issued: lrs.Count(t.Succeeded + t.Failed),
			Metrics: []lrs.MetricStats{{Name: lrs.AnswerMs, Finished: lrs.Count(t.Succeeded), Total: t.TotalMs}}}
		orca.EachMetric(t.Load, func(name string, v float64) {
			endpoint.Metrics = append(endpoint.Metrics, lrs.MetricStats{Name: name, Finished: 1, Total: v})
		})
		if byRoute[k.route] == nil {
			byRoute[k.route] = &lrs.LocalityStats{Locality: lrs.Locality{Zone: zone}}
		}
		byRoute[k.route].Endpoints = append(byRoute[k.route].Endpoints, endpoint)
	}
	for _, route := range slices.Sorted(maps.Keys(byRoute)) {
		request.ClusterStats = append(request.ClusterStats, lrs.ClusterStats{Name: route, Localities: []lrs.LocalityStats{*byRoute[route]}})
	}
	return request
}
