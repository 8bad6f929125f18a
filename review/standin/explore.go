package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// explore is no case: it plays a release among disruptions that KINDS names (hand: slices change hands; cold: proxies
// restart; outage: relays go silent; hup: new configurations; restart: directors are killed; crash: hosts die and come
// back; wrong: the list forgets hosts; zone: a zone is lost; ghosts: it adds some that are none of ours), by default with broken calls, broken news and broken streams, which "quiet" leaves out. SEED and RATE set the
// draw and the calls a second.
func explore(dir, record string) int {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	if seed == 0 {
		seed = time.Now().UnixNano()
	}
	fmt.Println("seed", seed)
	p := dakar()
	p.rate = 100
	if r, _ := strconv.ParseFloat(os.Getenv("RATE"), 64); r > 0 {
		p.rate = r
	}
	hosts := 14
	if os.Getenv("WIDE") != "" {
		hosts, p.proxies, p.slices, p.rate = 30, 150, 150, 230
	}
	w, err := newWorld(p, seed, record)
	if err != nil {
		fail("%v", err)
	}
	has := func(k string) bool { return strings.Contains(os.Getenv("KINDS"), k) }
	w.mu.Lock()
	w.build(dir, hosts)
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
	kinds := []string{"before", "after", "silent", "silent-after", "garbled"}
	for _, d := range w.directors {
		d.fault = func() string {
			if has("quiet") || w.now() < base+8000 || w.rng.Float64() > 0.3 {
				return ""
			}
			return kinds[w.rng.Intn(len(kinds))]
		}
		var churn func()
		churn = func() {
			pr := w.proxies[w.rng.Intn(len(w.proxies))]
			d.leave(pr, 620+w.rng.Float64()*1080, 200+w.rng.Float64()*2200)
			w.after(w.rng.ExpFloat64()*1000, churn)
		}
		if !has("nochurn") {
			at(8, churn)
		}
		var news func()
		news = func() {
			if d.subscriber != nil && !has("quiet") {
				w.log("relay of %s breaks the news", d.name)
				d.subscriber.Close()
				d.subscriber = nil
				d.brokenUntil = max(d.brokenUntil, w.now()+4000)
			}
			w.after(8000+w.rng.Float64()*6000, news)
		}
		at(15+w.rng.Float64()*5, news)
	}
	if has("hand") {
		var hand func()
		hand = func() {
			for range 4 {
				s := w.slices[w.rng.Intn(len(w.slices))]
				if s.owner >= 0 {
					w.handOver(s, 1-s.owner, w.rng.Float64()*1500)
				}
			}
			w.after(w.rng.ExpFloat64()*1500, hand)
		}
		at(9, hand)
	}
	if has("cold") {
		var cold func()
		cold = func() {
			pr := w.proxies[w.rng.Intn(len(w.proxies))]
			w.log("proxy %d restarts", pr.id)
			for _, d := range w.directors {
				d.leave(pr, 0, 1000+w.rng.Float64()*1500)
				clear(pr.masked[d.index])
				clear(pr.level[d.index])
				pr.cold[d.index] = true
			}
			w.after(w.rng.ExpFloat64()*4000, cold)
		}
		at(9, cold)
	}
	if has("outage") {
		for i, d := range w.directors {
			at(16+4*float64(i), func() { d.cutOff(2000 + w.rng.Float64()*4000) })
			at(40+7*float64(i), func() { d.cutOff(2000 + w.rng.Float64()*4000) })
		}
	}
	if has("hup") {
		for i, d := range w.directors {
			at(13+4*float64(i), func() { go d.reload() })
			at(35+7*float64(i), func() { go d.reload() })
			at(52+3*float64(i), func() { go d.reload() })
		}
	}
	if has("restart") {
		for i, d := range w.directors {
			for _, t := range []float64{13, 25, 33, 47} {
				at(t+3*float64(i)+w.rng.Float64()*4, func() {
					down := time.Duration(200+w.rng.Float64()*1800) * time.Millisecond
					go func() { d.stop(syscall.SIGKILL); time.Sleep(down); d.start() }()
				})
			}
		}
	}
	if has("wrong") { // the list calls most hosts gone for a while, or all
		for _, t := range []float64{12, 36} {
			part := 0.6
			if t > 30 {
				part = 1
			}
			var gone []*host
			at(t, func() {
				for _, h := range w.hosts {
					if h.status == "active" && w.rng.Float64() < part {
						gone = append(gone, h)
						w.list(h, "left")
					}
				}
			})
			at(t+10, func() {
				for _, h := range gone {
					w.list(h, "active")
				}
			})
		}
	}
	if has("ghosts") { // the list adds hosts that are none of ours: they take calls and answer none
		var ghosts []*host
		at(14, func() {
			for i := range 12 {
				h := w.addHost(fmt.Sprintf("g-%08x", i), i%3, i%3, 0)
				h.ghost = true
				h.address = []string{"127.0.0.1:9", h.address}[i%2]
				ghosts = append(ghosts, h)
				w.list(h, "active")
			}
		})
		at(34, func() {
			for _, h := range ghosts {
				w.list(h, "left")
			}
		})
	}
	if has("zone") { // a zone is lost for 5 s and returns cold before the list has noticed, or after
		for i, t := range []float64{14, 40} {
			at(t, func() {
				for _, h := range w.hosts {
					if h.zone != w.p.zones[i] || h.status != "active" || !h.up {
						continue
					}
					w.die(h)
					if i == 1 {
						w.after(1500, func() { w.list(h, "left") })
					}
					w.after(5000, func() { w.comeUp(h) })
					w.after(5000+430+w.rng.Float64()*1470, func() { w.list(h, "active") })
				}
			})
		}
	}
	if has("crash") {
		crash := func() {
			for range 2 {
				h := w.hosts[w.rng.Intn(len(w.hosts))]
				if h.status != "active" || !h.up {
					continue
				}
				w.die(h)
				w.after(500+w.rng.Float64()*4500, func() { w.list(h, "left") })
				w.after(11000+w.rng.Float64()*5000, func() { w.comeUp(h); w.after(700, func() { w.list(h, "active") }) })
			}
		}
		at(11, crash)
		at(27, crash)
		at(44, crash)
	}
	n, steps := 0, 12
	if has("norelease") {
		steps = 0
	}
	for i := range steps {
		t := 10 + 4*float64(i)
		at(t, func() {
			var open []*host
			for _, h := range w.hosts {
				if h.status == "active" && h.up && !h.ghost && (h.startedAt == 0 || w.now()-h.startedAt > 3000) {
					open = append(open, h)
				}
			}
			for range max(1, hosts/14) {
				i := w.rng.Intn(len(open))
				old := open[i]
				open = append(open[:i:i], open[i+1:]...)
				n++
				h := w.addHost(fmt.Sprintf("s-%08x", 0x10000000+uint32(n)*0x1234567), slices.Index(w.p.zones, old.zone), old.group, 0)
				w.comeUp(h)
				w.list(h, "active")
				w.list(old, "leaving")
				w.after(5500, func() {
					w.die(old)
					w.list(old, "left")
				})
			}
		})
	}
	w.mu.Unlock()
	w.run(base + 70000)
	return w.finish("nobody left without a host", "drains kept", "a short queue", "no cold host pushed over")
}
