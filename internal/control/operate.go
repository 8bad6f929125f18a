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

// Operator requests.
type (
	// Rollback pins tables to the content that they had in an earlier version. Content holds these tables; nil entries
	// are skipped.
	Rollback struct {
		Ticket   Ticket
		To       tables.Step
		Content  map[logic.TableID]*tables.Table
		LastSeen tables.Step // newest version that the operator has seen; a later change by an operator is a conflict
		Who, Why string
		Force    bool // skip the limit on the fraction of slices moved
		DryRun   bool // report the result without changing anything
	}
	// Release unpins tables. The decision module takes them over with their present lines.
	Release struct {
		Ticket   Ticket
		Tables   []logic.TableID // empty: all
		Who, Why string
	}
	// PinsQuery asks which tables are pinned.
	PinsQuery struct{ Ticket Ticket }
)

// PinnedTable describes a pinned table.
type PinnedTable struct {
	Table      logic.TableID    `json:"table"`
	Step       tables.Step      `json:"version"`
	Who        string           `json:"who"`
	Deviations []pins.Deviation `json:"not_honoured,omitempty"`
}

// OperationResult is the result of an operator request.
type OperationResult struct {
	Version       tables.Step   `json:"version"`        // newest version ordered; a rollback may take several
	MovedFraction float64       `json:"moved"`          // fraction of the slices that move to other hosts
	Tables        []PinnedTable `json:"tables"`         // pinned or released
	Deferred      int           `json:"rest,omitempty"` // number of tables deferred until the channel has room
}

// maxMovedFraction is the fraction of the slices that an operator's change may move unless it is forced. A rolling
// release of the hosts moves as many at once, and the hosts can sustain the cache misses that follow.
const maxMovedFraction = 0.3

// operatorQueueFraction is the fraction of the channel's queue that operators' changes may fill. The rest is kept for
// the decision module.
const operatorQueueFraction = 0.4

func (c *Core) answerOperator(t Ticket, kind AnswerKind, why string, o *OperationResult) {
	c.out = append(c.out, Answer{Ticket: t, Kind: kind, Reason: why, Body: o})
}

// hostConditions returns the state of each listed host, as the rules for pinned tables and the checks require it.
func (c *Core) hostConditions(now logic.Millis) map[tables.Address]pins.Host {
	out := map[tables.Address]pins.Host{}
	for _, l := range c.hostList {
		startedAt := min(logic.Millis(l.StartedAt), now)
		out[l.Address] = pins.Host{Up: l.State == logic.Up, WarmingUp: startedAt > 0 && now < startedAt+c.svc.Config.WarmAfter,
			Masked: c.current.masked[l.Address]}
	}
	return out
}

