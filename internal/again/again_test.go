package again

import (
	"testing"

	"pgregory.net/rapid"
)

var note = Route{Repeat: Keyed, Reach: Cell, Span: 4000, SLO: 1000, TryWait: 1.2}

func TestOnlyAsOrderedAndOnlyWhatIsSafe(t *testing.T) {
	for _, c := range []struct {
		name  string
		route Route
		tries int
		fates []Fate
		at    float64
		want  Verdict
	}{
		{"none ordered", Route{Repeat: Repeatable}, 0, []Fate{NeverRan}, 100, NotOrdered},
		{"proof", Route{Repeat: Mutating}, 1, []Fate{NeverRan}, 100, Goes},
		{"no proof", Route{Repeat: Repeatable}, 1, []Fate{MayHaveRun}, 100, NotOrdered},
		{"any failure, repeatable", Route{Repeat: Repeatable}, 2, []Fate{MayHaveRun}, 100, Goes},
		{"one only", Route{Repeat: Repeatable}, 2, []Fate{MayHaveRun, MayHaveRun}, 100, NotOrdered},
		{"two", Route{Repeat: Repeatable}, 3, []Fate{MayHaveRun, MayHaveRun}, 100, Goes},
		{"two only", Route{Repeat: Repeatable}, 3, []Fate{MayHaveRun, MayHaveRun, NeverRan}, 100, NotOrdered},
		{"mutating, any failure", Route{Repeat: Mutating}, 3, []Fate{MayHaveRun}, 100, Unsafe},
		{"mutating, proof twice", Route{Repeat: Mutating}, 3, []Fate{NeverRan, NeverRan}, 100, Goes},
		{"mutating, proof then none", Route{Repeat: Mutating}, 3, []Fate{NeverRan, MayHaveRun}, 100, Unsafe},
		{"keyed within the span", note, 2, []Fate{MayHaveRun}, 3999, Goes},
		{"keyed past the span", note, 2, []Fate{MayHaveRun}, 4000, Unsafe},
		{"too late", Route{Repeat: Repeatable}, 2, []Fate{MayHaveRun}, 4900, TooLate},
	} {
		call := Begin(c.route, c.tries, 5000)
		for _, f := range c.fates {
			call.Failed(f, Place{"a", "a-1"}, 0)
		}
		if got := call.Next(c.at, 150, NewBudget()); got != c.want {
			t.Errorf("%s: %s, wanted %s", c.name, got, c.want)
		}
	}
}

func TestAKeyedCallStaysWithinReach(t *testing.T) {
	for reach, want := range map[string][3]bool{All: {true, true, true}, Zone: {true, true, false}, Cell: {true, false, false}, "": {}} {
		call := Begin(Route{Repeat: Keyed, Reach: reach, Span: 4000}, 3, 5000)
		if !call.Among(Place{"b", "b-1"}) {
			t.Errorf("%s: bound before anything ran", reach)
		}
		call.Failed(NeverRan, Place{"b", "b-1"}, 0)
		call.Failed(MayHaveRun, Place{"a", "a-1"}, 0)
		for i, p := range []Place{{"a", "a-1"}, {"a", "a-2"}, {"b", "b-1"}} {
			if got := call.Among(p); got != want[i] {
				t.Errorf("%s: %v to %v", reach, got, p)
			}
		}
	}
}

func TestTheWaitOfATry(t *testing.T) {
	call := Begin(note, 2, 5000)
	if got := call.Wait(100); got != 1300 {
		t.Errorf("a try that another may follow waits until %v", got)
	}
	call.Failed(MayHaveRun, Place{}, 100)
	if got := call.Wait(1300); got != 5000 {
		t.Errorf("the last waits until %v", got)
	}
	for _, c := range []Call{Begin(note, 1, 5000), Begin(Route{Repeat: Mutating, SLO: 1000, TryWait: 1.2}, 3, 5000)} {
		if got := c.Wait(100); got != 5000 {
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
				b.First(now)
			}
			call := Begin(Route{Repeat: Repeatable}, 3, now+1e6)
			call.Failed(MayHaveRun, Place{}, now)
			if call.Next(now, 0, b) == Goes {
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
		route := rapid.SampledFrom([]Route{{Repeat: Mutating}, note, {Repeat: Keyed, Reach: Zone, Span: 500}}).Draw(t, "route")
		call := Begin(route, rapid.IntRange(0, 3).Draw(t, "tries"), 1e5)
		now, ran, ranAt := 0.0, []Place(nil), 0.0
		places := rapid.SampledFrom([]Place{{"a", "a1"}, {"a", "a2"}, {"b", "b1"}})
		at := places.Draw(t, "first")
		for {
			known := len(ran) > 0 && route.Repeat == Keyed && now-ranAt < route.Span
			for _, p := range ran {
				known = known && (p.Cell == at.Cell || route.Reach == Zone && p.Zone == at.Zone)
			}
			if runs := rapid.Bool().Draw(t, "runs"); runs && len(ran) > 0 && !known {
				t.Fatalf("%s runs twice: at %v, then %v after %v ms", route.Repeat, ran, at, now-ranAt)
			} else if runs && len(ran) == 0 {
				ran, ranAt = append(ran, at), now
				call.Failed(MayHaveRun, at, now)
			} else if runs {
				call.Failed(MayHaveRun, at, now)
			} else {
				call.Failed(Fate(rapid.IntRange(0, 1).Draw(t, "known")), at, now)
			}
			now += rapid.Float64Range(0, 3000).Draw(t, "later")
			if call.Next(now, 0, NoLimit()) != Goes {
				return
			}
			if at = places.Draw(t, "next"); !call.Among(at) {
				return
			}
		}
	})
}
