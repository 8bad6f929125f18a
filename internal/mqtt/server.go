// Package mqtt serves routing tables to proxies by MQTT 5 subscriptions, on netpoll. It handles connections and
// validates packets. A library encodes and parses the packets, package mqttsession keeps the sessions and decides what
// is sent when, and the core provides the documents.
package mqtt

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/eclipse/paho.golang/packets"

	"vetchwood/internal/budget"
	"vetchwood/internal/control"
	"vetchwood/internal/loadshed"
	"vetchwood/internal/lrs"
	"vetchwood/internal/mqttsession"
	"vetchwood/internal/netutil"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Core is the part of a director that the server needs.
type Core interface {
	Post(in any)
	Ticket() control.Ticket
	Now() logic.Millis
	// Admit decides whether a request is admitted. It returns 0 if so, or else the time after which the client may
	// retry.
	Admit(k loadshed.Kind, client string) time.Duration
}

// Limits protect the server from its clients.
type Limits struct {
	mqttsession.Limits
	MaxPacketBytes int
	ConnectTimeout time.Duration // from the accepted connection to the complete CONNECT
	MaxKeepAlive   time.Duration // a client that requests a longer interval or none gets this one
	WriteTimeout   time.Duration // of a write to a connection
	MaxWait        logic.Millis  // of the polls by which a session follows the tables
	// Budget is the resource budget that all servers of the process share; nil means unlimited.
	Budget *budget.Budget
}

// Server serves MQTT clients on one listening socket.
type Server struct {
	*netutil.Socket
	core      Core
	limits    Limits
	log       *slog.Logger
	conns     sync.Map // mqttsession.Conn -> *clientConn
	lastID    atomic.Uint64
	openCount atomic.Int64
	refusals  atomic.Uint64
	done      chan struct{}
	closeOnce sync.Once

	mu    sync.Mutex
	inbox []any
	wake  chan struct{}
	stats atomic.Pointer[mqttsession.Stats]
}

// clientConn is one connection.
type clientConn struct {
	conn netpoll.Connection
	id   mqttsession.Conn

	mu           sync.Mutex
	buf          []byte
	connected    bool
	disconnected bool // the session has been notified, and further input is ignored
	keepAlive    time.Duration
	lastPacketAt time.Time

	partialBytes, queuedBytes atomic.Int64 // sizes of the partly read packet and of the queue, as reported to the budget

	queueMu sync.Mutex
	queue   [][]byte
	writing bool
	closing bool       // the connection is closed once the queue is written
	ended   bool       // nothing is queued any more
	writeMu sync.Mutex // held while netpoll's writer is used, which is not allowed once the connection is closed
	closed  bool
}

