package subscribe

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"vetchwood/internal/control"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// world is a core that has versions, and clients that hold some.
type harness struct {
	t       *rapid.T
	broker  *Broker
	now     logic.Millis
	tickets control.Ticket
	docs    []*tables.Document
	pending map[control.Ticket]control.Poll
	clients map[Conn]*testClient
}

type testClient struct {
	held      int // version; -1 none
	inFlight  map[uint16]int
	closeCode ReasonCode
	isClosed  bool
}

func (w *harness) publishVersion() {
	n := len(w.docs)
	d := &tables.Document{Routes: map[string]tables.Route{}, Hosts: map[tables.Address]tables.Host{}, Masked: map[tables.Address]bool{},
		Tables: map[string]*tables.Table{}}
	for i := range 20 {
		d.Tables[fmt.Sprint(i)] = &tables.Table{Lines: map[tables.Address]float64{"h": 1, "g": float64(1 + (n+i)%7)}}
	}
	w.docs = append(w.docs, d.Seal(1, tables.Step(n+1), float64(n)))
}

func (w *harness) versionOf(tag string) int {
	for i, d := range w.docs {
		if d.Tag().ETag() == tag {
			return i
		}
	}
	w.t.Fatalf("no version has the tag %s", tag)
	return -1
}

// core answers polls whose version is not the newest.
func (w *harness) answerPolls() {
	newest := w.docs[len(w.docs)-1]
	for ticket, p := range w.pending {
		var base *tables.Document
		for _, tag := range p.Held {
			base = w.docs[tag.Step-1]
		}
		a := control.Answer{Ticket: ticket, Doc: newest, Kind: control.Full}
		if base == newest {
			continue
		}
		if base != nil {
			if patch := newest.Delta(base); patch != nil {
				a.Kind, a.Base, a.Patch = control.Delta, base, patch
			}
		}
		delete(w.pending, ticket)
		w.handle(CoreAnswer{a})
	}
}

func (w *harness) handle(in ...any) {
	for _, o := range w.broker.Handle(w.now, in...) {
		switch o := o.(type) {
		case Post:
			switch p := o.Input.(type) {
			case control.Poll:
				w.pending[p.Ticket] = p
			case control.Disconnected:
				delete(w.pending, p.Ticket)
			}
		case Deliver:
			c := w.clients[o.Conn]
			if c == nil || c.isClosed {
				w.t.Fatalf("a document for a connection that has ended")
			}
			if len(c.inFlight) > 0 {
				w.t.Fatalf("two documents on their way to one client: %v", c.inFlight)
			}
			if o.Doc.Base != "" && w.versionOf(o.Doc.Base) != c.held {
				w.t.Fatalf("a difference from version %d to a client that holds %d", w.versionOf(o.Doc.Base), c.held)
			}
			if v := w.versionOf(o.Doc.Tag); v <= c.held && !o.Duplicate && o.Doc.Base != "" {
				w.t.Fatalf("version %d after %d", v, c.held)
			}
			c.inFlight[o.ID] = w.versionOf(o.Doc.Tag)
		case Close:
			w.clients[o.Conn].closeCode, w.clients[o.Conn].isClosed = o.Code, true
		}
	}
}

// Whatever clients do and however their connections break, a document goes out only when the one before it was acknowledged,
// each difference is from what the client holds, and in the end every subscriber has the newest version.
func TestBroker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &harness{t: t, pending: map[control.Ticket]control.Poll{}, clients: map[Conn]*testClient{}}
		w.broker = NewBroker(Limits{MaxSessions: 4, MaxExpiry: 5000, AckTimeout: 20000, ConnectsPerSecond: 1000, MaxWatchers: 2}, 1000,
			func() control.Ticket { w.tickets++; return w.tickets })
		w.publishVersion()
		last, holds := map[string]Conn{}, map[string]int{"a": -1, "b": -1, "c": -1}
		next := Conn(0)
		connect := func(name string, clean bool) {
			next++
			held := holds[name]
			if clean {
				held = -1
			}
			w.clients[next] = &testClient{held: held, inFlight: map[uint16]int{}}
			last[name] = next
			w.handle(Connect{Conn: next, ClientID: name, CleanStart: clean, Expiry: 3000})
			w.handle(Subscribe{Conn: next, ID: 1, Filters: []Filter{{TablesTopic("p" + name), 1}}})
		}
		ack := func(name string) {
			c := w.clients[last[name]]
			for id, v := range c.inFlight {
				delete(c.inFlight, id)
				c.held, holds[name] = v, v
				w.handle(Ack{Conn: last[name], ID: id})
				w.handle(Ack{Conn: last[name], ID: id}) // a second time
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "client")
			w.now += logic.Millis(rapid.IntRange(0, 2500).Draw(t, "later"))
			c := w.clients[last[name]]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				connect(name, rapid.Bool().Draw(t, "clean"))
			case 1:
				if c != nil && !c.isClosed {
					ack(name)
				}
			case 2:
				if c != nil && !c.isClosed {
					c.isClosed = true
					w.handle(ConnectionClosed{Conn: last[name]})
				}
			case 3, 4:
				w.publishVersion()
			case 5:
				w.handle()
			}
			w.answerPolls()
			// What a session that ended held, its client holds no more for the desk: it says so itself, or gets a whole one.
			for n, s := range w.broker.sessions {
				if len(s.held) == 0 && s.inFlight == nil && w.clients[s.conn] != nil {
					w.clients[s.conn].held, holds[n] = -1, -1
				}
			}
		}
		for name := range holds {
			if c := w.clients[last[name]]; c == nil || c.isClosed {
				connect(name, true)
				holds[name] = -1
			}
		}
		for range 5 {
			w.answerPolls()
			for name := range holds {
				if c := w.clients[last[name]]; !c.isClosed {
					ack(name)
				}
			}
		}
		for name := range holds {
			if c := w.clients[last[name]]; !c.isClosed && c.held != len(w.docs)-1 {
				t.Fatalf("%s holds version %d of %d in the end", name, c.held, len(w.docs)-1)
			}
		}
	})
}

