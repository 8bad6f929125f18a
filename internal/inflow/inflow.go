// Package inflow decides what a director lets in while it has more to do than it can: whose request waits, for how long it is
// sent away, and what always gets through. It steers by the delay that its loop shows, as CoDel does, not by a count that would
// have to be set for a machine. No I/O, no clock; chance is in [0,1).
package inflow

import (
	"math"
	"time"
)

// Kind of request, the least needed first. What is above Peers is never shed for the director's own sake: an acknowledgement
// lets the module go on, and an operator may be about to end the trouble.
type Kind int

const (
	Watches          Kind = iota // of those that look on
	Reports                      // sums come again, added up
	NewPolls                     // of proxies that hold nothing the director knows: they go on by what they hold
	PeerQueries                  // other directors' questions
	Polls                        // that acknowledge
	OperatorRequests             //
	kindCount
)

// Delay that the loop may show, and how long it must before anything is shed: an interval is some turns of the loop, so that
// one long turn is no overload.
const (
	targetDelay     = 10 * time.Millisecond
	controlInterval = 100 * time.Millisecond
)

// Door is one director's.
type Shedder struct {
	random           func() float64
	pressure         float64 // 0: all come in; 1: the first kind is out, 2: the first two, and so on
	minDelay         time.Duration
	intervalStart    time.Duration
	hasSample        bool
	stats            Stats
	recentRejections float64 // requests that were sent away lately: those will come again
	decayedAt        time.Duration
}

// Figures are counted for the operator.
type Stats struct {
	Pressure float64
	Shed     [kindCount]uint64
}

func NewShedder(chance func() float64) *Shedder { return &Shedder{random: chance} }

// short is a queue of a turn's smallest part. Where no more than that waits, nobody needs to be sent away, however late it is: the
// delay is the machine's, as where others take its processors, and to shed would not make it less.
const minQueueLength = 64

// Turn tells how long what was handled now had waited at most, and how much it was. The least of an interval counts: a queue
// that stands.
func (d *Shedder) ObserveTurn(now, waited time.Duration, length int) {
	if length < minQueueLength {
		waited = 0
	}
	if !d.hasSample || waited < d.minDelay {
		d.minDelay, d.hasSample = waited, true
	}
	if now-d.intervalStart < controlInterval {
		return
	}
	// It opens more slowly than it closes, or it would swing. What stands at once is shed's to see.
	over := float64(d.minDelay)/float64(targetDelay) - 1
	switch {
	case over > 0:
		d.pressure = min(float64(Polls), d.pressure+min(0.5, 0.1+0.2*over))
	default:
		d.pressure = max(0, d.pressure-0.05)
	}
	d.intervalStart, d.hasSample = now, false
	d.stats.Pressure = d.pressure
}

// shed is the part of a kind that is sent away. A queue that stands now counts at once: the loop may take long over one turn,
// and tells of it only then.
func (d *Shedder) shedProbability(k Kind, q Queue) float64 {
	press := d.pressure
	if over := float64(q.OldestWait)/float64(targetDelay) - 1; over > 2 && q.Length >= minQueueLength {
		press = max(press, 0.2*over)
	}
	if q.Length >= maxQueueLength {
		press = float64(Polls)
	}
	x := press - float64(k)
	if x <= 0 || x >= 1 {
		return min(1, max(0, x))
	}
	return 1 - math.Exp2(-6*x) // by steps of a like ratio, so that little of much can be let in
}

// Queue is what waits for the loop: since when the oldest does, and how many.
type Queue struct {
	OldestWait time.Duration
	Length     int
}

// mostQueued bounds what may wait, whatever the loop does.
const maxQueueLength = 8192

// Admit says whether a request comes in; if not, after how long it may come again. Later says longer the more were sent
// away, and draws each its own, so that a storm comes back spread.
func (d *Shedder) Admit(now time.Duration, k Kind, q Queue) (in bool, later time.Duration) {
	if k < Polls && d.random() < d.shedProbability(k, q) {
		d.stats.Shed[k]++
		d.recentRejections = d.decayRejections(now) + 1
		return false, randomDelay(d.random, time.Second+time.Duration(d.recentRejections/retriesPerSecond*float64(time.Second)))
	}
	return true, 0
}

// declinedPerSecond is how many that were sent away are called back each second, roughly.
const retriesPerSecond = 2000.0

// decline is how many were sent away lately, as a decaying sum.
func (d *Shedder) decayRejections(now time.Duration) float64 {
	x := d.recentRejections * math.Exp2(-float64(now-d.decayedAt)/float64(5*time.Second))
	d.decayedAt = now
	return x
}

func randomDelay(chance func() float64, mean time.Duration) time.Duration {
	return time.Duration(float64(min(mean, 30*time.Second)) * (0.5 + chance()))
}

// Figures are those of now.
func (d *Shedder) Stats() Stats { return d.stats }
