package rehearse

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/daemon"
	"vetchwood/internal/judge"
	"vetchwood/internal/operate"
	"vetchwood/internal/settings"
	"vetchwood/internal/store"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// The test binary is the director too, so that one can be killed like any process.
func TestMain(m *testing.M) {
	if file := os.Getenv("VETCHWOOD_TEST_DIRECTOR"); file != "" {
		if n, err := strconv.ParseUint(os.Getenv("VETCHWOOD_TEST_DISK"), 10, 64); err == nil {
			signal.Ignore(syscall.SIGXFSZ) // no file grows past this: as on a disk that is full
			syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: n, Max: n})
		}
		s, err := settings.Load(file)
		if err == nil {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
			defer stop()
			err = daemon.Run(ctx, s, slog.New(slog.NewJSONHandler(os.Stderr, nil)))
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func self(file string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "VETCHWOOD_TEST_DIRECTOR="+file)
	return c
}

func TestADayKeepsTheRules(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	err := Play(t.Context(), Request{Day: "short-day", JSON: true, Out: &out, Log: slog.New(slog.DiscardHandler), Command: self})
	var v judge.Verdict
	if wrong := json.Unmarshal(out.Bytes(), &v); err != nil || wrong != nil {
		t.Fatalf("%v, %v\n%s", err, wrong, out.Bytes())
	}
	if v.Calls < 500 || v.Steps < 5 || v.Deltas < 20 || v.Lists < 5 || len(v.Rules) != 6 {
		t.Fatalf("the day has seen too little to be a witness\n%s", out.Bytes())
	}
	if v.Service < 0.8 {
		t.Errorf("service %.3f", v.Service)
	}
}

