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

func document(line tables.Line, step tables.Step, at float64) *tables.Document {
	d := &tables.Document{Pick: "lottery", Routes: map[string]tables.Route{}, Hosts: map[tables.Address]tables.Host{}, Masked: map[tables.Address]bool{},
		Tables: map[string]*tables.Table{"t": {Lines: map[tables.Address]float64{"h:1": float64(step)}}}}
	d.Seal(line, step, at).Tag()
	return d
}

// scripted is a director that answers as it is told, and counts what it is asked.
type scripted struct {
	*httptest.Server
	mu     sync.Mutex
	answer func(w http.ResponseWriter, r *http.Request)
	asked  atomic.Int64
	wholes atomic.Int64
}

func direct(t *testing.T) *scripted {
	s := &scripted{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.asked.Add(1)
		if r.Header.Get("If-None-Match") == "" {
			s.wholes.Add(1)
		}
		s.mu.Lock()
		f := s.answer
		s.mu.Unlock()
		f(w, r)
	}))
	t.Cleanup(s.CloseClientConnections)
	return s
}

func (s *scripted) does(f func(http.ResponseWriter, *http.Request)) {
	s.mu.Lock()
	s.answer = f
	s.mu.Unlock()
}

// whole tells a document, and nothing new to those that hold it.
func whole(d *tables.Document) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", d.Tag().ETag())
		if r.Header.Get("If-None-Match") == d.Tag().ETag() {
			time.Sleep(20 * time.Millisecond)
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Write(d.Whole())
	}
}

func refuses(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

type run struct {
	*Follower
	mu   sync.Mutex
	seen []tables.Step
}

func start(t *testing.T, kept string, directors ...*scripted) *run {
	r := &run{}
	src := Config{Proxy: "p", MaxWait: time.Second, CacheFile: kept, OnUpdate: func(u Update) {
		r.mu.Lock()
		r.seen = append(r.seen, u.Doc.Step)
		r.mu.Unlock()
	}}
	for _, d := range directors {
		src.Directors = append(src.Directors, d.URL)
	}
	r.Follower = New(src)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return r
}

func (r *run) await(t *testing.T, what string, is func(*tables.Document) bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if d := r.Document(); d != nil && is(d) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not in time: %s; held %+v", what, r.Document())
		}
	}
}

func at(step tables.Step) func(*tables.Document) bool {
	return func(d *tables.Document) bool { return d.Step == step }
}

// Differences on the wrong base, that don't apply, or whose outcome is not what the tag says: refused, what is held stays
// in force, and the next poll brings the whole.
func TestInvalidDeltas(t *testing.T) {
	base, next := document(5, 1, 1), document(5, 2, 2)
	patch := string(next.Delta(base))
	if patch == "" {
		patch = `[{"op":"replace","path":"/version","value":"5.2"},{"op":"replace","path":"/at","value":2},{"op":"replace","path":"/tables/t/lines/h:1","value":2}]`
	}
	other := document(5, 9, 9)
	for name, c := range map[string]struct{ base, tag, body string }{
		"wrong base":     {other.Tag().ETag(), next.Tag().ETag(), patch},
		"wrong outcome":  {base.Tag().ETag(), other.Tag().ETag(), patch},
		"does not apply": {base.Tag().ETag(), next.Tag().ETag(), `[{"op":"remove","path":"/tables/u"}]`},
		"no patch":       {base.Tag().ETag(), next.Tag().ETag(), `{`},
		"a weight of 0":  {base.Tag().ETag(), next.Tag().ETag(), `[{"op":"replace","path":"/tables/t/lines/h:1","value":0}]`},
	} {
		d := direct(t)
		d.does(whole(base))
		r := start(t, "", d)
		r.await(t, "the first", at(1))
		before, sent := d.wholes.Load(), atomic.Bool{}
		d.does(func(w http.ResponseWriter, q *http.Request) {
			if sent.Swap(true) {
				whole(next)(w, q)
				return
			}
			w.Header().Set("IM", "json-patch")
			w.Header().Set("Delta-Base", c.base)
			w.Header().Set("ETag", c.tag)
			w.WriteHeader(http.StatusIMUsed)
			fmt.Fprint(w, c.body)
		})
		r.await(t, name, at(2))
		if d.wholes.Load() != before+1 {
			t.Errorf("%s: %d whole documents were asked for", name, d.wholes.Load()-before)
		}
		r.mu.Lock()
		if fmt.Sprint(r.seen) != "[1 2]" {
			t.Errorf("%s: %v took effect", name, r.seen)
		}
		r.mu.Unlock()
	}
}

