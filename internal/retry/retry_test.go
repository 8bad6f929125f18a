package retry

import (
	"testing"

	"pgregory.net/rapid"
)

var keyedRoute = Route{Idempotency: IdempotentByKey, DedupScope: DedupCell, DedupWindow: 4000, SLO: 1000, TryTimeoutShare: 1.2}

func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name       string
		route      Route
		mode       int
		executions []Execution
		now        float64
		want       Verdict
	}{
		{"no retry allowed", Route{Idempotency: Idempotent}, 0, []Execution{NeverRan}, 100, NotAllowed},
		{"never ran", Route{Idempotency: NonIdempotent}, 1, []Execution{NeverRan}, 100, Allowed},
		{"may have run", Route{Idempotency: Idempotent}, 1, []Execution{MayHaveRun}, 100, NotAllowed},
		{"any failure, repeatable", Route{Idempotency: Idempotent}, 2, []Execution{MayHaveRun}, 100, Allowed},
		{"one retry only", Route{Idempotency: Idempotent}, 2, []Execution{MayHaveRun, MayHaveRun}, 100, NotAllowed},
		{"two retries", Route{Idempotency: Idempotent}, 3, []Execution{MayHaveRun, MayHaveRun}, 100, Allowed},
		{"two retries only", Route{Idempotency: Idempotent}, 3, []Execution{MayHaveRun, MayHaveRun, NeverRan}, 100, NotAllowed},
		{"mutating, any failure", Route{Idempotency: NonIdempotent}, 3, []Execution{MayHaveRun}, 100, Unsafe},
		{"mutating, never ran twice", Route{Idempotency: NonIdempotent}, 3, []Execution{NeverRan, NeverRan}, 100, Allowed},
		{"mutating, never ran, then may have run", Route{Idempotency: NonIdempotent}, 3, []Execution{NeverRan, MayHaveRun}, 100, Unsafe},
		{"keyed within the deduplication window", keyedRoute, 2, []Execution{MayHaveRun}, 3999, Allowed},
		{"keyed past the deduplication window", keyedRoute, 2, []Execution{MayHaveRun}, 4000, Unsafe},
		{"too late", Route{Idempotency: Idempotent}, 2, []Execution{MayHaveRun}, 4900, TooLate},
	} {
		call := NewState(test.route, test.mode, 5000)
		for _, execution := range test.executions {
			call.RecordFailure(execution, Location{"a", "a-1"}, 0)
		}
		if got := call.Decide(test.now, 150, NewBudget()); got != test.want {
			t.Errorf("%s: verdict %q, want %q", test.name, got, test.want)
		}
	}
}

func TestDedupScope(t *testing.T) {
	for scope, want := range map[string][3]bool{DedupAll: {true, true, true}, DedupZone: {true, true, false}, DedupCell: {true, false, false}, "": {}} {
		call := NewState(Route{Idempotency: IdempotentByKey, DedupScope: scope, DedupWindow: 4000}, 3, 5000)
		if !call.Allows(Location{"b", "b-1"}) {
			t.Errorf("scope %q: a host is excluded although no try may have run", scope)
		}
		call.RecordFailure(NeverRan, Location{"b", "b-1"}, 0)
		call.RecordFailure(MayHaveRun, Location{"a", "a-1"}, 0)
		for i, p := range []Location{{"a", "a-1"}, {"a", "a-2"}, {"b", "b-1"}} {
			if got := call.Allows(p); got != want[i] {
				t.Errorf("scope %q: got %v for a retry at %v", scope, got, p)
			}
		}
	}
}

func TestTryDeadline(t *testing.T) {
	call := NewState(keyedRoute, 2, 5000)
	if got := call.TryDeadline(100); got != 1300 {
		t.Errorf("the deadline of a try that may be retried is %v, want 1300", got)
	}
	call.RecordFailure(MayHaveRun, Location{}, 100)
	if got := call.TryDeadline(1300); got != 5000 {
		t.Errorf("the deadline of the last try is %v, want 5000", got)
	}
	for _, c := range []State{NewState(keyedRoute, 1, 5000), NewState(Route{Idempotency: NonIdempotent, SLO: 1000, TryTimeoutShare: 1.2}, 3, 5000)} {
		if got := c.TryDeadline(100); got != 5000 {
			t.Errorf("the deadline of a try that can't be retried is %v, want 5000", got)
		}
	}
}

// In any order of events, the number of retries is at most the share of first tries, plus the tokens granted per
// second, plus the tokens saved up.
func TestTheBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now, firstTries, retries := NewBudget(), 1.0, 0.0, 0.0
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += rapid.Float64Range(0, 50).Draw(t, "later")
			if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				firstTries++
				b.RecordFirstTry(now)
			}
			call := NewState(Route{Idempotency: Idempotent}, 3, now+1e6)
			call.RecordFailure(MayHaveRun, Location{}, now)
			if call.Decide(now, 0, b) == Allowed {
				retries++
			}
			if limit := budgetPerFirstTry*firstTries + budgetPerSecond*now/1000 + budgetMaxTokens; retries > limit {
				t.Fatalf("%v retries by %v ms after %v first tries", retries, now, firstTries)
			}
		}
	})
}

// The model knows where a call really was executed. In any order of failures, a mutating call is not executed twice,
// and a keyed call is not executed again at a host that would not recognize the repeat.
func TestNoEffectTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := rapid.SampledFrom([]Route{{Idempotency: NonIdempotent}, keyedRoute, {Idempotency: IdempotentByKey, DedupScope: DedupZone, DedupWindow: 500}}).Draw(t, "route")
		call := NewState(route, rapid.IntRange(0, 3).Draw(t, "tries"), 1e5)
		now, executed, executedAt := 0.0, []Location(nil), 0.0
		locations := rapid.SampledFrom([]Location{{"a", "a1"}, {"a", "a2"}, {"b", "b1"}})
		at := locations.Draw(t, "first")
		for {
			recognized := len(executed) > 0 && route.Idempotency == IdempotentByKey && now-executedAt < route.DedupWindow
			for _, p := range executed {
				recognized = recognized && (p.Cell == at.Cell || route.DedupScope == DedupZone && p.Zone == at.Zone)
			}
			if runs := rapid.Bool().Draw(t, "runs"); runs && len(executed) > 0 && !recognized {
				t.Fatalf("%s call executed twice: at %v, then at %v after %v ms", route.Idempotency, executed, at, now-executedAt)
			} else if runs && len(executed) == 0 {
				executed, executedAt = append(executed, at), now
				call.RecordFailure(MayHaveRun, at, now)
			} else if runs {
				call.RecordFailure(MayHaveRun, at, now)
			} else {
				call.RecordFailure(Execution(rapid.IntRange(0, 1).Draw(t, "known")), at, now)
			}
			now += rapid.Float64Range(0, 3000).Draw(t, "later")
			if call.Decide(now, 0, NewUnlimitedBudget()) != Allowed {
				return
			}
			if at = locations.Draw(t, "next"); !call.Allows(at) {
				return
			}
		}
	})
}
