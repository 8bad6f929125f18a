package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"
)

// join: the first line of a collector comes in two pieces, the second of them 0.96 s after the connection began; a ping
// follows in it. TROUBLE=0 sends both at once.
func join(dir, record string) int {
	w, err := newWorld(dakar(), time.Now().UnixNano(), record)
	if err != nil {
		fail("%v", err)
	}
	w.mu.Lock()
	w.build(dir, 14)
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
	w.mu.Lock()
	w.startTraffic()
	w.mu.Unlock()
	go func() {
		time.Sleep(2 * time.Second)
		for range 10 {
			for _, d := range w.directors {
				w.joinInPieces(d)
			}
		}
	}()
	w.run(base + 25000)
	w.facts = append(w.facts, fmt.Sprintf("connections %d, closed or refused within 1 s before their join was whole %d", w.joins, w.early))
	return w.finish(lateJoins)
}

const lateJoins = "a connection may be closed if it has not joined within 1 s"

func (w *world) joinInPieces(d *director) {
	line := fmt.Sprintf(`{"t":"collector","locality":%q}`+"\n"+`{"t":"ping"}`+"\n", w.p.zones[0])
	began := time.Now() // before the connection is asked for: the director can't have accepted it earlier
	c, err := net.Dial("tcp", d.listen)
	if err != nil {
		fail("%v", err)
	}
	defer c.Close()
	first, rest := line[:20], line[20:]
	var got string
	var after time.Duration
	done := make(chan bool)
	go func() {
		got, _ = bufio.NewReader(c).ReadString('\n')
		after = time.Since(began)
		close(done)
	}()
	fmt.Fprint(c, first)
	if trouble {
		select {
		case <-done:
		case <-time.After(960*time.Millisecond - time.Since(began)):
		}
	}
	sent := time.Since(began)
	_, writeErr := fmt.Fprint(c, rest)
	select {
	case <-done:
	case <-time.After(2 * time.Second):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.joins++
	w.log("collector to %s: rest of its line %.0f ms after the connection began (error: %v), answer %q after %.0f ms", d.name,
		float64(sent.Microseconds())/1000, writeErr, strings.TrimSpace(got), float64(after.Microseconds())/1000)
	if !strings.Contains(got, "pong") && after < time.Second {
		w.early++
		w.breaks(lateJoins, "a collector's connection to %s was ended with %q %.0f ms after it was asked for", d.name, strings.TrimSpace(got), float64(after.Microseconds())/1000)
	}
}
