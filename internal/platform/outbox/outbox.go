// Package outbox queues orders for the relay and decides which call is made next. Calls are made one at a time and in
// the order in which the decision module emitted them; a call whose execution is unconfirmed is repeated. The package
// does no I/O and reads no clock.
package outbox

import (
	"errors"
	"slices"
	"strconv"

	"vetchwood/logic"
)

// Kind tells which setting an op changes.
type Kind int

// The kinds of ops.
const (
	Line       Kind = iota // a line of a table
	Clear                  // all lines of a table
	Mask                   // the mask of a host
	Level                  // an admission level and the retry rule
	AckRequest             // nothing: asks the proxies for an acknowledgement
)

// NoTable is the table of ops that do not belong to a single table.
const NoTable logic.TableID = 1<<16 - 2

// Op is one order: its JSON text and the setting that it changes.
type Op struct {
	Text   string
	Kind   Kind
	Table  logic.TableID
	Host   logic.HostID
	Weight float64 // of a line
	Routes logic.RouteSet
	Serial logic.SerialID

	partlySent bool // of an AckRequest: earlier calls may carry orders that it is to confirm
}

// settingKey identifies the setting that an op changes. An op supersedes queued ops with the same key.
type settingKey struct {
	kind   Kind
	table  logic.TableID
	host   logic.HostID
	routes logic.RouteSet
}

func (o Op) key() settingKey {
	s := settingKey{o.Kind, o.Table, o.Host, o.Routes}
	if o.Kind == AckRequest {
		s.host = logic.HostID(o.Serial) // each request is acknowledged separately
	}
	return s
}

// Call is a JSON-RPC commit call to the relay that carries a batch of ops.
type Call struct {
	ID       uint64
	Ops      []Op
	Text     []byte // the request line, with its line feed
	attempts int    // number of times it was handed out for sending
	copies   int    // how often the channel may hold its orders, or others that its serials are to confirm
}

// IsRetry reports whether the call was handed out for sending before, so that the relay may have executed it already.
func (c *Call) IsRetry() bool { return c.attempts > 1 }

// Result tells how a call ended.
type Result int

// The results of a call.
const (
	Answered    Result = iota // the relay answered with the number of ops that it applied
	NotSent                   // the relay cannot have executed the call
	Unconfirmed               // the relay may or may not have executed the call
	Retryable                 // the relay refused the call for now; it is repeated
	Invalid                   // the relay refused the call as malformed; it is not repeated
)

// Outcome lists the ops of a call that ended, by what the relay did with them.
type Outcome struct {
	Applied  []Op // in effect
	Rejected []Op // refused; they never took effect
}

// Dropped is an acknowledgement request that left the queue without having been carried out. Copies is how often the
// channel may hold the orders that it was to confirm, or some of them.
type Dropped struct {
	Serial logic.SerialID
	Copies int
}

// Limits bounds the size of a call and of the queue.
type Limits struct {
	MaxCallBytes int // bytes of op text in one call
	MaxQueued    int // queued ops
}

// Queue holds the ops that have not been sent and the call in flight.
type Queue struct {
	limits    Limits
	queued    []Op
	discarded map[logic.TableID]bool // tables whose queued ops are to be removed, all in one pass
	inFlight  *Call
	lastID    uint64
	dropped   []Dropped // not taken yet
	Discarded uint64    // ops removed before they were sent: superseded, or of a discarded table
}

// New returns an empty queue with the given limits.
func New(l Limits) *Queue { return &Queue{limits: l, discarded: map[logic.TableID]bool{}} }

// ErrFull is returned when the queue exceeds its limit. All queued ops are dropped.
var ErrFull = errors.New("queue of orders for the relay exceeded its limit: all unsent orders were dropped")

// Add queues the ops of one turn of the decision module. They are sent as one call, unless ops of an earlier turn are
// still queued: then both turns are sent together, without the earlier ops that the later turn supersedes. Each call
// becomes one message to each proxy, so a channel that was blocked must not receive every missed turn as a call of its
// own.
func (q *Queue) Add(turn []Op) (dropped []Op, err error) {
	if q.removeDiscarded(); len(q.queued) > 0 {
		later := map[settingKey]bool{}
		cleared := map[logic.TableID]bool{}
		for _, o := range turn {
			later[o.key()] = true
			cleared[o.Table] = cleared[o.Table] || o.Kind == Clear
		}
		q.removeFunc(func(o Op) bool {
			return later[o.key()] || cleared[o.Table] && (o.Kind == Line || o.Kind == Level && o.Table != NoTable)
		})
	}
	q.queued = append(q.queued, turn...)
	if len(q.queued) > q.limits.MaxQueued {
		dropped, q.queued = q.queued, nil
		q.recordDropped(dropped, 0)
		return dropped, ErrFull
	}
	return nil, nil
}

