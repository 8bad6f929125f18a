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
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/daemon"
	"vetchwood/internal/operator"
	"vetchwood/internal/pins"
	"vetchwood/internal/settings"
	"vetchwood/internal/store"
	"vetchwood/internal/tables"
	"vetchwood/internal/verdict"
	"vetchwood/logic"
)

// TestMain runs the test binary as a director if VETCHWOOD_TEST_DIRECTOR names a settings file, so that tests can kill
// directors as separate processes.
func TestMain(m *testing.M) {
	if file := os.Getenv("VETCHWOOD_TEST_DIRECTOR"); file != "" {
		if n, err := strconv.ParseUint(os.Getenv("VETCHWOOD_TEST_DISK"), 10, 64); err == nil {
			signal.Ignore(syscall.SIGXFSZ) // limits the size of files, to simulate a full disk
			syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: n, Max: n})
		}
		s, err := settings.LoadDirector(file)
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

// directorCommand returns the command that runs the test binary as a director.
func directorCommand(file string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "VETCHWOOD_TEST_DIRECTOR="+file)
	return c
}

func TestADayKeepsTheRules(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	err := Play(t.Context(), Request{Day: "short-day", JSON: true, Out: &out, Log: slog.New(slog.DiscardHandler), Command: directorCommand})
	var v verdict.Verdict
	if decodeErr := json.Unmarshal(out.Bytes(), &v); err != nil || decodeErr != nil {
		t.Fatalf("%v, %v\n%s", err, decodeErr, out.Bytes())
	}
	if v.Calls < 500 || v.Versions < 5 || v.Deltas < 20 || v.HostLists < 5 || len(v.Rules) != 6 {
		t.Fatalf("too few calls, versions, deltas or host lists for a meaningful verdict, or not 6 rules\n%s", out.Bytes())
	}
	if v.Service < 0.8 {
		t.Errorf("service %.3f", v.Service)
	}
}

