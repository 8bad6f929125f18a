package logic

import (
	"cmp"
	"math"
	"slices"
)

// Publishing: what stands at the proxies, what is wanted there, and what the channel has room for.

func (p *publisher) levelsChanged() bool {
	return p.proxies.len() > 0 && p.levels.level != nil &&
		!(slices.Equal(p.levels.level, p.writtenLevels.level) && slices.Equal(p.levels.tries, p.writtenLevels.tries))
}

// tightens says whether clearly less is to be let in than is: what comes meanwhile waits at the hosts.
func (p *publisher) isTightening() bool {
	for r, level := range p.levels.level {
		if p.writtenLevels.level != nil && level <= p.writtenLevels.level[r]*(1-urgentLevelDrop) {
			return true
		}
	}
	return false
}

// wantedBy are the wanted tables that are bare now, or the others, in an order.
func (p *publisher) pendingTables(bare bool, most func(wantedTable) float64) (order []wantedTable) {
	for t, w := range p.pending.all() {
		if p.isExhausted(t, 0) == bare {
			order = append(order, w)
		}
	}
	slices.SortStableFunc(order, func(a, b wantedTable) int { return cmp.Compare(most(b), most(a)) })
	return order
}

func (p *publisher) addTable(n storedTable) {
	p.current.put(n.table, n.lines)
	if p.rules.singleOwner {
		p.writesStoppedUntil.put(n.table, 0) // whoever had the slice may have moved it in its last moments
	}
}

func (p *publisher) addProxy(n Joined) {
	from := p.takeMissedSince(n)
	for id, open := range p.availability.all() {
		// It has missed what was written while it was away, in either direction. One that holds nothing has no mask.
		if n.Fresh && (open != available || p.masked.get(id)) || !n.Fresh && p.maskedAt.get(id) >= from {
			p.masked.drop(id)
		}
	}
	p.writtenLevels = admissionLevels{} // it may hold the levels of an earlier time
	s := &joinedProxy{zone: n.Zone}
	if known := p.proxies.get(n.Proxy); known != nil {
		// It may have left and come back while we heard nothing, or have been there all along: what waits in the
		// channel for it stays counted until it owns up to something later. Counted as gone, all that had been
		// written before the gap was forgotten, and as much again went on top of it.
		s.wantedTable = known.wantedTable
		p.extendWriteStops()
	}
	p.proxies.put(n.Proxy, s)
}

// missedFrom is from when on a proxy that joins may have missed what was written; always, where it was not seen to
// leave. A proxy that loses its stream keeps what it holds: where dozens come back each second, telling all of them
// all masks anew filled the channel.
func (p *publisher) takeMissedSince(n Joined) Millis {
	from := Millis(math.Inf(-1))
	if p.missedSince.has(n.Proxy) && !p.proxies.has(n.Proxy) {
		from = p.missedSince.get(n.Proxy)
	}
	p.missedSince.drop(n.Proxy)
	p.leftAt.drop(n.Proxy)
	return from
}

// leave notes that a proxy has left: what it did not acknowledge may not have reached it.
func (p *publisher) removeProxy(n Left) {
	from := p.now
	for _, f := range p.inFlight {
		if f.unacknowledged.has(n.Proxy) {
			from = min(from, f.writtenAt)
		}
		f.unacknowledged.drop(n.Proxy)
	}
	p.missedSince.put(n.Proxy, from)
	p.leftAt.put(n.Proxy, p.now)
	p.proxies.drop(n.Proxy)
	p.extendWriteStops()
}

// setMask notes a mask that is written.
func (p *publisher) setMask(id HostID, out bool) {
	p.masked.put(id, out)
	p.maskedAt.put(id, p.now)
}

// due says whether to write now. Ordinary changes gather, and leave a part of a proxy's messages to removals.
func (p *publisher) isDue() bool {
	rebind, reopen, pressed, urgent := false, false, false, false
	for _, s := range p.proxies.all() {
		rebind = rebind || !p.rules.sliced && (!s.bound || s.wantedTable != s.table)
		pressed = pressed || !p.rules.sliced && !s.bound
	}
	for _, until := range p.writesStoppedUntil.all() {
		reopen = reopen || p.now >= until
	}
	for t, w := range p.pending.all() {
		urgent, pressed = urgent || w.urgent, pressed || p.isExhausted(t, 0)
	}
	masks, shuts := len(p.hostsToMask(excludedByRule)) > 0, slices.ContainsFunc(p.hostsToMask(excluded), p.isDispensable)
	pressed = pressed || shuts || slices.ContainsFunc(p.hostsToMask(available), p.isOnlyConfirmedHost) || p.isTightening() ||
		p.levelsChanged() && p.writtenLevels.level == nil && slices.Min(p.levels.level) < 1
	since(&p.urgentSince, pressed || masks || urgent, p.now)
	since(&p.pendingSince, p.pending.len() > 0 || rebind || reopen || p.levelsChanged() ||
		len(p.hostsToMask(available)) > 0 || len(p.hostsToMask(resting)) > 0, p.now)
	p.sentAt = slices.DeleteFunc(p.sentAt, func(t Millis) bool { return p.now-t > p.rules.messageSpan+gather })
	// Heads are paid for each proxy: a message that carries little would fill the channel of a large fleet.
	heads := p.overheadInterval()
	last, most, gap := p.lastSentAt(), math.Inf(1), max(gather, heads)
	if p.rules.messageLimit > 0 {
		most = float64(p.rules.messageLimit)
		gap = max(gap, p.rules.messageSpan/Millis(most*ordinaryPart))
	}
	written, hurry := float64(len(p.sentAt)), p.rules.urgentInterval
	if !masks {
		hurry = max(hurry, heads/2)
	}
	if !masks && !pressed {
		hurry, most = max(hurry, heads), most*urgentPart // the last messages are for what the rules ask
	}
	if p.urgentSince > 0 && written < most && p.now-max(last, p.urgentSince-hurry) >= hurry &&
		(masks || !p.rules.sliced || p.isWorthSending(urgentPart, p.pendingLines(true))) {
		return true
	}
	return p.pendingSince > 0 && p.now-p.pendingSince >= gather && p.now-last >= gap && written < most*ordinaryPart &&
		(!p.rules.sliced || p.isWorthSending(p.ordinaryShare(), p.pendingLines(false)))
}

