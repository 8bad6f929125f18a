package collect

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

func serve(t *testing.T, descriptors int) (s *Server, notes *atomic.Int64) {
	t.Helper()
	return serveWith(t, budget.Means{Memory: 32 << 20, Descriptors: descriptors})
}

func serveWith(t *testing.T, m budget.Means) (s *Server, notes *atomic.Int64) {
	t.Helper()
	n := codec.NewNames(logic.Config{Proxies: 4, Slices: 8, Routes: make([]logic.Route, 1)}, wire.Names{Routes: []string{"read"}, Zones: []string{"a", "b"}})
	notes = &atomic.Int64{}
	s, err := Listen("127.0.0.1:0", n, budget.New(m), func(in ...any) { notes.Add(int64(len(in))) },
		slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	return s, notes
}

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

func within(t *testing.T, what string, d time.Duration, is func() bool) {
	t.Helper()
	for end := time.Now().Add(d); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", d, what)
		}
	}
}

// left says what a connection got until its end, which must come in time.
func left(t *testing.T, c net.Conn, d time.Duration) string {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(d))
	got, err := io.ReadAll(c)
	if e, is := err.(net.Error); is && e.Timeout() {
		t.Fatalf("still open after %v; got %q", d, got)
	}
	return string(got)
}

func TestASignOfLifeIsAnsweredAndTheStrangerThenGoes(t *testing.T) {
	s, _ := serve(t, 1024)
	c := dial(t, s, `{"t":"ping"}`+"\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || line != `{"t":"pong"}`+"\n" {
		t.Fatalf("%q, %v", line, err)
	}
	left(t, c, 2*time.Second)
}

func TestStrangersAreRefusedForWhatTheySay(t *testing.T) {
	s, notes := serve(t, 1024)
	for _, what := range []string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", report, `{"t":"joined","node":1,"locality":"a","w":1}` + "\n",
		`{"t":"collector","locality":"moon"}` + "\n", `{"verb":"clear","cluster":1}` + "\n", "\x00\x01\x02\n", `{"t":"col`,
		strings.Repeat("x", 100_000), strings.Repeat("\n", 10), strings.Repeat(`{"t":"ping"}`+"\n", 500)} {
		left(t, dial(t, s, what), 2*time.Second)
	}
	if n := notes.Load(); n != 0 {
		t.Errorf("%d notes came of strangers", n)
	}
	if f := s.Figures(); f.Turned < 9 {
		t.Errorf("%+v", f)
	}
}

func TestASpoiltReportIsDroppedAloneAndUnreadableDataEndsItsConnection(t *testing.T) {
	s, notes := serve(t, 1024)
	c := dial(t, s, `{"t":"collector","locality":"a"}`+"\n"+report+`{"t":"heat","shard":99}`+"\n"+report[:20])
	within(t, "the first report", time.Second, func() bool { return notes.Load() == 1 && s.Figures().Dropped == 1 })
	io.WriteString(c, report[20:])
	within(t, "the report in pieces", time.Second, func() bool { return notes.Load() == 2 })
	io.WriteString(c, "%%%\n"+report)
	left(t, c, time.Second)
	if notes.Load() != 2 {
		t.Errorf("%d notes", notes.Load())
	}
}

func TestACollectorThatComesBackIsTakenThoughItsFormerConnectionSeemsOpen(t *testing.T) {
	s, notes := serve(t, 1024)
	first := dial(t, s, `{"t":"collector","locality":"a"}`+"\n"+report)
	for i := range perZone {
		within(t, "the one before", time.Second, func() bool { return notes.Load() == int64(i+1) })
		dial(t, s, `{"t":"collector","locality":"a"}`+"\n"+report)
	}
	left(t, first, time.Second) // the one that was quiet for longest went
	within(t, "all reports", time.Second, func() bool { return notes.Load() == perZone+1 })
}

// Half a line of each is more than all may hold together: who holds most goes, and the other is served on.
func TestWhoHoldsMostGoesWhereMemoryIsShort(t *testing.T) {
	s, notes := serveWith(t, budget.Means{Memory: 2 << 20, Descriptors: 1024})
	small := dial(t, s, `{"t":"collector","locality":"a"}`+"\n"+report[:40])
	large := dial(t, s, `{"t":"collector","locality":"b"}`+"\n"+strings.Repeat("x", 600_000))
	left(t, large, time.Second)
	io.WriteString(small, report[40:])
	within(t, "the report of the other", time.Second, func() bool { return notes.Load() == 1 })
}

// Hundreds connect and say nothing, or half a message, or never end; the collector is served meanwhile, and nothing stays behind.
func TestAFloodOfStrangersCostsCollectorsNothing(t *testing.T) {
	s, notes := serve(t, 256)
	held := func() int { fds, _ := os.ReadDir("/proc/self/fd"); return len(fds) }
	before, routines := held(), runtime.NumGoroutine()
	c := dial(t, s, `{"t":"collector","locality":"a"}`+"\n")
	var all []net.Conn
	for i := range 600 {
		all = append(all, dial(t, s, []string{"", `{"t":"he`, `{"t":"ping"}` + "\n"}[i%3]))
		if i%10 == 0 {
			fmt.Fprint(c, report)
		}
		if f := s.Figures(); f.Open > 256-64 {
			t.Fatalf("%d connections are held", f.Open)
		}
	}
	late := dial(t, s, `{"t":"collector","locality":"b"}`+"\n"+report) // one that comes in the middle of it
	within(t, "all reports", time.Second, func() bool { return notes.Load() == 61 })
	for _, c := range all {
		left(t, c, 2*time.Second)
		c.Close()
	}
	if f := s.Figures(); f.Open != 2 || f.Strangers != 0 {
		t.Errorf("%+v", f)
	}
	c.Close()
	late.Close()
	within(t, "nothing to stay behind", 3*time.Second, func() bool { return held() <= before+2 && runtime.NumGoroutine() <= routines+8 })
}
