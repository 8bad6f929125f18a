// Package channel models the rate-limited channel for orders to the proxies: messages leave one after the other at a
// configured number of lines per second. The queued lines are counted, so that a limit on them can be enforced. The
// package does no I/O and reads no clock.
package channel

import "vetchwood/logic"

// Message carries the orders of one reply of the decision module to one proxy. Body belongs to the caller.
type Message struct {
	Proxy logic.ProxyID
	Lines float64 // including the fixed overhead of a message
	Body  any

	queuedAt, leavesAt logic.Millis
}

// Channel is the queue of messages from one director to its proxies.
type Channel struct {
	linesPerMs     float64
	queue          []Message
	queuedLines    float64
	freeAt         logic.Millis // when the last queued message leaves
	maxQueuedLines float64
	sentAt         [][]logic.Millis // times of the recent messages by proxy; proxy IDs are small and dense
	window         logic.Millis
	maxInWindow    int // highest number of messages to one proxy within any window
}

// New returns an empty channel. window is the period over which messages to one proxy are counted.
func New(linesPerSecond float64, window logic.Millis) *Channel {
	return &Channel{linesPerMs: linesPerSecond / 1000, window: window}
}

// Enqueue appends messages to the queue, in their order.
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

// countMessage counts a message to a proxy within the window.
func (c *Channel) countMessage(now logic.Millis, p logic.ProxyID) {
	for int(p) >= len(c.sentAt) {
		c.sentAt = append(c.sentAt, nil)
	}
	times := c.sentAt[p]
	expired := 0
	for expired < len(times) && now-times[expired] > c.window {
		expired++
	}
	times = append(times[:copy(times, times[expired:])], now)
	c.sentAt[p] = times
	c.maxInWindow = max(c.maxInWindow, len(times))
}

// PopDue removes and returns the messages that have left by now, in order.
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

// DropProxy drops the queued messages of a proxy whose stream broke. Their share of the channel is not given to the
// messages behind them, whose departure times are already fixed.
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

// Next returns the time at which the first message leaves, and false if none is queued.
func (c *Channel) Next() (logic.Millis, bool) {
	if len(c.queue) == 0 {
		return 0, false
	}
	return c.queue[0].leavesAt, true
}

// QueuedLines returns the number of queued lines.
func (c *Channel) QueuedLines() float64 { return c.queuedLines }

// MaxQueuedLines returns the highest number of lines that were queued.
func (c *Channel) MaxQueuedLines() float64 { return c.maxQueuedLines }

// MaxMessagesInWindow returns the highest number of messages to one proxy within the window.
func (c *Channel) MaxMessagesInWindow() int { return c.maxInWindow }
