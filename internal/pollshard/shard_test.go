package pollshard

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"vetchwood/internal/tables"
	"vetchwood/logic"
)

func document(step tables.Step) *tables.Document {
	d := &tables.Document{PickPolicy: "lottery", Hosts: map[tables.Address]tables.Host{}, Masked: map[tables.Address]bool{}, Tables: map[string]*tables.Table{}}
	for i := range 20 { // large enough that a delta is shorter than the full document
		d.Hosts[tables.Address(fmt.Sprintf("10.0.0.%d:80", i))] = tables.Host{ID: "some host", Zone: "a"}
	}
	return d.Seal(1, step, float64(step))
}

func newView(floor tables.Step, docs ...*tables.Document) *View {
	v := &View{Bases: map[tables.Tag]*tables.Document{}, MinStep: floor, LeaseEnd: logic.Millis(math.Inf(1))}
	for _, d := range docs {
		v.Bases[d.Tag()] = d
		if d.Step == floor {
			v.Shared = d
		}
	}
	return v
}

var testConfig = Config{MaxWait: 30000, Lease: 2000, Zones: []string{"a"}}

// newJoinedShard returns a shard in which proxy p has joined and got document d, and the proxy's session.
func newJoinedShard(t *testing.T, v *View, d *tables.Document) (*Shard, SessionID) {
	shard := NewShard(0, 1, testConfig, 0)
	shard.SetView(0, v)
	out := shard.Poll(0, Poll{Ticket: 1, Proxy: "p", Zone: "a"})
	j, ok := out.Events[0].(JoinRequest)
	if !ok || len(out.Answers) > 0 {
		t.Fatalf("%+v", out)
	}
	if out = shard.Apply(1, SetDocument{"p", j.Session, d}); len(out.Answers) != 1 || out.Answers[0].Doc != d || out.Answers[0].Ticket != 1 {
		t.Fatalf("%+v", out)
	}
	return shard, j.Session
}

func newPoll(ticket Ticket, wait logic.Millis, held *tables.Document) Poll {
	return Poll{Ticket: ticket, Proxy: "p", Zone: "a", Wait: wait, Held: []tables.Tag{held.Tag()}, WantsDelta: true}
}

// While the view is closed for a removal, nothing is answered: neither a new poll, nor a pending one, nor one for which
// the core sets an older version. Once the view opens, all are answered with nothing older than the removal.
func TestClosedShardAnswersNothing(t *testing.T) {
	one, two, three := document(1), document(2), document(3)
	shard, id := newJoinedShard(t, newView(0, one), one)
	if out := shard.Poll(10, newPoll(2, 20000, one)); len(out.Answers) > 0 || len(out.Events) != 1 || out.Events[0].(Acknowledgement).Step != 1 {
		t.Fatalf("%+v", out)
	}
	closed := newView(3, one, two, three)
	closed.Closed = true
	shard.SetView(20, closed)
	if out := shard.Apply(21, SetDocument{"p", id, two}); len(out.Answers) > 0 {
		t.Fatalf("version 2 is sent while the removal of version 3 is in progress: %+v", out)
	}
	if out := shard.Poll(22, newPoll(3, 0, one)); len(out.Answers) != 1 || out.Answers[0].Kind != Replaced {
		t.Fatalf("%+v", out)
	}
	out := shard.SetView(30, newView(3, one, two, three))
	if len(out.Answers) != 1 || out.Answers[0].Ticket != 3 || out.Answers[0].Doc != three || out.Answers[0].Kind != Delta || out.Answers[0].Base != one {
		t.Fatalf("%+v", out)
	}
	if out = shard.Apply(31, SetDocument{"p", id, two}); len(out.Answers) > 0 { // arrives late, from another processor
		t.Fatalf("%+v", out)
	}
	if out = shard.Poll(32, newPoll(4, 0, two)); len(out.Answers) != 1 || out.Answers[0].Doc != three {
		t.Fatalf("%+v", out)
	}
}

