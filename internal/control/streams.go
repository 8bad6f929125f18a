package control

import (
	"maps"
	"slices"
	"strconv"

	"vetchwood/internal/channel"
	"vetchwood/internal/park"
	"vetchwood/internal/tables"
	"vetchwood/internal/versions"
	"vetchwood/logic"
)

// stream is a proxy that polls. Its polls wait in a lot (package park); here is what it has been told that it may have.
type joinedProxy struct {
	name           string
	zone           string
	visit          park.Visit
	doc            *tables.Document
	acknowledged   tables.Step       // acknowledged; 0: nothing that is known
	unacknowledged []*documentUpdate // that have left the channel and were not owned up to
	lastReportKey  string            // key of the last one
	catchUpTo      tables.Step       // what was ordered when it joined, and so reads by itself
	heldStep       versions.Member[logic.ProxyID]
}

// letter is the body of a message, one for all that are told the same.
type documentUpdate struct {
	doc       *tables.Document
	serial    logic.SerialID
	stamped   bool
	orderedAt logic.Millis // of the order
}

// join takes a proxy in, and tells it what is stored.
func (c *Core) join(now logic.Millis, j park.Join) {
	id, ok := c.proxyID(j.Proxy)
	if !ok {
		c.stats.Refused++
		c.out = append(c.out, park.Turned{Proxy: j.Proxy, Visit: j.Visit, Kind: Unknown,
			Why: "the settings know no proxy " + strconv.Quote(j.Proxy) + ", or hold no more of them"})
		return
	}
	if c.proxies[id] != nil {
		c.removeProxy(id, "joins anew")
	}
	st := &joinedProxy{name: j.Proxy, zone: j.Zone, visit: j.Visit, catchUpTo: c.current.step}
	st.heldStep.Of = id
	c.proxies[id] = st
	at, _ := slices.BinarySearch(c.joined, id)
	c.joined = slices.Insert(c.joined, at, id)
	// What a new one is told here holds the masks and levels that stand, so it is never bare of them.
	c.events = append(c.events, logic.ProxyJoined{Proxy: id, Fresh: len(j.Held) == 0, Rate: j.Rate, Zone: c.ids.zone(j.Zone)})
	c.log(LogEvent{Name: "proxy.joined", Proxy: j.Proxy})
	if c.stored.step >= c.firstStep {
		c.notify(st, c.document(c.stored, id))
	}
	if st.doc == nil || st.doc.Step < st.catchUpTo {
		c.catchingUp[id] = true
	}
}

// tell lets a proxy have a document, if it is news.
func (c *Core) notify(st *joinedProxy, d *tables.Document) {
	if st.doc != nil && d.Step <= st.doc.Step {
		return
	}
	c.keepBase(d)
	st.doc = d
	c.out = append(c.out, park.Tell{Proxy: st.name, Visit: st.visit, Doc: d})
}

// of gives a proxy's stream, if it is of that visit.
func (c *Core) proxyInVisit(proxy string, visit park.Visit) (logic.ProxyID, *joinedProxy) {
	id, known := c.ids.proxies[proxy]
	if st := c.proxies[id]; known && st != nil && st.visit == visit {
		return id, st
	}
	return 0, nil
}

// acknowledged takes an acknowledgement.
func (c *Core) acknowledge(now logic.Millis, h park.Holds) {
	id, st := c.proxyInVisit(h.Proxy, h.Visit)
	if st == nil {
		return
	}
	if st.acknowledged = h.Step; h.Step == 0 {
		c.heldSteps.Drop(&st.heldStep)
		return
	}
	c.heldSteps.Move(&st.heldStep, h.Step)
	st.unacknowledged = slices.DeleteFunc(st.unacknowledged, func(l *documentUpdate) bool { return c.confirmApplied(now, id, st, l) })
}

// applied tells the module of a message that is in force, once it is.
func (c *Core) confirmApplied(now logic.Millis, id logic.ProxyID, st *joinedProxy, l *documentUpdate) bool {
	if l.doc.Step > st.acknowledged {
		return false
	}
	c.events = append(c.events, logic.Acknowledged{Proxy: id, Serial: l.serial, Latency: now - l.orderedAt})
	return true
}

func (c *Core) handleLeave(l park.Leaves) {
	if id, st := c.proxyInVisit(l.Proxy, l.Visit); st != nil {
		c.removeProxy(id, l.Why)
	}
}

func (c *Core) removeProxy(id logic.ProxyID, why string) {
	st := c.proxies[id]
	c.heldSteps.Drop(&st.heldStep)
	delete(c.proxies, id)
	delete(c.catchingUp, id)
	if at, found := slices.BinarySearch(c.joined, id); found {
		c.joined = slices.Delete(c.joined, at, at+1)
	}
	c.channel.DropProxy(id)
	c.events = append(c.events, logic.ProxyLeft{Proxy: id})
	c.log(LogEvent{Name: "proxy.left", Proxy: st.name, Detail: why})
}

