package park

import (
	"math"
	"slices"
	"strconv"

	"vetchwood/internal/tables"
	"vetchwood/internal/wheel"
	"vetchwood/logic"
)

// Terms hold for all polls.
type Config struct {
	MaxWait logic.Millis
	Lease   logic.Millis // without a poll for so long, a proxy has left
	Zones   []string     // that a proxy may name
}

// seat is a proxy's that polls.
type seat struct {
	proxy  string
	visit  SessionID
	doc    *tables.Document // what it may be told by now; nil: it is not let in yet
	base   *tables.Document // what it holds, where that is known
	holds  tables.Step      // as the core was told
	ticket Ticket           // of the poll that waits; 0: none
	from   any
	until  logic.Millis
	last   logic.Millis // when it was answered last
	delta  bool
	held   bool // its answer is due, and may not be given yet
	wants  bool // the core is asked for something newer
	timer  wheel.Timer[*seat]
}

// Figures are counted for the operator.
type Stats struct {
	Sessions, Pending                       int
	Polls, Deltas, Full, Unchanged, Expired uint64
	Deferred                                uint64 // answers that waited for a removal to be let out
}

// Lot is one of a director's.
type Shard struct {
	terms   Config
	view    *View
	seats   map[string]*seat
	wheel   *wheel.Wheel[*seat]
	visits  SessionID
	stride  SessionID
	waiting []*seat // whose answers are due, and may not be given yet
	parked  int
	said    Output
	figures Stats
}

// Said is what a lot has to say. It may be read until the lot is asked again.
type Output struct {
	Answers []Answer
	Events  []any
}

// tick is how late a poll's end may be.
const tick logic.Millis = 10

// NewLot makes the i-th of n.
func NewShard(i, n int, terms Config, now logic.Millis) *Shard {
	return &Shard{terms: terms, view: &View{Closed: true, LeaseEnd: logic.Millis(math.Inf(1))}, seats: map[string]*seat{},
		wheel: wheel.New[*seat](tick, now), visits: SessionID(i), stride: SessionID(n)}
}

// take gives what there is to say; its memory is used anew for what is said next, where it is little.
func (l *Shard) take() Output {
	out := l.said
	if l.said = (Output{}); cap(out.Answers)+cap(out.Events) <= 32 {
		l.said = Output{out.Answers[:0], out.Events[:0]}
	}
	return out
}

func (l *Shard) say(o any) { l.said.Events = append(l.said.Events, o) }

// Knows says whether a proxy has joined: its poll is answered here, and does not cost the core anything.
func (l *Shard) HasJoined(proxy string) bool {
	s := l.seats[proxy]
	return s != nil && s.doc != nil
}

// Poll takes a poll.
func (l *Shard) Poll(now logic.Millis, p Poll) Output {
	l.figures.Polls++
	if p.Zone != "" && !slices.Contains(l.terms.Zones, p.Zone) {
		l.said.Answers = append(l.said.Answers, Answer{Ticket: p.Ticket, Origin: p.Origin, Kind: Invalid,
			Reason: "zone " + strconv.Quote(p.Zone) + " is not one of the settings"})
		return l.take()
	}
	s := l.seats[p.Proxy]
	if s == nil {
		l.visits += l.stride
		s = &seat{proxy: p.Proxy, visit: l.visits}
		s.timer.Value = s
		l.seats[p.Proxy] = s
		l.say(JoinRequest{p, s.visit})
	} else if s.ticket != 0 {
		// Its newer poll takes the place of the one that waits.
		l.answer(s, Answer{Kind: Replaced, Doc: s.base})
	}
	s.ticket, s.from, s.delta, s.base, s.held = p.Ticket, p.Origin, p.WantsDelta, nil, false
	s.until = now + max(0, min(p.Wait, l.terms.MaxWait))
	l.parked++
	for _, tag := range p.Held {
		if d := l.view.Bases[tag]; d != nil && (s.base == nil || d.Step > s.base.Step) {
			s.base = d
		}
	}
	holds := tables.Step(0)
	if s.base != nil {
		holds = s.base.Step
	}
	if holds != s.holds {
		s.holds = holds
		l.say(Acknowledgement{s.proxy, s.visit, holds})
	}
	l.wheel.Set(&s.timer, s.until)
	l.open(now, s)
	return l.take()
}

// Broke takes it that a poll's connection is gone: the proxy has left.
func (l *Shard) Disconnect(now logic.Millis, b Disconnected) Output {
	if s := l.seats[b.Proxy]; s != nil && s.ticket == b.Ticket && b.Ticket != 0 {
		l.leave(s, "broken")
	}
	return l.take()
}

