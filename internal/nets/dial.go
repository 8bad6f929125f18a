package nets

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/netpoll"
)

// Conn is a connection that we opened. Active says whether the other side has closed it, as far as is known.
type Conn interface {
	net.Conn
	IsActive() bool
	// Time limits are spans. netpoll keeps the deadlines of net.Conn in Unix time: a step of the system's clock
	// would end them all at once, or have them last for as long as the step.
	SetReadTimeout(time.Duration) error
	SetWriteTimeout(time.Duration) error
	// Writer holds what is written until it went out.
	Writer() netpoll.Writer
}

// leastTimeout is the shortest time limit; 0 would be none.
const minTimeout = time.Millisecond

// Dial opens a connection, within that time.
func Dial(address string, within time.Duration) (Conn, error) {
	return netpoll.NewDialer().DialConnection("tcp", address, within)
}

// DialContext is the same where the context ends the time.
func DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	within := 10 * time.Second
	if until, some := ctx.Deadline(); some {
		within = max(time.Millisecond, time.Until(until))
	}
	return Dial(address, within)
}
