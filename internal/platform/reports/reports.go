// Package reports serves the director's listening address. Collectors forward load reports there, and any client may
// send a ping, which is answered by a pong. A connection that has not joined as a collector is limited in the length of
// its lines, in the number of pings that are answered and in its lifetime.
package reports

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
	"vetchwood/internal/netutil"
	"vetchwood/internal/platform/codec"
	"vetchwood/logic"
)

const (
	joinTimeout      = 900 * time.Millisecond // maximum lifetime of a connection that does not join, whatever it sends
	sweepInterval    = 100 * time.Millisecond
	writeTimeout     = 200 * time.Millisecond
	maxUnjoinedLine  = 4 << 10 // bytes of a line before the connection joins
	maxJoinedLine    = 1 << 20 // bytes of a line of a collector
	maxConnsPerZone  = 3       // a zone's collector may reconnect while its former connection still appears open
	maxUnjoinedPings = 64      // pings answered on a connection that has not joined
	reservedConns    = 32      // connections kept free for collectors, in addition to maxConnsPerZone per zone
	dropLogLimit     = 100     // dropped reports that are logged one by one; after that, only every hundredth
)

var (
	pongLine    = []byte(`{"t":"pong"}` + "\n")
	refusedLine = []byte(`{"t":"refused"}` + "\n")
)

// Server accepts connections and decodes the messages that arrive on them.
type Server struct {
	*netutil.Socket
	schema         *codec.Schema
	post           func(...any)
	budget         *budget.Budget
	log            *slog.Logger
	maxUnjoined    int // limit of connections that have not joined
	lastID         atomic.Uint64
	done           chan struct{}
	droppedReports atomic.Uint64
	refusedConns   atomic.Uint64
	mu             sync.Mutex
	unjoined       *list.List // of *connection, the oldest first
	joined         map[logic.ZoneID][]*connection
	open           map[budget.ClientID]*connection
	closing        bool // connections accepted from now on are closed before anything is read
}

// connection is an open connection to the director's listening address.
type connection struct {
	id           budget.ClientID
	conn         netpoll.Connection
	acceptedAt   time.Time
	unjoinedElem *list.Element // position in Server.unjoined; nil once joined or closed
	zone         logic.ZoneID
	lastReadAt   atomic.Int64 // time of the last read, by netutil.Monotonic
	closed       atomic.Bool
	// hasPinged is set once a ping was received, isCollector once the connection has joined as a collector.
	hasPinged, isCollector atomic.Bool
	refuseMu               sync.Mutex

	// The fields below are used only by the goroutine that reads the connection.
	partial   []byte // the beginning of an incomplete line
	heldBytes int    // length of partial as last reported to the budget
	joined    bool
	pings     int
}

// connectionKey is the context key of a *connection.
type connectionKey struct{}

// Listen opens the listening socket. Load reports are passed to post as codec.Message.
func Listen(address string, schema *codec.Schema, resourceBudget *budget.Budget, post func(...any), log *slog.Logger) (*Server, error) {
	s := &Server{schema: schema, post: post, budget: resourceBudget, log: log, done: make(chan struct{}), unjoined: list.New(),
		joined: map[logic.ZoneID][]*connection{}, open: map[budget.ClientID]*connection{}}
	s.maxUnjoined = max(8, resourceBudget.Stats().MaxConnections-maxConnsPerZone*len(schema.Zones)-reservedConns)
	resourceBudget.OnEvict(s.evict)
	var err error
	s.Socket, err = netutil.Listen(address, s.read, s.accept, writeTimeout, resourceBudget, log)
	return s, err
}

// Serve handles connections until Close is called.
func (s *Server) Serve() error {
	go s.sweep()
	return s.Socket.Serve()
}

