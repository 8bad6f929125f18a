package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// fakeStore is an in-memory store that follows Consul's published rules: a session lasts at least its TTL.
type fakeStore struct {
	modifyIndex  uint64
	sessionCount int
	sessionEnds  map[string]float64
	members      map[DirectorName]Member
	leases       map[Slice]Lease
	ttl          float64
	// transferredBy holds, by slice, the directors that transferred it since it was last acquired and that may not have
	// received the answer yet.
	transferredBy map[Slice]map[DirectorName]bool
}

func (f *fakeStore) expire(now float64) {
	for id, end := range f.sessionEnds {
		if end <= now {
			f.endSession(id)
		}
	}
}

func (f *fakeStore) endSession(id string) {
	delete(f.sessionEnds, id)
	f.modifyIndex++
	for n, m := range f.members {
		if m.Session == id {
			f.members[n] = Member{Name: n}
		}
	}
	for s, l := range f.leases {
		if l.Session == id {
			f.leases[s] = Lease{s, "", l.LockIndex, f.modifyIndex}
		}
	}
}

func (f *fakeStore) snapshot() (snapshot Snapshot) {
	snapshot.Index = f.modifyIndex
	for _, m := range f.members {
		snapshot.Members = append(snapshot.Members, m)
	}
	for _, l := range f.leases {
		snapshot.Leases = append(snapshot.Leases, l)
	}
	return snapshot
}

func (f *fakeStore) execute(now float64, from *simulatedDirector, o any) any {
	f.modifyIndex++
	switch o := o.(type) {
	case OpenSession:
		f.sessionCount++
		id := fmt.Sprint(from.name, "-", f.sessionCount)
		if m := f.members[from.name]; m.Session != "" {
			f.endSession(m.Session) // the director's local store is exclusive, so its earlier process has ended
		}
		f.sessionEnds[id], f.members[from.name] = now+f.ttl, Member{Name: from.name, Session: id}
		return SessionOpened{ID: id, SentAt: now, FenceBase: 1000}
	case RenewSession:
		if _, known := f.sessionEnds[o.ID]; !known {
			return SessionUnknown{o.ID}
		}
		f.sessionEnds[o.ID] = now + f.ttl
		return SessionRenewed{o.ID, now}
	case AcquireSlices:
		m := LeasesChanged{Request: RequestAcquire}
		for _, s := range o.Slices {
			if l := f.leases[s]; l.Session == "" && f.sessionEnds[o.Session] > 0 {
				f.leases[s] = Lease{s, o.Session, l.LockIndex + 1, f.modifyIndex}
				delete(f.transferredBy, s)
				m.Leases = append(m.Leases, f.leases[s])
			}
		}
		return m
	case TransferSlices:
		m := LeasesChanged{Request: RequestTransfer}
		for _, s := range o.Slices {
			if l := f.leases[s]; l.Session == o.From && (o.To == "" || f.sessionEnds[o.To] > 0) {
				n := Lease{s, o.To, l.LockIndex, f.modifyIndex}
				if o.To != "" {
					n.LockIndex++
				}
				if f.leases[s] = n; f.transferredBy[s] == nil {
					f.transferredBy[s] = map[DirectorName]bool{}
				}
				f.transferredBy[s][from.name] = true
				m.Leases = append(m.Leases, n)
			}
		}
		return m
	}
	return nil
}

// simulatedDirector runs a Coordinator behind a lossy and slow connection.
type simulatedDirector struct {
	name          DirectorName
	coordinator   *Coordinator
	pausedUntil   float64
	deadline      float64
	clockSkew     float64 // by how much its clock is ahead of the store's
	stopped       bool
	pendingInputs []any
	arriveAt      []float64 // when each of pendingInputs arrives
	lossRate      float64
}

