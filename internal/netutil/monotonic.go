package netutil

import "time"

// processStart is the origin of Monotonic; time.Since uses the monotonic clock.
var processStart = time.Now()

// Monotonic returns the time since the process started. Unlike Unix time it does not jump when the system clock is
// stepped, so durations are computed from it.
func Monotonic() time.Duration { return time.Since(processStart) }
