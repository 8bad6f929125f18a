// Package pins decides what a table that an operator holds says from moment to moment: what it was pinned to, mended by
// the smallest change where the rules stand above it. No I/O, no clock.
package pins

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"vetchwood/internal/tables"
)

// Host is what is known of one that is listed.
type Host struct {
	Up        bool // open: neither draining nor gone
	WarmingUp bool // it may not be warm yet
	Masked    bool
}

// Fault is a line that could not be honoured.
type Deviation struct {
	Host   tables.Address `json:"host"`
	Reason string         `json:"why"`
}

// Mended is a table as it may be told.
type Adjusted struct {
	Lines      map[tables.Address]float64
	Deviations []Deviation
}

// coldPart is what a cold host gets of its weight: all of it would push it over, and nothing would leave its keys to
// hosts that don't hold them.
const warmUpWeightShare = 0.25

// Mend gives a pinned table's lines as the rules allow them. A host that drains or is gone goes out; a cold one is light;
// where no warm host is left that is open, one is drawn from those that are listed, for each table its own.
func Adjust(id int, pinned map[tables.Address]float64, listed map[tables.Address]Host) (m Adjusted) {
	m.Lines = map[tables.Address]float64{}
	warm, heaviest := false, 0.0
	for _, a := range slices.Sorted(maps.Keys(pinned)) {
		h, known := listed[a]
		w := pinned[a]
		switch {
		case !known:
			m.Deviations = append(m.Deviations, Deviation{a, "no longer listed"})
			continue
		case !h.Up:
			m.Deviations = append(m.Deviations, Deviation{a, "drains or is gone"})
			continue
		case h.WarmingUp:
			m.Deviations = append(m.Deviations, Deviation{a, "has just started: a quarter of its weight"})
			w *= warmUpWeightShare
		case h.Masked:
			m.Deviations = append(m.Deviations, Deviation{a, "masked"})
		default:
			warm = true
		}
		m.Lines[a] = w
		heaviest = max(heaviest, pinned[a])
	}
	if warm {
		return m
	}
	best, most := tables.Address(""), uint64(0)
	for _, a := range slices.Sorted(maps.Keys(listed)) {
		if h := listed[a]; h.Up && !h.WarmingUp && !h.Masked {
			if score := xxhash.Sum64String(strconv.Itoa(id) + " " + string(a)); best == "" || score > most {
				best, most = a, score
			}
		}
	}
	if best != "" {
		if heaviest == 0 {
			heaviest = 1
		}
		m.Lines[best] = heaviest
		m.Deviations = append(m.Deviations, Deviation{best, "added: no warm host was left"})
	}
	return m
}

// Moved is the part of a table's calls that go to other hosts by a change.
func MovedFraction(from, to map[tables.Address]float64) float64 {
	a, b := totalWeight(from), totalWeight(to)
	if a == 0 || b == 0 {
		return 0 // nothing went anywhere before, or nothing will
	}
	moved := 0.0
	for host, w := range to {
		moved += math.Max(0, w/b-from[host]/a)
	}
	return moved
}

func totalWeight(lines map[tables.Address]float64) (sum float64) {
	for _, w := range lines {
		sum += w
	}
	return sum
}
