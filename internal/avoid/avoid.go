// Package avoid keeps a proxy away from a host at which its own tries keep failing. It is the proxy's own view,
// beside the tables: it closes no line for good, and where all are avoided the least bad is used. No I/O, no clock.
package avoid

import "math"

// Spans of avoidance, in milliseconds: the first is drawn about shortest, and each that follows without a good answer
// between doubles, up to longest.
const (
	shortest = 3000.0
	longest  = 24000.0
)

type host struct {
	failed  int // in a row
	until   float64
	span    float64
	probing bool // one try is out to learn whether it is back
	since   float64
}

// View is one proxy's.
type Detector[K comparable] struct {
	after int // failures in a row; 0: never avoids
	hosts map[K]*host
}

func New[K comparable](after int) *Detector[K] { return &Detector[K]{after, map[K]*host{}} }

// After sets how many failures in a row count; 0: none do.
func (v *Detector[K]) SetThreshold(n int) {
	if v.after = n; n == 0 {
		clear(v.hosts)
	}
}

// Open says whether a try may go to a host. One whose span is over gets one try, and more once that was answered.
// A try that never ends must not keep a host shut: after the longest span it counts as lost.
func (v *Detector[K]) Available(k K, now float64) bool {
	h := v.hosts[k]
	return h == nil || h.until == 0 || now >= h.until && (!h.probing || now-h.since > longest)
}

// Begin tells of a try.
func (v *Detector[K]) TryStarted(k K, now float64) {
	if h := v.hosts[k]; h != nil && h.until > 0 && now >= h.until {
		h.probing, h.since = true, now
	}
}

// End tells how a try ended; chance is in [0,1).
func (v *Detector[K]) TryEnded(k K, good bool, now, chance float64) (shut bool) {
	h := v.hosts[k]
	if good {
		if h != nil {
			delete(v.hosts, k)
		}
		return false
	}
	if v.after == 0 {
		return false
	}
	if h == nil {
		h = &host{}
		v.hosts[k] = h
	}
	h.failed++
	switch {
	case h.until > 0 && now < h.until: // begun before it was shut
		return false
	case h.until > 0:
		h.span = min(longest, 2*h.span)
	case h.failed >= v.after:
		h.span = shortest
	default:
		return false
	}
	// Drawn, so that the proxies of a fleet don't all come back to a host at once.
	h.until, h.probing = now+h.span*(0.7+0.6*chance), false
	return true
}

// Unended tells that a try ended without a word on the host, given up by its client.
func (v *Detector[K]) TryCanceled(k K) {
	if h := v.hosts[k]; h != nil {
		h.probing = false
	}
}

// Until is when a host comes back; of hosts that are all avoided the first to come back is the least bad.
func (v *Detector[K]) EjectedUntil(k K) float64 {
	if h := v.hosts[k]; h != nil {
		return h.until
	}
	return math.Inf(-1)
}

// Keep forgets the hosts that no table names any more.
func (v *Detector[K]) Retain(named func(K) bool) {
	for k := range v.hosts {
		if !named(k) {
			delete(v.hosts, k)
		}
	}
}

// Shut is how many hosts are avoided now.
func (v *Detector[K]) EjectedCount(now float64) (n int) {
	for k := range v.hosts {
		if !v.Available(k, now) {
			n++
		}
	}
	return n
}