// removeFunc removes the queued ops for which remove returns true, and counts them.
func (q *Queue) removeFunc(remove func(Op) bool) {
	kept := q.queued[:0]
	for _, o := range q.queued {
		if remove(o) {
			q.Discarded++
			continue
		}
		kept = append(kept, o)
	}
	q.queued = kept
}

// DiscardTable drops the queued ops of a table, because the director no longer owns the slice or the module was given
// its state again. The ops are removed in one pass at the next access, since a takeover may discard a thousand tables
// at once.
func (q *Queue) DiscardTable(t logic.TableID) {
	if len(q.queued) > 0 {
		q.discarded[t] = true
	}
}

// removeDiscarded removes the queued ops of all discarded tables.
func (q *Queue) removeDiscarded() {
	if len(q.discarded) > 0 {
		q.removeFunc(func(o Op) bool { return q.discarded[o.Table] })
		clear(q.discarded)
	}
}

// dropUnanswerable drops the queued acknowledgement requests if the orders that they were to confirm are all gone: a
// call without other ops reaches no proxy, so none would answer them.
func (q *Queue) dropUnanswerable() {
	isNeeded := func(o Op) bool { return o.Kind != AckRequest || o.partlySent }
	if !slices.ContainsFunc(q.queued, isNeeded) {
		q.recordDropped(q.queued, 0)
		q.queued = nil
	}
}

// recordDropped records the acknowledgement requests among ops that are dropped. Copies is how often the channel may
// hold what they were to confirm.
func (q *Queue) recordDropped(ops []Op, copies int) {
	for _, o := range ops {
		if o.Kind == AckRequest {
			q.dropped = append(q.dropped, Dropped{o.Serial, max(copies, copiesSent(o))})
		}
	}
}

// copiesSent returns how often the channel may hold orders of earlier calls that an acknowledgement request is to
// confirm.
func copiesSent(o Op) int {
	if o.partlySent {
		return 1
	}
	return 0
}

// TakeDropped returns the acknowledgement requests that were dropped since it was last called.
func (q *Queue) TakeDropped() (dropped []Dropped) {
	dropped, q.dropped = q.dropped, nil
	return dropped
}

// Queued returns the number of queued ops, without those of the call in flight.
func (q *Queue) Queued() int {
	q.removeDiscarded()
	return len(q.queued)
}

// InFlight returns the call that has not finished yet, or nil if there is none.
func (q *Queue) InFlight() *Call { return q.inFlight }

// Next returns the call to make now: the call in flight, if it has to be repeated, or a new one. It returns nil if
// there is nothing to send. It must not be called while a call is being made.
func (q *Queue) Next() *Call {
	q.removeDiscarded()
	if q.inFlight == nil {
		q.dropUnanswerable()
	}
	if q.inFlight == nil && len(q.queued) > 0 {
		n := q.batchSize()
		q.lastID++
		q.inFlight = &Call{ID: q.lastID, Ops: append([]Op(nil), q.queued[:n]...)}
		if q.queued = q.queued[n:]; len(q.queued) == 0 {
			q.queued = nil // releases the array of the ops that were sent
		}
		for _, o := range q.inFlight.Ops {
			q.inFlight.copies = max(q.inFlight.copies, copiesSent(o))
		}
		for i := range q.queued {
			q.queued[i].partlySent = q.queued[i].Kind == AckRequest
		}
		q.inFlight.encode()
	}
	if q.inFlight != nil {
		q.inFlight.attempts++
	}
	return q.inFlight
}

