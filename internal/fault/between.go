package fault

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Done is one fault as it was done, for the log.
type Record struct {
	At         float64   `json:"at_ms"` // since the start
	Connection int       `json:"connection"`
	Direction  Direction `json:"way"`
	Kind       Kind      `json:"kind"`
	Rule       string    `json:"rule"`
	What       string    `json:"what"`
}

// Between stands between clients and a server. It uses the standard library's sockets and not netpoll: that closes a connection as a whole
// when its peer has closed one half, which is a fault that is to be played here.
type Injector struct {
	script         *Script
	ln             net.Listener
	start          time.Time
	mu             sync.Mutex
	log            *json.Encoder
	lastConnection int
	conns          map[net.Conn]bool
	handlers       sync.WaitGroup
}

// New listens. What is done is written to the log, a line of JSON each.
func New(s *Script, log io.Writer) (*Injector, error) {
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, err
	}
	return &Injector{script: s, ln: ln, start: time.Now(), log: json.NewEncoder(log), conns: map[net.Conn]bool{}}, nil
}

// Addr is where it listens.
func (b *Injector) Addr() net.Addr { return b.ln.Addr() }

// Run passes on until the context ends; then all connections are closed.
func (b *Injector) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		b.ln.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		for c := range b.conns {
			c.Close()
		}
	})
	defer stop()
	for {
		c, err := b.ln.Accept()
		if err != nil {
			b.handlers.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		b.mu.Lock()
		b.lastConnection++
		n := b.lastConnection
		b.mu.Unlock()
		b.handlers.Go(func() { b.handle(ctx, n, c.(*net.TCPConn)) })
	}
}

func (b *Injector) now() time.Duration { return time.Since(b.start) }

func (b *Injector) logAction(connection int, way Direction, a Action) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.log.Encode(Record{float64(b.now().Microseconds()) / 1000, connection, way, a.Kind, a.Rule, a.String()})
}

func (b *Injector) track(c net.Conn, open bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conns[c] = true; !open {
		delete(b.conns, c)
	}
}

// pass is one connection's life.
func (b *Injector) handle(ctx context.Context, n int, client *net.TCPConn) {
	b.track(client, true)
	defer b.track(client, false)
	defer client.Close()
	up, err := net.DialTimeout("tcp", b.script.To, 5*time.Second)
	if err != nil {
		client.SetLinger(0) // the client is refused, as it would be by the server
		return
	}
	server := up.(*net.TCPConn)
	b.track(server, true)
	defer b.track(server, false)
	defer server.Close()
	cut := func() {
		client.SetLinger(0)
		server.SetLinger(0)
		client.Close()
		server.Close()
	}
	var both sync.WaitGroup
	both.Go(func() { b.forward(ctx, n, Up, client, server, cut) })
	both.Go(func() { b.forward(ctx, n, Down, server, client, cut) })
	both.Wait()
}

// way passes one direction on.
func (b *Injector) forward(ctx context.Context, n int, way Direction, from, to *net.TCPConn, cut func()) {
	s := NewStream(b.script.Rules, b.script.Seed, n, way)
	acts := make(chan Action, 1024)
	var writing sync.WaitGroup
	writing.Go(func() {
		for a := range acts {
			if wait := a.At - b.now(); wait > 0 {
				select {
				case <-ctx.Done():
				case <-time.After(wait):
				}
			}
			if a.Kind != "" {
				b.logAction(n, way, a)
			}
			switch a.Kind {
			case Cut:
				cut()
			case HalfClose:
				to.CloseWrite()
			case Drop, Garble:
			default:
				to.Write(a.Bytes)
			}
		}
		to.CloseWrite()
	})
	buf := make([]byte, 32<<10)
	for {
		from.SetReadDeadline(time.Now().Add(20 * time.Millisecond)) // so that what time alone brings comes
		k, err := from.Read(buf)
		for _, a := range s.Process(b.now(), buf[:k]) {
			acts <- a
		}
		for _, a := range s.CheckTime(b.now()) {
			acts <- a
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}
	close(acts)
	writing.Wait()
}
