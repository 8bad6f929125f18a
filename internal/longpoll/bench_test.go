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
	"vetchwood/internal/inflow"
	"vetchwood/internal/tables"
)

// The plain baseline: the same answers by net/http, a goroutine for each poll that waits.
type plain struct {
	mu      sync.Mutex
	doc     *tables.Document
	changed chan struct{}
}

func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	held, _, _ := entityTags([]byte(r.Header.Get("If-None-Match")))
	wait, _ := preferredWait([]byte(r.Header.Get("Prefer")))
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

func (p *plain) tell(d *tables.Document) {
	d.Tag()
	p.mu.Lock()
	p.doc = d
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
}

// shelf is the smallest core for the front: the newest document, and the polls that wait for it.
type shelf struct {
	mu      sync.Mutex
	tickets atomic.Uint64
	front   *Server
	doc     *tables.Document
	waits   map[control.Ticket]any
}

func (s *shelf) Ticket() control.Ticket { return control.Ticket(s.tickets.Add(1)) }

// Poll answers at once where it can, as a director's lots do.
func (s *shelf) Poll(p control.Poll) (control.Answer, bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, answered := s.answer(p)
	return a, answered, 0
}

func (s *shelf) Admit(inflow.Kind, string) time.Duration { return 0 }
func (s *shelf) Post(any)                                {}

func (s *shelf) answer(p control.Poll) (control.Answer, bool) {
	a := control.Answer{Ticket: p.Ticket, To: p.From, Kind: control.Unchanged, Doc: s.doc}
	switch {
	case len(p.Held) == 0 || p.Held[0] != s.doc.Tag():
		a.Kind = control.Whole
	case p.Wait > 0:
		s.waits[p.Ticket] = p.From
		return a, false
	}
	return a, true
}

func (s *shelf) tell(d *tables.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doc = d
	for t, from := range s.waits {
		s.front.Answer(control.Answer{Ticket: t, To: from, Kind: control.Whole, Doc: d})
	}
	clear(s.waits)
}

// serveFor is the other process of the comparison: it serves by one of the two, and tells what it costs.
func serveFor(kind string) {
	doc := document(1, 1)
	var tell func(*tables.Document)
	var at string
	if kind == "plain" {
		p := &plain{doc: doc, changed: make(chan struct{})}
		doc.Tag()
		ln, _ := net.Listen("tcp", "127.0.0.1:0")
		go http.Serve(ln, p)
		at, tell = ln.Addr().String(), p.tell
	} else {
		s := &shelf{doc: doc, waits: map[control.Ticket]any{}}
		l := limits
		l.LongestWait, l.Idle = 600000, 10*time.Minute
		s.front, _ = Listen("127.0.0.1:0", s, l, slog.New(slog.DiscardHandler))
		go s.front.Serve()
		at, tell = s.front.Addr().String(), s.tell
	}
	fmt.Println(at)
	in := bufio.NewScanner(os.Stdin)
	step := tables.Step(1)
	for in.Scan() {
		switch in.Text() {
		case "tell":
			step++
			tell(document(step, float64(step)))
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

type server struct {
	cmd *exec.Cmd
	in  io.Writer
	out *bufio.Reader
	at  string
}

func serve(b *testing.B, kind string) *server {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "VETCHWOOD_TEST_SERVE="+kind)
	in, _ := c.StdinPipe()
	out, _ := c.StdoutPipe()
	c.Stderr = os.Stderr
	if err := c.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Process.Kill(); c.Wait() })
	s := &server{c, in, bufio.NewReader(out), ""}
	s.at = s.read(b)
	return s
}

func (s *server) read(b *testing.B) string {
	line, err := s.out.ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	return strings.TrimSpace(line)
}

func (s *server) ask(b *testing.B, what string) string {
	io.WriteString(s.in, what+"\n")
	return s.read(b)
}

func (s *server) memory(b *testing.B) float64 {
	n, _ := strconv.ParseFloat(s.ask(b, "memory"), 64)
	return n
}

func TestMain(m *testing.M) {
	if kind := os.Getenv("VETCHWOOD_TEST_SERVE"); kind != "" {
		serveFor(kind)
		return
	}
	os.Exit(m.Run())
}

// Both fronts side by side: memory for each poll that waits, the time from a change to the last proxy that waits,
// and polls answered a second. VETCHWOOD_POLLS sets how many wait.
func BenchmarkFronts(b *testing.B) {
	n := 1000
	if v, err := strconv.Atoi(os.Getenv("VETCHWOOD_POLLS")); err == nil {
		n = v
	}
	for _, kind := range []string{"plain", "netpoll"} {
		b.Run(fmt.Sprintf("%s/waiting=%d", kind, n), func(b *testing.B) {
			s := serve(b, kind)
			before := s.memory(b)
			conns := make([]net.Conn, n)
			readers := make([]*bufio.Reader, n)
			tag := document(1, 1).Tag().ETag()
			for i := range conns {
				c, err := net.Dial("tcp", s.at)
				if err != nil {
					b.Fatal(err)
				}
				defer c.Close()
				conns[i], readers[i] = c, bufio.NewReader(c)
				fmt.Fprint(c, get(fmt.Sprintf("/v1/proxies/p%d/tables", i), "Prefer: wait=600", "If-None-Match: "+tag))
			}
			time.Sleep(time.Second)
			each := (s.memory(b) - before) / float64(n)
			var last time.Duration
			rounds := 0
			for b.Loop() {
				began := time.Now()
				s.ask(b, "tell")
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
					fmt.Fprint(c, get(fmt.Sprintf("/v1/proxies/p%d/tables", i), "Prefer: wait=600", "If-None-Match: "+tag))
				}
			}
			b.ReportMetric(float64(last.Microseconds())/float64(rounds)/1000, "ms-to-last")
			b.ReportMetric(each, "B/waiting")
		})
	}
	for _, kind := range []string{"plain", "netpoll"} {
		b.Run(kind+"/polls", func(b *testing.B) {
			s := serve(b, kind)
			tag := document(1, 1).Tag().ETag()
			b.SetParallelism(16)
			b.RunParallel(func(pb *testing.PB) {
				c, err := net.Dial("tcp", s.at)
				if err != nil {
					b.Error(err)
					return
				}
				defer c.Close()
				in := bufio.NewReader(c)
				ask := get("/v1/proxies/p/tables", "If-None-Match: "+tag)
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
