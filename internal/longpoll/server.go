// Package longpoll serves routing tables to proxies by HTTP/1.1 long polling, on netpoll. A pending poll holds no
// goroutine. The core decides which answer each client gets, and when; this package only reads requests and writes
// answers.
package longpoll

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"vetchwood/internal/budget"
	"vetchwood/internal/control"
	"vetchwood/internal/loadshed"
	"vetchwood/internal/netutil"
	"vetchwood/internal/pollshard"
	"vetchwood/logic"
)

// Core is the part of a director that the server needs.
type Core interface {
	Post(in any)
	Ticket() control.Ticket
	// Admit decides whether a request other than a poll is admitted. It returns 0 if so, or else the time after which
	// the client may retry.
	Admit(k loadshed.Kind, client string) time.Duration
	// Poll passes on a poll. If it can be answered immediately, the answer is returned; otherwise it is sent to Answer
	// later. A retryAfter above 0 means that the poll was not admitted, and is the time after which the client may retry.
	Poll(control.Poll) (a control.Answer, answered bool, retryAfter time.Duration)
}

// LeaseHeader is the response header that limits when an answer may take effect: within so many milliseconds after its
// poll was sent. It is set where directors hold slices by lease.
const LeaseHeader = "Vetchwood-Lease"

// Limits protect the server from its clients.
type Limits struct {
	MaxHeadBytes, MaxBodyBytes int
	RequestTimeout             time.Duration // from the first byte of a request to its last
	IdleTimeout                time.Duration // for a connection without a request
	WriteTimeout               time.Duration // for one response
	MaxWait                    logic.Millis  // of a poll
	// Budget is the resource budget that all servers of the process share; nil means unlimited.
	Budget *budget.Budget
}

// Server serves polls and load reports on one listening socket.
type Server struct {
	*netutil.Socket
	core           Core
	budget         *budget.Budget
	limits         atomic.Pointer[Limits]
	log            *slog.Logger
	pendingQueries sync.Map // control.Ticket -> *clientConn, for requests other than a proxy's poll
	conns          sync.Map // budget.Client -> *clientConn
	lastID         atomic.Uint64
	openCount      atomic.Int64
	refusals       atomic.Uint64
	done           chan struct{}
}

// clientConn is one connection. Its fields are guarded by mu, except id and conn.
type clientConn struct {
	id                budget.ClientID
	conn              netpoll.Connection
	heldBytes         int // size of buf as last reported to the budget
	mu                sync.Mutex
	buf               []byte
	ticket            control.Ticket // of the request being answered; 0 if there is none
	isPoll            bool           // the pending request is a poll, of a proxy or a watcher
	proxy             string         // that polls; empty for a watcher
	matchAny          bool           // If-None-Match: *
	wait              logic.Millis
	hasWaitPreference bool      // the request has Prefer: wait
	closeAfter        bool      // the connection is closed after the response
	activeAt          time.Time // time of the first byte of an incomplete request, or of the last request or response
	closed            bool
	hasUnflushed      bool                     // responses are written to the connection's buffer but not flushed
	completions       []pollshard.WriteTracker // of the answers in that buffer, to be notified after the flush
}

// Listen opens the socket of a server. Serve accepts connections on it.
func Listen(address string, core Core, limits Limits, log *slog.Logger) (*Server, error) {
	if limits.Budget == nil {
		limits.Budget = budget.New(budget.Unlimited)
	}
	s := &Server{core: core, budget: limits.Budget, log: log, done: make(chan struct{})}
	s.limits.Store(&limits)
	var err error
	s.Socket, err = netutil.Listen(address, s.read, s.accept, limits.WriteTimeout, limits.Budget, log)
	return s, err
}

