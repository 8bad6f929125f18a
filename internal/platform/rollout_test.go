package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"vetchwood/internal/orca"
	"vetchwood/internal/pick"
	"vetchwood/internal/standin"
	"vetchwood/internal/verdict"
)

// directorProcessVariable is the environment variable that makes the test binary run a director instead of the tests.
const directorProcessVariable = "VETCHWOOD_TEST_DIRECTOR"

func TestMain(m *testing.M) {
	if os.Getenv(directorProcessVariable) == "" {
		os.Exit(m.Run())
	}
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM)
	if err := Run(context.Background(), os.Getenv, signals, slog.New(slog.NewTextHandler(os.Stderr, nil))); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

const (
	fleetProxies    = 150
	fleetSlices     = 48
	fleetHosts      = 20
	fleetCallRate   = 115                    // per second, over all slices
	callCPUTime     = 100 * time.Millisecond // on a host's single core
	callTimeout     = 3 * time.Second        // the deadline of the route in testSettings
	callSLO         = 1200 * time.Millisecond
	reportInterval  = 500 * time.Millisecond
	retryDelay      = 200 * time.Millisecond // mean delay before a rejected call is retried
	orderTransit    = 300 * time.Millisecond // from an order to its acknowledgement by the proxies
	warmUpTime      = 4 * time.Second
	replaceInterval = 1000 * time.Millisecond
	drainTime       = 2 * time.Second // from the start of a host's drain to its removal
	staleLineAge    = 6 * time.Second // age after the removal of its host at which a line counts as stale
)

// fleet is a director process with stubs of the relay and of discovery, stand-in hosts and callers, all on loopback
// sockets.
type fleet struct {
	t         *testing.T
	relay     *relayStub
	discovery *discoveryStub
	process   *exec.Cmd
	config    string
	log       *logBuffer
	client    *http.Client
	demand    *pick.AliasTable // distribution of calls over slices

	mu        sync.Mutex
	hosts     map[string]*standin.Host
	removedAt map[string]time.Time
	tries     map[string]*hostSample // by host, since the last report
	calls     map[int]int            // by slice, since the last report
	ended     outcomes
	// maxRetries is how often a caller retries a rejected call.
	maxRetries int
	// stallTime is the total time for which this process, which runs the callers and hosts, was not scheduled.
	stallTime time.Duration
	// noServer counts the calls rejected because their table had no usable host. Other rejections are due to admission
	// levels or full hosts.
	noServer int
}

// hostSample is the load report of one host: tries and their total time, and the utilization last reported.
type hostSample struct {
	ended, failed int
	spent         time.Duration
	utilization   float64
}

// outcomes counts calls by how they ended.
type outcomes struct{ inTime, late, refused, unanswered int }

func (o outcomes) all() int { return o.inTime + o.late + o.refused + o.unanswered }

// since returns the difference to an earlier count.
func (o outcomes) since(before outcomes) outcomes {
	return outcomes{o.inTime - before.inTime, o.late - before.late, o.refused - before.refused,
		o.unanswered - before.unanswered}
}

