package platform

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"vetchwood/internal/budget"
	"vetchwood/internal/live"
	"vetchwood/internal/platform/codec"
	"vetchwood/internal/platform/collect"
	"vetchwood/internal/platform/news"
	"vetchwood/internal/platform/outbox"
	"vetchwood/internal/platform/uplink"
	"vetchwood/internal/platform/watch"
	"vetchwood/internal/turns"
	"vetchwood/logic"
)

const (
	callBytes   = 59_000 // of orders; the relay takes 60,000
	mostWaiting = 20_000 // orders that wait for the relay
	leaveFor    = 300 * time.Millisecond
	figuresFor  = 5 * time.Second
	loadFor     = time.Second
	signOfLife  = logic.Millis(1200) // the relay gives one each second
)

// director is a running one. All but the inbox belongs to the goroutine of run.
type director struct {
	turns.Clock
	inbox  *turns.Inbox
	log    *slog.Logger
	start  *Start
	module *logic.Director
	hosts  *codec.Hosts
	box    *outbox.Queue
	book   *news.Tracker
	calls  *uplink.Caller
	probes *prober
	front  *collect.Server
	ledger *budget.Ledger
	timers timers

	calling  bool
	doubted  bool         // the call in hand is unsure; the module says when it is made again
	proven   bool         // a proxy owned up to the call in hand
	resync   bool         // the present state is told anew: a call that ends unanswered now is void
	relay    string       // where calls go from now on
	follower int          // whose subscriptions are taken
	newest   int          // of watches
	source   int          // of the news that are taken; 0: none
	alive    bool         // that source has not broken
	told     logic.Millis // when it told something last
	serial   atomic.Int64 // of the last subscription
	follow   context.CancelFunc
	leaving  []context.CancelFunc // followers of former relays, until the new one serves
	watches  map[int]watcher      // the newest, and those of former addresses until it has spoken
	stopping bool
	notes    []any
	counts   counts
	heard    heard
	lag      lag
	strained bool          // as last reported
	slow     time.Duration // the longest turn
}

type watcher struct {
	address string
	end     context.CancelFunc
}

type counts struct {
	calls, unsure, unsent, later, refused, taken, unknown uint64
	begun, broke, lists                                   int
	kinds                                                 kinds
}

// Run is a director's life: until SIGTERM, or something that it can't do without fails. SIGHUP has the configuration read anew.
func Run(ctx context.Context, env func(string) string, signals <-chan os.Signal, log *slog.Logger) error {
	s, err := loadAtStart(ctx, env, log)
	if err != nil {
		return err
	}
	log = log.With("director", s.Name)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := newDirector(s, log)
	d.ledger = budget.New(limit(s))
	if d.front, err = listen(ctx, s, d, log); err != nil {
		return fmt.Errorf("listen %s: %w", s.Listen, err)
	}
	defer d.front.Close()
	failed := make(chan error, 1)
	go func() { failed <- d.front.Serve() }()
	go live.Watch(ctx, d.ledger)
	d.calls = uplink.NewCaller(s.Names, d.inbox.Post, log)
	go d.calls.Run(ctx)
	d.probes = newProber(ctx, s.Names, d.inbox.Post)
	d.connect(ctx, s)
	log.Info("director.started", "listen", s.Listen, "discovery", s.Discovery, "relay", s.Relay, "hosts", len(s.Known.Endpoints),
		"slices", s.Facts.Slices, "proxies", s.Facts.Proxies, "cores", s.Cores, "memory", s.Memory, "sockets", s.Sockets,
		"after", d.Elapsed().String())
	return d.run(ctx, env, signals, failed)
}

func newDirector(s *Start, log *slog.Logger) *director {
	d := &director{Clock: turns.NewClock(), inbox: turns.NewInbox(), log: log, start: s, hosts: codec.NewHosts(),
		watches: map[int]watcher{}, box: outbox.New(outbox.Limits{MaxCallBytes: callBytes, MaxQueued: mostWaiting}), book: news.New(),
		module: logic.New(s.Seed, s.Facts)}
	d.book.DiscardOrders = d.box.DiscardTable
	r, wrong := d.hosts.Apply(s.Known, logic.HostListFromDisk, s.Names)
	d.wrong("known", wrong)
	d.notes = append(d.notes, r)
	return d
}

