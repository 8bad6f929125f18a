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
	"vetchwood/internal/eventloop"
	"vetchwood/internal/heapwatch"
	"vetchwood/internal/platform/codec"
	"vetchwood/internal/platform/hostwatch"
	"vetchwood/internal/platform/outbox"
	"vetchwood/internal/platform/relaystate"
	"vetchwood/internal/platform/reports"
	"vetchwood/internal/platform/uplink"
	"vetchwood/logic"
)

const (
	maxCallBytes    = 59_000 // size of the orders in one call; the relay accepts up to 60,000 bytes
	maxQueuedOrders = 20_000 // orders queued for the relay
	shutdownTimeout = 300 * time.Millisecond
	figuresInterval = 5 * time.Second
	loadInterval    = time.Second
	pingTimeout     = logic.Millis(1200) // the relay sends a ping every second
)

// director is a running director. All fields except inbox and lastID, which are safe for concurrent use, are owned by
// the goroutine that executes run.
type director struct {
	eventloop.Clock
	inbox      *eventloop.Inbox
	log        *slog.Logger
	config     *Config
	module     *logic.Director
	hosts      *codec.Hosts
	outbox     *outbox.Queue
	relayState *relaystate.Tracker
	calls      *uplink.Caller // to the relay
	prober     *prober
	server     *reports.Server
	budget     *budget.Budget
	timers     timers

	callInFlight        bool
	callUnconfirmed     bool         // the current call may have been applied; the module decides when to send it again
	callConfirmed       bool         // a proxy has acknowledged the current call
	discardUnanswered   bool         // the relay is resending its state: the call in flight is discarded if it fails
	relayAddress        string       // receives all further calls
	followerID          int          // the follower whose subscriptions are accepted
	newestWatch         int          // key in watches
	subscriptionID      int          // the subscription whose notifications are accepted; 0 if there is none
	subscriptionOpen    bool         // the connection of that subscription has not been lost
	lastNotification    logic.Millis // time of its last notification
	lastID              atomic.Int64 // last ID issued to a follower, subscription or watch
	stopFollower        context.CancelFunc
	stopFormerFollowers []context.CancelFunc // followers of former relays, which run until the new relay is subscribed to
	watches             map[int]watchHandle  // the newest watch, and those of former addresses until it has answered
	stopping            bool
	events              []any
	counters            counters
	reports             reportTotals
	ackLatency          ackLatency
	overloaded          bool          // as of the last load report in the log
	slowestTurn         time.Duration // since the last figures
}

// watchHandle is a running watch of a discovery address.
type watchHandle struct {
	address string
	cancel  context.CancelFunc
}

// counters counts calls to the relay, orders, subscriptions and host lists since the start; ordersByKind restarts with
// each log line of figures.
type counters struct {
	calls, unconfirmed, notSent, retryable, rejected, appliedOrders, unknownHosts uint64
	subscriptions, subscriptionsLost, hostLists                                   int
	ordersByKind                                                                  orderCounts
}

// Run runs a director until it receives SIGTERM, the context ends, or its listener fails. SIGHUP reloads the
// configuration.
func Run(ctx context.Context, env func(string) string, signals <-chan os.Signal, log *slog.Logger) error {
	config, err := loadWithRetry(ctx, env, log)
	if err != nil {
		return err
	}
	log = log.With("director", config.Name)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := newDirector(config, log)
	d.budget = budget.New(applyLimits(config))
	if d.server, err = listenWithRetry(ctx, config, d, log); err != nil {
		return fmt.Errorf("listen %s: %w", config.Listen, err)
	}
	defer d.server.Close()
	failed := make(chan error, 1)
	go func() { failed <- d.server.Serve() }()
	go heapwatch.Watch(ctx, d.budget)
	d.calls = uplink.NewCaller(config.Schema, d.inbox.Post, log)
	go d.calls.Run(ctx)
	d.prober = newProber(ctx, config.Schema, d.inbox.Post)
	d.connect(ctx, config)
	log.Info("director.started", "listen", config.Listen, "discovery", config.Discovery, "relay", config.Relay,
		"hosts", len(config.InitialHosts.Endpoints), "slices", config.Settings.Slices, "proxies", config.Settings.Proxies, "cores", config.Cores,
		"memory", config.Memory, "sockets", config.Sockets, "after", d.Elapsed().String())
	return d.run(ctx, env, signals, failed)
}

