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

	"vetchwood/internal/judge"
	"vetchwood/internal/orca"
	"vetchwood/internal/pick"
	"vetchwood/internal/standin"
)

// directorProcess has the test binary be a director in service, a process of its own.
const directorProcess = "VETCHWOOD_TEST_DIRECTOR"

func TestMain(m *testing.M) {
	if os.Getenv(directorProcess) == "" {
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
	fleetProxies = 150
	fleetSlices  = 48
	fleetHosts   = 20
	fleetCalls   = 115                    // a second, of all slices
	callWork     = 100 * time.Millisecond // on the one core of a host
	callDue      = 3 * time.Second        // the time limit of the route in settings
	callGoal     = 1200 * time.Millisecond
	reportEvery  = 500 * time.Millisecond
	repeatAfter  = 200 * time.Millisecond // on average, before a call that was turned away is made again
	transit      = 300 * time.Millisecond // of an order to its proxies
	warmFor      = 4 * time.Second
	replaceEvery = 1000 * time.Millisecond
	goneAfter    = 2 * time.Second // a host that drains
	staleAfter   = 6 * time.Second // a line of a host that is gone
)

// fleet is a director process with a relay, a list, hosts and callers around it, all on loopback sockets.
type fleet struct {
	t       *testing.T
	relay   *relay
	agent   *agent
	process *exec.Cmd
	config  string
	log     *logged
	client  *http.Client
	demand  *pick.AliasTable // of slices

	mu    sync.Mutex
	hosts map[string]*standin.Host
	gone  map[string]time.Time
	tries map[string]*tried // since the last report, by host
	calls map[int]int       // the same, by slice
	ended outcomes
	// repeats is how often a caller makes a call again that was turned away.
	repeats int
	// stalled is for how long this process, with its callers and hosts, did not run when it should have.
	stalled time.Duration
	// noServer are calls turned away because their table offered no host; the others were by levels or by full hosts.
	noServer int
}

type tried struct {
	ended, failed int
	spent         time.Duration
	busy          float64
}

type outcomes struct{ inTime, late, refused, unanswered int }

func (o outcomes) all() int { return o.inTime + o.late + o.refused + o.unanswered }

// since is what came after an earlier count.
func (o outcomes) since(before outcomes) outcomes {
	return outcomes{o.inTime - before.inTime, o.late - before.late, o.refused - before.refused,
		o.unanswered - before.unanswered}
}

func newFleet(t *testing.T) *fleet {
	demand := make([]float64, fleetSlices)
	for i := range demand {
		demand[i] = 1 / math.Sqrt(1+float64(i*7%fleetSlices)) // a few slices have several times the calls of others
	}
	f := &fleet{t: t, relay: newRelay(t), agent: newAgent(t), log: &logged{}, hosts: map[string]*standin.Host{}, gone: map[string]time.Time{},
		tries: map[string]*tried{}, calls: map[int]int{}, demand: pick.NewAliasTable(demand),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	f.relay.transit, f.relay.proxies = transit, fleetProxies
	for n := range fleetHosts {
		f.addHost(fmt.Sprintf("h%d", n), n, true)
	}
	for p := range fleetProxies {
		f.relay.tell("joined", fmt.Sprintf(`"node":%d,"locality":"a","w":1,"cold":true`, p))
	}
	for slice := range fleetSlices {
		f.relay.tell("given", fmt.Sprintf(`"shard":%d,"set":true`, slice))
		for i, weight := range []float64{1, 0.06} {
			host := fmt.Sprintf("h%d", (slice+i)%fleetHosts)
			f.relay.tell("held", fmt.Sprintf(`"shard":%d,"endpoint":%q,"w":%g`, slice, host, weight))
			f.relay.lines[fmt.Sprintf("%d/%s", slice, host)] = weight
		}
	}
	return f
}

func (f *fleet) addHost(name string, cell int, warm bool) {
	shape := standin.HostShape{Cores: 1, Queue: 60, ColdFrom: 0.35, Warm: warmFor, Tip: 1e6, Fall: time.Hour, Book: &judge.Book{},
		Now: func() float64 { return float64(time.Now().UnixMilli()) }}
	h := standin.NewHost(shape, "")
	if err := h.Start(warm); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(h.Die)
	f.mu.Lock()
	f.hosts[name] = h
	f.mu.Unlock()
	f.agent.list(name, string(h.Address), cell, "active", h.Born())
}

// startDirector starts the process and gives the address that it answers at.
func (f *fleet) startDirector() string {
	listen, file := free(f.t), filepath.Join(f.t.TempDir(), "config.json")
	big := strings.NewReplacer(`"DataPlaneSize":4,"Slices":4`, fmt.Sprintf(`"DataPlaneSize":%d,"Slices":%d`, fleetProxies, fleetSlices),
		`"MayProbe":false`, `"MayProbe":true`, `"WarmAfterMs":9000`, fmt.Sprintf(`"WarmAfterMs":%d`, warmFor.Milliseconds()))
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":0.25,"memory_mb":48,"sockets":256},
"store":{"address":%q},"known":%s,"settings":%s}`, listen, f.agent.address(), f.relay.address(), f.agent.whole(), big.Replace(settings))
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

// begin starts the director, its collector and the callers of the usual demand.
func (f *fleet) begin(ctx context.Context) {
	listen := f.startDirector()
	go f.watchItself(ctx)
	go f.report(ctx, listen)
	go f.demandCalls(ctx)
}

func (f *fleet) startProcess() {
	f.process = exec.Command(os.Args[0])
	f.process.Env = append(os.Environ(), directorProcess+"=1", "GW_CONFIG="+f.config)
	f.process.Stderr = f.log
	if err := f.process.Start(); err != nil {
		f.t.Fatal(err)
	}
}

// killDirector ends the process with SIGKILL and starts it again with the list of its first start.
func (f *fleet) killDirector() {
	f.process.Process.Kill()
	f.process.Wait()
	f.startProcess()
}

// open are the lines of a slice's table that a proxy may use for a call; none: it turns the call away.
func (f *fleet) open(slice int) (hosts []string, weights []float64, throttled bool) {
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	if rand.Float64() >= f.relay.level {
		return nil, nil, true
	}
	for line, weight := range f.relay.lines {
		table, host, _ := strings.Cut(line, "/")
		if table == fmt.Sprint(slice) && weight > 0 && !f.relay.out[host] {
			hosts, weights = append(hosts, host), append(weights, weight)
		}
	}
	return hosts, weights, false
}

// call makes one call for a slice, and makes it again for as often as callers do when it is turned away.
func (f *fleet) call(slice int) {
	for range f.repeats {
		if f.try(slice) {
			return
		}
		time.Sleep(repeatAfter/2 + rand.N(repeatAfter))
	}
	if !f.try(slice) {
		f.mu.Lock()
		f.ended.refused++
		f.mu.Unlock()
	}
}

// try sends a call as a plain proxy does: by the weights of its table, and once. False: it was turned away.
func (f *fleet) try(slice int) (taken bool) {
	hosts, weights, throttled := f.open(slice)
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
	ctx, cancel := context.WithTimeout(context.Background(), callDue)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+"/", nil)
	request.Header.Set(standin.HeaderWork, fmt.Sprint(callWork.Milliseconds()))
	began := time.Now()
	response, err := f.client.Do(request)
	spent := time.Since(began)
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tries[name]
	if t == nil {
		t = &tried{}
		f.tries[name] = t
	}
	t.ended++
	if err == nil {
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if load, err := orca.Parse(response.Header.Get(orca.Header)); err == nil && load.Utilization != nil {
			t.busy = *load.Utilization
		}
	}
	switch {
	case err == nil && response.StatusCode == http.StatusOK:
		if t.spent += spent; spent < callGoal {
			f.ended.inTime++
		} else {
			f.ended.late++
		}
		return true
	case errors.Is(err, context.DeadlineExceeded):
		f.ended.unanswered++
		taken = true
	}
	t.failed++
	return taken
}

// outcomes are those of the calls that have ended.
func (f *fleet) outcomes() outcomes {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended
}

// demandCalls makes calls at an even pace until the context ends.
func (f *fleet) demandCalls(ctx context.Context) {
	tick := time.NewTicker(time.Second / fleetCalls)
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
	beatEvery = 20 * time.Millisecond
	beatLate  = 100 * time.Millisecond // from there on callers and hosts of this process are late by themselves
)

// watchItself sums up for how long this process was kept from running: what that made late is no fault of the director.
func (f *fleet) watchItself(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; last = time.Now() {
		time.Sleep(beatEvery)
		if late := time.Since(last) - beatEvery; late > beatLate {
			f.mu.Lock()
			f.stalled += late
			f.mu.Unlock()
		}
	}
}

// report forwards what callers met, as a collector does: it connects anew when the director has gone.
func (f *fleet) report(ctx context.Context, listen string) {
	for ctx.Err() == nil {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		_, err = io.WriteString(c, `{"t":"collector","locality":"a"}`+"\n")
		for tick := time.NewTicker(reportEvery); err == nil && ctx.Err() == nil; {
			select {
			case <-ctx.Done():
			case <-tick.C:
				_, err = io.WriteString(c, f.lines())
			}
		}
		c.Close()
	}
}

// lines are the reports since the last ones.
func (f *fleet) lines() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var text strings.Builder
	for host, t := range f.tries {
		mean := ""
		if good := t.ended - t.failed; good > 0 {
			mean = fmt.Sprintf(`"rtt":%d,`, t.spent.Milliseconds()/int64(good))
		}
		fmt.Fprintf(&text, `{"t":"heard","locality":"a","endpoint":%q,"total":%d,"errors":%d,%s"interval":%d,"metrics":{"utilization":%g}}`+"\n",
			host, t.ended, t.failed, mean, reportEvery.Milliseconds(), t.busy)
	}
	for slice, n := range f.calls {
		fmt.Fprintf(&text, `{"t":"heat","shard":%d,"route":"read","total":%d,"errors":0,"interval":%d}`+"\n", slice, n, reportEvery.Milliseconds())
	}
	clear(f.tries)
	clear(f.calls)
	return text.String()
}

// replace lists a new host, drains an old one and has it gone a while later.
func (f *fleet) replace(old string, cell int, by string) {
	f.addHost(by, fleetHosts+cell, false)
	f.mu.Lock()
	address := string(f.hosts[old].Address)
	f.mu.Unlock()
	f.agent.list(old, address, cell, "leaving", 0)
	time.AfterFunc(goneAfter, func() {
		f.agent.remove(old)
		f.mu.Lock()
		f.gone[old] = time.Now()
		f.mu.Unlock()
	})
}

// stale are lines that name a host which went more than staleAfter ago.
func (f *fleet) stale() (lines []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	for line, weight := range f.relay.lines {
		_, host, _ := strings.Cut(line, "/")
		if since, gone := f.gone[host]; gone && weight > 0 && time.Since(since) > staleAfter {
			lines = append(lines, line)
		}
	}
	return lines
}

// All hosts of a fleet are replaced one by one, at a demand that the fleet can bear and with nothing else at fault.
// Each call is answered in time, and no table keeps the lines of hosts that are gone. Issue 29, its two reports.
func TestRolloutAnswersInTime(t *testing.T) {
	for name, killed := range map[string]int{"undisturbed": -1, "director killed": fleetHosts / 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rollout(t, killed)
		})
	}
}

// rollout replaces hosts and judges what callers met. The director is killed as that replacement begins.
func rollout(t *testing.T, killedAt int) {
	f := newFleet(t)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	f.begin(ctx)
	time.Sleep(3 * time.Second)
	mostStale := 0
	for n := range 3 * fleetHosts / 2 {
		if n == killedAt {
			f.killDirector()
		}
		f.replace(fmt.Sprintf("h%d", n), n, fmt.Sprintf("h%d", n+fleetHosts))
		time.Sleep(replaceEvery)
		mostStale = max(mostStale, len(f.stale()))
	}
	time.Sleep(callDue + staleAfter)
	ended := f.outcomes()
	all := ended.all()
	f.mu.Lock()
	stalled := f.stalled
	f.mu.Unlock()
	t.Logf("%d calls, %d late, %d not answered at all, %d refused (%d had no server); at most %d lines of hosts long gone, %d at the end; "+
		"the test's own process stalled for %v", all, ended.late, ended.unanswered, ended.refused, f.noServer, mostStale, len(f.stale()), stalled)
	if ended.unanswered*200 > all {
		t.Errorf("%d of %d calls had no answer", ended.unanswered, all)
	}
	if ended.refused*8 > all {
		t.Errorf("%d of %d calls were turned away, at a demand of 0.6 of what the hosts can do", ended.refused, all)
	}
	if ended.late*20 > all {
		t.Errorf("%d of %d calls were answered late", ended.late, all)
	}
	if stale := f.stale(); len(stale) > 0 {
		t.Errorf("tables name hosts that went more than %v ago: %v", staleAfter, stale)
	}
	f.explain("msg=decisions")
}

// explain logs the director's lines of a kind once a test has failed.
func (f *fleet) explain(kind string) {
	if !f.t.Failed() {
		return
	}
	for _, line := range strings.Split(f.log.String(), "\n") {
		if strings.Contains(line, kind) {
			f.t.Log(line)
		}
	}
}
