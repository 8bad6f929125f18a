package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a way between two sockets. It passes bytes on until a fault is set.
type link struct {
	addr, to string
	halfAt   time.Duration // with half: how long after the first bytes the client's side is closed
	half     bool
	onDown   func(bytes int) // called with what the server sends

	mu      sync.Mutex
	ln      net.Listener
	conns   map[net.Conn]bool
	silent  bool
	vanish  int // counts the times that the way was silent: connections from before stay silent for good
	refuses bool
}

func (r *run) newLink(to string) *link {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	l := &link{addr: ln.Addr().String(), to: to, conns: map[net.Conn]bool{}}
	l.listen(ln)
	r.onClose(l.refuse)
	return l
}

func (l *link) listen(ln net.Listener) {
	l.mu.Lock()
	l.ln, l.refuses = ln, false
	l.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.pass(c.(*net.TCPConn))
		}
	}()
}

// refuse resets all connections; new ones are refused until accept is called.
func (l *link) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuses {
		return
	}
	l.refuses = true
	l.ln.Close()
	for c := range l.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (l *link) accept() {
	ln, err := net.Listen("tcp", l.addr)
	must(err)
	l.listen(ln)
}

// setSilent begins or ends a silence, as when the machine behind the link vanishes and returns: open connections stay
// open, and nothing ever comes by them again; new ones bring nothing up while it lasts.
func (l *link) setSilent(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent = on; on {
		l.vanish++
	}
}

func (l *link) state() (silent bool, vanish int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent, l.vanish
}

// pass passes one connection on.
func (l *link) pass(c *net.TCPConn) {
	defer c.Close()
	silent, vanish := l.state()
	var s *net.TCPConn
	if !silent {
		conn, err := net.DialTimeout("tcp", l.to, time.Second)
		if err != nil {
			return
		}
		s = conn.(*net.TCPConn)
		defer s.Close()
		l.mu.Lock()
		l.conns[c], l.conns[s] = true, true
		l.mu.Unlock()
		defer func() {
			l.mu.Lock()
			delete(l.conns, c)
			delete(l.conns, s)
			l.mu.Unlock()
		}()
		go l.copyDown(c, s, vanish)
	}
	b := make([]byte, 64<<10)
	halved := false
	for {
		n, err := c.Read(b)
		silent, now := l.state()
		switch {
		case s == nil || silent || now != vanish:
			if !silent { // the other side is back and does not know this connection
				c.SetLinger(0)
				return
			}
		case n > 0 && !halved:
			if _, err := s.Write(b[:n]); err != nil {
				return
			}
			if l.half {
				halved = true
				time.Sleep(l.halfAt)
				s.CloseWrite()
			}
		}
		if err != nil {
			return
		}
	}
}

// copyDown passes on what the server sends, and the end of it.
func (l *link) copyDown(c, s *net.TCPConn, vanish int) {
	b := make([]byte, 64<<10)
	for {
		n, err := s.Read(b)
		if silent, now := l.state(); silent || now != vanish {
			return // lost on the way
		}
		if n > 0 {
			if l.onDown != nil {
				l.onDown(n)
			}
			c.Write(b[:n])
		}
		if err != nil {
			if err == io.EOF {
				c.CloseWrite()
			}
			c.Close()
			return
		}
	}
}
