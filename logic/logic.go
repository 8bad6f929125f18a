// Package logic holds every decision of vetchwood.
//
// A program makes one Director for each start with New(seed, facts) and calls Handle(now, notes) whenever
// something happened; the orders returned take effect in their order. The same notes give the same orders:
// there is no clock, no I/O and nothing global. The interface (ids, facts, notes, orders) is in api.go.
//
// Parts: Director (custody, timers, restart), a host actor for each host (health, capacity), placer (the
// block tree and the paper's run), gate (levels and tries), publisher (what stands, what is wanted, budget).
// They talk only by notes put into inboxes, which one loop empties. docs/design.md gives the reasons.
package logic

import (
	"cmp"
	"math"
	"slices"
)

const (
	maximum      = 1.1          // imbalance tolerated, from the paper
	chunk        = 1.0 / 40     // of the load: below it a leaf need only not overload
	checkEvery   = Millis(2000) // two checks past the maximum call for a rerun
	worthMoving  = 0.9          // a rerun is installed when it leaves at most this of the imbalance
	gather       = Millis(500)  // ordinary changes wait this long for company
	freshRoom    = 0.25         // of its share, for a host that has just started
	freshFor     = Millis(10000)
	failFor      = Millis(3000) // most tries lost for so long: removed
	beat         = Millis(100)
	demandMemory = Millis(6000)
	healthMemory = Millis(1500)
	loadMemory   = Millis(6000)
	trialAfter   = Millis(5000) // first wait before a removed host is tried again; doubles
	standbyPart  = 0.02         // weight of a standby line beside a whole slice
	trialPart    = 0.06         // the same where the standby is a host on trial
	trialSlices  = 8
	channelTrust = 0.25 // of the stated pace is counted on: on some days it is slower
	ordinaryPart = 0.5  // of the queue and of the messages; the rest is for removals
	urgentPart   = 0.85
	strain       = 0.93 // busy share of the fleet above which calls are throttled
	relief       = 0.85
	levelStep    = 0.1
	leastLevel   = 0.1
	commonSize   = 8 // hosts in the first table of a site without slices

	commonTable TableID = 0
	zoneTables  TableID = 60000
)

func derive(f Facts) bounds {
	b := bounds{sliced: f.Slices > 0, oneOwner: f.OneOwner, probes: f.MayProbe, asks: f.AsksForList,
		advice: f.GoneIsAdvice, listed: f.Weighted, queue: f.QueueLimit, pace: f.LinesPerSecond / 1000,
		head: f.HeadLines, messages: f.MessageLimit, span: f.MessageSpan, levels: f.Levels, total: f.Slices}
	// Quarter room is right only while a quarter of the work can't reach the multiple that tips a cold host.
	b.freshRoom = min(freshRoom, max(0.05, f.ColdFrom*f.TipMultiple/3))
	b.hurry = max(0, min(gather, (f.DrainGrace-f.WorstTransit)/4))
	b.settle = f.WriteLease + f.WriteSettle + f.WorstTransit
	b.reportEvery = f.ReportEvery
	for i, r := range f.Routes {
		way := 1
		if r.Repeat == Repeatable {
			way = 2
		}
		b.ways = append(b.ways, way)
		b.cheap = append(b.cheap, RouteID(i))
		b.allRoutes |= 1 << i
		if r.Writes {
			b.writes |= 1 << i
		}
		if r.OwnZone {
			b.ownZone |= 1 << i
		}
	}
	slices.SortStableFunc(b.cheap, func(x, y RouteID) int {
		return cmp.Compare(f.Routes[x].Importance, f.Routes[y].Importance)
	})
	return b
}

// New starts an instance that knows nothing but its facts.
func New(seed uint64, f Facts) *Director {
	d := &Director{hosts: map[HostID]*host{}, stored: map[TableID][]line{}}
	d.seed, d.rules = seed, derive(f)
	d.publish = newPublisher(&d.loop)
	d.place = &placer{loop: &d.loop, to: d.publish, seats: map[HostID]*seat{}, own: map[TableID]*piece{}}
	d.gate = &gate{loop: &d.loop, to: d.publish, seats: map[HostID]standing{}}
	return d
}

// Handle takes what happened at now and returns what to order.
func (d *Director) Handle(now Millis, notes []any) []Order {
	d.now, d.out = now, nil
	if !d.ticking {
		d.ticking = true
		d.out = append(d.out, After{beat, 0})
	}
	if d.rules.asks && !d.follows && now >= d.asked {
		d.follows = true
		d.out = append(d.out, Follow{true})
	}
	for _, n := range notes {
		d.post(d, n)
	}
	d.empty()
	// The store's lines come one by one behind their custody, so they are whole only here.
	for _, t := range sortedKeys(d.stored) {
		d.post(d.place, kept{t, d.stored[t]})
		d.post(d.publish, kept{t, d.stored[t]})
	}
	clear(d.stored)
	for _, id := range d.ids {
		d.post(d.hosts[id], settleNow{})
	}
	d.empty()
	d.post(d.place, settleNow{})
	d.empty()
	d.post(d.publish, settleNow{})
	d.empty()
	return d.out
}

