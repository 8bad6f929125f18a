package logic

import (
	"math"
	"slices"
)

// Admission: which part of the calls is let in, and how often a proxy may try again.

const (
	weighEvery = Millis(500) // the shortest time in which a burst must be met, and the usual period of reports
	// waitsFrom is the answer time, for each of the usual one, from which calls are taken to wait at a host.
	waitsFrom = 1.5
	// repeated is the part of the calls without an answer that clients make again: between none and all of them.
	repeated = 0.5
	// easeShare is the part of the way to what fits that levels ease at each weighing. What fits is known to a tenth or
	// two: eased by small steps alone, levels followed the lowest of what was reckoned, and not its middle.
	easeShare = 0.5
	// levelSteps are those in which a level is told: a smaller change is not worth a message.
	levelSteps = 20.0
	// burstFrom is the growth of the calls from which it is a burst. A sum over a second ripples by a fifth with reports
	// that come each half second.
	burstFrom = 1.25
	// calmMemory is the half-life of the answer time while hosts have room.
	calmMemory = 0.1
)

// capability is what hosts in use can do, and do.
type capability struct {
	able, tried, lost float64 // calls a second
	busy, busyOf      float64 // busy shares by what their hosts can do, and what these can do
	usable            float64 // hosts in use
	restarting        float64 // those of them that started a moment ago
	unseen            float64 // those of these that have yet to show what they can do
	ill               float64 // hosts that are listed and out of use
	waiting           float64 // calls that wait at hosts, beside those in work
	growth            float64 // of the calls that come, since hosts reported
}

// roomy says whether hosts with room to spare belie the reckoning. Reports of the others are too old to tell while
// many have just started and nothing was heard of them since, and all are older than a burst that has just begun: what
// came on top is added to them.
func (c capability) roomy() bool {
	return c.busyOf > 0 && c.busy*max(1, c.growth) < c.busyOf*unthrottledUtilization && c.unseen <= c.usable*massRestartShare
}

// measure sums up the hosts.
func (g *gate) measure() (c capability) {
	each := g.usualAble()
	for _, s := range g.seats.all() {
		c.ill += float64(bit(s.unfit, 0))
		if !s.usable {
			continue
		}
		c.usable, c.restarting = c.usable+1, c.restarting+float64(bit(s.fresh && s.cold, 0))
		// What no table names bears nothing: it neither adds to what can be done, nor to what is not seen.
		if s.capacity == 0 && s.expectedRate > 0 { // it has yet to show what it can do, and many such come at once in a release
			c.unseen += float64(bit(s.fresh && s.cold, 0))
			c.able += each * s.listedWeight * s.rampUp / 2
		}
		c.able, c.tried, c.lost = c.able+s.capacity, c.tried+s.tryRate, c.lost+s.loss*s.tryRate
		if s.utilization > 0 {
			c.busy, c.busyOf = c.busy+s.utilization*s.capacity, c.busyOf+s.capacity
		}
		c.waiting += max(0, s.latency-waitsFrom*g.calmSpent) / 1000 * s.tryRate * (1 - s.loss)
	}
	c.able = max(c.able, c.tried-c.lost) // without busy shares, what is answered is all that is known
	if usual := g.usualSpent(); c.roomy() && usual > 0 {
		if g.calmSpent == 0 {
			g.calmSpent = usual
		}
		g.calmSpent += (usual - g.calmSpent) * calmMemory
	}
	if g.calmSpent == 0 {
		c.waiting = 0 // nothing is known of how long an answer takes
	}
	return c
}

// calls is the rate at which a route's calls come, with those that are made again.
func (g *gate) calls(r RouteID) float64 { return g.asked[r].rate(g.now, admissionHalfLife, 0) }

// come is the rate at which calls of all routes come, with those that are made again.
func (g *gate) come() (sum float64) {
	for r := range g.asked {
		sum += g.calls(RouteID(r))
	}
	return sum
}

// growth is the rate at which calls come over that of the last seconds, 1 where that may be a ripple of the reports.
func (g *gate) growth() float64 {
	lately := g.lasting.rate(g.now, demandHalfLife, g.heardSince-g.params.reportEvery)
	if growth := g.come() / max(lately, 0.1); growth > burstFrom {
		return growth
	}
	return 1
}

// arrivals is the rate of a route's calls, without those that are made again for want of an answer.
func (g *gate) arrivals(r RouteID) float64 {
	return max(0, g.calls(r)-repeated*g.unanswered[r].rate(g.now, admissionHalfLife, 0))
}

// throttles says whether some calls are turned away: levels are told in steps, and the last part of one is none.
func (g *gate) throttles() bool { return g.level < float64(len(g.usual))-0.5/levelSteps }

// estimateDemand tells the calls a second that come, and what comes usually, when none is turned away. A throttled
// route's calls come again and tell nothing of how many there are; the most important's do. But there are no more than
// come: the mix of routes may have been learnt from the first few calls after a start.
func (g *gate) estimateDemand() (all, usual float64) {
	come := g.come()
	for r := range g.usual {
		if !g.throttles() {
			g.usual[r] = g.arrivals(RouteID(r))
		}
		usual += g.usual[r]
	}
	for _, lead := range slices.Backward(g.params.cheap) {
		if g.usual[lead] > 0 {
			return min(come, usual*g.arrivals(lead)/g.usual[lead]), usual
		}
	}
	return min(come, usual), usual
}

