package admission

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

func TestSharesAndRates(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	share := NewShareLevel(0.35)
	admitted := 0
	for range 20000 {
		if share.Admit(0, r.Float64()) {
			admitted++
		}
	}
	if d := math.Abs(float64(admitted)/20000 - 0.35); d > 0.017 { // five standard deviations
		t.Errorf("a share of 0.35 admitted %d of 20000 calls", admitted)
	}
	if all, nothing := NewShareLevel(1), NewShareLevel(0); !all.Admit(0, 0.999999) || nothing.Admit(0, 0) {
		t.Error("a share of 1 rejected a call, or a share of 0 admitted one")
	}
	rate := NewRateLevel(20)
	admitted = 0
	for ms := range 10000 {
		if rate.Admit(float64(1000+ms), 0) {
			admitted++
		}
	}
	if admitted < 195 || admitted > 206 {
		t.Errorf("a rate of 20 calls per second admitted %d in 10 s", admitted)
	}
	rate.Set(0)
	if rate.Admit(99999, 0) {
		t.Error("a rate of 0 admitted a call")
	}
}

func TestTheLeastImportantGoesFirst(t *testing.T) {
	l := NewLimiter(1, 2)
	acquire := func(ticket Ticket, importance float64, want Verdict, wantEvicted Ticket) {
		t.Helper()
		if v, evicted := l.Acquire(ticket, importance, 0, 100); v != want || evicted != wantEvicted {
			t.Fatalf("ticket %d: verdict %d, evicted ticket %d", ticket, v, evicted)
		}
	}
	acquire(1, 1, Admitted, 0)
	acquire(2, 1, Queued, 0)
	acquire(3, 1, Queued, 0)
	acquire(4, 1, Rejected, 0)
	acquire(5, 3, Queued, 3) // the last arrived of the least important
	acquire(6, 3, Queued, 2)
	acquire(7, 3, Rejected, 0)
	if next, _ := l.Release(10); next != 5 {
		t.Fatalf("ticket %d runs next, want 5", next)
	}
	if next, expired := l.Release(200); next != 0 || len(expired) != 1 || expired[0] != 6 {
		t.Fatalf("ticket %d runs next, want 0; expired %v, want ticket 6, which is past its deadline", next, expired)
	}
	acquire(8, 1, Admitted, 0)
	acquire(9, 1, Queued, 0)
	if !l.Cancel(9) || l.Cancel(9) || l.Queued() != 0 {
		t.Fatal("Cancel did not remove the queued call exactly once")
	}
	if v, _ := l.Acquire(10, 1, 50, 50); v != Rejected {
		t.Fatal("a call past its deadline was not rejected")
	}
}

// The numbers of calls in flight and queued never exceed their limits, each queued call leaves the queue in one way,
// and no call runs while a more important one is queued.
func TestLimiterKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxRunning, maxQueued := rapid.IntRange(1, 4).Draw(t, "most"), rapid.IntRange(0, 5).Draw(t, "queue")
		l, now, ticket := NewLimiter(maxRunning, maxQueued), 0.0, Ticket(0)
		queued := map[Ticket][2]float64{} // importance and deadline
		running := 0
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now += rapid.Float64Range(0, 20).Draw(t, "later")
			if rapid.IntRange(0, 2).Draw(t, "what") > 0 || running == 0 {
				ticket++
				importance, deadline := float64(rapid.IntRange(1, 3).Draw(t, "importance")), now+rapid.Float64Range(-5, 60).Draw(t, "until")
				v, evicted := l.Acquire(ticket, importance, now, deadline)
				if evicted != 0 {
					if queued[evicted][0] >= importance {
						t.Fatalf("call %v was evicted by one of importance %v", queued[evicted], importance)
					}
					delete(queued, evicted)
				}
				switch v {
				case Admitted:
					running++
				case Queued:
					queued[ticket] = [2]float64{importance, deadline}
				}
			} else {
				running--
				next, expired := l.Release(now)
				for _, x := range expired {
					if queued[x][1] > now {
						t.Fatalf("call %v expired at %v, before its deadline", queued[x], now)
					}
					delete(queued, x)
				}
				if next != 0 {
					for _, c := range queued {
						if c[0] > queued[next][0] {
							t.Fatalf("call %v runs while the more important %v is queued", queued[next], c)
						}
					}
					delete(queued, next)
					running++
				} else if len(queued) > 0 {
					t.Fatalf("%d calls are queued, but Release returned none", len(queued))
				}
			}
			if l.Running() != running || running > maxRunning || l.Queued() != len(queued) || len(queued) > maxQueued {
				t.Fatalf("%d running, limit %d; %d queued, limit %d; limiter counts %d and %d", running, maxRunning, len(queued), maxQueued,
					l.Running(), l.Queued())
			}
		}
	})
}
