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
type session struct {
	proxy      string
	id         SessionID
	doc        *tables.Document // what it may be told by now; nil: it is not let in yet
	base       *tables.Document // what it holds, where that is known
	ackedStep  tables.Step      // as the core was told
	ticket     Ticket           // of the poll that waits; 0: none
	origin     any
	deadline   logic.Millis
	lastAnswer logic.Millis // when it was answered last
	wantsDelta bool
	deferred   bool // its answer is due, and may not be given yet
	requested  bool // the core is asked for something newer
	timer      wheel.Timer[*session]
}

// Figures are counted for the operator.
type Stats struct {
	Sessions, Pending                       int
	Polls, Deltas, Full, Unchanged, Expired uint64
	Deferred                                uint64 // answers that waited for a removal to be let out
}

// Lot is one of a director's.
type Shard struct {
	config   Config
	view     *View
	sessions map[string]*session
	timers   *wheel.Wheel[*session]
	lastID   SessionID
	stride   SessionID
	deferred []*session // whose answers are due, and may not be given yet
	pending  int
	output   Output
	stats    Stats
}

// Said is what a lot has to say. It may be read until the lot is asked again.
type Output struct {
	Answers []Answer
	Events  []any
}

// tick is how late a poll's end may be.
const timerTick logic.Millis = 10

// NewLot makes the i-th of n.
func NewShard(i, n int, terms Config, now logic.Millis) *Shard {
	return &Shard{config: terms, view: &View{Closed: true, LeaseEnd: logic.Millis(math.Inf(1))}, sessions: map[string]*session{},
		timers: wheel.New[*session](timerTick, now), lastID: SessionID(i), stride: SessionID(n)}
}

// take gives what there is to say; its memory is used anew for what is said next, where it is little.
func (l *Shard) takeOutput() Output {
	out := l.output
	if l.output = (Output{}); cap(out.Answers)+cap(out.Events) <= 32 {
		l.output = Output{out.Answers[:0], out.Events[:0]}
	}
	return out
}

func (l *Shard) emit(o any) { l.output.Events = append(l.output.Events, o) }

// Knows says whether a proxy has joined: its poll is answered here, and does not cost the core anything.
func (l *Shard) HasJoined(proxy string) bool {
	s := l.sessions[proxy]
	return s != nil && s.doc != nil
}

// Poll takes a poll.
func (l *Shard) Poll(now logic.Millis, p Poll) Output {
	l.stats.Polls++
	if p.Zone != "" && !slices.Contains(l.config.Zones, p.Zone) {
		l.output.Answers = append(l.output.Answers, Answer{Ticket: p.Ticket, Origin: p.Origin, Kind: Invalid,
			Reason: "zone " + strconv.Quote(p.Zone) + " is not one of the settings"})
		return l.takeOutput()
	}
	s := l.sessions[p.Proxy]
	if s == nil {
		l.lastID += l.stride
		s = &session{proxy: p.Proxy, id: l.lastID}
		s.timer.Value = s
		l.sessions[p.Proxy] = s
		l.emit(JoinRequest{p, s.id})
	} else if s.ticket != 0 {
		// Its newer poll takes the place of the one that waits.
		l.answer(s, Answer{Kind: Replaced, Doc: s.base})
	}
	s.ticket, s.origin, s.wantsDelta, s.base, s.deferred = p.Ticket, p.Origin, p.WantsDelta, nil, false
	s.deadline = now + max(0, min(p.Wait, l.config.MaxWait))
	l.pending++
	for _, tag := range p.Held {
		if d := l.view.Bases[tag]; d != nil && (s.base == nil || d.Step > s.base.Step) {
			s.base = d
		}
	}
	holds := tables.Step(0)
	if s.base != nil {
		holds = s.base.Step
	}
	if holds != s.ackedStep {
		s.ackedStep = holds
		l.emit(Acknowledgement{s.proxy, s.id, holds})
	}
	l.timers.Set(&s.timer, s.deadline)
	l.tryAnswer(now, s)
	return l.takeOutput()
}

// Broke takes it that a poll's connection is gone: the proxy has left.
func (l *Shard) Disconnect(now logic.Millis, b Disconnected) Output {
	if s := l.sessions[b.Proxy]; s != nil && s.ticket == b.Ticket && b.Ticket != 0 {
		l.end(s, "broken")
	}
	return l.takeOutput()
}

