package daemon

import (
	"context"
	"fmt"
	"runtime/debug"
	"syscall"

	"vetchwood/internal/budget"
	"vetchwood/internal/heapwatch"
	"vetchwood/internal/settings"
)

// setUpMemory sets up the limits of the process and returns the budget that its fronts share. The garbage collector's
// memory limit lies below the configured memory, so that it collects more often before that is reached; with room left,
// it starts a collection only when the heap has tripled since the last one.
func setUpMemory(ctx context.Context, s *settings.Director) (*budget.Budget, error) {
	limits, err := applyMemoryLimit(s)
	if err != nil {
		return nil, err
	}
	resourceBudget := budget.New(limits)
	debug.SetGCPercent(200)
	s.LongPoll.Budget = resourceBudget
	if s.MQTT != nil {
		s.MQTT.Limits.Budget = resourceBudget
	}
	go heapwatch.Watch(ctx, resourceBudget)
	return resourceBudget, nil
}

// applyMemoryLimit sets the garbage collector's memory limit to 90 % of the configured memory. It returns the memory and
// the number of file descriptors that the process may use.
func applyMemoryLimit(s *settings.Director) (budget.Resources, error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return budget.Resources{}, fmt.Errorf("read the file descriptor limit: %w", err)
	}
	debug.SetMemoryLimit(s.Memory / 100 * 90)
	return budget.Resources{Memory: s.Memory, Descriptors: int(min(files.Cur, 1<<30))}, nil
}