// Limits: sessions, connects at once, a client that acknowledges nothing, a session that is over, a proxy on both fronts.
func TestLimits(t *testing.T) {
	ticket := control.Ticket(0)
	d := NewBroker(Limits{MaxSessions: 2, MaxExpiry: 5000, AckTimeout: 8000, ConnectsPerSecond: 3, MaxWatchers: 1}, 1000, func() control.Ticket { ticket++; return ticket })
	find := func(out []any, is func(any) bool) bool {
		for _, o := range out {
			if is(o) {
				return true
			}
		}
		return false
	}
	refused := func(code ReasonCode) func(any) bool {
		return func(o any) bool { r, is := o.(Refuse); return is && r.Code == code }
	}
	closed := func(c Conn, code ReasonCode) func(any) bool {
		return func(o any) bool { r, is := o.(Close); return is && r.Conn == c && r.Code == code }
	}
	present := func(o any) bool { a, is := o.(Accept); return is && a.SessionPresent }
	d.Handle(0, Connect{Conn: 1, ClientID: "a", Expiry: 9000}, Connect{Conn: 2, ClientID: "b", Expiry: 9000})
	if out := d.Handle(0, Connect{Conn: 3, ClientID: "c"}, Connect{Conn: 4, ClientID: "c"}); !find(out, refused(QuotaExceeded)) {
		t.Errorf("a third session: %+v", out)
	}
	if out := d.Handle(1, Connect{Conn: 4, ClientID: "a"}, Connect{Conn: 5, ClientID: "a"}); !find(out, refused(ServerBusy)) {
		t.Errorf("too many at once: %+v", out)
	}
	if out := d.Handle(3000, Connect{Conn: 6, ClientID: "b", Expiry: 9000}); !find(out, closed(2, SessionTakenOver)) || !find(out, present) {
		t.Errorf("the same client again: %+v", out)
	}
	out := d.Handle(3001, Subscribe{Conn: 6, ID: 1, Filters: []Filter{{TablesTopic("p"), 1}, {AllTablesTopic, 1}}})
	if g := out[0].(SubAck); g.Codes[0] != GrantedQoS1 || g.Codes[1] != QuotaExceeded {
		t.Errorf("two topics: %+v", g)
	}
	doc := (&tables.Document{Tables: map[string]*tables.Table{}}).Seal(1, 1, 0)
	d.Handle(3002, CoreAnswer{control.Answer{Ticket: ticket, Kind: control.Full, Doc: doc}})
	if out := d.Handle(12000); !find(out, closed(6, ImplementationSpecificError)) {
		t.Errorf("nothing is acknowledged: %+v", out)
	}
	if out := d.Handle(14000, Connect{Conn: 7, ClientID: "b", Expiry: 1000}); !find(out, func(o any) bool { x, is := o.(Deliver); return is && x.Duplicate }) {
		t.Errorf("a session that goes on is sent the unacknowledged document again: %+v", out)
	}
	d.Handle(14001, ConnectionClosed{Conn: 7})
	if out := d.Handle(17000, Connect{Conn: 8, ClientID: "b"}); find(out, present) {
		t.Errorf("a session that was over: %+v", out)
	}
	out = d.Handle(17001, Subscribe{Conn: 8, ID: 1, Filters: []Filter{{TablesTopic("p"), 1}}})
	if out = d.Handle(17002, CoreAnswer{control.Answer{Ticket: ticket, Kind: control.Replaced, Doc: doc}}); !find(out, closed(8, SessionTakenOver)) {
		t.Errorf("the proxy polls by the other front: %+v", out)
	}
}
