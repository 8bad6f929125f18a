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
	"vetchwood/internal/inflow"
	"vetchwood/internal/tables"
)

// desk is a core that answers as the test says.
type desk struct {
	mu      sync.Mutex
	polls   []control.Poll
	reports []control.Report
	broke   []control.Ticket
	tickets atomic.Uint64
	answer  func(any) *control.Answer
	front   *Server
}

func (d *desk) Ticket() control.Ticket { return control.Ticket(d.tickets.Add(1)) }
func (d *desk) Poll(p control.Poll) (control.Answer, bool, time.Duration) {
	d.Post(p)
	return control.Answer{}, false, 0
}
func (d *desk) Admit(inflow.Kind, string) time.Duration { return 0 }

func (d *desk) Post(in any) {
	d.mu.Lock()
	switch in := in.(type) {
	case control.Poll:
		d.polls = append(d.polls, in)
	case control.Report:
		d.reports = append(d.reports, in)
	case control.Broke:
		d.broke = append(d.broke, in.Ticket)
	}
	answer := d.answer
	d.mu.Unlock()
	if answer != nil {
		if a := answer(in); a != nil {
			if poll, is := in.(control.Poll); is {
				a.To = poll.From
			}
			go d.front.Answer(*a)
		}
	}
}

func (d *desk) seen() (polls, reports, broke int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.polls), len(d.reports), len(d.broke)
}

var limits = Limits{MostHead: 2048, MostBody: 4096, SlowRequest: 700 * time.Millisecond, Idle: 3 * time.Second,
	Write: time.Second, LongestWait: 20000}

