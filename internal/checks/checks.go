// Package checks looks at every version before it is published. No I/O, no clock.
package checks

import (
	"fmt"
	"maps"
	"slices"

	"vetchwood/internal/tables"
)

// Host is what is known of one.
type Host struct {
	Up, WarmingUp bool
}

// Fault is what is wrong with a version, and where.
type Fault struct {
	Table  string         `json:"table,omitempty"`
	Host   tables.Address `json:"host,omitempty"`
	Reason string         `json:"why"`
}

func (f Fault) String() string {
	return fmt.Sprintf("table %s, host %s: %s", f.Table, f.Host, f.Reason)
}

// Step is a version beside the one before it. Tables that both share are passed over.
type Transition struct {
	Previous, Next             map[string]*tables.Table
	PreviousMasked, NextMasked map[tables.Address]bool
	Known                      func(tables.Address) bool // ever listed
	Listed                     map[tables.Address]Host
}

// bare says whether a table has nothing to offer.
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

// Look finds what a version must not do: leave a table bare that was not while a warm host is open; bear a weight that is
// none; name a host that no list ever named, or newly one that drains or is gone.
func Validate(s Transition) (faults []Fault) {
	warm := false
	for a, h := range s.Listed {
		warm = warm || h.Up && !h.WarmingUp && !s.NextMasked[a]
	}
	masks := !maps.Equal(s.PreviousMasked, s.NextMasked)
	for _, name := range slices.Sorted(maps.Keys(s.Next)) {
		was, is := s.Previous[name], s.Next[name]
		if was == is && !masks {
			continue
		}
		if warm && hasNoHost(is, s.NextMasked) && !hasNoHost(was, s.PreviousMasked) {
			faults = append(faults, Fault{Table: name, Reason: "left without a host, though a warm one is open"})
		}
		if was == is {
			continue
		}
		for _, a := range slices.Sorted(maps.Keys(is.Lines)) {
			w := is.Lines[a]
			old, stood := 0.0, false
			if was != nil {
				old, stood = was.Lines[a]
			}
			switch h, listed := s.Listed[a]; {
			case !(w > 0) || w > 1e9:
				faults = append(faults, Fault{name, a, fmt.Sprintf("weight %v is not above 0 and at most 1e9", w)})
			case !s.Known(a):
				faults = append(faults, Fault{name, a, "no list ever named it"})
			case listed && !h.Up && (!stood || w > old) && !s.NextMasked[a]:
				faults = append(faults, Fault{name, a, "it drains or is gone, and gets more than before"})
			}
		}
	}
	return faults
}
