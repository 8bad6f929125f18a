package lease_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/consul/api"

	"vetchwood/internal/control"
	"vetchwood/internal/lease"
	"vetchwood/internal/standin"
	"vetchwood/logic"
)

const (
	sliceCount = 6
	ttl        = 300 * time.Millisecond
)

// history records the operations on slices that were sent to the store, with its responses.
type history struct {
	mu     sync.Mutex
	epoch  time.Time
	ops    []porcupine.Operation
	closed bool
}

func (h *history) now() int64 { return time.Since(h.epoch).Nanoseconds() }

func (h *history) add(client int, key string, in request, call int64, out response, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if in.key = key; !h.closed {
		h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
	}
}

type (
	request  struct{ key, op, session, to string }
	response struct {
		outcome   string // ok, refused or unknown
		session   string
		lockIndex uint64
	}
	// lockState is the state of one slice's lock in the model.
	lockState struct {
		session   string
		lockIndex uint64
	}
)

// lockModel is Consul's published lock: at most one session holds it, and each acquisition increments the lock index.
var lockModel = porcupine.NondeterministicModel{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range all {
			by[o.Input.(request).key] = append(by[o.Input.(request).key], o)
		}
		var out [][]porcupine.Operation
		for _, ops := range by {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{lockState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(lockState), input.(request), output.(response)
		next := s
		possible := false
		switch in.op {
		case "read":
			if s.session == out.session && s.lockIndex == out.lockIndex {
				return []any{s}
			}
			return nil
		case "end":
			if s.session != in.session {
				return nil
			}
			return []any{lockState{"", s.lockIndex}}
		case "take":
			if possible = s.session == "" || s.session == in.session; possible && s.session == "" {
				next = lockState{in.session, s.lockIndex + 1}
			}
		case "hand":
			if possible = s.session == in.session; possible {
				if next.session = in.to; in.to != "" {
					next.lockIndex++
				}
			}
		}
		switch {
		case out.outcome == "ok" && possible && (out.session == "" || out.session == next.session && out.lockIndex == next.lockIndex):
			return []any{next}
		case out.outcome == "refused":
			return []any{s}
		case out.outcome == "unknown" && possible:
			return []any{s, next}
		case out.outcome == "unknown":
			return []any{s}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// recordingTransport records the requests to the store and its responses in a history.
type recordingTransport struct {
	history *history
	client  int
	next    http.RoundTripper
}

func (r *recordingTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	var body []byte
	if q.Body != nil {
		body, _ = io.ReadAll(q.Body)
		q.Body = io.NopCloser(bytes.NewReader(body))
	}
	call := r.history.now()
	res, err := r.next.RoundTrip(q)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(res.Body)
		res.Body.Close()
		res.Body = io.NopCloser(bytes.NewReader(text))
	}
	switch {
	case q.URL.Path == "/v1/txn":
		r.recordTxn(body, call, res, text, err)
	case strings.HasPrefix(q.URL.Path, "/v1/kv/") && q.URL.Query().Has("recurse") && err == nil && res.StatusCode == http.StatusOK:
		var pairs api.KVPairs
		json.Unmarshal(text, &pairs)
		for _, p := range pairs {
			if strings.Contains(p.Key, "/slices/") {
				// A blocking query reads the store at some time between its request and its answer.
				r.history.add(100+r.client, p.Key, request{op: "read"}, call, response{"ok", p.Session, p.LockIndex}, r.history.now())
			}
		}
	}
	return res, err
}

func (r *recordingTransport) recordTxn(body []byte, call int64, res *http.Response, text []byte, err error) {
	var ops []struct{ KV *api.KVTxnOp }
	json.Unmarshal(body, &ops)
	all := map[string]request{}
	for _, o := range ops {
		if !strings.Contains(o.KV.Key, "/slices/") {
			continue
		}
		switch in := all[o.KV.Key]; {
		case o.KV.Verb == api.KVUnlock:
			all[o.KV.Key] = request{op: "hand", session: o.KV.Session}
		case o.KV.Verb == api.KVLock && in.op == "hand":
			in.to = o.KV.Session
			all[o.KV.Key] = in
		case o.KV.Verb == api.KVLock:
			all[o.KV.Key] = request{op: "take", session: o.KV.Session}
		}
	}
	outcome, end := "ok", r.history.now()
	results := map[string]*api.KVPair{}
	switch {
	case err != nil || res.StatusCode >= 500:
		outcome, end = "unknown", math.MaxInt64
	case res.StatusCode != http.StatusOK:
		outcome = "refused"
	default:
		var out struct{ Results []struct{ KV *api.KVPair } }
		json.Unmarshal(text, &out)
		for _, x := range out.Results {
			results[x.KV.Key] = x.KV
		}
	}
	for key, in := range all {
		out := response{outcome: outcome}
		if p := results[key]; p != nil {
			out.session, out.lockIndex = p.Session, p.LockIndex
		}
		r.history.add(r.client, key, in, call, out, end)
	}
}

// fleet is a set of managers over one store, with the fences that were granted to each.
type fleet struct {
	registry     *standin.Registry
	connections  []*standin.Link
	managers     []*lease.Manager
	history      *history
	mu           sync.Mutex
	granted      []map[logic.TableID]uint64
	highestFence map[logic.TableID]uint64
	stops        []context.CancelFunc
}

func startFleet(t *testing.T, n int) *fleet {
	f := &fleet{history: &history{epoch: time.Now()}, highestFence: map[logic.TableID]uint64{}}
	var err error
	if f.registry, err = standin.NewRegistry("127.0.0.1:0", nil, func() float64 { return 0 }, 0); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.registry.Close)
	sessions := map[string]string{} // by key, the last known session
	f.registry.KV.OnLockChange = func(key, session, holder string, lockIndex uint64, _ func(string) string) {
		if !strings.Contains(key, "/slices/") {
			return
		}
		if previous := sessions[key]; session == "" && previous != "" && holder == standin.SessionEnded {
			at := f.history.now()
			f.history.add(200, key, request{op: "end", session: previous}, at, response{outcome: "ok"}, at)
		}
		sessions[key] = session
	}
	for i := range n {
		f.start(t, i)
	}
	return f
}

func (f *fleet) start(t *testing.T, i int) {
	if len(f.connections) == i {
		d, err := f.registry.NewLink(fmt.Sprint("d", i), uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Close)
		f.connections, f.managers = append(f.connections, d), append(f.managers, nil)
		f.granted, f.stops = append(f.granted, map[logic.TableID]uint64{}), append(f.stops, nil)
	}
	began := time.Now().Add(-time.Duration(i+1) * time.Hour) // each has its own clock
	m, err := lease.New(fmt.Sprint("d", i), 7, lease.Config{ConsulURL: f.connections[i].URL(), KeyPrefix: "p", TTL: ttl, SliceCount: sliceCount,
		AdvertiseURL: "http://x",
		UnixMillis:   func() float64 { return 1e6 }, Transport: &recordingTransport{f.history, i, &http.Transport{}}},
		func() logic.Millis { return logic.Millis(float64(time.Since(began).Microseconds()) / 1000) }, func(in any) { f.handle(i, in) },
		slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	f.managers[i], f.stops[i] = m, stop
	go m.Run(ctx)
}

func (f *fleet) handle(i int, in any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch in := in.(type) {
	case control.SliceGrants:
		for _, g := range in.Grants {
			f.granted[i][g.Slice] = g.Fence
			f.highestFence[g.Slice] = max(f.highestFence[g.Slice], g.Fence)
		}
	case control.SliceRevoked:
		delete(f.granted[i], in.Slice)
	}
}

// awaitOwnership waits until each slice is granted to exactly one of the given managers and each of them has a slice.
func (f *fleet) awaitOwnership(t *testing.T, among ...int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		owners, allHaveSlices := map[logic.TableID]int{}, true
		for _, i := range among {
			allHaveSlices = allHaveSlices && len(f.granted[i]) > 0
			for s := range f.granted[i] {
				owners[s]++
			}
		}
		single := len(owners) == sliceCount && allHaveSlices
		for _, n := range owners {
			single = single && n == 1
		}
		f.mu.Unlock()
		if single {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not every slice has a single owner after 10 s; granted slices by manager: %v", f.granted)
		}
	}
}

// Three directors use a store whose connections are cut, slow and lossy, which ends sessions and is at times
// unavailable. The recorded history must be linearizable for a lock with a single holder. With a store that grants
// locks which others hold, the check must find the violation.
func TestLeaseHistories(t *testing.T) {
	t.Parallel()
	for _, breaksLocks := range []bool{false, true} {
		t.Run(fmt.Sprint("breaks_locks=", breaksLocks), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 3)
			f.awaitOwnership(t, 0, 1, 2)
			f.registry.KV.EnforceLocks(!breaksLocks)
			draw := rand.New(rand.NewPCG(11, 5))
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				i := draw.IntN(3)
				switch draw.IntN(6) {
				case 0:
					f.connections[i].SetFaults(standin.LinkFaults{Cut: true})
				case 1:
					f.connections[i].SetFaults(standin.LinkFaults{LossRate: 0.3})
				case 2:
					f.connections[i].SetFaults(standin.LinkFaults{Delay: 60 * time.Millisecond, LossRate: 0.1})
				case 3:
					f.registry.KV.InvalidateSessions(fmt.Sprint("p d", i))
				case 4:
					f.registry.KV.SetUnavailable(draw.IntN(2) == 0)
				default:
					f.connections[i].SetFaults(standin.LinkFaults{})
				}
			}
			f.registry.KV.SetUnavailable(false)
			for _, d := range f.connections {
				d.SetFaults(standin.LinkFaults{})
			}
			f.awaitOwnership(t, 0, 1, 2)
			f.requestHeldSlices(t)
			f.history.mu.Lock()
			f.history.closed = true
			ops := f.history.ops
			f.history.mu.Unlock()
			count := map[string]int{}
			for _, o := range ops {
				count[o.Input.(request).op+" "+o.Output.(response).outcome]++
			}
			m := lockModel.ToModel()
			res := porcupine.CheckOperationsTimeout(m, ops, 30*time.Second)
			t.Logf("%d operations, %v: %s", len(ops), count, res)
			switch {
			case breaksLocks && res != porcupine.Illegal:
				t.Fatal("the check missed a store that grants locks which others hold")
			case !breaksLocks && res != porcupine.Ok:
				t.Fatal("the history is not linearizable for a lock with a single holder")
			case !breaksLocks && (count["take ok"] < 10 || count["end ok"] < 5 || count["read ok"] < 50):
				t.Fatalf("too few operations for a meaningful check: %v", count)
			}
		})
	}
}

