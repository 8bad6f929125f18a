package tally

import (
	"testing"

	"pgregory.net/rapid"

	"vetchwood/logic"
)

// Whatever answers are lost and whoever directs: each living director counts each batch once, and nothing is left out.
func TestEachBatchIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tally, put := New("b"), 0
		counted := map[string]map[string]int{"a": {}, "b": {}} // director, key: tries
		total := map[string]int{}                              // by key, whoever counted it
		at := "a"
		send := func(lost bool) {
			b := tally.PendingBatch(at)
			if b == nil {
				return
			}
			n := 0
			for _, x := range b.Tries {
				n += x.Succeeded + x.Failed
			}
			if was, again := counted[at][b.Key]; again && was != n {
				t.Fatalf("key %s stands for %d, then %d", b.Key, was, n)
			}
			reached := !lost || rapid.Bool().Draw(t, "reached")
			if reached {
				counted[at][b.Key], total[b.Key] = n, n
			}
			if lost {
				tally.Resolve(b.Key, Unknown)
			} else {
				tally.Resolve(b.Key, Accepted)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				put++
				tally.AddTry("read", "127.0.0.1:1", rapid.Bool().Draw(t, "good"), 5, logic.Load{})
			case 2:
				send(rapid.Bool().Draw(t, "lost"))
			case 3:
				at = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "director")
			}
		}
		send(false)
		send(false)
		got := 0
		for _, n := range total {
			got += n
		}
		if got != put {
			t.Fatalf("%d tries, %d counted", put, got)
		}
	})
}

func TestRejectedBatchDoesNotBlock(t *testing.T) {
	tally := New("b")
	tally.AddCall("read", "3")
	b := tally.PendingBatch("a")
	tally.Resolve("another key", Accepted)
	if again := tally.PendingBatch("a"); again.Key != b.Key {
		t.Fatal("the fate of another was taken for its own")
	}
	tally.Resolve(b.Key, Rejected)
	if tally.PendingBatch("a") != nil || tally.RejectedBatches() != 1 {
		t.Fatal("a refused batch is kept")
	}
	tally.AddUnanswered("read", "3")
	if q := tally.PendingBatch("a").Request("p", "z"); len(q.ClusterStats) != 1 || q.ClusterStats[0].ServiceName != "3" || q.Node.ID != "p" {
		t.Fatalf("%+v", q)
	}
}
