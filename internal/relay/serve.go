package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"vetchwood/internal/dispatch"
	"vetchwood/internal/h1"
	"vetchwood/internal/netutil"
	"vetchwood/internal/retry"
	"vetchwood/internal/routing"
)

// client is a connection from a client.
type client struct {
	conn      netpoll.Connection
	idleSince atomic.Int64 // netutil.Monotonic of the last response; 0 while a call is in flight
	mu        sync.Mutex
	closed    chan struct{} // closed when the connection is closed
	isClosed  bool
	hostConn  netpoll.Connection // connection that the current try uses, or nil
}

type clientContextKey struct{}

func (s *Relay) onConnect(c netpoll.Connection) context.Context {
	cl := &client{conn: c, closed: make(chan struct{})}
	cl.idleSince.Store(int64(netutil.Monotonic()))
	s.clients.Store(c, cl)
	c.AddCloseCallback(func(netpoll.Connection) error { cl.abandon(); s.clients.Delete(c); return nil })
	return context.WithValue(context.Background(), clientContextKey{}, cl)
}

func (s *Relay) onDisconnect(ctx context.Context, _ netpoll.Connection) {
	ctx.Value(clientContextKey{}).(*client).abandon()
}

// abandon ends the current try by closing its connection to the host, as the client no longer waits for the response.
func (c *client) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return
	}
	c.isClosed = true
	close(c.closed)
	if c.hostConn != nil {
		c.hostConn.Close()
	}
}

// setHostConn records the connection to a host that the current try uses; nil means none. It reports whether the client
// is still connected.
func (c *client) setHostConn(host netpoll.Connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hostConn = host
	return !c.isClosed
}

// serve reads the requests of a connection one after the other and answers each before it reads the next.
func (s *Relay) serve(ctx context.Context, conn netpoll.Connection) error {
	cl := ctx.Value(clientContextKey{}).(*client)
	for conn.Reader().Len() > 0 && conn.IsActive() {
		cl.idleSince.Store(0)
		s.inFlight.Add(1)
		keepOpen := s.serveRequest(cl)
		s.inFlight.Add(-1)
		conn.Reader().Release()
		if cl.idleSince.Store(int64(netutil.Monotonic())); !keepOpen || s.draining.Load() {
			return conn.Close()
		}
	}
	return nil
}

// serveRequest reads a request and answers it. It reports whether the connection can be used for another request.
func (s *Relay) serveRequest(cl *client) bool {
	conn := cl.conn
	deadline := time.Now().Add(s.settings().Clients.RequestTimeout)
	size, err := awaitHead(conn, deadline, s.settings().Clients.MaxHead)
	switch {
	case errors.Is(err, errMalformed):
		s.writeProblem(cl, http.StatusRequestHeaderFieldsTooLarge, "the head is longer than "+strconv.Itoa(s.settings().Clients.MaxHead)+" bytes", 0, true)
		return false
	case errors.Is(err, netpoll.ErrReadTimeout):
		s.writeProblem(cl, http.StatusRequestTimeout, "the request took too long to come", 0, true)
		return false
	case err != nil:
		return false
	}
	raw, err := conn.Reader().Next(size)
	if err != nil {
		return false
	}
	var h h1.Head
	if n, parseErr := h.ParseRequest(raw, size+1); parseErr != nil || n != size {
		if parseErr == nil {
			parseErr = &h1.ParseError{Status: http.StatusBadRequest, Message: "the head can't be read"}
		}
		s.metrics.malformed.Add(1)
		s.writeProblem(cl, parseErr.Status, parseErr.Message, 0, true)
		return false
	}
	if h.HasExpect {
		conn.Writer().WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		if conn.Writer().Flush() != nil {
			return false
		}
	}
	body, status, detail := s.readBody(conn, &h, deadline)
	if status != 0 {
		s.metrics.malformed.Add(1)
		s.writeProblem(cl, status, detail, 0, true)
		return false
	}
	match := routing.Find(s.settings().Routes, &h)
	if match == nil {
		return s.writeProblem(cl, http.StatusNotFound, "no route of the settings matches the request", 0, h.Close)
	}
	return s.serveCall(cl, &h, match, body)
}

// readBody reads the whole body of a request into memory, so that a retry can send it again. If that fails, it returns
// the status and the detail of the response.
func (s *Relay) readBody(conn netpoll.Connection, h *h1.Head, deadline time.Time) (body []byte, status int, detail string) {
	maxBody := int64(s.settings().Clients.MaxBody)
	tooLong := fmt.Sprintf("the body is longer than %d bytes", maxBody)
	fail := func(err error) ([]byte, int, string) {
		var parseErr *h1.ParseError
		switch {
		case errors.As(err, &parseErr):
			return nil, http.StatusBadRequest, parseErr.Message
		case errors.Is(err, netpoll.ErrReadTimeout):
			return nil, http.StatusRequestTimeout, "the request took too long to come"
		}
		return nil, http.StatusBadRequest, "the body ended early"
	}
	if !h.Chunked {
		if h.ContentLength > maxBody {
			return nil, http.StatusRequestEntityTooLarge, tooLong
		}
		if h.ContentLength <= 0 {
			return nil, 0, ""
		}
		body, err := s.readBytes(conn, make([]byte, 0, h.ContentLength), h.ContentLength, deadline)
		if err != nil {
			return fail(err)
		}
		return body, 0, ""
	}
	for {
		size, err := s.readChunkSize(conn, deadline)
		if err != nil {
			return fail(err)
		}
		if size == 0 {
			return body, 0, ""
		}
		if int64(len(body))+size > maxBody {
			return nil, http.StatusRequestEntityTooLarge, tooLong
		}
		if body, err = s.readBytes(conn, body, size, deadline); err == nil {
			err = skipCRLF(conn, deadline)
		}
		if err != nil {
			return fail(err)
		}
	}
}