// connect follows the addresses of a configuration. What former ones tell goes on until the new ones have spoken.
func (d *director) connect(ctx context.Context, s *Start) {
	if d.follow == nil || d.relay != s.Relay {
		if d.follow != nil {
			d.leaving = append(d.leaving, d.follow)
		}
		news, end := context.WithCancel(ctx)
		number := func() int { return int(d.serial.Add(1)) }
		d.relay, d.follow, d.follower = s.Relay, end, number()
		go uplink.Follow(news, s.Relay, s.Names, d.follower, number, d.inbox.Post, d.log)
	}
	if d.watches[d.newest].address != s.Discovery {
		list, end := context.WithCancel(ctx)
		d.newest = int(d.serial.Add(1))
		d.watches[d.newest] = watcher{s.Discovery, end}
		go watch.Follow(list, s.Discovery, d.newest, d.inbox.Post, d.log)
	}
	d.start = s
}

// listed says whether a list is taken. Each list is a truth of its own: what a former address still had on its way when the new
// one spoke is older, and would bring back hosts that have gone.
func (d *director) listed(source int) bool {
	if _, some := d.watches[source]; !some {
		return false
	}
	if source == d.newest {
		for n, w := range d.watches {
			if n != source {
				w.end()
				delete(d.watches, n)
			}
		}
	}
	return true
}

// run is the loop.
func (d *director) run(ctx context.Context, env func(string) string, signals <-chan os.Signal, failed <-chan error) error {
	timer, figures, load := time.NewTimer(0), time.NewTicker(figuresFor), time.NewTicker(loadFor)
	defer timer.Stop()
	defer figures.Stop()
	defer load.Stop()
	gather := time.Duration(float64(d.start.Resolution) * float64(time.Millisecond))
	var ends, again <-chan time.Time
	var asked time.Time // when a reload was
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return fmt.Errorf("listen %s: %w", d.start.Listen, err)
		case <-ends:
			return nil
		case sig := <-signals:
			if d.stopping {
				break // it leaves already: nothing prolongs that, and new addresses are for the next start
			}
			if sig == syscall.SIGHUP {
				asked = time.Now()
				again = d.reload(ctx, env, asked)
				break
			}
			d.stopping, ends, again = true, time.After(leaveFor), nil
			d.log.Info("director.stopping", "signal", sig.String(), "waiting", d.box.Queued(), "calling", d.calling, "doubted", d.doubted)
		case <-again:
			again = d.reload(ctx, env, asked)
		case <-figures.C:
			d.figures()
		case <-load.C:
			d.reportLoad()
		case <-d.inbox.Wake():
			time.Sleep(gather) // for company
		case <-timer.C:
		}
		began := time.Now()
		d.turn()
		d.slow = max(d.slow, time.Since(began))
		if d.stopping && d.box.InFlight() == nil && d.box.Queued() == 0 {
			return nil
		}
		timer.Reset(d.wakeAfter())
	}
}

func (d *director) wakeAfter() time.Duration {
	if until := d.book.SnapshotDeadline(d.Now()); until > 0 {
		return d.Until(until)
	}
	next, some := d.timers.next()
	if until := d.book.CollectDeadline(); until > 0 && (!some || until < next) {
		next, some = until, true
	}
	if !some {
		return time.Second
	}
	return d.Until(next)
}

// turn hands the module all that has happened and carries out what it orders.
func (d *director) turn() {
	in, _, _ := d.inbox.Take(0)
	now := d.Now()
	for _, x := range in {
		d.take(now, x)
	}
	d.notes = append(d.notes, d.book.FlushCollected(now, false)...)
	if d.book.SnapshotDeadline(now) > 0 { // the module would take a part of the fleet for all of it
		d.call()
		return
	}
	for _, t := range d.timers.due(now) {
		d.notes = append(d.notes, logic.TimerFired{Timer: t})
	}
	if notes := d.notes; len(notes) > 0 {
		d.notes = nil
		d.traceNotes(notes)
		orders := d.module.Handle(now, notes)
		d.logHostChanges()
		d.carryOut(now, orders)
	}
	d.call()
}

