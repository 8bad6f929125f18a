// Package collect is the director's own address: collectors that forward reports, signs of life, and strangers. A connection that
// has not joined as a collector gets little room and little time.
package collect

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"vetchwood/internal/budget"
	"vetchwood/internal/nets"
	"vetchwood/internal/platform/codec"
	"vetchwood/logic"
)

const (
	joinFor     = 900 * time.Millisecond // a stranger may stay, whatever it sends
	sweepEvery  = 100 * time.Millisecond
	writeFor    = 200 * time.Millisecond
	mostStrange = 4 << 10 // bytes of a line before joining
	mostLine    = 1 << 20
	perZone     = 3   // connections of a zone's collector: it comes back while its former one still seems open
	mostPings   = 64  // answered before joining
	spare       = 32  // connections kept for collectors, beside those they have
	logged      = 100 // lines about what was dropped; from then on only every hundredth
)

var (
	pong    = []byte(`{"t":"pong"}` + "\n")
	refused = []byte(`{"t":"refused"}` + "\n")
)

// Server is the socket.
type Server struct {
	*nets.Socket
	names     *codec.Names
	post      func(...any)
	ledger    *budget.Ledger
	log       *slog.Logger
	most      int // strangers
	serial    atomic.Uint64
	done      chan struct{}
	dropped   atomic.Uint64
	turned    atomic.Uint64
	mu        sync.Mutex
	strangers *list.List // of *peer, the oldest first
	joined    map[logic.ZoneID][]*peer
	open      map[budget.Client]*peer
	ending    bool // whoever is accepted from now on is closed before anything is read
}

type peer struct {
	id    budget.Client
	conn  netpoll.Connection
	born  time.Time
	place *list.Element // among strangers
	zone  logic.ZoneID
	heard atomic.Int64 // when last, by nets.Monotonic
	gone  atomic.Bool
	// asked says whether a sign of life was asked for on it, collects whether it joined as a collector.
	asked, collects atomic.Bool
	refusing        sync.Mutex

	// Of the one goroutine that reads it:
	in     []byte
	holds  int
	joined bool
	pings  int
}

type peerKey struct{}

// Listen opens the socket. Reports are posted as codec.Message.
func Listen(address string, names *codec.Names, ledger *budget.Ledger, post func(...any), log *slog.Logger) (*Server, error) {
	s := &Server{names: names, post: post, ledger: ledger, log: log, done: make(chan struct{}), strangers: list.New(),
		joined: map[logic.ZoneID][]*peer{}, open: map[budget.Client]*peer{}}
	s.most = max(8, ledger.Figures().Connections-perZone*len(names.Zones)-spare)
	ledger.Cuts(s.cut)
	var err error
	s.Socket, err = nets.Listen(address, s.read, s.accept, writeFor, ledger, log)
	return s, err
}

// Serve answers until Close.
func (s *Server) Serve() error {
	go s.sweep()
	return s.Socket.Serve()
}

// Close closes the socket and all connections. Whoever asked something on one is refused first: a request may have
// been read a moment ago that nobody will come to answer.
func (s *Server) Close() error {
	close(s.done)
	return s.Socket.Close(func(each func(netpoll.Connection)) {
		s.mu.Lock()
		s.ending = true
		all := make([]*peer, 0, len(s.open))
		for _, p := range s.open {
			all = append(all, p)
		}
		s.mu.Unlock()
		for _, p := range all {
			young := time.Since(p.born) < joinFor // its first request may be on its way
			if p.asked.Load() || !p.collects.Load() || young || p.conn.Reader().Len() > 0 {
				s.refuse(p, "the director ends")
			}
			p.refusing.Lock() // a refusal that has begun is written whole
			each(p.conn)
			p.refusing.Unlock()
		}
	})
}

// Figures are counted for the operator.
type Figures struct {
	Open, Strangers int
	Dropped, Turned uint64 // reports that were spoilt; strangers that were sent away
}

func (s *Server) Figures() Figures {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Figures{len(s.open), s.strangers.Len(), s.dropped.Load(), s.turned.Load()}
}

func (s *Server) accept(c netpoll.Connection) context.Context {
	p := &peer{id: budget.Client(s.serial.Add(1)), conn: c, born: time.Now()}
	s.ledger.Opened()
	var oldest *peer
	s.mu.Lock()
	ending := s.ending
	s.open[p.id] = p
	if p.place = s.strangers.PushBack(p); s.strangers.Len() > s.most {
		oldest = s.strangers.Front().Value.(*peer)
	}
	s.mu.Unlock()
	c.AddCloseCallback(func(netpoll.Connection) error {
		p.gone.Store(true)
		s.mu.Lock()
		s.settle(p)
		if all := s.joined[p.zone]; slices.Contains(all, p) {
			s.joined[p.zone] = slices.DeleteFunc(all, func(x *peer) bool { return x == p })
		}
		delete(s.open, p.id)
		s.mu.Unlock()
		s.ledger.Closed(p.id)
		return nil
	})
	if ending {
		c.Close()
	} else if oldest != nil { // a collector says at once who it is: who has waited longest is least likely to be one
		s.refuse(oldest, "more strangers than may be")
	}
	return context.WithValue(context.Background(), peerKey{}, p)
}

