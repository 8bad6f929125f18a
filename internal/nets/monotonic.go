package nets

import "time"

// began anchors Monotonic; time.Since goes by the monotonic clock.
var processStart = time.Now()

// Monotonic is the time since the program started. Unlike Unix time it is not stepped with the system's clock, so
// spans are reckoned with it.
func Monotonic() time.Duration { return time.Since(processStart) }