// serveCall admits a call, tries it at hosts until a try succeeds or no further one is permitted, and answers the
// client. It reports whether the client's connection can be used for another request.
func (s *Relay) serveCall(cl *client, h *h1.Head, match *routing.Match, body []byte) bool {
	c := &dispatch.Call{Route: match.Route, Key: match.Key(h), HasIdempotencyKey: match.HasIdempotencyKey(h)}
	span := s.metrics.startSpan(match.Route)
	if outcome := s.admit(cl, c); outcome != dispatch.Proceed {
		s.finishCall(c, false)
		span.finish(c.Table(), outcome.String(), 0, 0)
		return s.rejectCall(cl, c, outcome, h.Close)
	}
	head := appendRequestHead(make([]byte, 0, 512+h.Size), h, len(body))
	idempotencyKey := string(h.Get(match.IdempotencyHeader))
	var try dispatch.Try
	var outcome dispatch.Outcome
	s.withDispatcher(func(now float64) { try, outcome = s.dispatcher.FirstTry(c, now) })
	if outcome != dispatch.Proceed {
		s.finishCall(c, false)
		span.finish(c.Table(), outcome.String(), 0, 0)
		return s.rejectCall(cl, c, outcome, h.Close)
	}
	for {
		if s.hooks.OnTry != nil {
			s.hooks.OnTry(match.Route, idempotencyKey, c.Table(), try.Host)
		}
		res, failure := s.exchange(cl, try, h.Method, head, body)
		load, failedAt := noLoad, 0.0
		if res != nil {
			load = res.load
		}
		if failure == noFailure {
			s.withDispatcher(func(now float64) { s.dispatcher.TrySucceeded(c, now, load) })
			s.finishCall(c, true)
			span.finish(c.Table(), string(try.Host), res.head.Status, try.Number)
			return s.forwardResponse(cl, res, h)
		}
		var next dispatch.Try
		var verdict retry.Verdict
		s.withDispatcher(func(now float64) {
			next, verdict = s.dispatcher.TryFailed(c, failure, now, load)
			failedAt = now
		})
		span.tryFailed(string(try.Host), failure, verdict)
		if verdict == retry.Allowed {
			if res != nil && res.hasMore {
				res.conn.Close()
			}
			try = next
			continue
		}
		s.finishCall(c, false)
		status := 0
		if res != nil {
			status = res.head.Status
		}
		span.finish(c.Table(), string(try.Host), status, try.Number)
		switch {
		case failure == dispatch.Canceled:
			return false
		case res != nil: // The host's own error response says why the call failed.
			return s.forwardResponse(cl, res, h)
		case failedAt >= c.Deadline-1: // within 1 ms of the time limit
			return s.writeProblem(cl, http.StatusGatewayTimeout, "no answer came within the time limit", 0, h.Close)
		}
		return s.writeProblem(cl, http.StatusBadGateway, "the host gave no answer; another try: "+string(verdict), 0, h.Close)
	}
}

// admit asks the dispatcher to admit a call. The call waits for the first tables if there are none yet, and in the queue
// while too many calls are in flight.
func (s *Relay) admit(cl *client, c *dispatch.Call) dispatch.Outcome {
	var waitTimeout <-chan time.Time
	for {
		var outcome dispatch.Outcome
		var tablesChanged chan struct{}
		var w *waiter
		s.withDispatcher(func(now float64) {
			s.lastTicket++
			c.Ticket = s.lastTicket
			var evicted ticket
			outcome, evicted = s.dispatcher.Admit(c, now)
			if tablesChanged = s.tablesChanged; outcome == dispatch.Queued {
				w = &waiter{c, make(chan bool, 1)}
				s.queuedCalls[c.Ticket] = w
			}
			s.rejectQueued(evicted)
		})
		switch outcome {
		case dispatch.Queued:
			return s.awaitAdmission(cl, c, w)
		case dispatch.NoLine:
			if waitTimeout == nil {
				waitTimeout = time.After(time.Duration(s.dispatcher.TableWaitMs() * float64(time.Millisecond)))
			}
			select {
			case <-tablesChanged:
				continue
			case <-waitTimeout:
			case <-cl.closed:
			}
			s.withDispatcher(func(float64) { s.dispatcher.CountNoLine() })
		}
		return outcome
	}
}

