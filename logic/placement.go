package logic

import (
	"cmp"
	"math"
	"slices"
)

// Placement decides which host each slice goes to. It is the paper's greedy algorithm over aligned blocks of slices.

func (p *placer) updateHost(n hostStatus) {
	s := p.hosts.get(n.id)
	if s == nil {
		s = &placementHost{}
		p.hosts.set(n.id, s)
		p.post(p.publisher, hostAdded{n.id})
	}
	p.dirty = p.dirty || s.onTrial != n.onTrial || !s.fresh && n.fresh
	s.hostStatus = n
}

func (p *placer) finishBatch() {
	if p.listDeadline > 0 && p.now >= p.listDeadline {
		p.listDeadline, p.dirty = 0, true
	}
	up, unfit, restingHosts := 0, 0, 0
	for _, s := range p.hosts.all() {
		up += int(bit(s.usable || s.unfit, 0))
		unfit += int(bit(s.unfit, 0))
	}
	for id, s := range p.hosts.all() {
		// At most an eighth of the hosts rest at once, and none whose load is well above the mean.
		// Where most hosts look unfit at once, the director's view or an overload is the cause: none is excluded.
		in := s.usable || s.unfit && unfit*2 > up || s.unproven && up == 0
		state := available
		if !in && !s.onTrial {
			if state = excluded; s.leaving {
				state = excludedByRule
			}
		} else if in && s.resting && restingHosts < up/8 && s.load < p.totalRate/float64(up)*1.25 {
			state, restingHosts = resting, restingHosts+1
		}
		if state != s.availability {
			s.availability = state
			p.post(p.publisher, availabilityChange{id, state})
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

// addSlice takes over a slice with its stored lines. These are current, so their hosts have warm caches for it. A light
// line beside a whole one is a standby.
func (p *placer) addSlice(t TableID, stored lines) {
	slice := &sliceState{table: t, since: p.now, wantedTable: stored, writtenTable: stored, rate: p.meanRate}
	for _, l := range stored {
		if l.weight < 0.999 && stored.total() > 1.001 {
			slice.standby = l.host
		} else {
			slice.planned = append(slice.planned, l)
		}
	}
	slice.planned = slice.planned.normalized()
	slice.written = slice.planned
	p.owned.set(t, slice)
	p.dirty = true
}

func (p *placer) recordDemand(n SliceDemand) {
	if slice := p.owned.get(n.Slice); slice != nil {
		p.dirty = p.dirty || !p.params.sliced && !slice.reported
		// A thinned-out report covers a long time and comes at once: its calls get the weight that they would have had
		// if reported one by one.
		span := float64(max(1, n.Period)) / (float64(demandHalfLife) / math.Ln2)
		slice.calls.add(p.now, demandHalfLife, float64(n.Calls)*(1-math.Exp(-span))/span)
		slice.reported, slice.lastReport = true, p.now
		trackSince(&p.firstReport, true, p.now)
	}
}

func (p *placer) computeLoads() {
	// The rate of calls that hosts answer for each unit of occupancy is compared with their listed weights, relative to
	// the median, so that the unit of occupancy cancels out.
	ratio, reporting := p.median(func(s *placementHost) float64 { return s.callsPerOccupancy / s.listedWeight })
	typicalTime, _ := p.median(func(s *placementHost) float64 { return s.answerTime })
	for _, s := range p.hosts.all() {
		s.standbyLoad, s.load = 0, 0
	}
	p.totalRate = 0
	shares := 0.0
	for _, slice := range p.owned.all() {
		// There are no reports of a newly owned slice yet: until they come it counts as much as the mean slice.
		from := max(slice.since, p.firstReport-p.params.reportInterval)
		if slice.reported || p.firstReport > 0 && p.now-from > demandHalfLife/2 {
			slice.rate = slice.calls.rate(max(slice.lastReport, p.now-2*demandHalfLife), demandHalfLife, from)
		}
		p.totalRate += slice.rate
		for _, l := range p.effectiveLines(slice) {
			if s := p.hosts.get(l.host); s != nil {
				s.load += l.weight * slice.rate
			}
		}
		if s := p.hosts.get(slice.standby); s != nil {
			s.standbyLoad += slice.rate * p.params.standbyWeight
			s.load += slice.rate * p.params.standbyWeight
			p.totalRate += slice.rate * p.params.standbyWeight
		}
	}
	if p.totalRate > 0 { // without slices yet, the mean stays, so that those to come count as equal and not as nothing
		p.meanRate = p.totalRate / float64(p.owned.len())
	}
	p.computeExpectedRates()
	for _, s := range p.hosts.all() {
		s.currentLoad = s.load
		if s.share = 0; s.inUse {
			s.share = s.listedWeight
			if s.callsPerOccupancy > 0 && reporting > 2 {
				s.share *= min(2.5, max(0.1, s.callsPerOccupancy/s.listedWeight/ratio))
			}
			if s.implausibleLoad && s.answerTime > typicalTime {
				s.share *= max(0.1, typicalTime/s.answerTime)
			}
			if s.cold {
				// Its share grows as its caches warm up. The few calls that it has answered are no evidence for more
				// than its listed share. In an overload a full share would exceed what it can bear with cold caches,
				// and so it would while that overload is throttled: shares are of all calls that come, and levels may
				// rise before the lines change.
				s.share = min(s.share, s.listedWeight) * s.warmShare / max(1, p.fleet.pressure*p.fleet.pressure,
					p.fleet.demandPressure)
			}
			shares += s.share
		}
	}
	for _, s := range p.hosts.all() {
		s.share *= p.totalRate / max(shares, 1e-9)
		if s.maxLoad = s.share * p.tolerance(s); s.utilization > 0 && s.utilization < lowUtilization && !s.cold &&
			s.answerTime < typicalTime*3/2 {
			// A computed share is rough, and among many hosts some are always far off: a host that reports room to
			// spare and answers as fast as the others is not overloaded, whatever was computed.
			s.maxLoad = max(s.maxLoad, s.load*lowUtilization/s.utilization)
		}
	}
}

// tolerance is the tolerated ratio of a host's load to its share: above maxImbalance while even the fullest host has
// room, since a move would then only cost warm caches. The capacity of a cold host is unknown: it gets no more than
// its share.
func (p *placer) tolerance(s *placementHost) float64 {
	if s.cold {
		return 1
	}
	if p.fleet.pressure == 0 {
		return maxImbalance // no load is known yet
	}
	return max(maxImbalance, min(2, safeHostLoad/p.fleet.pressure))
}

// imbalance returns the paper's measure, the highest ratio of a host's load to its maximum load, and beside it the sum
// of all load beyond the maximum: among many hosts the worst may be beyond relief while others are not.
func (p *placer) imbalance() (worst, excess float64) {
	for _, s := range p.hosts.all() {
		if s.inUse {
			worst = max(worst, s.load/max(s.maxLoad, 1e-9))
			excess += max(0, s.load-s.maxLoad)
		}
	}
	return worst, excess
}

// rebalance is the periodic check: if a host exceeds its maximum load twice in a row, blocks are assigned again, and
// the result is kept only if the gain is worth the cold caches.
func (p *placer) rebalance() {
	p.computeLoads()
	worst, before := p.imbalance()
	if p.checksOverMaximum++; p.firstReport == 0 || worst <= 1 {
		p.checksOverMaximum = min(p.checksOverMaximum, 0)
	} else if p.checksOverMaximum >= 2 {
		for _, slice := range p.owned.all() {
			slice.planned = slices.Clone(p.effectiveLines(slice)) // what the channel had no room for is planned again
		}
		p.assignBlocks(false)
		p.checksOverMaximum = 0
		if _, after := p.imbalance(); after > before*maxRemainingImbalance {
			p.checksOverMaximum = 1
			for _, slice := range p.owned.all() {
				slice.planned = slice.previous
			}
			p.computeLoads()
		}
	}
	p.publishTables(false)
}

// demandKnown reports whether reports have come for long enough to know the demand of each slice. Until then all slices
// count as equal, which does not justify a move: after a restart, hosts that had just started lost slices that they
// bore well.
func (p *placer) demandKnown() bool { return p.firstReport > 0 && p.now-p.firstReport > demandHalfLife }

// releaseParts unassigns the parts that have to move. Parts that fit stay, those of the slices with the most calls
// first, so that few move. With onlyMust, a host that is merely too full keeps its parts, and a recently started one
// those that it has room for.
func (p *placer) releaseParts(onlyMust bool) {
	for _, s := range p.hosts.all() {
		s.load = s.standbyLoad
	}
	for _, slice := range p.slicesByRate() {
		var stay lines
		if slice.unassigned = 1; !p.params.sliced && !slice.reported {
			slice.unassigned = 0 // the common table serves until the demand of a proxy is known
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
					// Its calls already go there and find warm caches: a move now would cost the warm-up twice.
					s, l.host = next, next.id
				}
			}
			if s == nil || !s.inUse || (!onlyMust || s.fresh && p.demandKnown()) && s.load+load > s.maxLoad {
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

// unassignedBlocks returns the largest aligned blocks whose own slices are all unassigned, or the unassigned part of
// a single slice.
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
	if span == 1 && !p.params.sliced && l.fraction > 1.0/64 {
		// One proxy may have more calls than a host can serve, and has no keys of a slice to keep warm: it is placed in
		// sixteenths.
		return slices.Repeat([]block{{first, 1, l.fraction / 16, l.load / 16}}, 16)
	}
	if all && p.params.sliced || span == 1 {
		return []block{l}
	}
	return append(p.unassignedBlocks(first, span/2), p.unassignedBlocks(first+span/2, span/2)...)
}

// hostWithMostRoom returns the host with the most room, except one, of all hosts or only of the warm ones; nil if
// there is none.
func (p *placer) hostWithMostRoom(except *placementHost, warm bool) *placementHost {
	var best *placementHost
	for _, s := range p.hosts.all() {
		if s.inUse && s != except && !(warm && s.cold) && (best == nil || s.share-s.load > best.share-best.load) {
			best = s
		}
	}
	return best
}

// assignBlocks is the paper's algorithm over the unassigned blocks. All start at the host with the most room; blocks
// move from there, the one with the highest load first, until its load is within the tolerance.
func (p *placer) assignBlocks(onlyMust bool) {
	p.releaseParts(onlyMust)
	span := 1
	for n := p.owned.len(); n > 0 && span <= int(p.owned.sortedKeys()[n-1]); {
		span *= 2
	}
	blocks, base := p.unassignedBlocks(0, span), p.hostWithMostRoom(nil, false)
	if base == nil {
		return
	}
	for _, l := range blocks {
		base.load += l.load
	}
	for base.load > base.share*p.tolerance(base) && len(blocks) > 0 {
		s := p.hostWithMostRoom(base, false)
		if s == nil || s.share <= s.load {
			break
		}
		slices.SortStableFunc(blocks, func(a, b block) int { return cmp.Compare(b.load, a.load) })
		l := blocks[0]
		blocks = blocks[1:]
		room := s.share - s.load
		if l.load < min(p.totalRate*smallBlockShare, s.share*smallBlockHostShare) {
			room = s.share*p.tolerance(s) - s.load
		}
		if l.load > room {
			if halves := p.splitBlock(l, s.share); halves != nil {
				blocks = append(blocks, halves...)
				continue
			}
			if s.cold {
				s = cmp.Or(p.hostWithMostRoom(base, true), s) // a warm host survives an overload, a cold one fails
			}
		}
		p.assign(l, s.id)
		s.load += l.load
		base.load -= l.load
	}
	for _, l := range blocks {
		p.assign(l, base.id)
	}
}

// splitBlock halves a block. A single slice is split by weight, but only if its load is high, since both halves
// have to warm up its keys.
func (p *placer) splitBlock(l block, share float64) []block {
	if half := l.span / 2; half > 0 {
		return append(p.unassignedBlocks(l.first, half), p.unassignedBlocks(l.first+half, half)...)
	}
	if p.params.singleOwner || l.load <= share/2 || l.fraction < 0.2 {
		return nil
	}
	half := block{l.first, 1, l.fraction / 2, l.load / 2}
	return []block{half, half}
}

// publishTables posts the wanted content of each table to the publisher, and to each host the rate of calls that the
// current tables send to it.
func (p *placer) publishTables(urgent bool) {
	nth, every := 0, max(1, p.owned.len()/trialSliceCount)
	for id, s := range p.hosts.all() {
		for i := nth % every; s.onTrial && i < p.owned.len(); i += every {
			p.owned.get(p.owned.sortedKeys()[i]).standby = id
		}
		nth += int(bit(s.onTrial, 0))
	}
	for t, slice := range p.owned.all() {
		table := p.buildTable(slice)
		if !p.params.sliced && (!slice.reported || p.now-slice.since < checkInterval) {
			continue
		}
		if len(table) > 0 && !slices.Equal(table, slice.wantedTable) {
			isUrgent := len(slice.wantedTable) == 0
			for _, l := range slice.written {
				s := p.hosts.get(l.host)
				isUrgent = isUrgent || urgent && !p.awaitsFirstList(l.host) && (s == nil || !s.inUse || s.fresh)
			}
			slice.wantedTable = table
			p.post(p.publisher, wantedTable{t, table, isUrgent, 0, p.gainOf(slice, table)})
		} else if !slices.Equal(slice.wantedTable, slice.writtenTable) {
			p.post(p.publisher, gainUpdate{t, p.gainOf(slice, slice.wantedTable)})
		}
	}
	for _, s := range p.hosts.all() {
		p.post(s.actor, expectedRate{s.expectedRate})
	}
	if !p.params.sliced {
		p.publishCommonTables(urgent)
	}
}

// publishCommonTables publishes, at sites without slices, the small table that all proxies get first, and a table for
// each zone with the routes that stay in their zone.
func (p *placer) publishCommonTables(urgent bool) {
	var tables orderedMap[TableID, lines]
	for id, s := range p.hosts.all() {
		part := s.listedWeight
		if s.fresh {
			part *= freshCapacity
		}
		zone := firstZoneTable + TableID(s.zone)
		if table := tables.get(commonTable); s.inUse && len(table) < commonTableSize {
			tables.set(commonTable, append(table, line{id, part}))
		}
		if s.inUse && p.params.ownZoneRoutes != 0 {
			tables.set(zone, append(tables.get(zone), line{id, part}))
		}
	}
	for t, all := range tables.all() {
		p.post(p.publisher, wantedTable{t, all, urgent, 0, 1})
	}
}

// buildTable returns the parts of a slice and, beside a whole one, a light standby line: a proxy that avoids a host
// or may retry has another host before the director knows of a fault. It protects against any sudden loss of a host,
// and costs cold caches for its share of the calls. A host on trial gets its few calls by the same line.
func (p *placer) buildTable(slice *sliceState) lines {
	out := slices.Clone(slice.planned)
	if p.params.singleOwner || len(out) == 0 {
		return out
	}
	s, part := p.hosts.get(slice.standby), p.params.standbyWeight
	if s != nil && s.onTrial {
		part = min(part, trialWeight)
	} else if !p.awaitsFirstList(slice.standby) && (s == nil || !s.inUse || s.fresh) || out.contains(slice.standby) {
		if slice.standby = p.chooseStandby(slice); slice.standby != 0 {
			p.hosts.get(slice.standby).load += slice.rate * part
		}
	}
	if len(out) == 1 && slice.standby != 0 {
		out = append(out, line{slice.standby, part})
	}
	return out.sortByHost()
}

// chooseStandby chooses a standby at random by the room of hosts, from another cell if there is one, since the hosts
// of a cell fail together.
func (p *placer) chooseStandby(slice *sliceState) (best HostID) {
	main, most := p.hosts.get(slice.planned[0].host), 0.0
	for id, s := range p.hosts.all() {
		score := (s.share - s.load) / s.share * (1 + p.random()/4)
		if main == nil || s.cell != main.cell {
			score += 100
		}
		if !s.cold {
			score++ // it may get all calls of the slice at once
		}
		if s.inUse && !s.fresh && !slice.planned.contains(id) && (best == 0 || score > most) {
			best, most = id, score
		}
	}
	return best
}

// median returns the median of a value over the hosts in use for which it is known, and their number.
func (p *placer) median(of func(*placementHost) float64) (float64, int) {
	var all []float64
	for _, s := range p.hosts.all() {
		if x := of(s); s.inUse && x > 0 {
			all = append(all, x)
		}
	}
	return median(all), len(all)
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
			slice.planned = slice.planned.add(to, l.fraction)
		}
	}
}
