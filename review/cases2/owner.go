package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"vetchwood/logic"
)

func init() { cases["owner"] = owner }

// write is a write that reached a host. Done is 0 until the host has carried it out.
type write struct {
	at, done               float64
	host, proxy, key, call string
}

// owner plays a service whose slices have single owners. One of three proxies reaches no director for 16 s. Meanwhile a
// host drains, so that its slices go to others, and the proxy goes on forwarding.
func owner(r *run) {
	const keys = 24
	roster := r.roster()
	var mu sync.Mutex
	var writes []*write
	byCall := map[string]*write{}
	all := r.hosts(8, 10*time.Millisecond, func(h *host, q *http.Request) {
		w := &write{at: r.now(), host: h.id, proxy: q.Header.Get("X-Proxy"), key: q.Header.Get("X-Key"), call: q.Header.Get("X-Call")}
		r.notef("write %s of key %s reached %s", w.call, w.key, w.host)
		mu.Lock()
		writes, byCall[w.call] = append(writes, w), w
		mu.Unlock()
	}, roster)
	for _, h := range all {
		h.onDone = func(_ *host, q *http.Request) {
			mu.Lock()
			byCall[q.Header.Get("X-Call")].done = r.now()
			mu.Unlock()
		}
	}
	listen, admin := freeAddress(), freeAddress()
	r.director(directorSettings{name: "d1", listen: listen, admin: admin, roster: roster.URL(), wait: "20s", service: "  slices    = 24\n  one_owner = true\n" + censusRoutes,
		proxies: "  write_lease     = \"2.5s\"\n  write_settle    = \"3.5s\""})
	way := r.newLink(listen)
	var stops []func()
	for i, director := range []string{listen, listen, way.addr} {
		name := fmt.Sprintf("relay-%d", i+1)
		_, address := r.relay(name, "poll", "http://"+director)
		stops = append(stops, r.traffic(name, address, "POST", "/submit", keys, 30*time.Millisecond))
	}
	// At its start the director stops all writes for as long as those of a former owner may last.
	r.await("writes of all keys by all proxies", 30*time.Second, func() bool {
		mu.Lock()
		defer mu.Unlock()
		seen := map[string]bool{}
		for _, w := range writes {
			seen[w.proxy+w.key] = true
		}
		return len(seen) == 3*keys
	})
	time.Sleep(time.Second)
	cutAt := r.now()
	if r.trouble {
		way.refuse()
		r.notef("relay-3 reaches no director from now on")
	}
	time.Sleep(500 * time.Millisecond)
	drainAt := r.now()
	mu.Lock()
	formerOwner, hasOwner := "h1", map[string]bool{}
	for _, w := range writes {
		if w.host == formerOwner {
			hasOwner[w.key] = true
		}
	}
	mu.Unlock()
	roster.SetState(formerOwner, logic.Draining)
	r.notef("%s drains, the owner of %d keys", formerOwner, len(hasOwner))
	time.Sleep(time.Duration((cutAt + 16000 - r.now()) * float64(time.Millisecond)))
	if r.trouble {
		way.accept()
		r.notef("relay-3 reaches its director again")
	}
	time.Sleep(2 * time.Second)
	for _, stop := range stops {
		stop()
	}
	mu.Lock()
	defer mu.Unlock()
	// The draining host is the owner of no slice again. Once a later owner has accepted a write, it may get none.
	later := map[string]*write{}
	for _, w := range writes {
		if w.at > drainAt && w.host != formerOwner && w.done > 0 && later[w.key] == nil && hasOwner[w.key] {
			later[w.key] = w
			r.notef("key %s: %s accepted write %s at %.1f as a later owner", w.key, w.host, w.call, w.done)
		}
	}
	for _, w := range writes {
		if l := later[w.key]; l != nil && w.host == formerOwner && w.at > l.done {
			r.brokenf("write %s of key %s reached the former owner %s at %.1f by %s; %s had accepted write %s at %.1f",
				w.call, w.key, w.host, w.at, w.proxy, l.host, l.call, l.done)
		}
	}
	if len(later) == 0 {
		failf("no slice moved from %s", formerOwner)
	}
}
