package judge

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Terms are what the rules are judged by.
type Criteria struct {
	Routes            map[string]tables.Route
	LateShare         map[string]float64
	Slices            int
	EmptyTableLimit   float64 // milliseconds
	DrainGrace        float64
	WarmAfter         time.Duration
	ColdCapacity      float64
	ColdOverloadLimit float64
	ColdFailAfter     time.Duration
	QueueLimit        float64 // lines
	MessageOverhead   float64
	MessageLimit      int
	MessageWindow     float64
	From, Until       float64 // of the day
}

// Rule is the verdict on one of them: what was measured, and what it may be.
type Rule struct {
	Name  string  `json:"name"`
	Kept  bool    `json:"kept"`
	Worst float64 `json:"worst"`
	Limit float64 `json:"limit"`
	Unit  string  `json:"unit"`
	Where string  `json:"where,omitempty"`
}

// Verdict is that on a day.
type Verdict struct {
	Rules           []Rule             `json:"rules"`
	Service         float64            `json:"service"` // importance answered in time over importance asked for
	WorstTenSeconds float64            `json:"service_worst_10s"`
	ByRoute         map[string]float64 `json:"service_by_route"`
	Calls           int                `json:"calls"`
	Answered        int                `json:"answered"`
	Throttled       int                `json:"throttled"`
	Dropped         int                `json:"dropped"`
	Tries           int                `json:"tries"`
	Versions        int                `json:"versions_seen"`
	Regressions     int                `json:"sent_backwards"`
	Collapses       int                `json:"hosts_fallen"`
	P50Ms           float64            `json:"answer_ms_p50"`
	P99Ms           float64            `json:"answer_ms_p99"`
	HostLists       int                `json:"lists_told"`
	FullDocuments   int                `json:"whole_documents"`
	Deltas          int                `json:"deltas"`
}

// Kept says whether all rules held.
func (v Verdict) Kept() bool {
	return v.Regressions == 0 && !slices.ContainsFunc(v.Rules, func(r Rule) bool { return !r.Kept })
}

// Judge reads the book once the day is over.
func (b *Recorder) Judge(t Criteria) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	slices.SortStableFunc(b.Arrivals, func(a, c Arrival) int { return compareTimes(a.At, c.At) })
	slices.SortStableFunc(b.Tries, func(a, c Try) int { return compareTimes(a.At, c.At) })
	slices.SortStableFunc(b.ProxyUpdates, func(a, c ProxyUpdate) int { return compareTimes(a.At, c.At) })
	slices.SortStableFunc(b.HostLists, func(a, c HostList) int { return compareTimes(a.At, c.At) })
	slices.SortStableFunc(b.Ownerships, func(a, c Ownership) int { return compareTimes(a.At, c.At) })
	b.markOwnershipChanges()
	v := Verdict{Tries: len(b.Tries), Collapses: len(b.Collapses), HostLists: len(b.HostLists)}
	v.Rules = []Rule{b.checkLines(t), b.checkEffects(t), b.checkDrains(t), b.checkColdHosts(t), b.checkQueue(t), b.checkMessages(t)}
	b.measureService(t, &v)
	b.countVersions(&v)
	return v
}

