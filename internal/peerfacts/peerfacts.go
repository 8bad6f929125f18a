// Package peerfacts reconciles the facts of other directors (peers) with those of a director that has just started or
// recovers from a network partition. Facts carry ages rather than times, so that no two clocks are compared. A peer
// reports only what it observed itself and does not pass on what others reported. The conclusions reach the decision
// module as ordinary events. The package does no I/O and reads no clock.
package peerfacts

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"vetchwood/internal/tables"
)

// Facts are what one director observed itself. All ages and spans are in milliseconds.
type Facts struct {
	Director   string           `json:"director"`
	History    tables.HistoryID `json:"line"`
	Uptime     float64          `json:"up_ms"`
	ProxyCount int              `json:"proxies_joined"`
	Leaving    bool             `json:"leaving,omitempty"` // set by the receiver, from the peer's membership record
	// ListAge is the time since the host list was last known to be current, below 0 if there has been none.
	ListAge float64  `json:"list_age_ms"`
	Hosts   []Host   `json:"hosts"`
	Demand  []Demand `json:"demand,omitempty"`
	Levels  []Level  `json:"levels,omitempty"`
	Slices  []Slice  `json:"slices,omitempty"`
}

type (
	// Host is a host's entry in the host list and the recent results of tries there.
	Host struct {
		Address   tables.Address `json:"address"`
		ID        string         `json:"id,omitempty"`
		Zone      string         `json:"zone,omitempty"`
		Cell      string         `json:"cell,omitempty"`
		State     State          `json:"state"`
		StateAge  float64        `json:"state_age_ms"` // since the host list first had this state
		Weight    float64        `json:"weight"`
		StartedAt float64        `json:"born,omitempty"` // Unix milliseconds by the host's own report; 0: long ago
		Masked    bool           `json:"masked,omitempty"`
		Health    *Health        `json:"health,omitempty"`
	}
	// Health sums up the tries of a period that ended Age ago.
	Health struct {
		Period      float64            `json:"over_ms"`
		Age         float64            `json:"age_ms"`
		Finished    float64            `json:"ended"`
		Failed      float64            `json:"lost"`
		MeanLatency float64            `json:"spent_ms"` // of the answered tries
		Load        map[string]float64 `json:"load,omitempty"`
	}
	// Demand is the rate of a route's calls for a slice.
	Demand struct {
		Slice      int     `json:"slice"`
		Route      string  `json:"route"`
		Rate       float64 `json:"calls_per_second"`
		Unanswered float64 `json:"unanswered_per_second"`
		Age        float64 `json:"age_ms"`
	}
	// Level is the admission level of a route.
	Level struct {
		Route string  `json:"route"`
		Level float64 `json:"level"`
		Tries int     `json:"tries"`
		Age   float64 `json:"age_ms"`
	}
	// Slice is a slice that the director owns, with the fence of its lease.
	Slice struct {
		Slice   int         `json:"slice"`
		Fence   uint64      `json:"fence"`
		Version tables.Step `json:"version"`
	}
	// State is a host's state by the host list.
	State string
)

// The states of a host.
const (
	Up       State = "up"
	Draining State = "draining"
	Gone     State = "gone"
)

// severity orders states by how much traffic they keep away from a host.
var severity = map[State]int{Up: 0, Draining: 1, Gone: 2}

// Report holds the facts of one peer, received Age milliseconds ago.
type Report struct {
	Facts
	Age float64
}

// Local is what the asking director knows by itself.
type Local struct {
	ListAge    float64 // below 0: no host list has come since its start
	Hosts      []Host  // by the host list or, before the first one, by the local store
	HasReports bool    // its own proxies have sent load reports
}

// WeightReduction tells why a peer's facts have less than full weight.
type WeightReduction struct {
	Director string
	Weight   float64
	Reason   string
}

// Conclusion is what follows from the facts of all peers, for the decision module.
type Conclusion struct {
	Hosts            []Host // whose state or start differs from the local one, or that are unknown locally
	Health           []Host // with the merged results of tries
	Demand           []Demand
	WeightReductions []WeightReduction
}