// Where proxies have tables of their own, only the core can build a newer document: the shard requests it once, and the
// poll stays pending until it arrives.
func TestOutdatedDocumentIsRequestedAgain(t *testing.T) {
	one, four := document(1), document(4)
	shard, id := newJoinedShard(t, newView(0, one), one)
	v := newView(3, one)
	shard.SetView(10, v)
	out := shard.Poll(11, Poll{Ticket: 2, Proxy: "p", Zone: "a"})
	if len(out.Answers) > 0 || !slices.Contains(out.Events, any(DocumentRequest{"p", id})) {
		t.Fatalf("%+v", out)
	}
	if out = shard.Apply(12, SetDocument{"p", id, four}); len(out.Answers) != 1 || out.Answers[0].Doc != four {
		t.Fatalf("%+v", out)
	}
}

// A shard rejects unknown zones, ignores commands for ended sessions, and removes sessions that end or cannot join.
func TestShardRejectionsAndDepartures(t *testing.T) {
	one := document(1)
	shard, id := newJoinedShard(t, newView(0, one), one)
	if out := shard.Poll(5, Poll{Ticket: 9, Proxy: "p", Zone: "nowhere"}); out.Answers[0].Kind != Invalid || len(out.Events) > 0 {
		t.Fatalf("%+v", out)
	}
	// A command for an earlier session does not apply to the present one.
	shard.Poll(10, newPoll(2, 20000, one))
	if out := shard.Disconnect(20, Disconnected{Ticket: 2, Proxy: "p"}); out.Events[0] != any(Left{"p", id, "broken"}) {
		t.Fatalf("%+v", out)
	}
	again := shard.Poll(30, Poll{Ticket: 3, Proxy: "p", Zone: "a"}).Events[0].(JoinRequest)
	if out := shard.Apply(31, SetDocument{"p", id, one}, RejectJoin{"p", id, Unknown, ""}); len(out.Answers) > 0 {
		t.Fatalf("a command for the earlier session produced an answer: %+v", out)
	}
	if out := shard.Apply(32, RejectJoin{"p", again.Session, Unknown, "no such proxy"}); out.Answers[0].Kind != Unknown || shard.Stats().Sessions != 0 {
		t.Fatalf("%+v", out)
	}
	// The core does not answer the join request: the poll is answered with Busy once its wait and a lease have passed.
	shard.Poll(100, Poll{Ticket: 4, Proxy: "p", Zone: "a", Wait: 1000})
	var out Output
	for now := logic.Millis(100); now < 4000 && len(out.Answers) == 0; now += 10 {
		if out = shard.Advance(now); len(out.Answers) > 0 && (now < 3100 || out.Answers[0].Kind != Busy) {
			t.Fatalf("at %v: %+v", now, out)
		}
	}
	if len(out.Answers) != 1 || len(out.Events) != 1 || shard.Stats().Sessions != 0 {
		t.Fatalf("%+v", out)
	}
}

