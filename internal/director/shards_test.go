package director

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"regexp"
	"sync"
	"testing"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/loadshed"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// slowFront writes answers up to 8 ms after they are given, as sockets may, and checks the hosts in what is written.
type slowFront struct {
	t       *testing.T
	d       *Director
	mu      sync.Mutex
	lastDoc map[string]*tables.Document
	// removedAt holds, for each host, the newest version that was written without it.
	removedAt map[tables.Address]tables.Step
	writes    int
	violation string // the first answer that was written out of order
}

func (f *slowFront) Answer(a control.Answer) { go f.write(a) }

func (f *slowFront) write(a control.Answer) {
	time.Sleep(time.Duration(rand.IntN(8000)) * time.Microsecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	defer a.WriteFinished()
	if a.Doc == nil || a.Kind == control.Replaced {
		return
	}
	f.writes++
	present := map[tables.Address]bool{}
	for _, table := range a.Doc.Tables {
		for h := range table.Lines {
			present[h] = !a.Doc.Masked[h]
		}
	}
	for i := range 6 {
		h := address(i)
		if s := f.removedAt[h]; present[h] && a.Doc.Step < s && f.violation == "" {
			f.violation = fmt.Sprintf("version %d contains %s and is written after version %d, which does not", a.Doc.Step, h, s)
		} else if !present[h] {
			f.removedAt[h] = max(s, a.Doc.Step)
		}
	}
	f.lastDoc[a.Origin.(string)] = a.Doc
}

func address(i int) tables.Address { return tables.Address(fmt.Sprintf("10.0.0.%d:80", i)) }

// Hosts drain and return while proxies poll on all processors and answers are written late: once an answer without a host
// has been written, no older answer with that host is written. Meanwhile polls time out, are replaced, and lose their
// connections.
func TestARemovalIsABarrier(t *testing.T) {
	svc := service()
	svc.ProxyNames = regexp.MustCompile(`^p[0-9]+$`)
	svc.Config.Proxies, svc.Config.QueueLimit, svc.Config.LinesPerSecond = 300, 1e7, 200000
	d, err := New(svc, &memoryStore{failAt: func(int) (bool, bool) { return false, false }}, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	f := &slowFront{t: t, d: d, lastDoc: map[string]*tables.Document{}, removedAt: map[tables.Address]tables.Step{}}
	ctx, stop := context.WithCancel(t.Context())
	ran := make(chan struct{})
	go func() { d.Run(ctx, f); close(ran) }()
	var all sync.WaitGroup
	polls, end := d.ForFront(0), time.Now().Add(2500*time.Millisecond)
	for worker := range 24 {
		all.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				name := fmt.Sprintf("p%d", worker*10+n%10)
				p := control.Poll{Ticket: polls.Ticket(), Origin: name, Proxy: name, Zone: "a", Wait: logic.Millis(max(0, rand.IntN(200)-150)), WantsDelta: true}
				f.mu.Lock()
				if doc := f.lastDoc[name]; doc != nil {
					p.Held = []tables.Tag{doc.Tag()}
				}
				f.mu.Unlock()
				if a, answered := d.poll(p); answered {
					f.write(a)
				}
				if n%97 == 0 {
					d.Post(control.Disconnected{Ticket: p.Ticket, Proxy: name})
				}
				time.Sleep(500 * time.Microsecond)
			}
		})
	}
	for i := 0; time.Now().Before(end); i++ {
		var hosts []control.HostEntry
		for h := range 6 {
			l := control.HostEntry{ID: fmt.Sprint(h), Address: address(h), Zone: "a", Cell: fmt.Sprint(h), Weight: 1}
			if h == i%6 {
				l.State = logic.Draining
			}
			hosts = append(hosts, l)
		}
		d.Post(control.HostList{Hosts: hosts})
		time.Sleep(120 * time.Millisecond)
	}
	all.Wait()
	stats := d.ShardStats()
	stop()
	<-ran
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("%d writes, %d removals, longest barrier %v, %d answers deferred, %d overdue", f.writes, d.Stats().Removals, stats.MaxBarrier, stats.Deferred, stats.Overdue)
	if f.violation != "" && stats.Overdue == 0 {
		t.Error(f.violation)
	}
	if d.Stats().Removals < 3 || f.writes < 500 {
		t.Errorf("%d removals, want at least 3; %d writes, want at least 500", d.Stats().Removals, f.writes)
	}
}

// A client that sends requests without pause is limited by its own allowance, and another proxy is not affected.
func TestOneBrokenClient(t *testing.T) {
	d, err := New(service(), &memoryStore{failAt: func(int) (bool, bool) { return false, false }}, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.Run(ctx, &discardFront{})
	handle := d.ForFront(0)
	rejected := 0
	for range 2000 {
		if _, _, retryAfter := d.Poll(control.Poll{Ticket: handle.Ticket(), Proxy: "p1", Zone: "a"}); retryAfter > 0 {
			rejected++
		}
		if retryAfter := d.Admit(loadshed.Reports, "p1"); retryAfter == 0 {
			rejected--
		}
	}
	if _, _, retryAfter := d.Poll(control.Poll{Ticket: handle.Ticket(), Proxy: "p2", Zone: "a"}); retryAfter > 0 {
		t.Error("a poll of another proxy was rejected")
	}
	if rejected < 1500 || d.ShardStats().Limited < 3000 {
		t.Errorf("%d of 2000 polls rejected net of admitted reports, want at least 1500; %d rate-limited in all, want at least 3000",
			rejected, d.ShardStats().Limited)
	}
}
