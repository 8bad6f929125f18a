package pollshard

import (
	"math"
	"slices"
	"strconv"

	"vetchwood/internal/tables"
	"vetchwood/internal/timerwheel"
	"vetchwood/logic"
)

// Config applies to all polls.
type Config struct {
	MaxWait logic.Millis // the longest that a poll may stay pending
	Lease   logic.Millis // a proxy that has not polled for this long has left
	Zones   []string     // zones that a proxy may name
}

// session is the state of a proxy that polls.
type session struct {
	proxy      string
	id         SessionID
	doc        *tables.Document // the document that it may get; nil: it has not joined yet
	base       *tables.Document // the document that it holds, if known
	ackedStep  tables.Step      // the version last reported to the core
	ticket     Ticket           // of the pending poll; 0: none
	origin     any
	deadline   logic.Millis // when the pending poll is answered even if nothing changed
	lastAnswer logic.Millis // when its last poll was answered
	wantsDelta bool
	deferred   bool // its answer is due but may not be given yet
	requested  bool // a newer document has been requested from the core
	timer      timerwheel.Timer[*session]
}

// Stats are counters of a shard for its operator.
type Stats struct {
	Sessions, Pending                       int
	Polls, Deltas, Full, Unchanged, Expired uint64
	Deferred                                uint64 // answers delayed by a removal or an ended lease
}

// Shard holds the sessions of a part of a director's proxies. It is not safe for concurrent use.
type Shard struct {
	config   Config
	view     *View
	sessions map[string]*session
	timers   *timerwheel.Wheel[*session]
	lastID   SessionID
	stride   SessionID
	deferred []*session // sessions whose answers are due but may not be given yet
	pending  int
	output   Output
	stats    Stats
}

// Output is what one call to a shard produced: answers to requests and events for the core. It is valid until the next
// call to the shard.
type Output struct {
	Answers []Answer
	Events  []any
}

// timerTick is the resolution of the timers in milliseconds, and so the longest delay that they add to a poll's deadline.
const timerTick logic.Millis = 10

// NewShard returns the i-th of n shards. Its view is closed until the core publishes the first one.
func NewShard(i, n int, config Config, now logic.Millis) *Shard {
	return &Shard{config: config, view: &View{Closed: true, LeaseEnd: logic.Millis(math.Inf(1))}, sessions: map[string]*session{},
		timers: timerwheel.New[*session](timerTick, now), lastID: SessionID(i), stride: SessionID(n)}
}

// takeOutput returns the collected output. Its memory is reused for the next output if it is small.
func (sh *Shard) takeOutput() Output {
	out := sh.output
	if sh.output = (Output{}); cap(out.Answers)+cap(out.Events) <= 32 {
		sh.output = Output{out.Answers[:0], out.Events[:0]}
	}
	return out
}

// emit adds an event for the core.
func (sh *Shard) emit(event any) { sh.output.Events = append(sh.output.Events, event) }

// HasJoined reports whether a proxy has joined. If so, its polls are answered by the shard without work for the core.
func (sh *Shard) HasJoined(proxy string) bool {
	s := sh.sessions[proxy]
	return s != nil && s.doc != nil
}

// Poll accepts a poll. It is answered at once if possible and stays pending otherwise.
func (sh *Shard) Poll(now logic.Millis, p Poll) Output {
	sh.stats.Polls++
	if p.Zone != "" && !slices.Contains(sh.config.Zones, p.Zone) {
		sh.output.Answers = append(sh.output.Answers, Answer{Ticket: p.Ticket, Origin: p.Origin, Kind: Invalid,
			Reason: "zone " + strconv.Quote(p.Zone) + " is not one of the settings"})
		return sh.takeOutput()
	}
	s := sh.sessions[p.Proxy]
	if s == nil {
		sh.lastID += sh.stride
		s = &session{proxy: p.Proxy, id: sh.lastID}
		s.timer.Value = s
		sh.sessions[p.Proxy] = s
		sh.emit(JoinRequest{p, s.id})
	} else if s.ticket != 0 {
		// The newer poll replaces the pending one.
		sh.answer(s, Answer{Kind: Replaced, Doc: s.base})
	}
	s.ticket, s.origin, s.wantsDelta, s.base, s.deferred = p.Ticket, p.Origin, p.WantsDelta, nil, false
	s.deadline = now + max(0, min(p.Wait, sh.config.MaxWait))
	sh.pending++
	for _, tag := range p.Held {
		if d := sh.view.Bases[tag]; d != nil && (s.base == nil || d.Step > s.base.Step) {
			s.base = d
		}
	}
	held := tables.Step(0)
	if s.base != nil {
		held = s.base.Step
	}
	if held != s.ackedStep {
		s.ackedStep = held
		sh.emit(Acknowledgement{s.proxy, s.id, held})
	}
	sh.timers.Set(&s.timer, s.deadline)
	sh.tryAnswer(now, s)
	return sh.takeOutput()
}

// Disconnect handles a closed connection: the proxy whose poll was pending on it has left.
func (sh *Shard) Disconnect(now logic.Millis, d Disconnected) Output {
	if s := sh.sessions[d.Proxy]; s != nil && s.ticket == d.Ticket && d.Ticket != 0 {
		sh.end(s, "broken")
	}
	return sh.takeOutput()
}

