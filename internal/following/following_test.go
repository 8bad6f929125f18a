package following

import (
	"testing"

	"pgregory.net/rapid"

	"vetchwood/internal/tables"
)

// Whatever comes in whatever order, from whichever director and how often: a version takes effect once, never one that
// is older, and in the end the newest that was offered is in force.
func TestTheNewestEndsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var held *Version
		var newest Version
		effects := map[[2]uint64]int{}
		for range rapid.IntRange(1, 60).Draw(t, "offers") {
			line := tables.Line(rapid.IntRange(1, 2).Draw(t, "line"))
			step := tables.Step(rapid.IntRange(1, 12).Draw(t, "step"))
			offer := Version{line, step, float64(line)*1000 + float64(step)} // the second line begins after the first
			if offer.At > newest.At {
				newest = offer
			}
			switch Evaluate(held, offer) {
			case Accept:
				if held != nil && offer.At <= held.At {
					t.Fatalf("%v replaced %v", offer, *held)
				}
				if effects[[2]uint64{uint64(line), uint64(step)}]++; effects[[2]uint64{uint64(line), uint64(step)}] > 1 {
					t.Fatalf("%v took effect twice", offer)
				}
				held = &offer
			case Duplicate:
				if *held != offer {
					t.Fatalf("%v is taken for %v", offer, *held)
				}
			}
		}
		if *held != newest {
			t.Fatalf("%v is in force, %v was offered", *held, newest)
		}
	})
}

func TestTheNextDirectorIsAsked(t *testing.T) {
	c := NewChooser(3)
	if d, when := c.Next(5); d != 0 || when != 5 {
		t.Fatal(d, when)
	}
	c.Failed(0, 5, 0.5)
	if d, when := c.Next(5); d != 1 || when != 5 {
		t.Fatal("does not go on to the next", d, when)
	}
	c.Succeeded(1)
	c.Failed(1, 10, 0.5)
	if d, _ := c.Next(10); d != 2 {
		t.Fatal(d)
	}
	c.Failed(2, 10, 0.5)
	if d, when := c.Next(10); d != 0 || when != 55 {
		t.Fatal("all have failed, and the first to be asked again is", d, when)
	}
}

// A director that never answers is asked less and less often, but never given up; two don't make it busier.
func TestPollsThatFailGrowRare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 3).Draw(t, "directors")
		c, now, polls, most := NewChooser(n), 0.0, 0, n*80
		if n == 1 && rapid.Bool().Draw(t, "shared") {
			c.SetSlicesShared()
			most = 220
		}
		for now < 60000 {
			d, when := c.Next(now)
			if when-now > maxBackoffMs*1.5 {
				t.Fatalf("waits %v", when-now)
			}
			now = when
			polls++
			c.Failed(d, now, rapid.Float64Range(0, 0.999).Draw(t, "chance"))
		}
		if polls > most {
			t.Fatalf("%d polls a minute of %d directors", polls, n)
		}
	})
}
