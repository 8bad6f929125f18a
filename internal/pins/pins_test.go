package pins

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"vetchwood/internal/tables"
)

// For any pinned table and any condition of the hosts: hosts that drain or are gone get no calls, a host in slow start
// gets at most a quarter of its weight, a table has a warm, unmasked host if one is listed, and a pinned table that
// breaks no rule is unchanged.
func TestRulesOverridePins(t *testing.T) {
	hosts := rapid.SampledFrom([]tables.Address{"a:1", "b:1", "c:1", "d:1", "e:1"})
	state := rapid.Custom(func(t *rapid.T) Host {
		return Host{rapid.Bool().Draw(t, "up"), rapid.Bool().Draw(t, "cold"), rapid.Bool().Draw(t, "masked")}
	})
	rapid.Check(t, func(t *rapid.T) {
		pinned := rapid.MapOfN(hosts, rapid.Float64Range(0.01, 5), 0, 4).Draw(t, "pinned")
		listed := rapid.MapOfN(hosts, state, 0, 5).Draw(t, "listed")
		m := Adjust(rapid.IntRange(0, 50).Draw(t, "table"), pinned, listed)
		hasWarm, warmListed, breaksRule := false, false, false
		for _, h := range listed {
			warmListed = warmListed || h.Up && !h.WarmingUp && !h.Masked
		}
		for a, w := range m.Lines {
			h := listed[a]
			if !h.Up || !(w > 0) {
				t.Fatalf("host %s in condition %+v gets weight %v", a, h, w)
			}
			if h.WarmingUp && w > pinned[a]*warmUpWeightShare {
				t.Fatalf("host %s is in slow start and gets weight %v of pinned %v", a, w, pinned[a])
			}
			hasWarm = hasWarm || !h.WarmingUp && !h.Masked
		}
		if hasWarm != warmListed {
			t.Fatalf("table has a warm, unmasked host: %v, one is listed: %v: %v", hasWarm, warmListed, m)
		}
		for a := range pinned {
			breaksRule = breaksRule || !listed[a].Up || listed[a].WarmingUp || listed[a].Masked
		}
		if !breaksRule && len(pinned) > 0 && (len(m.Deviations) > 0 || MovedFraction(pinned, m.Lines) > 0) {
			t.Fatalf("a table that breaks no rule was adjusted: %v", m)
		}
	})
}

func TestMoved(t *testing.T) {
	for _, c := range []struct {
		from, to map[tables.Address]float64
		want     float64
	}{
		{map[tables.Address]float64{"a": 1}, map[tables.Address]float64{"a": 5}, 0},
		{map[tables.Address]float64{"a": 1}, map[tables.Address]float64{"b": 1}, 1},
		{map[tables.Address]float64{"a": 1, "b": 1}, map[tables.Address]float64{"a": 1}, 0.5},
		{nil, map[tables.Address]float64{"a": 1}, 0},
	} {
		if got := MovedFraction(c.from, c.to); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%v to %v: %v, wanted %v", c.from, c.to, got, c.want)
		}
	}
}
