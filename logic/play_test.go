package logic

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// scenarioRunner runs one scenario. It only stands in for the store, the proxies and the clock. The notation of
// scenarios is described in scenarios/README.md.
type scenarioRunner struct {
	t                 *testing.T
	position          string
	config            Config
	director          *Director
	now               Millis
	events            []any
	timers            []Millis
	tables            map[TableID]map[HostID]float64
	masked            map[HostID]bool
	levels            map[string]Throttle
	bound             map[ProxyID]TableID
	joined            map[ProxyID]bool
	pendingAcks       map[Millis][]Acknowledged
	reports           map[string][]any
	reportInterval    Millis
	lastReports       Millis
	sentAt            []Millis
	lastSerial        SerialID
	acksLost          bool
	nextAlive         Millis            // when the next sign of life of the acknowledgement stream comes; 0 for none
	sentWhileLost     map[SerialID]bool // stamps written while acknowledgements were lost
	isCut             bool              // the channel takes nothing for now
	waitingForChannel []message         // what was written while it did not, in order
	orders            []Order
	movedSlices       int
	unacknowledged    map[ProxyID][]message // what each proxy has not acknowledged, in the order of its stream
	maxUnacknowledged float64               // most unacknowledged lines since the last mark
}

// message is what one reply sent to a proxy.
type message struct {
	serial SerialID
	lines  float64
}

// dropAcknowledged removes the messages that a proxy has acknowledged.
func (s *scenarioRunner) dropAcknowledged(a Acknowledged) {
	for i, m := range s.unacknowledged[a.Proxy] {
		if m.serial == a.Serial {
			s.unacknowledged[a.Proxy] = s.unacknowledged[a.Proxy][i+1:]
			return
		}
	}
}

func parseNumber(s string) float64 {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		panic("not a number: " + s)
	}
	return f
}

// parsePairs reads words of the forms a:b and a-z:b.
func parsePairs(words []string) (out [][2]float64) {
	for _, w := range words {
		a, b, _ := strings.Cut(w, ":")
		first, last, many := strings.Cut(a, "-")
		if !many {
			last = first
		}
		for n := parseNumber(first); n <= parseNumber(last); n++ {
			out = append(out, [2]float64{n, parseNumber(b)})
		}
	}
	return out
}

// setConfig starts a director with the default settings of scenarios and those that the words set.
func (s *scenarioRunner) setConfig(words []string) {
	s.config = Config{Directors: 1, Slices: 8, QueueLimit: 5000, MessageOverhead: 10, LinesPerSecond: 5000,
		ColdCapacity: 0.2, ColdOverloadLimit: 3,
		WarmAfter: 15000, ColdFailAfter: 2000, DrainGrace: 2000, Transit: 200, WorstTransit: 500,
		MessageWindow: 10000, ReportInterval: 500, Levels: LevelShare, WriteLease: 2500, WriteSettle: 4000,
		Routes: []Route{{SLO: 1000, Importance: 1, Idempotency: Idempotent},
			{SLO: 1000, Importance: 3, Idempotency: NonIdempotent, IsWrite: true}}}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		switch k {
		case "slices":
			s.config.Slices = int(parseNumber(v))
		case "messages":
			s.config.MessageLimit = int(parseNumber(v))
		case "queue":
			s.config.QueueLimit = parseNumber(v)
		case "pace":
			s.config.LinesPerSecond = parseNumber(v)
		case "transit":
			s.config.Transit = Millis(parseNumber(v))
		case "weighted":
			s.config.Weighted = true
		case "owner":
			s.config.SingleOwner = true
		case "ask":
			s.config.HostListOnRequest = true
		case "probe":
			s.config.MayProbe = true
		case "advice":
			s.config.RemovalIsAdvisory = true
		case "keyed":
			s.config.Routes[1].Idempotency = IdempotentByKey
		case "shared":
			s.config.Directors = 2
		case "ownzone":
			s.config.Routes[0].OwnZone = true
		default:
			panic("unknown setting: " + k)
		}
	}
	s.director = New(7, s.config)
	s.unacknowledged, s.nextAlive, s.acksLost = map[ProxyID][]message{}, 0, false
	s.sentWhileLost = map[SerialID]bool{}
}

