// Package lease holds slices for a director through Consul's published sessions, locks and blocking queries, by its
// official client. What to hold, give and take is decided in package custody; here are the requests.
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
	"vetchwood/internal/custody"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Terms are what a lease is held by.
type Config struct {
	ConsulURL    string // URL
	KeyPrefix    string // of the keys
	TTL          time.Duration
	LockDelay    time.Duration
	AdvertiseURL string // where peers and proxies reach this director
	SliceCount   int
	// Epoch is what the clock says, in Unix milliseconds, for the base of the fences of a new store.
	UnixMillis func() float64
	// Through carries the requests; nil is the usual way.
	Transport http.RoundTripper
}

// Peer is another director, as the store knows it.
type Peer struct {
	Name    string      `json:"name"`
	URL     string      `json:"url"`
	Line    tables.Line `json:"line"` // of its own store: the same line is the same director, also after a restart
	Leaving bool        `json:"leaving,omitempty"`
	Session string      `json:"-"`
}

// Holder keeps what it can of the slices. Its steady clock is the director's.
type Manager struct {
	terms  Config
	me     Peer
	client *api.Client
	keeper *custody.Coordinator
	now    func() logic.Millis
	tell   func(any)
	log    *slog.Logger

	box     chan any
	leaving chan struct{}
	left    chan struct{}
	once    sync.Once
	gone    sync.Once
	peers   atomic.Pointer[[]Peer]
	held    atomic.Int64
	moves   atomic.Uint64

	mu      sync.Mutex
	session string
	records map[logic.TableID]control.SliceRecord // to be written
	more    chan struct{}
}

// marginPart of the time to live is left for a clock that runs at another pace than the store's.
const marginPart = 0.05

// New prepares a holder; tell passes on control.Given, Withdrawn and Guard.
func New(name string, line tables.Line, terms Config, now func() logic.Millis, tell func(any), log *slog.Logger) (*Manager, error) {
	if terms.Transport == nil {
		terms.Transport = &http.Transport{MaxIdleConnsPerHost: 4, DialContext: (&net.Dialer{Timeout: terms.TTL / 4}).DialContext}
	}
	client, err := api.NewClient(&api.Config{Address: terms.ConsulURL, HttpClient: &http.Client{Transport: terms.Transport}})
	if err != nil {
		return nil, err
	}
	ttl := float64(terms.TTL.Microseconds()) / 1000
	h := &Manager{terms: terms, me: Peer{Name: name, URL: terms.AdvertiseURL, Line: line}, client: client, now: now, tell: tell, log: log,
		keeper: custody.NewCoordinator(custody.DirectorName(name), terms.SliceCount, ttl, ttl*marginPart), box: make(chan any, 1024),
		leaving: make(chan struct{}), left: make(chan struct{}), records: map[logic.TableID]control.SliceRecord{},
		more: make(chan struct{}, 1)}
	h.peers.Store(&[]Peer{})
	return h, nil
}

// Peers are the other directors that are alive, as far as the store knows.
func (h *Manager) Peers() []Peer { return *h.peers.Load() }

// Held is how many slices are held, and Moves how many came or went.
func (h *Manager) HeldSlices() int          { return int(h.held.Load()) }
func (h *Manager) OwnershipChanges() uint64 { return h.moves.Load() }

// Leave gives all away, and returns when nothing is held or the context ends.
func (h *Manager) Leave(ctx context.Context) {
	h.once.Do(func() { close(h.leaving) })
	select {
	case <-h.left:
	case <-ctx.Done():
	}
}

// Record puts a slice's newest lines where its next holder finds them.
func (h *Manager) StoreRecord(r control.SliceRecord) {
	h.mu.Lock()
	h.records[r.Slice] = r
	h.mu.Unlock()
	select {
	case h.more <- struct{}{}:
	default:
	}
}

func (h *Manager) clock() float64 { return float64(h.now()) }

