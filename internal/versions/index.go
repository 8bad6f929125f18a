// Package versions tracks which member of a fleet holds which version: the oldest version held, and how many and which
// members hold an older version than a given one. Most members hold one of the newest few versions and all of them move
// on, so the index costs time in proportion to the members that move, where a scan for each version would cost time in
// proportion to the fleet. The package does no I/O and reads no clock.
package versions

import (
	"sort"

	"vetchwood/internal/tables"
)

// Member is an entry of an Index; Value identifies what it tracks. The zero value is in no index.
type Member[T any] struct {
	Value      T
	group      *group[T]
	next, prev *Member[T]
}

// Step returns the version that the member holds, or false if the member is in no index.
func (m *Member[T]) Step() (tables.Step, bool) {
	if m.group == nil {
		return 0, false
	}
	return m.group.step, true
}

// group lists the members that hold one version.
type group[T any] struct {
	step  tables.Step
	count int
	first *Member[T]
}

// Index is an ordered index of members by version. The zero value is empty and ready to use. An Index is not safe for
// concurrent use.
type Index[T any] struct {
	groups []*group[T] // in ascending order of version, none of them empty
	count  int
}

// Len returns the number of members.
func (x *Index[T]) Len() int { return x.count }

// Move records that a member holds a version. A member that is not in the index is added.
func (x *Index[T]) Move(m *Member[T], to tables.Step) {
	if m.group != nil && m.group.step == to {
		return
	}
	x.Remove(m)
	n := len(x.groups)
	i := n - 1 // nearly always the newest version
	if n == 0 || x.groups[i].step < to {
		i = n
	} else if x.groups[i].step != to {
		i = x.find(to)
	}
	if i == n || x.groups[i].step != to {
		x.groups = append(x.groups, nil)
		copy(x.groups[i+1:], x.groups[i:])
		x.groups[i] = &group[T]{step: to}
	}
	g := x.groups[i]
	if m.group, m.prev, m.next = g, nil, g.first; m.next != nil {
		m.next.prev = m
	}
	g.first = m
	g.count++
	x.count++
}

// find returns the index of the first group that is not older than a version.
func (x *Index[T]) find(step tables.Step) int {
	return sort.Search(len(x.groups), func(i int) bool { return x.groups[i].step >= step })
}

// Remove removes a member. It does nothing if the member is in no index.
func (x *Index[T]) Remove(m *Member[T]) {
	g := m.group
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
	m.group, m.next, m.prev = nil, nil, nil
	x.count--
	if g.count--; g.count == 0 {
		i := x.find(g.step)
		if i == 0 {
			x.groups[0] = nil
			x.groups = x.groups[1:]
		} else {
			x.groups = append(x.groups[:i], x.groups[i+1:]...)
		}
	}
}

// Oldest returns the oldest version that a member holds, or false if the index is empty.
func (x *Index[T]) Oldest() (tables.Step, bool) {
	if len(x.groups) == 0 {
		return 0, false
	}
	return x.groups[0].step, true
}

// CountOlder returns the number of members that hold an older version than step.
func (x *Index[T]) CountOlder(step tables.Step) (n int) {
	for _, g := range x.groups {
		if g.step >= step {
			break
		}
		n += g.count
	}
	return n
}

// VisitOlder calls visit for each member that holds an older version than step, oldest version first. The function may
// move or remove the member that it is called with.
func (x *Index[T]) VisitOlder(step tables.Step, visit func(*Member[T])) {
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
		visit(m)
	}
}