// cut closes a connection that holds more of the memory than the others, where there is no more.
func (s *Server) cut(c budget.Client) {
	s.mu.Lock()
	p := s.open[c]
	s.mu.Unlock()
	if p != nil {
		s.refuse(p, "it holds more of the memory than the others, and there is no more")
	}
}

// settle takes a peer off the strangers; the lock is held.
func (s *Server) settle(p *peer) {
	if p.place != nil {
		s.strangers.Remove(p.place)
		p.place = nil
	}
}

// refuse says so and closes.
func (s *Server) refuse(p *peer, why string) {
	p.refusing.Lock()
	defer p.refusing.Unlock()
	if p.gone.Swap(true) {
		return
	}
	s.turned.Add(1)
	s.log.Debug("stranger.refused", "from", p.conn.RemoteAddr().String(), "why", why)
	// An answer may be on its way out on the same connection: what is asked behind that would find no answer.
	if _, err := nets.Send(p.conn, refused); err != nil {
		s.log.Debug("stranger.untold", "from", p.conn.RemoteAddr().String(), "error", err)
	}
	p.conn.Close()
}

func (s *Server) sweep() {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-tick.C:
			var late []*peer
			s.mu.Lock()
			for e := s.strangers.Front(); e != nil && now.Sub(e.Value.(*peer).born) > joinFor; e = e.Next() {
				late = append(late, e.Value.(*peer))
			}
			s.mu.Unlock()
			for _, p := range late {
				s.refuse(p, "it has not joined in time")
			}
		}
	}
}

// read takes all that has come.
func (s *Server) read(ctx context.Context, c netpoll.Connection) error {
	p := ctx.Value(peerKey{}).(*peer)
	r := c.Reader()
	b, err := r.Next(r.Len())
	if err != nil {
		return err
	}
	if p.gone.Load() {
		return r.Release()
	}
	p.heard.Store(int64(nets.Monotonic()))
	rest := b
	if len(p.in) > 0 {
		p.in = append(p.in, b...)
		rest = p.in
	}
	var notes []any
	for !p.gone.Load() {
		line, after, whole := bytes.Cut(rest, []byte{'\n'})
		if !whole {
			break
		}
		if rest = after; len(line) > s.longest(p) {
			s.refuse(p, "a line is too long")
		} else if note := s.line(p, line); note != nil {
			notes = append(notes, note)
		}
	}
	if len(notes) > 0 {
		s.post(notes...)
	}
	if len(rest) > s.longest(p) {
		s.refuse(p, "a line is too long")
	}
	if p.gone.Load() || len(rest) == 0 {
		p.in = nil
	} else {
		p.in = append([]byte(nil), rest...)
	}
	r.Release()
	if len(p.in) != p.holds && !p.gone.Load() {
		p.holds = len(p.in)
		s.ledger.Hold(p.id, int64(p.holds))
	}
	return nil
}

func (s *Server) longest(p *peer) int {
	if p.joined {
		return mostLine
	}
	return mostStrange
}

// line takes one; what it gives is for the director.
func (s *Server) line(p *peer, line []byte) any {
	m, err := s.names.Read(line)
	switch {
	case err == nil && m.Kind == codec.SignOfLife:
		p.asked.Store(true)
		if p.pings++; !p.joined && p.pings > mostPings {
			s.refuse(p, "too many signs of life were asked for")
		} else if _, err := nets.Send(p.conn, pong); err != nil {
			s.refuse(p, "a sign of life could not be answered: "+err.Error())
		}
	case err == nil && m.Kind == "collector":
		s.join(p, m.Zone)
	case !p.joined:
		why := "a report before joining"
		if err != nil {
			why = err.Error()
		}
		s.refuse(p, why)
	case err == nil:
		return m
	case errors.Is(err, codec.ErrUnreadable):
		s.drop(p, line, err)
		s.refuse(p, err.Error())
	default:
		s.drop(p, line, err)
	}
	return nil
}

func (s *Server) drop(p *peer, line []byte, err error) {
	if n := s.dropped.Add(1); n <= logged || n%logged == 0 {
		s.log.Warn("report.dropped", "from", p.conn.RemoteAddr().String(), "zone", int(p.zone), "error", err, "so_far", n,
			"line", fmt.Sprintf("%.200q", line))
	}
}

// join takes a collector. Of a zone's connections beyond those that may be, the one not heard of for longest goes.
func (s *Server) join(p *peer, zone logic.ZoneID) {
	var quiet *peer
	s.mu.Lock()
	if p.joined {
		s.joined[p.zone] = slices.DeleteFunc(s.joined[p.zone], func(x *peer) bool { return x == p })
	}
	s.settle(p)
	p.joined, p.zone = true, zone
	s.joined[zone] = append(s.joined[zone], p)
	if all := s.joined[zone]; len(all) > perZone {
		quiet = slices.MinFunc(all, func(a, b *peer) int { return int(min(1, max(-1, a.heard.Load()-b.heard.Load()))) })
	}
	s.mu.Unlock()
	p.collects.Store(true)
	s.log.Info("collector.joined", "from", p.conn.RemoteAddr().String(), "zone", s.names.Zones[zone])
	if quiet != nil {
		s.refuse(quiet, "the collector of its zone has come back")
	}
}
