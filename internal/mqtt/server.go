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
	MostPacket  int
	Connect     time.Duration // from the connection to the whole CONNECT
	KeepAlive   time.Duration // at most; a client that asks for more, or for none, is told this
	Write       time.Duration
	LongestWait logic.Millis
	// Budget is what all fronts share; nil: any.
	Budget *budget.Budget
}

// Server is one listening socket.
type Server struct {
	*nets.Socket
	core   Core
	limits Limits
	log    *slog.Logger
	peers  sync.Map // subscribe.Conn -> *peer
	serial atomic.Uint64
	open   atomic.Int64
	failed atomic.Uint64
	done   chan struct{}
	once   sync.Once

	mu      sync.Mutex
	box     []any
	wake    chan struct{}
	figures atomic.Pointer[subscribe.Figures]
}

// peer is one connection.
type peer struct {
	conn netpoll.Connection
	id   subscribe.Conn

	mu        sync.Mutex
	in        []byte
	connected bool
	gone      bool
	keepAlive time.Duration
	heard     time.Time // of the last packet

	half, unsent atomic.Int64 // bytes of packets that are half read, or wait to be written behind others

	outMu   sync.Mutex
	out     [][]byte
	writing bool
	closing bool // after what waits is written
	ended   bool
	writeMu sync.Mutex // held while netpoll's writer is used, which must not be once the connection is closed
	shut    bool
}

