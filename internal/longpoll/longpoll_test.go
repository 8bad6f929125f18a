package longpoll

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/loadshed"
	"vetchwood/internal/tables"
)

// fakeCore is a core that records its inputs and answers with a function of the test.
type fakeCore struct {
	mu          sync.Mutex
	polls       []control.Poll
	reports     []control.Report
	disconnects []control.Ticket
	tickets     atomic.Uint64
	answer      func(any) *control.Answer
	server      *Server
}

func (d *fakeCore) Ticket() control.Ticket { return control.Ticket(d.tickets.Add(1)) }
func (d *fakeCore) Poll(p control.Poll) (control.Answer, bool, time.Duration) {
	d.Post(p)
	return control.Answer{}, false, 0
}
func (d *fakeCore) Admit(loadshed.Kind, string) time.Duration { return 0 }

func (d *fakeCore) Post(in any) {
	d.mu.Lock()
	switch in := in.(type) {
	case control.Poll:
		d.polls = append(d.polls, in)
	case control.Report:
		d.reports = append(d.reports, in)
	case control.Disconnected:
		d.disconnects = append(d.disconnects, in.Ticket)
	}
	answer := d.answer
	d.mu.Unlock()
	if answer != nil {
		if a := answer(in); a != nil {
			if poll, is := in.(control.Poll); is {
				a.Origin = poll.Origin
			}
			go d.server.Answer(*a)
		}
	}
}

func (d *fakeCore) counts() (polls, reports, disconnects int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.polls), len(d.reports), len(d.disconnects)
}

var testLimits = Limits{MaxHeadBytes: 2048, MaxBodyBytes: 4096, RequestTimeout: 700 * time.Millisecond, IdleTimeout: 3 * time.Second,
	WriteTimeout: time.Second, MaxWait: 20000}

