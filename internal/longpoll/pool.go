package longpoll

import (
	"github.com/bytedance/gopkg/util/gopool"
	"github.com/cloudwego/netpoll"
)

// A poll that waits keeps netpoll's buffers, and a request is a few hundred bytes: two buffers of 1 KiB in place
// of 8 and 4. Longer heads and reports come in several reads. netpoll takes such settings before main alone.
func init() {
	netpoll.LinkBufferCap = 1 << 10
	netpoll.Configure(netpoll.Config{BufferSize: 1 << 10})
}

// netpollGo runs f on the pool that netpoll itself uses for its handlers.
func netpollGo(f func()) { gopool.Go(f) }
