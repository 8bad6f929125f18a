package pollshard

import "testing"

// modelShards is the number of shards in a model of the removal barrier that is explored in every interleaving. The
// core publishes two removals, one after the other; shards answer polls whenever they may; an answer is written at any
// time after it was given. Each of the core's actions on a shard, and each check of a shard's unwritten answers, is a
// step of its own, because other processors proceed in between. Version 1 is current at the start; 2 and 3 are
// removals.
const modelShards = 3

type modelShard struct {
	minVersion uint8
	closed     bool
	epoch      uint8
	unwritten  [2][4]uint8 // number of answers, by the epoch they were given in and by version
}

type modelState struct {
	shards        [modelShards]modelShard
	version       uint8 // that the core publishes, or published last
	phase         uint8 // closing, awaiting or opening
	shard         uint8 // that the core handles next
	newestWritten uint8 // the newest version that any shard wrote
}

const (
	closing = iota
	awaiting
	opening
)

// fault selects steps that the model omits, to prove that the exploration detects their absence.
type fault struct{ noClosing, noAwaiting bool }

// next returns all states that may follow, and whether a step wrote a version older than a removal written before.
func (s modelState) next(f fault) (out []modelState, broken bool) {
	for i, l := range s.shards {
		unwritten := 0
		for e := range l.unwritten {
			for v := uint8(1); v < 4; v++ {
				unwritten += int(l.unwritten[e][v])
				if l.unwritten[e][v] > 0 { // an answer is written
					n := s
					n.shards[i].unwritten[e][v]--
					broken = broken || v < s.newestWritten
					n.newestWritten = max(s.newestWritten, v)
					out = append(out, n)
				}
			}
		}
		if !l.closed && unwritten < 3 { // a poll is answered
			n := s
			n.shards[i].unwritten[l.epoch][l.minVersion]++
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
		l.minVersion, l.closed = s.version, !f.noClosing
		l.epoch ^= 1
		n.shard++
	case awaiting:
		if n.shard++; !f.noAwaiting {
			for _, left := range l.unwritten[l.epoch^1] {
				if left > 0 {
					n.shard = 0 // checks all shards again
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

// explore visits all states that are reachable from the start. It stops at the first violation.
func explore(f fault) (states int, broken bool) {
	initial := modelState{version: 2, newestWritten: 1}
	for i := range initial.shards {
		initial.shards[i].minVersion = 1
	}
	seen, todo := map[modelState]bool{initial: true}, []modelState{initial}
	for len(todo) > 0 {
		s := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		all, violated := s.next(f)
		if broken = broken || violated; broken {
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

// No processor writes a version older than a removal that has been written, and the model without one of the barrier's
// steps is found faulty.
func TestNoCoreWritesWhatIsOlderThanAWrittenRemoval(t *testing.T) {
	states, broken := explore(fault{})
	if broken {
		t.Fatalf("an older version is written after a removal (after %d states)", states)
	}
	t.Logf("%d states, none with an older version after a removal", states)
	if states < 1000 {
		t.Errorf("only %d states, want at least 1000: the model makes no progress", states)
	}
	for name, f := range map[string]fault{"no closing": {noClosing: true}, "no awaiting": {noAwaiting: true}} {
		if _, broken := explore(f); !broken {
			t.Errorf("%s: violation not found", name)
		}
	}
}