// Told takes what the core says for single proxies.
func (l *Shard) Apply(now logic.Millis, in ...any) Output {
	for _, i := range in {
		switch i := i.(type) {
		case SetDocument:
			if s := l.sessions[i.Proxy]; s != nil && s.id == i.Session {
				s.requested = false
				if s.doc == nil || i.Doc.Step > s.doc.Step {
					s.doc = i.Doc
				}
				l.tryAnswer(now, s)
			}
		case RejectJoin:
			if s := l.sessions[i.Proxy]; s != nil && s.id == i.Session {
				if s.ticket != 0 {
					l.answer(s, Answer{Kind: i.Kind, Reason: i.Reason})
				}
				l.remove(s)
			}
		}
	}
	return l.takeOutput()
}

// See takes what all lots see from now on.
func (l *Shard) SetView(now logic.Millis, v *View) Output {
	was := l.view
	if l.view = v; v.Closed || now >= v.LeaseEnd {
		return l.takeOutput()
	}
	if now >= was.LeaseEnd || was.Closed { // what was held back
		all := l.deferred
		l.deferred = nil
		for _, s := range all {
			if s.deferred && l.sessions[s.proxy] == s {
				s.deferred = false
				l.tryAnswer(now, s)
			}
		}
	}
	return l.takeOutput()
}

// Turn ends polls that have waited as long as they asked for, and stays of proxies that poll no more.
func (l *Shard) Advance(now logic.Millis) Output {
	l.timers.Advance(now, func(t *wheel.Timer[*session]) {
		switch s := t.Value; {
		case s.ticket != 0 && now >= s.deadline+l.config.Lease && (s.deferred || s.doc == nil):
			l.answer(s, Answer{Kind: Busy, Reason: "this director can't tell yet, or its leases are over"})
			s.deferred, s.lastAnswer = false, now
			if s.doc == nil {
				l.end(s, "not let in")
				return
			}
			l.timers.Set(&s.timer, now+l.config.Lease)
		case s.ticket != 0:
			l.tryAnswer(now, s)
			if s.ticket != 0 { // it may not be answered yet
				l.timers.Set(&s.timer, max(now+timerTick, s.deadline+l.config.Lease))
			}
		default:
			l.stats.Expired++
			l.end(s, "no poll within the lease")
		}
	})
	return l.takeOutput()
}

// open decides what a poll gets now: what stands, or a place to wait.
func (l *Shard) tryAnswer(now logic.Millis, s *session) {
	if s.ticket == 0 || s.doc == nil || s.deferred {
		return
	}
	if s.base == s.doc && now < s.deadline {
		return
	}
	if l.view.Closed || now >= l.view.LeaseEnd {
		s.deferred = true
		l.deferred = append(l.deferred, s)
		l.stats.Deferred++
		return
	}
	if s.doc.Step < l.view.MinStep {
		if l.view.Shared == nil {
			if !s.requested {
				s.requested = true
				l.emit(DocumentRequest{s.proxy, s.id})
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
		l.stats.Unchanged++
	case s.base != nil && s.wantsDelta:
		if patch := s.doc.Delta(s.base); patch != nil {
			a.Kind, a.Base, a.Patch = Delta, s.base, patch
			l.stats.Deltas++
			break
		}
		fallthrough
	default:
		l.stats.Full++
	}
	l.answer(s, a)
	s.lastAnswer = now
	l.timers.Set(&s.timer, now+l.config.Lease)
}

func (l *Shard) answer(s *session, a Answer) {
	a.Ticket, a.Origin = s.ticket, s.origin
	s.ticket, s.origin = 0, nil
	l.pending--
	l.output.Answers = append(l.output.Answers, a)
}

func (l *Shard) end(s *session, why string) {
	l.emit(Left{s.proxy, s.id, why})
	l.remove(s)
}

func (l *Shard) remove(s *session) {
	if s.ticket != 0 {
		l.pending--
	}
	l.timers.Stop(&s.timer)
	delete(l.sessions, s.proxy)
}

// Figures are those of now.
func (l *Shard) Stats() Stats {
	f := l.stats
	f.Sessions, f.Pending = len(l.sessions), l.pending
	return f
}
