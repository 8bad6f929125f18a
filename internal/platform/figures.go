package platform

import (
	"os"
	"runtime"

	"vetchwood/internal/platform/outbox"
	"vetchwood/logic"
)

// logFigures logs operating figures of the process, the relay connection and the load reports.
func (d *director) logFigures() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	descriptors, _ := os.ReadDir("/proc/self/fd")
	proxies, slices := d.relayState.Counts()
	server, counts := d.server.Stats(), d.counters
	d.log.Info("figures", "proxies", proxies, "slices", slices, "hosts", d.hosts.ListedCount(), "lists", counts.hostLists,
		"calls", counts.calls, "orders", counts.appliedOrders, "waiting", d.outbox.Queued(),
		"merged", d.outbox.Discarded, "unsure", counts.unconfirmed, "unsent", counts.notSent, "later", counts.retryable,
		"refused", counts.rejected, "subscribed", counts.subscriptions, "broke", counts.subscriptionsLost,
		"open", server.Open, "strangers", server.Unjoined, "sent_away", server.RefusedConns,
		"reports_dropped", server.DroppedReports, "of_unknown_hosts", counts.unknownHosts,
		"heap_kb", m.HeapAlloc>>10, "sys_kb", m.Sys>>10, "goroutines", runtime.NumGoroutine(), "descriptors", len(descriptors),
		"slowest_turn", d.slowestTurn.String())
	reports := d.reports
	byKind := counts.ordersByKind
	d.log.Info("orders.taken", "lines", byKind.lines, "removals", byKind.removals,
		"masks", byKind.masks, "levels", byKind.levels, "marks", byKind.marks)
	d.counters.ordersByKind = orderCounts{}
	d.log.Info("heard", "hosts", reports.hosts, "tries", reports.tries, "lost", reports.failed,
		"over_ms", mean(reports.hostIntervals, reports.hosts),
		"slices", reports.slices, "calls", reports.calls, "calls_over_ms", mean(reports.sliceIntervals, reports.slices))
	d.slowestTurn, d.reports = 0, reportTotals{}
	d.logDecisions()
}

// orderCounts counts the orders that the relay has applied since the last figures, by kind.
type orderCounts struct{ lines, removals, masks, levels, marks int }

func (k *orderCounts) add(orders []outbox.Op) {
	for _, o := range orders {
		switch {
		case o.Kind == outbox.Line && o.Weight > 0:
			k.lines++
		case o.Kind == outbox.Line, o.Kind == outbox.Clear:
			k.removals++
		case o.Kind == outbox.Mask:
			k.masks++
		case o.Kind == outbox.Level:
			k.levels++
		case o.Kind == outbox.AckRequest:
			k.marks++
		}
	}
}

// reportTotals sums the load reports received since the last figures, for comparison with the traffic that passed, and
// the intervals that they cover. The intervals are logged because a report covers a longer time the more reports a
// collector has to send.
type reportTotals struct {
	hosts, tries, failed          int
	slices, calls                 int
	hostIntervals, sliceIntervals logic.Millis
}

func (h *reportTotals) add(event any) {
	switch n := event.(type) {
	case logic.HostSample:
		h.hosts, h.tries, h.failed, h.hostIntervals = h.hosts+1, h.tries+n.Finished, h.failed+n.Failed, h.hostIntervals+n.Period
	case logic.SliceDemand:
		h.slices, h.calls, h.sliceIntervals = h.slices+1, h.calls+n.Calls, h.sliceIntervals+n.Period
	}
}

// mean returns the mean of n values with the given sum, 0 if there are none.
func mean(sum logic.Millis, n int) int { return int(sum) / max(1, n) }