// Listen opens the socket.
func Listen(address string, core Core, limits Limits, log *slog.Logger) (*Server, error) {
	if limits.Budget == nil {
		limits.Budget = budget.New(budget.Unlimited)
	}
	s := &Server{core: core, limits: limits, log: log, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	s.figures.Store(&subscribe.Figures{})
	var err error
	s.Socket, err = nets.Listen(address, s.read, s.accept, limits.Write, limits.Budget, log)
	return s, err
}

// Open is how many connections are open, Failed how many broke the specification, Figures those of the sessions.
func (s *Server) Open() int64                { return s.open.Load() }
func (s *Server) Failed() uint64             { return s.failed.Load() }
func (s *Server) Figures() subscribe.Figures { return *s.figures.Load() }

// Serve answers until Close.
func (s *Server) Serve() error {
	go s.run()
	return s.Socket.Serve()
}

// Close closes the socket and tells all clients.
func (s *Server) Close() error {
	s.once.Do(func() { close(s.done) })
	s.peers.Range(func(_, v any) bool {
		v.(*peer).send(s, pack(packets.DISCONNECT, &packets.Disconnect{ReasonCode: byte(serverShuttingDown), Properties: &packets.Properties{}}), true)
		return true
	})
	return s.Socket.Close(func(each func(netpoll.Connection)) {
		s.peers.Range(func(_, v any) bool { each(v.(*peer).conn); return true })
	})
}

type peerKey struct{}

func (s *Server) accept(c netpoll.Connection) context.Context {
	p := &peer{conn: c, id: subscribe.Conn(s.serial.Add(1)), heard: time.Now(), keepAlive: s.limits.Connect}
	s.open.Add(1)
	s.limits.Budget.ConnectionOpened()
	s.peers.Store(p.id, p)
	c.AddCloseCallback(func(netpoll.Connection) error {
		s.open.Add(-1)
		s.peers.Delete(p.id)
		s.limits.Budget.ConnectionClosed(p.client())
		p.writeMu.Lock()
		p.shut = true
		p.writeMu.Unlock()
		p.mu.Lock()
		was := p.gone
		p.gone = true
		p.mu.Unlock()
		if !was {
			s.post(subscribe.Gone{Conn: p.id})
		}
		return nil
	})
	return context.WithValue(context.Background(), peerKey{}, p)
}

// read takes what has come. Packets go on to the desk in their order.
func (s *Server) read(ctx context.Context, c netpoll.Connection) error {
	p := ctx.Value(peerKey{}).(*peer)
	p.mu.Lock()
	defer p.mu.Unlock()
	r := c.Reader()
	b, err := r.Next(r.Len())
	if err != nil {
		return err
	}
	p.in = append(p.in, b...)
	r.Release()
	defer func() {
		if was := p.half.Swap(int64(len(p.in))); was != int64(len(p.in)) && !p.gone {
			s.limits.Budget.SetHeldBytes(p.client(), p.half.Load()+p.unsent.Load())
		}
	}()
	for len(p.in) > 0 && !p.gone {
		n, wrong := length(p.in, s.limits.MostPacket)
		if wrong == nil && (n == 0 || len(p.in) < n) {
			return nil
		}
		if wrong == nil {
			var packet *packets.ControlPacket
			if packet, wrong = parse(p.in[:n:n]); wrong == nil {
				p.heard = time.Now()
				wrong = s.take(p, packet)
			}
		}
		if wrong != nil {
			s.breach(p, wrong)
			return nil
		}
		if p.in = append([]byte(nil), p.in[n:]...); len(p.in) == 0 {
			p.in = nil
		}
	}
	return nil
}

// client is the peer's name in the budget.
func (p *peer) client() budget.ClientID { return budget.ClientID(p.id)<<1 | 1 }

// Cut closes a client's connection, if it is of this front.
func (s *Server) Cut(c budget.ClientID) {
	if v, open := s.peers.Load(subscribe.Conn(c >> 1)); open && c&1 == 1 {
		s.log.Warn("client.cut", "why", "it holds more of the director's memory than the others, and there is no more")
		go v.(*peer).conn.Close()
	}
}

// breach ends a connection that broke the rules.
func (s *Server) breach(p *peer, wrong *fault) {
	s.failed.Add(1)
	s.log.Debug("mqtt.refused", "code", int(wrong.code), "why", wrong.why)
	s.end(p, p.connected, wrong.code, wrong.why)
	p.gone, p.in = true, nil
	s.post(subscribe.Gone{Conn: p.id})
}

// end tells a client why its connection ends, and ends it.
func (s *Server) end(p *peer, connected bool, code subscribe.Code, why string) {
	if !connected {
		p.send(s, pack(packets.CONNACK, &packets.Connack{ReasonCode: byte(code), Properties: &packets.Properties{ReasonString: why}}), true)
		return
	}
	p.send(s, pack(packets.DISCONNECT, &packets.Disconnect{ReasonCode: byte(code), Properties: &packets.Properties{ReasonString: why}}), true)
}

// take hands a packet on. The peer's lock is held.
func (s *Server) take(p *peer, packet *packets.ControlPacket) *fault {
	if c, is := packet.Content.(*packets.Connect); is {
		if p.connected {
			return breach(subscribe.ProtocolError, "a second CONNECT")
		}
		return s.connect(p, c)
	}
	if !p.connected {
		return breach(subscribe.ProtocolError, "the first packet is no CONNECT")
	}
	switch c := packet.Content.(type) {
	case *packets.Subscribe:
		in := subscribe.Subscribe{Conn: p.id, ID: c.PacketID}
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
		s.post(subscribe.Unsubscribe{Conn: p.id, ID: c.PacketID, Topics: c.Topics})
	case *packets.Puback:
		s.post(subscribe.Ack{Conn: p.id, ID: c.PacketID, Code: subscribe.Code(c.ReasonCode)})
	case *packets.Publish:
		s.report(p, c)
	case *packets.Pingreq:
		p.send(s, pack(packets.PINGRESP, &packets.Pingresp{}), false)
	case *packets.Disconnect:
		g := subscribe.Gone{Conn: p.id}
		if c.Properties != nil && c.Properties.SessionExpiryInterval != nil {
			expiry := logic.Millis(*c.Properties.SessionExpiryInterval) * 1000
			g.Expiry = &expiry
		}
		p.gone = true
		s.post(g)
		p.send(s, nil, true)
	}
	return nil
}

func (s *Server) connect(p *peer, c *packets.Connect) *fault {
	in := subscribe.Connect{Conn: p.id, Client: c.ClientID, Clean: c.CleanStart}
	if in.Client == "" || len(in.Client) > 128 || !text(in.Client) {
		return breach(subscribe.IDNotValid, "a client identifier of 1 to 128 bytes is needed")
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
				return breach(subscribe.Unspecified, "user property rate: %.40q is no number of calls a second", u.Value)
			}
			in.Rate = rate
		case subscribe.PropertyHeld:
			tag, err := tables.ParseETag(u.Value)
			if err != nil {
				return breach(subscribe.Unspecified, "user property held: %v", err)
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
		return breach(subscribe.ServerBusy, "the director has more to do than it can: come again in some seconds")
	}
	p.connected = true
	if p.keepAlive = time.Duration(c.KeepAlive) * time.Second; p.keepAlive == 0 || p.keepAlive > s.limits.KeepAlive {
		p.keepAlive = s.limits.KeepAlive
	}
	s.post(in)
	return nil
}

// report takes a proxy's sums. What can't be read is refused by its reason code; the connection stays.
func (s *Server) report(p *peer, c *packets.Publish) {
	refuse := func(code subscribe.Code, why string) {
		s.failed.Add(1)
		if c.QoS > 0 {
			p.send(s, puback(c.PacketID, code, why), false)
		}
	}
	proxy, is := subscribe.ProxyOfReports(c.Topic)
	if !is {
		refuse(subscribe.TopicInvalid, "there is "+subscribe.ReportsOf("{proxy}"))
		return
	}
	if s.core.Admit(inflow.Reports, proxy) > 0 {
		refuse(subscribe.QuotaExceeded, "the director has more to do than it can")
		return
	}
	r, err := lrs.Decode(c.Payload)
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
	s.post(subscribe.Report{Conn: p.id, ID: id, Report: r})
}

func puback(id uint16, code subscribe.Code, why string) []byte {
	return pack(packets.PUBACK, &packets.Puback{PacketID: id, ReasonCode: byte(code), Properties: &packets.Properties{ReasonString: why}})
}

// post puts something into the desk's inbox.
func (s *Server) post(in any) {
	s.mu.Lock()
	s.box = append(s.box, in)
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
	desk := subscribe.NewDesk(s.limits.Limits, s.limits.LongestWait, s.core.Ticket)
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-tick.C:
			s.silent(now)
		case <-s.wake:
		}
		s.mu.Lock()
		in := s.box
		s.box = nil
		s.mu.Unlock()
		for _, o := range desk.Handle(s.core.Now(), in...) {
			s.carryOut(o)
		}
		for _, i := range in {
			if told, is := i.(subscribe.Told); is {
				told.Answer.WriteFinished() // what came of it stands in its connection's queue, in order
			}
		}
		f := desk.Figures()
		s.figures.Store(&f)
	}
}

