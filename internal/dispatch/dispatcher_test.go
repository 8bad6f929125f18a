package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"vetchwood/internal/admission"
	"vetchwood/internal/retry"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// newDocument returns a sealed document of four slices, each with the lines a:1, b:1 and c:1.
func newDocument(step tables.Step, change func(*tables.Document)) *tables.Document {
	doc := &tables.Document{PickPolicy: "lottery", EjectAfterFailures: 3, TryTimeoutShare: 1, Masked: map[tables.Address]bool{}, Hosts: map[tables.Address]tables.Host{},
		Routes: map[string]tables.Route{
			"read": {Level: tables.Level{Level: 1, RetryMode: 2}, Idempotency: "repeatable", SLOMs: 1000, TimeLimitMs: 3000, Importance: 1},
			"note": {Level: tables.Level{Level: 1, RetryMode: 3}, Idempotency: "keyed", DedupScope: "cell", DedupWindowMs: 4000, SLOMs: 1000, TimeLimitMs: 3000, Importance: 3},
		}, Tables: map[string]*tables.Table{}}
	for i := range 4 {
		from, to := tables.SliceRange(i, 4)
		doc.Tables[fmt.Sprint(i)] = &tables.Table{From: &from, To: &to, Lines: map[tables.Address]float64{"a:1": 1, "b:1": 1, "c:1": 1}}
	}
	for i, a := range []tables.Address{"a:1", "b:1", "c:1"} {
		doc.Hosts[a] = tables.Host{ID: string(a), Zone: []string{"x", "x", "y"}[i], Cell: []string{"1", "1", "2"}[i]}
	}
	if change != nil {
		change(doc)
	}
	return doc.Seal(1, step, float64(step))
}

// newDispatcher returns a dispatcher in zone y that follows step 1 of newDocument.
func newDispatcher(change func(*tables.Document)) *Dispatcher {
	d := New(Limits{Zone: "y", MaxInFlight: 10, MaxQueued: 2, MaxPerHost: 3, TableWaitMs: 100}, "b", rand.New(rand.NewPCG(1, 2)).Float64)
	d.SetDocument(newDocument(1, change))
	return d
}

// startCall admits a call and begins its first try.
func startCall(t *testing.T, d *Dispatcher, c *Call, now float64) Try {
	t.Helper()
	if o, _ := d.Admit(c, now); o != Proceed {
		t.Fatalf("Admit: %s, want Proceed", o)
	}
	try, o := d.FirstTry(c, now)
	if o != Proceed {
		t.Fatalf("FirstTry: %s, want Proceed", o)
	}
	return try
}

func TestACallFindsItsTable(t *testing.T) {
	d := newDispatcher(func(doc *tables.Document) {
		for name, table := range doc.Tables {
			table.Lines = map[tables.Address]float64{tables.Address("h" + name + ":1"): 1}
		}
	})
	for i := range 200 {
		key := fmt.Sprint("key-", i)
		c := &Call{Route: "read", Key: key}
		if try := startCall(t, d, c, 0); string(try.Host) != fmt.Sprintf("h%d:1", tables.SliceOf(key, 4)) {
			t.Fatalf("key %s of slice %d was sent to %s", key, tables.SliceOf(key, 4), try.Host)
		}
		d.TrySucceeded(c, 1, logic.Load{})
		d.EndCall(c, true, 1)
	}
	if o, _ := d.Admit(&Call{Route: "sing"}, 0); o != NoRoute {
		t.Fatalf("Admit of an unknown route: %s, want NoRoute", o)
	}
	if o, _ := New(Limits{MaxInFlight: 1}, "b", nil).Admit(&Call{Route: "read"}, 0); o != NoLine {
		t.Fatalf("Admit without a document: %s, want NoLine", o)
	}
}