func startServer(t testing.TB, answer func(any) *control.Answer) (*fakeCore, string) {
	d := &fakeCore{answer: answer}
	s, err := Listen("127.0.0.1:0", d, testLimits, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	d.server = s
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	return d, s.Addr().String()
}

func newDocument(step tables.Step, weight float64) *tables.Document {
	d := &tables.Document{PickPolicy: "lottery", KeyHash: tables.KeyHash, Routes: map[string]tables.Route{}, Masked: map[tables.Address]bool{},
		Hosts: map[tables.Address]tables.Host{}, Tables: map[string]*tables.Table{"0": {Lines: map[tables.Address]float64{"h:1": weight}}}}
	for i := range 20 { // so that a delta is shorter than the whole document
		d.Hosts[tables.Address(fmt.Sprintf("10.0.0.%d:80", i))] = tables.Host{ID: "some host", Zone: "a"}
	}
	return d.Seal(9, step, 1)
}

// answerWhole returns a function that answers each poll with the same document and accepts each report.
func answerWhole(doc *tables.Document) func(any) *control.Answer {
	doc.Tag()
	return func(in any) *control.Answer {
		switch in := in.(type) {
		case control.Poll:
			return &control.Answer{Ticket: in.Ticket, Kind: control.Full, Doc: doc}
		case control.Report:
			return &control.Answer{Ticket: in.Ticket, Kind: control.Accepted}
		}
		return nil
	}
}

// exchangeTimeout limits the time for which exchange reads.
const exchangeTimeout = 1500 * time.Millisecond

// exchange sends raw bytes, with a pause between the parts, and reads until the connection is closed or the timeout has
// passed.
func exchange(t testing.TB, address string, parts ...string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for i, p := range parts {
		if i > 0 {
			time.Sleep(30 * time.Millisecond)
		}
		if _, err := c.Write([]byte(p)); err != nil {
			break
		}
	}
	c.SetReadDeadline(time.Now().Add(exchangeTimeout))
	out, _ := io.ReadAll(c)
	return string(out)
}

func getRequest(path string, headers ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: d\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

const tablesPath = "/v1/proxies/p1/tables"

func TestAnswersByTheSpecifications(t *testing.T) {
	base, next := newDocument(1, 1), newDocument(2, 0.5)
	base.Tag()
	next.Tag()
	patch := next.Delta(base)
	if patch == nil {
		t.Fatal("the delta is not shorter than the whole document")
	}
	d, address := startServer(t, nil)
	for _, c := range []struct {
		name     string
		headers  []string
		answer   control.Answer
		status   string
		contains []string
	}{
		{"first poll", nil, control.Answer{Kind: control.Full, Doc: next}, "200 OK",
			[]string{"ETag: " + next.Tag().ETag(), "Content-Type: " + tables.DocumentMediaType, string(next.JSON())}},
		{"unchanged", []string{"If-None-Match: " + next.Tag().ETag(), "Prefer: wait=7"}, control.Answer{Kind: control.Unchanged, Doc: next},
			"304 Not Modified", []string{"ETag: " + next.Tag().ETag(), "Preference-Applied: wait=7"}},
		{"delta", []string{"If-None-Match: " + base.Tag().ETag(), "A-IM: vcdiff, json-patch;q=0.5", "Prefer: respond-async, wait=90"},
			control.Answer{Kind: control.Delta, Doc: next, Base: base, Patch: patch}, "226 IM Used",
			[]string{"IM: json-patch", "Delta-Base: " + base.Tag().ETag(), "ETag: " + next.Tag().ETag(), "Preference-Applied: wait=20", string(patch)}},
		{"any", []string{"If-None-Match: *"}, control.Answer{Kind: control.Full, Doc: next}, "304 Not Modified", nil},
		{"unknown", nil, control.Answer{Kind: control.Unknown, Reason: "no such proxy"}, "404 Not Found",
			[]string{"application/problem+json", `"detail":"no such proxy"`}},
		{"busy", nil, control.Answer{Kind: control.Busy, Reason: "too much"}, "503 Service Unavailable", []string{"Retry-After: "}},
	} {
		d.mu.Lock()
		d.answer = func(in any) *control.Answer {
			p, ok := in.(control.Poll)
			if !ok {
				return nil
			}
			c.answer.Ticket = p.Ticket
			return &c.answer
		}
		d.mu.Unlock()
		sentAt := time.Now()
		out := exchange(t, address, getRequest(tablesPath+"?zone=a&rate=2.5", append(c.headers, "Connection: close")...))
		if spent := time.Since(sentAt); spent >= exchangeTimeout || !strings.Contains(out, "Connection: close\r\n") {
			t.Errorf("%s: the connection was not closed with the answer, in %v: %.80q", c.name, spent, out)
		}
		if !strings.HasPrefix(out, "HTTP/1.1 "+c.status+"\r\n") {
			d.mu.Lock()
			t.Errorf("%s: got %q; the core got polls %+v and disconnects %v", c.name, out, d.polls, d.disconnects)
			d.mu.Unlock()
		}
		for _, s := range c.contains {
			if !strings.Contains(out, s) {
				t.Errorf("%s: %q does not contain %q", c.name, out, s)
			}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.polls[2]
	if last.Proxy != "p1" || last.Zone != "a" || last.Rate != 2.5 || !last.WantsDelta || last.Wait != 20000 || len(last.Held) != 1 || last.Held[0] != base.Tag() {
		t.Fatalf("%+v", last)
	}
	if d.polls[0].WantsDelta || len(d.polls[0].Held) != 0 {
		t.Fatalf("%+v", d.polls[0])
	}
}

// An ordinary HTTP client that uses none of the extensions gets the whole document with its ETag.
func TestAStockClient(t *testing.T) {
	doc := newDocument(3, 1)
	_, address := startServer(t, answerWhole(doc))
	res, err := http.Get("http://" + address + tablesPath)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if res.Body.Close(); err != nil || res.StatusCode != 200 || !bytes.Equal(body, doc.JSON()) || res.Header.Get("ETag") != doc.Tag().ETag() {
		t.Fatalf("%v, %v, %s", res, err, body)
	}
}

func TestBadInput(t *testing.T) {
	_, address := startServer(t, answerWhole(newDocument(1, 1)))
	long := strings.Repeat("x", 3000)
	post := func(body string, headers ...string) string {
		return "POST /v1/proxies/p1/reports HTTP/1.1\r\nHost: d\r\n" + strings.Join(append(headers, ""), "\r\n") +
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	const isJSON = "Content-Type: application/json"
	var all sync.WaitGroup
	for name, c := range map[string]struct{ send, status, contains string }{
		"not HTTP":                 {"hello there\r\n\r\n", "400", "three parts"},
		"an unfinished head":       {"GET / HTTP/1.1\r\nA: " + long, "431", "longer than 2048"},
		"a long path":              {getRequest("/" + long), "431", ""},
		"two lengths":              {"POST /v1/proxies/p1/reports HTTP/1.1\r\nHost: d\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400", ""},
		"length and encoding":      {"POST / HTTP/1.1\r\nHost: d\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400", "both"},
		"an encoding":              {"POST / HTTP/1.1\r\nHost: d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "501", "Content-Length"},
		"a negative length":        {"POST / HTTP/1.1\r\nHost: d\r\nContent-Length: -1\r\n\r\n", "400", ""},
		"a long body":              {"POST /v1/proxies/p1/reports HTTP/1.1\r\nHost: d\r\nContent-Length: 5000\r\n\r\n", "413", "of 4096 at most"},
		"another protocol":         {"GET / HTTP/2.0\r\n\r\n", "505", ""},
		"an expectation":           {"POST /v1/proxies/p1/reports HTTP/1.1\r\nHost: d\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", "417", ""},
		"no such path":             {getRequest("/v1/proxies//tables"), "404", "/v1/proxies/{proxy}/tables"},
		"another path":             {getRequest("/"), "404", ""},
		"a long name":              {getRequest("/v1/proxies/" + strings.Repeat("p", 200) + "/tables"), "404", "at most 128"},
		"another method":           {"DELETE " + tablesPath + " HTTP/1.1\r\nHost: d\r\n\r\n", "405", "Allow: GET"},
		"an unquoted tag":          {getRequest(tablesPath, "If-None-Match: 9.1.ab"), "400", "no entity tag"},
		"an unterminated tag":      {getRequest(tablesPath, `If-None-Match: "9.1.ab`), "400", "no entity tag"},
		"a malformed tag list":     {getRequest(tablesPath, `If-None-Match: "9.1.ab" "9.2.ab"`), "400", "comma"},
		"too many tags":            {getRequest(tablesPath, "If-None-Match: "+strings.Repeat(`"9.1.ab",`, 20)), "400", "more than 16"},
		"a rate in words":          {getRequest(tablesPath + "?rate=fast"), "400", "no number"},
		"a negative rate":          {getRequest(tablesPath + "?rate=-1"), "400", "no number"},
		"a report in plain text":   {post("hello", "Content-Type: text/plain"), "415", "JSON"},
		"a truncated report":       {post(`{"node":`, isJSON), "400", "load stats"},
		"another's report":         {post(`{"node":{"id":"p2"}}`, isJSON), "400", "not the proxy of the path"},
		"a negative count":         {post(`{"cluster_stats":[{"upstream_locality_stats":[{"upstream_endpoint_stats":[{"total_error_requests":"-4"}]}]}]}`, isJSON), "400", "no count"},
		"a missing address":        {post(`{"cluster_stats":[{"upstream_locality_stats":[{"upstream_endpoint_stats":[{}]}]}]}`, isJSON), "400", "cluster_stats[0].upstream_locality_stats[0].upstream_endpoint_stats[0]"},
		"a negative metric":        {post(`{"cluster_stats":[{"upstream_locality_stats":[{"load_metric_stats":[{"total_metric_value":-1}]}]}]}`, isJSON), "400", "out of range"},
		"two JSON values":          {post(`{}{}`, isJSON), "400", "more than one"},
		"foreign tags are ignored": {getRequest(tablesPath, `If-None-Match: W/"abc", "x,y"`, "Connection: close"), "200", ""},
		"an invalid preference":    {getRequest(tablesPath, "Prefer: wait=soon", "Connection: close"), "200", ""},
		"a good report":            {post(`{"node":{"id":"p1"},"cluster_stats":[]}`, isJSON, "Connection: close"), "204", ""},
	} {
		all.Add(1)
		go func() {
			defer all.Done()
			out := exchange(t, address, c.send)
			status, _, _ := strings.Cut(strings.TrimPrefix(out, "HTTP/1.1 "), " ")
			if status != c.status || !strings.Contains(out, c.contains) {
				t.Errorf("%s: got %.300q, want status %s and %q", name, out, c.status, c.contains)
			}
		}()
	}
	all.Wait()
	if out := exchange(t, address, getRequest(tablesPath, "Connection: close")); !strings.HasPrefix(out, "HTTP/1.1 200") {
		t.Fatalf("a valid request after the invalid ones: %.200q", out)
	}
}

// A request that arrives in two parts, split at any byte, is answered like one that arrives at once.
func TestARequestInTwoParts(t *testing.T) {
	d, address := startServer(t, answerWhole(newDocument(1, 1)))
	body := `{"node":{"id":"p1"}}`
	text := fmt.Sprintf("POST /v1/proxies/p1/reports HTTP/1.1\r\nHost: d\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	var all sync.WaitGroup
	for cut := 1; cut < len(text); cut++ {
		all.Add(1)
		go func() {
			defer all.Done()
			if out := exchange(t, address, text[:cut], text[cut:]); !strings.HasPrefix(out, "HTTP/1.1 204") {
				t.Errorf("cut at %d: %.200q", cut, out)
			}
		}()
	}
	all.Wait()
	if _, reports, _ := d.counts(); reports != len(text)-1 {
		t.Fatalf("%d reports of %d", reports, len(text)-1)
	}
}

// Pipelined requests are answered in their order. Those after one with Connection: close are not.
func TestPipelinedRequests(t *testing.T) {
	_, address := startServer(t, answerWhole(newDocument(1, 1)))
	out := exchange(t, address, getRequest(tablesPath)+getRequest("/nowhere")+getRequest(tablesPath, "Connection: close")+getRequest("/never"))
	var statuses []string
	r := bufio.NewReader(strings.NewReader(out))
	for {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			break
		}
		io.Copy(io.Discard, res.Body)
		statuses = append(statuses, res.Status[:3])
	}
	if fmt.Sprint(statuses) != "[200 404 200]" {
		t.Fatalf("%v", statuses)
	}
}

// A client that sends a byte now and then, one that stops within a request and one that sends nothing all lose their
// connection.
func TestSlowClientsAreLetGo(t *testing.T) {
	d, address := startServer(t, answerWhole(newDocument(1, 1)))
	var all sync.WaitGroup
	for name, send := range map[string]func(net.Conn){
		"a byte at a time": func(c net.Conn) {
			for _, b := range []byte(getRequest(tablesPath)) {
				if _, err := c.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		},
		"half a request": func(c net.Conn) { c.Write([]byte("GET /v1")) },
	} {
		all.Add(1)
		go func() {
			defer all.Done()
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			go send(c)
			c.SetReadDeadline(time.Now().Add(6 * time.Second))
			out, err := io.ReadAll(c)
			if !strings.HasPrefix(string(out), "HTTP/1.1 408") {
				t.Errorf("%s: %.100q, %v", name, out, err)
			}
		}()
	}
	all.Add(1)
	go func() {
		defer all.Done()
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		c.SetReadDeadline(time.Now().Add(8 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("an idle connection ended with %v", err)
		}
	}()
	all.Wait()
	waitFor(t, "all connections closed", func() bool { return d.server.OpenConnections() == 0 })
}

func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// If the connection of a pending poll is closed, reset or half closed, the core is notified, once.
func TestBrokenConnectionIsReported(t *testing.T) {
	d, address := startServer(t, nil)
	for i, breaks := range []func(*net.TCPConn){
		func(c *net.TCPConn) { c.Close() },
		func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		func(c *net.TCPConn) { c.CloseWrite() },
	} {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Write([]byte(getRequest(tablesPath, "Prefer: wait=10")))
		waitFor(t, "the poll", func() bool { p, _, _ := d.counts(); return p == i+1 })
		breaks(c.(*net.TCPConn))
		waitFor(t, "its disconnect", func() bool { _, _, b := d.counts(); return b == i+1 })
		d.server.Answer(control.Answer{Ticket: d.disconnects[i], Kind: control.Unchanged}) // an answer that comes too late has no effect
	}
	waitFor(t, "all connections closed", func() bool { return d.server.OpenConnections() == 0 })
}

// A client that never reads its answers does not delay others, and its connection is closed.
func TestAClientThatDoesNotRead(t *testing.T) {
	big := newDocument(1, 1)
	for i := range 60000 {
		big.Hosts[tables.Address(fmt.Sprintf("10.1.%d.%d:80", i/250, i%250))] = tables.Host{ID: "some host or other", Zone: "a"}
	}
	d, address := startServer(t, answerWhole(big))
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.(*net.TCPConn).SetReadBuffer(4096)
	for range 8 {
		c.Write([]byte(getRequest(tablesPath)))
	}
	began := time.Now()
	if out := exchange(t, address, "GET /nowhere HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n"); !strings.HasPrefix(out, "HTTP/1.1 404") || time.Since(began) > time.Second {
		t.Fatalf("the next client got, after %v, %.100q", time.Since(began), out)
	}
	waitFor(t, "its connection to be closed", func() bool { return d.server.OpenConnections() == 0 })
}

func FuzzNext(f *testing.F) {
	f.Add([]byte(getRequest(tablesPath, `If-None-Match: "1.2.3"`, "Prefer: wait=3", "A-IM: json-patch")))
	f.Add([]byte("POST /v1/proxies/p/reports HTTP/1.1\r\nHost: d\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("GET / HTTP/1.0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		var r request
		complete, prob := r.parse(in, 1024, 1024)
		switch {
		case prob != nil:
			if prob.Status < 400 || prob.Status > 505 || prob.Detail == "" {
				t.Fatalf("%+v", prob)
			}
			prob.render()
		case complete:
			if r.size <= 0 || r.size > len(in) || len(r.body) > 1024 {
				t.Fatalf("%d bytes of %d", r.size, len(in))
			}
			parseIfNoneMatch(r.fieldValue("if-none-match"))
			parsePreferWait(r.fieldValue("prefer"))
			acceptsJSONPatch(r.fieldValue("a-im"))
		case len(in) >= 2048+4:
			t.Fatal("more input requested than the limits allow")
		}
	})
}