// Listen opens the socket of a server. Serve accepts connections on it.
func Listen(address string, core Core, limits Limits, log *slog.Logger) (*Server, error) {
	if limits.Budget == nil {
		limits.Budget = budget.New(budget.Unlimited)
	}
	s := &Server{core: core, limits: limits, log: log, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	s.stats.Store(&mqttsession.Stats{})
	var err error
	s.Socket, err = netutil.Listen(address, s.read, s.accept, limits.WriteTimeout, limits.Budget, log)
	return s, err
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int64 { return s.openCount.Load() }

// Refusals returns the number of protocol errors and of refused reports.
func (s *Server) Refusals() uint64 { return s.refusals.Load() }

// Stats returns the statistics of the sessions.
func (s *Server) Stats() mqttsession.Stats { return *s.stats.Load() }

// Serve accepts and serves connections until Close.
func (s *Server) Serve() error {
	go s.run()
	return s.Socket.Serve()
}

// Close sends all clients a DISCONNECT, and closes the socket and all connections.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { close(s.done) })
	s.conns.Range(func(_, v any) bool {
		v.(*clientConn).enqueue(s, encodeAs(packets.DISCONNECT,
			&packets.Disconnect{ReasonCode: byte(serverShuttingDown), Properties: &packets.Properties{}}), true)
		return true
	})
	return s.Socket.Close(func(each func(netpoll.Connection)) {
		s.conns.Range(func(_, v any) bool { each(v.(*clientConn).conn); return true })
	})
}

type connKey struct{}

func (s *Server) accept(c netpoll.Connection) context.Context {
	cc := &clientConn{conn: c, id: mqttsession.Conn(s.lastID.Add(1)), lastPacketAt: time.Now(),
		keepAlive: s.limits.ConnectTimeout}
	s.openCount.Add(1)
	s.limits.Budget.ConnectionOpened()
	s.conns.Store(cc.id, cc)
	c.AddCloseCallback(func(netpoll.Connection) error {
		s.openCount.Add(-1)
		s.conns.Delete(cc.id)
		s.limits.Budget.ConnectionClosed(cc.budgetID())
		cc.writeMu.Lock()
		cc.closed = true
		cc.writeMu.Unlock()
		cc.mu.Lock()
		wasDisconnected := cc.disconnected
		cc.disconnected = true
		cc.mu.Unlock()
		if !wasDisconnected {
			s.post(mqttsession.ConnectionClosed{Conn: cc.id})
		}
		return nil
	})
	return context.WithValue(context.Background(), connKey{}, cc)
}

// read takes all data that has arrived and handles its complete packets in order.
func (s *Server) read(ctx context.Context, c netpoll.Connection) error {
	cc := ctx.Value(connKey{}).(*clientConn)
	cc.mu.Lock()
	defer cc.mu.Unlock()
	r := c.Reader()
	b, err := r.Next(r.Len())
	if err != nil {
		return err
	}
	cc.buf = append(cc.buf, b...)
	r.Release()
	defer func() {
		if before := cc.partialBytes.Swap(int64(len(cc.buf))); before != int64(len(cc.buf)) && !cc.disconnected {
			s.limits.Budget.SetHeldBytes(cc.budgetID(), cc.partialBytes.Load()+cc.queuedBytes.Load())
		}
	}()
	for len(cc.buf) > 0 && !cc.disconnected {
		n, perr := packetLength(cc.buf, s.limits.MaxPacketBytes)
		if perr == nil && (n == 0 || len(cc.buf) < n) {
			return nil
		}
		if perr == nil {
			var packet *packets.ControlPacket
			if packet, perr = parsePacket(cc.buf[:n:n]); perr == nil {
				cc.lastPacketAt = time.Now()
				perr = s.handlePacket(cc, packet)
			}
		}
		if perr != nil {
			s.abort(cc, perr)
			return nil
		}
		if cc.buf = append([]byte(nil), cc.buf[n:]...); len(cc.buf) == 0 {
			cc.buf = nil
		}
	}
	return nil
}

// budgetID returns the connection's ID in the budget. It is odd: those of the other server in the process are even.
func (cc *clientConn) budgetID() budget.ClientID { return budget.ClientID(cc.id)<<1 | 1 }

// CloseClient closes the connection of a client, if it belongs to this server, to free the memory that it holds.
func (s *Server) CloseClient(c budget.ClientID) {
	if v, open := s.conns.Load(mqttsession.Conn(c >> 1)); open && c&1 == 1 {
		s.log.Warn("client.cut", "why", "memory budget exhausted: this client holds more than the others")
		go v.(*clientConn).conn.Close()
	}
}

// abort disconnects a client after a protocol error. The caller holds the connection's lock.
func (s *Server) abort(cc *clientConn, perr *protocolError) {
	s.refusals.Add(1)
	s.log.Debug("mqtt.refused", "code", int(perr.code), "why", perr.reason)
	s.disconnect(cc, cc.connected, perr.code, perr.reason)
	cc.disconnected, cc.buf = true, nil
	s.post(mqttsession.ConnectionClosed{Conn: cc.id})
}

// disconnect sends a client the reason, in a CONNACK if it is not connected yet and in a DISCONNECT otherwise, and
// closes the connection.
func (s *Server) disconnect(cc *clientConn, connected bool, code mqttsession.ReasonCode, reason string) {
	if !connected {
		cc.enqueue(s, encodeAs(packets.CONNACK,
			&packets.Connack{ReasonCode: byte(code), Properties: &packets.Properties{ReasonString: reason}}), true)
		return
	}
	cc.enqueue(s, encodeAs(packets.DISCONNECT,
		&packets.Disconnect{ReasonCode: byte(code), Properties: &packets.Properties{ReasonString: reason}}), true)
}

// handlePacket handles one packet. The caller holds the connection's lock.
func (s *Server) handlePacket(cc *clientConn, packet *packets.ControlPacket) *protocolError {
	if c, ok := packet.Content.(*packets.Connect); ok {
		if cc.connected {
			return protocolErrorf(mqttsession.ProtocolError, "a second CONNECT")
		}
		return s.handleConnect(cc, c)
	}
	if !cc.connected {
		return protocolErrorf(mqttsession.ProtocolError, "the first packet is no CONNECT")
	}
	switch c := packet.Content.(type) {
	case *packets.Subscribe:
		in := mqttsession.Subscribe{Conn: cc.id, ID: c.PacketID}
		if c.Properties != nil {
			for _, u := range c.Properties.User {
				in.Resend = in.Resend || u.Key == mqttsession.PropertyResend
			}
		}
		for _, o := range c.Subscriptions {
			in.Filters = append(in.Filters, mqttsession.Filter{Topic: o.Topic, QoS: o.QoS})
		}
		s.post(in)
	case *packets.Unsubscribe:
		s.post(mqttsession.Unsubscribe{Conn: cc.id, ID: c.PacketID, Topics: c.Topics})
	case *packets.Puback:
		s.post(mqttsession.Ack{Conn: cc.id, ID: c.PacketID, Code: mqttsession.ReasonCode(c.ReasonCode)})
	case *packets.Publish:
		s.handleReport(cc, c)
	case *packets.Pingreq:
		cc.enqueue(s, encodeAs(packets.PINGRESP, &packets.Pingresp{}), false)
	case *packets.Disconnect:
		g := mqttsession.ConnectionClosed{Conn: cc.id}
		if c.Properties != nil && c.Properties.SessionExpiryInterval != nil {
			expiry := logic.Millis(*c.Properties.SessionExpiryInterval) * 1000
			g.Expiry = &expiry
		}
		cc.disconnected = true
		s.post(g)
		cc.enqueue(s, nil, true)
	}
	return nil
}

// handleConnect admits a client and passes its CONNECT to the sessions.
func (s *Server) handleConnect(cc *clientConn, c *packets.Connect) *protocolError {
	in := mqttsession.Connect{Conn: cc.id, ClientID: c.ClientID, CleanStart: c.CleanStart}
	if in.ClientID == "" || len(in.ClientID) > 128 || !isValidText(in.ClientID) {
		return protocolErrorf(mqttsession.ClientIDNotValid, "a client identifier of 1 to 128 bytes is needed")
	}
	props := c.Properties
	if props == nil {
		props = &packets.Properties{}
	}
	if props.SessionExpiryInterval != nil {
		in.Expiry = logic.Millis(*props.SessionExpiryInterval) * 1000
	}
	if props.MaximumPacketSize != nil {
		in.MaxPacket = int(*props.MaximumPacketSize)
	}
	for _, u := range props.User {
		switch u.Key {
		case mqttsession.PropertyZone:
			in.Zone = u.Value
		case mqttsession.PropertyRate:
			rate, err := strconv.ParseFloat(u.Value, 64)
			if err != nil || !(rate >= 0 && rate <= 1e9) {
				return protocolErrorf(mqttsession.UnspecifiedError,
					"user property rate: %.40q is no number of calls a second", u.Value)
			}
			in.Rate = rate
		case mqttsession.PropertyHeld:
			tag, err := tables.ParseETag(u.Value)
			if err != nil {
				return protocolErrorf(mqttsession.UnspecifiedError, "user property held: %v", err)
			}
			if len(in.Held) < 16 {
				in.Held = append(in.Held, tag)
			}
		}
	}
	kind := loadshed.Polls
	if len(in.Held) == 0 {
		kind = loadshed.NewPolls
	}
	if s.core.Admit(kind, in.ClientID) > 0 {
		return protocolErrorf(mqttsession.ServerBusy, "the director has more to do than it can: come again in some seconds")
	}
	cc.connected = true
	if cc.keepAlive = time.Duration(c.KeepAlive) * time.Second; cc.keepAlive == 0 || cc.keepAlive > s.limits.MaxKeepAlive {
		cc.keepAlive = s.limits.MaxKeepAlive
	}
	s.post(in)
	return nil
}

// handleReport handles a proxy's load report. A report that is not valid or not admitted is refused with a reason code,
// and the connection stays open.
func (s *Server) handleReport(cc *clientConn, c *packets.Publish) {
	refuse := func(code mqttsession.ReasonCode, reason string) {
		s.refusals.Add(1)
		if c.QoS > 0 {
			cc.enqueue(s, encodePuback(c.PacketID, code, reason), false)
		}
	}
	proxy, ok := mqttsession.ParseReportsTopic(c.Topic)
	if !ok {
		refuse(mqttsession.TopicNameInvalid, "there is "+mqttsession.ReportsTopic("{proxy}"))
		return
	}
	if s.core.Admit(loadshed.Reports, proxy) > 0 {
		refuse(mqttsession.QuotaExceeded, "the director has more to do than it can")
		return
	}
	r, err := lrs.Decode(c.Payload)
	if err == nil && r.Proxy != "" && r.Proxy != proxy {
		err = errors.New("load stats: node.id is not the proxy of the topic")
	}
	if err != nil {
		refuse(mqttsession.PayloadFormatInvalid, err.Error())
		return
	}
	if r.Proxy = proxy; c.Properties != nil {
		for _, u := range c.Properties.User {
			if u.Key == mqttsession.PropertyKey {
				r.Key = u.Value
			}
		}
	}
	id := c.PacketID
	if c.QoS == 0 {
		id = 0
	}
	s.post(mqttsession.Report{Conn: cc.id, ID: id, Report: r})
}

func encodePuback(id uint16, code mqttsession.ReasonCode, reason string) []byte {
	return encodeAs(packets.PUBACK,
		&packets.Puback{PacketID: id, ReasonCode: byte(code), Properties: &packets.Properties{ReasonString: reason}})
}

// post puts an input into the inbox of the session loop.
func (s *Server) post(in any) {
	s.mu.Lock()
	s.inbox = append(s.inbox, in)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Answer passes an answer of the core to the session loop. It encodes the document first, in the goroutine of the core,
// so that the session loop finds the encoding in the document's cache.
func (s *Server) Answer(a control.Answer) {
	if a.Doc != nil {
		a.Doc.Tag()
	}
	s.post(mqttsession.CoreAnswer{Answer: a})
}

// run is the session loop: it handles the inbox in batches and executes the outputs, until the server is closed.
func (s *Server) run() {
	broker := mqttsession.NewBroker(s.limits.Limits, s.limits.MaxWait, s.core.Ticket)
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-tick.C:
			s.enforceKeepAlive(now)
		case <-s.wake:
		}
		s.mu.Lock()
		in := s.inbox
		s.inbox = nil
		s.mu.Unlock()
		for _, o := range broker.Handle(s.core.Now(), in...) {
			s.execute(o)
		}
		for _, i := range in {
			if answered, ok := i.(mqttsession.CoreAnswer); ok {
				answered.Answer.WriteFinished() // its packets are in the queue of the connection, in order
			}
		}
		stats := broker.Stats()
		s.stats.Store(&stats)
	}
}

