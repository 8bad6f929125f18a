package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
	"time"

	"vetchwood/internal/load"
	"vetchwood/internal/settings"
	"vetchwood/internal/standin"
	"vetchwood/internal/store"
)

func port(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// A stop amid a storm of polls, some of them new, some that acknowledge and some that wait: the director ends at once and well, what
// it told is stored, and it starts over from there while the storm goes on.
func TestStopAmidAStorm(t *testing.T) {
	registry, err := standin.NewRegistry("127.0.0.1:0", nil, func() float64 { return float64(time.Now().UnixMilli()) }, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer registry.Close()
	listen, path := port(t), filepath.Join(t.TempDir(), "d.db")
	s, err := settings.Parse("d.hcl", fmt.Appendf(nil, `
director "d1" {
  listen = %q
  store  = %q
  memory = "128MiB"
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
  consul  = %q
  service = "hosts"
}`, listen, path, registry.URL()))
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
