// Package relay implements a small forwarding proxy that routes calls by a director's tables. Package dispatch makes
// the routing decisions; this package does the network I/O, on netpoll.
package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"vetchwood/internal/admission"
	"vetchwood/internal/dispatch"
	"vetchwood/internal/follow"
	"vetchwood/internal/loadreport"
	"vetchwood/internal/netutil"
	"vetchwood/internal/settings"
	"vetchwood/internal/tables"
)

// Hooks are callbacks for tests and for package rehearse. Any of them may be nil.
type Hooks struct {
	OnTry        func(route, idempotencyKey, table string, host tables.Address) // called before a try is written to its host
	OnUpdate     func(follow.Update)                                            // called after an update of the tables took effect
	OnJoinChange func(director string, joined bool)                             // called when the proxy joins or leaves a director
}

// Relay is a running proxy.
type Relay struct {
	activeSettings atomic.Pointer[settings.Relay]
	log            *slog.Logger
	hooks          Hooks
	epoch          time.Time
	follower       *follow.Group
	hostPool       *connPool
	metrics        *metrics

	mu            sync.Mutex
	dispatcher    *dispatch.Dispatcher
	queuedCalls   map[admission.Ticket]*waiter
	lastTicket    admission.Ticket
	tablesChanged chan struct{} // closed and replaced when the tables change

	ln       netpoll.Listener
	loop     netpoll.EventLoop
	clients  sync.Map // netpoll.Connection -> *client
	inFlight atomic.Int64
	draining atomic.Bool
	done     chan struct{}
	traced   atomic.Uint64
}

// waiter is a call that is queued until the number of calls in flight permits it.
type waiter struct {
	call     *dispatch.Call
	admitted chan bool // receives true when the call is admitted, false when it is dropped from the queue
}

// New returns a proxy that already listens, so that Addr is valid. Run must be called to serve calls.
func New(set *settings.Relay, hooks Hooks, log *slog.Logger) (*Relay, error) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := &Relay{log: log, hooks: hooks, epoch: time.Now(), queuedCalls: map[admission.Ticket]*waiter{}, tablesChanged: make(chan struct{}),
		done: make(chan struct{})}
	s.activeSettings.Store(set)
	s.dispatcher = dispatch.New(set.Limits, strconv.FormatInt(s.epoch.UnixNano(), 36), random.Float64)
	s.hostPool = newConnPool(set.HostConns, set.Limits.MaxPerHost)
	s.metrics = newMetrics(s)
	s.follower = follow.NewGroup(follow.Config{Directors: set.Directors, Proxy: set.Name, Zone: set.Zone, ExpectedRate: set.ExpectedRate, MaxWait: set.PollWait,
		CacheFile: set.SnapshotPath, OnUpdate: s.onUpdate, OnJoinChange: hooks.OnJoinChange, Log: log}, set.FollowAll)
	ln, err := netpoll.CreateListener("tcp", set.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", set.Listen, err)
	}
	s.ln = ln
	s.loop, err = netpoll.NewEventLoop(s.serve, netpoll.WithOnPrepare(s.onConnect), netpoll.WithOnDisconnect(s.onDisconnect),
		netpoll.WithWriteTimeout(set.Clients.RequestTimeout))
	return s, err
}

// Addr returns the address that the proxy listens on.
func (s *Relay) Addr() net.Addr { return s.ln.Addr() }

// Document returns the document in force, or nil before the first one.
func (s *Relay) Document() *tables.Document { return s.follower.Document() }

// DisconnectFor keeps the proxy from reaching its directors for the given duration.
func (s *Relay) DisconnectFor(duration time.Duration) { s.follower.DisconnectFor(duration) }

func (s *Relay) settings() *settings.Relay { return s.activeSettings.Load() }

// Reload replaces the settings in one step. Calls in flight keep what they have already taken from the previous
// settings. If set changes a setting that is fixed while the proxy runs, Reload changes nothing and returns an error
// that names each such setting.
func (s *Relay) Reload(set *settings.Relay) error {
	old := s.settings()
	var fixed []string
	for name, same := range map[string]bool{"the relay's name": set.Name == old.Name, "listen": set.Listen == old.Listen,
		"admin": set.Admin == old.Admin, "zone": set.Zone == old.Zone, "directors": slices.Equal(set.Directors, old.Directors), "follow": set.FollowAll == old.FollowAll,
		"kept": set.SnapshotPath == old.SnapshotPath, "trace_one_in": set.TraceOneIn == old.TraceOneIn, "report_every": set.ReportInterval == old.ReportInterval,
		"rate": set.ExpectedRate == old.ExpectedRate, "wait": set.PollWait == old.PollWait} {
		if !same {
			fixed = append(fixed, name)
		}
	}
	if len(fixed) > 0 {
		slices.Sort(fixed)
		return fmt.Errorf("settings that cannot change while the proxy runs: %s", strings.Join(fixed, ", "))
	}
	s.withDispatcher(func(float64) { s.dispatcher.SetLimits(set.Limits) })
	s.hostPool.configure(set.HostConns, set.Limits.MaxPerHost)
	s.activeSettings.Store(set)
	s.log.Info("relay.reloaded", "routes", len(set.Routes))
	return nil
}

