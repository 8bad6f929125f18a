package rehearse

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/consul/api"

	"vetchwood/internal/control"
	"vetchwood/internal/follow"
	"vetchwood/internal/operator"
	"vetchwood/internal/relay"
	"vetchwood/internal/settings"
	"vetchwood/internal/standin"
	"vetchwood/internal/tables"
	"vetchwood/internal/verdict"
	"vetchwood/logic"
)

// environment is a started fleet: the directors, the proxies, the hosts and the registry.
type environment struct {
	script   *Script
	settings *settings.Director
	recorder *verdict.Recorder
	log      *slog.Logger
	dir      string
	command  func(file string) *exec.Cmd
	registry *standin.Registry
	epoch    time.Time // reference point of the clock; see now
	dayStart time.Time // when the day began, after the fleet was ready

	mu            sync.Mutex
	hosts         []*fleetHost
	hostsCreated  int // hosts created so far; numbers the IDs of new ones
	proxies       []*proxy
	directors     []*director
	deduplicators map[string]*standin.Deduplicator // by cell
	pending       sync.WaitGroup                   // call generators and calls in flight
	random        *rand.Rand
	routes        map[string]tables.Route
	startVersion  tables.Step // version that every proxy held when the day began
	rollbacks     []RollbackResult
	storms        []StormResult
	handovers     []Handover
}

// fleetHost is a simulated host together with its entry in the host list.
type fleetHost struct {
	*standin.Host
	id, zone, cell string
	faulty         bool // subject to a fault at present
}

// proxy is an ordinary sidecar that runs in this process, on its own sockets, and the client that calls through it.
type proxy struct {
	*relay.Relay
	config *settings.Relay
	client *standin.Client
	stop   context.CancelFunc
	done   chan struct{}
	ctx    context.Context
}

// now returns the Unix time in milliseconds. It advances with the monotonic clock, so it never steps back.
func (s *environment) now() float64 {
	return float64(s.epoch.UnixMicro())/1000 + float64(time.Since(s.epoch).Nanoseconds())/1e6
}

// freeAddress returns a loopback address whose port was free a moment ago. Another process may take it before its use.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// startEnvironment starts everything that a day needs and returns once every proxy holds tables. Ports are chosen
// before the directors bind them, and another process may take one in between; the director then exits, and the start
// is repeated, in 4 attempts altogether.
func startEnvironment(ctx context.Context, script *Script, dir string, command func(string) *exec.Cmd, log *slog.Logger) (s *environment, err error) {
	for range 4 {
		if s, err = tryStartEnvironment(ctx, script, dir, command, log); !errors.Is(err, errDirectorExited) {
			break
		}
	}
	return s, err
}

// tryStartEnvironment makes one attempt to start the environment, and stops what it has started if the attempt fails.
func tryStartEnvironment(ctx context.Context, script *Script, dir string, command func(string) *exec.Cmd, log *slog.Logger) (s *environment, err error) {
	s = &environment{script: script, recorder: &verdict.Recorder{}, log: log, dir: dir, command: command, epoch: time.Now(),
		deduplicators: map[string]*standin.Deduplicator{}, random: rand.New(rand.NewPCG(1, 2))}
	defer func() {
		if err != nil {
			s.stop()
		}
	}()
	if s.registry, err = standin.NewRegistry("127.0.0.1:0", s.recorder, s.now, script.Fleet.ListDelay); err != nil {
		return s, err
	}
	s.recordOwnership()
	for i := range script.Fleet.Directors {
		if err = s.addDirector(i); err != nil {
			return s, err
		}
	}
	s.settings = s.directors[0].settings
	s.routes = map[string]tables.Route{}
	for _, r := range s.settings.Service.Routes {
		s.routes[r.Name] = r.Route
	}
	for _, r := range script.Routes {
		if _, known := s.routes[r.Name]; !known {
			return s, fmt.Errorf("the day has a route %q that the director's settings do not define", r.Name)
		}
	}
	for range script.Fleet.Hosts {
		if _, err = s.addHost(true); err != nil {
			return s, err
		}
	}
	if err = s.forEachDirector(func(d *director) error { return d.start(s.command) }); err != nil {
		return s, err
	}
	for i := range script.Fleet.Proxies {
		if err = s.addProxy(i); err != nil {
			return s, err
		}
	}
	return s, s.awaitTables(ctx)
}

