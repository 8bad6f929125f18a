package logic

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// stage plays one scenario: it stands in for the store, the proxies and the clock, nothing more. The notation
// is told in scenarios/README.md.
type stage struct {
	t        *testing.T
	where    string
	facts    Config
	d        *Director
	now      Millis
	notes    []any
	due      []Millis
	tables   map[TableID]map[HostID]float64
	masked   map[HostID]bool
	levels   map[string]Throttle
	bound    map[ProxyID]TableID
	joined   map[ProxyID]bool
	acks     map[Millis][]Acknowledged
	feeds    map[string][]any
	every    Millis
	lastFeed Millis
	sent     []Millis
	last     SerialID
	deaf     bool
	alive    Millis            // when the next sign of life of the news comes; 0: none does
	unheard  map[SerialID]bool // stamps written while proxies were deaf
	orders   []Order
	moved    int
	written  map[ProxyID][]message // what each proxy has not owned up to, in its order
	waiting  float64               // most lines of these since the mark
}

type message struct {
	serial SerialID
	lines  float64
}

// owned takes off what a proxy has applied.
func (s *stage) owned(a Acknowledged) {
	for i, m := range s.written[a.Proxy] {
		if m.serial == a.Serial {
			s.written[a.Proxy] = s.written[a.Proxy][i+1:]
			return
		}
	}
}

func number(s string) float64 {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		panic("not a number: " + s)
	}
	return f
}

// pairs reads a:b and a-z:b words.
func pairs(words []string) (out [][2]float64) {
	for _, w := range words {
		a, b, _ := strings.Cut(w, ":")
		first, last, many := strings.Cut(a, "-")
		if !many {
			last = first
		}
		for n := number(first); n <= number(last); n++ {
			out = append(out, [2]float64{n, number(b)})
		}
	}
	return out
}

func (s *stage) setFacts(words []string) {
	s.facts = Config{Directors: 1, Slices: 8, QueueLimit: 5000, MessageOverhead: 10, LinesPerSecond: 5000,
		ColdCapacity: 0.2, ColdOverloadLimit: 3,
		WarmAfter: 15000, ColdFailAfter: 2000, DrainGrace: 2000, Transit: 200, WorstTransit: 500,
		MessageWindow: 10000, ReportInterval: 500, Levels: LevelShare, WriteLease: 2500, WriteSettle: 4000,
		Routes: []Route{{SLO: 1000, Importance: 1, Idempotency: Idempotent},
			{SLO: 1000, Importance: 3, Idempotency: NonIdempotent, IsWrite: true}}}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		switch k {
		case "slices":
			s.facts.Slices = int(number(v))
		case "messages":
			s.facts.MessageLimit = int(number(v))
		case "queue":
			s.facts.QueueLimit = number(v)
		case "pace":
			s.facts.LinesPerSecond = number(v)
		case "transit":
			s.facts.Transit = Millis(number(v))
		case "weighted":
			s.facts.Weighted = true
		case "owner":
			s.facts.SingleOwner = true
		case "ask":
			s.facts.HostListOnRequest = true
		case "probe":
			s.facts.MayProbe = true
		case "advice":
			s.facts.RemovalIsAdvisory = true
		case "keyed":
			s.facts.Routes[1].Idempotency = IdempotentByKey
		case "shared":
			s.facts.Directors = 2
		case "ownzone":
			s.facts.Routes[0].OwnZone = true
		default:
			panic("no such fact: " + k)
		}
	}
	s.d = New(7, s.facts)
	s.written, s.alive, s.deaf = map[ProxyID][]message{}, 0, false
	s.unheard = map[SerialID]bool{}
}

