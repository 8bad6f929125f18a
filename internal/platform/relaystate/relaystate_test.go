package relaystate

import (
	"fmt"
	"strings"
	"testing"

	"vetchwood/internal/platform/codec"
	"vetchwood/internal/platform/outbox"
	"vetchwood/logic"
)

// play feeds notifications given in a short notation to the tracker and returns its events in the same notation: j1
// joined, J1 joined without a table, l1 left, g1 assigned, t1 removed, h1.5 a line of slice 1 for host 5, a1 applied,
// p heartbeat.
func play(tr *Tracker, now logic.Millis, notation string) string {
	var events []any
	for _, item := range strings.Fields(notation) {
		var n, host int
		fmt.Sscanf(item[1:], "%d.%d", &n, &host)
		in := map[byte]any{'j': logic.ProxyJoined{Proxy: logic.ProxyID(n)}, 'J': logic.ProxyJoined{Proxy: logic.ProxyID(n), Fresh: true},
			'l': logic.ProxyLeft{Proxy: logic.ProxyID(n)}, 'g': logic.SliceOwnership{Slice: logic.TableID(n), Owned: true}, 't': logic.SliceOwnership{Slice: logic.TableID(n)},
			'h': logic.StoredLine{Slice: logic.TableID(n), Host: logic.HostID(host), Weight: 1}, 'a': logic.Acknowledged{Proxy: logic.ProxyID(n)}}[item[0]]
		events = append(events, tr.Handle(now, codec.Notification{Event: in})...)
	}
	return format(events)
}

// format writes events in the notation of play.
func format(events []any) string {
	var out []string
	for _, n := range events {
		switch n := n.(type) {
		case logic.ProxyJoined:
			out = append(out, fmt.Sprintf("%c%d", map[bool]rune{true: 'J', false: 'j'}[n.Fresh], n.Proxy))
		case logic.ProxyLeft:
			out = append(out, fmt.Sprintf("l%d", n.Proxy))
		case logic.SliceOwnership:
			out = append(out, fmt.Sprintf("%c%d", map[bool]rune{true: 'g', false: 't'}[n.Owned], n.Slice))
		case logic.StoredLine:
			out = append(out, fmt.Sprintf("h%d.%d", n.Slice, n.Host))
		case logic.Acknowledged:
			out = append(out, fmt.Sprintf("a%d", n.Proxy))
		}
	}
	return strings.Join(out, " ")
}

func expect(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("events are %q, want %q", got, want)
	}
}

// newTracker returns a tracker that has received a first snapshot.
func newTracker(t *testing.T) *Tracker {
	t.Helper()
	tr := New()
	tr.BeginSnapshot(false)
	expect(t, play(tr, 0, "J1 j2 j3 g1 h1.5 h1.6 g2 h2.5 p"), "J1 j2 j3 g1 h1.5 h1.6 g2 h2.5")
	return tr
}

// Proxies that were known before a gap are reported as joined, since masks written during the gap may not have reached
// them. They are reported as left only where that is certain, since messages to the others may still be queued in the
// channel.
func TestMissingProxiesLeaveAndOthersRejoinAfterGap(t *testing.T) {
	tr := newTracker(t)
	tr.BeginSnapshot(false)
	expect(t, play(tr, 100, "j1 J2 g1 h1.5 h1.6"), "j1 l2 J2") // proxy 2 has no table: its stream is a new one
	expect(t, play(tr, 150, "a1"), "l3 t2 a1")                 // slice 1 is unchanged: no event, so its samples stay
	expect(t, play(tr, 200, "j1"), "l1 j1")                    // outside a snapshot, a repeated join is a new stream
}

func TestResyncProxiesReportsAllAsJoined(t *testing.T) {
	tr := newTracker(t)
	expect(t, format(tr.ResyncProxies()), "j1 j2 j3")
}

func TestNoRepeatedEventsWithoutGap(t *testing.T) {
	tr := newTracker(t)
	tr.BeginSnapshot(true)
	expect(t, play(tr, 100, "j1 J2 j3 g1 h1.5 h1.6 g2 h2.5 p"), "l2 J2")
}