func (d *Director) take(n any) {
	switch n := n.(type) {
	case Roster:
		d.roster(n)
	case Custody:
		delete(d.stored, n.Slice)
		if n.Given {
			d.stored[n.Slice] = []line{}
		} else {
			d.post(d.place, disowned{n.Slice})
			d.post(d.publish, disowned{n.Slice})
		}
	case OnRecord:
		if held, given := d.stored[n.Slice]; given && n.Weight > 0 {
			d.stored[n.Slice] = append(held, line{n.Host, n.Weight})
		}
	case Met:
		if h := d.hosts[n.Host]; h != nil {
			d.post(h, n)
		}
	case Probed:
		if h := d.hosts[n.Host]; h != nil {
			d.post(h, n)
		}
	case Heat, Asked:
		d.post(d.place, n)
		d.post(d.gate, n)
	case Joined, Left:
		d.post(d.publish, n)
		d.post(d.place, n)
		d.post(d.gate, n)
	case Applied:
		d.post(d.publish, n)
	case Due:
		d.out = append(d.out, After{beat, 0})
		for _, id := range d.ids {
			d.post(d.hosts[id], pulse{})
		}
		d.post(d.place, pulse{})
		d.post(d.gate, pulse{})
	}
}

func (d *Director) roster(r Roster) {
	if r.Kind == AskFailed {
		d.follows, d.asked = false, d.now+1000
		return
	}
	named := map[HostID]bool{}
	for _, e := range r.Entries {
		named[e.Host] = true
		h := d.hosts[e.Host]
		if h == nil {
			if e.State == Gone {
				continue
			}
			h = &host{loop: &d.loop, id: e.Host, place: d.place, gate: d.gate}
			d.hosts[e.Host] = h
			at, _ := slices.BinarySearch(d.ids, e.Host)
			d.ids = slices.Insert(d.ids, at, e.Host)
		}
		d.post(h, e)
	}
	if r.Kind == Whole || r.Kind == FromDisk {
		for _, id := range d.ids {
			if !named[id] {
				e := d.hosts[id].entry
				e.State = Gone
				d.post(d.hosts[id], e)
			}
		}
	}
}

func (h *host) take(n any) {
	switch n := n.(type) {
	case Entry:
		h.listed(n)
	case Met:
		h.met(n)
	case Probed:
		if h.state == removed && h.now >= h.outUntil {
			if n.Good {
				h.enter(onTrial)
			} else {
				h.outUntil = h.now + trialAfter/2
			}
		}
	case expected:
		if h.due == 0 && n.rate > 0 {
			h.dueSince = h.now
		}
		h.due = n.rate
	case pulse:
		h.judge()
		h.changed = true
	case settleNow:
		if h.changed {
			h.changed = false
			h.tell()
		}
	}
}

func (h *host) listed(e Entry) {
	// A new birth is a cold host even where it never left our tables.
	if e.State == Up && (!h.known || e.Born != h.entry.Born || h.entry.State != Up) {
		born := e.Born
		if h.known && e.Born == h.entry.Born {
			born = h.now
		}
		if born > 0 && h.now-born < freshFor {
			h.freshUntil = born + freshFor
		}
		if h.known {
			h.enter(serving)
			h.outFor = 0
			h.rate, h.press, h.heard, h.busy = sum{}, sum{}, sum{}, sum{}
		}
	}
	h.entry, h.known, h.changed = e, true, true
}

func (h *host) met(m Met) {
	h.ended.add(h.now, healthMemory, float64(m.Ended))
	h.lost.add(h.now, healthMemory, float64(m.Lost))
	if h.lastLine > 0 && h.now > h.lastLine {
		h.gap += (h.now - h.lastLine - h.gap) * 0.2
	}
	h.lastLine = h.now
	own := 0.0
	if m.Over > 0 {
		own = 1000 * float64(m.Ended) / float64(m.Over)
	}
	if m.Load.Rate != nil {
		own = *m.Load.Rate
	}
	press := float64(m.Spent) * own / 1000
	switch {
	case m.Load.Busy != nil:
		press = *m.Load.Busy
		h.busy.add(h.now, loadMemory/4, press)
		h.heard.add(h.now, loadMemory/4, 1)
	case m.Load.InHand != nil:
		press = *m.Load.InHand
	}
	h.rate.add(h.now, loadMemory, own)
	h.press.add(h.now, loadMemory, press)
}

