package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// relayStub is a stub of the platform's relay. It keeps lines and masks, sends notifications to subscribers, and
// injects faults into calls.
type relayStub struct {
	t           *testing.T
	ln          net.Listener
	mu          sync.Mutex
	state       []string // notifications that describe the present state
	subscribers map[net.Conn]bool
	// faults holds the outcomes of the next calls, in order: ok, before (connection closed before the call is applied),
	// reset (the same, with the connections of all subscribers a moment later), after (closed after it), silent (no
	// answer), garbled (malformed answer), throttled, part (no op is applied: the first one is at fault).
	faults []string
	lines  map[string]float64 // weight by cluster/endpoint
	masked map[string]bool
	marks  []int
	calls  int
	level  float64 // admission level last ordered for all classes: the share of calls that proxies admit
	// ackDelay is the time after which each joined proxy acknowledges a mark. If it is 0, proxies do not acknowledge.
	ackDelay time.Duration
	proxies  int
}

func newRelayStub(t *testing.T) *relayStub {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relayStub{t: t, ln: ln, subscribers: map[net.Conn]bool{}, lines: map[string]float64{}, masked: map[string]bool{}, level: 1}
	t.Cleanup(func() { ln.Close(); r.dropSubscribers() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r
}

func (r *relayStub) address() string { return r.ln.Addr().String() }

// dropSubscribers closes the connections of all subscribers.
func (r *relayStub) dropSubscribers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.subscribers {
		c.Close()
		delete(r.subscribers, c)
	}
}

// notify sends a notification to all subscribers, and keeps it if it is a part of the present state.
func (r *relayStub) notify(method, params string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := `{"jsonrpc":"2.0","method":"` + method + `","params":{` + params + `}}`
	if method == "joined" || method == "given" || method == "held" {
		r.state = append(r.state, line)
	}
	for c := range r.subscribers {
		fmt.Fprintln(c, line)
	}
}

// currentState returns the present state: the notifications kept, and the lines set since. The caller holds the lock.
func (r *relayStub) currentState() (state []string) {
	set := map[string]bool{}
	for line, weight := range r.lines {
		table, host, _ := strings.Cut(line, "/")
		set[fmt.Sprintf(`"shard":%s,"endpoint":%q`, table, host)] = true
		if weight > 0 {
			state = append(state, fmt.Sprintf(`{"jsonrpc":"2.0","method":"held","params":{"shard":%s,"endpoint":%q,"w":%g}}`, table, host, weight))
		}
	}
	var kept []string
	for _, line := range r.state {
		about := strings.TrimPrefix(line, `{"jsonrpc":"2.0","method":"held","params":{`)
		if head, _, cut := strings.Cut(about, `,"w"`); cut && set[head] {
			continue // replaced by a later order
		}
		kept = append(kept, line)
	}
	return append(kept, state...)
}

// acknowledge sends the acknowledgements of a mark by all proxies.
func (r *relayStub) acknowledge(ticket int) {
	for p := range r.proxies {
		r.notify("applied", fmt.Sprintf(`"node":%d,"nonce":%d,"latency":%d`, p, ticket, r.ackDelay.Milliseconds()))
	}
}

// injectFaults queues outcomes for the next calls.
func (r *relayStub) injectFaults(faults ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, faults...)
}

// check evaluates a condition with the lock held.
func (r *relayStub) check(condition func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return condition()
}

// serve reads calls from a connection until that ends.
func (r *relayStub) serve(c net.Conn) {
	defer c.Close()
	lines := bufio.NewReader(c)
	for {
		text, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		var call struct {
			ID     int
			Method string
			Params struct{ Ops []map[string]any }
		}
		if err := json.Unmarshal(text, &call); err != nil {
			r.t.Errorf("the relay was sent %q", text)
			return
		}
		if !r.handleCall(c, call.ID, call.Method, call.Params.Ops) {
			return
		}
	}
}

