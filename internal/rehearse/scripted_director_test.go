package rehearse

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/discovery"
	"vetchwood/internal/follow"
	"vetchwood/internal/loadshed"
	"vetchwood/internal/longpoll"
	"vetchwood/internal/relay"
	"vetchwood/internal/settings"
	"vetchwood/internal/standin"
	"vetchwood/internal/tables"
	"vetchwood/internal/verdict"
	"vetchwood/logic"
)

// scriptedDirector publishes whatever tables a test gives it, to one real proxy over real sockets. Tests use it to
// break the rules on purpose and to check that package verdict detects each violation.
type scriptedDirector struct {
	t        *testing.T
	recorder *verdict.Recorder
	epoch    time.Time
	registry *standin.Registry
	hosts    []*standin.Host
	relay    *relay.Relay
	client   *standin.Client
	criteria verdict.Criteria

	mu        sync.Mutex
	tickets   atomic.Uint64
	front     *longpoll.Server
	doc       *tables.Document
	pending   map[control.Ticket]control.Poll
	published map[tables.Tag]*tables.Document
}

func (r *scriptedDirector) now() float64 {
	return float64(r.epoch.UnixMicro())/1000 + float64(time.Since(r.epoch).Nanoseconds())/1e6
}

func (r *scriptedDirector) Ticket() control.Ticket { return control.Ticket(r.tickets.Add(1)) }
func (r *scriptedDirector) Poll(p control.Poll) (control.Answer, bool, time.Duration) {
	r.Post(p)
	return control.Answer{}, false, 0
}
func (r *scriptedDirector) Admit(loadshed.Kind, string) time.Duration { return 0 }

func (r *scriptedDirector) Post(in any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch in := in.(type) {
	case control.Poll:
		if r.pending[in.Ticket] = in; len(in.Held) == 0 || in.Held[0] != r.doc.Tag() {
			r.answer(in)
		}
	case control.Report:
		go r.front.Answer(control.Answer{Ticket: in.Ticket, Kind: control.Accepted})
	case control.Disconnected:
		delete(r.pending, in.Ticket)
	}
}

func (r *scriptedDirector) answer(p control.Poll) {
	a := control.Answer{Ticket: p.Ticket, Origin: p.Origin, Kind: control.Full, Doc: r.doc}
	if len(p.Held) > 0 {
		if base := r.published[p.Held[0]]; base != nil {
			if patch := r.doc.Delta(base); patch != nil {
				a.Kind, a.Base, a.Patch = control.Delta, base, patch
			}
		}
	}
	delete(r.pending, p.Ticket)
	r.front.Answer(a)
}

// publish publishes the lines as the only table, as if its version had been ordered late ms ago. With tries 3, the
// route "note" is declared repeatable in place of keyed.
func (r *scriptedDirector) publish(lines map[tables.Address]float64, tries int, late float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	route := func(repeat string) tables.Route {
		return tables.Route{Level: tables.Level{Level: 1, RetryMode: tries}, Idempotency: repeat, SLOMs: 300, TimeLimitMs: 2000, Importance: 1}
	}
	from, to := tables.SliceRange(0, 1)
	d := &tables.Document{PickPolicy: "lottery", TryTimeoutShare: 0.5, KeyHash: tables.KeyHash, Masked: map[tables.Address]bool{}, Hosts: map[tables.Address]tables.Host{},
		Routes: map[string]tables.Route{"read": route("repeatable"), "note": route(map[bool]string{true: "repeatable", false: "keyed"}[tries == 3])},
		Tables: map[string]*tables.Table{"0": {From: &from, To: &to, Lines: lines}}}
	for i := range 30 {
		d.Hosts[tables.Address(fmt.Sprintf("10.0.0.%d:80", i))] = tables.Host{ID: "fills the document", Zone: "a"}
	}
	step := tables.Step(1)
	if r.doc != nil {
		step = r.doc.Step + 1
	}
	r.doc = d.Seal(5, step, r.now()-late)
	r.published[r.doc.Tag()] = r.doc
	for _, p := range r.pending {
		r.answer(p)
	}
}

// equalWeights returns a line of the given weight for each host.
func (r *scriptedDirector) equalWeights(weight float64) map[tables.Address]float64 {
	out := map[tables.Address]float64{}
	for _, h := range r.hosts {
		out[h.Address] = weight
	}
	return out
}

