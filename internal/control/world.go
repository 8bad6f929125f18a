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

// world is what has been ordered, as of one step. A step copies what it changes; the rest is shared.
type world struct {
	step    tables.Step
	at      float64
	tables  map[logic.TableID]*tables.Table
	masked  map[tables.Address]bool
	levels  []tables.Level
	bound   map[logic.ProxyID][]logic.TableID // by route; -1 where none
	carried map[logic.ProxyID]map[string]*tables.Table
	docs    map[string]*tables.Document // made so far, by what they are made of
}

// draft is a step in the making.
type draft struct {
	c       *Core
	was     *world
	is      *world
	change  Change
	fresh   map[logic.TableID]bool    // tables that this step has copied already
	lines   map[logic.ProxyID]float64 // of single proxies
	of      float64                   // of each that has joined
	serial  logic.SerialID
	stamped bool
	all     bool
	wrote   bool
}

func (c *Core) draft(at float64) *draft {
	w := *c.current
	w.step, w.at, w.docs = c.current.step+1, at, map[string]*tables.Document{}
	return &draft{c: c, was: c.current, is: &w, fresh: map[logic.TableID]bool{}, lines: map[logic.ProxyID]float64{},
		change: Change{Line: c.line, Step: w.step, At: at}}
}

// table gives a table that this step may write.
func (d *draft) table(id logic.TableID) *tables.Table {
	if !d.fresh[id] {
		if len(d.fresh) == 0 {
			d.is.tables = maps.Clone(d.is.tables)
			d.change.Tables = map[logic.TableID]*tables.Table{}
		}
		t := &tables.Table{Lines: map[tables.Address]float64{}}
		if was := d.is.tables[id]; was != nil {
			t.From, t.To, t.Levels, t.Fence = was.From, was.To, maps.Clone(was.Levels), was.Fence
			maps.Copy(t.Lines, was.Lines)
		} else if n := d.c.svc.Config.Slices; n > 0 {
			from, to := tables.SliceRange(int(id), n)
			t.From, t.To = &from, &to
		}
		d.is.tables[id], d.change.Tables[id], d.fresh[id] = t, t, true
	}
	return d.is.tables[id]
}

// charge counts lines at each joined proxy concerned; nil: at all, which is not counted one by one.
func (d *draft) charge(lines float64, concerned func(logic.ProxyID) bool) {
	if d.wrote = true; concerned == nil {
		d.of += lines
		return
	}
	for _, id := range d.c.joined {
		if concerned(id) {
			d.lines[id] += lines
		}
	}
}

// everyone is all that have joined.
var everyone func(logic.ProxyID) bool

func (d *draft) users(t logic.TableID) func(logic.ProxyID) bool {
	if d.c.svc.Config.Slices > 0 || t == logic.AllTables {
		return everyone
	}
	return func(id logic.ProxyID) bool {
		for _, b := range d.is.bound[id] {
			if b == t {
				return true
			}
		}
		return false
	}
}

func (d *draft) holders(a tables.Address) func(logic.ProxyID) bool {
	if d.c.svc.Config.Slices > 0 {
		for _, t := range d.is.tables {
			if _, holds := t.Lines[a]; holds {
				return everyone
			}
		}
		return func(logic.ProxyID) bool { return false }
	}
	return func(id logic.ProxyID) bool {
		for _, b := range d.is.bound[id] {
			if t := d.is.tables[b]; t != nil {
				if _, holds := t.Lines[a]; holds {
					return true
				}
			}
		}
		return false
	}
}

func (d *draft) order(o logic.Order) {
	f := d.c.svc.Config
	switch o := o.(type) {
	case logic.SetLine:
		if f.Slices > 0 && !d.c.holds(o.Table) {
			return // it was withdrawn while the module did not know yet
		}
		a := d.c.ids.addresses[o.Host]
		if a == "" || math.IsNaN(o.Weight) || o.Weight > 1e9 {
			// No version may bear it. The module has no such host or weight; a line of a store that was changed might.
			d.c.stats.CheckFailures++
			d.c.log(LogEvent{Name: "check.line_dropped", Detail: fmt.Sprintf("table %d, host %d, weight %v", o.Table, o.Host, o.Weight)})
			return
		}
		t := d.table(o.Table)
		if o.Weight <= 0 {
			delete(t.Lines, a)
		} else {
			if f.SingleOwner {
				clear(t.Lines)
			}
			t.Lines[a] = o.Weight
		}
		d.lay(o.Table, t)
		d.charge(1, d.users(o.Table))
	case logic.DropLines:
		if f.Slices > 0 && !d.c.holds(o.Table) {
			return
		}
		t := d.table(o.Table)
		clear(t.Lines)
		t.Levels = nil
		d.charge(1, d.users(o.Table))
	case logic.Mask:
		a := d.c.ids.addresses[o.Host]
		if d.change.Masked == nil {
			d.is.masked = maps.Clone(d.is.masked)
			d.change.Masked = d.is.masked
		}
		if o.On {
			d.is.masked[a] = true
		} else {
			delete(d.is.masked, a)
		}
		d.charge(1, d.holders(a))
		d.c.log(LogEvent{Name: "host.masked", Host: string(a), Detail: strconv.FormatBool(o.On)})
	case logic.Throttle:
		to := tables.Level{Level: o.Level, Tries: o.Retries}
		if o.Table == logic.AllTables {
			if d.change.Levels == nil {
				d.is.levels = append([]tables.Level(nil), d.is.levels...)
				d.change.Levels = d.is.levels
			}
			for r := range d.is.levels {
				if o.Routes == 0 || o.Routes&(1<<r) != 0 {
					d.is.levels[r] = to
				}
			}
		} else {
			if f.Slices > 0 && !d.c.holds(o.Table) {
				return
			}
			t := d.table(o.Table)
			if t.Levels == nil {
				t.Levels = map[string]tables.Level{}
			}
			for r, route := range d.c.svc.Routes {
				if o.Routes == 0 || o.Routes&(1<<r) != 0 {
					t.Levels[route.Name] = to
				}
			}
		}
		d.charge(float64(max(1, bits.OnesCount64(uint64(o.Routes)))), d.users(o.Table))
		d.c.log(LogEvent{Name: "level.set", Detail: strconv.FormatFloat(o.Level, 'g', 4, 64)})
	case logic.Bind:
		if d.change.Bound == nil {
			d.is.bound, d.change.Bound = maps.Clone(d.is.bound), map[logic.ProxyID][]logic.TableID{}
		}
		by := make([]logic.TableID, len(d.c.svc.Routes))
		was := d.is.bound[o.Proxy]
		for r := range by {
			if by[r] = -1; r < len(was) {
				by[r] = was[r]
			}
			if o.Routes == 0 || o.Routes&(1<<r) != 0 {
				by[r] = o.Table
			}
		}
		d.is.bound[o.Proxy], d.change.Bound[o.Proxy] = by, by
		lines := 1.0
		if t := d.is.tables[o.Table]; t != nil {
			lines += float64(len(t.Lines) + len(t.Levels) + len(d.is.levels))
			for a := range t.Lines {
				if d.is.masked[a] {
					lines++
				}
			}
		}
		d.charge(lines, func(id logic.ProxyID) bool { return id == o.Proxy })
	case logic.Stamp:
		d.serial, d.stamped, d.all = o.Serial, true, o.All
	}
}

