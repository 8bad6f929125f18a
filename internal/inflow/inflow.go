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
	kinds
)

// Delay that the loop may show, and how long it must before anything is shed: an interval is some turns of the loop, so that
// one long turn is no overload.
const (
	target   = 10 * time.Millisecond
	interval = 100 * time.Millisecond
)

// Door is one director's.
type Shedder struct {
	chance   func() float64
	press    float64 // 0: all come in; 1: the first kind is out, 2: the first two, and so on
	least    time.Duration
	began    time.Duration
	seen     bool
	figures  Stats
	declined float64 // requests that were sent away lately: those will come again
	at       time.Duration
}

// Figures are counted for the operator.
type Stats struct {
	Pressure float64
	Shed     [kinds]uint64
}

func NewShedder(chance func() float64) *Shedder { return &Shedder{chance: chance} }

// short is a queue of a turn's smallest part. Where no more than that waits, nobody needs to be sent away, however late it is: the
// delay is the machine's, as where others take its processors, and to shed would not make it less.
const short = 64

// Turn tells how long what was handled now had waited at most, and how much it was. The least of an interval counts: a queue
// that stands.
func (d *Shedder) ObserveTurn(now, waited time.Duration, length int) {
	if length < short {
		waited = 0
	}
	if !d.seen || waited < d.least {
		d.least, d.seen = waited, true
	}
	if now-d.began < interval {
		return
	}
	// It opens more slowly than it closes, or it would swing. What stands at once is shed's to see.
	over := float64(d.least)/float64(target) - 1
	switch {
	case over > 0:
		d.press = min(float64(Polls), d.press+min(0.5, 0.1+0.2*over))
	default:
		d.press = max(0, d.press-0.05)
	}
	d.began, d.seen = now, false
	d.figures.Pressure = d.press
}

// shed is the part of a kind that is sent away. A queue that stands now counts at once: the loop may take long over one turn,
// and tells of it only then.
func (d *Shedder) shed(k Kind, q Queue) float64 {
	press := d.press
	if over := float64(q.OldestWait)/float64(target) - 1; over > 2 && q.Length >= short {
		press = max(press, 0.2*over)
	}
	if q.Length >= mostQueued {
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
const mostQueued = 8192

// Admit says whether a request comes in; if not, after how long it may come again. Later says longer the more were sent
// away, and draws each its own, so that a storm comes back spread.
func (d *Shedder) Admit(now time.Duration, k Kind, q Queue) (in bool, later time.Duration) {
	if k < Polls && d.chance() < d.shed(k, q) {
		d.figures.Shed[k]++
		d.declined = d.decline(now) + 1
		return false, spread(d.chance, time.Second+time.Duration(d.declined/declinedPerSecond*float64(time.Second)))
	}
	return true, 0
}

// declinedPerSecond is how many that were sent away are called back each second, roughly.
const declinedPerSecond = 2000.0

// decline is how many were sent away lately, as a decaying sum.
func (d *Shedder) decline(now time.Duration) float64 {
	x := d.declined * math.Exp2(-float64(now-d.at)/float64(5*time.Second))
	d.at = now
	return x
}

func spread(chance func() float64, mean time.Duration) time.Duration {
	return time.Duration(float64(min(mean, 30*time.Second)) * (0.5 + chance()))
}

// Figures are those of now.
func (d *Shedder) Stats() Stats { return d.figures }