func compareTimes(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// spans are stretches of time, in order.
type span struct{ from, to float64 }

// warmListed is when the list told the director of an open host that is warm.
func (b *Recorder) warmHostSpans(t Criteria) (out []span) {
	for i, told := range b.HostLists {
		until := t.Until
		if i+1 < len(b.HostLists) {
			until = b.HostLists[i+1].At
		}
		from := math.Inf(1)
		for _, h := range told.Hosts {
			if h.State == logic.Up {
				from = min(from, max(told.At, h.StartedAt+float64(t.WarmAfter.Milliseconds())))
			}
		}
		if from < until {
			if n := len(out); n > 0 && out[n-1].to >= from {
				out[n-1].to = until
			} else {
				out = append(out, span{from, until})
			}
		}
	}
	return out
}

// bare is the first rule: no joined proxy without a line to pick.
func (b *Recorder) checkLines(t Criteria) Rule {
	r := Rule{Name: "no proxy without a line", Kept: true, Limit: t.EmptyTableLimit, Unit: "ms"}
	warm := b.warmHostSpans(t)
	since := map[string]map[string]float64{} // proxy, table: bare from then on
	with := map[string]map[string]bool{}     // proxy, directors
	joined := func(h ProxyUpdate) int {
		if with[h.Proxy] == nil {
			with[h.Proxy] = map[string]bool{}
		}
		if with[h.Proxy][h.Director] = h.Joined; !h.Joined {
			delete(with[h.Proxy], h.Director)
		}
		return len(with[h.Proxy])
	}
	end := func(proxy, table string, at float64) {
		from, was := since[proxy][table]
		if !was {
			return
		}
		delete(since[proxy], table)
		for _, w := range warm {
			if long := min(at, w.to) - max(from, w.from); long > r.Worst {
				r.Worst, r.Where = long, fmt.Sprintf("proxy %s, table %s, %.1f s into the day", proxy, table, (from-t.From)/1000)
			}
		}
	}
	for _, h := range b.ProxyUpdates {
		if since[h.Proxy] == nil {
			since[h.Proxy] = map[string]float64{}
		}
		if h.Doc == nil {
			if joined(h) == 0 {
				for _, table := range slices.Sorted(maps.Keys(since[h.Proxy])) {
					end(h.Proxy, table, h.At)
				}
			}
			continue
		}
		names := slices.Sorted(maps.Keys(h.Doc.Tables))
		if t.Slices == 0 {
			names = slices.Sorted(maps.Keys(t.Routes))
		}
		for _, name := range names {
			table := h.Doc.Tables[name]
			if t.Slices == 0 {
				table = h.Doc.Tables[h.Doc.Routes[name].Table]
			}
			open := false
			if table != nil {
				of, _ := h.Doc.SourceOf(name)
				for a := range table.Lines {
					open = open || !of.Masked[a]
				}
			}
			if _, was := since[h.Proxy][name]; open {
				end(h.Proxy, name, h.At)
			} else if !was {
				since[h.Proxy][name] = h.At
			}
		}
	}
	for _, proxy := range slices.Sorted(maps.Keys(since)) {
		for _, table := range slices.Sorted(maps.Keys(since[proxy])) {
			end(proxy, table, t.Until)
		}
	}
	r.Kept = r.Worst <= r.Limit
	return r
}

// twice is the second: no effect twice by our orders. The callers of a rehearsal don't repeat by themselves.
func (b *Recorder) checkEffects(t Criteria) Rule {
	r := Rule{Name: "no effect twice", Kept: true, Unit: "calls"}
	ran := map[string]int{}
	for _, a := range b.Arrivals {
		if a.Executed && a.Call != "" && t.Routes[a.Route].Idempotency != "repeatable" {
			if ran[a.Call]++; ran[a.Call] == 2 {
				r.Worst++
				r.Where = fmt.Sprintf("call %s of %s at %s", a.Call, a.Route, a.Host)
			}
		}
	}
	r.Kept = r.Worst == 0
	return r
}

// cold is the fourth: no host that has just started is pushed over by what was sent after its start was known.
func (b *Recorder) checkColdHosts(t Criteria) Rule {
	r := Rule{Name: "no cold host pushed over", Kept: true, Limit: 1, Unit: "of what it bears"}
	known := map[tables.Address][]float64{} // when the director first heard of each start
	births := map[tables.Address]float64{}
	for _, told := range b.HostLists {
		for _, h := range told.Hosts {
			if h.State == logic.Up && h.StartedAt != births[h.Address] {
				births[h.Address] = h.StartedAt
				known[h.Address] = append(known[h.Address], told.At)
			}
		}
	}
	work := map[tables.Address][]Work{}
	born := map[tables.Address]float64{}
	for _, a := range b.Arrivals {
		if born[a.Host] != a.HostStartedAt {
			born[a.Host], work[a.Host] = a.HostStartedAt, nil
		}
		heard := slices.ContainsFunc(known[a.Host], func(at float64) bool { return at >= a.HostStartedAt && at <= a.At })
		if !heard {
			continue // the director could not know
		}
		w := append(work[a.Host], Work{a.At, a.WorkMs})
		if part := ColdOverload(&w, a.At, a.HostStartedAt, a.Cores, t.ColdCapacity, t.WarmAfter, t.ColdOverloadLimit, t.ColdFailAfter); part > r.Worst {
			r.Worst, r.Where = part, fmt.Sprintf("host %s, %.1f s after its start", a.Host, (a.At-a.HostStartedAt)/1000)
		}
		work[a.Host] = w
	}
	r.Kept = r.Worst < r.Limit
	return r
}

// queue is the fifth, as seen from outside: a version's lines wait from when it was ordered until they come.
func (b *Recorder) checkQueue(t Criteria) Rule {
	r := Rule{Name: "a short queue", Kept: true, Limit: t.QueueLimit, Unit: "lines"}
	type edge struct{ at, lines float64 }
	edges := map[string][]edge{}
	for _, h := range b.ProxyUpdates {
		if h.Doc != nil && !h.Full && !h.byOwnershipChange && h.Doc.At < h.At {
			lines := float64(h.Lines) + t.MessageOverhead
			edges[h.Director] = append(edges[h.Director], edge{h.Doc.At, lines}, edge{h.At, -lines})
		}
	}
	for _, director := range slices.Sorted(maps.Keys(edges)) {
		all := edges[director]
		slices.SortStableFunc(all, func(a, c edge) int { return compareTimes(a.at, c.at) })
		waiting := 0.0
		for _, e := range all {
			if waiting += e.lines; waiting > r.Worst {
				r.Worst, r.Where = waiting, fmt.Sprintf("%.1f s into the day %s", (e.at-t.From)/1000, director)
			}
		}
	}
	r.Kept = r.Worst <= r.Limit
	return r
}

func (b *Recorder) checkMessages(t Criteria) Rule {
	r := Rule{Name: "the message limit", Kept: true, Limit: float64(t.MessageLimit), Unit: "messages"}
	type pair struct{ proxy, director string }
	times := map[pair][]float64{}
	for _, h := range b.ProxyUpdates {
		if h.Doc == nil || h.Full || h.byOwnershipChange {
			continue
		}
		to := pair{h.Proxy, h.Director}
		all := append(times[to], h.At)
		for h.At-all[0] > t.MessageWindow {
			all = all[1:]
		}
		if times[to] = all; float64(len(all)) > r.Worst {
			r.Worst, r.Where = float64(len(all)), "proxy "+h.Proxy
		}
	}
	r.Kept = t.MessageLimit == 0 || r.Worst <= r.Limit
	return r
}

func (b *Recorder) measureService(t Criteria, v *Verdict) {
	type sum struct{ got, asked float64 }
	var whole sum
	routes, tens := map[string]*sum{}, map[int]*sum{}
	var took []float64
	for _, o := range b.Outcomes {
		route := t.Routes[o.Route]
		got := 0.0
		v.Calls++
		switch {
		case o.Throttled:
			v.Throttled++
		case !o.Answered:
			v.Dropped++
		default:
			v.Answered++
			took = append(took, o.Latency)
			if o.Latency <= route.SLOMs {
				got = route.Importance
			} else if o.Latency <= route.TimeLimitMs {
				got = route.Importance * t.LateShare[o.Route]
			}
		}
		at := int((o.At - o.Latency - t.From) / 10000)
		if routes[o.Route] == nil {
			routes[o.Route] = &sum{}
		}
		if tens[at] == nil {
			tens[at] = &sum{}
		}
		for _, s := range []*sum{&whole, routes[o.Route], tens[at]} {
			s.got, s.asked = s.got+got, s.asked+route.Importance
		}
	}
	v.Service, v.WorstTenSeconds, v.ByRoute = whole.got/max(1e-9, whole.asked), 1, map[string]float64{}
	for name, s := range routes {
		v.ByRoute[name] = s.got / max(1e-9, s.asked)
	}
	for _, s := range tens {
		if s.asked > whole.asked/100 {
			v.WorstTenSeconds = min(v.WorstTenSeconds, s.got/s.asked)
		}
	}
	if slices.Sort(took); len(took) > 0 {
		v.P50Ms, v.P99Ms = took[len(took)/2], took[len(took)*99/100]
	}
}

// versions counts what proxies held, and whether any was ever sent back.
func (b *Recorder) countVersions(v *Verdict) {
	type pair struct{ proxy, director string }
	last, seen := map[pair]*tables.Document{}, map[string]bool{}
	fences := map[pair]uint64{}
	for _, h := range b.ProxyUpdates {
		if h.Doc == nil {
			continue
		}
		own, to := h.directorDocument(), pair{h.Proxy, h.Director}
		if was := last[to]; was != nil && was.History == own.History && own.Step < was.Step {
			v.Regressions++
		}
		if h.DirectorDoc != nil {
			for name, t := range h.Doc.Tables { // in force: never an earlier holder's after a later one's
				of := pair{h.Proxy, name}
				if t.Fence < fences[of] {
					v.Regressions++
				}
				fences[of] = max(fences[of], t.Fence)
			}
		}
		if h.Full {
			v.FullDocuments++
		} else {
			v.Deltas++
		}
		last[to], seen[own.Version] = own, true
	}
	v.Versions = len(seen)
}
