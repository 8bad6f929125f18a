package roster_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/consul/api"

	"vetchwood/internal/control"
	"vetchwood/internal/roster"
	"vetchwood/internal/standin"
	"vetchwood/logic"
)

type follower struct {
	mu    sync.Mutex
	lists [][]control.HostEntry
}

func (f *follower) tell(l []control.HostEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists = append(f.lists, l)
}

func (f *follower) last() (n int, l []control.HostEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.lists) == 0 {
		return 0, nil
	}
	return len(f.lists), f.lists[len(f.lists)-1]
}

func (f *follower) await(t *testing.T, what string, is func([]control.HostEntry) bool) {
	t.Helper()
	for end := time.Now().Add(8 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if n, l := f.last(); n > 0 && is(l) {
			return
		}
		if time.Now().After(end) {
			_, l := f.last()
			t.Fatalf("not in time: %s; last %+v", what, l)
		}
	}
}

func now() float64 { return float64(time.Now().UnixMicro()) / 1000 }

func TestTheListIsFollowed(t *testing.T) {
	r, err := standin.NewRegistry("127.0.0.1:0", nil, now, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	r.Put("h1", "127.0.0.1:7001", "a", "a-0", 0)
	r.Put("h2", "127.0.0.1:7002", "b", "b-0", 1234567.5)
	ctx, stop := context.WithCancel(t.Context())
	f, ended := &follower{}, make(chan error, 1)
	go func() {
		ended <- roster.Follow(ctx, r.URL(), "hosts", 2*time.Second, f.tell, func() {}, slog.New(slog.DiscardHandler))
	}()
	f.await(t, "both hosts", func(l []control.HostEntry) bool {
		return len(l) == 2 && l[0] == control.HostEntry{ID: "h1", Address: "127.0.0.1:7001", Zone: "a", Cell: "a-0", Weight: 1} &&
			l[1].Born == 1234567.5
	})
	r.State("h1", logic.Draining)
	f.await(t, "a drain", func(l []control.HostEntry) bool { return l[0].State == logic.Draining })
	r.State("h1", logic.Gone)
	f.await(t, "a failed check", func(l []control.HostEntry) bool { return l[0].State == logic.Gone })
	r.Remove("h1")
	f.await(t, "a removal", func(l []control.HostEntry) bool { return len(l) == 1 })
	// A list without end of the same says nothing new.
	before, _ := f.last()
	time.Sleep(2500 * time.Millisecond) // past a blocking query's wait
	if after, _ := f.last(); after != before {
		t.Fatalf("told %d times what was known", after-before)
	}
	// The server goes away and comes back with a lower index: what changed meanwhile must be told.
	r.Away(true)
	r.Put("h3", "127.0.0.1:7003", "a", "a-1", 0)
	time.Sleep(300 * time.Millisecond)
	r.Away(false)
	f.await(t, "the change while it was away", func(l []control.HostEntry) bool { return len(l) == 2 })
	r.Put("h4", "127.0.0.1:7004", "a", "a-1", 0)
	f.await(t, "changes at the lower index", func(l []control.HostEntry) bool { return len(l) == 3 })
	// Wrong and empty lists are passed on as they are; an entry without an address can't be.
	r.Wrong(func(all []*api.ServiceEntry) []*api.ServiceEntry {
		ghost := *all[0]
		service := *ghost.Service
		service.ID, service.Address, service.Port = "ghost", "not an address", 0
		ghost.Service = &service
		return []*api.ServiceEntry{&ghost, all[1]}
	})
	f.await(t, "a wrong list", func(l []control.HostEntry) bool { return len(l) == 1 && l[0].ID == "h3" })
	r.Wrong(func([]*api.ServiceEntry) []*api.ServiceEntry { return nil })
	f.await(t, "an empty list", func(l []control.HostEntry) bool { return len(l) == 0 })
	stop()
	select {
	case err := <-ended:
		if err != context.Canceled {
			t.Fatal(err)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("goes on after its context ended")
	}
}

// The stand-in speaks to the official client as hosts use it.
func TestHostsRegisterByTheClient(t *testing.T) {
	r, err := standin.NewRegistry("127.0.0.1:0", nil, now, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	client, err := api.NewClient(&api.Config{Address: r.URL()})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		if err := client.Agent().ServiceRegister(&api.AgentServiceRegistration{ID: fmt.Sprint("h", i), Name: "hosts", Address: "127.0.0.1",
			Port: 7001 + i, Meta: map[string]string{roster.MetaZone: "a"}}); err != nil {
			t.Fatal(err)
		}
	}
	f := &follower{}
	go roster.Follow(t.Context(), r.URL(), "hosts", time.Second, f.tell, func() {}, slog.New(slog.DiscardHandler))
	f.await(t, "both", func(l []control.HostEntry) bool { return len(l) == 2 })
	if err := client.Agent().EnableServiceMaintenance("h0", "upgrade"); err != nil {
		t.Fatal(err)
	}
	f.await(t, "maintenance drains", func(l []control.HostEntry) bool { return l[0].State == logic.Draining })
	if err := client.Agent().DisableServiceMaintenance("h0"); err != nil {
		t.Fatal(err)
	}
	f.await(t, "its end", func(l []control.HostEntry) bool { return l[0].State == logic.Up })
	if err := client.Agent().ServiceDeregister("h1"); err != nil {
		t.Fatal(err)
	}
	f.await(t, "its leaving", func(l []control.HostEntry) bool { return len(l) == 1 })
}
