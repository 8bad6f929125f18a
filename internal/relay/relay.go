// Package relay is a small forwarding proxy: it follows a director's tables and carries calls between sockets. What
// goes where is decided in package carry; here are the sockets, on netpoll.
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

	"vetchwood/internal/admit"
	"vetchwood/internal/carry"
	"vetchwood/internal/follow"
	"vetchwood/internal/nets"
	"vetchwood/internal/settings"
	"vetchwood/internal/tables"
	"vetchwood/internal/tally"
)

// Watch hears of what happens, for tests and rehearsals. Any part may be nil.
type Hooks struct {
	OnTry        func(route, mark, table string, host tables.Address) // a try is about to be written
	OnUpdate     func(follow.Update)
	OnJoinChange func(director string, on bool)
}

// Relay is a running proxy.
type Relay struct {
	force  atomic.Pointer[settings.Relaying] // the settings in force
	log    *slog.Logger
	watch  Hooks
	epoch  time.Time
	follow *follow.Several
	hosts  *hosts
	meters *meters

	mu      sync.Mutex
	mind    *carry.Mind
	turns   map[admit.Ticket]*waiter
	tickets admit.Ticket
	fresh   chan struct{} // closed when the tables change

	ln       netpoll.Listener
	loop     netpoll.EventLoop
	clients  sync.Map // netpoll.Connection -> *client
	inHand   atomic.Int64
	draining atomic.Bool
	done     chan struct{}
	traced   atomic.Uint64
}

// waiter is a call that waits for its turn.
type waiter struct {
	call *carry.Call
	turn chan bool // true: go; false: out
}

// New makes a proxy that has yet to run; Addr is known from now on.
func New(set *settings.Relaying, watch Hooks, log *slog.Logger) (*Relay, error) {
	seed := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := &Relay{log: log, watch: watch, epoch: time.Now(), turns: map[admit.Ticket]*waiter{}, fresh: make(chan struct{}),
		done: make(chan struct{})}
	s.force.Store(set)
	s.mind = carry.New(set.Bounds, strconv.FormatInt(s.epoch.UnixNano(), 36), seed.Float64)
	s.hosts = newHosts(set.Hosts, set.Bounds.PerHost)
	s.meters = newMeters(s)
	s.follow = follow.NewSeveral(follow.Source{Directors: set.Directors, Proxy: set.Name, Zone: set.Zone, Rate: set.Rate, Wait: set.Wait,
		Kept: set.Kept, Seen: s.take, Joined: watch.OnJoinChange, Log: log}, set.FollowAll)
	ln, err := netpoll.CreateListener("tcp", set.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", set.Listen, err)
	}
	s.ln = ln
	s.loop, err = netpoll.NewEventLoop(s.serve, netpoll.WithOnPrepare(s.accept), netpoll.WithOnDisconnect(s.disconnect),
		netpoll.WithWriteTimeout(set.Front.Slow))
	return s, err
}

// Addr is where it listens.
func (s *Relay) Addr() net.Addr { return s.ln.Addr() }

// Held is the document in force.
func (s *Relay) Document() *tables.Document { return s.follow.Held() }

// Cut keeps it from its directors for a while.
func (s *Relay) DisconnectFor(long time.Duration) { s.follow.Cut(long) }

func (s *Relay) in() *settings.Relaying { return s.force.Load() }

// Reload puts other settings in force, as one step: calls in hand end by those they began with, as far as they go. What
// can't change while it runs is named, and then nothing changes.
func (s *Relay) Reload(set *settings.Relaying) error {
	was := s.in()
	var fixed []string
	for name, same := range map[string]bool{"the relay's name": set.Name == was.Name, "listen": set.Listen == was.Listen,
		"admin": set.Admin == was.Admin, "zone": set.Zone == was.Zone, "directors": slices.Equal(set.Directors, was.Directors), "follow": set.FollowAll == was.FollowAll,
		"kept": set.Kept == was.Kept, "trace_one_in": set.TraceOneIn == was.TraceOneIn, "report_every": set.ReportEvery == was.ReportEvery,
		"rate": set.Rate == was.Rate, "wait": set.Wait == was.Wait} {
		if !same {
			fixed = append(fixed, name)
		}
	}
	if len(fixed) > 0 {
		slices.Sort(fixed)
		return fmt.Errorf("can't change while the proxy runs: %s", strings.Join(fixed, ", "))
	}
	s.think(func(float64) { s.mind.Bind(set.Bounds) })
	s.hosts.change(set.Hosts, set.Bounds.PerHost)
	s.force.Store(set)
	s.log.Info("relay.reloaded", "routes", len(set.Routes))
	return nil
}

