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
	"vetchwood/internal/judge"
	"vetchwood/internal/operate"
	"vetchwood/internal/relay"
	"vetchwood/internal/settings"
	"vetchwood/internal/standin"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// stage is a raised fleet.
type stage struct {
	script   *Script
	running  *settings.Running
	book     *judge.Book
	log      *slog.Logger
	dir      string
	command  func(file string) *exec.Cmd
	registry *standin.Registry
	epoch    time.Time // of the clock
	began    time.Time // the day, once the fleet is raised

	mu        sync.Mutex
	hosts     []*member
	spare     int // hosts born so far, for new ids
	proxies   []*proxy
	directors []*director
	memories  map[string]*standin.Memory
	busy      sync.WaitGroup
	random    *rand.Rand
	routes    map[string]tables.Route
	start     tables.Step // the version at the day's start
	rollbacks []RollbackResult
	storms    []StormResult
	hands     []Handover
}

type member struct {
	*standin.Host
	id, zone, cell string
	troubled       bool
}

// proxy is one of the project's own, in this process but on sockets of its own.
type proxy struct {
	*relay.Relay
	set    *settings.Relaying
	client *standin.Client
	stop   context.CancelFunc
	done   chan struct{}
	life   context.Context
}

func (s *stage) now() float64 {
	return float64(s.epoch.UnixMicro())/1000 + float64(time.Since(s.epoch).Nanoseconds())/1e6
}

func freePort() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// raise starts all that a day needs, and returns once every proxy holds tables. Ports are looked for before the director
// takes them; where another process was faster, it is tried again.
func raise(ctx context.Context, script *Script, dir string, command func(string) *exec.Cmd, log *slog.Logger) (s *stage, err error) {
	for range 4 {
		if s, err = raiseOnce(ctx, script, dir, command, log); !errors.Is(err, errEnded) {
			break
		}
	}
	return s, err
}

func raiseOnce(ctx context.Context, script *Script, dir string, command func(string) *exec.Cmd, log *slog.Logger) (s *stage, err error) {
	s = &stage{script: script, book: &judge.Book{}, log: log, dir: dir, command: command, epoch: time.Now(),
		memories: map[string]*standin.Memory{}, random: rand.New(rand.NewPCG(1, 2))}
	defer func() {
		if err != nil {
			s.lower()
		}
	}()
	if s.registry, err = standin.NewRegistry("127.0.0.1:0", s.book, s.now, script.Fleet.ListDelay); err != nil {
		return s, err
	}
	s.charges()
	for i := range script.Fleet.Directors {
		if err = s.prepare(i); err != nil {
			return s, err
		}
	}
	s.running = s.directors[0].running
	s.routes = map[string]tables.Route{}
	for _, r := range s.running.Service.Routes {
		s.routes[r.Name] = r.Route
	}
	for _, r := range script.Routes {
		if _, known := s.routes[r.Name]; !known {
			return s, fmt.Errorf("the day has a route %q, which the director's settings don't know", r.Name)
		}
	}
	for range script.Fleet.Hosts {
		if _, err = s.addHost(true); err != nil {
			return s, err
		}
	}
	if err = s.all(func(d *director) error { return d.start(s.command) }); err != nil {
		return s, err
	}
	for i := range script.Fleet.Proxies {
		if err = s.addProxy(i); err != nil {
			return s, err
		}
	}
	return s, s.await(ctx)
}

