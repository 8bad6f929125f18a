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

// Half of the hosts accept calls and send no response. The retry budget keeps the number of tries near the number of
// calls, and once the hosts respond again the calls are answered within seconds. In the baseline, without a budget, each
// call is tried up to three times.
func TestRetryStorm(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	run := func(extraSettings string) (multiple, after float64) {
		var isSilent atomic.Bool
		var tries atomic.Int64
		var hosts []string
		for i := range 4 {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				tries.Add(1)
				if isSilent.Load() && i < 2 {
					<-r.Context().Done()
				}
			})}
			go srv.Serve(ln)
			t.Cleanup(func() { srv.Close() })
			hosts = append(hosts, ln.Addr().String())
		}
		doc := newDocument(1, 3, hosts...)
		doc.EjectAfterFailures = 0 // only the retry budget is tested: hosts are not ejected
		_, _, address := startRelay(t, extraSettings, doc.Seal(3, 1, 2))
		isSilent.Store(true)
		calls := func(n int, interval time.Duration) (answered int64) {
			var wg sync.WaitGroup
			var succeeded atomic.Int64
			for i := range n {
				wg.Add(1)
				go func() {
					defer wg.Done()
					if status, _ := sendCall(t, address, "repeatable", fmt.Sprint("s", i)); status == 200 {
						succeeded.Add(1)
					}
				}()
				time.Sleep(interval)
			}
			wg.Wait()
			return succeeded.Load()
		}
		const n = 400
		calls(n, 4*time.Millisecond)
		multiple = float64(tries.Load()) / n
		isSilent.Store(false)
		return multiple, float64(calls(100, 4*time.Millisecond)) / 100
	}
	withBudget, after := run("")
	withoutBudget, _ := run("# no budget")
	t.Logf("tries per call at the hosts: %.2f with the budget, %.2f without; share answered after recovery: %.2f", withBudget, withoutBudget, after)
	// The budget permits retries for a fifth of the calls, and 20 stored ones and about one a second besides.
	if maxTries := 1 + 0.2 + (20+4)/400.0 + 0.01; withBudget > maxTries {
		t.Errorf("%.2f tries per call, want at most %.2f", withBudget, maxTries)
	}
	if withoutBudget < withBudget+0.15 {
		t.Errorf("the baseline makes only %.2f tries per call: there is no retry storm to compare with", withoutBudget)
	}
	if after < 0.99 {
		t.Errorf("share of calls answered after recovery: %.2f, want at least 0.99", after)
	}
}

// serveOK runs a host that responds to each call at once with minimal work, and calls seen for each.
func serveOK(ln net.Listener, seen func()) {
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
					if _, err := io.WriteString(c, responseOK); err != nil {
						return
					}
				}
			}
		}()
	}
}

// serveHelper runs in a helper process as a host that responds at once, as the standard library's reverse proxy or as
// this package's proxy. It prints its address, then its CPU time in nanoseconds for each line that it reads.
func serveHelper(kind string) {
	hosts := strings.Split(os.Getenv("VETCHWOOD_TEST_HOSTS"), ",")
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	switch kind {
	case "host":
		go serveOK(ln, func() {})
		fmt.Println(ln.Addr())
	case "library":
		to, _ := url.Parse("http://" + hosts[0])
		p := httputil.NewSingleHostReverseProxy(to)
		p.Transport = &http.Transport{MaxIdleConnsPerHost: 256}
		go http.Serve(ln, p)
		fmt.Println(ln.Addr())
	case "relay":
		ln.Close()
		doc := newDocument(1, 1, hosts...)
		if weights := os.Getenv("VETCHWOOD_TEST_WEIGHTS"); weights != "" {
			for i, text := range strings.Split(weights, ",") {
				doc.Tables["t"].Lines[tables.Address(hosts[i])], _ = strconv.ParseFloat(text, 64)
			}
			doc.PickPolicy = os.Getenv("VETCHWOOD_TEST_PICK")
			parsed, err := tables.Parse(documentJSON(resealed(doc)))
			if err != nil {
				panic(err)
			}
			doc = parsed
		}
		config, err := settings.ParseRelay("p.hcl", []byte(fmt.Sprintf("relay \"p\" {\n listen = \"127.0.0.1:0\"\n directors = [\"http://127.0.0.1:1\"]\n kept = %q\n}\nroute \"keyed\" { prefix = \"/\" }",
			os.Getenv("VETCHWOOD_TEST_KEPT"))))
		if err == nil {
			err = os.WriteFile(config.SnapshotPath, documentJSON(doc), 0o600)
		}
		var s *Relay
		if err == nil {
			s, err = New(config, Hooks{}, slog.New(slog.DiscardHandler))
		}
		if err != nil {
			panic(err)
		}
		go s.Run(context.Background())
		for s.Document() == nil {
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

// resealed returns a copy of the document under a new step.
func resealed(d *tables.Document) *tables.Document {
	return d.Copy().Seal(3, 2, 2)
}

// helperProcess is a process that runs serveHelper.
type helperProcess struct {
	in      io.Writer
	out     *bufio.Reader
	address string
}

// startHelper starts a helper process of the given kind and waits for its address.
func startHelper(t testing.TB, kind string, env ...string) *helperProcess {
	c := exec.Command(os.Args[0])
	c.Env = append(append(os.Environ(), "VETCHWOOD_TEST_SERVE="+kind, "VETCHWOOD_TEST_KEPT="+t.TempDir()+"/kept.json"), env...)
	in, _ := c.StdinPipe()
	out, _ := c.StdoutPipe()
	c.Stderr = os.Stderr
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill(); c.Wait() })
	o := &helperProcess{in: in, out: bufio.NewReader(out)}
	o.address = o.readLine(t)
	return o
}

func (o *helperProcess) readLine(t testing.TB) string {
	line, err := o.out.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

// cpuSeconds returns the CPU time that the process has used, in seconds.
func (o *helperProcess) cpuSeconds(t testing.TB) float64 {
	io.WriteString(o.in, "cpu\n")
	n, _ := strconv.ParseFloat(o.readLine(t), 64)
	return n / 1e9
}

func TestMain(m *testing.M) {
	if kind := os.Getenv("VETCHWOOD_TEST_SERVE"); kind != "" {
		serveHelper(kind)
		return
	}
	os.Exit(m.Run())
}

const plainRequest = "GET /a HTTP/1.1\r\nHost: h\r\nUser-Agent: u\r\nAccept: */*\r\n\r\n"

// generateLoad makes the calls over the given number of connections and returns the sorted latencies in seconds.
func generateLoad(t testing.TB, address string, conns, calls int) []float64 {
	latencies := make([][]float64, conns)
	var wg sync.WaitGroup
	for i := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			in := bufio.NewReader(c)
			for range calls / conns {
				start := time.Now()
				io.WriteString(c, plainRequest)
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
				latencies[i] = append(latencies[i], time.Since(start).Seconds())
			}
		}()
	}
	wg.Wait()
	var out []float64
	for _, x := range latencies {
		out = append(out, x...)
	}
	sort.Float64s(out)
	return out
}

