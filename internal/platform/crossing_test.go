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
	"vetchwood/internal/platform/outbox"
	"vetchwood/internal/platform/uplink"
	"vetchwood/internal/platform/watch"
	"vetchwood/logic"
)

// Two events cross in each of these, in an order that is forced.

// alone is a director without sockets, whose inbox the test fills.
func alone(t *testing.T) *director {
	t.Helper()
	s, err := parse([]byte(`{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","store":{"address":"127.0.0.1:3"},"settings":`+
		settings+`}`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	d := newDirector(s, slog.New(slog.DiscardHandler))
	d.notes = nil
	return d
}

func list(hosts ...string) (l codec.List) {
	l.Index, l.Snapshot = 1, true
	for i, h := range hosts {
		l.Endpoints = append(l.Endpoints, codec.Endpoint{Name: h, Address: fmt.Sprintf("127.0.0.1:%d", 1+i), Zone: "a", Type: "m", Status: "active"})
	}
	return l
}

// A list of the former watch lies in the inbox behind one of the new watch: it is older, whatever its index.
func TestAListOfAFormerWatchIsNotTakenAfterTheNewOnes(t *testing.T) {
	d := alone(t)
	ended := 0
	d.watches = map[int]watcher{4: {"x", func() { ended++ }}, 7: {"y", func() { t.Error("the new watch was ended") }}}
	d.newest = 7
	d.take(1, watch.Update{Source: 4, List: list("h1", "h2")})
	if d.hosts.ListedCount() != 2 || ended != 0 {
		t.Fatalf("%d hosts, %d ended: until the new watch speaks the former one counts", d.hosts.ListedCount(), ended)
	}
	d.take(2, watch.Update{Source: 7, List: list("h1")})
	d.take(3, watch.Update{Source: 4, List: list("h1", "h2", "h3")})
	if d.hosts.ListedCount() != 1 || ended != 1 {
		t.Errorf("%d hosts listed, %d watches ended; wanted 1 and 1", d.hosts.ListedCount(), ended)
	}
}

// The new discovery is silent when the configuration moves there: the former one is heard until the new one has spoken.
func TestTheFormerWatchGoesOnUntilTheNewOneHasSpoken(t *testing.T) {
	s := up(t)
	former := s.agent
	s.agent = newAgent(t, "h1", "h2", "h3")
	s.agent.gate = make(chan struct{})
	s.configure(former.whole())
	s.signals <- syscall.SIGHUP
	s.within("the new discovery is asked", time.Second, func() bool {
		s.agent.mu.Lock()
		defer s.agent.mu.Unlock()
		return s.agent.asked > 0
	})
	former.set("h1", 0, "leaving")
	s.within("the mask, told by the former discovery", grace, s.drained("h1"))
	s.agent.set("h1", 0, "leaving")
	s.agent.set("h2", 1, "leaving")
	close(s.agent.gate)
	s.within("the mask, told by the new one", grace, s.drained("h2"))
	asked := func() int { former.mu.Lock(); defer former.mu.Unlock(); return former.asked }
	n, m := asked(), 0
	s.agent.mu.Lock()
	m = s.agent.asked
	s.agent.mu.Unlock()
	s.within("the new one is followed", 4*time.Second, func() bool {
		s.agent.mu.Lock()
		defer s.agent.mu.Unlock()
		return s.agent.asked > m+1
	})
	if asked() > n {
		t.Error("the former discovery is still asked")
	}
}

// An address is left and come back to: its former follower subscribes once more and is let go; its news are not taken.
func TestASubscriptionOfAFormerFollowerIsNotTaken(t *testing.T) {
	d := alone(t)
	d.relay, d.follower, d.source, d.alive = "r", 5, 6, true
	d.take(1, uplink.Subscribed{Follower: 1, Source: 9, Address: "r"})
	if d.source != 6 {
		t.Fatal("the subscription of a former follower was taken")
	}
	d.take(2, uplink.SubscriptionLost{Source: 9})
	if !d.alive {
		t.Error("its end was taken for that of ours")
	}
	d.take(3, uplink.Subscribed{Follower: 5, Source: 12, Address: "r"})
	d.take(4, uplink.SubscriptionLost{Source: 6}) // the former one's end comes behind the new one's beginning
	if d.source != 12 || !d.alive {
		t.Error("the end of the former subscription was taken for the new one's")
	}
}

// The former subscription has gone silent when the new one begins: nobody knows who left and came back in that silence.
func TestASilentSubscriptionIsNoContinuousOne(t *testing.T) {
	for silent, want := range map[logic.Millis]int{500: 0, 2000: 1} {
		d := alone(t)
		d.follower = 1
		say := func(now logic.Millis, source int, lines ...string) {
			d.take(now, uplink.Subscribed{Follower: 1, Source: source})
			for _, line := range lines {
				f, err := d.start.Names.DecodeFrame([]byte(line))
				if err != nil {
					t.Fatal(err)
				}
				d.take(now, uplink.Notification{Source: source, Body: *f.Notification})
			}
		}
		joined := `{"method":"joined","params":{"node":1,"locality":"a","w":2,"cold":false}}`
		say(1000, 2, joined, `{"method":"ping"}`)
		d.notes = nil
		say(1000+silent, 3, joined)
		if len(d.notes) != want {
			t.Errorf("after %v ms of silence %d notes, wanted %d", silent, len(d.notes), want)
		}
	}
}

// The address of a host changes while its former one is asked: the answer is no word of the host.
func TestAProbeOfAFormerAddressIsNoWordOfTheHost(t *testing.T) {
	d := alone(t)
	d.probes = &prober{asked: map[logic.HostID]bool{}}
	d.newest, d.watches = 1, map[int]watcher{1: {}}
	d.take(1, watch.Update{Source: 1, List: list("h1")})
	d.notes = nil
	id := codec.IDOf("h1")
	d.probes.asked[id] = true
	d.take(2, answer{logic.ProbeResult{Host: id, Healthy: true}, "127.0.0.1:9"})
	if len(d.notes) != 0 || d.probes.asked[id] {
		t.Errorf("%d notes, asked %v", len(d.notes), d.probes.asked[id])
	}
	if d.take(3, answer{logic.ProbeResult{Host: id, Healthy: true}, "127.0.0.1:1"}); len(d.notes) != 1 {
		t.Error("the answer of its own address was dropped")
	}
}

// Signals that follow the first don't prolong the leaving, and a new configuration is for the next start.
func TestLaterSignalsDontProlongTheLeaving(t *testing.T) {
	s := up(t)
	s.relay.fate(strings.Fields(strings.Repeat("silent ", 100))...)
	s.agent.set("h1", 0, "leaving")
	s.within("a call", time.Second, func() bool { return s.relay.see(func() bool { return s.relay.calls > 0 }) })
	former := s.relay
	s.relay = newRelay(t)
	s.relay.say = former.say
	s.configure(s.agent.whole())
	began := time.Now()
	s.signals <- syscall.SIGTERM
	s.signals <- syscall.SIGHUP
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case err := <-s.ended:
			if spent := time.Since(began); err != nil || spent > 600*time.Millisecond {
				t.Errorf("%v after %v", err, spent)
			}
			if s.relay.see(func() bool { return len(s.relay.news) > 0 }) {
				t.Error("it subscribed at the new relay while it left")
			}
			return
		case <-tick.C:
			if time.Since(began) > 2*time.Second {
				t.Fatal("it does not end")
			}
			select {
			case s.signals <- syscall.SIGTERM:
			default:
			}
		}
	}
}

