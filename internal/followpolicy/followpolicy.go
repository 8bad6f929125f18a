// Package followpolicy decides which director a proxy polls and when, and which of the offered versions take effect. It
// does no I/O and reads no clock: times are parameters in milliseconds, random numbers are parameters in [0,1).
package followpolicy

import "vetchwood/internal/tables"

// Backoff after failed polls, in milliseconds. It doubles with each failure. The actual delay is drawn between 0.5 and
// 1.5 times the backoff, so that proxies that lost a director at the same time do not all return at the same time.
const (
	initialBackoffMs = 50.0
	maxBackoffMs     = 2000.0
	// Maximum where directors share the slices: a director that returns gets slices soon, and no other director
	// publishes these.
	maxSharedBackoffMs = 700.0
)

// Chooser selects one director until it fails, then the next one. Directors are identified by their index.
type Chooser struct {
	current      int
	failures     []int
	notBefore    []float64 // earliest time of the next poll, by director
	slicesShared bool
}

// NewChooser returns a chooser among the given number of directors.
func NewChooser(directors int) *Chooser {
	return &Chooser{failures: make([]int, directors), notBefore: make([]float64, directors)}
}

// SetSlicesShared declares that the director owns slices of its own, so that no other director can replace it. This
// lowers the maximum backoff.
func (c *Chooser) SetSlicesShared() { c.slicesShared = true }

// Next returns the director to poll and the time of the poll.
func (c *Chooser) Next(now float64) (director int, at float64) {
	return c.current, max(now, c.notBefore[c.current])
}

// Succeeded records a valid response of a director and resets its backoff.
func (c *Chooser) Succeeded(director int) { c.failures[director], c.notBefore[director] = 0, 0 }

// Failed records that a director did not respond, or with an invalid or outdated version. The next director is the one
// that may be polled soonest; among equals, the next one in the order of the list. The parameter random is in [0,1).
func (c *Chooser) Failed(director int, now, random float64) {
	backoff, maxBackoff := initialBackoffMs, maxBackoffMs
	if c.slicesShared {
		maxBackoff = maxSharedBackoffMs
	}
	for range c.failures[director] {
		backoff = min(maxBackoff, 2*backoff)
	}
	c.failures[director]++
	c.notBefore[director] = now + backoff*(0.5+random)
	next := director
	for i := range c.notBefore {
		j := (director + 1 + i) % len(c.notBefore)
		if c.notBefore[j] < c.notBefore[next] {
			next = j
		}
	}
	c.current = next
}

// Defer records that a director requested a delay until the next poll, in milliseconds.
func (c *Chooser) Defer(director int, now, delay float64) {
	c.notBefore[director] = max(c.notBefore[director], now+min(delay, maxRetryAfterMs))
}

// maxRetryAfterMs limits the delay that a director may request, in milliseconds: a proxy that lost its directors must
// find them again.
const maxRetryAfterMs = 60000.0

// Version identifies a version of a document.
type Version struct {
	History tables.HistoryID
	Step    tables.Step
	At      float64 // time of the order that created it, in Unix milliseconds
}

// Verdict is the result of Evaluate for an offered version.
type Verdict string

// Verdicts on an offered version.
const (
	Accept    Verdict = "take"
	Duplicate Verdict = "repeat" // already in force; applied only once
	Older     Verdict = "older"
)

// Evaluate compares an offered version with the current one, which is nil before the first version. Within a history, the
// version with the higher step is newer. A different history is that of a different store, for example after the first
// one was lost: such a version is accepted only if it was created later.
func Evaluate(current *Version, offered Version) Verdict {
	switch {
	case current == nil:
		return Accept
	case current.History != offered.History:
		if offered.At > current.At {
			return Accept
		}
		return Older
	case offered.Step == current.Step:
		return Duplicate
	case offered.Step < current.Step:
		return Older
	}
	return Accept
}

// WithinLease reports whether a response may take effect: it must arrive within the time that was left of the
// director's lease, both in milliseconds. The time is counted from the sending of the poll, which precedes the moment
// when the director read its clock, so the clocks of the two machines are never compared.
func WithinLease(leaseMs, sinceSentMs float64) bool { return sinceSentMs < leaseMs }
