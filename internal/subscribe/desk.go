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
	clientID     string
	conn         Conn // 0: its connection is gone
	expiry       logic.Millis
	expiresAt    logic.Millis // it ends, without a connection
	zone         string
	rate         float64
	maxPacket    int
	proxy        string // whose tables it follows; "" with watch: of nobody, it looks on
	watch        bool
	topic        string
	held         []tables.Tag
	ticket       control.Ticket // of the poll that stands for the subscription
	inFlight     *delivery
	lastPacketID uint16
	isFirst      bool         // the next document is the subscription's first
	retryAt      logic.Millis // the core could not answer: it is asked again
}

type delivery struct {
	packetID  uint16
	doc       Document
	retain    bool
	sentAt    logic.Millis
	ignoreAck bool // its acknowledgement says nothing
}

// asked is what a ticket of the core stands for.
type request struct {
	clientID string
	isReport bool
	conn     Conn
	packetID uint16
}

// Desk is one front's.
type Broker struct {
	limits        Limits
	pollWait      logic.Millis // of each poll
	newTicket     func() control.Ticket
	sessions      map[string]*session
	clientIDs     map[Conn]string // the client of each
	requests      map[control.Ticket]request
	connectCredit float64
	creditedAt    logic.Millis
	outputs       []any
	stats         Stats
}

// NewDesk begins one; ticket gives out the core's.
func NewBroker(limits Limits, wait logic.Millis, ticket func() control.Ticket) *Broker {
	return &Broker{limits: limits, pollWait: wait, newTicket: ticket, sessions: map[string]*session{}, clientIDs: map[Conn]string{},
		requests: map[control.Ticket]request{}, connectCredit: limits.ConnectsPerSecond}
}

func (d *Broker) emit(o any) { d.outputs = append(d.outputs, o) }

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
			d.connectionClosed(now, i)
		case CoreAnswer:
			d.handleAnswer(now, i.Answer)
		}
	}
	d.sweep(now)
	out := d.outputs
	d.outputs = nil
	return out
}

func (d *Broker) sessionOf(c Conn) *session {
	s := d.sessions[d.clientIDs[c]]
	if s == nil || s.conn != c {
		return nil
	}
	return s
}

func (d *Broker) refuseConnect(c Conn, code ReasonCode, why string) {
	d.stats.Refused++
	d.emit(Refuse{c, code, why})
}

// connect gives a session, or goes on with the client's earlier one.
func (d *Broker) connect(now logic.Millis, c Connect) {
	d.connectCredit = min(d.limits.ConnectsPerSecond, d.connectCredit+d.limits.ConnectsPerSecond*float64(now-d.creditedAt)/1000)
	d.creditedAt = now
	was := d.sessions[c.ClientID]
	if was != nil && was.conn == 0 && now >= was.expiresAt {
		d.remove(was)
		was = nil
	}
	switch {
	case d.connectCredit < 1:
		d.stats.Busy++
		d.refuseConnect(c.Conn, ServerBusy, "too many connect at once: come again in a second or two")
		return
	case was == nil && len(d.sessions) >= d.limits.MaxSessions && !d.evictOldest(now):
		d.refuseConnect(c.Conn, QuotaExceeded, "there is room for no more sessions")
		return
	}
	d.connectCredit--
	if was != nil && was.conn != 0 {
		d.stats.TakenOver++
		d.emit(Close{was.conn, SessionTakenOver, "another connection of this client took its session over"})
		d.detach(now, was)
	}
	if c.CleanStart && was != nil {
		d.remove(was)
		was = nil
	}
	s := was
	if s == nil {
		s = &session{clientID: c.ClientID}
		d.sessions[c.ClientID] = s
	}
	s.conn, s.zone, s.rate, s.maxPacket = c.Conn, c.Zone, c.Rate, c.MaxPacket
	s.expiry = min(c.Expiry, d.limits.MaxExpiry)
	if len(c.Held) > 0 { // its own word is newer than ours: it may have been with another front meanwhile
		s.held, s.inFlight = c.Held, nil
	}
	d.clientIDs[c.Conn] = c.ClientID
	d.emit(Accept{c.Conn, was != nil, s.expiry})
	switch {
	case s.inFlight != nil:
		d.stats.Redelivered++
		s.inFlight.sentAt = now
		d.emit(Deliver{s.conn, s.inFlight.packetID, s.topic, true, s.inFlight.retain, s.inFlight.doc})
	case s.topic != "":
		d.poll(s)
	}
}