// Apply executes the core's commands for single proxies. Commands for sessions that have ended are ignored.
func (sh *Shard) Apply(now logic.Millis, in ...any) Output {
	for _, i := range in {
		switch i := i.(type) {
		case SetDocument:
			if s := sh.sessions[i.Proxy]; s != nil && s.id == i.Session {
				s.requested = false
				if s.doc == nil || i.Doc.Step > s.doc.Step {
					s.doc = i.Doc
				}
				sh.tryAnswer(now, s)
			}
		case RejectJoin:
			if s := sh.sessions[i.Proxy]; s != nil && s.id == i.Session {
				if s.ticket != 0 {
					sh.answer(s, Answer{Kind: i.Kind, Reason: i.Reason})
				}
				sh.remove(s)
			}
		}
	}
	return sh.takeOutput()
}

// SetView replaces the shared view and gives the answers that the previous view had deferred.
func (sh *Shard) SetView(now logic.Millis, v *View) Output {
	previous := sh.view
	if sh.view = v; v.Closed || now >= v.LeaseEnd {
		return sh.takeOutput()
	}
	if now >= previous.LeaseEnd || previous.Closed {
		deferred := sh.deferred
		sh.deferred = nil
		for _, s := range deferred {
			if s.deferred && sh.sessions[s.proxy] == s {
				s.deferred = false
				sh.tryAnswer(now, s)
			}
		}
	}
	return sh.takeOutput()
}

// Advance answers polls whose deadline has passed and ends the sessions of proxies that have stopped polling.
func (sh *Shard) Advance(now logic.Millis) Output {
	sh.timers.Advance(now, func(t *timerwheel.Timer[*session]) {
		switch s := t.Value; {
		case s.ticket != 0 && now >= s.deadline+sh.config.Lease && (s.deferred || s.doc == nil):
			sh.answer(s, Answer{Kind: Busy, Reason: "this director can't tell yet, or its leases are over"})
			s.deferred, s.lastAnswer = false, now
			if s.doc == nil {
				sh.end(s, "join not answered in time")
				return
			}
			sh.timers.Set(&s.timer, now+sh.config.Lease)
		case s.ticket != 0:
			sh.tryAnswer(now, s)
			if s.ticket != 0 { // it may not be answered yet
				sh.timers.Set(&s.timer, max(now+timerTick, s.deadline+sh.config.Lease))
			}
		default:
			sh.stats.Expired++
			sh.end(s, "no poll within the lease")
		}
	})
	return sh.takeOutput()
}

// tryAnswer answers a session's pending poll if it is due and allowed. Otherwise the poll stays pending, or is deferred
// until the next view.
func (sh *Shard) tryAnswer(now logic.Millis, s *session) {
	if s.ticket == 0 || s.doc == nil || s.deferred {
		return
	}
	if s.base == s.doc && now < s.deadline {
		return
	}
	if sh.view.Closed || now >= sh.view.LeaseEnd {
		s.deferred = true
		sh.deferred = append(sh.deferred, s)
		sh.stats.Deferred++
		return
	}
	if s.doc.Step < sh.view.MinStep {
		if sh.view.Shared == nil {
			if !s.requested {
				s.requested = true
				sh.emit(DocumentRequest{s.proxy, s.id})
			}
			return
		}
		s.doc = sh.view.Shared
	}
	a := Answer{Kind: Full, Doc: s.doc}
	if until := float64(sh.view.LeaseEnd); !math.IsInf(until, 1) {
		a.Lease = max(1, sh.view.LeaseEnd-now)
	}
	switch {
	case s.base == s.doc:
		a.Kind = Unchanged
		sh.stats.Unchanged++
	case s.base != nil && s.wantsDelta:
		if patch := s.doc.Delta(s.base); patch != nil {
			a.Kind, a.Base, a.Patch = Delta, s.base, patch
			sh.stats.Deltas++
			break
		}
		fallthrough
	default:
		sh.stats.Full++
	}
	sh.answer(s, a)
	s.lastAnswer = now
	sh.timers.Set(&s.timer, now+sh.config.Lease)
}

// answer completes the pending poll of a session.
func (sh *Shard) answer(s *session, a Answer) {
	a.Ticket, a.Origin = s.ticket, s.origin
	s.ticket, s.origin = 0, nil
	sh.pending--
	sh.output.Answers = append(sh.output.Answers, a)
}

// end ends a session and reports that the proxy has left.
func (sh *Shard) end(s *session, reason string) {
	sh.emit(Left{s.proxy, s.id, reason})
	sh.remove(s)
}

// remove deletes a session without an event for the core.
func (sh *Shard) remove(s *session) {
	if s.ticket != 0 {
		sh.pending--
	}
	sh.timers.Stop(&s.timer)
	delete(sh.sessions, s.proxy)
}

// Stats returns the present counters.
func (sh *Shard) Stats() Stats {
	s := sh.stats
	s.Sessions, s.Pending = len(sh.sessions), sh.pending
	return s
}