func TestLinesChangedInGapAreReported(t *testing.T) {
	tr := newTracker(t)
	tr.BeginSnapshot(true)
	expect(t, play(tr, 100, "j1 j2 j3 g1 h1.7 g2 h2.5 p"), "g1 h1.7")
}

func TestOwnOrdersAreNotReportedAsChanges(t *testing.T) {
	tr := newTracker(t)
	tr.OrdersApplied([]outbox.Op{{Kind: outbox.Line, Table: 1, Host: 7, Weight: 1}, {Kind: outbox.Line, Table: 1, Host: 5}})
	tr.BeginSnapshot(true)
	expect(t, play(tr, 100, "j1 j2 j3 g1 h1.6 h1.7 g2 h2.5 p"), "")
	tr.BeginSnapshot(true) // the snapshot may be older than an order applied while it was read
	tr.OrdersApplied([]outbox.Op{{Kind: outbox.Line, Table: 2, Host: 9, Weight: 1}})
	expect(t, play(tr, 200, "j1 j2 j3 g1 h1.6 h1.7 g2 h2.5 p"), "")
	expect(t, format(tr.SliceEvents(2)), "g2 h2.5 h2.9")
}

func TestAssignmentIsReportedWithItsLines(t *testing.T) {
	tr := newTracker(t)
	expect(t, play(tr, 100, "g3 h3.5"), "")
	if until := tr.CollectDeadline(); until <= 100 || until > 150 {
		t.Errorf("lines are collected until %v, want (100, 150]", until)
	}
	expect(t, format(tr.FlushCollected(101, false)), "")
	expect(t, play(tr, 110, "h3.6"), "")
	expect(t, format(tr.FlushCollected(140, false)), "g3 h3.5 h3.6")
	expect(t, play(tr, 200, "h3.7"), "") // a late line: the slice is reported again, with its earlier lines
	expect(t, format(tr.FlushCollected(230, false)), "g3 h3.5 h3.6 h3.7")
	expect(t, play(tr, 300, "g4 g4 h4.1 t3 t4 t9 h9.1"), "g4 h4.1 t3 t4")
	if tr.CollectDeadline() != 0 {
		t.Error("lines are still being collected")
	}
}

func TestReassignedSliceIsReportedAgain(t *testing.T) {
	tr := newTracker(t)
	var discarded []logic.TableID
	tr.DiscardOrders = func(t logic.TableID) { discarded = append(discarded, t) }
	expect(t, play(tr, 100, "t1 g1 h1.5 p"), "t1 g1 h1.5")
	if len(discarded) != 2 {
		t.Errorf("orders of %v were discarded, want two slices", discarded)
	}
}

func TestUnknownProxiesAndSlicesCauseNoEvents(t *testing.T) {
	expect(t, play(newTracker(t), 10, "l9 a9 t9 h9.1 j2 l2 l2"), "l2 j2 l2")
}

// Until a snapshot is complete, only part of the fleet is known. Found on zone+mass (issue 34): after an interrupted
// connection a director computed 378 orders for the 897 proxies reported so far. They went to 2,424 proxies, and
// 641,311 lines were queued where the limit is 532,500.
func TestSnapshotDeadlineHoldsUntilSnapshotIsComplete(t *testing.T) {
	tr := New()
	incomplete := func(now logic.Millis, want bool) {
		t.Helper()
		if got := tr.SnapshotDeadline(now) > 0; got != want {
			t.Errorf("at %v: snapshot incomplete = %v, want the opposite", now, got)
		}
	}
	incomplete(1000, false)
	tr.BeginSnapshot(false)
	incomplete(1000, false) // nothing received yet: the earlier state still applies
	play(tr, 1000, "J1 j2")
	incomplete(1000+snapshotQuietPeriod-1, true)
	play(tr, 1000+snapshotQuietPeriod-1, "j3 g1 h1.5")
	incomplete(1000+2*snapshotQuietPeriod-2, true)
	incomplete(1000+2*snapshotQuietPeriod, false) // a pause
	play(tr, 1000+2*snapshotQuietPeriod, "j4")
	incomplete(1000+2*snapshotQuietPeriod, true)
	play(tr, 1000+2*snapshotQuietPeriod, "p")
	incomplete(1000+2*snapshotQuietPeriod, false) // the heartbeat follows the snapshot
}
