package logic

import "slices"

// A message in the making: what of all that is wanted goes into it, within what the channel has room for.

// draft is a message that is being filled.
type draft struct {
	*publisher
	message *channelMessage
}

func (p *publisher) newDraft() *draft {
	f := &channelMessage{proxies: &p.proxies, overhead: p.rules.headLines + 1, queueLimit: p.rules.queueLimit}
	heads := float64(p.proxies.len()) * f.overhead
	f.filled, f.totalUnacknowledged = p.queuedLines()
	f.filled, f.totalUnacknowledged = f.filled+heads, f.totalUnacknowledged+heads
	p.reserveForReturns(f)
	return &draft{p, f}
}

func everyProxy(*joinedProxy) bool { return true }

// using says which streams hold a table.
func (d *draft) usersOf(t TableID) func(*joinedProxy) bool {
	return func(s *joinedProxy) bool { return d.rules.sliced || s.bound && s.table == t || t >= zoneTables }
}

// writeMasks writes the masks of a kind that are not as they should be, but for some.
func (d *draft) writeMasks(open availability, but func(HostID) bool) {
	for _, id := range d.hostsToMask(open) {
		if !but(id) && d.message.reserve(urgentPart, 1, everyProxy) {
			d.order(Mask{id, open != available})
			d.setMask(id, open != available)
		}
	}
}

// writeBareTables writes the tables that have nothing to offer, those that have waited for longest first.
func (d *draft) writeExhaustedTables() {
	for _, w := range d.pendingTables(true, func(w wantedTable) float64 { return -float64(w.pendingSince) }) {
		d.writeTable(w, d.nextStep(w, false), urgentPart)
	}
}

// writeOverdueTables writes tables that have named a host for long that is out. Of a table of many parts, each of which
// changes with the others, the lines of such hosts go alone where the whole does not fit.
func (d *draft) writeOverdueTables() {
	part := d.ordinaryShare()
	for _, w := range d.pendingTables(false, d.priority) {
		if d.isFull(part) {
			return
		}
		if d.excludedFor(w) > overdueAfter && !d.writeTable(w, w.lines, part) {
			d.writeTable(w, d.withoutExcludedHosts(w), part)
		}
	}
}

// writeTables writes the tables that can wait, by what they are worth. Where not all fit, those whose calls are to move get
// their main lines first; in an overload all do.
func (d *draft) writeTables() {
	part := d.ordinaryShare()
	whole := d.fitsAllPending(d.message, part)
	for _, w := range d.pendingTables(false, d.priority) {
		if d.isFull(part) {
			return
		}
		lines := w.lines
		if !whole && (w.urgent || d.placer.fleet.isOverloaded() || d.excludedFor(w) <= writeWholeAfter) {
			lines = d.nextStep(w, true)
		}
		d.writeTable(w, lines, part)
	}
}

// full says whether there is no room for a line to all proxies.
func (d *draft) isFull(part float64) bool {
	return d.rules.sliced && !d.message.hasRoom(part, float64(d.proxies.len()))
}

func (d *draft) priority(w wantedTable) float64 { return w.priority(d.now) }

// write puts the lines that a table is to hold next into the message, if that part of the queue has room for them. A
// table that has none does not hold up those behind it: a smaller one may fit.
func (d *draft) writeTable(w wantedTable, next lines, part float64) (written bool) {
	t, changes := w.table, d.tableOrders(w.table, next)
	if d.rules.sliced && !d.message.hasRoom(part, float64(len(changes)*d.proxies.len())) {
		return false // told without a walk over all proxies, of which there are thousands, for each of as many tables
	}
	if !d.message.reserve(part, float64(len(changes)), d.usersOf(t)) {
		return false
	}
	d.out = append(d.out, changes...)
	if d.current.put(t, next); slices.Equal(next, w.lines) {
		d.pending.drop(t)
	} else if len(changes) > 0 {
		w.pendingSince, w.urgent = d.now, false // its calls go where they should: the rest can wait
		d.pending.put(t, w)
	}
	d.post(d.placer, tableWritten{t, next})
	for _, l := range next {
		if slices.Contains(changes, Order(Mask{l.host, false})) {
			d.setMask(l.host, false)
		}
	}
	if d.rules.singleOwner {
		d.writesStoppedUntil.put(t, d.now+d.rules.settleTime)
	}
	return true
}

// bindStreams binds streams to the tables that they want, at sites without slices.
func (d *draft) bindProxies() {
	for n, s := range d.proxies.all() {
		zone := zoneTables + TableID(s.zone)
		lines := 2 + float64(len(d.current.get(s.wantedTable))+len(d.current.get(zone)))
		if d.rules.sliced || s.bound && s.wantedTable == s.table || !d.current.has(s.wantedTable) ||
			!d.message.reserve(barePart, lines, func(x *joinedProxy) bool { return x == s }) {
			continue
		}
		if own := d.rules.ownZoneRoutes; own != 0 && !s.bound {
			d.order(Bind{n, zone, own})
		}
		if rest := d.rules.allRoutes &^ d.rules.ownZoneRoutes; rest != 0 {
			d.order(Bind{n, s.wantedTable, rest})
		}
		s.table, s.bound = s.wantedTable, true
	}
}