func (d *director) take(now logic.Millis, x any) {
	switch x := x.(type) {
	case codec.Message:
		if x.Host != "" && !d.hosts.IsKnown(codec.IDOf(x.Host)) {
			d.counts.unknown++
			return // a report on a host that was never listed
		}
		d.heard.add(x.Event)
		d.notes = append(d.notes, x.Event)
	case watch.Update:
		if !d.listed(x.Source) {
			d.log.Info("list.late", "source", x.Source, "index", x.List.Index)
			return
		}
		d.counts.lists++
		r, wrong := d.hosts.Apply(x.List, logic.HostListFull, d.start.Names)
		d.wrong("discovery", wrong)
		d.notes = append(d.notes, r)
	case answer:
		delete(d.probes.asked, x.Host)
		if x.address == d.hosts.Address(x.Host) { // what answered at a former address is no word of the host
			d.notes = append(d.notes, x.ProbeResult)
		}
	case uplink.CallEnded:
		d.ended(x)
	case uplink.Subscribed:
		d.subscribed(now, x)
	case uplink.Notification:
		if x.Source == d.source {
			d.told = now
			d.news(now, x.Body)
		}
	case uplink.SubscriptionLost:
		d.log.Warn("news.broke", "source", x.Source, "why", x.Reason)
		if d.counts.broke++; x.Source == d.source {
			d.alive = false
		}
	default:
		panic(fmt.Sprintf("%T in the inbox", x))
	}
}

func (d *director) wrong(where string, errs []error) {
	for _, err := range errs {
		d.log.Warn("host.dropped", "where", where, "error", err)
	}
}

func (d *director) news(now logic.Millis, n codec.Notification) {
	if n.Host != "" {
		if _, err := d.hosts.Register(n.Host); err != nil {
			d.log.Warn("news.dropped", "error", err)
			return
		}
	}
	if a, is := n.Event.(logic.Acknowledged); is {
		d.lag.add(a.Latency)
		d.applied(a)
	}
	if n.Kind == codec.KindPing {
		d.notes = append(d.notes, logic.AckStreamAlive{})
	}
	d.notes = append(d.notes, d.book.Handle(now, n)...)
}

// carryOut takes the module's orders: timers and probes here, the rest to the relay, as one call.
func (d *director) carryOut(now logic.Millis, orders []logic.Order) {
	var ops []outbox.Op
	for _, o := range orders {
		switch o := o.(type) {
		case logic.SetTimer:
			d.timers.add(now+o.Delay, o.Timer)
		case logic.Probe:
			d.probes.ask(o.Host, d.hosts.Address(o.Host))
		case logic.LogText:
			d.log.Info("module", "says", o.Text)
		case logic.Resend:
			d.resolve(o.Serial)
		case logic.WatchHosts, logic.RequestHosts, logic.SendToPeer:
			// The list is always followed, and directors here have no way to each other.
		default:
			op, relays, err := d.start.Names.EncodeOrder(o, d.hosts)
			if err != nil || !relays {
				d.log.Error("order.dropped", "order", fmt.Sprintf("%T%+v", o, o), "error", err)
				continue
			}
			ops = append(ops, op)
		}
	}
	if len(ops) == 0 {
		return
	}
	d.traceOrders(ops)
	if dropped, err := d.box.Add(ops); err != nil {
		d.log.Error("orders.dropped", "error", err, "orders", len(dropped))
		d.untold(dropped)
	}
}

// untold tells the module of what was dropped: it hears once more what the store holds, and takes those tables for it.
func (d *director) untold(ops []outbox.Op) {
	d.retell(ops)
	if slices.ContainsFunc(ops, func(o outbox.Op) bool { return o.Table == outbox.NoTable && o.Kind != outbox.AckRequest }) {
		d.notes = append(d.notes, d.book.ResyncProxies()...) // masks and levels: proxies count as come anew
	}
}

// retell has the module hear anew of the slices that orders were for, and drops what else waits for them.
func (d *director) retell(ops []outbox.Op) {
	told := map[logic.TableID]bool{outbox.NoTable: true}
	for _, o := range ops {
		if !told[o.Table] {
			told[o.Table] = true
			d.box.DiscardTable(o.Table)
			d.notes = append(d.notes, d.book.ResyncSlice(o.Table)...)
		}
	}
}

