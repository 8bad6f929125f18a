package timerwheel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"vetchwood/logic"
)

// For random sequences of Set, Stop and Advance, each timer fires once, not early, and by the first Advance that is
// more than two ticks past its time, as compared with a plain map of times.
func TestAgainstAPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick = 8
		now := logic.Millis(rapid.Float64Range(0, 2e12).Draw(t, "start"))
		w := New[int](tick, now)
		timers, at := make([]Timer[int], 20), map[int]logic.Millis{}
		for i := range timers {
			timers[i].Value = i
		}
		span := rapid.SampledFrom([]float64{50, 3000, 4e5, 3e8, 1e12})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch i := rapid.IntRange(0, 19).Draw(t, "which"); rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				when := now + logic.Millis(rapid.Float64Range(-20, span.Draw(t, "span")).Draw(t, "in"))
				w.Set(&timers[i], when)
				at[i] = max(when, now) // a time that has passed is due next
			case 2:
				w.Stop(&timers[i])
				delete(at, i)
			default:
				now += logic.Millis(rapid.Float64Range(0, span.Draw(t, "jump")).Draw(t, "by"))
				w.Advance(now, func(x *Timer[int]) {
					when, set := at[x.Value]
					if !set {
						t.Fatalf("timer %d fires at %v but is not set", x.Value, now)
					}
					if when > now+0.001 {
						t.Fatalf("timer %d fires at %v, %v early", x.Value, now, when-now)
					}
					delete(at, x.Value)
				})
				for i, when := range at {
					if when+2*tick < now {
						t.Fatalf("timer %d was due at %v and has not fired by %v", i, when, now)
					}
				}
				if next, found := w.Next(); found != (len(at) > 0) || found && next < now-tick {
					t.Fatalf("Next returned %v, %v with %d timers set at %v", next, found, len(at), now)
				}
			}
			if w.Len() != len(at) {
				t.Fatalf("%d timers set, Len returned %d", len(at), w.Len())
			}
		}
	})
}

// A timer is set again while it is handled, as for a lease that was renewed in the meantime.
func TestSetAgainWhileDue(t *testing.T) {
	w := New[int](8, 0)
	var x Timer[int]
	fired := 0
	w.Set(&x, 100)
	for now := logic.Millis(0); now <= 1000; now += 10 {
		w.Advance(now, func(x *Timer[int]) { fired++; w.Set(x, now+100) })
	}
	if fired < 8 || fired > 10 || w.Len() != 1 {
		t.Fatalf("fired %d times in a second, want 8 to 10", fired)
	}
}

// heapTimer is a timer in a binary heap, for comparison.
type heapTimer struct {
	at    logic.Millis
	index int
}
type timerHeap []*heapTimer

func (b timerHeap) Len() int           { return len(b) }
func (b timerHeap) Less(i, j int) bool { return b[i].at < b[j].at }
func (b timerHeap) Swap(i, j int)      { b[i], b[j] = b[j], b[i]; b[i].index, b[j].index = i, j }
func (b *timerHeap) Push(x any)        { y := x.(*heapTimer); y.index = len(*b); *b = append(*b, y) }
func (b *timerHeap) Pop() any          { o := *b; x := o[len(o)-1]; *b = o[:len(o)-1]; return x }

// BenchmarkMove measures the use by pending polls: each poll moves its timer by its wait, and the time advances.
func BenchmarkMove(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		draw := rand.New(rand.NewPCG(1, 2))
		wait := func() logic.Millis { return logic.Millis(20000 + 10000*draw.Float64()) }
		b.Run(fmt.Sprintf("heap/%d", n), func(b *testing.B) {
			var h timerHeap
			all := make([]*heapTimer, n)
			for i := range all {
				all[i] = &heapTimer{at: wait()}
				heap.Push(&h, all[i])
			}
			now := logic.Millis(0)
			for i := 0; b.Loop(); i++ {
				now += 30000 / logic.Millis(n)
				x := all[i%n]
				x.at = now + wait()
				heap.Fix(&h, x.index)
				for h[0].at <= now {
					h[0].at = now + wait()
					heap.Fix(&h, 0)
				}
			}
		})
		b.Run(fmt.Sprintf("wheel/%d", n), func(b *testing.B) {
			w := New[int](8, 0)
			all := make([]Timer[int], n)
			for i := range all {
				w.Set(&all[i], wait())
			}
			now := logic.Millis(0)
			for i := 0; b.Loop(); i++ {
				now += 30000 / logic.Millis(n)
				w.Set(&all[i%n], now+wait())
				w.Advance(now, func(x *Timer[int]) { w.Set(x, now+wait()) })
			}
		})
	}
}
