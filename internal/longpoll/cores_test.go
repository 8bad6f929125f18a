package longpoll

import (
	"context"
	"fmt"
	"log/slog"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"vetchwood/internal/control"
	"vetchwood/internal/director"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// forgets is a store in which all writes hold at once.
type forgets struct{}

func (forgets) Load() (control.Saved, error) {
	return control.Saved{Line: 7, Tables: map[logic.TableID]*tables.Table{}, Bound: map[logic.ProxyID][]logic.TableID{}}, nil
}
func (forgets) Write([]control.Change) error { return nil }

// sink is a connection without a socket: what is written to it is counted and thrown away.
type sink struct {
	netpoll.Connection
	buf *netpoll.LinkBuffer
}

func (s *sink) Writer() netpoll.Writer { return s }
func (s *sink) Malloc(n int) ([]byte, error) {
	return s.buf.Malloc(n)
}
func (s *sink) WriteBinary(b []byte) (int, error)            { return s.buf.WriteBinary(b) }
func (s *sink) WriteString(t string) (int, error)            { return s.buf.WriteString(t) }
func (s *sink) WriteByte(b byte) error                       { return s.buf.WriteByte(b) }
func (s *sink) WriteDirect(p []byte, n int) error            { return s.buf.WriteDirect(p, n) }
func (s *sink) MallocAck(n int) error                        { return s.buf.MallocAck(n) }
func (s *sink) MallocLen() int                               { return s.buf.MallocLen() }
func (s *sink) Append(w netpoll.Writer) error                { return s.buf.Append(w) }
func (s *sink) Close() error                                 { return nil }
func (s *sink) IsActive() bool                               { return true }
func (s *sink) AddCloseCallback(netpoll.CloseCallback) error { return nil }
func (s *sink) Flush() error {
	s.buf.Flush()
	s.buf.Skip(s.buf.Len())
	return s.buf.Release()
}

// all gives a running director with a front, in which so many proxies have joined.
func running(b testing.TB, proxies int) (*director.Director, *Server, string) {
	svc := control.Service{Zones: []string{"a"}, Pick: "lottery", ProxyNames: regexp.MustCompile("^p[0-9]+$"), Lease: 600000, LongestWait: 600000, Kept: 16,
		Routes: []control.RouteInfo{{Name: "read", Route: tables.Route{Level: tables.Level{Level: 1, RetryMode: 1}, Idempotency: "repeatable", SLOMs: 1000, TimeLimitMs: 3000}}},
		Facts: logic.Config{Directors: 1, Proxies: 65000, Slices: 160, LinesPerSecond: 1e7, QueueLimit: 1e8, MessageOverhead: 1, Transit: 1, WorstTransit: 50,
			DrainGrace: 2000, WarmAfter: 1000, ColdFailAfter: 1500, ColdOverloadLimit: 3, ColdCapacity: 0.2, EmptyTableLimit: 2000, ReportInterval: 500, ReportLinesPerSecond: 100,
			MessageWindow: 10000, Levels: logic.LevelShare, Routes: []logic.Route{{SLO: 1000, TimeLimit: 3000, Importance: 1, Idempotency: logic.Idempotent}}}}
	d, err := director.New(svc, forgets{}, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	l := limits
	l.LongestWait = 600000
	s, err := Listen("127.0.0.1:0", d.Entrance(0), l, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx, s) }()
	b.Cleanup(func() { stop(); <-ended; s.Close() })
	var hosts []control.Listed
	for i := range 78 {
		hosts = append(hosts, control.Listed{ID: fmt.Sprint(i), Address: tables.Address(fmt.Sprintf("10.0.0.%d:80", i)), Zone: "a", Cell: fmt.Sprint(i / 3), Weight: 1})
	}
	d.Post(control.List{Hosts: hosts})
	for d.Figures().Hosts == 0 || !d.Ready() {
		time.Sleep(5 * time.Millisecond)
	}
	for i := range proxies {
		p := &peer{conn: &sink{buf: netpoll.NewLinkBuffer()}}
		for waits := false; !waits; { // until it is let in
			p.mu.Lock()
			p.in = []byte(get(fmt.Sprintf("/v1/proxies/p%d/tables", i)))
			s.turn(p)
			waits = p.ticket != 0
			p.mu.Unlock()
			if !waits {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	for d.Figures().Joined < proxies {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond) // the module's first versions
	e := d.Entrance(0)
	return d, s, latest(b, d, e)
}

// latest is the tag of what is told now.
func latest(b testing.TB, d *director.Director, e director.Entrance) string {
	a, err := d.Ask(context.Background(), func(t control.Ticket) any { return control.Watch{Ticket: t} })
	if err != nil || a.Doc == nil {
		b.Fatal(err, a)
	}
	return a.Doc.ETag()
}

// Polls that acknowledge, from their bytes to those of their answers, all but the sockets, on as many cores as -cpu says; and the
// same through one lock that all share, for the price of sharing.
func BenchmarkCores(b *testing.B) {
	for _, shared := range []bool{false, true} {
		b.Run(map[bool]string{false: "lots", true: "one-lock"}[shared], func(b *testing.B) {
			const each, proxies = 32, 60000 // so many that no client's allowance is used up
			d, s, tag := running(b, proxies)
			var texts [][]byte
			for i := 0; i < proxies; i += each {
				var text strings.Builder
				for n := i; n < i+each; n++ {
					text.WriteString(get(fmt.Sprintf("/v1/proxies/p%d/tables", n%proxies), "A-IM: json-patch", "If-None-Match: "+tag))
				}
				texts = append(texts, []byte(text.String()))
			}
			var one sync.Mutex
			var serial atomic.Uint64
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				p := &peer{conn: &sink{buf: netpoll.NewLinkBuffer()}}
				for pb.Next() {
					p.mu.Lock()
					if p.in = texts[serial.Add(1)%uint64(len(texts))]; shared {
						one.Lock()
					}
					s.turn(p)
					if shared {
						one.Unlock()
					}
					p.mu.Unlock()
				}
			})
			b.StopTimer()
			b.ReportMetric(float64(b.N*each)/b.Elapsed().Seconds(), "polls/s")
			if f := d.Lots(); b.N > 100 && (f.Unchangeds < uint64(b.N)*each*9/10 || f.Limited > uint64(b.N)) {
				b.Fatalf("%+v of %d", f, b.N*each)
			}
		})
	}
}