// logged is a log that the test can look into.
type logged struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(b)
}

func (l *logged) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.String()
}

func (l *logged) has(what string) func() bool {
	return func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return strings.Contains(l.all.String(), what)
	}
}

// SIGTERM comes while a call is in doubt and nothing else waits: the director stays for the proof, no longer than it would for a call.
func TestADoubtfulCallIsWaitedForWhenItLeaves(t *testing.T) {
	s := up(t)
	s.relay.fate(strings.Fields(strings.Repeat("silent ", 100))...)
	s.agent.set("h1", 0, "leaving")
	s.within("the call is in doubt", grace, s.log.has("msg=call.failed"))
	s.signals <- syscall.SIGTERM
	s.within("it leaves", time.Second, s.log.has("msg=director.stopping"))
	began, mark := time.Now(), 0
	s.relay.see(func() bool { mark = s.relay.marks[len(s.relay.marks)-1]; return true })
	s.relay.tell("applied", fmt.Sprintf(`"node":0,"nonce":%d,"latency":20`, mark))
	if err := <-s.ended; err != nil || !s.log.has("msg=call.proven")() {
		t.Errorf("%v; it did not wait for the proof", err)
	}
	if spent := time.Since(began); spent > 600*time.Millisecond {
		t.Errorf("it took %v", spent)
	}
}

