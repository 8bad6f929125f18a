package logic

import "testing"

// The mix of routes may have been learnt from the first few calls after a start, so the estimated demand is limited to
// the rate of calls. Without the limit (issue 34, on real sockets) 300 calls a second were estimated for 20 s while 120
// came.
func TestEstimatedDemandIsAtMostCallRate(t *testing.T) {
	const cheap, lead = RouteID(0), RouteID(1)
	d := New(1, Config{Slices: 1, ReportInterval: 500, Levels: LevelShare,
		Routes: []Route{{Importance: 1, SLO: 1000}, {Importance: 3, SLO: 1000}}})
	g := d.admitter
	g.usualRates = []float64{9, 1}
	g.level = 1.5
	d.now = 10000
	g.callSums[cheap].add(d.now, admissionHalfLife, 80)
	g.callSums[lead].add(d.now, admissionHalfLife, 40)
	total := g.callSums[cheap].rate(d.now, admissionHalfLife, 0) + g.callSums[lead].rate(d.now, admissionHalfLife, 0)
	if all, _ := g.estimateDemand(); all > total+0.001 {
		t.Errorf("estimated demand is %.1f calls a second where %.1f come", all, total)
	}
}

// A level that is published as whole rejects nothing, so the usual call rates are learnt again.
func TestLevelsPublishedAsWholeThrottleNothing(t *testing.T) {
	g := New(1, Config{Slices: 1, ReportInterval: 500, Levels: LevelShare, Routes: []Route{{SLO: 1000}, {SLO: 1000}}}).admitter
	if g.level = 1.98; g.isThrottling() {
		t.Error("a level that is published as 1 counts as throttling")
	}
	if g.level = 1.9; !g.isThrottling() {
		t.Error("a level of 0.9 does not count as throttling")
	}
}

// Levels admit a part of all calls, including repeated ones, so that part has to fit. Levels computed for the new calls
// alone admitted twice the capacity of the hosts, and the calls lost by that were repeated (issue 34, on real sockets).
func TestAdmittedCallsFitCapacity(t *testing.T) {
	const cheap, lead = RouteID(0), RouteID(1)
	const capacity = 100.0
	g := New(1, Config{Slices: 1, ReportInterval: 500, Levels: LevelShare,
		Routes: []Route{{Importance: 1, SLO: 1000}, {Importance: 3, SLO: 1000}}}).admitter
	g.now = 10000
	g.usualRates = []float64{60, 30} // wanted, as learnt before
	g.callSums[cheap].add(g.now, admissionHalfLife, 300)
	g.callSums[lead].add(g.now, admissionHalfLife, 40)
	g.adjustLevel(fleetCapacity{capacity: capacity, utilizedCapacity: capacity, reportingCapacity: capacity})
	levels := g.routeLevels(true).level
	admitted := levels[cheap]*g.callRate(cheap) + levels[lead]*g.callRate(lead)
	if admitted > capacity {
		t.Errorf("%.0f calls a second are admitted, more than the capacity of %.0f", admitted, capacity)
	}
}

// Levels rise to what hosts have room for, not at once to all calls: that caused the next burst.
func TestLevelsEaseByTheRoomOfHosts(t *testing.T) {
	const capacity, utilization, level = 200.0, 0.5, 0.3
	g := New(1, Config{Slices: 1, ReportInterval: 500, Levels: LevelShare, Routes: []Route{{SLO: 1000}}}).admitter
	g.now = 10000
	g.usualRates = []float64{100}
	g.callSums[0].add(g.now, admissionHalfLife, 1000)
	g.level, g.published.level = level, []float64{level}
	before := level * g.callRate(0)
	g.adjustLevel(fleetCapacity{capacity: capacity, utilizedCapacity: capacity * utilization, reportingCapacity: capacity})
	after := g.level * g.callRate(0)
	if most := before * targetPressure / utilization; after > most+0.001 || after <= before {
		t.Errorf("admitted %.0f calls a second after %.0f, with hosts half idle; want more than before and at most %.0f",
			after, before, most)
	}
}

// Reports of utilization are older than a burst that has just begun: hosts that had room do not have it for twice the
// calls.
func TestBusySharesAreOlderThanABurst(t *testing.T) {
	calm := fleetCapacity{utilizedCapacity: 50, reportingCapacity: 100, usable: 1, growth: 1}
	burst := calm
	burst.growth = 2
	if !calm.hasRoom() || burst.hasRoom() {
		t.Errorf("hasRoom: got %v in calm and %v in a burst, want true and false", calm.hasRoom(), burst.hasRoom())
	}
}