func (s *stage) do(words []string) {
	switch rest := words[1:]; words[0] {
	case "facts":
		s.setFacts(rest)
	case "list", "whole", "disk":
		kind := map[string]HostListKind{"list": HostListDelta, "whole": HostListFull, "disk": HostListFromDisk}[words[0]]
		r := HostList{Kind: kind}
		for _, w := range rest { // host=state[@born][/zone][*weight], a cell a host
			id, state, _ := strings.Cut(w, "=")
			state, weight, has := strings.Cut(state, "*")
			e := HostEntry{Host: HostID(number(id)), Weight: 1}
			if e.Cell = CellID(e.Host); has {
				e.Weight = number(weight)
			}
			if before, zone, has := strings.Cut(state, "/"); has {
				state, e.Zone = before, ZoneID(number(zone))
			}
			if before, born, has := strings.Cut(state, "@"); has {
				state, e.StartedAt = before, Millis(number(born))
			}
			e.State = map[string]HostState{"up": Up, "draining": Draining, "gone": Gone}[state]
			r.Entries = append(r.Entries, e)
		}
		s.notes = append(s.notes, r)
	case "even": // hosts 1 to this, slices in equal blocks, each with the next host as its standby
		n := int(number(rest[0]))
		var all []string
		for i := range n {
			all = append(all, fmt.Sprint(i+1, "=up"))
		}
		s.do(append([]string{"disk"}, all...))
		for t := range s.facts.Slices {
			h := t * n / s.facts.Slices
			s.do([]string{"give", fmt.Sprint(t), fmt.Sprint(h+1, ":1"), fmt.Sprint((h+1)%n+1, ":0.06")})
		}
	case "refused":
		s.notes = append(s.notes, HostList{Kind: HostListFailed})
	case "give":
		for _, w := range strings.Split(rest[0], ",") {
			t := TableID(number(w))
			s.notes = append(s.notes, SliceOwnership{t, true})
			s.tables[t] = map[HostID]float64{}
			for _, p := range pairs(rest[1:]) {
				s.notes = append(s.notes, StoredLine{t, HostID(p[0]), p[1]})
				s.tables[t][HostID(p[0])] = p[1]
			}
		}
	case "take":
		s.notes = append(s.notes, SliceOwnership{TableID(number(rest[0])), false})
		delete(s.tables, TableID(number(rest[0])))
	case "join":
		for _, w := range rest {
			s.notes = append(s.notes, ProxyJoined{Proxy: ProxyID(number(w)), Rate: 5})
			s.joined[ProxyID(number(w))] = true
		}
	case "left":
		p := ProxyID(number(rest[0]))
		s.notes = append(s.notes, ProxyLeft{p})
		delete(s.joined, p)
		delete(s.bound, p)
		delete(s.written, p)
	case "heat", "asked": // calls of route 0 in each report
		s.feeds[words[0]] = nil
		for _, p := range pairs(rest) {
			var n any = SliceDemand{Slice: TableID(p[0]), Period: s.every, Calls: int(p[1])}
			if words[0] == "asked" {
				n = RouteDemand{Proxy: ProxyID(p[0]), Period: s.every, Calls: int(p[1])}
			}
			s.feeds[words[0]] = append(s.feeds[words[0]], n)
		}
	case "met": // host:ended/lost/busy[/rate[/spent]]; none: nothing is heard of the host
		ids, what, _ := strings.Cut(rest[0], ":")
		for _, p := range pairs([]string{ids + ":0"}) {
			s.met(HostID(p[0]), what)
		}
	case "probed": // host, good or bad
		s.notes = append(s.notes, ProbeResult{Host: HostID(number(rest[0])), Latency: 5, Healthy: rest[1] == "good"})
	case "masked": // a mask of an earlier start
		s.masked[HostID(number(rest[0]))] = true
		s.notes = append(s.notes, InheritedMask{HostID(number(rest[0]))})
	case "unsure": // whether the channel took the last reply
		for _, o := range s.orders {
			if stamp, is := o.(Stamp); is {
				s.last = stamp.Serial
			}
		}
		s.notes = append(s.notes, Unconfirmed{s.last})
	case "alive": // what brings acknowledgements shows a sign of life each second from now on
		s.alive = s.now
	case "deaf": // proxies own up to nothing any more
		s.deaf = true
	case "hears": // they do again
		s.deaf = false
	case "run":
		s.handle()
		for end := s.now + Millis(number(rest[0])); s.now < end; {
			s.now += 50
			s.tick()
		}
	case "now":
		s.handle()
	case "restart":
		s.d, s.due, s.notes = New(8, s.facts), nil, nil
		clear(s.acks)
	case "mark":
		s.moved, s.orders, s.sent, s.waiting = 0, nil, nil, 0
	case "expect":
		for _, e := range strings.Split(strings.Join(rest, " "), ", ") {
			s.expect(strings.Fields(e))
		}
	default:
		panic("no such word: " + words[0])
	}
}

// acknowledge has proxies own up to a message that was just written, unless they are deaf.
func (s *stage) acknowledge(serial SerialID) {
	if s.deaf {
		return
	}
	at := s.now + 300
	for p := range s.joined {
		s.acks[at] = append(s.acks[at], Acknowledged{Proxy: p, Serial: serial, Latency: 300})
	}
	slices.SortStableFunc(s.acks[at], func(a, b Acknowledged) int { return int(a.Proxy - b.Proxy) })
}

