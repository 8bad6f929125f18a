package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The soak test repeatedly stops and restarts a director process while clients keep using their open connections. To
// run it with more seeds: VETCHWOOD_SOAK_SEEDS=50 go test ./internal/platform -run TestSoak -v
const (
	soakSeedsVariable  = "VETCHWOOD_SOAK_SEEDS"
	soakSeeds          = 6
	soakRuns           = 4 // starts of the director per seed
	soakParallelism    = 3
	soakClients        = 8
	soakUnjoinedConns  = 120
	killDelay          = 700 * time.Millisecond // the earliest that SIGKILL may follow SIGTERM
	readyTimeout       = 10 * time.Second
	answerTimeout      = 2 * time.Second
	exitTimeout        = 2 * time.Second
	resetChecks        = 20
	resetCheckInterval = 5 * time.Millisecond
)

// requestCounts counts client requests by outcome.
type requestCounts struct {
	answered, refused atomic.Int64
	unread            atomic.Int64 // connection reset: the director never read the request
	unanswered        atomic.Int64 // the request was read, and the connection closed without an answer
	late              atomic.Int64 // no answer in time on a connection that stays open
}

func (e *requestCounts) String() string {
	return fmt.Sprintf("%d answered, %d refused, %d unread, %d unanswered, %d late", e.answered.Load(), e.refused.Load(),
		e.unread.Load(), e.unanswered.Load(), e.late.Load())
}

// soak is a director process with stubs and clients.
type soak struct {
	*testEnv
	random  *rand.Rand
	process *exec.Cmd
	counts  requestCounts
	done    chan struct{}
}

func newSoak(t *testing.T, seed uint64) *soak {
	random := rand.New(rand.NewPCG(seed, seed))
	return &soak{random: random, done: make(chan struct{}), testEnv: newTestEnv(t)}
}

// startProcess starts the director process and waits until it answers.
func (s *soak) startProcess() {
	s.process = exec.Command(os.Args[0])
	// By default the race detector sleeps for a second when the process exits.
	s.process.Env = append(os.Environ(), directorProcessVariable+"=1", "GW_CONFIG="+s.configPath, "GORACE=atexit_sleep_ms=0")
	s.process.Stderr = s.log
	if err := s.process.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.within("an answer to a ping", readyTimeout, func() bool {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			return false
		}
		defer c.Close()
		return ping(c, bufio.NewReader(c)) == nil
	})
}

var (
	errRefused    = errors.New("refused")
	errUnexpected = errors.New("neither an answer nor a refusal")
)

// ping sends a ping and waits for the answer.
func ping(c net.Conn, r *bufio.Reader) error {
	if _, err := io.WriteString(c, `{"t":"ping"}`+"\n"); err != nil {
		return syscall.ECONNRESET // a request that could not be written was not read
	}
	c.SetReadDeadline(time.Now().Add(answerTimeout))
	line, err := r.ReadString('\n')
	switch {
	case err != nil:
		return err
	case line == `{"t":"pong"}`+"\n":
		return nil
	case line == `{"t":"refused"}`+"\n":
		return errRefused
	}
	return fmt.Errorf("%w: %q", errUnexpected, line)
}

// wasReset reports whether a reset follows the end of a connection, either at once or when the peer, which shut down
// its sending side first, closes. After a reset the last request was not read; without one it was.
func wasReset(c net.Conn) (reset bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	for range resetChecks {
		raw.Control(func(fd uintptr) {
			number, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
			reset = err == nil && number != 0
		})
		if reset {
			return true
		}
		time.Sleep(resetCheckInterval)
	}
	return false
}

