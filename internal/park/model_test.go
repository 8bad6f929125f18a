package park

import "testing"

// The barrier at small size, every interleaving: a core that brings two removals, one after the other; lots that answer polls whenever
// they may; answers that are written any time after they were given. What the core does to each lot, and each look at what is
// not yet written, is a step of its own, as other cores go on meanwhile. Version 1 stands at the start; 2 and 3 are removals.
const modelShards = 3

type modelShard struct {
	floor     uint8
	closed    bool
	epoch     uint8
	unwritten [2][4]uint8 // by the epoch it was given in, and version
}

type modelState struct {
	shards        [modelShards]modelShard
	version       uint8 // that the core brings, or brought last
	phase         uint8 // closing, awaiting, opening
	shard         uint8 // that the core is at
	newestWritten uint8 // the newest that any lot wrote
}

const (
	closing = iota
	awaiting
	opening
)

// fault is what the model leaves out, to see that it would be found.
type fault struct{ noClosing, noAwaiting bool }

// next gives all states that may follow, and whether one of the steps wrote something older than a removal that was written before.
func (s modelState) next(f fault) (out []modelState, broken bool) {
	for i, l := range s.shards {
		flying := 0
		for e := range l.unwritten {
			for v := uint8(1); v < 4; v++ {
				flying += int(l.unwritten[e][v])
				if l.unwritten[e][v] > 0 { // it is written
					n := s
					n.shards[i].unwritten[e][v]--
					broken = broken || v < s.newestWritten
					n.newestWritten = max(s.newestWritten, v)
					out = append(out, n)
				}
			}
		}
		if !l.closed && flying < 3 { // a poll is answered
			n := s
			n.shards[i].unwritten[l.epoch][l.floor]++
			out = append(out, n)
		}
	}
	if s.version > 3 {
		return out, broken
	}
	n := s
	l := &n.shards[s.shard]
	switch s.phase {
	case closing:
		l.floor, l.closed = s.version, !f.noClosing
		l.epoch ^= 1
		n.shard++
	case awaiting:
		if n.shard++; !f.noAwaiting {
			for _, left := range l.unwritten[l.epoch^1] {
				if left > 0 {
					n.shard = 0 // it looks at all again
				}
			}
		}
	case opening:
		l.closed = false
		n.shard++
	}
	if n.shard == modelShards {
		if n.shard, n.phase = 0, n.phase+1; n.phase > opening {
			n.phase, n.version = closing, n.version+1
		}
	}
	return append(out, n), broken
}

func explore(f fault) (states int, broken bool) {
	first := modelState{version: 2, newestWritten: 1}
	for i := range first.shards {
		first.shards[i].floor = 1
	}
	seen, todo := map[modelState]bool{first: true}, []modelState{first}
	for len(todo) > 0 {
		s := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		all, wrong := s.next(f)
		if broken = broken || wrong; broken {
			return len(seen), true
		}
		for _, n := range all {
			if !seen[n] {
				seen[n] = true
				todo = append(todo, n)
			}
		}
	}
	return len(seen), false
}

func TestNoCoreWritesWhatIsOlderThanAWrittenRemoval(t *testing.T) {
	states, broken := explore(fault{})
	if broken {
		t.Fatalf("an older table is written after a removal (found in %d states)", states)
	}
	t.Logf("%d states, none with an older table after a removal", states)
	if states < 1000 {
		t.Errorf("only %d states: the model does not move", states)
	}
	for name, f := range map[string]fault{"no closing": {noClosing: true}, "no awaiting": {noAwaiting: true}} {
		if _, broken := explore(f); !broken {
			t.Errorf("%s: not found", name)
		}
	}
}
