package budget

import (
	"testing"

	"pgregory.net/rapid"
)

func TestLimitsLeaveRoomForTheDirector(t *testing.T) {
	for _, m := range []Resources{{64 << 20, 1024}, {1 << 30, 20000}, {16 << 30, 1 << 20}, {32 << 20, 70}} {
		s := m.Limits()
		if s.MaxConnections < 1 || s.MaxConnections > m.Descriptors-64 && s.MaxConnections > 1 || int64(s.MaxConnections)*bytesPerConnection+s.MaxHeldBytes > m.Memory*8/10 || s.SoftHeap >= s.HardHeap {
			t.Errorf("%+v: %+v", m, s)
		}
	}
}

func TestAcceptingPausesAndResumes(t *testing.T) {
	l := New(Resources{Memory: 1 << 30, Descriptors: 66})
	for range 2 {
		if may, _ := l.CanAccept(); !may {
			t.Fatal("pauses with room")
		}
		l.ConnectionOpened()
	}
	if may, began := l.CanAccept(); may || !began {
		t.Fatal("goes on without room")
	}
	if may, began := l.CanAccept(); may || began {
		t.Fatal("begins to pause twice")
	}
	l.ConnectionClosed(1)
	if may, _ := l.CanAccept(); !may || l.Stats().AcceptPauses != 1 {
		t.Fatalf("%+v", l.Stats())
	}
	if l.SetLiveHeap(l.limits.SoftHeap); l.HasHeapRoom() {
		t.Fatal("takes what can wait though memory is short")
	}
	if may, _ := l.CanAccept(); may {
		t.Fatal("lets in though memory is short")
	}
}

// Whoever holds what: never more than the share is held, whoever goes holds at least as much as any that stays, and one that holds
// nothing never goes.
func TestEvictsLargestHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Resources{Memory: 5000, Descriptors: 1000})
		plain := map[ClientID]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := ClientID(rapid.IntRange(1, 8).Draw(t, "client"))
			var cut []ClientID
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				l.ConnectionClosed(c)
				delete(plain, c)
			case 1:
				cut = l.SetLiveHeap(int64(rapid.IntRange(0, 5000).Draw(t, "heap")))
			default:
				n := int64(rapid.IntRange(0, 600).Draw(t, "bytes"))
				if plain[c] = n; n == 0 {
					delete(plain, c)
				}
				cut = l.SetHeldBytes(c, n)
			}
			for _, c := range cut {
				gone, held := plain[c]
				if delete(plain, c); !held {
					t.Fatalf("%d goes and holds nothing", c)
				}
				for other, n := range plain {
					if n > gone {
						t.Fatalf("%d goes with %d, %d stays with %d", c, gone, other, n)
					}
				}
			}
			sum := int64(0)
			for _, n := range plain {
				sum += n
			}
			if f := l.Stats(); f.HeldBytes != sum || sum > l.limits.MaxHeldBytes {
				t.Fatalf("%d held, by its count %d, of %d", sum, f.HeldBytes, l.limits.MaxHeldBytes)
			}
		}
	})
}