// Ages are in milliseconds. The weight of a fact halves with each halfLife. A peer below minWeight does not override the
// local host list.
const (
	halfLife  = 5000.0
	maxAge    = 20000.0 // older facts have no weight
	minWeight = 0.5
	minUptime = 3000.0 // a peer with less has observed little itself
)

// ageWeight returns the weight of a fact by its age in milliseconds.
func ageWeight(age float64) float64 {
	if age < 0 || age > maxAge {
		return 0
	}
	return math.Exp2(-age / halfLife)
}

// peerWeight returns how much a peer's facts count, from 0 to 1, and the first reason that reduces it by more than
// a tenth.
func peerWeight(local Local, p Report) (w float64, why string) {
	w = 1
	reduce := func(factor float64, reason string) {
		if w *= factor; factor < 0.9 && why == "" {
			why = reason
		}
	}
	reduce(ageWeight(p.Age), "its facts are old")
	if p.Leaving {
		reduce(0.8, "it is shutting down")
	}
	if p.Uptime < minUptime {
		reduce(max(0.2, p.Uptime/minUptime), "it has just started")
	}
	switch {
	case p.ListAge < 0:
		reduce(0.1, "it has not received a host list itself")
	case local.ListAge >= 0 && p.ListAge > local.ListAge:
		reduce(max(0.1, ageWeight(p.ListAge-local.ListAge)), "its host list is older than the local one")
	case local.ListAge < 0:
		reduce(max(0.1, ageWeight(p.ListAge)), "its host list is old")
	}
	// A peer that contradicts the local host list on many hosts follows a different list. On a few hosts it may just
	// know more.
	if local.ListAge >= 0 {
		known, compared, conflicts := map[tables.Address]Host{}, 0.0, 0.0
		for _, h := range local.Hosts {
			known[h.Address] = h
		}
		for _, h := range p.Hosts {
			if own, found := known[h.Address]; found {
				if compared++; own.State != h.State || own.StartedAt != h.StartedAt {
					conflicts++
				}
			} else {
				compared, conflicts = compared+0.5, conflicts+0.5
			}
		}
		if compared > 0 && conflicts > 1 {
			fraction := conflicts / compared
			reduce(1-min(0.95, 1.5*fraction), "it contradicts the local host list on many hosts")
		}
	}
	return w, why
}

// Reconcile draws conclusions from the facts of all peers. Their order does not matter.
func Reconcile(local Local, peers []Report) (c Conclusion) {
	peers = slices.Clone(peers)
	slices.SortFunc(peers, func(a, b Report) int { return cmp.Compare(a.Director, b.Director) })
	localHosts := map[tables.Address]Host{}
	for _, h := range local.Hosts {
		localHosts[h.Address] = h
	}
	best := map[tables.Address]claim{}
	health := map[tables.Address][]claim{}
	demand := map[Demand]weightedDemand{}
	for _, p := range peers {
		w, why := peerWeight(local, p)
		if why != "" {
			c.WeightReductions = append(c.WeightReductions, WeightReduction{p.Director, w, why})
		}
		if w <= 0 {
			continue
		}
		for _, h := range p.Hosts {
			if h.Health != nil {
				health[h.Address] = append(health[h.Address], claim{h, w * ageWeight(h.Health.Age+p.Age)})
			}
			if other, found := best[h.Address]; !found || outranks(claim{h, w}, other) {
				best[h.Address] = claim{h, w}
			}
		}
		for _, x := range p.Demand {
			key, weight := Demand{Slice: x.Slice, Route: x.Route}, w*ageWeight(x.Age+p.Age)
			s := demand[key]
			// A slice has one owner. Where two peers report its demand, the one with the greater weight is used, as it
			// is nearer to the truth.
			if weight > s.weight {
				demand[key] = weightedDemand{weight, x.Rate, x.Unanswered, x.Age + p.Age}
			}
		}
	}
	for _, a := range slices.Sorted(maps.Keys(best)) {
		b := best[a]
		own, known := localHosts[a]
		switch {
		case !known && local.ListAge >= 0:
			// The local host list lacks it: it is gone, or it is new and the list will have it soon.
		case !known && b.weight >= minWeight/2:
			c.Hosts = append(c.Hosts, b.Host)
		case known && overrides(local, own, b):
			h := b.Host
			h.Weight = own.Weight
			c.Hosts = append(c.Hosts, h)
		}
	}
	for _, a := range slices.Sorted(maps.Keys(health)) {
		if h, ok := mergeHealth(health[a]); ok && !local.HasReports {
			c.Health = append(c.Health, h)
		}
	}
	keys := slices.SortedFunc(maps.Keys(demand), func(x, y Demand) int {
		return cmp.Or(cmp.Compare(x.Slice, y.Slice), cmp.Compare(x.Route, y.Route))
	})
	for _, k := range keys {
		if s := demand[k]; s.weight >= minWeight/4 {
			c.Demand = append(c.Demand, Demand{k.Slice, k.Route, s.rate, s.unanswered, s.age})
		}
	}
	return c
}

