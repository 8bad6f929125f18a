package platform

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"vetchwood/internal/platform/codec"
	"vetchwood/internal/platform/hostwatch"
	"vetchwood/internal/platform/outbox"
	"vetchwood/internal/platform/uplink"
	"vetchwood/logic"
)

// The tests in this file force a particular order of two concurrent events.

// newOfflineDirector returns a director without sockets, to which the test passes events directly.
func newOfflineDirector(t *testing.T) *director {
	t.Helper()
	config, err := parse([]byte(`{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","store":{"address":"127.0.0.1:3"},"settings":`+
		testSettings+`}`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	d := newDirector(config, slog.New(slog.DiscardHandler))
	d.events = nil
	return d
}

// hostList returns a host list of the given hosts with addresses 127.0.0.1:1 and up.
func hostList(hosts ...string) (l codec.List) {
	l.Index, l.Snapshot = 1, true
	for i, h := range hosts {
		l.Endpoints = append(l.Endpoints, codec.Endpoint{Name: h, Address: fmt.Sprintf("127.0.0.1:%d", 1+i),
			Zone: "a", Type: "m", Status: "active"})
	}
	return l
}

// A list of the former watch that is queued behind one of the new watch is older and must be ignored, whatever its
// index.
func TestListOfFormerWatchIsIgnoredAfterNewOne(t *testing.T) {
	d := newOfflineDirector(t)
	ended := 0
	d.watches = map[int]watchHandle{4: {"x", func() { ended++ }}, 7: {"y", func() { t.Error("the new watch was stopped") }}}
	d.newestWatch = 7
	d.handleEvent(1, hostwatch.Update{WatchID: 4, List: hostList("h1", "h2")})
	if d.hosts.ListedCount() != 2 || ended != 0 {
		t.Fatalf("%d hosts listed, %d watches stopped; wanted 2 and 0 until the new watch answers", d.hosts.ListedCount(), ended)
	}
	d.handleEvent(2, hostwatch.Update{WatchID: 7, List: hostList("h1")})
	d.handleEvent(3, hostwatch.Update{WatchID: 4, List: hostList("h1", "h2", "h3")})
	if d.hosts.ListedCount() != 1 || ended != 1 {
		t.Errorf("%d hosts listed, %d watches stopped; wanted 1 and 1", d.hosts.ListedCount(), ended)
	}
}

// If the discovery of a new configuration does not answer, lists of the former one are accepted until it does.
func TestFormerWatchContinuesUntilNewOneAnswers(t *testing.T) {
	s := startTestEnv(t)
	former := s.discovery
	s.discovery = newDiscoveryStub(t, "h1", "h2", "h3")
	s.discovery.gate = make(chan struct{})
	s.writeConfig(former.snapshot())
	s.signals <- syscall.SIGHUP
	s.within("a request to the new discovery", time.Second, func() bool {
		s.discovery.mu.Lock()
		defer s.discovery.mu.Unlock()
		return s.discovery.requests > 0
	})
	former.setStatus("h1", 0, "leaving")
	s.within("the mask for the change listed by the former discovery", maskDeadline, s.isMasked("h1"))
	s.discovery.setStatus("h1", 0, "leaving")
	s.discovery.setStatus("h2", 1, "leaving")
	close(s.discovery.gate)
	s.within("the mask for the change listed by the new discovery", maskDeadline, s.isMasked("h2"))
	formerRequests := func() int { former.mu.Lock(); defer former.mu.Unlock(); return former.requests }
	before, newBefore := formerRequests(), 0
	s.discovery.mu.Lock()
	newBefore = s.discovery.requests
	s.discovery.mu.Unlock()
	s.within("a further request to the new discovery", 4*time.Second, func() bool {
		s.discovery.mu.Lock()
		defer s.discovery.mu.Unlock()
		return s.discovery.requests > newBefore+1
	})
	if formerRequests() > before {
		t.Error("the former discovery still receives requests")
	}
}

// If the configuration returns to a former relay address, the stopped follower of that address may still subscribe once
// more. Its subscription must be ignored.
func TestSubscriptionOfFormerFollowerIsIgnored(t *testing.T) {
	d := newOfflineDirector(t)
	d.relayAddress, d.followerID, d.subscriptionID, d.subscriptionOpen = "r", 5, 6, true
	d.handleEvent(1, uplink.Subscribed{FollowerID: 1, SubscriptionID: 9, Address: "r"})
	if d.subscriptionID != 6 {
		t.Fatal("the subscription of a former follower was accepted")
	}
	d.handleEvent(2, uplink.SubscriptionLost{SubscriptionID: 9})
	if !d.subscriptionOpen {
		t.Error("its end was taken for the end of the current subscription")
	}
	d.handleEvent(3, uplink.Subscribed{FollowerID: 5, SubscriptionID: 12, Address: "r"})
	d.handleEvent(4, uplink.SubscriptionLost{SubscriptionID: 6}) // the end of the former subscription arrives after the start of the new one
	if d.subscriptionID != 12 || !d.subscriptionOpen {
		t.Error("the end of the former subscription was taken for the new one's")
	}
}

// A new subscription continues the former one only if that one was not silent before: while it was silent, proxies may
// have left and joined again unnoticed.
func TestSilentSubscriptionIsNotContinuous(t *testing.T) {
	for silent, want := range map[logic.Millis]int{500: 0, 2000: 1} {
		d := newOfflineDirector(t)
		d.followerID = 1
		subscribe := func(now logic.Millis, source int, lines ...string) {
			d.handleEvent(now, uplink.Subscribed{FollowerID: 1, SubscriptionID: source})
			for _, line := range lines {
				f, err := d.config.Schema.DecodeFrame([]byte(line))
				if err != nil {
					t.Fatal(err)
				}
				d.handleEvent(now, uplink.Notification{SubscriptionID: source, Body: *f.Notification})
			}
		}
		joined := `{"method":"joined","params":{"node":1,"locality":"a","w":2,"cold":false}}`
		subscribe(1000, 2, joined, `{"method":"ping"}`)
		d.events = nil
		subscribe(1000+silent, 3, joined)
		if len(d.events) != want {
			t.Errorf("after %v ms of silence: %d events, wanted %d", silent, len(d.events), want)
		}
	}
}

// If the address of a host changes during a probe, the result from the former address must be ignored.
func TestProbeOfFormerAddressIsIgnored(t *testing.T) {
	d := newOfflineDirector(t)
	d.prober = &prober{inFlight: map[logic.HostID]bool{}}
	d.newestWatch, d.watches = 1, map[int]watchHandle{1: {}}
	d.handleEvent(1, hostwatch.Update{WatchID: 1, List: hostList("h1")})
	d.events = nil
	id := codec.IDOf("h1")
	d.prober.inFlight[id] = true
	d.handleEvent(2, probeResult{logic.ProbeResult{Host: id, Healthy: true}, "127.0.0.1:9"})
	if len(d.events) != 0 || d.prober.inFlight[id] {
		t.Errorf("%d events, probe in flight: %v; wanted none", len(d.events), d.prober.inFlight[id])
	}
	if d.handleEvent(3, probeResult{logic.ProbeResult{Host: id, Healthy: true}, "127.0.0.1:1"}); len(d.events) != 1 {
		t.Error("the result from the current address was dropped")
	}
}

// Signals after the first SIGTERM must not prolong the shutdown, and a new configuration must not be applied during it.
func TestLaterSignalsDoNotProlongShutdown(t *testing.T) {
	s := startTestEnv(t)
	s.relay.injectFaults(strings.Fields(strings.Repeat("silent ", 100))...)
	s.discovery.setStatus("h1", 0, "leaving")
	s.within("a call", time.Second, func() bool { return s.relay.check(func() bool { return s.relay.calls > 0 }) })
	former := s.relay
	s.relay = newRelayStub(t)
	s.relay.state = former.state
	s.writeConfig(s.discovery.snapshot())
	began := time.Now()
	s.signals <- syscall.SIGTERM
	s.signals <- syscall.SIGHUP
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case err := <-s.exited:
			if spent := time.Since(began); err != nil || spent > 600*time.Millisecond {
				t.Errorf("%v after %v", err, spent)
			}
			if s.relay.check(func() bool { return len(s.relay.subscribers) > 0 }) {
				t.Error("the director subscribed to the new relay while stopping")
			}
			return
		case <-tick.C:
			if time.Since(began) > 2*time.Second {
				t.Fatal("the director did not exit within 2 s")
			}
			select {
			case s.signals <- syscall.SIGTERM:
			default:
			}
		}
	}
}

