package ownership

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Coordinator is one director's state machine for slice ownership. It decides when to renew the session, which slices
// to acquire, which to transfer to whom, and until when the director may act for its slices. The store's answers are
// its inputs. All times are milliseconds of the director's own monotonic clock.
type Coordinator struct {
	self             DirectorName
	sliceCount       int
	ttl              float64
	margin           float64
	session          Session
	sessionID        string             // "" if there is none
	fenceBase        Fence              // a fence is this plus the lease's LockIndex; new if the store lost its data
	inFlight         map[string]float64 // by request, when it was sent
	retryAt          float64            // after a failure, no request is sent before this time
	failures         int
	snapshot         Snapshot
	leases           map[Slice]Lease
	sessionFirstSeen map[string]float64 // by session of a member
	unheldSince      map[Slice]float64  // when the slice was first seen without an owner
	held             map[Slice]Fence
	acquiredAt       map[Slice]float64 // when this director acquired the slice
	leaving          bool
	outputs          []any
	highestFence     Fence // highest fence seen of any slice
}

type (
	// Lease is the stored lease of a slice. LockIndex counts the times that it was locked; ModifyIndex is the store's
	// index of its last change. Session is empty if nobody holds it.
	Lease struct {
		Slice       Slice
		Session     string
		LockIndex   uint64
		ModifyIndex uint64
	}
	// Member is a director's entry in the store. The director is alive if Session, which locks the entry, is not empty.
	Member struct {
		Name    DirectorName
		Session string
		Leaving bool
	}
	// Snapshot is the content of the store as of one index.
	Snapshot struct {
		Index   uint64
		Members []Member
		Leases  []Lease
	}
)

// Inputs of a Coordinator.
type (
	// SessionOpened reports a new session, or that the session of an earlier run of this director continues. The
	// session request was sent at SentAt.
	SessionOpened struct {
		ID        string
		SentAt    float64
		FenceBase Fence
	}
	// RequestFailed reports that a request was refused or not answered.
	RequestFailed struct{ Request string }
	// SessionRenewed reports that a renewal sent at SentAt was answered.
	SessionRenewed struct {
		ID     string
		SentAt float64
	}
	// SessionUnknown reports that the store does not know the session.
	SessionUnknown struct{ ID string }
	// LeasesChanged reports the new state of the leases that a request acquired or transferred.
	LeasesChanged struct {
		Request string
		Leases  []Lease
	}
	// LeaveRequested starts to transfer all slices to other directors.
	LeaveRequested struct{}
)

// Outputs of a Coordinator.
type (
	// OpenSession requests a session. If the store has no fence base, the new one must be above FenceFloor.
	OpenSession struct{ FenceFloor Fence }
	// RenewSession requests a renewal of the session.
	RenewSession struct{ ID string }
	// AcquireSlices requests slices that have no owner.
	AcquireSlices struct {
		Session string
		Slices  []Slice
	}
	// TransferSlices transfers slices to another session in one transaction, or releases them if To is empty.
	TransferSlices struct {
		From, To string
		Slices   []Slice
	}
	// SliceGranted reports that the director owns a slice from now on.
	SliceGranted struct {
		Slice Slice
		Fence Fence
	}
	// SliceRevoked reports that the director no longer owns a slice.
	SliceRevoked struct{ Slice Slice }
	// LeaseDeadline is the time until which the director may act for its slices. The next one replaces it.
	LeaseDeadline struct{ Until float64 }
	// AllReleased reports, after LeaveRequested, that the director owns no slice any more.
	AllReleased struct{}
)

// Kinds of requests. At most one of each kind is in flight, unless its answer was lost.
const (
	RequestOpen     = "open"
	RequestRenew    = "renew"
	RequestAcquire  = "take"
	RequestTransfer = "hand"
)

