// Package loadshed decides which requests a director admits while it is overloaded, and after which delay rejected
// clients may retry. Like CoDel, it is controlled by the queueing delay of the director's event loop, not by a number
// of requests that would have to be configured for each machine. It does no I/O and reads no clock; random numbers are
// in [0,1).
package loadshed

import (
	"math"
	"time"
)

// Kind is a kind of request. The kinds are in the order in which they are shed. Those after PeerQueries are never shed,
// however overloaded the director is: the decision module needs acknowledgements to proceed, and an operator may be
// about to resolve the overload.
type Kind int

// Kinds of requests.
const (
	Watches          Kind = iota // polls of observers, which are not proxies
	Reports                      // load reports; a rejected one is added to the next
	NewPolls                     // polls of proxies that have no version the director knows; their tables stay in force
	PeerQueries                  // queries of other directors
	Polls                        // polls that acknowledge a version
	OperatorRequests             // requests of operators
	kindCount
)

// The accepted queueing delay of the event loop, and how long it must be exceeded before requests are shed. The
// interval covers several turns of the loop, so that one long turn does not count as overload.
const (
	targetDelay     = 10 * time.Millisecond
	controlInterval = 100 * time.Millisecond
)

// Shedder sheds the load of one director.
type Shedder struct {
	random           func() float64
	pressure         float64       // 0: all requests are admitted; n: the first n kinds are shed, and of the next a part
	minDelay         time.Duration // shortest queueing delay of the interval
	intervalStart    time.Duration
	hasSample        bool // whether minDelay is set
	stats            Stats
	recentRejections float64       // decaying number of recent rejections, which will be retried
	decayedAt        time.Duration // time of the last update of recentRejections
}

// Stats holds metrics of a Shedder.
type Stats struct {
	Pressure float64           // 0: all requests are admitted; n: the first n kinds are shed
	Shed     [kindCount]uint64 // rejected requests by kind
}

// NewShedder returns a shedder that admits all requests. The function random returns numbers in [0,1).
func NewShedder(random func() float64) *Shedder { return &Shedder{random: random} }

// minQueueLength is the shortest queue that counts as overload. A shorter one is a fraction of the work of a turn: its
// delay is caused by the machine, for example when other processes use its CPUs, and shedding would not reduce it.
const minQueueLength = 64

// ObserveTurn records a turn of the event loop: the longest time that one of its inputs waited, and their number. The
// shortest wait of an interval controls the pressure, because only a standing queue makes all turns wait.
func (s *Shedder) ObserveTurn(now, waited time.Duration, length int) {
	if length < minQueueLength {
		waited = 0
	}
	if !s.hasSample || waited < s.minDelay {
		s.minDelay, s.hasSample = waited, true
	}
	if now-s.intervalStart < controlInterval {
		return
	}
	// The pressure falls more slowly than it rises, or it would oscillate. Sudden queues are handled by shedProbability.
	excess := float64(s.minDelay)/float64(targetDelay) - 1
	switch {
	case excess > 0:
		s.pressure = min(float64(Polls), s.pressure+min(0.5, 0.1+0.2*excess))
	default:
		s.pressure = max(0, s.pressure-0.05)
	}
	s.intervalStart, s.hasSample = now, false
	s.stats.Pressure = s.pressure
}

// shedProbability returns the fraction of the requests of a kind to reject. The current queue takes effect immediately,
// because the loop reports a long turn only at its end.
func (s *Shedder) shedProbability(k Kind, q Queue) float64 {
	pressure := s.pressure
	if excess := float64(q.OldestWait)/float64(targetDelay) - 1; excess > 2 && q.Length >= minQueueLength {
		pressure = max(pressure, 0.2*excess)
	}
	if q.Length >= maxQueueLength {
		pressure = float64(Polls)
	}
	x := pressure - float64(k)
	if x <= 0 || x >= 1 {
		return min(1, max(0, x))
	}
	// Equal steps of pressure reduce the admitted fraction by equal ratios, so that a small fraction of many requests can
	// be admitted.
	return 1 - math.Exp2(-6*x)
}

// Queue describes the queue of the event loop.
type Queue struct {
	OldestWait time.Duration // how long the oldest input has waited
	Length     int           // number of inputs
}

// maxQueueLength is the queue length from which all kinds that can be shed are rejected, whatever the delay is.
const maxQueueLength = 8192

// Admit reports whether a request is admitted. If not, retryAfter is the delay after which the client may retry. It
// increases with the number of recent rejections and is drawn at random, so that a storm of requests is spread over
// time when it returns.
func (s *Shedder) Admit(now time.Duration, k Kind, q Queue) (admitted bool, retryAfter time.Duration) {
	if k < Polls && s.random() < s.shedProbability(k, q) {
		s.stats.Shed[k]++
		s.recentRejections = s.decayRejections(now) + 1
		return false, randomDelay(s.random,
			time.Second+time.Duration(s.recentRejections/retriesPerSecond*float64(time.Second)))
	}
	return true, 0
}

// retriesPerSecond is the approximate rate at which rejected requests are allowed to return.
const retriesPerSecond = 2000.0

// decayRejections returns the number of recent rejections, decayed to the given time with a half-life of 5 s.
func (s *Shedder) decayRejections(now time.Duration) float64 {
	x := s.recentRejections * math.Exp2(-float64(now-s.decayedAt)/float64(5*time.Second))
	s.decayedAt = now
	return x
}

// randomDelay returns a delay between 0.5 and 1.5 times the mean, which is limited to 30 s.
func randomDelay(random func() float64, mean time.Duration) time.Duration {
	return time.Duration(float64(min(mean, 30*time.Second)) * (0.5 + random()))
}

// Stats returns the current metrics.
func (s *Shedder) Stats() Stats { return s.stats }
