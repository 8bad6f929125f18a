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

	"vetchwood/internal/again"
	"vetchwood/internal/carry"
	"vetchwood/internal/choose"
	"vetchwood/internal/h1"
	"vetchwood/internal/nets"
)

// client is one connection of a client.
type client struct {
	conn netpoll.Connection
	last atomic.Int64 // when it was last answered; 0 while a call is in hand
	mu   sync.Mutex
	gone chan struct{} // closed when it is
	left bool
	host netpoll.Connection // that its call is at
}

type clientKey struct{}

func (s *Relay) accept(c netpoll.Connection) context.Context {
	cl := &client{conn: c, gone: make(chan struct{})}
	cl.last.Store(int64(nets.Monotonic()))
	s.clients.Store(c, cl)
	c.AddCloseCallback(func(netpoll.Connection) error { cl.leave(); s.clients.Delete(c); return nil })
	return context.WithValue(context.Background(), clientKey{}, cl)
}

func (s *Relay) disconnect(ctx context.Context, _ netpoll.Connection) {
	ctx.Value(clientKey{}).(*client).leave()
}

// leave ends the try that is in hand: nobody waits for it.
func (c *client) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		return
	}
	c.left = true
	close(c.gone)
	if c.host != nil {
		c.host.Close()
	}
}

// calls says at which host its call is, or that it is at none; false if the client is gone.
func (c *client) calls(host netpoll.Connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.host = host
	return !c.left
}

// serve reads requests as they come, one after the other, and carries each to its end.
func (s *Relay) serve(ctx context.Context, conn netpoll.Connection) error {
	cl := ctx.Value(clientKey{}).(*client)
	for conn.Reader().Len() > 0 && conn.IsActive() {
		cl.last.Store(0)
		s.inHand.Add(1)
		stays := s.request(cl)
		s.inHand.Add(-1)
		conn.Reader().Release()
		if cl.last.Store(int64(nets.Monotonic())); !stays || s.draining.Load() {
			return conn.Close()
		}
	}
	return nil
}

// request reads one and answers it; false if the connection can't go on.
func (s *Relay) request(cl *client) bool {
	conn := cl.conn
	until := time.Now().Add(s.in().Front.Slow)
	size, err := headSize(conn, until, s.in().Front.MostHead)
	switch {
	case errors.Is(err, errHead):
		s.refuse(cl, http.StatusRequestHeaderFieldsTooLarge, "the head is longer than "+strconv.Itoa(s.in().Front.MostHead)+" bytes", 0, true)
		return false
	case errors.Is(err, netpoll.ErrReadTimeout):
		s.refuse(cl, http.StatusRequestTimeout, "the request took too long to come", 0, true)
		return false
	case err != nil:
		return false
	}
	raw, err := conn.Reader().Next(size)
	if err != nil {
		return false
	}
	var h h1.Head
	if n, w := h.ParseRequest(raw, size+1); w != nil || n != size {
		if w == nil {
			w = &h1.ParseError{Status: http.StatusBadRequest, Message: "the head can't be read"}
		}
		s.meters.malformed.Add(1)
		s.refuse(cl, w.Status, w.Message, 0, true)
		return false
	}
	if h.HasExpect {
		conn.Writer().WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		if conn.Writer().Flush() != nil {
			return false
		}
	}
	body, status, why := s.body(conn, &h, until)
	if status != 0 {
		s.meters.malformed.Add(1)
		s.refuse(cl, status, why, 0, true)
		return false
	}
	m := choose.Find(s.in().Routes, &h)
	if m == nil {
		return s.refuse(cl, http.StatusNotFound, "no route of the settings matches the request", 0, h.Close)
	}
	return s.call(cl, &h, m, body)
}

