// Package longpoll is the front that plain proxies poll: HTTP/1.1 on netpoll. A poll that waits holds no
// goroutine. It decides nothing: what is told to whom, and when, is the core's.
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
	"vetchwood/internal/inflow"
	"vetchwood/internal/nets"
	"vetchwood/internal/park"
	"vetchwood/logic"
)

// Core is what the front needs of a director.
type Core interface {
	Post(in any)
	Ticket() control.Ticket
	// Admit says after how long a request that is no poll may come again; 0: it comes in.
	Admit(k inflow.Kind, client string) time.Duration
	// Poll takes a poll: what can be answered at once is returned, the rest comes to Answer; or it may come again later.
	Poll(control.Poll) (a control.Answer, answered bool, later time.Duration)
}

// LeaseHeader says for how many milliseconds after the poll was sent its answer may take effect, where directors hold slices
// by lease.
const LeaseHeader = "Vetchwood-Lease"

// Limits guard the front against its clients.
type Limits struct {
	MaxHeadBytes, MaxBodyBytes int
	RequestTimeout             time.Duration // from its first byte to its last
	IdleTimeout                time.Duration // without a request
	WriteTimeout               time.Duration // for one answer
	MaxWait                    logic.Millis
	// Budget is what all fronts share; nil: any.
	Budget *budget.Ledger
}

// Server is one listening socket.
type Server struct {
	*nets.Socket
	core   Core
	budget *budget.Ledger
	limits atomic.Pointer[Limits]
	log    *slog.Logger
	asked  sync.Map // control.Ticket -> *peer, for what is no poll
	peers  sync.Map // budget.Client -> *peer
	serial atomic.Uint64
	open   atomic.Int64
	failed atomic.Uint64
	done   chan struct{}
}

// peer is one connection.
type peer struct {
	id     budget.Client
	conn   netpoll.Connection
	holds  int // bytes that the budget knows of
	mu     sync.Mutex
	in     []byte
	ticket control.Ticket // of the request that is being answered; 0: none
	poll   bool
	proxy  string // whose the poll is; empty: one that looks on
	any    bool   // If-None-Match: *
	waits  logic.Millis
	prefer bool
	closes bool
	since  time.Time // of the first byte of what is not yet whole, or of the last answer
	gone   bool
	out    bool          // something is written and yet to be flushed
	sent   []park.Flight // of what is
}

// Listen opens the socket.
func Listen(address string, core Core, limits Limits, log *slog.Logger) (*Server, error) {
	if limits.Budget == nil {
		limits.Budget = budget.New(budget.Unlimited)
	}
	s := &Server{core: core, budget: limits.Budget, log: log, done: make(chan struct{})}
	s.limits.Store(&limits)
	var err error
	s.Socket, err = nets.Listen(address, s.read, s.accept, limits.WriteTimeout, limits.Budget, log)
	return s, err
}

// Limit guards by other limits from now on; requests that are half read meet them with their next byte. What the budget is, how long a poll
// waits and how slowly an answer may be read stay as they are.
func (s *Server) SetLimits(l Limits) {
	was := s.limits.Load()
	l.Budget, l.MaxWait, l.WriteTimeout = was.Budget, was.MaxWait, was.WriteTimeout
	s.limits.Store(&l)
}

// Open is how many connections there are.
func (s *Server) OpenConnections() int64 { return s.open.Load() }

// Failed counts requests that were refused for what they are.
func (s *Server) Refusals() uint64 { return s.failed.Load() }

// Serve answers until Close.
func (s *Server) Serve() error {
	go s.watch()
	return s.Socket.Serve()
}

// Close closes the socket and all connections.
func (s *Server) Close() error {
	close(s.done)
	return s.Socket.Close(func(each func(netpoll.Connection)) {
		s.peers.Range(func(_, v any) bool { each(v.(*peer).conn); return true })
	})
}

func (s *Server) accept(c netpoll.Connection) context.Context {
	p := &peer{id: budget.Client(s.serial.Add(1) << 1), conn: c, since: time.Now()}
	s.open.Add(1)
	s.budget.Opened()
	s.peers.Store(p.id, p)
	c.AddCloseCallback(func(netpoll.Connection) error {
		s.peers.Delete(p.id)
		s.open.Add(-1)
		s.budget.Closed(p.id)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.gone = true
		if p.ticket != 0 {
			if p.proxy == "" {
				s.asked.Delete(p.ticket)
			}
			if p.poll {
				s.core.Post(control.Broke{Ticket: p.ticket, Proxy: p.proxy})
			}
		}
		return nil
	})
	return context.WithValue(context.Background(), peerKey{}, p)
}

type peerKey struct{}