// judge finds a host that fails most of its tries, or one into which calls go and out of which nothing comes.
func (h *host) judge() {
	ended, lost := h.ended.read(h.now, healthMemory), h.lost.read(h.now, healthMemory)
	bad := ended > 1.5 && lost > ended/2
	quiet := h.now - max(h.lastLine, h.dueSince)
	silent := h.lastLine > 0 && h.due > 0 && quiet > 2*h.gap+1000 && float64(quiet)/1000*h.due > 6
	if !bad && !silent {
		h.badSince = 0
	} else if h.badSince == 0 {
		h.badSince = h.now
	}
	switch h.state {
	case serving:
		if silent && quiet > failFor || bad && h.now-h.badSince >= failFor {
			h.enter(removed)
		}
	case removed:
		if h.now < h.outUntil {
			return
		}
		if !h.rules.probes {
			h.enter(onTrial)
		} else if h.now-h.outUntil < beat {
			h.out = append(h.out, Ping{h.id})
		} else if h.now-h.outUntil > trialAfter {
			h.outUntil = h.now
		}
	case onTrial:
		if bad || silent && quiet > failFor {
			h.enter(removed)
		} else if ended > 2 && lost < ended/4 && h.now-h.outUntil > failFor {
			h.freshUntil = h.now + freshFor
			h.enter(serving)
		}
	}
}

func (h *host) enter(s hostState) {
	if s == removed {
		h.outFor = min(4*trialAfter, max(trialAfter, 2*h.outFor))
		h.outUntil = h.now + h.outFor
	} else {
		h.outUntil = h.now
	}
	h.state, h.changed = s, true
	h.ended, h.lost, h.badSince, h.lastLine, h.gap = sum{}, sum{}, 0, 0, 0
	h.due = 0
}

func (h *host) tell() {
	up := h.known && h.entry.State == Up
	if h.rules.advice && h.known && h.entry.State == Gone {
		// The list may be wrong there: a host that answers well stays.
		ended := h.ended.read(h.now, healthMemory)
		up = ended > 0.5 && h.lost.read(h.now, healthMemory) < ended/2
	}
	s := standing{id: h.id, usable: up && h.state == serving, trial: up && h.state == onTrial,
		fresh: h.now < h.freshUntil, prior: 1, zone: h.entry.Zone, cell: h.entry.Cell, from: h}
	if h.rules.listed && h.entry.Weight > 0 {
		s.prior = h.entry.Weight
	}
	s.rate, s.busy = h.rate.read(h.now, loadMemory), -1
	if p := h.press.read(h.now, loadMemory); p > 0.3 && s.rate > 0 {
		s.weighed = s.rate / p
	}
	if n := h.heard.read(h.now, loadMemory/4); n > 0.1 {
		s.busy = h.busy.read(h.now, loadMemory/4) / n
	}
	h.post(h.place, s)
	h.post(h.gate, s)
}

func (p *placer) take(n any) {
	switch n := n.(type) {
	case standing:
		s := p.seats[n.id]
		if s == nil {
			s = &seat{}
			p.seats[n.id] = s
			at, _ := slices.BinarySearch(p.ids, n.id)
			p.ids = slices.Insert(p.ids, at, n.id)
		}
		if s.usable != n.usable || s.trial != n.trial || !s.fresh && n.fresh {
			p.dirty = true
		}
		s.standing = n
	case kept:
		pc := p.adopt(n.table)
		pc.told = n.lines
		most := 0.0
		for _, l := range n.lines {
			most = max(most, l.weight)
		}
		total := 0.0
		for _, l := range n.lines {
			if l.weight <= most*(trialPart+0.01) {
				pc.spare = l.host
			} else {
				pc.parts = append(pc.parts, l)
				total += l.weight
			}
		}
		for i := range pc.parts {
			pc.parts[i].weight /= total
		}
		p.dirty = true
	case disowned:
		p.drop(n.table)
	case Joined:
		if !p.rules.sliced {
			p.adopt(TableID(n.Proxy) + 1)
			p.dirty = true
		}
	case Left:
		if !p.rules.sliced {
			p.drop(TableID(n.Proxy) + 1)
			p.dirty = true
		}
	case Heat:
		p.hear(n.Slice, float64(n.Calls))
	case Asked:
		p.hear(TableID(n.Proxy)+1, float64(n.Calls))
	case pulse:
		if p.now >= p.nextCheck {
			p.nextCheck = p.now + checkEvery
			p.check()
		}
	case settleNow:
		if p.dirty {
			p.dirty = false
			p.weigh()
			p.repair()
		}
	}
}

func (p *placer) adopt(t TableID) *piece {
	pc := p.own[t]
	if pc == nil {
		at, _ := slices.BinarySearch(p.nums, t)
		p.nums = slices.Insert(p.nums, at, t)
		pc = &piece{since: p.now}
		p.own[t] = pc
	}
	pc.parts, pc.spare = nil, 0
	return pc
}

func (p *placer) drop(t TableID) {
	delete(p.own, t)
	if at, found := slices.BinarySearch(p.nums, t); found {
		p.nums = slices.Delete(p.nums, at, at+1)
	}
}

