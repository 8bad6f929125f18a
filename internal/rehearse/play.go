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

	"vetchwood/internal/judge"
	"vetchwood/internal/tables"
)

// Request is what to play and how to tell of it.
type Request struct {
	Day     string
	JSON    bool
	KeepDir string // folder; empty: a temporary one, removed unless a rule broke
	Listen  string
	Front   string // by which proxies follow, in place of the day's own
	Out     io.Writer
	Log     *slog.Logger
	// Command starts a director with a file; by default this program's own `run`.
	Command func(file string) *exec.Cmd
}

// ErrRule says that a rule was broken.
var ErrRuleBroken = errors.New("a rule was broken")

// Play raises a day, plays it, and prints the verdict. Interrupted, it lowers all and returns the context's error.
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
	v, extra, err := play(ctx, script, q)
	if err != nil || script.Length == 0 {
		return err
	}
	if q.JSON {
		enc := json.NewEncoder(q.Out)
		enc.SetIndent("", "  ")
		err = enc.Encode(struct {
			Day string `json:"day"`
			judge.Verdict
			extras
		}{q.Day, v, extra})
	} else {
		err = print(q.Out, q.Day, v, extra)
	}
	if err == nil && !v.Kept() {
		err = ErrRuleBroken
	}
	return err
}

// extras are what the director itself counted, beside what was seen from outside.
type extras struct {
	MaxQueuedLines float64          `json:"director_most_lines_waiting"`
	MaxMessages    float64          `json:"director_most_messages"`
	Folder         string           `json:"folder,omitempty"`
	Rollbacks      []RollbackResult `json:"rollbacks,omitempty"`
	Handovers      []Handover       `json:"handed,omitempty"`
	Storms         []StormResult    `json:"storms,omitempty"`
}

func play(ctx context.Context, script *Script, q Request) (v judge.Verdict, extra extras, err error) {
	dir := q.KeepDir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "vetchwood-rehearsal-"); err != nil {
			return v, extra, err
		}
		defer func() {
			if err == nil && v.Kept() {
				os.RemoveAll(dir)
			}
		}()
	} else if err = os.MkdirAll(dir, 0o700); err != nil {
		return v, extra, err
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
	// The stand-ins' own complaints are part of the play; those of the director are in its log.
	s, err := raise(ctx, script, dir, command, slog.New(slog.DiscardHandler))
	if err != nil {
		return v, extra, err
	}
	show := progress(q, script, s)
	if script.Length == 0 {
		fmt.Fprintf(q.Out, "The director serves on http://%s; metrics on http://%s/metrics. Try:\n\n"+
			"  curl -si http://%s/v1/proxies/relay-20/tables\n\nIt stays up until a signal.\n",
			s.running.Listen, s.running.Admin, s.running.Listen)
	}
	s.began, s.start = time.Now(), s.version()
	from := s.now()
	day, end := ctx, context.CancelFunc(func() {})
	if script.Length > 0 {
		day, end = context.WithTimeout(ctx, script.Length)
	}
	defer end()
	for i := range s.proxies {
		s.busy.Add(1)
		go s.call(day, i)
	}
	failed := make(chan error, len(script.Faults))
	var troubles sync.WaitGroup
	for _, t := range script.Faults {
		troubles.Add(1)
		go func() {
			defer troubles.Done()
			if err := s.trouble(day, t, show.happened); err != nil {
				failed <- fmt.Errorf("trouble %s: %w", t.Kind, err)
			}
		}()
	}
	show.run(day)
	troubles.Wait()
	until := s.now()
	s.settle()
	s.lower()
	if ctx.Err() != nil {
		return v, extra, ctx.Err()
	}
	select {
	case err = <-failed:
		return v, extra, err
	default:
	}
	for _, d := range s.directors {
		extra.MaxQueuedLines, extra.MaxMessages = max(extra.MaxQueuedLines, d.most), max(extra.MaxMessages, d.dense)
	}
	extra.Rollbacks, extra.Handovers, extra.Storms = s.rollbacks, s.handed(), s.storms
	if v = s.book.Judge(s.terms(from, until)); !v.Kept() || q.KeepDir != "" {
		extra.Folder = dir
	}
	return v, extra, nil
}

// version is the newest that every proxy holds.
func (s *stage) version() tables.Step {
	least := tables.Step(math.MaxUint64)
	for _, p := range s.proxies {
		least = min(least, p.Document().Step)
	}
	return least
}

// settle lets the calls in hand end.
func (s *stage) settle() {
	done := make(chan struct{})
	go func() { s.busy.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
	}
}

