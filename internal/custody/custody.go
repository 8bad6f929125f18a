// Package custody decides which director should have which slice, how long it may act for it, and whose word on a slice
// a proxy takes. No I/O, no clock. The store that holds the leases is elsewhere; here is what it may be relied on for.
package custody

import (
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

type (
	// Name is a director's.
	DirectorName string
	// Slice is a slice's number.
	Slice int
	// Fence counts the holders of a slice: the store gives each a greater one than the one before.
	Fence uint64
)

// Uneven is how far past an even part a director may go: tighter would move more slices when the set changes.
const uneven = 1.25

// Spread says who should have each slice. Every director comes to the same answer from the same set, whatever the order
// in which it learnt of the members, and few slices move when one comes or goes: each slice ranks all directors by a
// hash of its own and goes to the first that is not full.
func Assign(n int, members []DirectorName) []DirectorName {
	members = slices.Compact(slices.Sorted(slices.Values(members)))
	out := make([]DirectorName, n)
	if len(members) == 0 {
		return out
	}
	room := int(math.Ceil(float64(n) / float64(len(members)) * uneven))
	load := map[DirectorName]int{}
	rank := make([]ranked, len(members))
	for s := range n {
		for i, m := range members {
			rank[i] = ranked{xxhash.Sum64String(string(m) + " " + strconv.Itoa(s)), m}
		}
		slices.SortFunc(rank, func(a, b ranked) int {
			switch {
			case a.score > b.score:
				return -1
			case a.score < b.score:
				return 1
			}
			return 0
		})
		for _, r := range rank {
			if load[r.name] < room {
				out[s] = r.name
				load[r.name]++
				break
			}
		}
	}
	return out
}

type ranked struct {
	score uint64
	name  DirectorName
}

// Session is a director's standing with the store, by the published rules of sessions with a time to live: the store ends
// it no sooner than its time to live after the last renewal reached it, and gives its locks to nobody for the lock delay
// after that. Times are milliseconds of the director's own clock.
type Session struct {
	ttl, margin float64
	sent        float64 // when the last renewal that was answered was sent: the store got it no sooner
	alive       bool
}

// NewSession begins one that was asked for at sent. Margin is for clocks that run apart: what this clock takes for the
// whole time to live, the store's may take for a little less.
func NewSession(ttl, margin, sent float64) Session {
	return Session{ttl: ttl, margin: margin, sent: sent, alive: true}
}

// Renewed tells that a renewal which was sent then was answered.
func (s *Session) MarkRenewed(sent float64) {
	if s.alive {
		s.sent = max(s.sent, sent)
	}
}

// Ended tells that the store knows the session no more. It does not come back: a new one has locks of its own.
func (s *Session) MarkEnded() { s.alive = false }

// Until is how long the director may act for what it holds without hearing from the store again. A process that was
// paused finds the time past when it goes on, and acts for nothing.
func (s *Session) Deadline() float64 {
	if !s.alive {
		return math.Inf(-1)
	}
	return s.sent + s.ttl - s.margin
}

// RenewAt is when to renew next: a third of the time to live leaves two more tries before it is over.
func (s *Session) RenewAt() float64 { return s.sent + s.ttl/3 }

// Seen is the highest fence of a slice that a proxy has followed.
type HighestFences map[Slice]Fence

// Accepts says whether a proxy takes a word on a slice that bears a fence, and keeps the highest. A director that was
// deposed and has not noticed, or whose messages were long on the way, bears a lower one than its successor.
func (s HighestFences) Accept(slice Slice, f Fence) bool {
	if f < s[slice] {
		return false
	}
	s[slice] = f
	return true
}
