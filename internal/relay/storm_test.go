package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"vetchwood/internal/settings"
	"vetchwood/internal/tables"
)

// Half of the hosts take calls and answer nothing. What hosts see stays near the first tries, and once they are back
// all is answered within seconds. Without the budget each call is tried three times: the baseline.
func TestARetryStorm(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	play := func(more string) (multiple, after float64) {
		var silent atomic.Bool
		var seen atomic.Int64
		var hosts []string
		for i := range 4 {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				seen.Add(1)
				if silent.Load() && i < 2 {
					<-r.Context().Done()
				}
			})}
			go srv.Serve(ln)
			t.Cleanup(func() { srv.Close() })
			hosts = append(hosts, ln.Addr().String())
		}
		doc := document(1, 3, hosts...)
		doc.EjectAfterFailures = 0 // the budget alone, not the avoiding
		_, _, at := start(t, more, doc.Seal(3, 1, 2))
		silent.Store(true)
		calls := func(n int, every time.Duration) (answered int64) {
			var all sync.WaitGroup
			var good atomic.Int64
			for i := range n {
				all.Add(1)
				go func() {
					defer all.Done()
					if status, _ := ask(t, at, "repeatable", fmt.Sprint("s", i)); status == 200 {
						good.Add(1)
					}
				}()
				time.Sleep(every)
			}
			all.Wait()
			return good.Load()
		}
		const n = 400
		calls(n, 4*time.Millisecond)
		multiple = float64(seen.Load()) / n
		silent.Store(false)
		return multiple, float64(calls(100, 4*time.Millisecond)) / 100
	}
	with, after := play("")
	without, _ := play("# no budget")
	t.Logf("tries that hosts saw for each call: %.2f with the budget, %.2f without; answered once they are back: %.2f", with, without, after)
	// A fifth of the calls, twenty stored and one a second.
	if most := 1 + 0.2 + (20+4)/400.0 + 0.01; with > most {
		t.Errorf("%.2f tries a call, %.2f at most", with, most)
	}
	if without < with+0.15 {
		t.Errorf("the baseline makes %.2f tries a call: the storm is none", without)
	}
	if after < 0.99 {
		t.Errorf("%.2f answered after the hosts came back", after)
	}
}

// answerAll is a host that answers each call at once, with next to no work.
func answerAll(ln net.Listener, seen func()) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			in := bufio.NewReader(c)
			for {
				line, err := in.ReadSlice('\n')
				if err != nil {
					return
				}
				if len(line) == 2 {
					seen()
					if _, err := io.WriteString(c, answerOK); err != nil {
						return
					}
				}
			}
		}()
	}
}

// serveAs is another process: a host that answers at once, the library's reverse proxy, or ours.
func serveAs(kind string) {
	hosts := strings.Split(os.Getenv("VETCHWOOD_TEST_HOSTS"), ",")
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	switch kind {
	case "host":
		go answerAll(ln, func() {})
		fmt.Println(ln.Addr())
	case "library":
		to, _ := url.Parse("http://" + hosts[0])
		p := httputil.NewSingleHostReverseProxy(to)
		p.Transport = &http.Transport{MaxIdleConnsPerHost: 256}
		go http.Serve(ln, p)
		fmt.Println(ln.Addr())
	case "relay":
		ln.Close()
		doc := document(1, 1, hosts...)
		if w := os.Getenv("VETCHWOOD_TEST_WEIGHTS"); w != "" {
			for i, text := range strings.Split(w, ",") {
				doc.Tables["t"].Lines[tables.Address(hosts[i])], _ = strconv.ParseFloat(text, 64)
			}
			doc.PickPolicy = os.Getenv("VETCHWOOD_TEST_PICK")
			parsed, err := tables.Parse(mustJSON(fresh(doc)))
			if err != nil {
				panic(err)
			}
			doc = parsed
		}
		set, err := settings.ParseRelay("p.hcl", []byte(fmt.Sprintf("relay \"p\" {\n listen = \"127.0.0.1:0\"\n directors = [\"http://127.0.0.1:1\"]\n kept = %q\n}\nroute \"keyed\" { prefix = \"/\" }",
			os.Getenv("VETCHWOOD_TEST_KEPT"))))
		if err == nil {
			err = os.WriteFile(set.Kept, mustJSON(doc), 0o600)
		}
		var s *Relay
		if err == nil {
			s, err = New(set, Watch{}, slog.New(slog.DiscardHandler))
		}
		if err != nil {
			panic(err)
		}
		go s.Run(context.Background())
		for s.Held() == nil {
			time.Sleep(time.Millisecond)
		}
		fmt.Println(s.Addr())
	}
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		var u syscall.Rusage
		syscall.Getrusage(syscall.RUSAGE_SELF, &u)
		fmt.Println(u.Utime.Nano() + u.Stime.Nano())
	}
}

func fresh(d *tables.Document) *tables.Document {
	return d.Copy().Seal(3, 2, 2)
}

type other struct {
	in  io.Writer
	out *bufio.Reader
	at  string
}

func process(t testing.TB, kind string, env ...string) *other {
	c := exec.Command(os.Args[0])
	c.Env = append(append(os.Environ(), "VETCHWOOD_TEST_SERVE="+kind, "VETCHWOOD_TEST_KEPT="+t.TempDir()+"/kept.json"), env...)
	in, _ := c.StdinPipe()
	out, _ := c.StdoutPipe()
	c.Stderr = os.Stderr
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill(); c.Wait() })
	o := &other{in: in, out: bufio.NewReader(out)}
	o.at = o.line(t)
	return o
}