func TestMasksAndZonesAreObeyed(t *testing.T) {
	d := newDispatcher(func(doc *tables.Document) {
		doc.Masked["a:1"] = true
		r := doc.Routes["note"]
		r.OwnZone = true
		doc.Routes["note"] = r
	})
	for i := range 100 {
		for route, forbidden := range map[string][]tables.Address{"read": {"a:1"}, "note": {"a:1", "b:1"}} {
			c := &Call{Route: route, Key: fmt.Sprint(i), HasIdempotencyKey: true}
			try := startCall(t, d, c, 0)
			for _, a := range forbidden {
				if try.Host == a {
					t.Fatalf("call of route %s was sent to %s, which is masked or in another zone", route, a)
				}
			}
			d.TrySucceeded(c, 1, logic.Load{})
			d.EndCall(c, true, 1)
		}
	}
	d.SetDocument(newDocument(2, func(doc *tables.Document) {
		doc.Masked = map[tables.Address]bool{"a:1": true, "b:1": true, "c:1": true}
	}))
	c := &Call{Route: "read", Key: "k"}
	d.Admit(c, 0)
	if _, o := d.FirstTry(c, 0); o != NoLine {
		t.Fatalf("FirstTry with all hosts masked: %s, want NoLine", o)
	}
}

// A host that keeps failing is ejected. If all hosts are ejected, the least bad one is tried, so the call is not
// dropped.
func TestAllHostsEjected(t *testing.T) {
	d := newDispatcher(nil)
	lastResorts := 0
	for i := range 60 {
		c := &Call{Route: "read", Key: "k"}
		try := startCall(t, d, c, float64(i))
		if try.LastResort {
			lastResorts++
		}
		d.TryFailed(c, NoAnswer, float64(i), logic.Load{})
		if c.triedHosts[len(c.triedHosts)-1] != c.host { // a retry is in flight
			d.TryFailed(c, NoAnswer, float64(i), logic.Load{})
		}
		d.EndCall(c, false, float64(i))
	}
	if d.EjectedHosts(60) != 3 || lastResorts == 0 {
		t.Fatalf("%d hosts ejected, want 3; %d tries as a last resort, want at least 1", d.EjectedHosts(60), lastResorts)
	}
}

// Without an idempotency key, a host can't recognize a repeat of a keyed call, so a retry could take effect twice.
func TestKeyedCallWithoutIdempotencyKeyIsTriedOnce(t *testing.T) {
	d := newDispatcher(nil)
	for _, c := range []*Call{{Route: "note", Key: "k"}, {Route: "note", Key: "k", HasIdempotencyKey: true}} {
		startCall(t, d, c, 0)
		first := c.host
		next, verdict := d.TryFailed(c, NoAnswer, 100, logic.Load{})
		switch {
		case !c.HasIdempotencyKey && verdict != retry.Unsafe:
			t.Errorf("without an idempotency key: verdict %q, want Unsafe", verdict)
		case c.HasIdempotencyKey && first == "c:1" && verdict != retry.NoLine,
			c.HasIdempotencyKey && first != "c:1" && (verdict != retry.Allowed || next.Host == "c:1" || next.Host == first):
			t.Errorf("first try at %s, next at %s: verdict %q", first, next.Host, verdict)
		}
	}
}

func TestInFlightLimits(t *testing.T) {
	d := newDispatcher(nil)
	var calls []*Call
	for i := range 9 {
		c := &Call{Route: "read", Key: "k"}
		startCall(t, d, c, 0)
		calls = append(calls, c)
		if n := d.host(c.host).inFlight; n > 3 {
			t.Fatalf("%d calls in flight at one host, limit 3", n)
		}
		_ = i
	}
	c := &Call{Route: "read", Key: "k", Ticket: 50}
	d.Admit(c, 0)
	if _, o := d.FirstTry(c, 0); o != AtCapacity {
		t.Fatalf("FirstTry with all hosts at their limits: %s, want AtCapacity", o)
	}
	for ticket, route := range []string{"read", "read", "note"} {
		o, evicted := d.Admit(&Call{Route: route, Key: "k", Ticket: 60 + uint64Ticket(ticket)}, 0)
		if o != Queued || ticket == 2 && evicted != 61 {
			t.Fatalf("call %d: %s, evicted ticket %d", ticket, o, evicted)
		}
	}
	d.TrySucceeded(calls[0], 5, logic.Load{})
	if next, _ := d.EndCall(calls[0], true, 5); next != 62 {
		t.Fatalf("ticket %d leaves the queue next, want 62, the most important call", next)
	}
}

