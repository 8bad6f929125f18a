package judge

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// What the rules need to know where several directors share the slices: each rule is its holder's to keep, from when the
// store gave it the slice.

// own is a director's own document.
func (h ProxyUpdate) directorDocument() *tables.Document {
	if h.DirectorDoc != nil {
		return h.DirectorDoc
	}
	return h.Doc
}

// reading marks versions by which slices changed hands.
func (b *Recorder) markOwnershipChanges() {
	type pair struct{ proxy, director string }
	last := map[pair]*tables.Document{}
	for i, h := range b.ProxyUpdates {
		if h.Doc == nil || h.DirectorDoc == nil {
			continue
		}
		at := pair{h.Proxy, h.Director}
		if was := last[at]; was != nil {
			for name, t := range h.DirectorDoc.Tables {
				b.ProxyUpdates[i].byOwnershipChange = b.ProxyUpdates[i].byOwnershipChange || was.Tables[name] == nil || was.Tables[name].Fence != t.Fence
			}
			for name := range was.Tables {
				b.ProxyUpdates[i].byOwnershipChange = b.ProxyUpdates[i].byOwnershipChange || h.DirectorDoc.Tables[name] == nil
			}
		}
		last[at] = h.DirectorDoc
	}
}

// joinedSpans are when a proxy was joined to a director.
func (b *Recorder) joinedSpans(until float64) map[[2]string][]span {
	out := map[[2]string][]span{}
	for _, h := range b.ProxyUpdates {
		at := [2]string{h.Proxy, h.Director}
		all := out[at]
		if h.Doc == nil && h.Joined {
			out[at] = append(all, span{h.At, until})
		} else if h.Doc == nil && len(all) > 0 {
			all[len(all)-1].to = h.At
		}
	}
	return out
}

// outSpans are when a director was told that a host drains or is gone.
func (b *Recorder) unavailableSpans() map[string]map[tables.Address][]span {
	outs := map[string]map[tables.Address][]span{}
	wases := map[string]map[tables.Address]bool{}
	for _, told := range b.HostLists {
		if outs[told.Director] == nil {
			outs[told.Director], wases[told.Director] = map[tables.Address][]span{}, map[tables.Address]bool{}
		}
		out, was := outs[told.Director], wases[told.Director]
		now := map[tables.Address]bool{}
		for _, h := range told.Hosts {
			now[h.Address] = h.State == logic.Up
			if _, known := was[h.Address]; !known {
				was[h.Address] = true
			}
		}
		for _, a := range slices.Sorted(maps.Keys(was)) {
			all := out[a]
			switch {
			case was[a] && !now[a]:
				out[a] = append(all, span{told.At, math.Inf(1)})
			case !was[a] && now[a]:
				all[len(all)-1].to = told.At
			}
			was[a] = now[a]
		}
	}
	return outs
}

// drains is the third rule: nothing is sent to a host for longer than the grace after the director in charge was told
// that it drains or is gone. The clock runs from the proxy's joining or the slice's giving, if that is later.
func (b *Recorder) checkDrains(t Criteria) Rule {
	r := Rule{Name: "drains kept", Kept: true, Limit: t.DrainGrace, Unit: "ms"}
	outs, joined := b.unavailableSpans(), b.joinedSpans(t.Until)
	charges := map[string][]Ownership{}
	for _, c := range b.Ownerships {
		charges[c.Table] = append(charges[c.Table], c)
	}
	for _, s := range b.Tries {
		in := Ownership{At: math.Inf(-1)}
		if len(b.Ownerships) > 0 {
			all := charges[s.Table]
			i, _ := slices.BinarySearchFunc(all, s.At, func(c Ownership, at float64) int { return compareTimes(c.At, at) })
			if i == 0 || all[i-1].Director == "" {
				continue // nobody's
			}
			in = all[i-1]
		}
		for _, o := range outs[in.Director][s.Host] {
			if s.At < o.from || s.At >= o.to {
				continue
			}
			for _, j := range joined[[2]string{s.Proxy, in.Director}] {
				if s.At >= j.from && s.At < j.to {
					if late := s.At - max(o.from, j.from, in.At); late > r.Worst {
						r.Worst, r.Where = late, fmt.Sprintf("proxy %s to host %s, %.1f s into the day", s.Proxy, s.Host, (s.At-t.From)/1000)
					}
				}
			}
		}
	}
	r.Kept = r.Worst <= r.Limit
	return r
}

