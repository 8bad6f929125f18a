// Package ownership decides which director should own which slice, how long an owner may act for its slices, and which
// director's table for a slice a proxy accepts. It performs no I/O and reads no clock. Package lease sends the requests
// to the store that holds the leases; the guarantees that this package relies on are stated here.
package ownership

import (
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

type (
	// DirectorName is the configured name of a director.
	DirectorName string
	// Slice is the number of a slice, counted from 0.
	Slice int
	// Fence is the fencing token of a slice's lease. The store gives each owner of a slice a higher fence than its
	// predecessor.
	Fence uint64
)

// maxLoadFactor bounds a director's load as a multiple of the even share. A tighter bound would move more slices when
// the set of directors changes.
const maxLoadFactor = 1.25

// Assign returns the director that should own each of n slices, or empty names if there are no members. It uses
// rendezvous hashing with bounded loads: each slice ranks all directors by a hash of director and slice, and goes to
// the first that is not full. The result depends only on the set of members and not on their order, so all directors
// compute the same assignment. Few slices move when a director joins or leaves.
func Assign(n int, members []DirectorName) []DirectorName {
	members = slices.Compact(slices.Sorted(slices.Values(members)))
	owners := make([]DirectorName, n)
	if len(members) == 0 {
		return owners
	}
	capacity := int(math.Ceil(float64(n) / float64(len(members)) * maxLoadFactor))
	load := map[DirectorName]int{}
	rank := make([]scoredDirector, len(members))
	for s := range n {
		for i, m := range members {
			rank[i] = scoredDirector{xxhash.Sum64String(string(m) + " " + strconv.Itoa(s)), m}
		}
		slices.SortFunc(rank, func(a, b scoredDirector) int {
			switch {
			case a.score > b.score:
				return -1
			case a.score < b.score:
				return 1
			}
			return 0
		})
		for _, r := range rank {
			if load[r.director] < capacity {
				owners[s] = r.director
				load[r.director]++
				break
			}
		}
	}
	return owners
}

type scoredDirector struct {
	score    uint64
	director DirectorName
}

// Session is the director's view of its session with the store. By Consul's published rules for sessions with a time to
// live (TTL), the store ends a session no sooner than one TTL after it received the last renewal, and grants the
// session's locks to nobody during the lock delay after that. Times are milliseconds of the director's own clock.
type Session struct {
	ttl, margin   float64
	renewalSentAt float64 // when the last answered renewal was sent; the store received it no sooner
	alive         bool
}

// NewSession returns a session whose creation was requested at the time sent. The margin allows for clock drift: by the
// store's clock, the TTL may end a little earlier than by this one.
func NewSession(ttl, margin, sent float64) Session {
	return Session{ttl: ttl, margin: margin, renewalSentAt: sent, alive: true}
}

// MarkRenewed records that a renewal sent at the given time was answered.
func (s *Session) MarkRenewed(sent float64) {
	if s.alive {
		s.renewalSentAt = max(s.renewalSentAt, sent)
	}
}

// MarkEnded records that the store no longer knows the session. An ended session is never revived: a new session takes
// locks of its own.
func (s *Session) MarkEnded() { s.alive = false }

// Deadline returns the time until which the director may act for its slices without a further answer from the store. A
// process that was paused past the deadline finds it expired when it resumes, and stops acting.
func (s *Session) Deadline() float64 {
	if !s.alive {
		return math.Inf(-1)
	}
	return s.renewalSentAt + s.ttl - s.margin
}

// RenewAt returns the time of the next renewal. One third of the TTL leaves two further tries before the session
// expires.
func (s *Session) RenewAt() float64 { return s.renewalSentAt + s.ttl/3 }

// HighestFences holds, for each slice, the highest fence that a proxy has accepted.
type HighestFences map[Slice]Fence

// Accept reports whether a proxy accepts a table of the slice that carries fence f, and records f if so. It rejects a
// fence below the highest one: that table comes from a director that lost the slice and has not noticed yet, or whose
// message was delayed.
func (h HighestFences) Accept(slice Slice, f Fence) bool {
	if f < h[slice] {
		return false
	}
	h[slice] = f
	return true
}
