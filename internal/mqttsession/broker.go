// Package mqttsession is the decision part of the MQTT front of a director. It keeps sessions that outlive their
// connections, has at most one unacknowledged document in flight to each subscriber, and decides which clients are
// refused. A subscription is a poll that renews itself, so the core (package control) still decides which document is
// published to which proxy and when. The package does no I/O and reads no clock.
package mqttsession

import (
	"maps"
	"slices"
	"strings"

	"vetchwood/internal/control"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// session is the MQTT session of a client.
type session struct {
	clientID     string
	conn         Conn // 0: not connected
	expiry       logic.Millis
	expiresAt    logic.Millis // end of the session, unless the client reconnects
	zone         string
	rate         float64
	maxPacket    int
	proxy        string // proxy whose tables are subscribed to; "" with watch
	watch        bool   // subscribed to AllTablesTopic
	topic        string
	held         []tables.Tag   // version that the client acknowledged last
	ticket       control.Ticket // ticket of the pending poll of the subscription
	inFlight     *delivery
	lastPacketID uint16
	isFirst      bool         // the next document is the first one of the subscription
	retryAt      logic.Millis // time of the next poll after the core was busy; 0: none
}

// delivery is a document that was sent and is not acknowledged yet.
type delivery struct {
	packetID  uint16
	doc       Document
	retain    bool
	sentAt    logic.Millis
	ignoreAck bool // the document did not take effect because its lease had expired
}

// request is a poll or a report that the core has not answered yet.
type request struct {
	clientID string
	isReport bool
	conn     Conn
	packetID uint16
}

// Broker manages the sessions and subscriptions of one front.
type Broker struct {
	limits        Limits
	pollWait      logic.Millis // maximum duration of a poll
	newTicket     func() control.Ticket
	sessions      map[string]*session
	clientIDs     map[Conn]string // client of each connection
	requests      map[control.Ticket]request
	connectCredit float64      // CONNECT packets that may be accepted at once
	creditedAt    logic.Millis // time when connectCredit was updated
	outputs       []any
	stats         Stats
}

// NewBroker returns a broker without sessions. The parameter pollWait is the maximum duration of a poll, newTicket
// returns the tickets of requests to the core.
func NewBroker(limits Limits, pollWait logic.Millis, newTicket func() control.Ticket) *Broker {
	return &Broker{limits: limits, pollWait: pollWait, newTicket: newTicket, sessions: map[string]*session{},
		clientIDs: map[Conn]string{}, requests: map[control.Ticket]request{}, connectCredit: limits.ConnectsPerSecond}
}

func (b *Broker) emit(output any) { b.outputs = append(b.outputs, output) }

// Handle processes inputs in their order and returns the resulting outputs, which must be carried out in order.
func (b *Broker) Handle(now logic.Millis, inputs ...any) []any {
	for _, in := range inputs {
		switch in := in.(type) {
		case Connect:
			b.connect(now, in)
		case Subscribe:
			b.subscribe(now, in)
		case Unsubscribe:
			b.unsubscribe(now, in)
		case Ack:
			b.ack(now, in)
		case Report:
			b.report(now, in)
		case ConnectionClosed:
			b.connectionClosed(now, in)
		case CoreAnswer:
			b.handleAnswer(now, in.Answer)
		}
	}
	b.sweep(now)
	outputs := b.outputs
	b.outputs = nil
	return outputs
}

// sessionOf returns the session that a connection serves, nil if there is none.
func (b *Broker) sessionOf(c Conn) *session {
	s := b.sessions[b.clientIDs[c]]
	if s == nil || s.conn != c {
		return nil
	}
	return s
}

func (b *Broker) refuseConnect(c Conn, code ReasonCode, reason string) {
	b.stats.Refused++
	b.emit(Refuse{c, code, reason})
}

// connect creates a session, or resumes the previous session of the client.
func (b *Broker) connect(now logic.Millis, c Connect) {
	b.connectCredit = min(b.limits.ConnectsPerSecond,
		b.connectCredit+b.limits.ConnectsPerSecond*float64(now-b.creditedAt)/1000)
	b.creditedAt = now
	previous := b.sessions[c.ClientID]
	if previous != nil && previous.conn == 0 && now >= previous.expiresAt {
		b.remove(previous)
		previous = nil
	}
	switch {
	case b.connectCredit < 1:
		b.stats.Busy++
		b.refuseConnect(c.Conn, ServerBusy, "too many connect at once: come again in a second or two")
		return
	case previous == nil && len(b.sessions) >= b.limits.MaxSessions && !b.evictOldest(now):
		b.refuseConnect(c.Conn, QuotaExceeded, "there is room for no more sessions")
		return
	}
	b.connectCredit--
	if previous != nil && previous.conn != 0 {
		b.stats.TakenOver++
		b.emit(Close{previous.conn, SessionTakenOver, "another connection of this client took its session over"})
		b.detach(now, previous)
	}
	if c.CleanStart && previous != nil {
		b.remove(previous)
		previous = nil
	}
	s := previous
	if s == nil {
		s = &session{clientID: c.ClientID}
		b.sessions[c.ClientID] = s
	}
	s.conn, s.zone, s.rate, s.maxPacket = c.Conn, c.Zone, c.Rate, c.MaxPacket
	s.expiry = min(c.Expiry, b.limits.MaxExpiry)
	// The version in the CONNECT packet is newer than that of the session: the client may have followed another front in
	// the meantime.
	if len(c.Held) > 0 {
		s.held, s.inFlight = c.Held, nil
	}
	b.clientIDs[c.Conn] = c.ClientID
	b.emit(Accept{c.Conn, previous != nil, s.expiry})
	switch {
	case s.inFlight != nil:
		b.stats.Redelivered++
		s.inFlight.sentAt = now
		b.emit(Deliver{s.conn, s.inFlight.packetID, s.topic, true, s.inFlight.retain, s.inFlight.doc})
	case s.topic != "":
		b.poll(s)
	}
}

// evictOldest removes the unconnected session that would expire first, and returns false if all are connected.
func (b *Broker) evictOldest(now logic.Millis) bool {
	var oldest *session
	for _, s := range b.sessions {
		if s.conn == 0 && (oldest == nil || s.expiresAt < oldest.expiresAt ||
			s.expiresAt == oldest.expiresAt && s.clientID < oldest.clientID) {
			oldest = s
		}
	}
	if oldest != nil {
		b.remove(oldest)
	}
	return oldest != nil
}

// detach separates a session from its connection. The proxy counts as having left until the client reconnects.
func (b *Broker) detach(now logic.Millis, s *session) {
	if s.ticket != 0 {
		b.emit(Post{control.Disconnected{Ticket: s.ticket, Proxy: s.proxy}})
		delete(b.requests, s.ticket)
		s.ticket = 0
	}
	delete(b.clientIDs, s.conn)
	s.conn, s.expiresAt, s.retryAt = 0, now+s.expiry, 0
}

func (b *Broker) remove(s *session) { delete(b.sessions, s.clientID) }

func (b *Broker) connectionClosed(now logic.Millis, in ConnectionClosed) {
	s := b.sessionOf(in.Conn)
	if s == nil {
		delete(b.clientIDs, in.Conn)
		return
	}
	if in.Expiry != nil {
		s.expiry = min(*in.Expiry, b.limits.MaxExpiry)
	}
	if b.detach(now, s); s.expiry <= 0 {
		b.remove(s)
	}
}

// checkFilter checks one filter of a subscription. It returns the proxy whose tables it selects, or watch for the topic
// of all tables, and the reason code of the answer with its reason string.
func (b *Broker) checkFilter(s *session, f Filter) (proxy string, watch bool, code ReasonCode, reason string) {
	rest, hasPrefix := strings.CutPrefix(f.Topic, proxyTopicPrefix)
	name, hasSuffix := strings.CutSuffix(rest, tablesSuffix)
	switch {
	case strings.HasPrefix(f.Topic, "$share/"):
		return "", false, SharedSubscriptionsNotSupported,
			"a proxy's tables are for one subscriber"
	case strings.ContainsAny(f.Topic, "+#"):
		return "", false, WildcardSubscriptionsNotSupported,
			"one proxy's tables at a time, or " + allTablesTopic
	case f.Topic == allTablesTopic:
		watch = true
	case !hasPrefix || !hasSuffix || name == "" || strings.Contains(name, "/"):
		return "", false, TopicFilterInvalid,
			"there is " + TablesTopic("{proxy}") + " and " + allTablesTopic
	case f.QoS == 0:
		return "", false, ImplementationSpecificError,
			"a proxy's tables are sent with QoS 1: the acknowledgement says that they are in force"
	}
	if s.topic != "" && s.topic != f.Topic {
		return "", false, QuotaExceeded, "a session follows one topic"
	}
	if watch {
		name = ""
		watchers := 0
		for _, other := range b.sessions {
			watchers += map[bool]int{true: 1}[other.watch && other != s]
		}
		if watchers >= b.limits.MaxWatchers {
			return "", false, QuotaExceeded, "there is room for no more that look on"
		}
	}
	return name, watch, GrantedQoS1, ""
}

func (b *Broker) subscribe(now logic.Millis, in Subscribe) {
	s := b.sessionOf(in.Conn)
	if s == nil {
		return
	}
	suback := SubAck{Conn: in.Conn, ID: in.ID}
	granted := false
	for _, f := range in.Filters {
		proxy, watch, code, reason := b.checkFilter(s, f)
		if suback.Codes = append(suback.Codes, code); code != GrantedQoS1 {
			b.stats.Refused++
			suback.Reason = reason
			continue
		}
		s.proxy, s.watch, s.topic, granted = proxy, watch, f.Topic, true
	}
	b.emit(suback)
	switch {
	case granted && s.inFlight != nil:
		s.inFlight.ignoreAck = s.inFlight.ignoreAck || in.Resend
	case granted && s.ticket == 0:
		s.isFirst = true
		b.poll(s)
	}
}

func (b *Broker) unsubscribe(now logic.Millis, in Unsubscribe) {
	s := b.sessionOf(in.Conn)
	if s == nil {
		return
	}
	unsuback := UnsubAck{Conn: in.Conn, ID: in.ID}
	for _, topic := range in.Topics {
		if topic == "" || topic != s.topic {
			unsuback.Codes = append(unsuback.Codes, NoSubscriptionExisted)
			continue
		}
		unsuback.Codes = append(unsuback.Codes, Success)
		if s.ticket != 0 {
			b.emit(Post{control.Disconnected{Ticket: s.ticket, Proxy: s.proxy}})
			delete(b.requests, s.ticket)
		}
		s.topic, s.proxy, s.watch, s.ticket, s.retryAt = "", "", false, 0, 0
	}
	b.emit(unsuback)
}

// poll requests the next document from the core, as a change to the version that the client acknowledged last.
func (b *Broker) poll(s *session) {
	t := b.newTicket()
	s.ticket, s.retryAt = t, 0
	b.requests[t] = request{clientID: s.clientID}
	if s.watch {
		b.emit(Post{control.Watch{Ticket: t, Held: s.held, Wait: b.pollWait, WantsDelta: true}})
		return
	}
	b.emit(Post{control.Poll{Ticket: t, Proxy: s.proxy, Zone: s.zone, Rate: s.rate, Held: s.held, Wait: b.pollWait,
		WantsDelta: true}})
}

// busyRetryDelay is the time until the next poll of a subscription after the core was busy.
const busyRetryDelay logic.Millis = 1000

// handleAnswer processes the answer of the core to a poll or a report.
func (b *Broker) handleAnswer(now logic.Millis, a control.Answer) {
	req, known := b.requests[a.Ticket]
	if !known {
		return
	}
	delete(b.requests, a.Ticket)
	if req.isReport {
		b.handleReportAnswer(req, a)
		return
	}
	s := b.sessions[req.clientID]
	if s == nil || s.ticket != a.Ticket || s.conn == 0 {
		return
	}
	s.ticket = 0
	switch a.Kind {
	case control.Full, control.Delta:
		b.deliver(now, s, a)
	case control.Unchanged:
		b.poll(s)
	case control.Busy:
		s.retryAt = now + busyRetryDelay
	case control.Replaced:
		b.stats.TakenOver++
		b.terminate(now, s, SessionTakenOver, "the proxy polls by another front")
	case control.Unknown:
		b.terminate(now, s, NotAuthorized, a.Reason)
	default:
		b.terminate(now, s, ImplementationSpecificError, a.Reason)
	}
}

// terminate closes the connection of a session and removes the session.
func (b *Broker) terminate(now logic.Millis, s *session, code ReasonCode, reason string) {
	b.emit(Close{s.conn, code, reason})
	b.detach(now, s)
	b.remove(s)
}

// deliver sends the document or the delta of an answer to the client of a session.
func (b *Broker) deliver(now logic.Millis, s *session, a control.Answer) {
	doc := Document{versionTag: a.Doc.Tag(), Lease: a.Lease}
	doc.Tag = doc.versionTag.ETag()
	if a.Kind == control.Delta {
		doc.Body, doc.ContentType, doc.Base = a.Patch, tables.PatchMediaType, a.Base.Tag().ETag()
	} else {
		doc.Body, doc.ContentType = a.Doc.JSON(), tables.DocumentMediaType
	}
	if s.maxPacket > 0 && len(doc.Body)+len(s.topic)+maxPublishOverhead > s.maxPacket {
		b.terminate(now, s, QuotaExceeded, "the document is longer than the packets that the client takes")
		return
	}
	if s.lastPacketID++; s.lastPacketID == 0 {
		s.lastPacketID = 1
	}
	s.inFlight = &delivery{packetID: s.lastPacketID, doc: doc, retain: s.isFirst && doc.Base == "", sentAt: now}
	s.isFirst = false
	b.stats.Delivered++
	b.emit(Deliver{s.conn, s.inFlight.packetID, s.topic, false, s.inFlight.retain, doc})
}

// maxPublishOverhead is an upper bound, in bytes, of the size of a PUBLISH packet beyond its topic and payload.
const maxPublishOverhead = 512

// ack processes the acknowledgement of the document in flight. The next document is sent only after it, so that a slow
// subscriber gets one delta in place of all those it missed, and no documents are queued for it.
func (b *Broker) ack(now logic.Millis, a Ack) {
	s := b.sessionOf(a.Conn)
	if s == nil || s.inFlight == nil || s.inFlight.packetID != a.ID {
		return // acknowledged before, or never sent
	}
	acked := s.inFlight
	s.inFlight = nil
	switch {
	case acked.ignoreAck:
	case a.Code < UnspecifiedError:
		b.stats.Acknowledged++
		s.held = []tables.Tag{acked.doc.versionTag}
	case a.Code == PayloadFormatInvalid:
		s.held = nil // the delta could not be applied: a full document is next
	}
	if s.topic != "" && s.ticket == 0 {
		b.poll(s)
	}
}

// report passes a load report to the core.
func (b *Broker) report(now logic.Millis, r Report) {
	s := b.sessionOf(r.Conn)
	if s == nil {
		return
	}
	t := b.newTicket()
	r.Report.Ticket = t
	b.requests[t] = request{isReport: true, conn: r.Conn, packetID: r.ID}
	b.emit(Post{r.Report})
}

// handleReportAnswer acknowledges a load report to the client, unless it was sent with QoS 0.
func (b *Broker) handleReportAnswer(req request, a control.Answer) {
	if _, open := b.clientIDs[req.conn]; !open || req.packetID == 0 {
		return
	}
	code := map[control.AnswerKind]ReasonCode{control.Accepted: Success, control.Unknown: NotAuthorized,
		control.Invalid: PayloadFormatInvalid, control.Busy: QuotaExceeded}[a.Kind]
	b.emit(PubAck{req.conn, req.packetID, code, a.Reason})
}

// sweep removes expired sessions, closes connections that did not acknowledge a document in time, and repeats polls
// after the core was busy.
func (b *Broker) sweep(now logic.Millis) {
	for _, clientID := range slices.Sorted(maps.Keys(b.sessions)) {
		s := b.sessions[clientID]
		switch {
		case s.conn == 0 && now >= s.expiresAt:
			b.remove(s)
		case s.conn != 0 && s.inFlight != nil && now >= s.inFlight.sentAt+b.limits.AckTimeout:
			b.emit(Close{s.conn, ImplementationSpecificError, "a document was not acknowledged in time"})
			b.detach(now, s)
		case s.conn != 0 && s.retryAt > 0 && now >= s.retryAt:
			b.poll(s)
		}
	}
}

// Stats returns the current statistics.
func (b *Broker) Stats() Stats {
	stats := b.stats
	stats.Sessions = len(b.sessions)
	for _, s := range b.sessions {
		stats.Connected += map[bool]int{true: 1}[s.conn != 0]
		stats.InFlight += map[bool]int{true: 1}[s.inFlight != nil]
	}
	return stats
}