// read is what came of a look for the lines of slices that were just taken.
type read struct {
	fences  map[logic.TableID]uint64
	records map[logic.TableID]*control.SliceRecord
}

// Run keeps the leases until the context ends. Then the session runs out by itself, unless Leave was called before.
func (h *Manager) Run(ctx context.Context) {
	go h.watch(ctx)
	go h.write(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	leaving := h.leaving
	for {
		var in []any
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-leaving:
			leaving = nil
			in = append(in, custody.LeaveRequested{})
			h.announce(ctx)
		case i := <-h.box:
			in = append(in, i)
		}
		for more := true; more; {
			select {
			case i := <-h.box:
				in = append(in, i)
			default:
				more = false
			}
		}
		given := map[logic.TableID]uint64{}
		in = slices.DeleteFunc(in, func(i any) bool {
			if r, is := i.(read); is {
				h.give(r)
			}
			_, is := i.(read)
			return is
		})
		for _, o := range h.keeper.Handle(h.clock(), in...) {
			h.carryOut(ctx, o, given)
		}
		if len(given) > 0 {
			go h.read(ctx, given)
		}
		h.held.Store(int64(len(h.keeper.Held())))
		timer.Reset(time.Duration(max(1, h.keeper.NextWakeup(h.clock())-h.clock()) * float64(time.Millisecond)))
	}
}

func (h *Manager) carryOut(ctx context.Context, o any, given map[logic.TableID]uint64) {
	switch o := o.(type) {
	case custody.OpenSession:
		go h.open(ctx, o.FenceFloor)
	case custody.RenewSession:
		go h.renew(ctx, o.ID)
	case custody.AcquireSlices:
		go h.move(ctx, custody.RequestAcquire, h.locks(o.Session, o.Slices))
	case custody.TransferSlices:
		go func() { // what was told last goes on record before the next one reads it
			h.flush(ctx)
			h.move(ctx, custody.RequestTransfer, h.hands(o))
		}()
	case custody.SliceGranted:
		h.moves.Add(1)
		given[logic.TableID(o.Slice)] = uint64(o.Fence)
	case custody.SliceRevoked:
		h.moves.Add(1)
		delete(given, logic.TableID(o.Slice))
		h.tell(control.SliceRevoked{Slice: logic.TableID(o.Slice)})
	case custody.LeaseDeadline:
		h.tell(control.LeaseDeadline{Until: logic.Millis(o.Until)})
	case custody.AllReleased:
		h.gone.Do(func() {
			go func() {
				h.end(ctx)
				close(h.left)
			}()
		})
	}
}

func (h *Manager) post(ctx context.Context, in any) {
	select {
	case h.box <- in:
	case <-ctx.Done():
	}
}

// patience is how long one request may take; several fit in a time to live.
func (h *Manager) patience(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, h.terms.TTL/4)
}

func (h *Manager) key(parts ...string) string {
	return h.terms.KeyPrefix + "/" + strings.Join(parts, "/")
}

func (h *Manager) sliceKey(s custody.Slice) string { return h.key("slices", fmt.Sprintf("%05d", s)) }

func (h *Manager) recordKey(t logic.TableID) string {
	return h.terms.KeyPrefix + ".tables/" + fmt.Sprintf("%05d", t)
}

var errTaken = errors.New("another director of this name is alive")

// open begins a session, or goes on with that of an earlier start: the same store of its own stands behind both, and
// only one process can have that open.
func (h *Manager) open(ctx context.Context, over custody.Fence) {
	sent := h.clock()
	id, base, err := h.opened(ctx, over)
	if err != nil {
		if ctx.Err() == nil {
			h.log.Warn("lease.not_opened", "error", err)
		}
		h.post(ctx, custody.RequestFailed{Request: custody.RequestOpen})
		return
	}
	h.mu.Lock()
	h.session = id
	h.mu.Unlock()
	h.log.Info("lease.opened", "session", id, "base", uint64(base))
	h.post(ctx, custody.SessionOpened{ID: id, SentAt: sent, FenceBase: base})
}

