package verdict

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// The functions in this file evaluate the ownership of slices where several directors share them. An owner is
// responsible for a slice from the time at which the lease store granted it.

// directorDocument returns the director's own document, or the only one there is.
func (h ProxyUpdate) directorDocument() *tables.Document {
	if h.DirectorDoc != nil {
		return h.DirectorDoc
	}
	return h.Doc
}

// markOwnershipChanges marks the updates by which a table appeared, disappeared or got a new fence.
func (rec *Recorder) markOwnershipChanges() {
	type pair struct{ proxy, director string }
	last := map[pair]*tables.Document{}
	for i, h := range rec.ProxyUpdates {
		if h.Doc == nil || h.DirectorDoc == nil {
			continue
		}
		key := pair{h.Proxy, h.Director}
		if previous := last[key]; previous != nil {
			for name, t := range h.DirectorDoc.Tables {
				rec.ProxyUpdates[i].byOwnershipChange = rec.ProxyUpdates[i].byOwnershipChange || previous.Tables[name] == nil ||
					previous.Tables[name].Fence != t.Fence
			}
			for name := range previous.Tables {
				rec.ProxyUpdates[i].byOwnershipChange = rec.ProxyUpdates[i].byOwnershipChange || h.DirectorDoc.Tables[name] == nil
			}
		}
		last[key] = h.DirectorDoc
	}
}

// joinedSpans returns the times during which proxies were joined, by proxy and director.
func (rec *Recorder) joinedSpans(until float64) map[[2]string][]span {
	out := map[[2]string][]span{}
	for _, h := range rec.ProxyUpdates {
		key := [2]string{h.Proxy, h.Director}
		all := out[key]
		if h.Doc == nil && h.Joined {
			out[key] = append(all, span{h.At, until})
		} else if h.Doc == nil && len(all) > 0 {
			all[len(all)-1].to = h.At
		}
	}
	return out
}

// unavailableSpans returns, by director, the times during which a host was draining, gone or missing by the lists
// that the director received.
func (rec *Recorder) unavailableSpans() map[string]map[tables.Address][]span {
	byDirector := map[string]map[tables.Address][]span{}
	lastUp := map[string]map[tables.Address]bool{}
	for _, list := range rec.HostLists {
		if byDirector[list.Director] == nil {
			byDirector[list.Director], lastUp[list.Director] = map[tables.Address][]span{}, map[tables.Address]bool{}
		}
		spans, up := byDirector[list.Director], lastUp[list.Director]
		now := map[tables.Address]bool{}
		for _, h := range list.Hosts {
			now[h.Address] = h.State == logic.Up
			if _, known := up[h.Address]; !known {
				up[h.Address] = true
			}
		}
		for _, a := range slices.Sorted(maps.Keys(up)) {
			all := spans[a]
			switch {
			case up[a] && !now[a]:
				spans[a] = append(all, span{list.At, math.Inf(1)})
			case !up[a] && now[a]:
				all[len(all)-1].to = list.At
			}
			up[a] = now[a]
		}
	}
	return byDirector
}

// checkDrains checks the third rule: a proxy sends nothing to a host later than the grace period after discovery
// informed the responsible director that the host is draining or gone. The period begins when the proxy joined or
// when the slice was granted, if that is later.
func (rec *Recorder) checkDrains(t Criteria) Rule {
	r := Rule{Name: "drains kept", Kept: true, Limit: t.DrainGrace, Unit: "ms"}
	unavailable, joined := rec.unavailableSpans(), rec.joinedSpans(t.Until)
	ownerships := map[string][]Ownership{}
	for _, c := range rec.Ownerships {
		ownerships[c.Table] = append(ownerships[c.Table], c)
	}
	for _, s := range rec.Tries {
		owner := Ownership{At: math.Inf(-1)}
		if len(rec.Ownerships) > 0 {
			all := ownerships[s.Table]
			i, _ := slices.BinarySearchFunc(all, s.At, func(c Ownership, at float64) int { return compareTimes(c.At, at) })
			if i == 0 || all[i-1].Director == "" {
				continue // the slice had no owner
			}
			owner = all[i-1]
		}
		for _, o := range unavailable[owner.Director][s.Host] {
			if s.At < o.from || s.At >= o.to {
				continue
			}
			for _, j := range joined[[2]string{s.Proxy, owner.Director}] {
				if s.At >= j.from && s.At < j.to {
					if late := s.At - max(o.from, j.from, owner.At); late > r.Worst {
						r.Worst, r.Where = late, fmt.Sprintf("proxy %s to host %s, %.1f s into the day", s.Proxy, s.Host, (s.At-t.From)/1000)
					}
				}
			}
		}
	}
	r.Kept = r.Worst <= r.Limit
	return r
}

