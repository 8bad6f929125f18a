// Command standin plays the platform around real directors for the cases of the review: `standin CASE RECORD`. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruptions.
package main

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

var (
	runCommand = os.Getenv("RUN") // `run` of the deploy file
	trouble    = os.Getenv("TROUBLE") != "0"
)

var (
	startedMu sync.Mutex
	started   = map[*os.Process]bool{} // the processes that run
)

// fail ends the program and the processes that it started: the case could not run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	startedMu.Lock()
	for p := range started {
		p.Kill()
	}
	if workDir != "" && os.Getenv("KEEP") == "" {
		os.RemoveAll(workDir)
	}
	os.Exit(2)
}

// timeLimit is the longest time that a case may take.
const timeLimit = 115 * time.Second

// watch ends the program at its time limit, and when the process that started it has ended.
func watch() {
	parent, began := os.Getppid(), time.Now()
	for {
		time.Sleep(200 * time.Millisecond)
		if os.Getppid() != parent {
			fail("the script has ended")
		}
		if time.Since(began) > timeLimit {
			fail("the time limit is over")
		}
	}
}

var workDir string // the folder of the settings and logs of the directors

func main() {
	if len(os.Args) != 3 || runCommand == "" {
		fail("usage: RUN=... TMPDIR=... standin CASE RECORD")
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("%v", err)
	}
	workDir = dir
	go watch()
	cases := map[string]func(dir, record string) int{"zone": zone, "pieces": pieces, "join": join, "reset": relayReset, "explore": explore}
	play := cases[os.Args[1]]
	if play == nil {
		fail("no such case: %s", os.Args[1])
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { fail("ended by %v", <-signals) }()
	status := play(dir, os.Args[2])
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	os.Exit(status)
}

// addHost adds a host with an address that answers probes. The caller holds mu.
func (w *world) addHost(name string, zone, group int, since float64) *host {
	ln := listenLoopback()
	h := &host{name: name, zone: w.p.zones[zone], group: group, address: ln.Addr().String(), status: "active", up: true, since: since}
	w.hosts, w.byName[name] = append(w.hosts, h), h
	go http.Serve(ln, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for h.ghost {
			w.mu.Unlock()
			<-r.Context().Done()
			w.mu.Lock()
			return
		}
		if !h.up {
			c, _, _ := rw.(http.Hijacker).Hijack()
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			return
		}
		if r.URL.Path == "/status/load" {
			w.measure(h)
			fmt.Fprintf(rw, "util=%.2f,qps=%.1f", h.utilization, h.rate)
		}
	}))
	return h
}

// build makes the hosts, proxies, slices and directors of a day, each slice on one host.
func (w *world) build(dir string, hosts int) {
	for i := range hosts {
		zone := i % len(w.p.zones)
		w.addHost(fmt.Sprintf("s-%08x", 0x5be2a07c+uint32(i)*0x9e3779b1), zone, zone, 0)
	}
	for range w.p.directors {
		w.addDirector(dir)
	}
	total := 0.0
	for i := range w.p.slices {
		s := &slice{id: i, share: math.Exp(0.63 * w.rng.NormFloat64()), owner: i % w.p.directors, table: map[string]float64{w.hosts[i%hosts].name: 1}}
		total += s.share
		w.slices = append(w.slices, s)
	}
	for _, s := range w.slices {
		s.share /= total
	}
	for i := range w.p.proxies {
		p := &proxy{id: i, zone: i % len(w.p.zones), tables: map[int]map[string]float64{}, bare: map[int]float64{}, told: map[int]bool{},
			joinAt: make([]float64, w.p.directors), lastIn: make([]float64, w.p.directors), stream: make([]int, w.p.directors), cold: make([]bool, w.p.directors)}
		for range w.p.directors {
			p.joined = append(p.joined, true)
			p.masked = append(p.masked, map[string]bool{})
			p.level = append(p.level, map[string]float64{})
		}
		for _, s := range w.slices {
			p.tables[s.id] = map[string]float64{}
			for name, weight := range s.table {
				p.tables[s.id][name] = weight
			}
		}
		w.proxies = append(w.proxies, p)
	}
	for _, d := range w.directors {
		for _, h := range w.hosts {
			d.lists[h.name], d.since[h.name] = "active", 0
		}
		w.after(w.p.period, d.reports)
		go d.collect()
	}
}

// list has discovery tell all directors the present state of a host. The caller holds mu.
func (w *world) list(h *host, status string) {
	if h.status = status; status == "active" {
		h.knownAt = w.now()
	}
	w.log("list: %s is %s", h.name, status)
	for _, d := range w.directors {
		d.tell(h)
	}
}

// die ends a host's process: what it holds is lost. The caller holds mu.
func (w *world) die(h *host) {
	w.log("host %s dies", h.name)
	w.measure(h)
	queue := h.queue
	h.up, h.busy, h.queue = false, 0, nil
	h.epoch++
	for _, c := range queue {
		w.after(2, func() { w.tried(c, false, "died: "+h.name, false) })
	}
}

// comeUp starts a host's process, cold. The caller holds mu.
func (w *world) comeUp(h *host) {
	h.up, h.startedAt, h.tries = true, w.now(), nil
	h.since = float64(w.began.UnixMilli()) + w.now()
	w.log("host %s starts, cold", h.name)
}