// claim is a peer's report of a host, with its weight.
type claim struct {
	Host
	weight float64
}

// weightedDemand is a peer's report of the demand for a slice, with its weight.
type weightedDemand struct{ weight, rate, unanswered, age float64 }

// outranks reports whether one claim on a host takes precedence over another. Between credible claims the later start
// comes first, then the more severe state; otherwise the greater weight decides.
func outranks(a, b claim) bool {
	switch {
	case a.StartedAt != b.StartedAt && min(a.weight, b.weight) >= minWeight:
		return a.StartedAt > b.StartedAt
	case a.State != b.State && min(a.weight, b.weight) >= minWeight:
		return severity[a.State] > severity[b.State]
	}
	return a.weight > b.weight
}

// overrides reports whether a peer's claim on a host replaces the local state of the host.
func overrides(local Local, own Host, b claim) bool {
	switch {
	case b.StartedAt > own.StartedAt && b.weight >= minWeight:
		return true // it has restarted since
	case b.StartedAt < own.StartedAt:
		return false // the claim predates the host's latest start
	case severity[b.State] > severity[own.State]:
		return b.weight >= minWeight // to avoid a host for a while costs little; to send to a draining one breaks a rule
	case severity[b.State] < severity[own.State]:
		return local.ListAge < 0 && b.weight >= minWeight // the local state predates this director's start
	}
	return false
}

// mergeHealth adds up the tries that peers report for a host, each from the calls of its own slices. It reports whether
// there is at least one.
func mergeHealth(all []claim) (Host, bool) {
	h := all[0].Host
	s := Health{Load: map[string]float64{}}
	answered, latencySum := 0.0, 0.0
	for _, c := range all {
		x := c.Health
		if c.weight <= 0.05 || x.Finished <= 0 {
			continue
		}
		s.Finished += x.Finished * c.weight
		s.Failed += min(x.Failed, x.Finished) * c.weight
		good := max(0, x.Finished-x.Failed) * c.weight
		latencySum, answered = latencySum+x.MeanLatency*good, answered+good
		s.Period = max(s.Period, x.Period)
		for name, v := range x.Load {
			if _, found := s.Load[name]; !found || c.weight > all[0].weight {
				s.Load[name] = v
			}
		}
	}
	if s.Finished < 1 {
		return h, false
	}
	if answered > 0 {
		s.MeanLatency = latencySum / answered
	}
	h.Health = &s
	return h, true
}

// QueryDue reports whether to query the peers now. Its arguments are spans in milliseconds: uptime since the start,
// discoveryLost since host discovery was lost (below 0: it was not), granted since slices were last taken over (below
// 0: never), and queried since the last query (below 0: never). Queries are due every 400 ms up to an uptime of twice
// minUptime and for 1.5 s after slices were taken over, and every 800 ms while discovery is lost.
func QueryDue(uptime, discoveryLost, granted, queried float64) bool {
	switch {
	case queried >= 0 && queried < 400:
		return false
	case uptime < 2*minUptime || discoveryLost >= 0 && queried >= 800 || discoveryLost >= 0 && queried < 0:
		return true
	}
	return granted >= 0 && granted < 1500
}
