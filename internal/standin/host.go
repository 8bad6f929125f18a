// Package standin provides simple stand-ins for a director's surroundings: hosts, service discovery, the lease store,
// and clients that call through a proxy. They use real sockets and serve tests and rehearsals.
package standin

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"vetchwood/internal/orca"
	"vetchwood/internal/tables"
	"vetchwood/internal/verdict"
	"vetchwood/logic"
)

// Headers of the calls that clients make at stand-in hosts.
const (
	HeaderWorkMs         = "Vetchwood-Work-Ms" // CPU time that the call takes on one core
	HeaderCall           = "Vetchwood-Call"
	HeaderProxy          = "Vetchwood-Proxy"
	HeaderRoute          = "Vetchwood-Route"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderSliceKey       = "Vetchwood-Key" // determines the slice of the call
)

// HostConfig holds the properties of a stand-in host.
type HostConfig struct {
	Cores, Queue      int           // calls executed at a time, and calls that may be queued
	ColdCapacity      float64       // fraction of the full capacity right after a start
	WarmAfter         time.Duration // time from the start until full capacity
	ColdOverloadLimit float64       // multiple of its capacity that a cold host withstands over ColdFailAfter
	ColdFailAfter     time.Duration
	Dedup             *Deduplicator // of calls with idempotency keys, shared within a cell
	Recorder          *verdict.Recorder
	Now               func() float64 // Unix milliseconds
}

// Deduplicator detects repeats of calls with idempotency keys.
type Deduplicator struct {
	mu     sync.Mutex
	window float64            // milliseconds
	seen   map[string]float64 // time of the first call, by key
}

// NewDeduplicator returns a deduplicator that remembers keys for window.
func NewDeduplicator(window time.Duration) *Deduplicator {
	return &Deduplicator{window: float64(window.Milliseconds()), seen: map[string]float64{}}
}

// isRepeat reports whether the key was seen within the window, and remembers it if not.
func (d *Deduplicator) isRepeat(key string, now float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, known := d.seen[key]; known && now-at < d.window {
		return true
	}
	d.seen[key] = now
	if len(d.seen) > 10000 {
		for k, at := range d.seen {
			if now-at >= d.window {
				delete(d.seen, k)
			}
		}
	}
	return false
}

// Host is a stand-in host with a limited number of cores, a queue, a warm-up after each start, and faults on command.
type Host struct {
	config  HostConfig
	Address tables.Address

	mu           sync.Mutex
	ln           net.Listener
	srv          *http.Server
	startedAt    float64
	faults       HostFaults
	coreSlots    chan struct{}
	queued       int     // calls admitted, those being executed included
	coreMs       float64 // core milliseconds used since the last load report
	completed    float64 // calls since the last load report
	loadReport   logic.Load
	loadReportAt float64
	recentWork   []verdict.Work // within ColdFailAfter
	collapsed    bool           // answers nothing until its next start
}

// HostFaults are the faults of a host. They stay in force until the next SetFaults or Start.
type HostFaults struct {
	Silent           bool    // accepts connections but answers nothing, health checks included
	Hang             bool    // accepts calls but answers none; health checks pass
	SlowFactor       float64 // divides the host's capacity; 0: no effect
	ResponseLossRate float64 // fraction of responses that are lost after the work is done
	Reject           bool    // answers all calls with 503, as a draining host does
}

// NewHost returns a host that has not started yet. Without an address it picks a loopback port at its first start and
// keeps it.
func NewHost(config HostConfig, address tables.Address) *Host {
	return &Host{config: config, Address: address}
}

// Start listens at the host's address. With warm, the host counts as started long ago and has its full capacity.
func (h *Host) Start(warm bool) error {
	address := string(h.Address)
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ln, h.Address = ln, tables.Address(ln.Addr().String())
	h.coreSlots, h.queued, h.faults, h.collapsed, h.recentWork = make(chan struct{}, h.config.Cores), 0, HostFaults{}, false, nil
	if h.startedAt = h.config.Now(); warm {
		h.startedAt = 0
	}
	h.srv = &http.Server{Handler: http.HandlerFunc(h.serve)}
	go h.srv.Serve(ln)
	return nil
}

// Kill closes the listener and all connections at once, as the death of a process does.
func (h *Host) Kill() {
	h.mu.Lock()
	srv := h.srv
	h.mu.Unlock()
	if srv != nil {
		srv.Close()
	}
}

// StartedAt returns when the host started, in Unix milliseconds; 0 means long ago.
func (h *Host) StartedAt() float64 { h.mu.Lock(); defer h.mu.Unlock(); return h.startedAt }

// SetFaults replaces the faults in force.
func (h *Host) SetFaults(f HostFaults) { h.mu.Lock(); h.faults = f; h.mu.Unlock() }

// Collapsed reports whether the host has failed because of overload while it was cold.
func (h *Host) Collapsed() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.collapsed }

