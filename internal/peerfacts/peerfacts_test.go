package peerfacts

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"vetchwood/internal/tables"
)

func testHosts(n int, change func(i int, h *Host)) (out []Host) {
	for i := range n {
		h := Host{Address: tables.Address(fmt.Sprintf("10.0.0.%d:80", i)), State: Up, Weight: 1, StartedAt: 1000}
		if change != nil {
			change(i, &h)
		}
		out = append(out, h)
	}
	return out
}

func draining(which int) func(int, *Host) {
	return func(i int, h *Host) {
		if i == which {
			h.State = Draining
		}
	}
}

func peer(name string, hosts []Host) Report {
	return Report{Facts: Facts{Director: name, Uptime: 60000, ProxyCount: 9, Hosts: hosts}, Age: 5}
}

func TestReconcileHosts(t *testing.T) {
	current := Local{ListAge: 0, Hosts: testHosts(10, nil)}
	unlisted := Local{ListAge: -1, Hosts: testHosts(10, nil)}
	for _, c := range []struct {
		name  string
		local Local
		peers []Report
		want  string // address and state of each host
	}{
		{"a drain overrides an older state in the local store", unlisted, []Report{peer("a", testHosts(10, draining(3)))}, "[10.0.0.3:80 draining]"},
		{"a drain overrides a host list that may be late", current, []Report{peer("a", testHosts(10, draining(3)))}, "[10.0.0.3:80 draining]"},
		{"a peer that agrees changes nothing", current, []Report{peer("a", testHosts(10, nil))}, "[]"},
		{"stale facts are ignored", current, []Report{{peer("a", testHosts(10, draining(3))).Facts, 15000}}, "[]"},
		{"a peer with an outdated host list is ignored", current, []Report{{Facts{Director: "a", Uptime: 60000, ListAge: 15000, Hosts: testHosts(10, draining(3))}, 5}}, "[]"},
		{"a peer that has just started is ignored", current, []Report{{Facts{Director: "a", Uptime: 500, Hosts: testHosts(10, draining(3))}, 5}}, "[]"},
		{"a peer without a host list is ignored", unlisted, []Report{{Facts{Director: "a", Uptime: 60000, ListAge: -1, Hosts: testHosts(10, draining(3))}, 5}}, "[]"},
		{"a peer that contradicts the host list on many hosts is ignored", current, []Report{peer("a", testHosts(10, func(i int, h *Host) {
			if i < 6 {
				h.State = Draining
			}
		}))}, "[]"},
		{"a drain reported by a peer that shuts down counts", current, []Report{{Facts{Director: "a", Uptime: 60000, Leaving: true, Hosts: testHosts(10, draining(3))}, 5}},
			"[10.0.0.3:80 draining]"},
		{"a peer does not undo a drain in the local host list", Local{Hosts: testHosts(10, draining(2))}, []Report{peer("a", testHosts(10, nil))}, "[]"},
		{"a peer undoes a drain from before the local start", Local{ListAge: -1, Hosts: testHosts(10, draining(2))}, []Report{peer("a", testHosts(10, nil))}, "[10.0.0.2:80 up]"},
		{"a drain from before a host's restart is ignored", Local{Hosts: testHosts(3, func(_ int, h *Host) { h.StartedAt = 5000 })}, []Report{peer("a", testHosts(3, func(i int, h *Host) {
			draining(1)(i, h)
			h.StartedAt = map[bool]float64{true: 4000, false: 5000}[i == 1]
		}))}, "[]"},
		{"a later start of a host counts", current, []Report{peer("a", testHosts(10, func(i int, h *Host) {
			if i == 4 {
				h.StartedAt = 9000
			}
		}))}, "[10.0.0.4:80 up]"},
		{"of two peers the more severe state counts", unlisted, []Report{peer("a", testHosts(10, nil)), peer("b", testHosts(10, draining(3)))}, "[10.0.0.3:80 draining]"},
		{"a host that the local list lacks is not added", current, []Report{peer("a", testHosts(11, nil))}, "[]"},
		{"without a local list an unknown host is added", unlisted, []Report{peer("a", testHosts(11, nil))}, "[10.0.0.10:80 up]"},
	} {
		got := []string{}
		for _, h := range Reconcile(c.local, c.peers).Hosts {
			got = append(got, fmt.Sprint(h.Address, " ", h.State))
		}
		if fmt.Sprint(got) != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// The tries of all peers add up to no more than was reported, demand beyond maxAge is ignored, and the order of peers
// does not matter.
func TestReconcileSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Report
		for i := range rapid.IntRange(1, 4).Draw(t, "peers") {
			p := peer(fmt.Sprint("d", i), testHosts(4, func(_ int, h *Host) {
				h.Health = &Health{Period: 4000, Age: rapid.Float64Range(0, 9000).Draw(t, "age"), Finished: 100, Failed: rapid.Float64Range(0, 120).Draw(t, "failed"), MeanLatency: 50}
			}))
			p.Demand = []Demand{{Slice: i % 2, Route: "read", Rate: 10 * float64(i+1), Age: rapid.Float64Range(0, 30000).Draw(t, "demand age")}}
			p.Age = rapid.Float64Range(0, 25000).Draw(t, "facts age")
			all = append(all, p)
		}
		local := Local{ListAge: -1, Hosts: testHosts(4, nil)}
		c := Reconcile(local, all)
		for _, h := range c.Health {
			if h.Health.Finished > 100*float64(len(all)) || h.Health.Failed > h.Health.Finished+1e-9 || h.Health.Finished < 1 {
				t.Fatalf("%+v", h.Health)
			}
		}
		shuffled := rapid.Permutation(all).Draw(t, "order")
		if again := Reconcile(local, shuffled); !reflect.DeepEqual(again, c) {
			t.Fatalf("the result depends on the order of peers:\n%+v\n%+v", c, again)
		}
		for _, x := range c.Demand {
			if x.Age > maxAge {
				t.Fatalf("demand of age %v ms counts", x.Age)
			}
		}
	})
}
