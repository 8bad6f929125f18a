package control

import (
	"encoding/json"
	"fmt"
	"regexp"
	"testing"

	"vetchwood/internal/park"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// rig drives a core by hand: time goes on in beats, and what is to be stored is stored at once unless held.
type rig struct {
	t       *testing.T
	c       *Core
	lot     *park.Lot
	now     logic.Millis
	disk    Saved
	hold    bool
	held    []Change
	answers map[Ticket]Answer
	probes  int
	ticket  Ticket
}

func service(slices int) Service {
	return Service{Zones: []string{"a", "b"}, Pick: "lottery", ProxyNames: regexp.MustCompile(`^p[0-9]$`), Lease: 2000,
		LongestWait: 30000, Kept: 16, Routes: []RouteInfo{{"read", tables.Route{Level: tables.Level{Level: 1, RetryMode: 1},
			Idempotency: "repeatable", SLOMs: 1000, TimeLimitMs: 3000, Importance: 1}}},
		Facts: logic.Config{Directors: 1, Proxies: 4, Slices: slices, LinesPerSecond: 1000, QueueLimit: 1000, MessageOverhead: 4,
			Transit: 5, WorstTransit: 50, DrainGrace: 2000, WarmAfter: 10000, ColdFailAfter: 1500, ColdOverloadLimit: 3, ColdCapacity: 0.2,
			EmptyTableLimit: 2000, ReportInterval: 500, ReportLinesPerSecond: 100, MessageWindow: 10000, Levels: logic.LevelShare,
			Routes: []logic.Route{{SLO: 1000, TimeLimit: 3000, Importance: 1, Idempotency: logic.Idempotent}}}}
}

func start(t *testing.T, svc Service, disk Saved) *rig {
	r := &rig{t: t, now: 1e12, disk: disk, answers: map[Ticket]Answer{}}
	if disk.Line == 0 {
		r.disk = Saved{Line: 42, Tables: map[logic.TableID]*tables.Table{}, Bound: map[logic.ProxyID][]logic.TableID{}}
	}
	r.raise(svc)
	return r
}

func (r *rig) raise(svc Service) {
	var out []any
	r.lot = park.NewLot(0, 1, park.Terms{LongestWait: svc.LongestWait, Lease: svc.Lease, Zones: svc.Zones}, r.now)
	r.c, out = New(5, r.now, svc, r.disk)
	r.carry(out)
}

// write is what the store does, through its encoding.
func (r *rig) write(c Change) {
	text, err := json.Marshal(c)
	if err != nil {
		r.t.Fatal(err)
	}
	c = Change{}
	if err := json.Unmarshal(text, &c); err != nil {
		r.t.Fatal(err)
	}
	if c.Step > 0 && c.Step <= r.disk.Step {
		r.t.Fatalf("step %d is written after %d", c.Step, r.disk.Step)
	}
	r.disk.Apply(c)
}

// heard carries on what the lot says.
func (r *rig) heard(said park.Said) {
	for _, a := range said.Answers {
		r.answer(a)
	}
	if len(said.Core) > 0 {
		r.carry(r.c.Handle(r.now, said.Core))
	}
}

func (r *rig) answer(o Answer) {
	if _, twice := r.answers[o.Ticket]; twice {
		r.t.Fatalf("ticket %d is answered twice", o.Ticket)
	}
	if o.Doc != nil && (o.Kind == Whole || o.Kind == Delta) && o.Doc.Step > r.disk.Step {
		r.t.Fatalf("step %d is told, but only %d is stored", o.Doc.Step, r.disk.Step)
	}
	r.answers[o.Ticket] = o
}

func (r *rig) carry(out []any) {
	for _, o := range out {
		switch o := o.(type) {
		case Answer:
			r.answer(o)
		case Publish:
			r.heard(r.lot.See(r.now, o.View))
			if o.Barrier {
				r.carry(r.c.Handle(r.now, []any{Passed{}}))
			}
		case park.Tell, park.Turned:
			r.heard(r.lot.Told(r.now, o))
		case Persist:
			r.held = append(r.held, o.Change)
		case Probe:
			r.probes++
		}
	}
	for !r.hold && len(r.held) > 0 {
		c := r.held[0]
		r.held = r.held[1:]
		if r.write(c); c.Step > 0 {
			r.carry(r.c.Handle(r.now, []any{Stored{c.Step}}))
		}
	}
}

func (r *rig) do(in ...any) {
	r.t.Helper()
	var rest []any
	for _, i := range in {
		switch i := i.(type) {
		case Poll:
			r.heard(r.lot.Poll(r.now, i))
		case Broke:
			r.heard(r.lot.Broke(r.now, i))
		default:
			rest = append(rest, i)
		}
	}
	r.heard(r.lot.Turn(r.now))
	r.carry(r.c.Handle(r.now, rest))
}

func (r *rig) pass(d logic.Millis) {
	for end := r.now + d; r.now < end; {
		r.now = min(end, max(r.now+1, r.c.Wake()), r.now+10)
		r.do()
	}
}

func (r *rig) poll(proxy string, wait logic.Millis, held ...tables.Tag) Ticket {
	r.ticket++
	r.do(Poll{Ticket: r.ticket, Proxy: proxy, Zone: "a", Wait: wait, Held: held, WantsDelta: true})
	return r.ticket
}

func (r *rig) want(t Ticket, kind AnswerKind) *tables.Document {
	r.t.Helper()
	a, there := r.answers[t]
	if !there || a.Kind != kind {
		r.t.Fatalf("ticket %d: answered %v with kind %d (%s), wanted %d", t, there, a.Kind, a.Why, kind)
	}
	return a.Doc
}

func up(n int) (out []Listed) {
	for i := range n {
		out = append(out, Listed{ID: fmt.Sprintf("h%d", i), Address: tables.Address(fmt.Sprintf("10.0.0.%d:80", i)), Zone: "a",
			Cell: fmt.Sprint(i / 2), Weight: 1})
	}
	return out
}

// settled gives a rig whose slices all have lines, and a document that a proxy of it holds.
func settled(t *testing.T, hosts int) (*rig, *tables.Document) {
	r := start(t, service(8), Saved{})
	r.do(List{up(hosts)})
	r.pass(1500)
	d := r.want(r.poll("p1", 0), Whole)
	for name, table := range d.Tables {
		if len(table.Lines) == 0 {
			t.Fatalf("table %s has no lines", name)
		}
	}
	// Levels are stated to a proxy that joins; from then on all is quiet.
	for range 4 {
		r.pass(900)
		if a := r.answers[r.poll("p1", 0, d.Tag())]; a.Doc != nil {
			d = a.Doc
		}
	}
	return r, d
}

func TestAPollWaitsForAChangeAndGetsTheDifference(t *testing.T) {
	r, d := settled(t, 4)
	waits := r.poll("p1", 20000, d.Tag())
	r.pass(1000)
	if _, there := r.answers[waits]; there {
		t.Fatalf("answered though nothing changed: %+v", r.answers[waits])
	}
	list := up(4)
	list[0].State = logic.Draining
	r.do(List{list})
	r.pass(1500)
	got := r.want(waits, Delta)
	if !got.Masked["10.0.0.0:80"] {
		for _, table := range got.Tables {
			if table.Lines["10.0.0.0:80"] > 0 {
				t.Fatalf("the draining host is still in a table: %s", got.JSON())
			}
		}
	}
	made, err := tables.Apply(d, r.answers[waits].Patch)
	if err != nil || made.Tag() != got.Tag() {
		t.Fatalf("%v: %v, wanted %v", err, made.Tag(), got.Tag())
	}
}

func TestAPollThatWaitedLongEnoughIsAnswered(t *testing.T) {
	r, d := settled(t, 4)
	waits := r.poll("p1", 1000, d.Tag())
	r.pass(900)
	if _, there := r.answers[waits]; there {
		t.Fatal("answered early")
	}
	r.pass(200)
	r.want(waits, Unchanged)
}

func TestNothingIsToldBeforeItIsStored(t *testing.T) {
	r, d := settled(t, 4)
	waits := r.poll("p1", 20000, d.Tag())
	r.hold = true
	list := up(4)
	list[0].State = logic.Draining
	r.do(List{list})
	r.pass(1500)
	if _, there := r.answers[waits]; there {
		t.Fatal("told what is not stored")
	}
	// One that joins meanwhile gets what is stored, and the rest with the others.
	joins := r.want(r.poll("p2", 0), Whole)
	if joins.Step > r.disk.Step {
		t.Fatalf("joined at %d, stored is %d", joins.Step, r.disk.Step)
	}
	later := r.poll("p2", 20000, joins.Tag())
	r.hold = false
	r.pass(1500)
	r.want(waits, Delta)
	if got := r.want(later, Delta); got.Step < r.answers[waits].Doc.Step {
		t.Fatalf("the one that joined meanwhile is at %d, the other at %d", got.Step, r.answers[waits].Doc.Step)
	}
}

func TestAStartBeforeItsOpeningIsStoredTellsNothing(t *testing.T) {
	r := &rig{t: t, now: 1e12, hold: true, answers: map[Ticket]Answer{}, disk: Saved{Line: 42,
		Tables: map[logic.TableID]*tables.Table{}, Bound: map[logic.ProxyID][]logic.TableID{}}}
	r.raise(service(8))
	early := r.poll("p1", 0)
	r.pass(300)
	if _, there := r.answers[early]; there {
		t.Fatal("told before the opening step is stored")
	}
	r.hold = false
	r.pass(300)
	r.want(early, Whole)
}

func TestAStartOverGoesOnFromTheStoredVersion(t *testing.T) {
	r, d := settled(t, 4)
	again := start(t, service(8), r.disk)
	if again.now = r.now + 500; again.c.Figures().Step <= d.Step {
		t.Fatalf("starts at %d after %d", again.c.Figures().Step, d.Step)
	}
	got := again.want(again.poll("p1", 0, d.Tag()), Delta)
	if got.Step <= d.Step || len(got.Tables) != 8 {
		t.Fatalf("step %d after %d", got.Step, d.Step)
	}
	for name, table := range d.Tables {
		for a, w := range table.Lines {
			if got.Tables[name].Lines[a] != w {
				t.Fatalf("table %s changed at a start", name)
			}
		}
	}
	// One that missed versions which nobody keeps any more gets the whole.
	again.want(again.poll("p2", 0, tables.Tag{History: 42, Step: 1, Digest: 1}), Whole)
}

func TestANewerPollTakesThePlaceOfTheOneThatWaits(t *testing.T) {
	r, d := settled(t, 4)
	first := r.poll("p1", 20000, d.Tag())
	second := r.poll("p1", 20000, d.Tag())
	r.want(first, Replaced)
	if _, there := r.answers[second]; there {
		t.Fatal("the newer one was answered")
	}
	r.do(Broke{Ticket: first, Proxy: "p1"}) // its connection closes later; that is no leaving
	if r.c.Figures().Joined != 1 {
		t.Fatal("left by a poll that was answered already")
	}
	r.do(Broke{Ticket: second, Proxy: "p1"})
	if r.c.Figures().Joined != 0 {
		t.Fatal("a broken connection is no leaving")
	}
}

func TestAProxyLeavesWhenItPollsNoMore(t *testing.T) {
	r, _ := settled(t, 4)
	r.pass(1900)
	if r.c.Figures().Joined != 1 {
		t.Fatal("left before its lease was over")
	}
	r.pass(300)
	if r.c.Figures().Joined != 0 {
		t.Fatal("stayed past its lease")
	}
}

func TestRefusals(t *testing.T) {
	r, _ := settled(t, 4)
	r.want(r.poll("nobody", 0), Unknown)
	r.ticket++
	r.do(Poll{Ticket: r.ticket, Proxy: "p1", Zone: "nowhere"})
	r.want(r.ticket, Wrong)
	for i := range 4 {
		r.poll(fmt.Sprintf("p%d", i+1), 0)
	}
	r.want(r.poll("p9", 0), Unknown) // all numbers are taken by joined ones
	r.pass(2200)
	r.want(r.poll("p9", 0), Whole) // and one is free once some have left
	for want, report := range map[AnswerKind]Report{
		Unknown: {Proxy: "p2"}, Wrong: {Proxy: "p9", Calls: []RouteCalls{{Route: "no", Table: "1", Calls: 1}}},
		Taken: {Proxy: "p9", Calls: []RouteCalls{{Route: "read", Table: "1", Calls: 1}}}} {
		r.ticket++
		report.Ticket = r.ticket
		r.do(report)
		r.want(r.ticket, want)
	}
	r.ticket++
	r.do(Report{Ticket: r.ticket, Proxy: "p9", Calls: []RouteCalls{{Route: "read", Table: "8", Calls: 1}}})
	r.want(r.ticket, Wrong)
}

func TestARepeatedReportCountsOnce(t *testing.T) {
	r, _ := settled(t, 4)
	for range 2 {
		r.ticket++
		r.do(Report{Ticket: r.ticket, Proxy: "p1", Key: "k-1", Calls: []RouteCalls{{Route: "read", Table: "3", Calls: 5}}})
		r.want(r.ticket, Taken)
	}
	if f := r.c.Figures(); f.Reports != 1 || f.Repeats != 1 {
		t.Fatalf("%+v", f)
	}
}

// A message counts as applied when the proxy's next poll shows it, and not before.
func TestThePollIsTheAcknowledgement(t *testing.T) {
	r, d := settled(t, 4)
	waits := r.poll("p1", 20000, d.Tag())
	list := up(4)
	list[0].State = logic.Draining
	r.do(List{list})
	r.pass(1500)
	got := r.want(waits, Delta)
	var st *stream
	for _, s := range r.c.streams {
		st = s
	}
	if len(st.owed) == 0 {
		t.Fatal("owes nothing before it has polled again")
	}
	r.poll("p1", 0, d.Tag()) // it lost the answer
	if len(st.owed) == 0 {
		t.Fatal("an old version was taken for an acknowledgement")
	}
	before := len(st.owed)
	if a := r.answers[r.poll("p1", 20000, got.Tag())]; len(st.owed) >= before {
		t.Fatalf("still owes %d", len(st.owed))
	} else if a.Doc != nil { // more had come meanwhile
		if r.poll("p1", 20000, a.Doc.Tag()); len(st.owed) != 0 {
			t.Fatalf("still owes %d", len(st.owed))
		}
	}
}

// Without slices a proxy is bound to tables, and goes by its old ones over a start until it is bound anew.
func TestProxiesWithTablesOfTheirOwn(t *testing.T) {
	svc := service(0)
	r := start(t, svc, Saved{})
	r.do(List{up(5)})
	r.pass(500)
	first := r.want(r.poll("p1", 0), Whole)
	wait := r.poll("p1", 20000, first.Tag())
	r.pass(2000)
	d := r.answers[wait].Doc
	if d == nil || d.Routes["read"].Table == "" || len(d.Tables[d.Routes["read"].Table].Lines) == 0 {
		t.Fatalf("not bound: %s", first.JSON())
	}
	again := start(t, svc, r.disk)
	got := again.want(again.poll("p1", 0, d.Tag()), Whole)
	if got.Routes["read"].Table != "was-read" || len(got.Tables["was-read"].Lines) == 0 || got.Step <= d.Step {
		t.Fatalf("lost its table over a start: %s", got.JSON())
	}
	twice := start(t, svc, again.disk) // and over two in a row
	if got = twice.want(twice.poll("p1", 0), Whole); len(got.Tables["was-read"].Lines) == 0 {
		t.Fatalf("lost its table over two starts: %s", got.JSON())
	}
	wait = twice.poll("p1", 20000, got.Tag())
	twice.do(List{up(5)})
	twice.pass(2500)
	if got = twice.answers[wait].Doc; got == nil || got.Routes["read"].Table == "was-read" {
		t.Fatalf("not bound anew: %v", twice.answers[wait])
	}
}

func TestTheSameInputsGiveTheSameAnswers(t *testing.T) {
	play := func() string {
		r, d := settled(t, 5)
		for i := range 5 {
			list := up(5)
			list[i].State = logic.Draining
			r.poll("p1", 20000, d.Tag())
			r.do(List{list})
			r.pass(2000)
		}
		return string(r.c.document(r.c.world, 0).JSON()) + fmt.Sprint(len(r.answers))
	}
	if a, b := play(), play(); a != b {
		t.Fatalf("%s\n%s", a, b)
	}
}

// The channel never holds more than the limit, also where all that was listed drains at once.
func TestTheQueueStaysShort(t *testing.T) {
	r := start(t, service(8), Saved{})
	r.do(List{up(12)})
	r.pass(1500)
	tag := map[string]tables.Tag{}
	for i := range 4 {
		p := fmt.Sprintf("p%d", i)
		tag[p] = r.want(r.poll(p, 0), Whole).Tag()
	}
	for round := range 10 {
		list := up(12)
		for i := range 6 {
			list[(round+i)%12].State = logic.Draining
		}
		tickets := map[string]Ticket{}
		for p, held := range tag {
			tickets[p] = r.poll(p, 20000, held)
		}
		r.do(List{list})
		r.pass(700)
		for p, ticket := range tickets {
			if a, there := r.answers[ticket]; there {
				tag[p] = a.Doc.Tag()
			}
		}
	}
	if f := r.c.Figures(); f.MostWaiting > f.QueueLimit || f.MostWaiting == 0 {
		t.Fatalf("%v lines waited, of %v", f.MostWaiting, f.QueueLimit)
	}
}

// roll asks for a rollback to what a version held.
func (r *rig) roll(to Saved, who string, since tables.Step, force bool) Answer {
	r.ticket++
	r.do(Rollback{Ticket: r.ticket, To: to.Step, Content: to.Tables, LastSeen: since, Who: who, Why: "test", Force: force})
	return r.answers[r.ticket]
}

// version keeps what is ordered now, as the history does.
func (r *rig) version() Saved {
	s := Saved{Step: r.c.world.step, Tables: map[logic.TableID]*tables.Table{}}
	for id, t := range r.c.world.tables {
		s.Tables[id] = t
	}
	return s
}

// A rollback is a new version with old content, held against the module until it is released; a pinned host that drains
// goes out within the grace all the same, and nothing is bare.
func TestARollbackHoldsWhatTheRulesAllow(t *testing.T) {
	r, d := settled(t, 4)
	old := r.version()
	list := up(4)
	list[0].State = logic.Draining
	r.do(List{list})
	r.pass(2500)
	list[0].State = logic.Up
	r.do(List{list})
	r.pass(6000)
	r.want(r.poll("p1", 0), Whole)
	before := r.c.world.step
	a := r.roll(old, "ann", before, true)
	if a.Kind != Done || a.Body.(*OperationResult).Version <= before || len(a.Body.(*OperationResult).Tables) != 8 {
		t.Fatalf("%+v", a)
	}
	r.pass(300)
	got := r.want(r.poll("p1", 0), Whole)
	for name, table := range got.Tables {
		for h, w := range d.Tables[name].Lines {
			if table.Lines[h] != w {
				t.Fatalf("table %s: %v, wanted as in version %d: %v", name, table.Lines, old.Step, d.Tables[name].Lines)
			}
		}
	}
	list[1].State = logic.Draining
	r.do(List{list})
	r.pass(300)
	got = r.want(r.poll("p1", 0), Whole)
	for name, table := range got.Tables {
		if table.Lines["10.0.0.1:80"] > 0 || len(table.Lines) == 0 {
			t.Fatalf("table %s: %v though host 1 drains", name, table.Lines)
		}
	}
	// A start over holds on to the pins.
	again := start(t, service(8), r.disk)
	again.do(List{list})
	again.pass(3000)
	if got := again.want(again.poll("p1", 0), Whole); len(again.c.pinned) != 8 || got.Tables["0"].Lines["10.0.0.1:80"] > 0 {
		t.Fatalf("%d are pinned after a start over: %s", len(again.c.pinned), got.JSON())
	}
	again.ticket++
	again.do(Release{Ticket: again.ticket, Who: "ann", Why: "test"})
	list[2].State = logic.Draining
	again.do(List{list})
	again.pass(2000)
	if len(again.c.pinned) != 0 || again.disk.Pinned == nil || len(again.disk.Pinned) != 0 {
		t.Fatal("still pinned after the release")
	}
	for id, table := range again.c.world.tables { // the module has them again, and moves them
		if table.Lines["10.0.0.2:80"] > 0 && !again.c.world.masked["10.0.0.2:80"] {
			t.Fatalf("table %d stays on a host that drains: %v", id, table.Lines)
		}
	}
}

func TestRollbacksThatAreRefused(t *testing.T) {
	r, _ := settled(t, 4)
	old := r.version()
	moved := Saved{Step: old.Step, Tables: map[logic.TableID]*tables.Table{}}
	for id, table := range old.Tables {
		lines := map[tables.Address]float64{"10.0.0.0:80": 1}
		moved.Tables[id] = &tables.Table{From: table.From, To: table.To, Lines: lines}
	}
	if a := r.roll(moved, "ann", old.Step, false); a.Kind != Refused || a.Body.(*OperationResult).MovedFraction <= maxMovedFraction || len(r.c.pinned) > 0 {
		t.Errorf("moves too much: %+v", a)
	}
	if a := r.roll(old, "", old.Step, false); a.Kind != Wrong {
		t.Errorf("nobody asks: %+v", a)
	}
	if a := r.roll(old, "ann", old.Step, false); a.Kind != Done {
		t.Errorf("%+v", a)
	}
	if a := r.roll(moved, "bob", old.Step, true); a.Kind != Conflict {
		t.Errorf("two at once: %+v", a)
	}
	gone := up(4)
	for i := range gone {
		gone[i].State = logic.Gone
	}
	r.do(List{gone})
	if a := r.roll(old, "bob", r.c.world.step, true); a.Kind != Refused {
		t.Errorf("leaves tables bare: %+v", a)
	}
	own := service(0)
	if a := start(t, own, Saved{}).roll(old, "ann", 9, true); a.Kind != Wrong {
		t.Errorf("without slices: %+v", a)
	}
}

// A rollback while a publish is half out: what was ordered before it goes out before it, no proxy sees the old content
// after the new one, and all end on the rollback.
func TestARollbackAmidAPublish(t *testing.T) {
	r, d := settled(t, 4)
	old := r.version()
	waits := r.poll("p1", 20000, d.Tag())
	r.hold = true // ordered, and not yet stored
	list := up(4)
	list[0].State = logic.Draining
	r.do(List{list})
	r.pass(600)
	half := r.c.world.step
	list[0].State = logic.Up
	r.do(List{list})
	if a := r.roll(old, "ann", half, true); a.Kind != Done || a.Body.(*OperationResult).Version <= half {
		t.Fatalf("%+v", a)
	}
	final := r.c.world.step
	r.hold = false
	seen, tag := d.Step, d.Tag()
	for range 20 {
		r.pass(100)
		a, there := r.answers[waits]
		if !there {
			continue
		}
		if a.Doc.Step < seen {
			t.Fatalf("version %d after %d", a.Doc.Step, seen)
		}
		seen, tag = a.Doc.Step, a.Doc.Tag()
		waits = r.poll("p1", 20000, tag)
	}
	if seen < final {
		t.Fatalf("ended on %d, the rollback is %d", seen, final)
	}
	got := r.c.kept[tag]
	for name, table := range d.Tables {
		for h, w := range table.Lines {
			if got.Tables[name].Lines[h] != w {
				t.Fatalf("table %s: %v, wanted %v", name, got.Tables[name].Lines, table.Lines)
			}
		}
	}
}
