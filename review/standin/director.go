package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// director is a real director, its relay, its discovery agent and what the collectors have for it.
type director struct {
	w          *world
	index      int
	name       string
	listen     string
	relay      net.Listener
	discovery  net.Listener
	configPath string
	logPath    string
	process    *os.Process
	exited     chan error
	stopping   atomic.Bool // the program is being ended by the case

	usedAt      float64 // when it first answered a ping since its start; 0: not yet
	brokenUntil float64 // until when the time limits wait, because the relay broke a call or the news
	commits     int

	lists   map[string]string  // the status of each host as told
	since   map[string]float64 // the start of each host as told, in Unix milliseconds
	toldOut map[string]float64 // when it was told that a host drains or is gone
	version int
	changes []change
	// pieces is the number of pieces that an answer of discovery comes in, pieceGap the time from one to the next, and
	// tellWithin the time after which a change counts as told whether it has arrived or not.
	pieces     int
	pieceGap   time.Duration
	tellWithin float64
	wake       chan struct{}

	resetOn     func([]op) bool // whether the relay resets all connections instead of taking a call
	fault       func() string   // how the relay breaks the next call
	http        *http.Server
	conns       []net.Conn
	silent      bool // the relay is cut off
	subscriber  net.Conn
	waiting     float64 // lines in the channel
	clearAt     float64 // when the channel has sent all
	mostWaiting float64

	hosts   map[string]*sums
	heats   map[string]*sums
	pending []string // keys of sums with something to report, the oldest first
	outbox  [][]string
}

type change struct {
	index int
	host  string
}

// delivery is a message to a proxy.
type delivery struct {
	proxy  *proxy
	ops    []op
	lines  float64
	sentAt float64
}

type op struct {
	Verb     string
	Cluster  *int
	Endpoint string
	W        *float64
	Classes  []string
	Level    *float64
	Retry    *int
	Ticket   *int
	Set      int
}

// sums are what is to be reported of a host or a slice.
type sums struct {
	text          string // the head of the line
	total, errors int
	time          float64
	from          float64
	host          *host
	queued        bool
}

func listenLoopback() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	return ln
}

func freeAddress() string {
	ln := listenLoopback()
	defer ln.Close()
	return ln.Addr().String()
}

func (w *world) addDirector(dir string) *director {
	d := &director{w: w, index: len(w.directors), listen: freeAddress(), relay: listenLoopback(), discovery: listenLoopback(),
		lists: map[string]string{}, since: map[string]float64{}, toldOut: map[string]float64{}, wake: make(chan struct{}),
		hosts: map[string]*sums{}, heats: map[string]*sums{}, version: 1}
	d.name = "n" + strconv.Itoa(d.index)
	d.configPath = filepath.Join(dir, d.name+".json")
	d.logPath = filepath.Join(dir, d.name+".log")
	w.directors = append(w.directors, d)
	go d.serveRelay()
	d.http = &http.Server{Handler: http.HandlerFunc(d.serveList)}
	go d.http.Serve(d.discovery)
	return d
}

// entry returns the entry of a host for discovery.
func (d *director) entry(name string) string {
	h := d.w.byName[name]
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":"std-4c","group":%d,"status":%q,"weight":1.0,"since_ms":%.0f}`,
		h.name, h.address, h.zone, h.group, d.lists[name], d.since[name])
}

func (d *director) list() string {
	var all []string
	for _, h := range d.w.hosts {
		if s := d.lists[h.name]; s != "" && s != "left" {
			all = append(all, d.entry(h.name))
		}
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, d.version, strings.Join(all, ","))
}

// tell has discovery tell this director the present state of a host. The caller holds mu.
func (d *director) tell(h *host) {
	d.lists[h.name], d.since[h.name] = h.status, h.since
	if h.status == "active" {
		delete(d.toldOut, h.name)
	} else if _, is := d.toldOut[h.name]; !is {
		d.toldOut[h.name] = d.w.now() + d.tellWithin
	}
	d.version++
	d.changes = append(d.changes, change{d.version, h.name})
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *director) hasWarmHost(now float64) bool {
	unix := float64(d.w.began.UnixMilli()) + now
	for name, status := range d.lists {
		if status == "active" && (d.since[name] == 0 || unix-d.since[name] >= d.w.p.warmAfter) {
			return true
		}
	}
	return false
}

