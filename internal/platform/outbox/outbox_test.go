package outbox

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"vetchwood/logic"
)

// relayModel models the relay: the state and the acknowledgement requests that result from the ops it executed.
type relayModel struct {
	state   map[string]string
	serials []logic.SerialID
}

func (r *relayModel) apply(ops []Op) {
	for _, o := range ops {
		switch o.Kind {
		case Clear:
			maps.DeleteFunc(r.state, func(k, _ string) bool { return k[:8] == fmt.Sprintf("%08d", o.Table) })
		case AckRequest:
			r.serials = append(r.serials, o.Serial)
		default:
			r.state[fmt.Sprintf("%08d %d %d %d", o.Table, o.Kind, o.Host, o.Routes)] = o.Text
		}
	}
}

func drawOp(t *rapid.T, serial *logic.SerialID) Op {
	o := Op{Kind: rapid.SampledFrom([]Kind{Line, Line, Line, Clear, Mask, Level}).Draw(t, "kind"), Table: NoTable}
	if o.Kind != Mask {
		o.Table = logic.TableID(rapid.IntRange(0, 3).Draw(t, "table"))
	}
	if o.Kind == Line || o.Kind == Mask {
		o.Host = logic.HostID(rapid.IntRange(1, 3).Draw(t, "host"))
	}
	*serial++
	o.Text = fmt.Sprintf("{%d}", *serial)
	return o
}

// Whatever happens to each call, the relay ends in the state that all orders produce in sequence, and every
// acknowledgement was requested.
func TestRelayEndsWithAllOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Limits{MaxCallBytes: rapid.IntRange(20, 400).Draw(t, "bytes"), MaxQueued: 1000})
		real, want, requested := relayModel{state: map[string]string{}}, relayModel{state: map[string]string{}}, map[string]bool{}
		serial := logic.SerialID(0)
		step := func() bool {
			c := b.Next()
			if c == nil {
				return false
			}
			if sum := 0; len(c.Ops) > 1 {
				tables := map[logic.TableID]bool{}
				for _, o := range c.Ops {
					sum += len(o.Text) + 1
					tables[o.Table] = true
				}
				if sum > b.limits.MaxCallBytes && len(tables) > 2 {
					t.Fatalf("call of %d bytes spans %d tables", sum, len(tables))
				}
			}
			switch rapid.IntRange(0, 5).Draw(t, "fate") {
			case 0:
				b.Finish(NotSent, 0)
			case 1:
				b.Finish(Unconfirmed, 0)
			case 2: // executed, but the answer is lost
				real.apply(c.Ops)
				b.Finish(Unconfirmed, 0)
			case 3:
				b.Finish(Retryable, 0)
			default:
				real.apply(c.Ops)
				if got := b.Finish(Answered, len(c.Ops)); len(got.Applied) != len(c.Ops) || len(got.Rejected) > 0 {
					t.Fatalf("call of %d ops finished with %+v", len(c.Ops), got)
				}
			}
			return true
		}
		for range rapid.IntRange(1, 12).Draw(t, "turns") {
			var turn []Op
			for range rapid.IntRange(1, 8).Draw(t, "ops") {
				turn = append(turn, drawOp(t, &serial))
			}
			serial++
			turn = append(turn, Op{Kind: AckRequest, Table: NoTable, Serial: serial, Text: "{m}"})
			want.apply(turn)
			if _, err := b.Add(turn); err != nil {
				t.Fatal(err)
			}
			for range rapid.IntRange(0, 3).Draw(t, "steps") {
				step()
			}
		}
		for i := 0; step(); i++ {
			if i > 10_000 {
				t.Fatal("queue is not empty after 10000 calls")
			}
		}
		if !maps.Equal(real.state, want.state) {
			t.Fatalf("relay state is %v, want %v", real.state, want.state)
		}
		for _, m := range real.serials {
			requested[fmt.Sprint(m)] = true
		}
		for _, m := range want.serials {
			if !requested[fmt.Sprint(m)] {
				t.Fatalf("acknowledgement of serial %d was never requested", m)
			}
		}
	})
}

func line(t logic.TableID, h logic.HostID) Op {
	return Op{Kind: Line, Table: t, Host: h, Weight: 1, Text: fmt.Sprintf("{%d %d}", t, h)}
}

func TestPartialAnswerDropsOnlyTheFailedOrder(t *testing.T) {
	b := New(Limits{MaxCallBytes: 1000, MaxQueued: 10})
	b.Add([]Op{line(1, 1), line(1, 2), line(2, 1)})
	first := b.Next()
	b.Add([]Op{line(3, 1)})
	out := b.Finish(Answered, 1)
	if len(out.Applied) != 1 || len(out.Rejected) != 1 || out.Rejected[0].Host != 2 {
		t.Fatalf("%+v", out)
	}
	if next := b.Next(); next.ID == first.ID || len(next.Ops) != 1 || next.Ops[0].Table != 2 {
		t.Fatalf("second call has %+v", next.Ops)
	}
	b.Finish(Answered, 1)
	if next := b.Next(); len(next.Ops) != 1 || next.Ops[0].Table != 3 {
		t.Fatalf("last call has %+v", next.Ops)
	}
}

func TestUnconfirmedCallIsRepeatedBeforeNewerOrders(t *testing.T) {
	b := New(Limits{MaxCallBytes: 1000, MaxQueued: 10})
	b.Add([]Op{line(1, 1)})
	first := string(b.Next().Text)
	b.Add([]Op{line(1, 2)})
	b.DiscardTable(1) // slice lost: queued ops are dropped, those in flight may be in effect already
	b.Finish(Unconfirmed, 0)
	if c := b.Next(); string(c.Text) != first || !c.IsRetry() {
		t.Fatalf("sent %s after %s, want the same call", c.Text, first)
	}
	b.Finish(Answered, 1)
	if c := b.Next(); c != nil {
		t.Fatalf("orders of a slice no longer owned were sent: %s", c.Text)
	}
}

