package logic

import (
	"math"
	"slices"
)

// Admission decides which part of the calls is admitted, and which failed calls proxies may retry.

const (
	// admissionInterval is the time between updates: the shortest time in which a burst has to be met, and the usual
	// interval of reports.
	admissionInterval = Millis(500)
	// queueingFactor is the multiple of the usual answer time above which calls count as queued at a host.
	queueingFactor = 1.5
	// repeatedShare is the part of the unanswered calls that clients are taken to repeat: between none and all of them.
	repeatedShare = 0.5
	// levelEaseShare is the part of the way to the admissible level that is taken at each update. The admissible rate
	// is known to a tenth or two only: raised by small constant steps alone, levels followed the lowest of the
	// estimates and not their middle.
	levelEaseShare = 0.5
	// levelSteps is the number of steps in which levels are published: a smaller change is not worth a message.
	levelSteps = 20.0
	// burstGrowth is the growth of the call rate from which it counts as a burst. A sum over one second ripples by a
	// fifth with reports that come every 500 ms.
	burstGrowth = 1.25
	// answerTimeSmoothing is the weight of a new value in the smoothed answer time while hosts have room.
	answerTimeSmoothing = 0.1
)

// fleetCapacity is what the hosts in use can do, and what they do.
type fleetCapacity struct {
	capacity, tryRate, lossRate         float64 // calls a second
	utilizedCapacity, reportingCapacity float64 // over the hosts that report a utilization: sum of utilization times capacity, and of capacity
	usable                              float64 // hosts in use
	restarting                          float64 // those of them that started recently
	unmeasured                          float64 // those of these whose capacity is not known yet
	unfit                               float64 // hosts that are listed and out of use
	queuedCalls                         float64 // calls that are queued at hosts, beside those in service
	growth                              float64 // of the call rate since the hosts' reports
}

// hasRoom reports whether hosts report room to spare, which overrides the computed load. It is false while many hosts
// have just started and have not reported, since the reports of the others are then too old to tell. In a burst all
// reports are older than the burst, so they are scaled by its growth.
func (c fleetCapacity) hasRoom() bool {
	return c.reportingCapacity > 0 && c.utilizedCapacity*max(1, c.growth) < c.reportingCapacity*unthrottledUtilization && c.unmeasured <= c.usable*massRestartShare
}

// measure sums up the state of the hosts.
func (g *admitter) measure() (c fleetCapacity) {
	each := g.typicalCapacity()
	for _, s := range g.hosts.all() {
		c.unfit += float64(bit(s.unfit, 0))
		if !s.usable {
			continue
		}
		c.usable, c.restarting = c.usable+1, c.restarting+float64(bit(s.fresh && s.cold, 0))
		// A host that no table names gets no calls: it counts neither as capacity nor as unmeasured.
		if s.capacity == 0 && s.assignedRate > 0 { // its capacity is unknown; a release brings many such hosts
			c.unmeasured += float64(bit(s.fresh && s.cold, 0))
			c.capacity += each * s.listedWeight * s.warmShare / 2
		}
		c.capacity, c.tryRate, c.lossRate = c.capacity+s.capacity, c.tryRate+s.tryRate, c.lossRate+s.loss*s.tryRate
		if s.utilization > 0 {
			c.utilizedCapacity, c.reportingCapacity = c.utilizedCapacity+s.utilization*s.capacity, c.reportingCapacity+s.capacity
		}
		c.queuedCalls += max(0, s.answerTime-queueingFactor*g.calmAnswerTime) / 1000 * s.tryRate * (1 - s.loss)
	}
	c.capacity = max(c.capacity, c.tryRate-c.lossRate) // without reports of utilization, only the rate of answers is known
	if usual := g.typicalAnswerTime(); c.hasRoom() && usual > 0 {
		if g.calmAnswerTime == 0 {
			g.calmAnswerTime = usual
		}
		g.calmAnswerTime += (usual - g.calmAnswerTime) * answerTimeSmoothing
	}
	if g.calmAnswerTime == 0 {
		c.queuedCalls = 0 // the usual answer time is not known yet
	}
	return c
}

