// Package fault injects faults into the TCP connections between two sockets, by a script: it delays, throttles, drops
// or corrupts bytes, closes one half of a connection, or resets it, by time and by byte count. It does not
// interpret the bytes. Stream decides, without I/O or clock, which actions follow for bytes at an offset of a
// connection; Injector carries the actions out. Equal seeds give equal actions.
package fault

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Direction is a direction of a connection: Up from the client to the server, or Down.
type Direction string

// The directions.
const (
	Up   Direction = "up"
	Down Direction = "down"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	Delay     Kind = "delay"      // bytes are forwarded later, in order
	Throttle  Kind = "throttle"   // the rate of bytes is limited
	Drop      Kind = "drop"       // bytes are read and discarded
	Garble    Kind = "garble"     // one byte is changed
	HalfClose Kind = "half_close" // this direction is closed, the other stays open
	Cut       Kind = "cut"        // the connection is reset
)

// Rule describes a fault. It applies within a period and within a range of bytes, on all connections or on one.
type Rule struct {
	Name       string
	Kind       Kind
	Direction  Direction
	StartAfter time.Duration // since the injector's start
	Duration   time.Duration // 0: unlimited
	Offset     int64         // bytes of the direction that pass first
	Bytes      int64         // bytes that are affected; 0: all that follow
	Connection int           // number of the connection, from 1; 0: all
	DelayBy    time.Duration // of a Delay
	Rate       int64         // of a Throttle, bytes per second
}

// applies reports whether the rule applies at a time to a direction of a connection, whatever the offset.
func (r Rule) applies(now time.Duration, connection int, direction Direction) bool {
	return r.Direction == direction && (r.Connection == 0 || r.Connection == connection) &&
		now >= r.StartAfter && (r.Duration == 0 || now < r.StartAfter+r.Duration)
}

// Action is a step to be carried out. Actions are carried out in order, and none before its time At.
type Action struct {
	Kind     Kind   // empty: the bytes are forwarded without a fault
	Rule     string // name of the rule that caused it
	Offset   int64  // of the first affected byte, in its direction
	Bytes    []byte
	At       time.Duration // since the injector's start
	Original byte          // value before a Garble
}

// String describes the action for the log.
func (a Action) String() string {
	switch a.Kind {
	case Garble:
		return fmt.Sprintf("byte %d: %02x for %02x", a.Offset, a.Bytes[0], a.Original)
	case Drop, Delay, Throttle:
		return fmt.Sprintf("bytes %d to %d", a.Offset, a.Offset+int64(len(a.Bytes))-1)
	}
	return fmt.Sprintf("at byte %d", a.Offset)
}

// Stream is one direction of a connection.
type Stream struct {
	rules      []Rule
	connection int
	direction  Direction
	offset     int64
	freeAt     time.Duration // when the earlier bytes have been forwarded
	used       map[int]bool  // rules that act only once and have done so
	rng        *rand.Rand
	closed     bool
}

// NewStream returns the stream of a direction of a connection. Its random numbers depend only on the seed, the
// connection and the direction.
func NewStream(rules []Rule, seed uint64, connection int, direction Direction) *Stream {
	sequence := uint64(connection) << 1
	if direction == Down {
		sequence++
	}
	return &Stream{rules: rules, connection: connection, direction: direction, used: map[int]bool{},
		rng: rand.New(rand.NewPCG(seed, sequence))}
}

// nextBoundary returns the first offset between offset and end at which a rule begins or ends to apply, or end if
// there is none. The same rules apply to all bytes before it.
func (s *Stream) nextBoundary(now time.Duration, offset, end int64) int64 {
	for i, r := range s.rules {
		if s.used[i] || !r.applies(now, s.connection, s.direction) {
			continue
		}
		until := r.Offset + r.Bytes
		if r.Kind == Garble {
			until = r.Offset + 1
		}
		for _, boundary := range []int64{r.Offset, until} {
			if boundary > offset && boundary < end {
				end = boundary
			}
		}
	}
	return end
}

// Process returns the actions for bytes that were read. After a Cut or HalfClose there are no more.
func (s *Stream) Process(now time.Duration, in []byte) (actions []Action) {
	for len(in) > 0 && !s.closed {
		n := s.nextBoundary(now, s.offset, s.offset+int64(len(in))) - s.offset
		actions = append(actions, s.processChunk(now, in[:n])...)
		in = in[n:]
		s.offset += n
	}
	return actions
}

// CheckTime returns the Cut or HalfClose, if any, that is due by time alone, without any bytes.
func (s *Stream) CheckTime(now time.Duration) []Action {
	for i, r := range s.rules {
		if (r.Kind == Cut || r.Kind == HalfClose) && r.Offset == 0 && !s.used[i] && !s.closed &&
			r.applies(now, s.connection, s.direction) {
			s.closed = true
			return []Action{{Kind: r.Kind, Rule: r.Name, Offset: s.offset, At: now}}
		}
	}
	return nil
}

// processChunk returns the actions for bytes to all of which the same rules apply.
func (s *Stream) processChunk(now time.Duration, in []byte) (actions []Action) {
	at := max(now, s.freeAt)
	out := Action{Offset: s.offset, Bytes: append([]byte(nil), in...), At: at}
	for i, r := range s.rules {
		if s.used[i] || !r.applies(now, s.connection, s.direction) || s.offset < r.Offset ||
			r.Bytes > 0 && s.offset >= r.Offset+r.Bytes {
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
			return append(actions, Action{Kind: Drop, Rule: r.Name, Offset: s.offset, Bytes: out.Bytes, At: at})
		case Garble:
			s.used[i] = true
			original := out.Bytes[0]
			out.Bytes[0] ^= byte(1 + s.rng.IntN(255))
			actions = append(actions, Action{Kind: Garble, Rule: r.Name, Offset: s.offset, Bytes: out.Bytes[:1:1], At: at, Original: original})
		case HalfClose, Cut:
			s.closed = true
			return append(actions, Action{Kind: r.Kind, Rule: r.Name, Offset: s.offset, At: at})
		}
	}
	s.freeAt = out.At
	return append(actions, out)
}
