package director

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchwood/internal/control"
	"vetchwood/internal/loadshed"
	"vetchwood/internal/netutil"
	"vetchwood/internal/pollshard"
	"vetchwood/logic"
)

// lockedShard is a shard with its lock. A poll is handled on the processor that received it, and answered there if it can
// be answered at once.
type lockedShard struct {
	mu        sync.Mutex
	shard     *pollshard.Shard
	limiter   *loadshed.ClientLimiter
	unwritten [2]answerCounter // answers not written yet, by the epoch in which they were given
	epoch     int              // 0 or 1; toggled by each barrier
	lastView  *pollshard.View  // the view that the shard has adopted
}

// answerCounter counts answers that are not written yet.
type answerCounter struct{ n atomic.Int64 }

// WriteFinished records that one answer has been written or will never be written.
func (c *answerCounter) WriteFinished() { c.n.Add(-1) }

// shardsPerCore is the minimum number of shards per processor. With fewer, processors would wait for each other's locks.
const shardsPerCore = 8

// maxClients is the number of clients, over all shards, whose request allowances are remembered.
const maxClients = 65536

// newShards returns the shards: the least power of two that gives each processor shardsPerCore of them.
func newShards(svc control.Service, now logic.Millis) []*lockedShard {
	n := 1
	for n < shardsPerCore*runtime.GOMAXPROCS(0) {
		n *= 2
	}
	out := make([]*lockedShard, n)
	config := pollshard.Config{MaxWait: svc.MaxWait, Lease: svc.Lease, Zones: svc.Zones}
	for i := range out {
		out[i] = &lockedShard{shard: pollshard.NewShard(i, n, config, now), limiter: loadshed.NewClientLimiter(rand.Float64, maxClients/n)}
	}
	return out
}

// shardOf returns a proxy's shard. It depends on the name only, not on the connection or processor of a poll, so that no
// proxy is in two shards.
func (d *Director) shardOf(proxy string) *lockedShard {
	return d.shards[xxhash.Sum64String(proxy)&uint64(len(d.shards)-1)]
}

// update calls do with the shard's lock held, after the shard has adopted the newest view, and executes the output. The
// answer to ownTicket, if any, is returned instead of delivered.
func (d *Director) update(sh *lockedShard, ownTicket control.Ticket, do func(*pollshard.Shard) pollshard.Output) (a control.Answer, answered bool) {
	var others []control.Answer
	collect := func(out pollshard.Output) {
		for i := range out.Answers {
			unwritten := &sh.unwritten[sh.epoch]
			unwritten.n.Add(1)
			out.Answers[i].Tracker = unwritten
			if out.Answers[i].Ticket == ownTicket {
				a, answered = out.Answers[i], true
			} else {
				others = append(others, out.Answers[i])
			}
		}
		if len(out.Events) > 0 { // with the lock held, so that the order of the events is kept
			d.postToCore(out.Events...)
		}
		clear(out.Answers) // the shard reuses their memory
		clear(out.Events)
	}
	sh.mu.Lock()
	if v := d.view.Load(); v != sh.lastView && v != nil {
		sh.lastView = v
		collect(sh.shard.SetView(d.Now(), v))
	}
	collect(do(sh.shard))
	sh.mu.Unlock()
	for _, other := range others {
		d.deliver(other)
	}
	return a, answered
}

// Poll accepts a poll. An answer that is available at once is returned; others go to the front later. If the client
// exceeds its rate, or would have to join while the director is overloaded, the poll is rejected and retryAfter is the
// delay before a retry. Polls of joined proxies are not shed, because answering one costs no more than rejecting it.
func (d *Director) Poll(p control.Poll) (a control.Answer, answered bool, retryAfter time.Duration) {
	<-d.started
	sh := d.shardOf(p.Proxy)
	sh.mu.Lock()
	admitted, retryAfter := sh.limiter.Admit(d.Elapsed(), p.Proxy)
	joined := sh.shard.HasJoined(p.Proxy)
	sh.mu.Unlock()
	if !admitted && !admissionDisabled {
		return a, false, retryAfter
	}
	if !joined {
		if retryAfter = d.shed(loadshed.NewPolls); retryAfter > 0 {
			return a, false, retryAfter
		}
	}
	a, answered = d.poll(p)
	return a, answered, 0
}

// poll passes a poll to its shard without admission control.
func (d *Director) poll(p control.Poll) (control.Answer, bool) {
	return d.update(d.shardOf(p.Proxy), p.Ticket, func(s *pollshard.Shard) pollshard.Output { return s.Poll(d.Now(), p) })
}