// serveList answers a request for the list, or a watch once the list changes or its wait is over.
func (d *director) serveList(rw http.ResponseWriter, r *http.Request) {
	w := d.w
	after, err := strconv.Atoi(r.FormValue("after"))
	watch := err == nil
	w.mu.Lock()
	if watch {
		wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
		timeout, late := time.After(time.Duration(wait)*time.Millisecond), false
		for after >= d.version && !late {
			wake := d.wake
			w.mu.Unlock()
			select {
			case <-wake:
			case <-timeout:
				late = true
			case <-r.Context().Done():
				return
			}
			w.mu.Lock()
		}
	}
	body := d.list()
	if watch {
		var all []string
		seen := map[string]bool{}
		for _, c := range d.changes {
			if c.index > after && !seen[c.host] {
				seen[c.host] = true
				all = append(all, d.entry(c.host))
			}
		}
		body = fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[%s]}`, d.version, strings.Join(all, ","))
	}
	pieces, gap := d.pieces, d.pieceGap
	w.mu.Unlock()
	if pieces <= 1 {
		fmt.Fprint(rw, body)
		return
	}
	c, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body)
	for i := range pieces {
		if i > 0 {
			time.Sleep(gap)
		}
		if _, err := fmt.Fprint(c, text[len(text)*i/pieces:len(text)*(i+1)/pieces]); err != nil {
			w.mu.Lock()
			w.log("discovery of %s: the director closed the connection after %d of %d pieces", d.name, i, pieces)
			w.mu.Unlock()
			return
		}
	}
	w.mu.Lock()
	w.log("discovery of %s has written a list whole, in %d pieces", d.name, pieces)
	w.mu.Unlock()
}

// start starts the program and waits until it answers a ping.
func (d *director) start() {
	w := d.w
	w.mu.Lock()
	config := d.config()
	w.log("director %s starts", d.name)
	w.mu.Unlock()
	if err := os.WriteFile(d.configPath, []byte(config), 0o600); err != nil {
		fail("%v", err)
	}
	logFile, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		fail("%v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", runCommand)
	cmd.Env = append(os.Environ(), "GW_NAME="+d.name, "GW_LISTEN="+d.listen, "GW_DISCOVERY="+d.discovery.Addr().String(), "GW_CONFIG="+d.configPath)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.stopping.Store(false)
	if err := cmd.Start(); err != nil {
		fail("%v", err)
	}
	logFile.Close()
	startedMu.Lock()
	started[cmd.Process] = true
	startedMu.Unlock()
	exited := make(chan error, 1)
	go func() {
		err := cmd.Wait()
		startedMu.Lock()
		delete(started, cmd.Process)
		startedMu.Unlock()
		if !d.stopping.Load() {
			fail("director %s ended by itself: %v", d.name, err)
		}
		exited <- err
	}()
	d.process, d.exited = cmd.Process, exited
	for end := time.Now().Add(20 * time.Second); !d.ping(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			fail("director %s was not ready after 20 s", d.name)
		}
	}
	w.mu.Lock()
	d.usedAt = w.now()
	for _, p := range w.proxies {
		clear(p.bare)
	}
	w.log("director %s answers", d.name)
	w.mu.Unlock()
}

func (d *director) ping() bool {
	c, err := net.DialTimeout("tcp", d.listen, 300*time.Millisecond)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintln(c, `{"t":"ping"}`)
	line, _ := bufio.NewReader(c).ReadString('\n')
	return line == `{"t":"pong"}`+"\n"
}

// stop sends a signal that ends the program, waits for the end, and empties the channel.
func (d *director) stop(sig syscall.Signal) {
	w := d.w
	w.mu.Lock()
	w.log("director %s is sent %v", d.name, sig)
	d.usedAt = 0
	w.mu.Unlock()
	d.stopping.Store(true)
	d.process.Signal(sig)
	select {
	case <-d.exited:
	case <-time.After(700 * time.Millisecond):
		d.process.Kill()
		<-d.exited
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// The streams of the proxies to this director end with it, and what waits in its channel is lost. The proxies go on
	// with what they hold: tables, levels and withdrawals.
	d.waiting, d.clearAt, d.subscriber = 0, 0, nil
	for _, p := range w.proxies {
		p.joined[d.index] = false
		p.stream[d.index]++
	}
	w.log("director %s has ended", d.name)
}

func (d *director) serveRelay() {
	ln := d.relay
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		d.w.mu.Lock()
		d.conns = append(d.conns, c)
		d.w.mu.Unlock()
		go d.serveCalls(c)
	}
}

// closeAll closes the connections to the relay that are open now. The caller holds mu.
func (d *director) closeAll() {
	for _, c := range d.conns {
		c.Close()
	}
	d.conns = nil
}

// cutOff keeps the relay silent for a time; its connections are reset then.
func (d *director) cutOff(ms float64) {
	d.silent = true
	d.subscriber = nil
	d.brokenUntil = max(d.brokenUntil, d.w.now()+ms+4000)
	d.w.log("relay of %s is silent for %.0f ms", d.name, ms)
	d.w.after(ms, func() { d.silent = false; d.closeAll() })
}

// reload moves the relay and discovery to new addresses, writes the new configuration and sends SIGHUP.
func (d *director) reload() {
	w := d.w
	w.mu.Lock()
	oldRelay, oldDiscovery, oldConns := d.relay, d.discovery, d.conns
	d.conns = nil
	d.relay, d.discovery = listenLoopback(), listenLoopback()
	go d.serveRelay()
	server := &http.Server{Handler: http.HandlerFunc(d.serveList)}
	go server.Serve(d.discovery)
	oldServer := d.http
	d.http = server
	config := d.config()
	d.brokenUntil = max(d.brokenUntil, w.now()+4000)
	w.log("director %s is sent SIGHUP", d.name)
	w.after(1500, func() {
		for _, c := range oldConns {
			c.Close()
		}
		if oldServer != nil {
			oldServer.Close()
		}
	})
	w.mu.Unlock()
	if err := os.WriteFile(d.configPath, []byte(config), 0o600); err != nil {
		fail("%v", err)
	}
	oldRelay.Close()
	oldDiscovery.Close()
	d.process.Signal(syscall.SIGHUP)
}

// handOver gives a slice to another director. The caller holds mu.
func (w *world) handOver(s *slice, to int, gap float64) {
	from := w.directors[s.owner]
	w.log("slice %d goes from n%d to n%d", s.id, s.owner, to)
	from.notify("given", fmt.Sprintf(`"shard":%d,"set":false`, s.id))
	s.owner = -1
	w.after(gap, func() {
		s.owner, s.givenAt = to, w.now()
		d := w.directors[to]
		d.notify("given", fmt.Sprintf(`"shard":%d,"set":true`, s.id))
		for _, name := range sortedKeys(s.table) {
			d.notify("held", fmt.Sprintf(`"shard":%d,"endpoint":%q,"w":%g`, s.id, name, s.table[name]))
		}
		for _, p := range w.proxies {
			w.after(160+w.rng.Float64()*260, func() { p.tables[s.id] = maps.Clone(s.table) })
		}
	})
}

func (d *director) config() string {
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"store":{"address":%q},"known":%s,"settings":%s}`, d.name, d.listen, d.discovery.Addr(), d.w.rng.Uint64(), d.relay.Addr(), d.list(), d.w.settings(d.index))
}

