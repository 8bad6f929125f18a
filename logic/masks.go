package logic

import (
	"cmp"
	"slices"
)

// Masks: which hosts proxies are kept from by one line each, and what a table still offers then.

// stale says whether a host's mask is not known to be as it should be.
func (p *publisher) stale(id HostID) bool {
	return p.doors.has(id) && (!p.masked.has(id) || p.masked.get(id) == (p.doors.get(id) == opened))
}

// ajar are the hosts in standing tables, ours or perhaps those of other directors, whose mask is not yet as it
// should be.
func (p *publisher) ajar(open opening) (ids []HostID) {
	for id, want := range p.doors.all() {
		if want == opened && !p.masked.has(id) && p.held(id) {
			want = closed // proxies that just joined may not hold the mask that keeps it from too much
		}
		if want != open || !p.stale(id) || open == opened && p.held(id) {
			continue
		}
		if open == bound && p.elsewhere(id) || p.offered(id) {
			ids = append(ids, id)
		}
	}
	// What is told anew to proxies that join is mostly held by them already; what has just changed is not.
	slices.SortStableFunc(ids, func(a, b HostID) int { return cmp.Compare(p.turned.get(b), p.turned.get(a)) })
	return ids
}

// offered says whether a standing table of ours names a host.
func (p *publisher) offered(id HostID) bool {
	for _, table := range p.stands.all() {
		if table.contains(id) {
			return true
		}
	}
	return false
}

// held says whether a standing table would offer a host more than is wanted, were its mask lifted now, and
// none has only that host to offer.
func (p *publisher) held(id HostID) bool { return !p.awaited(id) && p.over(id) }

// over says whether a standing table would offer a host more than is wanted, were its mask lifted now.
func (p *publisher) over(id HostID) bool {
	for t, table := range p.stands.all() {
		if p.wants.has(t) && table.weightOf(id) > p.wants.get(t).lines.weightOf(id) {
			return true
		}
	}
	return false
}

// sure says whether a table surely has another host to offer: one whose mask is known to be off at every proxy.
func (p *publisher) sure(t TableID, but HostID) bool {
	return slices.ContainsFunc(p.stands.get(t), func(l line) bool {
		return l.host != but && p.doors.get(l.host) == opened && !p.stale(l.host) && !p.masked.get(l.host)
	})
}

// needed says whether a table has no other host to offer.
func (p *publisher) needed(id HostID) bool {
	for t, table := range p.stands.all() {
		if table.contains(id) && p.bare(t, id) {
			return true
		}
	}
	return false
}

// dispensable says whether every table has another host to offer. A host judged unfit is not shut out of one that has
// none: whatever it still answers is more than nothing, and a table with nothing to offer breaks a rule.
func (p *publisher) dispensable(id HostID) bool { return !p.needed(id) }

// awaited says whether a table has no host to offer of which all proxies are sure to know that it is in, but for one
// whose mask is yet to be lifted, or told anew.
func (p *publisher) awaited(id HostID) bool {
	for t, table := range p.stands.all() {
		if table.contains(id) && !p.sure(t, id) {
			return true
		}
	}
	return false
}

// bare says whether a table has nothing to offer once all hosts are out that should be, and one more.
func (p *publisher) bare(t TableID, but HostID) bool {
	return !slices.ContainsFunc(p.stands.get(t), func(l line) bool {
		return l.host != but && p.doors.get(l.host) == opened && !p.masked.get(l.host)
	})
}

func (p *publisher) move(n door) {
	if p.params.oneOwner {
		return // there a table holds nothing else
	}
	if !p.doors.has(n.host) && !p.masked.has(n.host) {
		p.masked.set(n.host, false)
	}
	if n.open == rested && p.needed(n.host) {
		n.open = opened
	}
	p.doors.set(n.host, n.open)
	p.turned.set(n.host, p.now)
}

// inherit takes over a mask of an earlier start, to be lifted like our own. Taken for open, its host would be
// the only line of a table once the other is masked, and the table bare with nobody knowing.
func (p *publisher) inherit(n InheritedMask) {
	if !p.params.oneOwner {
		p.doors.set(n.Host, opened)
		p.masked.set(n.Host, true)
	}
}
