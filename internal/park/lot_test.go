package park

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
	for i := range 20 { // so that a difference is shorter than the whole
		d.Hosts[tables.Address(fmt.Sprintf("10.0.0.%d:80", i))] = tables.Host{ID: "some host", Zone: "a"}
	}
	return d.Seal(1, step, float64(step))
}

func view(floor tables.Step, docs ...*tables.Document) *View {
	v := &View{Kept: map[tables.Tag]*tables.Document{}, Floor: floor, Until: logic.Millis(math.Inf(1))}
	for _, d := range docs {
		v.Kept[d.Tag()] = d
		if d.Step == floor {
			v.Doc = d
		}
	}
	return v
}

var terms = Terms{LongestWait: 30000, Lease: 2000, Zones: []string{"a"}}

// joined gives a lot in which a proxy has joined and holds a document.
func joined(t *testing.T, v *View, d *tables.Document) (*Lot, Visit) {
	l := NewLot(0, 1, terms, 0)
	l.See(0, v)
	said := l.Poll(0, Poll{Ticket: 1, Proxy: "p", Zone: "a"})
	j, is := said.Core[0].(Join)
	if !is || len(said.Answers) > 0 {
		t.Fatalf("%+v", said)
	}
	if said = l.Told(1, Tell{"p", j.Visit, d}); len(said.Answers) != 1 || said.Answers[0].Doc != d || said.Answers[0].Ticket != 1 {
		t.Fatalf("%+v", said)
	}
	return l, j.Visit
}

func poll(ticket Ticket, wait logic.Millis, held *tables.Document) Poll {
	return Poll{Ticket: ticket, Proxy: "p", Zone: "a", Wait: wait, Held: []tables.Tag{held.Tag()}, WantsDelta: true}
}

// While the lots are closed for a removal nothing is answered: neither a poll that comes, nor one that waits, nor what the core
// still says of older versions. Once they are open all of it is answered, with nothing older than the removal.
func TestAClosedLotAnswersNothing(t *testing.T) {
	one, two, three := document(1), document(2), document(3)
	l, visit := joined(t, view(0, one), one)
	if said := l.Poll(10, poll(2, 20000, one)); len(said.Answers) > 0 || len(said.Core) != 1 || said.Core[0].(Holds).Step != 1 {
		t.Fatalf("%+v", said)
	}
	closed := view(3, one, two, three)
	closed.Closed = true
	l.See(20, closed)
	if said := l.Told(21, Tell{"p", visit, two}); len(said.Answers) > 0 {
		t.Fatalf("version 2 is told with version 3's removal on its way: %+v", said)
	}
	if said := l.Poll(22, poll(3, 0, one)); len(said.Answers) != 1 || said.Answers[0].Kind != Replaced {
		t.Fatalf("%+v", said)
	}
	said := l.See(30, view(3, one, two, three))
	if len(said.Answers) != 1 || said.Answers[0].Ticket != 3 || said.Answers[0].Doc != three || said.Answers[0].Kind != Delta || said.Answers[0].Base != one {
		t.Fatalf("%+v", said)
	}
	if said = l.Told(31, Tell{"p", visit, two}); len(said.Answers) > 0 { // it comes late, on another core
		t.Fatalf("%+v", said)
	}
	if said = l.Poll(32, poll(4, 0, two)); len(said.Answers) != 1 || said.Answers[0].Doc != three {
		t.Fatalf("%+v", said)
	}
}

// Where proxies have tables of their own the core alone can make the newer document: it is asked for, and the poll waits for it.
func TestATableOlderThanARemovalIsMadeAnew(t *testing.T) {
	one, four := document(1), document(4)
	l, visit := joined(t, view(0, one), one)
	v := view(3, one)
	l.See(10, v)
	said := l.Poll(11, Poll{Ticket: 2, Proxy: "p", Zone: "a"})
	if len(said.Answers) > 0 || !slices.Contains(said.Core, any(Wants{"p", visit})) {
		t.Fatalf("%+v", said)
	}
	if said = l.Told(12, Tell{"p", visit, four}); len(said.Answers) != 1 || said.Answers[0].Doc != four {
		t.Fatalf("%+v", said)
	}
}

func TestWhatALotRefusesAndForgets(t *testing.T) {
	one := document(1)
	l, visit := joined(t, view(0, one), one)
	if said := l.Poll(5, Poll{Ticket: 9, Proxy: "p", Zone: "nowhere"}); said.Answers[0].Kind != Wrong || len(said.Core) > 0 {
		t.Fatalf("%+v", said)
	}
	// A word for an earlier stay is not for this one.
	l.Poll(10, poll(2, 20000, one))
	if said := l.Broke(20, Broke{Ticket: 2, Proxy: "p"}); said.Core[0] != any(Leaves{"p", visit, "broken"}) {
		t.Fatalf("%+v", said)
	}
	again := l.Poll(30, Poll{Ticket: 3, Proxy: "p", Zone: "a"}).Core[0].(Join)
	if said := l.Told(31, Tell{"p", visit, one}, Turned{"p", visit, Unknown, ""}); len(said.Answers) > 0 {
		t.Fatalf("a word for the earlier stay answers: %+v", said)
	}
	if said := l.Told(32, Turned{"p", again.Visit, Unknown, "no such proxy"}); said.Answers[0].Kind != Unknown || l.Figures().Seats != 0 {
		t.Fatalf("%+v", said)
	}
	// The core does not let it in: it is told so once its wait and a lease are over.
	l.Poll(100, Poll{Ticket: 4, Proxy: "p", Zone: "a", Wait: 1000})
	var out Said
	for now := logic.Millis(100); now < 4000 && len(out.Answers) == 0; now += 10 {
		if out = l.Turn(now); len(out.Answers) > 0 && (now < 3100 || out.Answers[0].Kind != Busy) {
			t.Fatalf("at %v: %+v", now, out)
		}
	}
	if len(out.Answers) != 1 || len(out.Core) != 1 || l.Figures().Seats != 0 {
		t.Fatalf("%+v", out)
	}
}