// callRate returns the rate of a route's calls, including repeated ones.
func (g *admitter) callRate(r RouteID) float64 {
	return g.callSums[r].rate(g.now, admissionHalfLife, 0)
}

// totalCallRate returns the rate of the calls of all routes, including repeated ones.
func (g *admitter) totalCallRate() (sum float64) {
	for r := range g.callSums {
		sum += g.callRate(RouteID(r))
	}
	return sum
}

// callGrowth returns the ratio of the present rate of calls to that of the last seconds, or 1 where the difference may
// be a ripple of the reports.
func (g *admitter) callGrowth() float64 {
	lately := g.recentCalls.rate(g.now, demandHalfLife, g.firstReport-g.params.reportInterval)
	if growth := g.totalCallRate() / max(lately, 0.1); growth > burstGrowth {
		return growth
	}
	return 1
}

// newCallRate returns the rate of a route's calls without those that are repeated for want of an answer.
func (g *admitter) newCallRate(r RouteID) float64 {
	return max(0, g.callRate(r)-repeatedShare*g.unanswered[r].rate(g.now, admissionHalfLife, 0))
}

// isThrottling reports whether some calls are rejected: levels are published in steps, and less than half a step is no
// change.
func (g *admitter) isThrottling() bool { return g.level < float64(len(g.usualRates))-0.5/levelSteps }

// estimateDemand returns the demand in calls a second and the usual one, without throttling. Calls of a throttled route
// are repeated, so their rate does not show the demand; that of the most important route does. The demand is never more
// than the rate at which calls come, since the mix of routes may have been learnt from the first few calls after a
// start.
func (g *admitter) estimateDemand() (all, usual float64) {
	total := g.totalCallRate()
	for r := range g.usualRates {
		if !g.isThrottling() {
			g.usualRates[r] = g.newCallRate(RouteID(r))
		}
		usual += g.usualRates[r]
	}
	for _, lead := range slices.Backward(g.params.byImportance) {
		if g.usualRates[lead] > 0 {
			return min(total, usual*g.newCallRate(lead)/g.usualRates[lead]), usual
		}
	}
	return min(total, usual), usual
}

// update compares the rate of calls and the queued calls with the capacity of the hosts and admits the part that fits.
// The rate of tries is not suited: tries end late, so those of an overload would throttle the calls after it.
func (g *admitter) update() {
	c := g.measure()
	c.growth = g.callGrowth()
	all, usual := g.estimateDemand()
	fleet := fleetLoad{pressure: c.tryRate / max(c.capacity, 0.1), loss: c.lossRate / max(c.tryRate, 0.1),
		utilization: c.utilizedCapacity / max(c.reportingCapacity, 0.1), medianLoss: g.medianLoss(),
		unfitShare: c.unfit / max(c.unfit+c.usable, 1)}
	if g.isThrottling() { // otherwise the pressure includes all calls
		fleet.demandPressure = all / max(c.capacity, 0.1)
	}
	g.fleet, g.demand, g.capacity, g.queuedCalls = fleet, all, c.capacity, c.queuedCalls
	g.post(g.placer, fleet)
	for _, s := range g.hosts.all() {
		g.post(s.actor, fleet)
	}
	if g.params.levelUnit != NoLevels && c.capacity > 0 && usual > 0 {
		g.adjustLevel(c)
	}
	if g.published.level == nil && (c.capacity == 0 || usual == 0) {
		return // proxies may hold levels of an earlier start, which are based on more than is known yet
	}
	now := g.routeLevels(g.isThrottling() || fleet.pressure > targetPressure || c.restarting > c.usable*massRestartShare)
	if !slices.Equal(now.level, g.published.level) || !slices.Equal(now.retryModes, g.published.retryModes) {
		g.published = now
		g.post(g.publisher, now)
	}
}

