package logic

import (
	"cmp"
	"math"
	"slices"
)

// Placement: which host each slice goes to. It is the greedy run of the paper over aligned blocks of slices.

func (p *placer) updateHost(n hostStatus) {
	s := p.hosts.get(n.id)
	if s == nil {
		s = &placementHost{}
		p.hosts.put(n.id, s)
		if p.publisher.masked.get(n.id) {
			p.post(p.publisher, availabilityChange{n.id, available}) // proxies hold a mask of its earlier time
		}
	}
	p.dirty = p.dirty || s.onTrial != n.onTrial || !s.fresh && n.fresh
	s.hostStatus = n
}

func (p *placer) finishBatch() {
	if p.listDeadline > 0 && p.now >= p.listDeadline {
		p.listDeadline, p.dirty = 0, true
	}
	up, ill, restingHosts := 0, 0, 0
	for _, s := range p.hosts.all() {
		up += int(bit(s.usable || s.unfit, 0))
		ill += int(bit(s.unfit, 0))
	}
	for id, s := range p.hosts.all() {
		// Where most look ill at once, the view or the load is: none is left out for it.
		in := s.usable || s.unfit && ill*2 > up || s.unproven && up == 0
		open := available
		if !in && !s.onTrial {
			if open = excluded; s.leaving {
				open = excludedByRule
			}
		} else if in && s.resting && restingHosts < up/8 && s.load < p.totalRate/float64(up)*1.25 {
			open, restingHosts = resting, restingHosts+1
		}
		if open != s.availability {
			s.availability = open
			p.post(p.publisher, availabilityChange{id, open})
		}
		p.dirty, s.inUse = p.dirty || s.inUse != in, in
	}
	if p.dirty {
		p.computeLoads()
		p.assignBlocks(true)
		p.publishTables(true)
		p.dirty = false
	}
}

// adopt starts from the store's lines: what stands is warm. What is there beside a whole slice is a standby.
func (p *placer) addSlice(t TableID, held lines) {
	slice := &sliceState{table: t, since: p.now, requested: held, writtenTable: held, rate: p.meanRate}
	for _, l := range held {
		if l.weight < 0.999 && held.whole() > 1.001 {
			slice.standby = l.host
		} else {
			slice.planned = append(slice.planned, l)
		}
	}
	slice.planned = slice.planned.scaled()
	slice.written = slice.planned
	p.owned.put(t, slice)
	p.dirty = true
}

func (p *placer) recordDemand(n Heat) {
	if slice := p.owned.get(n.Slice); slice != nil {
		p.dirty = p.dirty || !p.rules.sliced && !slice.reported
		// A thinned report covers long and comes at once: its calls are weighed as if heard one by one.
		span := float64(max(1, n.Over)) / (float64(demandMemory) / math.Ln2)
		slice.calls.add(p.now, demandMemory, float64(n.Calls)*(1-math.Exp(-span))/span)
		slice.reported, slice.lastReport = true, p.now
		since(&p.firstReport, true, p.now)
	}
}