// InCharge are the holders of now.
func (b *Recorder) Owners() (out []Ownership) {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := map[string]Ownership{}
	for _, c := range b.Ownerships {
		last[c.Table] = c
	}
	for _, table := range slices.Sorted(maps.Keys(last)) {
		if last[table].Director != "" {
			out = append(out, last[table])
		}
	}
	return out
}

// Gap is a time without a holder.
type Gap struct {
	Table string
	At    float64
	Ms    float64
}

// Gaps are the times without a holder between two times, by the store; one that has not ended goes to the later.
func (b *Recorder) Gaps(from, until float64) (out []Gap) {
	b.mu.Lock()
	defer b.mu.Unlock()
	since := map[string]float64{}
	for _, c := range b.Ownerships {
		at, open := since[c.Table]
		if c.Director == "" && !open {
			since[c.Table] = c.At
		} else if c.Director != "" && open {
			delete(since, c.Table)
			if c.At >= from && at <= until && c.At > at {
				out = append(out, Gap{c.Table, at, c.At - at})
			}
		}
	}
	for _, table := range slices.Sorted(maps.Keys(since)) {
		if at := since[table]; at <= until {
			out = append(out, Gap{table, at, until - at})
		}
	}
	return out
}

// Without gives, for each table that a director held at a time, how long it was until the next holder had it; or, where
// again is set, until a proxy heard from that director itself.
func (b *Recorder) FailoverTimes(director string, from, until float64, again bool) (ms []float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held, next := map[string]uint64{}, map[string]float64{}
	for _, c := range b.Ownerships {
		switch fence, had := held[c.Table]; {
		case c.At <= from && c.Director == director:
			held[c.Table] = c.Fence
		case c.At <= from && c.Director != "":
			delete(held, c.Table)
		case c.At > from && c.Director != "" && had && c.Fence > fence && next[c.Table] == 0:
			next[c.Table] = c.At
		}
	}
	back := until
	for _, h := range b.ProxyUpdates {
		if again && h.Director == director && h.DirectorDoc != nil && h.At > from+inFlightMs {
			back = min(back, h.At)
		}
	}
	for table := range held {
		at := back
		if n := next[table]; n > 0 {
			at = min(at, n)
		}
		ms = append(ms, at-from)
	}
	slices.Sort(ms)
	return ms
}

// onTheWay is how long an answer may take that was written before its director's end.
const inFlightMs = 100

// Words are, for each table that changed hands after a time, how long it was until each proxy that followed it held the
// new holder's word; the longest of them.
func (b *Recorder) LongestHandover(from, until float64) (longest float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	given := map[string]Ownership{}
	for _, c := range b.Ownerships {
		if c.Director != "" && c.At >= from && c.At < until {
			given[c.Table] = c
		}
	}
	have := map[[2]string]bool{}
	for _, h := range b.ProxyUpdates {
		if h.DirectorDoc == nil || h.At < from {
			continue
		}
		for name, c := range given {
			if t := h.Doc.Tables[name]; t != nil && t.Fence >= c.Fence && h.At >= c.At && !have[[2]string{h.Proxy, name}] {
				have[[2]string{h.Proxy, name}] = true
				longest = max(longest, h.At-c.At)
			}
		}
	}
	return longest
}

// Sends are all tries so far.
func (b *Recorder) TriesSoFar() []Try {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.Tries)
}
