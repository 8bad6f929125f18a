package verdict

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Criteria are the limits and settings by which a day is judged.
type Criteria struct {
	Routes            map[string]tables.Route
	LateShare         map[string]float64 // fraction of its importance that a late answer counts, by route
	Slices            int                // 0: the tables belong to routes
	EmptyTableLimit   float64            // milliseconds
	DrainGrace        float64            // milliseconds
	WarmAfter         time.Duration
	ColdCapacity      float64
	ColdOverloadLimit float64
	ColdFailAfter     time.Duration
	QueueLimit        float64 // lines
	MessageOverhead   float64 // lines that a message counts in addition to its own
	MessageLimit      int     // messages to a proxy within MessageWindow; 0: unlimited
	MessageWindow     float64 // milliseconds
	From, Until       float64 // of the day, Unix milliseconds
}

// Rule is the verdict on a rule: the worst value measured, its limit, and where it occurred.
type Rule struct {
	Name  string  `json:"name"`
	Kept  bool    `json:"kept"`
	Worst float64 `json:"worst"`
	Limit float64 `json:"limit"`
	Unit  string  `json:"unit"`
	Where string  `json:"where,omitempty"`
}

// Verdict is the result of a day: the verdicts on the rules, the quality of service, and counts.
type Verdict struct {
	Rules           []Rule             `json:"rules"`
	Service         float64            `json:"service"` // importance of calls answered in time over that of all calls
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

// Kept reports whether all rules were kept and no proxy was sent back to an earlier version.
func (v Verdict) Kept() bool {
	return v.Regressions == 0 && !slices.ContainsFunc(v.Rules, func(r Rule) bool { return !r.Kept })
}

// Judge evaluates the records after the end of the day.
func (rec *Recorder) Judge(t Criteria) Verdict {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	slices.SortStableFunc(rec.Arrivals, func(a, c Arrival) int { return compareTimes(a.At, c.At) })
	slices.SortStableFunc(rec.Tries, func(a, c Try) int { return compareTimes(a.At, c.At) })
	slices.SortStableFunc(rec.ProxyUpdates, func(a, c ProxyUpdate) int { return compareTimes(a.At, c.At) })
	slices.SortStableFunc(rec.HostLists, func(a, c HostList) int { return compareTimes(a.At, c.At) })
	slices.SortStableFunc(rec.Ownerships, func(a, c Ownership) int { return compareTimes(a.At, c.At) })
	rec.markOwnershipChanges()
	v := Verdict{Tries: len(rec.Tries), Collapses: len(rec.Collapses), HostLists: len(rec.HostLists)}
	v.Rules = []Rule{rec.checkLines(t), rec.checkEffects(t), rec.checkDrains(t), rec.checkColdHosts(t), rec.checkQueue(t),
		rec.checkMessages(t)}
	rec.measureService(t, &v)
	rec.countVersions(&v)
	return v
}

// compareTimes compares two times, for slices.SortStableFunc.
func compareTimes(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// span is a period of time.
type span struct{ from, to float64 }

// warmHostSpans returns, in order, the periods during which the latest host list had a warm host that was up.
func (rec *Recorder) warmHostSpans(t Criteria) (out []span) {
	for i, list := range rec.HostLists {
		until := t.Until
		if i+1 < len(rec.HostLists) {
			until = rec.HostLists[i+1].At
		}
		from := math.Inf(1)
		for _, h := range list.Hosts {
			if h.State == logic.Up {
				from = min(from, max(list.At, h.StartedAt+float64(t.WarmAfter.Milliseconds())))
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

// checkLines checks the first rule: no table of a joined proxy is without a usable line for longer than
// EmptyTableLimit. Only the time counts during which the host list has a warm host.
func (rec *Recorder) checkLines(t Criteria) Rule {
	r := Rule{Name: "no proxy without a line", Kept: true, Limit: t.EmptyTableLimit, Unit: "ms"}
	warm := rec.warmHostSpans(t)
	since := map[string]map[string]float64{}  // by proxy and table: start of the time without a line
	directors := map[string]map[string]bool{} // by proxy: the directors it has joined
	joinedDirectors := func(h ProxyUpdate) int {
		if directors[h.Proxy] == nil {
			directors[h.Proxy] = map[string]bool{}
		}
		if directors[h.Proxy][h.Director] = h.Joined; !h.Joined {
			delete(directors[h.Proxy], h.Director)
		}
		return len(directors[h.Proxy])
	}
	endEmpty := func(proxy, table string, at float64) {
		from, wasEmpty := since[proxy][table]
		if !wasEmpty {
			return
		}
		delete(since[proxy], table)
		for _, w := range warm {
			if duration := min(at, w.to) - max(from, w.from); duration > r.Worst {
				r.Worst, r.Where = duration, fmt.Sprintf("proxy %s, table %s, %.1f s into the day", proxy, table, (from-t.From)/1000)
			}
		}
	}
	for _, h := range rec.ProxyUpdates {
		if since[h.Proxy] == nil {
			since[h.Proxy] = map[string]float64{}
		}
		if h.Doc == nil {
			if joinedDirectors(h) == 0 {
				for _, table := range slices.Sorted(maps.Keys(since[h.Proxy])) {
					endEmpty(h.Proxy, table, h.At)
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
			hasLine := false
			if table != nil {
				source, _ := h.Doc.SourceOf(name)
				for a := range table.Lines {
					hasLine = hasLine || !source.Masked[a]
				}
			}
			if _, wasEmpty := since[h.Proxy][name]; hasLine {
				endEmpty(h.Proxy, name, h.At)
			} else if !wasEmpty {
				since[h.Proxy][name] = h.At
			}
		}
	}
	for _, proxy := range slices.Sorted(maps.Keys(since)) {
		for _, table := range slices.Sorted(maps.Keys(since[proxy])) {
			endEmpty(proxy, table, t.Until)
		}
	}
	r.Kept = r.Worst <= r.Limit
	return r
}

// checkEffects checks the second rule: no call that is not repeatable is executed twice. The clients of a rehearsal
// do not retry by themselves, so each repeat is due to the director's orders.
func (rec *Recorder) checkEffects(t Criteria) Rule {
	r := Rule{Name: "no effect twice", Kept: true, Unit: "calls"}
	executions := map[string]int{}
	for _, a := range rec.Arrivals {
		if a.Executed && a.Call != "" && t.Routes[a.Route].Idempotency != "repeatable" {
			if executions[a.Call]++; executions[a.Call] == 2 {
				r.Worst++
				r.Where = fmt.Sprintf("call %s of %s at %s", a.Call, a.Route, a.Host)
			}
		}
	}
	r.Kept = r.Worst == 0
	return r
}

// checkColdHosts checks the fourth rule: no host that has just started fails because of the work that was sent to it
// after a director knew of its start.
func (rec *Recorder) checkColdHosts(t Criteria) Rule {
	r := Rule{Name: "no cold host pushed over", Kept: true, Limit: 1, Unit: "of what it bears"}
	known := map[tables.Address][]float64{} // times at which a director first received each start
	listedStart := map[tables.Address]float64{}
	for _, list := range rec.HostLists {
		for _, h := range list.Hosts {
			if h.State == logic.Up && h.StartedAt != listedStart[h.Address] {
				listedStart[h.Address] = h.StartedAt
				known[h.Address] = append(known[h.Address], list.At)
			}
		}
	}
	work := map[tables.Address][]Work{}
	startedAt := map[tables.Address]float64{}
	for _, a := range rec.Arrivals {
		if startedAt[a.Host] != a.HostStartedAt {
			startedAt[a.Host], work[a.Host] = a.HostStartedAt, nil
		}
		startKnown := slices.ContainsFunc(known[a.Host], func(at float64) bool { return at >= a.HostStartedAt && at <= a.At })
		if !startKnown {
			continue // no director could know of the start
		}
		w := append(work[a.Host], Work{a.At, a.WorkMs})
		if overload := ColdOverload(&w, a.At, a.HostStartedAt, a.Cores, t.ColdCapacity, t.WarmAfter,
			t.ColdOverloadLimit, t.ColdFailAfter); overload > r.Worst {
			r.Worst, r.Where = overload, fmt.Sprintf("host %s, %.1f s after its start", a.Host, (a.At-a.HostStartedAt)/1000)
		}
		work[a.Host] = w
	}
	r.Kept = r.Worst < r.Limit
	return r
}

// checkQueue checks the fifth rule, as far as it shows from outside: the lines of a delta are queued from the time of
// their version until the proxy has them.
func (rec *Recorder) checkQueue(t Criteria) Rule {
	r := Rule{Name: "a short queue", Kept: true, Limit: t.QueueLimit, Unit: "lines"}
	type edge struct{ at, lines float64 }
	edges := map[string][]edge{}
	for _, h := range rec.ProxyUpdates {
		if h.Doc != nil && !h.Full && !h.byOwnershipChange && h.Doc.At < h.At {
			lines := float64(h.Lines) + t.MessageOverhead
			edges[h.Director] = append(edges[h.Director], edge{h.Doc.At, lines}, edge{h.At, -lines})
		}
	}
	for _, director := range slices.Sorted(maps.Keys(edges)) {
		all := edges[director]
		slices.SortStableFunc(all, func(a, c edge) int { return compareTimes(a.at, c.at) })
		queued := 0.0
		for _, e := range all {
			if queued += e.lines; queued > r.Worst {
				r.Worst, r.Where = queued, fmt.Sprintf("%.1f s into the day %s", (e.at-t.From)/1000, director)
			}
		}
	}
	r.Kept = r.Worst <= r.Limit
	return r
}

// checkMessages checks the limit of messages to one proxy. Full documents and changes of owner do not count.
func (rec *Recorder) checkMessages(t Criteria) Rule {
	r := Rule{Name: "the message limit", Kept: true, Limit: float64(t.MessageLimit), Unit: "messages"}
	type pair struct{ proxy, director string }
	times := map[pair][]float64{}
	for _, h := range rec.ProxyUpdates {
		if h.Doc == nil || h.Full || h.byOwnershipChange {
			continue
		}
		key := pair{h.Proxy, h.Director}
		all := append(times[key], h.At)
		for h.At-all[0] > t.MessageWindow {
			all = all[1:]
		}
		if times[key] = all; float64(len(all)) > r.Worst {
			r.Worst, r.Where = float64(len(all)), "proxy "+h.Proxy
		}
	}
	r.Kept = t.MessageLimit == 0 || r.Worst <= r.Limit
	return r
}

// measureService computes the quality of service: in total, by route, and in the worst ten seconds. Periods with less
// than 1 % of the day's demand do not count as the worst.
func (rec *Recorder) measureService(t Criteria, v *Verdict) {
	type sum struct{ earned, demand float64 }
	var total sum
	byRoute, byTenSeconds := map[string]*sum{}, map[int]*sum{}
	var latencies []float64
	for _, o := range rec.Outcomes {
		route := t.Routes[o.Route]
		earned := 0.0
		v.Calls++
		switch {
		case o.Throttled:
			v.Throttled++
		case !o.Answered:
			v.Dropped++
		default:
			v.Answered++
			latencies = append(latencies, o.Latency)
			if o.Latency <= route.SLOMs {
				earned = route.Importance
			} else if o.Latency <= route.TimeLimitMs {
				earned = route.Importance * t.LateShare[o.Route]
			}
		}
		period := int((o.At - o.Latency - t.From) / 10000)
		if byRoute[o.Route] == nil {
			byRoute[o.Route] = &sum{}
		}
		if byTenSeconds[period] == nil {
			byTenSeconds[period] = &sum{}
		}
		for _, s := range []*sum{&total, byRoute[o.Route], byTenSeconds[period]} {
			s.earned, s.demand = s.earned+earned, s.demand+route.Importance
		}
	}
	v.Service, v.WorstTenSeconds, v.ByRoute = total.earned/max(1e-9, total.demand), 1, map[string]float64{}
	for name, s := range byRoute {
		v.ByRoute[name] = s.earned / max(1e-9, s.demand)
	}
	for _, s := range byTenSeconds {
		if s.demand > total.demand/100 {
			v.WorstTenSeconds = min(v.WorstTenSeconds, s.earned/s.demand)
		}
	}
	if slices.Sort(latencies); len(latencies) > 0 {
		v.P50Ms, v.P99Ms = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	}
}

// countVersions counts the versions and documents that proxies received, and how often one was sent back to an earlier
// version or to the table of an earlier owner.
func (rec *Recorder) countVersions(v *Verdict) {
	type pair struct{ proxy, director string }
	last, seen := map[pair]*tables.Document{}, map[string]bool{}
	fences := map[pair]uint64{}
	for _, h := range rec.ProxyUpdates {
		if h.Doc == nil {
			continue
		}
		doc, key := h.directorDocument(), pair{h.Proxy, h.Director}
		if previous := last[key]; previous != nil && previous.History == doc.History && doc.Step < previous.Step {
			v.Regressions++
		}
		if h.DirectorDoc != nil {
			for name, t := range h.Doc.Tables { // fences of the tables in effect never decrease
				table := pair{h.Proxy, name}
				if t.Fence < fences[table] {
					v.Regressions++
				}
				fences[table] = max(fences[table], t.Fence)
			}
		}
		if h.Full {
			v.FullDocuments++
		} else {
			v.Deltas++
		}
		last[key], seen[doc.Version] = doc, true
	}
	v.Versions = len(seen)
}