func open(t testing.TB, answer func(any) *control.Answer) (*desk, string) {
	d := &desk{answer: answer}
	s, err := Listen("127.0.0.1:0", d, limits, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	d.front = s
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	return d, s.Addr().String()
}

func document(step tables.Step, weight float64) *tables.Document {
	d := &tables.Document{PickPolicy: "lottery", KeyHash: tables.KeyHash, Routes: map[string]tables.Route{}, Masked: map[tables.Address]bool{},
		Hosts: map[tables.Address]tables.Host{}, Tables: map[string]*tables.Table{"0": {Lines: map[tables.Address]float64{"h:1": weight}}}}
	for i := range 20 { // so that a difference is shorter than the whole
		d.Hosts[tables.Address(fmt.Sprintf("10.0.0.%d:80", i))] = tables.Host{ID: "some host", Zone: "a"}
	}
	return d.Seal(9, step, 1)
}

// whole answers each poll with one document, once its tag is sealed.
func whole(doc *tables.Document) func(any) *control.Answer {
	doc.Tag()
	return func(in any) *control.Answer {
		switch in := in.(type) {
		case control.Poll:
			return &control.Answer{Ticket: in.Ticket, Kind: control.Whole, Doc: doc}
		case control.Report:
			return &control.Answer{Ticket: in.Ticket, Kind: control.Taken}
		}
		return nil
	}
}

// talkFor is how long talk reads, unless the connection closes.
const talkFor = 1500 * time.Millisecond

// talk sends raw bytes and reads answers until the connection closes or the time is over.
func talk(t testing.TB, at string, parts ...string) string {
	t.Helper()
	c, err := net.Dial("tcp", at)
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
	c.SetReadDeadline(time.Now().Add(talkFor))
	out, _ := io.ReadAll(c)
	return string(out)
}

func get(path string, headers ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: d\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

const tablesPath = "/v1/proxies/p1/tables"

func TestAnswersByTheSpecifications(t *testing.T) {
	base, next := document(1, 1), document(2, 0.5)
	base.Tag()
	next.Tag()
	patch := next.Delta(base)
	if patch == nil {
		t.Fatal("the difference is no shorter than the whole")
	}
	d, at := open(t, nil)
	for _, c := range []struct {
		name    string
		headers []string
		answer  control.Answer
		status  string
		says    []string
	}{
		{"first poll", nil, control.Answer{Kind: control.Whole, Doc: next}, "200 OK",
			[]string{"ETag: " + next.Tag().ETag(), "Content-Type: " + tables.DocumentMediaType, string(next.JSON())}},
		{"unchanged", []string{"If-None-Match: " + next.Tag().ETag(), "Prefer: wait=7"}, control.Answer{Kind: control.Unchanged, Doc: next},
			"304 Not Modified", []string{"ETag: " + next.Tag().ETag(), "Preference-Applied: wait=7"}},
		{"difference", []string{"If-None-Match: " + base.Tag().ETag(), "A-IM: vcdiff, json-patch;q=0.5", "Prefer: respond-async, wait=90"},
			control.Answer{Kind: control.Delta, Doc: next, Base: base, Patch: patch}, "226 IM Used",
			[]string{"IM: json-patch", "Delta-Base: " + base.Tag().ETag(), "ETag: " + next.Tag().ETag(), "Preference-Applied: wait=20", string(patch)}},
		{"any", []string{"If-None-Match: *"}, control.Answer{Kind: control.Whole, Doc: next}, "304 Not Modified", nil},
		{"unknown", nil, control.Answer{Kind: control.Unknown, Why: "no such proxy"}, "404 Not Found",
			[]string{"application/problem+json", `"detail":"no such proxy"`}},
		{"busy", nil, control.Answer{Kind: control.Busy, Why: "too much"}, "503 Service Unavailable", []string{"Retry-After: "}},
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
		asked := time.Now()
		out := talk(t, at, get(tablesPath+"?zone=a&rate=2.5", append(c.headers, "Connection: close")...))
		if spent := time.Since(asked); spent >= talkFor || !strings.Contains(out, "Connection: close\r\n") {
			t.Errorf("%s: the connection was not closed with the answer, in %v: %.80q", c.name, spent, out)
		}
		if !strings.HasPrefix(out, "HTTP/1.1 "+c.status+"\r\n") {
			d.mu.Lock()
			t.Errorf("%s: %q; the core was told of %+v, of the ends of %v", c.name, out, d.polls, d.broke)
			d.mu.Unlock()
		}
		for _, s := range c.says {
			if !strings.Contains(out, s) {
				t.Errorf("%s: %q does not say %q", c.name, out, s)
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

// A stock client that knows none of the extensions goes by ETag alone.
func TestAStockClient(t *testing.T) {
	doc := document(3, 1)
	_, at := open(t, whole(doc))
	res, err := http.Get("http://" + at + tablesPath)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if res.Body.Close(); err != nil || res.StatusCode != 200 || !bytes.Equal(body, doc.JSON()) || res.Header.Get("ETag") != doc.Tag().ETag() {
		t.Fatalf("%v, %v, %s", res, err, body)
	}
}

func TestBadInput(t *testing.T) {
	_, at := open(t, whole(document(1, 1)))
	long := strings.Repeat("x", 3000)
	post := func(body string, headers ...string) string {
		return "POST /v1/proxies/p1/reports HTTP/1.1\r\nHost: d\r\n" + strings.Join(append(headers, ""), "\r\n") +
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	const isJSON = "Content-Type: application/json"
	var all sync.WaitGroup
	for name, c := range map[string]struct{ send, status, says string }{
		"no HTTP":               {"hello there\r\n\r\n", "400", "three parts"},
		"a head without end":    {"GET / HTTP/1.1\r\nA: " + long, "431", "longer than 2048"},
		"a long path":           {get("/" + long), "431", ""},
		"two lengths":           {"POST /v1/proxies/p1/reports HTTP/1.1\r\nHost: d\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400", ""},
		"length and encoding":   {"POST / HTTP/1.1\r\nHost: d\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400", "both"},
		"an encoding":           {"POST / HTTP/1.1\r\nHost: d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "501", "Content-Length"},
		"a negative length":     {"POST / HTTP/1.1\r\nHost: d\r\nContent-Length: -1\r\n\r\n", "400", ""},
		"a long body":           {"POST /v1/proxies/p1/reports HTTP/1.1\r\nHost: d\r\nContent-Length: 5000\r\n\r\n", "413", "of 4096 at most"},
		"another protocol":      {"GET / HTTP/2.0\r\n\r\n", "505", ""},
		"an expectation":        {"POST /v1/proxies/p1/reports HTTP/1.1\r\nHost: d\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", "417", ""},
		"no such path":          {get("/v1/proxies//tables"), "404", "/v1/proxies/{proxy}/tables"},
		"another path":          {get("/"), "404", ""},
		"a long name":           {get("/v1/proxies/" + strings.Repeat("p", 200) + "/tables"), "404", "at most 128"},
		"another method":        {"DELETE " + tablesPath + " HTTP/1.1\r\nHost: d\r\n\r\n", "405", "Allow: GET"},
		"a bare tag":            {get(tablesPath, "If-None-Match: 9.1.ab"), "400", "no entity tag"},
		"an open tag":           {get(tablesPath, `If-None-Match: "9.1.ab`), "400", "no entity tag"},
		"a list gone wrong":     {get(tablesPath, `If-None-Match: "9.1.ab" "9.2.ab"`), "400", "comma"},
		"too many tags":         {get(tablesPath, "If-None-Match: "+strings.Repeat(`"9.1.ab",`, 20)), "400", "more than 16"},
		"a rate that is none":   {get(tablesPath + "?rate=fast"), "400", "no number"},
		"a rate below 0":        {get(tablesPath + "?rate=-1"), "400", "no number"},
		"a report in words":     {post("hello", "Content-Type: text/plain"), "415", "JSON"},
		"a report cut off":      {post(`{"node":`, isJSON), "400", "load stats"},
		"another's report":      {post(`{"node":{"id":"p2"}}`, isJSON), "400", "not the proxy of the path"},
		"a count that is none":  {post(`{"cluster_stats":[{"upstream_locality_stats":[{"upstream_endpoint_stats":[{"total_error_requests":"-4"}]}]}]}`, isJSON), "400", "no count"},
		"an address of no host": {post(`{"cluster_stats":[{"upstream_locality_stats":[{"upstream_endpoint_stats":[{}]}]}]}`, isJSON), "400", "cluster_stats[0].upstream_locality_stats[0].upstream_endpoint_stats[0]"},
		"a metric gone wrong":   {post(`{"cluster_stats":[{"upstream_locality_stats":[{"load_metric_stats":[{"total_metric_value":-1}]}]}]}`, isJSON), "400", "out of range"},
		"two values":            {post(`{}{}`, isJSON), "400", "more than one"},
		"a foreign tag is none": {get(tablesPath, `If-None-Match: W/"abc", "x,y"`, "Connection: close"), "200", ""},
		"an odd preference":     {get(tablesPath, "Prefer: wait=soon", "Connection: close"), "200", ""},
		"a good report":         {post(`{"node":{"id":"p1"},"cluster_stats":[]}`, isJSON, "Connection: close"), "204", ""},
	} {
		all.Add(1)
		go func() {
			defer all.Done()
			out := talk(t, at, c.send)
			status, _, _ := strings.Cut(strings.TrimPrefix(out, "HTTP/1.1 "), " ")
			if status != c.status || !strings.Contains(out, c.says) {
				t.Errorf("%s: %.300q, wanted %s that says %q", name, out, c.status, c.says)
			}
		}()
	}
	all.Wait()
	if out := talk(t, at, get(tablesPath, "Connection: close")); !strings.HasPrefix(out, "HTTP/1.1 200") {
		t.Fatalf("after all that: %.200q", out)
	}
}

// A request cut at any byte, sent in two parts, is answered as one sent whole.
func TestARequestInTwoParts(t *testing.T) {
	d, at := open(t, whole(document(1, 1)))
	body := `{"node":{"id":"p1"}}`
	text := fmt.Sprintf("POST /v1/proxies/p1/reports HTTP/1.1\r\nHost: d\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	var all sync.WaitGroup
	for cut := 1; cut < len(text); cut++ {
		all.Add(1)
		go func() {
			defer all.Done()
			if out := talk(t, at, text[:cut], text[cut:]); !strings.HasPrefix(out, "HTTP/1.1 204") {
				t.Errorf("cut at %d: %.200q", cut, out)
			}
		}()
	}
	all.Wait()
	if _, reports, _ := d.seen(); reports != len(text)-1 {
		t.Fatalf("%d reports of %d", reports, len(text)-1)
	}
}

// Requests sent without waiting are answered one by one, in their order.
func TestPipelinedRequests(t *testing.T) {
	_, at := open(t, whole(document(1, 1)))
	out := talk(t, at, get(tablesPath)+get("/nowhere")+get(tablesPath, "Connection: close")+get("/never"))
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

// One that sends a byte now and then, one that sends half and no more, one that never sends: none holds on.
func TestSlowClientsAreLetGo(t *testing.T) {
	d, at := open(t, whole(document(1, 1)))
	var all sync.WaitGroup
	for name, send := range map[string]func(net.Conn){
		"a byte now and then": func(c net.Conn) {
			for _, b := range []byte(get(tablesPath)) {
				if _, err := c.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		},
		"half": func(c net.Conn) { c.Write([]byte("GET /v1")) },
	} {
		all.Add(1)
		go func() {
			defer all.Done()
			c, err := net.Dial("tcp", at)
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
		c, err := net.Dial("tcp", at)
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
	await(t, "all connections closed", func() bool { return d.front.Open() == 0 })
}

func await(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// A poll that waits and whose connection breaks, or half breaks, is told to the core, once.
func TestABrokenConnectionIsTold(t *testing.T) {
	d, at := open(t, nil)
	for i, breaks := range []func(*net.TCPConn){
		func(c *net.TCPConn) { c.Close() },
		func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		func(c *net.TCPConn) { c.CloseWrite() },
	} {
		c, err := net.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Write([]byte(get(tablesPath, "Prefer: wait=10")))
		await(t, "the poll", func() bool { p, _, _ := d.seen(); return p == i+1 })
		breaks(c.(*net.TCPConn))
		await(t, "its end", func() bool { _, _, b := d.seen(); return b == i+1 })
		d.front.Answer(control.Answer{Ticket: d.broke[i], Kind: control.Unchanged}) // too late, and harmless
	}
	await(t, "all connections closed", func() bool { return d.front.Open() == 0 })
}

// A client that never reads its answers holds up nobody and is let go.
func TestAClientThatDoesNotRead(t *testing.T) {
	big := document(1, 1)
	for i := range 60000 {
		big.Hosts[tables.Address(fmt.Sprintf("10.1.%d.%d:80", i/250, i%250))] = tables.Host{ID: "some host or other", Zone: "a"}
	}
	d, at := open(t, whole(big))
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.(*net.TCPConn).SetReadBuffer(4096)
	for range 8 {
		c.Write([]byte(get(tablesPath)))
	}
	began := time.Now()
	if out := talk(t, at, "GET /nowhere HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n"); !strings.HasPrefix(out, "HTTP/1.1 404") || time.Since(began) > time.Second {
		t.Fatalf("the next client waited %v for %.100q", time.Since(began), out)
	}
	await(t, "it is let go", func() bool { return d.front.Open() == 0 })
}

func FuzzNext(f *testing.F) {
	f.Add([]byte(get(tablesPath, `If-None-Match: "1.2.3"`, "Prefer: wait=3", "A-IM: json-patch")))
	f.Add([]byte("POST /v1/proxies/p/reports HTTP/1.1\r\nHost: d\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("GET / HTTP/1.0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		var r request
		whole, wrong := r.next(in, 1024, 1024)
		switch {
		case wrong != nil:
			if wrong.Status < 400 || wrong.Status > 505 || wrong.Detail == "" {
				t.Fatalf("%+v", wrong)
			}
			wrong.render()
		case whole:
			if r.length <= 0 || r.length > len(in) || len(r.body) > 1024 {
				t.Fatalf("%d bytes of %d", r.length, len(in))
			}
			entityTags(r.value("if-none-match"))
			preferredWait(r.value("prefer"))
			takes(r.value("a-im"))
		case len(in) >= 2048+4:
			t.Fatal("asks for more than it may take")
		}
	})
}
