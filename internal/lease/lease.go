// Package lease holds the leases of a director's slices in Consul, by sessions, locks and blocking queries through the
// official client. Package ownership decides which slices to acquire, hold and transfer; this package sends the
// requests.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/consul/api"

	"vetchwood/internal/control"
	"vetchwood/internal/ownership"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Config configures a Manager.
type Config struct {
	ConsulURL    string
	KeyPrefix    string        // prefix of all keys in the store
	TTL          time.Duration // time to live of the session
	LockDelay    time.Duration
	AdvertiseURL string // where peers and proxies reach this director
	SliceCount   int
	// UnixMillis returns the wall-clock time in Unix milliseconds. The fence base of a new store is derived from it.
	UnixMillis func() float64
	// Transport carries the requests to Consul. If nil, New sets an http.Transport with a dial timeout of a quarter of
	// the TTL.
	Transport http.RoundTripper
}

// Peer is another director, as its member entry in the store describes it.
type Peer struct {
	Name    string           `json:"name"`
	URL     string           `json:"url"`
	History tables.HistoryID `json:"line"` // history of its local store; identifies the director across restarts
	Leaving bool             `json:"leaving,omitempty"`
	Session string           `json:"-"`
}

// Manager acquires, renews and transfers the leases of one director. It uses the director's monotonic clock.
type Manager struct {
	config      Config
	self        Peer
	client      *api.Client
	coordinator *ownership.Coordinator
	now         func() logic.Millis
	notify      func(any)
	log         *slog.Logger

	inbox        chan any
	leaving      chan struct{} // closed by Leave
	released     chan struct{} // closed when no slice is held after Leave
	leaveOnce    sync.Once
	releasedOnce sync.Once
	peers        atomic.Pointer[[]Peer]
	heldCount    atomic.Int64
	changeCount  atomic.Uint64

	mu             sync.Mutex
	sessionID      string
	pendingRecords map[logic.TableID]control.SliceRecord // not yet written to the store
	recordsPending chan struct{}                         // signals writeRecords that pendingRecords is not empty
}

// clockDriftFraction is the part of the TTL that is kept as a margin for drift between this clock and the store's.
const clockDriftFraction = 0.05

// New returns a Manager of the director with the given name and store history. It calls notify with
// control.SliceGrants, control.SliceRevoked and control.LeaseDeadline.
func New(name string, history tables.HistoryID, config Config, now func() logic.Millis, notify func(any), log *slog.Logger) (*Manager, error) {
	if config.Transport == nil {
		config.Transport = &http.Transport{MaxIdleConnsPerHost: 4, DialContext: (&net.Dialer{Timeout: config.TTL / 4}).DialContext}
	}
	client, err := api.NewClient(&api.Config{Address: config.ConsulURL, HttpClient: &http.Client{Transport: config.Transport}})
	if err != nil {
		return nil, err
	}
	ttl := float64(config.TTL.Microseconds()) / 1000
	m := &Manager{config: config, self: Peer{Name: name, URL: config.AdvertiseURL, History: history}, client: client, now: now, notify: notify, log: log,
		coordinator: ownership.NewCoordinator(ownership.DirectorName(name), config.SliceCount, ttl, ttl*clockDriftFraction), inbox: make(chan any, 1024),
		leaving: make(chan struct{}), released: make(chan struct{}), pendingRecords: map[logic.TableID]control.SliceRecord{},
		recordsPending: make(chan struct{}, 1)}
	m.peers.Store(&[]Peer{})
	return m, nil
}

// Peers returns the other live directors according to the store.
func (m *Manager) Peers() []Peer { return *m.peers.Load() }

// HeldSlices returns the number of slices that this director owns.
func (m *Manager) HeldSlices() int { return int(m.heldCount.Load()) }

// OwnershipChanges returns the number of slices granted and revoked so far.
func (m *Manager) OwnershipChanges() uint64 { return m.changeCount.Load() }

// Leave transfers all slices to other directors. It returns when none is held any more or when the context ends.
func (m *Manager) Leave(ctx context.Context) {
	m.leaveOnce.Do(func() { close(m.leaving) })
	select {
	case <-m.released:
	case <-ctx.Done():
	}
}

// StoreRecord queues the current state of a slice for the store, where the slice's next owner reads it.
func (m *Manager) StoreRecord(r control.SliceRecord) {
	m.mu.Lock()
	m.pendingRecords[r.Slice] = r
	m.mu.Unlock()
	select {
	case m.recordsPending <- struct{}{}:
	default:
	}
}