// batchSize returns how many of the queued ops go into the next call. The ops of a table stay together, so that a
// table is never cleared by one call and filled only by the next. Acknowledgement requests go with the last batch, so
// that each is made after the ops of its turn.
func (q *Queue) batchSize() int {
	bytes, fits := 0, 0
	for i, o := range q.queued {
		if bytes += len(o.Text) + 1; bytes > q.limits.MaxCallBytes && i > 0 {
			break
		}
		fits = i + 1
	}
	if fits == len(q.queued) {
		return fits
	}
	// Moves the cut towards the front until no table has ops on both sides of it. split counts the tables that have.
	before, after, split := map[logic.TableID]int{}, map[logic.TableID]bool{}, 0
	for _, o := range q.queued[:fits] {
		before[o.Table]++
	}
	for _, o := range q.queued[fits:] {
		if t := o.Table; before[t] > 0 && t != NoTable && !after[t] {
			after[t] = true
			split++
		}
	}
	for n := fits; n > 0; n-- {
		if split == 0 {
			return q.moveAckRequestsLast(n)
		}
		o := q.queued[n-1]
		if before[o.Table]--; o.Table == NoTable {
			continue
		}
		if !after[o.Table] {
			after[o.Table] = true
			split++
		}
		if before[o.Table] == 0 {
			split--
		}
	}
	return q.moveAckRequestsLast(fits) // a single table exceeds the size of a call
}

// moveAckRequestsLast moves acknowledgement requests to the end of the queue if any are among the first n ops, and
// returns how many of those n ops remain in front. If the n ops are all acknowledgement requests, nothing is moved.
func (q *Queue) moveAckRequestsLast(n int) int {
	if !slices.ContainsFunc(q.queued[:n], func(o Op) bool { return o.Kind == AckRequest }) {
		return n
	}
	var first, requests, rest []Op
	for i, o := range q.queued {
		switch {
		case o.Kind == AckRequest:
			requests = append(requests, o)
		case i < n:
			first = append(first, o)
		default:
			rest = append(rest, o)
		}
	}
	if len(first) == 0 {
		return n
	}
	q.queued = append(append(first, rest...), requests...)
	return len(first)
}

// encode writes the request line of the call into Text.
func (c *Call) encode() {
	c.Text = append(c.Text[:0], `{"jsonrpc":"2.0","id":`...)
	c.Text = strconv.AppendUint(c.Text, c.ID, 10)
	c.Text = append(c.Text, `,"method":"commit","params":{"ops":[`...)
	for i, o := range c.Ops {
		if i > 0 {
			c.Text = append(c.Text, ',')
		}
		c.Text = append(c.Text, o.Text...)
	}
	c.Text = append(c.Text, "]}}\n"...)
}

// Serials returns the serials that the call asks the proxies to acknowledge. If there are none, no proxy will confirm
// the call.
func (c *Call) Serials() (all []logic.SerialID) {
	for _, o := range c.Ops {
		if o.Kind == AckRequest {
			all = append(all, o.Serial)
		}
	}
	return all
}

// Reset drops the call in flight and all queued ops, and returns their ops.
func (q *Queue) Reset() (dropped []Op) {
	q.removeDiscarded()
	if q.inFlight != nil {
		dropped = q.inFlight.Ops
		q.recordDropped(dropped, q.inFlight.copies)
	}
	q.recordDropped(q.queued, 0)
	dropped = append(dropped, q.queued...)
	q.inFlight, q.queued = nil, nil
	return dropped
}

// Finish records how the call in flight ended. An unconfirmed call is repeated unchanged before any newer ops are
// sent: the relay executes a call completely or not at all, and ops are idempotent. If the relay applied only the
// first ops of a call, the op that failed is rejected and the remaining ops become a new call, ahead of the queue.
func (q *Queue) Finish(result Result, applied int) (out Outcome) {
	c := q.inFlight
	if c != nil && result == Unconfirmed {
		c.copies++
	}
	if c == nil || result == NotSent || result == Unconfirmed || result == Retryable {
		return out
	}
	q.inFlight = nil
	if result == Invalid {
		out.Rejected = c.Ops
		q.recordDropped(c.Ops, c.copies)
		return out
	}
	if applied = min(max(0, applied), len(c.Ops)); applied == len(c.Ops) {
		out.Applied = c.Ops
		return out
	}
	out.Applied, out.Rejected = c.Ops[:applied], c.Ops[applied:applied+1]
	if applied > 0 {
		c.copies++
	}
	q.recordDropped(out.Rejected, c.copies)
	rest := c.Ops[applied+1:]
	if !slices.ContainsFunc(rest, func(o Op) bool { return o.Kind != AckRequest }) {
		q.recordDropped(rest, c.copies) // a call without other ops reaches no proxy
		return out
	}
	q.lastID++
	q.inFlight = &Call{ID: q.lastID, Ops: rest, copies: c.copies}
	q.inFlight.encode()
	return out
}
