// Package director runs a control.Core. One goroutine owns the core, passes it inputs in batches, and executes its
// outputs: writes to the store, probes of hosts, and answers through the fronts.
package director

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/eventloop"
	"vetchwood/internal/loadshed"
	"vetchwood/internal/pollshard"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Store holds the durable state of a director.
type Store interface {
	// Load returns the stored state.
	Load() (control.SavedState, error)
	// Write makes changes durable before it returns.
	Write([]control.Change) error
}

// Prober checks whether a host answers. It returns the load that the host reports, if any.
type Prober func(ctx context.Context, host tables.Address) (healthy bool, load logic.Load)

// Front delivers answers to the clients whose requests it received. Answer must not block.
type Front interface{ Answer(control.Answer) }

// Director runs one core with its store, prober, fronts and shards of pending polls.
type Director struct {
	eventloop.Clock
	*eventloop.Inbox
	core            *control.Core
	store           Store
	probe           Prober
	log             *slog.Logger
	fronts          []Front
	started         chan struct{} // closed once fronts is set
	shards          []*lockedShard
	view            atomic.Pointer[pollshard.View] // the view that shards adopt
	maxBarrierUs    atomic.Int64                   // longest wait of a removal, in microseconds
	overdueAnswers  atomic.Uint64                  // answers still unwritten when a barrier timed out
	lastTicket      atomic.Uint64
	pendingRequests sync.Map // control.Ticket -> chan control.Answer

	admission       *loadshed.Shedder
	admissionMu     sync.Mutex
	initialStep     tables.Step // the version that this process started with
	stats           atomic.Pointer[control.Stats]
	maxTurnUs       atomic.Int64 // longest turn of the loop, in microseconds
	maxTimerDelayUs atomic.Int64 // longest delay of a timer of the core, in microseconds

	history       tables.HistoryID
	record        func(control.SliceRecord)
	queryPeers    func(context.Context)
	writes        chan control.Change
	initialOutput []any
}

// maxTurnItems is the maximum number of inputs that one turn handles: a few milliseconds of work.
const maxTurnItems = 2048

// batchDelay is how long inputs are collected before a turn handles them.
const batchDelay = 2 * time.Millisecond

// New loads the stored state and returns a director that is not running yet.
func New(svc control.Service, store Store, probe Prober, log *slog.Logger) (*Director, error) {
	saved, err := store.Load()
	if err != nil {
		return nil, err
	}
	d := &Director{store: store, probe: probe, log: log, Clock: eventloop.NewClock(), Inbox: eventloop.NewInbox(),
		history: saved.History, admission: loadshed.NewShedder(rand.Float64), writes: make(chan control.Change, 4096), started: make(chan struct{})}
	d.shards = newShards(svc, d.Now())
	d.core, d.initialOutput = control.New(rand.Uint64(), d.Now(), svc, saved)
	stats := d.core.Stats()
	d.stats.Store(&stats)
	d.initialStep = stats.Step
	log.Info("director.loaded", "line", uint64(saved.History), "step", uint64(saved.Step), "hosts", len(saved.List),
		"tables", len(saved.Tables))
	return d, nil
}

// HistoryID returns the identifier of the store's history. A new store begins another history.
func (d *Director) HistoryID() tables.HistoryID { return d.history }

// OnRecord sets the function that stores the state from which a slice's next owner starts. It must be called before
// Run.
func (d *Director) OnRecord(record func(control.SliceRecord)) { d.record = record }

// OnQueryPeers sets the function that requests the facts of other directors. It must be called before Run.
func (d *Director) OnQueryPeers(query func(context.Context)) { d.queryPeers = query }

// FrontHandle is a director as used by one front. Its tickets contain the front's index among those passed to Run.
type FrontHandle struct {
	*Director
	front int
}

// ForFront returns the handle of the front with the given index, which starts at 0.
func (d *Director) ForFront(front int) FrontHandle { return FrontHandle{d, front} }

// The low frontBits of a ticket hold the index of the front that received the request, or internalFront if the director
// itself made it.
const (
	frontBits     = 4
	internalFront = 1<<frontBits - 1
)

// Ticket returns a new ticket.
func (h FrontHandle) Ticket() control.Ticket {
	return control.Ticket(h.Director.lastTicket.Add(1)<<frontBits | uint64(h.front))
}

