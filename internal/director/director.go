// Package director runs a control.Core: one goroutine owns it, hands it what happened in batches, and carries
// out what it says: the store, the probes, and the answers of the fronts.
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
	"vetchwood/internal/inflow"
	"vetchwood/internal/park"
	"vetchwood/internal/tables"
	"vetchwood/internal/turns"
	"vetchwood/logic"
)

// Store makes changes durable.
type Store interface {
	Load() (control.SavedState, error)
	Write([]control.Change) error
}

// Prober asks a host whether it answers. It calls back once.
type Prober func(ctx context.Context, host tables.Address) (good bool, load logic.Load)

// Front carries answers to whoever asked by it. It must not block.
type Front interface{ Answer(control.Answer) }

// Director is a running one.
type Director struct {
	turns.Clock
	*turns.Inbox
	core    *control.Core
	store   Store
	probe   Prober
	log     *slog.Logger
	fronts  []Front
	running chan struct{} // closed once fronts are there
	bays    []*bay
	view    atomic.Pointer[park.View] // that lots are to see
	barrier atomic.Int64              // the longest, in microseconds
	overdue atomic.Uint64
	tickets atomic.Uint64
	askers  sync.Map // control.Ticket -> chan control.Answer

	door   *inflow.Shedder
	doorMu sync.Mutex
	opens  tables.Step // the version that this start begins with
	seen   atomic.Pointer[control.Stats]
	slow   atomic.Int64 // longest turn of the loop, in microseconds
	late   atomic.Int64 // latest that the core's own time came, in microseconds

	line   tables.Line
	record func(control.SliceRecord)
	peers  func(context.Context)
	writes chan control.Change
	first  []any
}

// mostTurn is how much of what happened one turn takes: some milliseconds' worth.
const mostTurn = 2048

// batchFor is how long what happens is gathered before the module hears of it.
const batchFor = 2 * time.Millisecond

// New loads the state and makes a director that has yet to run.
func New(svc control.Service, store Store, probe Prober, log *slog.Logger) (*Director, error) {
	saved, err := store.Load()
	if err != nil {
		return nil, err
	}
	d := &Director{store: store, probe: probe, log: log, Clock: turns.NewClock(), Inbox: turns.NewInbox(),
		line: saved.Line, door: inflow.NewShedder(rand.Float64), writes: make(chan control.Change, 4096), running: make(chan struct{})}
	d.bays = newBays(svc, d.Now())
	d.core, d.first = control.New(rand.Uint64(), d.Now(), svc, saved)
	f := d.core.Stats()
	d.seen.Store(&f)
	d.opens = f.Step
	log.Info("director.loaded", "line", uint64(saved.Line), "step", uint64(saved.Step), "hosts", len(saved.List),
		"tables", len(saved.Tables))
	return d, nil
}

// Line is that of its store.
func (d *Director) Line() tables.Line { return d.line }

// Record says who puts on record what a slice's next holder starts from. It is called before Run.
func (d *Director) Record(to func(control.SliceRecord)) { d.record = to }

// Peers says how other directors are asked for what they know. It is called before Run.
func (d *Director) Peers(ask func(context.Context)) { d.peers = ask }

// Entrance is what a front sees of a director: its tickets bear the front's place among those that Run is given.
type Entrance struct {
	*Director
	front int
}

// Entrance gives that of a front, the first being 0.
func (d *Director) Entrance(front int) Entrance { return Entrance{d, front} }

// frontBits of a ticket say which front asked, or that the director itself did.
const (
	frontBits = 4
	ourselves = 1<<frontBits - 1
)

// Ticket names a new poll or question.
func (e Entrance) Ticket() control.Ticket {
	return control.Ticket(e.Director.tickets.Add(1)<<frontBits | uint64(e.front))
}

// Post takes something that happened: a poll or its end goes to the proxy's lot, all else into the loop's inbox.
func (d *Director) Post(in any) {
	switch in := in.(type) {
	case control.Poll:
		<-d.running
		if a, answered := d.poll(in); answered {
			d.deliver(a)
		}
	case control.Disconnected:
		if in.Proxy == "" {
			d.post(in)
			return
		}
		d.in(d.bay(in.Proxy), 0, func(l *park.Lot) park.Said { return l.Broke(d.Now(), in) })
	default:
		d.post(in)
	}
}

func (d *Director) post(in ...any) { d.Inbox.Post(in...) }

// turned tells the door how long what came had to wait for its turn.
func (d *Director) turned(in []any, waited time.Duration) {
	if len(in) == 0 {
		waited = 0
	}
	d.doorMu.Lock()
	defer d.doorMu.Unlock()
	d.door.ObserveTurn(d.Elapsed(), waited, len(in))
}

// Admit says after how long a request that is no poll may come again, where its client asks too often or the director has more to do
// than it can; 0: it comes in.
func (d *Director) Admit(k inflow.Kind, client string) time.Duration {
	if client != "" {
		b := d.bay(client)
		b.mu.Lock()
		in, later := b.allow.Admit(d.Elapsed(), client)
		b.mu.Unlock()
		if !in {
			return later
		}
	}
	return d.shed(k)
}

