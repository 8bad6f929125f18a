package admit

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

func TestSharesAndRates(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	share := NewShareLevel(0.35)
	in := 0
	for range 20000 {
		if share.Admit(0, r.Float64()) {
			in++
		}
	}
	if d := math.Abs(float64(in)/20000 - 0.35); d > 0.017 { // five standard deviations
		t.Errorf("a share of 0.35 let in %d of 20000", in)
	}
	if all, nothing := NewShareLevel(1), NewShareLevel(0); !all.Admit(0, 0.999999) || nothing.Admit(0, 0) {
		t.Error("all or nothing is neither")
	}
	rate := NewRateLevel(20)
	in = 0
	for ms := range 10000 {
		if rate.Admit(float64(1000+ms), 0) {
			in++
		}
	}
	if in < 195 || in > 206 {
		t.Errorf("20 a second let in %d in ten seconds", in)
	}
	rate.Set(0)
	if rate.Admit(99999, 0) {
		t.Error("a rate of 0 lets in")
	}
}

func TestTheLeastImportantGoesFirst(t *testing.T) {
	g := NewLimiter(1, 2)
	come := func(ticket Ticket, importance float64, want Verdict, out Ticket) {
		t.Helper()
		if v, o := g.Acquire(ticket, importance, 0, 100); v != want || o != out {
			t.Fatalf("ticket %d: %d, out %d", ticket, v, o)
		}
	}
	come(1, 1, Admitted, 0)
	come(2, 1, Queued, 0)
	come(3, 1, Queued, 0)
	come(4, 1, Rejected, 0)
	come(5, 3, Queued, 3) // the last of the least important
	come(6, 3, Queued, 2)
	come(7, 3, Rejected, 0)
	if next, _ := g.Release(10); next != 5 {
		t.Fatalf("%d runs next", next)
	}
	if next, out := g.Release(200); next != 0 || len(out) != 1 || out[0] != 6 {
		t.Fatalf("%d runs though its client gave up, %v are out", next, out)
	}
	come(8, 1, Admitted, 0)
	come(9, 1, Queued, 0)
	if !g.Cancel(9) || g.Cancel(9) || g.Queued() != 0 {
		t.Fatal("can't leave")
	}
	if v, _ := g.Acquire(10, 1, 50, 50); v != Rejected {
		t.Fatal("waits for a client that has given up")
	}
}

// Never more than the most run and the queue waits; each call that waits ends in one way; nothing less important runs
// while something more important waits.
func TestTheGateHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most, queue := rapid.IntRange(1, 4).Draw(t, "most"), rapid.IntRange(0, 5).Draw(t, "queue")
		g, now, serial := NewLimiter(most, queue), 0.0, Ticket(0)
		waiting := map[Ticket][2]float64{}
		running := 0
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now += rapid.Float64Range(0, 20).Draw(t, "later")
			if rapid.IntRange(0, 2).Draw(t, "what") > 0 || running == 0 {
				serial++
				importance, until := float64(rapid.IntRange(1, 3).Draw(t, "importance")), now+rapid.Float64Range(-5, 60).Draw(t, "until")
				v, out := g.Acquire(serial, importance, now, until)
				if out != 0 {
					if waiting[out][0] >= importance {
						t.Fatalf("%v gave way to %v", waiting[out], importance)
					}
					delete(waiting, out)
				}
				switch v {
				case Admitted:
					running++
				case Queued:
					waiting[serial] = [2]float64{importance, until}
				}
			} else {
				running--
				next, out := g.Release(now)
				for _, o := range out {
					if waiting[o][1] > now {
						t.Fatalf("%v is out at %v", waiting[o], now)
					}
					delete(waiting, o)
				}
				if next != 0 {
					for _, w := range waiting {
						if w[0] > waiting[next][0] {
							t.Fatalf("%v runs while %v waits", waiting[next], w)
						}
					}
					delete(waiting, next)
					running++
				} else if len(waiting) > 0 {
					t.Fatalf("%d wait and none runs", len(waiting))
				}
			}
			if g.Running() != running || running > most || g.Queued() != len(waiting) || len(waiting) > queue {
				t.Fatalf("%d run of %d, %d wait of %d; %d and %d", running, most, len(waiting), queue, g.Running(), g.Queued())
			}
		}
	})
}
