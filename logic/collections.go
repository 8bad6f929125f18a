package logic

import (
	"cmp"
	"iter"
	"math"
	"slices"
)

// Decaying sums, ordered maps and the lines of tables. Nothing here decides.

// decayingSum is a sum that decays exponentially. It is brought up to date when read.
type decayingSum struct {
	value     float64
	updatedAt Millis
}

// read returns the sum, which halves within each half-life.
func (s *decayingSum) read(now, halfLife Millis) float64 {
	s.value *= math.Exp2(-float64((now - s.updatedAt) / halfLife))
	s.updatedAt = now
	return s.value
}

func (s *decayingSum) add(now, halfLife Millis, x float64) { s.value = s.read(now, halfLife) + x }

// orderedMap is a map that iterates in the order of its keys, so that the same events give the same orders.
type orderedMap[K cmp.Ordered, V any] struct {
	keys   []K
	values map[K]V
}

func (m *orderedMap[K, V]) get(k K) V { return m.values[k] }

func (m *orderedMap[K, V]) has(k K) bool { _, ok := m.values[k]; return ok }

func (m *orderedMap[K, V]) set(k K, v V) {
	if m.values == nil {
		m.values = map[K]V{}
	}
	if at, found := slices.BinarySearch(m.keys, k); !found {
		m.keys = slices.Insert(m.keys, at, k)
	}
	m.values[k] = v
}

// delete leaves the key in place until half of the keys are stale, so that deleting the proxies of a fleet one by one
// takes linear and not quadratic time.
func (m *orderedMap[K, V]) delete(k K) {
	if delete(m.values, k); len(m.keys) > 2*len(m.values)+16 {
		m.sortedKeys()
	}
}

// sortedKeys returns the keys in use. It stays valid until the next change.
func (m *orderedMap[K, V]) sortedKeys() []K {
	if len(m.keys) > len(m.values) {
		m.keys = slices.DeleteFunc(m.keys, func(k K) bool { return !m.has(k) })
	}
	return m.keys
}

func (m *orderedMap[K, V]) len() int { return len(m.values) }

// all iterates over the keys of the start and skips those that are deleted meanwhile.
func (m *orderedMap[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Clone(m.keys) {
			if v, ok := m.values[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}

// trackSince keeps the time since which a condition has held without a break, 0 if it does not hold.
func trackSince(from *Millis, holds bool, now Millis) {
	if !holds {
		*from = 0
	} else if *from == 0 {
		*from = now
	}
}

// lines is the content of a table, or the shares of a slice by host.
type lines []line

func (ls lines) total() (w float64) {
	for _, l := range ls {
		w += l.weight
	}
	return w
}

func (ls lines) contains(id HostID) bool {
	return slices.ContainsFunc(ls, func(l line) bool { return l.host == id })
}

// weightOf returns the weight of a host, 0 if no line names it.
func (ls lines) weightOf(id HostID) float64 {
	for _, l := range ls {
		if l.host == id {
			return l.weight
		}
	}
	return 0
}

func (ls lines) heaviest() (h line) {
	for _, l := range ls {
		if l.weight > h.weight {
			h = l
		}
	}
	return h
}

// add adds weight to the line of a host, which it appends if there is none.
func (ls lines) add(id HostID, weight float64) lines {
	for i := range ls {
		if ls[i].host == id {
			ls[i].weight += weight
			return ls
		}
	}
	return append(ls, line{id, weight})
}

// sortByHost sorts the lines in place and returns them.
func (ls lines) sortByHost() lines {
	slices.SortFunc(ls, func(a, b line) int { return cmp.Compare(a.host, b.host) })
	return ls
}

// bit returns the set of one route if on is set, else the empty set. With at 0 the result is the number 1 or 0, which
// serves to count conditions.
func bit(on bool, at int) RouteSet {
	if on {
		return 1 << at
	}
	return 0
}

// rate returns the sum as a rate a second. It corrects for the sum having begun at from, too short a time ago beside
// the half-life for the sum to be complete.
func (s *decayingSum) rate(now, halfLife, from Millis) float64 {
	full := float64(halfLife) / math.Ln2
	return 1000 * s.read(now, halfLife) / (full * (1 - math.Exp(-max(float64(now-from), 500)/full)))
}

// normalized returns a copy whose weights add up to 1.
func (ls lines) normalized() lines {
	out, total := slices.Clone(ls), ls.total()
	for i := range out {
		out[i].weight /= total
	}
	return out
}

// median returns the median of the values, which it sorts, or 0 if there are none.
func median(values []float64) float64 {
	if slices.Sort(values); len(values) == 0 {
		return 0
	}
	return values[len(values)/2]
}
