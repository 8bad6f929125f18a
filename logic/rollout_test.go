package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// A rollout in virtual time: all hosts of a fleet are replaced one by one. The proxies, hosts, callers and reports around the
// decisions are models, so that a play takes a second and comes out the same for a seed.

const (
	simulatedTick   = Millis(5)
	simulatedHosts  = 20
	simulatedSlices = 48
	simulatedFleet  = 150 // proxies
	callsPerSecond  = 115.0
	callWork        = Millis(100) // on the one core of a host that is warm
	callGoal        = Millis(1200)
	callDeadline    = Millis(3000)
	hostQueue       = 60 // calls that wait for the core
	coldAbility     = 0.35
	warmAfter       = Millis(4000)
	reportPeriod    = Millis(500)
	loadPeriod      = Millis(400) // between the load reports of a host
	wayToProxies    = Millis(300)
	replacePeriod   = Millis(1000)
	drainTime       = Millis(2000)
	staleAfter      = Millis(6000) // a line of a host that is gone
)

func rolloutFacts() Config {
	return Config{Directors: 1, Proxies: simulatedFleet, Slices: simulatedSlices, MayProbe: true, ColdCapacity: 0.2, ColdOverloadLimit: 3,
		WarmAfter: warmAfter, ColdFailAfter: 1500, DrainGrace: 2000, EmptyTableLimit: 2300, ReportInterval: reportPeriod, ReportLinesPerSecond: 150,
		LinesPerSecond: 8000, QueueLimit: 8000, MessageOverhead: 16, Transit: 100, WorstTransit: 300, Levels: LevelShare, DefaultRetries: 1,
		Routes: []Route{{SLO: callGoal, TimeLimit: callDeadline, Importance: 1, Idempotency: Idempotent}}}
}

type simulatedCall struct {
	slice      TableID
	came, left Millis // left is the work that is left
}

type simulatedHost struct {
	id         HostID
	state      HostState
	born, gone Millis
	calls      []*simulatedCall // the first is in work
	spent      Millis           // of the core, since the last load report
	busy       float64
	loadAt     Millis
	// Since the last report of the proxies.
	ended, lost int
	answerTime  Millis
}

// rolloutOutcome counts the calls by how they ended, and what was written.
type rolloutOutcome struct {
	calls, inTime, late, refused, unanswered int
	mostStale, staleAtEnd                    int
	messages                                 int
	newLines, goneLines, masks, levels       int
	longestStale                             Millis
}

func (o rolloutOutcome) String() string {
	return fmt.Sprintf("%d calls, %d late, %d refused, %d unanswered; stale lines: %d at most, %d at the end, oldest %.0f ms; "+
		"%d messages with %d new lines, %d removals, %d masks, %d levels", o.calls, o.late, o.refused, o.unanswered, o.mostStale,
		o.staleAtEnd, o.longestStale, o.messages, o.newLines, o.goneLines, o.masks, o.levels)
}

type rolloutPlay struct {
	chance   *rand.Rand
	now      Millis
	director *Director
	started  Millis // when the director did
	due      []Millis
	notes    []any
	later    map[int][]any // by tick
	hosts    map[HostID]*simulatedHost
	order    []HostID
	lines    map[TableID]map[HostID]float64
	masked   map[HostID]bool
	level    float64
	demand   []float64 // of slices, summed up
	heat     map[TableID]int
	owed     float64
	outcome  rolloutOutcome
}

func newRolloutPlay(seed uint64) *rolloutPlay {
	p := &rolloutPlay{chance: rand.New(rand.NewPCG(seed, 39)), later: map[int][]any{}, hosts: map[HostID]*simulatedHost{},
		lines: map[TableID]map[HostID]float64{}, masked: map[HostID]bool{}, level: 1, heat: map[TableID]int{}, now: 1e6}
	for h := range simulatedHosts {
		p.addHost(HostID(1+h), p.now-1e6)
	}
	sum := 0.0
	for t := range simulatedSlices {
		p.lines[TableID(t)] = map[HostID]float64{HostID(1 + t%simulatedHosts): 1, HostID(1 + (t+1)%simulatedHosts): 0.06}
		sum += 1 / math.Sqrt(1+float64(t*7%simulatedSlices)) // a few slices have several times the calls of others
		p.demand = append(p.demand, sum)
	}
	p.startDirector(seed)
	return p
}

func (p *rolloutPlay) addHost(id HostID, born Millis) {
	p.hosts[id] = &simulatedHost{id: id, born: born, loadAt: p.now}
	p.order = append(p.order, id)
}

