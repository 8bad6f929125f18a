package ownership

import (
	"fmt"
	"testing"
)

// This file is a model checker: a breadth-first search of the states that three directors, a store and a proxy can
// reach with two slices. Time advances in ticks. A director may pause at any point and resume later; its messages may
// be delayed without bound and reordered. The rules of the protocol are the functions of this package.

const (
	directors   = 3
	sliceCount  = 2
	ttlTicks    = 2
	lastTick    = 4
	maxMessages = 2 // messages in flight
)

type message struct{ from, slice, fence uint8 }

type state struct {
	tick          uint8
	session       [directors]uint8             // tick at which the store ends it; 0: no session
	renewalSentAt [directors]uint8             // tick at which the last answered renewal was sent, plus 1
	publishing    [directors]uint8             // slice that the director has yet to publish, plus 1; 0: none
	believedFence [directors][sliceCount]uint8 // fence of each slice that the director believes it owns; 0: none
	holder        [sliceCount]uint8            // owner according to the store, plus 1; 0: none
	lastFence     [sliceCount]uint8            // last fence that the store issued
	inFlight      [maxMessages]message         // messages to the proxy; fence 0: free entry
	highestFence  [sliceCount]uint8            // highest fence that the proxy accepted
	appliedFrom   [sliceCount]uint8            // director whose table the proxy uses, plus 1
	appliedFence  [sliceCount]uint8            // fence of that table
	regressed     bool                         // a table of a deposed director replaced its successor's
}

type protocol struct{ fencing, deadline bool }

// successors returns all states that can follow s.
func (r protocol) successors(s state) (out []state) {
	add := func(change func(*state)) {
		n := s
		change(&n)
		out = append(out, n)
	}
	if s.tick < lastTick {
		add(func(n *state) {
			n.tick++
			for d := range directors { // the store ends expired sessions and releases their locks
				if n.session[d] != 0 && n.session[d] <= n.tick {
					n.session[d] = 0
					for i := range sliceCount {
						if n.holder[i] == uint8(d+1) {
							n.holder[i] = 0
						}
					}
				}
			}
		})
	}
	for d := range directors {
		if s.session[d] == 0 {
			add(func(n *state) { // a new session; the slices of the old one are given up
				n.session[d], n.renewalSentAt[d], n.believedFence[d] = s.tick+ttlTicks, s.tick+1, [sliceCount]uint8{}
			})
		} else {
			// A renewal that is answered at once, and one whose answer is lost.
			add(func(n *state) { n.session[d], n.renewalSentAt[d] = s.tick+ttlTicks, s.tick+1 })
			add(func(n *state) { n.session[d] = s.tick + ttlTicks })
			for i := range sliceCount {
				if s.holder[i] == 0 {
					add(func(n *state) {
						n.holder[i] = uint8(d + 1)
						n.lastFence[i]++
						n.believedFence[d][i] = n.lastFence[i]
					})
				}
			}
		}
		// Publishing takes two steps, the decision and the sending, with a pause of any length between them.
		for i := range sliceCount {
			session := NewSession(ttlTicks, 0, float64(s.renewalSentAt[d])-1)
			mayPublish := s.believedFence[d][i] > 0 && s.renewalSentAt[d] > 0 && (!r.deadline || float64(s.tick) < session.Deadline())
			if mayPublish && s.publishing[d] == 0 {
				add(func(n *state) { n.publishing[d] = uint8(i + 1) })
			}
		}
		if i := int(s.publishing[d]) - 1; i >= 0 {
			for w := range maxMessages {
				if s.inFlight[w].fence == 0 && s.believedFence[d][i] > 0 {
					add(func(n *state) {
						n.inFlight[w], n.publishing[d] = message{uint8(d + 1), uint8(i), s.believedFence[d][i]}, 0
					})
					break
				}
			}
		}
	}
	for w := range maxMessages {
		m := s.inFlight[w]
		if m.fence == 0 {
			continue
		}
		add(func(n *state) { n.inFlight[w] = message{} }) // lost
		add(func(n *state) {
			n.inFlight[w] = message{}
			fences := HighestFences{Slice(m.slice): Fence(n.highestFence[m.slice])}
			if r.fencing && !fences.Accept(Slice(m.slice), Fence(m.fence)) {
				return
			}
			if n.appliedFence[m.slice] > m.fence {
				n.regressed = true
			}
			n.highestFence[m.slice] = max(n.highestFence[m.slice], m.fence)
			n.appliedFrom[m.slice], n.appliedFence[m.slice] = m.from, m.fence
		})
	}
	return out
}

// explore searches up to limit states. It returns how many it reached and the first path, from its end to its start, to
// a state in which the proxy went back to an older fence.
func (r protocol) explore(limit int) (states int, path []state) {
	type node struct {
		s    state
		prev int
	}
	all := []node{{prev: -1}}
	seen := map[state]bool{{}: true}
	for at := 0; at < len(all) && len(all) < limit; at++ {
		for _, n := range r.successors(all[at].s) {
			if seen[n] {
				continue
			}
			seen[n] = true
			all = append(all, node{n, at})
			if n.regressed {
				for i := len(all) - 1; i >= 0; i = all[i].prev {
					path = append(path, all[i].s)
				}
				return len(all), path
			}
		}
	}
	return len(all), nil
}

// With fencing, no proxy goes back to a deposed director's table, whatever is paused, lost or late. Without fencing the
// search finds a path to that fault, even when each director checks the deadline of its session: it may pause between
// the check and the sending.
func TestNoTableFromADeposedDirector(t *testing.T) {
	if n, path := (protocol{fencing: true, deadline: true}).explore(500000); path != nil {
		t.Fatalf("fencing and deadline: proxy went back to an older fence after %d states: %+v", n, path)
	} else {
		t.Logf("fencing and deadline: no fault in %d states", n)
	}
	if n, path := (protocol{fencing: true}).explore(500000); path != nil {
		t.Fatalf("fencing alone: proxy went back to an older fence after %d states: %+v", n, path)
	}
	for _, r := range []protocol{{deadline: true}, {}} {
		n, path := r.explore(500000)
		if path == nil {
			t.Errorf("%+v: the search missed the fault in %d states", r, n)
			continue
		}
		t.Log(fmt.Sprintf("%+v: fault found after %d states, on a path of %d", r, n, len(path)))
	}
}
