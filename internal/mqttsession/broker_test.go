package mqttsession

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"vetchwood/internal/control"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// harness simulates a core that publishes versions, and clients that subscribe to them.
type harness struct {
	t       *rapid.T
	broker  *Broker
	now     logic.Millis
	tickets control.Ticket
	docs    []*tables.Document // all published versions
	pending map[control.Ticket]control.Poll
	clients map[Conn]*testClient
}

type testClient struct {
	held      int            // index of the version in force; -1: none
	inFlight  map[uint16]int // versions by packet identifier
	closeCode ReasonCode
	isClosed  bool
}

func (h *harness) publishVersion() {
	n := len(h.docs)
	d := &tables.Document{Routes: map[string]tables.Route{}, Hosts: map[tables.Address]tables.Host{},
		Masked: map[tables.Address]bool{}, Tables: map[string]*tables.Table{}}
	for i := range 20 {
		d.Tables[fmt.Sprint(i)] = &tables.Table{Lines: map[tables.Address]float64{"h": 1, "g": float64(1 + (n+i)%7)}}
	}
	h.docs = append(h.docs, d.Seal(1, tables.Step(n+1), float64(n)))
}

func (h *harness) versionOf(tag string) int {
	for i, d := range h.docs {
		if d.Tag().ETag() == tag {
			return i
		}
	}
	h.t.Fatalf("no version has the entity tag %s", tag)
	return -1
}

// answerPolls answers the pending polls of clients that do not have the newest version.
func (h *harness) answerPolls() {
	newest := h.docs[len(h.docs)-1]
	for ticket, p := range h.pending {
		var base *tables.Document
		for _, tag := range p.Held {
			base = h.docs[tag.Step-1]
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
		delete(h.pending, ticket)
		h.handle(CoreAnswer{a})
	}
}

func (h *harness) handle(in ...any) {
	for _, o := range h.broker.Handle(h.now, in...) {
		switch o := o.(type) {
		case Post:
			switch p := o.Input.(type) {
			case control.Poll:
				h.pending[p.Ticket] = p
			case control.Disconnected:
				delete(h.pending, p.Ticket)
			}
		case Deliver:
			c := h.clients[o.Conn]
			if c == nil || c.isClosed {
				h.t.Fatalf("a document was sent on a closed connection")
			}
			if len(c.inFlight) > 0 {
				h.t.Fatalf("a document was sent while another one was unacknowledged: %v", c.inFlight)
			}
			if o.Doc.Base != "" && h.versionOf(o.Doc.Base) != c.held {
				h.t.Fatalf("a delta from version %d was sent to a client with version %d", h.versionOf(o.Doc.Base), c.held)
			}
			if v := h.versionOf(o.Doc.Tag); v <= c.held && !o.Duplicate && o.Doc.Base != "" {
				h.t.Fatalf("version %d was sent after version %d", v, c.held)
			}
			c.inFlight[o.ID] = h.versionOf(o.Doc.Tag)
		case Close:
			h.clients[o.Conn].closeCode, h.clients[o.Conn].isClosed = o.Code, true
		}
	}
}

// Clients connect, acknowledge and disconnect at random times. A document is sent only after the previous one was
// acknowledged, each delta applies to the version of the client, and at the end each subscriber has the newest version.
func TestBroker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{t: t, pending: map[control.Ticket]control.Poll{}, clients: map[Conn]*testClient{}}
		h.broker = NewBroker(
			Limits{MaxSessions: 4, MaxExpiry: 5000, AckTimeout: 20000, ConnectsPerSecond: 1000, MaxWatchers: 2}, 1000,
			func() control.Ticket { h.tickets++; return h.tickets })
		h.publishVersion()
		lastConn, versions := map[string]Conn{}, map[string]int{"a": -1, "b": -1, "c": -1}
		next := Conn(0)
		connect := func(name string, clean bool) {
			next++
			held := versions[name]
			if clean {
				held = -1
			}
			h.clients[next] = &testClient{held: held, inFlight: map[uint16]int{}}
			lastConn[name] = next
			h.handle(Connect{Conn: next, ClientID: name, CleanStart: clean, Expiry: 3000})
			h.handle(Subscribe{Conn: next, ID: 1, Filters: []Filter{{TablesTopic("p" + name), 1}}})
		}
		ack := func(name string) {
			c := h.clients[lastConn[name]]
			for id, v := range c.inFlight {
				delete(c.inFlight, id)
				c.held, versions[name] = v, v
				h.handle(Ack{Conn: lastConn[name], ID: id})
				h.handle(Ack{Conn: lastConn[name], ID: id}) // a repeated acknowledgement
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "client")
			h.now += logic.Millis(rapid.IntRange(0, 2500).Draw(t, "later"))
			c := h.clients[lastConn[name]]
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
					h.handle(ConnectionClosed{Conn: lastConn[name]})
				}
			case 3, 4:
				h.publishVersion()
			case 5:
				h.handle()
			}
			h.answerPolls()
			// The broker does not know the version of a client whose session has ended: the client states it in CONNECT, or
			// gets a full document.
			for n, s := range h.broker.sessions {
				if len(s.held) == 0 && s.inFlight == nil && h.clients[s.conn] != nil {
					h.clients[s.conn].held, versions[n] = -1, -1
				}
			}
		}
		for name := range versions {
			if c := h.clients[lastConn[name]]; c == nil || c.isClosed {
				connect(name, true)
				versions[name] = -1
			}
		}
		for range 5 {
			h.answerPolls()
			for name := range versions {
				if c := h.clients[lastConn[name]]; !c.isClosed {
					ack(name)
				}
			}
		}
		for name := range versions {
			if c := h.clients[lastConn[name]]; !c.isClosed && c.held != len(h.docs)-1 {
				t.Fatalf("%s has version %d at the end, want %d", name, c.held, len(h.docs)-1)
			}
		}
	})
}

