// Command cases2 plays the cases 6 to 10 of the second independent review. Each case starts the project's own programs
// as separate processes and judges what clients and hosts see.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"

	"vetchwood/internal/orca"
	"vetchwood/internal/standin"
	"vetchwood/logic"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest is the longest time that a case runs.
const longest = 110 * time.Second

// run is one run of a case.
type run struct {
	trouble bool // the disruption is played
	program string
	dir     string // temporary folder
	start   time.Time
	// descriptors limits the descriptors of the processes that are started, if it is not 0.
	descriptors int

	mu     sync.Mutex
	record *os.File
	procs  []*process
	closed []func()
	broken int
}

// process is a process that the case started.
type process struct {
	*exec.Cmd
	name   string
	ending bool // the case has told it to end
	exited chan struct{}
}

// notRun ends a case that could not run.
type notRun struct{ error }

func failf(format string, args ...any) { panic(notRun{fmt.Errorf(format, args...)}) }

func must(err error) {
	if err != nil {
		failf("%w", err)
	}
}

func (r *run) now() float64 { return float64(time.Since(r.start).Microseconds()) / 1000 }

// notef writes a line with the time since the start to the record.
func (r *run) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.1f ms  %s\n", r.now(), fmt.Sprintf(format, args...))
}

// brokenf records that the rule was broken.
func (r *run) brokenf(format string, args ...any) {
	r.notef("RULE BROKEN: "+format, args...)
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
}

// launch starts vetchwood with a command line; its log goes to the temporary folder.
func (r *run) launch(name string, args ...string) *process {
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	must(err)
	defer log.Close()
	command := append([]string{r.program}, args...)
	if r.descriptors > 0 {
		command = append([]string{"bash", "-c", fmt.Sprintf("ulimit -n %d; exec \"$@\"", r.descriptors), "bash"}, command...)
	}
	p := &process{Cmd: exec.Command(command[0], command[1:]...), name: name, exited: make(chan struct{})}
	p.Stdout, p.Stderr, p.Dir = log, log, r.dir
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(p.Start())
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	r.notef("started %s", name)
	go func() { p.Wait(); close(p.exited) }()
	return p
}

func (r *run) signal(p *process, s syscall.Signal) {
	r.notef("signal %v to %s", s, p.name)
	p.ending = true
	must(p.Process.Signal(s))
}

// onClose registers what ends with the case.
func (r *run) onClose(f func()) { r.closed = append(r.closed, f) }

// died returns the names of the processes that have ended without being told to. A case with any says nothing.
func (r *run) died() (names []string) {
	for _, p := range r.procs {
		select {
		case <-p.exited:
			if !p.ending {
				names = append(names, p.name)
			}
		default:
		}
	}
	return names
}

func (r *run) close() {
	for _, p := range r.procs {
		p.Process.Signal(syscall.SIGCONT)
		p.Process.Kill()
		<-p.exited
	}
	for _, f := range r.closed {
		f()
	}
}

// given holds the ports that freeAddress has returned.
var given = map[int]bool{}

// freeAddress returns a free loopback address. Its port is below those that the system gives to outgoing connections, so
// that none takes it before it is listened on.
func freeAddress() string {
	for range 1000 {
		port := 10000 + rand.IntN(22000)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			ln.Close()
			if !given[port] {
				given[port] = true
				return ln.Addr().String()
			}
		}
	}
	failf("no free port")
	return ""
}

func (r *run) write(name, text string) string {
	path := filepath.Join(r.dir, name)
	must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// await waits until f is true.
func (r *run) await(what string, limit time.Duration, f func() bool) {
	for end := time.Now().Add(limit); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			failf("%s: not within %v", what, limit)
		}
	}
}

func statusOf(url string) int {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get(url)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, res.Body)
	res.Body.Close()
	return res.StatusCode
}

// roster starts the project's stand-in of discovery.
func (r *run) roster() *standin.Registry {
	reg, err := standin.NewRegistry("127.0.0.1:0", nil, func() float64 { return float64(time.Now().UnixMilli()) }, 0)
	must(err)
	r.onClose(reg.Close)
	return reg
}

// host is a stand-in for a host. It takes calls, works for some time and answers.
type host struct {
	id, addr string
	work     time.Duration
	onCall   func(*host, *http.Request) // before the work
	onDone   func(*host, *http.Request) // after the work, before the answer
	srv      *http.Server
}

func (r *run) newHost(id string) *host {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	h := &host{id: id, addr: ln.Addr().String()}
	h.srv = &http.Server{Handler: h}
	go h.srv.Serve(ln)
	r.onClose(func() { h.srv.Close() })
	return h
}

func (h *host) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	busy, rate := 0.1, 10.0
	w.Header().Set(orca.Header, orca.Format(logic.Load{Utilization: &busy, Throughput: &rate}))
	io.Copy(io.Discard, q.Body)
	if h.onCall != nil {
		h.onCall(h, q)
	}
	select {
	case <-time.After(h.work):
	case <-q.Context().Done(): // the caller has gone
		return
	}
	if h.onDone != nil {
		h.onDone(h, q)
	}
	fmt.Fprintf(w, "%s %s", h.id, q.Header.Get("X-Call"))
}

// call sends a request with net/http, which is not repeated by the library.
func call(ctx context.Context, c *http.Client, method, url string, header map[string]string) (status int, body string, err error) {
	q, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return 0, "", err
	}
	for k, v := range header {
		q.Header[k] = []string{v}
	}
	res, err := c.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

// The processes that a case starts end with the thread that started them, so that is the main one.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) (status int) {
	f, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	exe, err := os.Executable()
	if err != nil {
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "case-"+name+"-")
	if err != nil {
		return exitNotRun
	}
	if keep, _ := strconv.ParseBool(os.Getenv("KEEP")); keep {
		fmt.Println("kept:", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return exitNotRun
	}
	defer record.Close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { // the processes end with this one
		select {
		case <-stop:
		case <-time.After(longest):
			fmt.Println("could not run: not ended within", longest)
		}
		os.RemoveAll(dir)
		os.Exit(exitNotRun)
	}()
	r := &run{trouble: os.Getenv("TROUBLE") != "0", program: filepath.Join(filepath.Dir(exe), "vetchwood"), dir: dir, start: time.Now(), record: record}
	r.notef("case %s, TROUBLE=%v", name, r.trouble)
	defer func() {
		died := r.died()
		r.close()
		if x := recover(); x != nil {
			var reason notRun
			if err, ok := x.(error); ok && errors.As(err, &reason) {
				r.notef("could not run: %v", reason.error)
				fmt.Println("could not run:", reason.error)
				status = exitNotRun
				return
			}
			panic(x)
		}
		if len(died) > 0 {
			r.notef("could not run: %v ended by themselves", died)
			fmt.Println("could not run:", died, "ended by themselves")
			status = exitNotRun
			return
		}
		fmt.Printf("case %s, TROUBLE=%v: broken %d times\n", name, r.trouble, r.broken)
		r.notef("end: broken %d times", r.broken)
		if status = exitHeld; r.broken > 0 {
			status = exitBroken
		}
	}()
	f(r)
	return status
}
