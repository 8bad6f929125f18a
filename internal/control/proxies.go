package control

import (
	"maps"
	"slices"
	"strconv"

	"vetchwood/internal/channel"
	"vetchwood/internal/pollshard"
	"vetchwood/internal/tables"
	"vetchwood/internal/versions"
	"vetchwood/logic"
)

// joinedProxy is a proxy that polls. Its polls are pending in a shard (package pollshard); the core decides which
// documents the shard may answer with. Steps that were ordered before the proxy joined send it no messages, so it gets
// the documents up to catchUpTo as they are stored.
type joinedProxy struct {
	name           string
	zone           string
	session        pollshard.SessionID
	doc            *tables.Document               // newest document passed to the shard; nil: none yet
	acknowledged   tables.Step                    // version that the proxy holds by its latest poll; 0: none that is known
	unacknowledged []*documentUpdate              // updates that have left the channel and are not yet acknowledged
	lastReportKey  string                         // Key of the latest load report
	catchUpTo      tables.Step                    // newest version ordered at the time of joining
	heldStep       versions.Member[logic.ProxyID] // its place in Core.heldSteps
}

// documentUpdate is the body of a message, shared by all proxies that get the same document.
type documentUpdate struct {
	doc       *tables.Document
	serial    logic.SerialID // number that acknowledges the orders, if stamped
	stamped   bool           // the decision module expects an acknowledgement
	orderedAt logic.Millis   // time of the order
}

// join adds a proxy and passes the stored document to its shard.
func (c *Core) join(now logic.Millis, j pollshard.JoinRequest) {
	id, ok := c.proxyID(j.Proxy)
	if !ok {
		c.stats.Refused++
		c.out = append(c.out, pollshard.RejectJoin{Proxy: j.Proxy, Session: j.Session, Kind: Unknown,
			Reason: "the settings know no proxy " + strconv.Quote(j.Proxy) + ", or hold no more of them"})
		return
	}
	if c.proxies[id] != nil {
		c.removeProxy(id, "joined again")
	}
	p := &joinedProxy{name: j.Proxy, zone: j.Zone, session: j.Session, catchUpTo: c.current.step}
	p.heldStep.Value = id
	c.proxies[id] = p
	at, _ := slices.BinarySearch(c.joined, id)
	c.joined = slices.Insert(c.joined, at, id)
	// The document passed to a new proxy here contains the current masks and levels, so it never runs without them.
	c.events = append(c.events, logic.ProxyJoined{Proxy: id, Fresh: len(j.Held) == 0, Rate: j.Rate, Zone: c.ids.zone(j.Zone)})
	c.log(LogEvent{Name: "proxy.joined", Proxy: j.Proxy})
	if c.stored.step >= c.firstStep {
		c.sendDocument(p, c.document(c.stored, id))
	}
	if p.doc == nil || p.doc.Step < p.catchUpTo {
		c.catchingUp[id] = true
	}
}

// sendDocument passes a document to the shard of a proxy if it is newer than the previous one.
func (c *Core) sendDocument(p *joinedProxy, d *tables.Document) {
	if p.doc != nil && d.Step <= p.doc.Step {
		return
	}
	c.keepBase(d)
	p.doc = d
	c.out = append(c.out, pollshard.SetDocument{Proxy: p.name, Session: p.session, Doc: d})
}

// proxyInSession returns the proxy with a name if it is joined with the given session, and nil otherwise.
func (c *Core) proxyInSession(proxy string, session pollshard.SessionID) (logic.ProxyID, *joinedProxy) {
	id, known := c.ids.proxies[proxy]
	if p := c.proxies[id]; known && p != nil && p.session == session {
		return id, p
	}
	return 0, nil
}

// acknowledge records the version that a proxy holds by its poll, and confirms the updates up to that version.
func (c *Core) acknowledge(now logic.Millis, h pollshard.Acknowledgement) {
	id, p := c.proxyInSession(h.Proxy, h.Session)
	if p == nil {
		return
	}
	if p.acknowledged = h.Step; h.Step == 0 {
		c.heldSteps.Remove(&p.heldStep)
		return
	}
	c.heldSteps.Move(&p.heldStep, h.Step)
	p.unacknowledged = slices.DeleteFunc(p.unacknowledged, func(u *documentUpdate) bool { return c.confirmApplied(now, id, p, u) })
}

// confirmApplied reports whether a proxy has applied an update, and if so passes the acknowledgement to the decision
// module.
func (c *Core) confirmApplied(now logic.Millis, id logic.ProxyID, p *joinedProxy, u *documentUpdate) bool {
	if u.doc.Step > p.acknowledged {
		return false
	}
	c.events = append(c.events, logic.Acknowledged{Proxy: id, Serial: u.serial, Latency: now - u.orderedAt})
	return true
}

// handleLeave removes a proxy that its shard reports as gone.
func (c *Core) handleLeave(l pollshard.Left) {
	if id, p := c.proxyInSession(l.Proxy, l.Session); p != nil {
		c.removeProxy(id, l.Reason)
	}
}

// removeProxy removes a joined proxy and drops its queued messages.
func (c *Core) removeProxy(id logic.ProxyID, why string) {
	p := c.proxies[id]
	c.heldSteps.Remove(&p.heldStep)
	delete(c.proxies, id)
	delete(c.catchingUp, id)
	if at, found := slices.BinarySearch(c.joined, id); found {
		c.joined = slices.Delete(c.joined, at, at+1)
	}
	c.channel.DropProxy(id)
	c.events = append(c.events, logic.ProxyLeft{Proxy: id})
	c.log(LogEvent{Name: "proxy.left", Proxy: p.name, Detail: why})
}

