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
	dialFor    = 250 * time.Millisecond
	answerFor  = 120 * time.Millisecond // an answer comes within 50 ms or never
	idleFor    = 2 * time.Second        // the other side closes what is idle for longer, maybe with a call on its way
	writeFor   = 200 * time.Millisecond
	silence    = 2500 * time.Millisecond // two signs of life and a half
	retryUnit  = 20 * time.Millisecond
	mostLine   = 1 << 20
	subscribed = 1 // the id of the only call on the connection of the news
)

// Ended is put into the inbox when a call has ended.
type Ended struct {
	ID    uint64
	How   outbox.Fate
	Taken int
	Why   string
	Spent time.Duration
}

// Calls makes calls, one after the other.
type Calls struct {
	names *codec.Schema
	post  func(...any)
	todo  chan todo
	conn  nets.Conn
	lines *nets.Lines
	at    string // that conn goes to
	used  time.Time
	fails int
	log   *slog.Logger
}

type todo struct {
	address string
	call    *outbox.Call
}

func NewCalls(names *codec.Schema, post func(...any), log *slog.Logger) *Calls {
	return &Calls{names: names, post: post, todo: make(chan todo, 1), log: log}
}

// Make has a call made at an address; how it ended is posted. No other is made until then.
func (c *Calls) Make(address string, call *outbox.Call) { c.todo <- todo{address, call} }

// Run makes calls until the context ends.
func (c *Calls) Run(ctx context.Context) {
	defer func() { c.drop() }()
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-c.todo:
			if c.fails > 1 { // the first try again is at once
				turns.Pause(ctx, turns.Backoff(min(c.fails-1, 8), retryUnit, rand.Float64()))
			}
			began := time.Now()
			e := c.make(t)
			e.ID, e.Spent = t.call.ID, time.Since(began)
			if e.How == outbox.Answered || e.How == outbox.Invalid {
				c.fails = 0
			} else {
				c.fails++
			}
			c.post(e)
		}
	}
}

func (c *Calls) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn, c.lines = nil, nil
	}
}

func (c *Calls) make(t todo) (e Ended) {
	if c.conn != nil && (c.at != t.address || !c.conn.IsActive() || time.Since(c.used) > idleFor) {
		c.drop()
	}
	if c.conn == nil {
		conn, err := nets.Dial(t.address, dialFor)
		if err != nil {
			return Ended{How: outbox.Unsent, Why: err.Error()}
		}
		c.conn, c.lines, c.at = conn, nets.NewLines(conn, mostLine), t.address
	}
	c.used = time.Now()
	c.conn.SetWriteTimeout(writeFor)
	if taken, err := nets.Send(c.conn, t.call.Text); err != nil {
		c.drop()
		if taken == 0 || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
			return Ended{How: outbox.Unsent, Why: err.Error()} // not a byte of it went
		}
		// A part went, and the rest was still being flushed when the time was over or the other side closed: the poller may have
		// written the last byte meanwhile.
		return Ended{How: outbox.Unsure, Why: err.Error()}
	}
	f, err := c.answer(t.call)
	if err != nil {
		c.drop()
		return Ended{How: outbox.Unsure, Why: err.Error()}
	}
	switch f.Error {
	case "":
		return Ended{How: outbox.Answered, Taken: f.Accepted}
	case "invalid":
		return Ended{How: outbox.Invalid, Why: f.Error}
	}
	return Ended{How: outbox.Later, Why: f.Error}
}

var errOther = errors.New("the answer is no answer to the call")

func (c *Calls) answer(call *outbox.Call) (codec.Frame, error) {
	line, err := c.lines.Next(time.Now().Add(answerFor))
	if err != nil {
		return codec.Frame{}, err
	}
	f, err := c.names.DecodeFrame(line)
	if err == nil && (f.Notification != nil || f.ID != call.ID || f.Error == "" && (f.Accepted < 0 || f.Accepted > len(call.Ops))) {
		err = fmt.Errorf("%w: %.200q", errOther, line)
	}
	return f, err
}

// What the news put into the inbox; Source tells one subscription from the next.
type (
	// Began says that the relay took the subscription. Follower tells who follows: an address may be left and come back to while
	// its former follower is still there.
	Began struct {
		Follower, Source int
		Address          string
	}
	News struct {
		Source int
		News   codec.Notification
	}
	Broke struct {
		Source int
		Why    string
	}
)

// Follow keeps subscribed at an address until the context ends; source numbers each subscription, and follower the follower.
func Follow(ctx context.Context, address string, names *codec.Schema, follower int, source func() int, post func(...any), log *slog.Logger) {
	for failures := 0; ctx.Err() == nil; {
		began, number := time.Now(), source()
		err := subscribe(ctx, address, names, Began{follower, number, address}, post, log)
		if ctx.Err() != nil {
			return
		}
		post(Broke{number, err.Error()})
		if time.Since(began) > time.Second {
			failures = 0 // it served; the next try is at once
		}
		turns.Pause(ctx, turns.Backoff(min(failures, 8), retryUnit, rand.Float64()))
		failures++
	}
}

func subscribe(ctx context.Context, address string, names *codec.Schema, start Began, post func(...any), log *slog.Logger) error {
	conn, err := nets.Dial(address, dialFor)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	conn.SetWriteTimeout(writeFor)
	if _, err := nets.Send(conn, fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":"subscribe"}`+"\n", subscribed)); err != nil {
		return err
	}
	lines, taken, by := nets.NewLines(conn, mostLine), false, answerFor
	for {
		line, err := lines.Next(time.Now().Add(by))
		if err != nil {
			return err
		}
		f, err := names.DecodeFrame(line)
		var spoilt *codec.FieldError
		switch {
		case errors.As(err, &spoilt) && taken:
			log.Warn("news.dropped", "error", err, "line", fmt.Sprintf("%.200q", line))
		case err != nil:
			return err
		case f.Notification != nil && taken:
			post(News{start.Source, *f.Notification})
		case f.Notification == nil && f.Error != "":
			return errors.New(f.Error)
		case f.Notification == nil && f.Subscribed && !taken:
			taken, by = true, silence
			post(start)
		default:
			return fmt.Errorf("%w: %.200q", errOther, line)
		}
	}
}
