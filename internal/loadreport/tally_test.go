package loadreport

import (
	"testing"

	"pgregory.net/rapid"

	"vetchwood/logic"
)

// Whichever responses are lost and whichever director receives the reports: each director counts each batch once, and
// all tries are counted by some director.
func TestEachBatchIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tally, added := New("b"), 0
		counted := map[string]map[string]int{"a": {}, "b": {}} // number of tries by director and key
		total := map[string]int{}                              // number of tries by key, counted by any director
		director := "a"
		send := func(lost bool) {
			b := tally.PendingBatch(director)
			if b == nil {
				return
			}
			n := 0
			for _, x := range b.Tries {
				n += x.Succeeded + x.Failed
			}
			if before, wasCounted := counted[director][b.Key]; wasCounted && before != n {
				t.Fatalf("batch %s had %d tries, then %d", b.Key, before, n)
			}
			reached := !lost || rapid.Bool().Draw(t, "reached")
			if reached {
				counted[director][b.Key], total[b.Key] = n, n
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
				added++
				tally.AddTry("read", "127.0.0.1:1", rapid.Bool().Draw(t, "good"), 5, logic.Load{})
			case 2:
				send(rapid.Bool().Draw(t, "lost"))
			case 3:
				director = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "director")
			}
		}
		send(false)
		send(false)
		got := 0
		for _, n := range total {
			got += n
		}
		if got != added {
			t.Fatalf("%d tries added, %d counted", added, got)
		}
	})
}

func TestRejectedBatchDoesNotBlock(t *testing.T) {
	tally := New("b")
	tally.AddCall("read", "3")
	b := tally.PendingBatch("a")
	tally.Resolve("another key", Accepted)
	if again := tally.PendingBatch("a"); again.Key != b.Key {
		t.Fatal("the outcome of another key resolved the pending batch")
	}
	tally.Resolve(b.Key, Rejected)
	if tally.PendingBatch("a") != nil || tally.RejectedBatches() != 1 {
		t.Fatal("a rejected batch is kept, or not counted as rejected")
	}
	tally.AddUnanswered("read", "3")
	if request := tally.PendingBatch("a").Request("p", "z"); len(request.ClusterStats) != 1 || request.ClusterStats[0].ServiceName != "3" || request.Node.ID != "p" {
		t.Fatalf("unexpected load report: %+v", request)
	}
}
