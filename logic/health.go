package logic

import "math"

// Health of hosts: which are taken out of use for failing or for silence, which rest for a moment, and how one comes
// back. A host is always set against the others, and what is expected of it is what tables that stand bring it.

const (
	failFor      = Millis(3000) // most tries lost for so long: removed
	fewTries     = 1.5          // lately: below it nothing is judged
	missedCalls  = 6            // expected of a host without a word of it, before it counts as silent
	silenceSlack = Millis(1000) // beside twice the usual time between reports of it
	calmLoss     = 0.3          // of the fleet's tries: below it a host that jams is an exception, and may rest
	// surely is how many standard deviations a host's losses must be above what all lose. Where half of all tries fail,
	// a host with a handful of them loses most by chance alone, and dozens were taken out for it together.
	surely = 2.5
	// mostOut is the part of the hosts that may be out for failing. Beyond it one that still answers stays: the rest
	// would have to bear its calls, too.
	mostOut        = 0.2
	losesAll       = 0.97    // of its tries: it answers nothing to speak of
	answersInFull  = 0.5     // answers lately that show a host at full work to be overloaded, not sick
	vouchFor       = failFor // within which a host that standing tables name has to answer after a start
	reportsOfDelay = 2       // periods of reports until what came to a host is heard of

	// A removed host is tried again with few calls. What it makes of them adds up for as long as the trial lasts:
	// the calls of a few standby lines may be less than one a second, and a sum that decays as fast as that of a
	// host in service never showed enough.
	trialCalls  = 3    // ended, before a trial is judged
	trialLosses = 0.25 // of them, at most
)

// judge finds a host that fails most of its tries, or one into which calls go and out of which nothing comes.
// One that turns calls away while it reports full work is overloaded, not sick: taking it out would pass its
// load on to the next. What all lose is no sign against one: in a fault of one route half of the hosts and more lose
// most of their tries, while the mean over all tries is lower. And silence is one only while others are heard.
// Where the fleet has room a jammed host rests: in a large one no proxy meets it often enough to avoid it by
// itself, and the calls that go on coming keep it jammed. It would harm where the load itself is the cause.
func (h *host) judge(reported Millis) {
	if h.unproven && h.entry.State == Up && h.now >= h.probeAt {
		h.order(Probe{h.id})
		h.probeEvery = min(4*checkEvery, max(checkEvery, 2*h.probeEvery))
		h.probeAt = h.now + h.probeEvery
	}
	ended, lost := h.ended.read(h.now, h.rules.health), h.lost.read(h.now, h.rules.health)
	bad := ended > fewTries && h.standsOut(ended, lost)
	jam := bad || ended > fewTries && h.spent.read(h.now, h.rules.health) > (ended-lost)*float64(h.rules.slo)
	bad = bad && !(h.busy > full && ended-lost > answersInFull)
	if jam && h.around.loss < calmLoss && h.around.busy < strain && h.now > h.restUntil+restFor {
		h.restUntil = h.now + restFor
		h.changed(ReasonJammed)
	}
	quiet := reported - max(h.lastAnswer, h.dueSince)
	h.missing(reported)
	silent := h.silent(quiet)
	since(&h.badSince, bad || silent, h.now)
	why := ReasonFailing
	if silent {
		why = ReasonSilent
	}
	h.changed(ReasonRested)
	switch h.state {
	case removed:
		if h.now >= h.outUntil {
			h.enter(onTrial)
			h.changed(ReasonTrialDue)
		}
	case serving:
		if silent && quiet > failFor || bad && !h.spared(ended, lost) && h.now-h.badSince >= failFor {
			h.remove(why)
		}
	case onTrial:
		if bad || silent && quiet > failFor {
			h.remove(why)
		} else if h.trial.passed() && h.now-h.outUntil > failFor {
			h.freshUntil = h.now + freshFor/2 // it may be well, but it is not cold
			h.enter(serving)
			h.changed(ReasonRecovered)
		}
	}
}

// standsOut says whether a host loses more of its tries than can be laid to what all lose.
func (h *host) standsOut(ended, lost float64) bool {
	usual := min(1, max(h.around.loss, h.around.typicalLoss))
	chance := surely * math.Sqrt(ended*usual*(1-usual))
	return lost > ended*(1+usual)/2 && lost > ended*usual+chance
}

// spared says whether a failing host stays, since it answers some calls and many hosts are out already.
func (h *host) spared(ended, lost float64) bool {
	return h.around.out >= mostOut && lost < ended*losesAll
}

// remove takes the host out of use. The change is noted before what is known of its tries is cleared.
func (h *host) remove(why Reason) {
	h.state = removed
	h.changed(why)
	h.enter(removed)
}

func (h *host) enter(s hostState) {
	if h.outUntil = h.now; s == removed {
		h.outUntil += trialAfter
	}
	h.state, h.trial = s, trial{}
	h.spent, h.ended, h.lost = sum{}, sum{}, sum{}
	h.badSince, h.lastLine, h.lastAnswer, h.gap = 0, 0, 0, 0
	h.due, h.missed, h.rising = 0, 0, 0
}

// expect takes in what tables bring a host. More of it is expected only once it can have been heard of: a message
// takes its time through the channel, and what came of it is reported later.
func (h *host) expect(rate float64) {
	if rate <= h.due {
		h.due, h.rising = rate, 0
	} else if h.rising == 0 {
		h.risesAt = h.now + h.rules.heardAfter
	}
	h.rising = max(0, rate-h.due)
	since(&h.dueSince, h.due > 0, h.now)
}

// missing adds up the answers that should have come from a host since the last one, while reports of others came: of
// those calls that are answered, as all hosts go. A host that hangs has lines, too, once its calls have timed out.
func (h *host) missing(reported Millis) {
	if h.rising > 0 && h.now >= h.risesAt {
		h.due, h.rising = h.due+h.rising, 0
		since(&h.dueSince, true, h.now)
	}
	if h.now < h.restUntil+h.rules.heardAfter && h.restUntil > 0 {
		h.missed = 0 // we keep calls from it, or did until a moment ago
	} else if reported > h.countedTo {
		answered := 1 - min(1, max(h.around.loss, h.around.typicalLoss))
		h.missed += h.due * answered * float64(reported-h.countedTo) / 1000
	}
	h.countedTo = max(h.countedTo, reported)
}

// silent says whether calls go to a host and nothing is heard of it, though of others it is.
func (h *host) silent(quiet Millis) bool {
	return h.lastAnswer > 0 && h.missed > missedCalls && quiet > 2*h.gap+silenceSlack
}

// trial counts what a host made of the calls since it entered its state.
type trial struct{ ended, lost int }

func (t *trial) add(m HostSample) {
	t.ended += m.Finished
	t.lost += m.Failed
}

// passed says whether the host may serve again.
func (t trial) passed() bool {
	return t.ended >= trialCalls && float64(t.lost) <= trialLosses*float64(t.ended)
}