func (s *stage) met(id HostID, what string) {
	name := fmt.Sprint("met", id)
	if s.feeds[name] = nil; what != "none" {
		f := strings.Split(what, "/")
		m := HostSample{Host: id, Period: s.every, MeanLatency: 200}
		m.Finished, m.Failed = int(number(f[0])), int(number(f[1]))
		if len(f) > 2 {
			busy := number(f[2])
			m.Load.Utilization = &busy
		}
		if len(f) > 3 {
			rate := number(f[3])
			m.Load.Throughput = &rate
		}
		if len(f) > 4 {
			m.MeanLatency = Millis(number(f[4]))
		}
		s.feeds[name] = []any{m}
	}
}

func (s *stage) tick() {
	s.due = slices.DeleteFunc(s.due, func(at Millis) bool {
		if at <= s.now {
			s.notes = append(s.notes, TimerFired{})
		}
		return at <= s.now
	})
	for at := range s.acks {
		if at <= s.now {
			for _, a := range s.acks[at] {
				s.notes = append(s.notes, a)
				s.owned(a)
			}
			delete(s.acks, at)
		}
	}
	if s.alive > 0 && s.now >= s.alive {
		s.notes = append(s.notes, AckStreamAlive{})
		s.alive = s.now + 1000
	}
	if s.now-s.lastFeed >= s.every {
		s.lastFeed = s.now
		for _, name := range keysOf(s.feeds) {
			s.notes = append(s.notes, s.feeds[name]...)
		}
	}
	if len(s.notes) > 0 {
		s.handle()
	}
}

func keysOf(m map[string][]any) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// offers is what a table offers to proxies.
func (s *stage) offers(t TableID) map[HostID]float64 {
	open := maps.Clone(s.tables[t])
	maps.DeleteFunc(open, func(id HostID, _ float64) bool { return s.masked[id] })
	return open
}

// main is the host with the most weight in a table.
func (s *stage) main(t TableID) (best HostID) {
	open := s.offers(t)
	for id, w := range open {
		if w > open[best] {
			best = id
		}
	}
	return best
}

