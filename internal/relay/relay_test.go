package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vetchwood/internal/settings"
	"vetchwood/internal/tables"
)

// fixed is a director that tells one document.
func fixed(t testing.TB, doc *atomic.Pointer[tables.Document]) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		d := doc.Load()
		for tag := d.Tag().ETag(); r.Header.Get("If-None-Match") == tag; tag = d.Tag().ETag() {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(5 * time.Millisecond):
			}
			d = doc.Load()
		}
		w.Header().Set("ETag", d.Tag().ETag())
		w.Write(d.JSON())
	}))
	t.Cleanup(s.CloseClientConnections)
	return s.URL
}

// three routes, one of each kind; two cells.
func document(step tables.Step, tries int, hosts ...string) *tables.Document {
	d := &tables.Document{PickPolicy: "lottery", TryTimeoutShare: 1, Masked: map[tables.Address]bool{}, Hosts: map[tables.Address]tables.Host{},
		Routes: map[string]tables.Route{}, Tables: map[string]*tables.Table{"t": {Lines: map[tables.Address]float64{}}}}
	for i, h := range hosts {
		d.Tables["t"].Lines[tables.Address(h)] = 1
		d.Hosts[tables.Address(h)] = tables.Host{ID: h, Zone: "a", Cell: fmt.Sprint(i)}
	}
	for _, r := range []tables.Route{{Idempotency: "repeatable"}, {Idempotency: "keyed", DedupScope: "cell", DedupWindowMs: 4000}, {Idempotency: "mutating"}} {
		r.Level, r.Table, r.SLOMs, r.TimeLimitMs, r.Importance = tables.Level{Level: 1, RetryMode: tries}, "t", 150, 400, 1
		d.Routes[r.Idempotency] = r
	}
	d.Seal(3, step, float64(step))
	d.Tag()
	return d
}

func start(t testing.TB, more string, doc *tables.Document) (*Relay, *atomic.Pointer[tables.Document], string) {
	var now atomic.Pointer[tables.Document]
	now.Store(doc)
	text := fmt.Sprintf("relay \"p1\" {\n listen = \"127.0.0.1:0\"\n directors = [%q]\n drain = \"1s\"\n report_every = \"50ms\"\n}\n%s\n", fixed(t, &now), more)
	for _, r := range []string{"repeatable", "keyed", "mutating"} {
		text += fmt.Sprintf("route %q {\n prefix = \"/%s\"\n key = \"query:key\"\n}\n", r, r)
	}
	set, err := settings.ParseRelay("p1.hcl", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	set.Bounds.UnlimitedRetries = strings.Contains(more, "no budget")
	s, err := New(set, Watch{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	for end := time.Now().Add(5 * time.Second); s.Held() == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("holds no tables in time")
		}
	}
	return s, &now, s.Addr().String()
}

const answerOK = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// host is a plain one that is under the test's thumb: it reads a request up to a byte, counts it as run once it was
// whole, and answers up to a byte.
type faulty struct {
	ln       net.Listener
	ran      sync.Map // mark -> *atomic.Int32
	mu       sync.Mutex
	readTo   int // bytes; -1: all
	answerTo int
	answer   string
}

func newFaulty(t testing.TB) *faulty {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &faulty{ln: ln, readTo: -1, answerTo: -1, answer: answerOK}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	return f
}

func (f *faulty) at() string { return f.ln.Addr().String() }

func (f *faulty) set(readTo, answerTo int, answer string) {
	f.mu.Lock()
	f.readTo, f.answerTo, f.answer = readTo, answerTo, answer
	f.mu.Unlock()
}

func (f *faulty) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		var text []byte
		if _, err := in.Peek(1); err != nil {
			return
		}
		f.mu.Lock()
		readTo, answerTo, answer := f.readTo, f.answerTo, f.answer
		f.mu.Unlock()
		for !bytes.HasSuffix(text, []byte("\r\n\r\n")) {
			if readTo >= 0 && len(text) >= readTo {
				c.(*net.TCPConn).SetLinger(0)
				return
			}
			b, err := in.ReadByte()
			if err != nil {
				return
			}
			text = append(text, b)
		}
		f.count(text)
		if answerTo >= 0 {
			io.WriteString(c, answer[:answerTo])
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

func (f *faulty) count(text []byte) {
	_, mark, _ := strings.Cut(string(text), "X-Call: ")
	mark, _, _ = strings.Cut(mark, "\r\n")
	n, _ := f.ran.LoadOrStore(mark, new(atomic.Int32))
	n.(*atomic.Int32).Add(1)
}

func (f *faulty) runs(mark string) int32 {
	n, ran := f.ran.Load(mark)
	if !ran {
		return 0
	}
	return n.(*atomic.Int32).Load()
}

// ask sends one request on a connection of its own and wants exactly one answer.
func ask(t testing.TB, at, route, mark string) (status int, body string) {
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "POST /%s?key=k HTTP/1.1\r\nHost: h\r\nX-Call: %s\r\nIdempotency-Key: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", route, mark, mark)
	all, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("%s: %v after %q", mark, err, all)
		return 0, ""
	}
	r := bufio.NewReader(bytes.NewReader(all))
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Errorf("%s: no answer: %v, %q", mark, err, all)
		return 0, ""
	}
	text, err := io.ReadAll(res.Body)
	if rest, _ := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Errorf("%s: %v; %q behind the answer", mark, err, rest)
	}
	return res.StatusCode, string(text)
}