// Post accepts an input: a poll or its disconnect goes to the proxy's shard, all else to the loop's inbox.
func (d *Director) Post(in any) {
	switch in := in.(type) {
	case control.Poll:
		<-d.started
		if a, answered := d.poll(in); answered {
			d.deliver(a)
		}
	case control.Disconnected:
		if in.Proxy == "" {
			d.postToCore(in)
			return
		}
		d.update(d.shardOf(in.Proxy), 0, func(s *pollshard.Shard) pollshard.Output { return s.Disconnect(d.Now(), in) })
	default:
		d.postToCore(in)
	}
}

// postToCore adds inputs to the loop's inbox.
func (d *Director) postToCore(in ...any) { d.Inbox.Post(in...) }

// recordTurn reports to the admission control how long the inputs of a turn had waited for it.
func (d *Director) recordTurn(in []any, waited time.Duration) {
	if len(in) == 0 {
		waited = 0
	}
	d.admissionMu.Lock()
	defer d.admissionMu.Unlock()
	d.admission.ObserveTurn(d.Elapsed(), waited, len(in))
}

// Admit returns 0 if a request that is not a poll is admitted. Otherwise the client exceeds its rate or the director is
// overloaded, and Admit returns the delay after which the client may retry.
func (d *Director) Admit(k loadshed.Kind, client string) time.Duration {
	if client != "" {
		sh := d.shardOf(client)
		sh.mu.Lock()
		admitted, retryAfter := sh.limiter.Admit(d.Elapsed(), client)
		sh.mu.Unlock()
		if !admitted {
			return retryAfter
		}
	}
	return d.shed(k)
}

// shed returns 0 if a request of this kind is admitted under the present load, or else the delay before a retry.
func (d *Director) shed(k loadshed.Kind) time.Duration {
	if k >= loadshed.Polls || admissionDisabled {
		return 0
	}
	length, since := d.Queue()
	q := loadshed.Queue{Length: length}
	if length > 0 {
		q.OldestWait = time.Since(since) - batchDelay
	}
	d.admissionMu.Lock()
	defer d.admissionMu.Unlock()
	if admitted, retryAfter := d.admission.Admit(d.Elapsed(), k, q); !admitted {
		return retryAfter
	}
	return 0
}

// AdmissionStats returns the counters of the admission control.
func (d *Director) AdmissionStats() loadshed.Stats {
	d.admissionMu.Lock()
	defer d.admissionMu.Unlock()
	return d.admission.Stats()
}

// Ask posts a request to the core and waits for its answer. It serves operators, whose requests are few.
func (d *Director) Ask(ctx context.Context, in func(control.Ticket) any) (control.Answer, error) {
	t, answer := d.ForFront(internalFront).Ticket(), make(chan control.Answer, 1)
	d.pendingRequests.Store(t, answer)
	defer d.pendingRequests.Delete(t)
	d.Post(in(t))
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return control.Answer{}, ctx.Err()
	}
}

// Ready reports whether the initial state is stored, so that polls are answered.
func (d *Director) Ready() bool { return d.stats.Load().Stored >= d.initialStep }

// Stats returns the counters of the core as of the last turn.
func (d *Director) Stats() control.Stats { return *d.stats.Load() }

// MaxTurn returns the longest time that the loop has taken for one batch.
func (d *Director) MaxTurn() time.Duration {
	return time.Duration(d.maxTurnUs.Load()) * time.Microsecond
}

// MaxTimerDelay returns the longest delay between the time that the core asked to be called and the call.
func (d *Director) MaxTimerDelay() time.Duration {
	return time.Duration(d.maxTimerDelayUs.Load()) * time.Microsecond
}

