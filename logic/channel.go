package logic

import (
	"math"
	"slices"
)

// The channel: what may still be queued in it, what proxies have acknowledged, and what is written again.

// hasRoom reports whether the given part of the queue has room for more lines.
func (f *channelMessage) hasRoom(part, lines float64) bool {
	return f.filled+lines <= f.queueLimit*part && f.totalUnacknowledged+lines <= f.queueLimit*unacknowledgedBudget
}

// reserve charges lines to each proxy for which uses returns true, if the given part of the queue has room for all.
func (f *channelMessage) reserve(part, lines float64, uses func(*joinedProxy) bool) bool {
	var users []ProxyID
	for n, s := range f.proxies.all() {
		if uses(s) {
			users = append(users, n)
		}
	}
	more := lines * float64(len(users))
	if !f.hasRoom(part, more) {
		return false
	}
	back := f.returningLines + lines*f.returningProxies
	if f.returningProxies > 0 && f.filled+more+back > f.queueLimit*unacknowledgedBudget {
		return false
	}
	f.filled, f.totalUnacknowledged, f.returningLines = f.filled+more, f.totalUnacknowledged+more, back
	for _, n := range users {
		f.unacknowledged.set(n, f.unacknowledged.get(n)+lines)
	}
	return true
}

// proxyReturnTime is how long a proxy that left is expected back at any moment.
const proxyReturnTime = Millis(30000)

// reserveForReturns leaves room for proxies that left recently. When a network partition ends they come back by the
// hundred, and what is written goes to all that are back, while the director learns of them a moment later. So do
// earlier messages that the channel may not have taken yet.
func (p *publisher) reserveForReturns(f *channelMessage) {
	if !p.params.sliced {
		return
	}
	for _, left := range p.leftAt.all() {
		f.returningProxies += float64(bit(p.now-left < proxyReturnTime, 0))
	}
	linesEach := f.overhead
	for _, earlier := range p.inFlight {
		if !earlier.isWritten {
			linesEach += earlier.linesEach
		}
	}
	f.returningLines = f.returningProxies * linesEach
}

// addOverhead adds the overhead of each proxy's message and returns the lines of all messages.
func (f *channelMessage) addOverhead() float64 {
	for n, lines := range f.unacknowledged.all() {
		f.unacknowledged.set(n, lines+f.overhead)
	}
	return f.lineCount()
}

func (f *channelMessage) lineCount() (sum float64) {
	for _, n := range f.unacknowledged.all() {
		sum += n
	}
	return sum
}

// lastSentAt returns when a message was last written.
func (p *publisher) lastSentAt() Millis {
	if n := len(p.sentAt); n > 0 {
		return p.sentAt[n-1]
	}
	return Millis(math.Inf(-1))
}

// acknowledge handles a proxy's acknowledgement of a stamp: a stream is ordered, so everything written to the proxy
// before has arrived too, whether or not an acknowledgement of it was received.
func (p *publisher) acknowledge(n Acknowledged) {
	for i, f := range p.inFlight {
		// An acknowledgement carries the time since its message was written. That of a repeat proves that the first
		// copy is no longer in flight, since a stream is ordered; that of the first copy proves nothing about the
		// repeat.
		if f.serial == n.Serial && !(f.isRepeat && p.now-n.Latency < f.writtenAt) {
			for _, before := range p.inFlight[:i+1] {
				before.unacknowledged.delete(n.Proxy)
				p.recordWritten(before, p.now-n.Latency)
			}
			f.unconfirmedSince = 0
			p.acknowledgedAt = p.now
		}
	}
}

// countUnwritten counts the messages that the channel may not have taken yet for a proxy that joins: while the relay
// can't be reached they wait, and once written they go to all that are joined by then.
func (p *publisher) countUnwritten(n ProxyID) {
	if !p.params.sliced {
		return // there a proxy gets what is written after its tables are bound
	}
	for _, f := range p.inFlight {
		if !f.isWritten {
			f.unacknowledged.set(n, f.linesEach)
		}
	}
}

// recordWritten records that the channel took a message by a time: proxies that joined well after that do not get it.
func (p *publisher) recordWritten(f *channelMessage, at Millis) {
	if f.isWritten {
		return
	}
	f.isWritten = true
	for n := range f.unacknowledged.all() {
		if s := p.proxies.get(n); s != nil && s.joinedAt > at+p.params.worstTransit {
			f.unacknowledged.delete(n)
		}
	}
}

func (p *publisher) extendWriteStops() {
	for t, until := range p.writesStoppedUntil.all() {
		p.writesStoppedUntil.set(t, max(until, p.now+p.params.settleTime))
	}
}

// silenceTimeout is how long after its sending began a working channel may show no acknowledgement at all. A message is
// sent to one proxy after the other, so the first proxies answer however slow the channel is.
func (p *publisher) silenceTimeout() Millis {
	return maxSlowdown*p.params.transit + p.params.worstTransit
}

// maxAliveGap is the longest time between two signs of life of a working connection: one comes each second.
const maxAliveGap = Millis(1500)

// recordAlive records a sign of life of the connection that brings acknowledgements.
func (p *publisher) recordAlive() {
	if p.now-p.aliveAt > maxAliveGap {
		p.aliveSince = p.now
	}
	p.aliveAt = p.now
}

