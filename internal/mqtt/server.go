// Package mqtt is the front that proxies subscribe to: MQTT 5 on netpoll. Packets are the library's, sessions and what is
// sent when are package subscribe's, documents the core's; here are the sockets.
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
	"vetchwood/internal/inflow"
	"vetchwood/internal/lrs"
	"vetchwood/internal/nets"
	"vetchwood/internal/subscribe"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Core is what the front needs of a director.
type Core interface {
	Post(in any)
	Ticket() control.Ticket
	Now() logic.Millis
	// Admit says after how long a request may come again; 0: it comes in.
	Admit(k inflow.Kind, client string) time.Duration
}

// Limits guard the front against its clients.
type Limits struct {
	subscribe.Limits
	MaxPacketBytes int
	ConnectTimeout time.Duration // from the connection to the whole CONNECT
	MaxKeepAlive   time.Duration // at most; a client that asks for more, or for none, is told this
	WriteTimeout   time.Duration
	MaxWait        logic.Millis
	// Budget is what all fronts share; nil: any.
	Budget *budget.Ledger
}

// Server is one listening socket.
type Server struct {
	*nets.Socket
	core      Core
	limits    Limits
	log       *slog.Logger
	conns     sync.Map // subscribe.Conn -> *peer
	lastID    atomic.Uint64
	openCount atomic.Int64
	refusals  atomic.Uint64
	done      chan struct{}
	closeOnce sync.Once

	mu      sync.Mutex
	inbox   []any
	wake    chan struct{}
	figures atomic.Pointer[subscribe.Figures]
}

// peer is one connection.
type clientConn struct {
	conn netpoll.Connection
	id   subscribe.Conn

	mu           sync.Mutex
	buf          []byte
	connected    bool
	disconnected bool
	keepAlive    time.Duration
	lastPacketAt time.Time // of the last packet

	partialBytes, queuedBytes atomic.Int64 // bytes of packets that are half read, or wait to be written behind others

	queueMu sync.Mutex
	queue   [][]byte
	writing bool
	closing bool // after what waits is written
	ended   bool
	writeMu sync.Mutex // held while netpoll's writer is used, which must not be once the connection is closed
	closed  bool
}

// Listen opens the socket.
func Listen(address string, core Core, limits Limits, log *slog.Logger) (*Server, error) {
	if limits.Budget == nil {
		limits.Budget = budget.New(budget.Unlimited)
	}
	s := &Server{core: core, limits: limits, log: log, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	s.figures.Store(&subscribe.Figures{})
	var err error
	s.Socket, err = nets.Listen(address, s.read, s.accept, limits.WriteTimeout, limits.Budget, log)
	return s, err
}

// Open is how many connections are open, Failed how many broke the specification, Figures those of the sessions.
func (s *Server) OpenConnections() int64     { return s.openCount.Load() }
func (s *Server) Refusals() uint64           { return s.refusals.Load() }
func (s *Server) Figures() subscribe.Figures { return *s.figures.Load() }

// Serve answers until Close.
func (s *Server) Serve() error {
	go s.run()
	return s.Socket.Serve()
}

// Close closes the socket and tells all clients.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { close(s.done) })
	s.conns.Range(func(_, v any) bool {
		v.(*clientConn).enqueue(s, encodeAs(packets.DISCONNECT, &packets.Disconnect{ReasonCode: byte(serverShuttingDown), Properties: &packets.Properties{}}), true)
		return true
	})
	return s.Socket.Close(func(each func(netpoll.Connection)) {
		s.conns.Range(func(_, v any) bool { each(v.(*clientConn).conn); return true })
	})
}

type connKey struct{}

func (s *Server) accept(c netpoll.Connection) context.Context {
	cc := &clientConn{conn: c, id: subscribe.Conn(s.lastID.Add(1)), lastPacketAt: time.Now(), keepAlive: s.limits.ConnectTimeout}
	s.openCount.Add(1)
	s.limits.Budget.Opened()
	s.conns.Store(cc.id, cc)
	c.AddCloseCallback(func(netpoll.Connection) error {
		s.openCount.Add(-1)
		s.conns.Delete(cc.id)
		s.limits.Budget.Closed(cc.budgetID())
		cc.writeMu.Lock()
		cc.closed = true
		cc.writeMu.Unlock()
		cc.mu.Lock()
		was := cc.disconnected
		cc.disconnected = true
		cc.mu.Unlock()
		if !was {
			s.post(subscribe.Gone{Conn: cc.id})
		}
		return nil
	})
	return context.WithValue(context.Background(), connKey{}, cc)
}

