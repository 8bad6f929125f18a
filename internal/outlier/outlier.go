// Package outlier ejects hosts at which a proxy's own tries keep failing (passive health checking). An ejection is the
// proxy's own decision, independent of the tables, and always temporary; if all hosts are ejected, the caller uses the
// least bad one. The package does no I/O and reads no clock.
package outlier

import "math"

// Bounds of an ejection, in milliseconds. The first ejection lasts about minEjectionMs, with jitter. Each further one
// without a successful answer in between lasts twice as long as the last, up to about maxEjectionMs.
const (
	minEjectionMs = 3000.0
	maxEjectionMs = 24000.0
)

// host is the state of a host that has failed since its last successful answer.
type host struct {
	consecutiveFailures int
	ejectedUntil        float64 // 0: not ejected
	ejectionMs          float64 // of the last ejection, without jitter
	trialInFlight       bool    // a trial that decides about readmission is in flight
	trialStart          float64
}

// Detector detects failing hosts for one proxy.
type Detector[K comparable] struct {
	threshold int // consecutive failures that eject a host; 0: hosts are never ejected
	hosts     map[K]*host
}

// New returns a Detector that ejects a host after threshold consecutive failures, never if it is 0.
func New[K comparable](threshold int) *Detector[K] { return &Detector[K]{threshold, map[K]*host{}} }

// SetThreshold sets how many consecutive failures eject a host. At 0, no host is ejected, and all are readmitted.
func (d *Detector[K]) SetThreshold(threshold int) {
	if d.threshold = threshold; threshold == 0 {
		clear(d.hosts)
	}
}

// Available reports whether a try may go to a host. After its ejection a host gets one try as a trial, and further ones
// once the trial succeeded. A trial that never ends must not keep the host ejected, so after maxEjectionMs it is ignored.
func (d *Detector[K]) Available(k K, now float64) bool {
	h := d.hosts[k]
	return h == nil || h.ejectedUntil == 0 || now >= h.ejectedUntil && (!h.trialInFlight || now-h.trialStart > maxEjectionMs)
}

// TryStarted records that a try was sent to a host. The first one after an ejection is the trial.
func (d *Detector[K]) TryStarted(k K, now float64) {
	if h := d.hosts[k]; h != nil && h.ejectedUntil > 0 && now >= h.ejectedUntil {
		h.trialInFlight, h.trialStart = true, now
	}
}

// TryEnded records the result of a try and reports whether it ejected the host; random is in [0,1).
func (d *Detector[K]) TryEnded(k K, succeeded bool, now, random float64) (ejected bool) {
	h := d.hosts[k]
	if succeeded {
		if h != nil {
			delete(d.hosts, k)
		}
		return false
	}
	if d.threshold == 0 {
		return false
	}
	if h == nil {
		h = &host{}
		d.hosts[k] = h
	}
	h.consecutiveFailures++
	switch {
	case h.ejectedUntil > 0 && now < h.ejectedUntil: // the try began before the ejection
		return false
	case h.ejectedUntil > 0:
		h.ejectionMs = min(maxEjectionMs, 2*h.ejectionMs)
	case h.consecutiveFailures >= d.threshold:
		h.ejectionMs = minEjectionMs
	default:
		return false
	}
	// The jitter of 30 percent keeps the proxies of a fleet from returning to a host at the same time.
	h.ejectedUntil, h.trialInFlight = now+h.ejectionMs*(0.7+0.6*random), false
	return true
}

// TryCanceled records that a try was canceled by its client, which says nothing about the host.
func (d *Detector[K]) TryCanceled(k K) {
	if h := d.hosts[k]; h != nil {
		h.trialInFlight = false
	}
}

// EjectedUntil returns when the ejection of a host ends, 0 if its failures did not eject it yet, -Inf if there are none.
// If all hosts are ejected, the one with the earliest end is the least bad.
func (d *Detector[K]) EjectedUntil(k K) float64 {
	if h := d.hosts[k]; h != nil {
		return h.ejectedUntil
	}
	return math.Inf(-1)
}

// Retain drops the state of hosts that no table names any more.
func (d *Detector[K]) Retain(named func(K) bool) {
	for k := range d.hosts {
		if !named(k) {
			delete(d.hosts, k)
		}
	}
}

// EjectedCount returns the number of hosts that are unavailable now.
func (d *Detector[K]) EjectedCount(now float64) (n int) {
	for k := range d.hosts {
		if !d.Available(k, now) {
			n++
		}
	}
	return n
}