func (s *Relay) now() float64 { return float64(time.Since(s.epoch).Nanoseconds()) / 1e6 }

// at is a time of the relay's clock.
func (s *Relay) at(ms float64) time.Time {
	return s.epoch.Add(time.Duration(min(ms, 1e12) * float64(time.Millisecond)))
}

// think has the mind to itself. It lets go of it whatever happens: a fault in one call's handling ends that call, and
// must not stop all others.
func (s *Relay) think(f func(now float64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.now())
}

func (s *Relay) take(u follow.Update) {
	s.think(func(float64) {
		s.mind.Follow(u.Doc)
		close(s.fresh)
		s.fresh = make(chan struct{})
	})
	s.log.Debug("tables.followed", "version", u.Doc.Version, "lines", u.Lines, "whole", u.Whole)
	if s.watch.OnUpdate != nil {
		s.watch.OnUpdate(u)
	}
}

// Run carries calls until the context ends; then it closes its sockets and lets the calls in hand end, for as long as
// the settings allow.
func (s *Relay) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.loop.Serve(s.ln) }()
	following, stop := context.WithCancel(context.Background())
	defer stop()
	followed := make(chan struct{})
	go func() { s.follow.Run(following); close(followed) }()
	go s.sweep()
	reports := time.NewTicker(s.in().ReportEvery)
	defer reports.Stop()
	reported := make(chan struct{}, 1)
	reported <- struct{}{}
	var err error
	for ctx.Err() == nil && err == nil {
		select {
		case <-ctx.Done():
		case err = <-failed:
		case <-reports.C:
			select {
			case <-reported:
				go func() { s.reports(following); reported <- struct{}{} }()
			default: // the last one is still on its way; sums add up
			}
		}
	}
	s.draining.Store(true)
	// It closes the listening socket and what is idle at once, and waits for the rest.
	drain, cancel := context.WithTimeout(context.Background(), s.in().Drain)
	s.loop.Shutdown(drain)
	cancel()
	left := s.inHand.Load()
	s.clients.Range(func(c, _ any) bool { c.(netpoll.Connection).Close(); return true })
	last, cancel := context.WithTimeout(following, 500*time.Millisecond)
	s.reports(last)
	cancel()
	stop()
	close(s.done)
	<-followed
	s.hosts.close()
	s.log.Info("relay.stopped", "calls_cut", left)
	return err
}

// Kill ends it without a word, as a process that dies.
func (s *Relay) Kill(stop context.CancelFunc) {
	now := *s.in()
	now.Drain = 0
	s.force.Store(&now)
	stop()
	s.clients.Range(func(c, _ any) bool { c.(netpoll.Connection).Close(); return true })
}

// sweep closes what has been idle for long.
func (s *Relay) sweep() {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-tick.C:
			s.hosts.sweep(now)
			idleBefore := int64(nets.Monotonic() - s.in().Front.Idle)
			s.clients.Range(func(c, v any) bool {
				cl := v.(*client)
				if last := cl.last.Load(); last > 0 && last < idleBefore {
					c.(netpoll.Connection).Close()
				}
				return true
			})
		}
	}
}

// reports posts to each director what concerns it.
func (s *Relay) reports(ctx context.Context) {
	var all sync.WaitGroup
	for i, to := range s.follow.Directors() {
		all.Go(func() { s.report(ctx, i, to) })
	}
	all.Wait()
}

// report posts the sums that a director has yet to count.
func (s *Relay) report(ctx context.Context, of int, to string) {
	var b *tally.Batch
	s.think(func(float64) { b = s.mind.Tally(of).PendingBatch(to) })
	if b == nil {
		return
	}
	fate := tally.Unknown
	defer func() { s.think(func(float64) { s.mind.Tally(of).Resolve(b.Key, fate) }) }()
	body, err := json.Marshal(b.Request(s.in().Name, s.in().Zone))
	if err != nil {
		fate = tally.Rejected
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	status, text, err := s.follow.Report(ctx, of, to, b.Key, body)
	if err != nil {
		return
	}
	switch {
	case status < 300:
		fate = tally.Accepted
	case status == http.StatusNotFound: // it has not heard our poll yet, or forgot us: it counts later
	case status < 500:
		fate = tally.Rejected
		s.log.Warn("report.refused", "status", status, "body", text)
	}
}