// sendStoredDocument passes the stored document to the shard of a proxy whose previous document is older than a
// removal.
func (c *Core) sendStoredDocument(w pollshard.DocumentRequest) {
	if id, p := c.proxyInSession(w.Proxy, w.Session); p != nil {
		c.sendDocument(p, c.document(c.stored, id)) // without effect if that document is already on its way to the shard
	}
}

// deliver passes on a message that has left the channel.
func (c *Core) deliver(now logic.Millis, m channel.Message) {
	p := c.proxies[m.Proxy]
	u := m.Body.(*documentUpdate)
	if p == nil {
		return
	}
	if u.stamped && !c.confirmApplied(now, m.Proxy, p, u) {
		p.unacknowledged = append(p.unacknowledged, u)
	}
	if p.doc != nil {
		c.sendDocument(p, u.doc)
	}
}

// advanceStored publishes the steps up to upTo, which are durable now. A step that removes a host starts a barrier: its
// messages and those of later steps are held back until all shards have seen the removal.
func (c *Core) advanceStored(now logic.Millis, upTo tables.Step) {
	var newlyStored []*snapshot
	for len(c.unsaved) > 0 && c.unsaved[0].state.step <= upTo {
		s := c.unsaved[0]
		c.unsaved = c.unsaved[1:]
		c.stored = s.state
		newlyStored = append(newlyStored, s.state)
		c.emitRecords(s.state, s.changed)
		if s.removesHost {
			c.startBarrier(s.state)
		}
		c.heldBack = append(c.heldBack, s)
	}
	if !c.view.closed {
		c.enqueueStored(now)
	}
	for _, id := range slices.Sorted(maps.Keys(c.catchingUp)) {
		p := c.proxies[id]
		// Steps that were ordered before the proxy joined send it no message; it gets their documents once stored.
		switch at := min(p.catchUpTo, c.stored.step); {
		case p.doc == nil && c.stored.step >= c.firstStep:
			c.sendDocument(p, c.document(c.stored, id))
		case p.doc != nil && p.doc.Step < at:
			for _, w := range newlyStored {
				if w.step == at {
					c.sendDocument(p, c.document(w, id))
				}
			}
		}
		if p.doc != nil && p.doc.Step >= p.catchUpTo {
			delete(c.catchingUp, id)
		}
	}
}

// enqueueStored puts the messages of the held-back steps into the channel, except those to proxies that have left.
func (c *Core) enqueueStored(now logic.Millis) {
	for _, s := range c.heldBack {
		c.channel.Enqueue(now, slices.DeleteFunc(s.messages, func(m channel.Message) bool { return c.proxies[m.Proxy] == nil }))
	}
	c.heldBack = nil
}

// shardView is what shards see of the core, in addition to the bases of deltas.
type shardView struct {
	minStep    tables.Step      // version of the newest removal; shards send no older document
	shared     *tables.Document // document of that removal; nil without slices
	closed     bool             // a removal is pending: shards answer no polls
	barrierDue bool             // the next view starts a barrier
	leaseEnd   logic.Millis     // end of the leases of this director
	dirty      bool             // the view has changed since it was published
}

// startBarrier closes the shards until all answers that they gave before are written.
func (c *Core) startBarrier(w *snapshot) {
	c.stats.Removals++
	c.view.minStep, c.view.dirty = w.step, true
	if c.svc.Config.Slices > 0 {
		c.view.shared = c.document(w, 0)
		c.keepBase(c.view.shared)
	}
	if !c.view.closed {
		c.view.closed, c.view.barrierDue = true, true
	}
}

// endBarrier opens the shards again. It also covers removals that were stored in the meantime, as shards answer nothing
// while they are closed.
func (c *Core) endBarrier(now logic.Millis) {
	if c.view.closed {
		c.view.closed, c.view.dirty = false, true
		c.enqueueStored(now)
	}
}

// publishView returns the current view for the shards and marks it as published.
func (c *Core) publishView() Publish {
	p := Publish{View: &pollshard.View{Bases: maps.Clone(c.bases), MinStep: c.view.minStep, Shared: c.view.shared, Closed: c.view.closed,
		LeaseEnd: c.view.leaseEnd}, Barrier: c.view.barrierDue}
	c.view.dirty, c.view.barrierDue = false, false
	return p
}

// keepBase keeps a document as a base that deltas may start from. The oldest base is dropped beyond Service.MaxBases.
func (c *Core) keepBase(d *tables.Document) {
	tag := d.Tag()
	if c.bases[tag] != nil {
		return
	}
	c.bases[tag], c.view.dirty = d, true
	if c.svc.Config.Slices > 0 && (c.newestBase == nil || d.Step > c.newestBase.Step) {
		d.SetPrevious(c.newestBase) // all proxies get the same sequence of documents
		c.newestBase = d
	}
	if c.baseTags = append(c.baseTags, tag); len(c.baseTags) > c.svc.MaxBases {
		c.bases[c.baseTags[0]].ReleaseBases()
		delete(c.bases, c.baseTags[0])
		c.baseTags = c.baseTags[1:]
	}
}

// proxyID returns the number of a proxy, and false if its name does not match the settings or no number is free.
func (c *Core) proxyID(name string) (logic.ProxyID, bool) {
	if !c.svc.ProxyNames.MatchString(name) {
		return 0, false
	}
	return c.ids.proxy(name, func(id logic.ProxyID) bool { return c.proxies[id] != nil })
}
