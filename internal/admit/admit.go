// Package admit decides what a proxy lets in: the levels that the tables state, and what it can hold itself. Under
// overload the least important calls go first, and nothing waits longer than its client does. No I/O, no clock.
package admit

import (
	"container/heap"
)

// Level is how much of a route is let in.
type Level struct {
	rate   bool // calls a second; else a share
	amount float64
	tokens float64
	at     float64
}

// ByShare and ByRate make levels; a share of 1 or more lets all in.
func NewShareLevel(share float64) Level { return Level{amount: share} }
func NewRateLevel(perSecond float64) Level {
	return Level{rate: true, amount: perSecond, tokens: max(1, perSecond*burst)}
}

// burst is how many seconds' worth of a rate may come at once.
const burst = 0.25

// Set changes how much is let in, and keeps what has been used of a rate.
func (l *Level) Set(amount float64) {
	l.amount = amount
	if l.rate {
		l.tokens = min(l.tokens, max(1, amount*burst))
	}
}

// Amount and ByRate are how much is let in, and how it is counted.
func (l *Level) Value() float64 { return l.amount }
func (l *Level) IsRate() bool   { return l.rate }

// In says whether a call is let in; chance is in [0,1).
func (l *Level) Admit(now, chance float64) bool {
	if !l.rate {
		return chance < l.amount
	}
	if l.amount <= 0 {
		return false
	}
	if now > l.at {
		if l.at > 0 {
			l.tokens = min(max(1, l.amount*burst), l.tokens+l.amount*(now-l.at)/1000)
		}
		l.at = now
	}
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Wait is how long a client that was throttled might stay away, in milliseconds.
func (l *Level) RetryAfter() float64 {
	if l.rate && l.amount > 0 {
		return max(1000, 1000/l.amount)
	}
	return 1000
}

// Ticket names a call that waits; the caller gives it out.
type Ticket uint64

// Verdict on a call that comes.
type Verdict int

const (
	Admitted Verdict = iota
	Queued
	Rejected
)

// Gate holds the calls in hand to a most, lets a bounded number wait by importance, and refuses the rest.
type Limiter struct {
	most, queue int
	running     int
	waiting     line
	serial      uint64
}

type waiter struct {
	ticket     Ticket
	importance float64
	until      float64
	serial     uint64
	at         int
}

// line has the least important, and of those the one that came last, first: it is the one to go.
type line []*waiter

func (l line) Len() int { return len(l) }
func (l line) Less(i, j int) bool {
	if l[i].importance != l[j].importance {
		return l[i].importance < l[j].importance
	}
	return l[i].serial > l[j].serial
}
func (l line) Swap(i, j int) { l[i], l[j] = l[j], l[i]; l[i].at, l[j].at = i, j }
func (l *line) Push(x any)   { w := x.(*waiter); w.at = len(*l); *l = append(*l, w) }
func (l *line) Pop() any {
	old := *l
	x := old[len(old)-1]
	*l = old[:len(old)-1]
	return x
}

func NewLimiter(most, queue int) *Limiter { return &Limiter{most: most, queue: queue} }

// Bind changes how much it holds.
func (g *Limiter) SetLimits(most, queue int) { g.most, g.queue = most, queue }

// Come is a call that must begin by until. Where it takes the place of one that waits, that one is out.
func (g *Limiter) Acquire(t Ticket, importance, now, until float64) (v Verdict, out Ticket) {
	if g.running < g.most {
		g.running++
		return Admitted, 0
	}
	if until <= now || g.queue == 0 {
		return Rejected, 0
	}
	if len(g.waiting) >= g.queue {
		if g.waiting[0].importance >= importance {
			return Rejected, 0
		}
		out = heap.Pop(&g.waiting).(*waiter).ticket
	}
	g.serial++
	heap.Push(&g.waiting, &waiter{ticket: t, importance: importance, until: until, serial: g.serial})
	return Queued, out
}

// End is the end of a call that ran. The most important that waits, and of those the first that came, runs next; those
// whose client gives up before are out.
func (g *Limiter) Release(now float64) (next Ticket, out []Ticket) {
	g.running--
	for len(g.waiting) > 0 && g.running < g.most {
		best := g.waiting[0]
		for _, w := range g.waiting { // a short line; its other end is asked for far less often
			if w.importance > best.importance || w.importance == best.importance && w.serial < best.serial {
				best = w
			}
		}
		heap.Remove(&g.waiting, best.at)
		if best.until > now {
			g.running++
			return best.ticket, out
		}
		out = append(out, best.ticket)
	}
	return 0, out
}

// Leave takes one out that waits; false if it does not.
func (g *Limiter) Cancel(t Ticket) bool {
	for _, w := range g.waiting {
		if w.ticket == t {
			heap.Remove(&g.waiting, w.at)
			return true
		}
	}
	return false
}

// Running and Waiting are how many there are.
func (g *Limiter) Running() int { return g.running }
func (g *Limiter) Queued() int  { return len(g.waiting) }