func (p *placer) hear(t TableID, calls float64) {
	if pc := p.own[t]; pc != nil {
		pc.heat.add(p.now, demandMemory, calls)
		pc.heard = true
		if p.heardAny == 0 {
			p.heardAny = p.now
		}
	}
}

// weigh brings loads and shares up to date: demand a slice, share a host.
func (p *placer) weigh() {
	heard, n := 0.0, 0
	for _, t := range p.nums {
		pc := p.own[t]
		pc.weight = -1
		// Reports of a slice just given are still to come; it counts as the others do until then.
		if from := max(pc.since, p.heardAny-p.rules.reportEvery); pc.heard || p.heardAny > 0 && p.now-from > demandMemory/2 {
			age := float64(p.now - from)
			full := float64(demandMemory) / math.Ln2
			pc.weight = 1000 * pc.heat.read(p.now, demandMemory) / (full * (1 - math.Exp(-max(age, 500)/full)))
			heard, n = heard+pc.weight, n+1
		}
	}
	mean := 1.0
	if n > 0 {
		mean = heard / float64(n)
	}
	total := 0.0
	for _, t := range p.nums {
		if pc := p.own[t]; pc.weight < 0 {
			pc.weight = mean
		}
		total += p.own[t].weight
	}
	// What hosts show is compared with what they were listed for, so that the unit of pressure drops out.
	var ratios []float64
	for _, id := range p.ids {
		if s := p.seats[id]; s.weighed > 0 && s.usable {
			ratios = append(ratios, s.weighed/s.prior)
		}
	}
	slices.Sort(ratios)
	shares := 0.0
	for _, id := range p.ids {
		s := p.seats[id]
		s.load, s.share = 0, 0
		if !s.usable {
			continue
		}
		s.share = s.prior
		if s.weighed > 0 && len(ratios) > 2 {
			s.share *= min(2.5, max(0.1, s.weighed/s.prior/ratios[len(ratios)/2]))
		}
		if s.fresh {
			s.share *= p.rules.freshRoom
		}
		shares += s.share
	}
	for _, id := range p.ids {
		if s := p.seats[id]; s.usable {
			s.share *= total / shares
		}
	}
	for _, t := range p.nums {
		for _, l := range p.own[t].parts {
			if s := p.seats[l.host]; s != nil {
				s.load += l.weight * p.own[t].weight
			}
		}
	}
}

func (p *placer) imbalance() float64 {
	worst := 0.0
	for _, id := range p.ids {
		if s := p.seats[id]; s.usable && s.share > 0 {
			worst = max(worst, s.load/s.share)
		}
	}
	return worst
}

// check is the periodic look: past the maximum twice in a row, the run is played again, and its outcome is
// installed only if it is worth the cold keys.
func (p *placer) check() {
	p.weigh()
	before := p.imbalance()
	if p.heardAny == 0 || before <= maximum {
		p.past = 0
	} else if p.past++; p.past >= 2 {
		old := map[TableID][]line{}
		for _, t := range p.nums {
			old[t] = slices.Clone(p.own[t].parts)
		}
		p.run(p.loosen(false))
		if p.imbalance() > before*worthMoving {
			for _, t := range p.nums {
				p.own[t].parts = old[t]
			}
			p.weigh()
		} else {
			p.past = 0
		}
	}
	p.lay(false)
}

// repair places at once what stands on hosts that can't be used, or on a cold one beyond its room.
func (p *placer) repair() {
	p.run(p.loosen(true))
	p.lay(true)
}

// loosen frees the parts that must move and returns how much of each slice is free. Fitting leaves stay:
// heaviest first, so that few move. With onlyMust, a host that is merely too full keeps what it has.
func (p *placer) loosen(onlyMust bool) map[TableID]float64 {
	free := map[TableID]float64{}
	order := slices.Clone(p.nums)
	slices.SortStableFunc(order, func(a, b TableID) int { return cmp.Compare(p.own[b].weight, p.own[a].weight) })
	for _, id := range p.ids {
		p.seats[id].load = 0
	}
	for _, t := range order {
		pc := p.own[t]
		var stay []line
		held := 0.0
		for _, l := range pc.parts {
			s, load := p.seats[l.host], l.weight*pc.weight
			if s == nil || !s.usable || (!onlyMust || s.fresh) && s.load+load > s.share*maximum {
				continue
			}
			s.load += load
			held += l.weight
			stay = append(stay, l)
		}
		pc.parts = stay
		if held < 0.999 {
			free[t] = 1 - held
		}
	}
	return free
}