const (
	// stableAfterTTLs is the age of a session, in TTLs, from which its director is assigned slices that others own. A
	// flapping director would otherwise move them each time. An owner also keeps a slice for this time before it
	// transfers it, except when it leaves.
	stableAfterTTLs = 1.0
	// orphanedAfterTTLs is the time, in TTLs, after which any director may acquire a slice that its assigned director
	// has not acquired.
	orphanedAfterTTLs = 0.5

	firstRetryDelayMs = 50.0
	maxRetryDelayMs   = 1000.0
)

// maxSlicesPerRequest limits the slices in one request. A transfer takes two operations for each slice, and Consul's
// published limit is 64 operations in a transaction.
const maxSlicesPerRequest = 32

// NewCoordinator returns the Coordinator of the director self for slices 0 to sliceCount-1. The TTL of its session and
// the margin for clock drift are in milliseconds.
func NewCoordinator(self DirectorName, sliceCount int, ttl, margin float64) *Coordinator {
	c := &Coordinator{self: self, sliceCount: sliceCount, ttl: ttl, margin: margin, inFlight: map[string]float64{}}
	c.resetStoreState()
	c.held, c.acquiredAt = map[Slice]Fence{}, map[Slice]float64{}
	return c
}

// resetStoreState discards all that is known of the store, because another store took its place.
func (c *Coordinator) resetStoreState() {
	c.snapshot, c.leases = Snapshot{}, map[Slice]Lease{}
	c.sessionFirstSeen, c.unheldSince = map[string]float64{}, map[Slice]float64{}
}

// Held returns a copy of the owned slices with their fences.
func (c *Coordinator) Held() map[Slice]Fence { return maps.Clone(c.held) }

// LiveMembers returns the members with a session, including this director if it has one.
func (c *Coordinator) LiveMembers() (members []Member) {
	for _, m := range c.snapshot.Members {
		if m.Session != "" {
			members = append(members, m)
		}
	}
	return members
}

// Handle applies inputs that arrived up to now and returns the outputs to carry out, in order.
func (c *Coordinator) Handle(now float64, in ...any) []any {
	for _, i := range in {
		c.apply(now, i)
	}
	c.emitRequests(now)
	out := c.outputs
	c.outputs = nil
	return out
}

func (c *Coordinator) emit(output any) { c.outputs = append(c.outputs, output) }

func (c *Coordinator) apply(now float64, in any) {
	switch in := in.(type) {
	case SessionOpened:
		delete(c.inFlight, RequestOpen)
		if c.sessionID != "" && c.sessionID != in.ID {
			c.loseSession()
		}
		if in.FenceBase != c.fenceBase {
			c.resetStoreState()
		}
		c.sessionID, c.fenceBase, c.failures, c.session = in.ID, in.FenceBase, 0, NewSession(c.ttl, c.margin, in.SentAt)
		c.highestFence = max(c.highestFence, in.FenceBase)
		c.emit(LeaseDeadline{c.session.Deadline()})
		c.reconcile(now)
	case SessionRenewed:
		delete(c.inFlight, RequestRenew)
		if in.ID == c.sessionID {
			c.session.MarkRenewed(in.SentAt)
			c.failures = 0
			c.emit(LeaseDeadline{c.session.Deadline()})
		}
	case SessionUnknown:
		delete(c.inFlight, RequestRenew)
		if in.ID == c.sessionID && c.sessionID != "" {
			c.loseSession()
		}
	case RequestFailed:
		delete(c.inFlight, in.Request)
		c.failures++
		wait := firstRetryDelayMs
		for range min(c.failures, 10) - 1 {
			wait = min(maxRetryDelayMs, 2*wait)
		}
		c.retryAt = now + min(wait, c.ttl/6)
	case Snapshot:
		c.applySnapshot(now, in)
	case LeasesChanged:
		delete(c.inFlight, in.Request)
		for _, l := range in.Leases {
			c.updateLease(now, l)
		}
		c.reconcile(now)
	case LeaveRequested:
		c.leaving = true
	}
}

