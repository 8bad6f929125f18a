package logic

import "slices"

// Filling a message: which of the pending changes go into it, within the room that the channel has.

// draft is a message that is being filled.
type draft struct {
	*publisher
	message *channelMessage
}

func (p *publisher) newDraft() *draft {
	f := &channelMessage{proxies: &p.proxies, overhead: p.params.overheadLines + 1, queueLimit: p.params.queueLimit}
	overhead := float64(p.proxies.len()) * f.overhead
	f.filled, f.totalUnacknowledged = p.queuedLines()
	f.filled, f.totalUnacknowledged = f.filled+overhead, f.totalUnacknowledged+overhead
	p.reserveForReturns(f)
	return &draft{p, f}
}

func everyProxy(*joinedProxy) bool { return true }

// usersOf returns a function that reports whether a proxy holds a table.
func (d *draft) usersOf(t TableID) func(*joinedProxy) bool {
	return func(s *joinedProxy) bool { return d.params.sliced || s.bound && s.table == t || t >= firstZoneTable }
}

// writeMasks writes the outdated masks of hosts with an availability, except some.
func (d *draft) writeMasks(state availability, except func(HostID) bool) {
	for _, id := range d.hostsToMask(state) {
		if !except(id) && d.message.reserve(urgentBudget, 1, everyProxy) {
			d.emit(Mask{id, state != available})
			d.setMask(id, state != available)
		}
	}
}

// writeExhaustedTables writes the tables that have no host to offer, the longest pending first.
func (d *draft) writeExhaustedTables() {
	for _, w := range d.pendingTables(true, func(w wantedTable) float64 { return -float64(w.pendingSince) }) {
		d.writeTable(w, d.nextStep(w, false), urgentBudget)
	}
}

// writeOverdueTables writes tables that have named an excluded host for long. If such a table does not fit whole, only
// the lines of excluded hosts are removed: in a table of many parts, all lines change together.
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

// writeTables writes the tables that can wait, in the order of their priority. Where not all fit, a table first gets
// only the lines that its calls need. A table that has named an excluded host for more than writeWholeAfter is written
// whole, unless the change is urgent or the fleet is overloaded.
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

// isFull reports whether there is no room for one line to every proxy.
func (d *draft) isFull(part float64) bool {
	return d.params.sliced && !d.message.hasRoom(part, float64(d.proxies.len()))
}

func (d *draft) priority(w wantedTable) float64 { return w.priority(d.now) }

// writeTable adds the lines that a table is to hold next to the message, if the given part of the queue has room for
// them. A table that does not fit does not hold up those behind it: a smaller one may fit.
func (d *draft) writeTable(w wantedTable, next lines, part float64) (written bool) {
	t, changes := w.table, d.tableOrders(w.table, next)
	if d.params.sliced && !d.message.hasRoom(part, float64(len(changes)*d.proxies.len())) {
		return false // found without visiting thousands of proxies for each of as many tables
	}
	if !d.message.reserve(part, float64(len(changes)), d.usersOf(t)) {
		return false
	}
	d.orders = append(d.orders, changes...)
	if d.current.set(t, next); slices.Equal(next, w.lines) {
		d.pending.delete(t)
	} else if len(changes) > 0 {
		w.pendingSince, w.urgent = d.now, false // its calls now go to the wanted hosts: the rest can wait
		d.pending.set(t, w)
	}
	d.post(d.placer, tableWritten{t, next})
	for _, l := range next {
		if slices.Contains(changes, Order(Mask{l.host, false})) {
			d.setMask(l.host, false)
		}
	}
	if d.params.singleOwner {
		d.writesStoppedUntil.set(t, d.now+d.params.settleTime)
	}
	return true
}

// bindProxies binds proxies to the tables that they are to use, at sites without slices.
func (d *draft) bindProxies() {
	for n, s := range d.proxies.all() {
		zone := firstZoneTable + TableID(s.zone)
		lines := 2 + float64(len(d.current.get(s.wantedTable))+len(d.current.get(zone)))
		if d.params.sliced || s.bound && s.wantedTable == s.table || !d.current.has(s.wantedTable) ||
			!d.message.reserve(unslicedBudget, lines, func(x *joinedProxy) bool { return x == s }) {
			continue
		}
		if own := d.params.ownZoneRoutes; own != 0 && !s.bound {
			d.emit(Bind{n, zone, own})
		}
		if rest := d.params.allRoutes &^ d.params.ownZoneRoutes; rest != 0 {
			d.emit(Bind{n, s.wantedTable, rest})
		}
		s.table, s.bound = s.wantedTable, true
	}
}
