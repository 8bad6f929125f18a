// Package uplink manages the connections to the relay: one for commit calls and one for the subscription to
// notifications. It makes no decisions: package outbox decides which call is made and what its result means.
package uplink

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"syscall"
	"time"

	"vetchwood/internal/eventloop"
	"vetchwood/internal/netutil"
	"vetchwood/internal/platform/codec"
	"vetchwood/internal/platform/outbox"
)

// Timeouts and limits of the protocol, with a margin for a machine whose core is shared.
const (
	dialTimeout    = 250 * time.Millisecond
	answerTimeout  = 120 * time.Millisecond // the relay answers within 50 ms or never
	maxIdle        = 2 * time.Second        // the relay closes connections that are idle for longer, even during a send
	writeTimeout   = 200 * time.Millisecond
	silenceTimeout = 2500 * time.Millisecond // two and a half heartbeat intervals
	backoffUnit    = 20 * time.Millisecond   // added to the delay per failure
	maxLineBytes   = 1 << 20
	subscribeID    = 1 // id of the only call on the subscription's connection
)

// CallEnded is posted to the inbox when a call has ended.
type CallEnded struct {
	ID      uint64
	Result  outbox.Result
	Applied int
	Reason  string
	Elapsed time.Duration
}

// Caller makes commit calls to the relay, one at a time.
type Caller struct {
	schema   *codec.Schema
	post     func(...any)
	requests chan request
	conn     netutil.Conn
	lines    *netutil.LineReader
	address  string // address that conn is connected to
	lastUsed time.Time
	failures int
	log      *slog.Logger
}

// request is a call and the address of the relay that it goes to.
type request struct {
	address string
	call    *outbox.Call
}

// NewCaller returns a Caller that posts the end of each call.
func NewCaller(schema *codec.Schema, post func(...any), log *slog.Logger) *Caller {
	return &Caller{schema: schema, post: post, requests: make(chan request, 1), log: log}
}

// Submit starts a call to the relay at the address. Its end is posted as a CallEnded; until then no other call may be
// submitted.
func (c *Caller) Submit(address string, call *outbox.Call) { c.requests <- request{address, call} }

// Run makes the submitted calls until the context ends.
func (c *Caller) Run(ctx context.Context) {
	defer func() { c.closeConn() }()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-c.requests:
			if c.failures > 1 { // the first retry is immediate
				eventloop.Pause(ctx, eventloop.Backoff(min(c.failures-1, 8), backoffUnit, rand.Float64()))
			}
			began := time.Now()
			e := c.send(r)
			e.ID, e.Elapsed = r.call.ID, time.Since(began)
			if e.Result == outbox.Answered || e.Result == outbox.Invalid {
				c.failures = 0
			} else {
				c.failures++
			}
			c.post(e)
		}
	}
}

// closeConn closes the connection, if there is one.
func (c *Caller) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn, c.lines = nil, nil
	}
}

// send makes one call, over the open connection if it is still usable, and returns how it ended.
func (c *Caller) send(r request) (e CallEnded) {
	if c.conn != nil && (c.address != r.address || !c.conn.IsActive() || time.Since(c.lastUsed) > maxIdle) {
		c.closeConn()
	}
	if c.conn == nil {
		conn, err := netutil.Dial(r.address, dialTimeout)
		if err != nil {
			return CallEnded{Result: outbox.NotSent, Reason: err.Error()}
		}
		c.conn, c.lines, c.address = conn, netutil.NewLineReader(conn, maxLineBytes), r.address
	}
	c.lastUsed = time.Now()
	c.conn.SetWriteTimeout(writeTimeout)
	if accepted, err := netutil.Send(c.conn, r.call.Text); err != nil {
		c.closeConn()
		if accepted == 0 || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
			return CallEnded{Result: outbox.NotSent, Reason: err.Error()} // no byte was sent
		}
		// Part of the request was sent, and the rest was still being flushed when the timeout expired or the relay
		// closed the connection: the poller may have written the last byte meanwhile.
		return CallEnded{Result: outbox.Unconfirmed, Reason: err.Error()}
	}
	f, err := c.readAnswer(r.call)
	if err != nil {
		c.closeConn()
		return CallEnded{Result: outbox.Unconfirmed, Reason: err.Error()}
	}
	switch f.Error {
	case "":
		return CallEnded{Result: outbox.Answered, Applied: f.Accepted}
	case "invalid":
		return CallEnded{Result: outbox.Invalid, Reason: f.Error}
	}
	return CallEnded{Result: outbox.Retryable, Reason: f.Error}
}