func TestQueuedTurnsAreMergedAndOverflowIsDropped(t *testing.T) {
	b := New(Limits{MaxCallBytes: 1000, MaxQueued: 4})
	b.Add([]Op{line(9, 9)})
	b.Next() // in flight
	b.Add([]Op{line(1, 1), line(1, 2)})
	b.Add([]Op{line(1, 2), line(1, 3)})
	if b.Queued() != 3 || b.Discarded != 1 {
		t.Fatalf("%d queued, %d superseded", b.Queued(), b.Discarded)
	}
	dropped, err := b.Add([]Op{line(2, 1), line(2, 2)})
	if !errors.Is(err, ErrFull) || len(dropped) != 5 || b.Queued() != 0 {
		t.Fatalf("%v: %d dropped, %d queued", err, len(dropped), b.Queued())
	}
}

// Guards against quadratic time: a turn with the orders of 10,000 tables is split into calls and discarded within a
// second.
func TestBatchingAndDiscardingManyOrdersIsLinear(t *testing.T) {
	const tables = 10_000
	turn := func() (ops []Op) {
		for i := range tables {
			for h := range 2 {
				ops = append(ops, Op{Text: strings.Repeat("x", 70), Kind: Line, Table: logic.TableID(i), Host: logic.HostID(h), Weight: 1})
			}
		}
		return append(ops, Op{Text: "m", Kind: AckRequest, Table: NoTable, Serial: 1})
	}
	began := time.Now()
	b := New(Limits{MaxCallBytes: 59_000, MaxQueued: 4 * tables})
	b.Add(turn())
	calls, last := 0, logic.TableID(-1)
	for c := b.Next(); c != nil; c = b.Next() {
		calls++
		if c.Ops[0].Table == last {
			t.Fatalf("table %d is split over two calls", last)
		}
		last = c.Ops[len(c.Ops)-1].Table
		b.Finish(Answered, len(c.Ops))
	}
	b.Add(turn())
	for i := range tables - 1 {
		b.DiscardTable(logic.TableID(i))
	}
	if n := b.Queued(); n != 3 {
		t.Errorf("%d queued, want two lines and an acknowledgement request", n)
	}
	b.DiscardTable(tables - 1)
	b.Add([]Op{{Text: "x", Kind: Line, Table: tables - 1, Host: 5}})
	if n := b.Queued(); n != 2 {
		t.Errorf("%d queued, want 2: ops added after DiscardTable must be kept", n)
	}
	if spent := time.Since(began); spent > time.Second || calls < 20 {
		t.Errorf("%d calls in %v, want at least 20 within 1s", calls, spent)
	}
}

// Guards against acknowledgement requests that leave the queue without a word: whoever waits for their acknowledgements
// would go on counting their orders as in the channel.
func TestEveryWayOutReportsAcknowledgementRequests(t *testing.T) {
	request := func(serial logic.SerialID) Op {
		return Op{Kind: AckRequest, Table: NoTable, Serial: serial, Text: "{m}"}
	}
	for name, c := range map[string]struct {
		play func(q *Queue)
		want []Dropped
	}{
		"reset: never sent, and behind it": {func(q *Queue) {
			q.Next()
			q.Finish(NotSent, 0)
			q.Add([]Op{line(2, 1), request(2)})
			q.Reset()
		}, []Dropped{{1, 0}, {2, 0}}},
		"reset: two attempts without an answer": {func(q *Queue) {
			q.Next()
			q.Finish(Unconfirmed, 0)
			q.Next()
			q.Finish(Unconfirmed, 0)
			q.Next()
			q.Finish(Retryable, 0)
			q.Reset()
		}, []Dropped{{1, 2}}},
		"refused as malformed": {func(q *Queue) {
			q.Next()
			q.Finish(Invalid, 0)
		}, []Dropped{{1, 0}}},
		"the request itself is refused": {func(q *Queue) {
			q.Next()
			q.Finish(Answered, 1)
		}, []Dropped{{1, 1}}},
		"only the request is left of a partial answer": {func(q *Queue) {
			q.Next()
			q.Finish(Answered, 0)
		}, []Dropped{{1, 0}}},
		"all that it was to confirm is discarded": {func(q *Queue) {
			q.DiscardTable(1)
			q.Next()
		}, []Dropped{{1, 0}}},
		"the rest of a turn of two calls": {func(q *Queue) {
			q.Add([]Op{line(2, 1), line(2, 2), line(2, 3)})
			q.Finish(Answered, len(q.Next().Ops))
			q.Reset()
		}, []Dropped{{1, 1}}},
		"the queue overflows": {func(q *Queue) {
			q.Add([]Op{line(2, 1), line(2, 2), line(2, 3), line(2, 4), request(2)})
		}, []Dropped{{1, 0}, {2, 0}}},
		"carried out": {func(q *Queue) {
			q.Next()
			q.Finish(Unconfirmed, 0)
			q.Next()
			q.Finish(Answered, 2)
		}, nil},
	} {
		q := New(Limits{MaxCallBytes: 18, MaxQueued: 5})
		q.Add([]Op{line(1, 1), request(1)})
		c.play(q)
		if got := q.TakeDropped(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
		if again := q.TakeDropped(); again != nil {
			t.Errorf("%s: %+v are reported twice", name, again)
		}
	}
}
