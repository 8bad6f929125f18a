package ownership

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func directorNames(n int) (names []DirectorName) {
	for i := range n {
		names = append(names, DirectorName(fmt.Sprint("d", i)))
	}
	return names
}

// Every slice is assigned, no director exceeds its bounded load, the order of the members does not matter, and when a
// director leaves, few slices move besides its own.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, k := rapid.IntRange(1, 200).Draw(t, "slices"), rapid.IntRange(1, 6).Draw(t, "directors")
		members := directorNames(k)
		before := Assign(n, members)
		shuffled := rapid.Permutation(members).Draw(t, "order")
		load := map[DirectorName]int{}
		for s, name := range Assign(n, append(shuffled, shuffled[0])) {
			if name != before[s] || name == "" {
				t.Fatalf("slice %d: assigned to %q with the members in another order, else to %q", s, name, before[s])
			}
			load[name]++
		}
		limit := int(math.Ceil(float64(n) / float64(k) * maxLoadFactor))
		for name, l := range load {
			if l > limit {
				t.Fatalf("%s owns %d of %d slices, more than the bound allows", name, l, n)
			}
		}
		if k < 2 {
			return
		}
		departed := members[rapid.IntRange(0, k-1).Draw(t, "gone")]
		var remaining []DirectorName
		for _, m := range members {
			if m != departed {
				remaining = append(remaining, m)
			}
		}
		moved := 0
		for s, name := range Assign(n, remaining) {
			if before[s] != departed && name != before[s] {
				moved++
			}
		}
		if moved > n/4+2 {
			t.Fatalf("%d of %d slices move besides the %d of the director that left", moved, n, load[departed])
		}
	})
}

func TestSessionDeadline(t *testing.T) {
	s := NewSession(10000, 500, 1000)
	if s.Deadline() != 10500 || s.RenewAt() > 4334 {
		t.Fatalf("new session: want a deadline of 10500 ms and a renewal before 4334 ms; deadline is %v ms", s.Deadline())
	}
	s.MarkRenewed(5000)
	s.MarkRenewed(4000) // sent earlier, answered later
	if s.Deadline() != 14500 {
		t.Fatalf("renewed session: deadline %v ms, want 14500 ms", s.Deadline())
	}
	s.MarkEnded()
	if s.MarkRenewed(20000); !math.IsInf(s.Deadline(), -1) {
		t.Fatal("a renewal revived a session that had ended")
	}
}
