package fault

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"vetchwood/internal/follow"
	"vetchwood/internal/tables"
)

// faultLog collects an injector's log.
type faultLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *faultLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// entries returns the injected faults by the log, without their times.
func (l *faultLog) entries(t *testing.T) (out []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range strings.Split(strings.TrimSpace(l.buf.String()), "\n") {
		var record Record
		if line == "" {
			continue
		}
		if err := json.Unmarshal([]byte(line), &record); err != nil {
			t.Fatal(err)
		}
		out = append(out, fmt.Sprint(record.Connection, record.Direction, record.Kind, record.Rule, record.What))
	}
	return out
}

// startInjector runs an injector in front of an address until the test ends.
func startInjector(t *testing.T, to string, rules string) (string, *faultLog) {
	s, err := Read("f.hcl", []byte(fmt.Sprintf("fault {\n listen = \"127.0.0.1:0\"\n to = %q\n seed = 5\n}\n%s", to, rules)))
	if err != nil {
		t.Fatal(err)
	}
	log := &faultLog{}
	injector, err := New(s, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- injector.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return injector.Addr().String(), log
}

func document(step tables.Step) *tables.Document {
	d := &tables.Document{PickPolicy: "lottery", Routes: map[string]tables.Route{}, Hosts: map[tables.Address]tables.Host{}, Masked: map[tables.Address]bool{},
		Tables: map[string]*tables.Table{"t": {Lines: map[tables.Address]float64{"h:1": float64(step)}}}}
	for i := range 40 {
		d.Hosts[tables.Address(fmt.Sprintf("10.0.0.%d:80", i))] = tables.Host{ID: "fills the document", Zone: "a"}
	}
	return d.Seal(3, step, float64(step))
}

// A byte is garbled in the middle of a delta. The proxy's follower must reject the delta because of the digest or
// because it is not a valid patch, request the full document, and never use tables that the director did not send.
func TestAGarbledDifference(t *testing.T) {
	one, two := document(1), document(2)
	var fullCount, deltaCount int
	var mu sync.Mutex
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		switch held := r.Header.Get("If-None-Match"); {
		case held == "" && fullCount == 0:
			fullCount++
			w.Header().Set("ETag", one.ETag())
			w.Header().Set("Content-Type", tables.DocumentMediaType)
			w.Write(one.JSON())
		case strings.Contains(held, one.ETag()):
			deltaCount++
			w.Header().Set("ETag", two.ETag())
			w.Header().Set("IM", "json-patch")
			w.Header().Set("Delta-Base", one.ETag())
			w.Header().Set("Content-Type", tables.PatchMediaType)
			w.WriteHeader(http.StatusIMUsed)
			w.Write(two.Delta(one))
		case strings.Contains(held, two.ETag()):
			time.Sleep(50 * time.Millisecond)
			w.WriteHeader(http.StatusNotModified)
		default:
			fullCount++
			w.Header().Set("ETag", two.ETag())
			w.Header().Set("Content-Type", tables.DocumentMediaType)
			w.Write(two.JSON())
		}
	}))
	defer s.Close()
	// The length of a response, to put the garbled byte into the body of the second one.
	responseLength := func(held string) int {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: d\r\n%s\r\n", held)
		c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		all, _ := io.ReadAll(c)
		return len(all)
	}
	offset := responseLength("") + responseLength("If-None-Match: "+one.ETag()+"\r\n") - len(two.Delta(one))/2
	mu.Lock()
	fullCount, deltaCount = 0, 0
	mu.Unlock()
	address, log := startInjector(t, s.Listener.Addr().String(), fmt.Sprintf("rule \"bit\" {\n kind = \"garble\"\n after = %d\n connection = 1\n}\n", offset))
	var seen []tables.Tag
	f := follow.New(follow.Config{Directors: []string{"http://" + address}, Proxy: "p", MaxWait: time.Second, OnUpdate: func(u follow.Update) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, u.Doc.Tag())
	}})
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	go f.Run(ctx)
	for ctx.Err() == nil && (f.Document() == nil || f.Document().Step < 2) {
		time.Sleep(5 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(log.entries(t)) != 1 || deltaCount == 0 || fullCount < 2 {
		t.Errorf("faults %v, %d deltas, %d full documents; want 1 fault, at least 1 delta and 2 full documents", log.entries(t), deltaCount, fullCount)
	}
	for _, tag := range seen {
		if tag != one.Tag() && tag != two.Tag() {
			t.Errorf("the proxy used version %v, which the director did not send", tag)
		}
	}
}

// startEcho starts a server that echoes its input and appends the number of bytes received.
func startEcho(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				n, _ := io.Copy(c, c)
				fmt.Fprintf(c, "[%d came]", n)
			}()
		}
	}()
	return ln.Addr().String()
}

