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
	nSlices = 6
	ttl     = 300 * time.Millisecond
)

// history is what was asked of the store and what it said, slice by slice.
type history struct {
	mu     sync.Mutex
	epoch  time.Time
	ops    []porcupine.Operation
	closed bool
}

func (h *history) now() int64 { return time.Since(h.epoch).Nanoseconds() }

func (h *history) add(client int, key string, in asked, call int64, out said, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if in.key = key; !h.closed {
		h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
	}
}

type (
	asked struct{ key, what, session, to string }
	said  struct {
		fate    string // ok, refused or unknown
		session string
		count   uint64
	}
	// leased is the state of one slice that every history must have come from.
	leased struct {
		session string
		count   uint64
	}
)

// model is the published lock: one holder, a count that grows with each.
var model = porcupine.NondeterministicModel{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range all {
			by[o.Input.(asked).key] = append(by[o.Input.(asked).key], o)
		}
		var out [][]porcupine.Operation
		for _, ops := range by {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{leased{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(leased), input.(asked), output.(said)
		done := s
		possible := false
		switch in.what {
		case "read":
			if s.session == out.session && s.count == out.count {
				return []any{s}
			}
			return nil
		case "end":
			if s.session != in.session {
				return nil
			}
			return []any{leased{"", s.count}}
		case "take":
			if possible = s.session == "" || s.session == in.session; possible && s.session == "" {
				done = leased{in.session, s.count + 1}
			}
		case "hand":
			if possible = s.session == in.session; possible {
				if done.session = in.to; in.to != "" {
					done.count++
				}
			}
		}
		switch {
		case out.fate == "ok" && possible && (out.session == "" || out.session == done.session && out.count == done.count):
			return []any{done}
		case out.fate == "refused":
			return []any{s}
		case out.fate == "unknown" && possible:
			return []any{s, done}
		case out.fate == "unknown":
			return []any{s}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// through records what goes to the store and comes back.
type through struct {
	h      *history
	client int
	way    http.RoundTripper
}

func (r *through) RoundTrip(q *http.Request) (*http.Response, error) {
	var body []byte
	if q.Body != nil {
		body, _ = io.ReadAll(q.Body)
		q.Body = io.NopCloser(bytes.NewReader(body))
	}
	call := r.h.now()
	res, err := r.way.RoundTrip(q)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(res.Body)
		res.Body.Close()
		res.Body = io.NopCloser(bytes.NewReader(text))
	}
	switch {
	case q.URL.Path == "/v1/txn":
		r.txn(body, call, res, text, err)
	case strings.HasPrefix(q.URL.Path, "/v1/kv/") && q.URL.Query().Has("recurse") && err == nil && res.StatusCode == http.StatusOK:
		var pairs api.KVPairs
		json.Unmarshal(text, &pairs)
		for _, p := range pairs {
			if strings.Contains(p.Key, "/slices/") {
				// A blocking query reads when something has changed, some time before it answers.
				r.h.add(100+r.client, p.Key, asked{what: "read"}, call, said{"ok", p.Session, p.LockIndex}, r.h.now())
			}
		}
	}
	return res, err
}

func (r *through) txn(body []byte, call int64, res *http.Response, text []byte, err error) {
	var ops []struct{ KV *api.KVTxnOp }
	json.Unmarshal(body, &ops)
	all := map[string]asked{}
	for _, o := range ops {
		if !strings.Contains(o.KV.Key, "/slices/") {
			continue
		}
		switch in := all[o.KV.Key]; {
		case o.KV.Verb == api.KVUnlock:
			all[o.KV.Key] = asked{what: "hand", session: o.KV.Session}
		case o.KV.Verb == api.KVLock && in.what == "hand":
			in.to = o.KV.Session
			all[o.KV.Key] = in
		case o.KV.Verb == api.KVLock:
			all[o.KV.Key] = asked{what: "take", session: o.KV.Session}
		}
	}
	fate, end := "ok", r.h.now()
	results := map[string]*api.KVPair{}
	switch {
	case err != nil || res.StatusCode >= 500:
		fate, end = "unknown", math.MaxInt64
	case res.StatusCode != http.StatusOK:
		fate = "refused"
	default:
		var out struct{ Results []struct{ KV *api.KVPair } }
		json.Unmarshal(text, &out)
		for _, x := range out.Results {
			results[x.KV.Key] = x.KV
		}
	}
	for key, in := range all {
		out := said{fate: fate}
		if p := results[key]; p != nil {
			out.session, out.count = p.Session, p.LockIndex
		}
		r.h.add(r.client, key, in, call, out, end)
	}
}

// fleet is so many holders over one store.
type fleet struct {
	registry *standin.Registry
	doors    []*standin.Door
	holders  []*lease.Manager
	history  *history
	mu       sync.Mutex
	given    []map[logic.TableID]uint64
	top      map[logic.TableID]uint64
	stops    []context.CancelFunc
}

func raise(t *testing.T, n int) *fleet {
	f := &fleet{history: &history{epoch: time.Now()}, top: map[logic.TableID]uint64{}}
	var err error
	if f.registry, err = standin.NewRegistry("127.0.0.1:0", nil, func() float64 { return 0 }, 0); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.registry.Close)
	sessions := map[string]string{} // last known holder of a key
	f.registry.Locks.Changed = func(key, session, holder string, count uint64, _ func(string) string) {
		if !strings.Contains(key, "/slices/") {
			return
		}
		if was := sessions[key]; session == "" && was != "" && holder == standin.Ended {
			at := f.history.now()
			f.history.add(200, key, asked{what: "end", session: was}, at, said{fate: "ok"}, at)
		}
		sessions[key] = session
	}
	for i := range n {
		f.start(t, i)
	}
	return f
}

func (f *fleet) start(t *testing.T, i int) {
	if len(f.doors) == i {
		d, err := f.registry.Open(fmt.Sprint("d", i), uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Close)
		f.doors, f.holders = append(f.doors, d), append(f.holders, nil)
		f.given, f.stops = append(f.given, map[logic.TableID]uint64{}), append(f.stops, nil)
	}
	began := time.Now().Add(-time.Duration(i+1) * time.Hour) // each has a clock of its own
	h, err := lease.New(fmt.Sprint("d", i), 7, lease.Config{ConsulURL: f.doors[i].URL(), KeyPrefix: "p", TTL: ttl, SliceCount: nSlices, AdvertiseURL: "http://x",
		UnixMillis: func() float64 { return 1e6 }, Transport: &through{f.history, i, &http.Transport{}}},
		func() logic.Millis { return logic.Millis(float64(time.Since(began).Microseconds()) / 1000) }, func(in any) { f.hear(i, in) },
		slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	f.holders[i], f.stops[i] = h, stop
	go h.Run(ctx)
}

func (f *fleet) hear(i int, in any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch in := in.(type) {
	case control.SliceGrants:
		for _, g := range in.Grants {
			f.given[i][g.Slice] = g.Fence
			f.top[g.Slice] = max(f.top[g.Slice], g.Fence)
		}
	case control.SliceRevoked:
		delete(f.given[i], in.Slice)
	}
}

// settled waits until each slice is one holder's, by what they were told.
func (f *fleet) settled(t *testing.T, among ...int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		has, each := map[logic.TableID]int{}, true
		for _, i := range among {
			each = each && len(f.given[i]) > 0
			for s := range f.given[i] {
				has[s]++
			}
		}
		single := len(has) == nSlices && each
		for _, n := range has {
			single = single && n == 1
		}
		f.mu.Unlock()
		if single {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not settled: %v", f.given)
		}
	}
}

// Three directors over a store that is cut, slow and lossy for each of them, ends sessions and is away: what they asked and
// were told is a history that a lock with one holder can have had. A store that breaks its promise is found.
func TestLeaseHistories(t *testing.T) {
	t.Parallel()
	for _, careless := range []bool{false, true} {
		t.Run(fmt.Sprint("careless=", careless), func(t *testing.T) {
			t.Parallel()
			f := raise(t, 3)
			f.settled(t, 0, 1, 2)
			f.registry.Locks.Promise(!careless)
			draw := rand.New(rand.NewPCG(11, 5))
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				i := draw.IntN(3)
				switch draw.IntN(6) {
				case 0:
					f.doors[i].Set(standin.DoorFaults{Cut: true})
				case 1:
					f.doors[i].Set(standin.DoorFaults{Lose: 0.3})
				case 2:
					f.doors[i].Set(standin.DoorFaults{Slow: 60 * time.Millisecond, Lose: 0.1})
				case 3:
					f.registry.Locks.End(fmt.Sprint("p d", i))
				case 4:
					f.registry.Locks.Away(draw.IntN(2) == 0)
				default:
					f.doors[i].Set(standin.DoorFaults{})
				}
			}
			f.registry.Locks.Away(false)
			for _, d := range f.doors {
				d.Set(standin.DoorFaults{})
			}
			f.settled(t, 0, 1, 2)
			f.thief(t)
			f.history.mu.Lock()
			f.history.closed = true
			ops := f.history.ops
			f.history.mu.Unlock()
			count := map[string]int{}
			for _, o := range ops {
				count[o.Input.(asked).what+" "+o.Output.(said).fate]++
			}
			m := model.ToModel()
			res := porcupine.CheckOperationsTimeout(m, ops, 30*time.Second)
			t.Logf("%d operations, %v: %s", len(ops), count, res)
			switch {
			case careless && res != porcupine.Illegal:
				t.Fatal("a store that locks what another holds is not found")
			case !careless && res != porcupine.Ok:
				t.Fatal("no lock can have had this history")
			case !careless && (count["take ok"] < 10 || count["end ok"] < 5 || count["read ok"] < 50):
				t.Fatalf("too little happened: %v", count)
			}
		})
	}
}

// thief asks for slices that others hold.
func (f *fleet) thief(t *testing.T) {
	c, err := api.NewClient(&api.Config{Address: f.registry.URL(), HttpClient: &http.Client{Transport: &through{f.history, 50, &http.Transport{}}}})
	if err != nil {
		t.Fatal(err)
	}
	id, _, err := c.Session().CreateNoChecks(&api.SessionEntry{Name: "thief", TTL: "10s", LockDelay: time.Millisecond}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for s := range nSlices {
		if _, _, _, err := c.Txn().Txn(api.TxnOps{{KV: &api.KVTxnOp{Verb: api.KVLock, Key: fmt.Sprintf("p/slices/%05d", s), Session: id}}}, nil); err != nil {
			t.Fatal(err)
		}
	}
}

// One that goes down and comes up within its lease goes on with its session, its slices and their fences; the same name
// with another store behind it gets nothing while the first lives; what leaves is another's at once.
func TestStartOverAndLeave(t *testing.T) {
	t.Parallel()
	f := raise(t, 2)
	f.settled(t, 0, 1)
	f.mu.Lock()
	was := maps.Clone(f.given[1])
	f.given[1] = map[logic.TableID]uint64{}
	f.mu.Unlock()
	f.stops[1]()
	f.start(t, 1)
	f.settled(t, 0, 1)
	f.mu.Lock()
	if !maps.Equal(was, f.given[1]) {
		t.Errorf("held %v before the start over and %v after", was, f.given[1])
	}
	f.mu.Unlock()
	other, err := lease.New("d1", 8, lease.Config{ConsulURL: f.doors[0].URL(), KeyPrefix: "p", TTL: ttl, SliceCount: nSlices, AdvertiseURL: "http://x",
		UnixMillis: func() float64 { return 1 }}, func() logic.Millis { return logic.Millis(time.Now().UnixMicro()) / 1000 },
		func(in any) {
			if _, is := in.(control.SliceGrants); is {
				t.Error("a second director of one name was given slices")
			}
		}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(t.Context(), 3*ttl)
	defer stop()
	other.Run(ctx)
	began := time.Now()
	f.holders[1].Leave(t.Context())
	f.settled(t, 0)
	if took := time.Since(began); took > ttl {
		t.Errorf("handing over took %v", took)
	}
}

// A store that is raised anew, empty: fences go on above all that were given out before.
func TestAStoreThatLostAll(t *testing.T) {
	t.Parallel()
	f := raise(t, 2)
	f.settled(t, 0, 1)
	f.mu.Lock()
	was := maps.Clone(f.top)
	f.mu.Unlock()
	f.registry.Locks.Wipe()
	time.Sleep(ttl / 2)
	f.settled(t, 0, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	for s, fence := range was {
		if f.top[s] <= fence {
			t.Errorf("slice %d: fence %d after %d", s, f.top[s], fence)
		}
	}
}
