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

// discardStore is a store whose writes succeed immediately and are discarded.
type discardStore struct{}

func (discardStore) Load() (control.SavedState, error) {
	return control.SavedState{History: 7, Tables: map[logic.TableID]*tables.Table{}, Bound: map[logic.ProxyID][]logic.TableID{}}, nil
}
func (discardStore) Write([]control.Change) error { return nil }

// discardConn is a connection without a socket. Written data is buffered until Flush, which discards it.
type discardConn struct {
	netpoll.Connection
	buf *netpoll.LinkBuffer
}

func (s *discardConn) Writer() netpoll.Writer { return s }
func (s *discardConn) Malloc(n int) ([]byte, error) {
	return s.buf.Malloc(n)
}
func (s *discardConn) WriteBinary(b []byte) (int, error)            { return s.buf.WriteBinary(b) }
func (s *discardConn) WriteString(t string) (int, error)            { return s.buf.WriteString(t) }
func (s *discardConn) WriteByte(b byte) error                       { return s.buf.WriteByte(b) }
func (s *discardConn) WriteDirect(p []byte, n int) error            { return s.buf.WriteDirect(p, n) }
func (s *discardConn) MallocAck(n int) error                        { return s.buf.MallocAck(n) }
func (s *discardConn) MallocLen() int                               { return s.buf.MallocLen() }
func (s *discardConn) Append(w netpoll.Writer) error                { return s.buf.Append(w) }
func (s *discardConn) Close() error                                 { return nil }
func (s *discardConn) IsActive() bool                               { return true }
func (s *discardConn) AddCloseCallback(netpoll.CloseCallback) error { return nil }
func (s *discardConn) Flush() error {
	s.buf.Flush()
	s.buf.Skip(s.buf.Len())
	return s.buf.Release()
}

// startDirector returns a running director, its server, to which the given number of proxies has joined, and the entity
// tag of the current tables.
func startDirector(b testing.TB, proxies int) (*director.Director, *Server, string) {
	svc := control.Service{Zones: []string{"a"}, Pick: "lottery", ProxyNames: regexp.MustCompile("^p[0-9]+$"), Lease: 600000, MaxWait: 600000, MaxBases: 16,
		Routes: []control.RouteInfo{{Name: "read", Route: tables.Route{Level: tables.Level{Level: 1, RetryMode: 1}, Idempotency: "repeatable", SLOMs: 1000, TimeLimitMs: 3000}}},
		Config: logic.Config{Directors: 1, Proxies: 65000, Slices: 160, LinesPerSecond: 1e7, QueueLimit: 1e8, MessageOverhead: 1, Transit: 1, WorstTransit: 50,
			DrainGrace: 2000, WarmAfter: 1000, ColdFailAfter: 1500, ColdOverloadLimit: 3, ColdCapacity: 0.2, EmptyTableLimit: 2000, ReportInterval: 500, ReportLinesPerSecond: 100,
			MessageWindow: 10000, Levels: logic.LevelShare, Routes: []logic.Route{{SLO: 1000, TimeLimit: 3000, Importance: 1, Idempotency: logic.Idempotent}}}}
	d, err := director.New(svc, discardStore{}, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	l := testLimits
	l.MaxWait = 600000
	s, err := Listen("127.0.0.1:0", d.ForFront(0), l, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx, s) }()
	b.Cleanup(func() { stop(); <-ended; s.Close() })
	var hosts []control.HostEntry
	for i := range 78 {
		hosts = append(hosts, control.HostEntry{ID: fmt.Sprint(i), Address: tables.Address(fmt.Sprintf("10.0.0.%d:80", i)), Zone: "a", Cell: fmt.Sprint(i / 3), Weight: 1})
	}
	d.Post(control.HostList{Hosts: hosts})
	for d.Stats().Hosts == 0 || !d.Ready() {
		time.Sleep(5 * time.Millisecond)
	}
	for i := range proxies {
		p := &clientConn{conn: &discardConn{buf: netpoll.NewLinkBuffer()}}
		for pending := false; !pending; { // until the poll is admitted
			p.mu.Lock()
			p.buf = []byte(getRequest(fmt.Sprintf("/v1/proxies/p%d/tables", i)))
			s.processBuffered(p)
			pending = p.ticket != 0
			p.mu.Unlock()
			if !pending {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	for d.Stats().Joined < proxies {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond) // lets the decision module publish its first versions
	e := d.ForFront(0)
	return d, s, latestETag(b, d, e)
}

// latestETag returns the entity tag of the current tables.
func latestETag(b testing.TB, d *director.Director, e director.FrontHandle) string {
	a, err := d.Ask(context.Background(), func(t control.Ticket) any { return control.Watch{Ticket: t} })
	if err != nil || a.Doc == nil {
		b.Fatal(err, a)
	}
	return a.Doc.ETag()
}

// BenchmarkCores measures polls that acknowledge a version, from request bytes to response bytes without sockets, on
// the number of cores given by -cpu. The variant with one shared lock shows the cost of contention.
func BenchmarkCores(b *testing.B) {
	for _, shared := range []bool{false, true} {
		b.Run(map[bool]string{false: "lots", true: "one-lock"}[shared], func(b *testing.B) {
			const each, proxies = 32, 60000 // enough proxies that none exhausts its rate allowance
			d, s, tag := startDirector(b, proxies)
			var texts [][]byte
			for i := 0; i < proxies; i += each {
				var text strings.Builder
				for n := i; n < i+each; n++ {
					text.WriteString(getRequest(fmt.Sprintf("/v1/proxies/p%d/tables", n%proxies), "A-IM: json-patch", "If-None-Match: "+tag))
				}
				texts = append(texts, []byte(text.String()))
			}
			var one sync.Mutex
			var serial atomic.Uint64
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				p := &clientConn{conn: &discardConn{buf: netpoll.NewLinkBuffer()}}
				for pb.Next() {
					p.mu.Lock()
					if p.buf = texts[serial.Add(1)%uint64(len(texts))]; shared {
						one.Lock()
					}
					s.processBuffered(p)
					if shared {
						one.Unlock()
					}
					p.mu.Unlock()
				}
			})
			b.StopTimer()
			b.ReportMetric(float64(b.N*each)/b.Elapsed().Seconds(), "polls/s")
			if f := d.ShardStats(); b.N > 100 && (f.Unchanged < uint64(b.N)*each*9/10 || f.Limited > uint64(b.N)) {
				b.Fatalf("%+v of %d", f, b.N*each)
			}
		})
	}
}