// A fault at every byte of the request and of the answer: no mutating call runs twice, no keyed one outside its cell,
// every client gets exactly one answer, and what may be repeated is answered by the other host.
func TestAFaultAtEveryByte(t *testing.T) {
	bad, good := newFaulty(t), newFaulty(t)
	s, now, at := start(t, "# no budget", document(1, 3, bad.at()))
	step := tables.Step(1)
	request := 150 // about its length; faults past its end are none
	type cut struct{ read, answer int }
	var cuts []cut
	for i := 0; i < request; i++ {
		cuts = append(cuts, cut{i, -1})
	}
	for i := range len(answerOK) {
		cuts = append(cuts, cut{-1, i})
	}
	for _, repeat := range []string{"mutating", "keyed", "repeatable"} {
		for i, c := range cuts {
			// The bad host is the one picked: the other is so light that only a further try comes to it.
			step++
			d := document(step, 3, bad.at(), good.at())
			d.Tables["t"].Lines[tables.Address(good.at())] = 1e-9
			d = d.Seal(3, step, float64(step))
			parsed, err := tables.Parse(mustJSON(d))
			if err != nil {
				t.Fatal(err)
			}
			bad.set(c.read, c.answer, answerOK)
			now.Store(parsed)
			for s.Held().Step != step {
				time.Sleep(100 * time.Microsecond)
			}
			mark := fmt.Sprintf("%s-%d", repeat, i)
			status, body := ask(t, at, repeat, mark)
			a, b := bad.runs(mark), good.runs(mark)
			if repeat != "repeatable" && a+b > 1 {
				t.Errorf("%s, cut at %+v: ran %d and %d times", mark, c, a, b)
			}
			if a > 1 || b > 1 {
				t.Errorf("%s, cut at %+v: ran %d and %d times", mark, c, a, b)
			}
			if repeat == "repeatable" && (status != 200 || body != "hello") && c.read < 0 {
				t.Errorf("%s, cut at %+v: answered %d %q", mark, c, status, body)
			}
			if status != 200 && status != 502 && status != 504 {
				t.Errorf("%s, cut at %+v: answered %d %q", mark, c, status, body)
			}
		}
	}
}

func mustJSON(d *tables.Document) []byte {
	return append([]byte(nil), d.JSON()...)
}

// Answers that break the framing end as one clear answer, and the connection is not used again.
func TestAnswersWithBrokenFraming(t *testing.T) {
	h := newFaulty(t)
	_, _, at := start(t, "", document(1, 0, h.at()))
	for i, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhelloXX0\r\n\r\n",
		"HTTP/1.1 999 No\r\n\r\n", "nonsense\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n",
	} {
		h.set(-1, -1, answer)
		if status, body := ask(t, at, "mutating", fmt.Sprint("m", i)); status != 502 && status != 504 {
			t.Errorf("%q became %d %q", answer, status, body)
		}
	}
	for answer, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nTrailer: t\r\n\r\n":        "hello",
		"HTTP/1.1 100 Continue\r\n\r\n" + answerOK:                                                                       "hello",
		"HTTP/1.1 204 No Content\r\n\r\n":                                                                                "",
		"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000):                                strings.Repeat("x", 100000),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + strings.Repeat("y", 100000) + "\r\n0\r\n\r\n": strings.Repeat("y", 100000),
	} {
		h.set(-1, -1, answer)
		if status, body := ask(t, at, "mutating", "g"); status/100 != 2 || body != want {
			t.Errorf("%.60q became %d %.60q", answer, status, body)
		}
	}
}

