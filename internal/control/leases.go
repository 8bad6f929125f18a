package control

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"vetchwood/internal/peerfacts"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// With several directors, each slice is owned by one of them under a lease. A director writes and publishes only the
// tables of the slices that it owns.

// Events about leases.
type (
	// SliceGrant is a slice that this director owns from now on, with the record that its last owner stored, if any.
	SliceGrant struct {
		Slice  logic.TableID
		Fence  uint64
		Record *SliceRecord
	}
	// SliceGrants is a batch of grants. They form a single version, so that each proxy is notified once.
	SliceGrants struct{ Grants []SliceGrant }
	// SliceRevoked reports that this director no longer owns a slice.
	SliceRevoked struct{ Slice logic.TableID }
	// LeaseDeadline is the time until which this director may act for its slices. The next one replaces it.
	LeaseDeadline struct{ Until logic.Millis }
)

// SliceRecord is the stored state of a slice from which its next owner starts.
type SliceRecord struct {
	Slice    logic.TableID                  `json:"slice"`
	Fence    uint64                         `json:"fence"`
	Director string                         `json:"director,omitempty"`
	At       float64                        `json:"at"` // Unix milliseconds, by the clock of the director that wrote it
	Lines    map[tables.Address]float64     `json:"lines"`
	Hosts    map[tables.Address]tables.Host `json:"hosts"`
	Demand   []peerfacts.Demand             `json:"demand,omitempty"`
}

// sliceOwnership is the set of slices that this director owns. It exists only at sites where slices are leased.
type sliceOwnership struct {
	fences   map[logic.TableID]uint64
	previous map[logic.TableID]*tables.Table // from the local store or of revoked slices; used where the lease store has no record
}

// dropAllSlices removes all slices from the opening snapshot, because none is owned yet.
func (d *draft) dropAllSlices() {
	d.c.ownership = &sliceOwnership{fences: map[logic.TableID]uint64{}, previous: d.next.tables}
	d.c.view.leaseEnd = logic.Millis(math.Inf(-1))
	d.change.Tables = map[logic.TableID]*tables.Table{}
	for t := range d.next.tables {
		d.change.Tables[t] = nil
	}
	d.next.tables = map[logic.TableID]*tables.Table{}
}

// ownsSlice reports whether this director may write a slice's table.
func (c *Core) ownsSlice(t logic.TableID) bool {
	return c.ownership == nil || c.ownership.fences[t] > 0
}

func (c *Core) setLeaseDeadline(now logic.Millis, g LeaseDeadline) {
	if c.ownership != nil {
		c.view.leaseEnd, c.view.dirty = g.Until, true
	}
}

// acquireSlices takes slices over in a version of its own. Proxies get them with the stored document, as when they
// join, so the change uses no capacity of the channel.
func (c *Core) acquireSlices(now logic.Millis, grants []SliceGrant) {
	if c.ownership == nil {
		return
	}
	d := c.newDraft(float64(now))
	hostsChanged := false
	for _, g := range grants {
		if g.Fence == 0 || int(g.Slice) >= c.svc.Config.Slices || c.ownership.fences[g.Slice] >= g.Fence {
			continue
		}
		alreadyOwned := c.ownership.fences[g.Slice] > 0
		c.ownership.fences[g.Slice] = g.Fence
		t := d.writableTable(g.Slice)
		if !alreadyOwned {
			lines := map[tables.Address]float64{}
			switch stored := c.ownership.previous[g.Slice]; {
			case g.Record != nil:
				for a, w := range g.Record.Lines {
					if w > 0 && w <= 1e9 {
						_, changed := c.ids.host(c.hostOfRecord(a, g.Record.Hosts[a]))
						lines[a], hostsChanged = w, hostsChanged || changed
					}
				}
			case stored != nil:
				maps.Copy(lines, stored.Lines)
			}
			t.Lines, t.Levels = lines, nil
		}
		// A slice is not published before it has a line. Until then proxies keep the table of its last owner.
		if t.Fence = 0; len(t.Lines) > 0 {
			t.Fence = g.Fence
		}
		if _, pinned := c.pinned[g.Slice]; !pinned && !alreadyOwned {
			c.assignToModule(g.Slice, d.next)
			if g.Record != nil && len(c.expectedDemand[g.Slice]) == 0 {
				// The age relies on the other director's clock. An inexact age is better than no demand at all.
				for _, x := range g.Record.Demand {
					x.Age += max(0, float64(now)-g.Record.At)
					c.expectedDemand[g.Slice] = append(c.expectedDemand[g.Slice], expectedDemand{x, now})
				}
			}
			c.reportExpectedDemand(now, g.Slice)
			c.slicesAssignedAt = now
		}
		c.log(LogEvent{Name: "slice.given", Version: strconv.Itoa(int(d.next.step)), Detail: strconv.Itoa(int(g.Slice)) + " fence " +
			strconv.FormatUint(g.Fence, 10) + map[bool]string{true: "", false: ", no record"}[g.Record != nil]})
	}
	if len(d.copied) == 0 {
		return
	}
	if hostsChanged {
		d.change.Known = maps.Clone(c.ids.hosts)
	}
	c.commitUnsent(now, d)
}