func (s *stage) handle() {
	before := map[TableID]HostID{}
	for t := range s.tables {
		before[t] = s.main(t)
	}
	orders := s.d.Handle(s.now, s.notes)
	s.notes = nil
	wrote := false
	for _, o := range orders {
		s.orders = append(s.orders, o)
		switch o := o.(type) {
		case SetLine:
			wrote = true
			if s.tables[o.Table] == nil || s.facts.SingleOwner {
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
			for r := range s.facts.Routes {
				if o.Routes&(1<<r) != 0 {
					s.levels[fmt.Sprint(o.Table, ":", r)] = o
				}
			}
		case Bind:
			wrote = true
			s.bound[o.Proxy] = o.Table
		case SetTimer:
			s.due = append(s.due, s.now+o.Delay)
		case Stamp:
			for p := range s.joined {
				s.written[p] = append(s.written[p], message{o.Serial, s.facts.MessageOverhead + float64(len(orders)-1)})
			}
			s.unheard[o.Serial] = s.deaf
			s.acknowledge(o.Serial)
		case Resend:
			if s.unheard[o.Serial] { // the first never reached the channel
				s.acknowledge(o.Serial)
			}
		}
	}
	sum := 0.0
	for _, all := range s.written {
		for _, m := range all {
			sum += m.lines
		}
	}
	s.waiting = max(s.waiting, sum)
	if wrote && len(s.joined) > 0 {
		s.sent = append(s.sent, s.now)
	}
	for t := range s.tables {
		if len(s.offers(t)) == 0 && before[t] != 0 {
			s.t.Errorf("%s: table %d is bare at %v", s.where, t, s.now)
		}
		if before[t] != 0 && s.main(t) != before[t] {
			s.moved++
		}
	}
}

// load is the weight of a host over all tables, in whole slices.
func (s *stage) load(id HostID) (sum float64) {
	for t := range s.tables {
		lines, whole := s.offers(t), 0.0
		for _, w := range lines {
			whole += w
		}
		sum += lines[id] / max(whole, 1e-9)
	}
	return sum
}

func (s *stage) most(span Millis) (most int) {
	for i, at := range s.sent {
		n := 0
		for _, x := range s.sent[:i+1] {
			if at-x < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// expect compares: a quantity, then is, over or under, then a number.
func (s *stage) expect(w []string) {
	var got float64
	switch w[0] {
	case "main": // of a table
		got = float64(s.main(TableID(number(w[1]))))
	case "weight": // of a line: table host
		got = s.offers(TableID(number(w[1])))[HostID(number(w[2]))]
	case "lines": // of a table
		got = float64(len(s.offers(TableID(number(w[1])))))
	case "load": // of a host
		got = s.load(HostID(number(w[1])))
	case "moved":
		got = float64(s.moved)
	case "messages": // most within a span
		got = float64(s.most(Millis(number(w[1]))))
	case "waiting": // most lines that proxies had not owned up to
		got = s.waiting
	case "level": // table route
		got = s.levels[w[1]+":"+w[2]].Level
	case "tries":
		got = float64(s.levels[w[1]+":"+w[2]].Retries)
	case "bound":
		got = float64(s.bound[ProxyID(number(w[1]))])
	case "orders": // of a kind
		for _, o := range s.orders {
			if strings.HasSuffix(fmt.Sprintf("%T", o), "."+w[1]) {
				got++
			}
		}
	default:
		panic("nothing to expect of " + w[0])
	}
	want := number(w[len(w)-1])
	if ok := map[string]bool{"is": got == want, "over": got > want, "under": got < want}[w[len(w)-2]]; !ok {
		s.t.Errorf("%s: %s: got %v at %v", s.where, strings.Join(w, " "), got, s.now)
	}
}

func play(t *testing.T, path string) []Order {
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s := &stage{t: t, tables: map[TableID]map[HostID]float64{}, masked: map[HostID]bool{},
		levels: map[string]Throttle{}, bound: map[ProxyID]TableID{}, joined: map[ProxyID]bool{}, acks: map[Millis][]Acknowledged{},
		feeds: map[string][]any{}, every: 500, now: 100000}
	var all []Order
	for i, text := range strings.Split(string(text), "\n") {
		text, _, _ := strings.Cut(text, "#")
		s.where = fmt.Sprintf("%s:%d", filepath.Base(path), i+1)
		for _, step := range strings.Split(text, ";") {
			if words := strings.Fields(step); len(words) > 0 {
				s.do(words)
				all = append(all, s.orders...)
			}
		}
	}
	return all
}

// Every scenario is played twice: the same notes must give the same orders.
func TestScenarios(t *testing.T) {
	paths, _ := filepath.Glob("scenarios/*.txt")
	if len(paths) == 0 {
		t.Fatal("no scenarios")
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			if first := play(t, path); !t.Failed() && !reflect.DeepEqual(first, play(t, path)) {
				t.Error("the same notes gave other orders")
			}
		})
	}
}

// What a director holds grows with its fleet, and not with the hosts that it ever had.
func TestHostsThatAreGoneAreForgotten(t *testing.T) {
	d := New(1, Config{Slices: 8, LinesPerSecond: 8000, QueueLimit: 8000, MessageOverhead: 16, ReportInterval: 500, DrainGrace: 2000,
		Routes: []Route{{SLO: 1000, Importance: 1, Idempotency: Idempotent}}})
	now := Millis(100000)
	d.Handle(now, []any{ProxyJoined{Proxy: 0}, SliceOwnership{Slice: 0, Owned: true}})
	for n := range 500 {
		now += 1000
		d.Handle(now, []any{TimerFired{}, HostList{Kind: HostListFull, Entries: []HostEntry{{Host: HostID(n + 1), State: Up}, {Host: HostID(n + 2), State: Up}}}})
	}
	if held := d.hosts.len() + d.place.seats.len() + d.gate.seats.len(); held > 3*80 {
		t.Fatalf("%d hosts are held after 500, of which two at a time were there", held)
	}
}

// Levels go before tables that can wait: what is left of the queue is theirs first.
func TestLevelsGoBeforeTables(t *testing.T) {
	both := 0
	for _, path := range []string{"scenarios/overload.txt", "scenarios/cold-throttled.txt", "scenarios/cold-crowd.txt", "scenarios/tries.txt"} {
		levels, tables := false, false
		for _, o := range play(t, path) {
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
					t.Fatalf("%s: a level behind tables", path)
				}
				levels = true
			}
		}
	}
	if both == 0 {
		t.Fatal("no message bore both")
	}
}
