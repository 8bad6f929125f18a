package control

import (
	"maps"
	"slices"

	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Watch asks for what all proxies are told, for one that looks on: the module does not hear of it, nothing waits for it, and
// it is told of a version once that is stored.
type Watch struct {
	Ticket     Ticket
	Held       []tables.Tag
	Wait       logic.Millis
	WantsDelta bool
}

// onlooker is a Watch that waits.
type watcher struct {
	base  *tables.Document
	until logic.Millis
	delta bool
}

// mostOnlookers is how many may wait; each costs a comparison a version.
const maxWatchers = 200

func (c *Core) watch(now logic.Millis, w Watch) {
	switch {
	case c.svc.Config.Slices == 0:
		c.refuse(w.Ticket, Invalid, "proxies have tables of their own here: there is none that all follow")
		return
	case len(c.watchers) >= maxWatchers:
		c.refuse(w.Ticket, Busy, "too many look on")
		return
	}
	o := watcher{until: now + max(0, min(w.Wait, c.svc.MaxWait)), delta: w.WantsDelta}
	for _, tag := range w.Held {
		if d := c.bases[tag]; d != nil && (o.base == nil || d.Step > o.base.Step) {
			o.base = d
		}
	}
	c.watchers[w.Ticket] = o
	c.answerWatchers(now)
}

// look answers those that look on and have waited long enough, or hold something older.
func (c *Core) answerWatchers(now logic.Millis) {
	if len(c.watchers) == 0 || c.stored.step < c.firstStep || c.view.closed {
		return
	}
	doc := c.document(c.stored, 0)
	c.keepBase(doc)
	for _, t := range slices.Sorted(maps.Keys(c.watchers)) {
		o := c.watchers[t]
		if o.base == doc && now < o.until {
			continue
		}
		delete(c.watchers, t)
		a := Answer{Ticket: t, Doc: doc, Kind: Full}
		if o.base == doc {
			a.Kind = Unchanged
		} else if o.base != nil && o.delta {
			if patch := doc.Delta(o.base); patch != nil {
				a.Kind, a.Base, a.Patch = Delta, o.base, patch
			}
		}
		c.out = append(c.out, a)
	}
}
