package logic

import "math"

// The state of a host: its entry in the host list, its load and answers by samples, and the status
// that it sends to the placer and the admitter.

// updateEntry takes in the entry of the host list. A new start time makes the host cold, also where it never left the
// tables.
func (h *host) updateEntry(e HostEntry) {
	reason := ReasonList
	trackSince(&h.unlistedAt, e.State == Gone, h.now)
	if e.State == Gone && h.hasEntry {
		// The removal may be advisory, but a drain before it stays binding until the host is up again.
		if e.Zone, e.Cell = h.entry.Zone, h.entry.Cell; h.entry.State == Draining {
			e.State = Draining
		}
	}
	if e.State == Up && (!h.hasEntry || e.StartedAt != h.entry.StartedAt || h.entry.State != Up) {
		startedAt := startTime(e.StartedAt, h.now, h.hasEntry || h.addedLater)
		if h.hasEntry && e.StartedAt == h.entry.StartedAt {
			startedAt = h.now
		}
		if startedAt > 0 {
			h.freshUntil, h.coldUntil = startedAt+freshPeriod, startedAt+max(freshPeriod, h.params.warmUpTime)
		}
		if h.hasEntry {
			reason = ReasonRestart
			h.enterState(serving)
			h.throughput, h.occupancy, h.answered, h.utilizations, h.utilization, h.implausibleSince =
				decayingSum{}, decayingSum{}, decayingSum{}, decayingSum{}, 0, 0
		}
	}
	h.entry, h.hasEntry = e, true
	h.recordChange(reason)
}

// recordSample adds a sample to the sums of tries, answer times and load.
func (h *host) recordSample(m HostSample) {
	h.finished.add(h.now, h.params.healthHalfLife, float64(m.Finished))
	h.failed.add(h.now, h.params.healthHalfLife, float64(m.Failed))
	h.trial.add(m)
	h.unproven = h.unproven && m.Finished == m.Failed
	h.recordChange(ReasonAnswer)
	h.latency.add(h.now, h.params.healthHalfLife, float64(m.MeanLatency)*float64(m.Finished-m.Failed))
	if h.lastReport > 0 && h.now > h.lastReport {
		h.reportGap += (h.now - h.lastReport - h.reportGap) * 0.2
	}
	h.lastReport = h.now
	if m.Finished > m.Failed {
		h.lastAnswer, h.missedAnswers, h.missedCountedTo = h.now, 0, h.now
	}
	throughput := 1000 * float64(m.Finished-m.Failed) / max(1, float64(m.Period))
	// The rate is computed when a sample arrives, so that it does not ripple with the period of the samples.
	perSecond := (1 - math.Exp2(-float64(h.params.reportInterval/h.params.healthHalfLife))) * 1000 / float64(h.params.reportInterval)
	h.tryRate = h.finished.read(h.now, h.params.healthHalfLife) * perSecond
	utilization, occupancy := m.Load.Utilization, float64(m.MeanLatency)*throughput/1000
	if utilization != nil {
		// A host that always holds a call is not idle. Reports that say so would attract load, so an estimate takes
		// their place. A single one may be newer than the answers it came with, unless its throughput contradicts
		// those, too.
		trackSince(&h.implausibleSince, *utilization < 0.1 && occupancy > 1, h.now)
		contradicts := m.Load.Throughput != nil && *m.Load.Throughput < throughput/4
		if h.implausibleLoad = h.implausibleSince > 0 &&
			(contradicts || h.now-h.implausibleSince >= failPeriod); h.implausibleLoad {
			estimate := min(1, float64(m.MeanLatency/h.params.slo))
			utilization = &estimate
		}
		if h.utilization == 0 {
			h.utilization = *utilization
		}
		h.utilization += (*utilization - h.utilization) * 0.4 // smoothed, since single reports are noisy
		// Samples with many failed tries count little: otherwise an overload would at once bring the estimated capacity
		// down to nothing.
		trust := 1 - 0.7*float64(bit(m.Failed*3 >= m.Finished, 0))
		h.answered.add(h.now, loadHalfLife, trust*(h.tryRate-h.failed.read(h.now, h.params.healthHalfLife)*perSecond))
		h.utilizations.add(h.now, loadHalfLife, trust*max(0.05, *utilization))
		occupancy = *utilization
	} else if m.Load.Outstanding != nil {
		occupancy = *m.Load.Outstanding
	}
	if h.implausibleLoad {
		return
	}
	if m.Load.Throughput != nil {
		throughput = *m.Load.Throughput
	}
	h.throughput.add(h.now, loadHalfLife, throughput)
	h.occupancy.add(h.now, loadHalfLife, occupancy)
}

// isUnproven reports whether a host must not be used yet: it has answered nothing, and is not
// trusted for a time because published tables name it.
func (h *host) isUnproven() bool { return h.unproven && h.now >= h.trustedUntil }

// publishStatus sends the present status to the placer and the admitter.
func (h *host) publishStatus() {
	finished, listed := h.finished.read(h.now, h.params.healthHalfLife), h.hasEntry && h.entry.State == Up
	s := hostStatus{id: h.id, actor: h, zone: h.entry.Zone, cell: h.entry.Cell, fresh: h.now < h.freshUntil,
		warmShare: 1 - (1-h.params.freshShare)*float64(max(0, h.freshUntil-h.now)/freshPeriod), listedWeight: 1,
		tryRate: min(h.tryRate, 2*finished), utilization: h.utilization, implausibleLoad: h.implausibleLoad,
		assignedRate: h.expectedRate + h.pendingRate,
		loss:         h.failed.read(h.now, h.params.healthHalfLife) / max(finished, 0.1), cold: h.now < h.coldUntil,
		resting: h.now < h.restUntil, unproven: listed && h.isUnproven()}
	s.answerTime = h.latency.read(h.now, h.params.healthHalfLife) / max(0.1, finished*(1-s.loss))
	up := listed && !h.isUnproven()
	if h.params.removalIsAdvisory && h.hasEntry && h.entry.State == Gone {
		up = finished > 0.5 && s.loss < 0.5 // the host list may be wrong: a host that answers well stays
	}
	s.leaving = h.hasEntry && !listed && !up && (h.entry.State == Draining || !h.params.removalIsAdvisory)
	s.usable, s.unfit, s.onTrial = up && h.state == serving, up && h.state != serving, up && h.state == onTrial
	if h.params.weighted && h.entry.Weight > 0 {
		s.listedWeight = h.entry.Weight
	}
	if occupancy, throughput := h.occupancy.read(h.now, loadHalfLife),
		h.throughput.read(h.now, loadHalfLife); occupancy > 0.3 && throughput > 0 {
		s.callsPerOccupancy = throughput / occupancy
	}
	if utilizations := h.utilizations.read(h.now, loadHalfLife); utilizations > 0.01 {
		s.capacity = h.answered.read(h.now, loadHalfLife) / utilizations
	}
	h.post(h.placer, s)
	h.post(h.admitter, s)
}
