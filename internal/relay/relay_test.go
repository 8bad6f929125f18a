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

// serveDocument starts a director that serves the document in doc and accepts all load reports. It returns its URL.
func serveDocument(t testing.TB, doc *atomic.Pointer[tables.Document]) string {
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

// newDocument returns a document with three routes, one for each idempotency, that share one table. Each host is in a
// cell of its own.
func newDocument(step tables.Step, tries int, hosts ...string) *tables.Document {
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

// startRelay starts a proxy that follows a director with the document doc, and waits until it holds tables. The text
// extraSettings is added to its settings.
func startRelay(t testing.TB, extraSettings string, doc *tables.Document) (*Relay, *atomic.Pointer[tables.Document], string) {
	var served atomic.Pointer[tables.Document]
	served.Store(doc)
	text := fmt.Sprintf("relay \"p1\" {\n listen = \"127.0.0.1:0\"\n directors = [%q]\n drain = \"1s\"\n report_every = \"50ms\"\n}\n%s\n", serveDocument(t, &served), extraSettings)
	for _, r := range []string{"repeatable", "keyed", "mutating"} {
		text += fmt.Sprintf("route %q {\n prefix = \"/%s\"\n key = \"query:key\"\n}\n", r, r)
	}
	config, err := settings.ParseRelay("p1.hcl", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	config.Limits.UnlimitedRetries = strings.Contains(extraSettings, "no budget")
	s, err := New(config, Hooks{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	for end := time.Now().Add(5 * time.Second); s.Document() == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the proxy holds no tables after 5 s")
		}
	}
	return s, &served, s.Addr().String()
}

const responseOK = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// faultyHost is a host with configurable faults: it reads a request up to a given byte, counts the request as run once
// it is complete, and responds up to a given byte.
type faultyHost struct {
	ln            net.Listener
	runsByCall    sync.Map // callID -> *atomic.Int32, the number of runs
	mu            sync.Mutex
	readLimit     int // bytes of a request that are read; -1: all
	responseLimit int // bytes of the response that are sent; -1: all
	response      string
}

func newFaultyHost(t testing.TB) *faultyHost {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &faultyHost{ln: ln, readLimit: -1, responseLimit: -1, response: responseOK}
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

func (f *faultyHost) address() string { return f.ln.Addr().String() }

func (f *faultyHost) configure(readLimit, responseLimit int, response string) {
	f.mu.Lock()
	f.readLimit, f.responseLimit, f.response = readLimit, responseLimit, response
	f.mu.Unlock()
}

func (f *faultyHost) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		var text []byte
		if _, err := in.Peek(1); err != nil {
			return
		}
		f.mu.Lock()
		readLimit, responseLimit, response := f.readLimit, f.responseLimit, f.response
		f.mu.Unlock()
		for !bytes.HasSuffix(text, []byte("\r\n\r\n")) {
			if readLimit >= 0 && len(text) >= readLimit {
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
		if responseLimit >= 0 {
			io.WriteString(c, response[:responseLimit])
			return
		}
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
	}
}

func (f *faultyHost) count(text []byte) {
	_, callID, _ := strings.Cut(string(text), "X-Call: ")
	callID, _, _ = strings.Cut(callID, "\r\n")
	n, _ := f.runsByCall.LoadOrStore(callID, new(atomic.Int32))
	n.(*atomic.Int32).Add(1)
}

func (f *faultyHost) runs(callID string) int32 {
	n, ran := f.runsByCall.Load(callID)
	if !ran {
		return 0
	}
	return n.(*atomic.Int32).Load()
}

// sendCall sends one request on a connection of its own and requires exactly one response.
func sendCall(t testing.TB, address, route, callID string) (status int, body string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "POST /%s?key=k HTTP/1.1\r\nHost: h\r\nX-Call: %s\r\nIdempotency-Key: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", route, callID, callID)
	all, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("%s: %v after %q", callID, err, all)
		return 0, ""
	}
	r := bufio.NewReader(bytes.NewReader(all))
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Errorf("%s: no response: %v, received %q", callID, err, all)
		return 0, ""
	}
	text, err := io.ReadAll(res.Body)
	if rest, _ := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Errorf("%s: error %v, %q after the response", callID, err, rest)
	}
	return res.StatusCode, string(text)
}

