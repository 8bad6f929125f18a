package nets

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// switchGate lets connections in while it is open.
type switchLimiter struct{ open atomic.Bool }

func (g *switchLimiter) May() (may, began bool) { return g.open.Load(), false }

// answering is a socket that answers each connection's first bytes with its name.
func serveName(t *testing.T, name string, gate AcceptLimiter) *Socket {
	t.Helper()
	read := func(_ context.Context, c netpoll.Connection) error {
		c.Reader().Skip(c.Reader().Len())
		c.Reader().Release()
		_, err := c.Write([]byte(name + "\n"))
		return err
	}
	accept := func(netpoll.Connection) context.Context { return context.Background() }
	s, err := Listen("127.0.0.1:0", read, accept, time.Second, gate, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	return s
}

func closeSocket(s *Socket) { s.Close(func(func(netpoll.Connection)) {}) }

func dial(t *testing.T, s *Socket) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err = io.WriteString(c, "who\n"); err != nil {
		t.Fatal(err)
	}
	return c
}

// answerOf is the name by which a connection is answered; empty: it was not within that time.
func readAnswer(c net.Conn, within time.Duration) string {
	c.SetReadDeadline(time.Now().Add(within))
	name, _ := bufio.NewReader(c).ReadString('\n')
	if name == "" {
		return ""
	}
	return name[:len(name)-1]
}

// Descriptors run short now and then in the life of a socket, and a socket may be closed while they are short. Accepting pauses
// then and goes on once there is room; nothing else changes for anybody.
func TestAcceptingThroughShortages(t *testing.T) {
	t.Run("a closed socket answers nobody", testCloseWhilePaused)
	t.Run("more than one shortage", testRepeatedShortage)
}

// closedWhilePaused closes a socket while accepting pauses. Whoever connects to a later socket, whose descriptor may have the
// number of the closed one, is answered by that later socket alone, and nothing of the closed one goes on.
//
// What happened (issue 39): the loop that tried to accept again went on after the close, with the number of a descriptor that was
// no longer its own. The next socket of the same process got that number, and its clients were answered by the closed one: in
// TestAnswersByTheSpecifications a poll to be refused as busy got "304 Not Modified", which the socket of the test that runs
// before it answers to all.
func testCloseWhilePaused(t *testing.T) {
	before := runtime.NumGoroutine()
	for range 5 {
		shut := &switchLimiter{}
		first := serveName(t, "first", shut)
		waits := dial(t, first)
		time.Sleep(200 * time.Millisecond) // accepting pauses, and is tried again now and then
		shut.open.Store(true)
		closeSocket(first)
		waits.Close()
		open := &switchLimiter{}
		open.open.Store(true)
		second := serveName(t, "second", open)
		for began := time.Now(); time.Since(began) < 1500*time.Millisecond; time.Sleep(5 * time.Millisecond) {
			if name := readAnswer(dial(t, second), time.Second); name != "second" {
				t.Fatalf("a client of the second socket was answered by %q", name)
			}
		}
		closeSocket(second)
	}
	for end := time.Now().Add(5 * time.Second); runtime.NumGoroutine() > before+2; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines before, %d after all sockets were closed", before, runtime.NumGoroutine())
		}
	}
}

// shortMoreThanOnce has descriptors run short more than once. Each time accepting pauses without work that grows, those who
// connect meanwhile wait, and they are answered once there is room.
//
// What happened (issue 39): netpoll takes a listener out of its loop for the first shortage only. From the second on it asked for
// a connection without end, and each time started one more goroutine that tried again: 30,869 of them in 300 ms.
func testRepeatedShortage(t *testing.T) {
	gate := &switchLimiter{}
	s := serveName(t, "here", gate)
	defer closeSocket(s)
	for pause := range 4 {
		gate.open.Store(false)
		waits := dial(t, s)
		before := runtime.NumGoroutine()
		if name := readAnswer(waits, 300*time.Millisecond); name != "" {
			t.Fatalf("pause %d: answered by %q while nobody may come in", pause, name)
		}
		if grown := runtime.NumGoroutine() - before; grown > 2 {
			t.Fatalf("pause %d: %d goroutines more after 300 ms", pause, grown)
		}
		gate.open.Store(true)
		if name := readAnswer(waits, 3*time.Second); name != "here" {
			t.Fatalf("pause %d: not answered once there was room", pause)
		}
	}
}
