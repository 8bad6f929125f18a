package logic

import (
	"math"
	"slices"
)

// The channel: what may still wait in it, what proxies have acknowledged, and what is written again.

// fits says whether that part of the queue has room for lines.
func (f *flight) fits(part, lines float64) bool {
	return f.filled+lines <= f.queue*part && f.unowned+lines <= f.queue*unacknowledgedBudget
}

// book charges lines to each proxy that uses a table, if that part of the queue has room for all of them.
func (f *flight) book(part, lines float64, uses func(*stream) bool) bool {
	var users []ProxyID
	for n, s := range f.streams.all() {
		if uses(s) {
			users = append(users, n)
		}
	}
	more := lines * float64(len(users))
	if !f.fits(part, more) {
		return false
	}
	back := f.returned + lines*f.returning
	if f.returning > 0 && f.filled+more+back > f.queue*unacknowledgedBudget {
		return false
	}
	f.filled, f.unowned, f.returned = f.filled+more, f.unowned+more, back
	for _, n := range users {
		f.left.set(n, f.left.get(n)+lines)
	}
	return true
}

// returnWithin is for how long a proxy that left is expected back at any moment.
const returnWithin = Millis(30000)

// expectReturns has a message leave room for proxies that left lately: where a cut ends they come back by the hundred, and
// what is written goes to all that are back, of whom we hear a moment later.
func (p *publisher) expectReturns(f *flight) {
	if !p.params.sliced {
		return
	}
	for _, left := range p.leftAt.all() {
		f.returning += float64(bit(p.now-left < returnWithin, 0))
	}
	f.returned = f.returning * f.each
}

// seal adds the heads and gives all lines of the messages.
func (f *flight) seal() float64 {
	for n, lines := range f.left.all() {
		f.left.set(n, lines+f.each)
	}
	return f.lines()
}

func (f *flight) lines() (sum float64) {
	for _, n := range f.left.all() {
		sum += n
	}
	return sum
}

// lastSent is when something was written last.
func (p *publisher) lastSent() Millis {
	if n := len(p.sent); n > 0 {
		return p.sent[n-1]
	}
	return Millis(math.Inf(-1))
}

// own hears that a proxy has applied all up to a stamp: a stream keeps its order, so what was written to it
// before has come too, whether we heard of that or not.
func (p *publisher) own(n Acknowledged) {
	for i, f := range p.flights {
		// An acknowledgement tells how long ago its message was written. One of the message written again proves
		// that the first is not on its way any more, since a stream keeps its order; one of the first says nothing
		// of the other.
		if f.serial == n.Serial && !(f.second && p.now-n.Latency < f.written) {
			for _, before := range p.flights[:i+1] {
				before.left.delete(n.Proxy)
			}
			f.doubt = 0
			p.ownedAt = p.now
		}
	}
}

func (p *publisher) unsettle() {
	for t, until := range p.shut.all() {
		p.shut.set(t, max(until, p.now+p.params.settle))
	}
}

// silentFor is how long after its sending began a channel that carries anything may show no acknowledgement at all.
// A message goes to one proxy after the other: however slow the channel is, the first of them answer.
func (p *publisher) silentFor() Millis { return maxSlowdown*p.params.transit + p.params.worstTransit }

// newsGap is how far apart two signs of life of the news may be: one comes each second.
const newsGap = Millis(1500)

// newsAlive notes a sign of life.
func (p *publisher) newsAlive() {
	if p.now-p.newsAt > newsGap {
		p.newsSince = p.now
	}
	p.newsAt = p.now
}

// silent says whether messages are on their way and none of the proxies has acknowledged anything for so long that
// the messages, or the answers to them, must be lost: a channel that is merely slow goes on answering, and news come.
func (p *publisher) silent() bool {
	// Without news nothing is known: the way to the proxies may be cut, with all that was written waiting in it.
	alive := p.newsAt > 0 && p.now-p.newsAt <= newsGap && p.now >= p.newsSince+p.silentFor()
	if len(p.flights) == 0 || !alive {
		return false
	}
	for _, f := range p.flights {
		if f.doubt > 0 || f.second || p.now < f.clear+p.silentFor() {
			return false
		}
	}
	return p.now >= p.ownedAt+p.silentFor()
}

// forgetSilent lets go of messages that are lost, or whose answers are. Their masks and levels may not have reached
// anybody, so they are told anew.
func (p *publisher) forgetSilent() {
	if !p.silent() {
		return
	}
	p.flights = nil
	p.silences++
	for id := range p.doors.all() {
		p.masked.delete(id)
	}
	p.stood = levelled{}
}

// waiting is what may still be in our channel: what has not left it at its usual pace, or, once most proxies
// are late to own up to a message, all that they have not owned up to, which holds at any pace; and that sum.
// What nobody owns up to any more, since it was lost or we did not hear it, is not waited for without end.
func (p *publisher) waiting() (lines, all float64) {
	most := maxSlowdown * (Millis(p.params.queue/p.params.pace) + p.params.transit)
	p.flights = slices.DeleteFunc(p.flights, func(f *flight) bool {
		return f.doubt == 0 && (f.left.len() == 0 || p.now >= f.clear+most)
	})
	slow := false
	for _, f := range p.flights {
		own := f.lines()
		all += own
		lines += min(own, max(0, float64(f.clear-p.now)*p.params.pace))
		slow = slow || !f.second && p.now > f.clear+p.params.transit*3/2 && f.left.len()*2 > p.streams.len()
	}
	if slow {
		return all, all
	}
	return lines, all
}

func (p *publisher) doubt(n Unconfirmed) {
	for _, f := range p.flights {
		if f.serial == n.Serial && !f.second {
			f.doubt = p.now
			return
		}
	}
	p.emit(Resend{n.Serial}) // nobody is left who could own up to it
}

// again has written once more what may not have reached the channel. It may just as well wait there, and its
// lines twice would pass the limit: so it gets the time in which a proxy would own up to it, and then counts
// double until one does. Without room for that it waits until it can't be on its way any more.
// Nothing is written meanwhile: it would wait behind that, and seem to drain from a channel it is not in.
func (p *publisher) again() (doubted bool) {
	filled, all := p.waiting()
	for _, f := range p.flights {
		own := f.lines()
		begins := f.clear - Millis(own/p.params.pace)
		full := filled+own > p.params.queue*urgentBudget || all+own > p.params.queue*unacknowledgedBudget
		if f.doubt == 0 || p.now < begins+p.params.transit || full && p.now < f.clear+3*p.params.transit {
			doubted = doubted || f.doubt > 0
			continue
		}
		p.clear = max(p.clear, p.now) + Millis(own/p.params.pace)
		f.clear, f.doubt, filled, all = p.clear, 0, filled+own, all+own
		// Both bear one stamp: what a proxy acknowledges of the first frees no room of the second.
		second := &flight{serial: f.serial, clear: p.clear, second: true, written: p.now}
		for n, lines := range f.left.all() {
			second.left.set(n, lines)
		}
		p.flights = append(p.flights, second)
		p.emit(Resend{f.serial})
	}
	return doubted
}