// Three coordinators over one store, with lost and late messages, paused processes and skewed clocks: no two directors
// act for a slice at the same time, and fences only grow. After the faults end, every slice has an owner and every
// director that runs owns slices.
func TestCoordinatorsOverOneStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n, ttl = 12, 1000.0
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		store := &fakeStore{sessionEnds: map[string]float64{}, members: map[DirectorName]Member{}, leases: map[Slice]Lease{}, transferredBy: map[Slice]map[DirectorName]bool{}, ttl: ttl}
		var all []*simulatedDirector
		for i := range 3 {
			d := &simulatedDirector{name: DirectorName(fmt.Sprint("d", i)), coordinator: NewCoordinator(DirectorName(fmt.Sprint("d", i)), n, ttl, 50), clockSkew: float64(random.IntN(100000))}
			d.lossRate = []float64{0, 0.3}[random.IntN(2)]
			all = append(all, d)
		}
		fences := map[Slice]Fence{}
		leaver := random.IntN(4)
		for now := 0.0; now < 16000; now += 10 {
			store.expire(now)
			calm := now > 8000 // no new faults from here on
			for i, d := range all {
				clock := now + d.clockSkew
				if d.stopped || now < d.pausedUntil {
					continue
				}
				if !calm && random.Float64() < 0.0005 {
					d.pausedUntil = now + random.Float64()*2500
					continue
				}
				if now == 6000 && i == leaver {
					d.pendingInputs, d.arriveAt = append(d.pendingInputs, LeaveRequested{}), append(d.arriveAt, now)
				}
				var in []any
				for j := 0; j < len(d.pendingInputs); j++ {
					if d.arriveAt[j] <= now {
						in = append(in, d.pendingInputs[j])
						d.pendingInputs, d.arriveAt = append(d.pendingInputs[:j], d.pendingInputs[j+1:]...), append(d.arriveAt[:j], d.arriveAt[j+1:]...)
						j--
					}
				}
				if random.Float64() < 0.3 {
					in = append(in, store.snapshot())
				}
				for _, o := range d.coordinator.Handle(clock, in...) {
					switch o := o.(type) {
					case LeaseDeadline:
						d.deadline = o.Until - d.clockSkew
					case SliceGranted:
						// Past the director's deadline, a grant may be an outdated one that arrives late.
						if o.Fence < fences[o.Slice] && now < d.deadline {
							t.Fatalf("%s was granted slice %d with fence %d after fence %d", d.name, o.Slice, o.Fence, fences[o.Slice])
						}
						fences[o.Slice] = max(fences[o.Slice], o.Fence)
					case SliceRevoked:
					case AllReleased:
						d.stopped = true
					default:
						request := map[bool]string{true: RequestOpen}[false]
						switch o.(type) {
						case OpenSession:
							request = RequestOpen
						case RenewSession:
							request = RequestRenew
						case AcquireSlices:
							request = RequestAcquire
						case TransferSlices:
							request = RequestTransfer
						}
						lost := !calm && random.Float64() < d.lossRate
						if lost && random.Float64() < 0.5 { // the request is lost
							d.pendingInputs, d.arriveAt = append(d.pendingInputs, RequestFailed{request}), append(d.arriveAt, now+250)
							continue
						}
						answer := store.execute(now, d, o)
						switch a := answer.(type) {
						case SessionOpened:
							a.SentAt = clock
							answer = a
						case SessionRenewed:
							a.SentAt = clock
							answer = a
						}
						if lost { // the answer is lost
							answer = RequestFailed{request}
						}
						d.pendingInputs, d.arriveAt = append(d.pendingInputs, answer), append(d.arriveAt, now+random.Float64()*200)
					}
				}
			}
			for _, d := range all {
				for s, f := range d.coordinator.Held() {
					// Before its deadline a director acts only for the slices that the store says it owns, except those
					// that it transferred itself without having received the answer yet.
					l := store.leases[s]
					if l.Session == d.coordinator.sessionID && f == 1000+Fence(l.LockIndex) {
						delete(store.transferredBy[s], d.name) // the answer has arrived
					} else if now < d.deadline && !d.stopped && !store.transferredBy[s][d.name] {
						t.Fatalf("at %v ms %s acts for slice %d with fence %d; the stored lease is %+v", now, d.name, s, f, l)
					}
				}
			}
		}
		count := map[DirectorName]int{}
		for s := range Slice(n) {
			owner := DirectorName("")
			for _, d := range all {
				if !d.stopped && d.coordinator.Held()[s] > 0 && d.coordinator.sessionID == store.leases[s].Session {
					owner = d.name
				}
			}
			if owner == "" {
				t.Fatalf("slice %d has no owner after the faults ended: %+v", s, store.leases[s])
			}
			count[owner]++
		}
		for _, d := range all {
			if !d.stopped && count[d.name] == 0 {
				t.Fatalf("%s owns no slice; slices by owner: %v", d.name, count)
			}
		}
	})
}

// A director whose session is replaced again and again receives no slices that others own. Once its session lasts, it
// does.
func TestFlappingDirectorReceivesNoSlices(t *testing.T) {
	c := NewCoordinator("a", 4, 1000, 50)
	c.Handle(0, SessionOpened{ID: "A", FenceBase: 10})
	snapshot := Snapshot{Index: 1, Members: []Member{{Name: "a", Session: "A"}}}
	for s := range Slice(4) {
		snapshot.Leases = append(snapshot.Leases, Lease{s, "A", 1, 1})
	}
	c.Handle(1, snapshot)
	// transferred counts the slices that are transferred to b, whose session is given as a function of time.
	transferred := func(from, to float64, session func(float64) string) (n int) {
		for now := from; now < to; now += 50 {
			snapshot.Index++
			snapshot.Members = []Member{{Name: "a", Session: "A"}, {Name: "b", Session: session(now)}}
			for _, o := range c.Handle(now, SessionRenewed{"A", now}, snapshot) {
				if h, is := o.(TransferSlices); is {
					n += len(h.Slices)
					c.Handle(now, LeasesChanged{Request: RequestTransfer})
				}
			}
		}
		return n
	}
	if n := transferred(2000, 12000, func(now float64) string { return fmt.Sprint("B", int(now/400)) }); n > 0 {
		t.Fatalf("%d slices were transferred to a director whose sessions never lasted a TTL", n)
	}
	if n := transferred(12000, 14000, func(float64) string { return "B" }); n == 0 {
		t.Fatal("no slice was transferred to a director whose session lasts")
	}
}