// startDirector starts one that knows the hosts of the beginning from disk, and is told the present state.
func (p *rolloutPlay) startDirector(seed uint64) {
	p.director, p.due, p.started = New(seed, rolloutFacts()), nil, p.now
	var disk []HostEntry
	for h := range simulatedHosts {
		disk = append(disk, HostEntry{Host: HostID(1 + h), Cell: CellID(h), Weight: 1})
	}
	p.notes = append(p.notes[:0], HostList{Kind: HostListFromDisk, Entries: disk})
	for n := range simulatedFleet {
		p.notes = append(p.notes, ProxyJoined{Proxy: ProxyID(n), Fresh: true})
	}
	for t := range simulatedSlices {
		p.notes = append(p.notes, SliceOwnership{Slice: TableID(t), Owned: true})
		for _, id := range p.order {
			if weight := p.lines[TableID(t)][id]; weight > 0 {
				p.notes = append(p.notes, StoredLine{Slice: TableID(t), Host: id, Weight: weight})
			}
		}
	}
	p.handle()
	p.list()
}

// list tells the director the list as it is.
func (p *rolloutPlay) list() {
	r := HostList{Kind: HostListFull}
	for _, id := range p.order {
		if h := p.hosts[id]; h.state != Gone {
			r.Entries = append(r.Entries, HostEntry{Host: id, State: h.state, Cell: CellID(id - 1), Weight: 1, StartedAt: max(0, h.born)})
		}
	}
	p.notes = append(p.notes, r)
}

func (p *rolloutPlay) after(delay Millis, note any) {
	tick := int((p.now + delay) / simulatedTick)
	p.later[tick] = append(p.later[tick], note)
}