// enforceKeepAlive disconnects clients that have sent nothing for one and a half times their keep alive interval.
func (s *Server) enforceKeepAlive(now time.Time) {
	s.conns.Range(func(_, v any) bool {
		cc := v.(*clientConn)
		if !cc.mu.TryLock() {
			return true
		}
		defer cc.mu.Unlock()
		if limit := cc.keepAlive * 3 / 2; !cc.disconnected && now.Sub(cc.lastPacketAt) > limit {
			s.abort(cc, protocolErrorf(mqttsession.KeepAliveTimeout, "nothing came for %v", limit))
		}
		return true
	})
}

// execute carries out one output of the sessions.
func (s *Server) execute(o any) {
	sendTo := func(c mqttsession.Conn, b []byte) {
		if v, open := s.conns.Load(c); open {
			v.(*clientConn).enqueue(s, b, false)
		}
	}
	switch o := o.(type) {
	case mqttsession.Post:
		s.core.Post(o.Input)
	case mqttsession.Accept:
		no, maxQoS, maxPacket, keepAlive := byte(0), byte(1), uint32(s.limits.MaxPacketBytes),
			uint16(s.limits.MaxKeepAlive/time.Second)
		expiry, receiveMax := uint32(o.Expiry/1000), uint16(64)
		sendTo(o.Conn, encodeAs(packets.CONNACK, &packets.Connack{SessionPresent: o.SessionPresent, Properties: &packets.Properties{
			MaximumQOS: &maxQoS, RetainAvailable: &no, MaximumPacketSize: &maxPacket, WildcardSubAvailable: &no,
			SubIDAvailable: &no, SharedSubAvailable: &no, SessionExpiryInterval: &expiry, ReceiveMaximum: &receiveMax,
			ServerKeepAlive: &keepAlive}}))
	case mqttsession.Refuse:
		if v, open := s.conns.Load(o.Conn); open {
			v.(*clientConn).enqueue(s, encodeAs(packets.CONNACK,
				&packets.Connack{ReasonCode: byte(o.Code), Properties: &packets.Properties{ReasonString: o.Reason}}), true)
		}
	case mqttsession.SubAck:
		a := &packets.Suback{PacketID: o.ID, Properties: &packets.Properties{ReasonString: o.Reason}}
		for _, c := range o.Codes {
			a.Reasons = append(a.Reasons, byte(c))
		}
		sendTo(o.Conn, encodeAs(packets.SUBACK, a))
	case mqttsession.UnsubAck:
		a := &packets.Unsuback{PacketID: o.ID, Properties: &packets.Properties{}}
		for _, c := range o.Codes {
			a.Reasons = append(a.Reasons, byte(c))
		}
		sendTo(o.Conn, encodeAs(packets.UNSUBACK, a))
	case mqttsession.Deliver:
		sendTo(o.Conn, encodeDelivery(o))
	case mqttsession.PubAck:
		sendTo(o.Conn, encodePuback(o.ID, o.Code, o.Reason))
	case mqttsession.Close:
		if v, open := s.conns.Load(o.Conn); open {
			s.disconnect(v.(*clientConn), true, o.Code, o.Reason)
		}
	}
}