// newDirector creates a director whose first event is the host list of the configuration.
func newDirector(config *Config, log *slog.Logger) *director {
	d := &director{Clock: eventloop.NewClock(), inbox: eventloop.NewInbox(), log: log, config: config, hosts: codec.NewHosts(),
		watches: map[int]watchHandle{}, outbox: outbox.New(outbox.Limits{MaxCallBytes: maxCallBytes, MaxQueued: maxQueuedOrders}),
		relayState: relaystate.New(), module: logic.New(config.Seed, config.Settings)}
	d.relayState.DiscardOrders = d.outbox.DiscardTable
	hostList, invalid := d.hosts.Apply(config.InitialHosts, logic.HostListFromDisk, config.Schema)
	d.logInvalidHosts("known", invalid)
	d.events = append(d.events, hostList)
	return d
}

// connect starts following the relay and discovery addresses of a configuration. Followers of former addresses keep
// running until the new ones deliver.
func (d *director) connect(ctx context.Context, config *Config) {
	if d.stopFollower == nil || d.relayAddress != config.Relay {
		if d.stopFollower != nil {
			d.stopFormerFollowers = append(d.stopFormerFollowers, d.stopFollower)
		}
		followCtx, stop := context.WithCancel(ctx)
		nextID := func() int { return int(d.lastID.Add(1)) }
		d.relayAddress, d.stopFollower, d.followerID = config.Relay, stop, nextID()
		go uplink.Follow(followCtx, config.Relay, config.Schema, d.followerID, nextID, d.inbox.Post, d.log)
	}
	if d.watches[d.newestWatch].address != config.Discovery {
		watchCtx, stop := context.WithCancel(ctx)
		d.newestWatch = int(d.lastID.Add(1))
		d.watches[d.newestWatch] = watchHandle{config.Discovery, stop}
		go hostwatch.Follow(watchCtx, config.Discovery, d.newestWatch, d.inbox.Post, d.log)
	}
	d.config = config
}

// acceptList reports whether a host list of the given watch is accepted. The first list of the newest watch stops the
// watches of former addresses: lists of theirs that are still queued are older and would bring back removed hosts.
func (d *director) acceptList(watchID int) bool {
	if _, known := d.watches[watchID]; !known {
		return false
	}
	if watchID == d.newestWatch {
		for n, w := range d.watches {
			if n != watchID {
				w.cancel()
				delete(d.watches, n)
			}
		}
	}
	return true
}

// run is the event loop.
func (d *director) run(ctx context.Context, env func(string) string, signals <-chan os.Signal, failed <-chan error) error {
	timer, figures, load := time.NewTimer(0), time.NewTicker(figuresInterval), time.NewTicker(loadInterval)
	defer timer.Stop()
	defer figures.Stop()
	defer load.Stop()
	gatherTime := time.Duration(float64(d.config.Resolution) * float64(time.Millisecond))
	var shutdown, reloadAgain <-chan time.Time
	var reloadStarted time.Time // time of the SIGHUP of the current reload
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return fmt.Errorf("listen %s: %w", d.config.Listen, err)
		case <-shutdown:
			return nil
		case sig := <-signals:
			if d.stopping {
				break // already stopping: later signals do not prolong the shutdown, and a new configuration is not loaded
			}
			if sig == syscall.SIGHUP {
				reloadStarted = time.Now()
				reloadAgain = d.reload(ctx, env, reloadStarted)
				break
			}
			d.stopping, shutdown, reloadAgain = true, time.After(shutdownTimeout), nil
			d.log.Info("director.stopping", "signal", sig.String(), "waiting", d.outbox.Queued(),
				"calling", d.callInFlight, "doubted", d.callUnconfirmed)
		case <-reloadAgain:
			reloadAgain = d.reload(ctx, env, reloadStarted)
		case <-figures.C:
			d.logFigures()
		case <-load.C:
			d.logLoad()
		case <-d.inbox.Wake():
			time.Sleep(gatherTime) // lets further events arrive, to be handled in the same turn
		case <-timer.C:
		}
		began := time.Now()
		d.turn()
		d.slowestTurn = max(d.slowestTurn, time.Since(began))
		if d.stopping && d.outbox.InFlight() == nil && d.outbox.Queued() == 0 {
			return nil
		}
		timer.Reset(d.untilNextTurn())
	}
}

