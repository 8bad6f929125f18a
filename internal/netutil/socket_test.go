package netutil

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

// switchLimiter accepts connections while open is set.
type switchLimiter struct{ open atomic.Bool }

func (l *switchLimiter) CanAccept() (canAccept, pauseStarted bool) { return l.open.Load(), false }

// serveName opens a socket that answers the first bytes of each connection with its name.
func serveName(t *testing.T, name string, limiter AcceptLimiter) *Socket {
	t.Helper()
	read := func(_ context.Context, c netpoll.Connection) error {
		c.Reader().Skip(c.Reader().Len())
		c.Reader().Release()
		_, err := c.Write([]byte(name + "\n"))
		return err
	}
	accept := func(netpoll.Connection) context.Context { return context.Background() }
	s, err := Listen("127.0.0.1:0", read, accept, time.Second, limiter, slog.New(slog.DiscardHandler))
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

// readAnswer returns the name with which a connection is answered, or "" if no answer arrives within the given time.
func readAnswer(c net.Conn, within time.Duration) string {
	c.SetReadDeadline(time.Now().Add(within))
	name, _ := bufio.NewReader(c).ReadString('\n')
	if name == "" {
		return ""
	}
	return name[:len(name)-1]
}

// Descriptors can run short several times during the life of a socket, and a socket can be closed during a shortage.
// Accepting pauses meanwhile and resumes once there is room, without any other effect.
func TestAcceptingThroughShortages(t *testing.T) {
	t.Run("a closed socket answers nobody", testCloseWhilePaused)
	t.Run("more than one shortage", testRepeatedShortage)
}

// testCloseWhilePaused closes a socket while accepting is paused. Clients of a later socket, whose descriptor may have
// the number of the closed one, must be answered by that socket only, and no goroutine of the closed socket may
// remain.
//
// The fault behind it (issue 39): the loop that retried to accept continued after the close, with a descriptor number
// that it no longer owned. The next socket of the process got that number, and its clients were answered by the closed
// socket: in TestAnswersByTheSpecifications a poll that should be refused as busy got "304 Not Modified", which the
// socket of the preceding test answers to every request.
func testCloseWhilePaused(t *testing.T) {
	before := runtime.NumGoroutine()
	for range 5 {
		shut := &switchLimiter{}
		first := serveName(t, "first", shut)
		pending := dial(t, first)
		time.Sleep(200 * time.Millisecond) // accepting is paused and retried periodically
		shut.open.Store(true)
		closeSocket(first)
		pending.Close()
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

// testRepeatedShortage causes several shortages of descriptors in a row. Each time accepting must pause without a
// growing number of goroutines, and clients that connect meanwhile must wait and be answered once there is room.
//
// The fault behind it (issue 39): netpoll removes a listener from its poll loop only on the first shortage. From the
// second one on it retried to accept in a busy loop and started one more retrying goroutine each time: 30,869 of them
// in 300 ms.
func testRepeatedShortage(t *testing.T) {
	limiter := &switchLimiter{}
	s := serveName(t, "here", limiter)
	defer closeSocket(s)
	for pause := range 4 {
		limiter.open.Store(false)
		pending := dial(t, s)
		before := runtime.NumGoroutine()
		if name := readAnswer(pending, 300*time.Millisecond); name != "" {
			t.Fatalf("pause %d: answered by %q while no connection may be accepted", pause, name)
		}
		if grown := runtime.NumGoroutine() - before; grown > 2 {
			t.Fatalf("pause %d: %d more goroutines after 300 ms, at most 2 allowed", pause, grown)
		}
		limiter.open.Store(true)
		if name := readAnswer(pending, 3*time.Second); name != "here" {
			t.Fatalf("pause %d: not answered within 3 s of the end of the shortage", pause)
		}
	}
}