// silent ends connections that have sent nothing for one and a half times the keep alive.
func (s *Server) silent(now time.Time) {
	s.peers.Range(func(_, v any) bool {
		p := v.(*peer)
		if !p.mu.TryLock() {
			return true
		}
		defer p.mu.Unlock()
		if limit := p.keepAlive * 3 / 2; !p.gone && now.Sub(p.heard) > limit {
			s.breach(p, breach(subscribe.KeepAliveTimeout, "nothing came for %v", limit))
		}
		return true
	})
}

func (s *Server) carryOut(o any) {
	to := func(c subscribe.Conn, b []byte) {
		if v, open := s.peers.Load(c); open {
			v.(*peer).send(s, b, false)
		}
	}
	switch o := o.(type) {
	case subscribe.Post:
		s.core.Post(o.In)
	case subscribe.Accept:
		no, one, most, keep := byte(0), byte(1), uint32(s.limits.MostPacket), uint16(s.limits.KeepAlive/time.Second)
		expiry, receive := uint32(o.Expiry/1000), uint16(64)
		to(o.Conn, pack(packets.CONNACK, &packets.Connack{SessionPresent: o.Present, Properties: &packets.Properties{MaximumQOS: &one,
			RetainAvailable: &no, MaximumPacketSize: &most, WildcardSubAvailable: &no, SubIDAvailable: &no, SharedSubAvailable: &no,
			SessionExpiryInterval: &expiry, ReceiveMaximum: &receive, ServerKeepAlive: &keep}}))
	case subscribe.Refuse:
		if v, open := s.peers.Load(o.Conn); open {
			v.(*peer).send(s, pack(packets.CONNACK, &packets.Connack{ReasonCode: byte(o.Code), Properties: &packets.Properties{ReasonString: o.Why}}), true)
		}
	case subscribe.Granted:
		a := &packets.Suback{PacketID: o.ID, Properties: &packets.Properties{ReasonString: o.Why}}
		for _, c := range o.Codes {
			a.Reasons = append(a.Reasons, byte(c))
		}
		to(o.Conn, pack(packets.SUBACK, a))
	case subscribe.Ungranted:
		a := &packets.Unsuback{PacketID: o.ID, Properties: &packets.Properties{}}
		for _, c := range o.Codes {
			a.Reasons = append(a.Reasons, byte(c))
		}
		to(o.Conn, pack(packets.UNSUBACK, a))
	case subscribe.Deliver:
		to(o.Conn, publish(o))
	case subscribe.Acked:
		to(o.Conn, puback(o.ID, o.Code, o.Why))
	case subscribe.Close:
		if v, open := s.peers.Load(o.Conn); open {
			s.end(v.(*peer), true, o.Code, o.Why)
		}
	}
}

