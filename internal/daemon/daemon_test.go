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

func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

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

// A stop amid a storm of polls, some of them new, some that acknowledge and some that wait: the director ends at once and well, what
// it told is stored, and it starts over from there while the storm goes on.
func TestStopAmidAStorm(t *testing.T) {
	registry, err := standin.NewRegistry("127.0.0.1:0", nil, func() float64 { return float64(time.Now().UnixMilli()) }, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer registry.Close()
	listen, path := freeAddress(t), filepath.Join(t.TempDir(), "d.db")
	s, err := settings.Parse("d.hcl", fmt.Appendf(nil, settingsTemplate, listen, path, registry.URL(), "128MiB", "16KiB"))
	if err != nil {
		t.Fatal(err)
	}
	for round := range 3 {
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- Run(ctx, s, slog.New(slog.DiscardHandler)) }()
		storm := &load.Script{Director: listen, Names: "p%d", Zone: "a", Limit: time.Second}
		for _, k := range []load.Kind{load.New, load.Polls} {
			storm.Steps = append(storm.Steps, load.Step{Name: string(k), Kind: k, Rate: 3000, Storm: 500, Proxies: 1500, Connections: 300, For: time.Second})
		}
		for _, err = load.Run(t.Context(), &load.Script{Director: listen, Names: "p%d", Limit: time.Second,
			Steps: []load.Step{{Kind: load.Polls, Rate: 10, Proxies: 1, Connections: 1, For: 100 * time.Millisecond}}}, nil); err != nil; {
			time.Sleep(20 * time.Millisecond) // until it listens
			_, err = load.Run(t.Context(), storm, nil)
		}
		all := make(chan []load.Second, 1)
		go func() {
			out, _ := load.Run(t.Context(), storm, nil)
			all <- out
		}()
		time.Sleep(time.Duration(400+400*round) * time.Millisecond)
		began := time.Now()
		stop()
		select {
		case err := <-ended:
			if err != nil || time.Since(began) > 3*time.Second {
				t.Fatalf("ended after %v: %v", time.Since(began), err)
			}
		case <-time.After(15 * time.Second):
			t.Fatal("it does not end")
		}
		answered := 0
		for _, x := range <-all {
			answered += x.Answered
		}
		if answered < 200 {
			t.Errorf("only %d were answered before it ended", answered)
		}
		st, err := store.Open(path, store.Retention{})
		if err != nil {
			t.Fatal(err)
		}
		if _, wrong := st.Verify(); len(wrong) > 0 {
			t.Error(wrong)
		}
		st.Close()
	}
}

// journal keeps what was logged.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}
func (l *logBuffer) count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), what)
}

// A file that changes: what can takes effect without a connection lost, what can't is named each time, a file that is wrong changes
// nothing, and signals one upon the other are all met by the file as it is in the end.
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
	s, err := settings.Load(path)
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
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, s, slog.New(slog.NewTextHandler(log, nil)), Reloader{path, hup}) }()
	await := func(what string, n int) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); log.count(what) < n; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%q is not logged %d times", what, n)
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
		t.Fatalf("a wrong file took effect: %d", status)
	}
	write("2s", "256MiB", "1KiB")
	hup <- syscall.SIGHUP
	hup <- syscall.SIGHUP // during the first, or right after it
	await("reload.done", 2)
	if log.count("director[d1].memory: ") != 1 || log.count("poll.most_head: ") != 1 || log.count("reload.takes_restart") != 2 || log.count("service.route[read].slo: ") != 2 {
		t.Error(log.buf.String())
	}
	if status := ask(100); status != http.StatusOK {
		t.Error(status)
	}
	if status := ask(4000); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a head past the new limit: %d", status)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	told, b := "", make([]byte, 1000)
	for !strings.Contains(told, "STOPPING=1") {
		manager.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, err := manager.Read(b)
		if err != nil {
			t.Fatalf("the service manager was told %q: %v", told, err)
		}
		told += string(b[:n]) + "\n"
	}
	if !strings.HasPrefix(told, "READY=1") || strings.Count(told, "RELOADING=1\nMONOTONIC_USEC=") != 3 || strings.Count(told, "READY=1") != 4 {
		t.Errorf("the service manager was told %q", told)
	}
}
