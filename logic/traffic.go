package logic

// Where calls go now, by the lines that proxies hold. What is only planned waits for room in the channel, for long
// at size: hosts and loads are judged by what stands, never by a plan.

// elsewhereFor is how long tables of other directors may name a host that is to go out: they rewrite them, or die
// and are followed by one that does.
const foreignTableTime = Millis(10000)

// listWithin is how long after a start the list may take that names hosts which only standing tables name until then:
// the list from disk is older than those.
const firstListTimeout = longestWord

// awaitsList says whether a host that standing tables name may yet be in the first list after the start. Planned anew
// before that, its slices went to other hosts and stayed there.
func (p *placer) awaitsFirstList(id HostID) bool {
	return id != 0 && p.listDeadline > 0 && !p.hosts.has(id)
}

// usable says whether proxies can use lines of a host.
func (p *placer) isUsable(id HostID) bool {
	s := p.hosts.get(id)
	return s != nil && s.inUse || p.awaitsFirstList(id)
}

// open are the lines of a slice's table, as last written, that proxies can use: without those of hosts that are out.
func (p *placer) usableLines(slice *sliceState) (open lines) {
	for _, l := range slice.writtenTable {
		if p.isUsable(l.host) {
			open = append(open, l)
		}
	}
	return open
}

// stands is where a slice's calls go. Once a main host is out they all go to the lines that are left, the standby
// above all, until the table is written anew. Where none is left it is what is planned: that is written first of all.
func (p *placer) effectiveLines(slice *sliceState) lines {
	for _, l := range slice.written {
		if !p.isUsable(l.host) {
			if open := p.usableLines(slice); len(open) > 0 {
				return open.scaled()
			}
			return slice.planned
		}
	}
	return slice.written
}

// expect reckons the calls a second that each host gets by the tables that stand. A host that was never written into
// any may not be missed.
func (p *placer) computeExpectedRates() {
	for _, s := range p.hosts.all() {
		s.expectedRate = 0
	}
	for _, slice := range p.owned.all() {
		open := p.usableLines(slice)
		if len(slice.writtenTable) == 0 {
			open = p.effectiveLines(slice) // a site without slices binds proxies to tables
		}
		whole := open.whole()
		for _, l := range open {
			if s := p.hosts.get(l.host); s != nil {
				s.expectedRate += slice.rate * l.weight / whole
			}
		}
	}
}

// elsewhere says whether tables of other directors may name a host that is to go out. Proxies hold those, too, and a
// mask counts for all. A director without slices has no say, and its messages are not acknowledged.
func (p *publisher) mayBeInForeignTables(id HostID) bool {
	return p.rules.sharedProxies && p.current.len() > 0 && p.now-p.changedAt.get(id) < foreignTableTime
}

// successor is the host that a slice's calls go to once its main one is out, if it can keep them: by what is reckoned, and
// by what it shows. In a rollout hosts that were half full kept slice after slice, and answered late for seconds.
func (p *placer) successor(slice *sliceState, load float64) *placementHost {
	if len(slice.planned) != 1 {
		return nil
	}
	open := p.usableLines(slice)
	if len(open) == 0 {
		return nil
	}
	s := p.hosts.get(open.heaviest().host)
	if s.fresh || !p.reportsRoom(s) || s.load+load > s.share*p.tolerance(s) {
		return nil
	}
	return s
}

// showsRoom says whether a host shows room for more by its own reports, where hosts report how busy they are. In an overload
// a move gains nothing.
func (p *placer) reportsRoom(s *placementHost) bool {
	return p.fleet.busy == 0 || p.fleet.isOverloaded() || s.busy > 0 && s.busy <= roomy
}

// relief is what a new table takes off hosts: calls a second, times how over-worked their host is.
func (p *placer) relief(slice *sliceState, table lines) (sum float64) {
	now := table.scaled()
	for _, l := range p.effectiveLines(slice) {
		if s := p.hosts.get(l.host); s != nil && s.share > 0 {
			sum += max(0, l.weight-now.part(l.host)) * slice.rate * s.currentLoad / s.share
		}
	}
	return sum
}