// perform carries out one step of a scenario.
func (s *scenarioRunner) perform(words []string) {
	switch rest := words[1:]; words[0] {
	case "facts":
		s.setConfig(rest)
	case "list", "whole", "disk":
		kind := map[string]HostListKind{"list": HostListDelta, "whole": HostListFull, "disk": HostListFromDisk}[words[0]]
		r := HostList{Kind: kind}
		for _, w := range rest { // host=state[@start time][/zone][*weight]; each host is a cell of its own
			id, state, _ := strings.Cut(w, "=")
			state, weight, has := strings.Cut(state, "*")
			e := HostEntry{Host: HostID(parseNumber(id)), Weight: 1}
			if e.Cell = CellID(e.Host); has {
				e.Weight = parseNumber(weight)
			}
			if before, zone, has := strings.Cut(state, "/"); has {
				state, e.Zone = before, ZoneID(parseNumber(zone))
			}
			if before, born, has := strings.Cut(state, "@"); has {
				state, e.StartedAt = before, Millis(parseNumber(born))
			}
			e.State = map[string]HostState{"up": Up, "draining": Draining, "gone": Gone}[state]
			r.Entries = append(r.Entries, e)
		}
		s.events = append(s.events, r)
	case "even": // hosts 1 to n, slices in equal blocks, each with the next host as its standby
		n := int(parseNumber(rest[0]))
		var all []string
		for i := range n {
			all = append(all, fmt.Sprint(i+1, "=up"))
		}
		s.perform(append([]string{"disk"}, all...))
		for t := range s.config.Slices {
			h := t * n / s.config.Slices
			s.perform([]string{"give", fmt.Sprint(t), fmt.Sprint(h+1, ":1"), fmt.Sprint((h+1)%n+1, ":0.06")})
		}
	case "refused":
		s.events = append(s.events, HostList{Kind: HostListFailed})
	case "give":
		for _, w := range strings.Split(rest[0], ",") {
			t := TableID(parseNumber(w))
			s.events = append(s.events, SliceOwnership{t, true})
			s.tables[t] = map[HostID]float64{}
			for _, p := range parsePairs(rest[1:]) {
				s.events = append(s.events, StoredLine{t, HostID(p[0]), p[1]})
				s.tables[t][HostID(p[0])] = p[1]
			}
		}
	case "take":
		s.events = append(s.events, SliceOwnership{TableID(parseNumber(rest[0])), false})
		delete(s.tables, TableID(parseNumber(rest[0])))
	case "join", "fresh": // with what they hold, or holding nothing
		for _, w := range rest {
			s.events = append(s.events, ProxyJoined{Proxy: ProxyID(parseNumber(w)), Fresh: words[0] == "fresh", Rate: 5})
			s.joined[ProxyID(parseNumber(w))] = true
		}
	case "left":
		p := ProxyID(parseNumber(rest[0]))
		s.events = append(s.events, ProxyLeft{p})
		delete(s.joined, p)
		delete(s.bound, p)
		delete(s.unacknowledged, p)
	case "heat", "asked": // calls of route 0 in each report
		s.reports[words[0]] = nil
		for _, p := range parsePairs(rest) {
			var n any = SliceDemand{Slice: TableID(p[0]), Period: s.reportInterval, Calls: int(p[1])}
			if words[0] == "asked" {
				n = RouteDemand{Proxy: ProxyID(p[0]), Period: s.reportInterval, Calls: int(p[1])}
			}
			s.reports[words[0]] = append(s.reports[words[0]], n)
		}
	case "met": // host:finished/failed[/utilization[/throughput[/latency]]]; none: no samples of the host
		ids, what, _ := strings.Cut(rest[0], ":")
		for _, p := range parsePairs([]string{ids + ":0"}) {
			s.setSamples(HostID(p[0]), what)
		}
	case "probed": // host, good or bad
		s.events = append(s.events, ProbeResult{Host: HostID(parseNumber(rest[0])), Latency: 5, Healthy: rest[1] == "good"})
	case "masked": // by an order of an earlier start
		s.masked[HostID(parseNumber(rest[0]))] = true
		s.events = append(s.events, InheritedMask{HostID(parseNumber(rest[0]))})
	case "unsure": // it is unknown whether the channel took the last reply
		s.events = append(s.events, Unconfirmed{s.lastStamp()})
	case "dropped": // the last reply is given up; the channel may hold it so many times
		s.events = append(s.events, Dropped{s.lastStamp(), int(parseNumber(rest[0]))})
	case "void": // the last Resend is not carried out
		s.events = append(s.events, ResendVoid{s.lastStamp()})
	case "alive": // the acknowledgement stream shows a sign of life each second from now on
		s.nextAlive = s.now
	case "deaf": // acknowledgements are lost from now on
		s.acksLost = true
	case "hears": // they arrive again
		s.acksLost = false
	case "cut": // the channel takes nothing from now on: what is written waits
		s.isCut = true
	case "back": // it takes what waited, for all proxies that are joined now
		s.isCut = false
		for _, m := range s.waitingForChannel {
			s.takeMessage(m)
		}
		s.waitingForChannel = nil
	case "run":
		s.handle()
		for end := s.now + Millis(parseNumber(rest[0])); s.now < end; {
			s.now += 50
			s.tick()
		}
	case "now":
		s.handle()
	case "restart":
		s.director, s.timers, s.events = New(8, s.config), nil, nil
		clear(s.pendingAcks)
	case "mark":
		s.movedSlices, s.orders, s.sentAt, s.maxUnacknowledged = 0, nil, nil, 0
	case "expect":
		for _, e := range strings.Split(strings.Join(rest, " "), ", ") {
			s.expect(strings.Fields(e))
		}
	default:
		panic("unknown verb: " + words[0])
	}
}