// requestHeldSlices tries to lock slices that others hold, from a session of its own.
func (f *fleet) requestHeldSlices(t *testing.T) {
	c, err := api.NewClient(&api.Config{Address: f.registry.URL(), HttpClient: &http.Client{Transport: &recordingTransport{f.history, 50, &http.Transport{}}}})
	if err != nil {
		t.Fatal(err)
	}
	id, _, err := c.Session().CreateNoChecks(&api.SessionEntry{Name: "thief", TTL: "10s", LockDelay: time.Millisecond}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for s := range sliceCount {
		if _, _, _, err := c.Txn().Txn(api.TxnOps{{KV: &api.KVTxnOp{Verb: api.KVLock, Key: fmt.Sprintf("p/slices/%05d", s), Session: id}}}, nil); err != nil {
			t.Fatal(err)
		}
	}
}

// A director that restarts within its lease keeps its session, slices and fences. A second director with the same name
// and another local store is granted nothing while the first is alive. When a director leaves, others own its slices at
// once.
func TestRestartAndLeave(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2)
	f.awaitOwnership(t, 0, 1)
	f.mu.Lock()
	before := maps.Clone(f.granted[1])
	f.granted[1] = map[logic.TableID]uint64{}
	f.mu.Unlock()
	f.stops[1]()
	f.start(t, 1)
	f.awaitOwnership(t, 0, 1)
	f.mu.Lock()
	if !maps.Equal(before, f.granted[1]) {
		t.Errorf("slices and fences were %v before the restart and %v after it", before, f.granted[1])
	}
	f.mu.Unlock()
	other, err := lease.New("d1", 8, lease.Config{ConsulURL: f.connections[0].URL(), KeyPrefix: "p", TTL: ttl, SliceCount: sliceCount,
		AdvertiseURL: "http://x",
		UnixMillis:   func() float64 { return 1 }}, func() logic.Millis { return logic.Millis(time.Now().UnixMicro()) / 1000 },
		func(in any) {
			if _, is := in.(control.SliceGrants); is {
				t.Error("a second director with the same name was granted slices")
			}
		}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(t.Context(), 3*ttl)
	defer stop()
	other.Run(ctx)
	began := time.Now()
	f.managers[1].Leave(t.Context())
	f.awaitOwnership(t, 0)
	if took := time.Since(began); took > ttl {
		t.Errorf("transferring the slices took %v, more than the TTL", took)
	}
}

// After the store loses all its data, new fences are above all those issued before.
func TestFencesGrowAfterStoreLoss(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2)
	f.awaitOwnership(t, 0, 1)
	f.mu.Lock()
	before := maps.Clone(f.highestFence)
	f.mu.Unlock()
	f.registry.KV.Wipe()
	time.Sleep(ttl / 2)
	f.awaitOwnership(t, 0, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	for s, fence := range before {
		if f.highestFence[s] <= fence {
			t.Errorf("slice %d: fence %d after the data loss, not above %d before it", s, f.highestFence[s], fence)
		}
	}
}
