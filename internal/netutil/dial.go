package netutil

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/netpoll"
)

// Conn is an outgoing connection.
type Conn interface {
	net.Conn
	// IsActive reports whether the connection is open: it is false once the remote side is known to have closed it.
	IsActive() bool
	// SetReadTimeout and SetWriteTimeout take durations. netpoll keeps the deadlines of net.Conn in Unix time: a step
	// of the system clock would expire all of them at once or extend them by the size of the step.
	SetReadTimeout(time.Duration) error
	SetWriteTimeout(time.Duration) error
	// Writer returns the buffer that holds written data until it is sent.
	Writer() netpoll.Writer
}

// minTimeout is the shortest timeout that is set, since netpoll takes 0 for no timeout.
const minTimeout = time.Millisecond

// Dial opens a connection; it fails if that takes longer than the timeout.
func Dial(address string, timeout time.Duration) (Conn, error) {
	return netpoll.NewDialer().DialConnection("tcp", address, timeout)
}

// DialContext opens a connection within the deadline of the context, or within 10 seconds if it has none.
func DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	timeout := 10 * time.Second
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(time.Millisecond, time.Until(deadline))
	}
	return Dial(address, timeout)
}
