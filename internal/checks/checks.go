// Package checks validates each version before it is published. The package does no I/O and reads no clock.
package checks

import (
	"fmt"
	"maps"
	"slices"

	"vetchwood/internal/tables"
)

// Host is the condition of a host in the host list. Up means neither draining nor gone; WarmingUp means that the host
// may still be in slow start.
type Host struct {
	Up, WarmingUp bool
}

// Fault is a reason not to publish a version, with the table and the host that it concerns.
type Fault struct {
	Table  string         `json:"table,omitempty"`
	Host   tables.Address `json:"host,omitempty"`
	Reason string         `json:"why"`
}

// String returns the fault as text for the log.
func (f Fault) String() string {
	return fmt.Sprintf("table %s, host %s: %s", f.Table, f.Host, f.Reason)
}

// Transition holds the previous and the next version of the tables and masks. Tables that both versions share by
// pointer are checked only if the masks changed.
type Transition struct {
	Previous, Next             map[string]*tables.Table
	PreviousMasked, NextMasked map[tables.Address]bool
	Known                      func(tables.Address) bool // whether the host was ever listed
	Listed                     map[tables.Address]Host
}

// hasNoHost reports whether a table has no unmasked host.
func hasNoHost(t *tables.Table, masked map[tables.Address]bool) bool {
	if t == nil {
		return true
	}
	for a := range t.Lines {
		if !masked[a] {
			return false
		}
	}
	return true
}

// Validate returns the faults of the next version: a table that loses its last unmasked host while a warm, unmasked
// host is listed, a weight out of range, a host that was never listed, and a listed, unmasked host that drains or is
// gone and is added or gets more weight.
func Validate(s Transition) (faults []Fault) {
	warmHostListed := false
	for a, h := range s.Listed {
		warmHostListed = warmHostListed || h.Up && !h.WarmingUp && !s.NextMasked[a]
	}
	masksChanged := !maps.Equal(s.PreviousMasked, s.NextMasked)
	for _, name := range slices.Sorted(maps.Keys(s.Next)) {
		previous, next := s.Previous[name], s.Next[name]
		if previous == next && !masksChanged {
			continue
		}
		if warmHostListed && hasNoHost(next, s.NextMasked) && !hasNoHost(previous, s.PreviousMasked) {
			faults = append(faults, Fault{Table: name, Reason: "left without a host although a warm, unmasked host is listed"})
		}
		if previous == next {
			continue
		}
		for _, a := range slices.Sorted(maps.Keys(next.Lines)) {
			w := next.Lines[a]
			previousWeight, existed := 0.0, false
			if previous != nil {
				previousWeight, existed = previous.Lines[a]
			}
			switch h, listed := s.Listed[a]; {
			case !(w > 0) || w > 1e9:
				faults = append(faults, Fault{name, a, fmt.Sprintf("weight %v is out of range: it must be above 0 and at most 1e9", w)})
			case !s.Known(a):
				faults = append(faults, Fault{name, a, "host was never in the host list"})
			case listed && !h.Up && (!existed || w > previousWeight) && !s.NextMasked[a]:
				faults = append(faults, Fault{name, a, "host is draining or gone, but is added or gets more weight"})
			}
		}
	}
	return faults
}
