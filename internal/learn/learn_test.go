package learn

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"vetchwood/internal/tables"
)

func listed(n int, change func(i int, h *Host)) (out []Host) {
	for i := range n {
		h := Host{Address: tables.Address(fmt.Sprintf("10.0.0.%d:80", i)), State: Up, Weight: 1, StartedAt: 1000}
		if change != nil {
			change(i, &h)
		}
		out = append(out, h)
	}
	return out
}

func drains(which int) func(int, *Host) {
	return func(i int, h *Host) {
		if i == which {
			h.State = Draining
		}
	}
}

func donor(name string, hosts []Host) PeerFacts {
	return PeerFacts{Facts: Facts{Director: name, Uptime: 60000, ProxyCount: 9, Hosts: hosts}, Age: 5}
}

func TestWeighing(t *testing.T) {
	own := Local{ListAge: 0, Hosts: listed(10, nil)}
	blind := Local{ListAge: -1, Hosts: listed(10, nil)}
	for _, c := range []struct {
		name  string
		me    Local
		heard []PeerFacts
		want  string // host and state, for each
	}{
		{"a drain is believed over an older word of our own store", blind, []PeerFacts{donor("a", listed(10, drains(3)))}, "[10.0.0.3:80 draining]"},
		{"and over a list that may be late", own, []PeerFacts{donor("a", listed(10, drains(3)))}, "[10.0.0.3:80 draining]"},
		{"one that agrees tells nothing", own, []PeerFacts{donor("a", listed(10, nil))}, "[]"},
		{"a stale donor is not followed", own, []PeerFacts{{donor("a", listed(10, drains(3))).Facts, 15000}}, "[]"},
		{"nor one whose list was lost long ago", own, []PeerFacts{{Facts{Director: "a", Uptime: 60000, ListAge: 15000, Hosts: listed(10, drains(3))}, 5}}, "[]"},
		{"nor one that has just started", own, []PeerFacts{{Facts{Director: "a", Uptime: 500, Hosts: listed(10, drains(3))}, 5}}, "[]"},
		{"nor one that never heard the list", blind, []PeerFacts{{Facts{Director: "a", Uptime: 60000, ListAge: -1, Hosts: listed(10, drains(3))}, 5}}, "[]"},
		{"nor one that contradicts the list on many hosts", own, []PeerFacts{donor("a", listed(10, func(i int, h *Host) {
			if i < 6 {
				h.State = Draining
			}
		}))}, "[]"},
		{"one that is leaving still knows of a drain", own, []PeerFacts{{Facts{Director: "a", Uptime: 60000, Leaving: true, Hosts: listed(10, drains(3))}, 5}},
			"[10.0.0.3:80 draining]"},
		{"our list's drain is not undone by a donor", Local{Hosts: listed(10, drains(2))}, []PeerFacts{donor("a", listed(10, nil))}, "[]"},
		{"one of before our start is", Local{ListAge: -1, Hosts: listed(10, drains(2))}, []PeerFacts{donor("a", listed(10, nil))}, "[10.0.0.2:80 up]"},
		{"a drain of an earlier life is none", Local{Hosts: listed(3, func(_ int, h *Host) { h.StartedAt = 5000 })}, []PeerFacts{donor("a", listed(3, func(i int, h *Host) {
			drains(1)(i, h)
			h.StartedAt = map[bool]float64{true: 4000, false: 5000}[i == 1]
		}))}, "[]"},
		{"a later start is", own, []PeerFacts{donor("a", listed(10, func(i int, h *Host) {
			if i == 4 {
				h.StartedAt = 9000
			}
		}))}, "[10.0.0.4:80 up]"},
		{"of two donors the one that keeps away", blind, []PeerFacts{donor("a", listed(10, nil)), donor("b", listed(10, drains(3)))}, "[10.0.0.3:80 draining]"},
		{"hosts that our list does not have are not its", own, []PeerFacts{donor("a", listed(11, nil))}, "[]"},
		{"without a list they are", blind, []PeerFacts{donor("a", listed(11, nil))}, "[10.0.0.10:80 up]"},
	} {
		got := []string{}
		for _, h := range Reconcile(c.me, c.heard).Hosts {
			got = append(got, fmt.Sprint(h.Address, " ", h.State))
		}
		if fmt.Sprint(got) != c.want {
			t.Errorf("%s: %v, not %v", c.name, got, c.want)
		}
	}
}

// What was met and asked for adds up over donors, less of those that are doubted, and in whatever order they come.
func TestSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []PeerFacts
		for i := range rapid.IntRange(1, 4).Draw(t, "donors") {
			d := donor(fmt.Sprint("d", i), listed(4, func(_ int, h *Host) {
				h.Health = &Health{Period: 4000, Age: rapid.Float64Range(0, 9000).Draw(t, "age"), Finished: 100, Failed: rapid.Float64Range(0, 120).Draw(t, "lost"), MeanLatency: 50}
			}))
			d.Demand = []Demand{{Slice: i % 2, Route: "read", Rate: 10 * float64(i+1), Age: rapid.Float64Range(0, 30000).Draw(t, "heat age")}}
			d.Age = rapid.Float64Range(0, 25000).Draw(t, "word age")
			all = append(all, d)
		}
		me := Local{ListAge: -1, Hosts: listed(4, nil)}
		c := Reconcile(me, all)
		for _, h := range c.Health {
			if h.Health.Finished > 100*float64(len(all)) || h.Health.Failed > h.Health.Finished+1e-9 || h.Health.Finished < 1 {
				t.Fatalf("%+v", h.Health)
			}
		}
		mixed := rapid.Permutation(all).Draw(t, "order")
		if again := Reconcile(me, mixed); !reflect.DeepEqual(again, c) {
			t.Fatalf("the order matters:\n%+v\n%+v", c, again)
		}
		for _, x := range c.Demand {
			if x.Age > longAge {
				t.Fatalf("a fact of %v ms ago counts", x.Age)
			}
		}
	})
}
