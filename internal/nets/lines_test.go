package nets

import (
	"errors"
	"os"
	"testing"
	"time"
)

// spans is a connection that takes time limits as spans alone, and gives a byte at a time.
type timeoutConn struct {
	Conn
	limits []time.Duration
	text   string
}

func (s *timeoutConn) IsActive() bool { return true }

func (s *timeoutConn) SetReadTimeout(d time.Duration) error {
	s.limits = append(s.limits, d)
	return nil
}

func (s *timeoutConn) SetWriteTimeout(time.Duration) error { return nil }

func (s *timeoutConn) Read(b []byte) (int, error) {
	if s.text == "" {
		time.Sleep(s.limits[len(s.limits)-1])
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(b[:1], s.text)
	s.text = s.text[n:]
	return n, nil
}

// A line's time is a span that shrinks, whatever the system's clock is stepped to: netpoll keeps deadlines as Unix
// time, and one that lay behind a step back of an hour was waited for so long. Issue 29.
func TestLineTimeoutIsRelative(t *testing.T) {
	c := &timeoutConn{text: "ab\nc"}
	lines := NewLineReader(c, 100)
	line, err := lines.Next(time.Now().Add(50 * time.Millisecond))
	if err != nil || string(line) != "ab" {
		t.Fatalf("%q, %v", line, err)
	}
	for i, limit := range c.limits {
		if limit <= 0 || limit > 50*time.Millisecond || i > 0 && limit > c.limits[i-1] {
			t.Fatalf("limits %v", c.limits)
		}
	}
	began := time.Now()
	if _, err = lines.Next(began.Add(50 * time.Millisecond)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	if spent := time.Since(began); spent < 50*time.Millisecond || spent > time.Second {
		t.Fatalf("half a line was waited for %v", spent)
	}
}

// What dribbles in behind its time is not waited for without end.
func TestOverdueLineTimesOut(t *testing.T) {
	c := &timeoutConn{text: string(make([]byte, 1000))}
	if _, err := NewLineReader(c, 1<<20).Next(time.Now().Add(-time.Second)); !errors.Is(err, os.ErrDeadlineExceeded) || len(c.limits) != 1 {
		t.Fatalf("%v after %d reads", err, len(c.limits))
	}
}
