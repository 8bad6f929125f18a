// Package following decides which director a proxy polls, when, and which of the versions it is offered take effect.
// No I/O, no clock; chance is in [0,1).
package following

import "vetchwood/internal/tables"

// Spans between polls that fail, in milliseconds. They double, and are drawn between half and one and a half, so that
// proxies that lost a director together don't come back together.
const (
	initialBackoffMs = 50.0
	maxBackoffMs     = 2000.0
	// sharedWait is the longest where directors share the slices: one that comes back is given some soon, and no other tells of them.
	maxSharedBackoffMs = 700.0
)

// Chooser keeps to one director until it fails, then goes on to the next.
type Chooser struct {
	current      int
	failures     []int
	notBefore    []float64
	slicesShared bool
}

func NewChooser(directors int) *Chooser {
	return &Chooser{failures: make([]int, directors), notBefore: make([]float64, directors)}
}

// Shared says that the director holds slices of its own: no other can stand in for it.
func (c *Chooser) SetSlicesShared() { c.slicesShared = true }

// Next is whom to poll, and when.
func (c *Chooser) Next(now float64) (director int, when float64) {
	return c.current, max(now, c.notBefore[c.current])
}

// Answered tells that a director answered as it should.
func (c *Chooser) Succeeded(director int) { c.failures[director], c.notBefore[director] = 0, 0 }

// Failed tells that it did not: no answer, a wrong one, or one that is behind what is held. The next is the one that
// may be asked first, and of those the next in turn.
func (c *Chooser) Failed(director int, now, chance float64) {
	wait, longest := initialBackoffMs, maxBackoffMs
	if c.slicesShared {
		longest = maxSharedBackoffMs
	}
	for range c.failures[director] {
		wait = min(longest, 2*wait)
	}
	c.failures[director]++
	c.notBefore[director] = now + wait*(0.5+chance)
	best := director
	for i := range c.notBefore {
		j := (director + 1 + i) % len(c.notBefore)
		if c.notBefore[j] < c.notBefore[best] {
			best = j
		}
	}
	c.current = best
}

// Later tells that a director asked to be left alone for a while.
func (c *Chooser) Defer(director int, now, wait float64) {
	c.notBefore[director] = max(c.notBefore[director], now+min(wait, maxRetryAfterMs))
}

// mostLater bounds what a director may ask for: a proxy that lost its directors must find them again.
const maxRetryAfterMs = 60000.0

// Held says which version is in force.
type Version struct {
	Line tables.Line
	Step tables.Step
	At   float64 // when it was ordered, Unix milliseconds
}

// Verdict on an offered version.
type Verdict string

const (
	Accept    Verdict = "take"
	Duplicate Verdict = "repeat" // it is in force already, and takes no effect again
	Older     Verdict = "older"
)

// Judge compares an offer with what is held; nil holds nothing. Within a line the greater step is newer. Another line
// is the history of a store that was lost or that is another's: it takes over only if it was ordered later.
func Evaluate(held *Version, offer Version) Verdict {
	switch {
	case held == nil:
		return Accept
	case held.Line != offer.Line:
		if offer.At > held.At {
			return Accept
		}
		return Older
	case offer.Step == held.Step:
		return Duplicate
	case offer.Step < held.Step:
		return Older
	}
	return Accept
}

// Covered says whether an answer may take effect: it came within the time that its director's lease left, counted from
// when the poll was sent, which is before the director looked at its clock. No clock is compared with another's.
func WithinLease(lease, sinceSent float64) bool { return sinceSent < lease }
