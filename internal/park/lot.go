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
type Terms struct {
	LongestWait logic.Millis
	Lease       logic.Millis // without a poll for so long, a proxy has left
	Zones       []string     // that a proxy may name
}

// seat is a proxy's that polls.
type seat struct {
	proxy  string
	visit  Visit
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
type Figures struct {
	Seats, Parked                              int
	Polls, Deltas, Wholes, Unchangeds, Expired uint64
	Held                                       uint64 // answers that waited for a removal to be let out
}

// Lot is one of a director's.
type Lot struct {
	terms   Terms
	view    *View
	seats   map[string]*seat
	wheel   *wheel.Wheel[*seat]
	visits  Visit
	stride  Visit
	waiting []*seat // whose answers are due, and may not be given yet
	parked  int
	said    Said
	figures Figures
}

// Said is what a lot has to say. It may be read until the lot is asked again.
type Said struct {
	Answers []Answer
	Core    []any
}

// tick is how late a poll's end may be.
const tick logic.Millis = 10

// NewLot makes the i-th of n.
func NewLot(i, n int, terms Terms, now logic.Millis) *Lot {
	return &Lot{terms: terms, view: &View{Closed: true, Until: logic.Millis(math.Inf(1))}, seats: map[string]*seat{},
		wheel: wheel.New[*seat](tick, now), visits: Visit(i), stride: Visit(n)}
}

// take gives what there is to say; its memory is used anew for what is said next, where it is little.
func (l *Lot) take() Said {
	out := l.said
	if l.said = (Said{}); cap(out.Answers)+cap(out.Core) <= 32 {
		l.said = Said{out.Answers[:0], out.Core[:0]}
	}
	return out
}

func (l *Lot) say(o any) { l.said.Core = append(l.said.Core, o) }

// Knows says whether a proxy has joined: its poll is answered here, and does not cost the core anything.
func (l *Lot) Knows(proxy string) bool {
	s := l.seats[proxy]
	return s != nil && s.doc != nil
}

// Poll takes a poll.
func (l *Lot) Poll(now logic.Millis, p Poll) Said {
	l.figures.Polls++
	if p.Zone != "" && !slices.Contains(l.terms.Zones, p.Zone) {
		l.said.Answers = append(l.said.Answers, Answer{Ticket: p.Ticket, To: p.From, Kind: Wrong,
			Why: "zone " + strconv.Quote(p.Zone) + " is not one of the settings"})
		return l.take()
	}
	s := l.seats[p.Proxy]
	if s == nil {
		l.visits += l.stride
		s = &seat{proxy: p.Proxy, visit: l.visits}
		s.timer.Of = s
		l.seats[p.Proxy] = s
		l.say(Join{p, s.visit})
	} else if s.ticket != 0 {
		// Its newer poll takes the place of the one that waits.
		l.answer(s, Answer{Kind: Replaced, Doc: s.base})
	}
	s.ticket, s.from, s.delta, s.base, s.held = p.Ticket, p.From, p.WantsDelta, nil, false
	s.until = now + max(0, min(p.Wait, l.terms.LongestWait))
	l.parked++
	for _, tag := range p.Held {
		if d := l.view.Kept[tag]; d != nil && (s.base == nil || d.Step > s.base.Step) {
			s.base = d
		}
	}
	holds := tables.Step(0)
	if s.base != nil {
		holds = s.base.Step
	}
	if holds != s.holds {
		s.holds = holds
		l.say(Holds{s.proxy, s.visit, holds})
	}
	l.wheel.Set(&s.timer, s.until)
	l.open(now, s)
	return l.take()
}

// Broke takes it that a poll's connection is gone: the proxy has left.
func (l *Lot) Broke(now logic.Millis, b Broke) Said {
	if s := l.seats[b.Proxy]; s != nil && s.ticket == b.Ticket && b.Ticket != 0 {
		l.leave(s, "broken")
	}
	return l.take()
}

// Told takes what the core says for single proxies.
func (l *Lot) Told(now logic.Millis, in ...any) Said {
	for _, i := range in {
		switch i := i.(type) {
		case Tell:
			if s := l.seats[i.Proxy]; s != nil && s.visit == i.Visit {
				s.wants = false
				if s.doc == nil || i.Doc.Step > s.doc.Step {
					s.doc = i.Doc
				}
				l.open(now, s)
			}
		case Turned:
			if s := l.seats[i.Proxy]; s != nil && s.visit == i.Visit {
				if s.ticket != 0 {
					l.answer(s, Answer{Kind: i.Kind, Why: i.Why})
				}
				l.drop(s)
			}
		}
	}
	return l.take()
}

// See takes what all lots see from now on.
func (l *Lot) See(now logic.Millis, v *View) Said {
	was := l.view
	if l.view = v; v.Closed || now >= v.Until {
		return l.take()
	}
	if now >= was.Until || was.Closed { // what was held back
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
func (l *Lot) Turn(now logic.Millis) Said {
	l.wheel.Advance(now, func(t *wheel.Timer[*seat]) {
		switch s := t.Of; {
		case s.ticket != 0 && now >= s.until+l.terms.Lease && (s.held || s.doc == nil):
			l.answer(s, Answer{Kind: Busy, Why: "this director can't tell yet, or its leases are over"})
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
func (l *Lot) open(now logic.Millis, s *seat) {
	if s.ticket == 0 || s.doc == nil || s.held {
		return
	}
	if s.base == s.doc && now < s.until {
		return
	}
	if l.view.Closed || now >= l.view.Until {
		s.held = true
		l.waiting = append(l.waiting, s)
		l.figures.Held++
		return
	}
	if s.doc.Step < l.view.Floor {
		if l.view.Doc == nil {
			if !s.wants {
				s.wants = true
				l.say(Wants{s.proxy, s.visit})
			}
			return
		}
		s.doc = l.view.Doc
	}
	a := Answer{Kind: Whole, Doc: s.doc}
	if until := float64(l.view.Until); !math.IsInf(until, 1) {
		a.Lease = max(1, l.view.Until-now)
	}
	switch {
	case s.base == s.doc:
		a.Kind = Unchanged
		l.figures.Unchangeds++
	case s.base != nil && s.delta:
		if patch := s.doc.Delta(s.base); patch != nil {
			a.Kind, a.Base, a.Patch = Delta, s.base, patch
			l.figures.Deltas++
			break
		}
		fallthrough
	default:
		l.figures.Wholes++
	}
	l.answer(s, a)
	s.last = now
	l.wheel.Set(&s.timer, now+l.terms.Lease)
}

func (l *Lot) answer(s *seat, a Answer) {
	a.Ticket, a.To = s.ticket, s.from
	s.ticket, s.from = 0, nil
	l.parked--
	l.said.Answers = append(l.said.Answers, a)
}

func (l *Lot) leave(s *seat, why string) {
	l.say(Leaves{s.proxy, s.visit, why})
	l.drop(s)
}

func (l *Lot) drop(s *seat) {
	if s.ticket != 0 {
		l.parked--
	}
	l.wheel.Stop(&s.timer)
	delete(l.seats, s.proxy)
}

// Figures are those of now.
func (l *Lot) Figures() Figures {
	f := l.figures
	f.Seats, f.Parked = len(l.seats), l.parked
	return f
}
