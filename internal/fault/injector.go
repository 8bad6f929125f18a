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

// Record is the log entry of one injected fault.
type Record struct {
	At         float64   `json:"at_ms"` // milliseconds since the start
	Connection int       `json:"connection"`
	Direction  Direction `json:"way"`
	Kind       Kind      `json:"kind"`
	Rule       string    `json:"rule"`
	What       string    `json:"what"`
}

// Injector forwards connections between clients and a server and injects faults. It uses the standard library's
// sockets and not netpoll, which closes the whole connection when the peer closes one half: a half-closed connection
// is one of the faults to be injected.
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

// New returns an injector that listens by the script. It writes a line of JSON to log for each injected fault.
func New(s *Script, log io.Writer) (*Injector, error) {
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, err
	}
	return &Injector{script: s, ln: ln, start: time.Now(), log: json.NewEncoder(log), conns: map[net.Conn]bool{}}, nil
}

// Addr returns the address that the injector listens at.
func (in *Injector) Addr() net.Addr { return in.ln.Addr() }

// Run forwards connections until the context ends, and then closes all of them.
func (in *Injector) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		in.ln.Close()
		in.mu.Lock()
		defer in.mu.Unlock()
		for c := range in.conns {
			c.Close()
		}
	})
	defer stop()
	for {
		c, err := in.ln.Accept()
		if err != nil {
			in.handlers.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		in.mu.Lock()
		in.lastConnection++
		n := in.lastConnection
		in.mu.Unlock()
		in.handlers.Go(func() { in.handle(ctx, n, c.(*net.TCPConn)) })
	}
}

// now returns the time since the start.
func (in *Injector) now() time.Duration { return time.Since(in.start) }

// logAction writes the log entry of an injected fault.
func (in *Injector) logAction(connection int, direction Direction, a Action) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.log.Encode(Record{float64(in.now().Microseconds()) / 1000, connection, direction, a.Kind, a.Rule, a.String()})
}

// track adds a connection to those that Run closes at its end, or removes it.
func (in *Injector) track(c net.Conn, open bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.conns[c] = true; !open {
		delete(in.conns, c)
	}
}

// handle forwards a client's connection in both directions until it ends.
func (in *Injector) handle(ctx context.Context, n int, client *net.TCPConn) {
	in.track(client, true)
	defer in.track(client, false)
	defer client.Close()
	conn, err := net.DialTimeout("tcp", in.script.To, 5*time.Second)
	if err != nil {
		client.SetLinger(0) // reset the client's connection, as an unreachable server would
		return
	}
	server := conn.(*net.TCPConn)
	in.track(server, true)
	defer in.track(server, false)
	defer server.Close()
	cut := func() {
		client.SetLinger(0)
		server.SetLinger(0)
		client.Close()
		server.Close()
	}
	var directions sync.WaitGroup
	directions.Go(func() { in.forward(ctx, n, Up, client, server, cut) })
	directions.Go(func() { in.forward(ctx, n, Down, server, client, cut) })
	directions.Wait()
}

// forward forwards one direction of a connection.
func (in *Injector) forward(ctx context.Context, n int, direction Direction, from, to *net.TCPConn, cut func()) {
	s := NewStream(in.script.Rules, in.script.Seed, n, direction)
	actions := make(chan Action, 1024)
	var writer sync.WaitGroup
	writer.Go(func() {
		for a := range actions {
			if wait := a.At - in.now(); wait > 0 {
				select {
				case <-ctx.Done():
				case <-time.After(wait):
				}
			}
			if a.Kind != "" {
				in.logAction(n, direction, a)
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
		from.SetReadDeadline(time.Now().Add(20 * time.Millisecond)) // so that faults that depend on time alone are injected
		read, err := from.Read(buf)
		for _, a := range s.Process(in.now(), buf[:read]) {
			actions <- a
		}
		for _, a := range s.CheckTime(in.now()) {
			actions <- a
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}
	close(actions)
	writer.Wait()
}