func (h *Manager) opened(ctx context.Context, over custody.Fence) (id string, base custody.Fence, err error) {
	ctx, cancel := h.patience(ctx)
	defer cancel()
	q, w := (&api.QueryOptions{}).WithContext(ctx), (&api.WriteOptions{}).WithContext(ctx)
	pair, _, err := h.client.KV().Get(h.key("members", h.me.Name), q)
	if err != nil {
		return "", 0, err
	}
	if pair != nil && pair.Session != "" {
		var was Peer
		if err := json.Unmarshal(pair.Value, &was); err != nil || was.Line != h.me.Line {
			return "", 0, errTaken
		}
		if e, _, err := h.client.Session().Renew(pair.Session, w); err != nil {
			return "", 0, err
		} else if e != nil {
			id = pair.Session
		}
	}
	if id == "" {
		id, _, err = h.client.Session().CreateNoChecks(&api.SessionEntry{Name: h.terms.KeyPrefix + " " + h.me.Name, TTL: h.terms.TTL.String(),
			Behavior: api.SessionBehaviorRelease, LockDelay: max(time.Millisecond, h.terms.LockDelay)}, w)
		if err != nil {
			return "", 0, err
		}
	}
	value, _ := json.Marshal(h.me)
	ok, res, _, err := h.client.Txn().Txn(api.TxnOps{{KV: &api.KVTxnOp{Verb: api.KVLock, Key: h.key("members", h.me.Name),
		Value: value, Session: id}}}, q)
	if err != nil {
		return "", 0, err
	} else if !ok {
		h.client.Session().Destroy(id, w)
		return "", 0, fmt.Errorf("%w: %s", errTaken, why(res))
	}
	base, err = h.base(q, over)
	return id, base, err
}

// base is what fences count from. A store that was lost begins another, above all that was seen of the one before.
func (h *Manager) base(q *api.QueryOptions, over custody.Fence) (custody.Fence, error) {
	for range 3 {
		pair, _, err := h.client.KV().Get(h.key("epoch"), q)
		if err != nil {
			return 0, err
		}
		if pair != nil {
			n, err := strconv.ParseUint(string(pair.Value), 10, 64)
			return custody.Fence(n), err
		}
		n := max(custody.Fence(h.terms.UnixMillis()), over+1)
		if _, _, _, err := h.client.Txn().Txn(api.TxnOps{{KV: &api.KVTxnOp{Verb: api.KVCAS, Key: h.key("epoch"),
			Value: []byte(strconv.FormatUint(uint64(n), 10))}}}, q); err != nil {
			return 0, err
		}
	}
	return 0, errors.New("the epoch comes and goes")
}

func why(res *api.TxnResponse) string {
	if res != nil && len(res.Errors) > 0 {
		return res.Errors[0].What
	}
	return "refused"
}

// announce tells all that this director leaves, so that nothing is given to it any more.
func (h *Manager) announce(ctx context.Context) {
	h.mu.Lock()
	id := h.session
	h.mu.Unlock()
	if id == "" {
		return
	}
	leaving := h.me
	leaving.Leaving = true
	value, _ := json.Marshal(leaving)
	ctx, cancel := h.patience(ctx)
	defer cancel()
	if _, _, _, err := h.client.Txn().Txn(api.TxnOps{{KV: &api.KVTxnOp{Verb: api.KVLock, Key: h.key("members", h.me.Name), Value: value,
		Session: id}}}, (&api.QueryOptions{}).WithContext(ctx)); err != nil {
		h.log.Warn("lease.not_announced", "error", err)
	}
}

// end tells the store that the session is over, so that nobody waits for it to run out.
func (h *Manager) end(ctx context.Context) {
	h.mu.Lock()
	id := h.session
	h.mu.Unlock()
	wait, cancel := h.patience(ctx)
	defer cancel()
	if _, err := h.client.Session().Destroy(id, (&api.WriteOptions{}).WithContext(wait)); err != nil && id != "" {
		h.log.Warn("lease.not_ended", "error", err)
	}
}

