package nets

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// Gate says whether one more connection may be accepted. Began says that it is shut from now on.
type AcceptLimiter interface{ May() (may, began bool) }

// gated pauses accepting where its gate is shut or the system has no more descriptors: netpoll takes the listener out of its loop
// then, and looks at it again after up to a second. Those who connect wait in the kernel's queue meanwhile.
type limitedListener struct {
	netpoll.Listener
	limiter AcceptLimiter
	log     *slog.Logger
	closing atomic.Bool // nobody is accepted any more
}

func (g *limitedListener) Accept() (net.Conn, error) {
	if g.closing.Load() {
		return nil, syscall.EMFILE
	}
	if may, began := g.limiter.May(); !may {
		if began {
			g.log.Warn("accept.paused", "listen", g.Addr().String(), "why", "as many connections are open as may be, or memory is short")
		}
		return nil, syscall.EMFILE
	}
	c, err := g.Listener.Accept()
	if isOneOf(err, exhaustionErrors) {
		g.log.Error("accept.paused", "listen", g.Addr().String(), "error", err)
		return nil, syscall.EMFILE // by which netpoll pauses; of other errors it would ask again without end
	}
	return c, err
}

// Socket is a listening socket with its loop, as both fronts have one.
type Socket struct {
	ln   *limitedListener
	loop netpoll.EventLoop
}

// Listen opens one. Accept hears of each connection before anything is read from it, read of what has come.
func Listen(address string, read netpoll.OnRequest, accept netpoll.OnPrepare, write time.Duration, gate AcceptLimiter, log *slog.Logger) (*Socket, error) {
	plain, err := netpoll.CreateListener("tcp", address)
	if err != nil {
		return nil, err
	}
	ln := &limitedListener{Listener: plain, limiter: gate, log: log}
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
	s.ln.closing.Store(true)
	conns(func(c netpoll.Connection) { c.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	err := s.loop.Shutdown(ctx)
	conns(func(c netpoll.Connection) { c.Close() })
	if ctx.Err() != nil {
		return nil // it waits for idle connections only, and ours are closed above
	}
	return err
}