// read takes all that has come: what stays in netpoll's buffer would be handed over again at once.
func (s *Server) read(ctx context.Context, c netpoll.Connection) error {
	p := ctx.Value(peerKey{}).(*peer)
	p.mu.Lock()
	defer p.mu.Unlock()
	r := c.Reader()
	b, err := r.Next(r.Len())
	if err != nil {
		return err
	}
	if len(p.in) == 0 {
		p.since = time.Now()
	}
	lent := len(p.in) == 0 // what is whole is read where it lies
	if lent {
		p.in = b
	} else {
		p.in = append(p.in, b...)
	}
	if most := s.limits.Load().MaxHeadBytes + s.limits.Load().MaxBodyBytes; len(p.in) > most {
		s.refuse(p, bad(http.StatusRequestEntityTooLarge, "more than %d bytes wait unanswered", most).last())
		p.in = nil
	}
	s.turn(p)
	if lent && len(p.in) == len(b) {
		p.in = append([]byte(nil), b...)
	}
	r.Release()
	if len(p.in) != p.holds && !p.gone {
		p.holds = len(p.in)
		s.budget.Hold(p.id, int64(p.holds))
	}
	return nil
}

// Cut closes a client's connection, if it is of this front.
func (s *Server) CloseClient(c budget.Client) {
	if v, open := s.peers.Load(c); open {
		s.log.Warn("client.cut", "why", "it holds more of the director's memory than the others, and there is no more")
		go v.(*peer).conn.Close()
	}
}

// readers keep the memory of requests that have been read for the next.
var readers = sync.Pool{New: func() any { return new(request) }}

// turn starts on the next request, if none is being answered. What is answered at once goes out together.
func (s *Server) turn(p *peer) {
	defer s.flush(p)
	if p.ticket != 0 || len(p.in) == 0 {
		return
	}
	r, in, limits := readers.Get().(*request), p.in, s.limits.Load()
	defer readers.Put(r)
	for p.ticket == 0 && len(in) > 0 && !p.gone {
		whole, wrong := r.next(in, limits.MaxHeadBytes, limits.MaxBodyBytes)
		if wrong != nil {
			s.refuse(p, wrong)
			in = nil
			break
		}
		if !whole {
			break
		}
		p.closes, p.since = r.Close, time.Now()
		if wrong = s.ask(p, r); wrong != nil {
			s.refuseAsked(p, wrong)
		}
		in = in[r.length:]
	}
	switch { // what a poll that waits does not need is not kept for it
	case len(in) == 0:
		p.in = nil
	case len(in) < len(p.in):
		p.in = append([]byte(nil), in...)
	}
}

func (s *Server) refuse(p *peer, wrong *problem) {
	s.failed.Add(1)
	head, body := wrong.render()
	s.write(p, head, body, wrong.close)
}

// refuseAsked refuses a request that was read whole; the connection ends with it where the client asked for that.
func (s *Server) refuseAsked(p *peer, wrong *problem) {
	wrong.close = wrong.close || p.closes
	s.refuse(p, wrong)
}

// write puts an answer into the connection's buffer, and gives its head back; the peer's lock is held.
func (s *Server) write(p *peer, h *head, body []byte, closes bool) {
	defer spare.Put(h)
	if p.gone {
		return
	}
	w := p.conn.Writer()
	if room, err := w.Malloc(len(*h)); err == nil {
		copy(room, *h)
	}
	if len(body) > 0 {
		w.WriteBinary(body)
	}
	if p.out, p.since = true, time.Now(); closes {
		s.flush(p)
		p.gone = true
		go p.conn.Close()
	}
}

// flush sends what is written, and says so.
func (s *Server) flush(p *peer) {
	if p.out {
		p.out = false
		if err := p.conn.Writer().Flush(); err != nil && !p.gone {
			p.gone = true
			go p.conn.Close()
		}
	}
	for _, f := range p.sent {
		f.Landed()
	}
	p.sent = p.sent[:0]
}

// watch ends requests that come too slowly, and connections that ask for nothing.
func (s *Server) watch() {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-tick.C:
			limits := s.limits.Load()
			s.peers.Range(func(_, v any) bool {
				p := v.(*peer)
				if !p.mu.TryLock() {
					return true // it is being answered
				}
				defer p.mu.Unlock()
				switch quiet := now.Sub(p.since); {
				case p.ticket != 0 || p.gone:
				case len(p.in) > 0 && quiet > limits.RequestTimeout:
					s.refuse(p, bad(http.StatusRequestTimeout, "the request took longer than %v to come", limits.RequestTimeout).last())
				case len(p.in) == 0 && quiet > limits.IdleTimeout:
					p.gone = true
					go p.conn.Close()
				}
				return true
			})
		}
	}
}
