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
	r := newHarness(t, svc, SavedState{})
	r.handle(HostList{upHosts(3)}, LeaseDeadline{Until: r.now + 60000})
	var all []SliceGrant
	for s := range logic.TableID(4) {
		all = append(all, SliceGrant{Slice: s, Fence: 100 + uint64(s), Record: &SliceRecord{Slice: s, Lines: map[tables.Address]float64{"10.0.0.1:80": 1}}})
	}
	r.handle(SliceGrants{all})
	return r
}

// A director publishes only the slices that it owns, each with its fence. A slice granted without a record is not
// published before it has a line, and a revoked slice is no longer published.
func TestOnlyOwnedSlicesArePublished(t *testing.T) {
	r := startLeased(t)
	d := r.wantAnswer(r.poll("p1", 0), Full)
	if len(d.Tables) != 4 || d.Tables["2"].Fence != 102 || len(d.Tables["2"].Lines) == 0 {
		t.Fatalf("%+v", d.Tables)
	}
	r.holdWrites = true
	r.handle(SliceGrants{[]SliceGrant{{Slice: 6, Fence: 7}}})
	for _, c := range r.pendingWrites {
		for id, table := range c.Tables {
			if id == 6 && len(table.Lines) == 0 && table.Fence > 0 {
				t.Fatalf("slice 6 would be published without a line: %+v", table)
			}
		}
	}
	r.holdWrites = false
	r.handle()
	r.advance(1500)
	d = r.wantAnswer(r.poll("p1", 0), Full)
	if table := d.Tables["6"]; table == nil || table.Fence != 7 || len(table.Lines) == 0 {
		t.Fatalf("slice 6 is not published with its fence and lines: %+v", table)
	}
	pending := r.poll("p1", 20000, d.Tag())
	r.handle(SliceRevoked{2})
	if a := r.answers[pending]; a.Doc == nil || a.Doc.Tables["2"] != nil || a.Doc.Tables["1"] == nil {
		t.Fatalf("slice 2 is revoked, but the answer is: %+v", a)
	}
	r.advance(3000)
	for _, table := range r.store.Tables {
		if table.Fence == 0 {
			t.Fatal("a table without a fence is stored")
		}
	}
	if r.store.Tables[2] != nil {
		t.Fatal("the decision module still writes a revoked slice")
	}
}

// After its lease deadline a director sends no tables, and a poll that waited too long is answered as busy. Once the
// lease is renewed, it answers with the changes made meanwhile.
func TestNoAnswersAfterTheLeaseExpires(t *testing.T) {
	r := startLeased(t)
	d := r.wantAnswer(r.poll("p1", 0), Full)
	r.advance(1000)
	d = r.wantAnswer(r.poll("p1", 0), Full)
	pending := r.poll("p1", 20000, d.Tag())
	r.handle(LeaseDeadline{Until: r.now - 1})
	hosts := upHosts(3)
	hosts[1].State = logic.Draining
	r.handle(HostList{hosts})
	r.advance(1000)
	late := r.poll("p2", 0)
	r.advance(500)
	for _, ticket := range []Ticket{pending, late} {
		if a, answered := r.answers[ticket]; answered {
			t.Fatalf("answered after the lease expired: %+v", a)
		}
	}
	r.handle(LeaseDeadline{Until: r.now + 5000})
	a := r.answers[pending]
	if a.Doc == nil || isOffered(a.Doc, "10.0.0.1:80") || a.Lease <= 0 || a.Lease > 5000 {
		t.Fatalf("%+v", a)
	}
	r.wantAnswer(late, Full)
	r.handle(LeaseDeadline{Until: r.now - 1})
	last := r.poll("p1", 100, a.Doc.Tag())
	r.advance(4000)
	r.wantAnswer(last, Busy)
}

// A peer's facts reach the decision module, override the host list for peerStateTTL and are not passed on as this
// director's own facts.
func TestPeerFactsAreApplied(t *testing.T) {
	r := startLeased(t)
	d := r.wantAnswer(r.poll("p1", 0), Full)
	query := func() *peerfacts.Facts {
		r.ticket++
		r.handle(FactsQuery{r.ticket})
		return r.answers[r.ticket].Body.(*peerfacts.Facts)
	}
	facts := *query()
	facts.Director, facts.Uptime = "d2", 60000
	facts.Hosts[1].State = peerfacts.Draining
	r.handle(PeerFacts{[]peerfacts.Report{{Facts: facts, Age: 3}}})
	r.advance(300)
	d = r.wantAnswer(r.poll("p1", 0), Full)
	if isOffered(d, "10.0.0.1:80") {
		t.Fatalf("a host that drains by a peer's facts is still offered; masked: %+v", d.Masked)
	}
	if own := query(); own.Levels[0].Age > 60000 {
		t.Fatalf("level age is %v ms, though the director started less than a minute ago", own.Levels[0].Age)
	} else if own.Hosts[1].State != peerfacts.Up {
		t.Fatal("a state learnt from a peer is passed on as the director's own")
	}
	r.handle(HostList{upHosts(3)}) // a list that does not have the drain yet
	r.advance(300)
	if d = r.wantAnswer(r.poll("p1", 0), Full); isOffered(d, "10.0.0.1:80") {
		t.Fatal("a late host list overrode the peer's state")
	}
	r.advance(peerStateTTL)
	if len(r.c.peerStates) > 0 {
		t.Fatal("the peer's state did not expire")
	}
	r.handle(HostList{upHosts(3)[1:2]}) // the only host now
	r.advance(3000)
	if d = r.wantAnswer(r.poll("p1", 0), Full); !isOffered(d, "10.0.0.1:80") {
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