// Close closes the socket and all connections. Connections on which a request may be outstanding are refused first,
// because a request that has just been read will not be answered any more.
func (s *Server) Close() error {
	close(s.done)
	return s.Socket.Close(func(visit func(netpoll.Connection)) {
		s.mu.Lock()
		s.closing = true
		all := make([]*connection, 0, len(s.open))
		for _, c := range s.open {
			all = append(all, c)
		}
		s.mu.Unlock()
		for _, c := range all {
			young := time.Since(c.acceptedAt) < joinTimeout // the first request may still be in transit
			if c.hasPinged.Load() || !c.isCollector.Load() || young || c.conn.Reader().Len() > 0 {
				s.refuse(c, "director is shutting down")
			}
			c.refuseMu.Lock() // wait until a refusal in progress is fully written
			visit(c.conn)
			c.refuseMu.Unlock()
		}
	})
}

// Stats holds the figures of a server for the log.
type Stats struct {
	Open, Unjoined               int
	DroppedReports, RefusedConns uint64 // invalid reports; connections that were refused
}

// Stats returns the current figures.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{len(s.open), s.unjoined.Len(), s.droppedReports.Load(), s.refusedConns.Load()}
}

// accept registers a new connection as unjoined. If there are more than maxUnjoined of them, the oldest is refused.
func (s *Server) accept(raw netpoll.Connection) context.Context {
	c := &connection{id: budget.ClientID(s.lastID.Add(1)), conn: raw, acceptedAt: time.Now()}
	s.budget.ConnectionOpened()
	var oldest *connection
	s.mu.Lock()
	closing := s.closing
	s.open[c.id] = c
	if c.unjoinedElem = s.unjoined.PushBack(c); s.unjoined.Len() > s.maxUnjoined {
		oldest = s.unjoined.Front().Value.(*connection)
	}
	s.mu.Unlock()
	raw.AddCloseCallback(func(netpoll.Connection) error {
		c.closed.Store(true)
		s.mu.Lock()
		s.removeUnjoined(c)
		if joined := s.joined[c.zone]; slices.Contains(joined, c) {
			s.joined[c.zone] = slices.DeleteFunc(joined, func(other *connection) bool { return other == c })
		}
		delete(s.open, c.id)
		s.mu.Unlock()
		s.budget.ConnectionClosed(c.id)
		return nil
	})
	if closing {
		raw.Close()
	} else if oldest != nil { // a collector joins at once, so the oldest is least likely to be one
		s.refuse(oldest, "too many connections that have not joined")
	}
	return context.WithValue(context.Background(), connectionKey{}, c)
}

// evict closes the connection of a client that holds more memory than the others. The budget calls it when memory is
// exhausted.
func (s *Server) evict(client budget.ClientID) {
	s.mu.Lock()
	c := s.open[client]
	s.mu.Unlock()
	if c != nil {
		s.refuse(c, "memory is exhausted and this connection holds the most")
	}
}

// removeUnjoined removes a connection from the unjoined ones. The caller holds s.mu.
func (s *Server) removeUnjoined(c *connection) {
	if c.unjoinedElem != nil {
		s.unjoined.Remove(c.unjoinedElem)
		c.unjoinedElem = nil
	}
}

// refuse sends a refusal and closes the connection.
func (s *Server) refuse(c *connection, why string) {
	c.refuseMu.Lock()
	defer c.refuseMu.Unlock()
	if c.closed.Swap(true) {
		return
	}
	s.refusedConns.Add(1)
	s.log.Debug("stranger.refused", "from", c.conn.RemoteAddr().String(), "why", why)
	// Send retries while another goroutine writes an answer on the connection: a request after that answer would otherwise
	// get neither an answer nor a refusal.
	if _, err := netutil.Send(c.conn, refusedLine); err != nil {
		s.log.Debug("stranger.untold", "from", c.conn.RemoteAddr().String(), "error", err)
	}
	c.conn.Close()
}

// sweep refuses connections that have not joined within joinTimeout, until the server is closed.
func (s *Server) sweep() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-tick.C:
			var expired []*connection
			s.mu.Lock()
			for e := s.unjoined.Front(); e != nil && now.Sub(e.Value.(*connection).acceptedAt) > joinTimeout; e = e.Next() {
				expired = append(expired, e.Value.(*connection))
			}
			s.mu.Unlock()
			for _, c := range expired {
				s.refuse(c, "connection did not join in time")
			}
		}
	}
}

