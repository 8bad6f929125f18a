package logic

import (
	"cmp"
	"math"
	"slices"
)

// Placement: which host each slice goes to. It is the greedy run of the paper over aligned blocks of slices.

func (p *placer) seat(n hostStatus) {
	s := p.seats.get(n.id)
	if s == nil {
		s = &seat{}
		p.seats.set(n.id, s)
		if p.to.masked.get(n.id) {
			p.post(p.to, door{n.id, opened}) // proxies hold a mask of its earlier time
		}
	}
	p.dirty = p.dirty || s.trial != n.trial || !s.fresh && n.fresh
	s.hostStatus = n
}

func (p *placer) settle() {
	if p.listBy > 0 && p.now >= p.listBy {
		p.listBy, p.dirty = 0, true
	}
	up, ill, resting := 0, 0, 0
	for _, s := range p.seats.all() {
		up += int(bit(s.usable || s.unfit, 0))
		ill += int(bit(s.unfit, 0))
	}
	for id, s := range p.seats.all() {
		// Where most look ill at once, the view or the load is: none is left out for it.
		in := s.usable || s.unfit && ill*2 > up || s.unproven && up == 0
		open := opened
		if !in && !s.trial {
			if open = closed; s.leaving {
				open = bound
			}
		} else if in && s.resting && resting < up/8 && s.load < p.total/float64(up)*1.25 {
			open, resting = rested, resting+1
		}
		if open != s.open {
			s.open = open
			p.post(p.to, door{id, open})
		}
		p.dirty, s.in = p.dirty || s.in != in, in
	}
	if p.dirty {
		p.weigh()
		p.run(true)
		p.lay(true)
		p.dirty = false
	}
}

// adopt starts from the store's lines: what stands is warm. What is there beside a whole slice is a standby.
func (p *placer) adopt(t TableID, held lines) {
	pc := &piece{num: t, since: p.now, told: held, held: held, weight: p.mean}
	for _, l := range held {
		if l.weight < 0.999 && held.total() > 1.001 {
			pc.spare = l.host
		} else {
			pc.parts = append(pc.parts, l)
		}
	}
	pc.parts = pc.parts.normalized()
	pc.laid = pc.parts
	p.own.set(t, pc)
	p.dirty = true
}

func (p *placer) hear(n SliceDemand) {
	if pc := p.own.get(n.Slice); pc != nil {
		p.dirty = p.dirty || !p.params.sliced && !pc.heard
		// A thinned report covers long and comes at once: its calls are weighed as if heard one by one.
		span := float64(max(1, n.Period)) / (float64(demandHalfLife) / math.Ln2)
		pc.heat.add(p.now, demandHalfLife, float64(n.Calls)*(1-math.Exp(-span))/span)
		pc.heard, pc.last = true, p.now
		trackSince(&p.firstHeat, true, p.now)
	}
}

