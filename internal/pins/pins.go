// Package pins computes the published content of tables that an operator has pinned: the pinned lines, with the
// smallest changes that the rules for hosts require. The package does no I/O and reads no clock.
package pins

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"vetchwood/internal/tables"
)

// Host is the condition of a host in the host list.
type Host struct {
	Up        bool // neither draining nor gone
	WarmingUp bool // started recently, so it may still be in slow start
	Masked    bool
}

// Deviation is a line of a pinned table that cannot be honoured as pinned, or a host that was added to the table.
type Deviation struct {
	Host   tables.Address `json:"host"`
	Reason string         `json:"why"`
}

// Adjusted is a pinned table as it may be published.
type Adjusted struct {
	Lines      map[tables.Address]float64
	Deviations []Deviation
}

// warmUpWeightShare is the share of its pinned weight that a host in slow start gets. The full weight would overload
// the host, and no weight would move its keys to hosts that do not hold them.
const warmUpWeightShare = 0.25

// Adjust returns the lines of a pinned table as the rules allow them. Hosts that drain or are gone are removed, and
// hosts in slow start get a reduced weight. If no line with a warm, unmasked host is left, Adjust adds such a host from
// the host list. It is chosen by rendezvous hashing with the table's number, so that different tables get different
// hosts.
func Adjust(id int, pinned map[tables.Address]float64, listed map[tables.Address]Host) (m Adjusted) {
	m.Lines = map[tables.Address]float64{}
	hasWarmHost, heaviest := false, 0.0
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
			hasWarmHost = true
		}
		m.Lines[a] = w
		heaviest = max(heaviest, pinned[a])
	}
	if hasWarmHost {
		return m
	}
	best, highest := tables.Address(""), uint64(0)
	for _, a := range slices.Sorted(maps.Keys(listed)) {
		if h := listed[a]; h.Up && !h.WarmingUp && !h.Masked {
			if score := xxhash.Sum64String(strconv.Itoa(id) + " " + string(a)); best == "" || score > highest {
				best, highest = a, score
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

// MovedFraction returns the fraction of a table's calls that a change of its lines moves to other hosts.
func MovedFraction(from, to map[tables.Address]float64) float64 {
	fromTotal, toTotal := totalWeight(from), totalWeight(to)
	if fromTotal == 0 || toTotal == 0 {
		return 0 // the table sends no calls before or after the change
	}
	moved := 0.0
	for host, w := range to {
		moved += math.Max(0, w/toTotal-from[host]/fromTotal)
	}
	return moved
}

func totalWeight(lines map[tables.Address]float64) (sum float64) {
	for _, w := range lines {
		sum += w
	}
	return sum
}
