package nets

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Gate says whether one more connection may be accepted. Began says that it is shut from now on.
type Gate interface{ May() (may, began bool) }

const (
	shortestPause = 10 * time.Millisecond
	longestPause  = time.Second // between two tries to accept
	// longestSettling is how long Stop waits at most: accepting a connection takes microseconds.
	longestSettling = 200 * time.Millisecond
)

// Listener is a listening socket for a netpoll loop. netpoll has a listener of its own, which is not used: it takes a listener out
// of its loop for the first shortage of descriptors alone, goes on to accept by the number of a descriptor that was closed, and
// closes that number twice.
//
// netpoll watches an epoll descriptor, which is readable while the socket in it has a connection to accept. Where accepting
// pauses the socket is taken out of it for a while: netpoll is asked for nothing, and those who connect wait in the kernel's queue.
type Listener struct {
	gate    Gate
	log     *slog.Logger
	address net.Addr

	socket *os.File // owns fd
	fd     int      // of the listening socket
	epoll  int
	wakes  int // 0: nothing wakes netpoll

	mu      sync.Mutex
	served  bool          // netpoll has begun to watch
	stopped bool          // nobody is accepted any more
	settled chan struct{} // closed once what was accepted before that is registered with netpoll
	closed  bool
	pause   time.Duration // the next one
	resume  *time.Timer   // ends the present pause; nil: there is none
}

// NewListener opens a listening TCP socket. Without a gate all may come in.
func NewListener(address string, gate Gate, log *slog.Logger) (*Listener, error) {
	plain, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	defer plain.Close() // socket is a descriptor of its own
	socket, err := plain.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	epoll, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		socket.Close()
		return nil, fmt.Errorf("listen %s: %w", address, err)
	}
	l := &Listener{gate: gate, log: log, address: plain.Addr(), socket: socket, fd: int(socket.Fd()), epoll: epoll, pause: shortestPause,
		settled: make(chan struct{})}
	if err = errors.Join(syscall.SetNonblock(l.fd, true), l.watch(l.fd)); err != nil {
		l.Close()
		return nil, fmt.Errorf("listen %s: %w", address, err)
	}
	return l, nil
}

// watch has the epoll descriptor be readable while another one is.
func (l *Listener) watch(fd int) error {
	return syscall.EpollCtl(l.epoll, syscall.EPOLL_CTL_ADD, fd, &syscall.EpollEvent{Events: syscall.EPOLLIN, Fd: int32(fd)})
}

// unwatch has the epoll descriptor be silent.
func (l *Listener) unwatch() { syscall.EpollCtl(l.epoll, syscall.EPOLL_CTL_DEL, l.fd, nil) }

// Accept gives the next connection, or nil where there is none to be had now. It gives no errors: netpoll would go on by itself.
func (l *Listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		l.settle()
		return nil, nil
	}
	if l.resume != nil {
		return nil, nil
	}
	if l.gate != nil {
		if may, began := l.gate.May(); !may {
			if began {
				l.log.Warn("accept.paused", "listen", l.address.String(), "why", "as many connections are open as may be, or memory is short")
			}
			l.pauseAccepting()
			return nil, nil
		}
	}
	fd, from, err := syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	switch {
	case err == nil:
		l.pause = shortestPause
		return accepted{fd: fd, local: l.address, remote: addressOf(from)}, nil
	case isOneOf(err, nobodyCame):
		return nil, nil // another may wait behind it, of which netpoll tells at once
	}
	l.log.Error("accept.paused", "listen", l.address.String(), "error", err)
	l.pauseAccepting()
	return nil, nil
}

// pauseAccepting has the socket looked at again later, after longer each time.
func (l *Listener) pauseAccepting() {
	l.unwatch()
	l.resume = time.AfterFunc(l.pause, l.resumeAccepting)
	l.pause = min(2*l.pause, longestPause)
}

func (l *Listener) resumeAccepting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	l.resume = nil
	if err := l.watch(l.fd); err != nil {
		l.log.Error("accept.paused", "listen", l.address.String(), "error", err)
		l.resume = time.AfterFunc(l.pause, l.resumeAccepting)
	}
}

// Stop has nobody accepted from now on, and waits until netpoll has done with whoever was accepted last: a connection that is
// closed before netpoll has registered it gives its descriptor's number to somebody else, whom netpoll would register in its
// place. Those who connect wait until Close.
func (l *Listener) Stop() {
	l.mu.Lock()
	wait := l.stop() && l.served && l.wake() == nil
	l.mu.Unlock()
	if !wait {
		return
	}
	select {
	case <-l.settled:
	case <-time.After(longestSettling):
		l.log.Warn("accept.unsettled", "listen", l.address.String(), "after", longestSettling)
	}
}

// stop says whether it had not stopped before.
func (l *Listener) stop() bool {
	if l.stopped {
		return false
	}
	l.stopped = true
	if l.resume != nil {
		l.resume.Stop()
	} else {
		l.unwatch()
	}
	return true
}

// wake has netpoll ask for a connection once more. It does one thing after the other, so by then the last one is registered.
func (l *Listener) wake() error {
	var pipe [2]int
	if err := syscall.Pipe2(pipe[:], syscall.O_CLOEXEC); err != nil {
		return err
	}
	syscall.Close(pipe[1]) // a pipe that nobody writes to is at its end, which counts as readable
	l.wakes = pipe[0]
	return l.watch(l.wakes)
}

// settle ends the wait of Stop.
func (l *Listener) settle() {
	if l.wakes > 0 {
		syscall.Close(l.wakes) // which takes it out of the epoll descriptor
		l.wakes = 0
		close(l.settled)
	}
}

// Close closes both descriptors, once: from then on their numbers are somebody else's. netpoll is to have let go of it by then.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.stop()
	l.closed = true
	l.settle()
	return errors.Join(syscall.Close(l.epoll), l.socket.Close())
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.address }

// Fd is what netpoll watches, from when it asks for it.
func (l *Listener) Fd() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served = true
	return l.epoll
}

// accepted is a connection that netpoll is to take over: it reads the descriptor and the addresses alone.
type accepted struct {
	net.Conn
	fd            int
	local, remote net.Addr
}

func (a accepted) Fd() int              { return a.fd }
func (a accepted) LocalAddr() net.Addr  { return a.local }
func (a accepted) RemoteAddr() net.Addr { return a.remote }

func addressOf(from syscall.Sockaddr) net.Addr {
	switch from := from.(type) {
	case *syscall.SockaddrInet4:
		return &net.TCPAddr{IP: from.Addr[:], Port: from.Port}
	case *syscall.SockaddrInet6:
		return &net.TCPAddr{IP: from.Addr[:], Port: from.Port}
	}
	return &net.TCPAddr{}
}
