package platform

import (
	"context"
	"fmt"
	"log/slog"
	"os"
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
