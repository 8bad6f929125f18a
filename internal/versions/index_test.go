package versions

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"vetchwood/internal/tables"
)

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
			oldest, any := x.Oldest()
			least := tables.Step(99)
			for _, s := range plain {
				least = min(least, s)
			}
			if any != (len(plain) > 0) || any && oldest != least || x.Len() != len(plain) {
				t.Fatalf("oldest %d, %v, of %v", oldest, any, plain)
			}
			limit := tables.Step(rapid.IntRange(0, 11).Draw(t, "limit"))
			behind, last := 0, tables.Step(0)
			for _, s := range plain {
				if s < limit {
					behind++
				}
			}
			if n := x.CountOlder(limit); n != behind {
				t.Fatalf("%d behind %d, not %d, of %v", n, limit, behind, plain)
			}
			x.VisitOlder(limit, func(m *Member[int]) {
				at, in := m.Step()
				if !in || at != plain[m.Value] || at >= limit || at < last {
					t.Fatalf("%d stands on %d, after %d, of %v", m.Value, at, last, plain)
				}
				last = at
				behind--
				if m.Value%2 == 0 { // it answers at once
					plain[m.Value] = 20
					x.Move(m, 20)
				}
			})
			if behind != 0 {
				t.Fatalf("%d were not handed over", behind)
			}
		}
	})
}

// What a director does for each version: all move on to it one by one, and the oldest that is held is asked for. The plain way is a
// map that is scanned for it.
func BenchmarkOldest(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("scan/%d", n), func(b *testing.B) {
			plain := make(map[int]tables.Step, n)
			for i := range n {
				plain[i] = 1
			}
			step, i := tables.Step(1), 0
			for b.Loop() { // a hundredth of the fleet moves on with each version
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
