// Package nets sets up netpoll for all that uses it; netpoll takes such settings before main alone.
package nets

import (
	"io"

	"github.com/bytedance/gopkg/util/gopool"
	"github.com/cloudwego/netpoll"
)

// A connection that waits keeps netpoll's buffers, and a request is a few hundred bytes: two buffers of half a KiB in place
// of 8 and 4. Longer heads and bodies come in several reads.
//
// netpoll's own log is off. What it says (a dial that was reset while it waited, above all) comes back as an error
// anyhow, and it prints live structures that its other goroutines write.
func init() {
	netpoll.LinkBufferCap = 1 << 9
	netpoll.Configure(netpoll.Config{BufferSize: 1 << 9, LoggerOutput: io.Discard})
}

// Go runs f on the pool that netpoll itself uses for its handlers.
func Go(f func()) { gopool.Go(f) }