func (d *director) serveCalls(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 1<<17)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return
		}
		var in struct {
			ID     int
			Method string
			Params struct{ Ops []op }
		}
		if err := json.Unmarshal(line, &in); err != nil {
			fmt.Fprintln(c, `{"jsonrpc":"2.0","id":null,"error":"invalid"}`)
			continue
		}
		d.w.mu.Lock()
		if d.silent {
			d.w.mu.Unlock()
			continue
		}
		switch in.Method {
		case "subscribe":
			d.subscribe(c, in.ID)
			d.w.mu.Unlock()
		case "commit":
			if d.resetOn != nil && d.resetOn(in.Params.Ops) {
				reset(c)
				for _, other := range d.conns {
					if other != c {
						reset(other)
					}
				}
				d.conns, d.subscriber = nil, nil
				d.w.mu.Unlock()
				return
			}
			fault := ""
			if d.fault != nil {
				fault = d.fault()
			}
			if fault != "" {
				d.w.log("relay of %s breaks the next call: %s", d.name, fault)
				wait := 1500.0
				if fault == "before" || fault == "after" {
					wait = 500
				}
				d.brokenUntil = max(d.brokenUntil, d.w.now()+wait)
			}
			n := 0
			if fault != "before" && fault != "silent" {
				n = d.commit(in.Params.Ops)
			}
			d.w.mu.Unlock()
			switch fault {
			case "before", "after":
				return
			case "silent", "silent-after":
				continue
			case "garbled":
				fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"result":{"ok_count":"many"}}`+"\n", in.ID)
				continue
			}
			fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"result":{"ok_count":%d}}`+"\n", in.ID, n)
		default:
			d.w.mu.Unlock()
			fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"error":"invalid"}`+"\n", in.ID)
		}
	}
}

// reset ends a connection with a reset.
func reset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func (d *director) subscribe(c net.Conn, id int) {
	w := d.w
	var out strings.Builder
	fmt.Fprintf(&out, `{"jsonrpc":"2.0","id":%d,"result":true}`+"\n", id)
	for _, p := range w.proxies {
		if p.joined[d.index] {
			fmt.Fprintf(&out, `{"jsonrpc":"2.0","method":"joined","params":{"node":%d,"locality":%q,"w":%.1f,"cold":%v}}`+"\n",
				p.id, w.p.zones[p.zone], w.p.rate/float64(len(w.proxies)), p.cold[d.index])
			p.cold[d.index] = false
		}
	}
	for _, s := range w.slices {
		if s.owner == d.index {
			fmt.Fprintf(&out, `{"jsonrpc":"2.0","method":"given","params":{"shard":%d,"set":true}}`+"\n", s.id)
			for _, name := range sortedKeys(s.table) {
				fmt.Fprintf(&out, `{"jsonrpc":"2.0","method":"held","params":{"shard":%d,"endpoint":%q,"w":%g}}`+"\n", s.id, name, s.table[name])
			}
		}
	}
	d.subscriber = c
	fmt.Fprint(c, out.String())
	for _, p := range w.proxies {
		if !p.joined[d.index] {
			w.after(200+w.rng.Float64()*1000, func() { d.join(p) })
		}
	}
	go func() {
		for {
			time.Sleep(time.Second)
			w.mu.Lock()
			stale := d.subscriber != c
			w.mu.Unlock()
			if _, err := fmt.Fprintln(c, `{"jsonrpc":"2.0","method":"ping"}`); err != nil || stale {
				return
			}
		}
	}()
}

// leave breaks the stream of a proxy. The relay notices it late, or when the proxy joins again.
func (d *director) leave(p *proxy, notice, redial float64) {
	w := d.w
	if !p.joined[d.index] {
		return
	}
	p.joined[d.index] = false
	p.stream[d.index]++
	w.log("stream of proxy %d to %s breaks", p.id, d.name)
	stream := p.stream[d.index]
	told := false
	tell := func() {
		if !told && p.stream[d.index] == stream {
			told = true
			d.notify("left", fmt.Sprintf(`"node":%d`, p.id))
		}
	}
	w.after(notice, tell)
	w.after(redial, func() {
		if p.stream[d.index] == stream {
			tell()
			d.join(p)
		}
	})
}

// join has a proxy join the director, after a stream of its own has ended: it holds what it held, and reads the store.
func (d *director) join(p *proxy) {
	w := d.w
	if p.joined[d.index] || d.subscriber == nil {
		return
	}
	p.joined[d.index], p.joinAt[d.index] = true, w.now()
	var masked []string
	for name := range p.masked[d.index] {
		masked = append(masked, name)
	}
	sort.Strings(masked)
	w.log("proxy %d joins %s, holding withdrawals of %v", p.id, d.name, masked)
	d.notify("joined", fmt.Sprintf(`"node":%d,"locality":%q,"w":%.1f,"cold":%v`, p.id, w.p.zones[p.zone], w.p.rate/float64(len(w.proxies)), p.cold[d.index]))
	p.cold[d.index] = false
	stream := p.stream[d.index]
	w.after(160+w.rng.Float64()*260, func() {
		for _, s := range w.slices {
			if s.owner == d.index && p.stream[d.index] == stream {
				p.tables[s.id] = maps.Clone(s.table)
			}
		}
	})
}

func sortedKeys(m map[string]float64) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// notify sends a notification. The caller holds mu.
func (d *director) notify(method, params string) {
	if d.subscriber != nil {
		fmt.Fprintf(d.subscriber, `{"jsonrpc":"2.0","method":%q,"params":{%s}}`+"\n", method, params)
	}
}

// commit takes the orders of a call: lines of the store hold at once, and one message goes to each joined proxy.
func (d *director) commit(ops []op) (accepted int) {
	w := d.w
	d.commits++
	var lines float64
	var text []string
	taken := ops[:0:0]
	for _, o := range ops {
		if (o.Verb == "share" || o.Verb == "withdraw" || o.Verb == "restore") && w.byName[o.Endpoint] == nil {
			break
		}
		accepted++
		if o.Cluster != nil && w.slices[*o.Cluster].owner != d.index {
			text = append(text, fmt.Sprintf("(%s %d %s: not held)", o.Verb, *o.Cluster, o.Endpoint))
			continue
		}
		switch o.Verb {
		case "share":
			s := w.slices[*o.Cluster]
			if *o.W > 0 {
				s.table[o.Endpoint] = *o.W
			} else {
				delete(s.table, o.Endpoint)
			}
			text = append(text, fmt.Sprintf("share %d %s %g", *o.Cluster, o.Endpoint, *o.W))
		case "clear":
			clear(w.slices[*o.Cluster].table)
			text = append(text, fmt.Sprintf("clear %d", *o.Cluster))
		case "mark":
			text = append(text, fmt.Sprintf("mark %d", *o.Ticket))
		case "admit":
			text = append(text, fmt.Sprintf("admit %v %g retry %d", o.Classes, *o.Level, *o.Retry))
		default:
			text = append(text, o.Verb+" "+o.Endpoint)
		}
		lines++
		taken = append(taken, o)
	}
	w.log("relay of %s takes %d of %d orders: %s", d.name, accepted, len(ops), strings.Join(text, "; "))
	now := w.now()
	for _, p := range w.proxies {
		if !p.joined[d.index] || len(taken) == 0 {
			continue
		}
		size := lines + w.p.head
		d.waiting += size
		d.mostWaiting = max(d.mostWaiting, d.waiting)
		d.clearAt = max(d.clearAt, now) + size/w.p.lines*1000
		m := &delivery{p, taken, size, now}
		stream := p.stream[d.index]
		w.after(d.clearAt-now, func() {
			if p.stream[d.index] != stream {
				return
			}
			d.waiting = max(0, d.waiting-m.lines)
			late := min(w.p.worstTransit, w.p.transit*(0.5+0.5*w.rng.ExpFloat64()))
			p.lastIn[d.index] = max(p.lastIn[d.index], w.now()+late)
			w.after(p.lastIn[d.index]-w.now(), func() {
				if p.stream[d.index] == stream {
					d.deliver(m)
				}
			})
		})
	}
	if d.waiting > w.p.pending {
		w.breaks("a short queue", "%.0f lines wait in the channel of %s, limit %.0f", d.waiting, d.name, w.p.pending)
	}
	return accepted
}

// deliver has a proxy apply a message.
func (d *director) deliver(m *delivery) {
	p := m.proxy
	for _, o := range m.ops {
		if o.Cluster != nil && d.w.slices[*o.Cluster].owner != d.index {
			continue
		}
		switch o.Verb {
		case "share":
			if *o.W > 0 {
				p.tables[*o.Cluster][o.Endpoint] = *o.W
			} else {
				delete(p.tables[*o.Cluster], o.Endpoint)
			}
		case "clear":
			clear(p.tables[*o.Cluster])
		case "withdraw":
			p.masked[d.index][o.Endpoint] = true
		case "restore":
			delete(p.masked[d.index], o.Endpoint)
		case "admit":
			routes := o.Classes
			if len(routes) == 0 {
				routes = []string{"formule-lire", "lot-noter"}
			}
			for _, r := range routes {
				p.level[d.index][r] = *o.Level
			}
		case "mark":
			d.notify("applied", fmt.Sprintf(`"node":%d,"nonce":%d,"latency":%.1f`, p.id, *o.Ticket, d.w.now()-m.sentAt))
		}
	}
}

// heard adds a try to the sums of a host.
func (d *director) heard(zone int, name string, good bool, ms float64) {
	key := strconv.Itoa(zone) + "/" + name
	s := d.hosts[key]
	if s == nil {
		s = &sums{text: fmt.Sprintf(`{"t":"heard","locality":%q,"endpoint":%q`, d.w.p.zones[zone], name), from: d.w.now(), host: d.w.byName[name]}
		d.hosts[key] = s
	}
	s.total++
	if good {
		s.time += ms
	} else {
		s.errors++
	}
	d.enqueue("h"+key, s)
}

// heat returns the sums of a slice.
func (d *director) heat(shard int, route string) *sums {
	key := strconv.Itoa(shard) + "/" + route
	s := d.heats[key]
	if s == nil {
		s = &sums{text: fmt.Sprintf(`{"t":"heat","shard":%d,"route":%q`, shard, route), from: d.w.now()}
		d.heats[key] = s
	}
	d.enqueue("c"+key, s)
	return s
}

func (d *director) enqueue(key string, s *sums) {
	if !s.queued {
		s.queued = true
		d.pending = append(d.pending, key)
	}
}

// reports sends the sums, as many lines a second as may come, late.
func (d *director) reports() {
	w := d.w
	n := min(len(d.pending), int(float64(w.p.intake)*w.p.period/1000))
	var lines []string
	for _, key := range d.pending[:n] {
		s := d.hosts[key[1:]]
		if key[0] == 'c' {
			s = d.heats[key[1:]]
		}
		now := w.now()
		interval := max(w.p.period, now-s.from)
		line := fmt.Sprintf(`%s,"total":%d,"errors":%d,"interval":%.1f`, s.text, s.total, s.errors, interval)
		if s.host != nil {
			if s.total > s.errors {
				line += fmt.Sprintf(`,"rtt":%.1f`, s.time/float64(s.total-s.errors))
			}
			w.measure(s.host)
			line += fmt.Sprintf(`,"metrics":{"util":%.2f,"qps":%.1f}`, s.host.utilization, s.host.rate)
		}
		lines = append(lines, line+"}\n")
		s.total, s.errors, s.time, s.from, s.queued = 0, 0, 0, now, false
	}
	d.pending = slices.Clone(d.pending[n:])
	if len(lines) > 0 {
		w.after(w.p.reportLate, func() { d.outbox = append(d.outbox, lines) })
	}
	w.after(w.p.period, d.reports)
}

// collect connects the collectors of all zones, and reconnects them when the director ends.
func (d *director) collect() {
	for {
		var conns []net.Conn
		for _, zone := range d.w.p.zones {
			c, err := net.DialTimeout("tcp", d.listen, 300*time.Millisecond)
			if err != nil {
				break
			}
			fmt.Fprintf(c, `{"t":"collector","locality":%q}`+"\n", zone)
			conns = append(conns, c)
		}
		for len(conns) == len(d.w.p.zones) {
			time.Sleep(20 * time.Millisecond)
			d.w.mu.Lock()
			batches := d.outbox
			d.outbox = nil
			d.w.mu.Unlock()
			broken := false
			for _, lines := range batches {
				for _, line := range lines {
					at := 0
					for i, zone := range d.w.p.zones {
						if strings.Contains(line, `"locality":"`+zone+`"`) {
							at = i
						}
					}
					if _, err := fmt.Fprint(conns[at], line); err != nil {
						broken = true
					}
				}
			}
			if broken {
				break
			}
		}
		for _, c := range conns {
			c.Close()
		}
		time.Sleep(200 * time.Millisecond)
	}
}
