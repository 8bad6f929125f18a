package daemon

import (
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"vetchwood/internal/budget"
	"vetchwood/internal/control"
	"vetchwood/internal/director"
	"vetchwood/internal/lease"
	"vetchwood/internal/longpoll"
	"vetchwood/internal/mqtt"
	"vetchwood/internal/operator"
	"vetchwood/internal/store"
)

// serveAdmin serves metrics, health, profiles and the operators' interface.
func serveAdmin(address string, d *director.Director, front *longpoll.Server, mqttFront *mqtt.Server, st *store.Store, leases *lease.Manager, resourceBudget *budget.Budget) (*http.Server, error) {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	gauge := func(name, help string, value func(control.Stats) float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_" + name, Help: help},
			func() float64 { return value(d.Stats()) }))
	}
	counter := func(name, help string, value func(control.Stats) uint64) {
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "vetchwood_" + name + "_total", Help: help},
			func() float64 { return float64(value(d.Stats())) }))
	}
	gauge("version_ordered", "Newest version ordered, stored or not.", func(s control.Stats) float64 { return float64(s.Step) })
	gauge("version_stored", "Newest version stored durably.", func(s control.Stats) float64 { return float64(s.Stored) })
	gauge("proxies_joined", "Proxies that have joined.", func(s control.Stats) float64 { return float64(s.Joined) })
	shardGauge := func(name, help string, value func(director.ShardStats) float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_" + name, Help: help},
			func() float64 { return value(d.ShardStats()) }))
	}
	shardCounter := func(name, help string, value func(director.ShardStats) uint64) {
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "vetchwood_" + name + "_total", Help: help},
			func() float64 { return float64(value(d.ShardStats())) }))
	}
	shardGauge("polls_parked", "Pending polls.", func(s director.ShardStats) float64 { return float64(s.Pending) })
	shardGauge("lots", "Shards that proxies are distributed over, each with its own lock.", func(s director.ShardStats) float64 { return float64(s.Shards) })
	shardGauge("barrier_longest_seconds", "Longest time that a removal waited for earlier answers to be written.",
		func(s director.ShardStats) float64 { return s.MaxBarrier.Seconds() })
	shardCounter("barrier_overdue", "Answers still unwritten when a removal stopped waiting for them.", func(s director.ShardStats) uint64 { return s.Overdue })
	shardCounter("answers_held", "Answers deferred until a removal reached all shards, or until a lease was renewed.",
		func(s director.ShardStats) uint64 { return s.Deferred })
	counter("removals", "Versions that removed a host from all tables; each starts a barrier.", func(s control.Stats) uint64 { return s.Removals })
	gauge("version_oldest_held", "Oldest version that a joined proxy holds.", func(s control.Stats) float64 { return float64(s.OldestHeld) })
	gauge("proxies_behind", "Joined proxies that hold a version older than the stored one.", func(s control.Stats) float64 { return float64(s.ProxiesBehind) })
	gauge("channel_waiting_lines", "Lines queued in the channel.", func(s control.Stats) float64 { return s.QueuedLines })
	gauge("channel_most_lines", "Maximum number of lines ever queued in the channel.", func(s control.Stats) float64 { return s.MaxQueuedLines })
	gauge("channel_limit_lines", "Maximum number of lines that the channel queues.", func(s control.Stats) float64 { return s.QueueLimit })
	gauge("messages_most", "Maximum number of messages written to one proxy within the message window.", func(s control.Stats) float64 { return float64(s.MaxMessagesInWindow) })
	gauge("report_lines_waiting", "Report lines not yet passed to the decision module.", func(s control.Stats) float64 { return float64(s.PendingReportLines) })
	gauge("hosts_listed", "Hosts in the newest host list.", func(s control.Stats) float64 { return float64(s.Hosts) })
	gauge("hosts_masked", "Masked hosts.", func(s control.Stats) float64 { return float64(s.Masked) })
	if mqttFront != nil {
		gauge("mqtt_connections", "Open MQTT connections.", func(control.Stats) float64 { return float64(mqttFront.OpenConnections()) })
		gauge("mqtt_sessions", "MQTT sessions, including those without a connection.", func(control.Stats) float64 { return float64(mqttFront.Stats().Sessions) })
		gauge("mqtt_unacknowledged", "Documents in flight to MQTT subscribers.", func(control.Stats) float64 { return float64(mqttFront.Stats().InFlight) })
		counter("mqtt_delivered", "Documents and deltas sent over MQTT.", func(control.Stats) uint64 { return mqttFront.Stats().Delivered })
		counter("mqtt_redelivered", "Documents and deltas sent again when a session resumed.", func(control.Stats) uint64 { return mqttFront.Stats().Redelivered })
		counter("mqtt_refused", "Connections, filters and packets refused with a reason code.", func(control.Stats) uint64 { return mqttFront.Stats().Refused + mqttFront.Refusals() })
		counter("mqtt_busy", "Connections rejected because too many arrived at once.", func(control.Stats) uint64 { return mqttFront.Stats().Busy })
		counter("mqtt_taken_over", "Subscriptions taken over by another connection or front of the same proxy.", func(control.Stats) uint64 { return mqttFront.Stats().TakenOver })
	}
	if leases != nil {
		gauge("slices_held", "Slices that this director owns.", func(control.Stats) float64 { return float64(leases.HeldSlices()) })
		gauge("peers_alive", "Other directors that are alive by the lease store.", func(control.Stats) float64 { return float64(len(leases.Peers())) })
		counter("hosts_learnt", "Hosts whose state was learnt from another director.", func(s control.Stats) uint64 { return s.HostsLearnt })
		counter("slices_moved", "Slices acquired or released by this director.", func(control.Stats) uint64 { return leases.OwnershipChanges() })
	}
	gauge("inflow_pressure", "Load shedding: 0 admits all requests, 1 rejects watchers, 2 also reports, 3 also new polls.",
		func(control.Stats) float64 { return d.AdmissionStats().Pressure })
	counter("inflow_shed", "Requests rejected because the director was overloaded.", func(control.Stats) (n uint64) {
		for _, x := range d.AdmissionStats().Shed {
			n += x
		}
		return n
	})
	shardCounter("inflow_limited", "Requests rejected because their client exceeded its rate.", func(s director.ShardStats) uint64 { return s.Limited })
	shardCounter("polls", "Polls accepted.", func(s director.ShardStats) uint64 { return s.Polls })
	shardCounter("answers_delta", "Polls answered with a delta.", func(s director.ShardStats) uint64 { return s.Deltas })
	shardCounter("answers_whole", "Polls answered with a full document.", func(s director.ShardStats) uint64 { return s.Full })
	shardCounter("answers_unchanged", "Polls answered with 304.", func(s director.ShardStats) uint64 { return s.Unchanged })
	counter("reports", "Reports counted.", func(s control.Stats) uint64 { return s.Reports })
	counter("reports_repeated", "Repeated reports, which are not counted.", func(s control.Stats) uint64 { return s.RepeatedReports })
	counter("refused", "Polls and reports refused by the director.", func(s control.Stats) uint64 { return s.Refused })
	counter("check_faults", "Faults found by the checks before publishing.", func(s control.Stats) uint64 { return s.CheckFailures })
	shardCounter("leases_expired", "Proxies that left by not polling within their lease.", func(s director.ShardStats) uint64 { return s.Expired })
	counter("requests_malformed", "Requests rejected as malformed.", func(control.Stats) uint64 { return front.Refusals() })
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_connections", Help: "Open connections."},
		func() float64 { return float64(front.OpenConnections()) }))
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_beat_latest_seconds",
		Help: "Longest delay of a timer of the decision module."}, func() float64 { return d.MaxTimerDelay().Seconds() }))
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_turn_longest_seconds",
		Help: "Longest time that the loop took for one batch."}, func() float64 { return d.MaxTurn().Seconds() }))
	for name, metric := range map[string]struct {
		help  string
		value func(budget.Stats) float64
	}{"connections_most": {"Maximum number of open connections, above which accepting pauses.", func(s budget.Stats) float64 { return float64(s.MaxConnections) }},
		"accept_paused":      {"1 while accepting is paused, else 0.", func(s budget.Stats) float64 { return map[bool]float64{true: 1}[s.AcceptPaused] }},
		"clients_hold_bytes": {"Bytes of partly read requests and queued answers.", func(s budget.Stats) float64 { return float64(s.HeldBytes) }},
		"heap_live_bytes":    {"Live heap as of the last garbage collection.", func(s budget.Stats) float64 { return float64(s.LiveHeap) }}} {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_" + name, Help: metric.help}, func() float64 { return metric.value(resourceBudget.Stats()) }))
	}
	counter("accept_pauses", "Number of pauses in accepting.", func(control.Stats) uint64 { return resourceBudget.Stats().AcceptPauses })
	counter("clients_cut", "Connections closed because the client held the most memory.", func(control.Stats) uint64 { return resourceBudget.Stats().Evictions })
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	mux.Handle(operator.Path, operator.Handler(d, st))
	for name, profile := range map[string]http.HandlerFunc{"": pprof.Index, "profile": pprof.Profile, "symbol": pprof.Symbol, "trace": pprof.Trace} {
		mux.HandleFunc("GET /debug/pprof/"+name, profile)
	}
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.Ready() {
			http.Error(w, "the initial state is not stored yet", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ok")
	})
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go srv.Serve(ln)
	return srv, nil
}
