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
	"vetchwood/internal/inflow"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// wire writes answers some time after they are given, as sockets do, and remembers what was written with which host in it.
type slowFront struct {
	t       *testing.T
	d       *Director
	mu      sync.Mutex
	lastDoc map[string]*tables.Document
	// without is the newest version that was written without a host that was there before.
	removedAt map[tables.Address]tables.Step
	writes    int
	violation string // the first that was written out of turn
}

func (w *slowFront) Answer(a control.Answer) { go w.write(a) }

func (w *slowFront) write(a control.Answer) {
	time.Sleep(time.Duration(rand.IntN(8000)) * time.Microsecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	defer a.WriteFinished()
	if a.Doc == nil || a.Kind == control.Replaced {
		return
	}
	w.writes++
	offered := map[tables.Address]bool{}
	for _, table := range a.Doc.Tables {
		for h := range table.Lines {
			offered[h] = !a.Doc.Masked[h]
		}
	}
	for i := range 6 {
		h := address(i)
		if s := w.removedAt[h]; offered[h] && a.Doc.Step < s && w.violation == "" {
			w.violation = fmt.Sprintf("version %d offers %s, and is written after version %d, which does not", a.Doc.Step, h, s)
		} else if !offered[h] {
			w.removedAt[h] = max(s, a.Doc.Step)
		}
	}
	w.lastDoc[a.Origin.(string)] = a.Doc
}

func address(i int) tables.Address { return tables.Address(fmt.Sprintf("10.0.0.%d:80", i)) }

// Hosts drain and come back while proxies poll on all cores and answers are written late: once any has been written that does not
// offer a host, none is written that is older and does. Polls are ended, taken over and broken off meanwhile.
func TestARemovalIsABarrier(t *testing.T) {
	svc := service()
	svc.ProxyNames = regexp.MustCompile(`^p[0-9]+$`)
	svc.Facts.Proxies, svc.Facts.QueueLimit, svc.Facts.LinesPerSecond = 300, 1e7, 200000
	d, err := New(svc, &memoryStore{failAt: func(int) (bool, bool) { return false, false }}, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	w := &slowFront{t: t, d: d, lastDoc: map[string]*tables.Document{}, removedAt: map[tables.Address]tables.Step{}}
	ctx, stop := context.WithCancel(t.Context())
	ran := make(chan struct{})
	go func() { d.Run(ctx, w); close(ran) }()
	var all sync.WaitGroup
	polls, end := d.ForFront(0), time.Now().Add(2500*time.Millisecond)
	for worker := range 24 {
		all.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				name := fmt.Sprintf("p%d", worker*10+n%10)
				p := control.Poll{Ticket: polls.Ticket(), Origin: name, Proxy: name, Zone: "a", Wait: logic.Millis(max(0, rand.IntN(200)-150)), WantsDelta: true}
				w.mu.Lock()
				if doc := w.lastDoc[name]; doc != nil {
					p.Held = []tables.Tag{doc.Tag()}
				}
				w.mu.Unlock()
				if a, answered := d.poll(p); answered {
					w.write(a)
				}
				if n%97 == 0 {
					d.Post(control.Broke{Ticket: p.Ticket, Proxy: name})
				}
				time.Sleep(500 * time.Microsecond)
			}
		})
	}
	for i := 0; time.Now().Before(end); i++ {
		var hosts []control.Listed
		for h := range 6 {
			l := control.Listed{ID: fmt.Sprint(h), Address: address(h), Zone: "a", Cell: fmt.Sprint(h), Weight: 1}
			if h == i%6 {
				l.State = logic.Draining
			}
			hosts = append(hosts, l)
		}
		d.Post(control.List{Hosts: hosts})
		time.Sleep(120 * time.Millisecond)
	}
	all.Wait()
	lots := d.ShardStats()
	stop()
	<-ran
	w.mu.Lock()
	defer w.mu.Unlock()
	t.Logf("%d writes, %d removals, longest barrier %v, %d answers held, %d overdue", w.writes, d.Stats().Removals, lots.MaxBarrier, lots.Deferred, lots.Overdue)
	if w.violation != "" && lots.Overdue == 0 {
		t.Error(w.violation)
	}
	if d.Stats().Removals < 3 || w.writes < 500 {
		t.Errorf("%d removals, %d writes", d.Stats().Removals, w.writes)
	}
}

// A client that asks without end is limited by its own allowance, and a proxy that polls as it should does not feel it.
func TestOneBrokenClient(t *testing.T) {
	d, err := New(service(), &memoryStore{failAt: func(int) (bool, bool) { return false, false }}, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.Run(ctx, &discardFront{})
	e := d.ForFront(0)
	away := 0
	for range 2000 {
		if _, _, later := d.Poll(control.Poll{Ticket: e.Ticket(), Proxy: "p1", Zone: "a"}); later > 0 {
			away++
		}
		if later := d.Admit(inflow.Reports, "p1"); later == 0 {
			away--
		}
	}
	if _, _, later := d.Poll(control.Poll{Ticket: e.Ticket(), Proxy: "p2", Zone: "a"}); later > 0 {
		t.Error("another proxy is sent away")
	}
	if away < 1500 || d.ShardStats().Limited < 3000 {
		t.Errorf("%d of 2000 were sent away, %d in all", away, d.ShardStats().Limited)
	}
}
