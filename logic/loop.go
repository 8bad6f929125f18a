// The runtime of the actors: inboxes, the loop that drains them, and random numbers. It decides nothing.

package logic

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
)

// inbox holds the pending messages of an actor. The loop drains inboxes in the order in which they got their first one.
type inbox struct{ pending []any }

// mailbox returns the inbox that an actor embeds.
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
	params params
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
		d.post(d.placer, msg)
		d.post(d.publisher, msg)
		if msg.Owned {
			d.storedLines.set(msg.Slice, nil)
		}
	case TimerFired:
		d.emit(SetTimer{tickInterval, 0})
		d.forgetHosts()
		for _, h := range d.hosts.all() {
			d.post(h, tick{d.lastReport})
		}
		d.post(d.admitter, msg)
		d.post(d.placer, msg)
	default:
		d.post(d.placer, msg)
		d.post(d.admitter, msg)
		d.post(d.publisher, msg)
	}
}

func (g *admitter) handle(msg any) {
	switch msg := msg.(type) {
	case hostStatus:
		g.hosts.set(msg.id, msg)
	case SliceDemand:
		if int(msg.Route) < len(g.callSums) {
			trackSince(&g.firstReport, true, g.now)
			g.recentCalls.add(g.now, demandHalfLife, float64(msg.Calls))
			g.callSums[msg.Route].add(g.now, admissionHalfLife, float64(msg.Calls))
			g.unanswered[msg.Route].add(g.now, admissionHalfLife, float64(msg.Unanswered))
		}
	case ProxyJoined:
		g.proxies.set(msg.Proxy, true)
	case ProxyLeft:
		g.proxies.delete(msg.Proxy)
	case TimerFired:
		if g.now >= g.nextUpdate {
			g.nextUpdate = g.now + admissionInterval
			g.update()
		}
	}
}

func (h *host) handle(msg any) {
	switch msg := msg.(type) {
	case HostEntry:
		h.updateEntry(msg)
	case HostSample:
		h.recordSample(msg)
	case expectedRate:
		h.setExpectedRate(msg.rate)
	case fleetLoad:
		h.fleet = msg
	case ProbeResult:
		h.unproven = h.unproven && !msg.Healthy
		h.recordChange(ReasonAnswer)
	case tick:
		h.evaluate(msg.lastReport)
	case endOfBatch:
		h.publishStatus()
	}
}

func (p *placer) handle(msg any) {
	switch msg := msg.(type) {
	case hostStatus:
		p.updateHost(msg)
	case fleetLoad:
		p.fleet = msg
	case storedTable:
		p.addSlice(msg.table, msg.lines)
	case tableWritten:
		if pc := p.owned.get(msg.table); pc != nil {
			pc.written, pc.writtenTable = pc.planned, msg.lines
		}
	case SliceOwnership:
		p.owned.delete(msg.Slice)
	case ProxyJoined:
		if t := TableID(msg.Proxy) + 1; !p.params.sliced && !p.owned.has(t) {
			p.addSlice(t, nil)
		}
	case ProxyLeft:
		if !p.params.sliced {
			p.owned.delete(TableID(msg.Proxy) + 1)
		}
	case SliceDemand:
		p.recordDemand(msg)
	case TimerFired:
		if p.now >= p.nextCheck {
			p.nextCheck = p.now + checkInterval
			p.rebalance()
		}
	case endOfBatch:
		p.finishBatch()
	}
}

func (p *publisher) handle(msg any) {
	switch msg := msg.(type) {
	case storedTable:
		p.addTable(msg)
	case SliceOwnership:
		p.current.delete(msg.Slice)
		p.pending.delete(msg.Slice)
		p.writesStoppedUntil.delete(msg.Slice)
		p.writtenLevels = admissionLevels{} // calls for a new slice are admitted in full
	case wantedTable:
		if s := p.proxies.get(ProxyID(msg.table) - 1); s != nil {
			s.wantedTable = msg.table
		}
		if msg.pendingSince = p.now; p.pending.has(msg.table) {
			msg.pendingSince = p.pending.get(msg.table).pendingSince
		}
		if p.pending.delete(msg.table); !slices.Equal(p.current.get(msg.table), msg.lines) {
			p.pending.set(msg.table, msg)
		}
	case gainUpdate:
		if w := p.pending.get(msg.table); p.pending.has(msg.table) {
			w.gain = msg.gain
			p.pending.set(msg.table, w)
		}
	case availabilityChange:
		p.setAvailability(msg)
	case admissionLevels:
		p.levels = msg
	case hostAdded:
		p.addHost(msg.host)
	case InheritedMask:
		p.inheritMask(msg)
	case ProxyJoined:
		p.addProxy(msg)
	case ProxyLeft:
		p.removeProxy(msg)
	case Acknowledged:
		p.acknowledge(msg)
	case Unconfirmed:
		p.markUnconfirmed(msg)
	case Dropped:
		p.dropMessage(msg)
	case ResendVoid:
		p.cancelRepeat(msg)
	case AckStreamAlive:
		p.recordAlive()
	case endOfBatch:
		p.dropLostMessages()
		if repeatPending := p.repeatUnconfirmed(); p.isDue() && !repeatPending {
			p.writePending()
		}
	}
}
