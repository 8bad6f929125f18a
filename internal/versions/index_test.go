package versions

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"vetchwood/internal/tables"
)

// After any sequence of operations the index must answer like a plain map that is scanned.
func TestAgainstAPlainMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x Index[int]
		members, plain := make([]Member[int], 12), map[int]tables.Step{}
		for i := range members {
			members[i].Value = i
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, 11).Draw(t, "who")
			if rapid.IntRange(0, 4).Draw(t, "what") == 0 {
				x.Remove(&members[i])
				delete(plain, i)
			} else {
				plain[i] = tables.Step(rapid.IntRange(1, 9).Draw(t, "to"))
				x.Move(&members[i], plain[i])
			}
			oldest, found := x.Oldest()
			least := tables.Step(99)
			for _, s := range plain {
				least = min(least, s)
			}
			if found != (len(plain) > 0) || found && oldest != least || x.Len() != len(plain) {
				t.Fatalf("oldest version %d, found %v, or a wrong length, of %v", oldest, found, plain)
			}
			limit := tables.Step(rapid.IntRange(0, 11).Draw(t, "limit"))
			behind, last := 0, tables.Step(0)
			for _, s := range plain {
				if s < limit {
					behind++
				}
			}
			if n := x.CountOlder(limit); n != behind {
				t.Fatalf("%d members older than version %d, wanted %d, of %v", n, limit, behind, plain)
			}
			x.VisitOlder(limit, func(m *Member[int]) {
				at, in := m.Step()
				if !in || at != plain[m.Value] || at >= limit || at < last {
					t.Fatalf("member %d visited with version %d after version %d, of %v", m.Value, at, last, plain)
				}
				last = at
				behind--
				if m.Value%2 == 0 { // moved during the visit
					plain[m.Value] = 20
					x.Move(m, 20)
				}
			})
			if behind != 0 {
				t.Fatalf("%d older members were not visited", behind)
			}
		}
	})
}

// BenchmarkOldest measures what a director does for each version: a hundredth of the fleet moves on to it, and the
// oldest version held is looked up. It compares the index with a scan of a plain map.
func BenchmarkOldest(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("scan/%d", n), func(b *testing.B) {
			plain := make(map[int]tables.Step, n)
			for i := range n {
				plain[i] = 1
			}
			step, i := tables.Step(1), 0
			for b.Loop() {
				step++
				for range n / 100 {
					plain[i%n] = step
					i++
				}
				least := step
				for _, s := range plain {
					least = min(least, s)
				}
				if least > step {
					b.Fatal(least)
				}
			}
		})
		b.Run(fmt.Sprintf("index/%d", n), func(b *testing.B) {
			var x Index[int]
			all := make([]Member[int], n)
			for i := range all {
				x.Move(&all[i], 1)
			}
			step, i := tables.Step(1), 0
			for b.Loop() {
				step++
				for range n / 100 {
					x.Move(&all[i%n], step)
					i++
				}
				if least, _ := x.Oldest(); least > step {
					b.Fatal(least)
				}
			}
		})
	}
}
