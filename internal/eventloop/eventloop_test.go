package eventloop

import (
	"sync"
	"testing"
	"time"
)

// Each posted item is delivered exactly once and in the order of its writer, however the items are taken.
func TestInboxDeliversEachItemOnce(t *testing.T) {
	b := NewInbox()
	const writers, each = 8, 500
	var all sync.WaitGroup
	for w := range writers {
		all.Go(func() {
			for i := range each {
				b.Post([2]int{w, i}, [2]int{w, -1 - i})
			}
		})
	}
	next, got := [writers]int{}, 0
	for end := time.After(5 * time.Second); got < 2*writers*each; {
		select {
		case <-b.Wake():
		case <-end:
			t.Fatalf("received %d of %d items within 5s", got, 2*writers*each)
		}
		in, since, more := b.Take(97)
		if len(in) > 97 || more && len(in) < 97 || len(in) > 0 && since.IsZero() {
			t.Fatalf("took %d items, more %v, since %v", len(in), more, since)
		}
		for _, x := range in {
			if n := x.([2]int); n[1] >= 0 {
				if n[1] != next[n[0]] {
					t.Fatalf("writer %d: item %d arrived after %d", n[0], n[1], next[n[0]]-1)
				}
				next[n[0]]++
			}
		}
		got += len(in)
	}
	all.Wait()
	if n, _ := b.Queue(); n != 0 {
		t.Errorf("%d items remain", n)
	}
}

func TestBackoffGrowsToTenUnits(t *testing.T) {
	for failures, want := range map[int]time.Duration{0: 0, 1: 5, 4: 20, 10: 50, 1000: 50} {
		if got := Backoff(failures, 10, 0); got != want {
			t.Errorf("backoff after %d failures is %v, want %v", failures, got, want)
		}
	}
}

func TestClockIsUnixTime(t *testing.T) {
	c := NewClock()
	if off := float64(c.Now()) - float64(time.Now().UnixMicro())/1000; off < -100 || off > 100 {
		t.Errorf("clock is off by %v ms, at most 100 ms allowed", off)
	}
	if c.Until(c.Now()-5) != 0 || c.Until(c.Now()+1000) < 900*time.Millisecond {
		t.Error("Until returns a wrong duration")
	}
}
