// Package outbox decides what the relay is told next: one call at a time, in the module's order, and again where it is not sure
// that a call was carried out. No I/O, no clock.
package outbox

import (
	"errors"
	"slices"
	"strconv"

	"vetchwood/logic"
)

// Kind is what an op sets.
type Kind int

const (
	Line  Kind = iota // a line of a table
	Clear             // all of a table
	Mask              // a host out or in
	Level             // a level, and the way of trying again
	Mark              // asks for an answer
)

// NoTable is that of ops which concern no one table.
const NoTable logic.TableID = 1<<16 - 2

// Op is one order, as it is written, and what it is about.
type Op struct {
	Text   string
	Kind   Kind
	Table  logic.TableID
	Host   logic.HostID
	Weight float64 // of a line
	Routes logic.RouteSet
	Serial logic.SerialID
}

// slot is what a later op of the same slot makes void.
type slot struct {
	kind   Kind
	table  logic.TableID
	host   logic.HostID
	routes logic.RouteSet
}

func (o Op) slot() slot {
	s := slot{o.Kind, o.Table, o.Host, o.Routes}
	if o.Kind == Mark {
		s.host = logic.HostID(o.Serial) // each is answered by itself
	}
	return s
}

// Call is one to be made.
type Call struct {
	ID   uint64
	Ops  []Op
	Text []byte // the whole line
	sent int    // how often
}

// Again says whether it was sent before and may have been carried out.
func (c *Call) Again() bool { return c.sent > 1 }

// Fate is how a call ended.
type Fate int

const (
	Answered Fate = iota // with how many ops were taken
	Unsent               // it surely was not carried out
	Unsure               // it may have been
	Later                // refused, to be made again
	Invalid              // refused as no call
)

// Outcome is what is known once a call has ended.
type Outcome struct {
	Taken   []Op // in force
	Dropped []Op // refused; never in force
}

// Limits of the relay and of what may wait here.
type Limits struct {
	CallBytes int // orders of one call
	Waiting   int // ops that wait
}

// Box holds what waits and the call in hand.
type Box struct {
	limits  Limits
	waiting []Op
	void    map[logic.TableID]bool // tables whose ops among these are to be dropped, all in one pass
	call    *Call
	next    uint64
	Merged  uint64 // ops that a later one made void before they were sent
}

func New(l Limits) *Box { return &Box{limits: l, void: map[logic.TableID]bool{}} }

// ErrFull is that more waits than may. All that waited is dropped.
var ErrFull = errors.New("more orders wait for the relay than may: all that were not sent are dropped")

// Add takes the ops of one turn. They go as one call, unless an earlier turn still waits: then both go together, since what is one
// call is one message to each proxy, and a channel that stood still must not be sent all turns at once. What a later turn sets
// anew goes only once then.
func (b *Box) Add(turn []Op) (dropped []Op, err error) {
	if b.sweep(); len(b.waiting) > 0 {
		later := map[slot]bool{}
		cleared := map[logic.TableID]bool{}
		for _, o := range turn {
			later[o.slot()] = true
			cleared[o.Table] = cleared[o.Table] || o.Kind == Clear
		}
		b.drop(func(o Op) bool {
			return later[o.slot()] || cleared[o.Table] && (o.Kind == Line || o.Kind == Level && o.Table != NoTable)
		})
	}
	b.waiting = append(b.waiting, turn...)
	if len(b.waiting) > b.limits.Waiting {
		dropped, b.waiting = b.waiting, nil
		return dropped, ErrFull
	}
	return nil, nil
}

func (b *Box) drop(void func(Op) bool) {
	kept := b.waiting[:0]
	for _, o := range b.waiting {
		if void(o) {
			b.Merged++
			continue
		}
		kept = append(kept, o)
	}
	b.waiting = kept
}

// Forget drops what waits for a table: it is in our charge no more, or was told anew. A director that takes over may forget a
// thousand at once: they are dropped together.
func (b *Box) Forget(t logic.TableID) {
	if len(b.waiting) > 0 {
		b.void[t] = true
	}
}

func (b *Box) sweep() {
	if len(b.void) > 0 {
		b.drop(func(o Op) bool { return b.void[o.Table] })
		clear(b.void)
	}
}

