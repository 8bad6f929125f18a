package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"vetchwood/internal/standin"
	"vetchwood/internal/tables"
)

// cases holds the cases by the name that run.sh gives.
var cases = map[string]func(*run){}

// Two services, with figures of the pages: dakar has repeatable and keyed calls, census mutating ones and single owners.
const (
	dakarRoutes = `  route "draft" {
    repeat     = "repeatable"
    importance = 1
    slo        = "1.2s"
    time_limit = "3s"
    late_share = 0.2
  }
  route "submit" {
    repeat     = "keyed"
    reach      = "cell"
    span       = "4s"
    writes     = true
    importance = 3
    slo        = "1.2s"
    time_limit = "4s"
    late_share = 0.1
  }`
	censusRoutes = `  route "draft" {
    repeat     = "repeatable"
    importance = 3
    slo        = "1.5s"
    time_limit = "5s"
  }
  route "submit" {
    repeat     = "mutating"
    writes     = true
    importance = 9
    slo        = "1s"
    time_limit = "2.5s"
  }`
	drainGrace = 2000.0 // ms, as in the settings
	slack      = 300.0  // ms that the rules on sockets add
)

// directorSettings is what differs between the directors of the cases.
type directorSettings struct {
	name, listen, admin, roster, wait, service, proxies, rest string
}

func (s directorSettings) file() string {
	return fmt.Sprintf(`director %q {
  listen = %q
  admin  = %q
  store  = %q
  zone   = "a"
}
service {
  zones  = ["a"]
  pick   = "lottery"
%s
}
hosts {
  cold_from    = 0.2
  warm_after   = "12s"
  tip_multiple = 3
  fall_after   = "1.5s"
  drain_grace  = "2s"
  load         = ["busy", "rate"]
}
proxies {
  most            = 12
  lease           = "3s"
  bare_limit      = "2.3s"
  ejects_after    = 8
  waits_for_table = "500ms"
%s
}
channel {
  lines_per_second = 8300
  queue_lines      = 8300
  head_lines       = 16
  transit          = "20ms"
  worst_transit    = "250ms"
}
reports {
  every            = "500ms"
  lines_per_second = 300
}
roster {
  consul  = %q
  service = "hosts"
  wait    = %q
}
%s
`, s.name, s.listen, s.admin, s.name+".db", s.service, s.proxies, s.roster, s.wait, s.rest)
}

// director starts a director and waits until it is ready.
func (r *run) director(s directorSettings) *process {
	return r.startDirector(s.name, r.write(s.name+".hcl", s.file()), s.admin)
}

func (r *run) startDirector(name, file, admin string) *process {
	p := r.launch(name, "run", file)
	r.await(name+" ready", 10*time.Second, func() bool { return statusOf("http://"+admin+"/readyz") == 200 })
	return p
}

// relay starts a proxy and waits until it holds tables. It returns its address.
func (r *run) relay(name, front string, directors ...string) (p *process, address string) {
	listen, admin, list := freeAddress(), freeAddress(), []string{}
	for _, d := range directors {
		list = append(list, fmt.Sprintf("%q", d))
	}
	p = r.launch(name, "relay", r.write(name+".hcl", fmt.Sprintf(`relay %q {
  listen    = %q
  admin     = %q
  zone      = "a"
  front     = %q
  directors = [%s]
  rate      = 30
}
route "draft" {
  prefix = "/draft"
  key    = "header:X-Key"
}
route "submit" {
  prefix = "/submit"
  key    = "header:X-Key"
}
`, name, listen, admin, front, strings.Join(list, ", "))))
	r.await(name+" holds tables", 10*time.Second, func() bool { return statusOf("http://"+admin+"/readyz") == 200 })
	return p, listen
}

// hosts starts n hosts, whose work takes the given time, and registers them as started long ago.
func (r *run) hosts(n int, work time.Duration, onCall func(*host, *http.Request), rosters ...*standin.Registry) (all []*host) {
	for i := range n {
		h := r.newHost(fmt.Sprintf("h%d", i+1))
		h.work, h.onCall = work, onCall
		all = append(all, h)
		for _, roster := range rosters {
			roster.Put(h.id, tables.Address(h.addr), "a", "c1", 0)
		}
	}
	return all
}

// client returns a client that keeps its connections.
func client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 8 * time.Second}
}

// traffic makes calls at a proxy, one each interval, until stop is called, which waits for the last answer.
func (r *run) traffic(name, address, method, path string, keys int, every time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c, wg := client(), &sync.WaitGroup{}
	wg.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			id, key := fmt.Sprintf("%s-%d", name, n), fmt.Sprintf("k%d", n%keys)
			wg.Go(func() {
				sent := r.now()
				status, body, err := call(context.Background(), c, method, "http://"+address+path, map[string]string{"X-Key": key, "X-Call": id, "X-Proxy": name})
				r.notef("call %s of key %s, sent at %.1f: answer %d %.60q, error %v", id, key, sent, status, body, err)
			})
			time.Sleep(every)
		}
	})
	return func() { cancel(); wg.Wait() }
}

// stopDirector ends a director with SIGTERM and waits for its end.
func (r *run) stopDirector(p *process) {
	r.signal(p, syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(10 * time.Second):
		failf("%s has not ended", p.name)
	}
}
