package custody

import (
	"fmt"
	"testing"
)

// A plain breadth-first look at every state that three directors, a store and a proxy can come to over two slices. Time
// is steps of a clock; a director can be paused at any point and go on later, its messages can take any time and come in
// any order. What it uses of the protocol are the functions of this package.

const (
	directors = 3
	slicesOf  = 2
	ttl       = 2 // ticks
	lastTick  = 4
	mostSent  = 2 // messages on their way
)

type message struct{ from, slice, fence uint8 }

type state struct {
	tick     uint8
	session  [directors]uint8           // tick at which the store will end it; 0: none
	sent     [directors]uint8           // when the director's last answered renewal was sent, plus 1
	decided  [directors]uint8           // slice that it has decided to publish and has not yet: a pause may lie between; 0: none
	holds    [directors][slicesOf]uint8 // the fence that it believes it holds
	holder   [slicesOf]uint8            // by the store, plus 1
	fence    [slicesOf]uint8            // the last given out
	way      [mostSent]message          // on their way to the proxy; fence 0: free
	seen     [slicesOf]uint8            // highest fence that the proxy has followed
	follows  [slicesOf]uint8            // whose word is in force, plus 1
	ofFence  [slicesOf]uint8            // and its fence
	backward bool                       // a word of a deposed director took the place of its successor's
}

type rules struct{ fencing, guard bool }

// next gives all states that can follow.
func (r rules) next(s state) (out []state) {
	add := func(change func(*state)) {
		n := s
		change(&n)
		out = append(out, n)
	}
	if s.tick < lastTick {
		add(func(n *state) {
			n.tick++
			for d := range directors { // the store ends sessions, and their locks with them
				if n.session[d] != 0 && n.session[d] <= n.tick {
					n.session[d] = 0
					for i := range slicesOf {
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
			add(func(n *state) { // a new session; what was held under the old one is no longer believed
				n.session[d], n.sent[d], n.holds[d] = s.tick+ttl, s.tick+1, [slicesOf]uint8{}
			})
		} else {
			add(func(n *state) { n.session[d], n.sent[d] = s.tick+ttl, s.tick+1 }) // renewed, and answered at once
			add(func(n *state) { n.session[d] = s.tick + ttl })                    // renewed, and the answer was lost
			for i := range slicesOf {
				if s.holder[i] == 0 {
					add(func(n *state) {
						n.holder[i] = uint8(d + 1)
						n.fence[i]++
						n.holds[d][i] = n.fence[i]
					})
				}
			}
		}
		// To publish takes two steps, and a pause of any length may lie between them.
		for i := range slicesOf {
			session := NewSession(ttl, 0, float64(s.sent[d])-1)
			may := s.holds[d][i] > 0 && s.sent[d] > 0 && (!r.guard || float64(s.tick) < session.Deadline())
			if may && s.decided[d] == 0 {
				add(func(n *state) { n.decided[d] = uint8(i + 1) })
			}
		}
		if i := int(s.decided[d]) - 1; i >= 0 {
			for w := range mostSent {
				if s.way[w].fence == 0 && s.holds[d][i] > 0 {
					add(func(n *state) {
						n.way[w], n.decided[d] = message{uint8(d + 1), uint8(i), s.holds[d][i]}, 0
					})
					break
				}
			}
		}
	}
	for w := range mostSent {
		m := s.way[w]
		if m.fence == 0 {
			continue
		}
		add(func(n *state) { n.way[w] = message{} }) // lost
		add(func(n *state) {
			n.way[w] = message{}
			seen := HighestFences{Slice(m.slice): Fence(n.seen[m.slice])}
			if r.fencing && !seen.Accept(Slice(m.slice), Fence(m.fence)) {
				return
			}
			if n.ofFence[m.slice] > m.fence {
				n.backward = true
			}
			n.seen[m.slice] = max(n.seen[m.slice], m.fence)
			n.follows[m.slice], n.ofFence[m.slice] = m.from, m.fence
		})
	}
	return out
}

// explore looks at every state within so many, and gives the first that breaks the rule with the way to it.
func (r rules) explore(most int) (states int, broken []state) {
	type from struct {
		s    state
		prev int
	}
	all := []from{{prev: -1}}
	seen := map[state]bool{{}: true}
	for at := 0; at < len(all) && len(all) < most; at++ {
		for _, n := range r.next(all[at].s) {
			if seen[n] {
				continue
			}
			seen[n] = true
			all = append(all, from{n, at})
			if n.backward {
				for i := len(all) - 1; i >= 0; i = all[i].prev {
					broken = append(broken, all[i].s)
				}
				return len(all), broken
			}
		}
	}
	return len(all), nil
}

// With fencing no proxy goes back to a deposed director's word, whatever is paused, lost or late. Without it the look
// finds a way, also when each director minds the time of its session: a pause may lie between the look at the clock and
// the sending.
func TestNoWordOfADeposedDirector(t *testing.T) {
	if n, broken := (rules{fencing: true, guard: true}).explore(500000); broken != nil {
		t.Fatalf("after %d states: %+v", n, broken)
	} else {
		t.Logf("%d states with fencing", n)
	}
	if n, broken := (rules{fencing: true}).explore(500000); broken != nil {
		t.Fatalf("fencing alone, after %d states: %+v", n, broken)
	}
	for _, r := range []rules{{guard: true}, {}} {
		n, broken := r.explore(500000)
		if broken == nil {
			t.Errorf("%+v: the seeded fault is not found in %d states", r, n)
			continue
		}
		t.Log(fmt.Sprintf("%+v: found after %d states, in %d steps", r, n, len(broken)))
	}
}
