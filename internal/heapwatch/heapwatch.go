// Package heapwatch reports the size of the live heap to the memory budget.
package heapwatch

import (
	"context"
	"runtime/metrics"
	"time"

	"vetchwood/internal/budget"
)

// Watch sets the live heap size of the budget every 100 ms until the context ends. Objects that are already garbage do
// not count, and reading the size does not stop the program.
func Watch(ctx context.Context, b *budget.Budget) {
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
		b.SetLiveHeap(int64(sample[0].Value.Uint64()))
	}
}
