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
	"vetchwood/internal/loadshed"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// memoryStore is a store in memory whose writes fail as failAt says: before or after the write took effect.
type memoryStore struct {
	mu     sync.Mutex
	writes int
	step   tables.Step
	failAt func(write int) (before, after bool)
}

func (m *memoryStore) Load() (control.SavedState, error) {
	return control.SavedState{History: 7, Tables: map[logic.TableID]*tables.Table{}, Bound: map[logic.ProxyID][]logic.TableID{}}, nil
}

func (m *memoryStore) Write(all []control.Change) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	failBefore, failAfter := m.failAt(m.writes)
	if failBefore {
		return errors.New("no space left")
	}
	for _, c := range all {
		m.step = max(m.step, c.Step)
	}
	if failAfter {
		return errors.New("error after the write took effect")
	}
	return nil
}

func (m *memoryStore) stored() tables.Step { m.mu.Lock(); defer m.mu.Unlock(); return m.step }

// pollingFront polls continuously for one proxy and records the newest version that it got.
type pollingFront struct {
	d         *Director
	store     *memoryStore
	mu        sync.Mutex
	newest    tables.Step
	violation string
}

func (f *pollingFront) Answer(a control.Answer) {
	if a.Doc == nil {
		return
	}
	f.mu.Lock()
	if stored := f.store.stored(); a.Doc.Step > stored {
		f.violation = fmt.Sprintf("version %d is published, only %d is stored", a.Doc.Step, stored)
	}
	f.newest = max(f.newest, a.Doc.Step)
	f.mu.Unlock()
	go f.d.Post(control.Poll{Ticket: f.d.ForFront(0).Ticket(), Proxy: "p1", Zone: "a", Held: []tables.Tag{a.Doc.Tag()}, Wait: 5000, WantsDelta: true})
}

func service() control.Service {
	return control.Service{Zones: []string{"a"}, Pick: "lottery", ProxyNames: regexp.MustCompile("p[0-9]"), Lease: 5000, MaxWait: 5000, MaxBases: 16,
		Routes: []control.RouteInfo{{Name: "read", Route: tables.Route{Level: tables.Level{Level: 1, RetryMode: 1}, Idempotency: "repeatable", SLOMs: 1000, TimeLimitMs: 3000}}},
		Config: logic.Config{Directors: 1, Proxies: 4, Slices: 8, LinesPerSecond: 5000, QueueLimit: 5000, MessageOverhead: 4, Transit: 5, WorstTransit: 50,
			DrainGrace: 2000, WarmAfter: 10000, ColdFailAfter: 1500, ColdOverloadLimit: 3, ColdCapacity: 0.2, EmptyTableLimit: 2000, ReportInterval: 500, ReportLinesPerSecond: 100,
			MessageWindow: 10000, Levels: logic.LevelShare, Routes: []logic.Route{{SLO: 1000, TimeLimit: 3000, Importance: 1, Idempotency: logic.Idempotent}}}}
}

// Writes to the store fail from each of the first six on, once or three times in a row, before or after they took effect:
// no version is published before it is stored, and publishing resumes once writes succeed again.
func TestAStoreThatFails(t *testing.T) {
	var all sync.WaitGroup
	for at := 1; at <= 6; at++ {
		for _, count := range []int{1, 3} {
			for _, afterWrite := range []bool{false, true} {
				all.Add(1)
				go func() {
					defer all.Done()
					m := &memoryStore{failAt: func(n int) (bool, bool) {
						failing := n >= at && n < at+count
						return failing && !afterWrite, failing && afterWrite
					}}
					d, err := New(service(), m, func(context.Context, tables.Address) (bool, logic.Load) { return true, logic.Load{} }, slog.New(slog.DiscardHandler))
					if err != nil {
						t.Error(err)
						return
					}
					f := &pollingFront{d: d, store: m}
					ctx, stop := context.WithCancel(context.Background())
					done := make(chan error, 1)
					go func() { done <- d.Run(ctx, f) }()
					d.Post(control.Poll{Ticket: d.ForFront(0).Ticket(), Proxy: "p1", Zone: "a"})
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
						last = f.newest
						f.mu.Unlock()
						if last > 3 && last == m.stored() {
							break
						}
					}
					stop()
					if err := <-done; err != nil {
						t.Errorf("failing at write %d, %d times: %v", at, count, err)
					}
					f.mu.Lock()
					defer f.mu.Unlock()
					if f.violation != "" || f.newest < 3 {
						t.Errorf("failing at write %d, %d times: newest version %d, want at least 3; %s", at, count, f.newest, f.violation)
					}
				}()
			}
		}
	}
	all.Wait()
}

// A store whose writes fail permanently ends the director with ErrStore, so that its supervisor notices.
func TestAStoreThatFailsForGood(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	m := &memoryStore{failAt: func(int) (bool, bool) { return true, false }}
	d, err := New(service(), m, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	if err := d.Run(ctx, &pollingFront{d: d, store: m}); !errors.Is(err, ErrStore) || d.Ready() {
		t.Fatalf("error %v, ready %v", err, d.Ready())
	}
}

// discardFront is a front whose clients are all gone: it only counts answers.
type discardFront struct{ answers atomic.Int64 }

func (f *discardFront) Answer(control.Answer) { f.answers.Add(1) }

// New polls come from more clients than the loop can serve, as when a whole fleet has lost its tables. Admission control
// rejects the excess with a randomized delay of at least 400 ms each and admits all acknowledging polls.
func TestNewPollsAreShedUnderOverload(t *testing.T) {
	svc := service()
	svc.ProxyNames = regexp.MustCompile(`^p[0-9]+$`)
	svc.Config.Proxies, svc.Config.QueueLimit = 20000, 1e7
	d, err := New(svc, &memoryStore{failAt: func(int) (bool, bool) { return false, false }}, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ran := make(chan struct{})
	f := &discardFront{}
	go func() { d.Run(ctx, f); close(ran) }()
	d.Post(control.HostList{Hosts: []control.HostEntry{{ID: "h", Address: "10.0.0.1:80", Zone: "a", Weight: 1}}})
	handle := d.ForFront(0)
	var admitted, rejected, acks, admittedAcks int
	for end, i := time.Now().Add(2*time.Second), 0; time.Now().Before(end); i++ {
		name := "p" + strconv.Itoa(i%20000)
		if retryAfter := d.Admit(loadshed.NewPolls, name); retryAfter > 0 {
			if rejected++; retryAfter < 400*time.Millisecond {
				t.Fatalf("rejected with a retry delay of %v, want at least 400ms", retryAfter)
			}
		} else {
			admitted++
			handle.Post(control.Poll{Ticket: handle.Ticket(), Proxy: name, Zone: "a", Wait: 20000})
		}
		if i%50 == 0 {
			if acks++; d.Admit(loadshed.Polls, "") == 0 {
				admittedAcks++
			}
		}
	}
	t.Logf("%d admitted, %d rejected; longest turn %v; pressure %.2f", admitted, rejected, d.MaxTurn(), d.AdmissionStats().Pressure)
	stop()
	<-ran
	if admittedAcks != acks || rejected == 0 {
		t.Errorf("%d of %d acknowledging polls admitted, want all; %d new polls rejected, want some", admittedAcks, acks, rejected)
	}
}
