// The machinery the parts run on: inboxes and the loop that empties them, decaying sums, chance. No decisions.
package logic

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
)

// sum is a decaying sum, brought up to date when read.
type sum struct {
	v  float64
	at Millis
}

func (s *sum) read(now, half Millis) float64 {
	s.v *= math.Exp2(-float64((now - s.at) / half))
	s.at = now
	return s.v
}

func (s *sum) add(now, half Millis, x float64) { s.v = s.read(now, half) + x }

// inbox is where a part's notes wait; loop empties all of them in the order in which they filled.
type inbox struct{ waiting []any }

func (b *inbox) box() *inbox { return b }

type part interface {
	box() *inbox
	take(n any)
}

type loop struct {
	now   Millis
	seed  uint64
	drawn uint64
	ready []part
	out   []Order
	rules bounds
}

func (l *loop) post(to part, n any) {
	b := to.box()
	if len(b.waiting) == 0 {
		l.ready = append(l.ready, to)
	}
	b.waiting = append(b.waiting, n)
}

func (l *loop) empty() {
	for len(l.ready) > 0 {
		p := l.ready[0]
		l.ready = l.ready[1:]
		b := p.box()
		notes := b.waiting
		b.waiting = nil
		for _, n := range notes {
			p.take(n)
		}
	}
}

// chance is in [0,1), from the seed and a counter alone so that a run can be played again.
func (l *loop) chance() float64 {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:], l.seed)
	binary.LittleEndian.PutUint64(raw[8:], l.drawn)
	l.drawn++
	return float64(crc32.ChecksumIEEE(raw[:])) / (1 << 32)
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