// loseSession ends the session and revokes all slices that were held by it.
func (c *Coordinator) loseSession() {
	c.session.MarkEnded()
	c.sessionID = ""
	c.emit(LeaseDeadline{math.Inf(-1)})
	for _, s := range slices.Sorted(maps.Keys(c.held)) {
		c.revokeSlice(s)
	}
}

func (c *Coordinator) revokeSlice(s Slice) {
	delete(c.held, s)
	delete(c.acquiredAt, s)
	c.emit(SliceRevoked{s})
}

// applySnapshot applies the content of the store. A lease older than the one already known is ignored, because answers
// can overtake each other.
func (c *Coordinator) applySnapshot(now float64, snapshot Snapshot) {
	if snapshot.Index < c.snapshot.Index {
		c.leases, c.unheldSince = map[Slice]Lease{}, map[Slice]float64{} // the store restarted with a lower index
	}
	c.snapshot = snapshot
	for _, l := range snapshot.Leases {
		c.updateLease(now, l)
	}
	for s := range Slice(c.sliceCount) {
		if _, known := c.leases[s]; !known {
			c.markUnheld(now, s)
		}
	}
	present := map[string]bool{}
	for _, m := range snapshot.Members {
		if present[m.Session] = true; m.Session != "" {
			if _, known := c.sessionFirstSeen[m.Session]; !known {
				c.sessionFirstSeen[m.Session] = now
			}
		}
	}
	maps.DeleteFunc(c.sessionFirstSeen, func(id string, _ float64) bool { return !present[id] })
	c.reconcile(now)
}

func (c *Coordinator) updateLease(now float64, l Lease) {
	if int(l.Slice) >= c.sliceCount || l.Slice < 0 {
		return
	}
	if previous, known := c.leases[l.Slice]; known && l.ModifyIndex < previous.ModifyIndex {
		return
	}
	c.leases[l.Slice] = l
	c.highestFence = max(c.highestFence, c.fenceBase+Fence(l.LockIndex))
	if l.Session == "" {
		c.markUnheld(now, l.Slice)
	} else {
		delete(c.unheldSince, l.Slice)
	}
}

func (c *Coordinator) markUnheld(now float64, s Slice) {
	if _, known := c.unheldSince[s]; !known {
		c.unheldSince[s] = now
	}
}

// reconcile compares the known leases with the owned slices and emits each grant and revocation.
func (c *Coordinator) reconcile(now float64) {
	for s := range Slice(c.sliceCount) {
		l, heldFence := c.leases[s], c.held[s]
		mine := c.sessionID != "" && l.Session == c.sessionID
		switch fence := c.fenceBase + Fence(l.LockIndex); {
		case mine && heldFence != fence:
			c.held[s], c.acquiredAt[s] = fence, now
			c.emit(SliceGranted{s, fence})
		case !mine && heldFence > 0 && l.Session != "":
			c.revokeSlice(s)
		case !mine && heldFence > 0 && l.Session == "" && l.ModifyIndex > 0:
			c.revokeSlice(s)
		}
	}
}

// stableDirectors returns the names of the directors that slices are assigned to, and the session of each live director
// that is not leaving. While no session is old enough, as after a start of all directors, every director counts as
// stable.
func (c *Coordinator) stableDirectors(now float64) (names []DirectorName, session map[DirectorName]string) {
	session = map[DirectorName]string{}
	var unstable []DirectorName
	for _, m := range c.snapshot.Members {
		if m.Session == "" || m.Leaving || c.leaving && m.Name == c.self {
			continue
		}
		session[m.Name] = m.Session
		if now-c.sessionFirstSeen[m.Session] >= stableAfterTTLs*c.ttl {
			names = append(names, m.Name)
		} else {
			unstable = append(unstable, m.Name)
		}
	}
	if len(names) == 0 {
		names = unstable
	}
	return names, session
}