// untilNextTurn returns the time until the next turn if no event arrives before.
func (d *director) untilNextTurn() time.Duration {
	if until := d.relayState.SnapshotDeadline(d.Now()); until > 0 {
		return d.Until(until)
	}
	next, ok := d.timers.next()
	if until := d.relayState.CollectDeadline(); until > 0 && (!ok || until < next) {
		next, ok = until, true
	}
	if !ok {
		return time.Second
	}
	return d.Until(next)
}

// turn is one pass of the event loop: it passes all events since the last pass to the module and executes its orders.
func (d *director) turn() {
	in, _, _ := d.inbox.Take(0)
	now := d.Now()
	for _, x := range in {
		d.handleEvent(now, x)
	}
	d.events = append(d.events, d.relayState.FlushCollected(now, false)...)
	if d.relayState.SnapshotDeadline(now) > 0 {
		// The relay has sent only a part of its state; the module would take that part for the whole fleet.
		d.startNextCall()
		return
	}
	for _, t := range d.timers.due(now) {
		d.events = append(d.events, logic.TimerFired{Timer: t})
	}
	d.reportDropped()
	if events := d.events; len(events) > 0 {
		d.events = nil
		d.traceEvents(events)
		orders := d.module.Handle(now, events)
		d.logHostChanges()
		d.executeOrders(now, orders)
	}
	d.startNextCall()
}

// handleEvent turns an entry of the inbox into events for the module, or updates the director's own state.
func (d *director) handleEvent(now logic.Millis, x any) {
	switch x := x.(type) {
	case codec.Message:
		if x.Host != "" && !d.hosts.IsKnown(codec.IDOf(x.Host)) {
			d.counters.unknownHosts++
			return // a report on a host that discovery never listed
		}
		d.reports.add(x.Event)
		d.events = append(d.events, x.Event)
	case hostwatch.Update:
		if !d.acceptList(x.WatchID) {
			d.log.Info("list.late", "source", x.WatchID, "index", x.List.Index)
			return
		}
		d.counters.hostLists++
		hostList, invalid := d.hosts.Apply(x.List, logic.HostListFull, d.config.Schema)
		d.logInvalidHosts("discovery", invalid)
		d.events = append(d.events, hostList)
	case probeResult:
		delete(d.prober.inFlight, x.Host)
		if x.address == d.hosts.Address(x.Host) { // a result from a former address says nothing about the host
			d.events = append(d.events, x.ProbeResult)
		}
	case uplink.CallEnded:
		d.handleCallEnd(x)
	case uplink.Subscribed:
		d.acceptSubscription(now, x)
	case uplink.Notification:
		if x.SubscriptionID == d.subscriptionID {
			d.lastNotification = now
			d.handleNotification(now, x.Body)
		}
	case uplink.SubscriptionLost:
		d.log.Warn("news.broke", "source", x.SubscriptionID, "why", x.Reason)
		if d.counters.subscriptionsLost++; x.SubscriptionID == d.subscriptionID {
			d.subscriptionOpen = false
		}
	default:
		panic(fmt.Sprintf("unexpected type %T in the inbox", x))
	}
}

// logInvalidHosts logs the entries of a host list that were rejected.
func (d *director) logInvalidHosts(where string, errs []error) {
	for _, err := range errs {
		d.log.Warn("host.dropped", "where", where, "error", err)
	}
}

// handleNotification processes a notification of the relay.
func (d *director) handleNotification(now logic.Millis, n codec.Notification) {
	if n.Host != "" {
		if _, err := d.hosts.Register(n.Host); err != nil {
			d.log.Warn("news.dropped", "error", err)
			return
		}
	}
	if a, ok := n.Event.(logic.Acknowledged); ok {
		d.ackLatency.add(a.Latency)
		d.confirmCall(a)
	}
	if n.Kind == codec.KindPing {
		d.events = append(d.events, logic.AckStreamAlive{})
	}
	d.events = append(d.events, d.relayState.Handle(now, n)...)
}