// SetLimits changes the limits of a running server. A request that is partly read is checked against the new limits
// when more of it arrives. Budget, MaxWait and WriteTimeout keep their values.
func (s *Server) SetLimits(l Limits) {
	previous := s.limits.Load()
	l.Budget, l.MaxWait, l.WriteTimeout = previous.Budget, previous.MaxWait, previous.WriteTimeout
	s.limits.Store(&l)
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int64 { return s.openCount.Load() }

// Refusals returns the number of requests that were answered with a problem.
func (s *Server) Refusals() uint64 { return s.refusals.Load() }

// Serve accepts and serves connections until Close.
func (s *Server) Serve() error {
	go s.enforceTimeouts()
	return s.Socket.Serve()
}

// Close closes the socket and all connections.
func (s *Server) Close() error {
	close(s.done)
	return s.Socket.Close(func(each func(netpoll.Connection)) {
		s.conns.Range(func(_, v any) bool { each(v.(*clientConn).conn); return true })
	})
}

func (s *Server) accept(c netpoll.Connection) context.Context {
	cc := &clientConn{id: budget.ClientID(s.lastID.Add(1) << 1), conn: c, activeAt: time.Now()}
	s.openCount.Add(1)
	s.budget.ConnectionOpened()
	s.conns.Store(cc.id, cc)
	c.AddCloseCallback(func(netpoll.Connection) error {
		s.conns.Delete(cc.id)
		s.openCount.Add(-1)
		s.budget.ConnectionClosed(cc.id)
		cc.mu.Lock()
		defer cc.mu.Unlock()
		cc.closed = true
		if cc.ticket != 0 {
			if cc.proxy == "" {
				s.pendingQueries.Delete(cc.ticket)
			}
			if cc.isPoll {
				s.core.Post(control.Disconnected{Ticket: cc.ticket, Proxy: cc.proxy})
			}
		}
		return nil
	})
	return context.WithValue(context.Background(), connKey{}, cc)
}

type connKey struct{}

// read takes all data that has arrived: netpoll would call read again immediately for data left in its buffer.
func (s *Server) read(ctx context.Context, c netpoll.Connection) error {
	cc := ctx.Value(connKey{}).(*clientConn)
	cc.mu.Lock()
	defer cc.mu.Unlock()
	r := c.Reader()
	b, err := r.Next(r.Len())
	if err != nil {
		return err
	}
	if len(cc.buf) == 0 {
		cc.activeAt = time.Now()
	}
	borrowed := len(cc.buf) == 0 // complete requests are parsed in netpoll's buffer, without a copy
	if borrowed {
		cc.buf = b
	} else {
		cc.buf = append(cc.buf, b...)
	}
	if limit := s.limits.Load().MaxHeadBytes + s.limits.Load().MaxBodyBytes; len(cc.buf) > limit {
		s.writeProblem(cc, newProblem(http.StatusRequestEntityTooLarge,
			"more than %d bytes wait unanswered", limit).closing())
		cc.buf = nil
	}
	s.processBuffered(cc)
	if borrowed && len(cc.buf) == len(b) {
		cc.buf = append([]byte(nil), b...)
	}
	r.Release()
	if len(cc.buf) != cc.heldBytes && !cc.closed {
		cc.heldBytes = len(cc.buf)
		s.budget.SetHeldBytes(cc.id, int64(cc.heldBytes))
	}
	return nil
}

// CloseClient closes the connection of a client, if it belongs to this server, to free the memory that it holds.
func (s *Server) CloseClient(c budget.ClientID) {
	if v, open := s.conns.Load(c); open {
		s.log.Warn("client.cut", "why", "memory budget exhausted: this client holds more than the others")
		go v.(*clientConn).conn.Close()
	}
}

// requestPool reuses the memory of parsed requests.
var requestPool = sync.Pool{New: func() any { return new(request) }}

// processBuffered handles the buffered requests in order until one has to wait for its answer. Responses that are ready
// immediately are flushed together. The caller holds the connection's lock.
func (s *Server) processBuffered(cc *clientConn) {
	defer s.flush(cc)
	if cc.ticket != 0 || len(cc.buf) == 0 {
		return
	}
	r, in, limits := requestPool.Get().(*request), cc.buf, s.limits.Load()
	defer requestPool.Put(r)
	for cc.ticket == 0 && len(in) > 0 && !cc.closed {
		complete, prob := r.parse(in, limits.MaxHeadBytes, limits.MaxBodyBytes)
		if prob != nil {
			s.writeProblem(cc, prob)
			in = nil
			break
		}
		if !complete {
			break
		}
		cc.closeAfter, cc.activeAt = r.Close, time.Now()
		if prob = s.handle(cc, r); prob != nil {
			s.rejectRequest(cc, prob)
		}
		in = in[r.size:]
	}
	switch { // a pending poll keeps no memory that it does not need
	case len(in) == 0:
		cc.buf = nil
	case len(in) < len(cc.buf):
		cc.buf = append([]byte(nil), in...)
	}
}

// writeProblem writes a problem response and counts it.
func (s *Server) writeProblem(cc *clientConn, prob *problem) {
	s.refusals.Add(1)
	head, body := prob.render()
	s.writeResponse(cc, head, body, prob.closeConn)
}

// rejectRequest rejects a completely read request. The connection is closed if the client asked for that.
func (s *Server) rejectRequest(cc *clientConn, prob *problem) {
	prob.closeConn = prob.closeConn || cc.closeAfter
	s.writeProblem(cc, prob)
}

// writeResponse writes a response to the connection's buffer and returns its head to the pool. The caller holds the
// connection's lock.
func (s *Server) writeResponse(cc *clientConn, h *responseHead, body []byte, closes bool) {
	defer headPool.Put(h)
	if cc.closed {
		return
	}
	w := cc.conn.Writer()
	if room, err := w.Malloc(len(*h)); err == nil {
		copy(room, *h)
	}
	if len(body) > 0 {
		w.WriteBinary(body)
	}
	if cc.hasUnflushed, cc.activeAt = true, time.Now(); closes {
		s.flush(cc)
		cc.closed = true
		go cc.conn.Close()
	}
}

// flush sends the buffered responses and notifies their completions.
func (s *Server) flush(cc *clientConn) {
	if cc.hasUnflushed {
		cc.hasUnflushed = false
		if err := cc.conn.Writer().Flush(); err != nil && !cc.closed {
			cc.closed = true
			go cc.conn.Close()
		}
	}
	for _, f := range cc.completions {
		f.WriteFinished()
	}
	cc.completions = cc.completions[:0]
}

// enforceTimeouts rejects requests that arrive too slowly and closes idle connections, until the server is closed.
func (s *Server) enforceTimeouts() {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-tick.C:
			limits := s.limits.Load()
			s.conns.Range(func(_, v any) bool {
				cc := v.(*clientConn)
				if !cc.mu.TryLock() {
					return true // a request of the connection is being processed
				}
				defer cc.mu.Unlock()
				switch idle := now.Sub(cc.activeAt); {
				case cc.ticket != 0 || cc.closed:
				case len(cc.buf) > 0 && idle > limits.RequestTimeout:
					s.writeProblem(cc, newProblem(http.StatusRequestTimeout,
						"the request took longer than %v to come", limits.RequestTimeout).closing())
				case len(cc.buf) == 0 && idle > limits.IdleTimeout:
					cc.closed = true
					go cc.conn.Close()
				}
				return true
			})
		}
	}
}