// encodeDelivery encodes the PUBLISH that delivers a document or a delta.
func encodeDelivery(o mqttsession.Deliver) []byte {
	props := &packets.Properties{ContentType: o.Doc.ContentType,
		User: []packets.User{{Key: mqttsession.PropertyTag, Value: o.Doc.Tag}}}
	if o.Doc.Base != "" {
		props.User = append(props.User, packets.User{Key: mqttsession.PropertyBase, Value: o.Doc.Base})
	}
	if o.Doc.Lease > 0 {
		props.User = append(props.User, packets.User{Key: mqttsession.PropertyLease, Value: strconv.Itoa(int(o.Doc.Lease))})
	}
	return encode(&packets.Publish{Topic: o.Topic, QoS: 1, PacketID: o.ID, Duplicate: o.Duplicate, Retain: o.Retain,
		Payload: o.Doc.Body, Properties: props})
}

// enqueue queues a packet, and closes the connection after it if last is set. The queue is written by a goroutine of
// its own, so that a client that reads slowly delays neither the session loop nor other clients. The connection is
// closed if the queue exceeds maxQueuedPackets.
func (cc *clientConn) enqueue(s *Server, b []byte, last bool) {
	cc.queueMu.Lock()
	defer cc.queueMu.Unlock()
	if cc.ended {
		return
	}
	if b != nil {
		cc.queue = append(cc.queue, b)
	}
	if cc.writing && len(cc.queue) > 1 { // the client reads more slowly than packets are sent to it
		queued := int64(0)
		for _, x := range cc.queue {
			queued += int64(len(x))
		}
		cc.queuedBytes.Store(queued)
		s.limits.Budget.SetHeldBytes(cc.budgetID(), cc.partialBytes.Load()+queued)
	}
	if cc.closing = cc.closing || last; len(cc.queue) > maxQueuedPackets {
		cc.ended = true
		go cc.conn.Close()
		return
	}
	if !cc.writing {
		cc.writing = true
		netutil.Go(func() { cc.writeQueue(s) })
	}
}