// Told takes what the core says for single proxies.
func (l *Shard) Apply(now logic.Millis, in ...any) Output {
	for _, i := range in {
		switch i := i.(type) {
		case SetDocument:
			if s := l.seats[i.Proxy]; s != nil && s.visit == i.Session {
				s.wants = false
				if s.doc == nil || i.Doc.Step > s.doc.Step {
					s.doc = i.Doc
				}
				l.open(now, s)
			}
		case RejectJoin:
			if s := l.seats[i.Proxy]; s != nil && s.visit == i.Session {
				if s.ticket != 0 {
					l.answer(s, Answer{Kind: i.Kind, Reason: i.Reason})
				}
				l.drop(s)
			}
		}
	}
	return l.take()
}

// See takes what all lots see from now on.
func (l *Shard) SetView(now logic.Millis, v *View) Output {
	was := l.view
	if l.view = v; v.Closed || now >= v.LeaseEnd {
		return l.take()
	}
	if now >= was.LeaseEnd || was.Closed { // what was held back
		all := l.waiting
		l.waiting = nil
		for _, s := range all {
			if s.held && l.seats[s.proxy] == s {
				s.held = false
				l.open(now, s)
			}
		}
	}
	return l.take()
}

// Turn ends polls that have waited as long as they asked for, and stays of proxies that poll no more.
func (l *Shard) Advance(now logic.Millis) Output {
	l.wheel.Advance(now, func(t *wheel.Timer[*seat]) {
		switch s := t.Value; {
		case s.ticket != 0 && now >= s.until+l.terms.Lease && (s.held || s.doc == nil):
			l.answer(s, Answer{Kind: Busy, Reason: "this director can't tell yet, or its leases are over"})
			s.held, s.last = false, now
			if s.doc == nil {
				l.leave(s, "not let in")
				return
			}
			l.wheel.Set(&s.timer, now+l.terms.Lease)
		case s.ticket != 0:
			l.open(now, s)
			if s.ticket != 0 { // it may not be answered yet
				l.wheel.Set(&s.timer, max(now+tick, s.until+l.terms.Lease))
			}
		default:
			l.figures.Expired++
			l.leave(s, "no poll within the lease")
		}
	})
	return l.take()
}

// open decides what a poll gets now: what stands, or a place to wait.
func (l *Shard) open(now logic.Millis, s *seat) {
	if s.ticket == 0 || s.doc == nil || s.held {
		return
	}
	if s.base == s.doc && now < s.until {
		return
	}
	if l.view.Closed || now >= l.view.LeaseEnd {
		s.held = true
		l.waiting = append(l.waiting, s)
		l.figures.Deferred++
		return
	}
	if s.doc.Step < l.view.MinStep {
		if l.view.Shared == nil {
			if !s.wants {
				s.wants = true
				l.say(DocumentRequest{s.proxy, s.visit})
			}
			return
		}
		s.doc = l.view.Shared
	}
	a := Answer{Kind: Full, Doc: s.doc}
	if until := float64(l.view.LeaseEnd); !math.IsInf(until, 1) {
		a.Lease = max(1, l.view.LeaseEnd-now)
	}
	switch {
	case s.base == s.doc:
		a.Kind = Unchanged
		l.figures.Unchanged++
	case s.base != nil && s.delta:
		if patch := s.doc.Delta(s.base); patch != nil {
			a.Kind, a.Base, a.Patch = Delta, s.base, patch
			l.figures.Deltas++
			break
		}
		fallthrough
	default:
		l.figures.Full++
	}
	l.answer(s, a)
	s.last = now
	l.wheel.Set(&s.timer, now+l.terms.Lease)
}

func (l *Shard) answer(s *seat, a Answer) {
	a.Ticket, a.Origin = s.ticket, s.from
	s.ticket, s.from = 0, nil
	l.parked--
	l.said.Answers = append(l.said.Answers, a)
}

func (l *Shard) leave(s *seat, why string) {
	l.say(Left{s.proxy, s.visit, why})
	l.drop(s)
}

func (l *Shard) drop(s *seat) {
	if s.ticket != 0 {
		l.parked--
	}
	l.wheel.Stop(&s.timer)
	delete(l.seats, s.proxy)
}

// Figures are those of now.
func (l *Shard) Stats() Stats {
	f := l.figures
	f.Sessions, f.Pending = len(l.seats), l.parked
	return f
}
