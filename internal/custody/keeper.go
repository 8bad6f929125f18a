package custody

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Keeper is one director's part in custody: when to renew, what to take, what to hand to whom, and what it may act for.
// What comes back from the store is an input, at the time of the director's own steady clock in milliseconds.
type Coordinator struct {
	me      DirectorName
	slices  int
	ttl     float64
	margin  float64
	session Session
	id      string // of the session; "": none
	base    Fence  // of the store's present life
	busy    map[string]float64
	retry   float64 // no session is asked for before
	fails   int
	board   Snapshot
	leases  map[Slice]Lease
	since   map[string]float64 // sessions of members, first seen
	free    map[Slice]float64  // first seen without a holder
	held    map[Slice]Fence
	settled map[Slice]float64 // when it came to us
	leaving bool
	out     []any
	top     Fence // the highest fence ever seen
}

type (
	// Lease is what the store says of a slice. Count is how many holders it has had, Change when it last changed.
	Lease struct {
		Slice       Slice
		Session     string
		LockIndex   uint64
		ModifyIndex uint64
	}
	// Member is a director's entry. Its own session stands behind it, or it is dead.
	Member struct {
		Name    DirectorName
		Session string
		Leaving bool
	}
	// Board is all that the store says, as of one change.
	Snapshot struct {
		Index   uint64
		Members []Member
		Leases  []Lease
	}
)

// Inputs.
type (
	// Opened tells of a session that was asked for, or of one of an earlier start that goes on.
	SessionOpened struct {
		ID        string
		SentAt    float64
		FenceBase Fence
	}
	// Failed tells that something asked for was not answered, or refused.
	RequestFailed struct{ Request string }
	// Renewed tells that a renewal was answered.
	SessionRenewed struct {
		ID     string
		SentAt float64
	}
	// Unknown tells that the store does not know the session.
	SessionUnknown struct{ ID string }
	// Moved tells what became of leases that were asked for or given away.
	LeasesChanged struct {
		Request string
		Leases  []Lease
	}
	// Leave begins to give all away.
	LeaveRequested struct{}
)

// Outputs.
type (
	// Open asks for a session. Over is what its fences must be above.
	OpenSession struct{ FenceFloor Fence }
	// Renew asks for more time.
	RenewSession struct{ ID string }
	// Take asks for slices that nobody holds.
	AcquireSlices struct {
		Session string
		Slices  []Slice
	}
	// Hand gives slices to another session in one step; to "" it lets them go.
	TransferSlices struct {
		From, To string
		Slices   []Slice
	}
	// Charge and Discharge tell the director what it holds.
	SliceGranted struct {
		Slice Slice
		Fence Fence
	}
	SliceRevoked struct{ Slice Slice }
	// Guard says until when it may act for what it holds.
	LeaseDeadline struct{ Until float64 }
	// Gone says that nothing is held any more, after Leave.
	AllReleased struct{}
)

// What is asked for, so that it is not asked for twice at once.
const (
	RequestOpen     = "open"
	RequestRenew    = "renew"
	RequestAcquire  = "take"
	RequestTransfer = "hand"
)

// Patience in times to live. A member is steady, and gets slices that others hold, once its session has lasted so long:
// one that flaps would move them each time. A slice that its rightful director does not take for so long is anybody's.
const (
	steadyAfter = 1.0
	orphanAfter = 0.5
	firstRetry  = 50.0
	longRetry   = 1000.0
)

// mostMoved is how many slices one request moves; it is under the published limit of a transaction's operations with two
// for each slice.
const mostMoved = 32

func NewCoordinator(me DirectorName, slices int, ttl, margin float64) *Coordinator {
	k := &Coordinator{me: me, slices: slices, ttl: ttl, margin: margin, busy: map[string]float64{}}
	k.forget()
	k.held, k.settled = map[Slice]Fence{}, map[Slice]float64{}
	return k
}

// forget is for a store that is another than before.
func (k *Coordinator) forget() {
	k.board, k.leases = Snapshot{}, map[Slice]Lease{}
	k.since, k.free = map[string]float64{}, map[Slice]float64{}
}

// Holds gives what is held.
func (k *Coordinator) Held() map[Slice]Fence { return maps.Clone(k.held) }