func publish(o subscribe.Deliver) []byte {
	props := &packets.Properties{ContentType: o.Doc.Type, User: []packets.User{{Key: subscribe.PropertyTag, Value: o.Doc.Tag}}}
	if o.Doc.Base != "" {
		props.User = append(props.User, packets.User{Key: subscribe.PropertyBase, Value: o.Doc.Base})
	}
	if o.Doc.Lease > 0 {
		props.User = append(props.User, packets.User{Key: subscribe.PropertyLease, Value: strconv.Itoa(int(o.Doc.Lease))})
	}
	return render(&packets.Publish{Topic: o.Topic, QoS: 1, PacketID: o.ID, Duplicate: o.Again, Retain: o.Retain, Payload: o.Doc.Body, Properties: props})
}

// send writes a packet after those that wait, beside the desk's loop: a client that reads slowly holds up nobody else. One
// that lets too many wait is closed.
func (p *peer) send(s *Server, b []byte, last bool) {
	p.outMu.Lock()
	defer p.outMu.Unlock()
	if p.ended {
		return
	}
	if b != nil {
		p.out = append(p.out, b)
	}
	if p.writing && len(p.out) > 1 { // it reads more slowly than it is sent
		waits := int64(0)
		for _, x := range p.out {
			waits += int64(len(x))
		}
		p.unsent.Store(waits)
		s.limits.Budget.SetHeldBytes(p.client(), p.half.Load()+waits)
	}
	if p.closing = p.closing || last; len(p.out) > mostWaiting {
		p.ended = true
		go p.conn.Close()
		return
	}
	if !p.writing {
		p.writing = true
		nets.Go(func() { p.drain(s) })
	}
}

func (p *peer) drain(s *Server) {
	for {
		p.outMu.Lock()
		all := p.out
		if p.out = nil; len(all) == 0 || p.ended {
			p.writing = false
			closing := p.closing && !p.ended
			p.ended = p.ended || p.closing
			p.outMu.Unlock()
			if p.unsent.Swap(0) > 0 {
				s.limits.Budget.SetHeldBytes(p.client(), p.half.Load())
			}
			if closing {
				p.conn.Close()
			}
			return
		}
		p.outMu.Unlock()
		if err := p.write(all); err != nil {
			p.outMu.Lock()
			p.ended, p.writing = true, false
			p.outMu.Unlock()
			p.conn.Close()
			return
		}
	}
}

func (p *peer) write(all [][]byte) error {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	if p.shut {
		return net.ErrClosed
	}
	w := p.conn.Writer()
	for _, b := range all {
		w.WriteBinary(b)
	}
	return w.Flush()
}
