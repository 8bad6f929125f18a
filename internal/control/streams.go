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
type stream struct {
	name    string
	zone    string
	visit   park.Visit
	doc     *tables.Document
	holds   tables.Step // acknowledged; 0: nothing that is known
	owed    []*letter   // that have left the channel and were not owned up to
	reports string      // key of the last one
	reads   tables.Step // what was ordered when it joined, and so reads by itself
	stands  versions.Member[logic.ProxyID]
}

// letter is the body of a message, one for all that are told the same.
type letter struct {
	doc     *tables.Document
	serial  logic.SerialID
	stamped bool
	at      logic.Millis // of the order
}

// join takes a proxy in, and tells it what is stored.
func (c *Core) join(now logic.Millis, j park.Join) {
	id, ok := c.find(j.Proxy)
	if !ok {
		c.figures.Refused++
		c.out = append(c.out, park.Turned{Proxy: j.Proxy, Visit: j.Visit, Kind: Unknown,
			Why: "the settings know no proxy " + strconv.Quote(j.Proxy) + ", or hold no more of them"})
		return
	}
	if c.streams[id] != nil {
		c.leave(id, "joins anew")
	}
	st := &stream{name: j.Proxy, zone: j.Zone, visit: j.Visit, reads: c.world.step}
	st.stands.Value = id
	c.streams[id] = st
	at, _ := slices.BinarySearch(c.ids, id)
	c.ids = slices.Insert(c.ids, at, id)
	// What a new one is told here holds the masks and levels that stand, so it is never bare of them.
	c.notes = append(c.notes, logic.ProxyJoined{Proxy: id, Fresh: len(j.Held) == 0, Rate: j.Rate, Zone: c.names.zone(j.Zone)})
	c.say(Event{Name: "proxy.joined", Proxy: j.Proxy})
	if c.stored.step >= c.opening {
		c.tell(st, c.document(c.stored, id))
	}
	if st.doc == nil || st.doc.Step < st.reads {
		c.readers[id] = true
	}
}

// tell lets a proxy have a document, if it is news.
func (c *Core) tell(st *stream, d *tables.Document) {
	if st.doc != nil && d.Step <= st.doc.Step {
		return
	}
	c.keep(d)
	st.doc = d
	c.out = append(c.out, park.Tell{Proxy: st.name, Visit: st.visit, Doc: d})
}

// of gives a proxy's stream, if it is of that visit.
func (c *Core) of(proxy string, visit park.Visit) (logic.ProxyID, *stream) {
	id, known := c.names.proxies[proxy]
	if st := c.streams[id]; known && st != nil && st.visit == visit {
		return id, st
	}
	return 0, nil
}

// acknowledged takes an acknowledgement.
func (c *Core) acknowledged(now logic.Millis, h park.Holds) {
	id, st := c.of(h.Proxy, h.Visit)
	if st == nil {
		return
	}
	if st.holds = h.Step; h.Step == 0 {
		c.stands.Remove(&st.stands)
		return
	}
	c.stands.Move(&st.stands, h.Step)
	st.owed = slices.DeleteFunc(st.owed, func(l *letter) bool { return c.applied(now, id, st, l) })
}

// applied tells the module of a message that is in force, once it is.
func (c *Core) applied(now logic.Millis, id logic.ProxyID, st *stream, l *letter) bool {
	if l.doc.Step > st.holds {
		return false
	}
	c.notes = append(c.notes, logic.Acknowledged{Proxy: id, Serial: l.serial, Latency: now - l.at})
	return true
}

func (c *Core) leaves(l park.Leaves) {
	if id, st := c.of(l.Proxy, l.Visit); st != nil {
		c.leave(id, l.Why)
	}
}

func (c *Core) leave(id logic.ProxyID, why string) {
	st := c.streams[id]
	c.stands.Remove(&st.stands)
	delete(c.streams, id)
	delete(c.readers, id)
	if at, found := slices.BinarySearch(c.ids, id); found {
		c.ids = slices.Delete(c.ids, at, at+1)
	}
	c.channel.DropProxy(id)
	c.notes = append(c.notes, logic.ProxyLeft{Proxy: id})
	c.say(Event{Name: "proxy.left", Proxy: st.name, Detail: why})
}

// wants tells a proxy of what is stored, where what it was to be told is older than a removal.
func (c *Core) wants(w park.Wants) {
	if id, st := c.of(w.Proxy, w.Visit); st != nil {
		c.tell(st, c.document(c.stored, id)) // if it is no news, the word of it is on its way to the lot
	}
}

