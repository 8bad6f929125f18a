package control

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"vetchwood/internal/pins"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Inputs of operators.
type (
	// Rollback pins tables to what they were in a version. Content is theirs; nil tables of it are passed over.
	Rollback struct {
		Ticket   Ticket
		To       tables.Step
		Content  map[logic.TableID]*tables.Table
		Since    tables.Step // the newest version that the operator has seen; another operator's later change is a conflict
		Who, Why string
		Force    bool // whatever part of the traffic it moves
		Dry      bool // tell what would be, and do nothing
	}
	// Release gives pinned tables back to the module, which goes on from what they hold.
	Release struct {
		Ticket   Ticket
		Tables   []logic.TableID // empty: all
		Who, Why string
	}
	// Pins asks which tables are held.
	Pins struct{ Ticket Ticket }
)

// Held tells of a pinned table.
type HeldTable struct {
	Table  logic.TableID `json:"table"`
	Step   tables.Step   `json:"version"`
	Who    string        `json:"who"`
	Faults []pins.Fault  `json:"not_honoured,omitempty"`
}

// Operated is what an operator is told.
type Operated struct {
	Version tables.Step `json:"version"`        // ordered by now; a rollback may go in several
	Moved   float64     `json:"moved"`          // part of the slices that go to other hosts
	Tables  []HeldTable `json:"tables"`         // pinned, or given back
	Rest    int         `json:"rest,omitempty"` // tables that wait for room in the channel
}

// mostMoved is the part of the slices that an operator's change may move unless it is forced: as much as a release moves
// in one go, and cold keys after it can be borne.
const mostMoved = 0.3

// queuePart is what operators' changes may fill of the channel's queue; the rest is the module's.
const queuePart = 0.4

func (c *Core) operator(t Ticket, kind AnswerKind, why string, o *Operated) {
	c.out = append(c.out, Answer{Ticket: t, Kind: kind, Reason: why, Body: o})
}

// hosts is what the rules need to know of those that are listed.
func (c *Core) hosts(now logic.Millis) map[tables.Address]pins.Host {
	out := map[tables.Address]pins.Host{}
	for _, l := range c.list0 {
		born := min(logic.Millis(l.Born), now)
		out[l.Address] = pins.Host{Up: l.State == logic.Up, Cold: born > 0 && now < born+c.svc.Facts.WarmAfter,
			Masked: c.world.masked[l.Address]}
	}
	return out
}

func (c *Core) rollback(now logic.Millis, r Rollback) {
	switch {
	case c.svc.Facts.Slices == 0:
		c.operator(r.Ticket, Wrong, "proxies have tables of their own here; only tables of slices can be rolled back", nil)
		return
	case c.svc.Facts.SingleOwner:
		c.operator(r.Ticket, Wrong, "slices have single owners here: a table goes to another only by the module's hand-over", nil)
		return
	case c.operated > r.Since:
		c.operator(r.Ticket, Conflict, fmt.Sprintf("version %d, an operator's, came after version %d", c.operated, r.Since), nil)
		return
	case r.Who == "" || r.Why == "":
		c.operator(r.Ticket, Wrong, "who and why are needed", nil)
		return
	}
	listed := c.hosts(now)
	o := &Operated{Version: c.world.step}
	var bare []string
	for _, id := range slices.Sorted(maps.Keys(r.Content)) {
		if r.Content[id] == nil || int(id) >= c.svc.Facts.Slices || !c.holds(id) {
			continue
		}
		m := pins.Mend(int(id), r.Content[id].Lines, listed)
		if len(m.Lines) == 0 {
			bare = append(bare, strconv.Itoa(int(id)))
		}
		o.Tables = append(o.Tables, HeldTable{id, r.To, r.Who, m.Faults})
		if was := c.world.tables[id]; was != nil {
			o.Moved += pins.Moved(was.Lines, m.Lines) / float64(c.svc.Facts.Slices)
		}
	}
	switch {
	case len(o.Tables) == 0:
		c.operator(r.Ticket, Wrong, "the version has none of these tables", nil)
	case len(bare) > 0:
		c.operator(r.Ticket, Refused, "tables "+strings.Join(bare, ", ")+" would be left without a host", o)
	case o.Moved > mostMoved && !r.Force:
		c.operator(r.Ticket, Refused, fmt.Sprintf("it would move %.0f%% of the slices, of %.0f%% at most unless forced", 100*o.Moved, 100*mostMoved), o)
	case r.Dry:
		c.operator(r.Ticket, Done, "", o)
	default:
		c.pinned = maps.Clone(c.pinned)
		for _, h := range o.Tables {
			if _, had := c.pinned[h.Table]; !had {
				c.notes = append(c.notes, logic.SliceOwnership{Slice: h.Table, Owned: false})
			}
			c.pinned[h.Table] = Pin{Lines: maps.Clone(r.Content[h.Table].Lines), Step: r.To, Who: r.Who}
		}
		c.cause = cause{who: r.Who, why: r.Why, from: r.To, new: true}
		c.tend(now)
		o.Version, o.Rest = c.world.step, len(c.untended(now))
		c.operated = c.world.step
		c.say(Event{Name: "operator.rollback", Version: strconv.Itoa(int(c.world.step)),
			Detail: fmt.Sprintf("%s: %d tables to version %d: %s", r.Who, len(o.Tables), r.To, r.Why)})
		c.operator(r.Ticket, Done, "", o)
	}
}

