package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// A rollout in virtual time: all hosts of a fleet are replaced one by one. The proxies, hosts, callers and reports
// around the decision module are models, so that a run takes a second and has the same outcome for the same seed.

const (
	simulatedTick    = Millis(5)
	simulatedHosts   = 20
	simulatedSlices  = 48
	simulatedProxies = 150
	callsPerSecond   = 115.0
	callWork         = Millis(100) // on the single core of a warm host
	callSLO          = Millis(1200)
	callDeadline     = Millis(3000)
	hostQueue        = 60 // calls that are queued for the core
	coldSpeed        = 0.35
	warmAfter        = Millis(4000)
	reportPeriod     = Millis(500)
	loadPeriod       = Millis(400) // between two load reports of a host
	transitToProxies = Millis(300)
	replacePeriod    = Millis(1000)
	drainTime        = Millis(2000)
	staleAfter       = Millis(6000) // how long a table may name a host that is gone
)

func rolloutConfig() Config {
	return Config{Directors: 1, Proxies: simulatedProxies, Slices: simulatedSlices, MayProbe: true, ColdCapacity: 0.2, ColdOverloadLimit: 3,
		WarmAfter: warmAfter, ColdFailAfter: 1500, DrainGrace: 2000, EmptyTableLimit: 2300, ReportInterval: reportPeriod, ReportLinesPerSecond: 150,
		LinesPerSecond: 8000, QueueLimit: 8000, MessageOverhead: 16, Transit: 100, WorstTransit: 300, Levels: LevelShare, DefaultRetryMode: 1,
		Routes: []Route{{SLO: callSLO, TimeLimit: callDeadline, Importance: 1, Idempotency: Idempotent}}}
}

type simulatedCall struct {
	slice                TableID
	arrivedAt, remaining Millis // remaining is the work left to do
}

type simulatedHost struct {
	id                HostID
	state             HostState
	startedAt, goneAt Millis
	calls             []*simulatedCall // the first is in service
	busyTime          Millis           // of the core, since the last load report
	utilization       float64
	loadReportedAt    Millis
	// Since the last report of the proxies.
	finished, failed int
	answerTime       Millis
}

// rolloutOutcome counts the calls by how they ended, and the orders that were written.
type rolloutOutcome struct {
	calls, inTime, late, rejected, unanswered int
	mostStale, staleAtEnd                     int
	messages                                  int
	newLines, removedLines, masks, levels     int
	longestStale                              Millis
}

func (o rolloutOutcome) String() string {
	return fmt.Sprintf("%d calls, %d late, %d rejected, %d unanswered; stale lines: %d at most, %d at the end, oldest %.0f ms; "+
		"%d messages with %d new lines, %d removals, %d masks, %d levels", o.calls, o.late, o.rejected, o.unanswered, o.mostStale,
		o.staleAtEnd, o.longestStale, o.messages, o.newLines, o.removedLines, o.masks, o.levels)
}

type rolloutSimulation struct {
	rng              *rand.Rand
	now              Millis
	director         *Director
	started          Millis // when the director started
	timers           []Millis
	events           []any
	scheduled        map[int][]any // events to come, by tick
	hosts            map[HostID]*simulatedHost
	hostOrder        []HostID
	tables           map[TableID]map[HostID]float64
	masked           map[HostID]bool
	level            float64
	cumulativeDemand []float64 // running sum over the slices
	callsBySlice     map[TableID]int
	dueCalls         float64
	outcome          rolloutOutcome
}

func newRolloutSimulation(seed uint64) *rolloutSimulation {
	p := &rolloutSimulation{rng: rand.New(rand.NewPCG(seed, 39)), scheduled: map[int][]any{}, hosts: map[HostID]*simulatedHost{},
		tables: map[TableID]map[HostID]float64{}, masked: map[HostID]bool{}, level: 1, callsBySlice: map[TableID]int{}, now: 1e6}
	for h := range simulatedHosts {
		p.addHost(HostID(1+h), p.now-1e6)
	}
	sum := 0.0
	for t := range simulatedSlices {
		p.tables[TableID(t)] = map[HostID]float64{HostID(1 + t%simulatedHosts): 1, HostID(1 + (t+1)%simulatedHosts): 0.06}
		sum += 1 / math.Sqrt(1+float64(t*7%simulatedSlices)) // a few slices have several times the calls of others
		p.cumulativeDemand = append(p.cumulativeDemand, sum)
	}
	p.startDirector(seed)
	return p
}

func (p *rolloutSimulation) addHost(id HostID, startedAt Millis) {
	p.hosts[id] = &simulatedHost{id: id, startedAt: startedAt, loadReportedAt: p.now}
	p.hostOrder = append(p.hostOrder, id)
}