// arrive tells a proxy what has left the channel for it.
func (c *Core) arrive(now logic.Millis, m channel.Message) {
	st := c.streams[m.Proxy]
	l := m.Body.(*letter)
	if st == nil {
		return
	}
	if l.stamped && !c.applied(now, m.Proxy, st, l) {
		st.owed = append(st.owed, l)
	}
	if st.doc != nil {
		c.tell(st, l.doc)
	}
}

// settle lets go what is safe now. A removal is shown to all lots before it, and what was ordered after it, goes on.
func (c *Core) settle(now logic.Millis, upTo tables.Step) {
	var settled []*snapshot
	for len(c.unsaved) > 0 && c.unsaved[0].world.step <= upTo {
		s := c.unsaved[0]
		c.unsaved = c.unsaved[1:]
		c.stored = s.world
		settled = append(settled, s.world)
		c.emitRecords(s.world, s.changed)
		if s.removes {
			c.removal(s.world)
		}
		c.behind = append(c.behind, s)
	}
	if !c.shown.closed {
		c.offer(now)
	}
	for _, id := range slices.Sorted(maps.Keys(c.readers)) {
		st := c.streams[id]
		// What was ordered before it joined came as no message to it; it reads on as it is stored.
		switch at := min(st.reads, c.stored.step); {
		case st.doc == nil && c.stored.step >= c.opening:
			c.tell(st, c.document(c.stored, id))
		case st.doc != nil && st.doc.Step < at:
			for _, w := range settled {
				if w.step == at {
					c.tell(st, c.document(w, id))
				}
			}
		}
		if st.doc != nil && st.doc.Step >= st.reads {
			delete(c.readers, id)
		}
	}
}

// offer puts the messages of what is stored into the channel.
func (c *Core) offer(now logic.Millis) {
	for _, s := range c.behind {
		c.channel.Enqueue(now, slices.DeleteFunc(s.messages, func(m channel.Message) bool { return c.streams[m.Proxy] == nil }))
	}
	c.behind = nil
}

// shown is what lots see of the core, beside the bases that are kept.
type shown struct {
	floor  tables.Step
	doc    *tables.Document
	closed bool
	wanted bool // a barrier is to be raised with the next view
	until  logic.Millis
	dirty  bool
}

// removal closes the lots until what they answered before is written.
func (c *Core) removal(w *snapshot) {
	c.figures.Removals++
	c.shown.floor, c.shown.dirty = w.step, true
	if c.svc.Facts.Slices > 0 {
		c.shown.doc = c.document(w, 0)
		c.keep(c.shown.doc)
	}
	if !c.shown.closed {
		c.shown.closed, c.shown.wanted = true, true
	}
}

// passed opens them again. Removals that were stored meanwhile are covered: nothing was answered since.
func (c *Core) passed(now logic.Millis) {
	if c.shown.closed {
		c.shown.closed, c.shown.dirty = false, true
		c.offer(now)
	}
}

// publish shows the lots how things stand.
func (c *Core) publish() Publish {
	p := Publish{View: &park.View{Kept: maps.Clone(c.kept), Floor: c.shown.floor, Doc: c.shown.doc, Closed: c.shown.closed,
		Until: c.shown.until}, Barrier: c.shown.wanted}
	c.shown.dirty, c.shown.wanted = false, false
	return p
}

// keep makes a document a base that differences may start from.
func (c *Core) keep(d *tables.Document) {
	tag := d.Tag()
	if c.kept[tag] != nil {
		return
	}
	c.kept[tag], c.shown.dirty = d, true
	if c.svc.Facts.Slices > 0 && (c.last == nil || d.Step > c.last.Step) {
		d.SetPrevious(c.last) // all proxies are told the same documents, one after the other
		c.last = d
	}
	if c.oldest = append(c.oldest, tag); len(c.oldest) > c.svc.Kept {
		c.kept[c.oldest[0]].ReleaseBases()
		delete(c.kept, c.oldest[0])
		c.oldest = c.oldest[1:]
	}
}

// find gives a proxy's number, if the settings know it.
func (c *Core) find(name string) (logic.ProxyID, bool) {
	if !c.svc.ProxyNames.MatchString(name) {
		return 0, false
	}
	return c.names.proxy(name, func(id logic.ProxyID) bool { return c.streams[id] != nil })
}
