// Package admission decides which calls a proxy admits: by the admission levels in the tables, and by its own limits on
// calls in flight and queued. Under overload the least important calls are rejected first, and no call is queued past
// its deadline. It does no I/O and reads no clock.
package admission

import (
	"container/heap"
)

// Level is an admission level: the share or the rate of a route's calls that is admitted.
type Level struct {
	isRate     bool // value is in calls per second; otherwise a share of the calls
	value      float64
	tokens     float64 // of a rate: calls that may be admitted now
	refilledAt float64 // in milliseconds
}

// NewShareLevel returns a level that admits a share of the calls, all at 1 or more.
func NewShareLevel(share float64) Level { return Level{value: share} }

// NewRateLevel returns a level that admits a rate of calls, by a token bucket.
func NewRateLevel(perSecond float64) Level {
	return Level{isRate: true, value: perSecond, tokens: max(1, perSecond*burstSeconds)}
}

// burstSeconds is the size of a burst: this many seconds' worth of a rate may be admitted at once.
const burstSeconds = 0.25

// Set changes the value. The tokens of a rate that were already used stay used.
func (l *Level) Set(value float64) {
	l.value = value
	if l.isRate {
		l.tokens = min(l.tokens, max(1, value*burstSeconds))
	}
}

// Value returns the admitted share, or the admitted calls per second.
func (l *Level) Value() float64 { return l.value }

// IsRate reports whether the value is in calls per second.
func (l *Level) IsRate() bool { return l.isRate }

// Admit reports whether a call is admitted; now is in milliseconds, random in [0,1).
func (l *Level) Admit(now, random float64) bool {
	if !l.isRate {
		return random < l.value
	}
	if l.value <= 0 {
		return false
	}
	if now > l.refilledAt {
		if l.refilledAt > 0 {
			l.tokens = min(max(1, l.value*burstSeconds), l.tokens+l.value*(now-l.refilledAt)/1000)
		}
		l.refilledAt = now
	}
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// RetryAfter returns how long a throttled client should wait before it repeats the call, in milliseconds.
func (l *Level) RetryAfter() float64 {
	if l.isRate && l.value > 0 {
		return max(1000, 1000/l.value)
	}
	return 1000
}

// Ticket identifies a queued call; the caller assigns it.
type Ticket uint64

// Verdict is the decision on a call that asks for a place among the calls in flight.
type Verdict int

// The verdicts.
const (
	Admitted Verdict = iota
	Queued
	Rejected
)

// Limiter limits the calls in flight. It queues a bounded number of further calls by importance and rejects the rest.
type Limiter struct {
	maxRunning, maxQueued int
	running               int
	queue                 waitQueue
	sequence              uint64
}

// queuedCall is a call in the queue of a Limiter.
type queuedCall struct {
	ticket     Ticket
	importance float64
	deadline   float64
	sequence   uint64 // order of arrival
	index      int    // in the heap
}

// waitQueue is a heap with the call to evict first on top: the least important, and of those the one that arrived last.
type waitQueue []*queuedCall

func (q waitQueue) Len() int { return len(q) }
func (q waitQueue) Less(i, j int) bool {
	if q[i].importance != q[j].importance {
		return q[i].importance < q[j].importance
	}
	return q[i].sequence > q[j].sequence
}
func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i]; q[i].index, q[j].index = i, j }
func (q *waitQueue) Push(x any)   { c := x.(*queuedCall); c.index = len(*q); *q = append(*q, c) }
func (q *waitQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// NewLimiter returns a Limiter for the given numbers of calls in flight and queued.
func NewLimiter(maxRunning, maxQueued int) *Limiter {
	return &Limiter{maxRunning: maxRunning, maxQueued: maxQueued}
}

// SetLimits changes the limits. Calls that are already in flight or queued stay.
func (l *Limiter) SetLimits(maxRunning, maxQueued int) {
	l.maxRunning, l.maxQueued = maxRunning, maxQueued
}

// Acquire asks for a place for a call that must start before its deadline. If the call displaces a less important one
// from the full queue, evicted is the ticket of that one, otherwise 0.
func (l *Limiter) Acquire(t Ticket, importance, now, deadline float64) (v Verdict, evicted Ticket) {
	if l.running < l.maxRunning {
		l.running++
		return Admitted, 0
	}
	if deadline <= now || l.maxQueued == 0 {
		return Rejected, 0
	}
	if len(l.queue) >= l.maxQueued {
		if l.queue[0].importance >= importance {
			return Rejected, 0
		}
		evicted = heap.Pop(&l.queue).(*queuedCall).ticket
	}
	l.sequence++
	heap.Push(&l.queue, &queuedCall{ticket: t, importance: importance, deadline: deadline, sequence: l.sequence})
	return Queued, evicted
}

// Release frees the place of a call that ended. Next is the queued call that takes it, 0 if there is none: the most
// important, and of those the first that arrived. Calls past their deadlines are removed from the queue as expired.
func (l *Limiter) Release(now float64) (next Ticket, expired []Ticket) {
	l.running--
	for len(l.queue) > 0 && l.running < l.maxRunning {
		best := l.queue[0]
		// A linear scan, since the queue is short and the heap's top, the call to evict, is needed far more often.
		for _, c := range l.queue {
			if c.importance > best.importance || c.importance == best.importance && c.sequence < best.sequence {
				best = c
			}
		}
		heap.Remove(&l.queue, best.index)
		if best.deadline > now {
			l.running++
			return best.ticket, expired
		}
		expired = append(expired, best.ticket)
	}
	return 0, expired
}

// Cancel removes a call from the queue and reports whether it was there.
func (l *Limiter) Cancel(t Ticket) bool {
	for _, c := range l.queue {
		if c.ticket == t {
			heap.Remove(&l.queue, c.index)
			return true
		}
	}
	return false
}

// Running returns the number of calls in flight.
func (l *Limiter) Running() int { return l.running }

// Queued returns the number of queued calls.
func (l *Limiter) Queued() int { return len(l.queue) }