// blocks are the largest aligned blocks whose own slices are all free, or the free part of a single slice.
func (p *placer) blocks(first, span int, free map[TableID]float64) []leaf {
	all, any, load := true, false, 0.0
	from, _ := slices.BinarySearch(p.nums, TableID(first))
	for _, t := range p.nums[from:] {
		if int(t) >= first+span {
			break
		}
		part := free[t]
		any = any || part > 0
		all = all && part > 0.999
		load += part * p.own[t].weight
	}
	switch {
	case !any:
		return nil
	case span == 1:
		return []leaf{{first, 1, free[TableID(first)], load}}
	case all:
		return []leaf{{first, span, 1, load}}
	}
	return append(p.blocks(first, span/2, free), p.blocks(first+span/2, span/2, free)...)
}

func (p *placer) roomiest(but HostID, skip bool) *seat {
	var best *seat
	for _, id := range p.ids {
		s := p.seats[id]
		if !s.usable || skip && id == but {
			continue
		}
		if best == nil || s.share-s.load > best.share-best.load {
			best = s
		}
	}
	return best
}

// run is the paper's algorithm over the free blocks.
func (p *placer) run(free map[TableID]float64) {
	span := 1
	for len(p.nums) > 0 && span <= int(p.nums[len(p.nums)-1]) {
		span *= 2
	}
	leaves := p.blocks(0, span, free)
	home := p.roomiest(0, false)
	if home == nil || len(leaves) == 0 {
		return
	}
	total := 0.0
	for _, id := range p.ids {
		total += p.seats[id].share
	}
	for _, l := range leaves {
		home.load += l.load
	}
	for home.load > home.share*maximum && len(leaves) > 0 {
		s := p.roomiest(home.id, true)
		if s == nil || s.share <= s.load {
			break
		}
		at := 0
		for i, l := range leaves {
			if l.load > leaves[at].load {
				at = i
			}
		}
		l := leaves[at]
		leaves = slices.Delete(leaves, at, at+1)
		fits := s.load+l.load <= s.share
		if l.load < total*chunk {
			fits = s.load+l.load <= s.share*maximum
		}
		if !fits {
			if halves := p.split(l, s.share, free); halves != nil {
				leaves = append(leaves, halves...)
				continue
			}
		}
		p.assign(l, s.id, free)
		s.load += l.load
		home.load -= l.load
	}
	for _, l := range leaves {
		p.assign(l, home.id, free)
	}
}

// split halves a block; a single slice goes on by weight where a table may hold several lines, but only if
// no host could take it whole, since each half warms keys of its own.
func (p *placer) split(l leaf, share float64, free map[TableID]float64) []leaf {
	if l.span > 1 {
		return append(p.blocks(l.first, l.span/2, free), p.blocks(l.first+l.span/2, l.span/2, free)...)
	}
	if p.rules.oneOwner || l.load <= share || l.part < 0.2 {
		return nil
	}
	half := leaf{l.first, 1, l.part / 2, l.load / 2}
	return []leaf{half, half}
}

func (p *placer) assign(l leaf, to HostID, free map[TableID]float64) {
	from, _ := slices.BinarySearch(p.nums, TableID(l.first))
	for _, t := range p.nums[from:] {
		if int(t) >= l.first+l.span {
			return
		}
		pc := p.own[t]
		if at := slices.IndexFunc(pc.parts, func(x line) bool { return x.host == to }); at >= 0 {
			pc.parts[at].weight += l.part
		} else {
			pc.parts = append(pc.parts, line{to, l.part})
		}
	}
}

// lay tells the publisher what each table is to hold, and each host what it has been laid on it.
func (p *placer) lay(urgent bool) {
	var trials []HostID
	load := map[HostID]float64{}
	for _, id := range p.ids {
		if p.seats[id].trial {
			trials = append(trials, id)
		}
	}
	onTrial := map[TableID]HostID{}
	if len(trials) > 0 {
		order := slices.Clone(p.nums)
		slices.SortStableFunc(order, func(a, b TableID) int { return cmp.Compare(p.own[b].weight, p.own[a].weight) })
		for i, t := range order[:min(len(order), trialSlices*len(trials))] {
			onTrial[t] = trials[i%len(trials)]
		}
	}
	for _, t := range p.nums {
		pc := p.own[t]
		lines := p.lines(pc, onTrial[t])
		whole := 0.0
		for _, l := range lines {
			whole += l.weight
		}
		for _, l := range lines {
			load[l.host] += l.weight / whole * pc.weight
		}
		if !p.rules.sliced && (!pc.heard || p.now-pc.since < checkEvery) {
			continue // the common table serves until a proxy's demand is known
		}
		if len(lines) > 0 && !slices.Equal(lines, pc.told) {
			must := len(pc.told) == 0 || urgent && slices.ContainsFunc(pc.told, func(l line) bool {
				s := p.seats[l.host]
				return s == nil || !s.usable || s.fresh
			})
			pc.told = lines
			p.post(p.to, wanted{t, lines, must})
			if !p.rules.sliced {
				p.post(p.to, bound{ProxyID(t) - 1, t})
			}
		}
	}
	for _, id := range p.ids {
		p.post(p.seats[id].from, expected{load[id]})
	}
	if !p.rules.sliced {
		p.common()
	}
}

