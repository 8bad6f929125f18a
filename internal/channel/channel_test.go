package channel

import (
	"testing"

	"pgregory.net/rapid"

	"vetchwood/logic"
)

func TestMessagesLeaveAtTheConfiguredRate(t *testing.T) {
	c := New(1000, 10000) // a line a millisecond
	c.Enqueue(100, []Message{{Proxy: 1, Lines: 10}, {Proxy: 2, Lines: 20}})
	if c.QueuedLines() != 30 || c.MaxQueuedLines() != 30 {
		t.Fatalf("%v wait, %v at most", c.QueuedLines(), c.MaxQueuedLines())
	}
	if at, waits := c.Next(); !waits || at != 110 {
		t.Fatalf("the first leaves at %v", at)
	}
	if got := c.PopDue(109.9); len(got) != 0 {
		t.Fatalf("left early: %v", got)
	}
	if got := c.PopDue(110); len(got) != 1 || got[0].Proxy != 1 || c.QueuedLines() != 20 {
		t.Fatalf("%v left, %v wait", got, c.QueuedLines())
	}
	c.Enqueue(120, []Message{{Proxy: 1, Lines: 5}})
	c.DropProxy(2)
	if got := c.PopDue(134); len(got) != 0 || c.QueuedLines() != 5 {
		t.Fatalf("what was promised behind a lost message came early: %v", got)
	}
	if got := c.PopDue(135); len(got) != 1 || c.QueuedLines() != 0 {
		t.Fatalf("%v left", got)
	}
	if c.MaxMessagesInWindow() != 2 {
		t.Fatalf("%d messages to one proxy", c.MaxMessagesInWindow())
	}
}

// Whatever is offered and lost: order is kept, no more lines leave than the pace allows, none is forgotten.
func TestRateLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(2000, 1000)
		now, offered, left, lost := logic.Millis(5), 0.0, 0.0, 0.0
		serial, last := 0, -1
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += logic.Millis(rapid.Float64Range(0, 30).Draw(t, "later"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				lines := rapid.Float64Range(1, 50).Draw(t, "lines")
				offered += lines
				c.Enqueue(now, []Message{{Proxy: logic.ProxyID(rapid.IntRange(0, 3).Draw(t, "proxy")), Lines: lines, Body: serial}})
				serial++
			case 2:
				before := c.QueuedLines()
				c.DropProxy(logic.ProxyID(rapid.IntRange(0, 3).Draw(t, "proxy")))
				lost += before - c.QueuedLines()
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
				t.Fatalf("%v lines left by %v ms", left, now)
			}
		}
		if d := offered - left - lost - c.QueuedLines(); d > 1e-6 || d < -1e-6 {
			t.Fatalf("%v offered, %v left, %v lost, %v wait", offered, left, lost, c.QueuedLines())
		}
	})
}
