package control

import (
	"encoding/json"
	"fmt"
	"regexp"
	"testing"

	"vetchwood/internal/pollshard"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// harness drives a Core with one shard. Time advances only by its methods, and changes are stored at once unless
// holdWrites is set.
type harness struct {
	t             *testing.T
	c             *Core
	shard         *pollshard.Shard
	now           logic.Millis
	store         SavedState
	holdWrites    bool
	pendingWrites []Change
	answers       map[Ticket]Answer
	probes        int
	ticket        Ticket
}

// testService returns the settings of a service with one route and four proxies.
func testService(slices int) Service {
	return Service{Zones: []string{"a", "b"}, Pick: "lottery", ProxyNames: regexp.MustCompile(`^p[0-9]$`), Lease: 2000,
		MaxWait: 30000, MaxBases: 16, Routes: []RouteInfo{{"read", tables.Route{Level: tables.Level{Level: 1, RetryMode: 1},
			Idempotency: "repeatable", SLOMs: 1000, TimeLimitMs: 3000, Importance: 1}}},
		Config: logic.Config{Directors: 1, Proxies: 4, Slices: slices, LinesPerSecond: 1000, QueueLimit: 1000, MessageOverhead: 4,
			Transit: 5, WorstTransit: 50, DrainGrace: 2000, WarmAfter: 10000, ColdFailAfter: 1500, ColdOverloadLimit: 3, ColdCapacity: 0.2,
			EmptyTableLimit: 2000, ReportInterval: 500, ReportLinesPerSecond: 100, MessageWindow: 10000, Levels: logic.LevelShare,
			Routes: []logic.Route{{SLO: 1000, TimeLimit: 3000, Importance: 1, Idempotency: logic.Idempotent}}}}
}

// newHarness starts a Core from a saved state, which may be empty.
func newHarness(t *testing.T, svc Service, saved SavedState) *harness {
	h := &harness{t: t, now: 1e12, store: saved, answers: map[Ticket]Answer{}}
	if saved.History == 0 {
		h.store = SavedState{History: 42, Tables: map[logic.TableID]*tables.Table{}, Bound: map[logic.ProxyID][]logic.TableID{}}
	}
	h.startCore(svc)
	return h
}

// startCore starts a Core and its shard from the stored state.
func (h *harness) startCore(svc Service) {
	var out []any
	h.shard = pollshard.NewShard(0, 1, pollshard.Config{MaxWait: svc.MaxWait, Lease: svc.Lease, Zones: svc.Zones}, h.now)
	h.c, out = New(5, h.now, svc, h.store)
	h.execute(out)
}

// writeChange applies a change to the stored state after a round trip through its JSON encoding, as the store does.
func (h *harness) writeChange(c Change) {
	text, err := json.Marshal(c)
	if err != nil {
		h.t.Fatal(err)
	}
	c = Change{}
	if err := json.Unmarshal(text, &c); err != nil {
		h.t.Fatal(err)
	}
	if c.Step > 0 && c.Step <= h.store.Step {
		h.t.Fatalf("step %d is written after %d", c.Step, h.store.Step)
	}
	h.store.Apply(c)
}

// handleShardOutput records the answers of the shard and passes its other output to the core.
func (h *harness) handleShardOutput(out pollshard.Output) {
	for _, a := range out.Answers {
		h.recordAnswer(a)
	}
	if len(out.Events) > 0 {
		h.execute(h.c.Handle(h.now, out.Events))
	}
}

// recordAnswer fails the test if a ticket is answered twice, or with a version that is not stored.
func (h *harness) recordAnswer(o Answer) {
	if _, twice := h.answers[o.Ticket]; twice {
		h.t.Fatalf("ticket %d is answered twice", o.Ticket)
	}
	if o.Doc != nil && (o.Kind == Full || o.Kind == Delta) && o.Doc.Step > h.store.Step {
		h.t.Fatalf("step %d is published, but only %d is stored", o.Doc.Step, h.store.Step)
	}
	h.answers[o.Ticket] = o
}

// execute carries out the outputs of the core.
func (h *harness) execute(out []any) {
	for _, o := range out {
		switch o := o.(type) {
		case Answer:
			h.recordAnswer(o)
		case Publish:
			h.handleShardOutput(h.shard.SetView(h.now, o.View))
			if o.Barrier {
				h.execute(h.c.Handle(h.now, []any{AnswersFlushed{}}))
			}
		case pollshard.SetDocument, pollshard.RejectJoin:
			h.handleShardOutput(h.shard.Apply(h.now, o))
		case Persist:
			h.pendingWrites = append(h.pendingWrites, o.Change)
		case Probe:
			h.probes++
		}
	}
	for !h.holdWrites && len(h.pendingWrites) > 0 {
		c := h.pendingWrites[0]
		h.pendingWrites = h.pendingWrites[1:]
		if h.writeChange(c); c.Step > 0 {
			h.execute(h.c.Handle(h.now, []any{Stored{c.Step}}))
		}
	}
}

// handle passes inputs to the shard or the core at the current time.
func (h *harness) handle(in ...any) {
	h.t.Helper()
	var rest []any
	for _, i := range in {
		switch i := i.(type) {
		case Poll:
			h.handleShardOutput(h.shard.Poll(h.now, i))
		case Disconnected:
			h.handleShardOutput(h.shard.Disconnect(h.now, i))
		default:
			rest = append(rest, i)
		}
	}
	h.handleShardOutput(h.shard.Advance(h.now))
	h.execute(h.c.Handle(h.now, rest))
}

// advance lets time pass, with a call of the core at least every 10 ms.
func (h *harness) advance(d logic.Millis) {
	for end := h.now + d; h.now < end; {
		h.now = min(end, max(h.now+1, h.c.NextWakeup()), h.now+10)
		h.handle()
	}
}

// poll sends a poll and returns its ticket.
func (h *harness) poll(proxy string, wait logic.Millis, held ...tables.Tag) Ticket {
	h.ticket++
	h.handle(Poll{Ticket: h.ticket, Proxy: proxy, Zone: "a", Wait: wait, Held: held, WantsDelta: true})
	return h.ticket
}

// wantAnswer fails the test unless a ticket is answered with the given kind, and returns the document of the answer.
func (h *harness) wantAnswer(t Ticket, kind AnswerKind) *tables.Document {
	h.t.Helper()
	a, there := h.answers[t]
	if !there || a.Kind != kind {
		h.t.Fatalf("ticket %d: answered: %v, kind %d (%s), want kind %d", t, there, a.Kind, a.Reason, kind)
	}
	return a.Doc
}

// upHosts returns a host list of n hosts that are up.
func upHosts(n int) (out []HostEntry) {
	for i := range n {
		out = append(out, HostEntry{ID: fmt.Sprintf("h%d", i), Address: tables.Address(fmt.Sprintf("10.0.0.%d:80", i)), Zone: "a",
			Cell: fmt.Sprint(i / 2), Weight: 1})
	}
	return out
}

// settledHarness returns a harness whose slices all have lines, and the document that its proxy p1 holds.
func settledHarness(t *testing.T, hosts int) (*harness, *tables.Document) {
	h := newHarness(t, testService(8), SavedState{})
	h.handle(HostList{upHosts(hosts)})
	h.advance(1500)
	d := h.wantAnswer(h.poll("p1", 0), Full)
	for name, table := range d.Tables {
		if len(table.Lines) == 0 {
			t.Fatalf("table %s has no lines", name)
		}
	}
	// Levels are sent to a proxy that joins; after that, no further versions follow.
	for range 4 {
		h.advance(900)
		if a := h.answers[h.poll("p1", 0, d.Tag())]; a.Doc != nil {
			d = a.Doc
		}
	}
	return h, d
}

func TestAPollWaitsForAChangeAndGetsTheDifference(t *testing.T) {
	h, d := settledHarness(t, 4)
	pending := h.poll("p1", 20000, d.Tag())
	h.advance(1000)
	if _, there := h.answers[pending]; there {
		t.Fatalf("answered though nothing changed: %+v", h.answers[pending])
	}
	list := upHosts(4)
	list[0].State = logic.Draining
	h.handle(HostList{list})
	h.advance(1500)
	got := h.wantAnswer(pending, Delta)
	if !got.Masked["10.0.0.0:80"] {
		for _, table := range got.Tables {
			if table.Lines["10.0.0.0:80"] > 0 {
				t.Fatalf("the draining host is still in a table: %s", got.JSON())
			}
		}
	}
	made, err := tables.Apply(d, h.answers[pending].Patch)
	if err != nil || made.Tag() != got.Tag() {
		t.Fatalf("%v: tag %v, want %v", err, made.Tag(), got.Tag())
	}
}

func TestAPollThatWaitedLongEnoughIsAnswered(t *testing.T) {
	h, d := settledHarness(t, 4)
	pending := h.poll("p1", 1000, d.Tag())
	h.advance(900)
	if _, there := h.answers[pending]; there {
		t.Fatal("poll answered before its wait was over")
	}
	h.advance(200)
	h.wantAnswer(pending, Unchanged)
}

func TestNothingIsToldBeforeItIsStored(t *testing.T) {
	h, d := settledHarness(t, 4)
	pending := h.poll("p1", 20000, d.Tag())
	h.holdWrites = true
	list := upHosts(4)
	list[0].State = logic.Draining
	h.handle(HostList{list})
	h.advance(1500)
	if _, there := h.answers[pending]; there {
		t.Fatal("poll answered with a version that is not stored")
	}
	// A proxy that joins in the meantime gets the stored version, and the next ones together with the others.
	joined := h.wantAnswer(h.poll("p2", 0), Full)
	if joined.Step > h.store.Step {
		t.Fatalf("proxy joined at version %d, but only %d is stored", joined.Step, h.store.Step)
	}
	later := h.poll("p2", 20000, joined.Tag())
	h.holdWrites = false
	h.advance(1500)
	h.wantAnswer(pending, Delta)
	if got := h.wantAnswer(later, Delta); got.Step < h.answers[pending].Doc.Step {
		t.Fatalf("the proxy that joined later is at version %d, the other at %d", got.Step, h.answers[pending].Doc.Step)
	}
}

func TestNothingIsPublishedBeforeTheFirstStepIsStored(t *testing.T) {
	h := &harness{t: t, now: 1e12, holdWrites: true, answers: map[Ticket]Answer{}, store: SavedState{History: 42,
		Tables: map[logic.TableID]*tables.Table{}, Bound: map[logic.ProxyID][]logic.TableID{}}}
	h.startCore(testService(8))
	early := h.poll("p1", 0)
	h.advance(300)
	if _, there := h.answers[early]; there {
		t.Fatal("poll answered before the first step is stored")
	}
	h.holdWrites = false
	h.advance(300)
	h.wantAnswer(early, Full)
}

func TestAStartOverGoesOnFromTheStoredVersion(t *testing.T) {
	h, d := settledHarness(t, 4)
	again := newHarness(t, testService(8), h.store)
	if again.now = h.now + 500; again.c.Stats().Step <= d.Step {
		t.Fatalf("restarted at step %d after step %d", again.c.Stats().Step, d.Step)
	}
	got := again.wantAnswer(again.poll("p1", 0, d.Tag()), Delta)
	if got.Step <= d.Step || len(got.Tables) != 8 {
		t.Fatalf("step %d after %d", got.Step, d.Step)
	}
	for name, table := range d.Tables {
		for a, w := range table.Lines {
			if got.Tables[name].Lines[a] != w {
				t.Fatalf("table %s changed at a restart", name)
			}
		}
	}
	// A proxy whose version is no longer kept as a base gets the full document.
	again.wantAnswer(again.poll("p2", 0, tables.Tag{History: 42, Step: 1, Digest: 1}), Full)
}

func TestANewerPollTakesThePlaceOfTheOneThatWaits(t *testing.T) {
	h, d := settledHarness(t, 4)
	first := h.poll("p1", 20000, d.Tag())
	second := h.poll("p1", 20000, d.Tag())
	h.wantAnswer(first, Replaced)
	if _, there := h.answers[second]; there {
		t.Fatal("the newer poll was answered")
	}
	// The connection of the replaced poll closes later, which does not mean that the proxy has left.
	h.handle(Disconnected{Ticket: first, Proxy: "p1"})
	if h.c.Stats().Joined != 1 {
		t.Fatal("the proxy left when the connection of a replaced poll closed")
	}
	h.handle(Disconnected{Ticket: second, Proxy: "p1"})
	if h.c.Stats().Joined != 0 {
		t.Fatal("the proxy did not leave when its connection closed")
	}
}

func TestAProxyLeavesWhenItPollsNoMore(t *testing.T) {
	h, _ := settledHarness(t, 4)
	h.advance(1900)
	if h.c.Stats().Joined != 1 {
		t.Fatal("the proxy left before its lease expired")
	}
	h.advance(300)
	if h.c.Stats().Joined != 0 {
		t.Fatal("the proxy stayed after its lease expired")
	}
}

func TestRefusals(t *testing.T) {
	h, _ := settledHarness(t, 4)
	h.wantAnswer(h.poll("nobody", 0), Unknown)
	h.ticket++
	h.handle(Poll{Ticket: h.ticket, Proxy: "p1", Zone: "nowhere"})
	h.wantAnswer(h.ticket, Invalid)
	for i := range 4 {
		h.poll(fmt.Sprintf("p%d", i+1), 0)
	}
	h.wantAnswer(h.poll("p9", 0), Unknown) // all numbers belong to joined proxies
	h.advance(2200)
	h.wantAnswer(h.poll("p9", 0), Full) // numbers are free again once some proxies have left
	for want, report := range map[AnswerKind]Report{
		Unknown: {Proxy: "p2"}, Invalid: {Proxy: "p9", Calls: []RouteCalls{{Route: "no", Table: "1", Calls: 1}}},
		Accepted: {Proxy: "p9", Calls: []RouteCalls{{Route: "read", Table: "1", Calls: 1}}}} {
		h.ticket++
		report.Ticket = h.ticket
		h.handle(report)
		h.wantAnswer(h.ticket, want)
	}
	h.ticket++
	h.handle(Report{Ticket: h.ticket, Proxy: "p9", Calls: []RouteCalls{{Route: "read", Table: "8", Calls: 1}}})
	h.wantAnswer(h.ticket, Invalid)
}

func TestARepeatedReportCountsOnce(t *testing.T) {
	h, _ := settledHarness(t, 4)
	for range 2 {
		h.ticket++
		h.handle(Report{Ticket: h.ticket, Proxy: "p1", Key: "k-1", Calls: []RouteCalls{{Route: "read", Table: "3", Calls: 5}}})
		h.wantAnswer(h.ticket, Accepted)
	}
	if f := h.c.Stats(); f.Reports != 1 || f.RepeatedReports != 1 {
		t.Fatalf("%+v", f)
	}
}

// An update is acknowledged only by a later poll that shows its version, not by the answer that carried it.
func TestThePollIsTheAcknowledgement(t *testing.T) {
	h, d := settledHarness(t, 4)
	pending := h.poll("p1", 20000, d.Tag())
	list := upHosts(4)
	list[0].State = logic.Draining
	h.handle(HostList{list})
	h.advance(1500)
	got := h.wantAnswer(pending, Delta)
	var p *joinedProxy
	for _, s := range h.c.proxies {
		p = s
	}
	if len(p.unacknowledged) == 0 {
		t.Fatal("update acknowledged before the next poll")
	}
	h.poll("p1", 0, d.Tag()) // the answer was lost
	if len(p.unacknowledged) == 0 {
		t.Fatal("update acknowledged by a poll that holds an older version")
	}
	before := len(p.unacknowledged)
	if a := h.answers[h.poll("p1", 20000, got.Tag())]; len(p.unacknowledged) >= before {
		t.Fatalf("%d updates still unacknowledged", len(p.unacknowledged))
	} else if a.Doc != nil { // a further version had been published
		if h.poll("p1", 20000, a.Doc.Tag()); len(p.unacknowledged) != 0 {
			t.Fatalf("%d updates still unacknowledged", len(p.unacknowledged))
		}
	}
}

// Without slices, proxies are bound to tables of their own. After a restart a proxy keeps its old tables until it is
// bound again.
func TestProxiesWithTablesOfTheirOwn(t *testing.T) {
	svc := testService(0)
	h := newHarness(t, svc, SavedState{})
	h.handle(HostList{upHosts(5)})
	h.advance(500)
	first := h.wantAnswer(h.poll("p1", 0), Full)
	pending := h.poll("p1", 20000, first.Tag())
	h.advance(2000)
	d := h.answers[pending].Doc
	if d == nil || d.Routes["read"].Table == "" || len(d.Tables[d.Routes["read"].Table].Lines) == 0 {
		t.Fatalf("proxy not bound to a table: %s", first.JSON())
	}
	again := newHarness(t, svc, h.store)
	got := again.wantAnswer(again.poll("p1", 0, d.Tag()), Full)
	if got.Routes["read"].Table != "was-read" || len(got.Tables["was-read"].Lines) == 0 || got.Step <= d.Step {
		t.Fatalf("proxy lost its table at a restart: %s", got.JSON())
	}
	twice := newHarness(t, svc, again.store) // also after two restarts in a row
	if got = twice.wantAnswer(twice.poll("p1", 0), Full); len(got.Tables["was-read"].Lines) == 0 {
		t.Fatalf("proxy lost its table after two restarts: %s", got.JSON())
	}
	pending = twice.poll("p1", 20000, got.Tag())
	twice.handle(HostList{upHosts(5)})
	twice.advance(2500)
	if got = twice.answers[pending].Doc; got == nil || got.Routes["read"].Table == "was-read" {
		t.Fatalf("proxy not bound again: %v", twice.answers[pending])
	}
}

func TestTheSameInputsGiveTheSameAnswers(t *testing.T) {
	play := func() string {
		h, d := settledHarness(t, 5)
		for i := range 5 {
			list := upHosts(5)
			list[i].State = logic.Draining
			h.poll("p1", 20000, d.Tag())
			h.handle(HostList{list})
			h.advance(2000)
		}
		return string(h.c.document(h.c.current, 0).JSON()) + fmt.Sprint(len(h.answers))
	}
	if a, b := play(), play(); a != b {
		t.Fatalf("%s\n%s", a, b)
	}
}

// The channel never queues more lines than its limit, even when many hosts drain at once.
func TestTheQueueStaysShort(t *testing.T) {
	h := newHarness(t, testService(8), SavedState{})
	h.handle(HostList{upHosts(12)})
	h.advance(1500)
	tag := map[string]tables.Tag{}
	for i := range 4 {
		p := fmt.Sprintf("p%d", i)
		tag[p] = h.wantAnswer(h.poll(p, 0), Full).Tag()
	}
	for round := range 10 {
		list := upHosts(12)
		for i := range 6 {
			list[(round+i)%12].State = logic.Draining
		}
		tickets := map[string]Ticket{}
		for p, held := range tag {
			tickets[p] = h.poll(p, 20000, held)
		}
		h.handle(HostList{list})
		h.advance(700)
		for p, ticket := range tickets {
			if a, there := h.answers[ticket]; there {
				tag[p] = a.Doc.Tag()
			}
		}
	}
	if f := h.c.Stats(); f.MaxQueuedLines > f.QueueLimit || f.MaxQueuedLines == 0 {
		t.Fatalf("maximum of queued lines is %v, limit %v", f.MaxQueuedLines, f.QueueLimit)
	}
}

// rollback requests a rollback to the content of a version and returns the answer.
func (h *harness) rollback(to SavedState, who string, since tables.Step, force bool) Answer {
	h.ticket++
	h.handle(Rollback{Ticket: h.ticket, To: to.Step, Content: to.Tables, LastSeen: since, Who: who, Why: "test", Force: force})
	return h.answers[h.ticket]
}

// currentState returns the ordered step and its tables, as the history of the store has them.
func (h *harness) currentState() SavedState {
	s := SavedState{Step: h.c.current.step, Tables: map[logic.TableID]*tables.Table{}}
	for id, t := range h.c.current.tables {
		s.Tables[id] = t
	}
	return s
}

// A rollback is a new version with old content. Its tables stay pinned against the decision module until they are
// released. A host in a pinned table that drains is still removed within the grace period, and no table becomes empty.
func TestARollbackHoldsWhatTheRulesAllow(t *testing.T) {
	h, d := settledHarness(t, 4)
	old := h.currentState()
	list := upHosts(4)
	list[0].State = logic.Draining
	h.handle(HostList{list})
	h.advance(2500)
	list[0].State = logic.Up
	h.handle(HostList{list})
	h.advance(6000)
	h.wantAnswer(h.poll("p1", 0), Full)
	before := h.c.current.step
	a := h.rollback(old, "ann", before, true)
	if a.Kind != Done || a.Body.(*OperationResult).Version <= before || len(a.Body.(*OperationResult).Tables) != 8 {
		t.Fatalf("%+v", a)
	}
	h.advance(300)
	got := h.wantAnswer(h.poll("p1", 0), Full)
	for name, table := range got.Tables {
		for host, w := range d.Tables[name].Lines {
			if table.Lines[host] != w {
				t.Fatalf("table %s: %v, want as in version %d: %v", name, table.Lines, old.Step, d.Tables[name].Lines)
			}
		}
	}
	list[1].State = logic.Draining
	h.handle(HostList{list})
	h.advance(300)
	got = h.wantAnswer(h.poll("p1", 0), Full)
	for name, table := range got.Tables {
		if table.Lines["10.0.0.1:80"] > 0 || len(table.Lines) == 0 {
			t.Fatalf("table %s: %v, but host 1 drains", name, table.Lines)
		}
	}
	// Pins survive a restart.
	again := newHarness(t, testService(8), h.store)
	again.handle(HostList{list})
	again.advance(3000)
	if got := again.wantAnswer(again.poll("p1", 0), Full); len(again.c.pinned) != 8 || got.Tables["0"].Lines["10.0.0.1:80"] > 0 {
		t.Fatalf("%d tables are pinned after a restart: %s", len(again.c.pinned), got.JSON())
	}
	again.ticket++
	again.handle(Release{Ticket: again.ticket, Who: "ann", Why: "test"})
	list[2].State = logic.Draining
	again.handle(HostList{list})
	again.advance(2000)
	if len(again.c.pinned) != 0 || again.store.Pinned == nil || len(again.store.Pinned) != 0 {
		t.Fatal("tables still pinned after the release")
	}
	for id, table := range again.c.current.tables { // the decision module controls the tables again
		if table.Lines["10.0.0.2:80"] > 0 && !again.c.current.masked["10.0.0.2:80"] {
			t.Fatalf("table %d still has a host that drains: %v", id, table.Lines)
		}
	}
}

func TestRollbacksThatAreRefused(t *testing.T) {
	h, _ := settledHarness(t, 4)
	old := h.currentState()
	moved := SavedState{Step: old.Step, Tables: map[logic.TableID]*tables.Table{}}
	for id, table := range old.Tables {
		lines := map[tables.Address]float64{"10.0.0.0:80": 1}
		moved.Tables[id] = &tables.Table{From: table.From, To: table.To, Lines: lines}
	}
	if a := h.rollback(moved, "ann", old.Step, false); a.Kind != Refused || a.Body.(*OperationResult).MovedFraction <= maxMovedFraction || len(h.c.pinned) > 0 {
		t.Errorf("rollback that moves too many slices: %+v", a)
	}
	if a := h.rollback(old, "", old.Step, false); a.Kind != Invalid {
		t.Errorf("rollback without an operator: %+v", a)
	}
	if a := h.rollback(old, "ann", old.Step, false); a.Kind != Done {
		t.Errorf("%+v", a)
	}
	if a := h.rollback(moved, "bob", old.Step, true); a.Kind != Conflict {
		t.Errorf("conflicting rollbacks: %+v", a)
	}
	gone := upHosts(4)
	for i := range gone {
		gone[i].State = logic.Gone
	}
	h.handle(HostList{gone})
	if a := h.rollback(old, "bob", h.c.current.step, true); a.Kind != Refused {
		t.Errorf("rollback that leaves tables empty: %+v", a)
	}
	own := testService(0)
	if a := newHarness(t, own, SavedState{}).rollback(old, "ann", 9, true); a.Kind != Invalid {
		t.Errorf("without slices: %+v", a)
	}
}

// A rollback during the publication of another version: versions that were ordered before the rollback are published
// before it, no proxy goes back to an older version, and all proxies end on the rollback.
func TestARollbackAmidAPublish(t *testing.T) {
	h, d := settledHarness(t, 4)
	old := h.currentState()
	pending := h.poll("p1", 20000, d.Tag())
	h.holdWrites = true // the next version is ordered but not stored
	list := upHosts(4)
	list[0].State = logic.Draining
	h.handle(HostList{list})
	h.advance(600)
	half := h.c.current.step
	list[0].State = logic.Up
	h.handle(HostList{list})
	if a := h.rollback(old, "ann", half, true); a.Kind != Done || a.Body.(*OperationResult).Version <= half {
		t.Fatalf("%+v", a)
	}
	final := h.c.current.step
	h.holdWrites = false
	seen, tag := d.Step, d.Tag()
	for range 20 {
		h.advance(100)
		a, there := h.answers[pending]
		if !there {
			continue
		}
		if a.Doc.Step < seen {
			t.Fatalf("version %d after %d", a.Doc.Step, seen)
		}
		seen, tag = a.Doc.Step, a.Doc.Tag()
		pending = h.poll("p1", 20000, tag)
	}
	if seen < final {
		t.Fatalf("proxy ended on version %d, the rollback is version %d", seen, final)
	}
	got := h.c.bases[tag]
	for name, table := range d.Tables {
		for host, w := range table.Lines {
			if got.Tables[name].Lines[host] != w {
				t.Fatalf("table %s: %v, want %v", name, got.Tables[name].Lines, table.Lines)
			}
		}
	}
}
