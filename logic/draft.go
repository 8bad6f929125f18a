package logic

import "slices"

// A message in the making: what of all that is wanted goes into it, within what the channel has room for.

// draft is a message that is being filled.
type draft struct {
	*publisher
	cost *flight
}

func (p *publisher) newDraft() *draft {
	f := &flight{streams: &p.streams, each: p.params.head + 1, queue: p.params.queue}
	heads := float64(p.streams.len()) * f.each
	f.filled, f.unowned = p.waiting()
	f.filled, f.unowned = f.filled+heads, f.unowned+heads
	p.expectReturns(f)
	return &draft{p, f}
}

func everyStream(*stream) bool { return true }

// using says which streams hold a table.
func (d *draft) using(t TableID) func(*stream) bool {
	return func(s *stream) bool { return d.params.sliced || s.bound && s.table == t || t >= firstZoneTable }
}

// writeMasks writes the masks of a kind that are not as they should be, but for some.
func (d *draft) writeMasks(open opening, but func(HostID) bool) {
	for _, id := range d.ajar(open) {
		if !but(id) && d.cost.book(urgentBudget, 1, everyStream) {
			d.emit(Mask{id, open != opened})
			d.setMask(id, open != opened)
		}
	}
}

// writeBareTables writes the tables that have nothing to offer, those that have waited for longest first.
func (d *draft) writeBareTables() {
	for _, w := range d.wantedBy(true, func(w wanted) float64 { return -float64(w.at) }) {
		d.write(w, d.nextStep(w, false), urgentBudget)
	}
}

// writeOverdueTables writes tables that have named a host for long that is out. Of a table of many parts, each of which
// changes with the others, the lines of such hosts go alone where the whole does not fit.
func (d *draft) writeOverdueTables() {
	part := d.ordinaryShare()
	for _, w := range d.wantedBy(false, d.urgency) {
		if d.full(part) {
			return
		}
		if d.outFor(w) > overdueAfter && !d.write(w, w.lines, part) {
			d.write(w, d.withoutHostsOut(w), part)
		}
	}
}

// writeTables writes the tables that can wait, by what they are worth. Where not all fit, those whose calls are to move get
// their main lines first; in an overload all do.
func (d *draft) writeTables() {
	part := d.ordinaryShare()
	whole := d.fitsWhole(d.cost, part)
	for _, w := range d.wantedBy(false, d.urgency) {
		if d.full(part) {
			return
		}
		lines := w.lines
		if !whole && (w.urgent || d.place.around.overloaded() || d.outFor(w) <= wholeAfter) {
			lines = d.nextStep(w, true)
		}
		d.write(w, lines, part)
	}
}

// full says whether there is no room for a line to all proxies.
func (d *draft) full(part float64) bool {
	return d.params.sliced && !d.cost.fits(part, float64(d.streams.len()))
}

func (d *draft) urgency(w wanted) float64 { return w.priority(d.now) }

// write puts the lines that a table is to hold next into the message, if that part of the queue has room for them. A
// table that has none does not hold up those behind it: a smaller one may fit.
func (d *draft) write(w wanted, next lines, part float64) (written bool) {
	t, changes := w.table, d.changes(w.table, next)
	if d.params.sliced && !d.cost.fits(part, float64(len(changes)*d.streams.len())) {
		return false // told without a walk over all proxies, of which there are thousands, for each of as many tables
	}
	if !d.cost.book(part, float64(len(changes)), d.using(t)) {
		return false
	}
	d.orders = append(d.orders, changes...)
	if d.stands.set(t, next); slices.Equal(next, w.lines) {
		d.wants.delete(t)
	} else if len(changes) > 0 {
		w.at, w.urgent = d.now, false // its calls go where they should: the rest can wait
		d.wants.set(t, w)
	}
	d.post(d.place, laid{t, next})
	for _, l := range next {
		if slices.Contains(changes, Order(Mask{l.host, false})) {
			d.setMask(l.host, false)
		}
	}
	if d.params.oneOwner {
		d.shut.set(t, d.now+d.params.settle)
	}
	return true
}

// bindStreams binds streams to the tables that they want, at sites without slices.
func (d *draft) bindStreams() {
	for n, s := range d.streams.all() {
		zone := firstZoneTable + TableID(s.zone)
		lines := 2 + float64(len(d.stands.get(s.wants))+len(d.stands.get(zone)))
		if d.params.sliced || s.bound && s.wants == s.table || !d.stands.has(s.wants) ||
			!d.cost.book(unslicedBudget, lines, func(x *stream) bool { return x == s }) {
			continue
		}
		if own := d.params.ownZone; own != 0 && !s.bound {
			d.emit(Bind{n, zone, own})
		}
		if rest := d.params.everyRoute &^ d.params.ownZone; rest != 0 {
			d.emit(Bind{n, s.wants, rest})
		}
		s.table, s.bound = s.wants, true
	}
}
