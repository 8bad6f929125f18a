package main

import (
	"syscall"
	"time"
)

// pieces: for 15 s the answers of discovery come in four pieces, 0.2 s apart; in that time two hosts begin to drain.
// TROUBLE=0 lets each answer come at once.
func pieces(dir, record string) int {
	w, err := newWorld(dakar(), time.Now().UnixNano(), record)
	if err != nil {
		fail("%v", err)
	}
	w.mu.Lock()
	w.build(dir, 14)
	for _, d := range w.directors {
		d.tellWithin = 6000 // the latest by which the page counts a change as told
	}
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
	if trouble {
		at(8, func() {
			w.log("from now on the answers of discovery come in 4 pieces, 0.2 s apart")
			for _, d := range w.directors {
				d.pieces, d.pieceGap = 4, 200*time.Millisecond
			}
		})
		at(23, func() {
			w.log("the answers of discovery come at once again")
			for _, d := range w.directors {
				d.pieces = 1
			}
		})
	}
	at(10, func() {
		for _, h := range w.hosts[:2] {
			w.list(h, "leaving")
		}
	})
	w.mu.Unlock()
	w.run(base + 30000)
	return w.finish("drains kept")
}