// startFleet starts a fleet without load.
func startFleet(t *testing.T, hosts, proxies int) *environment {
	script, err := LoadScript("short-day")
	if err != nil {
		t.Fatal(err)
	}
	script.Fleet.Hosts, script.Fleet.Proxies, script.Fleet.ListDelay = hosts, proxies, 0
	s, err := startEnvironment(t.Context(), script, t.TempDir(), directorCommand, slog.New(slog.DiscardHandler))
	t.Cleanup(func() {
		if s != nil {
			s.stop()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// storedVersion returns the newest version that the director has stored, or 0 if it does not answer.
func (s *environment) storedVersion() tables.Step {
	res, err := http.Get("http://" + s.settings.Admin + "/metrics")
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	return tables.Step(parseMetric(text, "vetchwood_version_stored"))
}

// highestVersion returns the newest version that any proxy holds.
func (s *environment) highestVersion() (step tables.Step) {
	s.recorder.Counts()
	for _, r := range s.proxies {
		if d := r.Document(); d != nil {
			step = max(step, d.Step)
		}
	}
	return step
}

// eventually waits up to 15 s for a condition.
func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); !is(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 15 s: %s", what)
		}
	}
}

// Guards against the loss of versions when the director is killed while publishing. The kills come at ten fixed delays,
// or at as many random ones as VETCHWOOD_KILLS says. Every version that a proxy holds must be stored, the restart must
// continue after it, and all proxies must end on the director's version.
func TestKilledAtTenMoments(t *testing.T) {
	t.Parallel()
	s := startFleet(t, 6, 3)
	kills, random := 10, rand.New(rand.NewPCG(5, 6))
	if n, err := strconv.Atoi(os.Getenv("VETCHWOOD_KILLS")); err == nil {
		kills = n
	}
	for round := range kills {
		// Each change of the host list leads to new versions; each kill interrupts their publication at another point.
		h := s.hosts[round%6]
		s.registry.SetState(h.id, logic.Draining)
		delay := time.Duration(20+35*round) * time.Millisecond
		if kills != 10 {
			delay = time.Duration(random.Float64() * 400 * float64(time.Millisecond))
		}
		time.Sleep(delay)
		s.killAndRestart(t, func() { s.registry.SetState(h.id, logic.Up) })
	}
	v := s.recorder.Judge(s.criteria(0, s.now()))
	if v.Regressions > 0 {
		t.Fatalf("proxies went back to older versions %d times", v.Regressions)
	}
	if v.Deltas < kills {
		t.Fatalf("only %d deltas: the restarted director did not recognize the versions that proxies held", v.Deltas)
	}
}

// killAndRestart kills the director, calls meanwhile, starts the director again, and checks that it continues after the
// newest version held by a proxy, that all proxies reach its version, and that its stored versions verify.
func (s *environment) killAndRestart(t *testing.T, meanwhile func()) {
	t.Helper()
	s.stopDirector(syscall.SIGKILL)
	held := s.highestVersion()
	meanwhile()
	if err := s.startDirector(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the director serves again", func() bool {
		res, err := http.Get("http://" + s.settings.Admin + "/readyz") // ready once its first version is stored
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
	if stored := s.storedVersion(); stored <= held {
		t.Fatalf("proxies held version %d, but the restarted director is at %d", held, stored)
	}
	eventually(t, "all proxies hold the stored version", func() bool {
		step := s.storedVersion()
		for _, r := range s.proxies {
			if r.Document().Step != step {
				return false
			}
		}
		return true
	})
	var v operator.VerifyResult
	if err := s.operatorClient().Get(t.Context(), "verify", &v); err != nil || len(v.Faults) > 0 {
		t.Fatalf("%v, %v", err, v.Faults)
	}
}

// Guards against the publication of versions that could not be stored because the disk is full. Proxies must keep their
// tables, and the director must continue from the stored version once it has space again.
func TestAFullDisk(t *testing.T) {
	t.Parallel()
	script, err := LoadScript("short-day")
	if err != nil {
		t.Fatal(err)
	}
	script.Fleet.Hosts, script.Fleet.Proxies, script.Fleet.ListDelay = 6, 3, 0
	limited := func(file string) *exec.Cmd {
		c := directorCommand(file)
		c.Env = append(c.Env, "VETCHWOOD_TEST_DISK=196608")
		return c
	}
	s, err := startEnvironment(t.Context(), script, t.TempDir(), limited, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer s.stop()
	failing := func() bool {
		text, _ := os.ReadFile(s.directorLog())
		return bytes.Contains(text, []byte("store.failed"))
	}
	for round := 0; !failing(); round++ {
		if round > 200 {
			t.Fatal("no store.failed event after 200 changes of hosts")
		}
		s.registry.SetState(s.hosts[round%6].id, []logic.HostState{logic.Draining, logic.Up}[round/6%2])
		time.Sleep(60 * time.Millisecond)
	}
	for _, h := range s.hosts[:5] {
		s.registry.SetState(h.id, logic.Up)
	}
	time.Sleep(300 * time.Millisecond)
	if held, stored := s.highestVersion(), s.storedVersion(); held > stored {
		t.Fatalf("a proxy holds version %d, but only %d is stored", held, stored)
	}
	for _, p := range s.proxies {
		if d := p.Document(); d == nil || !allTablesHaveLines(d) {
			t.Fatal("a proxy lost its tables or their lines")
		}
	}
	s.command = directorCommand
	s.killAndRestart(t, func() {})
}

// Guards against a slow or unlogged stop by SIGTERM (limit 3 s), and against the loss of state until the next start.
func TestStoppedBySignal(t *testing.T) {
	t.Parallel()
	s := startFleet(t, 4, 2)
	began, held := time.Now(), s.highestVersion()
	s.stopDirector(syscall.SIGTERM)
	if took := time.Since(began); took > 3*time.Second {
		t.Fatalf("the stop took %v; the limit is 3 s", took)
	}
	text, err := os.ReadFile(s.directorLog())
	if err != nil || !strings.Contains(string(text), "director.stopped") {
		t.Fatalf("no director.stopped event (%v) in the log: %s", err, text)
	}
	if err := s.startDirector(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the director serves again", func() bool { return s.storedVersion() > held })
}

func TestScriptsThatAreWrong(t *testing.T) {
	text, err := days.ReadFile("days/short-day.hcl")
	if err != nil {
		t.Fatal(err)
	}
	for change, message := range map[string]string{
		`"die"|"laugh"`:                 `unknown kind of trouble "laugh"`,
		`at    = "2s"|at = "20s"`:       "past the end of the day",
		`share = 0.72|share = 0.5`:      "add up to 0.780",
		`hosts = 1|hosts = 100`:         "100 is not between 1 and 8",
		`"director.hcl"|"nothing.hcl"`:  "no such file: nothing.hcl",
		`rise_over        = "2s"|rise=`: "Invalid expression",
		`batch = 1|part = 1`:            "knows no part",
	} {
		from, to, _ := strings.Cut(change, "|")
		_, err := parseScript("d.hcl", []byte(strings.Replace(string(text), from, to, 1)), "")
		if err == nil || !strings.Contains(err.Error(), message) || !strings.HasPrefix(err.Error(), "d.hcl:") {
			t.Errorf("%s: error %v, want one with %q", change, err, message)
		}
	}
	if _, err := LoadScript("no-such-day"); err == nil {
		t.Error("no error for an unknown day")
	}
	for _, name := range []string{"bad-day", "demo", "short-day", "rollback"} {
		if _, err := LoadScript(name); err != nil {
			t.Error(err)
		}
	}
}

// reportsAddedLine reports whether an operation says of a line that it added it, since its table had no warm host left.
func reportsAddedLine(o control.OperationResult, l operator.LineChange) bool {
	added := pins.Deviation{Host: l.Host, Reason: "added: no warm host was left"}
	return slices.ContainsFunc(o.Tables, func(p control.PinnedTable) bool {
		return fmt.Sprint(p.Table) == l.Table && slices.Contains(p.Deviations, added)
	})
}

// Exercises the operator API over sockets: list versions, show a difference, roll back, list pins, release a pin.
// Invalid requests must be answered with an error that names the cause.
func TestAnOperatorUndoesATable(t *testing.T) {
	t.Parallel()
	s := startFleet(t, 6, 3)
	client, ctx := s.operatorClient(), t.Context()
	good := s.lowestVersion()
	s.registry.SetState(s.hosts[0].id, logic.Draining)
	s.registry.SetState(s.hosts[1].id, logic.Draining)
	eventually(t, "tables change", func() bool { return s.lowestVersion() > good })
	time.Sleep(700 * time.Millisecond)
	s.registry.SetState(s.hosts[0].id, logic.Up)
	s.registry.SetState(s.hosts[1].id, logic.Up)
	time.Sleep(300 * time.Millisecond)
	var all []store.Version
	if err := client.Get(ctx, "versions?most=100", &all); err != nil || len(all) < 3 || all[0].Step <= good {
		t.Fatalf("%v: %+v", err, all)
	}
	var d operator.Difference
	if err := client.Get(ctx, fmt.Sprintf("diff?from=%d&to=%d", good, all[0].Step), &d); err != nil || len(d.Lines)+len(d.Masked) == 0 {
		t.Fatalf("%v: %+v", err, d)
	}
	rollback := operator.Request{To: good, LastSeen: all[0].Step + 1000, Who: "ann", Why: "wrong weights", Force: true}
	var o control.OperationResult
	if err := client.Post(ctx, "rollback", rollback, &o); err != nil || o.Version <= all[0].Step || len(o.Tables) != 64 {
		t.Fatalf("%v: %+v", err, o)
	}
	eventually(t, "all proxies hold the version of the rollback", func() bool { return s.lowestVersion() >= o.Version })
	if err := client.Get(ctx, fmt.Sprintf("diff?from=%d&to=%d", good, o.Version), &d); err != nil || len(d.Lines) > 0 {
		for _, l := range d.Lines { // lines of a cold host may have lower weights; no line may vanish or appear unreported
			if l.To == 0 || l.From == 0 && !reportsAddedLine(o, l) {
				t.Fatalf("%v: %+v", err, d.Lines)
			}
		}
	}
	var pins, done control.OperationResult
	if err := client.Get(ctx, "pins", &pins); err != nil || len(pins.Tables) != 64 || pins.Tables[0].Who != "ann" {
		t.Fatalf("%v: %+v", err, pins)
	}
	if err := client.Post(ctx, "release", operator.Request{Who: "ann", Why: "mended", Tables: []logic.TableID{3}}, &done); err != nil || len(done.Tables) != 1 {
		t.Fatalf("%v: %+v", err, done)
	}
	for path, message := range map[string]string{"versions/999999": "no such version", "versions/x": "no whole number", "diff?from=a&to=2": "from",
		"versions?most=-1": "most"} {
		if err := client.Get(ctx, path, &all); err == nil || !strings.Contains(err.Error(), message) {
			t.Errorf("%s: error %v does not contain the expected text", path, err)
		}
	}
	for message, w := range map[string]operator.Request{"who and why": {To: good, LastSeen: 1 << 60}, "an operator's": {To: good, Who: "bob", Why: "x", LastSeen: 1},
		"no table 99": {To: good, Who: "bob", Why: "x", Tables: []logic.TableID{99}}, "no such version": {To: 999999, Who: "bob", Why: "x"}} {
		if err := client.Post(ctx, "rollback", w, &o); err == nil || !strings.Contains(err.Error(), message) {
			t.Errorf("%+v: error %v, want one with %q", w, err, message)
		}
	}
}