// read takes what has come. Packets go on to the desk in their order.
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
		if was := cc.partialBytes.Swap(int64(len(cc.buf))); was != int64(len(cc.buf)) && !cc.disconnected {
			s.limits.Budget.Hold(cc.budgetID(), cc.partialBytes.Load()+cc.queuedBytes.Load())
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

// client is the peer's name in the budget.
func (cc *clientConn) budgetID() budget.Client { return budget.Client(cc.id)<<1 | 1 }

// Cut closes a client's connection, if it is of this front.
func (s *Server) CloseClient(c budget.Client) {
	if v, open := s.conns.Load(subscribe.Conn(c >> 1)); open && c&1 == 1 {
		s.log.Warn("client.cut", "why", "it holds more of the director's memory than the others, and there is no more")
		go v.(*clientConn).conn.Close()
	}
}

// breach ends a connection that broke the rules.
func (s *Server) abort(cc *clientConn, perr *protocolError) {
	s.refusals.Add(1)
	s.log.Debug("mqtt.refused", "code", int(perr.code), "why", perr.reason)
	s.disconnect(cc, cc.connected, perr.code, perr.reason)
	cc.disconnected, cc.buf = true, nil
	s.post(subscribe.Gone{Conn: cc.id})
}

// end tells a client why its connection ends, and ends it.
func (s *Server) disconnect(cc *clientConn, connected bool, code subscribe.Code, why string) {
	if !connected {
		cc.enqueue(s, encodeAs(packets.CONNACK, &packets.Connack{ReasonCode: byte(code), Properties: &packets.Properties{ReasonString: why}}), true)
		return
	}
	cc.enqueue(s, encodeAs(packets.DISCONNECT, &packets.Disconnect{ReasonCode: byte(code), Properties: &packets.Properties{ReasonString: why}}), true)
}

// take hands a packet on. The peer's lock is held.
func (s *Server) handlePacket(cc *clientConn, packet *packets.ControlPacket) *protocolError {
	if c, ok := packet.Content.(*packets.Connect); ok {
		if cc.connected {
			return protocolErrorf(subscribe.ProtocolError, "a second CONNECT")
		}
		return s.handleConnect(cc, c)
	}
	if !cc.connected {
		return protocolErrorf(subscribe.ProtocolError, "the first packet is no CONNECT")
	}
	switch c := packet.Content.(type) {
	case *packets.Subscribe:
		in := subscribe.Subscribe{Conn: cc.id, ID: c.PacketID}
		if c.Properties != nil {
			for _, u := range c.Properties.User {
				in.Again = in.Again || u.Key == subscribe.PropertyAgain
			}
		}
		for _, o := range c.Subscriptions {
			in.Filters = append(in.Filters, subscribe.Filter{Topic: o.Topic, QoS: o.QoS})
		}
		s.post(in)
	case *packets.Unsubscribe:
		s.post(subscribe.Unsubscribe{Conn: cc.id, ID: c.PacketID, Topics: c.Topics})
	case *packets.Puback:
		s.post(subscribe.Ack{Conn: cc.id, ID: c.PacketID, Code: subscribe.Code(c.ReasonCode)})
	case *packets.Publish:
		s.handleReport(cc, c)
	case *packets.Pingreq:
		cc.enqueue(s, encodeAs(packets.PINGRESP, &packets.Pingresp{}), false)
	case *packets.Disconnect:
		g := subscribe.Gone{Conn: cc.id}
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

func (s *Server) handleConnect(cc *clientConn, c *packets.Connect) *protocolError {
	in := subscribe.Connect{Conn: cc.id, Client: c.ClientID, Clean: c.CleanStart}
	if in.Client == "" || len(in.Client) > 128 || !isValidText(in.Client) {
		return protocolErrorf(subscribe.IDNotValid, "a client identifier of 1 to 128 bytes is needed")
	}
	props := c.Properties
	if props == nil {
		props = &packets.Properties{}
	}
	if props.SessionExpiryInterval != nil {
		in.Expiry = logic.Millis(*props.SessionExpiryInterval) * 1000
	}
	if props.MaximumPacketSize != nil {
		in.Most = int(*props.MaximumPacketSize)
	}
	for _, u := range props.User {
		switch u.Key {
		case subscribe.PropertyZone:
			in.Zone = u.Value
		case subscribe.PropertyRate:
			rate, err := strconv.ParseFloat(u.Value, 64)
			if err != nil || !(rate >= 0 && rate <= 1e9) {
				return protocolErrorf(subscribe.Unspecified, "user property rate: %.40q is no number of calls a second", u.Value)
			}
			in.Rate = rate
		case subscribe.PropertyHeld:
			tag, err := tables.ParseETag(u.Value)
			if err != nil {
				return protocolErrorf(subscribe.Unspecified, "user property held: %v", err)
			}
			if len(in.Held) < 16 {
				in.Held = append(in.Held, tag)
			}
		}
	}
	kind := inflow.Polls
	if len(in.Held) == 0 {
		kind = inflow.NewPolls
	}
	if s.core.Admit(kind, in.Client) > 0 {
		return protocolErrorf(subscribe.ServerBusy, "the director has more to do than it can: come again in some seconds")
	}
	cc.connected = true
	if cc.keepAlive = time.Duration(c.KeepAlive) * time.Second; cc.keepAlive == 0 || cc.keepAlive > s.limits.MaxKeepAlive {
		cc.keepAlive = s.limits.MaxKeepAlive
	}
	s.post(in)
	return nil
}

// report takes a proxy's sums. What can't be read is refused by its reason code; the connection stays.
func (s *Server) handleReport(cc *clientConn, c *packets.Publish) {
	refuse := func(code subscribe.Code, why string) {
		s.refusals.Add(1)
		if c.QoS > 0 {
			cc.enqueue(s, encodePuback(c.PacketID, code, why), false)
		}
	}
	proxy, ok := subscribe.ProxyOfReports(c.Topic)
	if !ok {
		refuse(subscribe.TopicInvalid, "there is "+subscribe.ReportsOf("{proxy}"))
		return
	}
	if s.core.Admit(inflow.Reports, proxy) > 0 {
		refuse(subscribe.QuotaExceeded, "the director has more to do than it can")
		return
	}
	r, err := lrs.Read(c.Payload)
	if err == nil && r.Proxy != "" && r.Proxy != proxy {
		err = errors.New("load stats: node.id is not the proxy of the topic")
	}
	if err != nil {
		refuse(subscribe.PayloadInvalid, err.Error())
		return
	}
	if r.Proxy = proxy; c.Properties != nil {
		for _, u := range c.Properties.User {
			if u.Key == subscribe.PropertyKey {
				r.Key = u.Value
			}
		}
	}
	id := c.PacketID
	if c.QoS == 0 {
		id = 0
	}
	s.post(subscribe.Report{Conn: cc.id, ID: id, Report: r})
}

func encodePuback(id uint16, code subscribe.Code, why string) []byte {
	return encodeAs(packets.PUBACK, &packets.Puback{PacketID: id, ReasonCode: byte(code), Properties: &packets.Properties{ReasonString: why}})
}

// post puts something into the desk's inbox.
func (s *Server) post(in any) {
	s.mu.Lock()
	s.inbox = append(s.inbox, in)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Answer takes the core's answers. The document is encoded here, by the core's own goroutine, which alone may.
func (s *Server) Answer(a control.Answer) {
	if a.Doc != nil {
		a.Doc.Tag()
	}
	s.post(subscribe.Told{Answer: a})
}

// run is the desk's loop.
func (s *Server) run() {
	desk := subscribe.NewDesk(s.limits.Limits, s.limits.MaxWait, s.core.Ticket)
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
		for _, o := range desk.Handle(s.core.Now(), in...) {
			s.execute(o)
		}
		for _, i := range in {
			if told, ok := i.(subscribe.Told); ok {
				told.Answer.Land() // what came of it stands in its connection's queue, in order
			}
		}
		f := desk.Figures()
		s.figures.Store(&f)
	}
}

// silent ends connections that have sent nothing for one and a half times the keep alive.
func (s *Server) enforceKeepAlive(now time.Time) {
	s.conns.Range(func(_, v any) bool {
		cc := v.(*clientConn)
		if !cc.mu.TryLock() {
			return true
		}
		defer cc.mu.Unlock()
		if limit := cc.keepAlive * 3 / 2; !cc.disconnected && now.Sub(cc.lastPacketAt) > limit {
			s.abort(cc, protocolErrorf(subscribe.KeepAliveTimeout, "nothing came for %v", limit))
		}
		return true
	})
}

func (s *Server) execute(o any) {
	to := func(c subscribe.Conn, b []byte) {
		if v, open := s.conns.Load(c); open {
			v.(*clientConn).enqueue(s, b, false)
		}
	}
	switch o := o.(type) {
	case subscribe.Post:
		s.core.Post(o.In)
	case subscribe.Accept:
		no, one, most, keep := byte(0), byte(1), uint32(s.limits.MaxPacketBytes), uint16(s.limits.MaxKeepAlive/time.Second)
		expiry, receive := uint32(o.Expiry/1000), uint16(64)
		to(o.Conn, encodeAs(packets.CONNACK, &packets.Connack{SessionPresent: o.Present, Properties: &packets.Properties{MaximumQOS: &one,
			RetainAvailable: &no, MaximumPacketSize: &most, WildcardSubAvailable: &no, SubIDAvailable: &no, SharedSubAvailable: &no,
			SessionExpiryInterval: &expiry, ReceiveMaximum: &receive, ServerKeepAlive: &keep}}))
	case subscribe.Refuse:
		if v, open := s.conns.Load(o.Conn); open {
			v.(*clientConn).enqueue(s, encodeAs(packets.CONNACK, &packets.Connack{ReasonCode: byte(o.Code), Properties: &packets.Properties{ReasonString: o.Why}}), true)
		}
	case subscribe.Granted:
		a := &packets.Suback{PacketID: o.ID, Properties: &packets.Properties{ReasonString: o.Why}}
		for _, c := range o.Codes {
			a.Reasons = append(a.Reasons, byte(c))
		}
		to(o.Conn, encodeAs(packets.SUBACK, a))
	case subscribe.Ungranted:
		a := &packets.Unsuback{PacketID: o.ID, Properties: &packets.Properties{}}
		for _, c := range o.Codes {
			a.Reasons = append(a.Reasons, byte(c))
		}
		to(o.Conn, encodeAs(packets.UNSUBACK, a))
	case subscribe.Deliver:
		to(o.Conn, encodeDelivery(o))
	case subscribe.Acked:
		to(o.Conn, encodePuback(o.ID, o.Code, o.Why))
	case subscribe.Close:
		if v, open := s.conns.Load(o.Conn); open {
			s.disconnect(v.(*clientConn), true, o.Code, o.Why)
		}
	}
}

func encodeDelivery(o subscribe.Deliver) []byte {
	props := &packets.Properties{ContentType: o.Doc.Type, User: []packets.User{{Key: subscribe.PropertyTag, Value: o.Doc.Tag}}}
	if o.Doc.Base != "" {
		props.User = append(props.User, packets.User{Key: subscribe.PropertyBase, Value: o.Doc.Base})
	}
	if o.Doc.Lease > 0 {
		props.User = append(props.User, packets.User{Key: subscribe.PropertyLease, Value: strconv.Itoa(int(o.Doc.Lease))})
	}
	return encode(&packets.Publish{Topic: o.Topic, QoS: 1, PacketID: o.ID, Duplicate: o.Again, Retain: o.Retain, Payload: o.Doc.Body, Properties: props})
}

// send writes a packet after those that wait, beside the desk's loop: a client that reads slowly holds up nobody else. One
// that lets too many wait is closed.
func (cc *clientConn) enqueue(s *Server, b []byte, last bool) {
	cc.queueMu.Lock()
	defer cc.queueMu.Unlock()
	if cc.ended {
		return
	}
	if b != nil {
		cc.queue = append(cc.queue, b)
	}
	if cc.writing && len(cc.queue) > 1 { // it reads more slowly than it is sent
		waits := int64(0)
		for _, x := range cc.queue {
			waits += int64(len(x))
		}
		cc.queuedBytes.Store(waits)
		s.limits.Budget.Hold(cc.budgetID(), cc.partialBytes.Load()+waits)
	}
	if cc.closing = cc.closing || last; len(cc.queue) > maxQueuedPackets {
		cc.ended = true
		go cc.conn.Close()
		return
	}
	if !cc.writing {
		cc.writing = true
		nets.Go(func() { cc.writeQueue(s) })
	}
}

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
				s.limits.Budget.Hold(cc.budgetID(), cc.partialBytes.Load())
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