// runClient sends requests on one connection until that ends. A hello line makes it the connection of a collector.
func (s *soak) runClient(hello string, pause time.Duration) {
	c, err := net.Dial("tcp", s.listen)
	if err != nil {
		time.Sleep(5 * time.Millisecond)
		return
	}
	defer c.Close()
	if hello != "" {
		io.WriteString(c, hello)
	}
	for r := bufio.NewReader(c); ; time.Sleep(pause) {
		select {
		case <-s.done:
			return
		default:
		}
		switch err := ping(c, r); {
		case err == nil:
			s.counts.answered.Add(1)
			continue
		case errors.Is(err, errRefused):
			s.counts.refused.Add(1)
		case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
			s.counts.unread.Add(1)
		case errors.Is(err, io.EOF) && wasReset(c):
			s.counts.unread.Add(1)
		case errors.Is(err, io.EOF):
			s.counts.unanswered.Add(1)
		default:
			s.counts.late.Add(1)
			s.t.Errorf("ping: %v", err)
		}
		return
	}
}

// startClients starts clients that use the director until the soak is done, and returns a function that waits for them.
// Three of them connect as collectors, whose connections last. The others do not join, so that the director closes
// their connections and they open new ones.
func (s *soak) startClients() (wait func()) {
	var all sync.WaitGroup
	for n := range soakClients {
		hello := ""
		if n < 3 {
			hello = `{"t":"collector","locality":"a"}` + "\n"
		}
		all.Go(func() {
			for {
				select {
				case <-s.done:
					return
				default:
					s.runClient(hello, time.Duration(n)*time.Millisecond/4)
				}
			}
		})
	}
	return all.Wait
}

// connectUnjoined opens connections that never join: they send nothing, half a line, or malformed data, and are not
// closed before the end of the test.
func (s *soak) connectUnjoined() {
	openings := []string{"", `{"t":"he`, "GET / HTTP/1.1\r\n\r\n", "\x00\xff\n", `{"t":"heard"}` + "\n"}
	for range soakUnjoinedConns {
		if c, err := net.Dial("tcp", s.listen); err == nil {
			io.WriteString(c, openings[s.random.IntN(len(openings))])
			s.t.Cleanup(func() { c.Close() })
		}
	}
}

// terminate sends the process a random series of signals with a SIGTERM, and SIGKILL killDelay after that. It fails the
// test if the process exits with an error or too late.
func (s *soak) terminate() {
	for range s.random.IntN(4) {
		s.process.Process.Signal(syscall.SIGHUP)
		time.Sleep(time.Duration(s.random.IntN(60)) * time.Millisecond)
	}
	s.process.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(killDelay, func() { s.process.Process.Kill() })
	defer kill.Stop()
	for range s.random.IntN(3) {
		time.Sleep(time.Duration(s.random.IntN(20)) * time.Millisecond)
		s.process.Process.Signal([]os.Signal{syscall.SIGHUP, syscall.SIGTERM}[s.random.IntN(2)])
	}
	ended := make(chan error, 1)
	go func() { ended <- s.process.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			s.t.Errorf("the director exited with %v after SIGTERM", err)
		}
	case <-time.After(exitTimeout):
		s.t.Errorf("the director was still running %v after SIGTERM", exitTimeout)
	}
}

// Each request that the director reads must be answered, on lasting and on new connections, under any sequence of
// signals and with many idle or malformed connections. Each start must answer within the ready timeout.
func TestSoak(t *testing.T) {
	seeds := soakSeeds
	if text := os.Getenv(soakSeedsVariable); text != "" {
		var err error
		if seeds, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	slots := make(chan struct{}, soakParallelism)
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runSoak(t, uint64(seed))
		})
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := newSoak(t, seed)
	withUnjoined := s.random.IntN(3) == 0
	s.startProcess()
	wait := s.startClients()
	for run := range soakRuns {
		if run > 0 {
			s.startProcess()
		}
		if withUnjoined {
			s.connectUnjoined()
		}
		time.Sleep(time.Duration(200+s.random.IntN(1000)) * time.Millisecond)
		s.terminate()
	}
	close(s.done)
	wait()
	t.Logf("seed %d, extra connections %v: %v", seed, withUnjoined, &s.counts)
	if lost := s.counts.unanswered.Load(); lost > 0 {
		t.Errorf("seed %d: %d requests were read and their connection closed with no answer", seed, lost)
	}
	if s.counts.answered.Load() < 100 {
		t.Errorf("seed %d: only %d requests were answered", seed, s.counts.answered.Load())
	}
}
