package fault

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any rules and any splitting of the input: bytes are neither reordered nor invented, the forwarded and the
// dropped bytes together are the input, no more bytes differ than are reported as garbled, and equal seeds give equal
// actions.
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
		play := func() (forwarded, dropped, garbled []byte, ended bool, log string) {
			s, now, remaining, lastAt := NewStream(rules, 7, 1, Up), time.Duration(0), in, time.Duration(0)
			forwarded = append(forwarded, make([]byte, 0, len(in))...)
			for _, n := range sizes {
				n = min(n, len(remaining))
				for _, a := range s.Process(now, remaining[:n]) {
					log += fmt.Sprintln(a.Kind, a.Rule, a.Offset, a.At, a.Bytes)
					switch a.Kind {
					case Drop:
						dropped = append(dropped, a.Bytes...)
					case Garble:
						garbled = append(garbled, byte(a.Offset))
						if a.Bytes[0] == a.Original {
							t.Fatal("a garbled byte has its original value")
						}
					case Cut, HalfClose:
						ended = true
					default:
						if a.At < lastAt || a.At < now {
							t.Fatalf("at %[3]v: bytes are due at %[1]v, bytes before them at %[2]v", a.At, lastAt, now)
						}
						lastAt = a.At
						forwarded = append(forwarded, a.Bytes...)
					}
				}
				remaining, now = remaining[n:], now+3*time.Millisecond
			}
			return forwarded, dropped, garbled, ended, log
		}
		forwarded, dropped, garbled, ended, log := play()
		if _, _, _, _, again := play(); again != log {
			t.Fatalf("two runs differ:\n%s\n%s", log, again)
		}
		if !ended && len(forwarded)+len(dropped) != len(in) {
			t.Fatalf("%d bytes forwarded and %d dropped, of %d", len(forwarded), len(dropped), len(in))
		}
		if len(dropped) == 0 {
			differ := 0
			for i, b := range forwarded {
				if b != in[i] {
					differ++
				}
			}
			if differ > len(garbled) {
				t.Fatalf("%d bytes differ, but only %d were garbled", differ, len(garbled))
			}
			if len(garbled) == 0 && !bytes.Equal(forwarded, in[:len(forwarded)]) {
				t.Fatalf("forwarded %x of the input %x, without any garbled byte", forwarded, in)
			}
		}
	})
}

// Each fault takes effect at its offset and its time.
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
			t.Errorf("%+v: got %q, want %q", c.r, got, c.want)
		}
	}
	actions := NewStream([]Rule{{Kind: Garble, Direction: Up, Offset: 5}}, 3, 1, Up).Process(0, text)
	if len(actions) < 2 || actions[1].Kind != Garble || actions[1].Offset != 5 || actions[1].Original != '5' {
		t.Errorf("garbling byte 5: got %v", actions)
	}
	if actions := NewStream([]Rule{{Kind: Cut, Direction: Up, StartAfter: time.Second}}, 3, 1, Up).CheckTime(time.Second); len(actions) != 1 || actions[0].Kind != Cut {
		t.Errorf("a cut by time, without any bytes: got %v", actions)
	}
}
