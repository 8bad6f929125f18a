package control

import (
	"fmt"
	"maps"
	"math"
	"math/bits"
	"strconv"
	"strings"

	"vetchwood/internal/checks"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// snapshot is the ordered state as of one step. A step copies what it changes and shares the rest with its predecessor.
type snapshot struct {
	step    tables.Step
	at      float64 // Unix milliseconds
	tables  map[logic.TableID]*tables.Table
	masked  map[tables.Address]bool
	levels  []tables.Level
	bound   map[logic.ProxyID][]logic.TableID          // by route; -1 for no table
	carried map[logic.ProxyID]map[string]*tables.Table // tables from before the start, by route; in use until a Bind
	docs    map[string]*tables.Document                // cache; the key names the tables of a document
}

// draft is the next step under construction.
type draft struct {
	c          *Core
	previous   *snapshot
	next       *snapshot
	change     Change
	copied     map[logic.TableID]bool    // tables that this step has already copied
	linesOf    map[logic.ProxyID]float64 // lines to be sent, for single proxies
	linesOfAll float64                   // lines to be sent to every joined proxy
	serial     logic.SerialID
	stamped    bool
	stampAll   bool // the serial number goes to all joined proxies
	changed    bool
}

func (c *Core) newDraft(at float64) *draft {
	w := *c.current
	w.step, w.at, w.docs = c.current.step+1, at, map[string]*tables.Document{}
	return &draft{c: c, previous: c.current, next: &w, copied: map[logic.TableID]bool{}, linesOf: map[logic.ProxyID]float64{},
		change: Change{History: c.history, Step: w.step, At: at}}
}

// writableTable returns a copy of a table that belongs to this step. A missing table is created.
func (d *draft) writableTable(id logic.TableID) *tables.Table {
	if !d.copied[id] {
		if len(d.copied) == 0 {
			d.next.tables = maps.Clone(d.next.tables)
			d.change.Tables = map[logic.TableID]*tables.Table{}
		}
		t := &tables.Table{Lines: map[tables.Address]float64{}}
		if old := d.next.tables[id]; old != nil {
			t.From, t.To, t.Levels, t.Fence = old.From, old.To, maps.Clone(old.Levels), old.Fence
			maps.Copy(t.Lines, old.Lines)
		} else if n := d.c.svc.Config.Slices; n > 0 {
			from, to := tables.SliceRange(int(id), n)
			t.From, t.To = &from, &to
		}
		d.next.tables[id], d.change.Tables[id], d.copied[id] = t, t, true
	}
	return d.next.tables[id]
}

// countLines adds to the lines that the step sends to each joined proxy concerned. A nil function stands for all joined
// proxies and is counted once rather than per proxy.
func (d *draft) countLines(lines float64, concerned func(logic.ProxyID) bool) {
	if d.changed = true; concerned == nil {
		d.linesOfAll += lines
		return
	}
	for _, id := range d.c.joined {
		if concerned(id) {
			d.linesOf[id] += lines
		}
	}
}

// allProxies, a nil function, makes countLines count all joined proxies.
var allProxies func(logic.ProxyID) bool

// proxiesUsing selects the proxies that are sent a table.
func (d *draft) proxiesUsing(t logic.TableID) func(logic.ProxyID) bool {
	if d.c.svc.Config.Slices > 0 || t == logic.AllTables {
		return allProxies
	}
	return func(id logic.ProxyID) bool {
		for _, b := range d.next.bound[id] {
			if b == t {
				return true
			}
		}
		return false
	}
}

// proxiesWithLineFor selects the proxies that are sent a table with a line for a host.
func (d *draft) proxiesWithLineFor(a tables.Address) func(logic.ProxyID) bool {
	if d.c.svc.Config.Slices > 0 {
		for _, t := range d.next.tables {
			if _, found := t.Lines[a]; found {
				return allProxies
			}
		}
		return func(logic.ProxyID) bool { return false }
	}
	return func(id logic.ProxyID) bool {
		for _, b := range d.next.bound[id] {
			if t := d.next.tables[b]; t != nil {
				if _, found := t.Lines[a]; found {
					return true
				}
			}
		}
		return false
	}
}

// apply carries out an order of the decision module.
func (d *draft) apply(o logic.Order) {
	cfg := d.c.svc.Config
	switch o := o.(type) {
	case logic.SetLine:
		if cfg.Slices > 0 && !d.c.ownsSlice(o.Table) {
			return // revoked before the decision module was notified
		}
		a := d.c.ids.addresses[o.Host]
		if a == "" || math.IsNaN(o.Weight) || o.Weight > 1e9 {
			// No version may contain such a line. The decision module orders none by itself, but a modified store might
			// hold one.
			d.c.stats.CheckFailures++
			d.c.log(LogEvent{Name: "check.line_dropped", Detail: fmt.Sprintf("table %d, host %d, weight %v", o.Table, o.Host, o.Weight)})
			return
		}
		t := d.writableTable(o.Table)
		if o.Weight <= 0 {
			delete(t.Lines, a)
		} else {
			if cfg.SingleOwner {
				clear(t.Lines)
			}
			t.Lines[a] = o.Weight
		}
		d.setFence(o.Table, t)
		d.countLines(1, d.proxiesUsing(o.Table))
	case logic.DropLines:
		if cfg.Slices > 0 && !d.c.ownsSlice(o.Table) {
			return
		}
		t := d.writableTable(o.Table)
		clear(t.Lines)
		t.Levels = nil
		d.countLines(1, d.proxiesUsing(o.Table))
	case logic.Mask:
		a := d.c.ids.addresses[o.Host]
		if d.change.Masked == nil {
			d.next.masked = maps.Clone(d.next.masked)
			d.change.Masked = d.next.masked
		}
		if o.On {
			d.next.masked[a] = true
		} else {
			delete(d.next.masked, a)
		}
		d.countLines(1, d.proxiesWithLineFor(a))
		d.c.log(LogEvent{Name: "host.masked", Host: string(a), Detail: strconv.FormatBool(o.On)})
	case logic.Throttle:
		to := tables.Level{Level: o.Level, RetryMode: o.RetryMode}
		if o.Table == logic.AllTables {
			if d.change.Levels == nil {
				d.next.levels = append([]tables.Level(nil), d.next.levels...)
				d.change.Levels = d.next.levels
			}
			for r := range d.next.levels {
				if o.Routes == 0 || o.Routes&(1<<r) != 0 {
					d.next.levels[r] = to
				}
			}
		} else {
			if cfg.Slices > 0 && !d.c.ownsSlice(o.Table) {
				return
			}
			t := d.writableTable(o.Table)
			if t.Levels == nil {
				t.Levels = map[string]tables.Level{}
			}
			for r, route := range d.c.svc.Routes {
				if o.Routes == 0 || o.Routes&(1<<r) != 0 {
					t.Levels[route.Name] = to
				}
			}
		}
		d.countLines(float64(max(1, bits.OnesCount64(uint64(o.Routes)))), d.proxiesUsing(o.Table))
		d.c.log(LogEvent{Name: "level.set", Detail: strconv.FormatFloat(o.Level, 'g', 4, 64)})
	case logic.Bind:
		if d.change.Bound == nil {
			d.next.bound, d.change.Bound = maps.Clone(d.next.bound), map[logic.ProxyID][]logic.TableID{}
		}
		byRoute := make([]logic.TableID, len(d.c.svc.Routes))
		old := d.next.bound[o.Proxy]
		for r := range byRoute {
			if byRoute[r] = -1; r < len(old) {
				byRoute[r] = old[r]
			}
			if o.Routes == 0 || o.Routes&(1<<r) != 0 {
				byRoute[r] = o.Table
			}
		}
		d.next.bound[o.Proxy], d.change.Bound[o.Proxy] = byRoute, byRoute
		lines := 1.0
		if t := d.next.tables[o.Table]; t != nil {
			lines += float64(len(t.Lines) + len(t.Levels) + len(d.next.levels))
			for a := range t.Lines {
				if d.next.masked[a] {
					lines++
				}
			}
		}
		d.countLines(lines, func(id logic.ProxyID) bool { return id == o.Proxy })
	case logic.Stamp:
		d.serial, d.stamped, d.stampAll = o.Serial, true, o.All
	}
}

// document returns the document that a proxy is sent at a snapshot's step. Proxies with the same tables share one.
func (c *Core) document(w *snapshot, id logic.ProxyID) *tables.Document {
	key := ""
	if c.svc.Config.Slices == 0 {
		var b strings.Builder
		for r := range c.svc.Routes {
			if bound := w.bound[id]; r < len(bound) && bound[r] >= 0 {
				b.WriteString(strconv.Itoa(int(bound[r])))
			} else if w.carried[id][c.svc.Routes[r].Name] != nil {
				b.WriteString("was" + strconv.Itoa(int(id)))
			}
			b.WriteByte(';')
		}
		key = b.String()
	}
	if d := w.docs[key]; d != nil {
		return d
	}
	cfg := c.svc.Config
	d := &tables.Document{PickPolicy: c.svc.Pick, EjectAfterFailures: cfg.EjectAfterFailures, TryTimeoutShare: cfg.TryTimeout, RejectedDidNotRun: !cfg.RejectedMayHaveRun,
		LevelUnit: map[logic.LevelUnit]string{logic.LevelShare: "share", logic.LevelRate: "rate", logic.NoLevels: "none"}[cfg.Levels],
		Routes:    map[string]tables.Route{}, Hosts: map[tables.Address]tables.Host{},
		Masked: map[tables.Address]bool{}, Tables: map[string]*tables.Table{}}
	addTable := func(name string, t *tables.Table) {
		d.Tables[name] = t
		for a := range t.Lines {
			d.Hosts[a] = c.ids.hosts[a].Host
			if w.masked[a] {
				d.Masked[a] = true
			}
		}
	}
	if cfg.Slices > 0 {
		d.KeyHash = tables.KeyHash
		for t, table := range c.publishedTables(w) {
			addTable(strconv.Itoa(int(t)), table)
		}
	}
	for r, info := range c.svc.Routes {
		route := info.Route
		route.Level = w.levels[r]
		if cfg.Slices == 0 {
			if bound := w.bound[id]; r < len(bound) && bound[r] >= 0 && w.tables[bound[r]] != nil {
				route.Table = "t" + strconv.Itoa(int(bound[r]))
				addTable(route.Table, w.tables[bound[r]])
			} else if t := w.carried[id][info.Name]; t != nil {
				route.Table = "was-" + info.Name
				addTable(route.Table, t)
			}
		}
		d.Routes[info.Name] = route
	}
	w.docs[key] = d.Seal(c.history, w.step, w.at)
	return d
}

// removesHost reports whether the step removes a host from all tables, either by a mask or with its last line.
func (d *draft) removesHost() bool {
	if d.change.Masked != nil {
		for a := range d.next.masked {
			if !d.previous.masked[a] {
				return true
			}
		}
	}
	hasLine := func(a tables.Address) bool {
		for _, t := range d.next.tables {
			if _, found := t.Lines[a]; found {
				return true
			}
		}
		return false
	}
	for id := range d.change.Tables {
		old, current := d.previous.tables[id], d.next.tables[id]
		if old == nil {
			continue
		}
		for a := range old.Lines {
			stays := false
			if current != nil {
				_, stays = current.Lines[a]
			}
			if !stays && !d.next.masked[a] && !hasLine(a) {
				return true
			}
		}
	}
	return false
}

// verify checks a step before it is published. Faults are counted and logged, but the step is published all the same:
// to hold back a removal because it leaves a table without hosts for a moment would break another rule.
func (d *draft) verify(now logic.Millis) {
	in := checks.Transition{Previous: map[string]*tables.Table{}, Next: map[string]*tables.Table{}, PreviousMasked: d.previous.masked, NextMasked: d.next.masked,
		Known: func(a tables.Address) bool { _, known := d.c.ids.hosts[a]; return known }, Listed: map[tables.Address]checks.Host{}}
	affected := d.change.Tables
	if d.change.Masked != nil {
		affected = d.next.tables
	}
	if len(affected) == 0 {
		return
	}
	for id := range affected {
		name := strconv.Itoa(int(id))
		if d.next.tables[id] != nil {
			in.Previous[name], in.Next[name] = d.previous.tables[id], d.next.tables[id]
		}
	}
	for a, h := range d.c.hostConditions(now) {
		in.Listed[a] = checks.Host{Up: h.Up, WarmingUp: h.WarmingUp}
	}
	for _, f := range checks.Validate(in) {
		d.c.stats.CheckFailures++
		d.c.log(LogEvent{Name: "check.failed", Host: string(f.Host), Version: strconv.Itoa(int(d.next.step)), Detail: f.String()})
	}
}
