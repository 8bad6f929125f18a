// The runtime of the actors: inboxes, the loop that drains them, and random numbers. It decides nothing.

package logic

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
)

// inbox holds the pending messages of an actor. The loop drains inboxes in the order in which they got their first one.
type inbox struct{ pending []any }

func (b *inbox) mailbox() *inbox { return b }

// actor is one part of the decisions. It acts on the messages in its inbox and shares nothing with others but the loop.
type actor interface {
	mailbox() *inbox
	handle(msg any)
}

// loop passes messages between actors and collects their orders.
type loop struct {
	now    Millis
	seed   uint64
	draws  uint64
	ready  []actor
	orders []Order
	params bounds
	// hostChanges are the changes of hosts' conditions in the current call of Handle, for the log.
	hostChanges []HostChange
}

// post puts a message into the inbox of an actor.
func (l *loop) post(to actor, msg any) {
	b := to.mailbox()
	if len(b.pending) == 0 {
		l.ready = append(l.ready, to)
	}
	b.pending = append(b.pending, msg)
}

// emit adds an order to the reply of the current call of Handle.
func (l *loop) emit(o Order) { l.orders = append(l.orders, o) }

// drainInboxes delivers messages until no inbox holds any.
func (l *loop) drainInboxes() {
	for len(l.ready) > 0 {
		a := l.ready[0]
		l.ready = l.ready[1:]
		b := a.mailbox()
		msgs := b.pending
		b.pending = nil
		for _, msg := range msgs {
			a.handle(msg)
		}
	}
}

// random returns a number in [0,1). It depends on the seed and a counter alone, so that a run can be replayed.
func (l *loop) random() float64 {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:], l.seed)
	binary.LittleEndian.PutUint64(raw[8:], l.draws)
	l.draws++
	return float64(crc32.ChecksumIEEE(raw[:])) / (1 << 32)
}

func (d *Director) handle(msg any) {
	switch msg := msg.(type) {
	case HostList:
		d.updateHosts(msg)
	case StoredLine:
		if d.storedLines.has(msg.Slice) && msg.Weight > 0 {
			d.storedLines.set(msg.Slice, append(d.storedLines.get(msg.Slice), line{msg.Host, msg.Weight}))
		}
	case HostSample:
		if h := d.hosts.get(msg.Host); h != nil {
			d.lastReport = d.now
			d.post(h, msg)
		}
	case RouteDemand:
		d.post(d, SliceDemand{TableID(msg.Proxy) + 1, msg.Route, msg.Period, msg.Calls, msg.Unanswered})
	case ProbeResult:
		if h := d.hosts.get(msg.Host); h != nil {
			d.post(h, msg)
		}
	case SliceOwnership:
		d.storedLines.delete(msg.Slice)
		d.post(d.place, msg)
		d.post(d.publish, msg)
		if msg.Owned {
			d.storedLines.set(msg.Slice, nil)
		}
	case TimerFired:
		d.emit(SetTimer{tickInterval, 0})
		d.forgetHosts()
		for _, h := range d.hosts.all() {
			d.post(h, tick{d.lastReport})
		}
		d.post(d.gate, msg)
		d.post(d.place, msg)
	default:
		d.post(d.place, msg)
		d.post(d.gate, msg)
		d.post(d.publish, msg)
	}
}

func (g *gate) handle(msg any) {
	switch msg := msg.(type) {
	case hostStatus:
		g.seats.set(msg.id, msg)
	case SliceDemand:
		if int(msg.Route) < len(g.asked) {
			trackSince(&g.heardSince, true, g.now)
			g.lasting.add(g.now, demandHalfLife, float64(msg.Calls))
			g.asked[msg.Route].add(g.now, admissionHalfLife, float64(msg.Calls))
			g.unanswered[msg.Route].add(g.now, admissionHalfLife, float64(msg.Unanswered))
		}
	case ProxyJoined:
		g.joined.set(msg.Proxy, true)
	case ProxyLeft:
		g.joined.delete(msg.Proxy)
	case TimerFired:
		if g.now >= g.next {
			g.next = g.now + weighEvery
			g.weigh()
		}
	}
}

func (h *host) handle(msg any) {
	switch msg := msg.(type) {
	case HostEntry:
		h.updateEntry(msg)
	case HostSample:
		h.recordSample(msg)
	case expected:
		h.setExpectedRate(msg.rate)
	case fleetStatus:
		h.fleet = msg
	case ProbeResult:
		h.unproven = h.unproven && !msg.Healthy
		h.recordChange(ReasonAnswer)
	case tick:
		h.evaluate(msg.lastReport)
	case batchEnd:
		h.publishStatus()
	}
}

func (p *placer) handle(msg any) {
	switch msg := msg.(type) {
	case hostStatus:
		p.seat(msg)
	case fleetStatus:
		p.around = msg
	case storedTable:
		p.adopt(msg.table, msg.lines)
	case laid:
		if pc := p.own.get(msg.table); pc != nil {
			pc.laid, pc.held = pc.parts, msg.lines
		}
	case SliceOwnership:
		p.own.delete(msg.Slice)
	case ProxyJoined:
		if t := TableID(msg.Proxy) + 1; !p.params.sliced && !p.own.has(t) {
			p.adopt(t, nil)
		}
	case ProxyLeft:
		if !p.params.sliced {
			p.own.delete(TableID(msg.Proxy) + 1)
		}
	case SliceDemand:
		p.hear(msg)
	case TimerFired:
		if p.now >= p.next {
			p.next = p.now + checkInterval
			p.check()
		}
	case batchEnd:
		p.settle()
	}
}

func (p *publisher) handle(msg any) {
	switch msg := msg.(type) {
	case storedTable:
		p.given(msg)
	case SliceOwnership:
		p.stands.delete(msg.Slice)
		p.wants.delete(msg.Slice)
		p.shut.delete(msg.Slice)
		p.stood = levelled{} // calls for a new slice are admitted in full
	case wanted:
		if s := p.streams.get(ProxyID(msg.table) - 1); s != nil {
			s.wants = msg.table
		}
		if msg.at = p.now; p.wants.has(msg.table) {
			msg.at = p.wants.get(msg.table).at
		}
		if p.wants.delete(msg.table); !slices.Equal(p.stands.get(msg.table), msg.lines) {
			p.wants.set(msg.table, msg)
		}
	case valued:
		if w := p.wants.get(msg.table); p.wants.has(msg.table) {
			w.gain = msg.gain
			p.wants.set(msg.table, w)
		}
	case door:
		p.move(msg)
	case levelled:
		p.levels = msg
	case InheritedMask:
		p.inherit(msg)
	case ProxyJoined:
		p.join(msg)
	case ProxyLeft:
		p.leave(msg)
	case Acknowledged:
		p.own(msg)
	case Unconfirmed:
		p.doubt(msg)
	case AckStreamAlive:
		p.newsAlive()
	case batchEnd:
		p.forgetSilent()
		if doubted := p.again(); p.due() && !doubted {
			p.flush()
		}
	}
}
