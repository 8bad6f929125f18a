package logic

import "testing"

// The mix of routes may have been learnt from the first few calls after a start: no more calls are reckoned than come.
// Found on real sockets (issue 34): 300 a second beside 120 that came, for 20 s.
func TestDemandIsNoMoreThanComes(t *testing.T) {
	const cheap, lead = RouteID(0), RouteID(1)
	d := New(1, Config{Slices: 1, ReportInterval: 500, Levels: LevelShare,
		Routes: []Route{{Importance: 1, SLO: 1000}, {Importance: 3, SLO: 1000}}})
	g := d.gate
	g.usual = []float64{9, 1}
	g.level = 1.5
	d.now = 10000
	g.asked[cheap].add(d.now, admissionHalfLife, 80)
	g.asked[lead].add(d.now, admissionHalfLife, 40)
	come := g.asked[cheap].rate(d.now, admissionHalfLife, 0) + g.asked[lead].rate(d.now, admissionHalfLife, 0)
	if all, _ := g.estimateDemand(); all > come+0.001 {
		t.Errorf("a demand of %.1f calls a second is reckoned where %.1f come", all, come)
	}
}

// A level that is told as whole turns nobody away, and what comes usually is learnt again.
func TestLevelsToldAsWholeThrottleNothing(t *testing.T) {
	g := New(1, Config{Slices: 1, ReportInterval: 500, Levels: LevelShare, Routes: []Route{{SLO: 1000}, {SLO: 1000}}}).gate
	if g.level = 1.98; g.throttles() {
		t.Error("a level that is told as 1 is taken to throttle")
	}
	if g.level = 1.9; !g.throttles() {
		t.Error("a level of 0.9 is taken to throttle nothing")
	}
}

// Levels let in a part of all calls that come, also of those that are made again: that part has to fit. Levels for the
// calls that were wanted in the first place let in twice what hosts could do, and what was lost by that came again
// (issue 34, real sockets).
func TestWhatIsLetInFitsAllCallsThatCome(t *testing.T) {
	const cheap, lead = RouteID(0), RouteID(1)
	const able = 100.0
	g := New(1, Config{Slices: 1, ReportInterval: 500, Levels: LevelShare,
		Routes: []Route{{Importance: 1, SLO: 1000}, {Importance: 3, SLO: 1000}}}).gate
	g.now = 10000
	g.usual = []float64{60, 30} // wanted, as learnt before
	g.asked[cheap].add(g.now, admissionHalfLife, 300)
	g.asked[lead].add(g.now, admissionHalfLife, 40)
	g.steer(capability{able: able, busy: able, busyOf: able})
	levels := g.levels(true).level
	letIn := levels[cheap]*g.calls(cheap) + levels[lead]*g.calls(lead)
	if letIn > able {
		t.Errorf("%.0f calls a second are let in where hosts can do %.0f", letIn, able)
	}
}

// Levels ease to what hosts have room for, not at once to all that come: that was the next burst.
func TestLevelsEaseByTheRoomOfHosts(t *testing.T) {
	const able, busyShare, level = 200.0, 0.5, 0.3
	g := New(1, Config{Slices: 1, ReportInterval: 500, Levels: LevelShare, Routes: []Route{{SLO: 1000}}}).gate
	g.now = 10000
	g.usual = []float64{100}
	g.asked[0].add(g.now, admissionHalfLife, 1000)
	g.level, g.told.level = level, []float64{level}
	before := level * g.calls(0)
	g.steer(capability{able: able, busy: able * busyShare, busyOf: able})
	after := g.level * g.calls(0)
	if most := before * targetPressure / busyShare; after > most+0.001 || after <= before {
		t.Errorf("%.0f calls a second are let in after %.0f, at hosts half idle: more than before and at most %.0f were expected", after, before, most)
	}
}

// Busy shares are older than a burst that has just begun: hosts that had room are not roomy for twice the calls.
func TestBusySharesAreOlderThanABurst(t *testing.T) {
	calm := capability{busy: 50, busyOf: 100, usable: 1, growth: 1}
	burst := calm
	burst.growth = 2
	if !calm.roomy() || burst.roomy() {
		t.Errorf("roomy in calm %v, in a burst %v", calm.roomy(), burst.roomy())
	}
}