// Owners returns the present owner of each slice that has one.
func (rec *Recorder) Owners() (out []Ownership) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	last := map[string]Ownership{}
	for _, c := range rec.Ownerships {
		last[c.Table] = c
	}
	for _, table := range slices.Sorted(maps.Keys(last)) {
		if last[table].Director != "" {
			out = append(out, last[table])
		}
	}
	return out
}

// Gap is a period during which a slice had no owner.
type Gap struct {
	Table string
	At    float64 // start of the period
	Ms    float64
}

// Gaps returns the gaps that overlap the time between from and until. A gap that has not ended counts until then.
func (rec *Recorder) Gaps(from, until float64) (out []Gap) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	since := map[string]float64{}
	for _, c := range rec.Ownerships {
		start, open := since[c.Table]
		if c.Director == "" && !open {
			since[c.Table] = c.At
		} else if c.Director != "" && open {
			delete(since, c.Table)
			if c.At >= from && start <= until && c.At > start {
				out = append(out, Gap{c.Table, start, c.At - start})
			}
		}
	}
	for _, table := range slices.Sorted(maps.Keys(since)) {
		if start := since[table]; start <= until {
			out = append(out, Gap{table, start, until - start})
		}
	}
	return out
}

// FailoverTimes returns, for each table that a director owned at from, how many milliseconds passed until the next
// owner had it. With returns, the time also ends when a proxy receives a document from that director again.
func (rec *Recorder) FailoverTimes(director string, from, until float64, returns bool) (ms []float64) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	held, next := map[string]uint64{}, map[string]float64{}
	for _, c := range rec.Ownerships {
		switch fence, had := held[c.Table]; {
		case c.At <= from && c.Director == director:
			held[c.Table] = c.Fence
		case c.At <= from && c.Director != "":
			delete(held, c.Table)
		case c.At > from && c.Director != "" && had && c.Fence > fence && next[c.Table] == 0:
			next[c.Table] = c.At
		}
	}
	returned := until
	for _, h := range rec.ProxyUpdates {
		if returns && h.Director == director && h.DirectorDoc != nil && h.At > from+inFlightMs {
			returned = min(returned, h.At)
		}
	}
	for table := range held {
		end := returned
		if n := next[table]; n > 0 {
			end = min(end, n)
		}
		ms = append(ms, end-from)
	}
	slices.Sort(ms)
	return ms
}

// inFlightMs is how long a response may still be in flight that the director wrote before it stopped.
const inFlightMs = 100

// LongestHandover returns the longest time, in milliseconds, from a table's last change of owner between from and
// until to a document of the new owner at a proxy, over all tables and all proxies that received one.
func (rec *Recorder) LongestHandover(from, until float64) (longest float64) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	granted := map[string]Ownership{}
	for _, c := range rec.Ownerships {
		if c.Director != "" && c.At >= from && c.At < until {
			granted[c.Table] = c
		}
	}
	received := map[[2]string]bool{}
	for _, h := range rec.ProxyUpdates {
		if h.DirectorDoc == nil || h.At < from {
			continue
		}
		for name, c := range granted {
			if t := h.Doc.Tables[name]; t != nil && t.Fence >= c.Fence && h.At >= c.At && !received[[2]string{h.Proxy, name}] {
				received[[2]string{h.Proxy, name}] = true
				longest = max(longest, h.At-c.At)
			}
		}
	}
	return longest
}

// TriesSoFar returns a copy of the recorded tries.
func (rec *Recorder) TriesSoFar() []Try {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return slices.Clone(rec.Tries)
}
