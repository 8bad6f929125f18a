package main

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"vetchwood/logic"
)

func init() { cases["discovery"] = discovery }

// discovery lets the machine of discovery vanish for 7 s. Some seconds after it has returned, a host drains.
func discovery(r *run) {
	const wait = 1000.0 // ms; how long a call to discovery may wait
	roster := r.roster()
	var mu sync.Mutex
	at := map[string][]float64{}
	r.hosts(8, 10*time.Millisecond, func(h *host, q *http.Request) {
		r.notef("call %s reached %s", q.Header.Get("X-Call"), h.id)
		mu.Lock()
		at[h.id] = append(at[h.id], r.now())
		mu.Unlock()
	}, roster)
	way := r.newLink(strings.TrimPrefix(roster.URL(), "http://"))
	listen, admin := freeAddress(), freeAddress()
	r.director(directorSettings{name: "d1", listen: listen, admin: admin, roster: "http://" + way.addr, wait: "1s", service: "  slices = 48\n" + dakarRoutes})
	_, address := r.relay("relay-1", "poll", "http://"+listen)
	stop := r.traffic("relay-1", address, "GET", "/draft", 96, 20*time.Millisecond)
	time.Sleep(5 * time.Second)
	if r.trouble {
		way.setSilent(true)
		r.notef("discovery's machine vanishes")
	}
	time.Sleep(7 * time.Second)
	if r.trouble {
		way.setSilent(false)
		r.notef("discovery's machine is back")
	}
	time.Sleep(5 * time.Second)
	mu.Lock()
	before := len(at["h1"])
	mu.Unlock()
	drainAt := r.now()
	roster.SetState("h1", logic.Draining)
	r.notef("h1 drains")
	time.Sleep(20 * time.Second)
	stop()
	mu.Lock()
	defer mu.Unlock()
	// It counts as told 2 s after the wait of a call ends at the latest.
	limit := drainAt + wait + 2000 + drainGrace + slack
	for _, t := range at["h1"] {
		if t > limit {
			r.brokenf("a call reached h1 at %.1f, %.1f ms after it began to drain; the limit is %.1f", t, t-drainAt, limit-drainAt)
		}
	}
	if before == 0 {
		failf("h1 got no call before it drained")
	}
}
