package logic

import "math"

// Health of hosts: which are taken out of use for failing or for silence, which rest for a moment, and how one comes
// back. A host is always set against the others, and what is expected of it is what tables that stand bring it.

const (
	failPeriod       = Millis(3000) // most tries lost for so long: removed
	minTries         = 1.5          // lately: below it nothing is judged
	maxMissedAnswers = 6            // expected of a host without a word of it, before it counts as silent
	silenceSlack     = Millis(1000) // beside twice the usual time between reports of it
	restMaxFleetLoss = 0.3          // of the fleet's tries: below it a host that jams is an exception, and may rest
	// surely is how many standard deviations a host's losses must be above what all lose. Where half of all tries fail,
	// a host with a handful of them loses most by chance alone, and dozens were taken out for it together.
	lossSigmas = 2.5
	// mostOut is the part of the hosts that may be out for failing. Beyond it one that still answers stays: the rest
	// would have to bear its calls, too.
	maxRemovedShare    = 0.2
	totalLoss          = 0.97       // of its tries: it answers nothing to speak of
	overloadAnswers    = 0.5        // answers lately that show a host at full work to be overloaded, not sick
	proofPeriod        = failPeriod // within which a host that standing tables name has to answer after a start
	reportDelayPeriods = 2          // periods of reports until what came to a host is heard of

	// A removed host is tried again with few calls. What it makes of them adds up for as long as the trial lasts:
	// the calls of a few standby lines may be less than one a second, and a sum that decays as fast as that of a
	// host in service never showed enough.
	minTrialTries = 3    // ended, before a trial is judged
	maxTrialLoss  = 0.25 // of them, at most
)

// judge finds a host that fails most of its tries, or one into which calls go and out of which nothing comes.
// One that turns calls away while it reports full work is overloaded, not sick: taking it out would pass its
// load on to the next. What all lose is no sign against one: in a fault of one route half of the hosts and more lose
// most of their tries, while the mean over all tries is lower. And silence is one only while others are heard.
// Where the fleet has room a jammed host rests: in a large one no proxy meets it often enough to avoid it by
// itself, and the calls that go on coming keep it jammed. It would harm where the load itself is the cause.
func (h *host) evaluate(reported Millis) {
	if h.unproven && h.entry.State == Up && h.now >= h.nextProbe {
		h.emit(Probe{h.id})
		h.probeInterval = min(4*checkInterval, max(checkInterval, 2*h.probeInterval))
		h.nextProbe = h.now + h.probeInterval
	}
	ended, lost := h.finished.read(h.now, h.params.health), h.failed.read(h.now, h.params.health)
	bad := ended > minTries && h.isOutlier(ended, lost)
	jam := bad || ended > minTries && h.latency.read(h.now, h.params.health) > (ended-lost)*float64(h.params.slo)
	bad = bad && !(h.utilization > saturatedUtilization && ended-lost > overloadAnswers)
	if jam && h.fleet.loss < restMaxFleetLoss && h.fleet.utilization < targetPressure && h.now > h.restUntil+restPeriod {
		h.restUntil = h.now + restPeriod
		h.recordChange(ReasonJammed)
	}
	quiet := reported - max(h.lastAnswer, h.expectedSince)
	h.countMissing(reported)
	silent := h.isSilent(quiet)
	trackSince(&h.failingSince, bad || silent, h.now)
	why := ReasonFailing
	if silent {
		why = ReasonSilent
	}
	h.recordChange(ReasonRested)
	switch h.state {
	case removed:
		if h.now >= h.removedUntil {
			h.enterState(onTrial)
			h.recordChange(ReasonTrialDue)
		}
	case serving:
		if silent && quiet > failPeriod || bad && !h.isSpared(ended, lost) && h.now-h.failingSince >= failPeriod {
			h.remove(why)
		}
	case onTrial:
		if bad || silent && quiet > failPeriod {
			h.remove(why)
		} else if h.trial.hasPassed() && h.now-h.removedUntil > failPeriod {
			h.freshUntil = h.now + freshPeriod/2 // it may be well, but it is not cold
			h.enterState(serving)
			h.recordChange(ReasonRecovered)
		}
	}
}

// standsOut says whether a host loses more of its tries than can be laid to what all lose.
func (h *host) isOutlier(ended, lost float64) bool {
	usual := min(1, max(h.fleet.loss, h.fleet.medianLoss))
	chance := lossSigmas * math.Sqrt(ended*usual*(1-usual))
	return lost > ended*(1+usual)/2 && lost > ended*usual+chance
}

// spared says whether a failing host stays, since it answers some calls and many hosts are out already.
func (h *host) isSpared(ended, lost float64) bool {
	return h.fleet.unfitShare >= maxRemovedShare && lost < ended*totalLoss
}

// remove takes the host out of use. The change is noted before what is known of its tries is cleared.
func (h *host) remove(why Reason) {
	h.state = removed
	h.recordChange(why)
	h.enterState(removed)
}

func (h *host) enterState(s hostState) {
	if h.removedUntil = h.now; s == removed {
		h.removedUntil += trialDelay
	}
	h.state, h.trial = s, trial{}
	h.latency, h.finished, h.failed = decayingSum{}, decayingSum{}, decayingSum{}
	h.failingSince, h.lastReport, h.lastAnswer, h.reportGap = 0, 0, 0, 0
	h.expectedRate, h.missedAnswers, h.pendingRate = 0, 0, 0
}

// expect takes in what tables bring a host. More of it is expected only once it can have been heard of: a message
// takes its time through the channel, and what came of it is reported later.
func (h *host) setExpectedRate(rate float64) {
	if rate <= h.expectedRate {
		h.expectedRate, h.pendingRate = rate, 0
	} else if h.pendingRate == 0 {
		h.pendingAt = h.now + h.params.heardAfter
	}
	h.pendingRate = max(0, rate-h.expectedRate)
	trackSince(&h.expectedSince, h.expectedRate > 0, h.now)
}

// missing adds up the answers that should have come from a host since the last one, while reports of others came: of
// those calls that are answered, as all hosts go. A host that hangs has lines, too, once its calls have timed out.
func (h *host) countMissing(reported Millis) {
	if h.pendingRate > 0 && h.now >= h.pendingAt {
		h.expectedRate, h.pendingRate = h.expectedRate+h.pendingRate, 0
		trackSince(&h.expectedSince, true, h.now)
	}
	if h.now < h.restUntil+h.params.heardAfter && h.restUntil > 0 {
		h.missedAnswers = 0 // we keep calls from it, or did until a moment ago
	} else if reported > h.missedCountedTo {
		answered := 1 - min(1, max(h.fleet.loss, h.fleet.medianLoss))
		h.missedAnswers += h.expectedRate * answered * float64(reported-h.missedCountedTo) / 1000
	}
	h.missedCountedTo = max(h.missedCountedTo, reported)
}

// silent says whether calls go to a host and nothing is heard of it, though of others it is.
func (h *host) isSilent(quiet Millis) bool {
	return h.lastAnswer > 0 && h.missedAnswers > maxMissedAnswers && quiet > 2*h.reportGap+silenceSlack
}

// trial counts what a host made of the calls since it entered its state.
type trial struct{ finished, failed int }

func (t *trial) add(m HostSample) {
	t.finished += m.Finished
	t.failed += m.Failed
}

// passed says whether the host may serve again.
func (t trial) hasPassed() bool {
	return t.finished >= minTrialTries && float64(t.failed) <= maxTrialLoss*float64(t.finished)
}