// Waiting is how many ops wait, beside those of the call in hand.
func (b *Box) Waiting() int {
	b.sweep()
	return len(b.waiting)
}

// InHand is the call in hand, nil if there is none.
func (b *Box) InHand() *Call { return b.call }

// Next is the call to make now: the one in hand, if it ended without an answer, or a new one. Nil: nothing is to be said. It is not
// asked while a call is on its way.
func (b *Box) Next() *Call {
	if b.sweep(); b.call == nil && len(b.waiting) > 0 {
		n := b.part()
		b.next++
		b.call = &Call{ID: b.next, Ops: append([]Op(nil), b.waiting[:n]...)}
		if b.waiting = b.waiting[n:]; len(b.waiting) == 0 {
			b.waiting = nil // what went is not held on to
		}
		b.call.write()
	}
	if b.call != nil {
		b.call.sent++
	}
	return b.call
}

// part is how many of the ops that wait fit a call. A table's ops stay together, so that it is never sent empty to be filled by
// the next call; marks go with the last part.
func (b *Box) part() int {
	bytes, fits := 0, 0
	for i, o := range b.waiting {
		if bytes += len(o.Text) + 1; bytes > b.limits.CallBytes && i > 0 {
			break
		}
		fits = i + 1
	}
	if fits == len(b.waiting) {
		return fits
	}
	// How many tables' ops stand on both sides of the cut, while it moves towards the front.
	before, behind, both := map[logic.TableID]int{}, map[logic.TableID]bool{}, 0
	for _, o := range b.waiting[:fits] {
		before[o.Table]++
	}
	for _, o := range b.waiting[fits:] {
		if t := o.Table; before[t] > 0 && t != NoTable && !behind[t] {
			behind[t] = true
			both++
		}
	}
	for n := fits; n > 0; n-- {
		if both == 0 {
			return b.unmarked(n)
		}
		o := b.waiting[n-1]
		if before[o.Table]--; o.Table == NoTable {
			continue
		}
		if !behind[o.Table] {
			behind[o.Table] = true
			both++
		}
		if before[o.Table] == 0 {
			both--
		}
	}
	return b.unmarked(fits) // one table alone is more than a call takes
}

// unmarked moves the marks among the first n ops behind the others.
func (b *Box) unmarked(n int) int {
	if !slices.ContainsFunc(b.waiting[:n], func(o Op) bool { return o.Kind == Mark }) {
		return n
	}
	var first, marks, rest []Op
	for i, o := range b.waiting {
		switch {
		case o.Kind == Mark:
			marks = append(marks, o)
		case i < n:
			first = append(first, o)
		default:
			rest = append(rest, o)
		}
	}
	if len(first) == 0 {
		return n
	}
	b.waiting = append(append(first, rest...), marks...)
	return len(first)
}

func (c *Call) write() {
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

// Marked are the stamps of the call in hand; none: nobody will own up to it.
func (c *Call) Marked() (all []logic.SerialID) {
	for _, o := range c.Ops {
		if o.Kind == Mark {
			all = append(all, o.Serial)
		}
	}
	return all
}

// Reset drops the call in hand and all that waits, and gives their ops.
func (b *Box) Reset() (dropped []Op) {
	b.sweep()
	if b.call != nil {
		dropped = b.call.Ops
	}
	dropped = append(dropped, b.waiting...)
	b.call, b.waiting = nil, nil
	return dropped
}

// Ended says how the call in hand ended. One that ended unsure is made again as it was before anything newer is said: the relay
// carried it out whole or not at all, and to set the same twice is to set it. One that was taken in part loses the op at fault; the
// rest goes on as a call of its own, before what waits.
func (b *Box) Ended(how Fate, taken int) (out Outcome) {
	c := b.call
	if c == nil || how == Unsent || how == Unsure || how == Later {
		return out
	}
	b.call = nil
	if how == Invalid {
		out.Dropped = c.Ops
		return out
	}
	if taken = min(max(0, taken), len(c.Ops)); taken == len(c.Ops) {
		out.Taken = c.Ops
		return out
	}
	out.Taken, out.Dropped = c.Ops[:taken], c.Ops[taken:taken+1]
	if rest := c.Ops[taken+1:]; len(rest) > 0 {
		b.next++
		b.call = &Call{ID: b.next, Ops: rest}
		b.call.write()
	}
	return out
}
