// Package standin holds plain stand-ins for what surrounds a director: hosts, the list of hosts, and callers
// behind a proxy. They are models on real sockets, for tests and rehearsals.
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

	"vetchwood/internal/judge"
	"vetchwood/internal/orca"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Headers that callers and stand-in hosts agree on, beside the published ones.
const (
	HeaderWorkMs         = "Vetchwood-Work-Ms" // what the call costs one core
	HeaderCall           = "Vetchwood-Call"
	HeaderProxy          = "Vetchwood-Proxy"
	HeaderRoute          = "Vetchwood-Route"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderSliceKey       = "Vetchwood-Key" // that places the call in a slice
)

// HostShape is what a stand-in host can do.
type HostConfig struct {
	Cores, Queue      int
	ColdCapacity      float64
	WarmAfter         time.Duration
	ColdOverloadLimit float64
	ColdFailAfter     time.Duration
	Dedup             *Deduplicator // of keyed calls, shared within a cell
	Recorder          *judge.Recorder
	Now               func() float64
}

// Memory drops repeats of keyed calls.
type Deduplicator struct {
	mu   sync.Mutex
	span float64
	seen map[string]float64
}

func NewDeduplicator(span time.Duration) *Deduplicator {
	return &Deduplicator{span: float64(span.Milliseconds()), seen: map[string]float64{}}
}

func (m *Deduplicator) repeat(key string, now float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at, known := m.seen[key]; known && now-at < m.span {
		return true
	}
	m.seen[key] = now
	if len(m.seen) > 10000 {
		for k, at := range m.seen {
			if now-at >= m.span {
				delete(m.seen, k)
			}
		}
	}
	return false
}

// Host is a stand-in host: cores, a queue, a cold start, and faults on command.
type Host struct {
	shape   HostConfig
	Address tables.Address

	mu     sync.Mutex
	ln     net.Listener
	srv    *http.Server
	born   float64
	faults HostFaults
	cores  chan struct{}
	queued int
	spent  float64 // core milliseconds in the report's period
	done   float64
	load   logic.Load
	loadAt float64
	work   []judge.Work
	fallen bool
}

// HostFaults are in force until they are set anew.
type HostFaults struct {
	Silent           bool    // takes connections and says nothing, and is gone from the list's health checks
	Hang             bool    // takes calls and answers none
	SlowFactor       float64 // times slower; 0: not
	ResponseLossRate float64 // share of answers lost after the work
	Reject           bool    // draining: a polite no
}

// NewHost makes a host that has yet to start. An address may be given to come back at.
func NewHost(shape HostConfig, address tables.Address) *Host {
	return &Host{shape: shape, Address: address}
}

// Start listens; warm says that it counts as started long ago.
func (h *Host) Start(warm bool) error {
	at := string(h.Address)
	if at == "" {
		at = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ln, h.Address = ln, tables.Address(ln.Addr().String())
	h.cores, h.queued, h.faults, h.fallen, h.work = make(chan struct{}, h.shape.Cores), 0, HostFaults{}, false, nil
	if h.born = h.shape.Now(); warm {
		h.born = 0
	}
	h.srv = &http.Server{Handler: http.HandlerFunc(h.serve)}
	go h.srv.Serve(ln)
	return nil
}

// Die ends the process, so to speak: connections break at once.
func (h *Host) Kill() {
	h.mu.Lock()
	srv := h.srv
	h.mu.Unlock()
	if srv != nil {
		srv.Close()
	}
}

// Born is when it started, in Unix milliseconds; 0 is long ago.
func (h *Host) StartedAt() float64 { h.mu.Lock(); defer h.mu.Unlock(); return h.born }

// Set puts faults in force.
func (h *Host) SetFaults(f HostFaults) { h.mu.Lock(); h.faults = f; h.mu.Unlock() }

// Fallen says whether it was pushed over while cold.
func (h *Host) Collapsed() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.fallen }

// ability is the part of its work that it can do now.
func (h *Host) ability(now float64) float64 {
	return judge.ColdStartCapacity(now-h.born, h.shape.ColdCapacity, h.shape.WarmAfter)
}

