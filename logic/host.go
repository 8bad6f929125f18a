package logic

import "math"

// What a host is known by: the list's word on it, what reports tell of its load and answers, and what it makes known
// of itself.

// list follows the list. A new birth is a cold host, also where it never left our tables.
func (h *host) updateEntry(e HostEntry) {
	why := ReasonList
	trackSince(&h.unlistedAt, e.State == Gone, h.now)
	if e.State == Gone && h.hasEntry {
		// Being dropped may be advice, but the drain that went before it binds until the host is up again.
		if e.Zone, e.Cell = h.entry.Zone, h.entry.Cell; h.entry.State == Draining {
			e.State = Draining
		}
	}
	if e.State == Up && (!h.hasEntry || e.StartedAt != h.entry.StartedAt || h.entry.State != Up) {
		born := startTime(e.StartedAt, h.now, h.hasEntry || h.addedLater)
		if h.hasEntry && e.StartedAt == h.entry.StartedAt {
			born = h.now
		}
		if born > 0 {
			h.freshUntil, h.coldUntil = born+freshPeriod, born+max(freshPeriod, h.params.warmFor)
		}
		if h.hasEntry {
			why = ReasonRestart
			h.enterState(serving)
			h.throughput, h.pressure, h.answered, h.utilizations, h.utilization, h.implausibleSince = decayingSum{}, decayingSum{}, decayingSum{}, decayingSum{}, 0, 0
		}
	}
	h.entry, h.hasEntry = e, true
	h.recordChange(why)
}

func (h *host) recordSample(m HostSample) {
	h.finished.add(h.now, h.params.health, float64(m.Finished))
	h.failed.add(h.now, h.params.health, float64(m.Failed))
	h.trial.add(m)
	h.unproven = h.unproven && m.Finished == m.Failed
	h.recordChange(ReasonAnswer)
	h.latency.add(h.now, h.params.health, float64(m.MeanLatency)*float64(m.Finished-m.Failed))
	if h.lastReport > 0 && h.now > h.lastReport {
		h.reportGap += (h.now - h.lastReport - h.reportGap) * 0.2
	}
	h.lastReport = h.now
	if m.Finished > m.Failed {
		h.lastAnswer, h.missedAnswers, h.missedCountedTo = h.now, 0, h.now
	}
	rate := 1000 * float64(m.Finished-m.Failed) / max(1, float64(m.Period))
	// Read as reports come in, so that the rate doesn't ripple with them.
	part := (1 - math.Exp2(-float64(h.params.reportEvery/h.params.health))) * 1000 / float64(h.params.reportEvery)
	h.tryRate = h.finished.read(h.now, h.params.health) * part
	busy, press := m.Load.Utilization, float64(m.MeanLatency)*rate/1000
	if busy != nil {
		// A host that always has a call of ours in hand is not idle: such reports are void, or they would draw
		// load. One alone may be newer than the answers it came with, unless it denies those answers too.
		trackSince(&h.implausibleSince, *busy < 0.1 && press > 1, h.now)
		denied := m.Load.Throughput != nil && *m.Load.Throughput < rate/4
		if h.implausible = h.implausibleSince > 0 && (denied || h.now-h.implausibleSince >= failPeriod); h.implausible {
			guess := min(1, float64(m.MeanLatency/h.params.slo))
			busy = &guess
		}
		if h.utilization == 0 {
			h.utilization = *busy
		}
		h.utilization += (*busy - h.utilization) * 0.4 // one report is noisy
		// Little is learnt while work is wasted, or a jam would teach at once that the host can do nothing.
		trust := 1 - 0.7*float64(bit(m.Failed*3 >= m.Finished, 0))
		h.answered.add(h.now, loadHalfLife, trust*(h.tryRate-h.failed.read(h.now, h.params.health)*part))
		h.utilizations.add(h.now, loadHalfLife, trust*max(0.05, *busy))
		press = *busy
	} else if m.Load.Outstanding != nil {
		press = *m.Load.Outstanding
	}
	if h.implausible {
		return
	}
	if m.Load.Throughput != nil {
		rate = *m.Load.Throughput
	}
	h.throughput.add(h.now, loadHalfLife, rate)
	h.pressure.add(h.now, loadHalfLife, press)
}

// untried says whether a host must not be used yet: it has answered nothing, and no standing table vouches for it.
func (h *host) isUnproven() bool { return h.unproven && h.now >= h.trustedUntil }

func (h *host) publishStatus() {
	ended, listed := h.finished.read(h.now, h.params.health), h.hasEntry && h.entry.State == Up
	s := hostStatus{id: h.id, sender: h, zone: h.entry.Zone, cell: h.entry.Cell, fresh: h.now < h.freshUntil,
		rampUp: 1 - (1-h.params.freshRoom)*float64(max(0, h.freshUntil-h.now)/freshPeriod), listedWeight: 1,
		tryRate: min(h.tryRate, 2*ended), utilization: h.utilization, implausible: h.implausible, expectedRate: h.expectedRate + h.pendingRate,
		loss: h.failed.read(h.now, h.params.health) / max(ended, 0.1), cold: h.now < h.coldUntil,
		resting: h.now < h.restUntil, unproven: listed && h.isUnproven()}
	s.latency = h.latency.read(h.now, h.params.health) / max(0.1, ended*(1-s.loss))
	up := listed && !h.isUnproven()
	if h.params.advice && h.hasEntry && h.entry.State == Gone {
		up = ended > 0.5 && s.loss < 0.5 // the list may be wrong there: a host that answers well stays
	}
	s.leaving = h.hasEntry && !listed && !up && (h.entry.State == Draining || !h.params.advice)
	s.usable, s.unfit, s.trial = up && h.state == serving, up && h.state != serving, up && h.state == onTrial
	if h.params.listed && h.entry.Weight > 0 {
		s.listedWeight = h.entry.Weight
	}
	if press, rate := h.pressure.read(h.now, loadHalfLife), h.throughput.read(h.now, loadHalfLife); press > 0.3 && rate > 0 {
		s.efficiency = rate / press
	}
	if used := h.utilizations.read(h.now, loadHalfLife); used > 0.01 {
		s.capacity = h.answered.read(h.now, loadHalfLife) / used
	}
	h.post(h.place, s)
	h.post(h.gate, s)
}
