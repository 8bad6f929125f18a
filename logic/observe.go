package logic

import "math"

// Reports for operators: changes of hosts' conditions as they happen, and the present state. Nothing here decides, and
// no decision reads it.

// Condition is how the director judges and uses a host.
type Condition int

// The conditions of a host.
const (
	Unlisted Condition = iota
	Unproven           // listed, but without any answer so far
	Serving
	Resting // saturated, and masked for a moment
	Removed // taken out of use for failures or silence
	OnTrial // removed before, and given a few calls again
	Drained // draining or gone by the host list
)

var conditionNames = [...]string{"unlisted", "unproven", "serving", "resting", "removed", "on trial", "drained"}

// String returns the name of the condition in logs.
func (c Condition) String() string { return conditionNames[c] }

// Reason is why a host's condition changed.
type Reason int

// The reasons for a change of a host's condition.
const (
	ReasonList      Reason = iota // the host list has changed
	ReasonRestart                 // the host list reports a new start
	ReasonAnswer                  // the first answer
	ReasonFailing                 // too many failed tries
	ReasonSilent                  // no answers
	ReasonSaturated               // saturated
	ReasonTrialDue                // the removal is over
	ReasonRecovered               // the trial has been passed
	ReasonRested                  // the rest of a saturated host is over
)

var reasonNames = [...]string{"list", "restart", "answer", "failing", "silent", "jammed", "trial due", "recovered",
	"rested"}

// String returns the name of the reason in logs.
func (r Reason) String() string { return reasonNames[r] }

// HostChange is a change of a host's condition, with what was known of the host at that time.
type HostChange struct {
	Host                            HostID
	From, To                        Condition
	Reason                          Reason
	TriesPerSecond, FailedPerSecond float64 // recent rate of finished and of failed tries
	Utilization                     float64
	HasReports                      bool    // whether a sample has come since it entered its state
	SinceReport                     Millis  // time since the last sample, if HasReports
	ExpectedPerSecond               float64 // calls a second that published tables send to it
}

// LoadReport is the input of admission and its results.
type LoadReport struct {
	Calls, Admitted, Unanswered float64 // calls a second: all, admitted, and admitted without an answer
	Demand, Capacity, Tries     float64 // a second, as estimated
	Utilization, Loss           float64
	AnswerTime                  Millis    // mean at the hosts
	Outstanding                 float64   // calls in progress or queued at hosts
	Queued                      float64   // those of them that are queued, as estimated
	Levels                      []float64 // by route, as wanted
	WrittenLevels               []float64 // by route, as last written; nil if unknown
	WrittenAge                  Millis    // time since they were written
	SaturatedHosts              int       // hosts in use that report saturation
	HostsInUse                  int
}

// HostReport is one host in a Report.
type HostReport struct {
	Host                         HostID
	Condition                    Condition
	Cold                         bool
	ColdFor                      Millis // time until the host counts as warm
	AssignedLoad, Share, MaxLoad float64
	Tries, Loss                  float64
	Utilization, Capacity        float64
	AnswerTime                   Millis
	Tables                       int // number of tables that name the host
}

// Report is the state of the decisions at one moment. Pressure is the tries over the capacity of all hosts, and
// DemandPressure the demand over that capacity while calls are throttled.
type Report struct {
	Hosts                                                   []HostReport
	Demand, Capacity, Pressure, DemandPressure, Utilization float64
	Loss                                                    float64
	Levels                                                  []float64 // by route, as wanted
	RetryModes                                              []int     // by route, as wanted
	LevelsPublished                                         bool      // whether levels and retry modes are written as wanted
	PendingTables                                           int
	OldestPending                                           Millis
	QueuedLines, UnacknowledgedLines                        float64
	UnacknowledgedMessages                                  int // messages that some proxy has not acknowledged
	ChannelResets                                           int // times that unacknowledged messages were given up
	Masked                                                  int
}

// Changes returns the changes of hosts' conditions in the last call of Handle.
func (d *Director) Changes() []HostChange { return d.hostChanges }

