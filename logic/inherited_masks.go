package logic

import "slices"

// Inherited masks: a director that starts over does not know which hosts its former process masked, while proxies go
// on with all that they hold. A host that may be masked so is not counted on, and the mask is lifted: at once where a
// table has no other host to offer, soon where it has none that is known to be unmasked, else when the channel has room.

// optionalLiftShare is the part of the room for ordinary tables up to which masks are lifted that no table waits for.
const optionalLiftShare = 0.5

// inheritedMasks are the masks that proxies may hold by orders of an earlier start.
type inheritedMasks struct {
	possible bool                     // a proxy has joined that may hold any
	hosts    orderedMap[HostID, bool] // hosts that may be masked, and whose mask this start has not written yet
}

// suspectInheritedMasks is called for a proxy that this start has not met before and that holds something: it may mask
// any host, and has missed what this start has written. Proxies of sites without slices observe the masks of the start
// that they are bound by.
func (p *publisher) suspectInheritedMasks() {
	if !p.params.sliced || p.params.singleOwner || p.params.masksRecorded {
		return
	}
	p.inherited.possible = true
	for id := range p.placer.hosts.all() {
		p.suspectMask(id)
	}
}

// suspectMask takes the mask of a host for unknown, unless it is known as one that is written again anyway.
func (p *publisher) suspectMask(id HostID) {
	if !p.availability.has(id) {
		p.masked.delete(id)
		p.inherited.hosts.set(id, true)
	}
}

// resuspectMasks takes the masks for unknown that were lifted at a time or later, since a proxy may have missed that.
func (p *publisher) resuspectMasks(from Millis) {
	if !p.inherited.possible {
		return
	}
	for id, on := range p.masked.all() {
		if !on && p.maskedAt.get(id) >= from {
			p.suspectMask(id)
		}
	}
}

// addHost handles a host that was not known before, or was forgotten: proxies may still mask it.
func (p *publisher) addHost(id HostID) {
	if p.masked.get(id) {
		p.setAvailability(availabilityChange{id, available})
	} else if p.inherited.possible && !p.masked.has(id) {
		p.suspectMask(id)
	}
}

// forgetHost deletes what is known of a host that is gone. A mask that proxies hold, or may hold, stays recorded.
func (p *publisher) forgetHost(id HostID) {
	mayBeMasked := p.masked.get(id) || p.availability.has(id) && !p.masked.has(id)
	p.availability.delete(id)
	p.changedAt.delete(id)
	p.inherited.hosts.delete(id)
	if mayBeMasked {
		p.masked.set(id, true)
		return
	}
	p.masked.delete(id)
	p.maskedAt.delete(id)
}

// inheritedToLift returns the hosts in current tables whose inherited mask is to be lifted, if they have one.
func (p *publisher) inheritedToLift() (ids []HostID) {
	if p.inherited.hosts.len() == 0 {
		return nil
	}
	named := p.namedHosts()
	for id := range p.inherited.hosts.all() {
		if named[id] && !p.isHeldBack(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// inheritedLines returns the lines that lift all inherited masks at all proxies.
func (p *publisher) inheritedLines() float64 {
	return float64(len(p.inheritedToLift()) * p.proxies.len())
}

// dependsOnInheritedMask reports whether a table has no host to offer but one that proxies may mask.
func (p *publisher) dependsOnInheritedMask() bool {
	return slices.ContainsFunc(p.inheritedToLift(), p.isOnlyHost)
}

// liftInheritedMasks lifts the inherited masks of the hosts that are due, if the given part of the queue has room.
func (d *draft) liftInheritedMasks(part float64, due func(HostID) bool) {
	for _, id := range d.inheritedToLift() {
		if due(id) && d.message.reserve(part, 1, everyProxy) {
			d.emit(Mask{id, false})
			d.setMask(id, false)
		}
	}
}