func (p *placer) computeLoads() {
	// What hosts show is set against what they were listed for, so that the unit of pressure drops out.
	ratio, shown := p.median(func(s *placementHost) float64 { return s.callsPerPressure / s.listedWeight })
	usual, _ := p.median(func(s *placementHost) float64 { return s.answerTime })
	for _, s := range p.hosts.all() {
		s.standbyLoad, s.load = 0, 0
	}
	p.totalRate = 0
	shares := 0.0
	for _, slice := range p.owned.all() {
		// Reports of a slice just given are still to come: until then it counts as the others do.
		from := max(slice.since, p.firstReport-p.rules.reportInterval)
		if slice.reported || p.firstReport > 0 && p.now-from > demandMemory/2 {
			slice.rate = slice.calls.rate(max(slice.lastReport, p.now-2*demandMemory), demandMemory, from)
		}
		p.totalRate += slice.rate
		for _, l := range p.effectiveLines(slice) {
			if s := p.hosts.get(l.host); s != nil {
				s.load += l.weight * slice.rate
			}
		}
		if s := p.hosts.get(slice.standby); s != nil {
			s.standbyLoad += slice.rate * p.rules.standbyWeight
			s.load += slice.rate * p.rules.standbyWeight
			p.totalRate += slice.rate * p.rules.standbyWeight
		}
	}
	if p.totalRate > 0 { // with no slices yet those to come count as equal, not as nothing
		p.meanRate = p.totalRate / float64(p.owned.len())
	}
	p.computeExpectedRates()
	for _, s := range p.hosts.all() {
		s.currentLoad = s.load
		if s.share = 0; s.inUse {
			s.share = s.listedWeight
			if s.callsPerPressure > 0 && shown > 2 {
				s.share *= min(2.5, max(0.1, s.callsPerPressure/s.listedWeight/ratio))
			}
			if s.invalidReports && s.answerTime > usual {
				s.share *= max(0.1, usual/s.answerTime)
			}
			if s.cold {
				// Its room grows as it warms. The little work it did tells too little for more than its listed share,
				// and a part of an overload would be more than it can bear with cold keys, also of one that is
				// throttled by now: shares are of all calls that come, and the levels may rise before the lines
				// change.
				s.share = min(s.share, s.listedWeight) * s.warmShare / max(1, p.fleet.pressure*p.fleet.pressure, p.fleet.demandRatio)
			}
			shares += s.share
		}
	}
	for _, s := range p.hosts.all() {
		s.share *= p.totalRate / max(shares, 1e-9)
		if s.tolerated = s.share * p.tolerance(s); s.busy > 0 && s.busy < roomy && !s.cold && s.answerTime < usual*3/2 {
			// A reckoned share is rough, and among many hosts some is always far off: one that has room to spare,
			// and answers as fast as others, is not over-worked whatever was reckoned.
			s.tolerated = max(s.tolerated, s.load*roomy/s.busy)
		}
	}
}

// most is the imbalance tolerated: beyond the maximum while even the fullest host has room, since a move then
// only costs warm keys. What a cold host can do is not known: it gets no more than it was supposed to have.
func (p *placer) tolerance(s *placementHost) float64 {
	if s.cold {
		return 1
	}
	if p.fleet.pressure == 0 {
		return maximum // nothing is known yet
	}
	return max(maximum, min(2, headroom/p.fleet.pressure))
}

// imbalance is the paper's: the most over-worked host's load over the load it was supposed to have; and with
// it all load past the tolerance, since among many hosts the worst may be past help while others aren't.
func (p *placer) imbalance() (worst, excess float64) {
	for _, s := range p.hosts.all() {
		if s.inUse {
			worst = max(worst, s.load/max(s.tolerated, 1e-9))
			excess += max(0, s.load-s.tolerated)
		}
	}
	return worst, excess
}

// check is the periodic look: past the maximum twice in a row, the run is played again, and its outcome is
// installed only if it is worth the cold keys.
func (p *placer) rebalance() {
	p.computeLoads()
	worst, before := p.imbalance()
	if p.checksOverMaximum++; p.firstReport == 0 || worst <= 1 {
		p.checksOverMaximum = min(p.checksOverMaximum, 0)
	} else if p.checksOverMaximum >= 2 {
		for _, slice := range p.owned.all() {
			slice.planned = slices.Clone(p.effectiveLines(slice)) // what the channel had no time for is planned anew
		}
		p.assignBlocks(false)
		p.checksOverMaximum = 0
		if _, after := p.imbalance(); after > before*worthMoving {
			p.checksOverMaximum = 1
			for _, slice := range p.owned.all() {
				slice.planned = slice.previous
			}
			p.computeLoads()
		}
	}
	p.publishTables(false)
}

// demandKnown says whether reports have told for long enough what slices weigh. Until then all are taken for equal: after
// a restart hosts that had just started lost slices that they bore well.
func (p *placer) demandKnown() bool { return p.firstReport > 0 && p.now-p.firstReport > demandMemory }