// Report returns the present state of the decisions.
func (d *Director) Report() Report {
	g, p := d.admitter, d.publisher
	r := Report{Demand: g.demand, Capacity: g.capacity, Levels: p.levels.level, RetryModes: p.levels.retryModes,
		Pressure: g.fleet.pressure, DemandPressure: g.fleet.demandPressure, Utilization: g.fleet.utilization,
		Loss: g.fleet.loss, LevelsPublished: !p.levelsChanged(), PendingTables: p.pending.len()}
	for _, w := range p.pending.all() {
		r.OldestPending = max(r.OldestPending, d.now-w.pendingSince)
	}
	r.QueuedLines, r.UnacknowledgedLines = p.queuedLines()
	r.UnacknowledgedMessages, r.ChannelResets = len(p.inFlight), p.channelResets
	for _, isMasked := range p.masked.all() {
		r.Masked += int(bit(isMasked, 0))
	}
	tables := map[HostID]int{}
	for _, t := range p.current.all() {
		for _, l := range t {
			tables[l.host]++
		}
	}
	for id, h := range d.hosts.all() {
		if s := d.placer.hosts.get(id); s != nil && h.hasEntry && (h.entry.State == Up || tables[id] > 0) {
			r.Hosts = append(r.Hosts, HostReport{Host: id, Condition: h.condition(), Cold: s.cold,
				ColdFor: max(0, h.coldUntil-d.now), AssignedLoad: s.load, Share: s.share, MaxLoad: s.maxLoad,
				Tries: s.tryRate, Loss: s.loss, Utilization: s.utilization, Capacity: s.capacity,
				AnswerTime: Millis(s.answerTime), Tables: tables[id]})
		}
	}
	return r
}

// Load returns the input of admission and its results.
func (d *Director) Load() LoadReport {
	g, p := d.admitter, d.publisher
	r := LoadReport{Demand: g.demand, Capacity: g.capacity, Utilization: g.fleet.utilization, Loss: g.fleet.loss,
		Queued: g.queuedCalls, Levels: p.levels.level, WrittenLevels: p.writtenLevels.level, WrittenAge: d.now - p.levelsWrittenAt}
	for route := range g.callSums {
		calls := g.callSums[route].rate(d.now, admissionHalfLife, 0)
		r.Calls += calls
		r.Unanswered += g.unanswered[route].rate(d.now, admissionHalfLife, 0)
		if admitted := 1.0; p.writtenLevels.level != nil && g.params.levelUnit == LevelShare {
			admitted = min(admitted, p.writtenLevels.level[route])
			r.Admitted += calls * admitted
		}
	}
	answers := 0.0
	for _, s := range g.hosts.all() {
		if !s.usable {
			continue
		}
		answered := s.tryRate * (1 - s.loss)
		r.HostsInUse, r.Tries, answers = r.HostsInUse+1, r.Tries+s.tryRate, answers+answered
		r.Outstanding += answered * s.answerTime / 1000
		r.SaturatedHosts += int(bit(s.utilization > saturatedUtilization, 0))
	}
	r.AnswerTime = Millis(r.Outstanding * 1000 / max(answers, 0.1))
	return r
}

// condition derives the condition of a host from its state.
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

// recordChange records the host's condition if it differs from the one recorded last.
func (h *host) recordChange(reason Reason) {
	to := h.condition()
	if to == h.lastCondition {
		return
	}
	perSecond := 1000 * math.Ln2 / float64(h.params.healthHalfLife) // converts a decaying sum to a rate
	h.hostChanges = append(h.hostChanges, HostChange{Host: h.id, From: h.lastCondition, To: to, Reason: reason,
		TriesPerSecond:  h.finished.read(h.now, h.params.healthHalfLife) * perSecond,
		FailedPerSecond: h.failed.read(h.now, h.params.healthHalfLife) * perSecond,
		Utilization:     h.utilization, HasReports: h.lastReport > 0, SinceReport: h.now - h.lastReport,
		ExpectedPerSecond: h.expectedRate})
	h.lastCondition = to
}