// Alive are the members that the store believes in, me among them if so.
func (k *Coordinator) LiveMembers() (out []Member) {
	for _, m := range k.board.Members {
		if m.Session != "" {
			out = append(out, m)
		}
	}
	return out
}

// Handle takes what happened up to now and says what to do.
func (k *Coordinator) Handle(now float64, in ...any) []any {
	for _, i := range in {
		k.take(now, i)
	}
	k.act(now)
	out := k.out
	k.out = nil
	return out
}

func (k *Coordinator) say(what any) { k.out = append(k.out, what) }

func (k *Coordinator) take(now float64, in any) {
	switch in := in.(type) {
	case SessionOpened:
		delete(k.busy, RequestOpen)
		if k.id != "" && k.id != in.ID {
			k.lose()
		}
		if in.FenceBase != k.base {
			k.forget()
		}
		k.id, k.base, k.fails, k.session = in.ID, in.FenceBase, 0, NewSession(k.ttl, k.margin, in.SentAt)
		k.top = max(k.top, in.FenceBase)
		k.say(LeaseDeadline{k.session.Deadline()})
		k.settle(now)
	case SessionRenewed:
		delete(k.busy, RequestRenew)
		if in.ID == k.id {
			k.session.MarkRenewed(in.SentAt)
			k.fails = 0
			k.say(LeaseDeadline{k.session.Deadline()})
		}
	case SessionUnknown:
		delete(k.busy, RequestRenew)
		if in.ID == k.id && k.id != "" {
			k.lose()
		}
	case RequestFailed:
		delete(k.busy, in.Request)
		k.fails++
		wait := firstRetry
		for range min(k.fails, 10) - 1 {
			wait = min(longRetry, 2*wait)
		}
		k.retry = now + min(wait, k.ttl/6)
	case Snapshot:
		k.see(now, in)
	case LeasesChanged:
		delete(k.busy, in.Request)
		for _, l := range in.Leases {
			k.learn(now, l)
		}
		k.settle(now)
	case LeaveRequested:
		k.leaving = true
	}
}

// lose is the end of the session, and of all that was held by it.
func (k *Coordinator) lose() {
	k.session.MarkEnded()
	k.id = ""
	k.say(LeaseDeadline{math.Inf(-1)})
	for _, s := range slices.Sorted(maps.Keys(k.held)) {
		k.drop(s)
	}
}

func (k *Coordinator) drop(s Slice) {
	delete(k.held, s)
	delete(k.settled, s)
	k.say(SliceRevoked{s})
}

// see takes the store's word on everything. What is older than what is known of a slice is passed over: an answer may
// have been overtaken on its way.
func (k *Coordinator) see(now float64, b Snapshot) {
	if b.Index < k.board.Index {
		k.leases, k.free = map[Slice]Lease{}, map[Slice]float64{} // it started over
	}
	k.board = b
	for _, l := range b.Leases {
		k.learn(now, l)
	}
	for s := range Slice(k.slices) {
		if _, known := k.leases[s]; !known {
			k.unheld(now, s)
		}
	}
	there := map[string]bool{}
	for _, m := range b.Members {
		if there[m.Session] = true; m.Session != "" {
			if _, known := k.since[m.Session]; !known {
				k.since[m.Session] = now
			}
		}
	}
	maps.DeleteFunc(k.since, func(id string, _ float64) bool { return !there[id] })
	k.settle(now)
}

func (k *Coordinator) learn(now float64, l Lease) {
	if int(l.Slice) >= k.slices || l.Slice < 0 {
		return
	}
	if was, known := k.leases[l.Slice]; known && l.ModifyIndex < was.ModifyIndex {
		return
	}
	k.leases[l.Slice] = l
	k.top = max(k.top, k.base+Fence(l.LockIndex))
	if l.Session == "" {
		k.unheld(now, l.Slice)
	} else {
		delete(k.free, l.Slice)
	}
}

func (k *Coordinator) unheld(now float64, s Slice) {
	if _, known := k.free[s]; !known {
		k.free[s] = now
	}
}

// settle tells the director what of the store's word concerns it.
func (k *Coordinator) settle(now float64) {
	for s := range Slice(k.slices) {
		l, has := k.leases[s], k.held[s]
		mine := k.id != "" && l.Session == k.id
		switch fence := k.base + Fence(l.LockIndex); {
		case mine && has != fence:
			k.held[s], k.settled[s] = fence, now
			k.say(SliceGranted{s, fence})
		case !mine && has > 0 && l.Session != "":
			k.drop(s)
		case !mine && has > 0 && l.Session == "" && l.ModifyIndex > 0:
			k.drop(s)
		}
	}
}