// Run runs the loop until the context ends. All changes ordered by then are stored before it returns.
func (d *Director) Run(ctx context.Context, fronts ...Front) error {
	d.fronts = fronts
	close(d.started)
	stored := make(chan error, 1)
	go func() { stored <- d.writeLoop() }()
	go d.advanceShards(ctx.Done())
	d.execute(ctx, d.initialOutput)
	d.initialOutput = nil
	timer := time.NewTimer(0)
	defer timer.Stop()
	more := false          // inputs remain from the last turn
	due := logic.Millis(0) // when the core must be called again
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-d.Wake():
			if !more {
				time.Sleep(batchDelay)
			}
		case err := <-stored:
			return err
		}
		var in []any
		var since time.Time
		in, since, more = d.Take(maxTurnItems) // limited so that the core's timers don't wait for the inputs of a whole fleet
		began := time.Now()
		d.recordTurn(in, began.Sub(since)-batchDelay)
		now := d.Now()
		if delay := int64(1000 * float64(now-due)); due > 0 && delay > d.maxTimerDelayUs.Load() {
			d.maxTimerDelayUs.Store(delay)
		}
		d.execute(ctx, d.core.Handle(now, in))
		due = d.core.NextWakeup()
		stats := d.core.Stats()
		d.stats.Store(&stats)
		if took := time.Since(began).Microseconds(); took > d.maxTurnUs.Load() {
			d.maxTurnUs.Store(took)
		}
		timer.Reset(d.Until(d.core.NextWakeup()))
	}
	close(d.writes)
	return <-stored
}

// deliver passes an answer to the front that received the request, or to the caller of Ask.
func (d *Director) deliver(a control.Answer) {
	if front := a.Ticket & internalFront; front != internalFront {
		d.fronts[front].Answer(a)
	} else if waiter, found := d.pendingRequests.LoadAndDelete(a.Ticket); found {
		waiter.(chan control.Answer) <- a
	}
}

// execute executes the outputs of a turn. Commands for single proxies are dispatched last, after a view is published.
func (d *Director) execute(ctx context.Context, out []any) {
	var commands []any
	defer func() { d.dispatch(commands) }()
	for _, o := range out {
		switch o := o.(type) {
		case control.Answer:
			d.deliver(o)
		case control.Publish:
			d.publishView(o)
		case pollshard.SetDocument, pollshard.RejectJoin:
			commands = append(commands, o)
		case control.Persist:
			d.writes <- o.Change
		case control.SliceRecord:
			if d.record != nil {
				d.record(o)
			}
		case control.QueryPeers:
			if d.queryPeers != nil {
				go d.queryPeers(ctx)
			}
		case control.Probe:
			go d.probeHost(ctx, o.Address)
		case control.LogEvent:
			level := slog.LevelInfo
			if o.Name == "step.ordered" {
				level = slog.LevelDebug
			}
			d.log.LogAttrs(ctx, level, o.Name, logAttrs(o)...)
		}
	}
}

// logAttrs returns the attributes of an event's log line, without the empty ones.
func logAttrs(e control.LogEvent) (out []slog.Attr) {
	for _, a := range []slog.Attr{slog.String("proxy", e.Proxy), slog.String("host", e.Host),
		slog.String("version", e.Version), slog.String("detail", e.Detail)} {
		if a.Value.String() != "" {
			out = append(out, a)
		}
	}
	return out
}

// probeHost probes a host and posts the result.
func (d *Director) probeHost(ctx context.Context, host tables.Address) {
	began := time.Now()
	healthy, load := d.probe(ctx, host)
	spent := logic.Millis(float64(time.Since(began).Microseconds()) / 1000)
	d.Post(control.ProbeResult{Address: host, Latency: spent, Healthy: healthy, Load: load})
}

// ErrStore is returned by Run after 20 failed attempts in a row to write to the store. The director stops because it
// must not publish what is not stored.
var ErrStore = errors.New("store writes keep failing")

// writeLoop makes changes durable, in batches of all that are queued, and notifies the core. A failed write is retried
// with the same batch, so that versions are published in order.
func (d *Director) writeLoop() error {
	for c := range d.writes {
		batch := []control.Change{c}
	gather:
		for {
			select {
			case more, open := <-d.writes:
				if !open {
					break gather
				}
				batch = append(batch, more)
			default:
				break gather
			}
		}
		for tries := 1; ; tries++ {
			err := d.store.Write(batch)
			if err == nil {
				break
			}
			d.log.Error("store.failed", "error", err, "tries", tries)
			if tries == 20 {
				return errors.Join(ErrStore, err)
			}
			time.Sleep(time.Duration(tries) * 50 * time.Millisecond)
		}
		step := tables.Step(0)
		for _, c := range batch {
			step = max(step, c.Step)
		}
		if step > 0 {
			d.postToCore(control.Stored{Step: step})
		}
	}
	return nil
}