// Random polls, disconnects, core commands, closed and open views, lease ends and waits keep these rules: each ticket
// is answered at most once, and all are in the end; no answer is older than the view's minimum step or than an earlier
// answer in the same session; no proxy that polls within the lease counts as gone; a poll whose deadline passes is
// answered if it may be.
func TestRandomOperations(t *testing.T) {
	docs := make([]*tables.Document, 12)
	for i := range docs {
		docs[i] = document(tables.Step(i + 1))
	}
	rapid.Check(t, func(t *rapid.T) {
		shard := NewShard(0, 1, testConfig, 0)
		now, stored, ticket := logic.Millis(0), 1, Ticket(0)
		v := newView(0, docs...)
		shard.SetView(now, v)
		type pendingPoll struct {
			proxy    string
			deadline logic.Millis
		}
		open := map[Ticket]pendingPoll{}
		sessions := map[string]SessionID{}
		answered := map[SessionID]tables.Step{}
		holds := map[string]*tables.Document{}
		joins := []JoinRequest{}
		check := func(out Output) {
			for _, a := range out.Answers {
				poll, pending := open[a.Ticket]
				if !pending {
					t.Fatalf("ticket %d is answered but not pending", a.Ticket)
				}
				delete(open, a.Ticket)
				if a.Kind != Full && a.Kind != Delta && a.Kind != Unchanged {
					continue
				}
				if v.Closed || now >= v.LeaseEnd || a.Doc.Step < v.MinStep || a.Doc.Step < answered[sessions[poll.proxy]] {
					t.Fatalf("answered version %d with view %+v, after version %d", a.Doc.Step, v, answered[sessions[poll.proxy]])
				}
				answered[sessions[poll.proxy]], holds[poll.proxy] = a.Doc.Step, a.Doc
			}
			for _, c := range out.Events {
				switch c := c.(type) {
				case JoinRequest:
					sessions[c.Proxy] = c.Session
					joins = append(joins, c)
				case Left:
					if c.Session != sessions[c.Proxy] {
						t.Fatalf("an ended session is reported as left: %+v", c)
					}
					for k, a := range open {
						if a.proxy != c.Proxy {
							continue
						}
						if c.Reason != "broken" {
							t.Fatalf("%+v while its poll is pending", c)
						}
						delete(open, k)
					}
					delete(sessions, c.Proxy)
				}
			}
		}
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			proxy := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "proxy")
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0, 1:
				ticket++
				p := Poll{Ticket: ticket, Proxy: proxy, Zone: "a", Wait: logic.Millis(rapid.IntRange(0, 3000).Draw(t, "wait")), WantsDelta: true}
				if d := holds[proxy]; d != nil && rapid.Bool().Draw(t, "says what it holds") {
					p.Held = []tables.Tag{d.Tag()}
				}
				open[ticket] = pendingPoll{proxy, now + p.Wait}
				check(shard.Poll(now, p))
			case 2:
				for k, a := range open {
					if a.proxy == proxy {
						check(shard.Disconnect(now, Disconnected{k, proxy}))
					}
				}
			case 3:
				if len(joins) > 0 {
					j := joins[0]
					joins = joins[1:]
					if rapid.IntRange(0, 4).Draw(t, "known") > 0 {
						check(shard.Apply(now, SetDocument{j.Proxy, j.Session, docs[stored-1]}))
					} else {
						if sessions[j.Proxy] == j.Session {
							delete(sessions, j.Proxy)
						}
						check(shard.Apply(now, RejectJoin{j.Proxy, j.Session, Unknown, ""}))
					}
				}
			case 4:
				stored = min(stored+1, len(docs))
				if id := sessions[proxy]; id > 0 && answered[id] > 0 {
					check(shard.Apply(now, SetDocument{proxy, id, docs[stored-1]}))
				}
			case 5:
				next := *v
				if next.Closed = !v.Closed; next.Closed {
					next.MinStep, next.Shared = tables.Step(stored), docs[stored-1]
				}
				v = &next
				check(shard.SetView(now, v))
			case 6:
				next := *v
				next.LeaseEnd = now + logic.Millis(rapid.IntRange(-500, 3000).Draw(t, "leases"))
				v = &next
				check(shard.SetView(now, v))
			default:
				for end := now + logic.Millis(rapid.IntRange(1, 1500).Draw(t, "ms")); now < end; now += 10 {
					check(shard.Advance(now))
				}
			}
		}
		v = newView(tables.Step(stored), docs[:stored]...)
		check(shard.SetView(now, v))
		for _, j := range joins {
			check(shard.Apply(now, SetDocument{j.Proxy, j.Session, docs[stored-1]}))
		}
		for end := now + testConfig.MaxWait + 3*testConfig.Lease; now < end; now += 50 {
			check(shard.Advance(now))
			for k, a := range open {
				if now > a.deadline+2*timerTick+100 {
					t.Fatalf("ticket %d of %s is pending at %v; its deadline was %v", k, a.proxy, now, a.deadline)
				}
			}
		}
		if f := shard.Stats(); f.Sessions != 0 || f.Pending != 0 || len(open) > 0 {
			t.Fatalf("%+v, %d tickets unanswered", f, len(open))
		}
	})
}