var errUnexpectedAnswer = errors.New("unexpected message from the relay")

// readAnswer reads the answer to the call and checks that it belongs to it.
func (c *Caller) readAnswer(call *outbox.Call) (codec.Frame, error) {
	line, err := c.lines.Next(time.Now().Add(answerTimeout))
	if err != nil {
		return codec.Frame{}, err
	}
	f, err := c.schema.DecodeFrame(line)
	if err == nil && (f.Notification != nil || f.ID != call.ID || f.Error == "" && (f.Accepted < 0 || f.Accepted > len(call.Ops))) {
		err = fmt.Errorf("%w: %.200q", errUnexpectedAnswer, line)
	}
	return f, err
}

// Messages that Follow posts to the inbox.
type (
	// Subscribed reports that the relay accepted the subscription. FollowerID identifies the call of Follow: the
	// director may leave an address and return to it while the earlier follower of that address still runs.
	Subscribed struct {
		FollowerID, SubscriptionID int
		Address                    string
	}
	// Notification carries one notification of the relay.
	Notification struct {
		SubscriptionID int
		Body           codec.Notification
	}
	// SubscriptionLost reports that a subscription ended or could not be opened.
	SubscriptionLost struct {
		SubscriptionID int
		Reason         string
	}
)

// Follow keeps a subscription open at an address until the context ends. Each subscription gets an ID from nextID;
// followerID identifies this call of Follow.
func Follow(ctx context.Context, address string, schema *codec.Schema, followerID int, nextID func() int, post func(...any), log *slog.Logger) {
	for failures := 0; ctx.Err() == nil; {
		began, id := time.Now(), nextID()
		err := subscribe(ctx, address, schema, Subscribed{followerID, id, address}, post, log)
		if ctx.Err() != nil {
			return
		}
		post(SubscriptionLost{id, err.Error()})
		if time.Since(began) > time.Second {
			failures = 0 // the subscription worked; the next attempt is immediate
		}
		eventloop.Pause(ctx, eventloop.Backoff(min(failures, 8), backoffUnit, rand.Float64()))
		failures++
	}
}

// subscribe opens one subscription and posts its notifications until it fails.
func subscribe(ctx context.Context, address string, schema *codec.Schema, subscribed Subscribed, post func(...any), log *slog.Logger) error {
	conn, err := netutil.Dial(address, dialTimeout)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	conn.SetWriteTimeout(writeTimeout)
	if _, err := netutil.Send(conn, fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":"subscribe"}`+"\n", subscribeID)); err != nil {
		return err
	}
	lines, accepted, timeout := netutil.NewLineReader(conn, maxLineBytes), false, answerTimeout
	for {
		line, err := lines.Next(time.Now().Add(timeout))
		if err != nil {
			return err
		}
		f, err := schema.DecodeFrame(line)
		var invalid *codec.FieldError
		switch {
		case errors.As(err, &invalid) && accepted:
			log.Warn("news.dropped", "error", err, "line", fmt.Sprintf("%.200q", line))
		case err != nil:
			return err
		case f.Notification != nil && accepted:
			post(Notification{subscribed.SubscriptionID, *f.Notification})
		case f.Notification == nil && f.Error != "":
			return errors.New(f.Error)
		case f.Notification == nil && f.Subscribed && !accepted:
			accepted, timeout = true, silenceTimeout
			post(subscribed)
		default:
			return fmt.Errorf("%w: %.200q", errUnexpectedAnswer, line)
		}
	}
}