// call makes the next call, if none is on its way.
func (d *director) call() {
	if d.calling || d.doubted {
		return
	}
	if c := d.box.Next(); c != nil {
		if c.IsRetry() {
			d.log.Debug("call.again", "id", c.ID, "ops", len(c.Ops))
		} else {
			d.proven = false
		}
		d.calling = true
		d.counts.calls++
		d.calls.Submit(d.relay, c)
	}
}

func (d *director) ended(e uplink.CallEnded) {
	d.calling = false
	switch e.Result {
	case outbox.Unconfirmed:
		d.counts.unsure++
	case outbox.NotSent:
		d.counts.unsent++
	case outbox.Retryable:
		d.counts.later++
	}
	if e.Result != outbox.Answered {
		d.log.Info("call.failed", "id", e.ID, "how", int(e.Result), "why", e.Reason, "spent", e.Elapsed.String(), "waiting", d.box.Queued())
	}
	if d.resync && e.Result != outbox.Answered {
		// What the relay holds is told anew, and all proxies count as come anew: what it took of this is in there, and what it did not
		// is ordered again if it is still wanted. Orders of before the gap could undo what another director did in it.
		d.resync = false
		d.void()
		return
	}
	d.resync = false
	if c := d.box.InFlight(); d.proven && c != nil && e.Result != outbox.Answered {
		d.log.Info("call.proven", "id", c.ID)
		e.Result, e.Applied = outbox.Answered, len(c.Ops) // whatever became of this answer: what it would tell is known
	} else if e.Result == outbox.Unconfirmed && c != nil {
		marked := c.Serials()
		for _, m := range marked {
			d.notes = append(d.notes, logic.Unconfirmed{Serial: m})
		}
		d.doubted = len(marked) > 0
	}
	d.finish(e.Result, e.Applied, e.Reason)
}

// void drops all that was ordered before a gap in the news.
func (d *director) void() {
	ops := d.box.Reset()
	d.log.Info("orders.void", "orders", len(ops), "why", "the relay was away; what it holds is told anew")
	d.retell(ops)
}

// resolve is told that the call with a stamp may be made again, or that a proxy owned up to it.
func (d *director) resolve(serial logic.SerialID) (mine bool) {
	if c := d.box.InFlight(); d.doubted && c != nil && slices.Contains(c.Serials(), serial) {
		d.doubted = false
		return true
	}
	return false
}

// applied ends an unsure call: it was carried out, and whole.
func (d *director) applied(n logic.Acknowledged) {
	c := d.box.InFlight()
	if c == nil || d.proven || !slices.Contains(c.Serials(), n.Serial) {
		return
	}
	d.proven = true // also where it is on its way: its answer may still get lost
	if d.resolve(n.Serial) {
		d.log.Info("call.proven", "id", c.ID, "by", int(n.Proxy))
		d.finish(outbox.Answered, len(c.Ops), "")
	}
}

func (d *director) finish(how outbox.Result, taken int, why string) {
	out := d.box.Finish(how, taken)
	d.counts.taken += uint64(len(out.Applied))
	d.counts.kinds.add(out.Applied)
	d.book.OrdersApplied(out.Applied)
	for _, o := range out.Rejected {
		d.counts.refused++
		d.log.Error("order.refused", "order", o.Text, "why", why)
	}
	d.untold(out.Rejected)
}

// subscribed begins on a new subscription's news. Those of former ones are taken no more, and former addresses are let go.
func (d *director) subscribed(now logic.Millis, b uplink.Subscribed) {
	if b.Follower != d.follower {
		return // a former address that came back while it is left
	}
	// A connection that has gone silent looks alive until its time is over; proxies may have left and come back meanwhile.
	continuous := d.source > 0 && d.alive && now-d.told < signOfLife
	d.log.Info("news.began", "source", b.Source, "address", b.Address, "continuous", continuous)
	d.source, d.alive, d.told = b.Source, true, now
	d.counts.begun++
	for _, end := range d.leaving {
		end()
	}
	d.leaving = nil
	d.book.BeginSnapshot(continuous)
	if d.resync = !continuous && d.calling; !continuous && d.doubted {
		d.doubted = false
		d.void()
	}
}
