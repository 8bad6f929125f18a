package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const testSettings = `{"Balancers":1,"Dcs":["a"],"HostTypes":["m"],"MembershipMode":"push","Weights":"none","ResolutionMs":5,
"Bounds":{"MayProbe":false},"Classes":[{"Name":"read","Repeat":"safe","TargetMs":1200,"DeadlineMs":3000,"Worth":1}],
"Report":{"Columns":["utilization"],"Via":"answers"},
"Rules":{"ColdFrom":0.2,"DrainGraceMs":2000,"FallMs":1500,"TipMultiple":3,"WarmAfterMs":9000},
"Specifics":{"Admission":"ratio","SelectsBy":"lottery","DataPlaneSize":4,"Slices":4,"EgressPerS":8000,"PendingMax":8000,"FixedCost":16,
"IntakePerS":150,"PeriodMs":500,"PropagationMs":100,"WorstTransitMs":300,"UnservedMaxMs":2300,"RetryDefault":1,"PerTry":1.2}}`

// testEnv is a director with stubs of the relay and of discovery.
type testEnv struct {
	t          *testing.T
	relay      *relayStub
	discovery  *discoveryStub
	listen     string
	configPath string
	signals    chan os.Signal
	exited     chan error
	log        *logBuffer
}

// freeAddress returns a loopback address with a port that is currently unused.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func (s *testEnv) writeConfig(known string) {
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":0.5,"memory_mb":64,"sockets":256},
"store":{"address":%q},"known":%s,"settings":%s}`, s.listen, s.discovery.address(), s.relay.address(), known, testSettings)
	if err := os.WriteFile(s.configPath, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// startTestEnv starts a director in a new environment.
func startTestEnv(t *testing.T) *testEnv {
	s := newTestEnv(t)
	s.start()
	return s
}

// newTestEnv prepares an environment with two proxies, three hosts and four slices. Hosts h1 and h2 serve two slices
// each, and h3 none.
func newTestEnv(t *testing.T) *testEnv {
	s := &testEnv{t: t, relay: newRelayStub(t), discovery: newDiscoveryStub(t, "h1", "h2", "h3"),
		listen: freeAddress(t), configPath: filepath.Join(t.TempDir(), "config.json"),
		signals: make(chan os.Signal, 4), exited: make(chan error, 1), log: &logBuffer{}}
	for p := range 2 {
		s.relay.notify("joined", fmt.Sprintf(`"node":%d,"locality":"a","w":20,"cold":true`, p))
	}
	for slice := range 4 {
		s.relay.notify("given", fmt.Sprintf(`"shard":%d,"set":true`, slice))
		s.relay.notify("held", fmt.Sprintf(`"shard":%d,"endpoint":"h%d","w":1.0`, slice, 1+slice%2))
	}
	s.writeConfig(s.discovery.snapshot())
	return s
}

func (s *testEnv) start() {
	env := func(name string) string { return map[string]string{"GW_CONFIG": s.configPath}[name] }
	go func() {
		s.exited <- Run(context.Background(), env, s.signals, slog.New(slog.NewTextHandler(s.log, nil)))
	}()
	s.t.Cleanup(func() {
		select {
		case s.signals <- syscall.SIGTERM:
		default: // the director has exited and the channel is full
		}
	})
	s.within("an answer to a ping", 2*time.Second, func() bool {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			return false
		}
		defer c.Close()
		fmt.Fprintln(c, `{"t":"ping"}`)
		line, _ := bufio.NewReader(c).ReadString('\n')
		return line == `{"t":"pong"}`+"\n"
	})
}

// within polls a condition and fails the test if it does not hold within the timeout.
func (s *testEnv) within(what string, timeout time.Duration, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(timeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("did not occur within %v: %s", timeout, what)
		}
	}
}

// isMasked returns a condition: the relay holds a mask for the host.
func (s *testEnv) isMasked(host string) func() bool {
	return func() bool { return s.relay.check(func() bool { return s.relay.masked[host] }) }
}

// hasNoLines returns a condition: the lines ordered so far give the host no weight, and h2 or h3 serves slice 0.
func (s *testEnv) hasNoLines(host string) func() bool {
	return func() bool {
		return s.relay.check(func() bool {
			for slice := range 4 {
				if w, ok := s.relay.lines[fmt.Sprintf("%d/%s", slice, host)]; ok && w > 0 {
					return false
				}
			}
			return s.relay.lines["0/h2"]+s.relay.lines["0/h3"] > 0
		})
	}
}

// maskDeadline is the time within which a draining host is masked.
const maskDeadline = 2 * time.Second

func TestADrainReachesTheRelayInTime(t *testing.T) {
	s := startTestEnv(t)
	s.discovery.setStatus("h1", 0, "leaving")
	s.within("the mask", maskDeadline, s.isMasked("h1"))
	s.within("the lines", 3*time.Second, s.hasNoLines("h1"))
	s.signals <- syscall.SIGTERM
	if err := <-s.exited; err != nil {
		t.Fatal(err)
	}
}

// However the relay fails a call, its orders must be in force within the mask deadline.
func TestBrokenCallsAreMadeAgain(t *testing.T) {
	for _, faults := range []string{"before", "after", "silent", "garbled", "throttled throttled",
		"after before silent garbled throttled"} {
		t.Run(faults, func(t *testing.T) {
			t.Parallel()
			s := startTestEnv(t)
			s.relay.injectFaults(strings.Fields(faults)...)
			s.discovery.setStatus("h1", 0, "leaving")
			s.within("the mask", maskDeadline, s.isMasked("h1"))
			s.within("the lines", 3*time.Second, s.hasNoLines("h1"))
			s.within("a mark to be acknowledged", time.Second, func() bool {
				return s.relay.check(func() bool { return len(s.relay.marks) > 0 })
			})
		})
	}
}

// If the relay applies a part of a call, only the order at fault may be lost.
func TestAnOrderThatIsRefusedStopsNoOther(t *testing.T) {
	s := startTestEnv(t)
	s.relay.injectFaults("part")
	s.discovery.setStatus("h1", 0, "leaving")
	s.within("the mask of h1, or the removal of its lines, which follow the order at fault", 4*time.Second,
		func() bool { return s.isMasked("h1")() || s.hasNoLines("h1")() })
}

func TestResubscribesAfterConnectionLoss(t *testing.T) {
	s := startTestEnv(t)
	s.relay.dropSubscribers()
	s.within("a subscription", time.Second, func() bool {
		return s.relay.check(func() bool { return len(s.relay.subscribers) == 1 })
	})
	s.discovery.setStatus("h1", 0, "leaving")
	s.within("the mask", maskDeadline, s.isMasked("h1"))
}

// While the relay is unreachable, another director may take over and change the slices. Orders from before the gap must
// be discarded, so that they do not overwrite what the relay holds; what is still wanted is ordered again.
func TestOrdersFromBeforeAGapAreDiscarded(t *testing.T) {
	s := startTestEnv(t)
	s.relay.injectFaults(strings.Fields(strings.Repeat("before ", 400))...)
	s.discovery.setStatus("h1", 0, "leaving")
	s.within("a call", time.Second, func() bool { return s.relay.check(func() bool { return s.relay.calls > 0 }) })
	s.relay.mu.Lock()
	s.relay.state = nil // another director now owns slices 0 to 2; slice 3 returns with a line of its own
	s.relay.mu.Unlock()
	s.relay.notify("joined", `"node":0,"locality":"a","w":20,"cold":false`)
	s.relay.notify("given", `"shard":3,"set":true`)
	s.relay.notify("held", `"shard":3,"endpoint":"h1","w":1.0`)
	s.relay.dropSubscribers()
	s.within("a subscription", time.Second, func() bool {
		return s.relay.check(func() bool { return len(s.relay.subscribers) == 1 })
	})
	time.Sleep(300 * time.Millisecond)
	s.relay.mu.Lock()
	s.relay.faults, s.relay.lines = nil, map[string]float64{}
	s.relay.mu.Unlock()
	s.within("the lines of slice 3", 3*time.Second, func() bool {
		return s.relay.check(func() bool { return s.relay.masked["h1"] && s.relay.lines["3/h2"]+s.relay.lines["3/h3"] > 0 })
	})
	s.relay.check(func() bool {
		for line := range s.relay.lines {
			if !strings.HasPrefix(line, "3/") {
				t.Errorf("order for a slice that another director owns: %s", line)
			}
		}
		return true
	})
}

func TestANewConfigurationMovesBothAddresses(t *testing.T) {
	s := startTestEnv(t)
	old, former := s.relay, s.discovery
	os.WriteFile(s.configPath, []byte(`{"name":`), 0o600)
	s.signals <- syscall.SIGHUP // an unreadable configuration changes nothing
	s.relay, s.discovery = newRelayStub(t), newDiscoveryStub(t, "h1", "h2", "h3")
	s.relay.state = old.state
	time.Sleep(50 * time.Millisecond)
	s.writeConfig(former.snapshot())
	s.signals <- syscall.SIGHUP
	s.signals <- syscall.SIGHUP
	s.within("the new subscription", time.Second, func() bool {
		return s.relay.check(func() bool { return len(s.relay.subscribers) == 1 })
	})
	old.ln.Close()
	former.http.CloseClientConnections()
	s.discovery.setStatus("h1", 0, "leaving")
	s.within("the mask at the new relay", maskDeadline, s.isMasked("h1"))
	if old.check(func() bool { return old.masked["h1"] }) {
		t.Error("the former relay received the mask, too")
	}
	s.signals <- syscall.SIGTERM
	if err := <-s.exited; err != nil {
		t.Fatal(err)
	}
}

func TestADirectorThatIsTerminatedEndsAfterItsCall(t *testing.T) {
	s := startTestEnv(t)
	s.relay.injectFaults("silent", "silent", "silent", "silent", "silent", "silent")
	s.discovery.setStatus("h1", 0, "leaving")
	s.within("a call", time.Second, func() bool { return s.relay.check(func() bool { return s.relay.calls > 0 }) })
	began := time.Now()
	s.signals <- syscall.SIGTERM
	if err := <-s.exited; err != nil || time.Since(began) > 600*time.Millisecond {
		t.Fatalf("%v after %v", err, time.Since(began))
	}
}

func TestReportsReachTheModule(t *testing.T) {
	s := startTestEnv(t)
	c, err := net.Dial("tcp", s.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, `{"t":"collector","locality":"a"}`+"\n")
	// All tries at h1 fail, so it must be masked although discovery lists it as active.
	for end := time.Now().Add(8 * time.Second); !s.isMasked("h1")() && time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		fmt.Fprint(c, `{"t":"heard","locality":"a","endpoint":"h1","total":20,"errors":20,"interval":250}`+"\n"+
			`{"t":"heard","locality":"a","endpoint":"h2","total":20,"errors":0,"rtt":50,"interval":250,"metrics":{"utilization":0.3}}`+"\n"+
			`{"t":"heard","locality":"a","endpoint":"h3","total":9,"errors":0,"rtt":50,"interval":250,"metrics":{"utilization":0.1}}`+"\n")
		for slice := range 4 {
			fmt.Fprintf(c, `{"t":"heat","shard":%d,"route":"read","total":10,"errors":0,"interval":250}`+"\n", slice)
		}
	}
	if !s.isMasked("h1")() {
		t.Fatal("a host that fails all tries was not masked within 8 s")
	}
}

func TestWrongConfigurationsNameThePlace(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff","store":{"address":"127.0.0.1:3"},"settings":` + testSettings + `}`
	if s, err := parse([]byte(good), func(string) string { return "" }); err != nil || s.Seed != 255 || s.Resolution != 5 || s.Settings.Slices != 4 {
		t.Fatalf("%+v, %v", s, err)
	}
	for change, place := range map[string]string{
		`"name":"n"|"name":""`: "name", `"seed":"ff"|"seed":"xyz"`: "seed", `127.0.0.1:2|host:2`: "discovery", `"127.0.0.1:3"|"127.0.0.1"`: "store.address",
		`127.0.0.1:1|127.0.0.1:0`: "listen", `"listen":"127.0.0.1:1"|"listen":5`: "listen", `"settings":{|"settings":5,"x":{`: "settings",
		`"Repeat":"safe"|"Repeat":"odd"`: "settings", `"Dcs":["a"]|"Dcs":[]`: "settings", `{"name"|{{`: "byte", `"Slices":4|"Slices":"4"`: "settings",
	} {
		before, after, _ := strings.Cut(change, "|")
		if _, err := parse([]byte(strings.Replace(good, before, after, 1)), func(string) string { return "" }); err == nil || !strings.HasPrefix(err.Error(), place) {
			t.Errorf("%s: %v, wanted %s", change, err, place)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.HasPrefix(err.Error(), "GW_CONFIG") {
		t.Error(err)
	}
}