// flush writes as much of what is wanted as the channel has room for, removals first. What a reply orders is
// one message a proxy, so a table's new lines and those that go arrive together.
func (p *publisher) writePending() {
	start := len(p.out)
	d := p.newDraft()
	// A host goes out of all tables by one line a proxy, with new lines where it would leave a table bare; at
	// size those that move its slices would fill the channel for longer than a drain's grace. They follow.
	// A mask that holds a host from more than it should get is not lifted for one table that new lines can help.
	none := func(HostID) bool { return false }
	d.writeMasks(excludedByRule, none)
	d.writeExhaustedTables()
	d.writeMasks(available, p.exceedsWanted)
	// Levels go before tables that can wait: calls were refused for seconds by levels that were no longer wanted.
	if p.levelsChanged() && d.message.reserve(urgentPart, float64(len(p.rules.retries)), everyProxy) {
		p.writeLevels()
	}
	d.writeMasks(available, none)
	d.writeMasks(excluded, func(id HostID) bool { return !p.isDispensable(id) })
	d.writeMasks(resting, none)
	d.writeOverdueTables()
	d.writeTables()
	p.updateWriteStops(func(t TableID) bool { return d.message.reserve(barePart, 1, d.usersOf(t)) })
	d.bindProxies()
	if p.pendingSince = 0; len(p.out) > start && d.message.unacknowledged.len() > 0 {
		p.send(d.message)
	}
}

// send ends a message with its stamp and notes it as on its way.
func (p *publisher) send(f *channelMessage) {
	p.serial = (p.serial + 1) % 65536
	f.serial = p.serial
	p.order(Stamp{p.serial, false})
	p.clearAt = max(p.clearAt, p.now) + Millis(f.addOverhead()/p.rules.linesPerMilli)
	f.clearAt, f.writtenAt = p.clearAt, p.now
	p.inFlight = append(p.inFlight, f)
	p.sentAt = append(p.sentAt, p.now)
}

// writeLevels orders the levels and further tries that are not as wanted.
func (p *publisher) writeLevels() {
	for i, level := range p.levels.level {
		if p.writtenLevels.level == nil || level != p.writtenLevels.level[i] || p.levels.tries[i] != p.writtenLevels.tries[i] {
			p.order(Throttle{EveryTable, 1 << i, level, p.levels.tries[i]})
		}
	}
	p.writtenLevels, p.levelsWrittenAt = p.levels, p.now
}

// changes are what must be written of a table, new lines before those that go, so that it is never bare.
// A single owner's writes stop with the message that moves it.
func (p *publisher) tableOrders(t TableID, table lines) (out []Order) {
	stands := p.current.get(t)
	if p.rules.singleOwner {
		out = append(out, Throttle{t, p.rules.writeRoutes, 0, 1})
	}
	for _, l := range table {
		if !slices.Contains(stands, l) {
			out = append(out, SetLine{t, l.host, l.weight})
		}
		if p.isMaskOutdated(l.host) && p.availability.get(l.host) == available && !p.exceedsWanted(l.host) {
			out = append(out, Mask{l.host, false})
		}
	}
	for _, l := range stands {
		if !p.rules.singleOwner && !table.holds(l.host) {
			out = append(out, SetLine{t, l.host, 0})
		}
	}
	return out
}

// owners stops the writes of slices whose last owner may still hold some, and lets them in again once no
// message is on its way and none can be left.
func (p *publisher) updateWriteStops(charge func(TableID) bool) {
	p.queuedLines() // forgets the messages that all have applied
	for t, until := range p.writesStoppedUntil.all() {
		if until == 0 && charge(t) {
			p.order(Throttle{t, p.rules.writeRoutes, 0, 1})
			p.writesStoppedUntil.put(t, p.now+p.rules.settleTime)
		} else if until > 0 && p.now >= until && len(p.inFlight) == 0 && charge(t) {
			p.order(Throttle{t, p.rules.writeRoutes, 1, 1})
			p.writesStoppedUntil.drop(t)
		}
	}
}