// loosen frees the parts that must move. Fitting leaves stay, the heaviest first, so that few move; with
// onlyMust, a host that is merely too full keeps what it has, a cold one keeps what it has room for.
func (p *placer) releaseParts(onlyMust bool) {
	for _, s := range p.hosts.all() {
		s.load = s.standbyLoad
	}
	for _, slice := range p.slicesByRate() {
		var stay lines
		if slice.unassigned = 1; !p.rules.sliced && !slice.reported {
			slice.unassigned = 0 // the common table serves until a proxy's demand is known
		}
		for _, l := range slice.planned {
			s, load := p.hosts.get(l.host), l.weight*slice.rate
			if p.awaitsFirstList(l.host) {
				slice.unassigned -= l.weight
				stay = append(stay, l)
				continue
			}
			if s == nil || !s.inUse {
				if next := p.successor(slice, load); next != nil {
					// Its calls go there already, and find keys warm: a move now would cost both again.
					s, l.host = next, next.id
				}
			}
			if s == nil || !s.inUse || (!onlyMust || s.fresh && p.demandKnown()) && s.load+load > s.tolerated {
				continue
			}
			s.load += load
			slice.unassigned -= l.weight
			stay = append(stay, l)
		}
		if slice.previous, slice.planned = slice.planned, stay; slice.unassigned < 0.001 {
			slice.unassigned = 0
		}
	}
}

// blocks are the largest aligned blocks whose own slices are all free, or the free part of a single slice.
func (p *placer) unassignedBlocks(first, span int) []block {
	all, l := true, block{first, span, 0, 0}
	for t, slice := range p.owned.all() {
		if int(t) >= first && int(t) < first+span {
			l.fraction = max(l.fraction, slice.unassigned)
			l.load += slice.unassigned * slice.rate
			all = all && slice.unassigned > 0.999
		}
	}
	if l.fraction == 0 {
		return nil
	}
	if span == 1 && !p.rules.sliced && l.fraction > 1.0/64 {
		// One proxy may carry more than a host can, and has no slice's keys to keep warm: it goes in sixteenths.
		return slices.Repeat([]block{{first, 1, l.fraction / 16, l.load / 16}}, 16)
	}
	if all && p.rules.sliced || span == 1 {
		return []block{l}
	}
	return append(p.unassignedBlocks(first, span/2), p.unassignedBlocks(first+span/2, span/2)...)
}

// roomiest is the host with the most room but for one, of all or of the warm ones alone; nil: there is none.
func (p *placer) hostWithMostRoom(but *placementHost, warm bool) *placementHost {
	var best *placementHost
	for _, s := range p.hosts.all() {
		if s.inUse && s != but && !(warm && s.cold) && (best == nil || s.share-s.load > best.share-best.load) {
			best = s
		}
	}
	return best
}

