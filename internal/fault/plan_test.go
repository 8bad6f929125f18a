package fault

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever the rules and however the bytes are cut up as they come: nothing is reordered or made up, what goes on and what is dropped is
// what came, garbled bytes are as many as was said and at their place, and the same seed does the same to the byte.
func TestWhatPasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rules []Rule
		for i := range rapid.IntRange(0, 4).Draw(t, "rules") {
			rules = append(rules, Rule{Name: fmt.Sprint(i), Kind: rapid.SampledFrom([]Kind{Delay, Throttle, Drop, Garble, HalfClose, Cut}).Draw(t, "kind"),
				Direction: rapid.SampledFrom([]Direction{Up, Down}).Draw(t, "way"), StartAfter: time.Duration(rapid.IntRange(0, 50).Draw(t, "from")) * time.Millisecond,
				Duration: time.Duration(rapid.IntRange(0, 60).Draw(t, "for")) * time.Millisecond, Offset: int64(rapid.IntRange(0, 60).Draw(t, "after")),
				Bytes: int64(rapid.IntRange(0, 30).Draw(t, "bytes")), Connection: rapid.IntRange(0, 2).Draw(t, "connection"),
				DelayBy: time.Duration(rapid.IntRange(1, 40).Draw(t, "by")) * time.Millisecond, Rate: int64(rapid.IntRange(100, 10000).Draw(t, "rate"))})
		}
		in := rapid.SliceOfN(rapid.Byte(), 1, 90).Draw(t, "bytes in")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 40), 90, 90).Draw(t, "chunks")
		play := func() (went, dropped, garbled []byte, ended bool, log string) {
			s, now, rest, at := NewStream(rules, 7, 1, Up), time.Duration(0), in, time.Duration(0)
			went = append(went, make([]byte, 0, len(in))...)
			for _, n := range sizes {
				n = min(n, len(rest))
				for _, a := range s.Process(now, rest[:n]) {
					log += fmt.Sprintln(a.Kind, a.Rule, a.Offset, a.At, a.Bytes)
					switch a.Kind {
					case Drop:
						dropped = append(dropped, a.Bytes...)
					case Garble:
						garbled = append(garbled, byte(a.Offset))
						if a.Bytes[0] == a.Original {
							t.Fatal("garbled into itself")
						}
					case Cut, HalfClose:
						ended = true
					default:
						if a.At < at || a.At < now {
							t.Fatalf("goes on at %v, after what goes at %v, at %v", a.At, at, now)
						}
						at = a.At
						went = append(went, a.Bytes...)
					}
				}
				rest, now = rest[n:], now+3*time.Millisecond
			}
			return went, dropped, garbled, ended, log
		}
		went, dropped, garbled, ended, log := play()
		if _, _, _, _, again := play(); again != log {
			t.Fatalf("not the same twice:\n%s\n%s", log, again)
		}
		if !ended && len(went)+len(dropped) != len(in) {
			t.Fatalf("%d went, %d dropped, of %d", len(went), len(dropped), len(in))
		}
		if len(dropped) == 0 {
			differ := 0
			for i, b := range went {
				if b != in[i] {
					differ++
				}
			}
			if differ > len(garbled) {
				t.Fatalf("%d bytes differ, %d were garbled", differ, len(garbled))
			}
			if len(garbled) == 0 && !bytes.Equal(went, in[:len(went)]) {
				t.Fatalf("%x went, %x came", went, in)
			}
		}
	})
}

// Each fault at its byte and its time.
func TestFaultsAtTheirPlace(t *testing.T) {
	text := []byte("0123456789")
	pass := func(r Rule, now time.Duration) string {
		out := ""
		for _, a := range NewStream([]Rule{r}, 1, 1, Down).Process(now, text) {
			switch a.Kind {
			case "":
				out += fmt.Sprintf("%s ", a.Bytes)
			case Garble:
				out += fmt.Sprintf("garble:%d ", a.Offset)
			default:
				out += fmt.Sprintf("%s:%d:%s@%v ", a.Kind, a.Offset, a.Bytes, a.At)
			}
		}
		return out
	}
	for _, c := range []struct {
		want string
		r    Rule
	}{
		{"0123456789 ", Rule{Kind: Cut, Direction: Up}},
		{"0123 cut:4:@0s ", Rule{Kind: Cut, Direction: Down, Offset: 4}},
		{"half_close:0:@0s ", Rule{Kind: HalfClose, Direction: Down}},
		{"012 drop:3:34@0s 56789 ", Rule{Kind: Drop, Direction: Down, Offset: 3, Bytes: 2}},
		{"01 delay:2:23456789@20ms ", Rule{Kind: Delay, Direction: Down, Offset: 2, DelayBy: 20 * time.Millisecond}},
		{"throttle:0:0123456789@1s ", Rule{Kind: Throttle, Direction: Down, Rate: 10}},
		{"0123456789 ", Rule{Kind: Drop, Direction: Down, StartAfter: time.Second}},
		{"0123456789 ", Rule{Kind: Drop, Direction: Down, Connection: 2}},
	} {
		if got := pass(c.r, 0); got != c.want {
			t.Errorf("%+v: %q, wanted %q", c.r, got, c.want)
		}
	}
	acts := NewStream([]Rule{{Kind: Garble, Direction: Up, Offset: 5}}, 3, 1, Up).Process(0, text)
	if len(acts) < 2 || acts[1].Kind != Garble || acts[1].Offset != 5 || acts[1].Original != '5' {
		t.Errorf("%v", acts)
	}
	if acts := NewStream([]Rule{{Kind: Cut, Direction: Up, StartAfter: time.Second}}, 3, 1, Up).CheckTime(time.Second); len(acts) != 1 || acts[0].Kind != Cut {
		t.Errorf("a cut by time, with nothing that passes: %v", acts)
	}
}
