package logic

import "math"

// Health of hosts: which are removed for failures or for silence, which are masked for a moment as saturated, and how
// a removed host is readmitted. A host is always compared with the others, and the answers expected of it are those
// to the calls that the published tables send to it.

const (
	// failPeriod is how long most tries at a host must fail before it is removed.
	failPeriod = Millis(3000)
	// minTries is the decaying sum of finished tries below which a host is not judged.
	minTries = 1.5
	// maxMissedAnswers is the number of expected answers that a host may miss before it counts as silent.
	maxMissedAnswers = 6
	// silenceSlack is the time that the silence of a host must last beyond twice its usual time between samples.
	silenceSlack = Millis(1000)
	// restMaxFleetLoss is the share of failed tries in the fleet below which a saturated host is an exception and may
	// be masked for restPeriod.
	restMaxFleetLoss = 0.3
	// lossSigmas is the number of standard deviations by which the failures of a host must exceed those of the fleet.
	// Where half of all tries fail, a host with a handful of tries fails most of them by chance alone, and dozens of
	// hosts were removed for that together.
	lossSigmas = 2.5
	// maxRemovedShare is the share of hosts that may be out of use for failures. Beyond it a host that still answers
	// stays, since the rest would have to take over its calls, too.
	maxRemovedShare = 0.2
	// totalLoss is the share of failed tries from which a host counts as not answering at all.
	totalLoss = 0.97
	// overloadAnswers is the decaying sum of answers above which a saturated host is overloaded and not faulty.
	overloadAnswers = 0.5
	// trustPeriod is how long a host that published tables name is used without having answered.
	trustPeriod = failPeriod
	// reportDelayPeriods is the number of report intervals until the calls to a host show up in samples.
	reportDelayPeriods = 2

	// A removed host is tried with few calls, and their outcomes add up for the whole trial: the calls of a few standby
	// lines may be fewer than one a second, and a sum that decays as fast as that of a host in service never reached
	// enough. minTrialTries is the number of finished tries that a trial needs, and maxTrialLoss the share of them that
	// may fail.
	minTrialTries = 3
	maxTrialLoss  = 0.25
)

// evaluate removes a host at which most tries fail, or which receives calls and gives no answers. It takes the time of
// the last sample of any host.
//
// A host that rejects calls while it reports itself saturated is overloaded and not faulty: its removal would pass
// its load on to the next. Failures that all hosts share do not count against one: in a fault of one route half of the
// hosts and more fail most of their tries, while the mean over all tries is lower. Silence counts only while other
// hosts are reported on.
//
// Where the fleet has room, a saturated host is masked for a moment: in a large fleet no proxy calls it often enough to
// avoid it by itself, and the calls that go on coming keep it saturated. Where the load itself is the cause, this would
// do harm.
func (h *host) evaluate(lastReport Millis) {
	if h.unproven && h.entry.State == Up && h.now >= h.nextProbe {
		h.emit(Probe{h.id})
		h.probeInterval = min(4*checkInterval, max(checkInterval, 2*h.probeInterval))
		h.nextProbe = h.now + h.probeInterval
	}
	finished, failed := h.finished.read(h.now, h.params.healthHalfLife), h.failed.read(h.now, h.params.healthHalfLife)
	failing := finished > minTries && h.isOutlier(finished, failed)
	saturated := failing ||
		finished > minTries && h.latency.read(h.now, h.params.healthHalfLife) > (finished-failed)*float64(h.params.slo)
	failing = failing && !(h.utilization > saturatedUtilization && finished-failed > overloadAnswers)
	if saturated && h.fleet.loss < restMaxFleetLoss && h.fleet.utilization < targetPressure &&
		h.now > h.restUntil+restPeriod {
		h.restUntil = h.now + restPeriod
		h.recordChange(ReasonSaturated)
	}
	silence := lastReport - max(h.lastAnswer, h.expectedSince)
	h.countMissing(lastReport)
	silent := h.isSilent(silence)
	trackSince(&h.failingSince, failing || silent, h.now)
	reason := ReasonFailing
	if silent {
		reason = ReasonSilent
	}
	h.recordChange(ReasonRested)
	switch h.state {
	case removed:
		if h.now >= h.removedUntil {
			h.enterState(onTrial)
			h.recordChange(ReasonTrialDue)
		}
	case serving:
		if silent && silence > failPeriod ||
			failing && !h.isSpared(finished, failed) && h.now-h.failingSince >= failPeriod {
			h.remove(reason)
		}
	case onTrial:
		if failing || silent && silence > failPeriod {
			h.remove(reason)
		} else if h.trial.hasPassed() && h.now-h.removedUntil > failPeriod {
			h.freshUntil = h.now + freshPeriod/2 // it may be healthy, but its caches are not cold
			h.enterState(serving)
			h.recordChange(ReasonRecovered)
		}
	}
}

