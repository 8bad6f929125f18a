package logic

import (
	"cmp"
	"math"
	"slices"
)

// Publishing: what stands at the proxies, what is wanted there, and what the channel has room for.

func (p *publisher) relevels() bool {
	return p.streams.len() > 0 && p.levels.level != nil &&
		!(slices.Equal(p.levels.level, p.stood.level) && slices.Equal(p.levels.tries, p.stood.tries))
}

// tightens says whether clearly less is to be let in than is: what comes meanwhile waits at the hosts.
func (p *publisher) tightens() bool {
	for r, level := range p.levels.level {
		if p.stood.level != nil && level <= p.stood.level[r]*(1-clearlyLess) {
			return true
		}
	}
	return false
}

// wantedBy are the wanted tables that are bare now, or the others, in an order.
func (p *publisher) wantedBy(bare bool, most func(wanted) float64) (order []wanted) {
	for t, w := range p.wants.all() {
		if p.bare(t, 0) == bare {
			order = append(order, w)
		}
	}
	slices.SortStableFunc(order, func(a, b wanted) int { return cmp.Compare(most(b), most(a)) })
	return order
}

func (p *publisher) given(n storedTable) {
	p.stands.set(n.table, n.lines)
	if p.params.oneOwner {
		p.shut.set(n.table, 0) // whoever had the slice may have moved it in its last moments
	}
}

func (p *publisher) join(n ProxyJoined) {
	from := p.missedFrom(n)
	for id, open := range p.doors.all() {
		// It has missed what was written while it was away, in either direction. One that holds nothing has no mask.
		if n.Fresh && (open != opened || p.masked.get(id)) || !n.Fresh && p.maskedAt.get(id) >= from {
			p.masked.delete(id)
		}
	}
	p.stood = levelled{} // it may hold the levels of an earlier time
	s := &stream{zone: n.Zone}
	if known := p.streams.get(n.Proxy); known != nil {
		// It may have left and come back while we heard nothing, or have been there all along: what waits in the
		// channel for it stays counted until it owns up to something later. Counted as gone, all that had been
		// written before the gap was forgotten, and as much again went on top of it.
		s.wants = known.wants
		p.unsettle()
	}
	p.streams.set(n.Proxy, s)
}

// missedFrom is from when on a proxy that joins may have missed what was written; always, where it was not seen to
// leave. A proxy that loses its stream keeps what it holds: where dozens come back each second, telling all of them
// all masks anew filled the channel.
func (p *publisher) missedFrom(n ProxyJoined) Millis {
	from := Millis(math.Inf(-1))
	if p.away.has(n.Proxy) && !p.streams.has(n.Proxy) {
		from = p.away.get(n.Proxy)
	}
	p.away.delete(n.Proxy)
	p.leftAt.delete(n.Proxy)
	return from
}

// leave notes that a proxy has left: what it did not acknowledge may not have reached it.
func (p *publisher) leave(n ProxyLeft) {
	from := p.now
	for _, f := range p.flights {
		if f.left.has(n.Proxy) {
			from = min(from, f.written)
		}
		f.left.delete(n.Proxy)
	}
	p.away.set(n.Proxy, from)
	p.leftAt.set(n.Proxy, p.now)
	p.streams.delete(n.Proxy)
	p.unsettle()
}

// setMask notes a mask that is written.
func (p *publisher) setMask(id HostID, out bool) {
	p.masked.set(id, out)
	p.maskedAt.set(id, p.now)
}

// due says whether to write now. Ordinary changes gather, and leave a part of a proxy's messages to removals.
func (p *publisher) due() bool {
	rebind, reopen, pressed, urgent := false, false, false, false
	for _, s := range p.streams.all() {
		rebind = rebind || !p.params.sliced && (!s.bound || s.wants != s.table)
		pressed = pressed || !p.params.sliced && !s.bound
	}
	for _, until := range p.shut.all() {
		reopen = reopen || p.now >= until
	}
	for t, w := range p.wants.all() {
		urgent, pressed = urgent || w.urgent, pressed || p.bare(t, 0)
	}
	masks, shuts := len(p.ajar(bound)) > 0, slices.ContainsFunc(p.ajar(closed), p.dispensable)
	pressed = pressed || shuts || slices.ContainsFunc(p.ajar(opened), p.awaited) || p.tightens() ||
		p.relevels() && p.stood.level == nil && slices.Min(p.levels.level) < 1
	trackSince(&p.hurrySince, pressed || masks || urgent, p.now)
	trackSince(&p.since, p.wants.len() > 0 || rebind || reopen || p.relevels() ||
		len(p.ajar(opened)) > 0 || len(p.ajar(rested)) > 0, p.now)
	p.sent = slices.DeleteFunc(p.sent, func(t Millis) bool { return p.now-t > p.params.span+batchDelay })
	// Heads are paid for each proxy: a message that carries little would fill the channel of a large fleet.
	heads := p.headsTime()
	last, most, gap := p.lastSent(), math.Inf(1), max(batchDelay, heads)
	if p.params.messages > 0 {
		most = float64(p.params.messages)
		gap = max(gap, p.params.span/Millis(most*ordinaryBudget))
	}
	written, hurry := float64(len(p.sent)), p.params.hurry
	if !masks {
		hurry = max(hurry, heads/2)
	}
	if !masks && !pressed {
		hurry, most = max(hurry, heads), most*urgentBudget // the last messages are for what the rules ask
	}
	if p.hurrySince > 0 && written < most && p.now-max(last, p.hurrySince-hurry) >= hurry &&
		(masks || !p.params.sliced || p.loadable(urgentBudget, p.neededLines(true))) {
		return true
	}
	return p.since > 0 && p.now-p.since >= batchDelay && p.now-last >= gap && written < most*ordinaryBudget &&
		(!p.params.sliced || p.loadable(p.ordinaryShare(), p.neededLines(false)))
}

