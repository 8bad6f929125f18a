package followpolicy

import (
	"testing"

	"pgregory.net/rapid"

	"vetchwood/internal/tables"
)

// Offers arrive in any order, repeatedly and from any director. Each version takes effect at most once, no version
// replaces a newer one, and the newest offered version is in force at the end.
func TestTheNewestEndsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var current *Version
		var newest Version
		effects := map[[2]uint64]int{}
		for range rapid.IntRange(1, 60).Draw(t, "offers") {
			history := tables.HistoryID(rapid.IntRange(1, 2).Draw(t, "line"))
			step := tables.Step(rapid.IntRange(1, 12).Draw(t, "step"))
			offer := Version{history, step, float64(history)*1000 + float64(step)} // the second history begins after the first
			if offer.At > newest.At {
				newest = offer
			}
			switch Evaluate(current, offer) {
			case Accept:
				if current != nil && offer.At <= current.At {
					t.Fatalf("%v replaced the newer %v", offer, *current)
				}
				if effects[[2]uint64{uint64(history), uint64(step)}]++; effects[[2]uint64{uint64(history), uint64(step)}] > 1 {
					t.Fatalf("%v took effect twice", offer)
				}
				current = &offer
			case Duplicate:
				if *current != offer {
					t.Fatalf("%v was reported as a duplicate of %v", offer, *current)
				}
			}
		}
		if *current != newest {
			t.Fatalf("%v is in force, but %v is the newest offer", *current, newest)
		}
	})
}

func TestFailover(t *testing.T) {
	c := NewChooser(3)
	if d, at := c.Next(5); d != 0 || at != 5 {
		t.Fatal(d, at)
	}
	c.Failed(0, 5, 0.5)
	if d, at := c.Next(5); d != 1 || at != 5 {
		t.Fatal("after a failure of director 0, next is director and time", d, at)
	}
	c.Succeeded(1)
	c.Failed(1, 10, 0.5)
	if d, _ := c.Next(10); d != 2 {
		t.Fatal(d)
	}
	c.Failed(2, 10, 0.5)
	if d, at := c.Next(10); d != 0 || at != 55 {
		t.Fatal("all directors have failed, next is director and time", d, at)
	}
}

// Directors that never answer are polled with increasing backoff but never given up. The number of polls per director
// does not grow with the number of directors.
func TestBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 3).Draw(t, "directors")
		c, now, polls, maxPolls := NewChooser(n), 0.0, 0, n*80
		if n == 1 && rapid.Bool().Draw(t, "shared") {
			c.SetSlicesShared()
			maxPolls = 220
		}
		for now < 60000 {
			d, at := c.Next(now)
			if at-now > maxBackoffMs*1.5 {
				t.Fatalf("delay of %v ms exceeds the maximum backoff with jitter", at-now)
			}
			now = at
			polls++
			c.Failed(d, now, rapid.Float64Range(0, 0.999).Draw(t, "chance"))
		}
		if polls > maxPolls {
			t.Fatalf("%d polls in a minute are too many for %d directors", polls, n)
		}
	})
}