// isOutlier reports whether more tries fail at a host than the failures of the whole fleet and chance explain.
func (h *host) isOutlier(finished, failed float64) bool {
	usualLoss := min(1, max(h.fleet.loss, h.fleet.medianLoss))
	chance := lossSigmas * math.Sqrt(finished*usualLoss*(1-usualLoss))
	return failed > finished*(1+usualLoss)/2 && failed > finished*usualLoss+chance
}

// isSpared reports whether a failing host stays in service, since it answers some calls and many hosts are out already.
func (h *host) isSpared(finished, failed float64) bool {
	return h.fleet.unfitShare >= maxRemovedShare && failed < finished*totalLoss
}

// remove takes the host out of use. The change is recorded before the sums of its tries are cleared.
func (h *host) remove(reason Reason) {
	h.state = removed
	h.recordChange(reason)
	h.enterState(removed)
}

// enterState changes the state and clears what was known of the host's tries in the last one.
func (h *host) enterState(s hostState) {
	if h.removedUntil = h.now; s == removed {
		h.removedUntil += trialDelay
	}
	h.state, h.trial = s, trial{}
	h.latency, h.finished, h.failed = decayingSum{}, decayingSum{}, decayingSum{}
	h.failingSince, h.lastReport, h.lastAnswer, h.reportGap = 0, 0, 0, 0
	h.expectedRate, h.missedAnswers, h.pendingRate = 0, 0, 0
}

// setExpectedRate takes in the rate of calls that the published tables send to a host. A higher rate counts only once
// samples can show it: a message takes its time through the channel, and the calls that follow are reported later.
func (h *host) setExpectedRate(rate float64) {
	if rate <= h.expectedRate {
		h.expectedRate, h.pendingRate = rate, 0
	} else if h.pendingRate == 0 {
		h.pendingAt = h.now + h.params.reportDelay
	}
	h.pendingRate = max(0, rate-h.expectedRate)
	trackSince(&h.expectedSince, h.expectedRate > 0, h.now)
}

// countMissing adds up the answers that should have come from a host since its last one, for as long as samples of any
// host came: the expected calls times the share that hosts usually answer. Samples alone do not show that a host
// answers, since one that hangs has samples, too, once its calls have timed out.
func (h *host) countMissing(lastReport Millis) {
	if h.pendingRate > 0 && h.now >= h.pendingAt {
		h.expectedRate, h.pendingRate = h.expectedRate+h.pendingRate, 0
		trackSince(&h.expectedSince, true, h.now)
	}
	if h.now < h.restUntil+h.params.reportDelay && h.restUntil > 0 {
		h.missedAnswers = 0 // a mask keeps calls from it, or did until a moment ago
	} else if lastReport > h.missedCountedTo {
		answeredShare := 1 - min(1, max(h.fleet.loss, h.fleet.medianLoss))
		h.missedAnswers += h.expectedRate * answeredShare * float64(lastReport-h.missedCountedTo) / 1000
	}
	h.missedCountedTo = max(h.missedCountedTo, lastReport)
}

// isSilent reports whether a host receives calls and gives no answers, while samples of other hosts come.
func (h *host) isSilent(silence Millis) bool {
	return h.lastAnswer > 0 && h.missedAnswers > maxMissedAnswers && silence > 2*h.reportGap+silenceSlack
}

// trial counts the tries at a host since it entered its state.
type trial struct{ finished, failed int }

func (t *trial) add(m HostSample) {
	t.finished += m.Finished
	t.failed += m.Failed
}

// hasPassed reports whether the host may serve again.
func (t trial) hasPassed() bool {
	return t.finished >= minTrialTries && float64(t.failed) <= maxTrialLoss*float64(t.finished)
}
