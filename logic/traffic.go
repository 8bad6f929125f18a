package logic

// Traffic: where calls go now, by the lines that proxies hold. A plan may wait for room in the channel, in a large
// fleet for long, so hosts and loads are judged by the current tables and never by a plan.

// foreignTableTime is how long tables of other directors may name a host that is excluded: these directors rewrite the
// tables, or they fail and a successor does.
const foreignTableTime = Millis(10000)

// firstListTimeout is how long after a start the first host list may take. Until then hosts may be missing that only
// the current tables name, since the list from disk may be older than those tables.
const firstListTimeout = maxListDelay

// awaitsFirstList reports whether a host that current tables name may still appear in the first list after the start.
// Its slices are not placed anew before that: when they were, they went to other hosts and stayed there.
func (p *placer) awaitsFirstList(id HostID) bool {
	return id != 0 && p.listDeadline > 0 && !p.hosts.has(id)
}

// isUsable reports whether proxies can use lines of a host.
func (p *placer) isUsable(id HostID) bool {
	s := p.hosts.get(id)
	return s != nil && s.inUse || p.awaitsFirstList(id)
}

// usableLines returns the lines of a slice's table, as last written, that proxies can use: those of hosts in use.
func (p *placer) usableLines(slice *sliceState) (usable lines) {
	for _, l := range slice.writtenTable {
		if p.isUsable(l.host) {
			usable = append(usable, l)
		}
	}
	return usable
}

// effectiveLines returns the lines that the calls of a slice go to. Once a host of its parts is out of use, they all go
// to the lines that are left, usually the standby, until the table is rewritten. If none is left, the planned lines are
// returned, since such a table is written before any other.
func (p *placer) effectiveLines(slice *sliceState) lines {
	for _, l := range slice.written {
		if !p.isUsable(l.host) {
			if usable := p.usableLines(slice); len(usable) > 0 {
				return usable.normalized()
			}
			return slice.planned
		}
	}
	return slice.written
}

// computeExpectedRates computes the calls a second that each host gets by the current tables. A host that was
// never written into a table expects none, so that its silence is not held against it.
func (p *placer) computeExpectedRates() {
	for _, s := range p.hosts.all() {
		s.expectedRate = 0
	}
	for _, slice := range p.owned.all() {
		usable := p.usableLines(slice)
		if len(slice.writtenTable) == 0 {
			usable = p.effectiveLines(slice) // a site without slices binds proxies to tables
		}
		whole := usable.total()
		for _, l := range usable {
			if s := p.hosts.get(l.host); s != nil {
				s.expectedRate += slice.rate * l.weight / whole
			}
		}
	}
}

// mayBeInForeignTables reports whether tables of other directors may name a host that is excluded. Proxies hold those
// tables, too, and a mask applies to all of them. A director without slices has no say in this, and its messages are
// not acknowledged, so it does not write such masks.
func (p *publisher) mayBeInForeignTables(id HostID) bool {
	return p.params.sharedProxies && p.current.len() > 0 && p.now-p.changedAt.get(id) < foreignTableTime
}

// successor returns the host that the calls of a slice go to once its main host is out of use, if it can keep them by
// its computed load as well as by its own reports; else nil. In a rollout, hosts that were half full kept slice after
// slice and answered late for seconds.
func (p *placer) successor(slice *sliceState, load float64) *placementHost {
	if len(slice.planned) != 1 {
		return nil
	}
	usable := p.usableLines(slice)
	if len(usable) == 0 {
		return nil
	}
	s := p.hosts.get(usable.heaviest().host)
	if s.fresh || !p.reportsRoom(s) || s.load+load > s.share*p.tolerance(s) {
		return nil
	}
	return s
}

// reportsRoom reports whether a host has room for more calls by its own reports, where hosts report a utilization. In
// an overload it is true, since a move gains nothing.
func (p *placer) reportsRoom(s *placementHost) bool {
	return p.fleet.utilization == 0 || p.fleet.isOverloaded() || s.utilization > 0 && s.utilization <= lowUtilization
}

// relief returns what a new table takes off hosts: calls a second, each times the load of their host over its share.
func (p *placer) relief(slice *sliceState, table lines) (sum float64) {
	now := table.normalized()
	for _, l := range p.effectiveLines(slice) {
		if s := p.hosts.get(l.host); s != nil && s.share > 0 {
			sum += max(0, l.weight-now.weightOf(l.host)) * slice.rate * s.currentLoad / s.share
		}
	}
	return sum
}
