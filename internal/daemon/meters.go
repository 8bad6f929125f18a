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
	"vetchwood/internal/operate"
	"vetchwood/internal/store"
)

// serveAdmin serves metrics, health and operators.
func serveAdmin(address string, d *director.Director, front *longpoll.Server, second *mqtt.Server, st *store.Store, holder *lease.Holder, ledger *budget.Budget) (*http.Server, error) {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	gauge := func(name, help string, of func(control.Stats) float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_" + name, Help: help},
			func() float64 { return of(d.Figures()) }))
	}
	counter := func(name, help string, of func(control.Stats) uint64) {
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "vetchwood_" + name + "_total", Help: help},
			func() float64 { return float64(of(d.Figures())) }))
	}
	gauge("version_ordered", "Newest version ordered, stored or not.", func(f control.Stats) float64 { return float64(f.Step) })
	gauge("version_stored", "Newest version that would outlive a crash.", func(f control.Stats) float64 { return float64(f.Stored) })
	gauge("proxies_joined", "Proxies that poll.", func(f control.Stats) float64 { return float64(f.Joined) })
	lots := func(name, help string, of func(director.LotFigures) float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_" + name, Help: help},
			func() float64 { return of(d.Lots()) }))
	}
	polls := func(name, help string, of func(director.LotFigures) uint64) {
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "vetchwood_" + name + "_total", Help: help},
			func() float64 { return float64(of(d.Lots())) }))
	}
	lots("polls_parked", "Polls that wait.", func(f director.LotFigures) float64 { return float64(f.Parked) })
	lots("lots", "Lots that proxies are dealt to, each with a lock of its own.", func(f director.LotFigures) float64 { return float64(f.Lots) })
	lots("barrier_longest_seconds", "The longest that a removal waited for answers given before it.",
		func(f director.LotFigures) float64 { return f.LongestBarrier.Seconds() })
	polls("barrier_overdue", "Answers that a removal did not wait for any longer.", func(f director.LotFigures) uint64 { return f.Overdue })
	polls("answers_held", "Answers that waited until a removal was shown to all lots, or for a lease.",
		func(f director.LotFigures) uint64 { return f.Held })
	counter("removals", "Versions that took a host out of all tables, each a barrier.", func(f control.Stats) uint64 { return f.Removals })
	gauge("version_oldest_held", "Oldest version that a joined proxy stands on.", func(f control.Stats) float64 { return float64(f.OldestHeld) })
	gauge("proxies_behind", "Joined proxies that stand on something older than what is stored.", func(f control.Stats) float64 { return float64(f.ProxiesBehind) })
	gauge("channel_waiting_lines", "Lines that wait in the channel.", func(f control.Stats) float64 { return f.QueuedLines })
	gauge("channel_most_lines", "The most lines that ever waited.", func(f control.Stats) float64 { return f.MaxQueuedLines })
	gauge("channel_limit_lines", "The most that may wait.", func(f control.Stats) float64 { return f.QueueLimit })
	gauge("messages_most", "Most messages written to one proxy within the message span.", func(f control.Stats) float64 { return float64(f.MaxMessagesInWindow) })
	gauge("report_lines_waiting", "Report lines that the module has yet to hear.", func(f control.Stats) float64 { return float64(f.PendingReportLines) })
	gauge("hosts_listed", "Hosts in the list as last told.", func(f control.Stats) float64 { return float64(f.Hosts) })
	gauge("hosts_masked", "Hosts that are masked.", func(f control.Stats) float64 { return float64(f.Masked) })
	if second != nil {
		gauge("mqtt_connections", "Open MQTT connections.", func(control.Stats) float64 { return float64(second.Open()) })
		gauge("mqtt_sessions", "MQTT sessions, with those whose connection is gone.", func(control.Stats) float64 { return float64(second.Figures().Sessions) })
		gauge("mqtt_unacknowledged", "Documents on their way to MQTT subscribers.", func(control.Stats) float64 { return float64(second.Figures().InFlight) })
		counter("mqtt_delivered", "Documents and differences sent by MQTT.", func(control.Stats) uint64 { return second.Figures().Delivered })
		counter("mqtt_redelivered", "Those sent again as a session went on.", func(control.Stats) uint64 { return second.Figures().Redelivered })
		counter("mqtt_refused", "Connections, filters and packets refused by reason code.", func(control.Stats) uint64 { return second.Figures().Refused + second.Failed() })
		counter("mqtt_busy", "Connections told to come later, as too many came at once.", func(control.Stats) uint64 { return second.Figures().Busy })
		counter("mqtt_taken_over", "Subscriptions that another connection or front of the proxy took over.", func(control.Stats) uint64 { return second.Figures().TakenOver })
	}
	if holder != nil {
		gauge("slices_held", "Slices whose lease this director holds.", func(control.Stats) float64 { return float64(holder.Held()) })
		gauge("peers_alive", "Other directors that the store of leases believes in.", func(control.Stats) float64 { return float64(len(holder.Peers())) })
		counter("hosts_learnt", "Hosts whose state another director knew first.", func(f control.Stats) uint64 { return f.HostsLearnt })
		counter("slices_moved", "Slices that came to this director or went from it.", func(control.Stats) uint64 { return holder.Moves() })
	}
	gauge("inflow_pressure", "How far the door is closed: 0 all come in, 1 those that look on are out, 2 reports too, 3 new polls too.",
		func(control.Stats) float64 { return d.Inflow().Pressure })
	counter("inflow_shed", "Requests sent away as the director had more to do than it can.", func(control.Stats) (n uint64) {
		for _, x := range d.Inflow().Shed {
			n += x
		}
		return n
	})
	polls("inflow_limited", "Requests sent away as their client asked too often.", func(f director.LotFigures) uint64 { return f.Limited })
	polls("polls", "Polls taken.", func(f director.LotFigures) uint64 { return f.Polls })
	polls("answers_delta", "Polls answered with a difference.", func(f director.LotFigures) uint64 { return f.Deltas })
	polls("answers_whole", "Polls answered with a whole document.", func(f director.LotFigures) uint64 { return f.Wholes })
	polls("answers_unchanged", "Polls answered with 304.", func(f director.LotFigures) uint64 { return f.Unchangeds })
	counter("reports", "Reports counted.", func(f control.Stats) uint64 { return f.Reports })
	counter("reports_repeated", "Reports that came again and were not counted.", func(f control.Stats) uint64 { return f.RepeatedReports })
	counter("refused", "Polls and reports refused by the director.", func(f control.Stats) uint64 { return f.Refused })
	counter("check_faults", "What checks before publishing found.", func(f control.Stats) uint64 { return f.CheckFailures })
	polls("leases_expired", "Proxies that left without a word.", func(f director.LotFigures) uint64 { return f.Expired })
	counter("requests_malformed", "Requests refused for their form.", func(control.Stats) uint64 { return front.Failed() })
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_connections", Help: "Open connections."},
		func() float64 { return float64(front.Open()) }))
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_beat_latest_seconds",
		Help: "The latest that the decisions were called after their own time."}, func() float64 { return d.LatestBeat().Seconds() }))
	reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_turn_longest_seconds",
		Help: "The longest that the loop was busy with one batch."}, func() float64 { return d.LongestTurn().Seconds() }))
	for name, of := range map[string]struct {
		help string
		of   func(budget.Stats) float64
	}{"connections_most": {"Connections that may be open; past it accepting pauses.", func(f budget.Stats) float64 { return float64(f.MaxConnections) }},
		"accept_paused":      {"1 while no connection is accepted.", func(f budget.Stats) float64 { return map[bool]float64{true: 1}[f.AcceptPaused] }},
		"clients_hold_bytes": {"Requests that are half read and answers that wait behind others.", func(f budget.Stats) float64 { return float64(f.HeldBytes) }},
		"heap_live_bytes":    {"Heap in use as of the last collection.", func(f budget.Stats) float64 { return float64(f.LiveHeap) }}} {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "vetchwood_" + name, Help: of.help}, func() float64 { return of.of(ledger.Stats()) }))
	}
	counter("accept_pauses", "Times that accepting paused.", func(control.Stats) uint64 { return ledger.Stats().AcceptPauses })
	counter("clients_cut", "Clients whose connection was closed as they held most of what there is.", func(control.Stats) uint64 { return ledger.Stats().Evictions })
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	mux.Handle(operate.Path, operate.Handler(d, st))
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
