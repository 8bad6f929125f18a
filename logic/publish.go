package logic

import (
	"cmp"
	"math"
	"slices"
)

// Publishing: what the proxies hold, what they are to hold, and what the channel has room for.

func (p *publisher) levelsChanged() bool {
	return p.proxies.len() > 0 && p.levels.level != nil &&
		!(slices.Equal(p.levels.level, p.writtenLevels.level) && slices.Equal(p.levels.retryModes, p.writtenLevels.retryModes))
}

// isTightening reports whether a level is to fall markedly: until it is written, the excess calls queue at the hosts.
func (p *publisher) isTightening() bool {
	for r, level := range p.levels.level {
		if p.writtenLevels.level != nil && level <= p.writtenLevels.level[r]*(1-urgentLevelDrop) {
			return true
		}
	}
	return false
}

// pendingTables returns the pending tables that are exhausted now, or the others, in descending order of key.
func (p *publisher) pendingTables(exhausted bool, key func(wantedTable) float64) (order []wantedTable) {
	for t, w := range p.pending.all() {
		if p.isExhausted(t, 0) == exhausted {
			order = append(order, w)
		}
	}
	slices.SortStableFunc(order, func(a, b wantedTable) int { return cmp.Compare(key(b), key(a)) })
	return order
}

func (p *publisher) addTable(n storedTable) {
	p.current.set(n.table, n.lines)
	if p.params.singleOwner {
		p.writesStoppedUntil.set(n.table, 0) // the former owner may have moved the slice in its last moments
	}
}

func (p *publisher) addProxy(n ProxyJoined) {
	isNew := !p.proxies.has(n.Proxy) && !p.missedSince.has(n.Proxy)
	from := p.takeMissedSince(n)
	for id, state := range p.availability.all() {
		// It missed what was written while it was away, masks and their removal alike. A proxy that holds nothing has
		// no masks.
		if n.Fresh && (state != available || p.masked.get(id)) || !n.Fresh && p.maskedAt.get(id) >= from {
			p.masked.delete(id)
		}
	}
	p.writtenLevels = admissionLevels{} // it may hold outdated levels
	s := &joinedProxy{zone: n.Zone, joinedAt: p.now}
	known := p.proxies.get(n.Proxy)
	switch {
	case n.Fresh:
	case isNew:
		p.suspectInheritedMasks()
	case known != nil:
		p.resuspectMasks(p.oldestUnacknowledged(n.Proxy))
	default:
		p.resuspectMasks(from)
	}
	if known != nil {
		// It may have left and come back unnoticed, or have been there all along: what is in the channel for it stays
		// counted until it acknowledges something later. Counted as gone, everything written before the gap was
		// forgotten, and as much again was written on top of it.
		s.wantedTable = known.wantedTable
		p.extendWriteStops()
	} else {
		p.countUnwritten(n.Proxy)
	}
	p.proxies.set(n.Proxy, s)
}

// takeMissedSince returns the time since when a proxy that joins may have missed what was written: minus infinity where
// it was not seen to leave. A proxy that loses its stream keeps its tables: where dozens rejoin each second, writing
// all masks again for each of them filled the channel.
func (p *publisher) takeMissedSince(n ProxyJoined) Millis {
	from := Millis(math.Inf(-1))
	if p.missedSince.has(n.Proxy) && !p.proxies.has(n.Proxy) {
		from = p.missedSince.get(n.Proxy)
	}
	p.missedSince.delete(n.Proxy)
	p.leftAt.delete(n.Proxy)
	return from
}

// removeProxy handles a proxy that left: what it did not acknowledge may not have reached it.
func (p *publisher) removeProxy(n ProxyLeft) {
	p.missedSince.set(n.Proxy, p.oldestUnacknowledged(n.Proxy))
	for _, f := range p.inFlight {
		f.unacknowledged.delete(n.Proxy)
	}
	p.leftAt.set(n.Proxy, p.now)
	p.proxies.delete(n.Proxy)
	p.extendWriteStops()
}