func (s *stage) terms(from, until float64) judge.Terms {
	f := s.running.Service.Config
	t := judge.Terms{Routes: map[string]tables.Route{}, LateShare: map[string]float64{}, Slices: f.Slices,
		Bare: float64(f.EmptyTableLimit), Grace: float64(f.DrainGrace), Warm: span(f.WarmAfter), ColdFrom: f.ColdCapacity,
		Tip: f.ColdOverloadLimit, Fall: span(f.ColdFailAfter), Queue: f.QueueLimit, Head: f.MessageOverhead, Messages: f.MessageLimit,
		MessageSpan: float64(f.MessageWindow), From: from, Until: until}
	for i, r := range s.running.Service.Routes {
		t.Routes[r.Name], t.LateShare[r.Name] = r.Route, f.Routes[i].LateShare
	}
	return t
}

// shown tells how the day goes.
type shown struct {
	out    io.Writer
	live   bool
	quiet  bool
	mu     sync.Mutex
	book   *judge.Book
	began  time.Time
	length time.Duration
}

func progress(q Request, script *Script, s *stage) *shown {
	f, file := q.Out.(*os.File)
	return &shown{out: q.Out, quiet: q.JSON, live: file && isatty.IsTerminal(f.Fd()), book: s.book, began: time.Now(),
		length: script.Length}
}

func (p *shown) happened(what string) {
	p.book.Happened(judge.Note{Text: what})
	if p.quiet {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.live {
		fmt.Fprint(p.out, "\r\x1b[K")
	}
	fmt.Fprintf(p.out, "%6.1f s  %s\n", time.Since(p.began).Seconds(), what)
}

func (p *shown) run(ctx context.Context) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			if p.live && !p.quiet {
				fmt.Fprint(p.out, "\r\x1b[K")
			}
			return
		case <-tick.C:
			if !p.live || p.quiet || p.length == 0 {
				continue
			}
			calls, answered, throttled, step := p.book.Counts()
			p.mu.Lock()
			fmt.Fprintf(p.out, "\r\x1b[K%6.1f of %.0f s  calls %d  answered %.1f%%  throttled %d  version %d", time.Since(p.began).Seconds(),
				p.length.Seconds(), calls, 100*float64(answered)/float64(max(1, calls)), throttled, step)
			p.mu.Unlock()
		}
	}
}

func print(out io.Writer, day string, v judge.Verdict, extra extras) error {
	fmt.Fprintf(out, "\n%s: %s (stand-ins on one machine)\n\n", day, map[bool]string{true: "all rules kept", false: "A RULE WAS BROKEN"}[v.Kept()])
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "rule\tkept\tworst\tlimit\tunit\twhere")
	for _, r := range v.Rules {
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g\t%s\t%s\n", r.Name, map[bool]string{true: "yes", false: "NO"}[r.Kept], r.Worst, r.Limit, r.Unit, r.Where)
	}
	fmt.Fprintf(w, "no proxy sent backwards\t%s\t%d\t0\ttimes\t\n", map[bool]string{true: "yes", false: "NO"}[v.Backwards == 0], v.Backwards)
	fmt.Fprintln(w, "\t\t\t\t\t")
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "service %.3f (importance answered within the SLO time over importance asked for), worst 10 s %.3f\n", v.Service, v.WorstTen)
	w = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for name, s := range v.ByRoute {
		fmt.Fprintf(w, "  route %s\t%.3f\n", name, s)
	}
	fmt.Fprintf(w, "calls\t%d\tanswered %d, throttled %d, dropped %d; %d tries\n", v.Calls, v.Answered, v.Throttled, v.Dropped, v.Tries)
	fmt.Fprintf(w, "answers\t%.0f ms\tmedian; 99 in 100 within %.0f ms\n", v.MedianMs, v.P99Ms)
	fmt.Fprintf(w, "versions seen\t%d\t%d deltas, %d whole documents; %d lists told\n", v.Steps, v.Deltas, v.Whole, v.Lists)
	fmt.Fprintf(w, "lines waiting\t%.0f\tat most, by the director's own count; %.0f messages to one proxy\n", extra.MaxQueuedLines, extra.MaxMessages)
	for _, u := range extra.Rollbacks {
		fmt.Fprintf(w, "back to version %d\t%d ms\tuntil the last of %d proxies held it; %d polls at most, %d lines not honoured\n", u.To,
			int(u.SlowestMs), u.Proxies, u.MostPolls, u.LinesNotHonoured)
	}
	for _, h := range extra.Handovers {
		fmt.Fprintf(w, "%s %s\t%d slices\twithout a holder for %.0f ms at most; every proxy had the next one's word within %.0f ms\n",
			h.Fault, h.Director, h.Slices, h.LongestGapMs, h.PropagationMs)
	}
	for _, x := range extra.Storms {
		fmt.Fprintf(w, "storm of %s\t%d asked\t%d answered, %d sent away, %d failed; 99 in 100 within %.0f ms in its worst second\n", x.Kind, x.Asked,
			x.Answered, x.Rejected, x.Failed, x.WorstP99Ms)
	}
	fmt.Fprintf(w, "hosts fallen\t%d\t\n", v.Falls)
	if extra.Folder != "" {
		fmt.Fprintf(w, "kept in\t%s\t\n", extra.Folder)
	}
	return w.Flush()
}
