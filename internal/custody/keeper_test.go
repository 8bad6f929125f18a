package custody

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// board is a store in memory, by the published rules: a session lasts no shorter than its time to live.
type board struct {
	change  uint64
	serial  int
	ends    map[string]float64
	members map[DirectorName]Member
	leases  map[Slice]Lease
	ttl     float64
	gave    map[Slice]map[DirectorName]bool // who gave it away, since somebody took it, and may not have heard of that
}

func (b *board) expire(now float64) {
	for id, end := range b.ends {
		if end <= now {
			b.end(id)
		}
	}
}

func (b *board) end(id string) {
	delete(b.ends, id)
	b.change++
	for n, m := range b.members {
		if m.Session == id {
			b.members[n] = Member{Name: n}
		}
	}
	for s, l := range b.leases {
		if l.Session == id {
			b.leases[s] = Lease{s, "", l.LockIndex, b.change}
		}
	}
}

func (b *board) all() (out Snapshot) {
	out.Index = b.change
	for _, m := range b.members {
		out.Members = append(out.Members, m)
	}
	for _, l := range b.leases {
		out.Leases = append(out.Leases, l)
	}
	return out
}

func (b *board) do(now float64, me *player, o any) any {
	b.change++
	switch o := o.(type) {
	case OpenSession:
		b.serial++
		id := fmt.Sprint(me.name, "-", b.serial)
		if m := b.members[me.name]; m.Session != "" {
			b.end(m.Session) // the same store stands behind it: it knows that its former self is gone
		}
		b.ends[id], b.members[me.name] = now+b.ttl, Member{Name: me.name, Session: id}
		return SessionOpened{ID: id, SentAt: now, FenceBase: 1000}
	case RenewSession:
		if _, known := b.ends[o.ID]; !known {
			return SessionUnknown{o.ID}
		}
		b.ends[o.ID] = now + b.ttl
		return SessionRenewed{o.ID, now}
	case AcquireSlices:
		m := LeasesChanged{Request: RequestAcquire}
		for _, s := range o.Slices {
			if l := b.leases[s]; l.Session == "" && b.ends[o.Session] > 0 {
				b.leases[s] = Lease{s, o.Session, l.LockIndex + 1, b.change}
				delete(b.gave, s)
				m.Leases = append(m.Leases, b.leases[s])
			}
		}
		return m
	case TransferSlices:
		m := LeasesChanged{Request: RequestTransfer}
		for _, s := range o.Slices {
			if l := b.leases[s]; l.Session == o.From && (o.To == "" || b.ends[o.To] > 0) {
				n := Lease{s, o.To, l.LockIndex, b.change}
				if o.To != "" {
					n.LockIndex++
				}
				if b.leases[s] = n; b.gave[s] == nil {
					b.gave[s] = map[DirectorName]bool{}
				}
				b.gave[s][me.name] = true
				m.Leases = append(m.Leases, n)
			}
		}
		return m
	}
	return nil
}

type player struct {
	name   DirectorName
	k      *Coordinator
	paused float64
	guard  float64
	skew   float64 // its clock's lead over the store's
	gone   bool
	in     []any // answers on their way, with when they come
	at     []float64
	lossy  float64
}