// flush writes as much of what is wanted as the channel has room for, removals first. What a reply orders is
// one message a proxy, so a table's new lines and those that go arrive together.
func (p *publisher) flush() {
	start := len(p.orders)
	d := p.newDraft()
	// A host goes out of all tables by one line a proxy, with new lines where it would leave a table bare; at
	// size those that move its slices would fill the channel for longer than a drain's grace. They follow.
	// A mask that holds a host from more than it should get is not lifted for one table that new lines can help.
	none := func(HostID) bool { return false }
	d.writeMasks(bound, none)
	d.writeBareTables()
	d.writeMasks(opened, p.over)
	// Levels go before tables that can wait: calls were refused for seconds by levels that were no longer wanted.
	if p.relevels() && d.cost.book(urgentBudget, float64(len(p.params.ways)), everyStream) {
		p.writeLevels()
	}
	d.writeMasks(opened, none)
	d.writeMasks(closed, func(id HostID) bool { return !p.dispensable(id) })
	d.writeMasks(rested, none)
	d.writeOverdueTables()
	d.writeTables()
	p.owners(func(t TableID) bool { return d.cost.book(unslicedBudget, 1, d.using(t)) })
	d.bindStreams()
	if p.since = 0; len(p.orders) > start && d.cost.left.len() > 0 {
		p.send(d.cost)
	}
}

// send ends a message with its stamp and notes it as on its way.
func (p *publisher) send(f *flight) {
	p.serial = (p.serial + 1) % 65536
	f.serial = p.serial
	p.emit(Stamp{p.serial, false})
	p.clear = max(p.clear, p.now) + Millis(f.seal()/p.params.pace)
	f.clear, f.written = p.clear, p.now
	p.flights = append(p.flights, f)
	p.sent = append(p.sent, p.now)
}

// writeLevels orders the levels and further tries that are not as wanted.
func (p *publisher) writeLevels() {
	for i, level := range p.levels.level {
		if p.stood.level == nil || level != p.stood.level[i] || p.levels.tries[i] != p.stood.tries[i] {
			p.emit(Throttle{AllTables, 1 << i, level, p.levels.tries[i]})
		}
	}
	p.stood, p.stoodAt = p.levels, p.now
}

// changes are what must be written of a table, new lines before those that go, so that it is never bare.
// A single owner's writes stop with the message that moves it.
func (p *publisher) changes(t TableID, table lines) (out []Order) {
	stands := p.stands.get(t)
	if p.params.oneOwner {
		out = append(out, Throttle{t, p.params.writes, 0, 1})
	}
	for _, l := range table {
		if !slices.Contains(stands, l) {
			out = append(out, SetLine{t, l.host, l.weight})
		}
		if p.stale(l.host) && p.doors.get(l.host) == opened && !p.over(l.host) {
			out = append(out, Mask{l.host, false})
		}
	}
	for _, l := range stands {
		if !p.params.oneOwner && !table.contains(l.host) {
			out = append(out, SetLine{t, l.host, 0})
		}
	}
	return out
}

// owners stops the writes of slices whose last owner may still hold some, and lets them in again once no
// message is on its way and none can be left.
func (p *publisher) owners(charge func(TableID) bool) {
	p.waiting() // forgets the messages that all have applied
	for t, until := range p.shut.all() {
		if until == 0 && charge(t) {
			p.emit(Throttle{t, p.params.writes, 0, 1})
			p.shut.set(t, p.now+p.params.settle)
		} else if until > 0 && p.now >= until && len(p.flights) == 0 && charge(t) {
			p.emit(Throttle{t, p.params.writes, 1, 1})
			p.shut.delete(t)
		}
	}
}
