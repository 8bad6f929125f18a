package control

import (
	"testing"

	"vetchwood/internal/peerfacts"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// startLeased returns a harness that owns slices 0 to 3 under a lease and has received a host list.
func startLeased(t *testing.T) *harness {
	svc := testService(8)
	svc.SlicesLeased, svc.QueriesPeers, svc.Name = true, true, "d1"
	h := newHarness(t, svc, SavedState{})
	h.handle(HostList{upHosts(3)}, LeaseDeadline{Until: h.now + 60000})
	var all []SliceGrant
	for s := range logic.TableID(4) {
		all = append(all, SliceGrant{Slice: s, Fence: 100 + uint64(s), Record: &SliceRecord{Slice: s, Lines: map[tables.Address]float64{"10.0.0.1:80": 1}}})
	}
	h.handle(SliceGrants{all})
	return h
}

// A director publishes only the slices that it owns, each with its fence. A slice granted without a record is not
// published before it has a line, and a revoked slice is no longer published.
func TestOnlyOwnedSlicesArePublished(t *testing.T) {
	h := startLeased(t)
	d := h.wantAnswer(h.poll("p1", 0), Full)
	if len(d.Tables) != 4 || d.Tables["2"].Fence != 102 || len(d.Tables["2"].Lines) == 0 {
		t.Fatalf("%+v", d.Tables)
	}
	h.holdWrites = true
	h.handle(SliceGrants{[]SliceGrant{{Slice: 6, Fence: 7}}})
	for _, c := range h.pendingWrites {
		for id, table := range c.Tables {
			if id == 6 && len(table.Lines) == 0 && table.Fence > 0 {
				t.Fatalf("slice 6 would be published without a line: %+v", table)
			}
		}
	}
	h.holdWrites = false
	h.handle()
	h.advance(1500)
	d = h.wantAnswer(h.poll("p1", 0), Full)
	if table := d.Tables["6"]; table == nil || table.Fence != 7 || len(table.Lines) == 0 {
		t.Fatalf("slice 6 is not published with its fence and lines: %+v", table)
	}
	pending := h.poll("p1", 20000, d.Tag())
	h.handle(SliceRevoked{2})
	if a := h.answers[pending]; a.Doc == nil || a.Doc.Tables["2"] != nil || a.Doc.Tables["1"] == nil {
		t.Fatalf("slice 2 is revoked, but the answer is: %+v", a)
	}
	h.advance(3000)
	for _, table := range h.store.Tables {
		if table.Fence == 0 {
			t.Fatal("a table without a fence is stored")
		}
	}
	if h.store.Tables[2] != nil {
		t.Fatal("the decision module still writes a revoked slice")
	}
}

// After its lease deadline a director sends no tables, and a poll that waited too long is answered as busy. Once the
// lease is renewed, it answers with the changes made meanwhile.
func TestNoAnswersAfterTheLeaseExpires(t *testing.T) {
	h := startLeased(t)
	d := h.wantAnswer(h.poll("p1", 0), Full)
	h.advance(1000)
	d = h.wantAnswer(h.poll("p1", 0), Full)
	pending := h.poll("p1", 20000, d.Tag())
	h.handle(LeaseDeadline{Until: h.now - 1})
	hosts := upHosts(3)
	hosts[1].State = logic.Draining
	h.handle(HostList{hosts})
	h.advance(1000)
	late := h.poll("p2", 0)
	h.advance(500)
	for _, ticket := range []Ticket{pending, late} {
		if a, answered := h.answers[ticket]; answered {
			t.Fatalf("answered after the lease expired: %+v", a)
		}
	}
	h.handle(LeaseDeadline{Until: h.now + 5000})
	a := h.answers[pending]
	if a.Doc == nil || isOffered(a.Doc, "10.0.0.1:80") || a.Lease <= 0 || a.Lease > 5000 {
		t.Fatalf("%+v", a)
	}
	h.wantAnswer(late, Full)
	h.handle(LeaseDeadline{Until: h.now - 1})
	last := h.poll("p1", 100, a.Doc.Tag())
	h.advance(4000)
	h.wantAnswer(last, Busy)
}

// A peer's facts reach the decision module, override the host list for peerStateTTL and are not passed on as this
// director's own facts.
func TestPeerFactsAreApplied(t *testing.T) {
	h := startLeased(t)
	d := h.wantAnswer(h.poll("p1", 0), Full)
	query := func() *peerfacts.Facts {
		h.ticket++
		h.handle(FactsQuery{h.ticket})
		return h.answers[h.ticket].Body.(*peerfacts.Facts)
	}
	facts := *query()
	facts.Director, facts.Uptime = "d2", 60000
	facts.Hosts[1].State = peerfacts.Draining
	h.handle(PeerFacts{[]peerfacts.Report{{Facts: facts, Age: 3}}})
	h.advance(300)
	d = h.wantAnswer(h.poll("p1", 0), Full)
	if isOffered(d, "10.0.0.1:80") {
		t.Fatalf("a host that drains by a peer's facts is still offered; masked: %+v", d.Masked)
	}
	if own := query(); own.Levels[0].Age > 60000 {
		t.Fatalf("level age is %v ms, though the director started less than a minute ago", own.Levels[0].Age)
	} else if own.Hosts[1].State != peerfacts.Up {
		t.Fatal("a state learnt from a peer is passed on as the director's own")
	}
	h.handle(HostList{upHosts(3)}) // a list that does not have the drain yet
	h.advance(300)
	if d = h.wantAnswer(h.poll("p1", 0), Full); isOffered(d, "10.0.0.1:80") {
		t.Fatal("a late host list overrode the peer's state")
	}
	h.advance(peerStateTTL)
	if len(h.c.peerStates) > 0 {
		t.Fatal("the peer's state did not expire")
	}
	h.handle(HostList{upHosts(3)[1:2]}) // the only host now
	h.advance(3000)
	if d = h.wantAnswer(h.poll("p1", 0), Full); !isOffered(d, "10.0.0.1:80") {
		t.Fatal("the host list is not in force again")
	}
}

func isOffered(d *tables.Document, a tables.Address) bool {
	for _, t := range d.Tables {
		if t.Lines[a] > 0 && !d.Masked[a] {
			return true
		}
	}
	return false
}