// read handles all complete lines that have arrived and keeps the incomplete last one.
func (s *Server) read(ctx context.Context, raw netpoll.Connection) error {
	c := ctx.Value(connectionKey{}).(*connection)
	r := raw.Reader()
	data, err := r.Next(r.Len())
	if err != nil {
		return err
	}
	if c.closed.Load() {
		return r.Release()
	}
	c.lastReadAt.Store(int64(netutil.Monotonic()))
	rest := data
	if len(c.partial) > 0 {
		c.partial = append(c.partial, data...)
		rest = c.partial
	}
	var messages []any
	for !c.closed.Load() {
		line, after, complete := bytes.Cut(rest, []byte{'\n'})
		if !complete {
			break
		}
		if rest = after; len(line) > s.maxLine(c) {
			s.refuse(c, "line is too long")
		} else if message := s.handleLine(c, line); message != nil {
			messages = append(messages, message)
		}
	}
	if len(messages) > 0 {
		s.post(messages...)
	}
	if len(rest) > s.maxLine(c) {
		s.refuse(c, "line is too long")
	}
	if c.closed.Load() || len(rest) == 0 {
		c.partial = nil
	} else {
		c.partial = append([]byte(nil), rest...)
	}
	r.Release()
	if len(c.partial) != c.heldBytes && !c.closed.Load() {
		c.heldBytes = len(c.partial)
		s.budget.SetHeldBytes(c.id, int64(c.heldBytes))
	}
	return nil
}

// maxLine returns the maximum length of a line on the connection, in bytes.
func (s *Server) maxLine(c *connection) int {
	if c.joined {
		return maxJoinedLine
	}
	return maxUnjoinedLine
}

// handleLine handles one line. It returns a message for the director, or nil.
func (s *Server) handleLine(c *connection, line []byte) any {
	m, err := s.schema.DecodeMessage(line)
	switch {
	case err == nil && m.Kind == codec.KindPing:
		c.hasPinged.Store(true)
		if c.pings++; !c.joined && c.pings > maxUnjoinedPings {
			s.refuse(c, "too many pings before joining")
		} else if _, err := netutil.Send(c.conn, pongLine); err != nil {
			s.refuse(c, "cannot send pong: "+err.Error())
		}
	case err == nil && m.Kind == "collector":
		s.join(c, m.Zone)
	case !c.joined:
		why := "report before joining"
		if err != nil {
			why = err.Error()
		}
		s.refuse(c, why)
	case err == nil:
		return m
	case errors.Is(err, codec.ErrUnreadable):
		s.dropReport(c, line, err)
		s.refuse(c, err.Error())
	default:
		s.dropReport(c, line, err)
	}
	return nil
}

// dropReport counts a report that cannot be used and logs it, subject to dropLogLimit.
func (s *Server) dropReport(c *connection, line []byte, err error) {
	if n := s.droppedReports.Add(1); n <= dropLogLimit || n%dropLogLimit == 0 {
		s.log.Warn("report.dropped", "from", c.conn.RemoteAddr().String(), "zone", int(c.zone), "error", err, "so_far", n,
			"line", fmt.Sprintf("%.200q", line))
	}
}

// join registers a connection as the collector of a zone. If the zone has more than maxConnsPerZone connections then,
// the one that has been idle for longest is refused.
func (s *Server) join(c *connection, zone logic.ZoneID) {
	var longestIdle *connection
	s.mu.Lock()
	if c.joined {
		s.joined[c.zone] = slices.DeleteFunc(s.joined[c.zone], func(other *connection) bool { return other == c })
	}
	s.removeUnjoined(c)
	c.joined, c.zone = true, zone
	s.joined[zone] = append(s.joined[zone], c)
	if joined := s.joined[zone]; len(joined) > maxConnsPerZone {
		longestIdle = slices.MinFunc(joined, func(a, b *connection) int { return int(min(1, max(-1, a.lastReadAt.Load()-b.lastReadAt.Load()))) })
	}
	s.mu.Unlock()
	c.isCollector.Store(true)
	s.log.Info("collector.joined", "from", c.conn.RemoteAddr().String(), "zone", s.schema.Zones[zone])
	if longestIdle != nil {
		s.refuse(longestIdle, "collector of the zone has reconnected")
	}
}