func (m *Manager) nowMs() float64 { return float64(m.now()) }

// recordsRead is an event of the inbox: the stored records, where found, of slices that were just granted.
type recordsRead struct {
	fences  map[logic.TableID]uint64
	records map[logic.TableID]*control.SliceRecord
}

// Run maintains the leases until the context ends. The session then expires by itself, unless Leave ended it before.
func (m *Manager) Run(ctx context.Context) {
	go m.watchStore(ctx)
	go m.writeRecords(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	leaving := m.leaving
	for {
		var in []any
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-leaving:
			leaving = nil
			in = append(in, ownership.LeaveRequested{})
			m.announceLeaving(ctx)
		case i := <-m.inbox:
			in = append(in, i)
		}
		for more := true; more; {
			select {
			case i := <-m.inbox:
				in = append(in, i)
			default:
				more = false
			}
		}
		granted := map[logic.TableID]uint64{}
		in = slices.DeleteFunc(in, func(i any) bool {
			if r, ok := i.(recordsRead); ok {
				m.notifyGrants(r)
			}
			_, ok := i.(recordsRead)
			return ok
		})
		for _, o := range m.coordinator.Handle(m.nowMs(), in...) {
			m.execute(ctx, o, granted)
		}
		if len(granted) > 0 {
			go m.readRecords(ctx, granted)
		}
		m.heldCount.Store(int64(len(m.coordinator.Held())))
		timer.Reset(time.Duration(max(1, m.coordinator.NextWakeup(m.nowMs())-m.nowMs()) * float64(time.Millisecond)))
	}
}

func (m *Manager) execute(ctx context.Context, o any, granted map[logic.TableID]uint64) {
	switch o := o.(type) {
	case ownership.OpenSession:
		go m.openSession(ctx, o.FenceFloor)
	case ownership.RenewSession:
		go m.renewSession(ctx, o.ID)
	case ownership.AcquireSlices:
		go m.changeLeases(ctx, ownership.RequestAcquire, m.lockOps(o.Session, o.Slices))
	case ownership.TransferSlices:
		go func() { // pending records are written before the next owner reads them
			m.flushRecords(ctx)
			m.changeLeases(ctx, ownership.RequestTransfer, m.transferOps(o))
		}()
	case ownership.SliceGranted:
		m.changeCount.Add(1)
		granted[logic.TableID(o.Slice)] = uint64(o.Fence)
	case ownership.SliceRevoked:
		m.changeCount.Add(1)
		delete(granted, logic.TableID(o.Slice))
		m.notify(control.SliceRevoked{Slice: logic.TableID(o.Slice)})
	case ownership.LeaseDeadline:
		m.notify(control.LeaseDeadline{Until: logic.Millis(o.Until)})
	case ownership.AllReleased:
		m.releasedOnce.Do(func() {
			go func() {
				m.destroySession(ctx)
				close(m.released)
			}()
		})
	}
}

func (m *Manager) enqueue(ctx context.Context, in any) {
	select {
	case m.inbox <- in:
	case <-ctx.Done():
	}
}

// requestContext limits one request to a quarter of the TTL, so that several attempts fit in a TTL.
func (m *Manager) requestContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, m.config.TTL/4)
}

func (m *Manager) key(parts ...string) string {
	return m.config.KeyPrefix + "/" + strings.Join(parts, "/")
}

func (m *Manager) sliceKey(s ownership.Slice) string { return m.key("slices", fmt.Sprintf("%05d", s)) }

func (m *Manager) recordKey(t logic.TableID) string {
	return m.config.KeyPrefix + ".tables/" + fmt.Sprintf("%05d", t)
}

var errNameInUse = errors.New("another live director has the same name")

// openSession opens a session and reports the result to the coordinator.
func (m *Manager) openSession(ctx context.Context, fenceFloor ownership.Fence) {
	sent := m.nowMs()
	id, base, err := m.establishSession(ctx, fenceFloor)
	if err != nil {
		if ctx.Err() == nil {
			m.log.Warn("lease.not_opened", "error", err)
		}
		m.enqueue(ctx, ownership.RequestFailed{Request: ownership.RequestOpen})
		return
	}
	m.mu.Lock()
	m.sessionID = id
	m.mu.Unlock()
	m.log.Info("lease.opened", "session", id, "base", uint64(base))
	m.enqueue(ctx, ownership.SessionOpened{ID: id, SentAt: sent, FenceBase: base})
}

