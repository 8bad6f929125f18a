// Package uplink is the sockets to the relay: one for calls and one that carries the news. It decides nothing: which call is made,
// and what its end means, is package outbox's.
package uplink

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"syscall"
	"time"

	"vetchwood/internal/nets"
	"vetchwood/internal/platform/codec"
	"vetchwood/internal/platform/outbox"
	"vetchwood/internal/turns"
)

// Times of the protocol, with room for a machine that shares its core.
const (
	dialTimeout    = 250 * time.Millisecond
	answerTimeout  = 120 * time.Millisecond // an answer comes within 50 ms or never
	maxIdle        = 2 * time.Second        // the other side closes what is idle for longer, maybe with a call on its way
	writeTimeout   = 200 * time.Millisecond
	silenceTimeout = 2500 * time.Millisecond // two signs of life and a half
	backoffUnit    = 20 * time.Millisecond
	maxLineBytes   = 1 << 20
	subscribeID    = 1 // the id of the only call on the connection of the news
)

// Ended is put into the inbox when a call has ended.
type CallEnded struct {
	ID      uint64
	Result  outbox.Result
	Applied int
	Reason  string
	Elapsed time.Duration
}

// Calls makes calls, one after the other.
type Caller struct {
	names    *codec.Names
	post     func(...any)
	requests chan request
	conn     nets.Conn
	lines    *nets.LineReader
	address  string // that conn goes to
	lastUsed time.Time
	failures int
	log      *slog.Logger
}

type request struct {
	address string
	call    *outbox.Call
}

func NewCaller(names *codec.Names, post func(...any), log *slog.Logger) *Caller {
	return &Caller{names: names, post: post, requests: make(chan request, 1), log: log}
}

// Make has a call made at an address; how it ended is posted. No other is made until then.
func (c *Caller) Submit(address string, call *outbox.Call) { c.requests <- request{address, call} }

// Run makes calls until the context ends.
func (c *Caller) Run(ctx context.Context) {
	defer func() { c.closeConn() }()
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-c.requests:
			if c.failures > 1 { // the first try again is at once
				turns.Pause(ctx, turns.Backoff(min(c.failures-1, 8), backoffUnit, rand.Float64()))
			}
			began := time.Now()
			e := c.send(t)
			e.ID, e.Elapsed = t.call.ID, time.Since(began)
			if e.Result == outbox.Answered || e.Result == outbox.Invalid {
				c.failures = 0
			} else {
				c.failures++
			}
			c.post(e)
		}
	}
}

func (c *Caller) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn, c.lines = nil, nil
	}
}

func (c *Caller) send(t request) (e CallEnded) {
	if c.conn != nil && (c.address != t.address || !c.conn.IsActive() || time.Since(c.lastUsed) > maxIdle) {
		c.closeConn()
	}
	if c.conn == nil {
		conn, err := nets.Dial(t.address, dialTimeout)
		if err != nil {
			return CallEnded{Result: outbox.NotSent, Reason: err.Error()}
		}
		c.conn, c.lines, c.address = conn, nets.NewLineReader(conn, maxLineBytes), t.address
	}
	c.lastUsed = time.Now()
	c.conn.SetWriteTimeout(writeTimeout)
	if taken, err := nets.Send(c.conn, t.call.Text); err != nil {
		c.closeConn()
		if taken == 0 || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
			return CallEnded{Result: outbox.NotSent, Reason: err.Error()} // not a byte of it went
		}
		// A part went, and the rest was still being flushed when the time was over or the other side closed: the poller may have
		// written the last byte meanwhile.
		return CallEnded{Result: outbox.Unconfirmed, Reason: err.Error()}
	}
	f, err := c.readAnswer(t.call)
	if err != nil {
		c.closeConn()
		return CallEnded{Result: outbox.Unconfirmed, Reason: err.Error()}
	}
	switch f.Error {
	case "":
		return CallEnded{Result: outbox.Answered, Applied: f.Count}
	case "invalid":
		return CallEnded{Result: outbox.Invalid, Reason: f.Error}
	}
	return CallEnded{Result: outbox.Retryable, Reason: f.Error}
}

var errUnexpectedAnswer = errors.New("the answer is no answer to the call")

func (c *Caller) readAnswer(call *outbox.Call) (codec.Frame, error) {
	line, err := c.lines.Next(time.Now().Add(answerTimeout))
	if err != nil {
		return codec.Frame{}, err
	}
	f, err := c.names.Frame(line)
	if err == nil && (f.News != nil || f.ID != call.ID || f.Error == "" && (f.Count < 0 || f.Count > len(call.Ops))) {
		err = fmt.Errorf("%w: %.200q", errUnexpectedAnswer, line)
	}
	return f, err
}

// What the news put into the inbox; Source tells one subscription from the next.
type (
	// Began says that the relay took the subscription. Follower tells who follows: an address may be left and come back to while
	// its former follower is still there.
	Subscribed struct {
		Follower, Source int
		Address          string
	}
	Notification struct {
		Source int
		Body   codec.News
	}
	SubscriptionLost struct {
		Source int
		Reason string
	}
)

// Follow keeps subscribed at an address until the context ends; source numbers each subscription, and follower the follower.
func Follow(ctx context.Context, address string, names *codec.Names, follower int, source func() int, post func(...any), log *slog.Logger) {
	for failures := 0; ctx.Err() == nil; {
		began, number := time.Now(), source()
		err := subscribe(ctx, address, names, Subscribed{follower, number, address}, post, log)
		if ctx.Err() != nil {
			return
		}
		post(SubscriptionLost{number, err.Error()})
		if time.Since(began) > time.Second {
			failures = 0 // it served; the next try is at once
		}
		turns.Pause(ctx, turns.Backoff(min(failures, 8), backoffUnit, rand.Float64()))
		failures++
	}
}

func subscribe(ctx context.Context, address string, names *codec.Names, start Subscribed, post func(...any), log *slog.Logger) error {
	conn, err := nets.Dial(address, dialTimeout)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	conn.SetWriteTimeout(writeTimeout)
	if _, err := nets.Send(conn, fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":"subscribe"}`+"\n", subscribeID)); err != nil {
		return err
	}
	lines, taken, by := nets.NewLineReader(conn, maxLineBytes), false, answerTimeout
	for {
		line, err := lines.Next(time.Now().Add(by))
		if err != nil {
			return err
		}
		f, err := names.Frame(line)
		var spoilt *codec.Spoilt
		switch {
		case errors.As(err, &spoilt) && taken:
			log.Warn("news.dropped", "error", err, "line", fmt.Sprintf("%.200q", line))
		case err != nil:
			return err
		case f.News != nil && taken:
			post(Notification{start.Source, *f.News})
		case f.News == nil && f.Error != "":
			return errors.New(f.Error)
		case f.News == nil && f.OK && !taken:
			taken, by = true, silenceTimeout
			post(start)
		default:
			return fmt.Errorf("%w: %.200q", errUnexpectedAnswer, line)
		}
	}
}