// The connection to a host fails at each byte of the request and of the response: no mutating call runs twice, no keyed
// call runs outside its cell, each client gets exactly one response, and repeatable calls are answered by the other
// host.
func TestFaultAtEveryByte(t *testing.T) {
	bad, good := newFaultyHost(t), newFaultyHost(t)
	s, served, address := startRelay(t, "# no budget", newDocument(1, 3, bad.address()))
	step := tables.Step(1)
	requestSize := 150 // approximate length of a request; a cut past its end causes no fault
	type cut struct{ read, response int }
	var cuts []cut
	for i := 0; i < requestSize; i++ {
		cuts = append(cuts, cut{i, -1})
	}
	for i := range len(responseOK) {
		cuts = append(cuts, cut{-1, i})
	}
	for _, idempotency := range []string{"mutating", "keyed", "repeatable"} {
		for i, c := range cuts {
			// The weight of the good host is so small that only a retry reaches it.
			step++
			d := newDocument(step, 3, bad.address(), good.address())
			d.Tables["t"].Lines[tables.Address(good.address())] = 1e-9
			d = d.Seal(3, step, float64(step))
			parsed, err := tables.Parse(documentJSON(d))
			if err != nil {
				t.Fatal(err)
			}
			bad.configure(c.read, c.response, responseOK)
			served.Store(parsed)
			for s.Document().Step != step {
				time.Sleep(100 * time.Microsecond)
			}
			callID := fmt.Sprintf("%s-%d", idempotency, i)
			status, body := sendCall(t, address, idempotency, callID)
			badRuns, goodRuns := bad.runs(callID), good.runs(callID)
			if idempotency != "repeatable" && badRuns+goodRuns > 1 {
				t.Errorf("%s, cut at %+v: ran %d and %d times", callID, c, badRuns, goodRuns)
			}
			if badRuns > 1 || goodRuns > 1 {
				t.Errorf("%s, cut at %+v: ran %d and %d times", callID, c, badRuns, goodRuns)
			}
			if idempotency == "repeatable" && (status != 200 || body != "hello") && c.read < 0 {
				t.Errorf("%s, cut at %+v: got status %d, body %q", callID, c, status, body)
			}
			if status != 200 && status != 502 && status != 504 {
				t.Errorf("%s, cut at %+v: got status %d, body %q", callID, c, status, body)
			}
		}
	}
}

func documentJSON(d *tables.Document) []byte {
	return append([]byte(nil), d.JSON()...)
}

// A response with broken framing becomes one well-formed error response, and the connection is not reused.
func TestResponsesWithBrokenFraming(t *testing.T) {
	host := newFaultyHost(t)
	_, _, address := startRelay(t, "", newDocument(1, 0, host.address()))
	for i, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhelloXX0\r\n\r\n",
		"HTTP/1.1 999 No\r\n\r\n", "nonsense\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n",
	} {
		host.configure(-1, -1, response)
		if status, body := sendCall(t, address, "mutating", fmt.Sprint("m", i)); status != 502 && status != 504 {
			t.Errorf("response %q: client got %d %q, want 502 or 504", response, status, body)
		}
	}
	for response, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nTrailer: t\r\n\r\n":        "hello",
		"HTTP/1.1 100 Continue\r\n\r\n" + responseOK:                                                                     "hello",
		"HTTP/1.1 204 No Content\r\n\r\n":                                                                                "",
		"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000):                                strings.Repeat("x", 100000),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + strings.Repeat("y", 100000) + "\r\n0\r\n\r\n": strings.Repeat("y", 100000),
	} {
		host.configure(-1, -1, response)
		if status, body := sendCall(t, address, "mutating", "g"); status/100 != 2 || body != want {
			t.Errorf("response %.60q: client got %d %.60q", response, status, body)
		}
	}
}