// handle hands the notes on and carries out the orders.
func (p *rolloutPlay) handle() {
	orders := p.director.Handle(p.now, p.notes)
	p.notes = p.notes[:0]
	for _, o := range orders {
		switch o := o.(type) {
		case SetLine:
			if o.Weight == 0 {
				delete(p.lines[o.Table], o.Host)
				p.outcome.goneLines++
			} else {
				p.lines[o.Table][o.Host] = o.Weight
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
			for n := range simulatedFleet {
				p.after(wayToProxies, Acknowledged{Proxy: ProxyID(n), Serial: o.Serial, Latency: wayToProxies})
			}
		case SetTimer:
			p.due = append(p.due, p.now+o.Delay)
		case Probe:
			p.after(simulatedTick, ProbeResult{Host: o.Host, Healthy: true, Latency: simulatedTick})
		}
	}
}

// call makes one call by the table of a slice, as a plain proxy does.
func (p *rolloutPlay) call() {
	slice, _ := slices.BinarySearch(p.demand, p.chance.Float64()*p.demand[len(p.demand)-1])
	table := TableID(slice)
	p.heat[table]++
	p.outcome.calls++
	var open lines
	for id, weight := range p.lines[table] {
		if !p.masked[id] {
			open = append(open, line{id, weight})
		}
	}
	if len(open) == 0 || p.chance.Float64() >= p.level {
		p.outcome.refused++
		return
	}
	draw := p.chance.Float64() * open.sortByHost().total()
	to := open[len(open)-1].host
	for _, l := range open {
		if draw -= l.weight; draw < 0 {
			to = l.host
			break
		}
	}
	h := p.hosts[to]
	if len(h.calls) > hostQueue {
		h.ended, h.lost = h.ended+1, h.lost+1
		p.outcome.refused++
		return
	}
	h.calls = append(h.calls, &simulatedCall{table, p.now, callWork})
}

// work has a host go on for a tick.
func (p *rolloutPlay) work(h *simulatedHost) {
	h.calls = slices.DeleteFunc(h.calls, func(c *simulatedCall) bool {
		over := p.now-c.came >= callDeadline
		if over {
			h.ended, h.lost = h.ended+1, h.lost+1
			p.outcome.unanswered++
		}
		return over
	})
	able := min(1, coldAbility+(1-coldAbility)*float64((p.now-h.born)/warmAfter))
	if len(h.calls) == 0 {
		return
	}
	h.spent += simulatedTick
	c := h.calls[0]
	if c.left -= Millis(able) * simulatedTick; c.left > 0 {
		return
	}
	h.calls = h.calls[1:]
	spent := p.now - c.came
	h.ended, h.answerTime = h.ended+1, h.answerTime+spent
	if spent < callGoal {
		p.outcome.inTime++
	} else {
		p.outcome.late++
	}
	if span := p.now - h.loadAt; span >= loadPeriod {
		h.busy, h.loadAt, h.spent = min(1, float64(h.spent/span)), p.now, 0
	}
}

// report tells the director what proxies met since the last time.
func (p *rolloutPlay) report() {
	for _, id := range p.order {
		h := p.hosts[id]
		if h.ended == 0 {
			continue
		}
		busy, good := h.busy, h.ended-h.lost
		m := HostSample{Host: id, Period: reportPeriod, Finished: h.ended, Failed: h.lost, Load: Load{Utilization: &busy}}
		if good > 0 {
			m.MeanLatency = h.answerTime / Millis(good)
		}
		p.notes = append(p.notes, m)
		h.ended, h.lost, h.answerTime = 0, 0, 0
	}
	for t := range simulatedSlices {
		if calls := p.heat[TableID(t)]; calls > 0 {
			p.notes = append(p.notes, SliceDemand{Slice: TableID(t), Calls: calls, Period: reportPeriod})
		}
	}
	clear(p.heat)
}

// stale counts the lines of hosts that are gone for longer than that.
func (p *rolloutPlay) stale(after Millis) (n int) {
	for _, table := range p.lines {
		for id := range table {
			if h := p.hosts[id]; h.state == Gone && p.now-max(h.gone, p.started) > after {
				n++
				p.outcome.longestStale = max(p.outcome.longestStale, p.now-max(h.gone, p.started))
			}
		}
	}
	return n
}

// run goes on for so long.
func (p *rolloutPlay) run(span Millis) {
	for end := p.now + span; p.now < end; {
		p.now += simulatedTick
		tick := int(p.now / simulatedTick)
		p.notes = append(p.notes, p.later[tick]...)
		delete(p.later, tick)
		for p.owed += callsPerSecond * float64(simulatedTick) / 1000; p.owed >= 1; p.owed-- {
			p.call()
		}
		for _, id := range p.order {
			p.work(p.hosts[id])
		}
		if tick%int(reportPeriod/simulatedTick) == 0 {
			p.report()
		}
		if tick%int(1000/simulatedTick) == 0 {
			p.notes = append(p.notes, AckStreamAlive{})
		}
		p.due = slices.DeleteFunc(p.due, func(at Millis) bool {
			if at <= p.now {
				p.notes = append(p.notes, TimerFired{})
			}
			return at <= p.now
		})
		if len(p.notes) > 0 {
			p.handle()
		}
		p.outcome.mostStale = max(p.outcome.mostStale, p.stale(staleAfter))
	}
}

// rollout replaces half as many hosts again as there are; the director is killed as that replacement begins, -1: it is not.
func (p *rolloutPlay) rollout(seed uint64, killedAt int) rolloutOutcome {
	p.run(3000)
	leaves := map[int]HostID{}
	for n := range 3*simulatedHosts/2 + 10 {
		if n == killedAt {
			p.startDirector(seed + 1)
		}
		if id, drained := leaves[n]; drained {
			p.hosts[id].state, p.hosts[id].gone = Gone, p.now
		}
		if old := HostID(1 + n); n < 3*simulatedHosts/2 {
			p.addHost(old+simulatedHosts, p.now)
			p.hosts[old].state = Draining
			leaves[n+int(drainTime/replacePeriod)] = old
		}
		p.list()
		p.run(replacePeriod)
	}
	p.outcome.staleAtEnd = p.stale(staleAfter)
	return p.outcome
}

// A rollout answers its calls in time at a demand that the fleet can bear, and no table names a host that has been gone for long,
// while it runs as at its end. A director that starts anew amid it has that time from its start.
//
// What happened (issue 39): with the director killed, 23 of 120 seeds answered more than one call in twenty late, and up to 121
// lines of hosts long gone stood for up to 36 s. A start took the hosts for unproven that its tables named, and planned all their
// slices anew (24 of 48 tables waited a second later; a host that bore its slices well lost them while all slices counted as equal);
// messages were filled up to the first table that did not fit; what a table was to lose waited behind all main lines; a host that
// was already busy kept the slices of those that left.
func TestRolloutInVirtualTime(t *testing.T) {
	const seeds = 8
	for name, killedAt := range map[string]int{"undisturbed": -1, "director killed": simulatedHosts / 2} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				o := newRolloutPlay(seed).rollout(seed, killedAt)
				t.Logf("seed %d: %v", seed, o)
				if o.unanswered*200 > o.calls || o.refused*8 > o.calls || o.late*20 > o.calls {
					t.Errorf("seed %d: too many calls were late, turned away or not answered", seed)
				}
				if o.mostStale > 0 {
					t.Errorf("seed %d: tables named hosts that had gone more than %v ms ago", seed, staleAfter)
				}
			}
		})
	}
}
