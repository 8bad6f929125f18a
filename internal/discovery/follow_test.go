package discovery_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/consul/api"

	"vetchwood/internal/control"
	"vetchwood/internal/discovery"
	"vetchwood/internal/standin"
	"vetchwood/logic"
)

// recorder keeps the host lists that Follow passes on.
type recorder struct {
	mu    sync.Mutex
	lists [][]control.HostEntry
}

func (r *recorder) update(l []control.HostEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists = append(r.lists, l)
}

func (r *recorder) last() (n int, l []control.HostEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lists) == 0 {
		return 0, nil
	}
	return len(r.lists), r.lists[len(r.lists)-1]
}

func (r *recorder) await(t *testing.T, what string, is func([]control.HostEntry) bool) {
	t.Helper()
	for end := time.Now().Add(8 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if n, l := r.last(); n > 0 && is(l) {
			return
		}
		if time.Now().After(end) {
			_, l := r.last()
			t.Fatalf("no host list matched within 8 s: %s; last list %+v", what, l)
		}
	}
}

func now() float64 { return float64(time.Now().UnixMicro()) / 1000 }

func TestFollowHostList(t *testing.T) {
	r, err := standin.NewRegistry("127.0.0.1:0", nil, now, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	r.Put("h1", "127.0.0.1:7001", "a", "a-0", 0)
	r.Put("h2", "127.0.0.1:7002", "b", "b-0", 1234567.5)
	ctx, stop := context.WithCancel(t.Context())
	rec, ended := &recorder{}, make(chan error, 1)
	go func() {
		ended <- discovery.Follow(ctx, r.URL(), "hosts", 2*time.Second, rec.update, func() {}, slog.New(slog.DiscardHandler))
	}()
	rec.await(t, "both hosts", func(l []control.HostEntry) bool {
		return len(l) == 2 && l[0] == control.HostEntry{ID: "h1", Address: "127.0.0.1:7001", Zone: "a", Cell: "a-0", Weight: 1} &&
			l[1].StartedAt == 1234567.5
	})
	r.SetState("h1", logic.Draining)
	rec.await(t, "a drain", func(l []control.HostEntry) bool { return l[0].State == logic.Draining })
	r.SetState("h1", logic.Gone)
	rec.await(t, "a failed check", func(l []control.HostEntry) bool { return l[0].State == logic.Gone })
	r.Remove("h1")
	rec.await(t, "a removal", func(l []control.HostEntry) bool { return len(l) == 1 })
	// An unchanged list is not passed on again.
	before, _ := rec.last()
	time.Sleep(2500 * time.Millisecond) // longer than one blocking query
	if after, _ := rec.last(); after != before {
		t.Fatalf("an unchanged list was passed on %d times", after-before)
	}
	// The server is unavailable and returns with a lower index: a change made meanwhile must be passed on.
	r.SetUnavailable(true)
	r.Put("h3", "127.0.0.1:7003", "a", "a-1", 0)
	time.Sleep(300 * time.Millisecond)
	r.SetUnavailable(false)
	rec.await(t, "a change while the server was unavailable", func(l []control.HostEntry) bool { return len(l) == 2 })
	r.Put("h4", "127.0.0.1:7004", "a", "a-1", 0)
	rec.await(t, "a change at the lower index", func(l []control.HostEntry) bool { return len(l) == 3 })
	// Wrong and empty lists are passed on. An entry without a valid address is skipped.
	r.Distort(func(all []*api.ServiceEntry) []*api.ServiceEntry {
		invalid := *all[0]
		service := *invalid.Service
		service.ID, service.Address, service.Port = "invalid", "not an address", 0
		invalid.Service = &service
		return []*api.ServiceEntry{&invalid, all[1]}
	})
	rec.await(t, "a wrong list", func(l []control.HostEntry) bool { return len(l) == 1 && l[0].ID == "h3" })
	r.Distort(func([]*api.ServiceEntry) []*api.ServiceEntry { return nil })
	rec.await(t, "an empty list", func(l []control.HostEntry) bool { return len(l) == 0 })
	stop()
	select {
	case err := <-ended:
		if err != context.Canceled {
			t.Fatal(err)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("Follow still runs 3 s after its context ended")
	}
}

// Hosts register, enter maintenance and deregister through the official client.
func TestFollowHostsRegisteredByOfficialClient(t *testing.T) {
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
			Port: 7001 + i, Meta: map[string]string{discovery.MetaZone: "a"}}); err != nil {
			t.Fatal(err)
		}
	}
	rec := &recorder{}
	go discovery.Follow(t.Context(), r.URL(), "hosts", time.Second, rec.update, func() {}, slog.New(slog.DiscardHandler))
	rec.await(t, "both hosts", func(l []control.HostEntry) bool { return len(l) == 2 })
	if err := client.Agent().EnableServiceMaintenance("h0", "upgrade"); err != nil {
		t.Fatal(err)
	}
	rec.await(t, "a host in maintenance", func(l []control.HostEntry) bool { return l[0].State == logic.Draining })
	if err := client.Agent().DisableServiceMaintenance("h0"); err != nil {
		t.Fatal(err)
	}
	rec.await(t, "the end of maintenance", func(l []control.HostEntry) bool { return l[0].State == logic.Up })
	if err := client.Agent().ServiceDeregister("h1"); err != nil {
		t.Fatal(err)
	}
	rec.await(t, "a deregistration", func(l []control.HostEntry) bool { return len(l) == 1 })
}
