package platform

import (
	"os"
	"runtime"

	"vetchwood/internal/platform/uplink"
)

// subscribed begins on a new subscription's news. Those of former ones are taken no more, and former addresses are let go.
func (d *director) subscribed(b uplink.Began) {
	if b.Address != d.relay {
		return // a former address that came back while it is left
	}
	continuous := d.source > 0 && d.alive
	d.log.Info("news.began", "source", b.Source, "address", b.Address, "continuous", continuous)
	d.source, d.alive = b.Source, true
	d.counts.begun++
	for _, f := range d.leaving {
		f.end()
	}
	d.leaving = nil
	d.book.Begin(continuous)
}

// figures tell how it goes.
func (d *director) figures() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	open, _ := os.ReadDir("/proc/self/fd")
	proxies, slices := d.book.Figures()
	f, c := d.front.Figures(), d.counts
	d.log.Info("figures", "proxies", proxies, "slices", slices, "hosts", d.hosts.Listed(), "lists", c.lists,
		"calls", c.calls, "orders", c.taken, "waiting", d.box.Waiting(), "merged", d.box.Merged, "unsure", c.unsure, "unsent", c.unsent,
		"later", c.later, "refused", c.refused, "subscribed", c.begun, "broke", c.broke,
		"open", f.Open, "strangers", f.Strangers, "sent_away", f.Turned, "reports_dropped", f.Dropped,
		"heap_kb", m.HeapAlloc>>10, "sys_kb", m.Sys>>10, "goroutines", runtime.NumGoroutine(), "descriptors", len(open),
		"slowest_turn", d.slow.String())
	d.slow = 0
}