func (c *Core) rollback(now logic.Millis, r Rollback) {
	switch {
	case c.svc.Config.Slices == 0:
		c.answerOperator(r.Ticket, Invalid, "proxies have tables of their own here; only tables of slices can be rolled back", nil)
		return
	case c.svc.Config.SingleOwner:
		c.answerOperator(r.Ticket, Invalid, "slices have single owners here: a table goes to another only by the module's hand-over", nil)
		return
	case c.lastOperatorStep > r.LastSeen:
		c.answerOperator(r.Ticket, Conflict, fmt.Sprintf("version %d, an operator's, came after version %d", c.lastOperatorStep, r.LastSeen), nil)
		return
	case r.Who == "" || r.Why == "":
		c.answerOperator(r.Ticket, Invalid, "who and why are needed", nil)
		return
	}
	hosts := c.hostConditions(now)
	result := &OperationResult{Version: c.current.step}
	var empty []string
	for _, id := range slices.Sorted(maps.Keys(r.Content)) {
		if r.Content[id] == nil || int(id) >= c.svc.Config.Slices || !c.ownsSlice(id) {
			continue
		}
		m := pins.Adjust(int(id), r.Content[id].Lines, hosts)
		if len(m.Lines) == 0 {
			empty = append(empty, strconv.Itoa(int(id)))
		}
		result.Tables = append(result.Tables, PinnedTable{id, r.To, r.Who, m.Deviations})
		if current := c.current.tables[id]; current != nil {
			result.MovedFraction += pins.MovedFraction(current.Lines, m.Lines) / float64(c.svc.Config.Slices)
		}
	}
	switch {
	case len(result.Tables) == 0:
		c.answerOperator(r.Ticket, Invalid, "the version has none of these tables", nil)
	case len(empty) > 0:
		c.answerOperator(r.Ticket, Refused, "tables "+strings.Join(empty, ", ")+" would be left without a host", result)
	case result.MovedFraction > maxMovedFraction && !r.Force:
		c.answerOperator(r.Ticket, Refused, fmt.Sprintf("it would move %.0f%% of the slices, of %.0f%% at most unless forced", 100*result.MovedFraction, 100*maxMovedFraction), result)
	case r.DryRun:
		c.answerOperator(r.Ticket, Done, "", result)
	default:
		c.pinned = maps.Clone(c.pinned)
		for _, t := range result.Tables {
			if _, pinned := c.pinned[t.Table]; !pinned {
				c.events = append(c.events, logic.SliceOwnership{Slice: t.Table, Owned: false})
			}
			c.pinned[t.Table] = Pin{Lines: maps.Clone(r.Content[t.Table].Lines), Step: r.To, Who: r.Who}
		}
		c.changeCause = pinCause{who: r.Who, why: r.Why, from: r.To, pinsChanged: true}
		c.updatePinned(now)
		result.Version, result.Deferred = c.current.step, len(c.outdatedPins(now))
		c.lastOperatorStep = c.current.step
		c.log(LogEvent{Name: "operator.rollback", Version: strconv.Itoa(int(c.current.step)),
			Detail: fmt.Sprintf("%s: %d tables to version %d: %s", r.Who, len(result.Tables), r.To, r.Why)})
		c.answerOperator(r.Ticket, Done, "", result)
	}
}

func (c *Core) release(now logic.Millis, r Release) {
	if r.Who == "" {
		c.answerOperator(r.Ticket, Invalid, "who is needed", nil)
		return
	}
	ids := r.Tables
	if len(ids) == 0 {
		ids = slices.Sorted(maps.Keys(c.pinned))
	}
	result := &OperationResult{}
	c.pinned = maps.Clone(c.pinned)
	for _, id := range ids {
		p, pinned := c.pinned[id]
		if !pinned {
			continue
		}
		delete(c.pinned, id)
		result.Tables = append(result.Tables, PinnedTable{Table: id, Step: p.Step, Who: p.Who})
		if c.ownsSlice(id) {
			c.assignToModule(id, c.current)
		}
	}
	if len(result.Tables) > 0 {
		// A version without other content records in the history who released the tables.
		d := c.newDraft(float64(now))
		d.change.Who, d.change.Why, d.change.Pinned = r.Who, r.Why, c.pinned
		c.commit(now, d)
		c.lastOperatorStep = c.current.step
		c.log(LogEvent{Name: "operator.release", Version: strconv.Itoa(int(c.current.step)), Detail: fmt.Sprintf("%s: %d tables: %s", r.Who, len(result.Tables), r.Why)})
	}
	result.Version = c.current.step
	c.answerOperator(r.Ticket, Done, "", result)
}

// assignToModule hands a slice to the decision module together with the lines of its table.
func (c *Core) assignToModule(id logic.TableID, w *snapshot) {
	c.events = append(c.events, logic.SliceOwnership{Slice: id, Owned: true})
	table := w.tables[id]
	for _, a := range slices.Sorted(maps.Keys(table.Lines)) {
		if k, known := c.ids.hosts[a]; known {
			c.events = append(c.events, logic.StoredLine{Slice: id, Host: k.Number, Weight: table.Lines[a]})
		}
	}
}

