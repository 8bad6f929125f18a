package channel

import (
	"testing"

	"pgregory.net/rapid"

	"vetchwood/logic"
)

func TestMessagesLeaveAtTheConfiguredRate(t *testing.T) {
	c := New(1000, 10000) // one line per millisecond
	c.Enqueue(100, []Message{{Proxy: 1, Lines: 10}, {Proxy: 2, Lines: 20}})
	if c.QueuedLines() != 30 || c.MaxQueuedLines() != 30 {
		t.Fatalf("%v lines queued, maximum %v, want 30 and 30", c.QueuedLines(), c.MaxQueuedLines())
	}
	if at, ok := c.Next(); !ok || at != 110 {
		t.Fatalf("first message leaves at %v, want 110", at)
	}
	if got := c.PopDue(109.9); len(got) != 0 {
		t.Fatalf("messages left early: %v", got)
	}
	if got := c.PopDue(110); len(got) != 1 || got[0].Proxy != 1 || c.QueuedLines() != 20 {
		t.Fatalf("%v left, %v lines queued", got, c.QueuedLines())
	}
	c.Enqueue(120, []Message{{Proxy: 1, Lines: 5}})
	c.DropProxy(2)
	if got := c.PopDue(134); len(got) != 0 || c.QueuedLines() != 5 {
		t.Fatalf("messages behind a dropped one left early: %v", got)
	}
	if got := c.PopDue(135); len(got) != 1 || c.QueuedLines() != 0 {
		t.Fatalf("%v left", got)
	}
	if c.MaxMessagesInWindow() != 2 {
		t.Fatalf("at most %d messages to one proxy, want 2", c.MaxMessagesInWindow())
	}
}

// Whatever is enqueued and dropped, messages stay in order, no more lines leave than the rate allows, and none is
// lost.
func TestRateLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(2000, 1000)
		now, enqueued, left, dropped := logic.Millis(5), 0.0, 0.0, 0.0
		serial, last := 0, -1
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += logic.Millis(rapid.Float64Range(0, 30).Draw(t, "later"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				lines := rapid.Float64Range(1, 50).Draw(t, "lines")
				enqueued += lines
				c.Enqueue(now, []Message{{Proxy: logic.ProxyID(rapid.IntRange(0, 3).Draw(t, "proxy")), Lines: lines, Body: serial}})
				serial++
			case 2:
				before := c.QueuedLines()
				c.DropProxy(logic.ProxyID(rapid.IntRange(0, 3).Draw(t, "proxy")))
				dropped += before - c.QueuedLines()
			default:
				for _, m := range c.PopDue(now) {
					if m.Body.(int) <= last {
						t.Fatalf("message %v after %v", m.Body, last)
					}
					last = m.Body.(int)
					left += m.Lines
				}
			}
			if left > float64(now)*2+1e-6 {
				t.Fatalf("%v lines left by %v ms, limit is 2 per ms", left, now)
			}
		}
		if d := enqueued - left - dropped - c.QueuedLines(); d > 1e-6 || d < -1e-6 {
			t.Fatalf("%v lines enqueued, %v left, %v dropped, %v queued", enqueued, left, dropped, c.QueuedLines())
		}
	})
}
