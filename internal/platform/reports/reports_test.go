package reports

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"vetchwood/internal/budget"
	"vetchwood/internal/platform/codec"
	"vetchwood/internal/wire"
	"vetchwood/logic"
)

const report = `{"t":"heat","shard":1,"route":"read","total":1,"errors":0,"interval":500}` + "\n"

// serve starts a server with the number of descriptors. It returns the server and the count of messages posted so far.
func serve(t *testing.T, descriptors int) (s *Server, messages *atomic.Int64) {
	t.Helper()
	return serveWith(t, budget.Resources{Memory: 32 << 20, Descriptors: descriptors})
}

// serveWith is like serve, with explicit limits of memory and descriptors.
func serveWith(t *testing.T, m budget.Resources) (s *Server, messages *atomic.Int64) {
	t.Helper()
	schema := codec.NewSchema(logic.Config{Proxies: 4, Slices: 8, Routes: make([]logic.Route, 1)}, wire.Names{Routes: []string{"read"}, Zones: []string{"a", "b"}})
	messages = &atomic.Int64{}
	s, err := Listen("127.0.0.1:0", schema, budget.New(m), func(in ...any) { messages.Add(int64(len(in))) },
		slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	return s, messages
}

// dial connects to the server and sends the first bytes.
func dial(t *testing.T, s *Server, first string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	io.WriteString(c, first)
	return c
}

// waitUntil fails the test if the condition does not hold within the duration.
func waitUntil(t *testing.T, what string, d time.Duration, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(d); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting for %s", d, what)
		}
	}
}

// readUntilClosed returns what a connection receives until it is closed, which must happen within the duration.
func readUntilClosed(t *testing.T, c net.Conn, d time.Duration) string {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(d))
	got, err := io.ReadAll(c)
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		t.Fatalf("still open after %v; got %q", d, got)
	}
	return string(got)
}

func TestPingIsAnsweredAndUnjoinedConnectionThenCloses(t *testing.T) {
	s, _ := serve(t, 1024)
	c := dial(t, s, `{"t":"ping"}`+"\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || line != `{"t":"pong"}`+"\n" {
		t.Fatalf("%q, %v", line, err)
	}
	readUntilClosed(t, c, 2*time.Second)
}

func TestUnjoinedConnectionsAreRefusedForInvalidInput(t *testing.T) {
	s, messages := serve(t, 1024)
	for _, input := range []string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", report, `{"t":"joined","node":1,"locality":"a","w":1}` + "\n",
		`{"t":"collector","locality":"moon"}` + "\n", `{"verb":"clear","cluster":1}` + "\n", "\x00\x01\x02\n", `{"t":"col`,
		strings.Repeat("x", 100_000), strings.Repeat("\n", 10), strings.Repeat(`{"t":"ping"}`+"\n", 500)} {
		readUntilClosed(t, dial(t, s, input), 2*time.Second)
	}
	if n := messages.Load(); n != 0 {
		t.Errorf("%d messages were accepted from connections that had not joined", n)
	}
	if f := s.Stats(); f.RefusedConns < 9 {
		t.Errorf("%+v", f)
	}
}

func TestInvalidReportIsDroppedAndUnreadableDataClosesConnection(t *testing.T) {
	s, messages := serve(t, 1024)
	c := dial(t, s, `{"t":"collector","locality":"a"}`+"\n"+report+`{"t":"heat","shard":99}`+"\n"+report[:20])
	waitUntil(t, "the first report", time.Second, func() bool { return messages.Load() == 1 && s.Stats().DroppedReports == 1 })
	io.WriteString(c, report[20:])
	waitUntil(t, "the report in pieces", time.Second, func() bool { return messages.Load() == 2 })
	io.WriteString(c, "%%%\n"+report)
	readUntilClosed(t, c, time.Second)
	if messages.Load() != 2 {
		t.Errorf("%d messages were accepted, want 2", messages.Load())
	}
}

func TestReconnectingCollectorReplacesIdleConnection(t *testing.T) {
	s, messages := serve(t, 1024)
	first := dial(t, s, `{"t":"collector","locality":"a"}`+"\n"+report)
	for i := range maxConnsPerZone {
		waitUntil(t, "the report of the previous connection", time.Second, func() bool { return messages.Load() == int64(i+1) })
		dial(t, s, `{"t":"collector","locality":"a"}`+"\n"+report)
	}
	readUntilClosed(t, first, time.Second) // the connection that was idle for longest is closed
	waitUntil(t, "all reports", time.Second, func() bool { return messages.Load() == maxConnsPerZone+1 })
}

// The two incomplete lines exceed the memory that all connections may hold together. The connection that holds the
// most is closed, and the other one keeps working.
func TestLargestBufferIsEvictedWhenMemoryIsShort(t *testing.T) {
	s, messages := serveWith(t, budget.Resources{Memory: 2 << 20, Descriptors: 1024})
	small := dial(t, s, `{"t":"collector","locality":"a"}`+"\n"+report[:40])
	large := dial(t, s, `{"t":"collector","locality":"b"}`+"\n"+strings.Repeat("x", 600_000))
	readUntilClosed(t, large, time.Second)
	io.WriteString(small, report[40:])
	waitUntil(t, "the report of the other collector", time.Second, func() bool { return messages.Load() == 1 })
}

// Hundreds of clients connect and send nothing, an incomplete message, or a ping. Collectors are served meanwhile, and
// all descriptors and goroutines are released afterwards.
func TestFloodOfUnjoinedConnectionsDoesNotAffectCollectors(t *testing.T) {
	s, messages := serve(t, 256)
	openFiles := func() int { fds, _ := os.ReadDir("/proc/self/fd"); return len(fds) }
	filesBefore, goroutinesBefore := openFiles(), runtime.NumGoroutine()
	c := dial(t, s, `{"t":"collector","locality":"a"}`+"\n")
	var flood []net.Conn
	for i := range 600 {
		flood = append(flood, dial(t, s, []string{"", `{"t":"he`, `{"t":"ping"}` + "\n"}[i%3]))
		if i%10 == 0 {
			fmt.Fprint(c, report)
		}
		if f := s.Stats(); f.Open > 256-64 {
			t.Fatalf("%d connections are held", f.Open)
		}
	}
	late := dial(t, s, `{"t":"collector","locality":"b"}`+"\n"+report) // a collector that connects during the flood
	waitUntil(t, "all reports", time.Second, func() bool { return messages.Load() == 61 })
	for _, c := range flood {
		readUntilClosed(t, c, 2*time.Second)
		c.Close()
	}
	if f := s.Stats(); f.Open != 2 || f.Unjoined != 0 {
		t.Errorf("%+v", f)
	}
	c.Close()
	late.Close()
	waitUntil(t, "all descriptors and goroutines to be released", 3*time.Second, func() bool {
		return openFiles() <= filesBefore+2 && runtime.NumGoroutine() <= goroutinesBefore+8
	})
}