// startDirector starts a director that knows the initial hosts from disk, and sends it the present state.
func (p *rolloutSimulation) startDirector(seed uint64) {
	p.director, p.timers, p.started = New(seed, rolloutConfig()), nil, p.now
	var disk []HostEntry
	for h := range simulatedHosts {
		disk = append(disk, HostEntry{Host: HostID(1 + h), Cell: CellID(h), Weight: 1})
	}
	p.events = append(p.events[:0], HostList{Kind: HostListFromDisk, Entries: disk})
	for n := range simulatedProxies {
		p.events = append(p.events, ProxyJoined{Proxy: ProxyID(n), Fresh: true})
	}
	for t := range simulatedSlices {
		p.events = append(p.events, SliceOwnership{Slice: TableID(t), Owned: true})
		for _, id := range p.hostOrder {
			if weight := p.tables[TableID(t)][id]; weight > 0 {
				p.events = append(p.events, StoredLine{Slice: TableID(t), Host: id, Weight: weight})
			}
		}
	}
	p.handle()
	p.sendHostList()
}

// sendHostList sends the director the present host list.
func (p *rolloutSimulation) sendHostList() {
	r := HostList{Kind: HostListFull}
	for _, id := range p.hostOrder {
		if h := p.hosts[id]; h.state != Gone {
			r.Entries = append(r.Entries, HostEntry{Host: id, State: h.state, Cell: CellID(id - 1), Weight: 1, StartedAt: max(0, h.startedAt)})
		}
	}
	p.events = append(p.events, r)
}

func (p *rolloutSimulation) schedule(delay Millis, event any) {
	tick := int((p.now + delay) / simulatedTick)
	p.scheduled[tick] = append(p.scheduled[tick], event)
}

// handle passes the events to the director and carries out its orders.
func (p *rolloutSimulation) handle() {
	orders := p.director.Handle(p.now, p.events)
	p.events = p.events[:0]
	for _, o := range orders {
		switch o := o.(type) {
		case SetLine:
			if o.Weight == 0 {
				delete(p.tables[o.Table], o.Host)
				p.outcome.removedLines++
			} else {
				p.tables[o.Table][o.Host] = o.Weight
				p.outcome.newLines++
			}
		case Mask:
			p.masked[o.Host] = o.On
			p.outcome.masks++
		case Throttle:
			p.level = o.Level
			p.outcome.levels++
		case Stamp:
			p.outcome.messages++
			for n := range simulatedProxies {
				p.schedule(transitToProxies, Acknowledged{Proxy: ProxyID(n), Serial: o.Serial, Latency: transitToProxies})
			}
		case SetTimer:
			p.timers = append(p.timers, p.now+o.Delay)
		case Probe:
			p.schedule(simulatedTick, ProbeResult{Host: o.Host, Healthy: true, Latency: simulatedTick})
		}
	}
}

// call makes one call by the table of a slice, as a plain proxy does.
func (p *rolloutSimulation) call() {
	slice, _ := slices.BinarySearch(p.cumulativeDemand, p.rng.Float64()*p.cumulativeDemand[len(p.cumulativeDemand)-1])
	table := TableID(slice)
	p.callsBySlice[table]++
	p.outcome.calls++
	var usable lines
	for id, weight := range p.tables[table] {
		if !p.masked[id] {
			usable = append(usable, line{id, weight})
		}
	}
	if len(usable) == 0 || p.rng.Float64() >= p.level {
		p.outcome.rejected++
		return
	}
	draw := p.rng.Float64() * usable.sortByHost().total()
	to := usable[len(usable)-1].host
	for _, l := range usable {
		if draw -= l.weight; draw < 0 {
			to = l.host
			break
		}
	}
	h := p.hosts[to]
	if len(h.calls) > hostQueue {
		h.finished, h.failed = h.finished+1, h.failed+1
		p.outcome.rejected++
		return
	}
	h.calls = append(h.calls, &simulatedCall{table, p.now, callWork})
}

// advance lets a host work for one tick.
func (p *rolloutSimulation) advance(h *simulatedHost) {
	h.calls = slices.DeleteFunc(h.calls, func(c *simulatedCall) bool {
		expired := p.now-c.arrivedAt >= callDeadline
		if expired {
			h.finished, h.failed = h.finished+1, h.failed+1
			p.outcome.unanswered++
		}
		return expired
	})
	speed := min(1, coldSpeed+(1-coldSpeed)*float64((p.now-h.startedAt)/warmAfter))
	if len(h.calls) == 0 {
		return
	}
	h.busyTime += simulatedTick
	c := h.calls[0]
	if c.remaining -= Millis(speed) * simulatedTick; c.remaining > 0 {
		return
	}
	h.calls = h.calls[1:]
	spent := p.now - c.arrivedAt
	h.finished, h.answerTime = h.finished+1, h.answerTime+spent
	if spent < callSLO {
		p.outcome.inTime++
	} else {
		p.outcome.late++
	}
	if span := p.now - h.loadReportedAt; span >= loadPeriod {
		h.utilization, h.loadReportedAt, h.busyTime = min(1, float64(h.busyTime/span)), p.now, 0
	}
}