// rejectQueued notifies calls that were dropped from the queue. Tickets without a queued call are ignored. The lock must
// be held.
func (s *Relay) rejectQueued(tickets ...ticket) {
	for _, t := range tickets {
		if w := s.queuedCalls[t]; w != nil {
			delete(s.queuedCalls, t)
			w.admitted <- false
		}
	}
}

// awaitAdmission waits until a queued call is admitted or dropped, its time limit passes or its client disconnects.
func (s *Relay) awaitAdmission(cl *client, c *dispatch.Call, w *waiter) dispatch.Outcome {
	timer := time.NewTimer(time.Until(s.timeAt(c.Deadline)))
	defer timer.Stop()
	select {
	case admitted := <-w.admitted:
		if admitted {
			return dispatch.Proceed
		}
		return dispatch.AtCapacity
	case <-timer.C:
	case <-cl.closed:
	}
	wasQueued := false
	s.withDispatcher(func(float64) {
		wasQueued = s.dispatcher.CancelQueued(c)
		delete(s.queuedCalls, c.Ticket)
	})
	if !wasQueued { // The call was admitted or dropped at the same moment.
		if <-w.admitted {
			return dispatch.Proceed
		}
		return dispatch.AtCapacity
	}
	return dispatch.DeadlineExceeded
}

// finishCall ends a call and admits a queued call in its place, if there is one.
func (s *Relay) finishCall(c *dispatch.Call, answered bool) {
	s.withDispatcher(func(now float64) {
		next, expired := s.dispatcher.EndCall(c, answered, now)
		s.rejectQueued(expired...)
		if w := s.queuedCalls[next]; next != 0 && w != nil {
			delete(s.queuedCalls, next)
			s.dispatcher.Dequeued(w.call, now)
			w.admitted <- true
		}
	})
}

// rejectCall answers a call that is not sent to any host.
func (s *Relay) rejectCall(cl *client, c *dispatch.Call, outcome dispatch.Outcome, closes bool) bool {
	switch outcome {
	case dispatch.Throttled:
		retryAfterMs := 0.0
		s.withDispatcher(func(float64) { retryAfterMs = s.dispatcher.RetryAfter(c) })
		return s.writeProblem(cl, http.StatusTooManyRequests, "the route is throttled", retryAfterMs, closes)
	case dispatch.AtCapacity:
		return s.writeProblem(cl, http.StatusServiceUnavailable, "as many calls are in hand as may be", 1000, closes)
	case dispatch.NoLine:
		return s.writeProblem(cl, http.StatusServiceUnavailable, "no host is in the tables for this call", 1000, closes)
	case dispatch.DeadlineExceeded:
		return s.writeProblem(cl, http.StatusGatewayTimeout, "the time limit passed while the call waited", 0, closes)
	}
	return s.writeProblem(cl, http.StatusServiceUnavailable, "the tables know no such route", 1000, closes)
}

// writeProblem answers with a problem document (RFC 9457). The parameter retryAfterMs is the time in milliseconds
// after which the client may retry, sent as Retry-After in whole seconds; 0 omits it. It reports whether the client's
// connection can be used for another request.
func (s *Relay) writeProblem(cl *client, status int, detail string, retryAfterMs float64, closes bool) bool {
	body, _ := json.Marshal(map[string]any{"type": "about:blank", "title": http.StatusText(status), "status": status, "detail": detail})
	head := make([]byte, 0, 256)
	head = appendStatusLine(head, status, []byte(http.StatusText(status)))
	head = append(head, "Content-Type: application/problem+json\r\nCache-Control: no-store\r\n"...)
	if retryAfterMs > 0 {
		head = append(head, "Retry-After: "...)
		head = strconv.AppendInt(head, int64(math.Ceil(retryAfterMs/1000)), 10)
		head = append(head, "\r\n"...)
	}
	head = appendFraming(head, len(body), closes || s.draining.Load())
	return s.write(cl, append(head, body...), nil) && !closes
}

// appendStatusLine appends the status line of a response.
func appendStatusLine(buf []byte, status int, reason []byte) []byte {
	buf = append(buf, "HTTP/1.1 "...)
	buf = strconv.AppendInt(buf, int64(status), 10)
	buf = append(buf, ' ')
	buf = append(buf, reason...)
	return append(buf, "\r\n"...)
}

// appendFraming appends the fields that frame a body of a known length, and the empty line that ends the head.
func appendFraming(buf []byte, length int, closes bool) []byte {
	buf = append(buf, "Content-Length: "...)
	buf = strconv.AppendInt(buf, int64(length), 10)
	buf = append(buf, "\r\n"...)
	if closes {
		buf = append(buf, "Connection: close\r\n"...)
	}
	return append(buf, "\r\n"...)
}

// write sends a head and a body to the client and reports whether that succeeded.
func (s *Relay) write(cl *client, head, body []byte) bool {
	w := cl.conn.Writer()
	w.WriteBinary(head)
	if len(body) > 0 {
		w.WriteBinary(body)
	}
	return w.Flush() == nil
}
