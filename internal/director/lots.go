package director

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchwood/internal/control"
	"vetchwood/internal/inflow"
	"vetchwood/internal/nets"
	"vetchwood/internal/park"
	"vetchwood/logic"
)

// bay is a lot with its lock. Polls are taken on whatever core their bytes came to, and answered there where they need not wait.
type bay struct {
	mu      sync.Mutex
	lot     *park.Lot
	allow   *inflow.ClientLimiter
	flights [2]flights // answers that are not written yet, by the epoch they were given in
	epoch   int
	saw     *park.View
}

type flights struct{ n atomic.Int64 }

// Landed says that one is written, or never will be.
func (f *flights) Landed() { f.n.Add(-1) }

// perCore is how many lots there are for each core: with few, cores would wait for each other's locks.
const perCore = 8

// mostClients is how many clients' allowances are remembered in all.
const mostClients = 65536

func newBays(svc control.Service, now logic.Millis) []*bay {
	n := 1
	for n < perCore*runtime.GOMAXPROCS(0) {
		n *= 2
	}
	out := make([]*bay, n)
	terms := park.Terms{LongestWait: svc.MaxWait, Lease: svc.Lease, Zones: svc.Zones}
	for i := range out {
		out[i] = &bay{lot: park.NewLot(i, n, terms, now), allow: inflow.NewClientLimiter(rand.Float64, mostClients/n)}
	}
	return out
}

// bay is the one of a proxy: the same whatever connection or core its poll comes by, so that none is in two.
func (d *Director) bay(proxy string) *bay {
	return d.bays[xxhash.Sum64String(proxy)&uint64(len(d.bays)-1)]
}

// in lets a lot do something, with its lock held, and carries on what it says. An answer to the ticket that is given is
// returned and not carried out.
func (d *Director) in(b *bay, own control.Ticket, do func(*park.Lot) park.Said) (a control.Answer, answered bool) {
	var others []control.Answer
	hear := func(said park.Said) {
		for i := range said.Answers {
			f := &b.flights[b.epoch]
			f.n.Add(1)
			said.Answers[i].Flight = f
			if said.Answers[i].Ticket == own {
				a, answered = said.Answers[i], true
			} else {
				others = append(others, said.Answers[i])
			}
		}
		if len(said.Core) > 0 { // in the order in which the lot said it, so with the lock held
			d.post(said.Core...)
		}
		clear(said.Answers) // the lot uses their memory anew
		clear(said.Core)
	}
	b.mu.Lock()
	if v := d.view.Load(); v != b.saw && v != nil {
		b.saw = v
		hear(b.lot.See(d.Now(), v))
	}
	hear(do(b.lot))
	b.mu.Unlock()
	for _, x := range others {
		d.deliver(x)
	}
	return a, answered
}

// Poll takes a poll. What can be answered at once is returned; the rest goes to the front later. One that asks too often is told after
// how long to come again; and so is one that would have to join, while there is too much to do. To answer a proxy that has joined
// costs no more than to send it away.
func (d *Director) Poll(p control.Poll) (a control.Answer, answered bool, later time.Duration) {
	<-d.running
	b := d.bay(p.Proxy)
	b.mu.Lock()
	in, later := b.allow.Admit(d.Elapsed(), p.Proxy)
	joined := b.lot.Knows(p.Proxy)
	b.mu.Unlock()
	if !in && !openDoor {
		return a, false, later
	}
	if !joined {
		if later = d.shed(inflow.NewPolls); later > 0 {
			return a, false, later
		}
	}
	a, answered = d.poll(p)
	return a, answered, 0
}

func (d *Director) poll(p control.Poll) (control.Answer, bool) {
	return d.in(d.bay(p.Proxy), p.Ticket, func(l *park.Lot) park.Said { return l.Poll(d.Now(), p) })
}

// tell hands what the core says of single proxies to their lots, on all cores where it is much: a proxy is told of versions that only
// go up, so it does not matter which of two comes first.
func (d *Director) tell(all []any) {
	if len(all) == 0 {
		return
	}
	by := make(map[*bay][]any, len(d.bays))
	for _, o := range all {
		b := (*bay)(nil)
		switch o := o.(type) {
		case park.Tell:
			b = d.bay(o.Proxy)
		case park.Turned:
			b = d.bay(o.Proxy)
		}
		by[b] = append(by[b], o)
	}
	for b, its := range by {
		hand := func() {
			d.in(b, 0, func(l *park.Lot) park.Said { return l.Told(d.Now(), its...) })
		}
		if len(all) < 256 {
			hand()
		} else {
			nets.Go(hand)
		}
	}
}

// show lets all lots see how things stand: each looks before it does anything. Where that matters at once, as a removal closes them
// and as they open again, all are made to look now; with a barrier, what they had answered by then is counted apart.
func (d *Director) show(p control.Publish) {
	was := d.view.Swap(p.View)
	if !p.Barrier && was != nil && was.Closed == p.View.Closed && was.Until == p.View.Until {
		return
	}
	for _, b := range d.bays {
		d.in(b, 0, func(*park.Lot) (none park.Said) {
			if p.Barrier {
				b.epoch ^= 1
			}
			return none
		})
	}
	if p.Barrier {
		go d.await()
	}
}

// patience is how long a removal waits for answers that were given before it: they are on their way to a socket, some microseconds.
// One that is still not written has begun to be: its proxy reads slowly, and others don't wait for it.
const patience = 50 * time.Millisecond

// await says when all that lots answered before the last barrier is written.
func (d *Director) await() {
	began := time.Now()
	for {
		var left int64
		for _, b := range d.bays {
			b.mu.Lock()
			before := b.epoch ^ 1
			b.mu.Unlock()
			left += max(0, b.flights[before].n.Load())
		}
		took := time.Since(began)
		if left == 0 || took > patience {
			if left > 0 {
				d.overdue.Add(uint64(left))
			}
			if us := took.Microseconds(); us > d.barrier.Load() {
				d.barrier.Store(us)
			}
			d.post(control.AnswersFlushed{})
			return
		}
		if took < time.Millisecond {
			runtime.Gosched()
		} else {
			time.Sleep(200 * time.Microsecond)
		}
	}
}

// turnLots ends waits that are over.
func (d *Director) turnLots(done <-chan struct{}) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		for _, b := range d.bays {
			d.in(b, 0, func(l *park.Lot) park.Said { return l.Turn(d.Now()) })
		}
	}
}

// LotFigures are those of all lots, with how long the longest barrier took and how many answers outlasted one.
type LotFigures struct {
	park.Figures
	Lots           int
	Limited        uint64
	LongestBarrier time.Duration
	Overdue        uint64
}

// Lots are the lots' figures.
func (d *Director) Lots() LotFigures {
	f := LotFigures{Lots: len(d.bays), LongestBarrier: time.Duration(d.barrier.Load()) * time.Microsecond, Overdue: d.overdue.Load()}
	for _, b := range d.bays {
		b.mu.Lock()
		x := b.lot.Figures()
		f.Limited += b.allow.Rejected()
		b.mu.Unlock()
		f.Seats += x.Seats
		f.Parked += x.Parked
		f.Polls += x.Polls
		f.Deltas += x.Deltas
		f.Wholes += x.Wholes
		f.Unchangeds += x.Unchangeds
		f.Expired += x.Expired
		f.Held += x.Held
	}
	return f
}
