package platform

import (
	"context"
	"testing"
	"time"
)

const (
	calmDuration  = 6 * time.Second
	burstDuration = 12 * time.Second
	// burstReactionTime is the time from the start of a burst until calls are expected to be answered in time again:
	// reports, new admission levels and their propagation take two seconds, and calls admitted by then end within the
	// call timeout.
	burstReactionTime = 2*time.Second + callTimeout
	burstExtraDemand  = 2 // times the usual demand, in addition to it: 1.7 times the capacity of the hosts in total
)

// Guards against overload during a burst: demand rises to three times the usual rate at once, and callers retry
// rejected calls. Calls beyond the capacity of the hosts must be rejected within seconds, and admitted calls answered
// in time, during the burst and after it. Regression test for both reports in issue 34.
func TestBurstIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.maxRetries = 2
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.start(ctx)
	time.Sleep(calmDuration)
	calm := f.outcomes()
	burst, stop := context.WithTimeout(ctx, burstDuration)
	defer stop()
	for range burstExtraDemand {
		go f.generateCalls(burst)
	}
	time.Sleep(burstReactionTime)
	reacted := f.outcomes()
	time.Sleep(burstDuration - burstReactionTime)
	during := f.outcomes()
	time.Sleep(callTimeout + calmDuration)
	onset, steady, after := reacted.since(calm), during.since(reacted), f.outcomes().since(during)
	f.mu.Lock()
	stallTime := f.stallTime
	f.mu.Unlock()
	t.Logf("calm %+v, burst start %+v, during %+v, after %+v; the test's own process stalled for %v",
		calm, onset, steady, after, stallTime)
	if late := steady.late + steady.unanswered; late*10 > steady.all() {
		t.Errorf("%d of %d calls were answered late or not at all, %v after a burst began", late, steady.all(), burstReactionTime)
	}
	if steady.inTime*4 < steady.all() {
		t.Errorf("%d of %d calls were answered in time in a burst of 1.7 times the capacity of the hosts",
			steady.inTime, steady.all())
	}
	total := during.since(calm)
	if late := total.late + total.unanswered; late*5 > total.all() {
		t.Errorf("%d of %d calls of a burst were answered late or not at all", late, total.all())
	}
	if late := after.late + after.unanswered; late*20 > after.all() {
		t.Errorf("%d of %d calls were answered late or not at all after a burst", late, after.all())
	}
	f.logOnFailure("msg=load")
}
