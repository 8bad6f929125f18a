package netutil

import (
	"errors"
	"os"
	"testing"
	"time"
)

// timeoutConn is a connection that records its read timeouts and delivers its text one byte at a time.
type timeoutConn struct {
	Conn
	timeouts []time.Duration
	text     string
}

func (c *timeoutConn) IsActive() bool { return true }

func (c *timeoutConn) SetReadTimeout(d time.Duration) error {
	c.timeouts = append(c.timeouts, d)
	return nil
}

func (c *timeoutConn) SetWriteTimeout(time.Duration) error { return nil }

func (c *timeoutConn) Read(b []byte) (int, error) {
	if c.text == "" {
		time.Sleep(c.timeouts[len(c.timeouts)-1])
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(b[:1], c.text)
	c.text = c.text[n:]
	return n, nil
}

// The timeout of a line is a shrinking duration, independent of steps of the system clock. netpoll keeps deadlines in
// Unix time: after the clock was stepped back an hour, a read waited an hour longer (issue 29).
func TestLineTimeoutIsRelative(t *testing.T) {
	c := &timeoutConn{text: "ab\nc"}
	lines := NewLineReader(c, 100)
	line, err := lines.Next(time.Now().Add(50 * time.Millisecond))
	if err != nil || string(line) != "ab" {
		t.Fatalf("%q, %v", line, err)
	}
	for i, limit := range c.timeouts {
		if limit <= 0 || limit > 50*time.Millisecond || i > 0 && limit > c.timeouts[i-1] {
			t.Fatalf("timeouts %v, want a non-increasing series in (0, 50ms]", c.timeouts)
		}
	}
	began := time.Now()
	if _, err = lines.Next(began.Add(50 * time.Millisecond)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	if spent := time.Since(began); spent < 50*time.Millisecond || spent > time.Second {
		t.Fatalf("incomplete line timed out after %v, want 50ms to 1s", spent)
	}
}

// Data that trickles in after the deadline must not prolong the wait indefinitely.
func TestOverdueLineTimesOut(t *testing.T) {
	c := &timeoutConn{text: string(make([]byte, 1000))}
	if _, err := NewLineReader(c, 1<<20).Next(time.Now().Add(-time.Second)); !errors.Is(err, os.ErrDeadlineExceeded) || len(c.timeouts) != 1 {
		t.Fatalf("%v after %d reads", err, len(c.timeouts))
	}
}