// common is the one small table that all proxies get first at sites without slices, and one a zone for
// routes that must stay in theirs.
func (p *placer) common() {
	order := slices.Clone(p.ids)
	slices.SortStableFunc(order, func(a, b HostID) int { return cmp.Compare(p.seats[b].share, p.seats[a].share) })
	tables := map[TableID][]line{}
	for _, id := range order {
		s := p.seats[id]
		if !s.usable {
			continue
		}
		for _, t := range []TableID{commonTable, zoneTables + TableID(s.zone)} {
			if t == commonTable && len(tables[t]) < commonSize || t != commonTable && p.rules.ownZone != 0 {
				tables[t] = append(tables[t], line{id, math.Round(s.share/s.prior*8)/8*s.prior + 0.01})
			}
		}
	}
	for _, t := range sortedKeys(tables) {
		lines := tables[t]
		slices.SortFunc(lines, func(a, b line) int { return cmp.Compare(a.host, b.host) })
		p.post(p.to, wanted{t, lines, p.dirty})
	}
}

func (p *placer) lines(pc *piece, trial HostID) []line {
	lines := slices.Clone(pc.parts)
	if p.rules.oneOwner || len(lines) == 0 {
		return lines
	}
	part := standbyPart
	s := p.seats[pc.spare]
	if s == nil || !s.usable || s.fresh || p.holds(pc, pc.spare) {
		pc.spare = p.spareFor(pc)
	}
	spare := pc.spare
	if trial != 0 {
		spare, part = trial, trialPart
	}
	if spare != 0 && len(lines) == 1 {
		lines = append(lines, line{spare, part})
	}
	if p.rules.ownZone != 0 && p.rules.sliced {
		// A route that must stay in its zone needs a line there, or its proxies are bare.
		in := map[ZoneID]bool{}
		for _, l := range lines {
			in[p.seats[l.host].zone] = true
		}
		for _, id := range p.ids {
			if s := p.seats[id]; s.usable && !s.fresh && !in[s.zone] {
				in[s.zone] = true
				lines = append(lines, line{id, standbyPart})
			}
		}
	}
	slices.SortFunc(lines, func(a, b line) int { return cmp.Compare(a.host, b.host) })
	return lines
}

func (p *placer) holds(pc *piece, id HostID) bool {
	return slices.ContainsFunc(pc.parts, func(l line) bool { return l.host == id })
}

// spareFor draws a standby by share, from another cell where one is left: cells fall together.
func (p *placer) spareFor(pc *piece) HostID {
	main := p.seats[pc.parts[0].host]
	var best HostID
	most := 0.0
	for _, id := range p.ids {
		s := p.seats[id]
		if !s.usable || s.fresh || p.holds(pc, id) {
			continue
		}
		score := s.share * (0.01 + p.chance())
		if main == nil || s.cell != main.cell {
			score *= 100
		}
		if score > most {
			best, most = id, score
		}
	}
	return best
}

func (g *gate) take(n any) {
	switch n := n.(type) {
	case standing:
		g.seats[n.id] = n
	case Heat:
		g.hear(n.Route, n.Calls)
	case Asked:
		g.hear(n.Route, n.Calls)
	case Joined:
		g.joined++
	case Left:
		g.joined--
	case pulse:
		if g.now >= g.next {
			g.next = g.now + checkEvery/2
			g.weigh()
		}
	}
}

func (g *gate) hear(r RouteID, calls int) {
	for len(g.asked) < len(g.rules.ways) {
		g.asked = append(g.asked, sum{})
	}
	if int(r) < len(g.asked) {
		g.asked[r].add(g.now, demandMemory, float64(calls))
	}
}

func (g *gate) weigh() {
	busy, of := 0.0, 0.0
	for _, id := range sortedKeys(g.seats) {
		if s := g.seats[id]; s.usable && s.busy >= 0 {
			busy += s.busy * s.prior
			of += s.prior
		}
	}
	routes := len(g.rules.ways)
	if g.told.level == nil {
		g.level = float64(routes)
	}
	if of > 0 && g.rules.levels != NoLevels {
		if busy/of > strain {
			g.level = max(leastLevel, g.level-levelStep)
		} else if busy/of < relief {
			g.level = min(float64(routes), g.level+levelStep/2)
		}
	}
	now := levelled{make([]float64, routes), make([]int, routes)}
	for i, r := range g.rules.cheap {
		part := max(leastLevel, min(1, g.level-float64(routes-1-i)))
		now.level[r], now.tries[r] = math.Round(part*20)/20, g.rules.ways[r]
		if part < 1 && now.tries[r] > 1 {
			now.tries[r] = 1 // a further try adds work just where there is too much
		}
		if g.rules.levels == LevelRate {
			now.level[r] = 1e6
			if part < 1 && g.joined > 0 && len(g.asked) > 0 {
				calls := g.asked[r].read(g.now, demandMemory) * 1000 * math.Ln2 / float64(demandMemory)
				now.level[r] = math.Ceil(part * calls / float64(g.joined))
			}
		}
	}
	if !slices.Equal(now.level, g.told.level) || !slices.Equal(now.tries, g.told.tries) {
		g.told = now
		g.post(g.to, now)
	}
}

