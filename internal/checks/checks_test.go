package checks

import (
	"strings"
	"testing"

	"vetchwood/internal/tables"
)

func TestEachFaultIsFound(t *testing.T) {
	lines := func(l map[tables.Address]float64) map[string]*tables.Table {
		return map[string]*tables.Table{"t": {Lines: l}}
	}
	base := func() Transition {
		return Transition{Previous: lines(map[tables.Address]float64{"a:1": 1, "b:1": 1}), Next: lines(map[tables.Address]float64{"a:1": 1}),
			Known:  func(a tables.Address) bool { return a != "x:1" },
			Listed: map[tables.Address]Host{"a:1": {Up: true}, "b:1": {Up: true}, "d:1": {}, "w:1": {Up: true}}}
	}
	for name, c := range map[string]struct {
		change func(*Transition)
		says   string
	}{
		"fine":       {func(*Transition) {}, ""},
		"no lines":   {func(s *Transition) { s.Next = lines(nil) }, "left without a host"},
		"all masked": {func(s *Transition) { s.NextMasked = map[tables.Address]bool{"a:1": true} }, "left without a host"},
		"masked, the table stays": {func(s *Transition) {
			s.Next = s.Previous
			s.NextMasked = map[tables.Address]bool{"a:1": true, "b:1": true}
		}, "left without a host"},
		"bare before too": {func(s *Transition) { s.Previous, s.Next = lines(nil), lines(nil) }, ""},
		"bare, but none is warm": {func(s *Transition) {
			s.Next = lines(nil)
			s.Listed = map[tables.Address]Host{"a:1": {Up: true, WarmingUp: true}}
		}, ""},
		"a weight of 0":            {func(s *Transition) { s.Next = lines(map[tables.Address]float64{"a:1": 0, "b:1": 1}) }, "weight 0"},
		"a host of no list":        {func(s *Transition) { s.Next = lines(map[tables.Address]float64{"a:1": 1, "x:1": 1}) }, "no list ever"},
		"more for one that drains": {func(s *Transition) { s.Next = lines(map[tables.Address]float64{"a:1": 1, "d:1": 1}) }, "drains or is gone"},
		"what stood stays": {func(s *Transition) {
			s.Previous = lines(map[tables.Address]float64{"d:1": 1})
			s.Next = lines(map[tables.Address]float64{"a:1": 1, "d:1": 1})
		}, ""},
	} {
		s := base()
		c.change(&s)
		faults := Validate(s)
		if c.says == "" && len(faults) > 0 || c.says != "" && (len(faults) != 1 || !strings.Contains(faults[0].String(), c.says)) {
			t.Errorf("%s: %v, wanted %q", name, faults, c.says)
		}
	}
}
