package channel

import (
	"testing"

	"pgregory.net/rapid"

	"vetchwood/logic"
)

func TestMessagesLeaveAtThePace(t *testing.T) {
	c := New(1000, 10000) // a line a millisecond
	c.Offer(100, []Message{{Proxy: 1, Lines: 10}, {Proxy: 2, Lines: 20}})
	if c.Waiting() != 30 || c.Most() != 30 {
		t.Fatalf("%v wait, %v at most", c.Waiting(), c.Most())
	}
	if at, waits := c.Next(); !waits || at != 110 {
		t.Fatalf("the first leaves at %v", at)
	}
	if got := c.Left(109.9); len(got) != 0 {
		t.Fatalf("left early: %v", got)
	}
	if got := c.Left(110); len(got) != 1 || got[0].Proxy != 1 || c.Waiting() != 20 {
		t.Fatalf("%v left, %v wait", got, c.Waiting())
	}
	c.Offer(120, []Message{{Proxy: 1, Lines: 5}})
	c.Lose(2)
	if got := c.Left(134); len(got) != 0 || c.Waiting() != 5 {
		t.Fatalf("what was promised behind a lost message came early: %v", got)
	}
	if got := c.Left(135); len(got) != 1 || c.Waiting() != 0 {
		t.Fatalf("%v left", got)
	}
	if c.Dense() != 2 {
		t.Fatalf("%d messages to one proxy", c.Dense())
	}
}

// Whatever is offered and lost: order is kept, no more lines leave than the pace allows, none is forgotten.
func TestPaceHolds(t *testing.T) {
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
				c.Offer(now, []Message{{Proxy: logic.ProxyID(rapid.IntRange(0, 3).Draw(t, "proxy")), Lines: lines, Body: serial}})
				serial++
			case 2:
				before := c.Waiting()
				c.Lose(logic.ProxyID(rapid.IntRange(0, 3).Draw(t, "proxy")))
				lost += before - c.Waiting()
			default:
				for _, m := range c.Left(now) {
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
		if d := offered - left - lost - c.Waiting(); d > 1e-6 || d < -1e-6 {
			t.Fatalf("%v offered, %v left, %v lost, %v wait", offered, left, lost, c.Waiting())
		}
	})
}
