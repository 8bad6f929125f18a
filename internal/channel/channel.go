// Package channel is the way of orders to the proxies: messages leave one after the other at a stated pace of
// lines a second. What waits is counted, so that the limit on it is a fact. No I/O, no clock.
package channel

import "vetchwood/logic"

// Message is what one proxy is told of one reply. Body is the caller's.
type Message struct {
	Proxy logic.ProxyID
	Lines float64 // head included
	Body  any

	queuedAt, leavesAt logic.Millis
}

// Channel is one director's.
type Channel struct {
	linesPerMs     float64 // lines a millisecond
	queue          []Message
	queuedLines    float64
	freeAt         logic.Millis // when the last message leaves
	maxQueuedLines float64
	sentAt         [][]logic.Millis // by proxy: their numbers are small and dense
	window         logic.Millis
	maxInWindow    int // most messages written to one proxy within the span
}

func New(linesPerSecond float64, span logic.Millis) *Channel {
	return &Channel{linesPerMs: linesPerSecond / 1000, window: span}
}

// Offer puts messages at the end of the queue, in their order.
func (c *Channel) Enqueue(now logic.Millis, all []Message) {
	for _, m := range all {
		c.freeAt = max(c.freeAt, now) + logic.Millis(m.Lines/c.linesPerMs)
		m.queuedAt, m.leavesAt = now, c.freeAt
		c.queue = append(c.queue, m)
		c.queuedLines += m.Lines
		c.countMessage(now, m.Proxy)
	}
	c.maxQueuedLines = max(c.maxQueuedLines, c.queuedLines)
}

func (c *Channel) countMessage(now logic.Millis, p logic.ProxyID) {
	for int(p) >= len(c.sentAt) {
		c.sentAt = append(c.sentAt, nil)
	}
	times := c.sentAt[p]
	over := 0
	for over < len(times) && now-times[over] > c.window {
		over++
	}
	times = append(times[:copy(times, times[over:])], now)
	c.sentAt[p] = times
	c.maxInWindow = max(c.maxInWindow, len(times))
}

// Left gives the messages that have left by now, in order.
func (c *Channel) PopDue(now logic.Millis) (out []Message) {
	for len(c.queue) > 0 && c.queue[0].leavesAt <= now {
		m := c.queue[0]
		c.queue[0] = Message{}
		c.queue = c.queue[1:]
		c.queuedLines -= m.Lines
		out = append(out, m)
	}
	if len(c.queue) == 0 {
		c.queue, c.queuedLines = nil, 0
	}
	return out
}

// Lose drops what waits for a proxy whose stream broke. Its time in the channel is not given to the others:
// what they wait for was promised with it.
func (c *Channel) DropProxy(p logic.ProxyID) {
	kept := c.queue[:0]
	for _, m := range c.queue {
		if m.Proxy != p {
			kept = append(kept, m)
		} else {
			c.queuedLines -= m.Lines
		}
	}
	clear(c.queue[len(kept):])
	c.queue = kept
	if int(p) < len(c.sentAt) {
		c.sentAt[p] = nil
	}
}

// Next is when the first message leaves; false if none waits.
func (c *Channel) Next() (logic.Millis, bool) {
	if len(c.queue) == 0 {
		return 0, false
	}
	return c.queue[0].leavesAt, true
}

// Waiting is the lines that wait; Most the highest that this was; Dense the most messages to one proxy within
// the span.
func (c *Channel) QueuedLines() float64     { return c.queuedLines }
func (c *Channel) MaxQueuedLines() float64  { return c.maxQueuedLines }
func (c *Channel) MaxMessagesInWindow() int { return c.maxInWindow }
