package logic

import (
	"math"
	"slices"
)

// Admission: which part of the calls is let in, and how often a proxy may try again.

const (
	admissionInterval = Millis(500) // the shortest time in which a burst must be met, and the usual period of reports
	// waitsFrom is the answer time, for each of the usual one, from which calls are taken to wait at a host.
	queueingFactor = 1.5
	// repeated is the part of the calls without an answer that clients make again: between none and all of them.
	repeatedShare = 0.5
	// easeShare is the part of the way to what fits that levels ease at each weighing. What fits is known to a tenth or
	// two: eased by small steps alone, levels followed the lowest of what was reckoned, and not its middle.
	easeShare = 0.5
	// levelSteps are those in which a level is told: a smaller change is not worth a message.
	levelSteps = 20.0
	// burstFrom is the growth of the calls from which it is a burst. A sum over a second ripples by a fifth with reports
	// that come each half second.
	burstGrowth = 1.25
	// calmMemory is the half-life of the answer time while hosts have room.
	answerTimeSmoothing = 0.1
)

// capability is what hosts in use can do, and do.
type fleetCapacity struct {
	capacity, tryRate, lossRate float64 // calls a second
	busyWeighted, busyCapacity  float64 // busy shares by what their hosts can do, and what these can do
	usable                      float64 // hosts in use
	restarting                  float64 // those of them that started a moment ago
	unmeasured                  float64 // those of these that have yet to show what they can do
	unfit                       float64 // hosts that are listed and out of use
	queuedCalls                 float64 // calls that wait at hosts, beside those in work
	growth                      float64 // of the calls that come, since hosts reported
}

// roomy says whether hosts with room to spare belie the reckoning. Reports of the others are too old to tell while
// many have just started and nothing was heard of them since, and all are older than a burst that has just begun: what
// came on top is added to them.
func (c fleetCapacity) hasRoom() bool {
	return c.busyCapacity > 0 && c.busyWeighted*max(1, c.growth) < c.busyCapacity*idle && c.unmeasured <= c.usable*crowd
}

// measure sums up the hosts.
func (g *admitter) measure() (c fleetCapacity) {
	each := g.typicalCapacity()
	for _, s := range g.hosts.all() {
		c.unfit += float64(bit(s.unfit, 0))
		if !s.usable {
			continue
		}
		c.usable, c.restarting = c.usable+1, c.restarting+float64(bit(s.fresh && s.cold, 0))
		// What no table names bears nothing: it neither adds to what can be done, nor to what is not seen.
		if s.capacity == 0 && s.dueRate > 0 { // it has yet to show what it can do, and many such come at once in a release
			c.unmeasured += float64(bit(s.fresh && s.cold, 0))
			c.capacity += each * s.listedWeight * s.warmShare / 2
		}
		c.capacity, c.tryRate, c.lossRate = c.capacity+s.capacity, c.tryRate+s.tryRate, c.lossRate+s.loss*s.tryRate
		if s.busy > 0 {
			c.busyWeighted, c.busyCapacity = c.busyWeighted+s.busy*s.capacity, c.busyCapacity+s.capacity
		}
		c.queuedCalls += max(0, s.answerTime-queueingFactor*g.calmAnswerTime) / 1000 * s.tryRate * (1 - s.loss)
	}
	c.capacity = max(c.capacity, c.tryRate-c.lossRate) // without busy shares, what is answered is all that is known
	if usual := g.typicalAnswerTime(); c.hasRoom() && usual > 0 {
		if g.calmAnswerTime == 0 {
			g.calmAnswerTime = usual
		}
		g.calmAnswerTime += (usual - g.calmAnswerTime) * answerTimeSmoothing
	}
	if g.calmAnswerTime == 0 {
		c.queuedCalls = 0 // nothing is known of how long an answer takes
	}
	return c
}

// calls is the rate at which a route's calls come, with those that are made again.
func (g *admitter) callRate(r RouteID) float64 { return g.callSums[r].rate(g.now, gateMemory, 0) }

// come is the rate at which calls of all routes come, with those that are made again.
func (g *admitter) totalCallRate() (sum float64) {
	for r := range g.callSums {
		sum += g.callRate(RouteID(r))
	}
	return sum
}

// growth is the rate at which calls come over that of the last seconds, 1 where that may be a ripple of the reports.
func (g *admitter) callGrowth() float64 {
	lately := g.recentCalls.rate(g.now, demandMemory, g.firstReport-g.rules.reportInterval)
	if growth := g.totalCallRate() / max(lately, 0.1); growth > burstGrowth {
		return growth
	}
	return 1
}

// arrivals is the rate of a route's calls, without those that are made again for want of an answer.
func (g *admitter) newCallRate(r RouteID) float64 {
	return max(0, g.callRate(r)-repeatedShare*g.unanswered[r].rate(g.now, gateMemory, 0))
}

// throttles says whether some calls are turned away: levels are told in steps, and the last part of one is none.
func (g *admitter) isThrottling() bool { return g.level < float64(len(g.usualRates))-0.5/levelSteps }

// estimateDemand tells the calls a second that come, and what comes usually, when none is turned away. A throttled
// route's calls come again and tell nothing of how many there are; the most important's do. But there are no more than
// come: the mix of routes may have been learnt from the first few calls after a start.
func (g *admitter) estimateDemand() (all, usual float64) {
	come := g.totalCallRate()
	for r := range g.usualRates {
		if !g.isThrottling() {
			g.usualRates[r] = g.newCallRate(RouteID(r))
		}
		usual += g.usualRates[r]
	}
	for _, lead := range slices.Backward(g.rules.byImportance) {
		if g.usualRates[lead] > 0 {
			return min(come, usual*g.newCallRate(lead)/g.usualRates[lead]), usual
		}
	}
	return min(come, usual), usual
}

