package control

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"vetchwood/internal/learn"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Where several directors hold slices by lease, this one lays and tells the tables of those it holds alone.

// Inputs about leases.
type (
	// Given is a slice that this director holds from now on, with what its last holder left on record.
	Given struct {
		Slice  logic.TableID
		Fence  uint64
		Record *Record
	}
	// Givens are several at once: one version, and one word to each proxy.
	Givens struct{ Slices []Given }
	// Withdrawn is one that it holds no more.
	Withdrawn struct{ Slice logic.TableID }
	// Guard says until when it may act for what it holds, unless it hears again.
	Guard struct{ Until logic.Millis }
)

// Record is what a slice's next holder starts from.
type Record struct {
	Slice    logic.TableID                  `json:"slice"`
	Fence    uint64                         `json:"fence"`
	Director string                         `json:"director,omitempty"`
	At       float64                        `json:"at"` // Unix milliseconds
	Lines    map[tables.Address]float64     `json:"lines"`
	Hosts    map[tables.Address]tables.Host `json:"hosts"`
	Demand   []learn.Demand                 `json:"demand,omitempty"`
}

// custody is what the core holds. It is there only where slices are held by lease.
type custody struct {
	fences map[logic.TableID]uint64
	own    map[logic.TableID]*tables.Table // of our store, where the store of leases has no record
}

// bare takes all slices out of an opening world: none is held yet.
func (d *draft) bare() {
	d.c.ownership = &custody{fences: map[logic.TableID]uint64{}, own: d.is.tables}
	d.c.view.validUntil = logic.Millis(math.Inf(-1))
	d.change.Tables = map[logic.TableID]*tables.Table{}
	for t := range d.is.tables {
		d.change.Tables[t] = nil
	}
	d.is.tables = map[logic.TableID]*tables.Table{}
}

// holds says whether a table is ours to write.
func (c *Core) holds(t logic.TableID) bool { return c.ownership == nil || c.ownership.fences[t] > 0 }

func (c *Core) guard(now logic.Millis, g Guard) {
	if c.ownership != nil {
		c.view.validUntil, c.view.dirty = g.Until, true
	}
}

// givens takes slices over. Proxies read them from the document, as on joining; that costs the channel nothing, and
// is its own version.
func (c *Core) givens(now logic.Millis, all []Given) {
	if c.ownership == nil {
		return
	}
	d := c.draft(float64(now))
	known := false
	for _, g := range all {
		if g.Fence == 0 || int(g.Slice) >= c.svc.Config.Slices || c.ownership.fences[g.Slice] >= g.Fence {
			continue
		}
		again := c.ownership.fences[g.Slice] > 0
		c.ownership.fences[g.Slice] = g.Fence
		t := d.table(g.Slice)
		if !again {
			lines := map[tables.Address]float64{}
			switch own := c.ownership.own[g.Slice]; {
			case g.Record != nil:
				for a, w := range g.Record.Lines {
					if w > 0 && w <= 1e9 {
						_, changed := c.ids.host(c.named(a, g.Record.Hosts[a]))
						lines[a], known = w, known || changed
					}
				}
			case own != nil:
				maps.Copy(lines, own.Lines)
			}
			t.Lines, t.Levels = lines, nil
		}
		// A slice without a line is not told before it has one: proxies keep to its last holder's word until then.
		if t.Fence = 0; len(t.Lines) > 0 {
			t.Fence = g.Fence
		}
		if _, pinned := c.pinned[g.Slice]; !pinned && !again {
			c.give(g.Slice, d.is)
			if g.Record != nil && len(c.expectedDemand[g.Slice]) == 0 {
				for _, x := range g.Record.Demand { // by another's clock, but better than nothing
					x.Age += max(0, float64(now)-g.Record.At)
					c.expectedDemand[g.Slice] = append(c.expectedDemand[g.Slice], expectation{x, now})
				}
			}
			c.expect(now, g.Slice)
			c.slicesAssignedAt = now
		}
		c.log(LogEvent{Name: "slice.given", Version: strconv.Itoa(int(d.is.step)), Detail: strconv.Itoa(int(g.Slice)) + " fence " +
			strconv.FormatUint(g.Fence, 10) + map[bool]string{true: "", false: ", no record"}[g.Record != nil]})
	}
	if len(d.fresh) == 0 {
		return
	}
	if known {
		d.change.Known = maps.Clone(c.ids.hosts)
	}
	c.reread(now, d)
}

// named is a host by its entry in a record, or as it is known here.
func (c *Core) named(a tables.Address, h tables.Host) HostEntry {
	if k, known := c.ids.hosts[a]; known {
		h = k.Host
	}
	return HostEntry{Address: a, ID: h.ID, Zone: h.Zone, Cell: h.Cell}
}

func (c *Core) withdrawn(now logic.Millis, t logic.TableID) {
	if c.ownership == nil || c.ownership.fences[t] == 0 {
		return
	}
	d := c.draft(float64(now))
	d.table(t)
	c.ownership.own[t] = c.current.tables[t]
	delete(d.is.tables, t)
	d.change.Tables[t] = nil
	delete(c.ownership.fences, t)
	c.events = append(c.events, logic.SliceOwnership{Slice: t, Owned: false})
	c.log(LogEvent{Name: "slice.withdrawn", Version: strconv.Itoa(int(d.is.step)), Detail: strconv.Itoa(int(t))})
	c.reread(now, d)
}

// reread commits a version that proxies read by themselves: no message goes through the channel.
func (c *Core) reread(now logic.Millis, d *draft) {
	c.commit(now, d)
	for id, st := range c.proxies {
		st.catchUpTo = max(st.catchUpTo, d.is.step)
		c.catchingUp[id] = true
	}
}

// lay gives a table its fence once it has a line.
func (d *draft) lay(id logic.TableID, t *tables.Table) {
	if c := d.c.ownership; c != nil && len(t.Lines) > 0 {
		t.Fence = c.fences[id]
	}
}

// told are the tables of a world that proxies are told of.
func (c *Core) told(w *world) map[logic.TableID]*tables.Table {
	if c.ownership == nil {
		return w.tables
	}
	out := make(map[logic.TableID]*tables.Table, len(w.tables))
	for id, t := range w.tables {
		if t.Fence > 0 {
			out[id] = t
		}
	}
	return out
}

// record puts what a stored version changed where the slices' next holders find it.
func (c *Core) record(w *world, changed []logic.TableID) {
	if c.ownership == nil {
		return
	}
	slices.Sort(changed)
	for _, id := range changed {
		t := w.tables[id]
		if t == nil || t.Fence == 0 || c.ownership.fences[id] != t.Fence {
			continue
		}
		r := Record{Slice: id, Fence: t.Fence, Director: c.svc.Name, At: w.at, Demand: c.rates(logic.Millis(w.at), id), Lines: t.Lines, Hosts: map[tables.Address]tables.Host{}}
		for a := range t.Lines {
			r.Hosts[a] = c.ids.hosts[a].Host
		}
		c.out = append(c.out, r)
	}
}
