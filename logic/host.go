package logic

import "math"

// What a host is known by: the list's word on it, what reports tell of its load and answers, and what it makes known
// of itself.

// list follows the list. A new birth is a cold host, also where it never left our tables.
func (h *host) list(e HostEntry) {
	why := ReasonList
	since(&h.unlistedAt, e.State == Gone, h.now)
	if e.State == Gone && h.known {
		// Being dropped may be advice, but the drain that went before it binds until the host is up again.
		if e.Zone, e.Cell = h.entry.Zone, h.entry.Cell; h.entry.State == Draining {
			e.State = Draining
		}
	}
	if e.State == Up && (!h.known || e.StartedAt != h.entry.StartedAt || h.entry.State != Up) {
		born := startOf(e.StartedAt, h.now, h.known || h.followed)
		if h.known && e.StartedAt == h.entry.StartedAt {
			born = h.now
		}
		if born > 0 {
			h.freshUntil, h.coldUntil = born+freshFor, born+max(freshFor, h.rules.warmFor)
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

func (h *host) met(m HostSample) {
	h.ended.add(h.now, h.rules.health, float64(m.Finished))
	h.lost.add(h.now, h.rules.health, float64(m.Failed))
	h.trial.add(m)
	h.unproven = h.unproven && m.Finished == m.Failed
	h.changed(ReasonAnswer)
	h.spent.add(h.now, h.rules.health, float64(m.MeanLatency)*float64(m.Finished-m.Failed))
	if h.lastLine > 0 && h.now > h.lastLine {
		h.gap += (h.now - h.lastLine - h.gap) * 0.2
	}
	h.lastLine = h.now
	if m.Finished > m.Failed {
		h.lastAnswer, h.missed, h.countedTo = h.now, 0, h.now
	}
	rate := 1000 * float64(m.Finished-m.Failed) / max(1, float64(m.Period))
	// Read as reports come in, so that the rate doesn't ripple with them.
	part := (1 - math.Exp2(-float64(h.rules.reportEvery/h.rules.health))) * 1000 / float64(h.rules.reportEvery)
	h.flow = h.ended.read(h.now, h.rules.health) * part
	busy, press := m.Load.Utilization, float64(m.MeanLatency)*rate/1000
	if busy != nil {
		// A host that always has a call of ours in hand is not idle: such reports are void, or they would draw
		// load. One alone may be newer than the answers it came with, unless it denies those answers too.
		since(&h.voidSince, *busy < 0.1 && press > 1, h.now)
		denied := m.Load.Throughput != nil && *m.Load.Throughput < rate/4
		if h.void = h.voidSince > 0 && (denied || h.now-h.voidSince >= failFor); h.void {
			guess := min(1, float64(m.MeanLatency/h.rules.slo))
			busy = &guess
		}
		if h.busy == 0 {
			h.busy = *busy
		}
		h.busy += (*busy - h.busy) * 0.4 // one report is noisy
		// Little is learnt while work is wasted, or a jam would teach at once that the host can do nothing.
		trust := 1 - 0.7*float64(bit(m.Failed*3 >= m.Finished, 0))
		h.good.add(h.now, loadMemory, trust*(h.flow-h.lost.read(h.now, h.rules.health)*part))
		h.used.add(h.now, loadMemory, trust*max(0.05, *busy))
		press = *busy
	} else if m.Load.Outstanding != nil {
		press = *m.Load.Outstanding
	}
	if h.void {
		return
	}
	if m.Load.Throughput != nil {
		rate = *m.Load.Throughput
	}
	h.rate.add(h.now, loadMemory, rate)
	h.press.add(h.now, loadMemory, press)
}

// untried says whether a host must not be used yet: it has answered nothing, and no standing table vouches for it.
func (h *host) untried() bool { return h.unproven && h.now >= h.vouchedUntil }

func (h *host) tell() {
	ended, listed := h.ended.read(h.now, h.rules.health), h.known && h.entry.State == Up
	s := standing{id: h.id, from: h, zone: h.entry.Zone, cell: h.entry.Cell, fresh: h.now < h.freshUntil,
		grown: 1 - (1-h.rules.freshRoom)*float64(max(0, h.freshUntil-h.now)/freshFor), prior: 1,
		flow: min(h.flow, 2*ended), busy: h.busy, void: h.void, due: h.due + h.rising,
		loss: h.lost.read(h.now, h.rules.health) / max(ended, 0.1), cold: h.now < h.coldUntil,
		rests: h.now < h.restUntil, unproven: listed && h.untried()}
	s.spent = h.spent.read(h.now, h.rules.health) / max(0.1, ended*(1-s.loss))
	up := listed && !h.untried()
	if h.rules.advice && h.known && h.entry.State == Gone {
		up = ended > 0.5 && s.loss < 0.5 // the list may be wrong there: a host that answers well stays
	}
	s.leaves = h.known && !listed && !up && (h.entry.State == Draining || !h.rules.advice)
	s.usable, s.ill, s.trial = up && h.state == serving, up && h.state != serving, up && h.state == onTrial
	if h.rules.listed && h.entry.Weight > 0 {
		s.prior = h.entry.Weight
	}
	if press, rate := h.press.read(h.now, loadMemory), h.rate.read(h.now, loadMemory); press > 0.3 && rate > 0 {
		s.weighed = rate / press
	}
	if used := h.used.read(h.now, loadMemory); used > 0.01 {
		s.able = h.good.read(h.now, loadMemory) / used
	}
	h.post(h.place, s)
	h.post(h.gate, s)
}