func newPublisher(l *loop) *publisher {
	return &publisher{loop: l, stands: map[TableID][]line{}, wants: map[TableID][]line{},
		urgent: map[TableID]bool{}, streams: map[ProxyID]*stream{}, shut: map[TableID]Millis{}}
}

func (p *publisher) take(n any) {
	switch n := n.(type) {
	case kept:
		p.stands[n.table] = n.lines
		delete(p.wants, n.table)
		delete(p.urgent, n.table)
		if p.rules.oneOwner {
			// Whoever had the slice before may have moved it in its last moments.
			p.shut[n.table] = 0
		}
	case disowned:
		for _, m := range []map[TableID][]line{p.stands, p.wants} {
			delete(m, n.table)
		}
		delete(p.urgent, n.table)
		delete(p.shut, n.table)
	case wanted:
		if slices.Equal(p.stands[n.table], n.lines) {
			delete(p.wants, n.table)
			delete(p.urgent, n.table)
		} else if p.wants[n.table] = n.lines; n.urgent {
			p.urgent[n.table] = true
		}
	case levelled:
		p.levels = n
	case bound:
		if s := p.streams[n.proxy]; s != nil {
			s.wants = n.table
		}
	case Joined:
		p.streams[n.Proxy] = &stream{zone: n.Zone}
		p.stood = levelled{} // it may hold the levels of an earlier time
	case Left:
		delete(p.streams, n.Proxy)
		for _, f := range p.flights {
			delete(f.left, n.Proxy)
		}
		for t, until := range p.shut {
			if until > 0 {
				p.shut[t] = max(until, p.now+p.rules.settle)
			}
		}
	case Applied:
		for _, f := range p.flights {
			if f.serial == n.Serial {
				delete(f.left, n.Proxy)
			}
		}
	case settleNow:
		p.flush()
	}
}

// waiting is what may still be in our channel: the lesser of what proxies have not owned up to and of what a
// slow channel would have left.
func (p *publisher) waiting() float64 {
	p.queued = max(0, p.queued-p.rules.pace*channelTrust*float64(p.now-p.queuedAt))
	p.queuedAt = p.now
	unowned := 0.0
	p.flights = slices.DeleteFunc(p.flights, func(f flight) bool { return len(f.left) == 0 })
	for _, f := range p.flights {
		for _, n := range sortedKeys(f.left) {
			unowned += f.left[n]
		}
	}
	return min(p.queued, unowned)
}

// due says whether to write now, and whether only because a removal presses.
func (p *publisher) due() (now, pressed bool) {
	bare := false
	for _, n := range p.streams {
		bare = bare || !p.rules.sliced && !n.bound
	}
	if len(p.urgent) > 0 || bare {
		if p.hurrySince == 0 {
			p.hurrySince = p.now
		}
	} else {
		p.hurrySince = 0
	}
	if len(p.wants) > 0 || p.rebinds() || p.relevels() || p.reopens() {
		if p.since == 0 {
			p.since = p.now
		}
	} else {
		p.since = 0
	}
	last := Millis(-1e12)
	if len(p.sent) > 0 {
		last = p.sent[len(p.sent)-1]
	}
	p.sent = slices.DeleteFunc(p.sent, func(t Millis) bool { return p.now-t > p.rules.span+gather })
	most, gap := 1<<30, gather
	if p.rules.messages > 0 {
		most = p.rules.messages
		gap = max(gather, p.rules.span/Millis(float64(most)*ordinaryPart))
	}
	if p.hurrySince > 0 && len(p.sent) < most && (p.now-last >= p.rules.hurry || p.now-p.hurrySince >= p.rules.hurry) {
		return true, true
	}
	return p.since > 0 && p.now-p.since >= gather && p.now-last >= gap &&
		float64(len(p.sent)) < float64(most)*ordinaryPart, false
}

func (p *publisher) rebinds() bool {
	for _, s := range p.streams {
		if !p.rules.sliced && (!s.bound || s.wants != s.table) {
			return true
		}
	}
	return false
}

func (p *publisher) relevels() bool {
	return len(p.streams) > 0 && p.levels.level != nil &&
		!(slices.Equal(p.levels.level, p.stood.level) && slices.Equal(p.levels.tries, p.stood.tries))
}

func (p *publisher) reopens() bool {
	for _, until := range p.shut {
		if until == 0 || p.now >= until {
			return true
		}
	}
	return false
}

