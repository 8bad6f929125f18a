package rehearse

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/exec"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/mattn/go-isatty"

	"vetchwood/internal/tables"
	"vetchwood/internal/verdict"
)

// Request selects the day to play and how to report on it.
type Request struct {
	Day     string
	JSON    bool
	KeepDir string // directory for settings, logs and stores; empty: a temporary one, removed if all rules were kept
	Listen  string
	Front   string // how proxies follow directors (poll, mqtt or mixed); empty: as the script says
	Out     io.Writer
	Log     *slog.Logger
	// Command returns the command that runs a director with a settings file; by default this program with `run`.
	Command func(file string) *exec.Cmd
}

// ErrRuleBroken reports that a rule was broken on the day that was played.
var ErrRuleBroken = errors.New("a rule was broken")

// Play starts the environment of a day, plays the day, and prints the verdict. If the context ends first, Play stops
// everything and returns the error of the context.
func Play(ctx context.Context, q Request) error {
	script, err := LoadScript(q.Day)
	if err != nil {
		return err
	}
	if q.Listen != "" {
		script.Listen = q.Listen
	}
	if q.Front != "" {
		script.Fleet.Front = q.Front
	}
	v, res, err := playScript(ctx, script, q)
	if err != nil || script.Length == 0 {
		return err
	}
	if q.JSON {
		enc := json.NewEncoder(q.Out)
		enc.SetIndent("", "  ")
		err = enc.Encode(struct {
			Day string `json:"day"`
			verdict.Verdict
			results
		}{q.Day, v, res})
	} else {
		err = printReport(q.Out, q.Day, v, res)
	}
	if err == nil && !v.Kept() {
		err = ErrRuleBroken
	}
	return err
}

// results are reported next to the verdict: maxima by the directors' own metrics, and the outcome of scripted
// operations.
type results struct {
	MaxQueuedLines float64          `json:"director_most_lines_waiting"`
	MaxMessages    float64          `json:"director_most_messages"`
	Folder         string           `json:"folder,omitempty"`
	Rollbacks      []RollbackResult `json:"rollbacks,omitempty"`
	Handovers      []Handover       `json:"handed,omitempty"`
	Storms         []StormResult    `json:"storms,omitempty"`
}

// playScript runs the day in a directory of its own and returns the verdict. The directory is kept if a rule was
// broken, an error occurred or KeepDir is set.
func playScript(ctx context.Context, script *Script, q Request) (v verdict.Verdict, res results, err error) {
	dir := q.KeepDir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "vetchwood-rehearsal-"); err != nil {
			return v, res, err
		}
		defer func() {
			if err == nil && v.Kept() {
				os.RemoveAll(dir)
			}
		}()
	} else if err = os.MkdirAll(dir, 0o700); err != nil {
		return v, res, err
	}
	command := q.Command
	if command == nil {
		command = func(file string) *exec.Cmd {
			self, err := os.Executable()
			if err != nil {
				self = os.Args[0]
			}
			return exec.Command(self, "--log-format=json", "run", file)
		}
	}
	// Log lines of the proxies about injected faults are expected and dropped. Directors log to files of their own.
	s, err := startEnvironment(ctx, script, dir, command, slog.New(slog.DiscardHandler))
	if err != nil {
		return v, res, err
	}
	reporter := newProgress(q, script, s)
	if script.Length == 0 {
		fmt.Fprintf(q.Out, "The director listens on http://%s, with metrics on http://%s/metrics. Try:\n\n"+
			"  curl -si http://%s/v1/proxies/relay-20/tables\n\nIt runs until a signal.\n",
			s.settings.Listen, s.settings.Admin, s.settings.Listen)
	}
	s.dayStart, s.startVersion = time.Now(), s.lowestVersion()
	from := s.now()
	day, end := ctx, context.CancelFunc(func() {})
	if script.Length > 0 {
		day, end = context.WithTimeout(ctx, script.Length)
	}
	defer end()
	for i := range s.proxies {
		s.pending.Add(1)
		go s.generateCalls(day, i)
	}
	failed := make(chan error, len(script.Faults))
	var faults sync.WaitGroup
	for _, t := range script.Faults {
		faults.Add(1)
		go func() {
			defer faults.Done()
			if err := s.injectFault(day, t, reporter.report); err != nil {
				failed <- fmt.Errorf("fault %s: %w", t.Kind, err)
			}
		}()
	}
	reporter.run(day)
	faults.Wait()
	until := s.now()
	s.awaitPendingCalls()
	s.stop()
	if ctx.Err() != nil {
		return v, res, ctx.Err()
	}
	select {
	case err = <-failed:
		return v, res, err
	default:
	}
	for _, d := range s.directors {
		res.MaxQueuedLines, res.MaxMessages = max(res.MaxQueuedLines, d.maxQueuedLines), max(res.MaxMessages, d.maxMessages)
	}
	res.Rollbacks, res.Handovers, res.Storms = s.rollbacks, s.measureHandovers(), s.storms
	if v = s.recorder.Judge(s.criteria(from, until)); !v.Kept() || q.KeepDir != "" {
		res.Folder = dir
	}
	return v, res, nil
}

// lowestVersion returns the newest version that every proxy has reached.
func (s *environment) lowestVersion() tables.Step {
	lowest := tables.Step(math.MaxUint64)
	for _, p := range s.proxies {
		lowest = min(lowest, p.Document().Step)
	}
	return lowest
}

// awaitPendingCalls waits for the calls in flight, for at most 5 s.
func (s *environment) awaitPendingCalls() {
	done := make(chan struct{})
	go func() { s.pending.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
	}
}