// oldestUnacknowledged returns when the oldest message was written that a proxy has not acknowledged, or the present
// time if there is none.
func (p *publisher) oldestUnacknowledged(n ProxyID) Millis {
	oldest := p.now
	for _, f := range p.inFlight {
		if f.unacknowledged.has(n) {
			oldest = min(oldest, f.writtenAt)
		}
	}
	return oldest
}

// setMask records a mask as written.
func (p *publisher) setMask(id HostID, on bool) {
	p.inherited.hosts.delete(id)
	p.masked.set(id, on)
	p.maskedAt.set(id, p.now)
}

// isDue reports whether to write now. Ordinary changes are batched, and leave a part of the messages that a proxy may
// get to urgent changes. Critical ones and masks that the rules require may use all of them.
func (p *publisher) isDue() bool {
	bindingDue, writeStopDue, critical, urgent := false, false, false, false
	for _, s := range p.proxies.all() {
		bindingDue = bindingDue || !p.params.sliced && (!s.bound || s.wantedTable != s.table)
		critical = critical || !p.params.sliced && !s.bound
	}
	for _, until := range p.writesStoppedUntil.all() {
		writeStopDue = writeStopDue || p.now >= until
	}
	for t, w := range p.pending.all() {
		urgent, critical = urgent || w.urgent, critical || p.isExhausted(t, 0)
	}
	ruleMasks, exclusions := len(p.hostsToMask(excludedByRule)) > 0,
		slices.ContainsFunc(p.hostsToMask(excluded), p.isDispensable)
	critical = critical || exclusions || slices.ContainsFunc(p.hostsToMask(available), p.isOnlyConfirmedHost) ||
		p.dependsOnInheritedMask() ||
		p.isTightening() ||
		p.levelsChanged() && p.writtenLevels.level == nil && slices.Min(p.levels.level) < 1
	trackSince(&p.urgentSince, critical || ruleMasks || urgent, p.now)
	trackSince(&p.pendingSince, p.pending.len() > 0 || bindingDue || writeStopDue || p.levelsChanged() ||
		len(p.hostsToMask(available)) > 0 || len(p.hostsToMask(resting)) > 0 || len(p.inheritedToLift()) > 0, p.now)
	p.sentAt = slices.DeleteFunc(p.sentAt, func(t Millis) bool { return p.now-t > p.params.messageWindow+batchDelay })
	// Each message has an overhead for each proxy: messages that carry little would fill the channel of a large fleet.
	overheadTime := p.overheadInterval()
	last, most, gap := p.lastSentAt(), math.Inf(1), max(batchDelay, overheadTime)
	if p.params.messageLimit > 0 {
		most = float64(p.params.messageLimit)
		gap = max(gap, p.params.messageWindow/Millis(most*ordinaryBudget))
	}
	written, interval := float64(len(p.sentAt)), p.params.urgentInterval
	if !ruleMasks {
		interval = max(interval, overheadTime/2)
	}
	if !ruleMasks && !critical {
		interval, most = max(interval, overheadTime), most*urgentBudget // the last messages are for critical changes
	}
	if p.urgentSince > 0 && written < most && p.now-max(last, p.urgentSince-interval) >= interval &&
		(ruleMasks || !p.params.sliced || p.isWorthSending(urgentBudget, p.pendingLines(true))) {
		return true
	}
	return p.pendingSince > 0 && p.now-p.pendingSince >= batchDelay && p.now-last >= gap && written < most*ordinaryBudget &&
		(!p.params.sliced || p.isWorthSending(p.ordinaryShare(), p.pendingLines(false)+p.inheritedLines()))
}