func (p *placer) weigh() {
	// What hosts show is set against what they were listed for, so that the unit of pressure drops out.
	ratio, shown := p.median(func(s *seat) float64 { return s.efficiency / s.listedWeight })
	usual, _ := p.median(func(s *seat) float64 { return s.latency })
	for _, s := range p.seats.all() {
		s.aside, s.load = 0, 0
	}
	p.total = 0
	shares := 0.0
	for _, pc := range p.own.all() {
		// Reports of a slice just given are still to come: until then it counts as the others do.
		from := max(pc.since, p.firstHeat-p.params.reportEvery)
		if pc.heard || p.firstHeat > 0 && p.now-from > demandHalfLife/2 {
			pc.weight = pc.heat.rate(max(pc.last, p.now-2*demandHalfLife), demandHalfLife, from)
		}
		p.total += pc.weight
		for _, l := range p.stands(pc) {
			if s := p.seats.get(l.host); s != nil {
				s.load += l.weight * pc.weight
			}
		}
		if s := p.seats.get(pc.spare); s != nil {
			s.aside += pc.weight * p.params.standby
			s.load += pc.weight * p.params.standby
			p.total += pc.weight * p.params.standby
		}
	}
	if p.total > 0 { // with no slices yet those to come count as equal, not as nothing
		p.mean = p.total / float64(p.own.len())
	}
	p.expect()
	for _, s := range p.seats.all() {
		s.stands = s.load
		if s.share = 0; s.in {
			s.share = s.listedWeight
			if s.efficiency > 0 && shown > 2 {
				s.share *= min(2.5, max(0.1, s.efficiency/s.listedWeight/ratio))
			}
			if s.implausible && s.latency > usual {
				s.share *= max(0.1, usual/s.latency)
			}
			if s.cold {
				// Its room grows as it warms. The little work it did tells too little for more than its listed share,
				// and a part of an overload would be more than it can bear with cold keys, also of one that is
				// throttled by now: shares are of all calls that come, and the levels may rise before the lines
				// change.
				s.share = min(s.share, s.listedWeight) * s.rampUp / max(1, p.around.pressure*p.around.pressure, p.around.demandPressure)
			}
			shares += s.share
		}
	}
	for _, s := range p.seats.all() {
		s.share *= p.total / max(shares, 1e-9)
		if s.bears = s.share * p.most(s); s.utilization > 0 && s.utilization < lowUtilization && !s.cold && s.latency < usual*3/2 {
			// A reckoned share is rough, and among many hosts some is always far off: one that has room to spare,
			// and answers as fast as others, is not over-worked whatever was reckoned.
			s.bears = max(s.bears, s.load*lowUtilization/s.utilization)
		}
	}
}

// most is the imbalance tolerated: beyond the maximum while even the fullest host has room, since a move then
// only costs warm keys. What a cold host can do is not known: it gets no more than it was supposed to have.
func (p *placer) most(s *seat) float64 {
	if s.cold {
		return 1
	}
	if p.around.pressure == 0 {
		return maxImbalance // nothing is known yet
	}
	return max(maxImbalance, min(2, safeHostLoad/p.around.pressure))
}

// imbalance is the paper's: the most over-worked host's load over the load it was supposed to have; and with
// it all load past the tolerance, since among many hosts the worst may be past help while others aren't.
func (p *placer) imbalance() (worst, excess float64) {
	for _, s := range p.seats.all() {
		if s.in {
			worst = max(worst, s.load/max(s.bears, 1e-9))
			excess += max(0, s.load-s.bears)
		}
	}
	return worst, excess
}

// check is the periodic look: past the maximum twice in a row, the run is played again, and its outcome is
// installed only if it is worth the cold keys.
func (p *placer) check() {
	p.weigh()
	worst, before := p.imbalance()
	if p.past++; p.firstHeat == 0 || worst <= 1 {
		p.past = min(p.past, 0)
	} else if p.past >= 2 {
		for _, pc := range p.own.all() {
			pc.parts = slices.Clone(p.stands(pc)) // what the channel had no time for is planned anew
		}
		p.run(false)
		p.past = 0
		if _, after := p.imbalance(); after > before*maxRemainingImbalance {
			p.past = 1
			for _, pc := range p.own.all() {
				pc.parts = pc.was
			}
			p.weigh()
		}
	}
	p.lay(false)
}

// demandKnown says whether reports have told for long enough what slices weigh. Until then all are taken for equal: after
// a restart hosts that had just started lost slices that they bore well.
func (p *placer) demandKnown() bool { return p.firstHeat > 0 && p.now-p.firstHeat > demandHalfLife }

// loosen frees the parts that must move. Fitting leaves stay, the heaviest first, so that few move; with
// onlyMust, a host that is merely too full keeps what it has, a cold one keeps what it has room for.
func (p *placer) loosen(onlyMust bool) {
	for _, s := range p.seats.all() {
		s.load = s.aside
	}
	for _, pc := range p.byWeight() {
		var stay lines
		if pc.free = 1; !p.params.sliced && !pc.heard {
			pc.free = 0 // the common table serves until a proxy's demand is known
		}
		for _, l := range pc.parts {
			s, load := p.seats.get(l.host), l.weight*pc.weight
			if p.awaitsList(l.host) {
				pc.free -= l.weight
				stay = append(stay, l)
				continue
			}
			if s == nil || !s.in {
				if next := p.successor(pc, load); next != nil {
					// Its calls go there already, and find keys warm: a move now would cost both again.
					s, l.host = next, next.id
				}
			}
			if s == nil || !s.in || (!onlyMust || s.fresh && p.demandKnown()) && s.load+load > s.bears {
				continue
			}
			s.load += load
			pc.free -= l.weight
			stay = append(stay, l)
		}
		if pc.was, pc.parts = pc.parts, stay; pc.free < 0.001 {
			pc.free = 0
		}
	}
}

