// Package relaystate tracks the joined proxies and the stored lines of the slices that the director owns, as reported
// by the relay, and turns changes into events for the decision module. Each subscription begins with a snapshot of the
// present state; whatever was known and is not in the snapshot is gone. The package does no I/O and reads no clock:
// callers pass the time in.
package relaystate

import (
	"maps"
	"slices"

	"vetchwood/internal/platform/codec"
	"vetchwood/internal/platform/outbox"
	"vetchwood/logic"
)

// collectQuietPeriod is how long a newly assigned slice is held back after its latest line: the module needs the
// assignment and the lines together, and the network may deliver them in pieces. A line that arrives later causes the
// slice to be reported again.
const collectQuietPeriod logic.Millis = 25

// snapshotQuietPeriod is the pause after which a snapshot counts as complete. A partial snapshot covers only part of
// the fleet: orders computed for that part go to all proxies and fill the channel past its limit.
const snapshotQuietPeriod logic.Millis = 200

// weightTable holds the lines of a table: the weight of each host.
type weightTable = map[logic.HostID]float64

// sliceState is what is known of a slice that the director owns.
type sliceState struct {
	lines         weightTable  // lines in the store, as far as known
	announced     bool         // the module knows of the slice
	ordersApplied bool         // orders for it were applied since the snapshot began
	updatedAt     logic.Millis // when it was assigned or its latest line arrived
	collected     weightTable  // lines received since it was assigned; nil: none are being collected
	mustAnnounce  bool         // report it even if its lines did not change
	ordersDropped bool         // orders for it were dropped, so the module's view may be wrong: report it in any case
}

// Tracker tracks the proxies and slices of one director.
type Tracker struct {
	proxies map[logic.ProxyID]logic.ProxyJoined
	slices  map[logic.TableID]*sliceState

	inSnapshot      bool                   // a snapshot is being received
	snapshotAt      logic.Millis           // when its latest item arrived; 0: none has yet
	continuous      bool                   // no notification can have been missed before the snapshot
	snapshotProxies map[logic.ProxyID]bool // proxies in the snapshot so far
	snapshotSlices  map[logic.TableID]bool // slices in the snapshot so far
	collecting      map[logic.TableID]bool // slices being collected, to avoid visiting all of them per notification
	// DiscardOrders is called for each slice whose queued orders are void.
	DiscardOrders func(logic.TableID)
}

// New returns a tracker that knows no proxies and no slices.
func New() *Tracker {
	return &Tracker{proxies: map[logic.ProxyID]logic.ProxyJoined{}, slices: map[logic.TableID]*sliceState{}, collecting: map[logic.TableID]bool{},
		DiscardOrders: func(logic.TableID) {}}
}

// Counts returns the number of joined proxies and of owned slices.
func (tr *Tracker) Counts() (proxies, slices int) { return len(tr.proxies), len(tr.slices) }

// BeginSnapshot starts a snapshot, which follows the acceptance of a subscription. It is continuous if the previous
// subscription delivered all notifications up to now, so that no proxy can have left and rejoined unnoticed.
func (tr *Tracker) BeginSnapshot(continuous bool) {
	tr.inSnapshot, tr.continuous, tr.snapshotAt = true, continuous, 0
	tr.snapshotProxies, tr.snapshotSlices = map[logic.ProxyID]bool{}, map[logic.TableID]bool{}
	for _, s := range tr.slices {
		s.ordersApplied, s.collected = false, nil
	}
	clear(tr.collecting)
}