// isSilent reports whether messages are in flight and no proxy has acknowledged anything for so long that the messages
// or their acknowledgements must be lost: a channel that is merely slow still brings some, and the connection that
// brings them is alive.
func (p *publisher) isSilent() bool {
	// While that connection shows no sign of life nothing is known: the network to the proxies may be partitioned, with
	// everything written still queued.
	alive := p.aliveAt > 0 && p.now-p.aliveAt <= maxAliveGap && p.now >= p.aliveSince+p.silenceTimeout()
	if len(p.inFlight) == 0 || !alive {
		return false
	}
	for _, f := range p.inFlight {
		isUnsettled := f.unconfirmedSince > 0 || f.isRepeat && !f.isGivenUp
		if isUnsettled || p.now < f.clearAt+p.silenceTimeout() {
			return false
		}
	}
	return p.now >= p.acknowledgedAt+p.silenceTimeout()
}

// dropLostMessages drops messages that are lost or whose acknowledgements are. Their masks and levels may not have
// reached any proxy, so they are written again.
func (p *publisher) dropLostMessages() {
	if !p.isSilent() {
		return
	}
	p.resuspectMasks(p.inFlight[0].writtenAt)
	p.inFlight = nil
	p.channelResets++
	for id := range p.availability.all() {
		p.masked.delete(id)
	}
	p.writtenLevels = admissionLevels{}
}

// queuedLines returns the number of lines that may still be in the channel, and the number of all unacknowledged lines.
// The first counts what has not left the channel at the usual rate or, once most proxies are late to acknowledge a
// message, all unacknowledged lines, which is correct at any rate. Messages that are never acknowledged, because they
// or the acknowledgements were lost, are dropped after a time.
func (p *publisher) queuedLines() (lines, all float64) {
	most := maxSlowdown * (Millis(p.params.queueLimit/p.params.linesPerMilli) + p.params.transit)
	p.inFlight = slices.DeleteFunc(p.inFlight, func(f *channelMessage) bool {
		return f.unconfirmedSince == 0 && (f.unacknowledged.len() == 0 || p.now >= f.clearAt+most)
	})
	slow := false
	for _, f := range p.inFlight {
		size := f.lineCount()
		all += size
		lines += min(size, max(0, float64(f.clearAt-p.now)*p.params.linesPerMilli))
		slow = slow || !f.isRepeat && p.now > f.clearAt+p.params.transit*3/2 && f.unacknowledged.len()*2 > p.proxies.len()
	}
	if slow {
		return all, all
	}
	return lines, all
}

func (p *publisher) markUnconfirmed(n Unconfirmed) {
	for _, f := range p.inFlight {
		if f.serial == n.Serial && !f.isRepeat {
			f.unconfirmedSince = p.now
			return
		}
	}
	p.emit(Resend{n.Serial}) // no proxy is left that could acknowledge it
}

// dropMessage handles a reply that will not be written any more. Copies of it that the channel may hold stay counted
// until proxies acknowledge something later; the others were never there. Its masks and levels may not have reached any
// proxy, so they are written again.
func (p *publisher) dropMessage(n Dropped) {
	left := n.Copies
	p.inFlight = slices.DeleteFunc(p.inFlight, func(f *channelMessage) bool {
		if f.serial != n.Serial {
			return false
		}
		if !f.isRepeat {
			p.distrustSince(f.writtenAt)
		}
		f.unconfirmedSince, f.isWritten, f.isGivenUp = 0, true, true
		left--
		return left < 0
	})
}

// distrustSince takes for unknown what proxies hold of the masks and levels that were written at a time or later.
func (p *publisher) distrustSince(from Millis) {
	for id := range p.availability.all() {
		if p.maskedAt.get(id) >= from {
			p.masked.delete(id)
		}
	}
	p.resuspectMasks(from)
	if p.levelsWrittenAt >= from {
		p.writtenLevels = admissionLevels{}
	}
}

// cancelRepeat handles a Resend that was not carried out: the channel has the reply once, and not a second time.
func (p *publisher) cancelRepeat(n ResendVoid) {
	for i, f := range slices.Backward(p.inFlight) {
		if f.serial == n.Serial && f.isRepeat {
			p.inFlight = slices.Delete(p.inFlight, i, i+1)
			return
		}
	}
}

// repeatUnconfirmed orders unconfirmed messages to be written again and reports whether some are still pending. An
// unconfirmed message may be in the channel after all, and its lines twice would exceed the limit. So it first gets the
// time in which a proxy would acknowledge it, and then counts double until one does. Without room for that, it waits
// until it can no longer be in flight. Nothing else is written meanwhile: it would queue behind that message, and would
// be counted as leaving a channel that it is not in.
func (p *publisher) repeatUnconfirmed() (pending bool) {
	filled, all := p.queuedLines()
	for _, f := range p.inFlight {
		size := f.lineCount()
		begins := f.clearAt - Millis(size/p.params.linesPerMilli)
		full := filled+size > p.params.queueLimit*urgentBudget || all+size > p.params.queueLimit*unacknowledgedBudget
		if f.unconfirmedSince == 0 || p.now < begins+p.params.transit || full && p.now < f.clearAt+3*p.params.transit {
			pending = pending || f.unconfirmedSince > 0
			continue
		}
		p.clearAt = max(p.clearAt, p.now) + Millis(size/p.params.linesPerMilli)
		f.clearAt, f.unconfirmedSince, filled, all = p.clearAt, 0, filled+size, all+size
		// Both have the same stamp: what a proxy acknowledges of the first copy frees no room of the second.
		repeat := &channelMessage{serial: f.serial, linesEach: f.linesEach, clearAt: p.clearAt, isRepeat: true,
			writtenAt: p.now}
		for n, lines := range f.unacknowledged.all() {
			repeat.unacknowledged.set(n, lines)
		}
		p.inFlight = append(p.inFlight, repeat)
		p.emit(Resend{f.serial})
	}
	return pending
}
