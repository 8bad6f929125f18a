// Package live tells a budget how much of the heap is live.
package live

import (
	"context"
	"runtime/metrics"
	"time"

	"vetchwood/internal/budget"
)

// Watch does so until the context ends. What is garbage already doesn't count, and reading it stops nothing.
func Watch(ctx context.Context, ledger *budget.Budget) {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		metrics.Read(sample)
		ledger.SetLiveHeap(int64(sample[0].Value.Uint64()))
	}
}