// Malformed and incomplete requests are rejected with the status that states the reason.
func TestMalformedRequests(t *testing.T) {
	host := newFaultyHost(t)
	_, _, address := startRelay(t, "bounds {\n most_body = \"8B\"\n most_head = \"512B\"\n slow_request = \"300ms\"\n}", newDocument(1, 0, host.address()))
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
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, in)
		c.SetReadDeadline(time.Now().Add(3 * time.Second))
		out, _ := io.ReadAll(c)
		c.Close()
		if status, _, _ := strings.Cut(strings.TrimPrefix(string(out), "HTTP/1.1 "), " "); status != want {
			t.Errorf("request %.80q: got %.120q, want status %s", in, out, want)
		}
	}
}

// A proxy that is stopped completes the calls in flight and accepts no new connections.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { <-release; io.WriteString(w, "late") }))
	defer h.Close()
	doc := newDocument(1, 0, h.Listener.Addr().String())
	var served atomic.Pointer[tables.Document]
	served.Store(doc)
	config, err := settings.ParseRelay("p.hcl", []byte(fmt.Sprintf("relay \"p\" {\n listen = \"127.0.0.1:0\"\n directors = [%q]\n drain = \"2s\"\n kept = %q\n}\nroute \"mutating\" { prefix = \"/\" }",
		serveDocument(t, &served), t.TempDir()+"/kept.json")))
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(config, Hooks{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	for s.Document() == nil {
		time.Sleep(time.Millisecond)
	}
	got := make(chan string, 1)
	go func() { _, body := sendCall(t, s.Addr().String(), "mutating", "m"); got <- body }()
	for s.inFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	stop()
	time.Sleep(50 * time.Millisecond)
	if c, err := net.Dial("tcp", s.Addr().String()); err == nil {
		c.Close()
		t.Error("new connections are accepted while the proxy drains")
	}
	close(release)
	if body := <-got; body != "late" {
		t.Errorf("the call in flight got %q", body)
	}
	<-done
	// After a restart without a reachable director, the proxy uses the document in its file.
	served.Store(newDocument(2, 0))
	config.Directors, config.Listen = []string{"http://127.0.0.1:1"}, "127.0.0.1:0"
	restarted, err := New(config, Hooks{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop = context.WithCancel(context.Background())
	done = make(chan struct{})
	go func() { restarted.Run(ctx); close(done) }()
	for end := time.Now().Add(3 * time.Second); restarted.Document() == nil && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if d := restarted.Document(); d == nil || d.Tag() != doc.Tag() {
		t.Errorf("the proxy does not use the stored document: %v", d)
	} else if status, body := sendCall(t, restarted.Addr().String(), "mutating", "m2"); status != 200 || body != "late" {
		t.Errorf("call by the stored document: got %d %q", status, body)
	}
	stop()
	<-done
}

// A reload replaces routes and bounds in one step while calls are served. If it changes a fixed setting, the error names
// that setting and nothing changes.
func TestReload(t *testing.T) {
	host := newFaultyHost(t)
	s, _, address := startRelay(t, "", newDocument(1, 0, host.address()))
	next := *s.settings()
	next.Routes = next.Routes[:1]
	next.Limits.MaxInFlight, next.Limits.MaxQueued = 0, 0
	next.Zone, next.Listen = "elsewhere", "127.0.0.1:1"
	if err := s.Reload(&next); err == nil || !strings.Contains(err.Error(), "listen, zone") {
		t.Fatalf("reload with a changed listen address and zone: %v", err)
	}
	if status, _ := sendCall(t, address, "mutating", "a"); status != 200 {
		t.Fatalf("a rejected reload changed the routes: status %d", status)
	}
	next.Zone, next.Listen = s.settings().Zone, s.settings().Listen
	if err := s.Reload(&next); err != nil {
		t.Fatal(err)
	}
	if status, _ := sendCall(t, address, "mutating", "b"); status != 404 {
		t.Fatalf("removed route: status %d, want 404", status)
	}
	if status, _ := sendCall(t, address, "repeatable", "c"); status != 503 {
		t.Fatalf("no call may be in flight: status %d, want 503", status)
	}
}
