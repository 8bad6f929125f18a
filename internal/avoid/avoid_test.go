package avoid

import "testing"

func fail(v *Detector[string], n int, now float64) (shut bool) {
	for range n {
		v.TryStarted("h", now)
		shut = v.TryEnded("h", false, now, 0.5)
	}
	return shut
}

func TestARunOfFailuresShutsAHost(t *testing.T) {
	v := New[string](3)
	fail(v, 2, 0)
	v.TryEnded("h", true, 0, 0) // a good answer ends the run
	if fail(v, 2, 0) || !v.Available("h", 0) {
		t.Fatal("shut after two in a row of three")
	}
	if !fail(v, 1, 0) || v.Available("h", 2999) || v.EjectedCount(1) != 1 {
		t.Fatal("not shut after three in a row")
	}
	v.TryEnded("h", false, 100, 0.5) // a try begun before
	if v.Available("h", 2999) || !v.Available("h", 3000) {
		t.Fatalf("until %v", v.EjectedUntil("h"))
	}
}

// After its span one try learns whether a host is back; others wait for what it meets.
func TestOneTryProbes(t *testing.T) {
	v := New[string](3)
	fail(v, 3, 0)
	v.TryStarted("h", 3000)
	if v.Available("h", 3000) {
		t.Fatal("a second try while the first probes")
	}
	v.TryEnded("h", false, 3500, 0.5)
	if v.Available("h", 9000) || !v.Available("h", 9500) {
		t.Fatalf("the second span is not twice the first: until %v", v.EjectedUntil("h"))
	}
	v.TryStarted("h", 9500)
	v.TryEnded("h", true, 9600, 0)
	if !v.Available("h", 9600) || fail(v, 2, 9600) {
		t.Fatal("a good answer does not open it whole")
	}
}

// A probe whose client gave up, or that never ends, does not keep a host shut for ever.
func TestALostProbe(t *testing.T) {
	v := New[string](1)
	fail(v, 1, 0)
	v.TryStarted("h", 3000)
	v.TryCanceled("h")
	if !v.Available("h", 3001) {
		t.Fatal("shut by a probe whose client gave up")
	}
	v.TryStarted("h", 3001)
	if v.Available("h", 20000) || !v.Available("h", 30000) {
		t.Fatal("shut for ever by a probe that never ends")
	}
}

func TestSpansHaveAnEnd(t *testing.T) {
	v := New[string](1)
	now := 0.0
	for range 20 {
		fail(v, 1, now)
		if next := v.EjectedUntil("h"); next-now > longest*1.3 {
			t.Fatalf("a span of %v", next-now)
		}
		now = v.EjectedUntil("h")
	}
	v.Retain(func(string) bool { return false })
	if !v.Available("h", 0) {
		t.Fatal("remembers what no table names")
	}
	never := New[string](0)
	if fail(never, 100, 0) || !never.Available("h", 0) {
		t.Fatal("avoids though the tables say never")
	}
}