// makeCalls sends n calls, evenly spread over the given time, and waits for their answers.
func (r *scriptedDirector) makeCalls(route string, n int, over time.Duration, work float64) {
	var all sync.WaitGroup
	for i := range n {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(over * time.Duration(i) / time.Duration(n))
			r.client.Do(context.Background(), standin.Call{ID: fmt.Sprintf("%s-%d-%d", route, n, i), Route: route, SliceKey: "k", WorkMs: work,
				SendIdempotencyKey: route == "note", TimeLimit: 2 * time.Second})
		}()
	}
	all.Wait()
}

func newScriptedDirector(t *testing.T) *scriptedDirector {
	t.Parallel()
	r := &scriptedDirector{t: t, recorder: &verdict.Recorder{}, epoch: time.Now(), pending: map[control.Ticket]control.Poll{}, published: map[tables.Tag]*tables.Document{},
		criteria: verdict.Criteria{Slices: 1, EmptyTableLimit: 500, DrainGrace: 500, WarmAfter: 10 * time.Second, ColdCapacity: 0.2, ColdOverloadLimit: 3, ColdFailAfter: time.Second, QueueLimit: 60,
			MessageOverhead: 16, MessageLimit: 8, MessageWindow: 10000, Routes: map[string]tables.Route{"read": {Idempotency: "repeatable"}, "note": {Idempotency: "keyed"}}}}
	var err error
	if r.registry, err = standin.NewRegistry("127.0.0.1:0", r.recorder, r.now, 0); err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		h := standin.NewHost(standin.HostConfig{Cores: 4, Queue: 100, ColdCapacity: 0.2, WarmAfter: 10 * time.Second, ColdOverloadLimit: 1e9, ColdFailAfter: time.Second,
			Dedup: standin.NewDeduplicator(4 * time.Second), Recorder: r.recorder, Now: r.now}, "")
		if err := h.Start(true); err != nil {
			t.Fatal(err)
		}
		r.hosts = append(r.hosts, h)
		r.registry.Put(fmt.Sprintf("h%d", i), h.Address, "a", fmt.Sprint(i), 0)
	}
	ctx, stop := context.WithCancel(context.Background())
	log := slog.New(slog.DiscardHandler)
	go discovery.Follow(ctx, r.registry.URL(), "hosts", 5*time.Second, func([]control.HostEntry) {}, func() {}, log)
	if r.front, err = longpoll.Listen("127.0.0.1:0", r, longpoll.Limits{MaxHeadBytes: 1 << 14, MaxBodyBytes: 1 << 20, RequestTimeout: time.Second,
		IdleTimeout: time.Minute, WriteTimeout: time.Second, MaxWait: 10000}, log); err != nil {
		t.Fatal(err)
	}
	go r.front.Serve()
	r.publish(r.equalWeights(1), 1, 0)
	config, err := settings.ParseRelay("p.hcl", []byte(fmt.Sprintf(`
relay "p" {
  listen       = "127.0.0.1:0"
  zone         = "a"
  directors    = ["http://%s"]
  report_every = "200ms"
  drain        = "0s"
}
route "read" { prefix = "/read" }
route "note" { prefix = "/note" }`, r.front.Addr())))
	if err != nil {
		t.Fatal(err)
	}
	if r.relay, err = relay.New(config, relay.Hooks{
		OnTry: func(_, mark, _ string, host tables.Address) {
			r.recorder.AddTry(verdict.Try{At: r.now(), Proxy: "p", Call: mark, Host: host})
		},
		OnUpdate: func(u follow.Update) {
			r.recorder.AddProxyUpdate(verdict.ProxyUpdate{At: r.now(), Proxy: "p", Doc: u.Doc, Lines: u.Lines, Full: u.Full})
		},
		OnJoinChange: func(_ string, on bool) {
			r.recorder.AddProxyUpdate(verdict.ProxyUpdate{At: r.now(), Proxy: "p", Joined: on})
		},
	}, log); err != nil {
		t.Fatal(err)
	}
	r.client = standin.NewClient("p", "http://"+r.relay.Addr().String(), r.recorder, r.now)
	done := make(chan struct{})
	go func() { r.relay.Run(ctx); close(done) }()
	t.Cleanup(func() {
		stop()
		<-done
		r.front.Close()
		for _, h := range r.hosts {
			h.Kill()
		}
		r.registry.Close()
	})
	eventually(t, "the proxy holds tables", func() bool { return r.relay.Document() != nil })
	eventually(t, "the host list is delivered", func() bool { return len(r.lastHostList()) == 2 })
	return r
}

// lastHostList returns the host list that the registry delivered last.
func (r *scriptedDirector) lastHostList() []verdict.ListedHost {
	last, ok := r.recorder.LastHostList()
	if !ok {
		return nil
	}
	return last.Hosts
}

