// Package channel is the way of orders to the proxies: messages leave one after the other at a stated pace of
// lines a second. What waits is counted, so that the limit on it is a fact. No I/O, no clock.
package channel

import "vetchwood/logic"

// Message is what one proxy is told of one reply. Body is the caller's.
type Message struct {
	Proxy logic.ProxyID
	Lines float64 // head included
	Body  any

	ordered, leaves logic.Millis
}

// Channel is one director's.
type Channel struct {
	pace    float64 // lines a millisecond
	waiting []Message
	lines   float64
	clear   logic.Millis // when the last message leaves
	most    float64
	sent    [][]logic.Millis // by proxy: their numbers are small and dense
	span    logic.Millis
	dense   int // most messages written to one proxy within the span
}

func New(linesPerSecond float64, span logic.Millis) *Channel {
	return &Channel{pace: linesPerSecond / 1000, span: span}
}

// Offer puts messages at the end of the queue, in their order.
func (c *Channel) Offer(now logic.Millis, all []Message) {
	for _, m := range all {
		c.clear = max(c.clear, now) + logic.Millis(m.Lines/c.pace)
		m.ordered, m.leaves = now, c.clear
		c.waiting = append(c.waiting, m)
		c.lines += m.Lines
		c.count(now, m.Proxy)
	}
	c.most = max(c.most, c.lines)
}

func (c *Channel) count(now logic.Millis, p logic.ProxyID) {
	for int(p) >= len(c.sent) {
		c.sent = append(c.sent, nil)
	}
	times := c.sent[p]
	over := 0
	for over < len(times) && now-times[over] > c.span {
		over++
	}
	times = append(times[:copy(times, times[over:])], now)
	c.sent[p] = times
	c.dense = max(c.dense, len(times))
}

// Left gives the messages that have left by now, in order.
func (c *Channel) Left(now logic.Millis) (out []Message) {
	for len(c.waiting) > 0 && c.waiting[0].leaves <= now {
		m := c.waiting[0]
		c.waiting[0] = Message{}
		c.waiting = c.waiting[1:]
		c.lines -= m.Lines
		out = append(out, m)
	}
	if len(c.waiting) == 0 {
		c.waiting, c.lines = nil, 0
	}
	return out
}

// Lose drops what waits for a proxy whose stream broke. Its time in the channel is not given to the others:
// what they wait for was promised with it.
func (c *Channel) Lose(p logic.ProxyID) {
	kept := c.waiting[:0]
	for _, m := range c.waiting {
		if m.Proxy != p {
			kept = append(kept, m)
		} else {
			c.lines -= m.Lines
		}
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
	if int(p) < len(c.sent) {
		c.sent[p] = nil
	}
}

// Next is when the first message leaves; false if none waits.
func (c *Channel) Next() (logic.Millis, bool) {
	if len(c.waiting) == 0 {
		return 0, false
	}
	return c.waiting[0].leaves, true
}

// Waiting is the lines that wait; Most the highest that this was; Dense the most messages to one proxy within
// the span.
func (c *Channel) Waiting() float64 { return c.lines }
func (c *Channel) Most() float64    { return c.most }
func (c *Channel) Dense() int       { return c.dense }
