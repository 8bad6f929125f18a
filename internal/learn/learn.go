// Package learn weighs what other directors know, for one that has just started or comes out of a cut. Facts bear ages in
// place of times, so that no clock is compared with another's, and each is its donor's own: what a donor was told by others
// it does not pass on. What is concluded reaches the module as ordinary notes. No I/O, no clock.
package learn

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"vetchwood/internal/tables"
)

// Facts are what one director knows at first hand. All spans are milliseconds.
type Facts struct {
	Director   string      `json:"director"`
	Line       tables.Line `json:"line"`
	Uptime     float64     `json:"up_ms"`
	ProxyCount int         `json:"proxies_joined"`
	Leaving    bool        `json:"leaving,omitempty"`
	// ListAge is how long ago the list was last heard from; below 0 it never was.
	ListAge float64  `json:"list_age_ms"`
	Hosts   []Host   `json:"hosts"`
	Demand  []Demand `json:"demand,omitempty"`
	Levels  []Level  `json:"levels,omitempty"`
	Slices  []Slice  `json:"slices,omitempty"`
}

type (
	// Host is what is known of one: the list's word, and what proxies met there lately.
	Host struct {
		Address   tables.Address `json:"address"`
		ID        string         `json:"id,omitempty"`
		Zone      string         `json:"zone,omitempty"`
		Cell      string         `json:"cell,omitempty"`
		State     State          `json:"state"`
		StateAge  float64        `json:"state_age_ms"` // since the list first said so
		Weight    float64        `json:"weight"`
		StartedAt float64        `json:"born,omitempty"` // Unix milliseconds by the host's own word; 0 long ago
		Masked    bool           `json:"masked,omitempty"`
		Health    *Health        `json:"health,omitempty"`
	}
	// Health sums tries over a span that ends Age ago.
	Health struct {
		Period      float64            `json:"over_ms"`
		Age         float64            `json:"age_ms"`
		Finished    float64            `json:"ended"`
		Failed      float64            `json:"lost"`
		MeanLatency float64            `json:"spent_ms"` // of those that were answered, on average
		Load        map[string]float64 `json:"load,omitempty"`
	}
	// Demand is what came for a slice, as a rate.
	Demand struct {
		Slice      int     `json:"slice"`
		Route      string  `json:"route"`
		Rate       float64 `json:"calls_per_second"`
		Unanswered float64 `json:"unanswered_per_second"`
		Age        float64 `json:"age_ms"`
	}
	Level struct {
		Route string  `json:"route"`
		Level float64 `json:"level"`
		Tries int     `json:"tries"`
		Age   float64 `json:"age_ms"`
	}
	Slice struct {
		Slice   int         `json:"slice"`
		Fence   uint64      `json:"fence"`
		Version tables.Step `json:"version"`
	}
	// State is the list's word on a host.
	State string
)

const (
	Up       State = "up"
	Draining State = "draining"
	Gone     State = "gone"
)

// worse orders states by how much they keep away.
var worse = map[State]int{Up: 0, Draining: 1, Gone: 2}

// Heard is one donor's facts, with how long ago it told them.
type PeerFacts struct {
	Facts
	Age float64
}

// Own is what the asking director knows by itself.
type Local struct {
	ListAge    float64 // below 0: it has not heard from the list since its start
	Hosts      []Host  // by the list, or by its own store where the list was not heard from
	HasReports bool    // its own reports come in
}

// Why a donor's word counted for less.
type WeightReduction struct {
	Director string
	Weight   float64
	Reason   string
}

// Conclusion is what may be told to the module.
type Conclusion struct {
	Hosts            []Host // whose state or birth is other than what the asking director believes, or that it does not know
	Health           []Host // what was met there
	Demand           []Demand
	WeightReductions []WeightReduction
}

// Spans and bounds of belief. A fact counts half after halfLife; a donor below least is not followed against our own list.
const (
	halfLife  = 5000.0
	longAge   = 20000.0 // older facts are none
	least     = 0.5
	youngDays = 3000.0 // a donor up for less has little of its own
)

func aged(age float64) float64 {
	if age < 0 || age > longAge {
		return 0
	}
	return math.Exp2(-age / halfLife)
}

// weight says how far a donor is believed, and why not wholly.
func weight(me Local, d PeerFacts) (w float64, why string) {
	w = 1
	less := func(by float64, reason string) {
		if w *= by; by < 0.9 && why == "" {
			why = reason
		}
	}
	less(aged(d.Age), "its word is old")
	if d.Leaving {
		less(0.8, "it is leaving")
	}
	if d.Uptime < youngDays {
		less(max(0.2, d.Uptime/youngDays), "it has just started")
	}
	switch {
	case d.ListAge < 0:
		less(0.1, "it has not heard from the list itself")
	case me.ListAge >= 0 && d.ListAge > me.ListAge:
		less(max(0.1, aged(d.ListAge-me.ListAge)), "its list is older than ours")
	case me.ListAge < 0:
		less(max(0.1, aged(d.ListAge)), "its list is old")
	}
	// A donor that contradicts the list on many hosts follows another one. On a few it may just know more.
	if me.ListAge >= 0 {
		ours, both, against := map[tables.Address]Host{}, 0.0, 0.0
		for _, h := range me.Hosts {
			ours[h.Address] = h
		}
		for _, h := range d.Hosts {
			if o, known := ours[h.Address]; known {
				if both++; o.State != h.State || o.StartedAt != h.StartedAt {
					against++
				}
			} else {
				both, against = both+0.5, against+0.5
			}
		}
		if both > 0 && against > 1 {
			part := against / both
			less(1-min(0.95, 1.5*part), "it contradicts the list on many hosts")
		}
	}
	return w, why
}