// Handle processes one notification and returns the events that follow from it and from the lines collected before it.
func (tr *Tracker) Handle(now logic.Millis, in codec.Notification) (events []any) {
	if tr.inSnapshot {
		tr.snapshotAt = now
	}
	if record, is := in.Event.(logic.StoredLine); is {
		return tr.lineRecorded(now, record)
	}
	if change, is := in.Event.(logic.SliceOwnership); is && change.Owned {
		return tr.sliceAssigned(now, change.Slice)
	}
	if _, is := in.Event.(logic.ProxyJoined); !is {
		// A snapshot consists of joined proxies, assigned slices and lines only: anything else comes after it.
		events = append(tr.FlushCollected(now, true), tr.endSnapshot()...)
	}
	switch n := in.Event.(type) {
	case logic.ProxyJoined:
		events = append(events, tr.proxyJoined(n)...)
	case logic.ProxyLeft:
		if _, known := tr.proxies[n.Proxy]; known {
			delete(tr.proxies, n.Proxy)
			events = append(events, n)
		}
	case logic.SliceOwnership:
		events = append(events, tr.sliceRemoved(n.Slice)...)
	case logic.Acknowledged:
		if _, known := tr.proxies[n.Proxy]; known {
			events = append(events, n)
		}
	}
	return events
}

// proxyJoined records a proxy and returns the events. A proxy that was known before a gap may have left and rejoined
// during the gap, and so lack the masks and levels written meanwhile, or may have been connected all along. The module
// is told that it joined but not that it left, since messages to it may still be queued in the channel. Without a gap
// it is the same connection, and there is no event.
func (tr *Tracker) proxyJoined(n logic.ProxyJoined) (events []any) {
	was, known := tr.proxies[n.Proxy]
	tr.proxies[n.Proxy] = n
	if first := tr.inSnapshot && !tr.snapshotProxies[n.Proxy]; first {
		tr.snapshotProxies[n.Proxy] = true
		if known && !n.Fresh && was.Zone == n.Zone {
			if tr.continuous {
				return nil
			}
			return append(events, n)
		}
	}
	if known {
		events = append(events, logic.ProxyLeft{Proxy: n.Proxy})
	}
	return append(events, n)
}

// sliceAssigned starts to collect the lines of an assigned slice.
func (tr *Tracker) sliceAssigned(now logic.Millis, t logic.TableID) (events []any) {
	s := tr.slices[t]
	if s == nil {
		s = &sliceState{lines: weightTable{}}
		tr.slices[t] = s
	}
	if s.mustAnnounce = !tr.inSnapshot || !s.announced || s.ordersDropped; tr.inSnapshot {
		tr.snapshotSlices[t] = true
	}
	s.updatedAt, s.collected, tr.collecting[t] = now, weightTable{}, true
	return nil
}

// lineRecorded adds a line of the store to those collected for its slice.
func (tr *Tracker) lineRecorded(now logic.Millis, n logic.StoredLine) []any {
	s := tr.slices[n.Slice]
	if s == nil {
		return nil // a line of a slice that this director does not own
	}
	if s.collected == nil { // the line arrived after the slice was reported
		s.collected, s.mustAnnounce = maps.Clone(s.lines), true
		if s.collected == nil {
			s.collected = weightTable{}
		}
	}
	s.updatedAt, tr.collecting[n.Slice] = now, true
	s.collected[n.Host] = n.Weight
	return nil
}

// sliceRemoved drops a slice that the director no longer owns.
func (tr *Tracker) sliceRemoved(t logic.TableID) (events []any) {
	if s := tr.slices[t]; s != nil {
		delete(tr.slices, t)
		delete(tr.collecting, t)
		tr.DiscardOrders(t)
		if s.announced {
			events = append(events, logic.SliceOwnership{Slice: t})
		}
	}
	return events
}

// SnapshotDeadline returns the time until which only part of the snapshot may be known, or 0 if it is complete. Any
// notification that is not part of a snapshot ends it, the relay's heartbeat at the latest.
func (tr *Tracker) SnapshotDeadline(now logic.Millis) (until logic.Millis) {
	if !tr.inSnapshot || tr.snapshotAt == 0 || now >= tr.snapshotAt+snapshotQuietPeriod {
		return 0
	}
	return tr.snapshotAt + snapshotQuietPeriod
}