// establishSession creates a session or continues the one of an earlier run of this director, and locks the director's
// member entry with it. An entry with the same store history is of an earlier run that has ended, because only one
// process can have the local store open.
func (m *Manager) establishSession(ctx context.Context, fenceFloor ownership.Fence) (id string, base ownership.Fence, err error) {
	ctx, cancel := m.requestContext(ctx)
	defer cancel()
	q, w := (&api.QueryOptions{}).WithContext(ctx), (&api.WriteOptions{}).WithContext(ctx)
	pair, _, err := m.client.KV().Get(m.key("members", m.self.Name), q)
	if err != nil {
		return "", 0, err
	}
	if pair != nil && pair.Session != "" {
		var previous Peer
		if err := json.Unmarshal(pair.Value, &previous); err != nil || previous.History != m.self.History {
			return "", 0, errNameInUse
		}
		if e, _, err := m.client.Session().Renew(pair.Session, w); err != nil {
			return "", 0, err
		} else if e != nil {
			id = pair.Session
		}
	}
	if id == "" {
		id, _, err = m.client.Session().CreateNoChecks(&api.SessionEntry{Name: m.config.KeyPrefix + " " + m.self.Name, TTL: m.config.TTL.String(),
			Behavior: api.SessionBehaviorRelease, LockDelay: max(time.Millisecond, m.config.LockDelay)}, w)
		if err != nil {
			return "", 0, err
		}
	}
	value, _ := json.Marshal(m.self)
	ok, res, _, err := m.client.Txn().Txn(api.TxnOps{{KV: &api.KVTxnOp{Verb: api.KVLock, Key: m.key("members", m.self.Name),
		Value: value, Session: id}}}, q)
	if err != nil {
		return "", 0, err
	} else if !ok {
		m.client.Session().Destroy(id, w)
		return "", 0, fmt.Errorf("%w: %s", errNameInUse, refusalReason(res))
	}
	base, err = m.fenceBase(q, fenceFloor)
	return id, base, err
}

// fenceBase returns the number that the store's fences count from, and creates it if there is none. After the store
// lost its data, the new base is above fenceFloor, the highest fence seen before.
func (m *Manager) fenceBase(q *api.QueryOptions, fenceFloor ownership.Fence) (ownership.Fence, error) {
	for range 3 {
		pair, _, err := m.client.KV().Get(m.key("epoch"), q)
		if err != nil {
			return 0, err
		}
		if pair != nil {
			n, err := strconv.ParseUint(string(pair.Value), 10, 64)
			return ownership.Fence(n), err
		}
		n := max(ownership.Fence(m.config.UnixMillis()), fenceFloor+1)
		if _, _, _, err := m.client.Txn().Txn(api.TxnOps{{KV: &api.KVTxnOp{Verb: api.KVCAS, Key: m.key("epoch"),
			Value: []byte(strconv.FormatUint(uint64(n), 10))}}}, q); err != nil {
			return 0, err
		}
	}
	return 0, errors.New("no fence base: the epoch key is still missing after 3 attempts to create it")
}

// refusalReason returns the store's first error text for a transaction that it refused.
func refusalReason(res *api.TxnResponse) string {
	if res != nil && len(res.Errors) > 0 {
		return res.Errors[0].What
	}
	return "refused"
}

// announceLeaving marks this director's member entry as leaving, so that no slice is transferred to it any more.
func (m *Manager) announceLeaving(ctx context.Context) {
	m.mu.Lock()
	id := m.sessionID
	m.mu.Unlock()
	if id == "" {
		return
	}
	leaving := m.self
	leaving.Leaving = true
	value, _ := json.Marshal(leaving)
	ctx, cancel := m.requestContext(ctx)
	defer cancel()
	if _, _, _, err := m.client.Txn().Txn(api.TxnOps{{KV: &api.KVTxnOp{Verb: api.KVLock, Key: m.key("members", m.self.Name), Value: value,
		Session: id}}}, (&api.QueryOptions{}).WithContext(ctx)); err != nil {
		m.log.Warn("lease.not_announced", "error", err)
	}
}

// destroySession ends the session in the store, so that nobody has to wait until it expires.
func (m *Manager) destroySession(ctx context.Context) {
	m.mu.Lock()
	id := m.sessionID
	m.mu.Unlock()
	reqCtx, cancel := m.requestContext(ctx)
	defer cancel()
	if _, err := m.client.Session().Destroy(id, (&api.WriteOptions{}).WithContext(reqCtx)); err != nil && id != "" {
		m.log.Warn("lease.not_ended", "error", err)
	}
}

