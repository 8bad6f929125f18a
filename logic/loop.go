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
	rules bounds
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
	case HostList:
		d.roster(n)
	case StoredLine:
		if d.stored.has(n.Slice) && n.Weight > 0 {
			d.stored.put(n.Slice, append(d.stored.get(n.Slice), line{n.Host, n.Weight}))
		}
	case HostSample:
		if h := d.hosts.get(n.Host); h != nil {
			d.reported = d.now
			d.post(h, n)
		}
	case RouteDemand:
		d.post(d, SliceDemand{TableID(n.Proxy) + 1, n.Route, n.Period, n.Calls, n.Unanswered})
	case ProbeResult:
		if h := d.hosts.get(n.Host); h != nil {
			d.post(h, n)
		}
	case SliceOwnership:
		d.stored.drop(n.Slice)
		d.post(d.place, n)
		d.post(d.publish, n)
		if n.Owned {
			d.stored.put(n.Slice, nil)
		}
	case TimerFired:
		d.order(SetTimer{beat, 0})
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

func (g *gate) take(n any) {
	switch n := n.(type) {
	case standing:
		g.seats.put(n.id, n)
	case SliceDemand:
		if int(n.Route) < len(g.asked) {
			since(&g.heardSince, true, g.now)
			g.lasting.add(g.now, demandMemory, float64(n.Calls))
			g.asked[n.Route].add(g.now, gateMemory, float64(n.Calls))
			g.unanswered[n.Route].add(g.now, gateMemory, float64(n.Unanswered))
		}
	case ProxyJoined:
		g.joined.put(n.Proxy, true)
	case ProxyLeft:
		g.joined.drop(n.Proxy)
	case TimerFired:
		if g.now >= g.next {
			g.next = g.now + weighEvery
			g.weigh()
		}
	}
}

func (h *host) take(n any) {
	switch n := n.(type) {
	case HostEntry:
		h.list(n)
	case HostSample:
		h.met(n)
	case expected:
		h.expect(n.rate)
	case fleet:
		h.around = n
	case ProbeResult:
		h.unproven = h.unproven && !n.Healthy
		h.changed(ReasonAnswer)
	case pulse:
		h.judge(n.reported)
	case settleNow:
		h.tell()
	}
}

func (p *placer) take(n any) {
	switch n := n.(type) {
	case standing:
		p.seat(n)
	case fleet:
		p.around = n
	case kept:
		p.adopt(n.table, n.lines)
	case laid:
		if pc := p.own.get(n.table); pc != nil {
			pc.laid, pc.held = pc.parts, n.lines
		}
	case SliceOwnership:
		p.own.drop(n.Slice)
	case ProxyJoined:
		if t := TableID(n.Proxy) + 1; !p.rules.sliced && !p.own.has(t) {
			p.adopt(t, nil)
		}
	case ProxyLeft:
		if !p.rules.sliced {
			p.own.drop(TableID(n.Proxy) + 1)
		}
	case SliceDemand:
		p.hear(n)
	case TimerFired:
		if p.now >= p.next {
			p.next = p.now + checkEvery
			p.check()
		}
	case settleNow:
		p.settle()
	}
}

func (p *publisher) take(n any) {
	switch n := n.(type) {
	case kept:
		p.given(n)
	case SliceOwnership:
		p.stands.drop(n.Slice)
		p.wants.drop(n.Slice)
		p.shut.drop(n.Slice)
		p.stood = levelled{} // a slice given is let in whole
	case wanted:
		if s := p.streams.get(ProxyID(n.table) - 1); s != nil {
			s.wants = n.table
		}
		if n.at = p.now; p.wants.has(n.table) {
			n.at = p.wants.get(n.table).at
		}
		if p.wants.drop(n.table); !slices.Equal(p.stands.get(n.table), n.lines) {
			p.wants.put(n.table, n)
		}
	case valued:
		if w := p.wants.get(n.table); p.wants.has(n.table) {
			w.gain = n.gain
			p.wants.put(n.table, w)
		}
	case door:
		p.move(n)
	case levelled:
		p.levels = n
	case InheritedMask:
		p.inherit(n)
	case ProxyJoined:
		p.join(n)
	case ProxyLeft:
		p.leave(n)
	case Acknowledged:
		p.own(n)
	case Unconfirmed:
		p.doubt(n)
	case AckStreamAlive:
		p.newsAlive()
	case settleNow:
		p.forgetSilent()
		if doubted := p.again(); p.due() && !doubted {
			p.flush()
		}
	}
}
