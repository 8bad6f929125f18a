package netutil

import (
	"errors"
	"syscall"
	"testing"

	"github.com/cloudwego/netpoll"
)

// flakyConn is a connection whose first writes fail with errs; written data stays in its buffer until a flush
// succeeds.
type flakyConn struct {
	errs         []error
	buffer, sent string
}

func (c *flakyConn) flush() (err error) {
	if len(c.errs) > 0 {
		err, c.errs = c.errs[0], c.errs[1:]
	}
	if err == nil {
		c.sent, c.buffer = c.sent+c.buffer, ""
	}
	return err
}

func (c *flakyConn) Write(p []byte) (int, error) {
	if len(c.errs) > 0 && errors.Is(c.errs[0], netpoll.ErrConcurrentAccess) {
		return 0, c.flush()
	}
	c.buffer += string(p)
	return len(p), c.flush()
}

func (c *flakyConn) Writer() netpoll.Writer { return flusher{conn: c} }
func (c *flakyConn) IsActive() bool         { return true }

type flusher struct {
	netpoll.Writer
	conn *flakyConn
}

func (f flusher) Flush() error { return f.conn.flush() }

// A message is sent once and completely despite transient errors; a permanent error is returned.
func TestSendRetriesTransientErrors(t *testing.T) {
	for name, c := range map[string]struct {
		errs []error
		sent string
		fail error
	}{
		"at once":                          {nil, "pong", nil},
		"an interrupted call":              {[]error{syscall.EINTR, syscall.EINTR}, "pong", nil},
		"no buffer":                        {[]error{syscall.ENOBUFS}, "pong", nil},
		"another writes":                   {[]error{netpoll.ErrConcurrentAccess, netpoll.ErrConcurrentAccess}, "pong", nil},
		"another writes, then interrupted": {[]error{netpoll.ErrConcurrentAccess, syscall.EINTR}, "pong", nil},
		"the other side is gone":           {[]error{syscall.EPIPE}, "", syscall.EPIPE},
	} {
		conn := &flakyConn{errs: c.errs}
		if _, err := Send(conn, []byte("pong")); !errors.Is(err, c.fail) || conn.sent != c.sent {
			t.Errorf("%s: sent %q, error %v", name, conn.sent, err)
		}
	}
}
