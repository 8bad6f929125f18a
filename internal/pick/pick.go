// Package pick picks lines of a table by weight: at random, by round robin, or as the less busy of two random ones. It
// does no I/O and reads no clock; the caller passes the source of random numbers, so that runs can be reproduced.
package pick

import (
	"container/heap"
	"math"
)

// RandFunc returns random numbers in [0,1).
type RandFunc func() float64

// AliasTable draws one of n weighted items in constant time (Walker's alias method, built with Vose's algorithm). A
// table changes rarely and is drawn from thousands of times, which outweighs the cost of building it.
type AliasTable struct {
	keepProbability []float64 // probability that a column yields its own index
	alias           []int32   // the index that the column yields otherwise
}

// NewAliasTable builds a table for weights above 0. A weight so small that it vanishes in the floating-point sum counts
// as 0.
func NewAliasTable(weights []float64) *AliasTable {
	n := len(weights)
	a := &AliasTable{keepProbability: make([]float64, n), alias: make([]int32, n)}
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	small, large := make([]int32, 0, n), make([]int32, 0, n)
	for i, w := range weights {
		a.keepProbability[i], a.alias[i] = w/sum*float64(n), int32(i)
		if a.keepProbability[i] < 1 {
			small = append(small, int32(i))
		} else {
			large = append(large, int32(i))
		}
	}
	for len(small) > 0 && len(large) > 0 {
		s, l := small[len(small)-1], large[len(large)-1]
		small = small[:len(small)-1]
		a.alias[s] = l
		if a.keepProbability[l] -= 1 - a.keepProbability[s]; a.keepProbability[l] < 1 {
			large = large[:len(large)-1]
			small = append(small, l)
		}
	}
	for _, remaining := range [][]int32{small, large} {
		for _, i := range remaining { // columns left over by rounding errors
			a.keepProbability[i] = 1
		}
	}
	return a
}

// Draw returns an index with a probability proportional to its weight; r is a random number in [0,1).
func (a *AliasTable) Draw(r float64) int {
	x := r * float64(len(a.keepProbability))
	i := min(int(x), len(a.keepProbability)-1)
	if x-float64(i) < a.keepProbability[i] {
		return i
	}
	return int(a.alias[i])
}

// RoundRobinScheduler is a weighted round-robin scheduler: it returns each line as often as its weight demands and as
// evenly spaced as possible. The line that is due first goes next (earliest deadline first).
type RoundRobinScheduler struct{ slots slotHeap }

// slot is the next turn of a line. A line is due at intervals of 1/weight in virtual time.
type slot struct {
	due, interval float64
	line          int
}

// slotHeap is a min-heap by due time, then by line index.
type slotHeap []slot

func (h slotHeap) Len() int { return len(h) }
func (h slotHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].line < h[j].line
}
func (h slotHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *slotHeap) Push(x any)   { *h = append(*h, x.(slot)) }
func (h *slotHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// NewRoundRobinScheduler returns a scheduler in which each line starts at a random point of its interval. Otherwise all
// proxies that got a table at the same time would send their first calls to the same line.
func NewRoundRobinScheduler(weights []float64, random RandFunc) *RoundRobinScheduler {
	s := &RoundRobinScheduler{}
	for i, weight := range weights {
		interval := 1 / weight
		s.slots = append(s.slots, slot{interval * random(), interval, i})
	}
	heap.Init(&s.slots)
	return s
}

// Next returns the available line that is due first, -1 if no line is available. An unavailable line that is due loses
// its turn.
func (s *RoundRobinScheduler) Next(available func(int) bool) int {
	for range len(s.slots) {
		t := &s.slots[0]
		line := t.line
		t.due += t.interval
		heap.Fix(&s.slots, 0)
		if available(line) {
			return line
		}
	}
	// The available lines have such low weights that none became due in the loop. The one that is due first is picked.
	best, due := -1, math.Inf(1)
	for _, t := range s.slots {
		if t.due < due && available(t.line) {
			best, due = t.line, t.due
		}
	}
	for i := range s.slots {
		if s.slots[i].line == best {
			s.slots[i].due += s.slots[i].interval
			heap.Fix(&s.slots, i)
			break
		}
	}
	return best
}

// Policy is how the lines of a table are picked.
type Policy int

// The policies.
const (
	Random     Policy = iota // weighted random
	RoundRobin               // weighted round robin
	TwoChoices               // of two weighted random lines, the one with fewer calls in flight
)

// Picker picks from the lines of one table.
type Picker struct {
	policy     Policy
	weights    []float64
	aliasTable *AliasTable
	scheduler  *RoundRobinScheduler
}

// New returns a Picker for lines of the given weights.
func New(policy Policy, weights []float64, random RandFunc) *Picker {
	p := &Picker{policy: policy, weights: weights}
	if len(weights) == 0 {
		return p
	}
	if policy == RoundRobin {
		p.scheduler = NewRoundRobinScheduler(weights, random)
	} else {
		p.aliasTable = NewAliasTable(weights)
	}
	return p
}

// Len returns the number of lines.
func (p *Picker) Len() int { return len(p.weights) }

// maxRedraws is the number of random draws before all lines are scanned. If most lines are available, a scan is almost
// never needed; if few are, the number of futile draws is bounded.
const maxRedraws = 4

// Pick returns the index of an available line, -1 if there is none. The function inFlight returns the number of calls
// in flight at a line.
func (p *Picker) Pick(random RandFunc, available func(int) bool, inFlight func(int) int) int {
	switch {
	case len(p.weights) == 0:
		return -1
	case p.policy == RoundRobin:
		return p.scheduler.Next(available)
	case p.policy == Random:
		return p.draw(random, available)
	}
	first := p.draw(random, available)
	if first < 0 {
		return -1
	}
	second := p.draw(random, available)
	if inFlight(second) < inFlight(first) {
		return second
	}
	return first
}

// draw returns an available line by weight, -1 if there is none.
func (p *Picker) draw(random RandFunc, available func(int) bool) int {
	for range maxRedraws {
		if i := p.aliasTable.Draw(random()); available(i) {
			return i
		}
	}
	return LinearScan(p.weights, random(), available)
}

// LinearScan returns an available line by weight, -1 if there is none, in time linear in the number of lines; r is a
// random number in [0,1).
func LinearScan(weights []float64, r float64, available func(int) bool) int {
	sum, last := 0.0, -1
	for i, w := range weights {
		if available(i) {
			sum, last = sum+w, i
		}
	}
	x := r * sum
	for i, w := range weights {
		if available(i) {
			if x -= w; x < 0 {
				return i
			}
		}
	}
	return last
}
