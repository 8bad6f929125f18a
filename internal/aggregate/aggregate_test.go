package aggregate

import (
	"testing"

	"pgregory.net/rapid"

	"vetchwood/logic"
)

func TestOldestLinesAreReleasedFirst(t *testing.T) {
	a := New(true, 500, 4) // two lines per period
	busy := 0.5
	for host := logic.HostID(1); host <= 3; host++ {
		a.AddTries(1000, Tries{Host: host, Ended: 4, Unanswered: 1, AnsweredMs: 300, Load: logic.Load{Utilization: &busy}})
	}
	if got := a.Due(1499 - 500); got != nil {
		t.Fatalf("lines released before the period ended: %v", got)
	}
	first := a.Due(1500)
	if len(first) != 2 || first[0].(logic.HostSample).Host != 1 || first[1].(logic.HostSample).Host != 2 {
		t.Fatalf("%v", first)
	}
	if m := first[0].(logic.HostSample); m.MeanLatency != 100 || m.Finished != 4 || m.Failed != 1 || *m.Load.Utilization != 0.5 {
		t.Fatalf("%+v", m)
	}
	a.AddTries(1600, Tries{Host: 3, Ended: 6, AnsweredMs: 600}) // the pending line is added to and keeps its load figures
	next := a.Due(2000)
	m := next[0].(logic.HostSample)
	if len(next) != 1 || m.Host != 3 || m.Finished != 10 || m.Period < 1000 || *m.Load.Utilization != 0.5 || m.MeanLatency != 100 {
		t.Fatalf("%+v", next)
	}
}

// Everything that is added is released exactly once, at no more than the configured rate.
func TestEachLineIsReleasedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(rapid.Bool().Draw(t, "sliced"), 500, 10)
		now, put, got, lines := logic.Millis(1e12), 0, 0, 0
		began := now
		count := func(events []any) {
			for _, n := range events {
				lines++
				switch n := n.(type) {
				case logic.HostSample:
					got += n.Finished
				case logic.SliceDemand:
					got += n.Calls
				case logic.RouteDemand:
					got += n.Calls
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now += logic.Millis(rapid.IntRange(0, 400).Draw(t, "later"))
			n := rapid.IntRange(1, 9).Draw(t, "n")
			put += n
			if rapid.Bool().Draw(t, "tries") {
				a.AddTries(now, Tries{Host: logic.HostID(rapid.IntRange(1, 6).Draw(t, "host")), Ended: n})
			} else {
				a.AddDemand(now, Demand{Slice: logic.TableID(rapid.IntRange(0, 6).Draw(t, "slice")), Proxy: 1, Calls: n})
			}
			count(a.Due(now))
			if limit := 10*float64(now-began)/1000 + 5 + 1; float64(lines) > limit {
				t.Fatalf("%d lines released in %v ms, above the rate limit", lines, now-began)
			}
		}
		for i := 0; a.Pending() > 0 && i < 100; i++ {
			now += 500
			count(a.Due(now))
		}
		if put != got {
			t.Fatalf("added %d, released %d", put, got)
		}
	})
}