func (c *Core) release(now logic.Millis, r Release) {
	if r.Who == "" {
		c.operator(r.Ticket, Wrong, "who is needed", nil)
		return
	}
	which := r.Tables
	if len(which) == 0 {
		which = slices.Sorted(maps.Keys(c.pinned))
	}
	o := &Operated{}
	c.pinned = maps.Clone(c.pinned)
	for _, id := range which {
		p, held := c.pinned[id]
		if !held {
			continue
		}
		delete(c.pinned, id)
		o.Tables = append(o.Tables, HeldTable{Table: id, Step: p.Step, Who: p.Who})
		if c.holds(id) {
			c.give(id, c.world)
		}
	}
	if len(o.Tables) > 0 {
		// A step without other content, so that the history says who let go.
		d := c.draft(float64(now))
		d.change.Who, d.change.Why, d.change.Pinned = r.Who, r.Why, c.pinned
		c.commit(now, d)
		c.operated = c.world.step
		c.say(Event{Name: "operator.release", Version: strconv.Itoa(int(c.world.step)), Detail: fmt.Sprintf("%s: %d tables: %s", r.Who, len(o.Tables), r.Why)})
	}
	o.Version = c.world.step
	c.operator(r.Ticket, Done, "", o)
}

// give puts a slice in the module's charge, with the lines that stand.
func (c *Core) give(id logic.TableID, w *world) {
	c.notes = append(c.notes, logic.SliceOwnership{Slice: id, Owned: true})
	table := w.tables[id]
	for _, a := range slices.Sorted(maps.Keys(table.Lines)) {
		if k, known := c.names.hosts[a]; known {
			c.notes = append(c.notes, logic.StoredLine{Slice: id, Host: k.Number, Weight: table.Lines[a]})
		}
	}
}

func (c *Core) tellPins(now logic.Millis, t Ticket) {
	o := &Operated{Version: c.world.step, Rest: len(c.untended(now))}
	listed := c.hosts(now)
	for _, id := range slices.Sorted(maps.Keys(c.pinned)) {
		p := c.pinned[id]
		o.Tables = append(o.Tables, HeldTable{id, p.Step, p.Who, pins.Mend(int(id), p.Lines, listed).Faults})
	}
	c.operator(t, Done, "", o)
}

// cause is why the tables that are tended change.
type cause struct {
	who, why string
	from     tables.Step
	new      bool // the pins themselves changed
}

// untended are the pinned tables that do not say what they should.
func (c *Core) untended(now logic.Millis) (out []logic.TableID) {
	if len(c.pinned) == 0 {
		return nil
	}
	listed := c.hosts(now)
	for _, id := range slices.Sorted(maps.Keys(c.pinned)) {
		if c.world.tables[id] == nil {
			continue // another director's
		}
		if m := pins.Mend(int(id), c.pinned[id].Lines, listed); !maps.Equal(m.Lines, c.world.tables[id].Lines) {
			out = append(out, id)
		}
	}
	return out
}

// tend writes pinned tables as the rules allow them now, as many as the channel has room for; what is left follows.
func (c *Core) tend(now logic.Millis) {
	todo := c.untended(now)
	if len(todo) == 0 && !c.cause.new {
		return
	}
	d, listed := c.draft(float64(now)), c.hosts(now)
	joined := float64(len(c.ids))
	room := queuePart*c.svc.Facts.QueueLimit - c.channel.QueuedLines() - joined*c.svc.Facts.MessageOverhead
	for _, s := range slices.Concat(c.behind, c.unsaved) {
		for _, m := range s.messages {
			room -= m.Lines
		}
	}
	// What drains must not wait for room: these tables come first, and are written whatever room there is.
	urgent := func(id logic.TableID) bool {
		for a := range c.world.tables[id].Lines {
			if h, known := listed[a]; known && !h.Up {
				return true
			}
		}
		return false
	}
	slices.SortStableFunc(todo, func(a, b logic.TableID) int {
		x, y := urgent(a), urgent(b)
		if x == y {
			return 0
		} else if x {
			return -1
		}
		return 1
	})
	for _, id := range todo {
		want := pins.Mend(int(id), c.pinned[id].Lines, listed).Lines
		lines := 0.0
		was := c.world.tables[id].Lines
		for a, w := range want {
			if was[a] != w {
				lines++
			}
		}
		for a := range was {
			if _, stays := want[a]; !stays {
				lines++
			}
		}
		if room -= lines * joined; room < 0 && !urgent(id) {
			break
		}
		t := d.table(id)
		clear(t.Lines)
		maps.Copy(t.Lines, want)
		d.charge(lines, everyone)
	}
	if d.change.Who, d.change.Why, d.change.From = c.cause.who, c.cause.why, c.cause.from; d.change.Who == "" {
		d.change.Who, d.change.Why = "vetchwood", "a pinned table is mended: the rules stand above it"
	}
	if c.cause.new {
		d.change.Pinned, d.wrote = c.pinned, true
	}
	if d.wrote {
		c.commit(now, d)
	}
	if c.cause.new = false; len(c.untended(now)) == 0 {
		c.cause = cause{}
	}
}