func (h *Manager) renew(ctx context.Context, id string) {
	sent := h.clock()
	wait, cancel := h.patience(ctx)
	defer cancel()
	e, _, err := h.client.Session().Renew(id, (&api.WriteOptions{}).WithContext(wait))
	switch {
	case err != nil:
		if ctx.Err() == nil {
			h.log.Warn("lease.not_renewed", "error", err)
		}
		h.post(ctx, custody.RequestFailed{Request: custody.RequestRenew})
	case e == nil:
		h.log.Warn("lease.lost", "session", id)
		h.post(ctx, custody.SessionUnknown{ID: id})
	default:
		h.post(ctx, custody.SessionRenewed{ID: id, SentAt: sent})
	}
}

func (h *Manager) locks(id string, take []custody.Slice) (ops [][]*api.KVTxnOp) {
	for _, s := range take {
		ops = append(ops, []*api.KVTxnOp{{Verb: api.KVLock, Key: h.sliceKey(s), Value: []byte(h.me.Name), Session: id}})
	}
	return ops
}

// hands gives slices away so that at no moment nobody has them.
func (h *Manager) hands(o custody.TransferSlices) (ops [][]*api.KVTxnOp) {
	to := ""
	for _, p := range h.Peers() {
		if p.Session == o.To {
			to = p.Name
		}
	}
	for _, s := range o.Slices {
		both := []*api.KVTxnOp{{Verb: api.KVUnlock, Key: h.sliceKey(s), Session: o.From}}
		if o.To != "" {
			both = append(both, &api.KVTxnOp{Verb: api.KVLock, Key: h.sliceKey(s), Value: []byte(to), Session: o.To})
		}
		ops = append(ops, both)
	}
	return ops
}

// move does what it can of some changes: those that the store refuses are left out and the rest is tried again.
func (h *Manager) move(ctx context.Context, what string, changes [][]*api.KVTxnOp) {
	wait, cancel := h.patience(ctx)
	defer cancel()
	for range 4 {
		var ops api.TxnOps
		var of []int
		for i, c := range changes {
			for _, op := range c {
				ops, of = append(ops, &api.TxnOp{KV: op}), append(of, i)
			}
		}
		if len(ops) == 0 {
			break
		}
		ok, res, _, err := h.client.Txn().Txn(ops, (&api.QueryOptions{}).WithContext(wait))
		if err != nil || res == nil {
			if ctx.Err() == nil {
				h.log.Warn("lease.not_moved", "what", what, "error", err)
			}
			break
		}
		if ok {
			last := map[string]custody.Lease{}
			for _, r := range res.Results {
				if l, is := h.lease(r.KV); is {
					last[r.KV.Key] = l
				}
			}
			m := custody.LeasesChanged{Request: what}
			for _, l := range last {
				m.Leases = append(m.Leases, l)
			}
			h.log.Info("lease.moved", "what", what, "slices", len(last))
			h.post(ctx, m)
			return
		}
		refused := map[int]bool{}
		for _, e := range res.Errors {
			if e.OpIndex < len(of) {
				refused[of[e.OpIndex]] = true
			}
		}
		rest := changes[:0:0]
		for i, c := range changes {
			if !refused[i] {
				rest = append(rest, c)
			}
		}
		if changes = rest; len(refused) == 0 {
			break
		}
	}
	h.post(ctx, custody.RequestFailed{Request: what})
}

func (h *Manager) lease(p *api.KVPair) (custody.Lease, bool) {
	rest, is := strings.CutPrefix(p.Key, h.key("slices")+"/")
	n, err := strconv.Atoi(rest)
	if !is || err != nil {
		return custody.Lease{}, false
	}
	return custody.Lease{Slice: custody.Slice(n), Session: p.Session, LockIndex: p.LockIndex, ModifyIndex: p.ModifyIndex}, true
}