// body reads a request's. It is held whole, so that it can be sent again.
func (s *Relay) body(conn netpoll.Connection, h *h1.Head, until time.Time) (body []byte, status int, why string) {
	most := int64(s.in().Front.MostBody)
	tooLong := fmt.Sprintf("the body is longer than %d bytes", most)
	fail := func(err error) ([]byte, int, string) {
		var w *h1.ParseError
		switch {
		case errors.As(err, &w):
			return nil, http.StatusBadRequest, w.Message
		case errors.Is(err, netpoll.ErrReadTimeout):
			return nil, http.StatusRequestTimeout, "the request took too long to come"
		}
		return nil, http.StatusBadRequest, "the body ended early"
	}
	if !h.Chunked {
		if h.ContentLength > most {
			return nil, http.StatusRequestEntityTooLarge, tooLong
		}
		if h.ContentLength <= 0 {
			return nil, 0, ""
		}
		body, err := s.read(conn, make([]byte, 0, h.ContentLength), h.ContentLength, until)
		if err != nil {
			return fail(err)
		}
		return body, 0, ""
	}
	for {
		size, err := s.chunk(conn, until)
		if err != nil {
			return fail(err)
		}
		if size == 0 {
			return body, 0, ""
		}
		if int64(len(body))+size > most {
			return nil, http.StatusRequestEntityTooLarge, tooLong
		}
		if body, err = s.read(conn, body, size, until); err == nil {
			err = crlf(conn, until)
		}
		if err != nil {
			return fail(err)
		}
	}
}

// call carries a call to its end.
func (s *Relay) call(cl *client, h *h1.Head, m *choose.Match, body []byte) bool {
	c := &carry.Call{Route: m.Route, Key: m.Key(h), Marked: m.Marked(h)}
	span := s.meters.begin(m.Route)
	if o := s.admit(cl, c); o != carry.Go {
		s.end(c, false)
		span.end(c.Table(), o.String(), 0, 0)
		return s.turnAway(cl, c, o, h.Close)
	}
	head := render(make([]byte, 0, 512+h.Size), h, len(body))
	mark := string(h.Get(m.Mark))
	var t carry.Try
	var o carry.Outcome
	s.think(func(now float64) { t, o = s.mind.First(c, now) })
	if o != carry.Go {
		s.end(c, false)
		span.end(c.Table(), o.String(), 0, 0)
		return s.turnAway(cl, c, o, h.Close)
	}
	for {
		if s.watch.OnTry != nil {
			s.watch.OnTry(m.Route, mark, c.Table(), t.Host)
		}
		a, f := s.exchange(cl, t, h.Method, head, body)
		load, ended := noLoad, 0.0
		if a != nil {
			load = a.load
		}
		if f == answered {
			s.think(func(now float64) { s.mind.Answered(c, now, load) })
			s.end(c, true)
			span.end(c.Table(), string(t.Host), a.head.Status, t.Nth)
			return s.pass(cl, a, h)
		}
		var next carry.Try
		var why again.Verdict
		s.think(func(now float64) {
			next, why = s.mind.Failed(c, f, now, load)
			ended = now
		})
		span.failed(string(t.Host), f, why)
		if why == again.Goes {
			if a != nil && a.rest {
				a.conn.Close()
			}
			t = next
			continue
		}
		s.end(c, false)
		status := 0
		if a != nil {
			status = a.head.Status
		}
		span.end(c.Table(), string(t.Host), status, t.Nth)
		switch {
		case f == carry.Abandoned:
			return false
		case a != nil: // the host's own word on why it failed
			return s.pass(cl, a, h)
		case ended >= c.Until-1:
			return s.refuse(cl, http.StatusGatewayTimeout, "no answer came within the time limit", 0, h.Close)
		}
		return s.refuse(cl, http.StatusBadGateway, "the host gave no answer; another try: "+string(why), 0, h.Close)
	}
}

// admit waits for tables and for a turn.
func (s *Relay) admit(cl *client, c *carry.Call) carry.Outcome {
	var end <-chan time.Time
	for {
		var o carry.Outcome
		var fresh chan struct{}
		var w *waiter
		s.think(func(now float64) {
			s.tickets++
			c.Ticket = s.tickets
			var out admitTicket
			o, out = s.mind.Come(c, now)
			if fresh = s.fresh; o == carry.Queued {
				w = &waiter{c, make(chan bool, 1)}
				s.turns[c.Ticket] = w
			}
			s.out(out)
		})
		switch o {
		case carry.Queued:
			return s.wait(cl, c, w)
		case carry.NoTable:
			if end == nil {
				end = time.After(time.Duration(s.mind.WaitsTables() * float64(time.Millisecond)))
			}
			select {
			case <-fresh:
				continue
			case <-end:
			case <-cl.gone:
			}
			s.think(func(float64) { s.mind.Bare() })
		}
		return o
	}
}