// weigh compares the calls that come, and those that wait, with what hosts can do and lets in the part that fits.
// Tries would not do: they end late, and those of a jam would throttle what comes after it.
func (g *gate) weigh() {
	c := g.measure()
	c.growth = g.growth()
	all, usual := g.estimateDemand()
	around := fleetStatus{pressure: c.tried / max(c.able, 0.1), loss: c.lost / max(c.tried, 0.1),
		utilization: c.busy / max(c.busyOf, 0.1), medianLoss: g.typicalLoss(), unfitShare: c.ill / max(c.ill+c.usable, 1)}
	if g.throttles() { // else all that come are in the pressure
		around.demandPressure = all / max(c.able, 0.1)
	}
	g.around, g.demand, g.capacity, g.waiting = around, all, c.able, c.waiting
	g.post(g.place, around)
	for _, s := range g.seats.all() {
		g.post(s.sender, around)
	}
	if g.params.levels != NoLevels && c.able > 0 && usual > 0 {
		g.steer(c)
	}
	if g.told.level == nil && (c.able == 0 || usual == 0) {
		return // proxies may hold an earlier start's levels, which know more than we do yet
	}
	now := g.levels(g.throttles() || around.pressure > targetPressure || c.restarting > c.usable*massRestartShare)
	if !slices.Equal(now.level, g.told.level) || !slices.Equal(now.tries, g.told.tries) {
		g.told = now
		g.post(g.to, now)
	}
}

// steer sets the number of routes that are let in whole: at once to less, step by step to more. Levels let in a part of
// all calls that come, those made again among them, so it is these that have to fit: levels for the calls that were
// wanted in the first place let in twice what hosts can do once calls are lost or turned away and made again, and the
// losses kept it so.
func (g *gate) steer(c capability) {
	come := g.come()
	fits := targetPressure * c.able
	if c.roomy() {
		fits = max(fits, g.eases(c, come))
	}
	// What waits is worked off within the time that the most pressing route wants its answers in, also where it waits
	// at a few hosts only. What strain leaves free serves for that first: answer times tell of what waited seconds ago,
	// and all of it taken off let in half of what hosts could do long after they had room.
	worksOff := c.waiting * 1000 / float64(max(1, g.params.slo))
	fits = max(0, min(fits, fits/targetPressure-worksOff))
	want, excess := float64(len(g.params.cheap)), come-fits
	for _, r := range g.params.cheap {
		cut := min(1, max(0, excess)/max(g.calls(r), 0.001))
		want, excess = want-cut, excess-cut*g.calls(r)
	}
	ease := max(levelEasePerSecond*float64(weighEvery)/1000, easeShare*(want-g.level))
	g.level = max(minLevel, min(want, g.level+ease))
}

// eases is what may be let in while hosts have room to spare: all, or, where calls are turned away, more than now by as
// much as hosts have room. All at once would be a burst.
func (g *gate) eases(c capability, come float64) float64 {
	if !g.throttles() || len(g.told.level) == 0 || g.params.levels != LevelShare {
		return come
	}
	letIn := 0.0
	for r, level := range g.told.level {
		letIn += level * g.calls(RouteID(r))
	}
	return letIn * targetPressure * c.busyOf / c.busy
}

// levels are the orders that follow from the level. A further try adds work just where there is too much.
func (g *gate) levels(strained bool) levelled {
	top := float64(len(g.params.cheap))
	now := levelled{make([]float64, len(g.usual)), make([]int, len(g.usual))}
	for i, r := range g.params.cheap {
		part := max(minLevel, min(1, g.level-(top-1-float64(i))))
		now.level[r], now.tries[r] = math.Round(part*levelSteps)/levelSteps, g.params.ways[r]
		if strained {
			now.tries[r] = min(1, now.tries[r])
		}
		if g.params.levels == LevelRate {
			if now.level[r] = 1e6; part < 1 && g.joined.len() > 0 {
				now.level[r] = math.Ceil(part * g.calls(r) / float64(g.joined.len()))
			}
		}
	}
	return now
}

// typical is the median of a value over the hosts in use that show it.
func (g *gate) typical(of func(hostStatus) (value float64, shown bool)) float64 {
	var all []float64
	for _, s := range g.seats.all() {
		if value, shown := of(s); s.usable && shown {
			all = append(all, value)
		}
	}
	return median(all)
}

// usualAble is what hosts can do for each unit of listed weight.
func (g *gate) usualAble() float64 {
	return g.typical(func(s hostStatus) (float64, bool) { return s.capacity / s.listedWeight, s.capacity > 0 })
}

// typicalLoss is the share of tries that hosts lose.
func (g *gate) typicalLoss() float64 {
	return g.typical(func(s hostStatus) (float64, bool) { return s.loss, s.tryRate > 0 })
}

// usualSpent is the time of the answers of hosts.
func (g *gate) usualSpent() float64 {
	return g.typical(func(s hostStatus) (float64, bool) { return s.latency, s.latency > 0 })
}

// overloaded says whether more is wanted than all hosts can do, so that calls are turned away.
func (f fleetStatus) overloaded() bool { return f.demandPressure > 1 }