// blocks are the largest aligned blocks whose own slices are all free, or the free part of a single slice.
func (p *placer) blocks(first, span int) []leaf {
	all, l := true, leaf{first, span, 0, 0}
	for t, pc := range p.own.all() {
		if int(t) >= first && int(t) < first+span {
			l.part = max(l.part, pc.free)
			l.load += pc.free * pc.weight
			all = all && pc.free > 0.999
		}
	}
	if l.part == 0 {
		return nil
	}
	if span == 1 && !p.params.sliced && l.part > 1.0/64 {
		// One proxy may carry more than a host can, and has no slice's keys to keep warm: it goes in sixteenths.
		return slices.Repeat([]leaf{{first, 1, l.part / 16, l.load / 16}}, 16)
	}
	if all && p.params.sliced || span == 1 {
		return []leaf{l}
	}
	return append(p.blocks(first, span/2), p.blocks(first+span/2, span/2)...)
}

// roomiest is the host with the most room but for one, of all or of the warm ones alone; nil: there is none.
func (p *placer) roomiest(but *seat, warm bool) *seat {
	var best *seat
	for _, s := range p.seats.all() {
		if s.in && s != but && !(warm && s.cold) && (best == nil || s.share-s.load > best.share-best.load) {
			best = s
		}
	}
	return best
}

// run is the paper's algorithm over the free blocks.
func (p *placer) run(onlyMust bool) {
	p.loosen(onlyMust)
	span := 1
	for n := p.own.len(); n > 0 && span <= int(p.own.sortedKeys()[n-1]); {
		span *= 2
	}
	leaves, home := p.blocks(0, span), p.roomiest(nil, false)
	if home == nil {
		return
	}
	for _, l := range leaves {
		home.load += l.load
	}
	for home.load > home.share*p.most(home) && len(leaves) > 0 {
		s := p.roomiest(home, false)
		if s == nil || s.share <= s.load {
			break
		}
		slices.SortStableFunc(leaves, func(a, b leaf) int { return cmp.Compare(b.load, a.load) })
		l := leaves[0]
		leaves = leaves[1:]
		room := s.share - s.load
		if l.load < min(p.total*smallBlockShare, s.share*smallBlockHostShare) {
			room = s.share*p.most(s) - s.load
		}
		if l.load > room {
			if halves := p.split(l, s.share); halves != nil {
				leaves = append(leaves, halves...)
				continue
			}
			if s.cold {
				s = cmp.Or(p.roomiest(home, true), s) // a warm one bears an overload, a cold one falls over
			}
		}
		p.assign(l, s.id)
		s.load += l.load
		home.load -= l.load
	}
	for _, l := range leaves {
		p.assign(l, home.id)
	}
}

// split halves a block. A single slice goes on by weight, if it is heavy: each half warms keys of its own.
func (p *placer) split(l leaf, share float64) []leaf {
	if half := l.span / 2; half > 0 {
		return append(p.blocks(l.first, half), p.blocks(l.first+half, half)...)
	}
	if p.params.oneOwner || l.load <= share/2 || l.part < 0.2 {
		return nil
	}
	half := leaf{l.first, 1, l.part / 2, l.load / 2}
	return []leaf{half, half}
}