// takeMessage puts a message into the channel, for each proxy that is joined.
func (s *scenarioRunner) takeMessage(m message) {
	for p := range s.joined {
		s.unacknowledged[p] = append(s.unacknowledged[p], m)
	}
	s.acknowledge(m.serial)
}

// lastStamp returns the serial of the last reply.
func (s *scenarioRunner) lastStamp() SerialID {
	for _, o := range s.orders {
		if stamp, is := o.(Stamp); is {
			s.lastSerial = stamp.Serial
		}
	}
	return s.lastSerial
}

// acknowledge schedules the acknowledgements of a message that was just written, unless they are lost.
func (s *scenarioRunner) acknowledge(serial SerialID) {
	if s.acksLost {
		return
	}
	at := s.now + 300
	for p := range s.joined {
		s.pendingAcks[at] = append(s.pendingAcks[at], Acknowledged{Proxy: p, Serial: serial, Latency: 300})
	}
	slices.SortStableFunc(s.pendingAcks[at], func(a, b Acknowledged) int { return int(a.Proxy - b.Proxy) })
}

// setSamples sets the regular samples of a host.
func (s *scenarioRunner) setSamples(id HostID, what string) {
	name := fmt.Sprint("met", id)
	if s.reports[name] = nil; what != "none" {
		f := strings.Split(what, "/")
		m := HostSample{Host: id, Period: s.reportInterval, MeanLatency: 200}
		m.Finished, m.Failed = int(parseNumber(f[0])), int(parseNumber(f[1]))
		if len(f) > 2 {
			utilization := parseNumber(f[2])
			m.Load.Utilization = &utilization
		}
		if len(f) > 3 {
			throughput := parseNumber(f[3])
			m.Load.Throughput = &throughput
		}
		if len(f) > 4 {
			m.MeanLatency = Millis(parseNumber(f[4]))
		}
		s.reports[name] = []any{m}
	}
}

// tick delivers what is due at the present time.
func (s *scenarioRunner) tick() {
	s.timers = slices.DeleteFunc(s.timers, func(at Millis) bool {
		if at <= s.now {
			s.events = append(s.events, TimerFired{})
		}
		return at <= s.now
	})
	for at := range s.pendingAcks {
		if at <= s.now {
			for _, a := range s.pendingAcks[at] {
				s.events = append(s.events, a)
				s.dropAcknowledged(a)
			}
			delete(s.pendingAcks, at)
		}
	}
	if s.nextAlive > 0 && s.now >= s.nextAlive {
		s.events = append(s.events, AckStreamAlive{})
		s.nextAlive = s.now + 1000
	}
	if s.now-s.lastReports >= s.reportInterval {
		s.lastReports = s.now
		for _, name := range sortedNames(s.reports) {
			s.events = append(s.events, s.reports[name]...)
		}
	}
	if len(s.events) > 0 {
		s.handle()
	}
}