// What comes from clients that can't be read is refused, and what is left to say is said.
func TestRequestsThatCantBeRead(t *testing.T) {
	h := newFaulty(t)
	_, _, at := start(t, "bounds {\n most_body = \"8B\"\n most_head = \"512B\"\n slow_request = \"300ms\"\n}", document(1, 0, h.at()))
	for in, want := range map[string]string{
		"POST /keyed HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab":                               "400",
		"POST /keyed HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na":                       "400",
		"POST /keyed HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n":                                                      "413",
		"POST /keyed HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n":                  "413",
		"POST /keyed HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nq\r\n":                                        "400",
		"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 600):                                                       "431",
		"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n":                                                            "404",
		"GET /keyed HTTP/1.1\r\nHost: h\r\n":                                                                                "408",
		"POST /keyed HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab":                                                    "408",
		"POST /keyed HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n": "200",
	} {
		c, err := net.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, in)
		c.SetReadDeadline(time.Now().Add(3 * time.Second))
		out, _ := io.ReadAll(c)
		c.Close()
		if status, _, _ := strings.Cut(strings.TrimPrefix(string(out), "HTTP/1.1 "), " "); status != want {
			t.Errorf("%.80q: %.120q, wanted %s", in, out, want)
		}
	}
}

// A stop lets the calls in hand end, and takes no new ones.
func TestDrain(t *testing.T) {
	slow := make(chan struct{})
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { <-slow; io.WriteString(w, "late") }))
	defer h.Close()
	doc := document(1, 0, h.Listener.Addr().String())
	var now atomic.Pointer[tables.Document]
	now.Store(doc)
	set, err := settings.ParseRelay("p.hcl", []byte(fmt.Sprintf("relay \"p\" {\n listen = \"127.0.0.1:0\"\n directors = [%q]\n drain = \"2s\"\n kept = %q\n}\nroute \"mutating\" { prefix = \"/\" }",
		fixed(t, &now), t.TempDir()+"/kept.json")))
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(set, Watch{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	for s.Held() == nil {
		time.Sleep(time.Millisecond)
	}
	got := make(chan string, 1)
	go func() { _, body := ask(t, s.Addr().String(), "mutating", "m"); got <- body }()
	for s.inHand.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	stop()
	time.Sleep(50 * time.Millisecond)
	if c, err := net.Dial("tcp", s.Addr().String()); err == nil {
		c.Close()
		t.Error("takes new connections while it drains")
	}
	close(slow)
	if body := <-got; body != "late" {
		t.Errorf("the call in hand got %q", body)
	}
	<-done
	// The next start goes on by what was kept, with no director to ask.
	now.Store(document(2, 0))
	set.Directors, set.Listen = []string{"http://127.0.0.1:1"}, "127.0.0.1:0"
	again, err := New(set, Watch{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop = context.WithCancel(context.Background())
	done = make(chan struct{})
	go func() { again.Run(ctx); close(done) }()
	for end := time.Now().Add(3 * time.Second); again.Held() == nil && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if d := again.Held(); d == nil || d.Tag() != doc.Tag() {
		t.Errorf("did not go on by what was kept: %v", d)
	} else if status, body := ask(t, again.Addr().String(), "mutating", "m2"); status != 200 || body != "late" {
		t.Errorf("%d %q", status, body)
	}
	stop()
	<-done
}

// A reload changes routes and bounds as one step, while calls go on; what can't change is named, and nothing changes.
func TestReload(t *testing.T) {
	h := newFaulty(t)
	s, _, at := start(t, "", document(1, 0, h.at()))
	next := *s.in()
	next.Routes = next.Routes[:1]
	next.Bounds.MaxInFlight, next.Bounds.MaxQueued = 0, 0
	next.Zone, next.Listen = "elsewhere", "127.0.0.1:1"
	if err := s.Reload(&next); err == nil || !strings.Contains(err.Error(), "listen, zone") {
		t.Fatalf("%v", err)
	}
	if status, _ := ask(t, at, "mutating", "a"); status != 200 {
		t.Fatalf("changed by a reload that was refused: %d", status)
	}
	next.Zone, next.Listen = s.in().Zone, s.in().Listen
	if err := s.Reload(&next); err != nil {
		t.Fatal(err)
	}
	if status, _ := ask(t, at, "mutating", "b"); status != 404 {
		t.Fatalf("a route that is gone: %d", status)
	}
	if status, _ := ask(t, at, "repeatable", "c"); status != 503 {
		t.Fatalf("none may be in hand: %d", status)
	}
}
