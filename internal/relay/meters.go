package relay

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"vetchwood/internal/again"
	"vetchwood/internal/carry"
)

// meters count calls, and trace one in so many with the choices made.
type meters struct {
	s         *Relay
	reg       *prometheus.Registry
	took      *prometheus.HistogramVec
	malformed atomic.Uint64
	calls     atomic.Uint64
	oneIn     uint64
	tracer    trace.Tracer
	provider  *sdk.TracerProvider
}

func newMeters(s *Relay) *meters {
	m := &meters{s: s, reg: prometheus.NewRegistry(), oneIn: uint64(s.in().TraceOneIn)}
	m.reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.took = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "vetchwood_relay_call_seconds",
		Help: "Time of calls, by route and how they ended.", NativeHistogramBucketFactor: 1.1}, []string{"route", "ended"})
	m.reg.MustRegister(m.took)
	read := func(name, help string, of func() float64) {
		m.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_relay_" + name, Help: help}, of))
	}
	counts := func(of func(carry.Counts) uint64) func() float64 {
		return func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return float64(of(s.mind.Counts()))
		}
	}
	for name, x := range map[string]struct {
		help string
		of   func(carry.Counts) uint64
	}{
		"calls_total":         {"Calls that came.", func(c carry.Counts) uint64 { return c.Calls }},
		"throttled_total":     {"Calls turned away by a level.", func(c carry.Counts) uint64 { return c.Throttled }},
		"refused_total":       {"Calls turned away as too many were in hand.", func(c carry.Counts) uint64 { return c.Refused }},
		"bare_total":          {"Calls for which no line came in time.", func(c carry.Counts) uint64 { return c.Bare }},
		"tries_total":         {"Tries, first and further.", func(c carry.Counts) uint64 { return c.Tries }},
		"further_total":       {"Further tries.", func(c carry.Counts) uint64 { return c.Further }},
		"hosts_avoided_total": {"Times that a host was avoided after a run of failures.", func(c carry.Counts) uint64 { return c.Shut }},
	} {
		m.reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "vetchwood_relay_" + name, Help: x.help}, counts(x.of)))
	}
	m.reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "vetchwood_relay_malformed_total",
		Help: "Requests that could not be read."}, func() float64 { return float64(m.malformed.Load()) }))
	for name, x := range map[string]struct {
		help string
		of   func() float64
	}{
		"stale_answers_total":  {"Answers that came when their director's lease was over, and took no effect.", func() float64 { return float64(s.follow.Stale()) }},
		"deposed_tables_total": {"Tables offered by directors that hold them no more, and refused.", func() float64 { return float64(s.follow.Refused()) }},
	} {
		m.reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "vetchwood_relay_" + name, Help: x.help}, x.of))
	}
	read("in_hand", "Calls in hand.", func() float64 { return float64(s.inHand.Load()) })
	read("hosts_avoided", "Hosts avoided now.", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.mind.Avoided(s.now()))
	})
	read("host_connections_idle", "Connections to hosts that stand idle.", func() float64 { return float64(s.hosts.open()) })
	read("tables_version", "Step of the tables in force.", func() float64 {
		if d := s.Document(); d != nil {
			return float64(d.Step)
		}
		return 0
	})
	read("tables_age_seconds", "Since the tables in force were ordered.", func() float64 {
		if d := s.Document(); d != nil {
			return time.Since(time.UnixMilli(int64(d.At))).Seconds()
		}
		return 0
	})
	if m.oneIn > 0 {
		if out, err := stdouttrace.New(stdouttrace.WithWriter(os.Stdout)); err == nil {
			m.provider = sdk.NewTracerProvider(sdk.WithBatcher(out), sdk.WithResource(resource.NewSchemaless(
				attribute.String("service.name", "vetchwood-relay"), attribute.String("service.instance.id", s.in().Name))))
			m.tracer = m.provider.Tracer("vetchwood/relay")
		}
	}
	return m
}

// span is one call's: always timed, now and then traced.
type span struct {
	m     *meters
	route string
	began time.Time
	trace trace.Span
}

func (m *meters) begin(route string) span {
	sp := span{m: m, route: route, began: time.Now()}
	if m.tracer != nil && m.calls.Add(1)%m.oneIn == 0 {
		_, sp.trace = m.tracer.Start(context.Background(), route)
	}
	return sp
}

func (sp *span) failed(host string, f carry.Failure, why again.Verdict) {
	if sp.trace != nil {
		sp.trace.AddEvent("try failed", trace.WithAttributes(attribute.String("host", host), attribute.String("failure", f.String()),
			attribute.String("another", string(why))))
	}
}

func (sp *span) end(table, host string, status, tries int) {
	ended := "failed"
	switch {
	case tries == 0:
		ended = "turned away"
	case status > 0 && status < 500 && status != 429:
		ended = "answered"
	}
	sp.m.took.WithLabelValues(sp.route, ended).Observe(time.Since(sp.began).Seconds())
	if sp.trace != nil {
		sp.trace.SetAttributes(attribute.String("table", table), attribute.String("host", host), attribute.Int("status", status),
			attribute.Int("tries", tries), attribute.String("ended", ended))
		if d := sp.m.s.Document(); d != nil {
			sp.trace.SetAttributes(attribute.String("version", d.Version))
		}
		sp.trace.End()
	}
}

// ServeAdmin serves metrics and health until the server is closed.
func (s *Relay) ServeAdmin(address string) (*http.Server, error) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.meters.reg, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if s.Document() == nil || s.draining.Load() {
			http.Error(w, "no tables yet, or draining", http.StatusServiceUnavailable)
			return
		}
		w.Write([]byte("ok\n"))
	})
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go srv.Serve(ln)
	return srv, nil
}