// BenchmarkProxies compares the proxy with a direct connection and with the standard library's reverse proxy: calls per
// second of CPU time, and the latency added.
func BenchmarkProxies(b *testing.B) {
	host := startHelper(b, "host")
	direct := generateLoad(b, host.address, 16, 40000)
	quantileMicros := func(x []float64, p float64) float64 { return x[min(len(x)-1, int(p*float64(len(x))))] * 1e6 }
	for _, kind := range []string{"direct", "library", "relay"} {
		b.Run(kind, func(b *testing.B) {
			address, cpu := host.address, func() float64 { return 0 }
			if kind != "direct" {
				p := startHelper(b, kind, "VETCHWOOD_TEST_HOSTS="+host.address)
				address, cpu = p.address, func() float64 { return p.cpuSeconds(b) }
			}
			generateLoad(b, address, 16, 4000)
			for b.Loop() {
				start, cpuBefore := time.Now(), cpu()
				latencies := generateLoad(b, address, 16, 40000)
				if used := cpu() - cpuBefore; used > 0 {
					b.ReportMetric(40000/used, "calls/cpu-s")
				}
				b.ReportMetric(40000/time.Since(start).Seconds(), "calls/s")
				for name, p := range map[string]float64{"p50": 0.5, "p99": 0.99, "p99.9": 0.999} {
					b.ReportMetric(quantileMicros(latencies, p)-quantileMicros(direct, p), "added-us-"+name)
				}
			}
		})
	}
}

// With a million calls over sockets (VETCHWOOD_CALLS=1000000), the share of each host matches its weight within one
// percent for each pick policy. By default there are fewer calls, and the bound is five standard deviations of the
// random variation.
func TestSharesOverSockets(t *testing.T) {
	calls := 6000
	if n, err := strconv.Atoi(os.Getenv("VETCHWOOD_CALLS")); err == nil {
		calls = n
	}
	weights := []float64{1, 2, 3, 4, 0.5}
	for _, policy := range []string{"lottery", "wheel", "pair"} {
		var seen [5]atomic.Int64
		var hosts []string
		for i := range weights {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			if i == 4 { // listed but unreachable: the other hosts share its calls
				hosts = append(hosts, ln.Addr().String())
				ln.Close()
				continue
			}
			t.Cleanup(func() { ln.Close() })
			go serveOK(ln, func() { seen[i].Add(1) })
			hosts = append(hosts, ln.Addr().String())
		}
		proxy := startHelper(t, "relay", "VETCHWOOD_TEST_HOSTS="+strings.Join(hosts, ","), "VETCHWOOD_TEST_WEIGHTS=1,2,3,4,0.5", "VETCHWOOD_TEST_PICK="+policy)
		// With one connection there is one call at a time, so the pair policy sees no difference in calls in flight and
		// chooses by weight alone.
		conns := 1
		if policy != "pair" {
			conns = 8
		}
		generateLoad(t, proxy.address, conns, calls)
		total := 0.0
		for i := range 4 {
			total += float64(seen[i].Load())
		}
		worst := 0.0
		for i := range 4 {
			want := weights[i] / 10
			got := float64(seen[i].Load()) / total
			worst = max(worst, math.Abs(got/want-1))
			if tolerance := 5 * math.Sqrt(want*(1-want)/total); math.Abs(got-want) > max(tolerance, 0.002) {
				t.Errorf("%s: host %d got a share of %.4f of %.0f calls, want %.4f", policy, i, got, total, want)
			}
		}
		t.Logf("%s: %.0f calls, largest relative deviation of a share %.2f%%", policy, total, 100*worst)
		if calls >= 1e6 && worst > 0.01 {
			t.Errorf("%s: largest relative deviation of a share %.2f%%, want at most 1%%", policy, 100*worst)
		}
	}
}