// exchange sends text, closes its half of the connection, and returns what it receives.
func exchange(t *testing.T, address, text string) (string, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	c.Write([]byte(text))
	time.Sleep(50 * time.Millisecond)
	c.(*net.TCPConn).CloseWrite()
	out, err := io.ReadAll(c)
	return string(out), err
}

// Checks the effect of each fault at the sockets. Two runs of a script must have the same effects and logs.
func TestFaultsOnSockets(t *testing.T) {
	t.Parallel()
	to := startEcho(t)
	for _, c := range []struct{ rules, want string }{
		{"", "hello[5 came]"},
		{"rule \"a\" {\n kind = \"drop\"\n way = \"down\"\n}", ""},
		{"rule \"a\" {\n kind = \"drop\"\n way = \"up\"\n after = 1\n bytes = 3\n}", "ho[2 came]"},
		{"rule \"a\" {\n kind = \"half_close\"\n way = \"up\"\n after = 2\n}", "he[2 came]"},
		{"rule \"a\" {\n kind = \"half_close\"\n way = \"down\"\n after = 3\n}", "hel"},
		{"rule \"a\" {\n kind = \"throttle\"\n rate = 50\n}", "hello[5 came]"},
		{"rule \"a\" {\n kind = \"cut\"\n way = \"down\"\n connection = 2\n}", "hello[5 came]"},
	} {
		var logs [2][]string
		for i := range logs {
			address, log := startInjector(t, to, c.rules)
			start := time.Now()
			got, err := exchange(t, address, "hello")
			if err != nil || got != c.want {
				t.Errorf("%s: %q, %v", c.rules, got, err)
			}
			if strings.Contains(c.rules, "throttle") && time.Since(start) < 90*time.Millisecond {
				t.Errorf("%s: took only %v", c.rules, time.Since(start))
			}
			logs[i] = log.entries(t)
		}
		if fmt.Sprint(logs[0]) != fmt.Sprint(logs[1]) || (len(logs[0]) == 0) == (strings.Contains(c.rules, "rule") && !strings.Contains(c.rules, "connection")) {
			t.Errorf("%s: the two runs logged %v and %v", c.rules, logs[0], logs[1])
		}
	}
	address, _ := startInjector(t, to, "rule \"a\" {\n kind = \"cut\"\n way = \"up\"\n from = \"20ms\"\n}")
	if got, err := exchange(t, address, "hello"); err == nil {
		t.Errorf("cut by time: received %q without an error", got)
	}
}

func TestScriptsThatAreWrong(t *testing.T) {
	_, err := Read("f.hcl", []byte("fault {\n listen = \"10.0.0.1:80\"\n to = \"127.0.0.1:1\"\n}\nrule \"a\" {\n kind = \"delay\"\n rate = 3\n}\n"))
	if err == nil || !strings.Contains(err.Error(), "f.hcl:2") || !strings.Contains(err.Error(), "needs by") || !strings.Contains(err.Error(), "rate") {
		t.Fatal(err)
	}
}
