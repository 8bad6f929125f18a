package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"vetchwood/internal/standin"
	"vetchwood/logic"
)

func init() { cases["failover"] = failover }

// failover kills the director that a proxy follows. Of two hosts that drain one after the other, it was told of the
// first only; the other director, whose list is 2.4 s less late, was told of both. The director comes back 9 s later.
func failover(r *run) {
	late, early := r.roster(), r.roster()
	var mu sync.Mutex
	at := map[string][]float64{}
	r.hosts(14, 10*time.Millisecond, func(h *host, q *http.Request) {
		r.notef("call %s reached %s", q.Header.Get("X-Call"), h.id)
		mu.Lock()
		at[h.id] = append(at[h.id], r.now())
		mu.Unlock()
	}, late, early)
	var processes []*process
	var settings []directorSettings
	var fronts []string
	for i, url := range []string{late.URL(), early.URL()} {
		front := freeAddress()
		s := directorSettings{name: []string{"d1", "d2"}[i], listen: freeAddress(), admin: freeAddress(), roster: url, wait: "20s", service: "  slices = 48\n" + dakarRoutes,
			rest: "mqtt {\n  listen = \"" + front + "\"\n}"}
		processes, settings, fronts = append(processes, r.director(s)), append(settings, s), append(fronts, front)
	}
	// d2's documents are seen on the way to the proxy.
	way := r.newLink(fronts[1])
	received, receivedAt := 0, 0.0
	way.onDown = func(n int) {
		mu.Lock()
		defer mu.Unlock()
		if received += n; received > 4000 && receivedAt == 0 {
			receivedAt = r.now()
		}
	}
	_, address := r.relay("relay-1", "mqtt", "mqtt://"+fronts[0], "mqtt://"+way.addr)
	stop := r.traffic("relay-1", address, "GET", "/draft", 96, 10*time.Millisecond)
	time.Sleep(5 * time.Second)
	drain := func(id string) {
		r.notef("%s drains", id)
		for by, list := range map[time.Duration]*standin.Registry{3 * time.Second: late, 600 * time.Millisecond: early} {
			time.AfterFunc(by, func() { list.SetState(id, logic.Draining) })
		}
	}
	drain("h2")
	time.Sleep(2 * time.Second)
	drain("h1")
	told := r.now() + 600
	time.Sleep(2 * time.Second) // d2 was told of h1 1.4 s ago, d1 of h2 1 s ago; it would be told of h1 1 s from now
	killed := r.now()
	if r.trouble {
		r.signal(processes[0], syscall.SIGKILL)
	}
	time.Sleep(9 * time.Second)
	back := r.now()
	if r.trouble {
		r.startDirector("d1", r.write("d1.hcl", settings[0].file()), settings[0].admin)
	}
	time.Sleep(2 * time.Second)
	stop()
	mu.Lock()
	defer mu.Unlock()
	limit := told + 3000 - 600 + drainGrace + slack // without the trouble, d1 is in charge
	if r.trouble {
		if receivedAt < killed {
			failf("the proxy received nothing of d2 after %.1f", killed)
		}
		r.notef("the proxy had received %d bytes of d2 at the end, the first document at %.1f", received, receivedAt)
		limit = max(told, receivedAt) + drainGrace + slack
	}
	for _, t := range at["h1"] {
		if t > limit && t < back {
			r.brokenf("a call reached h1 at %.1f; by d2's list it drained since %.1f, and the limit was %.1f", t, told, limit)
		}
	}
	if len(at["h1"]) == 0 {
		failf("h1 got no call before it drained")
	}
}
