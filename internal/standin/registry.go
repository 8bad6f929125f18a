package standin

import (
	"encoding/json"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/consul/api"

	"vetchwood/internal/discovery"
	"vetchwood/internal/tables"
	"vetchwood/internal/verdict"
	"vetchwood/logic"
)

// Registry is a stand-in for service discovery by Consul: the part of its documented HTTP interface that its official
// client uses here. Its host list can be late, wrong or empty, it can be unavailable, and its index can go backwards.
type Registry struct {
	Recorder *verdict.Recorder
	Now      func() float64
	Delay    time.Duration // until a change is visible

	blockingIndex
	entries map[string]*api.ServiceEntry // by ID
	visible []*api.ServiceEntry          // as answered, Delay after the changes
	distort func([]*api.ServiceEntry) []*api.ServiceEntry
	srv     *http.Server
	ln      net.Listener
	mux     *http.ServeMux
	KV      *KVStore
}

// NewRegistry starts a registry at address. A nil recorder records nothing.
func NewRegistry(address string, recorder *verdict.Recorder, now func() float64, delay time.Duration) (*Registry, error) {
	r := &Registry{Recorder: recorder, Now: now, Delay: delay, blockingIndex: blockingIndex{index: 100, changed: make(chan struct{})},
		entries: map[string]*api.ServiceEntry{}, mux: http.NewServeMux(), KV: NewKVStore()}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := r.mux
	r.KV.mount(mux)
	mux.HandleFunc("GET /v1/health/service/{name}", r.handleHealth)
	mux.HandleFunc("PUT /v1/agent/service/register", r.handleRegister)
	mux.HandleFunc("PUT /v1/agent/service/deregister/{id}", func(w http.ResponseWriter, q *http.Request) {
		r.Remove(q.PathValue("id"))
	})
	mux.HandleFunc("PUT /v1/agent/service/maintenance/{id}", func(w http.ResponseWriter, q *http.Request) {
		state := logic.Up
		if q.URL.Query().Get("enable") == "true" {
			state = logic.Draining
		}
		r.SetState(q.PathValue("id"), state)
	})
	r.ln, r.srv = ln, &http.Server{Handler: mux}
	go r.srv.Serve(ln)
	return r, nil
}

// URL returns the base URL of the registry.
func (r *Registry) URL() string { return "http://" + r.ln.Addr().String() }

// Close closes the registry and its connections.
func (r *Registry) Close() { r.srv.Close() }

// Put registers a host, or replaces its entry after a start. startedAt is in Unix milliseconds; 0 means long ago.
func (r *Registry) Put(id string, address tables.Address, zone, cell string, startedAt float64) {
	host, port, _ := net.SplitHostPort(string(address))
	n, _ := strconv.Atoi(port)
	r.update(func() {
		meta := map[string]string{discovery.MetaZone: zone, discovery.MetaCell: cell}
		if startedAt > 0 {
			meta[discovery.MetaStarted] = strconv.FormatFloat(startedAt, 'f', 3, 64)
		}
		r.entries[id] = newEntry(&api.AgentService{ID: id, Service: "hosts", Address: host, Port: n, Meta: meta,
			Weights: api.AgentWeights{Passing: 1, Warning: 1}}, logic.Up)
	})
}

// newEntry returns the entry of a service in the given state, with its health checks.
func newEntry(s *api.AgentService, state logic.HostState) *api.ServiceEntry {
	check := &api.HealthCheck{Node: "node", CheckID: "service:" + s.ID, ServiceID: s.ID, Status: api.HealthPassing}
	e := &api.ServiceEntry{Node: &api.Node{Node: "node", Address: "127.0.0.1"}, Service: s, Checks: api.HealthChecks{check}}
	switch state {
	case logic.Draining:
		e.Checks = append(e.Checks, &api.HealthCheck{Node: "node", CheckID: discovery.MaintenanceCheckPrefix + s.ID, ServiceID: s.ID,
			Status: api.HealthCritical})
	case logic.Gone:
		check.Status = api.HealthCritical
	}
	return e
}

// SetState makes a host up, draining (in maintenance) or gone (failing its health check).
func (r *Registry) SetState(id string, state logic.HostState) {
	r.update(func() {
		if e := r.entries[id]; e != nil {
			r.entries[id] = newEntry(e.Service, state)
		}
	})
}

// Remove deregisters a host.
func (r *Registry) Remove(id string) { r.update(func() { delete(r.entries, id) }) }

// Distort applies f to the host list before it becomes visible; nil ends that.
func (r *Registry) Distort(f func([]*api.ServiceEntry) []*api.ServiceEntry) {
	r.update(func() { r.distort = f })
}

// SetUnavailable makes the registry answer list queries with an error, or ends that; its index is lower afterwards.
func (r *Registry) SetUnavailable(unavailable bool) {
	r.mu.Lock()
	r.unavailable = unavailable
	if !unavailable {
		r.index = 3
	}
	r.advance()
	r.mu.Unlock()
}

// update changes the registry by f, and makes the change visible after Delay.
func (r *Registry) update(f func()) {
	r.mu.Lock()
	f()
	r.mu.Unlock()
	time.AfterFunc(r.Delay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.visible = nil
		for _, id := range slices.Sorted(maps.Keys(r.entries)) {
			r.visible = append(r.visible, r.entries[id])
		}
		if r.distort != nil {
			r.visible = r.distort(r.visible)
		}
		r.advance()
	})
}

// advance increases the index and wakes the blocked queries. The caller holds the lock.
func (r *Registry) advance() {
	r.index++
	r.notifyWaiters()
}

// handleHealth answers with the visible host list and records what was sent.
func (r *Registry) handleHealth(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	if !r.waitForChange(w, q) {
		return
	}
	body, err := json.Marshal(append([]*api.ServiceEntry{}, r.visible...))
	list := verdict.HostList{At: r.Now()}
	list.Director, _ = q.Context().Value(linkNameKey{}).(string)
	for _, e := range r.visible {
		h := verdict.ListedHost{Address: tables.Address(net.JoinHostPort(e.Service.Address, strconv.Itoa(e.Service.Port)))}
		h.StartedAt, _ = strconv.ParseFloat(e.Service.Meta[discovery.MetaStarted], 64)
		for _, c := range e.Checks {
			if strings.HasPrefix(c.CheckID, discovery.MaintenanceCheckPrefix) {
				h.State = logic.Draining
			} else if c.Status == api.HealthCritical && h.State == logic.Up {
				h.State = logic.Gone
			}
		}
		list.Hosts = append(list.Hosts, h)
	}
	index := r.index
	r.mu.Unlock()
	if err != nil {
		slog.Error("registry", "error", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if _, err := w.Write(body); err == nil && r.Recorder != nil {
		r.Recorder.AddHostList(list)
	}
}

func (r *Registry) handleRegister(w http.ResponseWriter, q *http.Request) {
	var in api.AgentServiceRegistration
	if err := json.NewDecoder(q.Body).Decode(&in); err != nil || in.ID == "" || in.Port == 0 {
		http.Error(w, "invalid registration", http.StatusBadRequest)
		return
	}
	startedAt, _ := strconv.ParseFloat(in.Meta[discovery.MetaStarted], 64)
	r.Put(in.ID, tables.Address(net.JoinHostPort(in.Address, strconv.Itoa(in.Port))), in.Meta[discovery.MetaZone],
		in.Meta[discovery.MetaCell], startedAt)
}