func (p *publisher) flush() {
	now, pressed := p.due()
	if !now {
		return
	}
	part := ordinaryPart
	if pressed {
		part = urgentPart
	}
	levels := float64(len(p.rules.ways))
	room := p.rules.queue*part - p.waiting() - float64(len(p.streams))*(p.rules.head+1+levels)
	if room <= 0 {
		return
	}
	cost := map[ProxyID]float64{}
	start := len(p.out)
	charge := func(t TableID, lines float64) bool {
		users := 0.0
		for _, s := range p.streams {
			if p.rules.sliced || s.bound && s.table == t || t >= zoneTables {
				users++
			}
		}
		if room -= users * lines; room < 0 {
			return false
		}
		for n, s := range p.streams {
			if p.rules.sliced || s.bound && s.table == t || t >= zoneTables {
				cost[n] += lines
			}
		}
		return true
	}
	order := sortedKeys(p.wants)
	slices.SortStableFunc(order, func(a, b TableID) int {
		return cmp.Compare(b2i(p.urgent[b]), b2i(p.urgent[a]))
	})
	for _, t := range order {
		lines := p.differences(t)
		if !charge(t, float64(len(lines))) {
			break
		}
		p.out = append(p.out, lines...)
		p.stands[t] = p.wants[t]
		delete(p.wants, t)
		delete(p.urgent, t)
	}
	p.owners(charge)
	if !p.rules.sliced {
		p.bindAll(&room, cost)
	}
	if p.relevels() && room > 0 {
		for i := range p.levels.level {
			if p.stood.level == nil || p.levels.level[i] != p.stood.level[i] || p.levels.tries[i] != p.stood.tries[i] {
				p.out = append(p.out, Throttle{EveryTable, 1 << i, p.levels.level[i], p.levels.tries[i]})
			}
		}
		p.stood = p.levels
		for n := range p.streams {
			cost[n] += levels
		}
	}
	if len(p.wants) == 0 {
		p.since = 0
	}
	if len(p.out) == start || len(cost) == 0 {
		return
	}
	p.serial = (p.serial + 1) % 65536
	p.out = append(p.out, Stamp{p.serial, false})
	for _, n := range sortedKeys(cost) {
		cost[n] += p.rules.head + 1 + levels
		p.queued += cost[n]
	}
	p.flights = append(p.flights, flight{p.serial, cost})
	p.sent = append(p.sent, p.now)
}

// differences lists what must be written of a table, new lines before those that go, so that it is never bare.
func (p *publisher) differences(t TableID) []Order {
	var lines []Order
	for _, l := range p.wants[t] {
		if !slices.Contains(p.stands[t], l) {
			if p.rules.oneOwner {
				lines = append(lines, Throttle{t, p.rules.writes, 0, 1})
				p.shut[t] = p.now + p.rules.settle
			}
			lines = append(lines, SetLine{t, l.host, l.weight})
		}
	}
	for _, l := range p.stands[t] {
		if !p.rules.oneOwner && !slices.ContainsFunc(p.wants[t], func(w line) bool { return w.host == l.host }) {
			lines = append(lines, SetLine{t, l.host, 0})
		}
	}
	return lines
}

// owners stops the writes of slices whose last owner may still hold some, and lets them in again once none can.
func (p *publisher) owners(charge func(TableID, float64) bool) {
	for _, t := range sortedKeys(p.shut) {
		switch until := p.shut[t]; {
		case until == 0 && charge(t, 1):
			p.out = append(p.out, Throttle{t, p.rules.writes, 0, 1})
			p.shut[t] = p.now + p.rules.settle
		case until > 0 && p.now >= until && p.owned(until) && charge(t, 1):
			p.out = append(p.out, Throttle{t, p.rules.writes, 1, 1})
			delete(p.shut, t)
		}
	}
}

// owned says that no message is out that a proxy may not have applied yet.
func (p *publisher) owned(Millis) bool {
	for _, f := range p.flights {
		if len(f.left) > 0 {
			return false
		}
	}
	return true
}

func (p *publisher) bindAll(room *float64, cost map[ProxyID]float64) {
	for _, n := range sortedKeys(p.streams) {
		s := p.streams[n]
		if s.bound && s.wants == s.table || len(p.stands[s.wants]) == 0 {
			continue
		}
		lines := 1 + float64(len(p.stands[s.wants])+len(p.stands[zoneTables+TableID(s.zone)]))
		if *room -= lines; *room < 0 {
			return
		}
		cost[n] += lines
		own := p.rules.ownZone
		if !s.bound && own != 0 {
			p.out = append(p.out, Bind{n, zoneTables + TableID(s.zone), own})
		}
		if rest := p.rules.allRoutes &^ own; rest != 0 {
			p.out = append(p.out, Bind{n, s.wants, rest})
		}
		s.table, s.bound = s.wants, true
	}
}
