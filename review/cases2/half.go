package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["half"] = half }

// cpuSeconds returns the processor time that a process has used.
func cpuSeconds(pid int) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+2:]))
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / 100
}

// half lets some connections of clients break by half: the end of what the client sends is told to the proxy, and the
// client still waits for its answer.
func half(r *run) {
	const limit, late = 3000.0, 500.0 // ms: the time limit of the route, and by how much an answer may miss it
	roster := r.roster()
	var mu sync.Mutex
	ran := map[string]string{}
	r.hosts(8, 400*time.Millisecond, func(h *host, q *http.Request) {
		r.notef("call %s reached %s", q.Header.Get("X-Call"), h.id)
		mu.Lock()
		ran[q.Header.Get("X-Call")] = h.id
		mu.Unlock()
	}, roster)
	listen, admin := freeAddress(), freeAddress()
	r.director(directorSettings{name: "d1", listen: listen, admin: admin, roster: roster.URL(), wait: "20s", service: "  slices = 48\n" + dakarRoutes})
	p, address := r.relay("relay-1", "poll", "http://"+listen)
	stop := r.traffic("whole", address, "GET", "/draft", 96, 50*time.Millisecond)
	time.Sleep(3 * time.Second)
	atOnce, amid := r.newLink(address), r.newLink(address)
	if r.trouble {
		atOnce.half, amid.half, amid.halfAt = true, true, 150*time.Millisecond
	}
	before, began := cpuSeconds(p.Process.Pid), r.now()
	var wg sync.WaitGroup
	for n := range 10 {
		for name, l := range map[string]*link{"half-at-once": atOnce, "half-amid-the-call": amid} {
			wg.Go(func() { r.halfCall(fmt.Sprintf("%s-%d", name, n), l.addr, limit+late, &mu, ran) })
		}
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	r.notef("the proxy used %.2f cores", 1000*(cpuSeconds(p.Process.Pid)-before)/(r.now()-began))
	stop()
}

// halfCall makes a call by a connection of its own and waits for the final answer.
func (r *run) halfCall(id, address string, limit float64, mu *sync.Mutex, ran map[string]string) {
	c, err := net.Dial("tcp", address)
	must(err)
	defer c.Close()
	sent := r.now()
	fmt.Fprintf(c, "GET /draft HTTP/1.1\r\nHost: x\r\nX-Key: %s\r\nX-Call: %s\r\nConnection: close\r\n\r\n", id, id)
	c.SetReadDeadline(time.Now().Add(time.Duration(limit * float64(time.Millisecond))))
	b, err := io.ReadAll(c)
	line, _, _ := strings.Cut(string(b), "\r\n")
	mu.Lock()
	host := ran[id]
	mu.Unlock()
	r.notef("call %s, sent at %.1f by a connection of its own: answer %q after %.1f ms, error %v, reached host %q", id, sent, line, r.now()-sent, err, host)
	if !strings.HasPrefix(line, "HTTP/1.1 ") {
		r.brokenf("call %s got no answer: the proxy %s", id, map[bool]string{true: "closed the connection", false: "left the connection open past the time limit and 500 ms"}[err == nil])
	}
}