// Covers the limits of sessions and of connections per second, a client that acknowledges nothing, an expired session,
// and a proxy that polls through another front.
func TestLimits(t *testing.T) {
	ticket := control.Ticket(0)
	b := NewBroker(Limits{MaxSessions: 2, MaxExpiry: 5000, AckTimeout: 8000, ConnectsPerSecond: 3, MaxWatchers: 1}, 1000,
		func() control.Ticket { ticket++; return ticket })
	contains := func(out []any, matches func(any) bool) bool {
		for _, o := range out {
			if matches(o) {
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
	b.Handle(0, Connect{Conn: 1, ClientID: "a", Expiry: 9000}, Connect{Conn: 2, ClientID: "b", Expiry: 9000})
	if out := b.Handle(0, Connect{Conn: 3, ClientID: "c"},
		Connect{Conn: 4, ClientID: "c"}); !contains(out, refused(QuotaExceeded)) {
		t.Errorf("a third session was not refused: %+v", out)
	}
	if out := b.Handle(1, Connect{Conn: 4, ClientID: "a"},
		Connect{Conn: 5, ClientID: "a"}); !contains(out, refused(ServerBusy)) {
		t.Errorf("connections beyond the rate limit were not refused: %+v", out)
	}
	if out := b.Handle(3000, Connect{Conn: 6, ClientID: "b", Expiry: 9000}); !contains(out, closed(2, SessionTakenOver)) ||
		!contains(out, present) {
		t.Errorf("second connection of a client did not take over its session: %+v", out)
	}
	out := b.Handle(3001, Subscribe{Conn: 6, ID: 1, Filters: []Filter{{TablesTopic("p"), 1}, {AllTablesTopic, 1}}})
	if g := out[0].(SubAck); g.Codes[0] != GrantedQoS1 || g.Codes[1] != QuotaExceeded {
		t.Errorf("subscription to two topics: %+v, want one granted, one refused", g)
	}
	doc := (&tables.Document{Tables: map[string]*tables.Table{}}).Seal(1, 1, 0)
	b.Handle(3002, CoreAnswer{control.Answer{Ticket: ticket, Kind: control.Full, Doc: doc}})
	if out := b.Handle(12000); !contains(out, closed(6, ImplementationSpecificError)) {
		t.Errorf("connection without acknowledgements was not closed: %+v", out)
	}
	if out := b.Handle(14000, Connect{Conn: 7, ClientID: "b", Expiry: 1000}); !contains(out, func(o any) bool {
		x, is := o.(Deliver)
		return is && x.Duplicate
	}) {
		t.Errorf("unacknowledged document was not sent again in a resumed session: %+v", out)
	}
	b.Handle(14001, ConnectionClosed{Conn: 7})
	if out := b.Handle(17000, Connect{Conn: 8, ClientID: "b"}); contains(out, present) {
		t.Errorf("expired session was resumed: %+v", out)
	}
	out = b.Handle(17001, Subscribe{Conn: 8, ID: 1, Filters: []Filter{{TablesTopic("p"), 1}}})
	if out = b.Handle(17002, CoreAnswer{control.Answer{Ticket: ticket, Kind: control.Replaced,
		Doc: doc}}); !contains(out, closed(8, SessionTakenOver)) {
		t.Errorf("connection of a proxy that polls through another front was not closed: %+v", out)
	}
}
