package checks

import (
	"strings"
	"testing"

	"vetchwood/internal/tables"
)

// Each kind of fault must be reported, and permitted changes must not be.
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
		reason string
	}{
		"no fault":   {func(*Transition) {}, ""},
		"no lines":   {func(s *Transition) { s.Next = lines(nil) }, "left without a host"},
		"all masked": {func(s *Transition) { s.NextMasked = map[tables.Address]bool{"a:1": true} }, "left without a host"},
		"masked, same table": {func(s *Transition) {
			s.Next = s.Previous
			s.NextMasked = map[tables.Address]bool{"a:1": true, "b:1": true}
		}, "left without a host"},
		"without a host before too": {func(s *Transition) { s.Previous, s.Next = lines(nil), lines(nil) }, ""},
		"without a host, none is warm": {func(s *Transition) {
			s.Next = lines(nil)
			s.Listed = map[tables.Address]Host{"a:1": {Up: true, WarmingUp: true}}
		}, ""},
		"a weight of 0":                   {func(s *Transition) { s.Next = lines(map[tables.Address]float64{"a:1": 0, "b:1": 1}) }, "weight 0"},
		"a host that was never listed":    {func(s *Transition) { s.Next = lines(map[tables.Address]float64{"a:1": 1, "x:1": 1}) }, "never in the host list"},
		"more weight for a draining host": {func(s *Transition) { s.Next = lines(map[tables.Address]float64{"a:1": 1, "d:1": 1}) }, "draining or gone"},
		"unchanged weight of a draining host": {func(s *Transition) {
			s.Previous = lines(map[tables.Address]float64{"d:1": 1})
			s.Next = lines(map[tables.Address]float64{"a:1": 1, "d:1": 1})
		}, ""},
	} {
		s := base()
		c.change(&s)
		faults := Validate(s)
		if c.reason == "" && len(faults) > 0 || c.reason != "" && (len(faults) != 1 || !strings.Contains(faults[0].String(), c.reason)) {
			t.Errorf("%s: faults %v, wanted %q", name, faults, c.reason)
		}
	}
}