func TestLevels(t *testing.T) {
	d := newDispatcher(func(doc *tables.Document) {
		r := doc.Routes["read"]
		r.Level.Level = 0.5
		doc.Routes["read"] = r
		doc.Tables["0"].Levels = map[string]tables.Level{"read": {Level: 0, RetryMode: 1}}
	})
	admitted, wrong := 0, 0
	for i := range 2000 {
		c := &Call{Route: "read", Key: fmt.Sprint(i)}
		o, _ := d.Admit(c, 0)
		if tables.SliceOf(c.Key, 4) == 0 && o != Throttled {
			wrong++
		}
		if o == Proceed {
			admitted++
			d.EndCall(c, false, 0)
		}
	}
	if wrong > 0 || admitted < 680 || admitted > 820 { // half of the calls of three of the four slices
		t.Fatalf("%d calls admitted; %d not throttled in the slice with a level of 0", admitted, wrong)
	}
	d.SetDocument(newDocument(2, func(doc *tables.Document) {
		doc.LevelUnit = "rate"
		r := doc.Routes["read"]
		r.Level.Level = 0.5
		doc.Routes["read"] = r
	}))
	admitted = 0
	for ms := range 20000 {
		c := &Call{Route: "read", Key: "k"}
		if o, _ := d.Admit(c, float64(ms)); o == Proceed {
			admitted++
			d.EndCall(c, false, float64(ms))
		}
	}
	if admitted < 9 || admitted > 12 {
		t.Fatalf("a level of 0.5 calls per second admitted %d calls in 20 s", admitted)
	}
}

// In any order of events, the calls in flight are counted correctly, no host exceeds its limit, and no call that ended
// keeps a place.
func TestCallsInFlightAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDispatcher(nil)
		now, running, queued := 0.0, map[uint64]*Call{}, map[uint64]*Call{}
		serial := uint64(0)
		end := func(c *Call, answered bool) {
			delete(running, uint64(c.Ticket))
			next, expired := d.EndCall(c, answered, now)
			for _, ticket := range expired {
				delete(queued, uint64(ticket))
			}
			if n := queued[uint64(next)]; next != 0 {
				delete(queued, uint64(next))
				d.Dequeued(n, now)
				if _, o := d.FirstTry(n, now); o == Proceed {
					running[uint64(next)] = n
				} else {
					d.EndCall(n, false, now)
				}
			}
		}
		firstRunning := func() *Call {
			for i := range serial + 1 {
				if running[i] != nil {
					return running[i]
				}
			}
			return nil
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now += rapid.Float64Range(0, 200).Draw(t, "later")
			switch event := rapid.IntRange(0, 5).Draw(t, "what"); {
			case event < 3:
				serial++
				c := &Call{Route: rapid.SampledFrom([]string{"read", "note"}).Draw(t, "route"), Key: "k", HasIdempotencyKey: true,
					Ticket: uint64Ticket(int(serial))}
				o, evicted := d.Admit(c, now)
				delete(queued, uint64(evicted))
				switch o {
				case Queued:
					queued[serial] = c
				case Proceed:
					if _, o := d.FirstTry(c, now); o == Proceed {
						running[serial] = c
					} else {
						end(c, false)
					}
				}
			case event == 3 && firstRunning() != nil:
				c := firstRunning()
				d.TrySucceeded(c, now, logic.Load{})
				end(c, true)
			case event == 4 && firstRunning() != nil:
				c := firstRunning()
				if _, verdict := d.TryFailed(c, Failure(rapid.IntRange(0, 4).Draw(t, "failure")), now, logic.Load{}); verdict != retry.Allowed {
					end(c, false)
				}
			case event == 5:
				d.SetDocument(newDocument(tables.Step(now+2), func(doc *tables.Document) {
					if rapid.Bool().Draw(t, "fewer") {
						for _, table := range doc.Tables {
							delete(table.Lines, "a:1")
						}
						delete(doc.Hosts, "a:1")
					}
				}))
			}
			inFlight := 0
			for _, h := range d.hosts {
				if h.inFlight < 0 || h.inFlight > 3 {
					t.Fatalf("%d calls in flight at a host, limit 3", h.inFlight)
				}
				inFlight += h.inFlight
			}
			if r, q := d.Occupancy(); inFlight != len(running) || q != len(queued) || r < len(running) || r > 10 {
				t.Fatalf("%d calls in flight at hosts, want %d; Occupancy %d running, %d queued, want %d queued", inFlight, len(running), r, q,
					len(queued))
			}
		}
	})
}

// uint64Ticket returns the n-th ticket.
func uint64Ticket(n int) admission.Ticket { return admission.Ticket(n) }
