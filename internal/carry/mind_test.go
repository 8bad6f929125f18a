package carry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"vetchwood/internal/admit"
	"vetchwood/internal/again"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

func doc(step tables.Step, change func(*tables.Document)) *tables.Document {
	d := &tables.Document{Pick: "lottery", Ejects: 3, TryWait: 1, Masked: map[tables.Address]bool{}, Hosts: map[tables.Address]tables.Host{},
		Routes: map[string]tables.Route{
			"read": {Level: tables.Level{Level: 1, Tries: 2}, Repeat: "repeatable", SLOMs: 1000, TimeLimitMs: 3000, Importance: 1},
			"note": {Level: tables.Level{Level: 1, Tries: 3}, Repeat: "keyed", Reach: "cell", SpanMs: 4000, SLOMs: 1000, TimeLimitMs: 3000, Importance: 3},
		}, Tables: map[string]*tables.Table{}}
	for i := range 4 {
		from, to := tables.SliceRange(i, 4)
		d.Tables[fmt.Sprint(i)] = &tables.Table{From: &from, To: &to, Lines: map[tables.Address]float64{"a:1": 1, "b:1": 1, "c:1": 1}}
	}
	for i, a := range []tables.Address{"a:1", "b:1", "c:1"} {
		d.Hosts[a] = tables.Host{ID: string(a), Zone: []string{"x", "x", "y"}[i], Cell: []string{"1", "1", "2"}[i]}
	}
	if change != nil {
		change(d)
	}
	return d.Seal(1, step, float64(step))
}

func mind(change func(*tables.Document)) *Mind {
	m := New(Bounds{Zone: "y", InHand: 10, Queue: 2, PerHost: 3, WaitsTables: 100}, "b", rand.New(rand.NewPCG(1, 2)).Float64)
	m.Follow(doc(1, change))
	return m
}

func goes(t *testing.T, m *Mind, c *Call, now float64) Try {
	t.Helper()
	if o, _ := m.Come(c, now); o != Go {
		t.Fatalf("comes: %s", o)
	}
	try, o := m.First(c, now)
	if o != Go {
		t.Fatalf("first try: %s", o)
	}
	return try
}

func TestACallFindsItsTable(t *testing.T) {
	m := mind(func(d *tables.Document) {
		for name, table := range d.Tables {
			table.Lines = map[tables.Address]float64{tables.Address("h" + name + ":1"): 1}
		}
	})
	for i := range 200 {
		key := fmt.Sprint("key-", i)
		c := &Call{Route: "read", Key: key}
		if try := goes(t, m, c, 0); string(try.Host) != fmt.Sprintf("h%d:1", tables.SliceOf(key, 4)) {
			t.Fatalf("key %s of slice %d goes to %s", key, tables.SliceOf(key, 4), try.Host)
		}
		m.Answered(c, 1, logic.Load{})
		m.Done(c, true, 1)
	}
	if o, _ := m.Come(&Call{Route: "sing"}, 0); o != NoRoute {
		t.Fatalf("an unknown route: %s", o)
	}
	if o, _ := New(Bounds{InHand: 1}, "b", nil).Come(&Call{Route: "read"}, 0); o != NoTable {
		t.Fatalf("without tables: %s", o)
	}
}

func TestMasksAndZonesAreObeyed(t *testing.T) {
	m := mind(func(d *tables.Document) {
		d.Masked["a:1"] = true
		r := d.Routes["note"]
		r.OwnZone = true
		d.Routes["note"] = r
	})
	for i := range 100 {
		for route, bad := range map[string][]tables.Address{"read": {"a:1"}, "note": {"a:1", "b:1"}} {
			c := &Call{Route: route, Key: fmt.Sprint(i), Marked: true}
			try := goes(t, m, c, 0)
			for _, b := range bad {
				if try.Host == b {
					t.Fatalf("%s goes to %s", route, b)
				}
			}
			m.Answered(c, 1, logic.Load{})
			m.Done(c, true, 1)
		}
	}
	m.Follow(doc(2, func(d *tables.Document) { d.Masked = map[tables.Address]bool{"a:1": true, "b:1": true, "c:1": true} }))
	c := &Call{Route: "read", Key: "k"}
	m.Come(c, 0)
	if _, o := m.First(c, 0); o != NoTable {
		t.Fatalf("all are masked: %s", o)
	}
}

// A host that keeps failing is avoided; where all do, the least bad is used, and the call is not lost.
func TestAllAvoided(t *testing.T) {
	m := mind(nil)
	least := 0
	for i := range 60 {
		c := &Call{Route: "read", Key: "k"}
		try := goes(t, m, c, float64(i))
		if try.Least {
			least++
		}
		m.Failed(c, Unclear, float64(i), logic.Load{})
		if c.tried[len(c.tried)-1] != c.host { // a further try is in hand
			m.Failed(c, Unclear, float64(i), logic.Load{})
		}
		m.Done(c, false, float64(i))
	}
	if m.Avoided(60) != 3 || least == 0 {
		t.Fatalf("%d avoided, %d times the least bad", m.Avoided(60), least)
	}
}

func TestAKeyedCallWithoutAMarkIsTriedOnce(t *testing.T) {
	m := mind(nil)
	for _, c := range []*Call{{Route: "note", Key: "k"}, {Route: "note", Key: "k", Marked: true}} {
		goes(t, m, c, 0)
		first := c.host
		next, why := m.Failed(c, Unclear, 100, logic.Load{})
		switch {
		case !c.Marked && why != again.Unsafe:
			t.Errorf("without a mark: %s", why)
		case c.Marked && first == "c:1" && why != again.Nowhere, c.Marked && first != "c:1" && (why != again.Goes || next.Host == "c:1" || next.Host == first):
			t.Errorf("from %s to %s: %s", first, next.Host, why)
		}
	}
}