// expectOnlyBroken judges the run and checks that the named rule was broken and all others were kept. With an empty
// name all must be kept.
func (r *scriptedDirector) expectOnlyBroken(name string) {
	r.t.Helper()
	r.criteria.Until = r.now()
	v := r.recorder.Judge(r.criteria)
	if len(r.recorder.Tries) == 0 && len(r.recorder.Outcomes) > 0 {
		o := r.recorder.Outcomes[0]
		r.t.Errorf("no tries for %d calls; the first call took %.1f ms: %+v", len(r.recorder.Outcomes), o.Latency, o)
	}
	found := name == ""
	for _, rule := range v.Rules {
		if rule.Kept != (rule.Name != name) {
			r.t.Errorf("%s: kept = %v; worst %v, limit %v %s; %s", rule.Name, rule.Kept, rule.Worst, rule.Limit, rule.Unit, rule.Where)
		}
		found = found || rule.Name == name
	}
	if !found {
		r.t.Fatalf("no rule has the name %q", name)
	}
}

func TestNoRuleIsBrokenByAnHonestDirector(t *testing.T) {
	r := newScriptedDirector(t)
	r.makeCalls("read", 40, time.Second, 20)
	r.makeCalls("note", 40, time.Second, 20)
	r.publish(map[tables.Address]float64{r.hosts[0].Address: 1}, 1, 0)
	r.makeCalls("note", 41, time.Second, 20)
	r.expectOnlyBroken("")
}

func TestABareTableIsFound(t *testing.T) {
	r := newScriptedDirector(t)
	r.publish(map[tables.Address]float64{}, 1, 0)
	time.Sleep(900 * time.Millisecond)
	r.expectOnlyBroken("no proxy without a line")
}

// The proxy never retries a call that might take effect twice, whatever its tables say. To provoke a double effect, the
// director declares a keyed route as repeatable.
func TestAnEffectTwiceIsFound(t *testing.T) {
	r := newScriptedDirector(t)
	for _, h := range r.hosts {
		h.SetFaults(standin.HostFaults{ResponseLossRate: 1})
	}
	r.publish(r.equalWeights(1), 3, 0)
	eventually(t, "the proxy holds the new version", func() bool { return r.relay.Document().Step == 2 })
	r.makeCalls("note", 5, 100*time.Millisecond, 20)
	r.expectOnlyBroken("no effect twice")
}

func TestABrokenDrainIsFound(t *testing.T) {
	r := newScriptedDirector(t)
	r.registry.SetState("h0", logic.Draining)
	eventually(t, "the host list is delivered", func() bool {
		list := r.lastHostList()
		return list[0].State == logic.Draining || list[1].State == logic.Draining
	})
	r.makeCalls("read", 40, time.Second, 10)
	r.expectOnlyBroken("drains kept")
}

func TestAColdHostPushedOverIsFound(t *testing.T) {
	r := newScriptedDirector(t)
	r.hosts[0].Kill()
	eventually(t, "the host starts again", func() bool { return r.hosts[0].Start(false) == nil })
	r.registry.Put("h0", r.hosts[0].Address, "a", "0", r.hosts[0].StartedAt())
	eventually(t, "the host list is delivered", func() bool {
		return r.lastHostList()[0].StartedAt > 0 || r.lastHostList()[1].StartedAt > 0
	})
	r.publish(map[tables.Address]float64{r.hosts[0].Address: 1}, 1, 0)
	eventually(t, "the proxy holds the new version", func() bool { return r.relay.Document().Step == 2 })
	r.makeCalls("read", 80, time.Second, 100) // 8 s of work within 1 s, on four cores at a fifth of their capacity
	r.expectOnlyBroken("no cold host pushed over")
}

func TestALongQueueIsFound(t *testing.T) {
	r := newScriptedDirector(t)
	for i := range 5 {
		r.publish(r.equalWeights(float64(i+2)), 1, 3000) // each of five versions is published 3 s after it was ordered
		eventually(t, "the proxy holds the new version", func() bool { return r.relay.Document().Step == tables.Step(i+2) })
	}
	r.expectOnlyBroken("a short queue")
}

func TestTooManyMessagesAreFound(t *testing.T) {
	r := newScriptedDirector(t)
	for i := range 10 {
		r.publish(r.equalWeights(float64(i+2)), 1, 0)
		eventually(t, "the proxy holds the new version", func() bool { return r.relay.Document().Step == tables.Step(i+2) })
	}
	r.expectOnlyBroken("the message limit")
}
