package control

import (
	"testing"

	"vetchwood/internal/learn"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// leased gives a rig that holds slices 0 to 3 by a lease, and knows its list.
func leased(t *testing.T) *harness {
	svc := testService(8)
	svc.SlicesLeased, svc.QueriesPeers, svc.Name = true, true, "d1"
	r := newHarness(t, svc, SavedState{})
	r.handle(HostList{upHosts(3)}, Guard{Until: r.now + 60000})
	var all []Given
	for s := range logic.TableID(4) {
		all = append(all, Given{Slice: s, Fence: 100 + uint64(s), Record: &Record{Slice: s, Lines: map[tables.Address]float64{"10.0.0.1:80": 1}}})
	}
	r.handle(Givens{all})
	return r
}

// A director tells what it holds alone, each slice with its fence; one that comes without a record and has no line yet is not
// told, and one that is withdrawn is told no more.
func TestOnlyWhatIsHeldIsTold(t *testing.T) {
	r := leased(t)
	d := r.wantAnswer(r.poll("p1", 0), Full)
	if len(d.Tables) != 4 || d.Tables["2"].Fence != 102 || len(d.Tables["2"].Lines) == 0 {
		t.Fatalf("%+v", d.Tables)
	}
	r.holdWrites = true
	r.handle(Givens{[]Given{{Slice: 6, Fence: 7}}})
	for _, c := range r.pendingWrites {
		for id, table := range c.Tables {
			if id == 6 && len(table.Lines) == 0 && table.Fence > 0 {
				t.Fatalf("slice 6 would be told without a line: %+v", table)
			}
		}
	}
	r.holdWrites = false
	r.handle()
	r.advance(1500)
	d = r.wantAnswer(r.poll("p1", 0), Full)
	if six := d.Tables["6"]; six == nil || six.Fence != 7 || len(six.Lines) == 0 {
		t.Fatalf("slice 6 has lines by now: %+v", six)
	}
	waits := r.poll("p1", 20000, d.Tag())
	r.handle(Withdrawn{2})
	if a := r.answers[waits]; a.Doc == nil || a.Doc.Tables["2"] != nil || a.Doc.Tables["1"] == nil {
		t.Fatalf("withdrawn, and told: %+v", a)
	}
	r.advance(3000)
	for _, table := range r.store.Tables {
		if table.Fence == 0 {
			t.Fatal("a table without a fence is stored")
		}
	}
	if r.store.Tables[2] != nil {
		t.Fatal("the module still writes a slice that was withdrawn")
	}
}

// Past its guard a director answers nothing, and a poll that waited too long is told so; hearing from the store again, it
// goes on with what changed meanwhile.
func TestALeaseThatIsOver(t *testing.T) {
	r := leased(t)
	d := r.wantAnswer(r.poll("p1", 0), Full)
	r.advance(1000)
	d = r.wantAnswer(r.poll("p1", 0), Full)
	waits := r.poll("p1", 20000, d.Tag())
	r.handle(Guard{Until: r.now - 1})
	hosts := upHosts(3)
	hosts[1].State = logic.Draining
	r.handle(HostList{hosts})
	r.advance(1000)
	late := r.poll("p2", 0)
	r.advance(500)
	for _, ticket := range []Ticket{waits, late} {
		if a, there := r.answers[ticket]; there {
			t.Fatalf("answered past its lease: %+v", a)
		}
	}
	r.handle(Guard{Until: r.now + 5000})
	a := r.answers[waits]
	if a.Doc == nil || offers(a.Doc, "10.0.0.1:80") || a.Lease <= 0 || a.Lease > 5000 {
		t.Fatalf("%+v", a)
	}
	r.wantAnswer(late, Full)
	r.handle(Guard{Until: r.now - 1})
	last := r.poll("p1", 100, a.Doc.Tag())
	r.advance(4000)
	r.wantAnswer(last, Busy)
}

// What another director knows reaches the module, is over some time later, and is not told on as our own.
func TestWhatIsLearnt(t *testing.T) {
	r := leased(t)
	d := r.wantAnswer(r.poll("p1", 0), Full)
	ask := func() *learn.Facts {
		r.ticket++
		r.handle(Facts{r.ticket})
		return r.answers[r.ticket].Body.(*learn.Facts)
	}
	heard := *ask()
	heard.Director, heard.Up = "d2", 60000
	heard.Hosts[1].State = learn.Draining
	r.handle(Learnt{[]learn.Heard{{Facts: heard, Age: 3}}})
	r.advance(300)
	d = r.wantAnswer(r.poll("p1", 0), Full)
	if offers(d, "10.0.0.1:80") {
		t.Fatalf("a drain that another knows of: %+v", d.Masked)
	}
	if own := ask(); own.Levels[0].Age > 60000 {
		t.Fatalf("a level of %v ms ago, in a minute's life", own.Levels[0].Age)
	} else if own.Hosts[1].State != learn.Up {
		t.Fatal("what was learnt is told on at first hand")
	}
	r.handle(HostList{upHosts(3)}) // a list that is late
	r.advance(300)
	if d = r.wantAnswer(r.poll("p1", 0), Full); offers(d, "10.0.0.1:80") {
		t.Fatal("a late list undid it")
	}
	r.advance(believeFor)
	if len(r.c.peerStates) > 0 {
		t.Fatal("it is believed for ever")
	}
	r.handle(HostList{upHosts(3)[1:2]}) // the only host now
	r.advance(3000)
	if d = r.wantAnswer(r.poll("p1", 0), Full); !offers(d, "10.0.0.1:80") {
		t.Fatal("the list's word does not hold again")
	}
}

func offers(d *tables.Document, a tables.Address) bool {
	for _, t := range d.Tables {
		if t.Lines[a] > 0 && !d.Masked[a] {
			return true
		}
	}
	return false
}
