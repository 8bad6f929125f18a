// Package netutil provides client connections, listening sockets and line reading on netpoll. It also configures
// netpoll for the whole process, in an init function because netpoll accepts these settings only before main.
package netutil

import (
	"io"

	"github.com/bytedance/gopkg/util/gopool"
	"github.com/cloudwego/netpoll"
)

// Idle connections keep netpoll's buffers, and a request is a few hundred bytes, so both buffers are reduced to 512
// bytes from 8 and 4 KiB. Longer headers and bodies arrive in several reads.
//
// netpoll's own log is disabled. What it reports (mostly a dial that was reset while pending) is also returned as an
// error, and it prints live structures while its other goroutines write to them.
func init() {
	netpoll.LinkBufferCap = 1 << 9
	netpoll.Configure(netpoll.Config{BufferSize: 1 << 9, LoggerOutput: io.Discard})
}

// Go runs f on the goroutine pool that netpoll uses for its handlers.
func Go(f func()) { gopool.Go(f) }
