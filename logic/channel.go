package logic

import (
	"math"
	"slices"
)

// The channel: what may still wait in it, what proxies have acknowledged, and what is written again.

// fits says whether that part of the queue has room for lines.
func (f *channelMessage) hasRoom(part, lines float64) bool {
	return f.filled+lines <= f.queueLimit*part && f.totalUnacknowledged+lines <= f.queueLimit*surePart
}

// book charges lines to each proxy that uses a table, if that part of the queue has room for all of them.
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
	if f.returningProxies > 0 && f.filled+more+back > f.queueLimit*surePart {
		return false
	}
	f.filled, f.totalUnacknowledged, f.returningLines = f.filled+more, f.totalUnacknowledged+more, back
	for _, n := range users {
		f.unacknowledged.put(n, f.unacknowledged.get(n)+lines)
	}
	return true
}

// returnWithin is for how long a proxy that left is expected back at any moment.
const proxyReturnTime = Millis(30000)

// expectReturns has a message leave room for proxies that left lately: where a cut ends they come back by the hundred, and
// what is written goes to all that are back, of whom we hear a moment later.
func (p *publisher) reserveForReturns(f *channelMessage) {
	if !p.rules.sliced {
		return
	}
	for _, left := range p.leftAt.all() {
		f.returningProxies += float64(bit(p.now-left < proxyReturnTime, 0))
	}
	f.returningLines = f.returningProxies * f.overhead
}

// seal adds the heads and gives all lines of the messages.
func (f *channelMessage) addOverhead() float64 {
	for n, lines := range f.unacknowledged.all() {
		f.unacknowledged.put(n, lines+f.overhead)
	}
	return f.lineCount()
}

func (f *channelMessage) lineCount() (sum float64) {
	for _, n := range f.unacknowledged.all() {
		sum += n
	}
	return sum
}

// lastSent is when something was written last.
func (p *publisher) lastSentAt() Millis {
	if n := len(p.sentAt); n > 0 {
		return p.sentAt[n-1]
	}
	return Millis(math.Inf(-1))
}

// own hears that a proxy has applied all up to a stamp: a stream keeps its order, so what was written to it
// before has come too, whether we heard of that or not.
func (p *publisher) acknowledge(n Applied) {
	for i, f := range p.inFlight {
		// An acknowledgement tells how long ago its message was written. One of the message written again proves
		// that the first is not on its way any more, since a stream keeps its order; one of the first says nothing
		// of the other.
		if f.serial == n.Serial && !(f.isRepeat && p.now-n.Spent < f.writtenAt) {
			for _, before := range p.inFlight[:i+1] {
				before.unacknowledged.drop(n.Proxy)
			}
			f.unconfirmedSince = 0
			p.acknowledgedAt = p.now
		}
	}
}

func (p *publisher) extendWriteStops() {
	for t, until := range p.writesStoppedUntil.all() {
		p.writesStoppedUntil.put(t, max(until, p.now+p.rules.settleTime))
	}
}

// silentFor is how long after its sending began a channel that carries anything may show no acknowledgement at all.
// A message goes to one proxy after the other: however slow the channel is, the first of them answer.
func (p *publisher) silenceTimeout() Millis { return slowest*p.rules.transit + p.rules.worstTransit }

// newsGap is how far apart two signs of life of the news may be: one comes each second.
const maxAliveGap = Millis(1500)

// newsAlive notes a sign of life.
func (p *publisher) recordAlive() {
	if p.now-p.aliveAt > maxAliveGap {
		p.aliveSince = p.now
	}
	p.aliveAt = p.now
}

// silent says whether messages are on their way and none of the proxies has acknowledged anything for so long that
// the messages, or the answers to them, must be lost: a channel that is merely slow goes on answering, and news come.
func (p *publisher) isSilent() bool {
	// Without news nothing is known: the way to the proxies may be cut, with all that was written waiting in it.
	alive := p.aliveAt > 0 && p.now-p.aliveAt <= maxAliveGap && p.now >= p.aliveSince+p.silenceTimeout()
	if len(p.inFlight) == 0 || !alive {
		return false
	}
	for _, f := range p.inFlight {
		if f.unconfirmedSince > 0 || f.isRepeat || p.now < f.clearAt+p.silenceTimeout() {
			return false
		}
	}
	return p.now >= p.acknowledgedAt+p.silenceTimeout()
}

// forgetSilent lets go of messages that are lost, or whose answers are. Their masks and levels may not have reached
// anybody, so they are told anew.
func (p *publisher) dropLostMessages() {
	if !p.isSilent() {
		return
	}
	p.inFlight = nil
	p.silences++
	for id := range p.availability.all() {
		p.masked.drop(id)
	}
	p.writtenLevels = admissionLevels{}
}

// waiting is what may still be in our channel: what has not left it at its usual pace, or, once most proxies
// are late to own up to a message, all that they have not owned up to, which holds at any pace; and that sum.
// What nobody owns up to any more, since it was lost or we did not hear it, is not waited for without end.
func (p *publisher) queuedLines() (lines, all float64) {
	most := slowest * (Millis(p.rules.queueLimit/p.rules.linesPerMilli) + p.rules.transit)
	p.inFlight = slices.DeleteFunc(p.inFlight, func(f *channelMessage) bool {
		return f.unconfirmedSince == 0 && (f.unacknowledged.len() == 0 || p.now >= f.clearAt+most)
	})
	slow := false
	for _, f := range p.inFlight {
		own := f.lineCount()
		all += own
		lines += min(own, max(0, float64(f.clearAt-p.now)*p.rules.linesPerMilli))
		slow = slow || !f.isRepeat && p.now > f.clearAt+p.rules.transit*3/2 && f.unacknowledged.len()*2 > p.proxies.len()
	}
	if slow {
		return all, all
	}
	return lines, all
}

func (p *publisher) markUnconfirmed(n Unsure) {
	for _, f := range p.inFlight {
		if f.serial == n.Serial && !f.isRepeat {
			f.unconfirmedSince = p.now
			return
		}
	}
	p.order(Again{n.Serial}) // nobody is left who could own up to it
}

// again has written once more what may not have reached the channel. It may just as well wait there, and its
// lines twice would pass the limit: so it gets the time in which a proxy would own up to it, and then counts
// double until one does. Without room for that it waits until it can't be on its way any more.
// Nothing is written meanwhile: it would wait behind that, and seem to drain from a channel it is not in.
func (p *publisher) repeatUnconfirmed() (doubted bool) {
	filled, all := p.queuedLines()
	for _, f := range p.inFlight {
		own := f.lineCount()
		begins := f.clearAt - Millis(own/p.rules.linesPerMilli)
		full := filled+own > p.rules.queueLimit*urgentPart || all+own > p.rules.queueLimit*surePart
		if f.unconfirmedSince == 0 || p.now < begins+p.rules.transit || full && p.now < f.clearAt+3*p.rules.transit {
			doubted = doubted || f.unconfirmedSince > 0
			continue
		}
		p.clearAt = max(p.clearAt, p.now) + Millis(own/p.rules.linesPerMilli)
		f.clearAt, f.unconfirmedSince, filled, all = p.clearAt, 0, filled+own, all+own
		// Both bear one stamp: what a proxy acknowledges of the first frees no room of the second.
		second := &channelMessage{serial: f.serial, clearAt: p.clearAt, isRepeat: true, writtenAt: p.now}
		for n, lines := range f.unacknowledged.all() {
			second.unacknowledged.put(n, lines)
		}
		p.inFlight = append(p.inFlight, second)
		p.order(Again{f.serial})
	}
	return doubted
}