func sortedNames(m map[string][]any) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// handle passes the pending events to the director and carries out its orders. It fails the test if a table loses its
// last usable host.
func (s *scenarioRunner) handle() {
	before := map[TableID]HostID{}
	for t := range s.tables {
		before[t] = s.mainHost(t)
	}
	orders := s.director.Handle(s.now, s.events)
	s.events = nil
	wrote := false
	for _, o := range orders {
		s.orders = append(s.orders, o)
		switch o := o.(type) {
		case SetLine:
			wrote = true
			if s.tables[o.Table] == nil || s.config.SingleOwner {
				s.tables[o.Table] = map[HostID]float64{}
			}
			if s.tables[o.Table][o.Host] = o.Weight; o.Weight == 0 {
				delete(s.tables[o.Table], o.Host)
			}
		case Mask:
			wrote = true
			s.masked[o.Host] = o.On
		case Throttle:
			wrote = true
			for r := range s.config.Routes {
				if o.Routes&(1<<r) != 0 {
					s.levels[fmt.Sprint(o.Table, ":", r)] = o
				}
			}
		case Bind:
			wrote = true
			s.bound[o.Proxy] = o.Table
		case SetTimer:
			s.timers = append(s.timers, s.now+o.Delay)
		case Stamp:
			m := message{o.Serial, s.config.MessageOverhead + float64(len(orders)-1)}
			s.sentWhileLost[o.Serial] = s.acksLost
			if s.isCut {
				s.waitingForChannel = append(s.waitingForChannel, m)
			} else {
				s.takeMessage(m)
			}
		case Resend:
			if s.sentWhileLost[o.Serial] { // the first one never reached the channel
				s.acknowledge(o.Serial)
			}
		}
	}
	sum := 0.0
	for _, all := range s.unacknowledged {
		for _, m := range all {
			sum += m.lines
		}
	}
	s.maxUnacknowledged = max(s.maxUnacknowledged, sum)
	if wrote && len(s.joined) > 0 {
		s.sentAt = append(s.sentAt, s.now)
	}
	for t := range s.tables {
		if len(s.offered(t)) == 0 && before[t] != 0 {
			s.t.Errorf("%s: table %d has no usable host at %v", s.position, t, s.now)
		}
		if before[t] != 0 && s.mainHost(t) != before[t] {
			s.movedSlices++
		}
	}
}

// playScenario runs a scenario file and returns all orders.
func playScenario(t *testing.T, path string) []Order {
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s := &scenarioRunner{t: t, tables: map[TableID]map[HostID]float64{}, masked: map[HostID]bool{},
		levels: map[string]Throttle{}, bound: map[ProxyID]TableID{}, joined: map[ProxyID]bool{},
		pendingAcks: map[Millis][]Acknowledged{},
		reports:     map[string][]any{}, reportInterval: 500, now: 100000}
	var all []Order
	for i, text := range strings.Split(string(text), "\n") {
		text, _, _ := strings.Cut(text, "#")
		s.position = fmt.Sprintf("%s:%d", filepath.Base(path), i+1)
		for _, step := range strings.Split(text, ";") {
			if words := strings.Fields(step); len(words) > 0 {
				s.perform(words)
				all = append(all, s.orders...)
			}
		}
	}
	return all
}

// Runs every scenario, and runs it a second time to guard against decisions that depend on more than the events: the
// same events must give the same orders.
func TestScenarios(t *testing.T) {
	paths, _ := filepath.Glob("scenarios/*.txt")
	if len(paths) == 0 {
		t.Fatal("no scenarios")
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			if first := playScenario(t, path); !t.Failed() && !reflect.DeepEqual(first, playScenario(t, path)) {
				t.Error("the same events gave other orders")
			}
		})
	}
}

// Guards against a leak: the memory of a director grows with its fleet and not with all hosts that it ever had.
func TestHostsThatAreGoneAreForgotten(t *testing.T) {
	d := New(1, Config{Slices: 8, LinesPerSecond: 8000, QueueLimit: 8000, MessageOverhead: 16, ReportInterval: 500,
		DrainGrace: 2000, Routes: []Route{{SLO: 1000, Importance: 1, Idempotency: Idempotent}}})
	now := Millis(100000)
	d.Handle(now, []any{ProxyJoined{Proxy: 0}, SliceOwnership{Slice: 0, Owned: true}})
	for n := range 500 {
		now += 1000
		d.Handle(now, []any{TimerFired{}, HostList{Kind: HostListFull,
			Entries: []HostEntry{{Host: HostID(n + 1), State: Up}, {Host: HostID(n + 2), State: Up}}}})
	}
	if held := d.hosts.len() + d.placer.hosts.len() + d.admitter.hosts.len(); held > 3*80 {
		t.Fatalf("%d entries of hosts are held after 500 hosts, two of them listed at a time", held)
	}
}

// Guards against admission levels that wait behind tables: what is left of the queue goes to levels first, and then to
// tables that can wait.
func TestLevelsGoBeforeTables(t *testing.T) {
	both := 0
	for _, path := range []string{"scenarios/overload.txt", "scenarios/cold-throttled.txt",
		"scenarios/cold-crowd.txt", "scenarios/tries.txt"} {
		levels, tables := false, false
		for _, o := range playScenario(t, path) {
			switch o.(type) {
			case Stamp:
				if levels && tables {
					both++
				}
				levels, tables = false, false
			case SetLine:
				tables = true
			case Throttle:
				if tables {
					t.Fatalf("%s: a level is written after tables", path)
				}
				levels = true
			}
		}
	}
	if both == 0 {
		t.Fatal("no message held both levels and tables")
	}
}
