// Package versions knows who stands on which version: the oldest that anybody holds, how many lag behind one, and who. Most stand on
// the newest few, and all move on; a scan of everybody for each version costs with the fleet, this with what moved. No I/O, no clock.
package versions

import (
	"sort"

	"vetchwood/internal/tables"
)

// Member is somebody's place, within what it is of. The zero value is in no index.
type Member[T any] struct {
	Value      T
	at         *group[T]
	next, prev *Member[T]
}

// Step is the version that it stands on; false if it is in no index.
func (m *Member[T]) Step() (tables.Step, bool) {
	if m.at == nil {
		return 0, false
	}
	return m.at.step, true
}

// group is those of one version.
type group[T any] struct {
	step  tables.Step
	count int
	first *Member[T]
}

// Index is one owner's. Groups are in the order of their versions; those that nobody stands on any more are dropped.
type Index[T any] struct {
	groups []*group[T]
	count  int
}

// Len is how many are in it.
func (x *Index[T]) Len() int { return x.count }

// Move puts a member on a version, wherever it stood before.
func (x *Index[T]) Move(m *Member[T], to tables.Step) {
	if m.at != nil && m.at.step == to {
		return
	}
	x.Remove(m)
	n := len(x.groups)
	at := n - 1 // the newest, nearly always
	if n == 0 || x.groups[at].step < to {
		at = n
	} else if x.groups[at].step != to {
		at = x.find(to)
	}
	if at == n || x.groups[at].step != to {
		x.groups = append(x.groups, nil)
		copy(x.groups[at+1:], x.groups[at:])
		x.groups[at] = &group[T]{step: to}
	}
	g := x.groups[at]
	if m.at, m.prev, m.next = g, nil, g.first; m.next != nil {
		m.next.prev = m
	}
	g.first = m
	g.count++
	x.count++
}

// find is the place of the first group that is not older than a version.
func (x *Index[T]) find(step tables.Step) int {
	return sort.Search(len(x.groups), func(i int) bool { return x.groups[i].step >= step })
}

// Drop takes a member out.
func (x *Index[T]) Remove(m *Member[T]) {
	g := m.at
	if g == nil {
		return
	}
	if m.prev != nil {
		m.prev.next = m.next
	} else {
		g.first = m.next
	}
	if m.next != nil {
		m.next.prev = m.prev
	}
	m.at, m.next, m.prev = nil, nil, nil
	x.count--
	if g.count--; g.count == 0 {
		at := x.find(g.step)
		if at == 0 {
			x.groups[0] = nil
			x.groups = x.groups[1:]
		} else {
			x.groups = append(x.groups[:at], x.groups[at+1:]...)
		}
	}
}

// Oldest is the oldest version that anybody stands on.
func (x *Index[T]) Oldest() (tables.Step, bool) {
	if len(x.groups) == 0 {
		return 0, false
	}
	return x.groups[0].step, true
}

// Behind is how many stand on something older than a version.
func (x *Index[T]) CountOlder(step tables.Step) (n int) {
	for _, g := range x.groups {
		if g.step >= step {
			break
		}
		n += g.count
	}
	return n
}

// Older hands over each that stands on something older than a version, the oldest first. It may be moved or dropped meanwhile.
func (x *Index[T]) VisitOlder(step tables.Step, each func(*Member[T])) {
	var all []*Member[T]
	for _, g := range x.groups {
		if g.step >= step {
			break
		}
		for m := g.first; m != nil; m = m.next {
			all = append(all, m)
		}
	}
	for _, m := range all {
		each(m)
	}
}
