package platform

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"vetchwood/internal/platform/outbox"
	"vetchwood/logic"
)

// traceOrders logs the orders for the relay at debug level.
func (d *director) traceOrders(ops []outbox.Op) {
	if !d.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	var all strings.Builder
	for _, o := range ops {
		all.WriteString(o.Text)
	}
	d.log.Debug("orders", "n", len(ops), "waiting", d.outbox.Queued(), "text", all.String())
}

// traceEvents logs the events passed to the module at debug level, except for load reports and timers. Acknowledgements
// are summarized by serial.
func (d *director) traceEvents(events []any) {
	if !d.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	applied, slowest := map[logic.SerialID]int{}, map[logic.SerialID]logic.Millis{}
	defer func() {
		for s, n := range applied {
			d.log.Debug("applied", "serial", int(s), "proxies", n, "slowest_ms", float64(slowest[s]))
		}
	}()
	for _, n := range events {
		switch n := n.(type) {
		case logic.HostSample, logic.SliceDemand, logic.TimerFired:
		case logic.Acknowledged:
			applied[n.Serial]++
			slowest[n.Serial] = max(slowest[n.Serial], n.Latency)
		case logic.HostList:
			for _, e := range n.Entries {
				d.log.Debug("note", "kind", "entry", "list", int(n.Kind), "host", d.hosts.NameOf(e.Host),
					"state", int(e.State), "born", float64(e.StartedAt))
			}
		case logic.StoredLine:
			d.log.Debug("note", "kind", "line", "slice", int(n.Slice), "host", d.hosts.NameOf(n.Host), "weight", n.Weight)
		default:
			d.log.Debug("note", "kind", fmt.Sprintf("%T", n), "is", fmt.Sprintf("%+v", n))
		}
	}
}