// steady are the directors that slices are spread over. At the start of all, none has lasted yet, and all count.
func (k *Coordinator) steady(now float64) (names []DirectorName, session map[DirectorName]string) {
	session = map[DirectorName]string{}
	var young []DirectorName
	for _, m := range k.board.Members {
		if m.Session == "" || m.Leaving || k.leaving && m.Name == k.me {
			continue
		}
		session[m.Name] = m.Session
		if now-k.since[m.Session] >= steadyAfter*k.ttl {
			names = append(names, m.Name)
		} else {
			young = append(young, m.Name)
		}
	}
	if len(names) == 0 {
		names = young
	}
	return names, session
}

func (k *Coordinator) act(now float64) {
	if k.id == "" {
		if k.leaving {
			k.say(AllReleased{})
		} else if now >= k.retry && k.start(now, RequestOpen) {
			k.say(OpenSession{k.top})
		}
		return
	}
	if now >= k.session.RenewAt() && now >= k.retry && k.start(now, RequestRenew) {
		k.say(RenewSession{k.id})
	}
	if now >= k.session.Deadline() {
		return // what the store thinks of us is not known
	}
	names, sessions := k.steady(now)
	should := Assign(k.slices, names)
	if k.leaving {
		k.leave(now, should, sessions)
		return
	}
	if sessions[k.me] != k.id {
		return // our own entry is not there yet: others would not know whom they deal with
	}
	rank := float64(slices.Index(slices.Sorted(maps.Keys(sessions)), k.me))
	var ask []Slice
	for s := range Slice(k.slices) {
		since, free := k.free[s]
		if !free {
			continue
		}
		// A slice whose rightful director does not come for it goes to the next; each waits a little longer than the one before.
		if should[s] == k.me || len(names) == 0 || now-since >= k.ttl*orphanAfter*(1+rank/4) {
			ask = append(ask, s)
		}
	}
	if ask = ask[:min(len(ask), mostMoved)]; len(ask) > 0 && now >= k.retry && k.start(now, RequestAcquire) {
		k.say(AcquireSlices{k.id, ask})
	}
	give := map[DirectorName][]Slice{}
	for s := range k.held {
		to := should[s]
		if id := sessions[to]; to != k.me && id != "" && now-k.settled[s] >= steadyAfter*k.ttl {
			give[to] = append(give[to], s)
		}
	}
	k.hand(now, give, sessions)
}

// leave gives each slice to whom it will belong, or to nobody if there is nobody.
func (k *Coordinator) leave(now float64, should []DirectorName, sessions map[DirectorName]string) {
	if len(k.held) == 0 {
		k.say(AllReleased{})
		return
	}
	give := map[DirectorName][]Slice{}
	for s := range k.held {
		give[should[s]] = append(give[should[s]], s)
	}
	k.hand(now, give, sessions)
}

// hand gives a batch to one of those that should have them.
func (k *Coordinator) hand(now float64, give map[DirectorName][]Slice, sessions map[DirectorName]string) {
	if len(give) == 0 || now < k.retry || !k.start(now, RequestTransfer) {
		return
	}
	to := slices.MinFunc(slices.Collect(maps.Keys(give)), cmp.Compare[DirectorName])
	some := slices.Sorted(slices.Values(give[to]))
	k.say(TransferSlices{k.id, sessions[to], some[:min(len(some), mostMoved)]})
}

// start says whether something may be asked for now: it is not on its way already, or has been for so long that its
// answer is lost.
func (k *Coordinator) start(now float64, what string) bool {
	if at, busy := k.busy[what]; busy && now < at+k.ttl {
		return false
	}
	k.busy[what] = now
	return true
}

// Wake is when Handle must be called again at the latest.
func (k *Coordinator) NextWakeup(now float64) float64 {
	at := now + k.ttl/8
	if k.id != "" && k.busy[RequestRenew] == 0 {
		at = min(at, max(k.session.RenewAt(), k.retry))
	}
	if k.id == "" {
		at = min(at, max(k.retry, now+1))
	}
	return at
}