// A fleet of keepers over one store: whatever is lost, late, paused or skewed, no slice is acted for by two at once, fences only
// grow, and once it is calm every slice has a holder, spread as it should be.
func TestKeepers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n, ttl = 12, 1000.0
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		b := &board{ends: map[string]float64{}, members: map[DirectorName]Member{}, leases: map[Slice]Lease{}, gave: map[Slice]map[DirectorName]bool{}, ttl: ttl}
		var all []*player
		for i := range 3 {
			p := &player{name: DirectorName(fmt.Sprint("d", i)), k: NewCoordinator(DirectorName(fmt.Sprint("d", i)), n, ttl, 50), skew: float64(random.IntN(100000))}
			p.lossy = []float64{0, 0.3}[random.IntN(2)]
			all = append(all, p)
		}
		fences := map[Slice]Fence{}
		leaver := random.IntN(4)
		for now := 0.0; now < 16000; now += 10 {
			b.expire(now)
			calm := now > 8000
			for i, p := range all {
				clock := now + p.skew
				if p.gone || now < p.paused {
					continue
				}
				if !calm && random.Float64() < 0.0005 {
					p.paused = now + random.Float64()*2500
					continue
				}
				if now == 6000 && i == leaver {
					p.in, p.at = append(p.in, LeaveRequested{}), append(p.at, now)
				}
				var in []any
				for j := 0; j < len(p.in); j++ {
					if p.at[j] <= now {
						in = append(in, p.in[j])
						p.in, p.at = append(p.in[:j], p.in[j+1:]...), append(p.at[:j], p.at[j+1:]...)
						j--
					}
				}
				if random.Float64() < 0.3 {
					in = append(in, b.all())
				}
				for _, o := range p.k.Handle(clock, in...) {
					switch o := o.(type) {
					case LeaseDeadline:
						p.guard = o.Until - p.skew
					case SliceGranted:
						if o.Fence < fences[o.Slice] && now < p.guard { // past its guard it only hears late of what it had
							t.Fatalf("%s got slice %d with fence %d after %d", p.name, o.Slice, o.Fence, fences[o.Slice])
						}
						fences[o.Slice] = max(fences[o.Slice], o.Fence)
					case SliceRevoked:
					case AllReleased:
						p.gone = true
					default:
						what := map[bool]string{true: RequestOpen}[false]
						switch o.(type) {
						case OpenSession:
							what = RequestOpen
						case RenewSession:
							what = RequestRenew
						case AcquireSlices:
							what = RequestAcquire
						case TransferSlices:
							what = RequestTransfer
						}
						lost := !calm && random.Float64() < p.lossy
						if lost && random.Float64() < 0.5 { // the request is lost
							p.in, p.at = append(p.in, RequestFailed{what}), append(p.at, now+250)
							continue
						}
						answer := b.do(now, p, o)
						switch a := answer.(type) {
						case SessionOpened:
							a.SentAt = clock
							answer = a
						case SessionRenewed:
							a.SentAt = clock
							answer = a
						}
						if lost { // its answer is
							answer = RequestFailed{what}
						}
						p.in, p.at = append(p.in, answer), append(p.at, now+random.Float64()*200)
					}
				}
			}
			for _, p := range all {
				for s, f := range p.k.Held() {
					// Within its guard it acts for what the store says it has; but for what it gave away itself and has not heard of.
					l := b.leases[s]
					if l.Session == p.k.id && f == 1000+Fence(l.LockIndex) {
						delete(b.gave[s], p.name) // it has heard
					} else if now < p.guard && !p.gone && !b.gave[s][p.name] {
						t.Fatalf("%v: %s acts for slice %d with fence %d: %+v", now, p.name, s, f, l)
					}
				}
			}
		}
		count := map[DirectorName]int{}
		for s := range Slice(n) {
			holder := DirectorName("")
			for _, p := range all {
				if !p.gone && p.k.Held()[s] > 0 && p.k.id == b.leases[s].Session {
					holder = p.name
				}
			}
			if holder == "" {
				t.Fatalf("slice %d has no holder in the end: %+v", s, b.leases[s])
			}
			count[holder]++
		}
		for _, p := range all {
			if !p.gone && count[p.name] == 0 {
				t.Fatalf("%s has nothing: %v", p.name, count)
			}
		}
	})
}

// One that flaps gets nothing that others hold until it has lasted.
func TestAFlappingDirectorMovesNothing(t *testing.T) {
	k := NewCoordinator("a", 4, 1000, 50)
	k.Handle(0, SessionOpened{ID: "A", FenceBase: 10})
	b := Snapshot{Index: 1, Members: []Member{{Name: "a", Session: "A"}}}
	for s := range Slice(4) {
		b.Leases = append(b.Leases, Lease{s, "A", 1, 1})
	}
	k.Handle(1, b)
	handed := func(from, to float64, session func(float64) string) (n int) {
		for now := from; now < to; now += 50 {
			b.Index++
			b.Members = []Member{{Name: "a", Session: "A"}, {Name: "b", Session: session(now)}}
			for _, o := range k.Handle(now, SessionRenewed{"A", now}, b) {
				if h, is := o.(TransferSlices); is {
					n += len(h.Slices)
					k.Handle(now, LeasesChanged{Request: RequestTransfer})
				}
			}
		}
		return n
	}
	if n := handed(2000, 12000, func(now float64) string { return fmt.Sprint("B", int(now/400)) }); n > 0 {
		t.Fatalf("%d slices moved to a session that never lasted", n)
	}
	if n := handed(12000, 14000, func(float64) string { return "B" }); n == 0 {
		t.Fatal("nothing moved to one that lasts")
	}
}
