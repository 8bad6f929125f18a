package control

import (
	"maps"
	"slices"

	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Watch polls for the document of all proxies on behalf of a client that is no proxy. It is not passed to the decision
// module, no acknowledgement of it is expected, and it is answered with each version as soon as that is stored.
type Watch struct {
	Ticket     Ticket
	Held       []tables.Tag
	Wait       logic.Millis
	WantsDelta bool
}

// watcher is a pending Watch.
type watcher struct {
	base       *tables.Document // newest kept document that the client holds; nil: none
	deadline   logic.Millis     // when it is answered even if nothing changed
	wantsDelta bool             // the client accepts a delta
}

// maxWatchers limits the pending watches. Each costs a comparison per version.
const maxWatchers = 200

// watch adds a pending watch, and answers it at once if its client does not hold the stored version.
func (c *Core) watch(now logic.Millis, w Watch) {
	switch {
	case c.svc.Config.Slices == 0:
		c.refuse(w.Ticket, Invalid, "proxies have tables of their own here: there is none that all follow")
		return
	case len(c.watchers) >= maxWatchers:
		c.refuse(w.Ticket, Busy, "too many look on")
		return
	}
	o := watcher{deadline: now + max(0, min(w.Wait, c.svc.MaxWait)), wantsDelta: w.WantsDelta}
	for _, tag := range w.Held {
		if d := c.bases[tag]; d != nil && (o.base == nil || d.Step > o.base.Step) {
			o.base = d
		}
	}
	c.watchers[w.Ticket] = o
	c.answerWatchers(now)
}

// answerWatchers answers the watches whose clients do not hold the stored version or whose deadline has passed. It
// answers nothing before the first step of this start is stored, nor while the shards are closed.
func (c *Core) answerWatchers(now logic.Millis) {
	if len(c.watchers) == 0 || c.stored.step < c.firstStep || c.view.closed {
		return
	}
	doc := c.document(c.stored, 0)
	c.keepBase(doc)
	for _, t := range slices.Sorted(maps.Keys(c.watchers)) {
		o := c.watchers[t]
		if o.base == doc && now < o.deadline {
			continue
		}
		delete(c.watchers, t)
		a := Answer{Ticket: t, Doc: doc, Kind: Full}
		if o.base == doc {
			a.Kind = Unchanged
		} else if o.base != nil && o.wantsDelta {
			if patch := doc.Delta(o.base); patch != nil {
				a.Kind, a.Base, a.Patch = Delta, o.base, patch
			}
		}
		c.out = append(c.out, a)
	}
}
