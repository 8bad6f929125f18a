package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["gone"] = gone }

// heldLink passes on what clients send. While it is silent it keeps everything, as a network does whose peers send again
// what was not acknowledged: requests, and the ends of connections, come when it is over.
type heldLink struct {
	addr, to string
	mu       sync.Mutex
	open     chan struct{} // closed while bytes pass
}

func (r *run) newHeldLink(to string) *heldLink {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	l := &heldLink{addr: ln.Addr().String(), to: to, open: make(chan struct{})}
	close(l.open)
	r.onClose(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.pass(c.(*net.TCPConn))
		}
	}()
	return l
}

func (l *heldLink) wait() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

func (l *heldLink) silence(d time.Duration) {
	l.mu.Lock()
	l.open = make(chan struct{})
	l.mu.Unlock()
	time.Sleep(d)
	l.mu.Lock()
	close(l.open)
	l.mu.Unlock()
}

func (l *heldLink) pass(c *net.TCPConn) {
	defer c.Close()
	l.wait()
	conn, err := net.DialTimeout("tcp", l.to, time.Second)
	if err != nil {
		return
	}
	s := conn.(*net.TCPConn)
	defer s.Close()
	go func() {
		b := make([]byte, 64<<10)
		for {
			n, err := s.Read(b)
			l.wait()
			if n > 0 {
				c.Write(b[:n])
			}
			if err != nil {
				c.Close()
				return
			}
		}
	}()
	b := make([]byte, 64<<10)
	for {
		n, err := c.Read(b)
		l.wait()
		if n > 0 {
			if _, err := s.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				s.SetLinger(0)
			}
			return
		}
	}
}

// gone lets a part of the clients be cut off from their proxy for 6 s. They give up their calls meanwhile, as always. What
// they had sent reaches the proxy when the cut is over, with the ends of their connections right behind it. Other clients
// are not cut off.
func gone(r *run) {
	const limit, late = 3000.0, 500.0 // ms: the time limit of the route, and by how much an answer may miss it
	roster := r.roster()
	var mu sync.Mutex
	ran := 0
	r.hosts(8, 20*time.Millisecond, func(h *host, q *http.Request) {
		r.notef("call %s reached %s", q.Header.Get("X-Call"), h.id)
		mu.Lock()
		ran++
		mu.Unlock()
	}, roster)
	listen, admin := freeAddress(), freeAddress()
	r.director(directorSettings{name: "d1", listen: listen, admin: admin, roster: roster.URL(), wait: "20s", service: "  slices = 48\n" + dakarRoutes})
	os.Setenv("GOMAXPROCS", "1") // a machine of one core
	p, address := r.relay("relay-1", "poll", "http://"+listen)
	os.Unsetenv("GOMAXPROCS")
	way := r.newHeldLink(address)
	var wg sync.WaitGroup
	gaveUp, lost, answered := 0, 0, 0
	// calls makes a call each interval, each with a wait of its own, and hands the status over, 0 for none.
	calls := func(ctx context.Context, name, to string, every time.Duration, wait func() float64, done func(id string, status int)) {
		c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
		for n := 0; ctx.Err() == nil; n++ {
			wg.Go(func() {
				callCtx, stop := context.WithTimeout(context.Background(), time.Duration(wait()*float64(time.Millisecond)))
				defer stop()
				id, sent := fmt.Sprintf("%s-%d", name, n), r.now()
				status, body, err := call(callCtx, c, "GET", "http://"+to+"/draft", map[string]string{"X-Key": id, "X-Call": id})
				r.notef("call %s, sent at %.1f: answer %d %.60q, error %v", id, sent, status, body, err)
				mu.Lock()
				defer mu.Unlock()
				done(id, status)
			})
			time.Sleep(every)
		}
	}
	farCtx, stopFar := context.WithCancel(context.Background())
	nearCtx, stopNear := context.WithCancel(context.Background())
	wg.Go(func() {
		calls(farCtx, "far", way.addr, time.Second/85, func() float64 { return limit * (0.4 + 0.6*rand.Float64()) }, func(_ string, status int) {
			if status == 0 {
				gaveUp++
			}
		})
	})
	wg.Go(func() {
		calls(nearCtx, "near", address, 100*time.Millisecond, func() float64 { return limit + late }, func(id string, status int) {
			if answered++; status == 0 {
				answered--
				lost++
				r.brokenf("call %s of a client that was not cut off got no final answer within %.0f ms", id, limit+late)
			}
		})
	})
	time.Sleep(4 * time.Second)
	if r.trouble {
		r.notef("the way of the far clients is silent")
		way.silence(6 * time.Second)
		r.notef("it passes again")
	}
	stopFar()
	before, began := cpuSeconds(p.Process.Pid), r.now()
	time.Sleep(15 * time.Second)
	r.notef("the proxy used %.2f cores of 1 since then", 1000*(cpuSeconds(p.Process.Pid)-before)/(r.now()-began))
	stopNear()
	wg.Wait()
	r.notef("far clients gave up %d calls; of the near ones %d were answered and %d lost; hosts were reached %d times", gaveUp, answered, lost, ran)
}
