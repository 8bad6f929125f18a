package longpoll

import (
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"vetchwood/internal/budget"
	"vetchwood/internal/control"
)

func startWithBudget(t *testing.T, m budget.Resources, maxBody int) (*fakeCore, *budget.Budget, string) {
	d := &fakeCore{answer: func(in any) *control.Answer {
		if p, is := in.(control.Poll); is && p.Wait == 0 {
			return &control.Answer{Ticket: p.Ticket, Kind: control.Unchanged, Doc: newDocument(1, 1)}
		}
		return nil
	}}
	l := testLimits
	l.MaxBodyBytes, l.RequestTimeout, l.IdleTimeout, l.Budget = maxBody, time.Minute, time.Minute, budget.New(m)
	s, err := Listen("127.0.0.1:0", d, l, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	d.server = s
	l.Budget.OnEvict(s.CloseClient)
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	return d, l.Budget, s.Addr().String()
}

// Clients send long request bodies and never finish them. The connections that hold the most memory are closed, so that
// the memory held stays within its share. A pending poll and a proxy that polls meanwhile are not affected.
func TestBodiesThatNeverEnd(t *testing.T) {
	d, sharedBudget, address := startWithBudget(t, budget.Resources{Memory: 64 << 20, Descriptors: 1 << 20}, 1<<20)
	pending, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer pending.Close()
	pending.Write([]byte(getRequest("/v1/proxies/p1/tables", "Prefer: wait=20")))
	waitFor(t, "the poll", func() bool { p, _, _ := d.counts(); return p == 1 })
	var closed atomic.Int64
	for range 60 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		go func() {
			fmt.Fprintf(c, "POST /v1/proxies/p9/reports HTTP/1.1\r\nHost: d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", 1<<20)
			c.Write([]byte(strings.Repeat("x", 1<<20-1000)))
			c.SetReadDeadline(time.Now().Add(20 * time.Second))
			if _, err := c.Read(make([]byte, 1)); err != nil {
				closed.Add(1)
			}
		}()
	}
	waitFor(t, "the connections that hold the most to be closed", func() bool { return closed.Load() >= 40 })
	if f := sharedBudget.Stats(); f.HeldBytes > f.MaxHeldBytes || f.Evictions < 40 {
		t.Errorf("%+v", f)
	}
	if out := exchange(t, address, getRequest("/v1/proxies/p2/tables")); !strings.Contains(out, "304") {
		t.Errorf("answer to a proxy that polls meanwhile: %.80q", out)
	}
	if _, _, disconnects := d.counts(); disconnects != 0 {
		t.Error("the connection of the pending poll was closed")
	}
}

// At the connection limit, accepting pauses without a busy loop. The connections beyond it are accepted once others
// have been closed.
func TestAcceptingPauses(t *testing.T) {
	_, sharedBudget, address := startWithBudget(t, budget.Resources{Memory: 64 << 20, Descriptors: 64 + 20}, 4096)
	var open []net.Conn
	for range 40 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		open = append(open, c)
	}
	waitFor(t, "accepting to pause", func() bool { return sharedBudget.Stats().AcceptPaused })
	if f := sharedBudget.Stats(); f.Connections != 20 || f.AcceptPauses != 1 {
		t.Fatalf("%+v", f)
	}
	late := open[30]
	late.Write([]byte(getRequest("/v1/proxies/p2/tables")))
	late.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	if n, _ := late.Read(make([]byte, 10)); n > 0 {
		t.Fatal("a connection beyond the limit was answered")
	}
	for _, c := range open[:28] {
		c.Close()
	}
	late.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := late.Read(make([]byte, 10)); n == 0 {
		t.Fatal("not answered after other connections were closed: ", err)
	}
	waitFor(t, "accepting to resume", func() bool { return !sharedBudget.Stats().AcceptPaused })
}
