package custody

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func names(n int) (out []DirectorName) {
	for i := range n {
		out = append(out, DirectorName(fmt.Sprint("d", i)))
	}
	return out
}

// Every slice has a director, none has much more than its part, the order of learning does not matter, and when one goes
// little moves beside what it had.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, k := rapid.IntRange(1, 200).Draw(t, "slices"), rapid.IntRange(1, 6).Draw(t, "directors")
		members := names(k)
		was := Assign(n, members)
		mixed := rapid.Permutation(members).Draw(t, "order")
		load := map[DirectorName]int{}
		for s, name := range Assign(n, append(mixed, mixed[0])) {
			if name != was[s] || name == "" {
				t.Fatalf("slice %d: %q or %q", s, name, was[s])
			}
			load[name]++
		}
		most := int(math.Ceil(float64(n) / float64(k) * uneven))
		for name, l := range load {
			if l > most {
				t.Fatalf("%s has %d of %d", name, l, n)
			}
		}
		if k < 2 {
			return
		}
		gone := members[rapid.IntRange(0, k-1).Draw(t, "gone")]
		var left []DirectorName
		for _, m := range members {
			if m != gone {
				left = append(left, m)
			}
		}
		moved := 0
		for s, name := range Assign(n, left) {
			if was[s] != gone && name != was[s] {
				moved++
			}
		}
		if moved > n/4+2 {
			t.Fatalf("%d of %d slices move beside the %d that must", moved, n, load[gone])
		}
	})
}

func TestASession(t *testing.T) {
	s := NewSession(10000, 500, 1000)
	if s.Deadline() != 10500 || s.RenewAt() > 4334 {
		t.Fatalf("until %v", s.Deadline())
	}
	s.MarkRenewed(5000)
	s.MarkRenewed(4000) // an older one that was answered later
	if s.Deadline() != 14500 {
		t.Fatalf("until %v", s.Deadline())
	}
	s.MarkEnded()
	if s.MarkRenewed(20000); !math.IsInf(s.Deadline(), -1) {
		t.Fatal("acts after its session ended")
	}
}