// lay tells the publisher what each table is to hold, and each host what has been laid on it.
func (p *placer) lay(urgent bool) {
	nth, every := 0, max(1, p.own.len()/trialSliceCount)
	for id, s := range p.seats.all() {
		for i := nth % every; s.trial && i < p.own.len(); i += every {
			p.own.get(p.own.sortedKeys()[i]).spare = id
		}
		nth += int(bit(s.trial, 0))
	}
	for t, pc := range p.own.all() {
		table := p.table(pc)
		if !p.params.sliced && (!pc.heard || p.now-pc.since < checkInterval) {
			continue
		}
		if len(table) > 0 && !slices.Equal(table, pc.told) {
			must := len(pc.told) == 0
			for _, l := range pc.laid {
				s := p.seats.get(l.host)
				must = must || urgent && !p.awaitsList(l.host) && (s == nil || !s.in || s.fresh)
			}
			pc.told = table
			p.post(p.to, wanted{t, table, must, 0, p.worth(pc, table)})
		} else if !slices.Equal(pc.told, pc.held) {
			p.post(p.to, valued{t, p.worth(pc, pc.told)})
		}
	}
	for _, s := range p.seats.all() {
		p.post(s.sender, expected{s.expected})
	}
	if !p.params.sliced {
		p.common(urgent)
	}
}

// common lays the one small table that all get first at sites without slices, and one a zone for own routes.
func (p *placer) common(urgent bool) {
	var tables orderedMap[TableID, lines]
	for id, s := range p.seats.all() {
		part := s.listedWeight
		if s.fresh {
			part *= freshCapacity
		}
		zone := firstZoneTable + TableID(s.zone)
		if had := tables.get(commonTable); s.in && len(had) < commonTableSize {
			tables.set(commonTable, append(had, line{id, part}))
		}
		if s.in && p.params.ownZone != 0 {
			tables.set(zone, append(tables.get(zone), line{id, part}))
		}
	}
	for t, all := range tables.all() {
		p.post(p.to, wanted{t, all, urgent, 0, 1})
	}
}

// table is the parts of a slice and, beside a whole one, a light standby line: a proxy that avoids a host or
// may try again has somewhere to go before anything is known here. It guards against any sudden loss of a
// host; it costs cold keys for its weight. A host on trial gets its few calls in the same place.
func (p *placer) table(pc *piece) lines {
	out := slices.Clone(pc.parts)
	if p.params.oneOwner || len(out) == 0 {
		return out
	}
	s, part := p.seats.get(pc.spare), p.params.standby
	if s != nil && s.trial {
		part = min(part, trialWeight)
	} else if !p.awaitsList(pc.spare) && (s == nil || !s.in || s.fresh) || out.contains(pc.spare) {
		if pc.spare = p.spareFor(pc); pc.spare != 0 {
			p.seats.get(pc.spare).load += pc.weight * part
		}
	}
	if len(out) == 1 && pc.spare != 0 {
		out = append(out, line{pc.spare, part})
	}
	return out.sortByHost()
}

// spareFor draws a standby, from another cell where one is left: cells fall together.
func (p *placer) spareFor(pc *piece) (best HostID) {
	main, most := p.seats.get(pc.parts[0].host), 0.0
	for id, s := range p.seats.all() {
		score := (s.share - s.load) / s.share * (1 + p.random()/4)
		if main == nil || s.cell != main.cell {
			score += 100
		}
		if !s.cold {
			score++ // it may get all of the slice at once
		}
		if s.in && !s.fresh && !pc.parts.contains(id) && (best == 0 || score > most) {
			best, most = id, score
		}
	}
	return best
}

// median is that of what hosts in use show, and how many show anything.
func (p *placer) median(of func(*seat) float64) (float64, int) {
	var all []float64
	for _, s := range p.seats.all() {
		if x := of(s); s.in && x > 0 {
			all = append(all, x)
		}
	}
	return median(all), len(all)
}

func (p *placer) byWeight() []*piece {
	var order []*piece
	for _, pc := range p.own.all() {
		order = append(order, pc)
	}
	slices.SortStableFunc(order, func(a, b *piece) int { return cmp.Compare(b.weight, a.weight) })
	return order
}

func (p *placer) assign(l leaf, to HostID) {
	for t, pc := range p.own.all() {
		if int(t) >= l.first && int(t) < l.first+l.span {
			pc.parts = pc.parts.add(to, l.part)
		}
	}
}