// CollectDeadline returns the time until which further lines of an assigned slice are awaited, or 0 if none are.
func (tr *Tracker) CollectDeadline() (until logic.Millis) {
	for t := range tr.collecting {
		if s := tr.slices[t]; until == 0 || s.updatedAt+collectQuietPeriod < until {
			until = s.updatedAt + collectQuietPeriod
		}
	}
	return until
}

// FlushCollected returns the events of the slices whose lines are complete because no further line arrived within
// collectQuietPeriod, or of all collected slices.
func (tr *Tracker) FlushCollected(now logic.Millis, all bool) (events []any) {
	for _, t := range slices.Sorted(maps.Keys(tr.collecting)) {
		s := tr.slices[t]
		if !all && now < s.updatedAt+collectQuietPeriod {
			continue
		}
		lines := s.collected
		s.collected = nil
		delete(tr.collecting, t)
		// An unchanged slice is not reported, since the module would discard all samples it has of the slice. If this
		// director's own orders were applied during the snapshot, the snapshot may be older than they are.
		if !s.mustAnnounce && s.announced && (s.ordersApplied || maps.Equal(lines, s.lines)) {
			continue
		}
		s.lines, s.announced, s.ordersDropped = lines, true, false
		tr.DiscardOrders(t)
		events = append(events, tr.SliceEvents(t)...)
	}
	return events
}

// SliceEvents returns the events that report a slice to the module as the store has it.
func (tr *Tracker) SliceEvents(t logic.TableID) (events []any) {
	s := tr.slices[t]
	if s == nil || !s.announced {
		return nil
	}
	events = append(events, logic.SliceOwnership{Slice: t, Owned: true})
	for _, h := range slices.Sorted(maps.Keys(s.lines)) {
		events = append(events, logic.StoredLine{Slice: t, Host: h, Weight: s.lines[h]})
	}
	return events
}

// endSnapshot completes the snapshot: proxies that were not in it have left, and slices that were not in it are no
// longer owned.
func (tr *Tracker) endSnapshot() (events []any) {
	if !tr.inSnapshot {
		return nil
	}
	tr.inSnapshot = false
	for _, p := range slices.Sorted(maps.Keys(tr.proxies)) {
		if !tr.snapshotProxies[p] {
			delete(tr.proxies, p)
			events = append(events, logic.ProxyLeft{Proxy: p})
		}
	}
	for _, t := range slices.Sorted(maps.Keys(tr.slices)) {
		if !tr.snapshotSlices[t] {
			events = append(events, tr.sliceRemoved(t)...)
		}
	}
	return events
}

// OrdersApplied records orders that the relay has applied.
func (tr *Tracker) OrdersApplied(ops []outbox.Op) {
	for _, o := range ops {
		s := tr.slices[o.Table]
		if s == nil {
			continue
		}
		s.ordersApplied = true
		switch {
		case o.Kind == outbox.Clear:
			s.lines = weightTable{}
		case o.Kind == outbox.Line && o.Weight > 0:
			s.lines[o.Host] = o.Weight
		case o.Kind == outbox.Line:
			delete(s.lines, o.Host)
		}
	}
}

// ResyncSlice is called when orders for a slice were dropped, so that the module's view of it may be wrong. It returns
// the events that report the slice again, or none if the snapshot in progress is going to report it.
func (tr *Tracker) ResyncSlice(t logic.TableID) []any {
	s := tr.slices[t]
	if s == nil {
		return nil
	}
	if tr.inSnapshot && (!tr.snapshotSlices[t] || s.collected != nil) {
		s.mustAnnounce, s.ordersDropped = true, true
		return nil
	}
	return tr.SliceEvents(t)
}

// ResyncProxies returns the events that report all proxies as newly joined, because orders for them may not have
// reached them.
func (tr *Tracker) ResyncProxies() (events []any) {
	for _, p := range slices.Sorted(maps.Keys(tr.proxies)) {
		n := tr.proxies[p]
		n.Fresh = false
		events = append(events, n)
	}
	return events
}
