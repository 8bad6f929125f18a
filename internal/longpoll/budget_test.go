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

func bounded(t *testing.T, m budget.Means, most int) (*desk, *budget.Ledger, string) {
	d := &desk{answer: func(in any) *control.Answer {
		if p, is := in.(control.Poll); is && p.Wait == 0 {
			return &control.Answer{Ticket: p.Ticket, Kind: control.Unchanged, Doc: document(1, 1)}
		}
		return nil
	}}
	l := limits
	l.MaxBodyBytes, l.RequestTimeout, l.IdleTimeout, l.Budget = most, time.Minute, time.Minute, budget.New(m)
	s, err := Listen("127.0.0.1:0", d, l, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	d.front = s
	l.Budget.Cuts(s.CloseClient)
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	return d, l.Budget, s.Addr().String()
}

// Clients send long bodies that never end. Those go that hold most; what is held stays within its share, and a proxy whose poll
// waits, and one that polls, feel nothing.
func TestBodiesThatNeverEnd(t *testing.T) {
	d, ledger, at := bounded(t, budget.Means{Memory: 64 << 20, Descriptors: 1 << 20}, 1<<20)
	waits, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer waits.Close()
	waits.Write([]byte(get("/v1/proxies/p1/tables", "Prefer: wait=20")))
	await(t, "the poll", func() bool { p, _, _ := d.seen(); return p == 1 })
	var cut atomic.Int64
	for range 60 {
		c, err := net.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		go func() {
			fmt.Fprintf(c, "POST /v1/proxies/p9/reports HTTP/1.1\r\nHost: d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", 1<<20)
			c.Write([]byte(strings.Repeat("x", 1<<20-1000)))
			c.SetReadDeadline(time.Now().Add(20 * time.Second))
			if _, err := c.Read(make([]byte, 1)); err != nil {
				cut.Add(1)
			}
		}()
	}
	await(t, "those that hold most to go", func() bool { return cut.Load() >= 40 })
	if f := ledger.Figures(); f.Held > f.Bytes || f.Cuts < 40 {
		t.Errorf("%+v", f)
	}
	if out := talk(t, at, get("/v1/proxies/p2/tables")); !strings.Contains(out, "304") {
		t.Errorf("a proxy that polls meanwhile: %.80q", out)
	}
	if _, _, broke := d.seen(); broke != 0 {
		t.Error("a poll that waits was cut")
	}
}

// As many connections as may be open are: the next ones wait, nothing spins, and they are taken once there is room.
func TestAcceptingPauses(t *testing.T) {
	_, ledger, at := bounded(t, budget.Means{Memory: 64 << 20, Descriptors: 64 + 20}, 4096)
	var open []net.Conn
	for range 40 {
		c, err := net.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		open = append(open, c)
	}
	await(t, "accepting to pause", func() bool { return ledger.Figures().Paused })
	if f := ledger.Figures(); f.Open != 20 || f.Pauses != 1 {
		t.Fatalf("%+v", f)
	}
	late := open[30]
	late.Write([]byte(get("/v1/proxies/p2/tables")))
	late.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	if n, _ := late.Read(make([]byte, 10)); n > 0 {
		t.Fatal("answered past what may be open")
	}
	for _, c := range open[:28] {
		c.Close()
	}
	late.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := late.Read(make([]byte, 10)); n == 0 {
		t.Fatal("not answered with room again: ", err)
	}
	await(t, "accepting to go on", func() bool { return !ledger.Figures().Paused })
}