// A director that is behind does not take a proxy back; the proxy goes on to one that is not, and what both tell takes
// effect once.
func TestTwoDirectorsOneBehind(t *testing.T) {
	old, new, newest := document(5, 3, 3), document(5, 4, 4), document(5, 5, 5)
	a, b := direct(t), direct(t)
	a.does(whole(new))
	b.does(whole(new))
	r := start(t, "", a, b)
	r.await(t, "the first", at(4))
	a.does(refuses)
	b.does(whole(old))
	time.Sleep(300 * time.Millisecond)
	if r.Document().Step != 4 {
		t.Fatalf("taken back to %d", r.Document().Step)
	}
	b.does(whole(new)) // the same again, through another path
	time.Sleep(100 * time.Millisecond)
	b.does(whole(newest))
	r.await(t, "the newest", at(5))
	r.mu.Lock()
	defer r.mu.Unlock()
	if fmt.Sprint(r.seen) != "[4 5]" {
		t.Fatalf("%v took effect", r.seen)
	}
}

// While none answers it goes on by what it holds, asks less and less often, and starts again from what was kept.
func TestNoDirector(t *testing.T) {
	kept := filepath.Join(t.TempDir(), "kept.json")
	d := direct(t)
	d.does(whole(document(5, 7, 7)))
	r := start(t, kept, d)
	r.await(t, "the first", at(7))
	d.does(refuses)
	before := d.asked.Load()
	time.Sleep(1200 * time.Millisecond)
	if n := d.asked.Load() - before; n > 12 || r.Document().Step != 7 {
		t.Fatalf("asked %d times in 1.2 s; holds %d", n, r.Document().Step)
	}
	again := start(t, kept, d)
	again.await(t, "what was kept", at(7))
	os.WriteFile(kept, []byte(`{"version":`), 0o600) // torn: named in the log, and passed over
	torn := start(t, kept, d)
	time.Sleep(50 * time.Millisecond)
	if torn.Document() != nil {
		t.Fatal("a torn file was followed")
	}
	d.does(whole(document(5, 8, 8)))
	torn.await(t, "what is told", at(8))
}

// An answer that came when its lease was over takes no effect; a new poll is sent at once.
func TestAnAnswerPastItsLease(t *testing.T) {
	s := direct(t)
	old, next := document(1, 1, 1000), document(1, 2, 2000)
	s.does(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Vetchwood-Lease", "100")
		if s.asked.Load() == 1 {
			time.Sleep(250 * time.Millisecond) // it was paused after it had looked at its lease
			whole(old)(w, r)
			return
		}
		whole(next)(w, r)
	})
	f := NewGroup(Config{Directors: []string{s.URL}, Proxy: "p", MaxWait: time.Second, OnUpdate: func(u Update) {
		if u.Raw.Step == 1 {
			t.Error("an answer past its lease took effect")
		}
	}}, true)
	ctx, stop := context.WithTimeout(t.Context(), 700*time.Millisecond)
	defer stop()
	f.Run(ctx)
	if d := f.DirectorDocument(0); d == nil || d.Step != 2 || f.StaleResponses() != 1 {
		t.Fatalf("%+v, %d stale", d, f.StaleResponses())
	}
}
