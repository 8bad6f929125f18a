package platform

import (
	"math"
	"runtime"
	"runtime/debug"

	"vetchwood/internal/budget"
)

// uncountedMemory is the memory in bytes that a process uses but Go's memory limit does not count: its code and the
// kernel's memory for it.
const uncountedMemory = 10 << 20

// applyLimits sets the runtime's CPU and memory limits by those of the configuration, and returns the resources that
// are available. Go's memory limit leaves uncountedMemory, or a quarter of the memory if that is more, to what it does
// not count, but never more than half of the memory.
func applyLimits(config *Config) budget.Resources {
	available := budget.Unlimited
	if config.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Cores))))
	}
	if config.Memory > 0 {
		available.Memory = config.Memory
		debug.SetMemoryLimit(max(config.Memory/2, config.Memory-max(uncountedMemory, config.Memory/4)))
	}
	if config.Sockets > 0 {
		available.Descriptors = config.Sockets
	}
	return available
}