// awaitTables waits until every proxy holds lines for every table, for at most 20 s.
func (s *environment) awaitTables(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		ready := 0
		for _, r := range s.proxies {
			if d := r.Document(); d != nil && len(d.Tables) >= max(1, s.settings.Service.Config.Slices) && allTablesHaveLines(d) {
				ready++
			}
		}
		if ready == len(s.proxies) {
			return nil
		}
		select {
		case <-s.directors[0].exited:
			return fmt.Errorf("%w while the fleet was starting: %v; see %s", errDirectorExited, s.directors[0].exitErr, s.directorLog())
		case <-ctx.Done():
			return fmt.Errorf("only %d of %d proxies held complete tables in time (20 s); see %s", ready, len(s.proxies), s.directorLog())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func allTablesHaveLines(d *tables.Document) bool {
	for _, t := range d.Tables {
		if len(t.Lines) == 0 {
			return false
		}
	}
	return true
}

// stop shuts down the proxies, the directors, the hosts and the registry, and waits for the calls in flight.
func (s *environment) stop() {
	for _, p := range s.proxies {
		p.stop()
		<-p.done
		p.client.Close()
	}
	var stopping sync.WaitGroup
	for _, d := range s.directors {
		stopping.Go(func() { d.setPaused(false); d.stop(syscall.SIGTERM) })
	}
	stopping.Wait()
	for _, h := range s.hosts {
		h.Kill()
	}
	for _, d := range s.directors {
		if d.registryLink != nil {
			d.registryLink.Close()
			d.peerLink.Close()
		}
	}
	if s.registry != nil {
		s.registry.Close()
	}
	s.pending.Wait()
}

// addHost starts a new host and registers it. A host that is not warm goes through its warm-up.
func (s *environment) addHost(warm bool) (*fleetHost, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, fleet := s.settings.Service.Config, s.script.Fleet
	n := s.hostsCreated
	s.hostsCreated++
	zones := s.settings.Service.Zones
	zone := zones[n/fleet.PerCell%len(zones)]
	cell := fmt.Sprintf("%s-%d", zone, n/fleet.PerCell)
	if s.deduplicators[cell] == nil {
		window := time.Duration(0)
		for _, r := range f.Routes {
			window = max(window, time.Duration(float64(r.DedupWindow)*float64(time.Millisecond)))
		}
		s.deduplicators[cell] = standin.NewDeduplicator(window)
	}
	m := &fleetHost{id: fmt.Sprintf("host-%02d", n+1), zone: zone, cell: cell}
	m.Host = standin.NewHost(standin.HostConfig{Cores: fleet.Cores, Queue: fleet.Queue, ColdCapacity: f.ColdCapacity,
		WarmAfter: toDuration(f.WarmAfter), ColdOverloadLimit: f.ColdOverloadLimit, ColdFailAfter: toDuration(f.ColdFailAfter), Dedup: s.deduplicators[cell], Recorder: s.recorder,
		Now: s.now}, "")
	if err := m.Start(warm); err != nil {
		return nil, err
	}
	s.hosts = append(s.hosts, m)
	s.registry.Put(m.id, m.Address, m.zone, m.cell, m.StartedAt())
	return m, nil
}

func toDuration(ms logic.Millis) time.Duration {
	return time.Duration(float64(ms) * float64(time.Millisecond))
}

// parseMetric returns the value of an unlabelled metric in the text format of Prometheus, or 0 if it is missing.
func parseMetric(text []byte, name string) float64 {
	for line := range bytes.Lines(text) {
		if rest, found := bytes.CutPrefix(line, []byte(name+" ")); found {
			v, _ := strconv.ParseFloat(string(bytes.TrimSpace(rest)), 64)
			return v
		}
	}
	return 0
}

// addProxy starts proxy i. Its settings are written as the text of a settings file and parsed like any other's.
func (s *environment) addProxy(i int) (err error) {
	p := &proxy{}
	mqtt := s.script.Fleet.Front == "mqtt" || s.script.Fleet.Front == "mixed" && i%2 == 1
	name, zones := "relay-"+strconv.Itoa(i+1), s.settings.Service.Zones
	text := fmt.Sprintf("relay %q {\n  listen = \"127.0.0.1:0\"\n  zone = %q\n  directors = [\"%s\"]\n  follow = %q\n  front = %q\n  rate = %g\n  wait = \"5s\"\n"+
		"  report_every = \"%dms\"\n  drain = \"0s\"\n}\n", name, zones[i%len(zones)], strings.Join(s.directorURLs(mqtt), `", "`),
		map[bool]string{true: "all", false: "one"}[len(s.directors) > 1], map[bool]string{true: "mqtt", false: "poll"}[mqtt],
		s.script.Load.PeakRate/float64(s.script.Fleet.Proxies), int(s.settings.Service.Config.ReportInterval))
	for _, r := range s.script.Routes {
		text += fmt.Sprintf("route %q {\n  prefix = %q\n  key = \"header:%s\"\n}\n", r.Name, "/"+r.Name, standin.HeaderSliceKey)
	}
	if p.config, err = settings.ParseRelay(name+".hcl", []byte(text)); err != nil {
		return err
	}
	if err = s.startProxy(p); err != nil {
		return err
	}
	s.proxies = append(s.proxies, p)
	p.client = standin.NewClient(name, "http://"+p.config.Listen, s.recorder, s.now)
	return nil
}

// startProxy starts the proxy, also after a Kill. It retries every 50 ms while the address is still in use.
func (s *environment) startProxy(p *proxy) (err error) {
	name := p.config.Name
	for tries := 0; ; tries++ {
		p.Relay, err = relay.New(p.config, relay.Hooks{
			OnTry: func(_, mark, table string, host tables.Address) {
				s.recorder.AddTry(verdict.Try{At: s.now(), Proxy: name, Call: mark, Table: table, Host: host})
			},
			OnUpdate: func(u follow.Update) {
				h := verdict.ProxyUpdate{At: s.now(), Proxy: name, Doc: u.Doc, Lines: u.Lines, Full: u.Full}
				if len(s.directors) > 1 {
					h.DirectorDoc, h.Director = u.Raw, s.directors[u.DirectorIndex].name
				}
				s.recorder.AddProxyUpdate(h)
			},
			OnJoinChange: func(director string, on bool) {
				s.recorder.AddProxyUpdate(verdict.ProxyUpdate{At: s.now(), Proxy: name, Joined: on, Director: s.directorName(director)})
			},
		}, s.log)
		if err == nil {
			break
		}
		if tries > 40 {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.config.Listen = p.Addr().String()
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.done = make(chan struct{})
	go func(r *relay.Relay, life context.Context, done chan struct{}) { r.Run(life); close(done) }(p.Relay, p.ctx, p.done)
	return nil
}

// generateCalls sends calls to proxy i until the day ends. The load is open-loop: arrivals follow a Poisson process and
// do not wait for answers.
func (s *environment) generateCalls(ctx context.Context, i int) {
	defer s.pending.Done()
	script, n := s.script, float64(len(s.proxies))
	draw := rand.New(rand.NewPCG(uint64(i), 7))
	zipf := rand.NewZipf(draw, 1.1, 20, uint64(script.Load.Keys-1))
	at := time.Now()
	for serial := 0; ; serial++ {
		ramp := math.Min(1, float64(time.Since(s.dayStart))/float64(script.Load.RampDuration))
		rate := (script.Load.InitialRate + (script.Load.PeakRate-script.Load.InitialRate)*ramp) / n
		at = at.Add(time.Duration(draw.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(at)):
		}
		route := script.Routes[len(script.Routes)-1]
		for at, x := 0, draw.Float64(); at < len(script.Routes); at++ {
			if x -= script.Routes[at].Share; x < 0 {
				route = script.Routes[at]
				break
			}
		}
		call := standin.Call{ID: fmt.Sprintf("%d-%d", i, serial), Route: route.Name,
			SliceKey: "key-" + strconv.FormatUint(zipf.Uint64(), 10), WorkMs: float64(route.Work.Milliseconds()) * (0.5 + draw.Float64()),
			SendIdempotencyKey: s.routes[route.Name].Idempotency == "keyed", TimeLimit: time.Duration(s.routes[route.Name].TimeLimitMs * float64(time.Millisecond))}
		s.mu.Lock()
		to := s.proxies[i]
		for k := range s.proxies { // the clients of a stopped proxy use the next one that runs
			if p := s.proxies[(i+k)%len(s.proxies)]; p.ctx.Err() == nil {
				to = p
				break
			}
		}
		s.mu.Unlock()
		s.pending.Add(1)
		go func() {
			defer s.pending.Done()
			to.client.Do(context.Background(), call)
		}()
	}
}

// pickHosts marks up to n hosts without a fault as faulty and returns them. The choice is random with a fixed seed.
func (s *environment) pickHosts(n int) (out []*fleetHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.random.Perm(len(s.hosts)) {
		if h := s.hosts[i]; len(out) < n && !h.faulty {
			h.faulty = true
			out = append(out, h)
		}
	}
	return out
}

// clearFault makes the hosts available to pickHosts again.
func (s *environment) clearFault(hosts ...*fleetHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		h.faulty = false
	}
}

// sleep waits for d and returns false if the context ends first.
func (s *environment) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func hostIDs(hosts []*fleetHost) (out string) {
	for _, h := range hosts {
		out += " " + h.id
	}
	return out
}

// injectFault waits for the time of the fault, applies it, and ends it after its duration.
func (s *environment) injectFault(ctx context.Context, t Fault, report func(string)) error {
	if !s.sleep(ctx, t.At-time.Since(s.dayStart)) {
		return nil
	}
	switch t.Kind {
	case "die", "silent":
		hosts := s.pickHosts(t.Hosts)
		report(t.Kind + ":" + hostIDs(hosts))
		for _, h := range hosts {
			if t.Kind == "die" {
				h.Kill()
				s.registry.SetState(h.id, logic.Gone)
			} else {
				h.SetFaults(standin.HostFaults{Silent: true})
			}
		}
		if t.Kind == "silent" { // health checks take a while to detect a host that does not answer
			detection := min(5*time.Second, t.Duration/2)
			if !s.sleep(ctx, detection) {
				return nil
			}
			for _, h := range hosts {
				s.registry.SetState(h.id, logic.Gone)
			}
			t.Duration -= detection
		}
		if !s.sleep(ctx, t.Duration) {
			return nil
		}
		for _, h := range hosts {
			h.Kill()
			if err := s.restartHost(h); err != nil {
				return err
			}
		}
		report("restarted, cold:" + hostIDs(hosts))
		s.clearFault(hosts...)
	case "hang", "slow", "lose_answers":
		hosts := s.pickHosts(t.Hosts)
		report(t.Kind + ":" + hostIDs(hosts))
		for _, h := range hosts {
			h.SetFaults(standin.HostFaults{Hang: t.Kind == "hang", SlowFactor: t.SlowFactor, ResponseLossRate: t.LossProbability})
		}
		s.sleep(ctx, t.Duration)
		for _, h := range hosts {
			h.SetFaults(standin.HostFaults{})
		}
		report("ended: " + t.Kind)
		s.clearFault(hosts...)
	case "deploy":
		hosts := s.pickHosts(t.Hosts)
		for len(hosts) > 0 {
			batch := hosts[:min(t.Batch, len(hosts))]
			hosts = hosts[len(batch):]
			report("drain:" + hostIDs(batch))
			for _, h := range batch {
				s.registry.SetState(h.id, logic.Draining)
			}
			if !s.sleep(ctx, t.Drain) {
				return nil
			}
			for _, h := range batch {
				h.Kill()
				s.registry.Remove(h.id)
				if m, err := s.addHost(false); err != nil {
					return err
				} else {
					report("replaced by a cold host: " + m.id)
				}
			}
		}
	case "list_wrong":
		missing := s.pickHosts(t.Hosts)
		removed := map[string]bool{}
		for _, h := range missing {
			removed[h.id] = true
		}
		report("the host list omits" + hostIDs(missing) + " and contains hosts that do not exist")
		s.registry.Distort(func(all []*api.ServiceEntry) (out []*api.ServiceEntry) {
			for _, e := range all {
				if !removed[e.Service.ID] {
					out = append(out, e)
				}
			}
			for i := range t.Hosts {
				unknown := *all[0]
				service := *unknown.Service
				service.ID, service.Port = "ghost-"+strconv.Itoa(i), 1+i
				unknown.Service = &service
				out = append(out, &unknown)
			}
			return out
		})
		s.sleep(ctx, t.Duration)
		s.registry.Distort(nil)
		report("the host list is correct again")
		s.clearFault(missing...)
	case "list_empty":
		report("the host list is empty")
		s.registry.Distort(func([]*api.ServiceEntry) []*api.ServiceEntry { return nil })
		s.sleep(ctx, t.Duration)
		s.registry.Distort(nil)
	case "list_away":
		report("the host list is unavailable")
		s.registry.SetUnavailable(true)
		s.sleep(ctx, t.Duration)
		s.registry.SetUnavailable(false)
	case "kill_director", "stop_director", "pause_director", "cut_director", "lossy_director", "flap_leases", "cut_peer":
		return s.injectDirectorFault(ctx, t, report)
	case "leases_away":
		report("the lease store is unavailable")
		s.stopLeaseStore(ctx, t.Duration)
		report("the lease store is available again")
	case "restart_proxies":
		report(fmt.Sprintf("%d proxies restart at the same time", t.Proxies))
		s.mu.Lock()
		restarted := s.proxies[:t.Proxies]
		s.mu.Unlock()
		for _, r := range restarted {
			r.Kill(r.stop)
			<-r.done
		}
		s.sleep(ctx, t.Duration)
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, r := range restarted {
			if err := s.startProxy(r); err != nil {
				return err
			}
		}
	case "storm":
		return s.runStorm(ctx, t, report)
	case "rollback":
		return s.rollback(ctx, report)
	case "release":
		var o control.OperationResult
		err := s.operatorClient().Post(ctx, "release", operator.Request{Who: "rehearsal", Why: "the day's script"}, &o)
		report(fmt.Sprintf("an operator releases the pins of %d tables", len(o.Tables)))
		return err
	case "stale_proxies":
		report(fmt.Sprintf("%d proxies lose the connection to their directors", t.Proxies))
		s.mu.Lock()
		for i := range t.Proxies {
			s.proxies[len(s.proxies)-1-i].DisconnectFor(t.Duration)
		}
		s.mu.Unlock()
		s.sleep(ctx, t.Duration)
		report("the stale proxies reconnect")
	}
	return nil
}

// restartHost starts a stopped host at its old address, cold, and registers it. It retries every 50 ms while the
// address is still in use.
func (s *environment) restartHost(h *fleetHost) error {
	for tries := 0; ; tries++ {
		err := h.Start(false)
		if err == nil {
			break
		}
		if tries > 20 {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.registry.Put(h.id, h.Address, h.zone, h.cell, h.StartedAt())
	return nil
}