// logBuffer collects log output for a test to search.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (l *logBuffer) contains(what string) func() bool {
	return func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return strings.Contains(l.text.String(), what)
	}
}

// On SIGTERM with an unconfirmed call and nothing else queued, the director must wait for the acknowledgement, but no
// longer than the shutdown timeout.
func TestUnconfirmedCallIsAwaitedOnShutdown(t *testing.T) {
	s := startTestEnv(t)
	s.relay.injectFaults(strings.Fields(strings.Repeat("silent ", 100))...)
	s.discovery.setStatus("h1", 0, "leaving")
	s.within("an unconfirmed call", maskDeadline, s.log.contains("msg=call.failed"))
	s.signals <- syscall.SIGTERM
	s.within("the start of the shutdown", time.Second, s.log.contains("msg=director.stopping"))
	began, mark := time.Now(), 0
	s.relay.check(func() bool { mark = s.relay.marks[len(s.relay.marks)-1]; return true })
	s.relay.notify("applied", fmt.Sprintf(`"node":0,"nonce":%d,"latency":20`, mark))
	if err := <-s.exited; err != nil || !s.log.contains("msg=call.proven")() {
		t.Errorf("%v; the director did not wait for the acknowledgement", err)
	}
	if spent := time.Since(began); spent > 600*time.Millisecond {
		t.Errorf("the shutdown took %v", spent)
	}
}