// writeQueue writes queued packets until the queue is empty or the connection fails.
func (cc *clientConn) writeQueue(s *Server) {
	for {
		cc.queueMu.Lock()
		all := cc.queue
		if cc.queue = nil; len(all) == 0 || cc.ended {
			cc.writing = false
			closing := cc.closing && !cc.ended
			cc.ended = cc.ended || cc.closing
			cc.queueMu.Unlock()
			if cc.queuedBytes.Swap(0) > 0 {
				s.limits.Budget.SetHeldBytes(cc.budgetID(), cc.partialBytes.Load())
			}
			if closing {
				cc.conn.Close()
			}
			return
		}
		cc.queueMu.Unlock()
		if err := cc.writePackets(all); err != nil {
			cc.queueMu.Lock()
			cc.ended, cc.writing = true, false
			cc.queueMu.Unlock()
			cc.conn.Close()
			return
		}
	}
}

// writePackets writes and flushes packets, unless the connection is closed.
func (cc *clientConn) writePackets(all [][]byte) error {
	cc.writeMu.Lock()
	defer cc.writeMu.Unlock()
	if cc.closed {
		return net.ErrClosed
	}
	w := cc.conn.Writer()
	for _, b := range all {
		w.WriteBinary(b)
	}
	return w.Flush()
}