// handleCall applies a call and answers it, subject to the next fault. It returns false if the connection is to be
// closed.
func (r *relayStub) handleCall(c net.Conn, id int, method string, ops []map[string]any) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if method == "subscribe" {
		state := append(r.currentState(), `{"jsonrpc":"2.0","method":"ping"}`)
		fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"result":true}`+"\n%s\n", id, strings.Join(state, "\n"))
		r.subscribers[c] = true
		return true
	}
	fault := "ok"
	if r.calls++; len(r.faults) > 0 {
		fault, r.faults = r.faults[0], r.faults[1:]
	}
	if fault == "reset" {
		time.AfterFunc(20*time.Millisecond, r.dropSubscribers)
	}
	if fault == "before" || fault == "reset" {
		return false
	}
	if fault == "throttled" {
		fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"error":"throttled"}`+"\n", id)
		return true
	}
	count := len(ops)
	if fault == "part" {
		count = 0
	}
	for _, o := range ops[:count] {
		switch host, _ := o["endpoint"].(string); o["verb"] {
		case "share":
			r.lines[fmt.Sprintf("%v/%s", o["cluster"], host)] = o["w"].(float64)
		case "withdraw", "restore":
			r.masked[host] = o["verb"] == "withdraw"
		case "admit":
			r.level = o["level"].(float64)
		case "mark":
			ticket := int(o["ticket"].(float64))
			r.marks = append(r.marks, ticket)
			if r.ackDelay > 0 {
				time.AfterFunc(r.ackDelay, func() { r.acknowledge(ticket) })
			}
		}
	}
	switch fault {
	case "after":
		return false
	case "silent":
	case "garbled":
		fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"result":{"ok_count":"many"}}`+"\n", id)
	default:
		fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"result":{"ok_count":%d}}`+"\n", id, count)
	}
	return true
}

// discoveryStub is a stub of discovery. It keeps a host list and answers a watch when the list changes.
type discoveryStub struct {
	mu       sync.Mutex
	index    int
	hosts    map[string]string // entry by name, as JSON
	changed  chan struct{}
	http     *httptest.Server
	requests int
	gate     chan struct{} // if not nil, answers are held back until it is closed
}

func newDiscoveryStub(t *testing.T, hosts ...string) *discoveryStub {
	a := &discoveryStub{index: 1, hosts: map[string]string{}, changed: make(chan struct{})}
	for i, h := range hosts {
		a.setStatus(h, i, "active")
	}
	a.http = httptest.NewServer(http.HandlerFunc(a.serveList))
	t.Cleanup(func() { a.http.CloseClientConnections(); a.http.Close() })
	return a
}

func (a *discoveryStub) address() string { return a.http.Listener.Addr().String() }

// setStatus lists a host with a fixed address in a cell.
func (a *discoveryStub) setStatus(host string, at int, status string) {
	a.setEntry(host, fmt.Sprintf("127.0.0.1:%d", 1+at), at, status, 0)
}

// setEntry adds or replaces the entry of a host.
func (a *discoveryStub) setEntry(host, address string, cell int, status string, since float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hosts[host] = fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m","group":%d,"status":%q,"weight":1,"since_ms":%.0f}`,
		host, address, cell, status, since)
	a.notifyWatches()
}

// remove removes a host from the list.
func (a *discoveryStub) remove(host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.hosts, host)
	a.notifyWatches()
}

// notifyWatches releases the pending watches. The caller holds the lock.
func (a *discoveryStub) notifyWatches() {
	a.index++
	close(a.changed)
	a.changed = make(chan struct{})
}

// snapshot returns the whole list as JSON.
func (a *discoveryStub) snapshot() string {
	var all []string
	for _, h := range a.hosts {
		all = append(all, h)
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, a.index, strings.Join(all, ","))
}

// serveList answers a request for the list, or a watch once the list changes or its wait time ends.
func (a *discoveryStub) serveList(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests++
	if gate := a.gate; gate != nil {
		a.mu.Unlock()
		select {
		case <-gate:
		case <-r.Context().Done():
		}
		a.mu.Lock()
	}
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	if after, err := strconv.Atoi(r.FormValue("after")); err == nil && after == a.index {
		change := a.changed
		a.mu.Unlock()
		select {
		case <-change:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		a.mu.Lock()
		if after == a.index {
			fmt.Fprintf(w, `{"index":%d,"snapshot":false,"endpoints":[]}`, a.index)
			return
		}
	}
	fmt.Fprint(w, a.snapshot())
}
