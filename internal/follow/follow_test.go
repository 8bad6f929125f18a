package follow

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vetchwood/internal/tables"
)

func newDocument(history tables.HistoryID, step tables.Step, at float64) *tables.Document {
	d := &tables.Document{PickPolicy: "lottery", Routes: map[string]tables.Route{},
		Hosts: map[tables.Address]tables.Host{}, Masked: map[tables.Address]bool{},
		Tables: map[string]*tables.Table{"t": {Lines: map[tables.Address]float64{"h:1": float64(step)}}}}
	d.Seal(history, step, at).Tag()
	return d
}

// fakeDirector is a director that answers by a replaceable handler and counts the requests it receives.
type fakeDirector struct {
	*httptest.Server
	mu           sync.Mutex
	handler      func(w http.ResponseWriter, r *http.Request)
	requests     atomic.Int64
	fullRequests atomic.Int64
}

func newFakeDirector(t *testing.T) *fakeDirector {
	s := &fakeDirector{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		if r.Header.Get("If-None-Match") == "" {
			s.fullRequests.Add(1)
		}
		s.mu.Lock()
		f := s.handler
		s.mu.Unlock()
		f(w, r)
	}))
	t.Cleanup(s.CloseClientConnections)
	return s
}

func (s *fakeDirector) setHandler(f func(http.ResponseWriter, *http.Request)) {
	s.mu.Lock()
	s.handler = f
	s.mu.Unlock()
}

// serveDocument answers with a full document, and with 304 to proxies that already have it.
func serveDocument(d *tables.Document) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", d.Tag().ETag())
		if r.Header.Get("If-None-Match") == d.Tag().ETag() {
			time.Sleep(20 * time.Millisecond)
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Write(d.JSON())
	}
}

func serveError(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
}

type testFollower struct {
	*Follower
	mu    sync.Mutex
	steps []tables.Step
}

func startFollower(t *testing.T, cacheFile string, directors ...*fakeDirector) *testFollower {
	r := &testFollower{}
	config := Config{Proxy: "p", MaxWait: time.Second, CacheFile: cacheFile, OnUpdate: func(u Update) {
		r.mu.Lock()
		r.steps = append(r.steps, u.Doc.Step)
		r.mu.Unlock()
	}}
	for _, d := range directors {
		config.Directors = append(config.Directors, d.URL)
	}
	r.Follower = New(config)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return r
}

func (r *testFollower) waitFor(t *testing.T, what string, matches func(*tables.Document) bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if d := r.Document(); d != nil && matches(d) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: expected document is not in force after 5 s; in force: %+v", what, r.Document())
		}
	}
}

func hasStep(step tables.Step) func(*tables.Document) bool {
	return func(d *tables.Document) bool { return d.Step == step }
}

// Deltas that have a wrong base, do not apply, or whose result does not match the entity tag are rejected: the document
// in force stays, and the next poll requests the full document.
func TestInvalidDeltas(t *testing.T) {
	base, next := newDocument(5, 1, 1), newDocument(5, 2, 2)
	patch := string(next.Delta(base))
	if patch == "" {
		patch = `[{"op":"replace","path":"/version","value":"5.2"},{"op":"replace","path":"/at","value":2},{"op":"replace","path":"/tables/t/lines/h:1","value":2}]`
	}
	other := newDocument(5, 9, 9)
	for name, c := range map[string]struct{ base, tag, body string }{
		"wrong base":     {other.Tag().ETag(), next.Tag().ETag(), patch},
		"wrong result":   {base.Tag().ETag(), other.Tag().ETag(), patch},
		"does not apply": {base.Tag().ETag(), next.Tag().ETag(), `[{"op":"remove","path":"/tables/u"}]`},
		"invalid JSON":   {base.Tag().ETag(), next.Tag().ETag(), `{`},
		"a weight of 0":  {base.Tag().ETag(), next.Tag().ETag(), `[{"op":"replace","path":"/tables/t/lines/h:1","value":0}]`},
	} {
		d := newFakeDirector(t)
		d.setHandler(serveDocument(base))
		r := startFollower(t, "", d)
		r.waitFor(t, "first document", hasStep(1))
		requestsBefore, sent := d.fullRequests.Load(), atomic.Bool{}
		d.setHandler(func(w http.ResponseWriter, q *http.Request) {
			if sent.Swap(true) {
				serveDocument(next)(w, q)
				return
			}
			w.Header().Set("IM", "json-patch")
			w.Header().Set("Delta-Base", c.base)
			w.Header().Set("ETag", c.tag)
			w.WriteHeader(http.StatusIMUsed)
			fmt.Fprint(w, c.body)
		})
		r.waitFor(t, name, hasStep(2))
		if d.fullRequests.Load() != requestsBefore+1 {
			t.Errorf("%s: %d requests for the full document, want 1", name, d.fullRequests.Load()-requestsBefore)
		}
		r.mu.Lock()
		if fmt.Sprint(r.steps) != "[1 2]" {
			t.Errorf("%s: steps %v took effect, want [1 2]", name, r.steps)
		}
		r.mu.Unlock()
	}
}

