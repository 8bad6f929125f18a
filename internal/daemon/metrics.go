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
func serveAdmin(address string, d *director.Director, front *longpoll.Server, mqttFront *mqtt.Server, st *store.Store, holder *lease.Manager, ledger *budget.Budget) (*http.Server, error) {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	gauge := func(name, help string, of func(control.Stats) float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_" + name, Help: help},
			func() float64 { return of(d.Stats()) }))
	}
	counter := func(name, help string, of func(control.Stats) uint64) {
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "vetchwood_" + name + "_total", Help: help},
			func() float64 { return float64(of(d.Stats())) }))
	}
	gauge("version_ordered", "Newest version ordered, stored or not.", func(f control.Stats) float64 { return float64(f.Step) })
	gauge("version_stored", "Newest version stored durably.", func(f control.Stats) float64 { return float64(f.Stored) })
	gauge("proxies_joined", "Proxies that have joined.", func(f control.Stats) float64 { return float64(f.Joined) })
	shardGauge := func(name, help string, of func(director.ShardStats) float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_" + name, Help: help},
			func() float64 { return of(d.ShardStats()) }))
	}
	shardCounter := func(name, help string, of func(director.ShardStats) uint64) {
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "vetchwood_" + name + "_total", Help: help},
			func() float64 { return float64(of(d.ShardStats())) }))
	}
	shardGauge("polls_parked", "Pending polls.", func(f director.ShardStats) float64 { return float64(f.Pending) })
	shardGauge("lots", "Shards that proxies are distributed over, each with its own lock.", func(f director.ShardStats) float64 { return float64(f.Shards) })
	shardGauge("barrier_longest_seconds", "Longest time that a removal waited for earlier answers to be written.",
		func(f director.ShardStats) float64 { return f.MaxBarrier.Seconds() })
	shardCounter("barrier_overdue", "Answers still unwritten when a removal stopped waiting for them.", func(f director.ShardStats) uint64 { return f.Overdue })
	shardCounter("answers_held", "Answers deferred until a removal reached all shards, or until a lease was renewed.",
		func(f director.ShardStats) uint64 { return f.Deferred })
	counter("removals", "Versions that removed a host from all tables; each is a barrier.", func(f control.Stats) uint64 { return f.Removals })
	gauge("version_oldest_held", "Oldest version that a joined proxy holds.", func(f control.Stats) float64 { return float64(f.OldestHeld) })
	gauge("proxies_behind", "Joined proxies that hold a version older than the stored one.", func(f control.Stats) float64 { return float64(f.ProxiesBehind) })
	gauge("channel_waiting_lines", "Lines queued in the channel.", func(f control.Stats) float64 { return f.QueuedLines })
	gauge("channel_most_lines", "Maximum number of lines ever queued in the channel.", func(f control.Stats) float64 { return f.MaxQueuedLines })
	gauge("channel_limit_lines", "Maximum number of lines that the channel queues.", func(f control.Stats) float64 { return f.QueueLimit })
	gauge("messages_most", "Maximum number of messages written to one proxy within the message window.", func(f control.Stats) float64 { return float64(f.MaxMessagesInWindow) })
	gauge("report_lines_waiting", "Report lines not yet passed to the decision module.", func(f control.Stats) float64 { return float64(f.PendingReportLines) })
	gauge("hosts_listed", "Hosts in the newest host list.", func(f control.Stats) float64 { return float64(f.Hosts) })
	gauge("hosts_masked", "Masked hosts.", func(f control.Stats) float64 { return float64(f.Masked) })
	if mqttFront != nil {
		gauge("mqtt_connections", "Open MQTT connections.", func(control.Stats) float64 { return float64(mqttFront.OpenConnections()) })
		gauge("mqtt_sessions", "MQTT sessions, including those without a connection.", func(control.Stats) float64 { return float64(mqttFront.Stats().Sessions) })
		gauge("mqtt_unacknowledged", "Documents in flight to MQTT subscribers.", func(control.Stats) float64 { return float64(mqttFront.Stats().InFlight) })
		counter("mqtt_delivered", "Documents and differences sent over MQTT.", func(control.Stats) uint64 { return mqttFront.Stats().Delivered })
		counter("mqtt_redelivered", "Documents and differences sent again when a session resumed.", func(control.Stats) uint64 { return mqttFront.Stats().Redelivered })
		counter("mqtt_refused", "Connections, filters and packets refused with a reason code.", func(control.Stats) uint64 { return mqttFront.Stats().Refused + mqttFront.Refusals() })
		counter("mqtt_busy", "Connections rejected because too many arrived at once.", func(control.Stats) uint64 { return mqttFront.Stats().Busy })
		counter("mqtt_taken_over", "Subscriptions taken over by another connection or front of the same proxy.", func(control.Stats) uint64 { return mqttFront.Stats().TakenOver })
	}
	if holder != nil {
		gauge("slices_held", "Slices whose lease this director holds.", func(control.Stats) float64 { return float64(holder.HeldSlices()) })
		gauge("peers_alive", "Other directors that are alive by the lease store.", func(control.Stats) float64 { return float64(len(holder.Peers())) })
		counter("hosts_learnt", "Hosts whose state was learnt from another director.", func(f control.Stats) uint64 { return f.HostsLearnt })
		counter("slices_moved", "Slices acquired or released by this director.", func(control.Stats) uint64 { return holder.OwnershipChanges() })
	}
	gauge("inflow_pressure", "Load shedding: 0 admits all requests, 1 rejects watchers, 2 also reports, 3 also new polls.",
		func(control.Stats) float64 { return d.AdmissionStats().Pressure })
	counter("inflow_shed", "Requests rejected because the director was overloaded.", func(control.Stats) (n uint64) {
		for _, x := range d.AdmissionStats().Shed {
			n += x
		}
		return n
	})
	shardCounter("inflow_limited", "Requests rejected because their client exceeded its rate.", func(f director.ShardStats) uint64 { return f.Limited })
	shardCounter("polls", "Polls accepted.", func(f director.ShardStats) uint64 { return f.Polls })
	shardCounter("answers_delta", "Polls answered with a difference.", func(f director.ShardStats) uint64 { return f.Deltas })
	shardCounter("answers_whole", "Polls answered with a full document.", func(f director.ShardStats) uint64 { return f.Full })
	shardCounter("answers_unchanged", "Polls answered with 304.", func(f director.ShardStats) uint64 { return f.Unchanged })
	counter("reports", "Reports counted.", func(f control.Stats) uint64 { return f.Reports })
	counter("reports_repeated", "Repeated reports, which are not counted.", func(f control.Stats) uint64 { return f.RepeatedReports })
	counter("refused", "Polls and reports refused by the director.", func(f control.Stats) uint64 { return f.Refused })
	counter("check_faults", "Faults found by the checks before publishing.", func(f control.Stats) uint64 { return f.CheckFailures })
	shardCounter("leases_expired", "Proxies that left by not polling within their lease.", func(f director.ShardStats) uint64 { return f.Expired })
	counter("requests_malformed", "Requests rejected as malformed.", func(control.Stats) uint64 { return front.Refusals() })
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_connections", Help: "Open connections."},
		func() float64 { return float64(front.OpenConnections()) }))
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_beat_latest_seconds",
		Help: "Longest delay of a timer of the decision module."}, func() float64 { return d.MaxTimerDelay().Seconds() }))
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_turn_longest_seconds",
		Help: "Longest time that the loop took for one batch."}, func() float64 { return d.MaxTurn().Seconds() }))
	for name, of := range map[string]struct {
		help string
		of   func(budget.Stats) float64
	}{"connections_most": {"Maximum number of open connections, above which accepting pauses.", func(f budget.Stats) float64 { return float64(f.MaxConnections) }},
		"accept_paused":      {"1 while accepting is paused, else 0.", func(f budget.Stats) float64 { return map[bool]float64{true: 1}[f.AcceptPaused] }},
		"clients_hold_bytes": {"Bytes of partly read requests and queued answers.", func(f budget.Stats) float64 { return float64(f.HeldBytes) }},
		"heap_live_bytes":    {"Live heap as of the last garbage collection.", func(f budget.Stats) float64 { return float64(f.LiveHeap) }}} {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_" + name, Help: of.help}, func() float64 { return of.of(ledger.Stats()) }))
	}
	counter("accept_pauses", "Number of pauses in accepting.", func(control.Stats) uint64 { return ledger.Stats().AcceptPauses })
	counter("clients_cut", "Connections closed because the client held the most memory.", func(control.Stats) uint64 { return ledger.Stats().Evictions })
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
