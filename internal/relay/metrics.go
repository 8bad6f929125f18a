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

	"vetchwood/internal/dispatch"
	"vetchwood/internal/retry"
)

// metrics counts and times calls, and traces one of every traceOneIn calls with the routing decisions made for it.
type metrics struct {
	relay           *Relay
	registry        *prometheus.Registry
	callSeconds     *prometheus.HistogramVec
	malformed       atomic.Uint64
	traceCandidates atomic.Uint64
	traceOneIn      uint64
	tracer          trace.Tracer
	provider        *sdk.TracerProvider
}

func newMetrics(relay *Relay) *metrics {
	m := &metrics{relay: relay, registry: prometheus.NewRegistry(), traceOneIn: uint64(relay.settings().TraceOneIn)}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.callSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "vetchwood_relay_call_seconds",
		Help: "Time of calls, by route and how they ended.", NativeHistogramBucketFactor: 1.1}, []string{"route", "ended"})
	m.registry.MustRegister(m.callSeconds)
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_relay_" + name, Help: help}, value))
	}
	counter := func(value func(dispatch.Counters) uint64) func() float64 {
		return func() float64 {
			relay.mu.Lock()
			defer relay.mu.Unlock()
			return float64(value(relay.dispatcher.Counters()))
		}
	}
	for name, metric := range map[string]struct {
		help  string
		value func(dispatch.Counters) uint64
	}{
		"calls_total":         {"Calls that came.", func(c dispatch.Counters) uint64 { return c.Calls }},
		"throttled_total":     {"Calls turned away by a level.", func(c dispatch.Counters) uint64 { return c.Throttled }},
		"refused_total":       {"Calls turned away as too many were in hand.", func(c dispatch.Counters) uint64 { return c.Rejected }},
		"bare_total":          {"Calls for which no line came in time.", func(c dispatch.Counters) uint64 { return c.NoLine }},
		"tries_total":         {"Tries, first and further.", func(c dispatch.Counters) uint64 { return c.Tries }},
		"further_total":       {"Further tries.", func(c dispatch.Counters) uint64 { return c.Retries }},
		"hosts_avoided_total": {"Times that a host was avoided after a run of failures.", func(c dispatch.Counters) uint64 { return c.Ejections }},
	} {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "vetchwood_relay_" + name, Help: metric.help}, counter(metric.value)))
	}
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "vetchwood_relay_malformed_total",
		Help: "Requests that could not be read."}, func() float64 { return float64(m.malformed.Load()) }))
	for name, metric := range map[string]struct {
		help  string
		value func() float64
	}{
		"stale_answers_total":  {"Answers that came when their director's lease was over, and took no effect.", func() float64 { return float64(relay.follower.StaleResponses()) }},
		"deposed_tables_total": {"Tables offered by directors that hold them no more, and refused.", func() float64 { return float64(relay.follower.RejectedTables()) }},
	} {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "vetchwood_relay_" + name, Help: metric.help}, metric.value))
	}
	gauge("in_hand", "Calls in hand.", func() float64 { return float64(relay.inFlight.Load()) })
	gauge("hosts_avoided", "Hosts avoided now.", func() float64 {
		relay.mu.Lock()
		defer relay.mu.Unlock()
		return float64(relay.dispatcher.EjectedHosts(relay.now()))
	})
	gauge("host_connections_idle", "Connections to hosts that stand idle.", func() float64 { return float64(relay.hostPool.idleCount()) })
	gauge("tables_version", "Step of the tables in force.", func() float64 {
		if d := relay.Document(); d != nil {
			return float64(d.Step)
		}
		return 0
	})
	gauge("tables_age_seconds", "Since the tables in force were ordered.", func() float64 {
		if d := relay.Document(); d != nil {
			return time.Since(time.UnixMilli(int64(d.At))).Seconds()
		}
		return 0
	})
	if m.traceOneIn > 0 {
		if out, err := stdouttrace.New(stdouttrace.WithWriter(os.Stdout)); err == nil {
			m.provider = sdk.NewTracerProvider(sdk.WithBatcher(out), sdk.WithResource(resource.NewSchemaless(
				attribute.String("service.name", "vetchwood-relay"), attribute.String("service.instance.id", relay.settings().Name))))
			m.tracer = m.provider.Tracer("vetchwood/relay")
		}
	}
	return m
}

// callSpan measures one call. Every call is timed; sampled calls are also traced.
type callSpan struct {
	metrics *metrics
	route   string
	start   time.Time
	trace   trace.Span // nil unless the call is traced
}

// startSpan begins the measurement of a call.
func (m *metrics) startSpan(route string) callSpan {
	sp := callSpan{metrics: m, route: route, start: time.Now()}
	if m.tracer != nil && m.traceCandidates.Add(1)%m.traceOneIn == 0 {
		_, sp.trace = m.tracer.Start(context.Background(), route)
	}
	return sp
}

// tryFailed records a failed try and the decision on a retry in the trace.
func (sp *callSpan) tryFailed(host string, failure dispatch.Failure, verdict retry.Verdict) {
	if sp.trace != nil {
		sp.trace.AddEvent("try failed", trace.WithAttributes(attribute.String("host", host), attribute.String("failure", failure.String()),
			attribute.String("another", string(verdict))))
	}
}

// finish records the outcome of a call. The parameter tries is 0 if the call was not sent to any host.
func (sp *callSpan) finish(table, host string, status, tries int) {
	outcome := "failed"
	switch {
	case tries == 0:
		outcome = "turned away"
	case status > 0 && status < 500 && status != 429:
		outcome = "answered"
	}
	sp.metrics.callSeconds.WithLabelValues(sp.route, outcome).Observe(time.Since(sp.start).Seconds())
	if sp.trace != nil {
		sp.trace.SetAttributes(attribute.String("table", table), attribute.String("host", host), attribute.Int("status", status),
			attribute.Int("tries", tries), attribute.String("ended", outcome))
		if d := sp.metrics.relay.Document(); d != nil {
			sp.trace.SetAttributes(attribute.String("version", d.Version))
		}
		sp.trace.End()
	}
}

// ServeAdmin serves metrics and health checks at the address until the returned server is closed.
func (s *Relay) ServeAdmin(address string) (*http.Server, error) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
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
