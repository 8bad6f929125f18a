package longpoll

import "github.com/bytedance/gopkg/util/gopool"

// netpollGo runs f on the pool that netpoll itself uses for its handlers.
func netpollGo(f func()) { gopool.Go(f) }