// dispatch passes the core's commands for single proxies to their shards, in parallel if there are many. Versions of a
// proxy's document only increase, so the order of two commands does not matter.
func (d *Director) dispatch(commands []any) {
	if len(commands) == 0 {
		return
	}
	byShard := make(map[*lockedShard][]any, len(d.shards))
	for _, o := range commands {
		sh := (*lockedShard)(nil)
		switch o := o.(type) {
		case pollshard.SetDocument:
			sh = d.shardOf(o.Proxy)
		case pollshard.RejectJoin:
			sh = d.shardOf(o.Proxy)
		}
		byShard[sh] = append(byShard[sh], o)
	}
	for sh, batch := range byShard {
		apply := func() {
			d.update(sh, 0, func(s *pollshard.Shard) pollshard.Output { return s.Apply(d.Now(), batch...) })
		}
		if len(commands) < 256 {
			apply()
		} else {
			netutil.Go(apply)
		}
	}
}

// publishView sets the view that each shard adopts before its next action. When the view closes or opens for a removal,
// or the end of the leases changes, all shards adopt it at once. With a barrier, each shard also starts a new epoch, so
// that answers given before are counted separately.
func (d *Director) publishView(p control.Publish) {
	previous := d.view.Swap(p.View)
	if !p.Barrier && previous != nil && previous.Closed == p.View.Closed && previous.LeaseEnd == p.View.LeaseEnd {
		return
	}
	for _, sh := range d.shards {
		d.update(sh, 0, func(*pollshard.Shard) (none pollshard.Output) {
			if p.Barrier {
				sh.epoch ^= 1
			}
			return none
		})
	}
	if p.Barrier {
		go d.awaitWrites()
	}
}

// barrierTimeout is how long a removal waits for answers that were given before it. Their writes to a socket normally
// take some microseconds. An answer that is unwritten after the timeout has been written in part, to a proxy that reads
// slowly; the removal does not wait for it.
const barrierTimeout = 50 * time.Millisecond

// awaitWrites waits until all answers given before the last barrier are written, or barrierTimeout has passed, and
// notifies the core.
func (d *Director) awaitWrites() {
	began := time.Now()
	for {
		var unwritten int64
		for _, sh := range d.shards {
			sh.mu.Lock()
			before := sh.epoch ^ 1
			sh.mu.Unlock()
			unwritten += max(0, sh.unwritten[before].n.Load())
		}
		took := time.Since(began)
		if unwritten == 0 || took > barrierTimeout {
			if unwritten > 0 {
				d.overdueAnswers.Add(uint64(unwritten))
			}
			if us := took.Microseconds(); us > d.maxBarrierUs.Load() {
				d.maxBarrierUs.Store(us)
			}
			d.postToCore(control.AnswersFlushed{})
			return
		}
		if took < time.Millisecond {
			runtime.Gosched()
		} else {
			time.Sleep(200 * time.Microsecond)
		}
	}
}

// advanceShards handles the due timers of all shards every 10 ms, until done is closed.
func (d *Director) advanceShards(done <-chan struct{}) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		for _, sh := range d.shards {
			d.update(sh, 0, func(s *pollshard.Shard) pollshard.Output { return s.Advance(d.Now()) })
		}
	}
}

// ShardStats are the counters of all shards together. Limited counts requests rejected because their client exceeded its
// rate. MaxBarrier is the longest wait of a removal, and Overdue the number of answers that were unwritten when a
// barrier timed out.
type ShardStats struct {
	pollshard.Stats
	Shards     int
	Limited    uint64
	MaxBarrier time.Duration
	Overdue    uint64
}

// ShardStats returns the counters of all shards together.
func (d *Director) ShardStats() ShardStats {
	total := ShardStats{Shards: len(d.shards), MaxBarrier: time.Duration(d.maxBarrierUs.Load()) * time.Microsecond, Overdue: d.overdueAnswers.Load()}
	for _, sh := range d.shards {
		sh.mu.Lock()
		s := sh.shard.Stats()
		total.Limited += sh.limiter.Rejected()
		sh.mu.Unlock()
		total.Sessions += s.Sessions
		total.Pending += s.Pending
		total.Polls += s.Polls
		total.Deltas += s.Deltas
		total.Full += s.Full
		total.Unchanged += s.Unchanged
		total.Expired += s.Expired
		total.Deferred += s.Deferred
	}
	return total
}
