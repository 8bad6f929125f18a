package logic

// Where calls go now, by the lines that proxies hold. What is only planned waits for room in the channel, for long
// at size: hosts and loads are judged by what stands, never by a plan.

// elsewhereFor is how long tables of other directors may name a host that is to go out: they rewrite them, or die
// and are followed by one that does.
const elsewhereFor = Millis(10000)

// listWithin is how long after a start the list may take that names hosts which only standing tables name until then:
// the list from disk is older than those.
const listWithin = maxListDelay

// awaitsList says whether a host that standing tables name may yet be in the first list after the start. Planned anew
// before that, its slices went to other hosts and stayed there.
func (p *placer) awaitsList(id HostID) bool { return id != 0 && p.listBy > 0 && !p.seats.has(id) }

// usable says whether proxies can use lines of a host.
func (p *placer) usable(id HostID) bool {
	s := p.seats.get(id)
	return s != nil && s.in || p.awaitsList(id)
}

// open are the lines of a slice's table, as last written, that proxies can use: without those of hosts that are out.
func (p *placer) open(pc *piece) (open lines) {
	for _, l := range pc.held {
		if p.usable(l.host) {
			open = append(open, l)
		}
	}
	return open
}

// stands is where a slice's calls go. Once a main host is out they all go to the lines that are left, the standby
// above all, until the table is written anew. Where none is left it is what is planned: that is written first of all.
func (p *placer) stands(pc *piece) lines {
	for _, l := range pc.laid {
		if !p.usable(l.host) {
			if open := p.open(pc); len(open) > 0 {
				return open.normalized()
			}
			return pc.parts
		}
	}
	return pc.laid
}

// expect reckons the calls a second that each host gets by the tables that stand. A host that was never written into
// any may not be missed.
func (p *placer) expect() {
	for _, s := range p.seats.all() {
		s.expected = 0
	}
	for _, pc := range p.own.all() {
		open := p.open(pc)
		if len(pc.held) == 0 {
			open = p.stands(pc) // a site without slices binds proxies to tables
		}
		whole := open.total()
		for _, l := range open {
			if s := p.seats.get(l.host); s != nil {
				s.expected += pc.weight * l.weight / whole
			}
		}
	}
}

// elsewhere says whether tables of other directors may name a host that is to go out. Proxies hold those, too, and a
// mask counts for all. A director without slices has no say, and its messages are not acknowledged.
func (p *publisher) elsewhere(id HostID) bool {
	return p.params.shared && p.stands.len() > 0 && p.now-p.turned.get(id) < elsewhereFor
}

// successor is the host that a slice's calls go to once its main one is out, if it can keep them: by what is reckoned, and
// by what it shows. In a rollout hosts that were half full kept slice after slice, and answered late for seconds.
func (p *placer) successor(pc *piece, load float64) *seat {
	if len(pc.parts) != 1 {
		return nil
	}
	open := p.open(pc)
	if len(open) == 0 {
		return nil
	}
	s := p.seats.get(open.heaviest().host)
	if s.fresh || !p.showsRoom(s) || s.load+load > s.share*p.most(s) {
		return nil
	}
	return s
}

// showsRoom says whether a host shows room for more by its own reports, where hosts report how busy they are. In an overload
// a move gains nothing.
func (p *placer) showsRoom(s *seat) bool {
	return p.around.utilization == 0 || p.around.overloaded() || s.utilization > 0 && s.utilization <= lowUtilization
}

// relief is what a new table takes off hosts: calls a second, times how over-worked their host is.
func (p *placer) relief(pc *piece, table lines) (sum float64) {
	now := table.normalized()
	for _, l := range p.stands(pc) {
		if s := p.seats.get(l.host); s != nil && s.share > 0 {
			sum += max(0, l.weight-now.weightOf(l.host)) * pc.weight * s.stands / s.share
		}
	}
	return sum
}
