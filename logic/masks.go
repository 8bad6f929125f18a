package logic

import (
	"cmp"
	"slices"
)

// Masks: which hosts proxies are kept from by one line each, and what a table still offers then.

// stale says whether a host's mask is not known to be as it should be.
func (p *publisher) isMaskOutdated(id HostID) bool {
	return p.availability.has(id) && (!p.masked.has(id) || p.masked.get(id) == (p.availability.get(id) == available))
}

// ajar are the hosts in standing tables, ours or perhaps those of other directors, whose mask is not yet as it
// should be.
func (p *publisher) hostsToMask(open availability) (ids []HostID) {
	for id, want := range p.availability.all() {
		if want == available && !p.masked.has(id) && p.isHeldBack(id) {
			want = excluded // proxies that just joined may not hold the mask that keeps it from too much
		}
		if want != open || !p.isMaskOutdated(id) || open == available && p.isHeldBack(id) {
			continue
		}
		if open == excludedByRule && p.mayBeInForeignTables(id) || p.isOffered(id) {
			ids = append(ids, id)
		}
	}
	// What is told anew to proxies that join is mostly held by them already; what has just changed is not.
	slices.SortStableFunc(ids, func(a, b HostID) int { return cmp.Compare(p.changedAt.get(b), p.changedAt.get(a)) })
	return ids
}

// offered says whether a standing table of ours names a host.
func (p *publisher) isOffered(id HostID) bool {
	for _, table := range p.current.all() {
		if table.holds(id) {
			return true
		}
	}
	return false
}

// held says whether a standing table would offer a host more than is wanted, were its mask lifted now, and
// none has only that host to offer.
func (p *publisher) isHeldBack(id HostID) bool {
	return !p.isOnlyConfirmedHost(id) && p.exceedsWanted(id)
}

// over says whether a standing table would offer a host more than is wanted, were its mask lifted now.
func (p *publisher) exceedsWanted(id HostID) bool {
	for t, table := range p.current.all() {
		if p.pending.has(t) && table.part(id) > p.pending.get(t).lines.part(id) {
			return true
		}
	}
	return false
}

// sure says whether a table surely has another host to offer: one whose mask is known to be off at every proxy.
func (p *publisher) hasConfirmedHost(t TableID, but HostID) bool {
	return slices.ContainsFunc(p.current.get(t), func(l line) bool {
		return l.host != but && p.availability.get(l.host) == available && !p.isMaskOutdated(l.host) && !p.masked.get(l.host)
	})
}

// needed says whether a table has no other host to offer.
func (p *publisher) isOnlyHost(id HostID) bool {
	for t, table := range p.current.all() {
		if table.holds(id) && p.isExhausted(t, id) {
			return true
		}
	}
	return false
}

// dispensable says whether every table has another host to offer. A host judged unfit is not shut out of one that has
// none: whatever it still answers is more than nothing, and a table with nothing to offer breaks a rule.
func (p *publisher) isDispensable(id HostID) bool { return !p.isOnlyHost(id) }

// awaited says whether a table has no host to offer of which all proxies are sure to know that it is in, but for one
// whose mask is yet to be lifted, or told anew.
func (p *publisher) isOnlyConfirmedHost(id HostID) bool {
	for t, table := range p.current.all() {
		if table.holds(id) && !p.hasConfirmedHost(t, id) {
			return true
		}
	}
	return false
}

// bare says whether a table has nothing to offer once all hosts are out that should be, and one more.
func (p *publisher) isExhausted(t TableID, but HostID) bool {
	return !slices.ContainsFunc(p.current.get(t), func(l line) bool {
		return l.host != but && p.availability.get(l.host) == available && !p.masked.get(l.host)
	})
}

func (p *publisher) setAvailability(n availabilityChange) {
	if p.rules.singleOwner {
		return // there a table holds nothing else
	}
	if !p.availability.has(n.host) && !p.masked.has(n.host) {
		p.masked.put(n.host, false)
	}
	if n.availability == resting && p.isOnlyHost(n.host) {
		n.availability = available
	}
	p.availability.put(n.host, n.availability)
	p.changedAt.put(n.host, p.now)
}

// inherit takes over a mask of an earlier start, to be lifted like our own. Taken for open, its host would be
// the only line of a table once the other is masked, and the table bare with nobody knowing.
func (p *publisher) inheritMask(n Masked) {
	if !p.rules.singleOwner {
		p.availability.put(n.Host, available)
		p.masked.put(n.Host, true)
	}
}
