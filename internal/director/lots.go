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
type lockedShard struct {
	mu         sync.Mutex
	shard      *park.Shard
	allowances *inflow.Allowances
	unwritten  [2]answerCounter // answers that are not written yet, by the epoch they were given in
	epoch      int
	lastView   *park.View
}

type answerCounter struct{ n atomic.Int64 }

// Landed says that one is written, or never will be.
func (f *answerCounter) WriteFinished() { f.n.Add(-1) }

// perCore is how many lots there are for each core: with few, cores would wait for each other's locks.
const shardsPerCore = 8

// mostClients is how many clients' allowances are remembered in all.
const maxClients = 65536

func newShards(svc control.Service, now logic.Millis) []*lockedShard {
	n := 1
	for n < shardsPerCore*runtime.GOMAXPROCS(0) {
		n *= 2
	}
	out := make([]*lockedShard, n)
	terms := park.Config{MaxWait: svc.LongestWait, Lease: svc.Lease, Zones: svc.Zones}
	for i := range out {
		out[i] = &lockedShard{shard: park.NewShard(i, n, terms, now), allowances: inflow.NewAllowances(rand.Float64, maxClients/n)}
	}
	return out
}

// bay is the one of a proxy: the same whatever connection or core its poll comes by, so that none is in two.
func (d *Director) shardOf(proxy string) *lockedShard {
	return d.shards[xxhash.Sum64String(proxy)&uint64(len(d.shards)-1)]
}

// in lets a lot do something, with its lock held, and carries on what it says. An answer to the ticket that is given is
// returned and not carried out.
func (d *Director) update(b *lockedShard, own control.Ticket, do func(*park.Shard) park.Output) (a control.Answer, answered bool) {
	var others []control.Answer
	hear := func(said park.Output) {
		for i := range said.Answers {
			f := &b.unwritten[b.epoch]
			f.n.Add(1)
			said.Answers[i].Tracker = f
			if said.Answers[i].Ticket == own {
				a, answered = said.Answers[i], true
			} else {
				others = append(others, said.Answers[i])
			}
		}
		if len(said.Events) > 0 { // in the order in which the lot said it, so with the lock held
			d.postToCore(said.Events...)
		}
		clear(said.Answers) // the lot uses their memory anew
		clear(said.Events)
	}
	b.mu.Lock()
	if v := d.view.Load(); v != b.lastView && v != nil {
		b.lastView = v
		hear(b.shard.SetView(d.Now(), v))
	}
	hear(do(b.shard))
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
	<-d.started
	b := d.shardOf(p.Proxy)
	b.mu.Lock()
	in, later := b.allowances.Admit(d.Elapsed(), p.Proxy)
	joined := b.shard.HasJoined(p.Proxy)
	b.mu.Unlock()
	if !in && !admissionDisabled {
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
	return d.update(d.shardOf(p.Proxy), p.Ticket, func(l *park.Shard) park.Output { return l.Poll(d.Now(), p) })
}

// tell hands what the core says of single proxies to their lots, on all cores where it is much: a proxy is told of versions that only
// go up, so it does not matter which of two comes first.
func (d *Director) dispatch(all []any) {
	if len(all) == 0 {
		return
	}
	by := make(map[*lockedShard][]any, len(d.shards))
	for _, o := range all {
		b := (*lockedShard)(nil)
		switch o := o.(type) {
		case park.SetDocument:
			b = d.shardOf(o.Proxy)
		case park.RejectJoin:
			b = d.shardOf(o.Proxy)
		}
		by[b] = append(by[b], o)
	}
	for b, its := range by {
		hand := func() {
			d.update(b, 0, func(l *park.Shard) park.Output { return l.Apply(d.Now(), its...) })
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
func (d *Director) publishView(p control.Publish) {
	was := d.view.Swap(p.View)
	if !p.Barrier && was != nil && was.Closed == p.View.Closed && was.LeaseEnd == p.View.LeaseEnd {
		return
	}
	for _, b := range d.shards {
		d.update(b, 0, func(*park.Shard) (none park.Output) {
			if p.Barrier {
				b.epoch ^= 1
			}
			return none
		})
	}
	if p.Barrier {
		go d.awaitWrites()
	}
}

// patience is how long a removal waits for answers that were given before it: they are on their way to a socket, some microseconds.
// One that is still not written has begun to be: its proxy reads slowly, and others don't wait for it.
const barrierTimeout = 50 * time.Millisecond

// await says when all that lots answered before the last barrier is written.
func (d *Director) awaitWrites() {
	began := time.Now()
	for {
		var left int64
		for _, b := range d.shards {
			b.mu.Lock()
			before := b.epoch ^ 1
			b.mu.Unlock()
			left += max(0, b.unwritten[before].n.Load())
		}
		took := time.Since(began)
		if left == 0 || took > barrierTimeout {
			if left > 0 {
				d.overdueAnswers.Add(uint64(left))
			}
			if us := took.Microseconds(); us > d.maxBarrierUs.Load() {
				d.maxBarrierUs.Store(us)
			}
			d.postToCore(control.Passed{})
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
func (d *Director) advanceShards(done <-chan struct{}) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		for _, b := range d.shards {
			d.update(b, 0, func(l *park.Shard) park.Output { return l.Advance(d.Now()) })
		}
	}
}

// LotFigures are those of all lots, with how long the longest barrier took and how many answers outlasted one.
type ShardStats struct {
	park.Stats
	Shards     int
	Limited    uint64
	MaxBarrier time.Duration
	Overdue    uint64
}

// Lots are the lots' figures.
func (d *Director) ShardStats() ShardStats {
	f := ShardStats{Shards: len(d.shards), MaxBarrier: time.Duration(d.maxBarrierUs.Load()) * time.Microsecond, Overdue: d.overdueAnswers.Load()}
	for _, b := range d.shards {
		b.mu.Lock()
		x := b.shard.Stats()
		f.Limited += b.allowances.Limited()
		b.mu.Unlock()
		f.Sessions += x.Sessions
		f.Pending += x.Pending
		f.Polls += x.Polls
		f.Deltas += x.Deltas
		f.Full += x.Full
		f.Unchanged += x.Unchanged
		f.Expired += x.Expired
		f.Deferred += x.Deferred
	}
	return f
}
