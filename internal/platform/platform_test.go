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

const settings = `{"Balancers":1,"Dcs":["a"],"HostTypes":["m"],"MembershipMode":"push","Weights":"none","ResolutionMs":5,
"Bounds":{"MayProbe":false},"Classes":[{"Name":"read","Repeat":"safe","TargetMs":1200,"DeadlineMs":3000,"Worth":1}],
"Report":{"Columns":["utilization"],"Via":"answers"},
"Rules":{"ColdFrom":0.2,"DrainGraceMs":2000,"FallMs":1500,"TipMultiple":3,"WarmAfterMs":9000},
"Specifics":{"Admission":"ratio","SelectsBy":"lottery","DataPlaneSize":4,"Slices":4,"EgressPerS":8000,"PendingMax":8000,"FixedCost":16,
"IntakePerS":150,"PeriodMs":500,"PropagationMs":100,"WorstTransitMs":300,"UnservedMaxMs":2300,"RetryDefault":1,"PerTry":1.2}}`

// stage is a director with stand-ins around it.
type stage struct {
	t       *testing.T
	relay   *relay
	agent   *agent
	listen  string
	file    string
	signals chan os.Signal
	ended   chan error
	log     *logged
}

func free(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func (s *stage) configure(known string) {
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":0.5,"memory_mb":64,"sockets":256},
"store":{"address":%q},"known":%s,"settings":%s}`, s.listen, s.agent.address(), s.relay.address(), known, settings)
	if err := os.WriteFile(s.file, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// up starts a director on a new stage.
func up(t *testing.T) *stage {
	s := newStage(t)
	s.start()
	return s
}

// newStage is one of two proxies and four slices, of which h1 and h2 hold two each, with h3 beside.
func newStage(t *testing.T) *stage {
	s := &stage{t: t, relay: newRelay(t), agent: newAgent(t, "h1", "h2", "h3"), listen: free(t), file: filepath.Join(t.TempDir(), "config.json"),
		signals: make(chan os.Signal, 4), ended: make(chan error, 1), log: &logged{}}
	for p := range 2 {
		s.relay.tell("joined", fmt.Sprintf(`"node":%d,"locality":"a","w":20,"cold":true`, p))
	}
	for slice := range 4 {
		s.relay.tell("given", fmt.Sprintf(`"shard":%d,"set":true`, slice))
		s.relay.tell("held", fmt.Sprintf(`"shard":%d,"endpoint":"h%d","w":1.0`, slice, 1+slice%2))
	}
	s.configure(s.agent.whole())
	return s
}

func (s *stage) start() {
	env := func(name string) string { return map[string]string{"GW_CONFIG": s.file}[name] }
	go func() {
		s.ended <- Run(context.Background(), env, s.signals, slog.New(slog.NewTextHandler(s.log, nil)))
	}()
	s.t.Cleanup(func() {
		select {
		case s.signals <- syscall.SIGTERM:
		default: // it has ended, and signals lie there that nobody takes
		}
	})
	s.within("a sign of life", 2*time.Second, func() bool {
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

func (s *stage) within(what string, d time.Duration, is func() bool) {
	s.t.Helper()
	for end := time.Now().Add(d); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not within %v: %s", d, what)
		}
	}
}

func (s *stage) drained(host string) func() bool {
	return func() bool { return s.relay.see(func() bool { return s.relay.out[host] }) }
}

// moved says whether no line of the store sends to a host any more.
func (s *stage) moved(host string) func() bool {
	return func() bool {
		return s.relay.see(func() bool {
			for slice := range 4 {
				if w, told := s.relay.lines[fmt.Sprintf("%d/%s", slice, host)]; told && w > 0 {
					return false
				}
			}
			return s.relay.lines["0/h2"]+s.relay.lines["0/h3"] > 0
		})
	}
}

const grace = 2 * time.Second

func TestADrainReachesTheRelayInTime(t *testing.T) {
	s := up(t)
	s.agent.set("h1", 0, "leaving")
	s.within("the mask", grace, s.drained("h1"))
	s.within("the lines", 3*time.Second, s.moved("h1"))
	s.signals <- syscall.SIGTERM
	if err := <-s.ended; err != nil {
		t.Fatal(err)
	}
}

// However the relay breaks a call, what was ordered is in force within the grace.
func TestBrokenCallsAreMadeAgain(t *testing.T) {
	for _, fates := range []string{"before", "after", "silent", "garbled", "throttled throttled", "after before silent garbled throttled"} {
		t.Run(fates, func(t *testing.T) {
			t.Parallel()
			s := up(t)
			s.relay.fate(strings.Fields(fates)...)
			s.agent.set("h1", 0, "leaving")
			s.within("the mask", grace, s.drained("h1"))
			s.within("the lines", 3*time.Second, s.moved("h1"))
			s.within("an answer that was asked for", time.Second, func() bool { return s.relay.see(func() bool { return len(s.relay.marks) > 0 }) })
		})
	}
}

// A call that is taken in part loses the order at fault alone.
func TestAnOrderThatIsRefusedStopsNoOther(t *testing.T) {
	s := up(t)
	s.relay.fate("part")
	s.agent.set("h1", 0, "leaving")
	s.within("the mask of h1, or its lines, which followed the order at fault", 4*time.Second, func() bool { return s.drained("h1")() || s.moved("h1")() })
}

func TestTheNewsAreSubscribedAgain(t *testing.T) {
	s := up(t)
	s.relay.cut()
	s.within("a subscription", time.Second, func() bool { return s.relay.see(func() bool { return len(s.relay.news) == 1 }) })
	s.agent.set("h1", 0, "leaving")
	s.within("the mask", grace, s.drained("h1"))
}

// While the relay is away another director may have moved our slices. What was ordered before is void then, and never written over what
// the relay holds; what is still wanted is ordered anew.
func TestOrdersOfBeforeAGapAreVoid(t *testing.T) {
	s := up(t)
	s.relay.fate(strings.Fields(strings.Repeat("before ", 400))...)
	s.agent.set("h1", 0, "leaving")
	s.within("a call", time.Second, func() bool { return s.relay.see(func() bool { return s.relay.calls > 0 }) })
	s.relay.mu.Lock()
	s.relay.say = nil // slices 0 to 2 are another's by now, and slice 3 came back with a line of its own
	s.relay.mu.Unlock()
	s.relay.tell("joined", `"node":0,"locality":"a","w":20,"cold":false`)
	s.relay.tell("given", `"shard":3,"set":true`)
	s.relay.tell("held", `"shard":3,"endpoint":"h1","w":1.0`)
	s.relay.cut()
	s.within("a subscription", time.Second, func() bool { return s.relay.see(func() bool { return len(s.relay.news) == 1 }) })
	time.Sleep(300 * time.Millisecond)
	s.relay.mu.Lock()
	s.relay.fates, s.relay.lines = nil, map[string]float64{}
	s.relay.mu.Unlock()
	s.within("the lines of slice 3", 3*time.Second, func() bool {
		return s.relay.see(func() bool { return s.relay.out["h1"] && s.relay.lines["3/h2"]+s.relay.lines["3/h3"] > 0 })
	})
	s.relay.see(func() bool {
		for line := range s.relay.lines {
			if !strings.HasPrefix(line, "3/") {
				t.Errorf("an order for a slice that was lost: %s", line)
			}
		}
		return true
	})
}

func TestANewConfigurationMovesBothAddresses(t *testing.T) {
	s := up(t)
	old, former := s.relay, s.agent
	os.WriteFile(s.file, []byte(`{"name":`), 0o600)
	s.signals <- syscall.SIGHUP // one that can't be read changes nothing
	s.relay, s.agent = newRelay(t), newAgent(t, "h1", "h2", "h3")
	s.relay.say = old.say
	time.Sleep(50 * time.Millisecond)
	s.configure(former.whole())
	s.signals <- syscall.SIGHUP
	s.signals <- syscall.SIGHUP
	s.within("the new subscription", time.Second, func() bool { return s.relay.see(func() bool { return len(s.relay.news) == 1 }) })
	old.ln.Close()
	former.http.CloseClientConnections()
	s.agent.set("h1", 0, "leaving")
	s.within("the mask at the new relay", grace, s.drained("h1"))
	if old.see(func() bool { return old.out["h1"] }) {
		t.Error("the former relay was told too")
	}
	s.signals <- syscall.SIGTERM
	if err := <-s.ended; err != nil {
		t.Fatal(err)
	}
}

func TestADirectorThatIsTerminatedEndsAfterItsCall(t *testing.T) {
	s := up(t)
	s.relay.fate("silent", "silent", "silent", "silent", "silent", "silent")
	s.agent.set("h1", 0, "leaving")
	s.within("a call", time.Second, func() bool { return s.relay.see(func() bool { return s.relay.calls > 0 }) })
	began := time.Now()
	s.signals <- syscall.SIGTERM
	if err := <-s.ended; err != nil || time.Since(began) > 600*time.Millisecond {
		t.Fatalf("%v after %v", err, time.Since(began))
	}
}

func TestReportsReachTheModule(t *testing.T) {
	s := up(t)
	c, err := net.Dial("tcp", s.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, `{"t":"collector","locality":"a"}`+"\n")
	// All of h1's tries are lost: it goes out without a word of the list.
	for end := time.Now().Add(8 * time.Second); !s.drained("h1")() && time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		fmt.Fprint(c, `{"t":"heard","locality":"a","endpoint":"h1","total":20,"errors":20,"interval":250}`+"\n"+
			`{"t":"heard","locality":"a","endpoint":"h2","total":20,"errors":0,"rtt":50,"interval":250,"metrics":{"utilization":0.3}}`+"\n"+
			`{"t":"heard","locality":"a","endpoint":"h3","total":9,"errors":0,"rtt":50,"interval":250,"metrics":{"utilization":0.1}}`+"\n")
		for slice := range 4 {
			fmt.Fprintf(c, `{"t":"heat","shard":%d,"route":"read","total":10,"errors":0,"interval":250}`+"\n", slice)
		}
	}
	if !s.drained("h1")() {
		t.Fatal("a host that fails all tries was left in")
	}
}

func TestWrongConfigurationsNameThePlace(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff","store":{"address":"127.0.0.1:3"},"settings":` + settings + `}`
	if s, err := parse([]byte(good), func(string) string { return "" }); err != nil || s.Seed != 255 || s.Resolution != 5 || s.Facts.Slices != 4 {
		t.Fatalf("%+v, %v", s, err)
	}
	for change, place := range map[string]string{
		`"name":"n"|"name":""`: "name", `"seed":"ff"|"seed":"xyz"`: "seed", `127.0.0.1:2|host:2`: "discovery", `"127.0.0.1:3"|"127.0.0.1"`: "store.address",
		`127.0.0.1:1|127.0.0.1:0`: "listen", `"listen":"127.0.0.1:1"|"listen":5`: "listen", `"settings":{|"settings":5,"x":{`: "settings",
		`"Repeat":"safe"|"Repeat":"odd"`: "settings", `"Dcs":["a"]|"Dcs":[]`: "settings", `{"name"|{{`: "byte", `"Slices":4|"Slices":"4"`: "settings",
	} {
		was, is, _ := strings.Cut(change, "|")
		if _, err := parse([]byte(strings.Replace(good, was, is, 1)), func(string) string { return "" }); err == nil || !strings.HasPrefix(err.Error(), place) {
			t.Errorf("%s: %v, wanted %s", change, err, place)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.HasPrefix(err.Error(), "GW_CONFIG") {
		t.Error(err)
	}
}
