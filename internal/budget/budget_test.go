package budget

import (
	"testing"

	"pgregory.net/rapid"
)

func TestLimitsLeaveRoomForTheDirector(t *testing.T) {
	for _, resources := range []Resources{{64 << 20, 1024}, {1 << 30, 20000}, {16 << 30, 1 << 20}, {32 << 20, 70}} {
		limits := resources.Limits()
		if limits.MaxConnections < 1 || limits.MaxConnections > resources.Descriptors-64 && limits.MaxConnections > 1 || int64(limits.MaxConnections)*bytesPerConnection+limits.MaxHeldBytes > resources.Memory*8/10 || limits.SoftHeap >= limits.HardHeap {
			t.Errorf("resources %+v: limits %+v", resources, limits)
		}
	}
}

func TestAcceptingPausesAndResumes(t *testing.T) {
	b := New(Resources{Memory: 1 << 30, Descriptors: 66})
	for range 2 {
		if canAccept, _ := b.CanAccept(); !canAccept {
			t.Fatal("accepting pauses below the limit")
		}
		b.ConnectionOpened()
	}
	if canAccept, pauseStarted := b.CanAccept(); canAccept || !pauseStarted {
		t.Fatal("accepting continues at the limit, or the start of the pause is not reported")
	}
	if canAccept, pauseStarted := b.CanAccept(); canAccept || pauseStarted {
		t.Fatal("accepting continues at the limit, or the start of one pause is reported twice")
	}
	b.ConnectionClosed(1)
	if canAccept, _ := b.CanAccept(); !canAccept || b.Stats().AcceptPauses != 1 {
		t.Fatalf("accepting did not resume after one pause: %+v", b.Stats())
	}
	if b.SetLiveHeap(b.limits.SoftHeap); b.HasHeapRoom() {
		t.Fatal("room is reported with the live heap at its soft limit")
	}
	if canAccept, _ := b.CanAccept(); canAccept {
		t.Fatal("a connection is accepted with the live heap at its soft limit")
	}
}

// For any sequence of operations: the held bytes stay within the limit, an evicted client holds at least as much as any
// remaining one, and a client that holds nothing is never evicted.
func TestEvictsLargestHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Resources{Memory: 5000, Descriptors: 1000})
		expected := map[ClientID]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := ClientID(rapid.IntRange(1, 8).Draw(t, "client"))
			var evicted []ClientID
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				b.ConnectionClosed(c)
				delete(expected, c)
			case 1:
				evicted = b.SetLiveHeap(int64(rapid.IntRange(0, 5000).Draw(t, "heap")))
			default:
				n := int64(rapid.IntRange(0, 600).Draw(t, "bytes"))
				if expected[c] = n; n == 0 {
					delete(expected, c)
				}
				evicted = b.SetHeldBytes(c, n)
			}
			for _, c := range evicted {
				released, held := expected[c]
				if delete(expected, c); !held {
					t.Fatalf("client %d is evicted and holds nothing", c)
				}
				for other, n := range expected {
					if n > released {
						t.Fatalf("client %d is evicted with %d bytes while client %d remains with %d", c, released, other, n)
					}
				}
			}
			sum := int64(0)
			for _, n := range expected {
				sum += n
			}
			if f := b.Stats(); f.HeldBytes != sum || sum > b.limits.MaxHeldBytes {
				t.Fatalf("%d bytes held, stats report %d, limit %d", sum, f.HeldBytes, b.limits.MaxHeldBytes)
			}
		}
	})
}