// capacity returns the fraction of its full capacity that the host has at a time, by its warm-up.
func (h *Host) capacity(now float64) float64 {
	return verdict.ColdStartCapacity(now-h.startedAt, h.config.ColdCapacity, h.config.WarmAfter)
}

func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	now := h.config.Now()
	h.mu.Lock()
	f := h.faults
	if h.collapsed || f.Silent || f.Hang && r.URL.Path != "/health" {
		h.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set(orca.Header, orca.Format(h.loadReport))
		h.mu.Unlock()
		return
	}
	call, proxy, route := r.Header.Get(HeaderCall), r.Header.Get(HeaderProxy), r.Header.Get(HeaderRoute)
	ms, _ := strconv.ParseFloat(r.Header.Get(HeaderWorkMs), 64)
	key := r.Header.Get(HeaderIdempotencyKey)
	arrival := verdict.Arrival{At: now, Host: h.Address, Proxy: proxy, Route: route, Call: call, WorkMs: ms,
		HostStartedAt: h.startedAt, Cores: h.config.Cores}
	h.recentWork = append(h.recentWork, verdict.Work{At: now, Ms: ms})
	if verdict.ColdOverload(&h.recentWork, now, h.startedAt, h.config.Cores, h.config.ColdCapacity, h.config.WarmAfter,
		h.config.ColdOverloadLimit, h.config.ColdFailAfter) >= 1 {
		h.collapsed = true
		h.config.Recorder.AddCollapse(h.Address, now)
	}
	if h.queued >= h.config.Cores+h.config.Queue || f.Reject {
		load := h.loadReport
		h.mu.Unlock()
		h.config.Recorder.AddArrival(arrival)
		w.Header().Set(orca.Header, orca.Format(load))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.queued++
	cores := h.coreSlots
	h.mu.Unlock()
	defer func() { h.mu.Lock(); h.queued--; h.mu.Unlock() }()
	if key != "" && h.config.Dedup.isRepeat(key, now) {
		arrival.Deduplicated = true // a repeat is not executed and uses no core time
		h.config.Recorder.AddArrival(arrival)
		h.respond(w, r.Context(), f)
		return
	}
	select {
	case cores <- struct{}{}:
		defer func() { <-cores }()
	case <-r.Context().Done():
		h.config.Recorder.AddArrival(arrival)
		return
	}
	arrival.Executed = true
	h.config.Recorder.AddArrival(arrival)
	if !h.execute(r.Context(), ms) {
		return
	}
	h.respond(w, r.Context(), f)
}

// execute takes as long as the call's work does at the capacity that the host has at each moment. It returns false if
// the client gives up first.
func (h *Host) execute(ctx context.Context, ms float64) bool {
	const maxStepMs = 20.0
	for ms > 0 {
		h.mu.Lock()
		now := h.config.Now()
		capacity := h.capacity(now)
		if h.faults.SlowFactor > 0 {
			capacity /= h.faults.SlowFactor
		}
		h.mu.Unlock()
		took := min(maxStepMs, ms/capacity)
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration(took * float64(time.Millisecond))):
		}
		// The elapsed time counts, not the requested one: on a busy machine a sleep lasts longer.
		elapsed := max(took, h.config.Now()-now)
		ms -= elapsed * capacity
		h.mu.Lock()
		h.coreMs += elapsed
		h.mu.Unlock()
	}
	return true
}

// loadReportIntervalMs is the minimum time between two load reports of a host.
const loadReportIntervalMs = 400.0

// respond writes the response with the current load report, or loses it by ResponseLossRate.
func (h *Host) respond(w http.ResponseWriter, ctx context.Context, f HostFaults) {
	h.mu.Lock()
	now := h.config.Now()
	h.completed++
	if span := now - h.loadReportAt; span >= loadReportIntervalMs {
		busy, rate, queue := math.Min(1, h.coreMs/span/float64(h.config.Cores)), h.completed/span*1000,
			float64(max(0, h.queued-h.config.Cores))
		h.loadReport, h.loadReportAt, h.coreMs, h.completed = logic.Load{Utilization: &busy, Throughput: &rate,
			Backlog: &queue}, now, 0, 0
	}
	load := h.loadReport
	h.mu.Unlock()
	if rand.Float64() < f.ResponseLossRate {
		<-ctx.Done()
		return
	}
	w.Header().Set(orca.Header, orca.Format(load))
	w.WriteHeader(http.StatusOK)
}

// StartOn starts the host at an address, whose port may be 0.
func (h *Host) StartOn(address string, warm bool) error {
	h.Address = tables.Address(address)
	return h.Start(warm)
}

// IPPort returns the IP address and the port of the host.
func (h *Host) IPPort() (string, int, error) {
	ip, port, err := net.SplitHostPort(string(h.Address))
	if err != nil {
		return "", 0, err
	}
	n, err := strconv.Atoi(port)
	return ip, n, err
}
