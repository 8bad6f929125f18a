package nets

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/cloudwego/netpoll"
)

// Socket is a listening socket with its loop, as both fronts have one.
type Socket struct {
	ln   *Listener
	loop netpoll.EventLoop
}

// Listen opens one. Accept hears of each connection before anything is read from it, read of what has come.
func Listen(address string, read netpoll.OnRequest, accept netpoll.OnPrepare, write time.Duration, gate Gate, log *slog.Logger) (*Socket, error) {
	ln, err := NewListener(address, gate, log)
	if err != nil {
		return nil, err
	}
	loop, err := netpoll.NewEventLoop(read, netpoll.WithOnPrepare(accept), netpoll.WithWriteTimeout(write))
	if err != nil {
		ln.Close()
		return nil, err
	}
	return &Socket{ln, loop}, nil
}

// Addr is where it listens.
func (s *Socket) Addr() net.Addr { return s.ln.Addr() }

// Serve answers until Close.
func (s *Socket) Serve() error { return s.loop.Serve(s.ln) }

// Close closes the socket and all connections. The owner closes its connections before the loop does: what the loop
// closes may have been read a moment ago. Whoever is not yet accepted by then was not read.
func (s *Socket) Close(conns func(each func(netpoll.Connection))) error {
	s.ln.Stop()
	conns(func(c netpoll.Connection) { c.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	err := errors.Join(s.loop.Shutdown(ctx), s.ln.Close()) // a loop that never ran leaves it open
	conns(func(c netpoll.Connection) { c.Close() })
	if ctx.Err() != nil {
		return nil // it waits for idle connections only, and ours are closed above
	}
	return err
}