func (m *Manager) renewSession(ctx context.Context, id string) {
	sent := m.nowMs()
	reqCtx, cancel := m.requestContext(ctx)
	defer cancel()
	e, _, err := m.client.Session().Renew(id, (&api.WriteOptions{}).WithContext(reqCtx))
	switch {
	case err != nil:
		if ctx.Err() == nil {
			m.log.Warn("lease.not_renewed", "error", err)
		}
		m.enqueue(ctx, ownership.RequestFailed{Request: ownership.RequestRenew})
	case e == nil:
		m.log.Warn("lease.lost", "session", id)
		m.enqueue(ctx, ownership.SessionUnknown{ID: id})
	default:
		m.enqueue(ctx, ownership.SessionRenewed{ID: id, SentAt: sent})
	}
}

// lockOps returns, for each slice, the operation that locks it for the session.
func (m *Manager) lockOps(id string, wanted []ownership.Slice) (ops [][]*api.KVTxnOp) {
	for _, s := range wanted {
		ops = append(ops, []*api.KVTxnOp{{Verb: api.KVLock, Key: m.sliceKey(s), Value: []byte(m.self.Name), Session: id}})
	}
	return ops
}

// transferOps returns, for each slice, the operations that unlock it and lock it for the next owner. Both are in one
// transaction, so that the slice is never without an owner.
func (m *Manager) transferOps(o ownership.TransferSlices) (ops [][]*api.KVTxnOp) {
	toName := ""
	for _, p := range m.Peers() {
		if p.Session == o.To {
			toName = p.Name
		}
	}
	for _, s := range o.Slices {
		pair := []*api.KVTxnOp{{Verb: api.KVUnlock, Key: m.sliceKey(s), Session: o.From}}
		if o.To != "" {
			pair = append(pair, &api.KVTxnOp{Verb: api.KVLock, Key: m.sliceKey(s), Value: []byte(toName), Session: o.To})
		}
		ops = append(ops, pair)
	}
	return ops
}

// changeLeases sends the changes in one transaction. The changes that the store refuses are removed and the others sent
// again, up to 4 times in all. Each change is a list of operations on one slice.
func (m *Manager) changeLeases(ctx context.Context, request string, changes [][]*api.KVTxnOp) {
	reqCtx, cancel := m.requestContext(ctx)
	defer cancel()
	for range 4 {
		var ops api.TxnOps
		var changeOf []int // by operation, the index of its change
		for i, c := range changes {
			for _, op := range c {
				ops, changeOf = append(ops, &api.TxnOp{KV: op}), append(changeOf, i)
			}
		}
		if len(ops) == 0 {
			break
		}
		ok, res, _, err := m.client.Txn().Txn(ops, (&api.QueryOptions{}).WithContext(reqCtx))
		if err != nil || res == nil {
			if ctx.Err() == nil {
				m.log.Warn("lease.not_moved", "what", request, "error", err)
			}
			break
		}
		if ok {
			last := map[string]ownership.Lease{}
			for _, r := range res.Results {
				if l, ok := m.parseLease(r.KV); ok {
					last[r.KV.Key] = l
				}
			}
			changed := ownership.LeasesChanged{Request: request}
			for _, l := range last {
				changed.Leases = append(changed.Leases, l)
			}
			m.log.Info("lease.moved", "what", request, "slices", len(last))
			m.enqueue(ctx, changed)
			return
		}
		refused := map[int]bool{}
		for _, e := range res.Errors {
			if e.OpIndex < len(changeOf) {
				refused[changeOf[e.OpIndex]] = true
			}
		}
		remaining := changes[:0:0]
		for i, c := range changes {
			if !refused[i] {
				remaining = append(remaining, c)
			}
		}
		if changes = remaining; len(refused) == 0 {
			break
		}
	}
	m.enqueue(ctx, ownership.RequestFailed{Request: request})
}

// parseLease returns the lease that a key-value pair holds, or false if its key is not that of a slice.
func (m *Manager) parseLease(p *api.KVPair) (ownership.Lease, bool) {
	number, isSlice := strings.CutPrefix(p.Key, m.key("slices")+"/")
	n, err := strconv.Atoi(number)
	if !isSlice || err != nil {
		return ownership.Lease{}, false
	}
	return ownership.Lease{Slice: ownership.Slice(n), Session: p.Session, LockIndex: p.LockIndex, ModifyIndex: p.ModifyIndex}, true
}