// hostOfRecord returns the list entry of a host in a record. What this director knows of the host has precedence.
func (c *Core) hostOfRecord(a tables.Address, h tables.Host) HostEntry {
	if k, known := c.ids.hosts[a]; known {
		h = k.Host
	}
	return HostEntry{Address: a, ID: h.ID, Zone: h.Zone, Cell: h.Cell}
}

func (c *Core) revokeSlice(now logic.Millis, t logic.TableID) {
	if c.ownership == nil || c.ownership.fences[t] == 0 {
		return
	}
	d := c.newDraft(float64(now))
	d.writableTable(t)
	c.ownership.previous[t] = c.current.tables[t]
	delete(d.next.tables, t)
	d.change.Tables[t] = nil
	delete(c.ownership.fences, t)
	c.events = append(c.events, logic.SliceOwnership{Slice: t, Owned: false})
	c.log(LogEvent{Name: "slice.withdrawn", Version: strconv.Itoa(int(d.next.step)), Detail: strconv.Itoa(int(t))})
	c.commitUnsent(now, d)
}

// commitUnsent commits a version without messages through the channel. Proxies get it once it is stored, like the
// versions that were ordered before they joined.
func (c *Core) commitUnsent(now logic.Millis, d *draft) {
	c.commit(now, d)
	for id, st := range c.proxies {
		st.catchUpTo = max(st.catchUpTo, d.next.step)
		c.catchingUp[id] = true
	}
}

// setFence gives a table the fence of its lease once it has a line.
func (d *draft) setFence(id logic.TableID, t *tables.Table) {
	if c := d.c.ownership; c != nil && len(t.Lines) > 0 {
		t.Fence = c.fences[id]
	}
}

// publishedTables returns the tables of a snapshot that proxies are sent: where slices are leased, those with a fence.
func (c *Core) publishedTables(w *snapshot) map[logic.TableID]*tables.Table {
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

// emitRecords outputs a SliceRecord for each owned slice that a stored version changed. The lease store keeps it for
// the slice's next owner.
func (c *Core) emitRecords(w *snapshot, changed []logic.TableID) {
	if c.ownership == nil {
		return
	}
	slices.Sort(changed)
	for _, id := range changed {
		t := w.tables[id]
		if t == nil || t.Fence == 0 || c.ownership.fences[id] != t.Fence {
			continue
		}
		r := SliceRecord{Slice: id, Fence: t.Fence, Director: c.svc.Name, At: w.at, Demand: c.demandRates(logic.Millis(w.at), id), Lines: t.Lines, Hosts: map[tables.Address]tables.Host{}}
		for a := range t.Lines {
			r.Hosts[a] = c.ids.hosts[a].Host
		}
		c.out = append(c.out, r)
	}
}
