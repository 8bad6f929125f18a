// Package timerwheel implements a hierarchical timer wheel, for many timers of which most are moved or stopped before
// they are due. To set, move or stop a timer takes constant time and allocates nothing, while a heap takes logarithmic
// time and a scan of a map linear time. The package reads no clock: the owner passes the time.
package timerwheel

import (
	"math/bits"

	"vetchwood/logic"
)

// The wheel has seven levels of 64 slots; a slot of one level spans all of the level below. The last level covers more
// time than a process runs.
const (
	levels   = 7
	slotBits = 6 // bits of a tick number per level
	slots    = 1 << slotBits
)

// Timer is a timer, kept by its owner in the object that it belongs to. The zero value is stopped.
type Timer[T any] struct {
	Value      T      // for the owner's use
	dueTick    uint64 // the tick at which it is due
	level      int8
	slot       int8
	next, prev *Timer[T]
	isSet      bool
}

// Wheel is a set of timers. The times that it is given must not decrease. It is not safe for concurrent use.
type Wheel[T any] struct {
	tickLength logic.Millis
	origin     logic.Millis
	now        uint64 // present tick
	count      int
	occupied   [levels]uint64 // bit masks of the slots that hold timers
	heads      [levels][slots]*Timer[T]
}

// New returns a wheel that starts at now. No timer is due before its time, and the wheel adds at most one tick of
// delay.
func New[T any](tickLength, now logic.Millis) *Wheel[T] {
	return &Wheel[T]{tickLength: tickLength, origin: now}
}

// Len returns the number of set timers.
func (w *Wheel[T]) Len() int { return w.count }

// Set sets a timer to the given time, or moves it there if it is set.
func (w *Wheel[T]) Set(t *Timer[T], at logic.Millis) {
	w.Stop(t)
	ticks := float64((at - w.origin) / w.tickLength)
	t.dueTick = w.now + 1 // a timer whose time has passed is due at the next tick
	if ticks > float64(w.now) {
		t.dueTick = max(t.dueTick, uint64(min(ticks, 1<<41))+1)
	}
	w.insert(t)
	t.isSet = true
	w.count++
}

// Stop stops a timer. It does nothing if the timer is not set.
func (w *Wheel[T]) Stop(t *Timer[T]) {
	if !t.isSet {
		return
	}
	w.remove(t)
	t.isSet = false
	w.count--
}

// insert adds a timer to the level of the highest base-64 digit in which its tick differs from the present one.
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

// remove unlinks a timer from its slot.
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

// firstOccupied returns the level of the first slot that holds timers and the tick at which the slot begins.
func (w *Wheel[T]) firstOccupied() (level int, begins uint64, found bool) {
	for level = range levels {
		current := (w.now >> (slotBits * level)) & (slots - 1)
		// Timers of a level are past its present slot; otherwise they would be on a lower level.
		if ahead := w.occupied[level] &^ (1<<current - 1); ahead != 0 {
			slot := uint64(bits.TrailingZeros64(ahead))
			above := w.now >> (slotBits * (level + 1)) << (slotBits * (level + 1))
			return level, above | slot<<(slotBits*level), true
		}
	}
	return 0, 0, false
}

// Next returns a time before which no timer is due, or false if none is set.
func (w *Wheel[T]) Next() (logic.Millis, bool) {
	_, begins, found := w.firstOccupied()
	return w.origin + logic.Millis(begins)*w.tickLength, found
}

// Advance moves the wheel to the given time and calls due for each timer that is due by then, in order of ticks. Such a
// timer is stopped before the call and may be set again in it.
func (w *Wheel[T]) Advance(now logic.Millis, due func(*Timer[T])) {
	target := w.now
	if ticks := float64((now - w.origin) / w.tickLength); ticks > float64(target) {
		target = uint64(ticks)
	}
	for {
		level, begins, found := w.firstOccupied()
		if !found || begins > target {
			w.now = target
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
