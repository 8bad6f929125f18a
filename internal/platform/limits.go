package platform

import (
	"math"
	"runtime"
	"runtime/debug"

	"vetchwood/internal/budget"
)

// beside is what a process holds that Go's memory limit doesn't count: its text and what the kernel keeps for it.
const beside = 10 << 20

// limit keeps the process within what the configuration grants, and says what that is.
func limit(s *Start) budget.Means {
	means := budget.Unlimited
	if s.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(s.Cores))))
	}
	if s.Memory > 0 {
		means.Memory = s.Memory
		debug.SetMemoryLimit(max(s.Memory/2, s.Memory-max(beside, s.Memory/4)))
	}
	if s.Sockets > 0 {
		means.Descriptors = s.Sockets
	}
	return means
}
