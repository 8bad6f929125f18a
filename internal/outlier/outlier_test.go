package outlier

import "testing"

// fail records n failed tries at the host h and reports whether the last one ejected it.
func fail(d *Detector[string], n int, now float64) (ejected bool) {
	for range n {
		d.TryStarted("h", now)
		ejected = d.TryEnded("h", false, now, 0.5)
	}
	return ejected
}

func TestConsecutiveFailuresEject(t *testing.T) {
	d := New[string](3)
	fail(d, 2, 0)
	d.TryEnded("h", true, 0, 0) // a successful answer resets the count
	if fail(d, 2, 0) || !d.Available("h", 0) {
		t.Fatal("ejected after 2 consecutive failures, threshold 3")
	}
	if !fail(d, 1, 0) || d.Available("h", 2999) || d.EjectedCount(1) != 1 {
		t.Fatal("not ejected after 3 consecutive failures")
	}
	d.TryEnded("h", false, 100, 0.5) // a try that began before the ejection
	if d.Available("h", 2999) || !d.Available("h", 3000) {
		t.Fatalf("ejected until %v, want 3000", d.EjectedUntil("h"))
	}
}

// After an ejection a single trial tells whether the host recovered. Until it ends, no other try goes to the host.
func TestOneTrialAfterEjection(t *testing.T) {
	d := New[string](3)
	fail(d, 3, 0)
	d.TryStarted("h", 3000)
	if d.Available("h", 3000) {
		t.Fatal("a second try is allowed while the trial is in flight")
	}
	d.TryEnded("h", false, 3500, 0.5)
	if d.Available("h", 9000) || !d.Available("h", 9500) {
		t.Fatalf("the second ejection is not twice as long as the first: until %v, want 9500", d.EjectedUntil("h"))
	}
	d.TryStarted("h", 9500)
	d.TryEnded("h", true, 9600, 0)
	if !d.Available("h", 9600) || fail(d, 2, 9600) {
		t.Fatal("a successful trial does not readmit the host and reset its failures")
	}
}

// A trial that is canceled by its client, or that never ends, does not keep a host ejected forever.
func TestTrialWithoutResult(t *testing.T) {
	d := New[string](1)
	fail(d, 1, 0)
	d.TryStarted("h", 3000)
	d.TryCanceled("h")
	if !d.Available("h", 3001) {
		t.Fatal("still ejected after the trial was canceled by its client")
	}
	d.TryStarted("h", 3001)
	if d.Available("h", 20000) || !d.Available("h", 30000) {
		t.Fatal("a trial that never ends is ignored too early, or keeps the host ejected forever")
	}
}

func TestEjectionsAreBounded(t *testing.T) {
	d := New[string](1)
	now := 0.0
	for range 20 {
		fail(d, 1, now)
		if next := d.EjectedUntil("h"); next-now > maxEjectionMs*1.3 {
			t.Fatalf("an ejection of %v ms, longer than the maximum with jitter", next-now)
		}
		now = d.EjectedUntil("h")
	}
	d.Retain(func(string) bool { return false })
	if !d.Available("h", 0) {
		t.Fatal("keeps the state of a host that no table names")
	}
	never := New[string](0)
	if fail(never, 100, 0) || !never.Available("h", 0) {
		t.Fatal("a host was ejected with a threshold of 0")
	}
}