// small raises a fleet with no load of its own.
func small(t *testing.T, hosts, proxies int) *stage {
	script, err := LoadScript("short-day")
	if err != nil {
		t.Fatal(err)
	}
	script.Fleet.Hosts, script.Fleet.Proxies, script.Fleet.ListDelay = hosts, proxies, 0
	s, err := raise(t.Context(), script, t.TempDir(), self, slog.New(slog.DiscardHandler))
	t.Cleanup(func() {
		if s != nil {
			s.lower()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *stage) stored() tables.Step {
	res, err := http.Get("http://" + s.running.Admin + "/metrics")
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	return tables.Step(metric(text, "vetchwood_version_stored"))
}

func (s *stage) highest() (step tables.Step) {
	s.book.Counts()
	for _, r := range s.proxies {
		if d := r.Document(); d != nil {
			step = max(step, d.Step)
		}
	}
	return step
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); !is(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// Killed while versions are on their way, at ten different moments (or as many as VETCHWOOD_KILLS says, drawn): whatever
// a proxy was told is stored, the start over goes on from there, and every proxy ends on what the director holds.
func TestKilledAtTenMoments(t *testing.T) {
	t.Parallel()
	s := small(t, 6, 3)
	kills, drawn := 10, rand.New(rand.NewPCG(5, 6))
	if n, err := strconv.Atoi(os.Getenv("VETCHWOOD_KILLS")); err == nil {
		kills = n
	}
	for round := range kills {
		// Each change of the list leads to versions; the kill comes at another point of their way.
		h := s.hosts[round%6]
		s.registry.State(h.id, logic.Draining)
		moment := time.Duration(20+35*round) * time.Millisecond
		if kills != 10 {
			moment = time.Duration(drawn.Float64() * 400 * float64(time.Millisecond))
		}
		time.Sleep(moment)
		s.killAndStartOver(t, func() { s.registry.State(h.id, logic.Up) })
	}
	v := s.book.Judge(s.terms(0, s.now()))
	if v.Backwards > 0 {
		t.Fatalf("%d times a proxy was sent backwards", v.Backwards)
	}
	if v.Deltas < kills {
		t.Fatalf("only %d differences: what was held was not known again", v.Deltas)
	}
}

func (s *stage) killAndStartOver(t *testing.T, meanwhile func()) {
	t.Helper()
	s.stopDirector(syscall.SIGKILL)
	told := s.highest()
	meanwhile()
	if err := s.startDirector(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the director serves again", func() bool {
		res, err := http.Get("http://" + s.running.Admin + "/readyz") // its opening version is stored
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
	if stored := s.stored(); stored <= told {
		t.Fatalf("version %d was told, the start over has %d", told, stored)
	}
	eventually(t, "all proxies are on one version", func() bool {
		step := s.stored()
		for _, r := range s.proxies {
			if r.Document().Step != step {
				return false
			}
		}
		return true
	})
	var v operate.Verified
	if err := s.operators().Get(t.Context(), "verify", &v); err != nil || len(v.Wrong) > 0 {
		t.Fatalf("%v, %v", err, v.Wrong)
	}
}

// The disk is full in mid-day: nothing is told that is not stored, proxies go on by what they hold, and with room again
// the director goes on where it was.
func TestAFullDisk(t *testing.T) {
	t.Parallel()
	script, err := LoadScript("short-day")
	if err != nil {
		t.Fatal(err)
	}
	script.Fleet.Hosts, script.Fleet.Proxies, script.Fleet.ListDelay = 6, 3, 0
	narrow := func(file string) *exec.Cmd {
		c := self(file)
		c.Env = append(c.Env, "VETCHWOOD_TEST_DISK=196608")
		return c
	}
	s, err := raise(t.Context(), script, t.TempDir(), narrow, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer s.lower()
	failing := func() bool {
		text, _ := os.ReadFile(s.logFile())
		return bytes.Contains(text, []byte("store.failed"))
	}
	for round := 0; !failing(); round++ {
		if round > 200 {
			t.Fatal("the disk never fills up")
		}
		s.registry.State(s.hosts[round%6].id, []logic.HostState{logic.Draining, logic.Up}[round/6%2])
		time.Sleep(60 * time.Millisecond)
	}
	for _, h := range s.hosts[:5] {
		s.registry.State(h.id, logic.Up)
	}
	time.Sleep(300 * time.Millisecond)
	if told, stored := s.highest(), s.stored(); told > stored {
		t.Fatalf("version %d is told, %d is stored", told, stored)
	}
	for _, p := range s.proxies {
		if d := p.Document(); d == nil || !full(d) {
			t.Fatal("a proxy has lost its tables")
		}
	}
	s.command = self
	s.killAndStartOver(t, func() {})
}

// A stop by signal ends within a moment, and the next start finds all.
func TestStoppedBySignal(t *testing.T) {
	t.Parallel()
	s := small(t, 4, 2)
	began, held := time.Now(), s.highest()
	s.stopDirector(syscall.SIGTERM)
	if took := time.Since(began); took > 3*time.Second {
		t.Fatalf("it took %v to stop", took)
	}
	text, err := os.ReadFile(s.logFile())
	if err != nil || !strings.Contains(string(text), "director.stopped") {
		t.Fatalf("%v: %s", err, text)
	}
	if err := s.startDirector(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the director serves again", func() bool { return s.stored() > held })
}

func TestScriptsThatAreWrong(t *testing.T) {
	text, err := days.ReadFile("days/short-day.hcl")
	if err != nil {
		t.Fatal(err)
	}
	for change, says := range map[string]string{
		`"die"|"laugh"`:                 `no trouble is called "laugh"`,
		`at    = "2s"|at = "20s"`:       "past the end of the day",
		`share = 0.72|share = 0.5`:      "add up to 0.780",
		`hosts = 1|hosts = 100`:         "100 is not between 1 and 8",
		`"director.hcl"|"nothing.hcl"`:  "no such file: nothing.hcl",
		`rise_over        = "2s"|rise=`: "Invalid expression",
		`batch = 1|part = 1`:            "knows no part",
	} {
		from, to, _ := strings.Cut(change, "|")
		_, err := read("d.hcl", []byte(strings.Replace(string(text), from, to, 1)), "")
		if err == nil || !strings.Contains(err.Error(), says) || !strings.HasPrefix(err.Error(), "d.hcl:") {
			t.Errorf("%s: %v, wanted one that says %s", change, err, says)
		}
	}
	if _, err := LoadScript("no-such-day"); err == nil {
		t.Error("no error")
	}
	for _, name := range []string{"bad-day", "demo", "short-day", "rollback"} {
		if _, err := LoadScript(name); err != nil {
			t.Error(err)
		}
	}
}

// An operator's way over the sockets: list, look at the difference, go back, see what is held, let go. What is not right
// gets an answer that says so.
func TestAnOperatorUndoesATable(t *testing.T) {
	t.Parallel()
	s := small(t, 6, 3)
	ask, ctx := s.operators(), t.Context()
	good := s.version()
	s.registry.State(s.hosts[0].id, logic.Draining)
	s.registry.State(s.hosts[1].id, logic.Draining)
	eventually(t, "tables change", func() bool { return s.version() > good })
	time.Sleep(700 * time.Millisecond)
	s.registry.State(s.hosts[0].id, logic.Up)
	s.registry.State(s.hosts[1].id, logic.Up)
	time.Sleep(300 * time.Millisecond)
	var all []store.Version
	if err := ask.Get(ctx, "versions?most=100", &all); err != nil || len(all) < 3 || all[0].Step <= good {
		t.Fatalf("%v: %+v", err, all)
	}
	var d operate.Difference
	if err := ask.Get(ctx, fmt.Sprintf("diff?from=%d&to=%d", good, all[0].Step), &d); err != nil || len(d.Lines)+len(d.Masked) == 0 {
		t.Fatalf("%v: %+v", err, d)
	}
	wish := operate.Wish{To: good, Since: all[0].Step + 1000, Who: "ann", Why: "wrong weights", Force: true}
	var o control.OperationResult
	if err := ask.Post(ctx, "rollback", wish, &o); err != nil || o.Version <= all[0].Step || len(o.Tables) != 64 {
		t.Fatalf("%v: %+v", err, o)
	}
	eventually(t, "all proxies hold it", func() bool { return s.version() >= o.Version })
	if err := ask.Get(ctx, fmt.Sprintf("diff?from=%d&to=%d", good, o.Version), &d); err != nil || len(d.Lines) > 0 {
		for _, l := range d.Lines { // a cold host's lines are lighter, and that is told
			if l.To == 0 || l.From == 0 {
				t.Fatalf("%v: %+v", err, d.Lines)
			}
		}
	}
	var pins, done control.OperationResult
	if err := ask.Get(ctx, "pins", &pins); err != nil || len(pins.Tables) != 64 || pins.Tables[0].Who != "ann" {
		t.Fatalf("%v: %+v", err, pins)
	}
	if err := ask.Post(ctx, "release", operate.Wish{Who: "ann", Why: "mended", Tables: []logic.TableID{3}}, &done); err != nil || len(done.Tables) != 1 {
		t.Fatalf("%v: %+v", err, done)
	}
	for path, says := range map[string]string{"versions/999999": "no such version", "versions/x": "no whole number", "diff?from=a&to=2": "from",
		"versions?most=-1": "most"} {
		if err := ask.Get(ctx, path, &all); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%s: %v", path, err)
		}
	}
	for says, w := range map[string]operate.Wish{"who and why": {To: good, Since: 1 << 60}, "an operator's": {To: good, Who: "bob", Why: "x", Since: 1},
		"no table 99": {To: good, Who: "bob", Why: "x", Tables: []logic.TableID{99}}, "no such version": {To: 999999, Who: "bob", Why: "x"}} {
		if err := ask.Post(ctx, "rollback", w, &o); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%+v: %v, wanted %s", w, err, says)
		}
	}
}