func (c *Coordinator) emitRequests(now float64) {
	if c.sessionID == "" {
		if c.leaving {
			c.emit(AllReleased{})
		} else if now >= c.retryAt && c.beginRequest(now, RequestOpen) {
			c.emit(OpenSession{c.highestFence})
		}
		return
	}
	if now >= c.session.RenewAt() && now >= c.retryAt && c.beginRequest(now, RequestRenew) {
		c.emit(RenewSession{c.sessionID})
	}
	if now >= c.session.Deadline() {
		return // the session may have ended, so the known leases may be out of date
	}
	names, sessions := c.stableDirectors(now)
	owners := Assign(c.sliceCount, names)
	if c.leaving {
		c.transferAll(now, owners, sessions)
		return
	}
	if sessions[c.self] != c.sessionID {
		return // this director's own member entry is not visible yet, so other directors could not identify it
	}
	rank := float64(slices.Index(slices.Sorted(maps.Keys(sessions)), c.self))
	var wanted []Slice
	for s := range Slice(c.sliceCount) {
		since, unheld := c.unheldSince[s]
		if !unheld {
			continue
		}
		// A slice that its assigned director does not acquire may go to any other. By rank, each director waits an
		// eighth of a TTL longer than the one before, so that they do not all request it at once.
		if owners[s] == c.self || len(names) == 0 || now-since >= c.ttl*orphanedAfterTTLs*(1+rank/4) {
			wanted = append(wanted, s)
		}
	}
	if wanted = wanted[:min(len(wanted), maxSlicesPerRequest)]; len(wanted) > 0 && now >= c.retryAt && c.beginRequest(now, RequestAcquire) {
		c.emit(AcquireSlices{c.sessionID, wanted})
	}
	transfers := map[DirectorName][]Slice{}
	for s := range c.held {
		to := owners[s]
		if id := sessions[to]; to != c.self && id != "" && now-c.acquiredAt[s] >= stableAfterTTLs*c.ttl {
			transfers[to] = append(transfers[to], s)
		}
	}
	c.transferBatch(now, transfers, sessions)
}

// transferAll transfers each slice to the director that it is assigned to without this one, or releases it if there is
// none.
func (c *Coordinator) transferAll(now float64, owners []DirectorName, sessions map[DirectorName]string) {
	if len(c.held) == 0 {
		c.emit(AllReleased{})
		return
	}
	transfers := map[DirectorName][]Slice{}
	for s := range c.held {
		transfers[owners[s]] = append(transfers[owners[s]], s)
	}
	c.transferBatch(now, transfers, sessions)
}

// transferBatch transfers one batch of slices to the first, by name, of the directors in transfers.
func (c *Coordinator) transferBatch(now float64, transfers map[DirectorName][]Slice, sessions map[DirectorName]string) {
	if len(transfers) == 0 || now < c.retryAt || !c.beginRequest(now, RequestTransfer) {
		return
	}
	to := slices.MinFunc(slices.Collect(maps.Keys(transfers)), cmp.Compare[DirectorName])
	batch := slices.Sorted(slices.Values(transfers[to]))
	c.emit(TransferSlices{c.sessionID, sessions[to], batch[:min(len(batch), maxSlicesPerRequest)]})
}

// beginRequest reports whether a request may be sent now, and if so records it as in flight. A request without an
// answer for a TTL counts as lost and may be sent again.
func (c *Coordinator) beginRequest(now float64, request string) bool {
	if at, pending := c.inFlight[request]; pending && now < at+c.ttl {
		return false
	}
	c.inFlight[request] = now
	return true
}

// NextWakeup returns the time by which Handle must be called again.
func (c *Coordinator) NextWakeup(now float64) float64 {
	at := now + c.ttl/8
	if c.sessionID != "" && c.inFlight[RequestRenew] == 0 {
		at = min(at, max(c.session.RenewAt(), c.retryAt))
	}
	if c.sessionID == "" {
		at = min(at, max(c.retryAt, now+1))
	}
	return at
}
