// Package wheel keeps many timers that are mostly moved on or stopped before they are due: a hierarchical timer wheel. To set,
// move and stop one costs the same however many there are, and nothing is allocated; a heap pays the logarithm and a map's scan
// the whole each time. No clock: its owner says what time it is.
package wheel

import (
	"math/bits"

	"vetchwood/logic"
)

// Seven levels of 64 slots; a slot of one level is as long as all of the level below. No process lives to see the last one full.
const (
	levels   = 7
	slotBits = 6 // bits
	slots    = 1 << slotBits
)

// Timer is one, within what it is of. The zero value is stopped.
type Timer[T any] struct {
	Value      T
	dueTick    uint64 // tick
	level      int8
	slot       int8
	next, prev *Timer[T]
	isSet      bool
}

// Wheel is one owner's. It is told a time that never goes back.
type Wheel[T any] struct {
	tickLength logic.Millis
	origin     logic.Millis
	now        uint64
	count      int
	occupied   [levels]uint64 // slots that hold something
	heads      [levels][slots]*Timer[T]
}

// New begins one; no timer is due earlier than set, and none more than a tick late by the wheel's own doing.
func New[T any](tick, now logic.Millis) *Wheel[T] { return &Wheel[T]{tickLength: tick, origin: now} }

// Len is how many are set.
func (w *Wheel[T]) Len() int { return w.count }

// Set sets a timer, or moves it.
func (w *Wheel[T]) Set(t *Timer[T], at logic.Millis) {
	w.Stop(t)
	ticks := float64((at - w.origin) / w.tickLength)
	t.dueTick = w.now + 1 // what is due already is due at the next tick
	if ticks > float64(w.now) {
		t.dueTick = max(t.dueTick, uint64(min(ticks, 1<<41))+1)
	}
	w.insert(t)
	t.isSet = true
	w.count++
}

// Stop stops a timer, if it is set.
func (w *Wheel[T]) Stop(t *Timer[T]) {
	if !t.isSet {
		return
	}
	w.remove(t)
	t.isSet = false
	w.count--
}

// put places a timer by the highest digit in which its tick differs from now.
func (w *Wheel[T]) insert(t *Timer[T]) {
	level := 0
	if differs := t.dueTick ^ w.now; differs != 0 {
		level = (bits.Len64(differs) - 1) / slotBits
	}
	slot := (t.dueTick >> (slotBits * level)) & (slots - 1)
	t.level, t.slot = int8(level), int8(slot)
	head := &w.heads[level][slot]
	if t.prev, t.next = nil, *head; t.next != nil {
		t.next.prev = t
	}
	*head = t
	w.occupied[level] |= 1 << slot
}

func (w *Wheel[T]) remove(t *Timer[T]) {
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		head := &w.heads[t.level][t.slot]
		if *head = t.next; t.next == nil {
			w.occupied[t.level] &^= 1 << t.slot
		}
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	t.next, t.prev = nil, nil
}

// soonest is the first slot that holds something, and the tick at which it begins.
func (w *Wheel[T]) firstOccupied() (level int, begins uint64, any bool) {
	for level = range levels {
		at := (w.now >> (slotBits * level)) & (slots - 1)
		// What a level holds lies past its present slot, or it would be on a level below.
		if ahead := w.occupied[level] &^ (1<<at - 1); ahead != 0 {
			slot := uint64(bits.TrailingZeros64(ahead))
			above := w.now >> (slotBits * (level + 1)) << (slotBits * (level + 1))
			return level, above | slot<<(slotBits*level), true
		}
	}
	return 0, 0, false
}

// Next is a time before which nothing is due; false if nothing is set.
func (w *Wheel[T]) Next() (logic.Millis, bool) {
	_, begins, any := w.firstOccupied()
	return w.origin + logic.Millis(begins)*w.tickLength, any
}

// Advance goes on to a time and hands over what is due by then, tick by tick. What is handed over is stopped, and may be set again.
func (w *Wheel[T]) Advance(now logic.Millis, due func(*Timer[T])) {
	to := w.now
	if ticks := float64((now - w.origin) / w.tickLength); ticks > float64(to) {
		to = uint64(ticks)
	}
	for {
		level, begins, any := w.firstOccupied()
		if !any || begins > to {
			w.now = to
			return
		}
		w.now = max(w.now, begins)
		slot := (begins >> (slotBits * level)) & (slots - 1)
		for t := w.heads[level][slot]; t != nil; t = w.heads[level][slot] {
			if w.remove(t); t.dueTick > w.now {
				w.insert(t)
				continue
			}
			t.isSet = false
			w.count--
			due(t)
		}
	}
}