// report sends the director what proxies observed since the last report.
func (p *rolloutSimulation) report() {
	for _, id := range p.hostOrder {
		h := p.hosts[id]
		if h.finished == 0 {
			continue
		}
		utilization, good := h.utilization, h.finished-h.failed
		m := HostSample{Host: id, Period: reportPeriod, Finished: h.finished, Failed: h.failed, Load: Load{Utilization: &utilization}}
		if good > 0 {
			m.MeanLatency = h.answerTime / Millis(good)
		}
		p.events = append(p.events, m)
		h.finished, h.failed, h.answerTime = 0, 0, 0
	}
	for t := range simulatedSlices {
		if calls := p.callsBySlice[TableID(t)]; calls > 0 {
			p.events = append(p.events, SliceDemand{Slice: TableID(t), Calls: calls, Period: reportPeriod})
		}
	}
	clear(p.callsBySlice)
}

// countStaleLines counts the lines of hosts that have been gone for longer than the given time.
func (p *rolloutSimulation) countStaleLines(after Millis) (n int) {
	for _, table := range p.tables {
		for id := range table {
			if h := p.hosts[id]; h.state == Gone && p.now-max(h.goneAt, p.started) > after {
				n++
				p.outcome.longestStale = max(p.outcome.longestStale, p.now-max(h.goneAt, p.started))
			}
		}
	}
	return n
}

// run simulates the given time.
func (p *rolloutSimulation) run(span Millis) {
	for end := p.now + span; p.now < end; {
		p.now += simulatedTick
		tick := int(p.now / simulatedTick)
		p.events = append(p.events, p.scheduled[tick]...)
		delete(p.scheduled, tick)
		for p.dueCalls += callsPerSecond * float64(simulatedTick) / 1000; p.dueCalls >= 1; p.dueCalls-- {
			p.call()
		}
		for _, id := range p.hostOrder {
			p.advance(p.hosts[id])
		}
		if tick%int(reportPeriod/simulatedTick) == 0 {
			p.report()
		}
		if tick%int(1000/simulatedTick) == 0 {
			p.events = append(p.events, AckStreamAlive{})
		}
		p.timers = slices.DeleteFunc(p.timers, func(at Millis) bool {
			if at <= p.now {
				p.events = append(p.events, TimerFired{})
			}
			return at <= p.now
		})
		if len(p.events) > 0 {
			p.handle()
		}
		p.outcome.mostStale = max(p.outcome.mostStale, p.countStaleLines(staleAfter))
	}
}

// rollout replaces one and a half times as many hosts as the fleet has. The director is killed when the replacement
// with the number killedAt begins; -1: never.
func (p *rolloutSimulation) rollout(seed uint64, killedAt int) rolloutOutcome {
	p.run(3000)
	leaves := map[int]HostID{}
	for n := range 3*simulatedHosts/2 + 10 {
		if n == killedAt {
			p.startDirector(seed + 1)
		}
		if id, drained := leaves[n]; drained {
			p.hosts[id].state, p.hosts[id].goneAt = Gone, p.now
		}
		if old := HostID(1 + n); n < 3*simulatedHosts/2 {
			p.addHost(old+simulatedHosts, p.now)
			p.hosts[old].state = Draining
			leaves[n+int(drainTime/replacePeriod)] = old
		}
		p.sendHostList()
		p.run(replacePeriod)
	}
	p.outcome.staleAtEnd = p.countStaleLines(staleAfter)
	return p.outcome
}

// A rollout answers its calls in time at a demand that the fleet can bear, and at no time does a table name a host that
// has been gone for long. A director that starts during the rollout has that time from its start.
//
// Guards against issue 39: with the director killed, 23 of 120 seeds answered more than one call in twenty late, and up
// to 121 lines of hosts long gone remained for up to 36 s. Causes: at a start, hosts that tables named counted as
// unproven and all their slices were planned again (24 of 48 tables were still pending a second later; a host that bore
// its slices well lost them while all slices counted as equal); messages were filled only up to the first table that
// did not fit; removals of lines waited behind all main lines; and a host that was already busy kept the slices of
// those that left.
func TestRolloutInVirtualTime(t *testing.T) {
	const seeds = 8
	for name, killedAt := range map[string]int{"undisturbed": -1, "director killed": simulatedHosts / 2} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				o := newRolloutSimulation(seed).rollout(seed, killedAt)
				t.Logf("seed %d: %v", seed, o)
				if o.unanswered*200 > o.calls || o.rejected*8 > o.calls || o.late*20 > o.calls {
					t.Errorf("seed %d: too many calls were late, rejected or not answered", seed)
				}
				if o.mostStale > 0 {
					t.Errorf("seed %d: tables named hosts that had gone more than %v ms ago", seed, staleAfter)
				}
			}
		})
	}
}
