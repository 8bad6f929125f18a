// Package subscribe decides for a publish-and-subscribe front: sessions that outlive their connections, one document at
// a time on its way to each subscriber, what is acknowledged, who is turned away. A subscription is a poll that renews itself,
// so what is told to whom and when stays the core's. No I/O, no clock.
package subscribe

import (
	"maps"
	"slices"
	"strings"

	"vetchwood/internal/control"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// session is a client's.
type session struct {
	client  string
	conn    Conn // 0: its connection is gone
	expiry  logic.Millis
	until   logic.Millis // it ends, without a connection
	zone    string
	rate    float64
	most    int
	proxy   string // whose tables it follows; "" with watch: of nobody, it looks on
	watch   bool
	topic   string
	held    []tables.Tag
	ticket  control.Ticket // of the poll that stands for the subscription
	flight  *flight
	serial  uint16
	begins  bool         // the next document is the subscription's first
	retryAt logic.Millis // the core could not answer: it is asked again
}

type flight struct {
	id     uint16
	doc    Document
	retain bool
	sent   logic.Millis
	void   bool // its acknowledgement says nothing
}

// asked is what a ticket of the core stands for.
type asked struct {
	client string
	report bool
	conn   Conn
	id     uint16
}

// Desk is one front's.
type Broker struct {
	limits   Limits
	wait     logic.Millis // of each poll
	ticket   func() control.Ticket
	sessions map[string]*session
	conns    map[Conn]string // the client of each
	tickets  map[control.Ticket]asked
	credit   float64
	credited logic.Millis
	out      []any
	figures  Stats
}

// NewDesk begins one; ticket gives out the core's.
func NewBroker(limits Limits, wait logic.Millis, ticket func() control.Ticket) *Broker {
	return &Broker{limits: limits, wait: wait, ticket: ticket, sessions: map[string]*session{}, conns: map[Conn]string{},
		tickets: map[control.Ticket]asked{}, credit: limits.ConnectsPerSecond}
}

func (d *Broker) say(o any) { d.out = append(d.out, o) }

// Handle takes what happened up to now and says what to do, in order.
func (d *Broker) Handle(now logic.Millis, in ...any) []any {
	for _, i := range in {
		switch i := i.(type) {
		case Connect:
			d.connect(now, i)
		case Subscribe:
			d.subscribe(now, i)
		case Unsubscribe:
			d.unsubscribe(now, i)
		case Ack:
			d.ack(now, i)
		case Report:
			d.report(now, i)
		case ConnectionClosed:
			d.gone(now, i)
		case CoreAnswer:
			d.told(now, i.Answer)
		}
	}
	d.sweep(now)
	out := d.out
	d.out = nil
	return out
}

func (d *Broker) of(c Conn) *session {
	s := d.sessions[d.conns[c]]
	if s == nil || s.conn != c {
		return nil
	}
	return s
}

func (d *Broker) refuse(c Conn, code ReasonCode, why string) {
	d.figures.Refused++
	d.say(Refuse{c, code, why})
}

// connect gives a session, or goes on with the client's earlier one.
func (d *Broker) connect(now logic.Millis, c Connect) {
	d.credit = min(d.limits.ConnectsPerSecond, d.credit+d.limits.ConnectsPerSecond*float64(now-d.credited)/1000)
	d.credited = now
	was := d.sessions[c.ClientID]
	if was != nil && was.conn == 0 && now >= was.until {
		d.end(was)
		was = nil
	}
	switch {
	case d.credit < 1:
		d.figures.Busy++
		d.refuse(c.Conn, ServerBusy, "too many connect at once: come again in a second or two")
		return
	case was == nil && len(d.sessions) >= d.limits.MaxSessions && !d.forget(now):
		d.refuse(c.Conn, QuotaExceeded, "there is room for no more sessions")
		return
	}
	d.credit--
	if was != nil && was.conn != 0 {
		d.figures.TakenOver++
		d.say(Close{was.conn, SessionTakenOver, "another connection of this client took its session over"})
		d.part(now, was)
	}
	if c.CleanStart && was != nil {
		d.end(was)
		was = nil
	}
	s := was
	if s == nil {
		s = &session{client: c.ClientID}
		d.sessions[c.ClientID] = s
	}
	s.conn, s.zone, s.rate, s.most = c.Conn, c.Zone, c.Rate, c.MaxPacket
	s.expiry = min(c.Expiry, d.limits.MaxExpiry)
	if len(c.Held) > 0 { // its own word is newer than ours: it may have been with another front meanwhile
		s.held, s.flight = c.Held, nil
	}
	d.conns[c.Conn] = c.ClientID
	d.say(Accept{c.Conn, was != nil, s.expiry})
	switch {
	case s.flight != nil:
		d.figures.Redelivered++
		s.flight.sent = now
		d.say(Deliver{s.conn, s.flight.id, s.topic, true, s.flight.retain, s.flight.doc})
	case s.topic != "":
		d.poll(s)
	}
}

// forget ends the session that has been without a connection for longest; false if all are connected.
func (d *Broker) forget(now logic.Millis) bool {
	var oldest *session
	for _, s := range d.sessions {
		if s.conn == 0 && (oldest == nil || s.until < oldest.until || s.until == oldest.until && s.client < oldest.client) {
			oldest = s
		}
	}
	if oldest != nil {
		d.end(oldest)
	}
	return oldest != nil
}

// part takes a session's connection away; the proxy has left until it is back.
func (d *Broker) part(now logic.Millis, s *session) {
	if s.ticket != 0 {
		d.say(Post{control.Disconnected{Ticket: s.ticket, Proxy: s.proxy}})
		delete(d.tickets, s.ticket)
		s.ticket = 0
	}
	delete(d.conns, s.conn)
	s.conn, s.until, s.retryAt = 0, now+s.expiry, 0
}

func (d *Broker) end(s *session) { delete(d.sessions, s.client) }

func (d *Broker) gone(now logic.Millis, g ConnectionClosed) {
	s := d.of(g.Conn)
	if s == nil {
		delete(d.conns, g.Conn)
		return
	}
	if g.Expiry != nil {
		s.expiry = min(*g.Expiry, d.limits.MaxExpiry)
	}
	if d.part(now, s); s.expiry <= 0 {
		d.end(s)
	}
}

// grant looks at one filter of a subscription.
func (d *Broker) grant(s *session, f Filter) (proxy string, watch bool, code ReasonCode, why string) {
	rest, is := strings.CutPrefix(f.Topic, ofProxies)
	name, ends := strings.CutSuffix(rest, tablesPart)
	switch {
	case strings.HasPrefix(f.Topic, "$share/"):
		return "", false, SharedSubscriptionsNotSupported, "a proxy's tables are for one subscriber"
	case strings.ContainsAny(f.Topic, "+#"):
		return "", false, WildcardSubscriptionsNotSupported, "one proxy's tables at a time, or " + allTables
	case f.Topic == allTables:
		watch = true
	case !is || !ends || name == "" || strings.Contains(name, "/"):
		return "", false, TopicFilterInvalid, "there is " + TablesTopic("{proxy}") + " and " + allTables
	case f.QoS == 0:
		return "", false, ImplementationSpecificError, "a proxy's tables are sent with QoS 1: the acknowledgement says that they are in force"
	}
	if s.topic != "" && s.topic != f.Topic {
		return "", false, QuotaExceeded, "a session follows one topic"
	}
	if watch {
		name = ""
		watchers := 0
		for _, o := range d.sessions {
			watchers += map[bool]int{true: 1}[o.watch && o != s]
		}
		if watchers >= d.limits.MaxWatchers {
			return "", false, QuotaExceeded, "there is room for no more that look on"
		}
	}
	return name, watch, GrantedQoS1, ""
}

func (d *Broker) subscribe(now logic.Millis, in Subscribe) {
	s := d.of(in.Conn)
	if s == nil {
		return
	}
	g := SubAck{Conn: in.Conn, ID: in.ID}
	begins := false
	for _, f := range in.Filters {
		proxy, watch, code, why := d.grant(s, f)
		if g.Codes = append(g.Codes, code); code != GrantedQoS1 {
			d.figures.Refused++
			g.Reason = why
			continue
		}
		s.proxy, s.watch, s.topic, begins = proxy, watch, f.Topic, true
	}
	d.say(g)
	switch {
	case begins && s.flight != nil:
		s.flight.void = s.flight.void || in.Resend
	case begins && s.ticket == 0:
		s.begins = true
		d.poll(s)
	}
}

func (d *Broker) unsubscribe(now logic.Millis, in Unsubscribe) {
	s := d.of(in.Conn)
	if s == nil {
		return
	}
	u := UnsubAck{Conn: in.Conn, ID: in.ID}
	for _, topic := range in.Topics {
		if topic == "" || topic != s.topic {
			u.Codes = append(u.Codes, NoSubscriptionExisted)
			continue
		}
		u.Codes = append(u.Codes, Success)
		if s.ticket != 0 {
			d.say(Post{control.Disconnected{Ticket: s.ticket, Proxy: s.proxy}})
			delete(d.tickets, s.ticket)
		}
		s.topic, s.proxy, s.watch, s.ticket, s.retryAt = "", "", false, 0, 0
	}
	d.say(u)
}

// poll asks the core for what comes next. What is held is what was acknowledged last.
func (d *Broker) poll(s *session) {
	t := d.ticket()
	s.ticket, s.retryAt = t, 0
	d.tickets[t] = asked{client: s.client}
	if s.watch {
		d.say(Post{control.Watch{Ticket: t, Held: s.held, Wait: d.wait, WantsDelta: true}})
		return
	}
	d.say(Post{control.Poll{Ticket: t, Proxy: s.proxy, Zone: s.zone, Rate: s.rate, Held: s.held, Wait: d.wait, WantsDelta: true}})
}

// busyFor is how long a subscriber waits where the core can't answer.
const busyFor logic.Millis = 1000

func (d *Broker) told(now logic.Millis, a control.Answer) {
	of, known := d.tickets[a.Ticket]
	if !known {
		return
	}
	delete(d.tickets, a.Ticket)
	if of.report {
		d.reported(of, a)
		return
	}
	s := d.sessions[of.client]
	if s == nil || s.ticket != a.Ticket || s.conn == 0 {
		return
	}
	s.ticket = 0
	switch a.Kind {
	case control.Full, control.Delta:
		d.deliver(now, s, a)
	case control.Unchanged:
		d.poll(s)
	case control.Busy:
		s.retryAt = now + busyFor
	case control.Replaced:
		d.figures.TakenOver++
		d.leave(now, s, SessionTakenOver, "the proxy polls by another front")
	case control.Unknown:
		d.leave(now, s, NotAuthorized, a.Why)
	default:
		d.leave(now, s, ImplementationSpecificError, a.Why)
	}
}

// leave ends a session and its connection.
func (d *Broker) leave(now logic.Millis, s *session, code ReasonCode, why string) {
	d.say(Close{s.conn, code, why})
	d.part(now, s)
	d.end(s)
}

func (d *Broker) deliver(now logic.Millis, s *session, a control.Answer) {
	doc := Document{tag: a.Doc.Tag(), Lease: a.Lease}
	doc.Tag = doc.tag.ETag()
	if a.Kind == control.Delta {
		doc.Body, doc.ContentType, doc.Base = a.Patch, tables.PatchType, a.Base.Tag().ETag()
	} else {
		doc.Body, doc.ContentType = a.Doc.Whole(), tables.MediaType
	}
	if s.most > 0 && len(doc.Body)+len(s.topic)+packetHead > s.most {
		d.leave(now, s, QuotaExceeded, "the document is longer than the packets that the client takes")
		return
	}
	if s.serial++; s.serial == 0 {
		s.serial = 1
	}
	s.flight = &flight{id: s.serial, doc: doc, retain: s.begins && doc.Base == "", sent: now}
	s.begins = false
	d.figures.Delivered++
	d.say(Deliver{s.conn, s.flight.id, s.topic, false, s.flight.retain, doc})
}

// packetHead is more than a publish needs beside topic and payload.
const packetHead = 512

// ack takes the client's word on the document that is on its way to it. A later one goes out only then, so that a slow
// subscriber is sent one difference in place of all those it missed, and nothing waits for it.
func (d *Broker) ack(now logic.Millis, a Ack) {
	s := d.of(a.Conn)
	if s == nil || s.flight == nil || s.flight.id != a.ID {
		return // it was acknowledged before, or never sent
	}
	f := s.flight
	s.flight = nil
	switch {
	case f.void:
	case a.Code < UnspecifiedError:
		d.figures.Acknowledged++
		s.held = []tables.Tag{f.doc.tag}
	case a.Code == PayloadFormatInvalid:
		s.held = nil // it can't be followed from what is held: the whole document next
	}
	if s.topic != "" && s.ticket == 0 {
		d.poll(s)
	}
}

func (d *Broker) report(now logic.Millis, r Report) {
	s := d.of(r.Conn)
	if s == nil {
		return
	}
	t := d.ticket()
	r.Report.Ticket = t
	d.tickets[t] = asked{report: true, conn: r.Conn, id: r.ID}
	d.say(Post{r.Report})
}

func (d *Broker) reported(of asked, a control.Answer) {
	if _, open := d.conns[of.conn]; !open || of.id == 0 {
		return
	}
	code := map[control.AnswerKind]ReasonCode{control.Accepted: Success, control.Unknown: NotAuthorized, control.Invalid: PayloadFormatInvalid,
		control.Busy: QuotaExceeded}[a.Kind]
	d.say(PubAck{of.conn, of.id, code, a.Why})
}

// sweep ends sessions that are over, connections that acknowledge nothing, and asks again where the core was busy.
func (d *Broker) sweep(now logic.Millis) {
	for _, client := range slices.Sorted(maps.Keys(d.sessions)) {
		s := d.sessions[client]
		switch {
		case s.conn == 0 && now >= s.until:
			d.end(s)
		case s.conn != 0 && s.flight != nil && now >= s.flight.sent+d.limits.AckTimeout:
			d.say(Close{s.conn, ImplementationSpecificError, "a document was not acknowledged in time"})
			d.part(now, s)
		case s.conn != 0 && s.retryAt > 0 && now >= s.retryAt:
			d.poll(s)
		}
	}
}

// Figures are those of now.
func (d *Broker) Stats() Stats {
	f := d.figures
	f.Sessions = len(d.sessions)
	for _, s := range d.sessions {
		f.Connected += map[bool]int{true: 1}[s.conn != 0]
		f.InFlight += map[bool]int{true: 1}[s.flight != nil]
	}
	return f
}
