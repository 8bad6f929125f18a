package again

import (
	"testing"

	"pgregory.net/rapid"
)

var note = Route{Idempotency: IdempotentByKey, DedupScope: DedupCell, DedupWindow: 4000, SLO: 1000, TryTimeoutShare: 1.2}

func TestOnlyAsOrderedAndOnlyWhatIsSafe(t *testing.T) {
	for _, c := range []struct {
		name  string
		route Route
		tries int
		fates []Execution
		at    float64
		want  Verdict
	}{
		{"none ordered", Route{Idempotency: Idempotent}, 0, []Execution{NeverRan}, 100, NotAllowed},
		{"proof", Route{Idempotency: NonIdempotent}, 1, []Execution{NeverRan}, 100, Retry},
		{"no proof", Route{Idempotency: Idempotent}, 1, []Execution{MayHaveRun}, 100, NotAllowed},
		{"any failure, repeatable", Route{Idempotency: Idempotent}, 2, []Execution{MayHaveRun}, 100, Retry},
		{"one only", Route{Idempotency: Idempotent}, 2, []Execution{MayHaveRun, MayHaveRun}, 100, NotAllowed},
		{"two", Route{Idempotency: Idempotent}, 3, []Execution{MayHaveRun, MayHaveRun}, 100, Retry},
		{"two only", Route{Idempotency: Idempotent}, 3, []Execution{MayHaveRun, MayHaveRun, NeverRan}, 100, NotAllowed},
		{"mutating, any failure", Route{Idempotency: NonIdempotent}, 3, []Execution{MayHaveRun}, 100, Unsafe},
		{"mutating, proof twice", Route{Idempotency: NonIdempotent}, 3, []Execution{NeverRan, NeverRan}, 100, Retry},
		{"mutating, proof then none", Route{Idempotency: NonIdempotent}, 3, []Execution{NeverRan, MayHaveRun}, 100, Unsafe},
		{"keyed within the span", note, 2, []Execution{MayHaveRun}, 3999, Retry},
		{"keyed past the span", note, 2, []Execution{MayHaveRun}, 4000, Unsafe},
		{"too late", Route{Idempotency: Idempotent}, 2, []Execution{MayHaveRun}, 4900, TooLate},
	} {
		call := NewState(c.route, c.tries, 5000)
		for _, f := range c.fates {
			call.RecordFailure(f, Location{"a", "a-1"}, 0)
		}
		if got := call.Decide(c.at, 150, NewBudget()); got != c.want {
			t.Errorf("%s: %s, wanted %s", c.name, got, c.want)
		}
	}
}

func TestAKeyedCallStaysWithinReach(t *testing.T) {
	for reach, want := range map[string][3]bool{DedupAll: {true, true, true}, DedupZone: {true, true, false}, DedupCell: {true, false, false}, "": {}} {
		call := NewState(Route{Idempotency: IdempotentByKey, DedupScope: reach, DedupWindow: 4000}, 3, 5000)
		if !call.Allows(Location{"b", "b-1"}) {
			t.Errorf("%s: bound before anything ran", reach)
		}
		call.RecordFailure(NeverRan, Location{"b", "b-1"}, 0)
		call.RecordFailure(MayHaveRun, Location{"a", "a-1"}, 0)
		for i, p := range []Location{{"a", "a-1"}, {"a", "a-2"}, {"b", "b-1"}} {
			if got := call.Allows(p); got != want[i] {
				t.Errorf("%s: %v to %v", reach, got, p)
			}
		}
	}
}

func TestTheWaitOfATry(t *testing.T) {
	call := NewState(note, 2, 5000)
	if got := call.TryDeadline(100); got != 1300 {
		t.Errorf("a try that another may follow waits until %v", got)
	}
	call.RecordFailure(MayHaveRun, Location{}, 100)
	if got := call.TryDeadline(1300); got != 5000 {
		t.Errorf("the last waits until %v", got)
	}
	for _, c := range []State{NewState(note, 1, 5000), NewState(Route{Idempotency: NonIdempotent, SLO: 1000, TryTimeoutShare: 1.2}, 3, 5000)} {
		if got := c.TryDeadline(100); got != 5000 {
			t.Errorf("cut short at %v with nothing to follow", got)
		}
	}
}

// Whatever happens, further tries are at most a share of first tries, a few a second and the store of a quiet time.
func TestTheBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now, firsts, more := NewBudget(), 1.0, 0.0, 0.0
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += rapid.Float64Range(0, 50).Draw(t, "later")
			if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				firsts++
				b.RecordFirstTry(now)
			}
			call := NewState(Route{Idempotency: Idempotent}, 3, now+1e6)
			call.RecordFailure(MayHaveRun, Location{}, now)
			if call.Decide(now, 0, b) == Retry {
				more++
			}
			if most := budgetShare*firsts + budgetFloor*now/1000 + budgetMost; more > most {
				t.Fatalf("%v further tries by %v ms after %v first ones", more, now, firsts)
			}
		}
	})
}

// A model that knows where a call really ran: no order of fates lets a mutating call run twice, nor a keyed one
// where its first run is not known.
func TestNoEffectTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := rapid.SampledFrom([]Route{{Idempotency: NonIdempotent}, note, {Idempotency: IdempotentByKey, DedupScope: DedupZone, DedupWindow: 500}}).Draw(t, "route")
		call := NewState(route, rapid.IntRange(0, 3).Draw(t, "tries"), 1e5)
		now, ran, ranAt := 0.0, []Location(nil), 0.0
		places := rapid.SampledFrom([]Location{{"a", "a1"}, {"a", "a2"}, {"b", "b1"}})
		at := places.Draw(t, "first")
		for {
			known := len(ran) > 0 && route.Idempotency == IdempotentByKey && now-ranAt < route.DedupWindow
			for _, p := range ran {
				known = known && (p.Cell == at.Cell || route.DedupScope == DedupZone && p.Zone == at.Zone)
			}
			if runs := rapid.Bool().Draw(t, "runs"); runs && len(ran) > 0 && !known {
				t.Fatalf("%s runs twice: at %v, then %v after %v ms", route.Idempotency, ran, at, now-ranAt)
			} else if runs && len(ran) == 0 {
				ran, ranAt = append(ran, at), now
				call.RecordFailure(MayHaveRun, at, now)
			} else if runs {
				call.RecordFailure(MayHaveRun, at, now)
			} else {
				call.RecordFailure(Execution(rapid.IntRange(0, 1).Draw(t, "known")), at, now)
			}
			now += rapid.Float64Range(0, 3000).Draw(t, "later")
			if call.Decide(now, 0, NewUnlimitedBudget()) != Retry {
				return
			}
			if at = places.Draw(t, "next"); !call.Allows(at) {
				return
			}
		}
	})
}