// criteria returns the criteria by which the period between two times is judged, taken from the directors' settings.
func (s *environment) criteria(from, until float64) verdict.Criteria {
	f := s.settings.Service.Config
	t := verdict.Criteria{Routes: map[string]tables.Route{}, LateShare: map[string]float64{}, Slices: f.Slices,
		EmptyTableLimit: float64(f.EmptyTableLimit), DrainGrace: float64(f.DrainGrace), WarmAfter: toDuration(f.WarmAfter), ColdCapacity: f.ColdCapacity,
		ColdOverloadLimit: f.ColdOverloadLimit, ColdFailAfter: toDuration(f.ColdFailAfter), QueueLimit: f.QueueLimit, MessageOverhead: f.MessageOverhead, MessageLimit: f.MessageLimit,
		MessageWindow: float64(f.MessageWindow), From: from, Until: until}
	for i, r := range s.settings.Service.Routes {
		t.Routes[r.Name], t.LateShare[r.Name] = r.Route, f.Routes[i].LateShare
	}
	return t
}

// progress reports the course of the day: a line for each event and, on a terminal, a status line twice per second.
type progress struct {
	out      io.Writer
	terminal bool
	quiet    bool
	mu       sync.Mutex
	recorder *verdict.Recorder
	started  time.Time
	length   time.Duration
}

func newProgress(q Request, script *Script, s *environment) *progress {
	f, file := q.Out.(*os.File)
	return &progress{out: q.Out, quiet: q.JSON, terminal: file && isatty.IsTerminal(f.Fd()), recorder: s.recorder, started: time.Now(),
		length: script.Length}
}

// report records an event of the day and prints it with the time since the start.
func (p *progress) report(what string) {
	p.recorder.AddAction(verdict.Action{Text: what})
	if p.quiet {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminal {
		fmt.Fprint(p.out, "\r\x1b[K")
	}
	fmt.Fprintf(p.out, "%6.1f s  %s\n", time.Since(p.started).Seconds(), what)
}

// run updates the status line until the context ends.
func (p *progress) run(ctx context.Context) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			if p.terminal && !p.quiet {
				fmt.Fprint(p.out, "\r\x1b[K")
			}
			return
		case <-tick.C:
			if !p.terminal || p.quiet || p.length == 0 {
				continue
			}
			calls, answered, throttled, step := p.recorder.Counts()
			p.mu.Lock()
			fmt.Fprintf(p.out, "\r\x1b[K%6.1f of %.0f s  calls %d  answered %.1f%%  throttled %d  version %d", time.Since(p.started).Seconds(),
				p.length.Seconds(), calls, 100*float64(answered)/float64(max(1, calls)), throttled, step)
			p.mu.Unlock()
		}
	}
}

// printReport prints the verdict and the results as text.
func printReport(out io.Writer, day string, v verdict.Verdict, res results) error {
	fmt.Fprintf(out, "\n%s: %s (stand-ins on one machine)\n\n", day, map[bool]string{true: "all rules kept", false: "A RULE WAS BROKEN"}[v.Kept()])
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "rule\tkept\tworst\tlimit\tunit\twhere")
	for _, r := range v.Rules {
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g\t%s\t%s\n", r.Name, map[bool]string{true: "yes", false: "NO"}[r.Kept], r.Worst, r.Limit, r.Unit, r.Where)
	}
	fmt.Fprintf(w, "no proxy sent backwards\t%s\t%d\t0\ttimes\t\n", map[bool]string{true: "yes", false: "NO"}[v.Regressions == 0], v.Regressions)
	fmt.Fprintln(w, "\t\t\t\t\t")
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "service %.3f (importance answered, with late answers counted in part, over importance requested), worst 10 s %.3f\n", v.Service, v.WorstTenSeconds)
	w = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for name, s := range v.ByRoute {
		fmt.Fprintf(w, "  route %s\t%.3f\n", name, s)
	}
	fmt.Fprintf(w, "calls\t%d\tanswered %d, throttled %d, dropped %d; %d tries\n", v.Calls, v.Answered, v.Throttled, v.Dropped, v.Tries)
	fmt.Fprintf(w, "answers\t%.0f ms\tmedian; 99th percentile %.0f ms\n", v.P50Ms, v.P99Ms)
	fmt.Fprintf(w, "versions seen\t%d\t%d deltas, %d whole documents; %d host lists delivered\n", v.Versions, v.Deltas, v.FullDocuments, v.HostLists)
	fmt.Fprintf(w, "lines queued\t%.0f\tat most, by the directors' own metrics; at most %.0f messages to one proxy in a message window\n", res.MaxQueuedLines, res.MaxMessages)
	for _, u := range res.Rollbacks {
		fmt.Fprintf(w, "rollback to version %d\t%d ms\tuntil the last of %d proxies held it; %d polls at most, %d lines not honoured\n", u.To,
			int(u.SlowestMs), u.Proxies, u.MostPolls, u.LinesNotHonoured)
	}
	for _, h := range res.Handovers {
		fmt.Fprintf(w, "%s %s\t%d slices\twithout an owner for at most %.0f ms; every proxy held the new owner's tables within %.0f ms\n",
			h.Fault, h.Director, h.Slices, h.LongestGapMs, h.PropagationMs)
	}
	for _, x := range res.Storms {
		fmt.Fprintf(w, "storm of %s\t%d requests\t%d answered, %d rejected, %d failed; 99th percentile %.0f ms in the worst second\n", x.Kind, x.Scheduled,
			x.Answered, x.Rejected, x.Failed, x.WorstP99Ms)
	}
	fmt.Fprintf(w, "hosts failed under load\t%d\t\n", v.Collapses)
	if res.Folder != "" {
		fmt.Fprintf(w, "files kept in\t%s\t\n", res.Folder)
	}
	return w.Flush()
}
