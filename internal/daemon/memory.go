package daemon

import (
	"context"
	"fmt"
	"runtime/debug"
	"syscall"

	"vetchwood/internal/budget"
	"vetchwood/internal/live"
	"vetchwood/internal/settings"
)

// memory sets up what the process may use: the collector's limit lies under the memory that the settings state, so that it works
// harder before that is reached, and is let be while there is room.
func setUpMemory(ctx context.Context, s *settings.Running) (*budget.Ledger, error) {
	m, err := applyMemoryLimit(s)
	if err != nil {
		return nil, err
	}
	ledger := budget.New(m)
	debug.SetGCPercent(200)
	s.Front.Budget = ledger
	if s.MQTT != nil {
		s.MQTT.Limits.Budget = ledger
	}
	go live.Watch(ctx, ledger)
	return ledger, nil
}

// means are what the settings and the system give, and tell the collector.
func applyMemoryLimit(s *settings.Running) (budget.Means, error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return budget.Means{}, fmt.Errorf("descriptors: %w", err)
	}
	debug.SetMemoryLimit(s.Memory / 100 * 90)
	return budget.Means{Memory: s.Memory, Descriptors: int(min(files.Cur, 1<<30))}, nil
}
