package daemon

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"vetchwood/internal/load"
	"vetchwood/internal/settings"
	"vetchwood/internal/standin"
	"vetchwood/internal/store"
)

// freeAddress returns a loopback address with a port that is free at present.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// settingsTemplate takes the listen address, store path, Consul URL, memory and poll.most_head.
const settingsTemplate = `
director "d1" {
  listen = %[1]q
  store  = %[2]q
  memory = %[4]q
}
service {
  zones  = ["a"]
  slices = 16
  route "read" {
    repeat     = "repeatable"
    importance = 1
    slo        = "1s"
    time_limit = "3s"
  }
}
hosts {
  warm_after  = "1s"
  drain_grace = "2s"
}
proxies {
  most       = 2000
  lease      = "3s"
  bare_limit = "2s"
}
channel {
  lines_per_second = 1000000
  queue_lines      = 1000000
}
roster {
  consul  = %[3]q
  service = "hosts"
}
poll {
  most_head = %[5]q
}
`

// A director is stopped under a heavy load of new, acknowledging and pending polls. It stops within 3 s without an error,
// its store is intact, and it starts again from there under the same load.
func TestStopAmidAStorm(t *testing.T) {
	registry, err := standin.NewRegistry("127.0.0.1:0", nil, func() float64 { return float64(time.Now().UnixMilli()) }, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer registry.Close()
	listen, path := freeAddress(t), filepath.Join(t.TempDir(), "d.db")
	s, err := settings.ParseDirector("d.hcl", fmt.Appendf(nil, settingsTemplate, listen, path, registry.URL(), "128MiB", "16KiB"))
	if err != nil {
		t.Fatal(err)
	}
	for round := range 3 {
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- Run(ctx, s, slog.New(slog.DiscardHandler)) }()
		storm := &load.Script{Director: listen, NameFormat: "p%d", Zone: "a", TimeLimit: time.Second}
		for _, k := range []load.Kind{load.InitialPolls, load.Polls} {
			storm.Steps = append(storm.Steps, load.Step{Name: string(k), Kind: k, Rate: 3000, Burst: 500, Proxies: 1500, Connections: 300, Duration: time.Second})
		}
		for _, err = load.Run(t.Context(), &load.Script{Director: listen, NameFormat: "p%d", TimeLimit: time.Second,
			Steps: []load.Step{{Kind: load.Polls, Rate: 10, Proxies: 1, Connections: 1, Duration: 100 * time.Millisecond}}}, nil); err != nil; {
			time.Sleep(20 * time.Millisecond) // until the director listens
			_, err = load.Run(t.Context(), storm, nil)
		}
		seconds := make(chan []load.Second, 1)
		go func() {
			out, _ := load.Run(t.Context(), storm, nil)
			seconds <- out
		}()
		time.Sleep(time.Duration(400+400*round) * time.Millisecond)
		began := time.Now()
		stop()
		select {
		case err := <-done:
			if err != nil || time.Since(began) > 3*time.Second {
				t.Fatalf("stopped after %v, want at most 3s: %v", time.Since(began), err)
			}
		case <-time.After(15 * time.Second):
			t.Fatal("the director did not stop within 15s")
		}
		answered := 0
		for _, x := range <-seconds {
			answered += x.Answered
		}
		if answered < 200 {
			t.Errorf("only %d polls answered before the stop, want at least 200", answered)
		}
		st, err := store.Open(path, store.Retention{})
		if err != nil {
			t.Fatal(err)
		}
		if _, faults := st.Verify(); len(faults) > 0 {
			t.Error(faults)
		}
		st.Close()
	}
}

// logBuffer is an io.Writer that collects log lines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// count returns how often a text occurs in the log.
func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), text)
}

// A settings file changes while a director runs: changes that can take effect do so without closing connections, those
// that need a restart are logged at each reload, an invalid file changes nothing, and after signals in quick succession
// the newest file is in effect. The service manager is notified of each reload.
func TestReload(t *testing.T) {
	registry, err := standin.NewRegistry("127.0.0.1:0", nil, func() float64 { return float64(time.Now().UnixMilli()) }, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer registry.Close()
	dir, listen := t.TempDir(), freeAddress(t)
	path := filepath.Join(dir, "d.hcl")
	write := func(slo, memory, head string) {
		text := strings.Replace(fmt.Sprintf(settingsTemplate, listen, "d.db", registry.URL(), memory, head), `slo        = "1s"`, `slo        = "`+slo+`"`, 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("1s", "128MiB", "16KiB")
	s, err := settings.LoadDirector(path)
	if err != nil {
		t.Fatal(err)
	}
	manager, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: filepath.Join(dir, "notify"), Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	defer manager.Close()
	t.Setenv("NOTIFY_SOCKET", filepath.Join(dir, "notify"))
	log, hup := &logBuffer{}, make(chan os.Signal, 1)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, s, slog.New(slog.NewTextHandler(log, nil)), Reloader{path, hup}) }()
	await := func(text string, n int) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); log.count(text) < n; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%q was not logged %d times within 5s", text, n)
			}
		}
	}
	await("director.started", 1)
	c, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	ask := func(fill int) int {
		fmt.Fprintf(c, "GET /v1/proxies/p1/tables HTTP/1.1\r\nHost: d\r\nX-Fill: %s\r\n\r\n", strings.Repeat("x", fill))
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, res.Body)
		return res.StatusCode
	}
	if status := ask(4000); status != http.StatusOK {
		t.Fatal(status)
	}
	write("wrong", "128MiB", "1KiB")
	hup <- syscall.SIGHUP
	await("reload.refused", 1)
	if status := ask(4000); status != http.StatusOK {
		t.Fatalf("an invalid file took effect: status %d", status)
	}
	write("2s", "256MiB", "1KiB")
	hup <- syscall.SIGHUP
	hup <- syscall.SIGHUP // during the first reload or right after it
	await("reload.done", 2)
	if log.count("director[d1].memory: ") != 1 || log.count("poll.most_head: ") != 1 || log.count("reload.takes_restart") != 2 || log.count("service.route[read].slo: ") != 2 {
		t.Error(log.buf.String())
	}
	if status := ask(100); status != http.StatusOK {
		t.Error(status)
	}
	if status := ask(4000); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a request head above the new limit was answered with status %d, want 431", status)
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
	states, b := "", make([]byte, 1000)
	for !strings.Contains(states, "STOPPING=1") {
		manager.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, err := manager.Read(b)
		if err != nil {
			t.Fatalf("the service manager received only %q: %v", states, err)
		}
		states += string(b[:n]) + "\n"
	}
	if !strings.HasPrefix(states, "READY=1") || strings.Count(states, "RELOADING=1\nMONOTONIC_USEC=") != 3 || strings.Count(states, "READY=1") != 4 {
		t.Errorf("the service manager received %q, want READY=1 first, 3 reloads and 4 times READY=1", states)
	}
}
