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

	"vetchwood/internal/judge"
	"vetchwood/internal/roster"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Registry is a stand-in for the list of hosts: Consul's published HTTP interface, as far as its official client
// uses it here. It can be late, wrong, empty, away, and start over with a lower index.
type Registry struct {
	Recorder *judge.Recorder
	Now      func() float64
	Delay    time.Duration // before a change shows

	indexed
	entries map[string]*api.ServiceEntry
	shown   []*api.ServiceEntry
	wrong   func([]*api.ServiceEntry) []*api.ServiceEntry
	srv     *http.Server
	ln      net.Listener
	mux     *http.ServeMux
	KV      *KVStore
}

// NewRegistry listens.
func NewRegistry(address string, book *judge.Recorder, now func() float64, delay time.Duration) (*Registry, error) {
	r := &Registry{Recorder: book, Now: now, Delay: delay, indexed: indexed{index: 100, changed: make(chan struct{})},
		entries: map[string]*api.ServiceEntry{}, mux: http.NewServeMux(), KV: NewKVStore()}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := r.mux
	r.KV.mount(mux)
	mux.HandleFunc("GET /v1/health/service/{name}", r.health)
	mux.HandleFunc("PUT /v1/agent/service/register", r.register)
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

func (r *Registry) URL() string { return "http://" + r.ln.Addr().String() }
func (r *Registry) Close()      { r.srv.Close() }

// Put lists a host, or lists it anew after a start.
func (r *Registry) Put(id string, a tables.Address, zone, cell string, born float64) {
	host, port, _ := net.SplitHostPort(string(a))
	n, _ := strconv.Atoi(port)
	r.change(func() {
		meta := map[string]string{roster.MetaZone: zone, roster.MetaCell: cell}
		if born > 0 {
			meta[roster.MetaStarted] = strconv.FormatFloat(born, 'f', 3, 64)
		}
		r.entries[id] = entry(&api.AgentService{ID: id, Service: "hosts", Address: host, Port: n, Meta: meta,
			Weights: api.AgentWeights{Passing: 1, Warning: 1}}, logic.Up)
	})
}

func entry(s *api.AgentService, state logic.HostState) *api.ServiceEntry {
	check := &api.HealthCheck{Node: "node", CheckID: "service:" + s.ID, ServiceID: s.ID, Status: api.HealthPassing}
	e := &api.ServiceEntry{Node: &api.Node{Node: "node", Address: "127.0.0.1"}, Service: s, Checks: api.HealthChecks{check}}
	switch state {
	case logic.Draining:
		e.Checks = append(e.Checks, &api.HealthCheck{Node: "node", CheckID: roster.MaintenanceCheckPrefix + s.ID, ServiceID: s.ID,
			Status: api.HealthCritical})
	case logic.Gone:
		check.Status = api.HealthCritical
	}
	return e
}

// State says that a host drains, is up or fails its check.
func (r *Registry) SetState(id string, state logic.HostState) {
	r.change(func() {
		if e := r.entries[id]; e != nil {
			r.entries[id] = entry(e.Service, state)
		}
	})
}

// Remove takes a host off the list.
func (r *Registry) Remove(id string) { r.change(func() { delete(r.entries, id) }) }

// Wrong makes what is shown differ from what is so; nil ends it.
func (r *Registry) Distort(f func([]*api.ServiceEntry) []*api.ServiceEntry) {
	r.change(func() { r.wrong = f })
}

// Away stops all answers, or starts them again, with a lower index.
func (r *Registry) SetUnavailable(away bool) {
	r.mu.Lock()
	r.away = away
	if !away {
		r.index = 3
	}
	r.turn()
	r.mu.Unlock()
}

func (r *Registry) change(f func()) {
	r.mu.Lock()
	f()
	r.mu.Unlock()
	time.AfterFunc(r.Delay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.shown = nil
		for _, id := range slices.Sorted(maps.Keys(r.entries)) {
			r.shown = append(r.shown, r.entries[id])
		}
		if r.wrong != nil {
			r.shown = r.wrong(r.shown)
		}
		r.turn()
	})
}

func (r *Registry) turn() {
	r.index++
	r.wake()
}

func (r *Registry) health(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	if !r.await(w, q) {
		return
	}
	body, err := json.Marshal(append([]*api.ServiceEntry{}, r.shown...))
	told := judge.HostList{At: r.Now()}
	told.Director, _ = q.Context().Value(doorOf{}).(string)
	for _, e := range r.shown {
		h := judge.ListedHost{Address: tables.Address(net.JoinHostPort(e.Service.Address, strconv.Itoa(e.Service.Port)))}
		h.StartedAt, _ = strconv.ParseFloat(e.Service.Meta[roster.MetaStarted], 64)
		for _, c := range e.Checks {
			if strings.HasPrefix(c.CheckID, roster.MaintenanceCheckPrefix) {
				h.State = logic.Draining
			} else if c.Status == api.HealthCritical && h.State == logic.Up {
				h.State = logic.Gone
			}
		}
		told.Hosts = append(told.Hosts, h)
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
		r.Recorder.AddHostList(told)
	}
}

func (r *Registry) register(w http.ResponseWriter, q *http.Request) {
	var in api.AgentServiceRegistration
	if err := json.NewDecoder(q.Body).Decode(&in); err != nil || in.ID == "" || in.Port == 0 {
		http.Error(w, "invalid registration", http.StatusBadRequest)
		return
	}
	born, _ := strconv.ParseFloat(in.Meta[roster.MetaStarted], 64)
	r.Put(in.ID, tables.Address(net.JoinHostPort(in.Address, strconv.Itoa(in.Port))), in.Meta[roster.MetaZone],
		in.Meta[roster.MetaCell], born)
}