func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	now := h.shape.Now()
	h.mu.Lock()
	f := h.faults
	if h.fallen || f.Silent || f.Hang && r.URL.Path != "/health" {
		h.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set(orca.Header, orca.Text(h.load))
		h.mu.Unlock()
		return
	}
	call, proxy, route := r.Header.Get(HeaderCall), r.Header.Get(HeaderProxy), r.Header.Get(HeaderRoute)
	ms, _ := strconv.ParseFloat(r.Header.Get(HeaderWorkMs), 64)
	key := r.Header.Get(HeaderIdempotencyKey)
	known := judge.Arrival{At: now, Host: h.Address, Proxy: proxy, Route: route, Call: call, WorkMs: ms, HostStartedAt: h.born,
		Cores: h.shape.Cores}
	h.work = append(h.work, judge.Work{At: now, Ms: ms})
	if judge.ColdOverload(&h.work, now, h.born, h.shape.Cores, h.shape.ColdCapacity, h.shape.WarmAfter, h.shape.ColdOverloadLimit, h.shape.ColdFailAfter) >= 1 {
		h.fallen = true
		h.shape.Recorder.AddCollapse(h.Address, now)
	}
	if h.queued >= h.shape.Cores+h.shape.Queue || f.Reject {
		load := h.load
		h.mu.Unlock()
		h.shape.Recorder.AddArrival(known)
		w.Header().Set(orca.Header, orca.Text(load))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.queued++
	cores := h.cores
	h.mu.Unlock()
	defer func() { h.mu.Lock(); h.queued--; h.mu.Unlock() }()
	if key != "" && h.shape.Dedup.repeat(key, now) {
		known.Deduplicated = true // a repeat: it takes no effect and costs next to nothing
		h.shape.Recorder.AddArrival(known)
		h.answer(w, r.Context(), f)
		return
	}
	select {
	case cores <- struct{}{}:
		defer func() { <-cores }()
	case <-r.Context().Done():
		h.shape.Recorder.AddArrival(known)
		return
	}
	known.Executed = true
	h.shape.Recorder.AddArrival(known)
	if !h.busy(r.Context(), ms) {
		return
	}
	h.answer(w, r.Context(), f)
}

// busy works until the call's work is done, at what the host can do at each moment.
func (h *Host) busy(ctx context.Context, ms float64) bool {
	const grain = 20.0
	for ms > 0 {
		h.mu.Lock()
		now := h.shape.Now()
		can := h.ability(now)
		if h.faults.SlowFactor > 0 {
			can /= h.faults.SlowFactor
		}
		h.mu.Unlock()
		took := min(grain, ms/can)
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Duration(took * float64(time.Millisecond))):
		}
		// What the clock says it took, not what was asked for: a busy machine makes long grains.
		real := max(took, h.shape.Now()-now)
		ms -= real * can
		h.mu.Lock()
		h.spent += real
		h.mu.Unlock()
	}
	return true
}

const loadEvery = 400.0

func (h *Host) answer(w http.ResponseWriter, ctx context.Context, f HostFaults) {
	h.mu.Lock()
	now := h.shape.Now()
	h.done++
	if span := now - h.loadAt; span >= loadEvery {
		busy, rate, queue := math.Min(1, h.spent/span/float64(h.shape.Cores)), h.done/span*1000, float64(max(0, h.queued-h.shape.Cores))
		h.load, h.loadAt, h.spent, h.done = logic.Load{Utilization: &busy, Throughput: &rate, Backlog: &queue}, now, 0, 0
	}
	load := h.load
	h.mu.Unlock()
	if rand.Float64() < f.ResponseLossRate {
		<-ctx.Done()
		return
	}
	w.Header().Set(orca.Header, orca.Text(load))
	w.WriteHeader(http.StatusOK)
}

// StartAt starts at an address that may leave the port open.
func (h *Host) StartOn(at string, warm bool) error {
	h.Address = tables.Address(at)
	return h.Start(warm)
}

// IPPort are the parts of its address.
func (h *Host) IPPort() (string, int, error) {
	ip, port, err := net.SplitHostPort(string(h.Address))
	if err != nil {
		return "", 0, err
	}
	n, err := strconv.Atoi(port)
	return ip, n, err
}