func (d *Director) shed(k inflow.Kind) time.Duration {
	if k >= inflow.Polls || openDoor {
		return 0
	}
	length, since := d.Queue()
	q := inflow.Queue{Length: length}
	if length > 0 {
		q.OldestWait = time.Since(since) - batchFor
	}
	d.doorMu.Lock()
	defer d.doorMu.Unlock()
	if in, later := d.door.Admit(d.Elapsed(), k, q); !in {
		return later
	}
	return 0
}

// Inflow are the door's figures.
func (d *Director) Inflow() inflow.Stats {
	d.doorMu.Lock()
	defer d.doorMu.Unlock()
	return d.door.Stats()
}

// Ask puts a question into the inbox and waits for its answer; for operators, of whom there are few.
func (d *Director) Ask(ctx context.Context, in func(control.Ticket) any) (control.Answer, error) {
	t, waits := d.Entrance(ourselves).Ticket(), make(chan control.Answer, 1)
	d.askers.Store(t, waits)
	defer d.askers.Delete(t)
	d.Post(in(t))
	select {
	case a := <-waits:
		return a, nil
	case <-ctx.Done():
		return control.Answer{}, ctx.Err()
	}
}

// Ready says whether the opening state is stored, so that polls are answered.
func (d *Director) Ready() bool { return d.seen.Load().Stored >= d.opens }

// Figures are those of the last turn.
func (d *Director) Figures() control.Stats { return *d.seen.Load() }

// LongestTurn is the longest that the loop has been busy with one batch.
func (d *Director) LongestTurn() time.Duration {
	return time.Duration(d.slow.Load()) * time.Microsecond
}

// LatestBeat is the latest that the core was called after its own time.
func (d *Director) LatestBeat() time.Duration { return time.Duration(d.late.Load()) * time.Microsecond }

// Run turns until the context ends. What was ordered by then is stored.
func (d *Director) Run(ctx context.Context, fronts ...Front) error {
	d.fronts = fronts
	close(d.running)
	stored := make(chan error, 1)
	go func() { stored <- d.write() }()
	go d.turnLots(ctx.Done())
	d.carryOut(ctx, d.first)
	d.first = nil
	timer := time.NewTimer(0)
	defer timer.Stop()
	more := false          // something stayed from the last turn
	due := logic.Millis(0) // when the core is to be called at the latest
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-d.Wake():
			if !more {
				time.Sleep(batchFor)
			}
		case err := <-stored:
			return err
		}
		var in []any
		var since time.Time
		in, since, more = d.Take(mostTurn) // the module's beat must not wait for a whole fleet
		began := time.Now()
		d.turned(in, began.Sub(since)-batchFor)
		now := d.Now()
		if late := int64(1000 * float64(now-due)); due > 0 && late > d.late.Load() {
			d.late.Store(late)
		}
		d.carryOut(ctx, d.core.Handle(now, in))
		due = d.core.NextWake()
		f := d.core.Stats()
		d.seen.Store(&f)
		if took := time.Since(began).Microseconds(); took > d.slow.Load() {
			d.slow.Store(took)
		}
		timer.Reset(d.Until(d.core.NextWake()))
	}
	close(d.writes)
	return <-stored
}

// deliver gives an answer to whoever asked.
func (d *Director) deliver(a control.Answer) {
	if front := a.Ticket & ourselves; front != ourselves {
		d.fronts[front].Answer(a)
	} else if waits, asked := d.askers.LoadAndDelete(a.Ticket); asked {
		waits.(chan control.Answer) <- a
	}
}

func (d *Director) carryOut(ctx context.Context, out []any) {
	var tells []any
	defer func() { d.tell(tells) }()
	for _, o := range out {
		switch o := o.(type) {
		case control.Answer:
			d.deliver(o)
		case control.Publish:
			d.show(o)
		case park.Tell, park.Turned:
			tells = append(tells, o)
		case control.Persist:
			d.writes <- o.Change
		case control.SliceRecord:
			if d.record != nil {
				d.record(o)
			}
		case control.AskPeers:
			if d.peers != nil {
				go d.peers(ctx)
			}
		case control.Probe:
			go d.ask(ctx, o.Address)
		case control.LogEvent:
			level := slog.LevelInfo
			if o.Name == "step.ordered" {
				level = slog.LevelDebug
			}
			d.log.LogAttrs(ctx, level, o.Name, attrs(o)...)
		}
	}
}

func attrs(e control.LogEvent) (out []slog.Attr) {
	for _, a := range []slog.Attr{slog.String("proxy", e.Proxy), slog.String("host", e.Host),
		slog.String("version", e.Version), slog.String("detail", e.Detail)} {
		if a.Value.String() != "" {
			out = append(out, a)
		}
	}
	return out
}

func (d *Director) ask(ctx context.Context, host tables.Address) {
	began := time.Now()
	good, load := d.probe(ctx, host)
	spent := logic.Millis(float64(time.Since(began).Microseconds()) / 1000)
	d.Post(control.ProbeResult{Address: host, Latency: spent, Healthy: good, Load: load})
}

// ErrStore ends a director whose store refuses writes for long: what is not stored is not told.
var ErrStore = errors.New("the store refuses writes")

// write makes changes durable, as many at once as wait, and tells the core. A failed write is tried again; it
// is the same change, so that nothing is told out of turn.
func (d *Director) write() error {
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
			d.post(control.Stored{Step: step})
		}
	}
	return nil
}
