package main

import (
	"syscall"
	"time"
)

// relayReset: two of thirty hosts begin to drain. As director n0 makes its call for that, its relay resets all connections of
// the director, once: the one of the call, which is not carried out, and the one of the news. TROUBLE=0 leaves out the
// reset.
func relayReset(dir, record string) int {
	p := dakar()
	p.proxies, p.slices, p.rate = 150, 150, 230 // 0.48 of what the hosts can do
	w, err := newWorld(p, time.Now().UnixNano(), record)
	if err != nil {
		fail("%v", err)
	}
	w.mu.Lock()
	w.build(dir, 30)
	w.mu.Unlock()
	for _, d := range w.directors {
		d.start()
	}
	defer func() {
		for _, d := range w.directors {
			d.stop(syscall.SIGKILL)
		}
	}()
	base := w.now()
	at := func(s float64, do func()) { w.after(base+s*1000-w.now(), do) }
	w.mu.Lock()
	w.startTraffic()
	at(12, func() {
		for _, h := range w.hosts[:2] {
			w.list(h, "leaving")
		}
	})
	resets := 0
	if trouble {
		d := w.directors[0]
		d.resetOn = func(ops []op) bool {
			for _, o := range ops {
				if resets == 0 && o.Verb == "withdraw" && o.Endpoint == w.hosts[0].name {
					resets++
					w.log("the relay of n0 resets all connections of the director under its call, which is not carried out")
					d.brokenUntil = w.now() + 4000
					return true
				}
			}
			return false
		}
	}
	w.mu.Unlock()
	w.run(base + 35000)
	if trouble && resets == 0 {
		fail("the director made no call to reset")
	}
	return w.finish("drains kept")
}