func newFleet(t *testing.T) *fleet {
	demand := make([]float64, fleetSlices)
	for i := range demand {
		demand[i] = 1 / math.Sqrt(1+float64(i*7%fleetSlices)) // a few slices have several times the calls of others
	}
	f := &fleet{t: t, relay: newRelayStub(t), discovery: newDiscoveryStub(t), log: &logBuffer{},
		hosts: map[string]*standin.Host{}, removedAt: map[string]time.Time{},
		tries: map[string]*hostSample{}, calls: map[int]int{}, demand: pick.NewAliasTable(demand),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	f.relay.ackDelay, f.relay.proxies = orderTransit, fleetProxies
	for n := range fleetHosts {
		f.addHost(fmt.Sprintf("h%d", n), n, true)
	}
	for p := range fleetProxies {
		f.relay.notify("joined", fmt.Sprintf(`"node":%d,"locality":"a","w":1,"cold":true`, p))
	}
	for slice := range fleetSlices {
		f.relay.notify("given", fmt.Sprintf(`"shard":%d,"set":true`, slice))
		for i, weight := range []float64{1, 0.06} {
			host := fmt.Sprintf("h%d", (slice+i)%fleetHosts)
			f.relay.notify("held", fmt.Sprintf(`"shard":%d,"endpoint":%q,"w":%g`, slice, host, weight))
			f.relay.lines[fmt.Sprintf("%d/%s", slice, host)] = weight
		}
	}
	return f
}

// addHost starts a host and lists it at discovery.
func (f *fleet) addHost(name string, cell int, warm bool) {
	config := standin.HostConfig{Cores: 1, Queue: 60, ColdCapacity: 0.35, WarmAfter: warmUpTime, ColdOverloadLimit: 1e6, ColdFailAfter: time.Hour,
		Recorder: &verdict.Recorder{},
		Now:      func() float64 { return float64(time.Now().UnixMilli()) }}
	h := standin.NewHost(config, "")
	if err := h.Start(warm); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(h.Kill)
	f.mu.Lock()
	f.hosts[name] = h
	f.mu.Unlock()
	f.discovery.setEntry(name, string(h.Address), cell, "active", h.StartedAt())
}

// startDirector starts the director process and returns its listening address.
func (f *fleet) startDirector() string {
	listen, file := freeAddress(f.t), filepath.Join(f.t.TempDir(), "config.json")
	replacer := strings.NewReplacer(`"DataPlaneSize":4,"Slices":4`, fmt.Sprintf(`"DataPlaneSize":%d,"Slices":%d`, fleetProxies, fleetSlices),
		`"MayProbe":false`, `"MayProbe":true`, `"WarmAfterMs":9000`, fmt.Sprintf(`"WarmAfterMs":%d`, warmUpTime.Milliseconds()))
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":0.25,"memory_mb":48,"sockets":256},
"store":{"address":%q},"known":%s,"settings":%s}`, listen, f.discovery.address(), f.relay.address(), f.discovery.snapshot(), replacer.Replace(testSettings))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.config = file
	f.startProcess()
	f.t.Cleanup(func() {
		f.process.Process.Signal(syscall.SIGTERM)
		f.process.Wait()
	})
	return listen
}

// start starts the director, a collector that reports to it, and callers at the usual rate.
func (f *fleet) start(ctx context.Context) {
	listen := f.startDirector()
	go f.measureStalls(ctx)
	go f.report(ctx, listen)
	go f.generateCalls(ctx)
}

func (f *fleet) startProcess() {
	f.process = exec.Command(os.Args[0])
	f.process.Env = append(os.Environ(), directorProcessVariable+"=1", "GW_CONFIG="+f.config)
	f.process.Stderr = f.log
	if err := f.process.Start(); err != nil {
		f.t.Fatal(err)
	}
}

// killDirector kills the director process and starts it again with its first configuration, which lists the initial
// hosts.
func (f *fleet) killDirector() {
	f.process.Process.Kill()
	f.process.Wait()
	f.startProcess()
}

// usableLines returns the lines of a slice's table that a proxy may use for a call. If there are none, the proxy
// rejects the call; throttled reports whether the admission level is the reason.
func (f *fleet) usableLines(slice int) (hosts []string, weights []float64, throttled bool) {
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	if rand.Float64() >= f.relay.level {
		return nil, nil, true
	}
	for line, weight := range f.relay.lines {
		table, host, _ := strings.Cut(line, "/")
		if table == fmt.Sprint(slice) && weight > 0 && !f.relay.masked[host] {
			hosts, weights = append(hosts, host), append(weights, weight)
		}
	}
	return hosts, weights, false
}

// call makes one call for a slice and retries it up to maxRetries times if it is rejected.
func (f *fleet) call(slice int) {
	for range f.maxRetries {
		if f.try(slice) {
			return
		}
		time.Sleep(retryDelay/2 + rand.N(retryDelay))
	}
	if !f.try(slice) {
		f.mu.Lock()
		f.ended.refused++
		f.mu.Unlock()
	}
}

// try sends a call once, as a proxy does, to a host chosen by the weights of the table. It returns false if the call
// was rejected.
func (f *fleet) try(slice int) (accepted bool) {
	hosts, weights, throttled := f.usableLines(slice)
	f.mu.Lock()
	f.calls[slice]++
	if len(hosts) == 0 {
		if !throttled {
			f.noServer++
		}
		f.mu.Unlock()
		return false
	}
	name := hosts[pick.NewAliasTable(weights).Draw(rand.Float64())]
	address := f.hosts[name].Address
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+"/", nil)
	request.Header.Set(standin.HeaderWorkMs, fmt.Sprint(callCPUTime.Milliseconds()))
	began := time.Now()
	response, err := f.client.Do(request)
	spent := time.Since(began)
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tries[name]
	if t == nil {
		t = &hostSample{}
		f.tries[name] = t
	}
	t.ended++
	if err == nil {
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if load, err := orca.Parse(response.Header.Get(orca.Header)); err == nil && load.Utilization != nil {
			t.utilization = *load.Utilization
		}
	}
	switch {
	case err == nil && response.StatusCode == http.StatusOK:
		if t.spent += spent; spent < callSLO {
			f.ended.inTime++
		} else {
			f.ended.late++
		}
		return true
	case errors.Is(err, context.DeadlineExceeded):
		f.ended.unanswered++
		accepted = true
	}
	t.failed++
	return accepted
}

// outcomes returns the counts of the calls that have ended.
func (f *fleet) outcomes() outcomes {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended
}

// generateCalls makes calls at a constant rate until the context ends.
func (f *fleet) generateCalls(ctx context.Context) {
	tick := time.NewTicker(time.Second / fleetCallRate)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			go f.call(f.demand.Draw(rand.Float64()))
		}
	}
}

const (
	stallCheckInterval = 20 * time.Millisecond
	stallThreshold     = 100 * time.Millisecond // delays above this affect the callers and hosts of this process
)

// measureStalls sums the time for which this process was not scheduled: calls delayed by that are not the director's
// fault.
func (f *fleet) measureStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; last = time.Now() {
		time.Sleep(stallCheckInterval)
		if late := time.Since(last) - stallCheckInterval; late > stallThreshold {
			f.mu.Lock()
			f.stallTime += late
			f.mu.Unlock()
		}
	}
}

// report sends load reports to the director, as a collector does, and reconnects when the director has exited.
func (f *fleet) report(ctx context.Context, listen string) {
	for ctx.Err() == nil {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		_, err = io.WriteString(c, `{"t":"collector","locality":"a"}`+"\n")
		for tick := time.NewTicker(reportInterval); err == nil && ctx.Err() == nil; {
			select {
			case <-ctx.Done():
			case <-tick.C:
				_, err = io.WriteString(c, f.reportLines())
			}
		}
		c.Close()
	}
}

// reportLines returns the load reports on the tries and calls since the last ones.
func (f *fleet) reportLines() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var text strings.Builder
	for host, t := range f.tries {
		mean := ""
		if good := t.ended - t.failed; good > 0 {
			mean = fmt.Sprintf(`"rtt":%d,`, t.spent.Milliseconds()/int64(good))
		}
		fmt.Fprintf(&text, `{"t":"heard","locality":"a","endpoint":%q,"total":%d,"errors":%d,%s"interval":%d,"metrics":{"utilization":%g}}`+"\n",
			host, t.ended, t.failed, mean, reportInterval.Milliseconds(), t.utilization)
	}
	for slice, n := range f.calls {
		fmt.Fprintf(&text, `{"t":"heat","shard":%d,"route":"read","total":%d,"errors":0,"interval":%d}`+"\n", slice, n, reportInterval.Milliseconds())
	}
	clear(f.tries)
	clear(f.calls)
	return text.String()
}

// replaceHost adds a replacement and drains the old host, which is removed after drainTime.
func (f *fleet) replaceHost(old string, cell int, replacement string) {
	f.addHost(replacement, fleetHosts+cell, false)
	f.mu.Lock()
	address := string(f.hosts[old].Address)
	f.mu.Unlock()
	f.discovery.setEntry(old, address, cell, "leaving", 0)
	time.AfterFunc(drainTime, func() {
		f.discovery.remove(old)
		f.mu.Lock()
		f.removedAt[old] = time.Now()
		f.mu.Unlock()
	})
}

// staleLines returns the lines of hosts that were removed more than staleLineAge ago.
func (f *fleet) staleLines() (lines []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	for line, weight := range f.relay.lines {
		_, host, _ := strings.Cut(line, "/")
		if since, gone := f.removedAt[host]; gone && weight > 0 && time.Since(since) > staleLineAge {
			lines = append(lines, line)
		}
	}
	return lines
}

// Guards against late or failed calls during a rollout: all hosts of a fleet are replaced one by one, at a demand below
// its capacity and without other faults. Calls must be answered in time, and no table may keep lines of removed hosts.
// Regression test for both reports in issue 29.
func TestRolloutAnswersInTime(t *testing.T) {
	for name, killed := range map[string]int{"undisturbed": -1, "director killed": fleetHosts / 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runRollout(t, killed)
		})
	}
}

// runRollout replaces hosts and checks the outcomes of calls. The director is killed just before replacement killedAt;
// if that is negative, it is not killed.
func runRollout(t *testing.T, killedAt int) {
	f := newFleet(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.start(ctx)
	time.Sleep(3 * time.Second)
	mostStale := 0
	for n := range 3 * fleetHosts / 2 {
		if n == killedAt {
			f.killDirector()
		}
		f.replaceHost(fmt.Sprintf("h%d", n), n, fmt.Sprintf("h%d", n+fleetHosts))
		time.Sleep(replaceInterval)
		mostStale = max(mostStale, len(f.staleLines()))
	}
	time.Sleep(callTimeout + staleLineAge)
	ended := f.outcomes()
	all := ended.all()
	f.mu.Lock()
	stallTime := f.stallTime
	f.mu.Unlock()
	t.Logf("%d calls, %d late, %d not answered at all, %d refused (%d had no server); at most %d stale lines, %d at the end; "+
		"the test's own process stalled for %v",
		all, ended.late, ended.unanswered, ended.refused, f.noServer, mostStale, len(f.staleLines()), stallTime)
	if ended.unanswered*200 > all {
		t.Errorf("%d of %d calls were not answered", ended.unanswered, all)
	}
	if ended.refused*8 > all {
		t.Errorf("%d of %d calls were rejected, at a demand of 0.6 of the capacity of the hosts", ended.refused, all)
	}
	if ended.late*20 > all {
		t.Errorf("%d of %d calls were answered late", ended.late, all)
	}
	if stale := f.staleLines(); len(stale) > 0 {
		t.Errorf("tables have lines of hosts that were removed more than %v ago: %v", staleLineAge, stale)
	}
	f.logOnFailure("msg=decisions")
}

// logOnFailure adds the director's log lines that contain kind to the test's log if the test has failed.
func (f *fleet) logOnFailure(kind string) {
	if !f.t.Failed() {
		return
	}
	for _, line := range strings.Split(f.log.String(), "\n") {
		if strings.Contains(line, kind) {
			f.t.Log(line)
		}
	}
}
