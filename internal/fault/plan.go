// Package fault breaks what passes between two sockets, by a script: it delays, slows, drops, garbles, closes half of a connection or cuts
// it, by time and by byte count. It knows nothing of what the bytes mean. This file decides, without I/O or clock: what came, at what
// place of which connection, gives what is to be done, and the same seed gives the same.
package fault

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Way is a direction: of what the client sends, or of what the server does.
type Direction string

const (
	Up   Direction = "up"
	Down Direction = "down"
)

// Kind of fault.
type Kind string

const (
	Delay     Kind = "delay"      // bytes go on so much later, in order
	Throttle  Kind = "throttle"   // so many bytes a second
	Drop      Kind = "drop"       // bytes are taken and go nowhere
	Garble    Kind = "garble"     // one byte is another
	HalfClose Kind = "half_close" // the end of this way is told, the other goes on
	Cut       Kind = "cut"        // the connection is reset
)

// Rule is one fault. It is in force from a time on, or from a byte on; for a time or so many bytes; on all connections or one.
type Rule struct {
	Name       string
	Kind       Kind
	Direction  Direction
	StartAfter time.Duration // since the start
	Duration   time.Duration // 0: without end
	Offset     int64         // bytes of its way that pass first
	Bytes      int64         // that it concerns; 0: all that follow
	Connection int           // the first is 1; 0: all
	DelayBy    time.Duration // of a delay
	Rate       int64         // of a throttle, bytes a second
}

func (r Rule) applies(now time.Duration, connection int, way Direction) bool {
	return r.Direction == way && (r.Connection == 0 || r.Connection == connection) && now >= r.StartAfter && (r.Duration == 0 || now < r.StartAfter+r.Duration)
}

// Act is one thing to do, in order. Bytes go on not before At.
type Action struct {
	Kind     Kind   // empty: the bytes go on
	Rule     string // whose doing it is
	Offset   int64  // of the first byte concerned, in its way
	Bytes    []byte
	At       time.Duration
	Original byte // of what was garbled
}

func (a Action) String() string {
	switch a.Kind {
	case Garble:
		return fmt.Sprintf("byte %d: %02x for %02x", a.Offset, a.Bytes[0], a.Original)
	case Drop, Delay, Throttle:
		return fmt.Sprintf("bytes %d to %d", a.Offset, a.Offset+int64(len(a.Bytes))-1)
	}
	return fmt.Sprintf("at byte %d", a.Offset)
}

// Stream is one way of one connection.
type Stream struct {
	rules      []Rule
	connection int
	direction  Direction
	offset     int64
	freeAt     time.Duration // when what went before has gone on
	used       map[int]bool  // rules that act once, and have
	rng        *rand.Rand
	closed     bool
}

// NewStream begins one. Its chance depends on the seed, the connection and the way alone.
func NewStream(rules []Rule, seed uint64, connection int, way Direction) *Stream {
	turn := uint64(connection) << 1
	if way == Down {
		turn++
	}
	return &Stream{rules: rules, connection: connection, direction: way, used: map[int]bool{}, rng: rand.New(rand.NewPCG(seed, turn))}
}

// next is a place at which some rule begins or ends to concern bytes, after a place; what lies before it is treated alike.
func (s *Stream) nextBoundary(now time.Duration, place, end int64) int64 {
	for i, r := range s.rules {
		if s.used[i] || !r.applies(now, s.connection, s.direction) {
			continue
		}
		until := r.Offset + r.Bytes
		if r.Kind == Garble {
			until = r.Offset + 1
		}
		for _, edge := range []int64{r.Offset, until} {
			if edge > place && edge < end {
				end = edge
			}
		}
	}
	return end
}

// Pass takes what came and says what to do with it. After a cut, or the end of its way, nothing more passes.
func (s *Stream) Process(now time.Duration, in []byte) (acts []Action) {
	for len(in) > 0 && !s.closed {
		n := s.nextBoundary(now, s.offset, s.offset+int64(len(in))) - s.offset
		acts = append(acts, s.processChunk(now, in[:n])...)
		in = in[n:]
		s.offset += n
	}
	return acts
}

// Wake says what a time alone brings: a cut, or the end of a way, that is not for bytes to bring.
func (s *Stream) CheckTime(now time.Duration) []Action {
	for i, r := range s.rules {
		if (r.Kind == Cut || r.Kind == HalfClose) && r.Offset == 0 && !s.used[i] && !s.closed && r.applies(now, s.connection, s.direction) {
			s.closed = true
			return []Action{{Kind: r.Kind, Rule: r.Name, Offset: s.offset, At: now}}
		}
	}
	return nil
}

// part treats bytes that all rules treat alike.
func (s *Stream) processChunk(now time.Duration, in []byte) (acts []Action) {
	at := max(now, s.freeAt)
	out := Action{Offset: s.offset, Bytes: append([]byte(nil), in...), At: at}
	for i, r := range s.rules {
		if s.used[i] || !r.applies(now, s.connection, s.direction) || s.offset < r.Offset || r.Bytes > 0 && s.offset >= r.Offset+r.Bytes {
			continue
		}
		switch r.Kind {
		case Delay:
			out.At = max(out.At, now+r.DelayBy)
			out.Kind, out.Rule = Delay, r.Name
		case Throttle:
			out.At += time.Duration(float64(len(in)) / float64(r.Rate) * float64(time.Second))
			out.Kind, out.Rule = Throttle, r.Name
		case Drop:
			return append(acts, Action{Kind: Drop, Rule: r.Name, Offset: s.offset, Bytes: out.Bytes, At: at})
		case Garble:
			s.used[i] = true
			was := out.Bytes[0]
			out.Bytes[0] ^= byte(1 + s.rng.IntN(255))
			acts = append(acts, Action{Kind: Garble, Rule: r.Name, Offset: s.offset, Bytes: out.Bytes[:1:1], At: at, Original: was})
		case HalfClose, Cut:
			s.closed = true
			return append(acts, Action{Kind: r.Kind, Rule: r.Name, Offset: s.offset, At: at})
		}
	}
	s.freeAt = out.At
	return append(acts, out)
}