// A director that is behind does not move a proxy back to an older version. The proxy goes on to a director that is up
// to date, and a version that both directors offer takes effect once.
func TestTwoDirectorsOneBehind(t *testing.T) {
	old, new, newest := newDocument(5, 3, 3), newDocument(5, 4, 4), newDocument(5, 5, 5)
	a, b := newFakeDirector(t), newFakeDirector(t)
	a.setHandler(serveDocument(new))
	b.setHandler(serveDocument(new))
	r := startFollower(t, "", a, b)
	r.waitFor(t, "first document", hasStep(4))
	a.setHandler(serveError)
	b.setHandler(serveDocument(old))
	time.Sleep(300 * time.Millisecond)
	if r.Document().Step != 4 {
		t.Fatalf("step %d is in force, want 4", r.Document().Step)
	}
	b.setHandler(serveDocument(new)) // the same version again, from another director
	time.Sleep(100 * time.Millisecond)
	b.setHandler(serveDocument(newest))
	r.waitFor(t, "newest document", hasStep(5))
	r.mu.Lock()
	defer r.mu.Unlock()
	if fmt.Sprint(r.steps) != "[4 5]" {
		t.Fatalf("steps %v took effect, want [4 5]", r.steps)
	}
}

// While no director answers, a follower keeps the document in force and polls with increasing backoff. After a restart
// it begins with the cached document.
func TestNoDirector(t *testing.T) {
	cacheFile := filepath.Join(t.TempDir(), "kept.json")
	d := newFakeDirector(t)
	d.setHandler(serveDocument(newDocument(5, 7, 7)))
	r := startFollower(t, cacheFile, d)
	r.waitFor(t, "first document", hasStep(7))
	d.setHandler(serveError)
	requestsBefore := d.requests.Load()
	time.Sleep(1200 * time.Millisecond)
	if n := d.requests.Load() - requestsBefore; n > 12 || r.Document().Step != 7 {
		t.Fatalf("%d polls in 1.2 s, want at most 12; step %d is in force, want 7", n, r.Document().Step)
	}
	restarted := startFollower(t, cacheFile, d)
	restarted.waitFor(t, "cached document", hasStep(7))
	os.WriteFile(cacheFile, []byte(`{"version":`), 0o600) // a truncated file is logged and ignored
	truncated := startFollower(t, cacheFile, d)
	time.Sleep(50 * time.Millisecond)
	if truncated.Document() != nil {
		t.Fatal("a truncated cache file was put into force")
	}
	d.setHandler(serveDocument(newDocument(5, 8, 8)))
	truncated.waitFor(t, "document of the director", hasStep(8))
}

// A response that arrives after its lease has expired takes no effect, and a new poll is sent at once.
func TestResponsePastItsLease(t *testing.T) {
	s := newFakeDirector(t)
	old, next := newDocument(1, 1, 1000), newDocument(1, 2, 2000)
	s.setHandler(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Vetchwood-Lease", "100")
		if s.requests.Load() == 1 {
			time.Sleep(250 * time.Millisecond) // a director that was paused after it had checked its lease
			serveDocument(old)(w, r)
			return
		}
		serveDocument(next)(w, r)
	})
	f := NewGroup(Config{Directors: []string{s.URL}, Proxy: "p", MaxWait: time.Second, OnUpdate: func(u Update) {
		if u.Raw.Step == 1 {
			t.Error("a response took effect after its lease had expired")
		}
	}}, true)
	ctx, stop := context.WithTimeout(t.Context(), 700*time.Millisecond)
	defer stop()
	f.Run(ctx)
	if d := f.DirectorDocument(0); d == nil || d.Step != 2 || f.StaleResponses() != 1 {
		t.Fatalf("document %+v, want step 2; %d stale responses, want 1", d, f.StaleResponses())
	}
}