// writePending writes as much of the pending changes as the channel has room for, removals of hosts first. What one
// reply orders is one message to a proxy, so the new lines of a table arrive together with the removal of old ones.
func (p *publisher) writePending() {
	start := len(p.orders)
	d := p.newDraft()
	// A mask removes a host from all tables by one line to each proxy, with new lines where it would leave a table
	// exhausted. In a large fleet, the lines that move the host's slices would fill the channel for longer than a
	// drain's grace period, so they follow later. A mask that keeps a host from more calls than wanted is not lifted
	// for a table that can be helped by new lines.
	none := func(HostID) bool { return false }
	d.writeMasks(excludedByRule, none)
	d.writeExhaustedTables()
	d.liftInheritedMasks(urgentBudget, p.isOnlyHost)
	d.writeMasks(available, p.exceedsWanted)
	// Levels are written before tables that can wait: outdated levels rejected calls for seconds.
	if p.levelsChanged() && d.message.reserve(urgentBudget, float64(len(p.params.retryModes)), everyProxy) {
		p.writeLevels()
	}
	d.writeMasks(available, none)
	d.writeMasks(excluded, func(id HostID) bool { return !p.isDispensable(id) })
	d.writeMasks(resting, none)
	ordinary := p.ordinaryShare()
	d.liftInheritedMasks(ordinary, func(id HostID) bool { return !p.exceedsWanted(id) && p.isOnlyConfirmedHost(id) })
	d.liftInheritedMasks(ordinary, p.isOnlyConfirmedHost)
	d.writeOverdueTables()
	d.writeTables()
	d.liftInheritedMasks(ordinary*optionalLiftShare, func(HostID) bool { return true })
	p.updateWriteStops(func(t TableID) bool { return d.message.reserve(unslicedBudget, 1, d.usersOf(t)) })
	d.bindProxies()
	if p.pendingSince = 0; len(p.orders) > start && d.message.unacknowledged.len() > 0 {
		p.send(d.message)
	}
}

// send ends a message with its stamp and records it as in flight.
func (p *publisher) send(f *channelMessage) {
	p.serial = (p.serial + 1) % 65536
	f.serial = p.serial
	p.emit(Stamp{p.serial, false})
	p.clearAt = max(p.clearAt, p.now) + Millis(f.addOverhead()/p.params.linesPerMilli)
	f.clearAt, f.writtenAt = p.clearAt, p.now
	for _, n := range f.unacknowledged.all() {
		f.linesEach = max(f.linesEach, n)
	}
	p.inFlight = append(p.inFlight, f)
	p.sentAt = append(p.sentAt, p.now)
}

// writeLevels orders the levels and retry modes that differ from the written ones.
func (p *publisher) writeLevels() {
	for i, level := range p.levels.level {
		if p.writtenLevels.level == nil || level != p.writtenLevels.level[i] ||
			p.levels.retryModes[i] != p.writtenLevels.retryModes[i] {
			p.emit(Throttle{AllTables, 1 << i, level, p.levels.retryModes[i]})
		}
	}
	p.writtenLevels, p.levelsWrittenAt = p.levels, p.now
}

// tableOrders returns the orders that change a table, new lines before removals, so that it is never exhausted. The
// writes of a single owner are stopped by the same message that moves the slice.
func (p *publisher) tableOrders(t TableID, table lines) (out []Order) {
	current := p.current.get(t)
	if p.params.singleOwner {
		out = append(out, Throttle{t, p.params.writeRoutes, 0, 1})
	}
	for _, l := range table {
		if !slices.Contains(current, l) {
			out = append(out, SetLine{t, l.host, l.weight})
		}
		if p.isMaskOutdated(l.host) && p.availability.get(l.host) == available && !p.exceedsWanted(l.host) {
			out = append(out, Mask{l.host, false})
		}
	}
	for _, l := range current {
		if !p.params.singleOwner && !table.contains(l.host) {
			out = append(out, SetLine{t, l.host, 0})
		}
	}
	return out
}

// updateWriteStops stops the writes of slices whose former owner may still have some in progress, and admits them again
// once no message is in flight and none of those writes can be left.
func (p *publisher) updateWriteStops(charge func(TableID) bool) {
	p.queuedLines() // drops the messages that all proxies have acknowledged
	for t, until := range p.writesStoppedUntil.all() {
		if until == 0 && charge(t) {
			p.emit(Throttle{t, p.params.writeRoutes, 0, 1})
			p.writesStoppedUntil.set(t, p.now+p.params.settleTime)
		} else if until > 0 && p.now >= until && len(p.inFlight) == 0 && charge(t) {
			p.emit(Throttle{t, p.params.writeRoutes, 1, 1})
			p.writesStoppedUntil.delete(t)
		}
	}
}
