package logic

import (
	"cmp"
	"slices"
)

// Masks: one line to each proxy keeps it from a host in all tables. The functions here choose the hosts to mask and
// determine what a table still offers.

// isMaskOutdated reports whether a host's mask at the proxies differs from what it should be, or is unknown.
func (p *publisher) isMaskOutdated(id HostID) bool {
	if p.inherited.hosts.has(id) {
		return true
	}
	return p.availability.has(id) && (!p.masked.has(id) || p.masked.get(id) == (p.availability.get(id) == available))
}

// hostsToMask returns the hosts of an availability whose mask is outdated, if they are in current tables of this
// director or may be in those of others.
func (p *publisher) hostsToMask(state availability) (ids []HostID) {
	for id, want := range p.availability.all() {
		if want == available && !p.masked.has(id) && p.isHeldBack(id) {
			want = excluded // proxies that just joined may lack the mask that keeps it from too many calls
		}
		if want != state || !p.isMaskOutdated(id) || state == available && p.isHeldBack(id) {
			continue
		}
		if state == excludedByRule && p.mayBeInForeignTables(id) || p.isInOwnTable(id) {
			ids = append(ids, id)
		}
	}
	// Masks whose state changed recently go first. Most proxies that join already hold those that are written again.
	slices.SortStableFunc(ids, func(a, b HostID) int { return cmp.Compare(p.changedAt.get(b), p.changedAt.get(a)) })
	return ids
}

// isInOwnTable reports whether a current table of this director names a host.
func (p *publisher) isInOwnTable(id HostID) bool {
	for _, table := range p.current.all() {
		if table.contains(id) {
			return true
		}
	}
	return false
}

// isHeldBack reports whether a current table would offer a host more than is wanted if its mask were lifted now, and no
// table depends on that host.
func (p *publisher) isHeldBack(id HostID) bool {
	return !p.isOnlyConfirmedHost(id) && p.exceedsWanted(id)
}

// exceedsWanted reports whether a current table would offer a host more than is wanted if its mask were lifted now.
func (p *publisher) exceedsWanted(id HostID) bool {
	for t, table := range p.current.all() {
		if p.pending.has(t) && table.weightOf(id) > p.pending.get(t).lines.weightOf(id) {
			return true
		}
	}
	return false
}

// hasConfirmedHost reports whether a table has another host to offer that is known to be unmasked at every proxy.
func (p *publisher) hasConfirmedHost(t TableID, except HostID) bool {
	return slices.ContainsFunc(p.current.get(t), func(l line) bool {
		return l.host != except && p.availability.get(l.host) == available && !p.isMaskOutdated(l.host) &&
			!p.masked.get(l.host)
	})
}

// isOnlyHost reports whether some table has no other host to offer.
func (p *publisher) isOnlyHost(id HostID) bool {
	for t, table := range p.current.all() {
		if table.contains(id) && p.isExhausted(t, id) {
			return true
		}
	}
	return false
}

// isDispensable reports whether every table has another host to offer. A host judged unfit is not excluded from a table
// that has none: the few calls that it still answers are better than none, and a table without any host breaks a rule.
func (p *publisher) isDispensable(id HostID) bool { return !p.isOnlyHost(id) }

// isOnlyConfirmedHost reports whether some table that names a host has no other host that all proxies are known to use.
// The host's own mask may still have to be lifted, or to be written again.
func (p *publisher) isOnlyConfirmedHost(id HostID) bool {
	for t, table := range p.current.all() {
		if table.contains(id) && !p.hasConfirmedHost(t, id) {
			return true
		}
	}
	return false
}

// isExhausted reports whether a table has no host to offer once all unavailable hosts, and one more, are masked.
func (p *publisher) isExhausted(t TableID, except HostID) bool {
	return !slices.ContainsFunc(p.current.get(t), func(l line) bool {
		return l.host != except && p.availability.get(l.host) == available && !p.masked.get(l.host)
	})
}

func (p *publisher) setAvailability(n availabilityChange) {
	if p.params.singleOwner {
		return // there a table has no other host
	}
	if !p.availability.has(n.host) && !p.masked.has(n.host) && !p.inherited.hosts.has(n.host) {
		p.masked.set(n.host, false)
	}
	p.inherited.hosts.delete(n.host) // its mask stays unknown, but is written like any other from now on
	if n.availability == resting && p.isOnlyHost(n.host) {
		n.availability = available
	}
	p.availability.set(n.host, n.availability)
	p.changedAt.set(n.host, p.now)
}

// inheritMask takes over a mask of an earlier start, to be lifted like one of this start. If its host were taken for
// unmasked, it could be the only line of a table left once the other host is masked, and the table would be exhausted
// unnoticed.
func (p *publisher) inheritMask(n InheritedMask) {
	if !p.params.singleOwner {
		p.availability.set(n.Host, available)
		p.masked.set(n.Host, true)
	}
}