// If a proxy acknowledges an unconfirmed call while that is being sent again, the call was applied, however the second
// attempt ends.
func TestAcknowledgementDuringResendConfirmsCall(t *testing.T) {
	for _, how := range []outbox.Result{outbox.Unconfirmed, outbox.NotSent, outbox.Retryable} {
		d := newOfflineDirector(t)
		d.outbox.Add([]outbox.Op{{Text: "{}", Kind: outbox.Mask, Table: outbox.NoTable, Host: 1},
			{Text: "{}", Kind: outbox.AckRequest, Table: outbox.NoTable, Serial: 5}})
		d.outbox.Next()
		d.callInFlight = true
		d.handleEvent(1, uplink.CallEnded{Result: outbox.Unconfirmed})
		if !d.callUnconfirmed {
			t.Fatal("a marked call without an answer was not recorded as unconfirmed")
		}
		d.clearUnconfirmed(5) // allows the call to be sent again
		d.outbox.Next()
		d.callInFlight = true
		d.confirmCall(logic.Acknowledged{Proxy: 0, Serial: 5})
		d.handleEvent(2, uplink.CallEnded{Result: how})
		if d.outbox.InFlight() != nil || d.callUnconfirmed {
			t.Errorf("outcome %v: the call is still open", how)
		}
	}
}

// Probes of hanging hosts occupy their workers until the timeout; a probe of a healthy host queued behind them must not
// wait for that.
func TestHungHostsDoNotDelayProbeOfHealthyHost(t *testing.T) {
	hangingServer, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer hangingServer.Close()
	healthyServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer healthyServer.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answers := make(chan probeResult, 64)
	p := newProber(ctx, newOfflineDirector(t).config.Schema, func(in ...any) { answers <- in[0].(probeResult) })
	for h := range 20 {
		p.enqueue(logic.HostID(1+h), hangingServer.Addr().String())
	}
	p.enqueue(99, healthyServer.Listener.Addr().String())
	if first := <-answers; first.Host != 99 || !first.Healthy {
		t.Errorf("host %d answered first, good: %v", first.Host, first.Healthy)
	}
}

// If the relay changes while a call is unconfirmed, the call must still be sent again, to the new relay.
func TestUnconfirmedCallGoesToTheNewRelay(t *testing.T) {
	s := startTestEnv(t)
	former := s.relay
	former.injectFaults(strings.Fields(strings.Repeat("silent ", 100))...)
	s.discovery.setStatus("h1", 0, "leaving")
	s.within("an unconfirmed call", maskDeadline, s.log.contains("msg=call.failed"))
	s.relay = newRelayStub(t)
	s.relay.state = former.state
	s.writeConfig(s.discovery.snapshot())
	s.signals <- syscall.SIGHUP
	s.within("the mask at the new relay", maskDeadline, s.isMasked("h1"))
	s.within("the lines moved off the host", 3*time.Second, s.hasNoLines("h1"))
}

// If all proxies leave while a call is unconfirmed, no acknowledgement can arrive; the call must be sent again and
// further calls must follow.
func TestUnconfirmedCallIsResentWithoutProxies(t *testing.T) {
	s := startTestEnv(t)
	s.relay.injectFaults("silent", "before", "silent")
	s.discovery.setStatus("h1", 0, "leaving")
	s.within("an unconfirmed call", maskDeadline, s.log.contains("msg=call.failed"))
	s.relay.notify("left", `"node":0`)
	s.relay.notify("left", `"node":1`)
	s.within("the call is sent again", maskDeadline, func() bool {
		return s.relay.check(func() bool { return s.relay.calls > 3 })
	})
	s.relay.notify("joined", `"node":0,"locality":"a","w":20,"cold":true`)
	s.discovery.setStatus("h2", 1, "leaving")
	s.within("the next mask", maskDeadline, s.isMasked("h2"))
}