// run is the paper's algorithm over the free blocks.
func (p *placer) assignBlocks(onlyMust bool) {
	p.releaseParts(onlyMust)
	span := 1
	for n := p.owned.len(); n > 0 && span <= int(p.owned.sorted()[n-1]); {
		span *= 2
	}
	leaves, home := p.unassignedBlocks(0, span), p.hostWithMostRoom(nil, false)
	if home == nil {
		return
	}
	for _, l := range leaves {
		home.load += l.load
	}
	for home.load > home.share*p.tolerance(home) && len(leaves) > 0 {
		s := p.hostWithMostRoom(home, false)
		if s == nil || s.share <= s.load {
			break
		}
		slices.SortStableFunc(leaves, func(a, b block) int { return cmp.Compare(b.load, a.load) })
		l := leaves[0]
		leaves = leaves[1:]
		room := s.share - s.load
		if l.load < min(p.totalRate*chunk, s.share*chunkPart) {
			room = s.share*p.tolerance(s) - s.load
		}
		if l.load > room {
			if halves := p.splitBlock(l, s.share); halves != nil {
				leaves = append(leaves, halves...)
				continue
			}
			if s.cold {
				s = cmp.Or(p.hostWithMostRoom(home, true), s) // a warm one bears an overload, a cold one falls over
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
func (p *placer) splitBlock(l block, share float64) []block {
	if half := l.span / 2; half > 0 {
		return append(p.unassignedBlocks(l.first, half), p.unassignedBlocks(l.first+half, half)...)
	}
	if p.rules.singleOwner || l.load <= share/2 || l.fraction < 0.2 {
		return nil
	}
	half := block{l.first, 1, l.fraction / 2, l.load / 2}
	return []block{half, half}
}

// lay tells the publisher what each table is to hold, and each host what has been laid on it.
func (p *placer) publishTables(urgent bool) {
	nth, every := 0, max(1, p.owned.len()/trialSlices)
	for id, s := range p.hosts.all() {
		for i := nth % every; s.onTrial && i < p.owned.len(); i += every {
			p.owned.get(p.owned.sorted()[i]).standby = id
		}
		nth += int(bit(s.onTrial, 0))
	}
	for t, slice := range p.owned.all() {
		table := p.buildTable(slice)
		if !p.rules.sliced && (!slice.reported || p.now-slice.since < checkEvery) {
			continue
		}
		if len(table) > 0 && !slices.Equal(table, slice.requested) {
			must := len(slice.requested) == 0
			for _, l := range slice.written {
				s := p.hosts.get(l.host)
				must = must || urgent && !p.awaitsFirstList(l.host) && (s == nil || !s.inUse || s.fresh)
			}
			slice.requested = table
			p.post(p.publisher, wantedTable{t, table, must, 0, p.gainOf(slice, table)})
		} else if !slices.Equal(slice.requested, slice.writtenTable) {
			p.post(p.publisher, gainUpdate{t, p.gainOf(slice, slice.requested)})
		}
	}
	for _, s := range p.hosts.all() {
		p.post(s.actor, expectedRate{s.expectedRate})
	}
	if !p.rules.sliced {
		p.publishCommonTables(urgent)
	}
}

// common lays the one small table that all get first at sites without slices, and one a zone for own routes.
func (p *placer) publishCommonTables(urgent bool) {
	var tables shelf[TableID, lines]
	for id, s := range p.hosts.all() {
		part := s.listedWeight
		if s.fresh {
			part *= freshRoom
		}
		zone := zoneTables + TableID(s.zone)
		if had := tables.get(commonTable); s.inUse && len(had) < commonSize {
			tables.put(commonTable, append(had, line{id, part}))
		}
		if s.inUse && p.rules.ownZoneRoutes != 0 {
			tables.put(zone, append(tables.get(zone), line{id, part}))
		}
	}
	for t, all := range tables.all() {
		p.post(p.publisher, wantedTable{t, all, urgent, 0, 1})
	}
}

// table is the parts of a slice and, beside a whole one, a light standby line: a proxy that avoids a host or
// may try again has somewhere to go before anything is known here. It guards against any sudden loss of a
// host; it costs cold keys for its weight. A host on trial gets its few calls in the same place.
func (p *placer) buildTable(slice *sliceState) lines {
	out := slices.Clone(slice.planned)
	if p.rules.singleOwner || len(out) == 0 {
		return out
	}
	s, part := p.hosts.get(slice.standby), p.rules.standbyWeight
	if s != nil && s.onTrial {
		part = min(part, trialPart)
	} else if !p.awaitsFirstList(slice.standby) && (s == nil || !s.inUse || s.fresh) || out.holds(slice.standby) {
		if slice.standby = p.chooseStandby(slice); slice.standby != 0 {
			p.hosts.get(slice.standby).load += slice.rate * part
		}
	}
	if len(out) == 1 && slice.standby != 0 {
		out = append(out, line{slice.standby, part})
	}
	return out.sorted()
}

// spareFor draws a standby, from another cell where one is left: cells fall together.
func (p *placer) chooseStandby(slice *sliceState) (best HostID) {
	main, most := p.hosts.get(slice.planned[0].host), 0.0
	for id, s := range p.hosts.all() {
		score := (s.share - s.load) / s.share * (1 + p.chance()/4)
		if main == nil || s.cell != main.cell {
			score += 100
		}
		if !s.cold {
			score++ // it may get all of the slice at once
		}
		if s.inUse && !s.fresh && !slice.planned.holds(id) && (best == 0 || score > most) {
			best, most = id, score
		}
	}
	return best
}

// median is that of what hosts in use show, and how many show anything.
func (p *placer) median(of func(*placementHost) float64) (float64, int) {
	var all []float64
	for _, s := range p.hosts.all() {
		if x := of(s); s.inUse && x > 0 {
			all = append(all, x)
		}
	}
	return middle(all), len(all)
}

func (p *placer) slicesByRate() []*sliceState {
	var order []*sliceState
	for _, slice := range p.owned.all() {
		order = append(order, slice)
	}
	slices.SortStableFunc(order, func(a, b *sliceState) int { return cmp.Compare(b.rate, a.rate) })
	return order
}

func (p *placer) assign(l block, to HostID) {
	for t, slice := range p.owned.all() {
		if int(t) >= l.first && int(t) < l.first+l.span {
			slice.planned = slice.planned.plus(to, l.fraction)
		}
	}
}