// now returns the time since the start of the proxy in milliseconds.
func (s *Relay) now() float64 { return float64(time.Since(s.epoch).Nanoseconds()) / 1e6 }

// timeAt converts a time as given by now, in milliseconds, to a time.Time.
func (s *Relay) timeAt(ms float64) time.Time {
	return s.epoch.Add(time.Duration(min(ms, 1e12) * float64(time.Millisecond)))
}

// withDispatcher runs f with exclusive access to the dispatcher. The lock is released even if f panics, because a fault
// in the handling of one call must not block all others.
func (s *Relay) withDispatcher(f func(now float64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.now())
}

// onUpdate puts new tables in force and wakes the calls that wait for them.
func (s *Relay) onUpdate(u follow.Update) {
	s.withDispatcher(func(float64) {
		s.dispatcher.SetDocument(u.Doc)
		close(s.tablesChanged)
		s.tablesChanged = make(chan struct{})
	})
	s.log.Debug("tables.followed", "version", u.Doc.Version, "lines", u.Lines, "whole", u.Full)
	if s.hooks.OnUpdate != nil {
		s.hooks.OnUpdate(u)
	}
}

// Run serves calls until the context ends. It then stops listening and waits for calls in flight, at most for the drain
// time of the settings.
func (s *Relay) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.loop.Serve(s.ln) }()
	followCtx, stop := context.WithCancel(context.Background())
	defer stop()
	followerDone := make(chan struct{})
	go func() { s.follower.Run(followCtx); close(followerDone) }()
	go s.closeIdle()
	reports := time.NewTicker(s.settings().ReportInterval)
	defer reports.Stop()
	reportDone := make(chan struct{}, 1)
	reportDone <- struct{}{}
	var err error
	for ctx.Err() == nil && err == nil {
		select {
		case <-ctx.Done():
		case err = <-failed:
		case <-reports.C:
			select {
			case <-reportDone:
				go func() { s.sendReports(followCtx); reportDone <- struct{}{} }()
			default: // The previous report is still being sent; the sums go into the next one.
			}
		}
	}
	s.draining.Store(true)
	// Shutdown closes the listening socket and idle connections at once, and waits for the other connections.
	drainCtx, cancel := context.WithTimeout(context.Background(), s.settings().DrainTimeout)
	s.loop.Shutdown(drainCtx)
	cancel()
	unfinished := s.inFlight.Load()
	s.clients.Range(func(c, _ any) bool { c.(netpoll.Connection).Close(); return true })
	finalCtx, cancel := context.WithTimeout(followCtx, 500*time.Millisecond)
	s.sendReports(finalCtx)
	cancel()
	stop()
	close(s.done)
	<-followerDone
	s.hostPool.close()
	s.log.Info("relay.stopped", "calls_cut", unfinished)
	return err
}

// Kill stops the proxy without draining, as if its process had been killed. The parameter stop cancels the context of
// Run.
func (s *Relay) Kill(stop context.CancelFunc) {
	undrained := *s.settings()
	undrained.DrainTimeout = 0
	s.activeSettings.Store(&undrained)
	stop()
	s.clients.Range(func(c, _ any) bool { c.(netpoll.Connection).Close(); return true })
}

// closeIdle closes connections of clients and to hosts once a second after they have been idle for their time limit.
func (s *Relay) closeIdle() {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-tick.C:
			s.hostPool.closeIdle(now)
			idleBefore := int64(netutil.Monotonic() - s.settings().Clients.IdleTimeout)
			s.clients.Range(func(c, v any) bool {
				cl := v.(*client)
				if last := cl.idleSince.Load(); last > 0 && last < idleBefore {
					c.(netpoll.Connection).Close()
				}
				return true
			})
		}
	}
}

// sendReports posts to each director the load report that is for it.
func (s *Relay) sendReports(ctx context.Context) {
	var all sync.WaitGroup
	for i, url := range s.follower.Directors() {
		all.Go(func() { s.sendReport(ctx, i, url) })
	}
	all.Wait()
}

// sendReport posts the sums that the director has not yet acknowledged. The parameter index is the index of the director
// in the list of directors, url its base URL.
func (s *Relay) sendReport(ctx context.Context, index int, url string) {
	var b *loadreport.Batch
	s.withDispatcher(func(float64) { b = s.dispatcher.Tally(index).PendingBatch(url) })
	if b == nil {
		return
	}
	outcome := loadreport.Unknown
	defer func() { s.withDispatcher(func(float64) { s.dispatcher.Tally(index).Resolve(b.Key, outcome) }) }()
	body, err := json.Marshal(b.Request(s.settings().Name, s.settings().Zone))
	if err != nil {
		outcome = loadreport.Rejected
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	status, text, err := s.follower.Report(ctx, index, url, b.Key, body)
	if err != nil {
		return
	}
	switch {
	case status < 300:
		outcome = loadreport.Accepted
	case status == http.StatusNotFound:
		// The director does not know this proxy yet, or no longer: the batch is sent again later.
	case status < 500:
		outcome = loadreport.Rejected
		s.log.Warn("report.refused", "status", status, "body", text)
	}
}
