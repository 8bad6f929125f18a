package outbox

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"vetchwood/logic"
)

// relay is a model of the other side: what it holds after the ops it carried out.
type relay struct {
	state map[string]string
	marks []logic.SerialID
}

func (r *relay) do(ops []Op) {
	for _, o := range ops {
		switch o.Kind {
		case Clear:
			maps.DeleteFunc(r.state, func(k, _ string) bool { return k[:8] == fmt.Sprintf("%08d", o.Table) })
		case Mark:
			r.marks = append(r.marks, o.Serial)
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

// Whatever the relay does with each call, in the end it holds what all orders in their order come to, and every mark was asked for
// after the ops of its turn.
func TestTheRelayEndsWithAllOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Limits{CallBytes: rapid.IntRange(20, 400).Draw(t, "bytes"), Waiting: 1000})
		real, want, last := relay{state: map[string]string{}}, relay{state: map[string]string{}}, map[string]bool{}
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
				if sum > b.limits.CallBytes && len(tables) > 2 {
					t.Fatalf("a call of %d bytes over %d tables", sum, len(tables))
				}
			}
			switch rapid.IntRange(0, 5).Draw(t, "fate") {
			case 0:
				b.Ended(Unsent, 0)
			case 1:
				b.Ended(Unsure, 0)
			case 2: // carried out, and nobody knows
				real.do(c.Ops)
				b.Ended(Unsure, 0)
			case 3:
				b.Ended(Later, 0)
			default:
				real.do(c.Ops)
				if got := b.Ended(Answered, len(c.Ops)); len(got.Taken) != len(c.Ops) || len(got.Dropped) > 0 {
					t.Fatalf("a call of %d ops ended with %+v", len(c.Ops), got)
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
			turn = append(turn, Op{Kind: Mark, Table: NoTable, Serial: serial, Text: "{m}"})
			want.do(turn)
			if _, err := b.Add(turn); err != nil {
				t.Fatal(err)
			}
			for range rapid.IntRange(0, 3).Draw(t, "steps") {
				step()
			}
		}
		for i := 0; step(); i++ {
			if i > 10_000 {
				t.Fatal("it never ends")
			}
		}
		if !maps.Equal(real.state, want.state) {
			t.Fatalf("the relay holds %v, ordered was %v", real.state, want.state)
		}
		for _, m := range real.marks {
			last[fmt.Sprint(m)] = true
		}
		for _, m := range want.marks {
			if !last[fmt.Sprint(m)] {
				t.Fatalf("mark %d was never asked for", m)
			}
		}
	})
}

func line(t logic.TableID, h logic.HostID) Op {
	return Op{Kind: Line, Table: t, Host: h, Weight: 1, Text: fmt.Sprintf("{%d %d}", t, h)}
}

func TestInPartTheOrderAtFaultIsDroppedAndTheRestGoesOn(t *testing.T) {
	b := New(Limits{CallBytes: 1000, Waiting: 10})
	b.Add([]Op{line(1, 1), line(1, 2), line(2, 1)})
	first := b.Next()
	b.Add([]Op{line(3, 1)})
	out := b.Ended(Answered, 1)
	if len(out.Taken) != 1 || len(out.Dropped) != 1 || out.Dropped[0].Host != 2 {
		t.Fatalf("%+v", out)
	}
	if next := b.Next(); next.ID == first.ID || len(next.Ops) != 1 || next.Ops[0].Table != 2 {
		t.Fatalf("then %+v", next.Ops)
	}
	b.Ended(Answered, 1)
	if next := b.Next(); len(next.Ops) != 1 || next.Ops[0].Table != 3 {
		t.Fatalf("at last %+v", next.Ops)
	}
}

func TestAnUnsureCallIsMadeAgainBeforeAnythingNewer(t *testing.T) {
	b := New(Limits{CallBytes: 1000, Waiting: 10})
	b.Add([]Op{line(1, 1)})
	first := string(b.Next().Text)
	b.Add([]Op{line(1, 2)})
	b.Forget(1) // lost meanwhile: what waits goes, what is in hand may be in force already
	b.Ended(Unsure, 0)
	if c := b.Next(); string(c.Text) != first || !c.Again() {
		t.Fatalf("sent %s after %s", c.Text, first)
	}
	b.Ended(Answered, 1)
	if c := b.Next(); c != nil {
		t.Fatalf("a lost slice's orders were sent: %s", c.Text)
	}
}

func TestTurnsThatWaitGoTogetherAndTooManyAreDropped(t *testing.T) {
	b := New(Limits{CallBytes: 1000, Waiting: 4})
	b.Add([]Op{line(9, 9)})
	b.Next() // on its way
	b.Add([]Op{line(1, 1), line(1, 2)})
	b.Add([]Op{line(1, 2), line(1, 3)})
	if b.Waiting() != 3 || b.Merged != 1 {
		t.Fatalf("%d wait, %d were merged", b.Waiting(), b.Merged)
	}
	dropped, err := b.Add([]Op{line(2, 1), line(2, 2)})
	if !errors.Is(err, ErrFull) || len(dropped) != 5 || b.Waiting() != 0 {
		t.Fatalf("%v: %d dropped, %d wait", err, len(dropped), b.Waiting())
	}
}

// A turn of a director that holds everything: it is cut, and forgotten, in time that grows with the orders, not with their square.
func TestManyOrdersAreCutAndForgottenInTime(t *testing.T) {
	const tables = 10_000
	turn := func() (ops []Op) {
		for i := range tables {
			for h := range 2 {
				ops = append(ops, Op{Text: strings.Repeat("x", 70), Kind: Line, Table: logic.TableID(i), Host: logic.HostID(h), Weight: 1})
			}
		}
		return append(ops, Op{Text: "m", Kind: Mark, Table: NoTable, Serial: 1})
	}
	began := time.Now()
	b := New(Limits{CallBytes: 59_000, Waiting: 4 * tables})
	b.Add(turn())
	calls, last := 0, logic.TableID(-1)
	for c := b.Next(); c != nil; c = b.Next() {
		calls++
		if c.Ops[0].Table == last {
			t.Fatalf("table %d is cut in two", last)
		}
		last = c.Ops[len(c.Ops)-1].Table
		b.Ended(Answered, len(c.Ops))
	}
	b.Add(turn())
	for i := range tables - 1 {
		b.Forget(logic.TableID(i))
	}
	if n := b.Waiting(); n != 3 {
		t.Errorf("%d wait, wanted two lines and a mark", n)
	}
	b.Forget(tables - 1)
	b.Add([]Op{{Text: "x", Kind: Line, Table: tables - 1, Host: 5}})
	if n := b.Waiting(); n != 2 {
		t.Errorf("%d wait: what comes after it is not forgotten", n)
	}
	if spent := time.Since(began); spent > time.Second || calls < 20 {
		t.Errorf("%d calls, %v", calls, spent)
	}
}