// Whatever polls, breaks, is told, is closed, opened, cut from its leases or waits: each ticket is answered once at most, and in the
// end all are; none is given anything older than the floor or than it was given before in its stay; nobody who polls within the
// lease is taken for gone; what waits its time and could be answered is.
func TestDrawnDays(t *testing.T) {
	docs := make([]*tables.Document, 12)
	for i := range docs {
		docs[i] = document(tables.Step(i + 1))
	}
	rapid.Check(t, func(t *rapid.T) {
		l := NewLot(0, 1, terms, 0)
		now, stored, ticket := logic.Millis(0), 1, Ticket(0)
		v := view(0, docs...)
		l.See(now, v)
		type asked struct {
			proxy string
			until logic.Millis
		}
		open := map[Ticket]asked{}
		visits := map[string]Visit{}
		given := map[Visit]tables.Step{}
		holds := map[string]*tables.Document{}
		joins := []Join{}
		heard := func(said Said) {
			for _, a := range said.Answers {
				of, waits := open[a.Ticket]
				if !waits {
					t.Fatalf("ticket %d is answered, and does not wait", a.Ticket)
				}
				delete(open, a.Ticket)
				if a.Kind != Whole && a.Kind != Delta && a.Kind != Unchanged {
					continue
				}
				if v.Closed || now >= v.Until || a.Doc.Step < v.Floor || a.Doc.Step < given[visits[of.proxy]] {
					t.Fatalf("version %d is given; %+v, before it %d", a.Doc.Step, v, given[visits[of.proxy]])
				}
				given[visits[of.proxy]], holds[of.proxy] = a.Doc.Step, a.Doc
			}
			for _, c := range said.Core {
				switch c := c.(type) {
				case Join:
					visits[c.Proxy] = c.Visit
					joins = append(joins, c)
				case Leaves:
					if c.Visit != visits[c.Proxy] {
						t.Fatalf("leaves a stay that is over: %+v", c)
					}
					for k, a := range open {
						if a.proxy != c.Proxy {
							continue
						}
						if c.Why != "broken" {
							t.Fatalf("%+v while its poll waits", c)
						}
						delete(open, k)
					}
					delete(visits, c.Proxy)
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
				open[ticket] = asked{proxy, now + p.Wait}
				heard(l.Poll(now, p))
			case 2:
				for k, a := range open {
					if a.proxy == proxy {
						heard(l.Broke(now, Broke{k, proxy}))
					}
				}
			case 3:
				if len(joins) > 0 {
					j := joins[0]
					joins = joins[1:]
					if rapid.IntRange(0, 4).Draw(t, "known") > 0 {
						heard(l.Told(now, Tell{j.Proxy, j.Visit, docs[stored-1]}))
					} else {
						if visits[j.Proxy] == j.Visit {
							delete(visits, j.Proxy)
						}
						heard(l.Told(now, Turned{j.Proxy, j.Visit, Unknown, ""}))
					}
				}
			case 4:
				stored = min(stored+1, len(docs))
				if visit := visits[proxy]; visit > 0 && given[visit] > 0 {
					heard(l.Told(now, Tell{proxy, visit, docs[stored-1]}))
				}
			case 5:
				next := *v
				if next.Closed = !v.Closed; next.Closed {
					next.Floor, next.Doc = tables.Step(stored), docs[stored-1]
				}
				v = &next
				heard(l.See(now, v))
			case 6:
				next := *v
				next.Until = now + logic.Millis(rapid.IntRange(-500, 3000).Draw(t, "leases"))
				v = &next
				heard(l.See(now, v))
			default:
				for end := now + logic.Millis(rapid.IntRange(1, 1500).Draw(t, "ms")); now < end; now += 10 {
					heard(l.Turn(now))
				}
			}
		}
		v = view(tables.Step(stored), docs[:stored]...)
		heard(l.See(now, v))
		for _, j := range joins {
			heard(l.Told(now, Tell{j.Proxy, j.Visit, docs[stored-1]}))
		}
		for end := now + terms.LongestWait + 3*terms.Lease; now < end; now += 50 {
			heard(l.Turn(now))
			for k, a := range open {
				if now > a.until+2*tick+100 {
					t.Fatalf("ticket %d of %s waits at %v, and should have been answered at %v", k, a.proxy, now, a.until)
				}
			}
		}
		if f := l.Figures(); f.Seats != 0 || f.Parked != 0 || len(open) > 0 {
			t.Fatalf("%+v, %d unanswered", f, len(open))
		}
	})
}
