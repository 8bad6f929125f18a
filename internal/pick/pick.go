// Package pick chooses lines by weight: a lottery, a wheel, or the less busy of a pair. No I/O, no clock; chance
// is handed in, so that a run can be played again.
package pick

import (
	"container/heap"
	"math"
)

// Chance gives numbers in [0,1).
type RandFunc func() float64

// Alias draws one of n in the same time whatever n is (Walker's table, built by Vose's way). A table changes now
// and then and is drawn from thousands of times, so the building pays.
type AliasTable struct {
	keep  []float64 // chance that a column keeps its own
	other []int32
}

// NewAlias takes weights above 0. Weights so far apart that the small ones vanish beside the sum count as 0.
func NewAliasTable(weights []float64) *AliasTable {
	n := len(weights)
	a := &AliasTable{keep: make([]float64, n), other: make([]int32, n)}
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	small, large := make([]int32, 0, n), make([]int32, 0, n)
	for i, w := range weights {
		a.keep[i], a.other[i] = w/sum*float64(n), int32(i)
		if a.keep[i] < 1 {
			small = append(small, int32(i))
		} else {
			large = append(large, int32(i))
		}
	}
	for len(small) > 0 && len(large) > 0 {
		s, l := small[len(small)-1], large[len(large)-1]
		small = small[:len(small)-1]
		a.other[s] = l
		if a.keep[l] -= 1 - a.keep[s]; a.keep[l] < 1 {
			large = large[:len(large)-1]
			small = append(small, l)
		}
	}
	for _, rest := range [][]int32{small, large} {
		for _, i := range rest { // what rounding left over
			a.keep[i] = 1
		}
	}
	return a
}

// Draw gives one of the n by weight.
func (a *AliasTable) Draw(chance float64) int {
	at := chance * float64(len(a.keep))
	i := min(int(at), len(a.keep)-1)
	if at-float64(i) < a.keep[i] {
		return i
	}
	return int(a.other[i])
}

// Wheel gives its lines in turn, each as often as its weight says and as evenly as can be: the one whose turn is
// due first goes next.
type RoundRobinScheduler struct{ turns turns }

type turn struct {
	due, every float64
	line       int
}

type turns []turn

func (t turns) Len() int { return len(t) }
func (t turns) Less(i, j int) bool {
	return t[i].due < t[j].due || t[i].due == t[j].due && t[i].line < t[j].line
}
func (t turns) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *turns) Push(x any)   { *t = append(*t, x.(turn)) }
func (t *turns) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// NewWheel starts each line somewhere in its turn, or proxies that got a table together would all go to the same
// line first.
func NewRoundRobinScheduler(weights []float64, chance RandFunc) *RoundRobinScheduler {
	w := &RoundRobinScheduler{}
	for i, weight := range weights {
		every := 1 / weight
		w.turns = append(w.turns, turn{every * chance(), every, i})
	}
	heap.Init(&w.turns)
	return w
}

// Next gives the line whose turn it is, of those that are open. One that is not loses its turn.
func (w *RoundRobinScheduler) Next(open func(int) bool) int {
	for range len(w.turns) {
		t := &w.turns[0]
		line := t.line
		t.due += t.every
		heap.Fix(&w.turns, 0)
		if open(line) {
			return line
		}
	}
	// The open ones are so light that their turn is far off: the next due of them.
	best, due := -1, math.Inf(1)
	for _, t := range w.turns {
		if t.due < due && open(t.line) {
			best, due = t.line, t.due
		}
	}
	for i := range w.turns {
		if w.turns[i].line == best {
			w.turns[i].due += w.turns[i].every
			heap.Fix(&w.turns, i)
			break
		}
	}
	return best
}

// Way is how a table's lines are picked.
type Policy int

const (
	Random Policy = iota
	RoundRobin
	TwoChoices
)

// Lines are a table's, ready to be picked from.
type Picker struct {
	way     Policy
	weights []float64
	alias   *AliasTable
	wheel   *RoundRobinScheduler
}

func New(way Policy, weights []float64, chance RandFunc) *Picker {
	l := &Picker{way: way, weights: weights}
	if len(weights) == 0 {
		return l
	}
	if way == RoundRobin {
		l.wheel = NewRoundRobinScheduler(weights, chance)
	} else {
		l.alias = NewAliasTable(weights)
	}
	return l
}

// Len is how many lines there are.
func (l *Picker) Len() int { return len(l.weights) }

// redraws is how often a lottery draws again before it looks through all lines: where most are open it never
// comes to that, and where few are the look is bounded.
const redraws = 4

// Pick gives a line by weight of those that are open, -1 if none is. Held says how many calls a line has in hand.
func (l *Picker) Pick(chance RandFunc, open func(int) bool, held func(int) int) int {
	switch {
	case len(l.weights) == 0:
		return -1
	case l.way == RoundRobin:
		return l.wheel.Next(open)
	case l.way == Random:
		return l.draw(chance, open)
	}
	first := l.draw(chance, open)
	if first < 0 {
		return -1
	}
	second := l.draw(chance, open)
	if held(second) < held(first) {
		return second
	}
	return first
}

func (l *Picker) draw(chance RandFunc, open func(int) bool) int {
	for range redraws {
		if i := l.alias.Draw(chance()); open(i) {
			return i
		}
	}
	return LinearScan(l.weights, chance(), open)
}

// Scan is the plain way: it looks through all lines.
func LinearScan(weights []float64, chance float64, open func(int) bool) int {
	sum, last := 0.0, -1
	for i, w := range weights {
		if open(i) {
			sum, last = sum+w, i
		}
	}
	at := chance * sum
	for i, w := range weights {
		if open(i) {
			if at -= w; at < 0 {
				return i
			}
		}
	}
	return last
}
