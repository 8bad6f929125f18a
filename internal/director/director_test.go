package director

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/inflow"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// memory is a store that fails as it is told, before or after it has written.
type memory struct {
	mu     sync.Mutex
	writes int
	step   tables.Step
	fails  func(write int) (before, after bool)
}

func (m *memory) Load() (control.SavedState, error) {
	return control.SavedState{Line: 7, Tables: map[logic.TableID]*tables.Table{}, Bound: map[logic.ProxyID][]logic.TableID{}}, nil
}

func (m *memory) Write(all []control.Change) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	before, after := m.fails(m.writes)
	if before {
		return errors.New("no space left")
	}
	for _, c := range all {
		m.step = max(m.step, c.Step)
	}
	if after {
		return errors.New("written, and then failed")
	}
	return nil
}

func (m *memory) stored() tables.Step { m.mu.Lock(); defer m.mu.Unlock(); return m.step }

// front polls for one proxy without end and keeps what it was told.
type front struct {
	d    *Director
	m    *memory
	mu   sync.Mutex
	told tables.Step
	bad  string
}

func (f *front) Answer(a control.Answer) {
	if a.Doc == nil {
		return
	}
	f.mu.Lock()
	if stored := f.m.stored(); a.Doc.Step > stored {
		f.bad = fmt.Sprintf("version %d is told, %d is stored", a.Doc.Step, stored)
	}
	f.told = max(f.told, a.Doc.Step)
	f.mu.Unlock()
	go f.d.Post(control.Poll{Ticket: f.d.Entrance(0).Ticket(), Proxy: "p1", Zone: "a", Held: []tables.Tag{a.Doc.Tag()}, Wait: 5000, WantsDelta: true})
}

func service() control.Service {
	return control.Service{Zones: []string{"a"}, Pick: "lottery", ProxyNames: regexp.MustCompile("p[0-9]"), Lease: 5000, MaxWait: 5000, MaxBases: 16,
		Routes: []control.RouteInfo{{Name: "read", Route: tables.Route{Level: tables.Level{Level: 1, Tries: 1}, Repeat: "repeatable", SLOMs: 1000, TimeLimitMs: 3000}}},
		Config: logic.Config{Directors: 1, Proxies: 4, Slices: 8, LinesPerSecond: 5000, QueueLimit: 5000, MessageOverhead: 4, Transit: 5, WorstTransit: 50,
			DrainGrace: 2000, WarmAfter: 10000, ColdFailAfter: 1500, ColdOverloadLimit: 3, ColdCapacity: 0.2, EmptyTableLimit: 2000, ReportInterval: 500, ReportLinesPerSecond: 100,
			MessageWindow: 10000, Levels: logic.LevelShare, Routes: []logic.Route{{SLO: 1000, TimeLimit: 3000, Importance: 1, Idempotency: logic.Idempotent}}}}
}

// A write fails at each of the first dozen, before or after it took place, once or for a while: nothing is ever told that
// is not stored, and the day goes on once writes hold again.
func TestAStoreThatFails(t *testing.T) {
	var all sync.WaitGroup
	for at := 1; at <= 6; at++ {
		for _, long := range []int{1, 3} {
			for _, late := range []bool{false, true} {
				all.Add(1)
				go func() {
					defer all.Done()
					m := &memory{fails: func(n int) (bool, bool) {
						failing := n >= at && n < at+long
						return failing && !late, failing && late
					}}
					d, err := New(service(), m, func(context.Context, tables.Address) (bool, logic.Load) { return true, logic.Load{} }, slog.New(slog.DiscardHandler))
					if err != nil {
						t.Error(err)
						return
					}
					f := &front{d: d, m: m}
					ctx, stop := context.WithCancel(context.Background())
					done := make(chan error, 1)
					go func() { done <- d.Run(ctx, f) }()
					d.Post(control.Poll{Ticket: d.Entrance(0).Ticket(), Proxy: "p1", Zone: "a"})
					var last tables.Step
					for i := range 8 {
						var hosts []control.HostEntry
						for h := range 4 {
							l := control.HostEntry{ID: fmt.Sprint(h), Address: tables.Address(fmt.Sprintf("10.0.0.%d:80", h)), Zone: "a", Cell: fmt.Sprint(h)}
							if h == i%4 {
								l.State = logic.Draining
							}
							hosts = append(hosts, l)
						}
						d.Post(control.HostList{Hosts: hosts})
						time.Sleep(150 * time.Millisecond)
					}
					for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
						f.mu.Lock()
						last = f.told
						f.mu.Unlock()
						if last > 3 && last == m.stored() {
							break
						}
					}
					stop()
					if err := <-done; err != nil {
						t.Errorf("failing at write %d for %d: %v", at, long, err)
					}
					f.mu.Lock()
					defer f.mu.Unlock()
					if f.bad != "" || f.told < 3 {
						t.Errorf("failing at write %d for %d: told %d; %s", at, long, f.told, f.bad)
					}
				}()
			}
		}
	}
	all.Wait()
}

// A store that never holds again ends the director, so that whoever watches it knows.
func TestAStoreThatFailsForGood(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	m := &memory{fails: func(int) (bool, bool) { return true, false }}
	d, err := New(service(), m, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	if err := d.Run(ctx, &front{d: d, m: m}); !errors.Is(err, ErrStore) || d.Ready() {
		t.Fatalf("%v, ready %v", err, d.Ready())
	}
}

// nowhere is a front whose clients have all gone.
type nowhere struct{ n atomic.Int64 }

func (f *nowhere) Answer(control.Answer) { f.n.Add(1) }

// New polls come from more clients than the loop can answer, as when a whole fleet has lost its tables. The door sends the
// rest away with a time of their own; what acknowledges is let in, and the loop goes on turning.
func TestAStormAtTheDoor(t *testing.T) {
	svc := service()
	svc.ProxyNames = regexp.MustCompile(`^p[0-9]+$`)
	svc.Config.Proxies, svc.Config.QueueLimit = 20000, 1e7
	d, err := New(svc, &memory{fails: func(int) (bool, bool) { return false, false }}, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ran := make(chan struct{})
	f := &nowhere{}
	go func() { d.Run(ctx, f); close(ran) }()
	d.Post(control.HostList{Hosts: []control.HostEntry{{ID: "h", Address: "10.0.0.1:80", Zone: "a", Weight: 1}}})
	e := d.Entrance(0)
	var in, away, acknowledged, kept int
	for end, i := time.Now().Add(2*time.Second), 0; time.Now().Before(end); i++ {
		name := "p" + strconv.Itoa(i%20000)
		if later := d.Admit(inflow.NewPolls, name); later > 0 {
			if away++; later < 400*time.Millisecond {
				t.Fatalf("told to come again after %v", later)
			}
		} else {
			in++
			e.Post(control.Poll{Ticket: e.Ticket(), Proxy: name, Zone: "a", Wait: 20000})
		}
		if i%50 == 0 {
			if acknowledged++; d.Admit(inflow.Polls, "") == 0 {
				kept++
			}
		}
	}
	t.Logf("%d came in, %d were sent away; longest turn %v; pressure %.2f", in, away, d.LongestTurn(), d.Inflow().Pressure)
	stop()
	<-ran
	if kept != acknowledged || away == 0 {
		t.Errorf("%d of %d acknowledgements came in, %d new polls were sent away", kept, acknowledged, away)
	}
}
