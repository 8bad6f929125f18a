package sums

import (
	"testing"

	"pgregory.net/rapid"

	"vetchwood/logic"
)

func TestLinesAreThinnedTheOldestFirst(t *testing.T) {
	in := New(true, 500, 4) // two lines a period
	busy := 0.5
	for host := logic.HostID(1); host <= 3; host++ {
		in.Tried(1000, Tries{Host: host, Ended: 4, Lost: 1, Spent: 300, Load: logic.Load{Utilization: &busy}})
	}
	if got := in.Due(1499 - 500); got != nil {
		t.Fatalf("before the period ended: %v", got)
	}
	first := in.Due(1500)
	if len(first) != 2 || first[0].(logic.HostSample).Host != 1 || first[1].(logic.HostSample).Host != 2 {
		t.Fatalf("%v", first)
	}
	if m := first[0].(logic.HostSample); m.MeanLatency != 100 || m.Finished != 4 || m.Failed != 1 || *m.Load.Utilization != 0.5 {
		t.Fatalf("%+v", m)
	}
	in.Tried(1600, Tries{Host: 3, Ended: 6, Spent: 600}) // the rest adds up, and keeps its report
	next := in.Due(2000)
	m := next[0].(logic.HostSample)
	if len(next) != 1 || m.Host != 3 || m.Finished != 10 || m.Period < 1000 || *m.Load.Utilization != 0.5 || m.MeanLatency != 100 {
		t.Fatalf("%+v", next)
	}
}

// What goes in comes out once, at no more than the stated pace.
func TestNothingIsLostOrCountedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := New(rapid.Bool().Draw(t, "sliced"), 500, 10)
		now, put, got, lines := logic.Millis(1e12), 0, 0, 0
		began := now
		count := func(notes []any) {
			for _, n := range notes {
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
				in.Tried(now, Tries{Host: logic.HostID(rapid.IntRange(1, 6).Draw(t, "host")), Ended: n})
			} else {
				in.Came(now, Calls{Slice: logic.TableID(rapid.IntRange(0, 6).Draw(t, "slice")), Proxy: 1, Calls: n})
			}
			count(in.Due(now))
			if most := 10*float64(now-began)/1000 + 5 + 1; float64(lines) > most {
				t.Fatalf("%d lines in %v ms", lines, now-began)
			}
		}
		for i := 0; in.Waiting() > 0 && i < 100; i++ {
			now += 500
			count(in.Due(now))
		}
		if put != got {
			t.Fatalf("%d went in, %d came out", put, got)
		}
	})
}
