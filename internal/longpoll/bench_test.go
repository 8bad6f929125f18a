package longpoll

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/loadshed"
	"vetchwood/internal/tables"
)

// netHTTPServer is the baseline of the benchmark: the same answers by net/http, with a goroutine per pending poll.
type netHTTPServer struct {
	mu      sync.Mutex
	doc     *tables.Document
	changed chan struct{}
}

func (p *netHTTPServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	held, _, _ := parseIfNoneMatch([]byte(r.Header.Get("If-None-Match")))
	wait, _ := parsePreferWait([]byte(r.Header.Get("Prefer")))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		p.mu.Lock()
		doc, changed := p.doc, p.changed
		var body []byte
		tag := doc.Tag()
		if len(held) == 0 || held[0] != tag {
			body = doc.JSON()
		}
		p.mu.Unlock()
		w.Header().Set("ETag", tag.ETag())
		w.Header().Set("Cache-Control", "no-store")
		if body != nil || wait == 0 {
			if body == nil {
				w.WriteHeader(http.StatusNotModified)
				return
			}
			w.Header().Set("Content-Type", tables.DocumentMediaType)
			w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (p *netHTTPServer) publish(d *tables.Document) {
	d.Tag()
	p.mu.Lock()
	p.doc = d
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
}

// minimalCore is a core with one current document and the polls that are pending for the next.
type minimalCore struct {
	mu      sync.Mutex
	tickets atomic.Uint64
	server  *Server
	doc     *tables.Document
	pending map[control.Ticket]any
}

func (s *minimalCore) Ticket() control.Ticket { return control.Ticket(s.tickets.Add(1)) }

// Poll answers immediately where it can, as a director does.
func (s *minimalCore) Poll(p control.Poll) (control.Answer, bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, answered := s.answer(p)
	return a, answered, 0
}

func (s *minimalCore) Admit(loadshed.Kind, string) time.Duration { return 0 }
func (s *minimalCore) Post(any)                                  {}

func (s *minimalCore) answer(p control.Poll) (control.Answer, bool) {
	a := control.Answer{Ticket: p.Ticket, Origin: p.Origin, Kind: control.Unchanged, Doc: s.doc}
	switch {
	case len(p.Held) == 0 || p.Held[0] != s.doc.Tag():
		a.Kind = control.Full
	case p.Wait > 0:
		s.pending[p.Ticket] = p.Origin
		return a, false
	}
	return a, true
}

func (s *minimalCore) publish(d *tables.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doc = d
	for t, from := range s.pending {
		s.server.Answer(control.Answer{Ticket: t, Origin: from, Kind: control.Full, Doc: d})
	}
	clear(s.pending)
}

// runServerProcess is the main function of the benchmark's server process. It runs the server of the given kind, prints
// its address, and then executes the commands that it reads: "tell" publishes a new document, "memory" prints the bytes
// of heap and stacks in use.
func runServerProcess(kind string) {
	doc := newDocument(1, 1)
	var publish func(*tables.Document)
	var address string
	if kind == "plain" {
		p := &netHTTPServer{doc: doc, changed: make(chan struct{})}
		doc.Tag()
		ln, _ := net.Listen("tcp", "127.0.0.1:0")
		go http.Serve(ln, p)
		address, publish = ln.Addr().String(), p.publish
	} else {
		s := &minimalCore{doc: doc, pending: map[control.Ticket]any{}}
		l := testLimits
		l.MaxWait, l.IdleTimeout = 600000, 10*time.Minute
		s.server, _ = Listen("127.0.0.1:0", s, l, slog.New(slog.DiscardHandler))
		go s.server.Serve()
		address, publish = s.server.Addr().String(), s.publish
	}
	fmt.Println(address)
	in := bufio.NewScanner(os.Stdin)
	step := tables.Step(1)
	for in.Scan() {
		switch in.Text() {
		case "tell":
			step++
			publish(newDocument(step, float64(step)))
			fmt.Println("told")
		case "memory":
			for range 3 {
				runtime.GC()
			}
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			fmt.Println(m.HeapInuse + m.StackInuse)
		}
	}
}

// serverProcess is the benchmark's handle of a server process.
type serverProcess struct {
	cmd     *exec.Cmd
	in      io.Writer
	out     *bufio.Reader
	address string
}

func startServerProcess(b *testing.B, kind string) *serverProcess {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "VETCHWOOD_TEST_SERVE="+kind)
	in, _ := c.StdinPipe()
	out, _ := c.StdoutPipe()
	c.Stderr = os.Stderr
	if err := c.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Process.Kill(); c.Wait() })
	s := &serverProcess{c, in, bufio.NewReader(out), ""}
	s.address = s.readLine(b)
	return s
}