// Weigh concludes from what was heard. The order of the donors does not matter.
func Reconcile(me Local, heard []PeerFacts) (c Conclusion) {
	heard = slices.Clone(heard)
	slices.SortFunc(heard, func(a, b PeerFacts) int { return cmp.Compare(a.Director, b.Director) })
	ours := map[tables.Address]Host{}
	for _, h := range me.Hosts {
		ours[h.Address] = h
	}
	best := map[tables.Address]claim{}
	health := map[tables.Address][]claim{}
	demand := map[Demand]sum{}
	for _, d := range heard {
		w, why := weight(me, d)
		if why != "" {
			c.WeightReductions = append(c.WeightReductions, WeightReduction{d.Director, w, why})
		}
		if w <= 0 {
			continue
		}
		for _, h := range d.Hosts {
			if h.Health != nil {
				health[h.Address] = append(health[h.Address], claim{h, w * aged(h.Health.Age+d.Age)})
			}
			if was, known := best[h.Address]; !known || stands(claim{h, w}, was) {
				best[h.Address] = claim{h, w}
			}
		}
		for _, x := range d.Demand {
			key, part := Demand{Slice: x.Slice, Route: x.Route}, w*aged(x.Age+d.Age)
			s := demand[key]
			// One slice has one holder; where two speak of it, the one that counts for more is nearer to the truth.
			if part > s.weight {
				demand[key] = sum{part, x.Rate, x.Unanswered, x.Age + d.Age}
			}
		}
	}
	for _, a := range slices.Sorted(maps.Keys(best)) {
		b := best[a]
		own, known := ours[a]
		switch {
		case !known && me.ListAge >= 0:
			// The list does not have it: it is gone, or it came just now and the list will tell.
		case !known && b.weight >= least/2:
			c.Hosts = append(c.Hosts, b.Host)
		case known && differs(me, own, b):
			h := b.Host
			h.Weight = own.Weight
			c.Hosts = append(c.Hosts, h)
		}
	}
	for _, a := range slices.Sorted(maps.Keys(health)) {
		if h, ok := mix(health[a]); ok && !me.HasReports {
			c.Health = append(c.Health, h)
		}
	}
	keys := slices.SortedFunc(maps.Keys(demand), func(x, y Demand) int {
		return cmp.Or(cmp.Compare(x.Slice, y.Slice), cmp.Compare(x.Route, y.Route))
	})
	for _, k := range keys {
		if s := demand[k]; s.weight >= least/4 {
			c.Demand = append(c.Demand, Demand{k.Slice, k.Route, s.rate, s.lost, s.age})
		}
	}
	return c
}

type claim struct {
	Host
	weight float64
}

type sum struct{ weight, rate, lost, age float64 }

// stands says whether one claim on a host counts before another: a later birth, then the credible one that keeps away.
func stands(a, b claim) bool {
	switch {
	case a.StartedAt != b.StartedAt && min(a.weight, b.weight) >= least:
		return a.StartedAt > b.StartedAt
	case a.State != b.State && min(a.weight, b.weight) >= least:
		return worse[a.State] > worse[b.State]
	}
	return a.weight > b.weight
}

// differs says whether a donor's claim on a host is followed against what we hold of it.
func differs(me Local, own Host, b claim) bool {
	switch {
	case b.StartedAt > own.StartedAt && b.weight >= least:
		return true // it has started anew since
	case b.StartedAt < own.StartedAt:
		return false // the claim is on an earlier life
	case worse[b.State] > worse[own.State]:
		return b.weight >= least // to keep away for a while costs little, to send where it drains breaks a rule
	case worse[b.State] < worse[own.State]:
		return me.ListAge < 0 && b.weight >= least // ours is from before our start
	}
	return false
}

// mix adds up what donors met at a host: each saw the calls of its own slices.
func mix(all []claim) (Host, bool) {
	h := all[0].Host
	s := Health{Load: map[string]float64{}}
	whole, spent := 0.0, 0.0
	for _, c := range all {
		x := c.Health
		if c.weight <= 0.05 || x.Finished <= 0 {
			continue
		}
		s.Finished += x.Finished * c.weight
		s.Failed += min(x.Failed, x.Finished) * c.weight
		good := max(0, x.Finished-x.Failed) * c.weight
		spent, whole = spent+x.MeanLatency*good, whole+good
		s.Period = max(s.Period, x.Period)
		for name, v := range x.Load {
			if _, has := s.Load[name]; !has || c.weight > all[0].weight {
				s.Load[name] = v
			}
		}
	}
	if s.Finished < 1 {
		return h, false
	}
	if whole > 0 {
		s.MeanLatency = spent / whole
	}
	h.Health = &s
	return h, true
}

// Due says whether to ask the others now. All spans are milliseconds: since the start, since the list was lost (below 0: it
// was not), since slices came from others, and since they were asked last (below 0: never).
func QueryDue(up, lost, given, asked float64) bool {
	switch {
	case asked >= 0 && asked < 400:
		return false
	case up < 2*youngDays || lost >= 0 && asked >= 800 || lost >= 0 && asked < 0:
		return true
	}
	return given >= 0 && given < 1500
}
