package platform

import (
	"os"
	"runtime"

	"vetchwood/internal/platform/outbox"
	"vetchwood/logic"
)

// figures tell how it goes.
func (d *director) figures() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	open, _ := os.ReadDir("/proc/self/fd")
	proxies, slices := d.book.Counts()
	f, c := d.front.Stats(), d.counts
	d.log.Info("figures", "proxies", proxies, "slices", slices, "hosts", d.hosts.ListedCount(), "lists", c.lists,
		"calls", c.calls, "orders", c.taken, "waiting", d.box.Queued(), "merged", d.box.Discarded, "unsure", c.unsure, "unsent", c.unsent,
		"later", c.later, "refused", c.refused, "subscribed", c.begun, "broke", c.broke,
		"open", f.Open, "strangers", f.Unjoined, "sent_away", f.RefusedConns, "reports_dropped", f.DroppedReports, "of_unknown_hosts", c.unknown,
		"heap_kb", m.HeapAlloc>>10, "sys_kb", m.Sys>>10, "goroutines", runtime.NumGoroutine(), "descriptors", len(open),
		"slowest_turn", d.slow.String())
	h := d.heard
	k := c.kinds
	d.log.Info("orders.taken", "lines", k.lines, "removals", k.removals, "masks", k.masks, "levels", k.levels, "marks", k.marks)
	d.counts.kinds = kinds{}
	d.log.Info("heard", "hosts", h.hosts, "tries", h.tries, "lost", h.lost, "over_ms", mean(h.hostOver, h.hosts),
		"slices", h.slices, "calls", h.calls, "calls_over_ms", mean(h.sliceOver, h.slices))
	d.slow, d.heard = 0, heard{}
	d.reportDecisions()
}

// kinds counts the orders that the relay took since the last figures, by what they are.
type kinds struct{ lines, removals, masks, levels, marks int }

func (k *kinds) add(orders []outbox.Op) {
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

// heard sums the reports since the last figures, to be set beside what passed: a report covers longer the more there are to send.
type heard struct {
	hosts, tries, lost  int
	slices, calls       int
	hostOver, sliceOver logic.Millis
}

func (h *heard) add(note any) {
	switch n := note.(type) {
	case logic.HostSample:
		h.hosts, h.tries, h.lost, h.hostOver = h.hosts+1, h.tries+n.Finished, h.lost+n.Failed, h.hostOver+n.Period
	case logic.SliceDemand:
		h.slices, h.calls, h.sliceOver = h.slices+1, h.calls+n.Calls, h.sliceOver+n.Period
	}
}

func mean(sum logic.Millis, n int) int { return int(sum) / max(1, n) }