// document is what a proxy is told at a world's step.
func (c *Core) document(w *world, id logic.ProxyID) *tables.Document {
	key := ""
	if c.svc.Config.Slices == 0 {
		var b strings.Builder
		for r := range c.svc.Routes {
			if by := w.bound[id]; r < len(by) && by[r] >= 0 {
				b.WriteString(strconv.Itoa(int(by[r])))
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
	f := c.svc.Config
	d := &tables.Document{Pick: c.svc.Pick, Ejects: f.EjectAfterFailures, TryWait: f.TryTimeout, FullIsProof: !f.RejectedMayHaveRun,
		LevelsBy: map[logic.LevelUnit]string{logic.LevelShare: "share", logic.LevelRate: "rate", logic.NoLevels: "none"}[f.Levels],
		Routes:   map[string]tables.Route{}, Hosts: map[tables.Address]tables.Host{},
		Masked: map[tables.Address]bool{}, Tables: map[string]*tables.Table{}}
	use := func(name string, t *tables.Table) {
		d.Tables[name] = t
		for a := range t.Lines {
			d.Hosts[a] = c.ids.hosts[a].Host
			if w.masked[a] {
				d.Masked[a] = true
			}
		}
	}
	if f.Slices > 0 {
		d.Hash = tables.KeyHash
		for t, table := range c.told(w) {
			use(strconv.Itoa(int(t)), table)
		}
	}
	for r, info := range c.svc.Routes {
		route := info.Route
		route.Level = w.levels[r]
		if f.Slices == 0 {
			if by := w.bound[id]; r < len(by) && by[r] >= 0 && w.tables[by[r]] != nil {
				route.Table = "t" + strconv.Itoa(int(by[r]))
				use(route.Table, w.tables[by[r]])
			} else if t := w.carried[id][info.Name]; t != nil {
				route.Table = "was-" + info.Name
				use(route.Table, t)
			}
		}
		d.Routes[info.Name] = route
	}
	w.docs[key] = d.Seal(c.line, w.step, w.at)
	return d
}

// removes says whether the step takes a host out of all tables: by a mask, or with its last line.
func (d *draft) removes() bool {
	if d.change.Masked != nil {
		for a := range d.is.masked {
			if !d.was.masked[a] {
				return true
			}
		}
	}
	offered := func(a tables.Address) bool {
		for _, t := range d.is.tables {
			if _, has := t.Lines[a]; has {
				return true
			}
		}
		return false
	}
	for id := range d.change.Tables {
		was, is := d.was.tables[id], d.is.tables[id]
		if was == nil {
			continue
		}
		for a := range was.Lines {
			stays := false
			if is != nil {
				_, stays = is.Lines[a]
			}
			if !stays && !d.is.masked[a] && !offered(a) {
				return true
			}
		}
	}
	return false
}

// check looks at a step before it is published. What the module orders goes out all the same, and the fault is told: to hold
// a removal back because it leaves a table bare for a moment would break another rule.
func (d *draft) check(now logic.Millis) {
	s := checks.Step{Was: map[string]*tables.Table{}, Is: map[string]*tables.Table{}, MaskedWas: d.was.masked, Masked: d.is.masked,
		Known: func(a tables.Address) bool { _, known := d.c.ids.hosts[a]; return known }, Listed: map[tables.Address]checks.Host{}}
	look := d.change.Tables
	if d.change.Masked != nil {
		look = d.is.tables
	}
	if len(look) == 0 {
		return
	}
	for id := range look {
		name := strconv.Itoa(int(id))
		if d.is.tables[id] != nil {
			s.Was[name], s.Is[name] = d.was.tables[id], d.is.tables[id]
		}
	}
	for a, h := range d.c.hosts(now) {
		s.Listed[a] = checks.Host{Up: h.Up, Cold: h.Cold}
	}
	for _, f := range checks.Look(s) {
		d.c.stats.CheckFailures++
		d.c.log(LogEvent{Name: "check.failed", Host: string(f.Host), Version: strconv.Itoa(int(d.is.step)), Detail: f.String()})
	}
}
