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
	gauge("version_stored", "Newest version that would outlive a crash.", func(s control.Stats) float64 { return float64(s.Stored) })
	gauge("proxies_joined", "Proxies that poll.", func(s control.Stats) float64 { return float64(s.Joined) })
	shardGauge := func(name, help string, value func(director.ShardStats) float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_" + name, Help: help},
			func() float64 { return value(d.ShardStats()) }))
	}
	shardCounter := func(name, help string, value func(director.ShardStats) uint64) {
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "vetchwood_" + name + "_total", Help: help},
			func() float64 { return float64(value(d.ShardStats())) }))
	}
	shardGauge("polls_parked", "Polls that wait.", func(s director.ShardStats) float64 { return float64(s.Pending) })
	shardGauge("lots", "Lots that proxies are dealt to, each with a lock of its own.", func(s director.ShardStats) float64 { return float64(s.Shards) })
	shardGauge("barrier_longest_seconds", "The longest that a removal waited for answers given before it.",
		func(s director.ShardStats) float64 { return s.MaxBarrier.Seconds() })
	shardCounter("barrier_overdue", "Answers that a removal did not wait for any longer.", func(s director.ShardStats) uint64 { return s.Overdue })
	shardCounter("answers_held", "Answers that waited until a removal was shown to all lots, or for a lease.",
		func(s director.ShardStats) uint64 { return s.Deferred })
	counter("removals", "Versions that took a host out of all tables, each a barrier.", func(s control.Stats) uint64 { return s.Removals })
	gauge("version_oldest_held", "Oldest version that a joined proxy stands on.", func(s control.Stats) float64 { return float64(s.OldestHeld) })
	gauge("proxies_behind", "Joined proxies that stand on something older than what is stored.", func(s control.Stats) float64 { return float64(s.ProxiesBehind) })
	gauge("channel_waiting_lines", "Lines that wait in the channel.", func(s control.Stats) float64 { return s.QueuedLines })
	gauge("channel_most_lines", "The most lines that ever waited.", func(s control.Stats) float64 { return s.MaxQueuedLines })
	gauge("channel_limit_lines", "The most that may wait.", func(s control.Stats) float64 { return s.QueueLimit })
	gauge("messages_most", "Most messages written to one proxy within the message span.", func(s control.Stats) float64 { return float64(s.MaxMessagesInWindow) })
	gauge("report_lines_waiting", "Report lines that the module has yet to hear.", func(s control.Stats) float64 { return float64(s.PendingReportLines) })
	gauge("hosts_listed", "Hosts in the list as last told.", func(s control.Stats) float64 { return float64(s.Hosts) })
	gauge("hosts_masked", "Hosts that are masked.", func(s control.Stats) float64 { return float64(s.Masked) })
	if mqttFront != nil {
		gauge("mqtt_connections", "Open MQTT connections.", func(control.Stats) float64 { return float64(mqttFront.OpenConnections()) })
		gauge("mqtt_sessions", "MQTT sessions, with those whose connection is gone.", func(control.Stats) float64 { return float64(mqttFront.Stats().Sessions) })
		gauge("mqtt_unacknowledged", "Documents on their way to MQTT subscribers.", func(control.Stats) float64 { return float64(mqttFront.Stats().InFlight) })
		counter("mqtt_delivered", "Documents and differences sent by MQTT.", func(control.Stats) uint64 { return mqttFront.Stats().Delivered })
		counter("mqtt_redelivered", "Those sent again as a session went on.", func(control.Stats) uint64 { return mqttFront.Stats().Redelivered })
		counter("mqtt_refused", "Connections, filters and packets refused by reason code.", func(control.Stats) uint64 { return mqttFront.Stats().Refused + mqttFront.Refusals() })
		counter("mqtt_busy", "Connections told to come later, as too many came at once.", func(control.Stats) uint64 { return mqttFront.Stats().Busy })
		counter("mqtt_taken_over", "Subscriptions that another connection or front of the proxy took over.", func(control.Stats) uint64 { return mqttFront.Stats().TakenOver })
	}
	if leases != nil {
		gauge("slices_held", "Slices whose lease this director holds.", func(control.Stats) float64 { return float64(leases.HeldSlices()) })
		gauge("peers_alive", "Other directors that the store of leases believes in.", func(control.Stats) float64 { return float64(len(leases.Peers())) })
		counter("hosts_learnt", "Hosts whose state another director knew first.", func(s control.Stats) uint64 { return s.HostsLearnt })
		counter("slices_moved", "Slices that came to this director or went from it.", func(control.Stats) uint64 { return leases.OwnershipChanges() })
	}
	gauge("inflow_pressure", "How far the door is closed: 0 all come in, 1 those that look on are out, 2 reports too, 3 new polls too.",
		func(control.Stats) float64 { return d.AdmissionStats().Pressure })
	counter("inflow_shed", "Requests sent away as the director had more to do than it can.", func(control.Stats) (n uint64) {
		for _, x := range d.AdmissionStats().Shed {
			n += x
		}
		return n
	})
	shardCounter("inflow_limited", "Requests sent away as their client asked too often.", func(s director.ShardStats) uint64 { return s.Limited })
	shardCounter("polls", "Polls taken.", func(s director.ShardStats) uint64 { return s.Polls })
	shardCounter("answers_delta", "Polls answered with a difference.", func(s director.ShardStats) uint64 { return s.Deltas })
	shardCounter("answers_whole", "Polls answered with a whole document.", func(s director.ShardStats) uint64 { return s.Full })
	shardCounter("answers_unchanged", "Polls answered with 304.", func(s director.ShardStats) uint64 { return s.Unchanged })
	counter("reports", "Reports counted.", func(s control.Stats) uint64 { return s.Reports })
	counter("reports_repeated", "Reports that came again and were not counted.", func(s control.Stats) uint64 { return s.RepeatedReports })
	counter("refused", "Polls and reports refused by the director.", func(s control.Stats) uint64 { return s.Refused })
	counter("check_faults", "What checks before publishing found.", func(s control.Stats) uint64 { return s.CheckFailures })
	shardCounter("leases_expired", "Proxies that left without a word.", func(s director.ShardStats) uint64 { return s.Expired })
	counter("requests_malformed", "Requests refused for their form.", func(control.Stats) uint64 { return front.Refusals() })
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_connections", Help: "Open connections."},
		func() float64 { return float64(front.OpenConnections()) }))
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_beat_latest_seconds",
		Help: "The latest that the decisions were called after their own time."}, func() float64 { return d.MaxTimerDelay().Seconds() }))
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_turn_longest_seconds",
		Help: "The longest that the loop was busy with one batch."}, func() float64 { return d.MaxTurn().Seconds() }))
	for name, metric := range map[string]struct {
		help  string
		value func(budget.Stats) float64
	}{"connections_most": {"Connections that may be open; past it accepting pauses.", func(s budget.Stats) float64 { return float64(s.MaxConnections) }},
		"accept_paused":      {"1 while no connection is accepted.", func(s budget.Stats) float64 { return map[bool]float64{true: 1}[s.AcceptPaused] }},
		"clients_hold_bytes": {"Requests that are half read and answers that wait behind others.", func(s budget.Stats) float64 { return float64(s.HeldBytes) }},
		"heap_live_bytes":    {"Heap in use as of the last collection.", func(s budget.Stats) float64 { return float64(s.LiveHeap) }}} {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_" + name, Help: metric.help}, func() float64 { return metric.value(resourceBudget.Stats()) }))
	}
	counter("accept_pauses", "Times that accepting paused.", func(control.Stats) uint64 { return resourceBudget.Stats().AcceptPauses })
	counter("clients_cut", "Clients whose connection was closed as they held most of what there is.", func(control.Stats) uint64 { return resourceBudget.Stats().Evictions })
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	mux.Handle(operator.Path, operator.Handler(d, st))
	for name, profile := range map[string]http.HandlerFunc{"": pprof.Index, "profile": pprof.Profile, "symbol": pprof.Symbol, "trace": pprof.Trace} {
		mux.HandleFunc("GET /debug/pprof/"+name, profile)
	}
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.Ready() {
			http.Error(w, "the opening state is not stored yet", http.StatusServiceUnavailable)
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