// executeOrders executes the module's orders: it sets timers and starts probes, and queues the remaining orders for the
// relay as one call.
func (d *director) executeOrders(now logic.Millis, orders []logic.Order) {
	var ops []outbox.Op
	for _, o := range orders {
		switch o := o.(type) {
		case logic.SetTimer:
			d.timers.add(now+o.Delay, o.Timer)
		case logic.Probe:
			d.prober.enqueue(o.Host, d.hosts.Address(o.Host))
		case logic.LogText:
			d.log.Info("module", "says", o.Text)
		case logic.Resend:
			d.resend(o.Serial)
		case logic.WatchHosts, logic.RequestHosts, logic.SendToPeer:
			// The host list is always followed here, and directors on the platform cannot reach each other.
		default:
			op, forRelay, err := d.config.Schema.EncodeOrder(o, d.hosts)
			if err != nil || !forRelay {
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
	if dropped, err := d.outbox.Add(ops); err != nil {
		d.log.Error("orders.dropped", "error", err, "orders", len(dropped))
		d.restoreAfterDrop(dropped)
	}
}

// restoreAfterDrop corrects the module's view after orders were dropped: it passes the stored state of the tables
// concerned to the module again.
func (d *director) restoreAfterDrop(ops []outbox.Op) {
	d.resyncSlices(ops)
	if slices.ContainsFunc(ops, func(o outbox.Op) bool { return o.Table == outbox.NoTable && o.Kind != outbox.AckRequest }) {
		// Masks or levels were dropped: the module writes them again for proxies that it takes for newly joined.
		d.events = append(d.events, d.relayState.ResyncProxies()...)
	}
}

// resyncSlices passes the stored state of the slices that the orders concern to the module again, and drops the other
// queued orders for these slices.
func (d *director) resyncSlices(ops []outbox.Op) {
	handled := map[logic.TableID]bool{outbox.NoTable: true}
	for _, o := range ops {
		if !handled[o.Table] {
			handled[o.Table] = true
			d.outbox.DiscardTable(o.Table)
			d.events = append(d.events, d.relayState.ResyncSlice(o.Table)...)
		}
	}
}

// startNextCall sends the next call to the relay, unless one is in flight or unconfirmed.
func (d *director) startNextCall() {
	if d.callInFlight || d.callUnconfirmed {
		return
	}
	if c := d.outbox.Next(); c != nil {
		if c.IsRetry() {
			d.log.Debug("call.again", "id", c.ID, "ops", len(c.Ops))
		} else {
			d.callConfirmed = false
		}
		d.callInFlight = true
		d.counters.calls++
		d.calls.Submit(d.relayAddress, c)
	}
}

// handleCallEnd processes the outcome of the call in flight.
func (d *director) handleCallEnd(e uplink.CallEnded) {
	d.callInFlight = false
	switch e.Result {
	case outbox.Unconfirmed:
		d.counters.unconfirmed++
	case outbox.NotSent:
		d.counters.notSent++
	case outbox.Retryable:
		d.counters.retryable++
	}
	if e.Result != outbox.Answered {
		d.log.Info("call.failed", "id", e.ID, "how", int(e.Result), "why", e.Reason,
			"spent", e.Elapsed.String(), "waiting", d.outbox.Queued())
	}
	if d.discardUnanswered && e.Result != outbox.Answered {
		// The relay resends its state, and all proxies are reported as joined again. That state includes whatever the
		// relay applied of this call, and the module orders the rest again if it is still needed. Sending orders from
		// before the gap could undo what another director did during it.
		d.discardUnanswered = false
		if e.Result == outbox.Unconfirmed {
			d.outbox.Finish(e.Result, 0) // it may be in the channel all the same
		}
		d.discardOrders()
		return
	}
	d.discardUnanswered = false
	if c := d.outbox.InFlight(); d.callConfirmed && c != nil && e.Result != outbox.Answered {
		d.log.Info("call.proven", "id", c.ID)
		e.Result, e.Applied = outbox.Answered, len(c.Ops) // a proxy has acknowledged the call, so the answer is not needed
	} else if e.Result == outbox.Unconfirmed && c != nil {
		serials := c.Serials()
		for _, serial := range serials {
			d.events = append(d.events, logic.Unconfirmed{Serial: serial})
		}
		d.callUnconfirmed = len(serials) > 0
	}
	d.finishCall(e.Result, e.Applied, e.Reason)
}

// discardOrders drops all orders from before a gap in the notifications, during which another director may have written
// the same slices.
func (d *director) discardOrders() {
	ops := d.outbox.Reset()
	d.log.Info("orders.void", "orders", len(ops), "why", "relay connection was lost; the relay resends its state")
	d.reportDropped() // before the events of the state that the relay resends
	d.resyncSlices(ops)
}

// reportDropped tells the module of the orders that left the outbox without being carried out.
func (d *director) reportDropped() {
	for _, dropped := range d.outbox.TakeDropped() {
		d.log.Info("orders.given_up", "serial", int(dropped.Serial), "copies", dropped.Copies)
		d.events = append(d.events, logic.Dropped{Serial: dropped.Serial, Copies: dropped.Copies})
	}
}

// resend lets the unconfirmed call be sent again. If the serial is of no current call, that is known to be written.
func (d *director) resend(serial logic.SerialID) {
	if d.clearUnconfirmed(serial) {
		return
	}
	if c := d.outbox.InFlight(); c == nil || !slices.Contains(c.Serials(), serial) {
		d.log.Info("call.again_void", "serial", int(serial))
		d.events = append(d.events, logic.ResendVoid{Serial: serial})
	}
}

// clearUnconfirmed ends the wait for the acknowledgement of an unconfirmed call: either a proxy has acknowledged it, or
// the module allows it to be sent again. It reports whether the serial belongs to that call.
func (d *director) clearUnconfirmed(serial logic.SerialID) (isCurrent bool) {
	if c := d.outbox.InFlight(); d.callUnconfirmed && c != nil && slices.Contains(c.Serials(), serial) {
		d.callUnconfirmed = false
		return true
	}
	return false
}

// confirmCall marks the current call as applied as a whole once a proxy has acknowledged one of its serials. An
// unconfirmed call is finished by that.
func (d *director) confirmCall(n logic.Acknowledged) {
	c := d.outbox.InFlight()
	if c == nil || d.callConfirmed || !slices.Contains(c.Serials(), n.Serial) {
		return
	}
	d.callConfirmed = true // also while the call is in flight, since its answer may still be lost
	if d.clearUnconfirmed(n.Serial) {
		d.log.Info("call.proven", "id", c.ID, "by", int(n.Proxy))
		d.finishCall(outbox.Answered, len(c.Ops), "")
	}
}

// finishCall records the outcome of the current call and corrects the module's view after orders were rejected.
func (d *director) finishCall(result outbox.Result, applied int, reason string) {
	outcome := d.outbox.Finish(result, applied)
	d.counters.appliedOrders += uint64(len(outcome.Applied))
	d.counters.ordersByKind.add(outcome.Applied)
	d.relayState.OrdersApplied(outcome.Applied)
	for _, o := range outcome.Rejected {
		d.counters.rejected++
		d.log.Error("order.refused", "order", o.Text, "why", reason)
	}
	d.restoreAfterDrop(outcome.Rejected)
}

// acceptSubscription switches to the notifications of a new subscription. Those of former ones are ignored from then
// on, and the followers of former addresses are stopped.
func (d *director) acceptSubscription(now logic.Millis, subscribed uplink.Subscribed) {
	if subscribed.FollowerID != d.followerID {
		return // the follower of a former address has reconnected before it was stopped
	}
	// A silent connection counts as open until its read deadline; proxies may have left and joined again in that time
	// without a notification.
	continuous := d.subscriptionID > 0 && d.subscriptionOpen && now-d.lastNotification < pingTimeout
	d.log.Info("news.began", "source", subscribed.SubscriptionID, "address", subscribed.Address, "continuous", continuous)
	d.subscriptionID, d.subscriptionOpen, d.lastNotification = subscribed.SubscriptionID, true, now
	d.counters.subscriptions++
	for _, stop := range d.stopFormerFollowers {
		stop()
	}
	d.stopFormerFollowers = nil
	d.relayState.BeginSnapshot(continuous)
	if d.discardUnanswered = !continuous && d.callInFlight; !continuous && d.callUnconfirmed {
		d.callUnconfirmed = false
		d.discardOrders()
	}
}