// adjustLevel sets the number of routes that are admitted whole: it lowers it at once and raises it in steps. A level
// admits a part of all calls, including repeated ones, so all of these have to fit. Levels computed for the new calls
// alone admitted twice the capacity once calls were lost or rejected and then repeated, and the losses kept it so.
func (g *admitter) adjustLevel(c fleetCapacity) {
	total := g.totalCallRate()
	admissible := targetPressure * c.capacity
	if c.hasRoom() {
		admissible = max(admissible, g.rateWithRoom(c, total))
	}
	// Queued calls are to be worked off within the shortest SLO of the routes, also where they are queued at a few
	// hosts only. The reserve above the target load is used for that first: answer times show the queues of some
	// seconds ago, and with all queued calls subtracted, only half of the capacity was admitted long after hosts had
	// room again.
	backlog := c.queuedCalls * 1000 / float64(max(1, g.params.slo))
	admissible = max(0, min(admissible, admissible/targetPressure-backlog))
	want, excess := float64(len(g.params.byImportance)), total-admissible
	for _, r := range g.params.byImportance {
		cut := min(1, max(0, excess)/max(g.callRate(r), 0.001))
		want, excess = want-cut, excess-cut*g.callRate(r)
	}
	ease := max(levelEasePerSecond*float64(admissionInterval)/1000, levelEaseShare*(want-g.level))
	g.level = max(minLevel, min(want, g.level+ease))
}

// rateWithRoom returns the rate of calls to admit while hosts have room to spare: all, or, while calls are rejected,
// the present rate raised in proportion to the room. All at once would be a burst.
func (g *admitter) rateWithRoom(c fleetCapacity, total float64) float64 {
	if !g.isThrottling() || len(g.published.level) == 0 || g.params.levelUnit != LevelShare {
		return total
	}
	admitted := 0.0
	for r, level := range g.published.level {
		admitted += level * g.callRate(RouteID(r))
	}
	return admitted * targetPressure * c.reportingCapacity / c.utilizedCapacity
}

// routeLevels returns the levels and retry modes that follow from the number of routes to admit. With restrictRetries a
// call is retried only if its first try certainly never ran, since retries add work where there is already too much.
func (g *admitter) routeLevels(restrictRetries bool) admissionLevels {
	top := float64(len(g.params.byImportance))
	now := admissionLevels{make([]float64, len(g.usualRates)), make([]int, len(g.usualRates))}
	for i, r := range g.params.byImportance {
		part := max(minLevel, min(1, g.level-(top-1-float64(i))))
		now.level[r], now.retryModes[r] = math.Round(part*levelSteps)/levelSteps, g.params.retryModes[r]
		if restrictRetries {
			now.retryModes[r] = min(1, now.retryModes[r])
		}
		if g.params.levelUnit == LevelRate {
			if now.level[r] = 1e6; part < 1 && g.proxies.len() > 0 {
				now.level[r] = math.Ceil(part * g.callRate(r) / float64(g.proxies.len()))
			}
		}
	}
	return now
}

// median returns the median of a value over the hosts in use for which it is known.
func (g *admitter) median(of func(hostStatus) (value float64, known bool)) float64 {
	var all []float64
	for _, s := range g.hosts.all() {
		if value, known := of(s); s.usable && known {
			all = append(all, value)
		}
	}
	return median(all)
}

// typicalCapacity returns the median capacity of hosts for each unit of listed weight.
func (g *admitter) typicalCapacity() float64 {
	return g.median(func(s hostStatus) (float64, bool) { return s.capacity / s.listedWeight, s.capacity > 0 })
}

// medianLoss returns the median over hosts of the share of tries without a good answer.
func (g *admitter) medianLoss() float64 {
	return g.median(func(s hostStatus) (float64, bool) { return s.loss, s.tryRate > 0 })
}

// typicalAnswerTime returns the median of the hosts' mean answer times.
func (g *admitter) typicalAnswerTime() float64 {
	return g.median(func(s hostStatus) (float64, bool) { return s.answerTime, s.answerTime > 0 })
}

// isOverloaded reports whether the demand exceeds the capacity of all hosts, so that calls are rejected.
func (f fleetLoad) isOverloaded() bool { return f.demandPressure > 1 }
