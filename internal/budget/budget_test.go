package budget

import (
	"testing"

	"pgregory.net/rapid"
)

func TestSharesLeaveRoomForTheDirectorItself(t *testing.T) {
	for _, m := range []Means{{64 << 20, 1024}, {1 << 30, 20000}, {16 << 30, 1 << 20}, {32 << 20, 70}} {
		s := m.Of()
		if s.Connections < 1 || s.Connections > m.Descriptors-64 && s.Connections > 1 || int64(s.Connections)*perConnection+s.Bytes > m.Memory*8/10 || s.Soft >= s.Hard {
			t.Errorf("%+v: %+v", m, s)
		}
	}
}

func TestAcceptingPausesAndGoesOn(t *testing.T) {
	l := New(Means{Memory: 1 << 30, Descriptors: 66})
	for range 2 {
		if may, _ := l.May(); !may {
			t.Fatal("pauses with room")
		}
		l.Opened()
	}
	if may, began := l.May(); may || !began {
		t.Fatal("goes on without room")
	}
	if may, began := l.May(); may || began {
		t.Fatal("begins to pause twice")
	}
	l.Closed(1)
	if may, _ := l.May(); !may || l.Figures().Pauses != 1 {
		t.Fatalf("%+v", l.Figures())
	}
	if l.Heap(l.shares.Soft); l.Takes() {
		t.Fatal("takes what can wait though memory is short")
	}
	if may, _ := l.May(); may {
		t.Fatal("lets in though memory is short")
	}
}

// Whoever holds what: never more than the share is held, whoever goes holds at least as much as any that stays, and one that holds
// nothing never goes.
func TestWhoGoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Means{Memory: 5000, Descriptors: 1000})
		plain := map[Client]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := Client(rapid.IntRange(1, 8).Draw(t, "client"))
			var cut []Client
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				l.Closed(c)
				delete(plain, c)
			case 1:
				cut = l.Heap(int64(rapid.IntRange(0, 5000).Draw(t, "heap")))
			default:
				n := int64(rapid.IntRange(0, 600).Draw(t, "bytes"))
				if plain[c] = n; n == 0 {
					delete(plain, c)
				}
				cut = l.Hold(c, n)
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
			if f := l.Figures(); f.Held != sum || sum > l.shares.Bytes {
				t.Fatalf("%d held, by its count %d, of %d", sum, f.Held, l.shares.Bytes)
			}
		}
	})
}