func (c *Core) answerPins(now logic.Millis, t Ticket) {
	result := &OperationResult{Version: c.current.step, Deferred: len(c.outdatedPins(now))}
	hosts := c.hostConditions(now)
	for _, id := range slices.Sorted(maps.Keys(c.pinned)) {
		p := c.pinned[id]
		result.Tables = append(result.Tables, PinnedTable{id, p.Step, p.Who, pins.Adjust(int(id), p.Lines, hosts).Deviations})
	}
	c.answerOperator(t, Done, "", result)
}

// pinCause is the recorded reason for changes of pinned tables: the operator's request that is being carried out.
type pinCause struct {
	who, why    string
	from        tables.Step
	pinsChanged bool // the set of pins changed and is to be stored
}

// outdatedPins returns the pinned tables whose lines differ from the pinned ones as far as the rules allow them.
func (c *Core) outdatedPins(now logic.Millis) (out []logic.TableID) {
	if len(c.pinned) == 0 {
		return nil
	}
	hosts := c.hostConditions(now)
	for _, id := range slices.Sorted(maps.Keys(c.pinned)) {
		if c.current.tables[id] == nil {
			continue // owned by another director
		}
		if m := pins.Adjust(int(id), c.pinned[id].Lines, hosts); !maps.Equal(m.Lines, c.current.tables[id].Lines) {
			out = append(out, id)
		}
	}
	return out
}

// updatePinned writes pinned tables as the rules allow them now, as many as the channel has room for. The others follow
// in later calls.
func (c *Core) updatePinned(now logic.Millis) {
	outdated := c.outdatedPins(now)
	if len(outdated) == 0 && !c.changeCause.pinsChanged {
		return
	}
	d, hosts := c.newDraft(float64(now)), c.hostConditions(now)
	joined := float64(len(c.joined))
	room := operatorQueueFraction*c.svc.Config.QueueLimit - c.channel.QueuedLines() - joined*c.svc.Config.MessageOverhead
	for _, s := range slices.Concat(c.heldBack, c.unsaved) {
		for _, m := range s.messages {
			room -= m.Lines
		}
	}
	// The removal of a draining host must not be delayed: tables with such hosts come first and are written even if the
	// channel has no room.
	urgent := func(id logic.TableID) bool {
		for a := range c.current.tables[id].Lines {
			if h, known := hosts[a]; known && !h.Up {
				return true
			}
		}
		return false
	}
	slices.SortStableFunc(outdated, func(a, b logic.TableID) int {
		x, y := urgent(a), urgent(b)
		if x == y {
			return 0
		} else if x {
			return -1
		}
		return 1
	})
	for _, id := range outdated {
		want := pins.Adjust(int(id), c.pinned[id].Lines, hosts).Lines
		lines := 0.0
		current := c.current.tables[id].Lines
		for a, w := range want {
			if current[a] != w {
				lines++
			}
		}
		for a := range current {
			if _, stays := want[a]; !stays {
				lines++
			}
		}
		if room -= lines * joined; room < 0 && !urgent(id) {
			break
		}
		t := d.writableTable(id)
		clear(t.Lines)
		maps.Copy(t.Lines, want)
		d.countLines(lines, allProxies)
	}
	if d.change.Who, d.change.Why, d.change.From = c.changeCause.who, c.changeCause.why, c.changeCause.from; d.change.Who == "" {
		d.change.Who, d.change.Why = "vetchwood", "a pinned table is mended: the rules stand above it"
	}
	if c.changeCause.pinsChanged {
		d.change.Pinned, d.changed = c.pinned, true
	}
	if d.changed {
		c.commit(now, d)
	}
	if c.changeCause.pinsChanged = false; len(c.outdatedPins(now)) == 0 {
		c.changeCause = pinCause{}
	}
}