// weigh compares the calls that come, and those that wait, with what hosts can do and lets in the part that fits.
// Tries would not do: they end late, and those of a jam would throttle what comes after it.
func (g *admitter) update() {
	c := g.measure()
	c.growth = g.callGrowth()
	all, usual := g.estimateDemand()
	around := fleetLoad{pressure: c.tryRate / max(c.capacity, 0.1), loss: c.lossRate / max(c.tryRate, 0.1),
		busy: c.busyWeighted / max(c.busyCapacity, 0.1), typicalLoss: g.typicalLoss(), unfitShare: c.unfit / max(c.unfit+c.usable, 1)}
	if g.isThrottling() { // else all that come are in the pressure
		around.demandRatio = all / max(c.capacity, 0.1)
	}
	g.fleet, g.demand, g.capacity, g.queuedCalls = around, all, c.capacity, c.queuedCalls
	g.post(g.placer, around)
	for _, s := range g.hosts.all() {
		g.post(s.actor, around)
	}
	if g.rules.levelKind != NoLevels && c.capacity > 0 && usual > 0 {
		g.adjustLevel(c)
	}
	if g.published.level == nil && (c.capacity == 0 || usual == 0) {
		return // proxies may hold an earlier start's levels, which know more than we do yet
	}
	now := g.routeLevels(g.isThrottling() || around.pressure > strain || c.restarting > c.usable*crowd)
	if !slices.Equal(now.level, g.published.level) || !slices.Equal(now.tries, g.published.tries) {
		g.published = now
		g.post(g.publisher, now)
	}
}

// steer sets the number of routes that are let in whole: at once to less, step by step to more. Levels let in a part of
// all calls that come, those made again among them, so it is these that have to fit: levels for the calls that were
// wanted in the first place let in twice what hosts can do once calls are lost or turned away and made again, and the
// losses kept it so.
func (g *admitter) adjustLevel(c fleetCapacity) {
	come := g.totalCallRate()
	fits := strain * c.capacity
	if c.hasRoom() {
		fits = max(fits, g.rateWithRoom(c, come))
	}
	// What waits is worked off within the time that the most pressing route wants its answers in, also where it waits
	// at a few hosts only. What strain leaves free serves for that first: answer times tell of what waited seconds ago,
	// and all of it taken off let in half of what hosts could do long after they had room.
	worksOff := c.queuedCalls * 1000 / float64(max(1, g.rules.slo))
	fits = max(0, min(fits, fits/strain-worksOff))
	want, excess := float64(len(g.rules.byImportance)), come-fits
	for _, r := range g.rules.byImportance {
		cut := min(1, max(0, excess)/max(g.callRate(r), 0.001))
		want, excess = want-cut, excess-cut*g.callRate(r)
	}
	ease := max(levelEase*float64(admissionInterval)/1000, easeShare*(want-g.level))
	g.level = max(levelLow, min(want, g.level+ease))
}

// eases is what may be let in while hosts have room to spare: all, or, where calls are turned away, more than now by as
// much as hosts have room. All at once would be a burst.
func (g *admitter) rateWithRoom(c fleetCapacity, come float64) float64 {
	if !g.isThrottling() || len(g.published.level) == 0 || g.rules.levelKind != LevelShare {
		return come
	}
	letIn := 0.0
	for r, level := range g.published.level {
		letIn += level * g.callRate(RouteID(r))
	}
	return letIn * strain * c.busyCapacity / c.busyWeighted
}

// levels are the orders that follow from the level. A further try adds work just where there is too much.
func (g *admitter) routeLevels(strained bool) admissionLevels {
	top := float64(len(g.rules.byImportance))
	now := admissionLevels{make([]float64, len(g.usualRates)), make([]int, len(g.usualRates))}
	for i, r := range g.rules.byImportance {
		part := max(levelLow, min(1, g.level-(top-1-float64(i))))
		now.level[r], now.tries[r] = math.Round(part*levelSteps)/levelSteps, g.rules.retries[r]
		if strained {
			now.tries[r] = min(1, now.tries[r])
		}
		if g.rules.levelKind == LevelRate {
			if now.level[r] = 1e6; part < 1 && g.proxies.len() > 0 {
				now.level[r] = math.Ceil(part * g.callRate(r) / float64(g.proxies.len()))
			}
		}
	}
	return now
}

// typical is the median of a value over the hosts in use that show it.
func (g *admitter) median(of func(hostStatus) (value float64, shown bool)) float64 {
	var all []float64
	for _, s := range g.hosts.all() {
		if value, shown := of(s); s.usable && shown {
			all = append(all, value)
		}
	}
	return middle(all)
}

// usualAble is what hosts can do for each unit of listed weight.
func (g *admitter) typicalCapacity() float64 {
	return g.median(func(s hostStatus) (float64, bool) { return s.capacity / s.listedWeight, s.capacity > 0 })
}

// typicalLoss is the share of tries that hosts lose.
func (g *admitter) typicalLoss() float64 {
	return g.median(func(s hostStatus) (float64, bool) { return s.loss, s.tryRate > 0 })
}

// usualSpent is the time of the answers of hosts.
func (g *admitter) typicalAnswerTime() float64 {
	return g.median(func(s hostStatus) (float64, bool) { return s.answerTime, s.answerTime > 0 })
}

// overloaded says whether more is wanted than all hosts can do, so that calls are turned away.
func (f fleetLoad) isOverloaded() bool { return f.demandRatio > 1 }
