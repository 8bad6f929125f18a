package logic

import "math"

// What a host is known by: the list's word on it, what reports tell of its load and answers, and what it makes known
// of itself.

// list follows the list. A new birth is a cold host, also where it never left our tables.
func (h *host) list(e Entry) {
	why := ReasonList
	since(&h.unlistedAt, e.State == Gone, h.now)
	if e.State == Gone && h.known {
		// Being dropped may be advice, but the drain that went before it binds until the host is up again.
		if e.Zone, e.Cell = h.entry.Zone, h.entry.Cell; h.entry.State == Draining {
			e.State = Draining
		}
	}
	if e.State == Up && (!h.known || e.Born != h.entry.Born || h.entry.State != Up) {
		born := startOf(e.Born, h.now, h.known || h.followed)
		if h.known && e.Born == h.entry.Born {
			born = h.now
		}
		if born > 0 {
			h.freshUntil, h.coldUntil = born+freshFor, born+max(freshFor, h.rules.warmUpTime)
		}
		if h.known {
			why = ReasonRestart
			h.enter(serving)
			h.rate, h.press, h.good, h.used, h.busy, h.voidSince = sum{}, sum{}, sum{}, sum{}, 0, 0
		}
	}
	h.entry, h.known = e, true
	h.changed(why)
}

func (h *host) met(m Met) {
	h.ended.add(h.now, h.rules.healthHalfLife, float64(m.Ended))
	h.lost.add(h.now, h.rules.healthHalfLife, float64(m.Lost))
	h.trial.add(m)
	h.unproven = h.unproven && m.Ended == m.Lost
	h.changed(ReasonAnswer)
	h.spent.add(h.now, h.rules.healthHalfLife, float64(m.Spent)*float64(m.Ended-m.Lost))
	if h.lastLine > 0 && h.now > h.lastLine {
		h.gap += (h.now - h.lastLine - h.gap) * 0.2
	}
	h.lastLine = h.now
	if m.Ended > m.Lost {
		h.lastAnswer, h.missed, h.countedTo = h.now, 0, h.now
	}
	rate := 1000 * float64(m.Ended-m.Lost) / max(1, float64(m.Over))
	// Read as reports come in, so that the rate doesn't ripple with them.
	part := (1 - math.Exp2(-float64(h.rules.reportInterval/h.rules.healthHalfLife))) * 1000 / float64(h.rules.reportInterval)
	h.flow = h.ended.read(h.now, h.rules.healthHalfLife) * part
	busy, press := m.Load.Busy, float64(m.Spent)*rate/1000
	if busy != nil {
		// A host that always has a call of ours in hand is not idle: such reports are void, or they would draw
		// load. One alone may be newer than the answers it came with, unless it denies those answers too.
		since(&h.voidSince, *busy < 0.1 && press > 1, h.now)
		denied := m.Load.Rate != nil && *m.Load.Rate < rate/4
		if h.void = h.voidSince > 0 && (denied || h.now-h.voidSince >= failFor); h.void {
			guess := min(1, float64(m.Spent/h.rules.slo))
			busy = &guess
		}
		if h.busy == 0 {
			h.busy = *busy
		}
		h.busy += (*busy - h.busy) * 0.4 // one report is noisy
		// Little is learnt while work is wasted, or a jam would teach at once that the host can do nothing.
		trust := 1 - 0.7*float64(bit(m.Lost*3 >= m.Ended, 0))
		h.good.add(h.now, loadMemory, trust*(h.flow-h.lost.read(h.now, h.rules.healthHalfLife)*part))
		h.used.add(h.now, loadMemory, trust*max(0.05, *busy))
		press = *busy
	} else if m.Load.InHand != nil {
		press = *m.Load.InHand
	}
	if h.void {
		return
	}
	if m.Load.Rate != nil {
		rate = *m.Load.Rate
	}
	h.rate.add(h.now, loadMemory, rate)
	h.press.add(h.now, loadMemory, press)
}

// untried says whether a host must not be used yet: it has answered nothing, and no standing table vouches for it.
func (h *host) untried() bool { return h.unproven && h.now >= h.vouchedUntil }

func (h *host) tell() {
	ended, listed := h.ended.read(h.now, h.rules.healthHalfLife), h.known && h.entry.State == Up
	s := hostStatus{id: h.id, actor: h, zone: h.entry.Zone, cell: h.entry.Cell, fresh: h.now < h.freshUntil,
		warmShare: 1 - (1-h.rules.freshShare)*float64(max(0, h.freshUntil-h.now)/freshFor), listedWeight: 1,
		tryRate: min(h.flow, 2*ended), busy: h.busy, invalidReports: h.void, dueRate: h.due + h.rising,
		loss: h.lost.read(h.now, h.rules.healthHalfLife) / max(ended, 0.1), cold: h.now < h.coldUntil,
		resting: h.now < h.restUntil, unproven: listed && h.untried()}
	s.answerTime = h.spent.read(h.now, h.rules.healthHalfLife) / max(0.1, ended*(1-s.loss))
	up := listed && !h.untried()
	if h.rules.goneIsAdvisory && h.known && h.entry.State == Gone {
		up = ended > 0.5 && s.loss < 0.5 // the list may be wrong there: a host that answers well stays
	}
	s.leaving = h.known && !listed && !up && (h.entry.State == Draining || !h.rules.goneIsAdvisory)
	s.usable, s.unfit, s.onTrial = up && h.state == serving, up && h.state != serving, up && h.state == onTrial
	if h.rules.weighted && h.entry.Weight > 0 {
		s.listedWeight = h.entry.Weight
	}
	if press, rate := h.press.read(h.now, loadMemory), h.rate.read(h.now, loadMemory); press > 0.3 && rate > 0 {
		s.callsPerPressure = rate / press
	}
	if used := h.used.read(h.now, loadMemory); used > 0.01 {
		s.capacity = h.good.read(h.now, loadMemory) / used
	}
	h.post(h.place, s)
	h.post(h.gate, s)
}