// out tells a call that waits that it is out.
func (s *Relay) out(tickets ...admitTicket) {
	for _, t := range tickets {
		if w := s.turns[t]; w != nil {
			delete(s.turns, t)
			w.turn <- false
		}
	}
}

func (s *Relay) wait(cl *client, c *carry.Call, w *waiter) carry.Outcome {
	timer := time.NewTimer(time.Until(s.at(c.Until)))
	defer timer.Stop()
	select {
	case goes := <-w.turn:
		if goes {
			return carry.Go
		}
		return carry.Full
	case <-timer.C:
	case <-cl.gone:
	}
	waited := false
	s.think(func(float64) {
		waited = s.mind.GiveUp(c)
		delete(s.turns, c.Ticket)
	})
	if !waited { // its turn came at the same moment, or it is out
		if <-w.turn {
			return carry.Go
		}
		return carry.Full
	}
	return carry.Over
}

// end ends a call, and gives its place to one that waits.
func (s *Relay) end(c *carry.Call, answered bool) {
	s.think(func(now float64) {
		next, out := s.mind.Done(c, answered, now)
		s.out(out...)
		if w := s.turns[next]; next != 0 && w != nil {
			delete(s.turns, next)
			s.mind.Turn(w.call, now)
			w.turn <- true
		}
	})
}

// turnAway answers a call that goes nowhere.
func (s *Relay) turnAway(cl *client, c *carry.Call, o carry.Outcome, closes bool) bool {
	switch o {
	case carry.Throttled:
		wait := 0.0
		s.think(func(float64) { wait = s.mind.Wait(c) })
		return s.refuse(cl, http.StatusTooManyRequests, "the route is throttled", wait, closes)
	case carry.Full:
		return s.refuse(cl, http.StatusServiceUnavailable, "as many calls are in hand as may be", 1000, closes)
	case carry.NoTable:
		return s.refuse(cl, http.StatusServiceUnavailable, "no host is in the tables for this call", 1000, closes)
	case carry.Over:
		return s.refuse(cl, http.StatusGatewayTimeout, "the time limit passed while the call waited", 0, closes)
	}
	return s.refuse(cl, http.StatusServiceUnavailable, "the tables know no such route", 1000, closes)
}

// refuse answers with a problem (RFC 9457); wait is how long the client might stay away, in milliseconds.
func (s *Relay) refuse(cl *client, status int, why string, wait float64, closes bool) bool {
	body, _ := json.Marshal(map[string]any{"type": "about:blank", "title": http.StatusText(status), "status": status, "detail": why})
	head := make([]byte, 0, 256)
	head = statusLine(head, status, []byte(http.StatusText(status)))
	head = append(head, "Content-Type: application/problem+json\r\nCache-Control: no-store\r\n"...)
	if wait > 0 {
		head = append(head, "Retry-After: "...)
		head = strconv.AppendInt(head, int64(math.Ceil(wait/1000)), 10)
		head = append(head, "\r\n"...)
	}
	head = framing(head, len(body), closes || s.draining.Load())
	return s.write(cl, append(head, body...), nil) && !closes
}

func statusLine(to []byte, status int, reason []byte) []byte {
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(status), 10)
	to = append(to, ' ')
	to = append(to, reason...)
	return append(to, "\r\n"...)
}

func framing(to []byte, length int, closes bool) []byte {
	to = append(to, "Content-Length: "...)
	to = strconv.AppendInt(to, int64(length), 10)
	to = append(to, "\r\n"...)
	if closes {
		to = append(to, "Connection: close\r\n"...)
	}
	return append(to, "\r\n"...)
}

func (s *Relay) write(cl *client, head, body []byte) bool {
	w := cl.conn.Writer()
	w.WriteBinary(head)
	if len(body) > 0 {
		w.WriteBinary(body)
	}
	return w.Flush() == nil
}
