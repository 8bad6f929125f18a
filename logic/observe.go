package logic

import "math"

// What operators are told of the decisions: changes of hosts as they happen, and a report of the present state.
// Nothing here decides, and nothing that decides reads it.

// Condition is how a host stands with the director.
type Condition int

const (
	Unlisted Condition = iota
	Unproven           // listed, but it has yet to answer
	Serving
	Resting // jammed, masked for a moment
	Removed // judged unfit
	OnTrial // removed before, and given a few calls again
	Drained // the list says that it drains or is gone
)

var conditionNames = [...]string{"unlisted", "unproven", "serving", "resting", "removed", "on trial", "drained"}

func (c Condition) String() string { return conditionNames[c] }

// Reason is why a host's condition changed.
type Reason int

const (
	ReasonList    Reason = iota // the list says so
	ReasonRestart               // the list tells of a new start
	ReasonAnswer                // it answered for the first time
	ReasonFailing
	ReasonSilent
	ReasonJammed
	ReasonTrialDue
	ReasonRecovered
	ReasonRested
)

var reasonNames = [...]string{"list", "restart", "answer", "failing", "silent", "jammed", "trial due", "recovered",
	"rested"}

func (r Reason) String() string { return reasonNames[r] }

// HostChange is a change of a host's condition, with what was known of it then.
type HostChange struct {
	Host                            HostID
	From, To                        Condition
	Reason                          Reason
	TriesPerSecond, FailedPerSecond float64 // tries a second, lately
	Utilization                     float64
	HasReports                      bool    // whether it was reported on since it entered its state
	SinceReport                     Millis  // since the last report of it, if it was heard
	ExpectedPerSecond               float64 // calls a second that standing tables bring it
}

// LoadReport is what admission reckons with, and what it has come to.
type LoadReport struct {
	Calls, Admitted, Unanswered float64 // calls a second that came, were let in, and were let in and got no answer
	Demand, Capacity, Tries     float64 // a second, as reckoned
	Utilization, Loss           float64
	AnswerTime                  Millis    // mean of the answers at hosts
	Outstanding                 float64   // calls that hosts hold at a time
	Queued                      float64   // those of them that wait, as reckoned
	Levels                      []float64 // by route, as wanted
	WrittenLevels               []float64 // by route, as last written; nil: unknown
	WrittenAge                  Millis    // since they were
	SaturatedHosts              int       // hosts in use that report full work
	HostsInUse                  int
}

// HostReport is one host in a Report.
type HostReport struct {
	Host                         HostID
	Condition                    Condition
	Cold                         bool
	ColdFor                      Millis // still
	AssignedLoad, Share, MaxLoad float64
	Tries, Loss                  float64
	Utilization, Capacity        float64
	AnswerTime                   Millis
	Tables                       int // that name it
}

// Report is the state of the decisions at one moment.
type Report struct {
	Hosts                                                   []HostReport
	Demand, Capacity, Pressure, DemandPressure, Utilization float64
	Loss                                                    float64
	Levels                                                  []float64 // by route, as wanted
	Retries                                                 []int     // further tries by route, as wanted
	LevelsPublished                                         bool      // and as last written
	PendingTables                                           int
	OldestPending                                           Millis
	QueuedLines, UnacknowledgedLines                        float64
	UnacknowledgedMessages                                  int // that some proxy has not acknowledged
	ChannelResets                                           int // times that messages were let go which nobody acknowledged
	Masked                                                  int
}

// Changes are the changes of hosts in the last call of Handle.
func (d *Director) Changes() []HostChange { return d.hostChanges }

// Report tells the present state.
func (d *Director) Report() Report {
	g, p := d.gate, d.publish
	r := Report{Demand: g.demand, Capacity: g.capacity, Levels: p.levels.level, Retries: p.levels.tries,
		Pressure: g.around.pressure, DemandPressure: g.around.demandPressure, Utilization: g.around.utilization, Loss: g.around.loss,
		LevelsPublished: !p.relevels(), PendingTables: p.wants.len()}
	for _, w := range p.wants.all() {
		r.OldestPending = max(r.OldestPending, d.now-w.at)
	}
	r.QueuedLines, r.UnacknowledgedLines = p.waiting()
	r.UnacknowledgedMessages, r.ChannelResets = len(p.flights), p.silences
	for _, out := range p.masked.all() {
		r.Masked += int(bit(out, 0))
	}
	tables := map[HostID]int{}
	for _, t := range p.stands.all() {
		for _, l := range t {
			tables[l.host]++
		}
	}
	for id, h := range d.hosts.all() {
		if s := d.place.seats.get(id); s != nil && h.hasEntry && (h.entry.State == Up || tables[id] > 0) {
			r.Hosts = append(r.Hosts, HostReport{Host: id, Condition: h.condition(), Cold: s.cold,
				ColdFor: max(0, h.coldUntil-d.now), AssignedLoad: s.load, Share: s.share, MaxLoad: s.bears, Tries: s.tryRate,
				Loss: s.loss, Utilization: s.utilization, Capacity: s.capacity, AnswerTime: Millis(s.latency), Tables: tables[id]})
		}
	}
	return r
}

// Load tells what admission reckons with.
func (d *Director) Load() LoadReport {
	g, p := d.gate, d.publish
	r := LoadReport{Demand: g.demand, Capacity: g.capacity, Utilization: g.around.utilization, Loss: g.around.loss, Queued: g.waiting,
		Levels: p.levels.level, WrittenLevels: p.stood.level, WrittenAge: d.now - p.stoodAt}
	for route := range g.asked {
		calls := g.asked[route].rate(d.now, admissionHalfLife, 0)
		r.Calls += calls
		r.Unanswered += g.unanswered[route].rate(d.now, admissionHalfLife, 0)
		if part := 1.0; p.stood.level != nil && g.params.levels == LevelShare {
			part = min(part, p.stood.level[route])
			r.Admitted += calls * part
		}
	}
	answers := 0.0
	for _, s := range g.seats.all() {
		if !s.usable {
			continue
		}
		good := s.tryRate * (1 - s.loss)
		r.HostsInUse, r.Tries, answers = r.HostsInUse+1, r.Tries+s.tryRate, answers+good
		r.Outstanding += good * s.latency / 1000
		r.SaturatedHosts += int(bit(s.utilization > saturatedUtilization, 0))
	}
	r.AnswerTime = Millis(r.Outstanding * 1000 / max(answers, 0.1))
	return r
}

func (h *host) condition() Condition {
	switch {
	case !h.hasEntry:
		return Unlisted
	case h.entry.State != Up:
		return Drained
	case h.isUnproven():
		return Unproven
	case h.state == removed:
		return Removed
	case h.state == onTrial:
		return OnTrial
	case h.now < h.restUntil:
		return Resting
	}
	return Serving
}

// changed notes a host's condition if it is another than the one last noted.
func (h *host) recordChange(why Reason) {
	to := h.condition()
	if to == h.lastCondition {
		return
	}
	perSecond := 1000 * math.Ln2 / float64(h.params.health) // of a decaying sum
	h.hostChanges = append(h.hostChanges, HostChange{Host: h.id, From: h.lastCondition, To: to, Reason: why,
		TriesPerSecond:  h.finished.read(h.now, h.params.health) * perSecond,
		FailedPerSecond: h.failed.read(h.now, h.params.health) * perSecond,
		Utilization:     h.utilization, HasReports: h.lastReport > 0, SinceReport: h.now - h.lastReport, ExpectedPerSecond: h.expectedRate})
	h.lastCondition = to
}