// A proxy owns up to a call while that is being made again: it was carried out, however that ends.
func TestAProofThatComesWhileTheCallIsOnItsWayCounts(t *testing.T) {
	for _, how := range []outbox.Result{outbox.Unconfirmed, outbox.NotSent, outbox.Retryable} {
		d := alone(t)
		d.box.Add([]outbox.Op{{Text: "{}", Kind: outbox.AckRequest, Table: outbox.NoTable, Serial: 5}})
		d.box.Next()
		d.calling = true
		d.take(1, uplink.CallEnded{Result: outbox.Unconfirmed})
		if !d.doubted {
			t.Fatal("a marked call that ended unsure is in doubt")
		}
		d.resolve(5) // it may be made again
		d.box.Next()
		d.calling = true
		d.applied(logic.Acknowledged{Proxy: 0, Serial: 5})
		d.take(2, uplink.CallEnded{Result: how})
		if d.box.InFlight() != nil || d.doubted {
			t.Errorf("ended %v: the call is still in hand", how)
		}
	}
}

// Hosts that hang hold their probers for the whole time limit: a healthy one that is asked behind them does not wait for that.
func TestHungHostsHoldNoProbeOfAHealthyOne(t *testing.T) {
	hung, err := net.Listen("tcp", "127.0.0.1:0") // connections come up, and nothing is ever said
	if err != nil {
		t.Fatal(err)
	}
	defer hung.Close()
	well := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer well.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answers := make(chan answer, 64)
	p := newProber(ctx, alone(t).start.Names, func(in ...any) { answers <- in[0].(answer) })
	for h := range 20 {
		p.ask(logic.HostID(1+h), hung.Addr().String())
	}
	p.ask(99, well.Listener.Addr().String())
	if first := <-answers; first.Host != 99 || !first.Healthy {
		t.Errorf("host %d answered first, good: %v", first.Host, first.Healthy)
	}
}

// The relay is changed while a call is in doubt: the word to make it again comes all the same, and it goes to the new relay.
func TestADoubtfulCallGoesToTheNewRelay(t *testing.T) {
	s := up(t)
	former := s.relay
	former.fate(strings.Fields(strings.Repeat("silent ", 100))...)
	s.agent.set("h1", 0, "leaving")
	s.within("the call is in doubt", grace, s.log.has("msg=call.failed"))
	s.relay = newRelay(t)
	s.relay.say = former.say
	s.configure(s.agent.whole())
	s.signals <- syscall.SIGHUP
	s.within("the mask at the new relay", grace, s.drained("h1"))
	s.within("the lines", 3*time.Second, s.moved("h1"))
}

// All proxies leave while a call is in doubt, so that nobody is left to own up to it: calls go on.
func TestADoubtfulCallIsMadeAgainWithoutProxies(t *testing.T) {
	s := up(t)
	s.relay.fate("silent", "before", "silent")
	s.agent.set("h1", 0, "leaving")
	s.within("the call is in doubt", grace, s.log.has("msg=call.failed"))
	s.relay.tell("left", `"node":0`)
	s.relay.tell("left", `"node":1`)
	s.within("it is made again", grace, func() bool { return s.relay.see(func() bool { return s.relay.calls > 3 }) })
	s.relay.tell("joined", `"node":0,"locality":"a","w":20,"cold":true`)
	s.agent.set("h2", 1, "leaving")
	s.within("the next mask", grace, s.drained("h2"))
}