// forget ends the session that has been without a connection for longest; false if all are connected.
func (d *Broker) evictOldest(now logic.Millis) bool {
	var oldest *session
	for _, s := range d.sessions {
		if s.conn == 0 && (oldest == nil || s.expiresAt < oldest.expiresAt || s.expiresAt == oldest.expiresAt && s.clientID < oldest.clientID) {
			oldest = s
		}
	}
	if oldest != nil {
		d.remove(oldest)
	}
	return oldest != nil
}

// part takes a session's connection away; the proxy has left until it is back.
func (d *Broker) detach(now logic.Millis, s *session) {
	if s.ticket != 0 {
		d.emit(Post{control.Disconnected{Ticket: s.ticket, Proxy: s.proxy}})
		delete(d.requests, s.ticket)
		s.ticket = 0
	}
	delete(d.clientIDs, s.conn)
	s.conn, s.expiresAt, s.retryAt = 0, now+s.expiry, 0
}

func (d *Broker) remove(s *session) { delete(d.sessions, s.clientID) }

func (d *Broker) connectionClosed(now logic.Millis, g ConnectionClosed) {
	s := d.sessionOf(g.Conn)
	if s == nil {
		delete(d.clientIDs, g.Conn)
		return
	}
	if g.Expiry != nil {
		s.expiry = min(*g.Expiry, d.limits.MaxExpiry)
	}
	if d.detach(now, s); s.expiry <= 0 {
		d.remove(s)
	}
}

// grant looks at one filter of a subscription.
func (d *Broker) checkFilter(s *session, f Filter) (proxy string, watch bool, code ReasonCode, why string) {
	rest, is := strings.CutPrefix(f.Topic, proxyTopicPrefix)
	name, ends := strings.CutSuffix(rest, tablesSuffix)
	switch {
	case strings.HasPrefix(f.Topic, "$share/"):
		return "", false, SharedSubscriptionsNotSupported, "a proxy's tables are for one subscriber"
	case strings.ContainsAny(f.Topic, "+#"):
		return "", false, WildcardSubscriptionsNotSupported, "one proxy's tables at a time, or " + allTablesTopic
	case f.Topic == allTablesTopic:
		watch = true
	case !is || !ends || name == "" || strings.Contains(name, "/"):
		return "", false, TopicFilterInvalid, "there is " + TablesTopic("{proxy}") + " and " + allTablesTopic
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
	s := d.sessionOf(in.Conn)
	if s == nil {
		return
	}
	g := SubAck{Conn: in.Conn, ID: in.ID}
	begins := false
	for _, f := range in.Filters {
		proxy, watch, code, why := d.checkFilter(s, f)
		if g.Codes = append(g.Codes, code); code != GrantedQoS1 {
			d.stats.Refused++
			g.Reason = why
			continue
		}
		s.proxy, s.watch, s.topic, begins = proxy, watch, f.Topic, true
	}
	d.emit(g)
	switch {
	case begins && s.inFlight != nil:
		s.inFlight.ignoreAck = s.inFlight.ignoreAck || in.Resend
	case begins && s.ticket == 0:
		s.isFirst = true
		d.poll(s)
	}
}

func (d *Broker) unsubscribe(now logic.Millis, in Unsubscribe) {
	s := d.sessionOf(in.Conn)
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
			d.emit(Post{control.Disconnected{Ticket: s.ticket, Proxy: s.proxy}})
			delete(d.requests, s.ticket)
		}
		s.topic, s.proxy, s.watch, s.ticket, s.retryAt = "", "", false, 0, 0
	}
	d.emit(u)
}

// poll asks the core for what comes next. What is held is what was acknowledged last.
func (d *Broker) poll(s *session) {
	t := d.newTicket()
	s.ticket, s.retryAt = t, 0
	d.requests[t] = request{clientID: s.clientID}
	if s.watch {
		d.emit(Post{control.Watch{Ticket: t, Held: s.held, Wait: d.pollWait, WantsDelta: true}})
		return
	}
	d.emit(Post{control.Poll{Ticket: t, Proxy: s.proxy, Zone: s.zone, Rate: s.rate, Held: s.held, Wait: d.pollWait, WantsDelta: true}})
}

// busyFor is how long a subscriber waits where the core can't answer.
const busyRetryDelay logic.Millis = 1000

