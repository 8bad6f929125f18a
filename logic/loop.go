// The machinery the parts run on: inboxes, the loop that empties them, and chance. No decisions.
package logic

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
)

// inbox is where a part's notes wait; loop empties all of them in the order in which they filled.
type inbox struct{ waiting []any }

func (b *inbox) box() *inbox { return b }

type part interface {
	box() *inbox
	take(n any)
}

type loop struct {
	now   Millis
	seed  uint64
	drawn uint64
	ready []part
	out   []Order
	rules params
	// changes are those of hosts in the call at hand, for the log.
	changes []HostChange
}

func (l *loop) post(to part, n any) {
	b := to.box()
	if len(b.waiting) == 0 {
		l.ready = append(l.ready, to)
	}
	b.waiting = append(b.waiting, n)
}

func (l *loop) order(o Order) { l.out = append(l.out, o) }

func (l *loop) empty() {
	for len(l.ready) > 0 {
		p := l.ready[0]
		l.ready = l.ready[1:]
		b := p.box()
		notes := b.waiting
		b.waiting = nil
		for _, n := range notes {
			p.take(n)
		}
	}
}

// chance is in [0,1), from the seed and a counter alone so that a run can be played again.
func (l *loop) chance() float64 {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:], l.seed)
	binary.LittleEndian.PutUint64(raw[8:], l.drawn)
	l.drawn++
	return float64(crc32.ChecksumIEEE(raw[:])) / (1 << 32)
}

func (d *Director) take(n any) {
	switch n := n.(type) {
	case Roster:
		d.roster(n)
	case OnRecord:
		if d.stored.has(n.Slice) && n.Weight > 0 {
			d.stored.put(n.Slice, append(d.stored.get(n.Slice), line{n.Host, n.Weight}))
		}
	case Met:
		if h := d.hosts.get(n.Host); h != nil {
			d.reported = d.now
			d.post(h, n)
		}
	case Asked:
		d.post(d, Heat{TableID(n.Proxy) + 1, n.Route, n.Over, n.Calls, n.Lost})
	case Probed:
		if h := d.hosts.get(n.Host); h != nil {
			d.post(h, n)
		}
	case Custody:
		d.stored.drop(n.Slice)
		d.post(d.place, n)
		d.post(d.publish, n)
		if n.Given {
			d.stored.put(n.Slice, nil)
		}
	case Due:
		d.order(After{beat, 0})
		d.forget()
		for _, h := range d.hosts.all() {
			d.post(h, pulse{d.reported})
		}
		d.post(d.gate, n)
		d.post(d.place, n)
	default:
		d.post(d.place, n)
		d.post(d.gate, n)
		d.post(d.publish, n)
	}
}

func (g *admitter) take(n any) {
	switch n := n.(type) {
	case hostStatus:
		g.hosts.put(n.id, n)
	case Heat:
		if int(n.Route) < len(g.callSums) {
			since(&g.firstReport, true, g.now)
			g.recentCalls.add(g.now, demandMemory, float64(n.Calls))
			g.callSums[n.Route].add(g.now, gateMemory, float64(n.Calls))
			g.unanswered[n.Route].add(g.now, gateMemory, float64(n.Lost))
		}
	case Joined:
		g.proxies.put(n.Proxy, true)
	case Left:
		g.proxies.drop(n.Proxy)
	case Due:
		if g.now >= g.nextUpdate {
			g.nextUpdate = g.now + admissionInterval
			g.update()
		}
	}
}

func (h *host) take(n any) {
	switch n := n.(type) {
	case Entry:
		h.list(n)
	case Met:
		h.met(n)
	case expectedRate:
		h.expect(n.rate)
	case fleetLoad:
		h.around = n
	case Probed:
		h.unproven = h.unproven && !n.Good
		h.changed(ReasonAnswer)
	case pulse:
		h.judge(n.reported)
	case endOfBatch:
		h.tell()
	}
}

func (p *placer) take(n any) {
	switch n := n.(type) {
	case hostStatus:
		p.updateHost(n)
	case fleetLoad:
		p.fleet = n
	case storedTable:
		p.addSlice(n.table, n.lines)
	case tableWritten:
		if pc := p.owned.get(n.table); pc != nil {
			pc.written, pc.writtenTable = pc.planned, n.lines
		}
	case Custody:
		p.owned.drop(n.Slice)
	case Joined:
		if t := TableID(n.Proxy) + 1; !p.rules.sliced && !p.owned.has(t) {
			p.addSlice(t, nil)
		}
	case Left:
		if !p.rules.sliced {
			p.owned.drop(TableID(n.Proxy) + 1)
		}
	case Heat:
		p.recordDemand(n)
	case Due:
		if p.now >= p.nextCheck {
			p.nextCheck = p.now + checkEvery
			p.rebalance()
		}
	case endOfBatch:
		p.finishBatch()
	}
}

func (p *publisher) take(n any) {
	switch n := n.(type) {
	case storedTable:
		p.addTable(n)
	case Custody:
		p.current.drop(n.Slice)
		p.pending.drop(n.Slice)
		p.writesStoppedUntil.drop(n.Slice)
		p.writtenLevels = admissionLevels{} // a slice given is let in whole
	case wantedTable:
		if s := p.proxies.get(ProxyID(n.table) - 1); s != nil {
			s.wantedTable = n.table
		}
		if n.pendingSince = p.now; p.pending.has(n.table) {
			n.pendingSince = p.pending.get(n.table).pendingSince
		}
		if p.pending.drop(n.table); !slices.Equal(p.current.get(n.table), n.lines) {
			p.pending.put(n.table, n)
		}
	case gainUpdate:
		if w := p.pending.get(n.table); p.pending.has(n.table) {
			w.gain = n.gain
			p.pending.put(n.table, w)
		}
	case availabilityChange:
		p.setAvailability(n)
	case admissionLevels:
		p.levels = n
	case Masked:
		p.inheritMask(n)
	case Joined:
		p.addProxy(n)
	case Left:
		p.removeProxy(n)
	case Applied:
		p.acknowledge(n)
	case Unsure:
		p.markUnconfirmed(n)
	case NewsAlive:
		p.recordAlive()
	case endOfBatch:
		p.dropLostMessages()
		if doubted := p.repeatUnconfirmed(); p.isDue() && !doubted {
			p.writePending()
		}
	}
}
