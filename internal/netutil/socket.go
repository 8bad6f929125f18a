package netutil

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// AcceptLimiter decides whether one more connection may be accepted.
type AcceptLimiter interface {
	// CanAccept reports whether a connection may be accepted; pauseStarted is true on the first refusal after a
	// connection was allowed.
	CanAccept() (canAccept, pauseStarted bool)
}

// limitedListener pauses accepting while its limiter refuses connections or the system is out of descriptors. netpoll
// then removes the listener from its poll loop and tries again after up to a second; meanwhile new connections wait in
// the kernel's queue.
type limitedListener struct {
	netpoll.Listener
	limiter AcceptLimiter
	log     *slog.Logger
	closing atomic.Bool // set by Close; no further connection is accepted
}

func (l *limitedListener) Accept() (net.Conn, error) {
	if l.closing.Load() {
		return nil, syscall.EMFILE
	}
	if canAccept, pauseStarted := l.limiter.CanAccept(); !canAccept {
		if pauseStarted {
			l.log.Warn("accept.paused", "listen", l.Addr().String(), "why", "connection limit reached or memory is short")
		}
		return nil, syscall.EMFILE
	}
	c, err := l.Listener.Accept()
	if isOneOf(err, exhaustionErrors) {
		l.log.Error("accept.paused", "listen", l.Addr().String(), "error", err)
		return nil, syscall.EMFILE // netpoll pauses on EMFILE; on other errors it would retry in a busy loop
	}
	return c, err
}

// Socket is a listening socket with its event loop, shared by all servers.
type Socket struct {
	ln   *limitedListener
	loop netpoll.EventLoop
}

// Listen opens a listening socket. accept is called for each connection before anything is read from it, read when
// data has arrived.
func Listen(address string, read netpoll.OnRequest, accept netpoll.OnPrepare, writeTimeout time.Duration, limiter AcceptLimiter, log *slog.Logger) (*Socket, error) {
	plain, err := netpoll.CreateListener("tcp", address)
	if err != nil {
		return nil, err
	}
	ln := &limitedListener{Listener: plain, limiter: limiter, log: log}
	loop, err := netpoll.NewEventLoop(read, netpoll.WithOnPrepare(accept), netpoll.WithWriteTimeout(writeTimeout))
	if err != nil {
		ln.Close()
		return nil, err
	}
	return &Socket{ln, loop}, nil
}

// Addr returns the address that the socket listens on.
func (s *Socket) Addr() net.Addr { return s.ln.Addr() }

// Serve accepts and serves connections until Close.
func (s *Socket) Serve() error { return s.loop.Serve(s.ln) }

// Close closes the socket and all connections. forEachConn calls visit for every open connection of the owner. These
// are closed before the loop is shut down, since a connection that the loop closes may have been read a moment ago.
// Connections that are not accepted by then have not been read.
func (s *Socket) Close(forEachConn func(visit func(netpoll.Connection))) error {
	s.ln.closing.Store(true)
	forEachConn(func(c netpoll.Connection) { c.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	err := s.loop.Shutdown(ctx)
	forEachConn(func(c netpoll.Connection) { c.Close() })
	if ctx.Err() != nil {
		return nil // the loop only waits for idle connections, and those of the owner are closed above
	}
	return err
}