// wants tells a proxy of what is stored, where what it was to be told is older than a removal.
func (c *Core) notifyStored(w park.Wants) {
	if id, st := c.proxyInVisit(w.Proxy, w.Visit); st != nil {
		c.notify(st, c.document(c.stored, id)) // if it is no news, the word of it is on its way to the lot
	}
}

// arrive tells a proxy what has left the channel for it.
func (c *Core) deliver(now logic.Millis, m channel.Message) {
	st := c.proxies[m.Proxy]
	l := m.Body.(*documentUpdate)
	if st == nil {
		return
	}
	if l.stamped && !c.confirmApplied(now, m.Proxy, st, l) {
		st.unacknowledged = append(st.unacknowledged, l)
	}
	if st.doc != nil {
		c.notify(st, l.doc)
	}
}

// settle lets go what is safe now. A removal is shown to all lots before it, and what was ordered after it, goes on.
func (c *Core) advanceStored(now logic.Millis, upTo tables.Step) {
	var settled []*world
	for len(c.unsaved) > 0 && c.unsaved[0].state.step <= upTo {
		s := c.unsaved[0]
		c.unsaved = c.unsaved[1:]
		c.stored = s.state
		settled = append(settled, s.state)
		c.record(s.state, s.changed)
		if s.removesHost {
			c.startBarrier(s.state)
		}
		c.heldBack = append(c.heldBack, s)
	}
	if !c.view.closed {
		c.enqueueStored(now)
	}
	for _, id := range slices.Sorted(maps.Keys(c.catchingUp)) {
		st := c.proxies[id]
		// What was ordered before it joined came as no message to it; it reads on as it is stored.
		switch at := min(st.catchUpTo, c.stored.step); {
		case st.doc == nil && c.stored.step >= c.firstStep:
			c.notify(st, c.document(c.stored, id))
		case st.doc != nil && st.doc.Step < at:
			for _, w := range settled {
				if w.step == at {
					c.notify(st, c.document(w, id))
				}
			}
		}
		if st.doc != nil && st.doc.Step >= st.catchUpTo {
			delete(c.catchingUp, id)
		}
	}
}

// offer puts the messages of what is stored into the channel.
func (c *Core) enqueueStored(now logic.Millis) {
	for _, s := range c.heldBack {
		c.channel.Enqueue(now, slices.DeleteFunc(s.messages, func(m channel.Message) bool { return c.proxies[m.Proxy] == nil }))
	}
	c.heldBack = nil
}

// shown is what lots see of the core, beside the bases that are kept.
type lotView struct {
	floor      tables.Step
	doc        *tables.Document
	closed     bool
	barrierDue bool // a barrier is to be raised with the next view
	validUntil logic.Millis
	dirty      bool
}

// removal closes the lots until what they answered before is written.
func (c *Core) startBarrier(w *world) {
	c.stats.Removals++
	c.view.floor, c.view.dirty = w.step, true
	if c.svc.Config.Slices > 0 {
		c.view.doc = c.document(w, 0)
		c.keepBase(c.view.doc)
	}
	if !c.view.closed {
		c.view.closed, c.view.barrierDue = true, true
	}
}

// passed opens them again. Removals that were stored meanwhile are covered: nothing was answered since.
func (c *Core) endBarrier(now logic.Millis) {
	if c.view.closed {
		c.view.closed, c.view.dirty = false, true
		c.enqueueStored(now)
	}
}

// publish shows the lots how things stand.
func (c *Core) publishView() Publish {
	p := Publish{View: &park.View{Kept: maps.Clone(c.bases), Floor: c.view.floor, Doc: c.view.doc, Closed: c.view.closed,
		Until: c.view.validUntil}, Barrier: c.view.barrierDue}
	c.view.dirty, c.view.barrierDue = false, false
	return p
}

// keep makes a document a base that differences may start from.
func (c *Core) keepBase(d *tables.Document) {
	tag := d.Tag()
	if c.bases[tag] != nil {
		return
	}
	c.bases[tag], c.view.dirty = d, true
	if c.svc.Config.Slices > 0 && (c.newestBase == nil || d.Step > c.newestBase.Step) {
		d.After(c.newestBase) // all proxies are told the same documents, one after the other
		c.newestBase = d
	}
	if c.baseTags = append(c.baseTags, tag); len(c.baseTags) > c.svc.MaxBases {
		c.bases[c.baseTags[0]].Forget()
		delete(c.bases, c.baseTags[0])
		c.baseTags = c.baseTags[1:]
	}
}

// find gives a proxy's number, if the settings know it.
func (c *Core) proxyID(name string) (logic.ProxyID, bool) {
	if !c.svc.ProxyNames.MatchString(name) {
		return 0, false
	}
	return c.ids.proxy(name, func(id logic.ProxyID) bool { return c.proxies[id] != nil })
}