func (d *Broker) handleAnswer(now logic.Millis, a control.Answer) {
	of, known := d.requests[a.Ticket]
	if !known {
		return
	}
	delete(d.requests, a.Ticket)
	if of.isReport {
		d.handleReportAnswer(of, a)
		return
	}
	s := d.sessions[of.clientID]
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
		s.retryAt = now + busyRetryDelay
	case control.Replaced:
		d.stats.TakenOver++
		d.terminate(now, s, SessionTakenOver, "the proxy polls by another front")
	case control.Unknown:
		d.terminate(now, s, NotAuthorized, a.Why)
	default:
		d.terminate(now, s, ImplementationSpecificError, a.Why)
	}
}

// leave ends a session and its connection.
func (d *Broker) terminate(now logic.Millis, s *session, code ReasonCode, why string) {
	d.emit(Close{s.conn, code, why})
	d.detach(now, s)
	d.remove(s)
}

func (d *Broker) deliver(now logic.Millis, s *session, a control.Answer) {
	doc := Document{versionTag: a.Doc.Tag(), Lease: a.Lease}
	doc.Tag = doc.versionTag.ETag()
	if a.Kind == control.Delta {
		doc.Body, doc.ContentType, doc.Base = a.Patch, tables.PatchType, a.Base.Tag().ETag()
	} else {
		doc.Body, doc.ContentType = a.Doc.Whole(), tables.MediaType
	}
	if s.maxPacket > 0 && len(doc.Body)+len(s.topic)+maxPublishOverhead > s.maxPacket {
		d.terminate(now, s, QuotaExceeded, "the document is longer than the packets that the client takes")
		return
	}
	if s.lastPacketID++; s.lastPacketID == 0 {
		s.lastPacketID = 1
	}
	s.inFlight = &delivery{packetID: s.lastPacketID, doc: doc, retain: s.isFirst && doc.Base == "", sentAt: now}
	s.isFirst = false
	d.stats.Delivered++
	d.emit(Deliver{s.conn, s.inFlight.packetID, s.topic, false, s.inFlight.retain, doc})
}

// packetHead is more than a publish needs beside topic and payload.
const maxPublishOverhead = 512

// ack takes the client's word on the document that is on its way to it. A later one goes out only then, so that a slow
// subscriber is sent one difference in place of all those it missed, and nothing waits for it.
func (d *Broker) ack(now logic.Millis, a Ack) {
	s := d.sessionOf(a.Conn)
	if s == nil || s.inFlight == nil || s.inFlight.packetID != a.ID {
		return // it was acknowledged before, or never sent
	}
	f := s.inFlight
	s.inFlight = nil
	switch {
	case f.ignoreAck:
	case a.Code < UnspecifiedError:
		d.stats.Acknowledged++
		s.held = []tables.Tag{f.doc.versionTag}
	case a.Code == PayloadFormatInvalid:
		s.held = nil // it can't be followed from what is held: the whole document next
	}
	if s.topic != "" && s.ticket == 0 {
		d.poll(s)
	}
}

func (d *Broker) report(now logic.Millis, r Report) {
	s := d.sessionOf(r.Conn)
	if s == nil {
		return
	}
	t := d.newTicket()
	r.Report.Ticket = t
	d.requests[t] = request{isReport: true, conn: r.Conn, packetID: r.ID}
	d.emit(Post{r.Report})
}

func (d *Broker) handleReportAnswer(of request, a control.Answer) {
	if _, open := d.clientIDs[of.conn]; !open || of.packetID == 0 {
		return
	}
	code := map[control.AnswerKind]ReasonCode{control.Accepted: Success, control.Unknown: NotAuthorized, control.Invalid: PayloadFormatInvalid,
		control.Busy: QuotaExceeded}[a.Kind]
	d.emit(PubAck{of.conn, of.packetID, code, a.Why})
}

// sweep ends sessions that are over, connections that acknowledge nothing, and asks again where the core was busy.
func (d *Broker) sweep(now logic.Millis) {
	for _, client := range slices.Sorted(maps.Keys(d.sessions)) {
		s := d.sessions[client]
		switch {
		case s.conn == 0 && now >= s.expiresAt:
			d.remove(s)
		case s.conn != 0 && s.inFlight != nil && now >= s.inFlight.sentAt+d.limits.AckTimeout:
			d.emit(Close{s.conn, ImplementationSpecificError, "a document was not acknowledged in time"})
			d.detach(now, s)
		case s.conn != 0 && s.retryAt > 0 && now >= s.retryAt:
			d.poll(s)
		}
	}
}

// Figures are those of now.
func (d *Broker) Stats() Stats {
	f := d.stats
	f.Sessions = len(d.sessions)
	for _, s := range d.sessions {
		f.Connected += map[bool]int{true: 1}[s.conn != 0]
		f.InFlight += map[bool]int{true: 1}[s.inFlight != nil]
	}
	return f
}
