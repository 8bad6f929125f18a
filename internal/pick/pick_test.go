package pick

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

func all(int) bool { return true }
func none(int) int { return 0 }

// far is how far shares may be off by chance alone: five standard deviations of a share of n draws, so that one run
// in some hundred thousand fails for nothing. Seeds are fixed besides.
func far(p float64, n int) float64 { return 5 * math.Sqrt(p*(1-p)/float64(n)) }

// Shares match the weights for each way, also across table changes in mid-run and with a line that is not open
// (then relative to the rest). The long run of a million picks holds one percent; this one holds the bound by chance.
func TestSharesMatchTheWeights(t *testing.T) {
	const picks = 200000
	for _, way := range []Policy{Random, RoundRobin, TwoChoices} {
		for _, weights := range [][]float64{{1}, {1, 0.06}, {1, 2, 3, 4}, {5, 5, 0.5, 0.25, 10}} {
			for _, closed := range []int{-1, 0} {
				if closed == 0 && len(weights) == 1 {
					continue
				}
				open := func(i int) bool { return i != closed }
				r := rand.New(rand.NewPCG(1, uint64(len(weights))))
				got := make([]float64, len(weights))
				var lines *Picker
				for n := range picks {
					if n%1000 == 0 { // the table is written anew, as it stands
						lines = New(way, weights, r.Float64)
					}
					got[lines.Pick(r.Float64, open, none)]++
				}
				sum := 0.0
				for i, w := range weights {
					if open(i) {
						sum += w
					}
				}
				for i, w := range weights {
					want := w / sum
					if !open(i) {
						want = 0
					}
					if d := math.Abs(got[i]/picks - want); d > far(want, picks)+1e-9 && d > 1e-3 {
						t.Errorf("way %d, weights %v, without %d: line %d got %.5f, wanted %.5f", way, weights, closed, i, got[i]/picks, want)
					}
				}
			}
		}
	}
}

// A wheel is never further off than a turn or so, which a lottery is.
func TestTheWheelIsEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.05, 5), 1, 12).Draw(t, "weights")
		r := rand.New(rand.NewPCG(3, 4))
		w := NewRoundRobinScheduler(weights, r.Float64)
		sum := 0.0
		for _, x := range weights {
			sum += x
		}
		got := make([]float64, len(weights))
		for n := 1; n <= 500; n++ {
			got[w.Next(all)]++
			for i, x := range weights {
				if d := math.Abs(got[i] - float64(n)*x/sum); d > 2+float64(len(weights))*x/sum {
					t.Fatalf("after %d picks line %d of %v got %v, wanted %.1f", n, i, weights, got[i], float64(n)*x/sum)
				}
			}
		}
	})
}

func TestAPairTakesTheLessBusy(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	l := New(TwoChoices, []float64{1, 1}, r.Float64)
	got := 0
	for range 4000 {
		if l.Pick(r.Float64, all, func(i int) int { return 3 - 3*i }) == 1 {
			got++
		}
	}
	if got < 2850 || got > 3150 { // three quarters: unless both draws are the busy one
		t.Fatalf("%d of 4000", got)
	}
}

func TestNothingOpenAndOneOpen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(1e-9, 1e9), 0, 30).Draw(t, "weights")
		way := Policy(rapid.IntRange(0, 2).Draw(t, "way"))
		r := rand.New(rand.NewPCG(7, 8))
		l := New(way, weights, r.Float64)
		if got := l.Pick(r.Float64, func(int) bool { return false }, none); got != -1 {
			t.Fatalf("picked %d of none", got)
		}
		if len(weights) > 0 {
			only := rapid.IntRange(0, len(weights)-1).Draw(t, "only")
			if got := l.Pick(r.Float64, func(i int) bool { return i == only }, none); got != only {
				t.Fatalf("picked %d, only %d is open", got, only)
			}
		}
	})
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 10000} {
		weights := make([]float64, n)
		r := rand.New(rand.NewPCG(1, 2))
		for i := range weights {
			weights[i] = r.Float64() + 0.01
		}
		b.Run(fmt.Sprintf("lines=%d/scan", n), func(b *testing.B) {
			for b.Loop() {
				LinearScan(weights, r.Float64(), all)
			}
		})
		for way, name := range []string{"lottery", "wheel", "pair"} {
			l := New(Policy(way), weights, r.Float64)
			b.Run(fmt.Sprintf("lines=%d/%s", n, name), func(b *testing.B) {
				for b.Loop() {
					l.Pick(r.Float64, all, none)
				}
			})
		}
		b.Run(fmt.Sprintf("lines=%d/build", n), func(b *testing.B) {
			for b.Loop() {
				NewAliasTable(weights)
			}
		})
	}
}