// await waits until every proxy has lines for every table.
func (s *stage) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		ready := 0
		for _, r := range s.proxies {
			if d := r.Document(); d != nil && len(d.Tables) >= max(1, s.running.Service.Config.Slices) && full(d) {
				ready++
			}
		}
		if ready == len(s.proxies) {
			return nil
		}
		select {
		case <-s.directors[0].ended:
			return fmt.Errorf("%w while the fleet was raised: %v; see %s", errEnded, s.directors[0].failed, s.logFile())
		case <-ctx.Done():
			return fmt.Errorf("%d of %d proxies held tables in time; see %s", ready, len(s.proxies), s.logFile())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func full(d *tables.Document) bool {
	for _, t := range d.Tables {
		if len(t.Lines) == 0 {
			return false
		}
	}
	return true
}

func (s *stage) lower() {
	for _, p := range s.proxies {
		p.stop()
		<-p.done
		p.client.Close()
	}
	var stopping sync.WaitGroup
	for _, d := range s.directors {
		stopping.Go(func() { d.pause(false); d.stop(syscall.SIGTERM) })
	}
	stopping.Wait()
	for _, h := range s.hosts {
		h.Die()
	}
	for _, d := range s.directors {
		if d.door != nil {
			d.door.Close()
			d.facts.Close()
		}
	}
	if s.registry != nil {
		s.registry.Close()
	}
	s.busy.Wait()
}

// addHost starts a new host. One that comes after the day's start is cold.
func (s *stage) addHost(warm bool) (*member, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, fleet := s.running.Service.Config, s.script.Fleet
	n := s.spare
	s.spare++
	zones := s.running.Service.Zones
	zone := zones[n/fleet.PerCell%len(zones)]
	cell := fmt.Sprintf("%s-%d", zone, n/fleet.PerCell)
	if s.memories[cell] == nil {
		span := time.Duration(0)
		for _, r := range f.Routes {
			span = max(span, time.Duration(float64(r.DedupWindow)*float64(time.Millisecond)))
		}
		s.memories[cell] = standin.NewMemory(span)
	}
	m := &member{id: fmt.Sprintf("host-%02d", n+1), zone: zone, cell: cell}
	m.Host = standin.NewHost(standin.HostShape{Cores: fleet.Cores, Queue: fleet.Queue, ColdFrom: f.ColdCapacity,
		Warm: span(f.WarmAfter), Tip: f.ColdOverloadLimit, Fall: span(f.ColdFailAfter), Memory: s.memories[cell], Book: s.book,
		Now: s.now}, "")
	if err := m.Start(warm); err != nil {
		return nil, err
	}
	s.hosts = append(s.hosts, m)
	s.registry.Put(m.id, m.Address, m.zone, m.cell, m.Born())
	return m, nil
}

func span(ms logic.Millis) time.Duration {
	return time.Duration(float64(ms) * float64(time.Millisecond))
}

func metric(text []byte, name string) float64 {
	for line := range bytes.Lines(text) {
		if rest, found := bytes.CutPrefix(line, []byte(name+" ")); found {
			v, _ := strconv.ParseFloat(string(bytes.TrimSpace(rest)), 64)
			return v
		}
	}
	return 0
}

// addProxy raises a proxy; its settings go through a file's text, as any other's.
func (s *stage) addProxy(i int) (err error) {
	p := &proxy{}
	mqtt := s.script.Fleet.Front == "mqtt" || s.script.Fleet.Front == "mixed" && i%2 == 1
	name, zones := "relay-"+strconv.Itoa(i+1), s.running.Service.Zones
	text := fmt.Sprintf("relay %q {\n  listen = \"127.0.0.1:0\"\n  zone = %q\n  directors = [\"%s\"]\n  follow = %q\n  front = %q\n  rate = %g\n  wait = \"5s\"\n"+
		"  report_every = \"%dms\"\n  drain = \"0s\"\n}\n", name, zones[i%len(zones)], strings.Join(s.urls(mqtt), `", "`),
		map[bool]string{true: "all", false: "one"}[len(s.directors) > 1], map[bool]string{true: "mqtt", false: "poll"}[mqtt],
		s.script.Load.PeakRate/float64(s.script.Fleet.Proxies), int(s.running.Service.Config.ReportInterval))
	for _, r := range s.script.Routes {
		text += fmt.Sprintf("route %q {\n  prefix = %q\n  key = \"header:%s\"\n}\n", r.Name, "/"+r.Name, standin.HeaderSlice)
	}
	if p.set, err = settings.ParseRelay(name+".hcl", []byte(text)); err != nil {
		return err
	}
	if err = s.startProxy(p); err != nil {
		return err
	}
	s.proxies = append(s.proxies, p)
	p.client = standin.NewClient(name, "http://"+p.set.Listen, s.book, s.now)
	return nil
}

func (s *stage) startProxy(p *proxy) (err error) {
	name := p.set.Name
	for tries := 0; ; tries++ {
		p.Relay, err = relay.New(p.set, relay.Hooks{
			OnTry: func(_, mark, table string, host tables.Address) {
				s.book.Send(judge.Sent{At: s.now(), Proxy: name, Call: mark, Table: table, Host: host})
			},
			OnUpdate: func(u follow.Update) {
				h := judge.Held{At: s.now(), Proxy: name, Doc: u.Doc, Lines: u.Lines, Whole: u.Whole}
				if len(s.directors) > 1 {
					h.Raw, h.Director = u.Raw, s.directors[u.From].name
				}
				s.book.Hold(h)
			},
			OnJoinChange: func(director string, on bool) {
				s.book.Hold(judge.Held{At: s.now(), Proxy: name, Joined: on, Director: s.named(director)})
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
	p.set.Listen = p.Addr().String()
	p.life, p.stop = context.WithCancel(context.Background())
	p.done = make(chan struct{})
	go func(r *relay.Relay, life context.Context, done chan struct{}) { r.Run(life); close(done) }(p.Relay, p.life, p.done)
	return nil
}

// call makes up calls at a proxy until the day ends: arrivals come by themselves and wait for no answer.
func (s *stage) call(ctx context.Context, i int) {
	defer s.busy.Done()
	script, n := s.script, float64(len(s.proxies))
	draw := rand.New(rand.NewPCG(uint64(i), 7))
	zipf := rand.NewZipf(draw, 1.1, 20, uint64(script.Load.Keys-1))
	at := time.Now()
	for serial := 0; ; serial++ {
		part := math.Min(1, float64(time.Since(s.began))/float64(script.Load.RampDuration))
		rate := (script.Load.InitialRate + (script.Load.PeakRate-script.Load.InitialRate)*part) / n
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
			Key: "key-" + strconv.FormatUint(zipf.Uint64(), 10), Work: float64(route.Work.Milliseconds()) * (0.5 + draw.Float64()),
			Keyed: s.routes[route.Name].Idempotency == "keyed", TimeLimit: time.Duration(s.routes[route.Name].TimeLimitMs * float64(time.Millisecond))}
		s.mu.Lock()
		to := s.proxies[i]
		for k := range s.proxies { // the clients of one that is down go to others
			if p := s.proxies[(i+k)%len(s.proxies)]; p.life.Err() == nil {
				to = p
				break
			}
		}
		s.mu.Unlock()
		s.busy.Add(1)
		go func() {
			defer s.busy.Done()
			to.client.Make(context.Background(), call)
		}()
	}
}

// pick takes hosts that are in no trouble, at random but the same each time.
func (s *stage) pick(n int) (out []*member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.random.Perm(len(s.hosts)) {
		if h := s.hosts[i]; len(out) < n && !h.troubled {
			h.troubled = true
			out = append(out, h)
		}
	}
	return out
}

func (s *stage) well(hosts ...*member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		h.troubled = false
	}
}

func (s *stage) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func ids(hosts []*member) (out string) {
	for _, h := range hosts {
		out += " " + h.id
	}
	return out
}

// trouble plays one to its end.
func (s *stage) trouble(ctx context.Context, t Fault, say func(string)) error {
	if !s.sleep(ctx, t.At-time.Since(s.began)) {
		return nil
	}
	switch t.Kind {
	case "die", "silent":
		hosts := s.pick(t.Hosts)
		say(t.Kind + ":" + ids(hosts))
		for _, h := range hosts {
			if t.Kind == "die" {
				h.Die()
				s.registry.State(h.id, logic.Gone)
			} else {
				h.Set(standin.HostFaults{Silent: true})
			}
		}
		if t.Kind == "silent" { // the list takes long to notice a machine that says nothing
			noticed := min(5*time.Second, t.Duration/2)
			if !s.sleep(ctx, noticed) {
				return nil
			}
			for _, h := range hosts {
				s.registry.State(h.id, logic.Gone)
			}
			t.Duration -= noticed
		}
		if !s.sleep(ctx, t.Duration) {
			return nil
		}
		for _, h := range hosts {
			h.Die()
			if err := s.again(h); err != nil {
				return err
			}
		}
		say("back, cold:" + ids(hosts))
		s.well(hosts...)
	case "hang", "slow", "lose_answers":
		hosts := s.pick(t.Hosts)
		say(t.Kind + ":" + ids(hosts))
		for _, h := range hosts {
			h.Set(standin.HostFaults{Hang: t.Kind == "hang", Slow: t.SlowFactor, LoseAnswer: t.LossProbability})
		}
		s.sleep(ctx, t.Duration)
		for _, h := range hosts {
			h.Set(standin.HostFaults{})
		}
		say("over: " + t.Kind)
		s.well(hosts...)
	case "deploy":
		hosts := s.pick(t.Hosts)
		for len(hosts) > 0 {
			batch := hosts[:min(t.Batch, len(hosts))]
			hosts = hosts[len(batch):]
			say("drain:" + ids(batch))
			for _, h := range batch {
				s.registry.State(h.id, logic.Draining)
			}
			if !s.sleep(ctx, t.Drain) {
				return nil
			}
			for _, h := range batch {
				h.Die()
				s.registry.Remove(h.id)
				if m, err := s.addHost(false); err != nil {
					return err
				} else {
					say("new, cold: " + m.id)
				}
			}
		}
	case "list_wrong":
		missing := s.pick(t.Hosts)
		gone := map[string]bool{}
		for _, h := range missing {
			gone[h.id] = true
		}
		say("the list forgets" + ids(missing) + " and names hosts that are none of ours")
		s.registry.Wrong(func(all []*api.ServiceEntry) (out []*api.ServiceEntry) {
			for _, e := range all {
				if !gone[e.Service.ID] {
					out = append(out, e)
				}
			}
			for i := range t.Hosts {
				ghost := *all[0]
				service := *ghost.Service
				service.ID, service.Port = "ghost-"+strconv.Itoa(i), 1+i
				ghost.Service = &service
				out = append(out, &ghost)
			}
			return out
		})
		s.sleep(ctx, t.Duration)
		s.registry.Wrong(nil)
		say("the list is right again")
		s.well(missing...)
	case "list_empty":
		say("the list is empty")
		s.registry.Wrong(func([]*api.ServiceEntry) []*api.ServiceEntry { return nil })
		s.sleep(ctx, t.Duration)
		s.registry.Wrong(nil)
	case "list_away":
		say("the list is away")
		s.registry.Away(true)
		s.sleep(ctx, t.Duration)
		s.registry.Away(false)
	case "kill_director", "stop_director", "pause_director", "cut_director", "lossy_director", "flap_leases", "cut_peer":
		return s.upset(ctx, t, say)
	case "leases_away":
		say("the store of leases is away")
		s.leasesAway(ctx, t.Duration)
		say("the store of leases is back")
	case "restart_proxies":
		say(fmt.Sprintf("%d proxies restart together", t.Proxies))
		s.mu.Lock()
		some := s.proxies[:t.Proxies]
		s.mu.Unlock()
		for _, r := range some {
			r.Kill(r.stop)
			<-r.done
		}
		s.sleep(ctx, t.Duration)
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, r := range some {
			if err := s.startProxy(r); err != nil {
				return err
			}
		}
	case "storm":
		return s.storm(ctx, t, say)
	case "rollback":
		return s.rollback(ctx, say)
	case "release":
		var o control.OperationResult
		err := s.operators().Post(ctx, "release", operate.Wish{Who: "rehearsal", Why: "the day's script"}, &o)
		say(fmt.Sprintf("an operator releases %d tables", len(o.Tables)))
		return err
	case "stale_proxies":
		say(fmt.Sprintf("%d proxies lose their director", t.Proxies))
		s.mu.Lock()
		for i := range t.Proxies {
			s.proxies[len(s.proxies)-1-i].DisconnectFor(t.Duration)
		}
		s.mu.Unlock()
		s.sleep(ctx, t.Duration)
		say("the stale proxies come back")
	}
	return nil
}

// again starts a host anew at its address, cold, and lists it.
func (s *stage) again(h *member) error {
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
	s.registry.Put(h.id, h.Address, h.zone, h.cell, h.Born())
	return nil
}