func (o *other) line(t testing.TB) string {
	line, err := o.out.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

func (o *other) cpu(t testing.TB) float64 {
	io.WriteString(o.in, "cpu\n")
	n, _ := strconv.ParseFloat(o.line(t), 64)
	return n / 1e9
}

func TestMain(m *testing.M) {
	if kind := os.Getenv("VETCHWOOD_TEST_SERVE"); kind != "" {
		serveAs(kind)
		return
	}
	os.Exit(m.Run())
}

const plainCall = "GET /a HTTP/1.1\r\nHost: h\r\nUser-Agent: u\r\nAccept: */*\r\n\r\n"

// load makes calls on so many connections and gives how long each took, in seconds, sorted.
func load(t testing.TB, at string, conns, calls int) []float64 {
	took := make([][]float64, conns)
	var all sync.WaitGroup
	for i := range conns {
		all.Add(1)
		go func() {
			defer all.Done()
			c, err := net.Dial("tcp", at)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			in := bufio.NewReader(c)
			for range calls / conns {
				began := time.Now()
				io.WriteString(c, plainCall)
				length := 0
				for {
					line, err := in.ReadSlice('\n')
					if err != nil {
						t.Error(err)
						return
					}
					if len(line) == 2 {
						break
					}
					if len(line) > 16 && strings.EqualFold(string(line[:16]), "Content-Length: ") {
						length, _ = strconv.Atoi(strings.TrimSpace(string(line[16:])))
					}
				}
				in.Discard(length)
				took[i] = append(took[i], time.Since(began).Seconds())
			}
		}()
	}
	all.Wait()
	var out []float64
	for _, x := range took {
		out = append(out, x...)
	}
	sort.Float64s(out)
	return out
}

// The proxy beside a direct connection and beside the library's reverse proxy: calls for each second of its CPU, and
// the time that it adds.
func BenchmarkProxies(b *testing.B) {
	host := process(b, "host")
	direct := load(b, host.at, 16, 40000)
	q := func(x []float64, p float64) float64 { return x[min(len(x)-1, int(p*float64(len(x))))] * 1e6 }
	for _, kind := range []string{"direct", "library", "relay"} {
		b.Run(kind, func(b *testing.B) {
			at, cpu := host.at, func() float64 { return 0 }
			if kind != "direct" {
				p := process(b, kind, "VETCHWOOD_TEST_HOSTS="+host.at)
				at, cpu = p.at, func() float64 { return p.cpu(b) }
			}
			load(b, at, 16, 4000)
			for b.Loop() {
				began, spent := time.Now(), cpu()
				took := load(b, at, 16, 40000)
				if used := cpu() - spent; used > 0 {
					b.ReportMetric(40000/used, "calls/cpu-s")
				}
				b.ReportMetric(40000/time.Since(began).Seconds(), "calls/s")
				for name, p := range map[string]float64{"p50": 0.5, "p99": 0.99, "p99.9": 0.999} {
					b.ReportMetric(q(took, p)-q(direct, p), "added-us-"+name)
				}
			}
		})
	}
}

// Over a million calls through sockets, shares match the table within one percent for each way of picking. Run with
// VETCHWOOD_CALLS=1000000; in CI fewer calls, and a bound of five standard deviations of what chance gives.
func TestSharesOverSockets(t *testing.T) {
	calls := 6000
	if n, err := strconv.Atoi(os.Getenv("VETCHWOOD_CALLS")); err == nil {
		calls = n
	}
	weights := []float64{1, 2, 3, 4, 0.5}
	for _, way := range []string{"lottery", "wheel", "pair"} {
		var seen [5]atomic.Int64
		var hosts []string
		for i := range weights {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			if i == 4 { // listed, and not to be reached: the others have its part between them
				hosts = append(hosts, ln.Addr().String())
				ln.Close()
				continue
			}
			t.Cleanup(func() { ln.Close() })
			go answerAll(ln, func() { seen[i].Add(1) })
			hosts = append(hosts, ln.Addr().String())
		}
		p := process(t, "relay", "VETCHWOOD_TEST_HOSTS="+strings.Join(hosts, ","), "VETCHWOOD_TEST_WEIGHTS=1,2,3,4,0.5", "VETCHWOOD_TEST_PICK="+way)
		// One call at a time on few connections: a pair has nothing in hand to choose by, and goes by weight alone.
		conns := 1
		if way != "pair" {
			conns = 8
		}
		load(t, p.at, conns, calls)
		total := 0.0
		for i := range 4 {
			total += float64(seen[i].Load())
		}
		worst := 0.0
		for i := range 4 {
			want := weights[i] / 10
			got := float64(seen[i].Load()) / total
			worst = max(worst, math.Abs(got/want-1))
			if far := 5 * math.Sqrt(want*(1-want)/total); math.Abs(got-want) > max(far, 0.002) {
				t.Errorf("%s: host %d got %.4f of %.0f calls, wanted %.4f", way, i, got, total, want)
			}
		}
		t.Logf("%s: %.0f calls, the worst share is off by %.2f%%", way, total, 100*worst)
		if calls >= 1e6 && worst > 0.01 {
			t.Errorf("%s: off by %.2f%%", way, 100*worst)
		}
	}
}