func (s *serverProcess) readLine(b *testing.B) string {
	line, err := s.out.ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	return strings.TrimSpace(line)
}

func (s *serverProcess) command(b *testing.B, what string) string {
	io.WriteString(s.in, what+"\n")
	return s.readLine(b)
}

func (s *serverProcess) memory(b *testing.B) float64 {
	n, _ := strconv.ParseFloat(s.command(b, "memory"), 64)
	return n
}

func TestMain(m *testing.M) {
	if kind := os.Getenv("VETCHWOOD_TEST_SERVE"); kind != "" {
		runServerProcess(kind)
		return
	}
	os.Exit(m.Run())
}

// BenchmarkFronts compares both servers by the memory per pending poll, the time from a change until the last pending
// poll is answered, and the polls answered per second. VETCHWOOD_POLLS sets the number of pending polls.
func BenchmarkFronts(b *testing.B) {
	n := 1000
	if v, err := strconv.Atoi(os.Getenv("VETCHWOOD_POLLS")); err == nil {
		n = v
	}
	for _, kind := range []string{"plain", "netpoll"} {
		b.Run(fmt.Sprintf("%s/waiting=%d", kind, n), func(b *testing.B) {
			s := startServerProcess(b, kind)
			before := s.memory(b)
			conns := make([]net.Conn, n)
			readers := make([]*bufio.Reader, n)
			tag := newDocument(1, 1).Tag().ETag()
			for i := range conns {
				c, err := net.Dial("tcp", s.address)
				if err != nil {
					b.Fatal(err)
				}
				defer c.Close()
				conns[i], readers[i] = c, bufio.NewReader(c)
				fmt.Fprint(c, getRequest(fmt.Sprintf("/v1/proxies/p%d/tables", i), "Prefer: wait=600", "If-None-Match: "+tag))
			}
			time.Sleep(time.Second)
			each := (s.memory(b) - before) / float64(n)
			var last time.Duration
			rounds := 0
			for b.Loop() {
				began := time.Now()
				s.command(b, "tell")
				for i := range conns {
					res, err := http.ReadResponse(readers[i], nil)
					if err != nil {
						b.Fatal(err)
					}
					io.Copy(io.Discard, res.Body)
					tag = res.Header.Get("ETag")
				}
				last += time.Since(began)
				rounds++
				for i, c := range conns {
					fmt.Fprint(c, getRequest(fmt.Sprintf("/v1/proxies/p%d/tables", i), "Prefer: wait=600", "If-None-Match: "+tag))
				}
			}
			b.ReportMetric(float64(last.Microseconds())/float64(rounds)/1000, "ms-to-last")
			b.ReportMetric(each, "B/waiting")
		})
	}
	for _, kind := range []string{"plain", "netpoll"} {
		b.Run(kind+"/polls", func(b *testing.B) {
			s := startServerProcess(b, kind)
			tag := newDocument(1, 1).Tag().ETag()
			b.SetParallelism(16)
			b.RunParallel(func(pb *testing.PB) {
				c, err := net.Dial("tcp", s.address)
				if err != nil {
					b.Error(err)
					return
				}
				defer c.Close()
				in := bufio.NewReader(c)
				ask := getRequest("/v1/proxies/p/tables", "If-None-Match: "+tag)
				for pb.Next() {
					io.WriteString(c, ask)
					res, err := http.ReadResponse(in, nil)
					if err != nil {
						b.Error(err)
						return
					}
					io.Copy(io.Discard, res.Body)
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "polls/s")
		})
	}
}
