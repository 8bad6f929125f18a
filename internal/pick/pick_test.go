package pick

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// anyLine makes all lines available.
func anyLine(int) bool { return true }

// noneInFlight stands for lines without calls in flight.
func noneInFlight(int) int { return 0 }

// tolerance returns how far the share of a line of probability p may be off by chance in n draws: five standard
// deviations, so that about one run in a hundred thousand fails by chance. Seeds are fixed as well.
func tolerance(p float64, n int) float64 { return 5 * math.Sqrt(p*(1-p)/float64(n)) }

// For each policy, the share of picks of a line matches its weight, also if the picker is rebuilt during the run, and
// if one line is unavailable (then relative to the rest). A run of a million picks is held to 1 percent; this shorter
// one is held to the statistical tolerance.
func TestSharesMatchTheWeights(t *testing.T) {
	const picks = 200000
	for _, policy := range []Policy{Random, RoundRobin, TwoChoices} {
		for _, weights := range [][]float64{{1}, {1, 0.06}, {1, 2, 3, 4}, {5, 5, 0.5, 0.25, 10}} {
			for _, unavailable := range []int{-1, 0} {
				if unavailable == 0 && len(weights) == 1 {
					continue
				}
				available := func(i int) bool { return i != unavailable }
				r := rand.New(rand.NewPCG(1, uint64(len(weights))))
				got := make([]float64, len(weights))
				var picker *Picker
				for n := range picks {
					if n%1000 == 0 { // the table is replaced by one of the same content
						picker = New(policy, weights, r.Float64)
					}
					got[picker.Pick(r.Float64, available, noneInFlight)]++
				}
				sum := 0.0
				for i, w := range weights {
					if available(i) {
						sum += w
					}
				}
				for i, w := range weights {
					want := w / sum
					if !available(i) {
						want = 0
					}
					if d := math.Abs(got[i]/picks - want); d > tolerance(want, picks)+1e-9 && d > 1e-3 {
						t.Errorf("policy %d, weights %v, line %d unavailable: share of line %d is %.5f, want %.5f", policy, weights, unavailable, i,
							got[i]/picks, want)
					}
				}
			}
		}
	}
}

// Round robin stays within about one turn of the exact share at any time, which random picks don't.
func TestRoundRobinIsEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.05, 5), 1, 12).Draw(t, "weights")
		r := rand.New(rand.NewPCG(3, 4))
		s := NewRoundRobinScheduler(weights, r.Float64)
		sum := 0.0
		for _, x := range weights {
			sum += x
		}
		got := make([]float64, len(weights))
		for n := 1; n <= 500; n++ {
			got[s.Next(anyLine)]++
			for i, x := range weights {
				if d := math.Abs(got[i] - float64(n)*x/sum); d > 2+float64(len(weights))*x/sum {
					t.Fatalf("after %d picks, line %d of weights %v was picked %v times, want about %.1f", n, i, weights, got[i], float64(n)*x/sum)
				}
			}
		}
	})
}

func TestTwoChoicesPicksTheLessBusy(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	p := New(TwoChoices, []float64{1, 1}, r.Float64)
	got := 0
	for range 4000 {
		if p.Pick(r.Float64, anyLine, func(i int) int { return 3 - 3*i }) == 1 {
			got++
		}
	}
	if got < 2850 || got > 3150 { // three quarters: all but those with both draws on the busy line
		t.Fatalf("the less busy line was picked %d times of 4000, want about 3000", got)
	}
}

func TestNoneOrOneAvailable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(1e-9, 1e9), 0, 30).Draw(t, "weights")
		policy := Policy(rapid.IntRange(0, 2).Draw(t, "way"))
		r := rand.New(rand.NewPCG(7, 8))
		p := New(policy, weights, r.Float64)
		if got := p.Pick(r.Float64, func(int) bool { return false }, noneInFlight); got != -1 {
			t.Fatalf("picked line %d, but none is available", got)
		}
		if len(weights) > 0 {
			only := rapid.IntRange(0, len(weights)-1).Draw(t, "only")
			if got := p.Pick(r.Float64, func(i int) bool { return i == only }, noneInFlight); got != only {
				t.Fatalf("picked line %d, but only %d is available", got, only)
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
				LinearScan(weights, r.Float64(), anyLine)
			}
		})
		for policy, name := range []string{"lottery", "wheel", "pair"} {
			p := New(Policy(policy), weights, r.Float64)
			b.Run(fmt.Sprintf("lines=%d/%s", n, name), func(b *testing.B) {
				for b.Loop() {
					p.Pick(r.Float64, anyLine, noneInFlight)
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