func TestHostsAndTheProxyHoldOnlySoMuch(t *testing.T) {
	m := mind(nil)
	var calls []*Call
	for i := range 9 {
		c := &Call{Route: "read", Key: "k"}
		goes(t, m, c, 0)
		calls = append(calls, c)
		if n := m.host(c.host).inHand; n > 3 {
			t.Fatalf("%d at one host", n)
		}
		_ = i
	}
	c := &Call{Route: "read", Key: "k", Ticket: 50}
	m.Come(c, 0)
	if _, o := m.First(c, 0); o != Full {
		t.Fatalf("all hosts are full: %s", o)
	}
	for ticket, importance := range []string{"read", "read", "note"} {
		o, out := m.Come(&Call{Route: importance, Key: "k", Ticket: 60 + uint64Ticket(ticket)}, 0)
		if o != Queued || ticket == 2 && out != 61 {
			t.Fatalf("%d: %s, %d is out", ticket, o, out)
		}
	}
	m.Answered(calls[0], 5, logic.Load{})
	if next, _ := m.Done(calls[0], true, 5); next != 62 {
		t.Fatalf("%d goes next, not the important one", next)
	}
}

func TestLevels(t *testing.T) {
	m := mind(func(d *tables.Document) {
		r := d.Routes["read"]
		r.Level.Level = 0.5
		d.Routes["read"] = r
		d.Tables["0"].Levels = map[string]tables.Level{"read": {Level: 0, Tries: 1}}
	})
	in, none := 0, 0
	for i := range 2000 {
		c := &Call{Route: "read", Key: fmt.Sprint(i)}
		o, _ := m.Come(c, 0)
		if tables.SliceOf(c.Key, 4) == 0 && o != Throttled {
			none++
		}
		if o == Go {
			in++
			m.Done(c, false, 0)
		}
	}
	if none > 0 || in < 680 || in > 820 { // half of three quarters
		t.Fatalf("%d let in, %d where the table lets none in", in, none)
	}
	m.Follow(doc(2, func(d *tables.Document) {
		d.LevelsBy = "rate"
		r := d.Routes["read"]
		r.Level.Level = 0.5
		d.Routes["read"] = r
	}))
	in = 0
	for ms := range 20000 {
		c := &Call{Route: "read", Key: "k"}
		if o, _ := m.Come(c, float64(ms)); o == Go {
			in++
			m.Done(c, false, float64(ms))
		}
	}
	if in < 9 || in > 12 {
		t.Fatalf("a half a second let in %d in twenty", in)
	}
}

// Any order of events: what is in hand is counted right, no host holds more than it may, and at the end nothing is
// left.
func TestNothingIsLeftInHand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := mind(nil)
		now, live, queued := 0.0, map[uint64]*Call{}, map[uint64]*Call{}
		serial := uint64(0)
		end := func(c *Call, answered bool) {
			delete(live, uint64(c.Ticket))
			next, out := m.Done(c, answered, now)
			for _, o := range out {
				delete(queued, uint64(o))
			}
			if n := queued[uint64(next)]; next != 0 {
				delete(queued, uint64(next))
				m.Turn(n, now)
				if _, o := m.First(n, now); o == Go {
					live[uint64(next)] = n
				} else {
					m.Done(n, false, now)
				}
			}
		}
		one := func() *Call {
			for i := range serial + 1 {
				if live[i] != nil {
					return live[i]
				}
			}
			return nil
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now += rapid.Float64Range(0, 200).Draw(t, "later")
			switch what := rapid.IntRange(0, 5).Draw(t, "what"); {
			case what < 3:
				serial++
				c := &Call{Route: rapid.SampledFrom([]string{"read", "note"}).Draw(t, "route"), Key: "k", Marked: true, Ticket: uint64Ticket(int(serial))}
				o, out := m.Come(c, now)
				delete(queued, uint64(out))
				switch o {
				case Queued:
					queued[serial] = c
				case Go:
					if _, o := m.First(c, now); o == Go {
						live[serial] = c
					} else {
						end(c, false)
					}
				}
			case what == 3 && one() != nil:
				c := one()
				m.Answered(c, now, logic.Load{})
				end(c, true)
			case what == 4 && one() != nil:
				c := one()
				if _, why := m.Failed(c, Failure(rapid.IntRange(0, 4).Draw(t, "failure")), now, logic.Load{}); why != again.Goes {
					end(c, false)
				}
			case what == 5:
				m.Follow(doc(tables.Step(now+2), func(d *tables.Document) {
					if rapid.Bool().Draw(t, "fewer") {
						for _, table := range d.Tables {
							delete(table.Lines, "a:1")
						}
						delete(d.Hosts, "a:1")
					}
				}))
			}
			held := 0
			for _, h := range m.hosts {
				if h.inHand < 0 || h.inHand > 3 {
					t.Fatalf("%d in hand at a host", h.inHand)
				}
				held += h.inHand
			}
			if running, waiting := m.Load(); held != len(live) || waiting != len(queued) || running < len(live) || running > 10 {
				t.Fatalf("%d at hosts, %d live, %d running, %d waiting of %d", held, len(live), running, waiting, len(queued))
			}
		}
	})
}

func uint64Ticket(n int) admit.Ticket { return admit.Ticket(n) }
