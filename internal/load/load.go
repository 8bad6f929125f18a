package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/procfs"
)

// Second is what became of the requests that should have gone out in one.
type Second struct {
	At          int     `json:"second"`
	Step        string  `json:"step"`
	Scheduled   int     `json:"asked"`
	Answered    int     `json:"answered"`
	Rejected    int     `json:"sent_away"` // told to come later
	Failed      int     `json:"failed"`
	P50         float64 `json:"p50_ms"` // of those answered
	P99         float64 `json:"p99_ms"`
	Max         float64 `json:"max_ms"`
	CPU         float64 `json:"director_cpu,omitempty"` // cores that the director used
	ResidentMiB float64 `json:"director_mib,omitempty"`
	// Change is how long after they were ordered versions reached those that waited for them.
	Changes   int     `json:"told,omitempty"`
	ChangeP50 float64 `json:"change_p50_ms,omitempty"`
	ChangeP99 float64 `json:"change_p99_ms,omitempty"`
	ChangeMax float64 `json:"change_max_ms,omitempty"`

	times, changes *hdrhistogram.Histogram
}

// Runner is a run in hand.
type Runner struct {
	script *Script
	began  time.Time
	lines  []*line
	tag    atomic.Pointer[string] // of what was told last
	known  sync.Map               // proxies that have polled, for reports
	flood  atomic.Bool
	serial atomic.Uint64
	inHand atomic.Int64

	mu      sync.Mutex
	seconds []*Second
}

// mostInHand bounds requests in hand: past it they count as failed at once, as a machine without sockets would make them.
const mostInHand = 50000

// Run plays a script and gives what became of each second.
func Run(ctx context.Context, s *Script, tell func(Second)) ([]Second, error) {
	r := &Runner{script: s}
	if err := r.first(ctx); err != nil {
		return nil, err
	}
	most := 0
	for _, st := range s.Steps {
		most = max(most, st.Connections)
	}
	for i := range most {
		r.lines = append(r.lines, &line{place: i, to: s.Director, limit: s.TimeLimit, done: r.ended})
	}
	r.began = time.Now()
	done, stop := context.WithCancel(ctx)
	defer stop()
	go r.late(done)
	go r.meter(done)
	draw := rand.New(rand.NewPCG(1, 2))
	at := time.Duration(0)
	for _, st := range s.Steps {
		end := at + st.Duration
		switch {
		case st.Flood > 0:
			r.flood.Store(true)
			for i := range st.Connections {
				r.pour(r.lines[i], st, st.Flood)
			}
			r.rest(ctx, end)
			r.flood.Store(false)
		case st.Kind == PendingPolls:
			r.flood.Store(true)
			for i := range st.Proxies {
				r.wait(i, st)
			}
			r.rest(ctx, end)
			r.flood.Store(false)
			for _, l := range r.lines {
				l.close()
			}
		default:
			for range st.Burst {
				r.fire(st, at)
			}
			for due := at; st.Rate > 0; {
				if due += time.Duration(draw.ExpFloat64() / st.Rate * float64(time.Second)); due >= end || ctx.Err() != nil {
					break
				}
				if ahead := due - time.Since(r.began); ahead > 0 {
					time.Sleep(ahead)
				}
				r.fire(st, due)
			}
			r.rest(ctx, end)
		}
		at = end
	}
	for over := time.Now().Add(s.TimeLimit + time.Second); r.inHand.Load() > 0 && time.Now().Before(over); {
		time.Sleep(5 * time.Millisecond)
	}
	for _, l := range r.lines {
		l.close()
	}
	var out []Second
	for n := range r.seconds {
		out = append(out, r.finished(n))
		if tell != nil {
			tell(out[n])
		}
	}
	return out, ctx.Err()
}

func (r *Runner) rest(ctx context.Context, until time.Duration) {
	if rest := until - time.Since(r.began); rest > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(rest):
		}
	}
}

// first takes the version that acknowledging polls say they hold.
func (r *Runner) first(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.script.Director+"/v1/tables", nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	tag := res.Header.Get("ETag")
	if r.tag.Store(&tag); tag == "" {
		return fmt.Errorf("%s: %s: no tables to hold", r.script.Director, res.Status)
	}
	return nil
}

func (r *Runner) second(at time.Duration, step string) *Second {
	n := max(0, int(at.Seconds()))
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.seconds) <= n {
		r.seconds = append(r.seconds, &Second{At: len(r.seconds), Step: step, times: hdrhistogram.New(1, 120_000_000, 3),
			changes: hdrhistogram.New(1, 120_000_000, 3)})
	}
	return r.seconds[n]
}

// fire sends one request that is due, whatever became of those before.
func (r *Runner) fire(st Step, due time.Duration) {
	n := r.serial.Add(1)
	sec := r.second(due, st.Name)
	r.mu.Lock()
	sec.Scheduled++
	r.mu.Unlock()
	a := asked{due, st.Kind, sec, n % uint64(st.Proxies)}
	if r.inHand.Add(1) > mostInHand {
		r.ended(nil, fate{asked: a})
		return
	}
	l := r.lines[n%uint64(st.Connections)]
	text := r.word(st.Kind, a.proxy)
	l.mu.Lock()
	alone, busy := l.conn == nil || len(l.hand) > 8, st.OnePerConnection && (len(l.hand) > 0 || l.dialing)
	l.dialing = l.conn == nil && !busy
	l.mu.Unlock()
	if busy {
		r.ended(nil, fate{asked: a})
		return
	}
	if alone { // it has to be opened, or what was sent on it may not be read yet, which must not hold up the others
		go l.send(text, a)
		return
	}
	l.send(text, a)
}

func (r *Runner) word(k Kind, proxy uint64) []byte {
	name := fmt.Sprintf(r.script.NameFormat, proxy)
	if k == Reports {
		if _, known := r.known.LoadOrStore(name, true); !known {
			k = InitialPolls // it has to poll first; that is its request
		}
	}
	return request(make([]byte, 0, 256), k, name, r.script.Zone, *r.tag.Load())
}

// pour sends so many requests of a flood at once.
func (r *Runner) pour(l *line, st Step, n int) {
	due := time.Since(r.began)
	sec := r.second(due, st.Name)
	var text []byte
	all := make([]asked, n)
	for i := range all {
		all[i] = asked{due, st.Kind, sec, r.serial.Add(1) % uint64(st.Proxies)}
		text = request(text, st.Kind, fmt.Sprintf(r.script.NameFormat, all[i].proxy), r.script.Zone, *r.tag.Load())
	}
	r.inHand.Add(int64(n))
	r.mu.Lock()
	sec.Scheduled += n
	r.mu.Unlock()
	go l.send(text, all...)
}

// wait holds a poll for a proxy.
func (r *Runner) wait(i int, st Step) {
	due := time.Since(r.began)
	sec := r.second(due, st.Name)
	r.inHand.Add(1)
	go r.lines[i].send(r.word(PendingPolls, uint64(i)), asked{due, PendingPolls, sec, uint64(i)})
}

// ended counts a request that is answered, or has failed; in a flood, or while polls wait, the next follows.
func (r *Runner) ended(l *line, f fate) {
	took := time.Since(r.began) - f.due
	r.inHand.Add(-1)
	if f.kind == PendingPolls {
		r.told(l, f)
		return
	}
	if f.status == http.StatusNotFound && f.kind == Reports {
		r.known.Delete(fmt.Sprintf(r.script.NameFormat, f.proxy)) // it has left meanwhile, and polls again first
	}
	if f.etag != "" && (f.status == http.StatusOK || f.status == http.StatusIMUsed) {
		r.tag.Store(&f.etag)
	}
	r.mu.Lock()
	switch {
	case f.status == http.StatusServiceUnavailable:
		f.sec.Rejected++
	case f.status > 0 && f.status < 400 && took <= r.script.TimeLimit:
		f.sec.Answered++
		f.sec.times.RecordValue(max(1, took.Microseconds()))
	default:
		f.sec.Failed++
	}
	r.mu.Unlock()
	if r.flood.Load() && l != nil && f.status > 0 {
		l.mu.Lock()
		empty := len(l.hand) == 0
		l.mu.Unlock()
		if st := r.at(); empty && st != nil && st.Flood > 0 {
			r.pour(l, *st, st.Flood)
		}
	}
}

// at is the step in hand.
func (r *Runner) at() *Step {
	now := time.Since(r.began)
	for i := range r.script.Steps {
		if now -= r.script.Steps[i].Duration; now < 0 {
			return &r.script.Steps[i]
		}
	}
	return nil
}

// told takes what a poll that waited was told, and holds the next one.
func (r *Runner) told(l *line, f fate) {
	st := r.at()
	if st == nil || st.Kind != PendingPolls || !r.flood.Load() {
		return
	}
	i := l.place
	sec := r.second(time.Since(r.began), st.Name)
	if at := ordered(f.body); at > 0 && f.due > 0 && f.status == http.StatusIMUsed {
		late := float64(time.Now().UnixMicro()) - at*1000
		r.mu.Lock()
		sec.Changes++
		sec.changes.RecordValue(max(1, int64(late)))
		r.mu.Unlock()
	}
	r.mu.Lock()
	switch {
	case f.status == 0:
		sec.Failed++
	case f.status == http.StatusServiceUnavailable:
		sec.Rejected++
	default:
		sec.Answered++
	}
	sec.Scheduled++
	r.mu.Unlock()
	if f.etag != "" {
		r.tag.Store(&f.etag)
	}
	if f.status == 0 || f.status >= 400 {
		time.AfterFunc(time.Duration(500+rand.IntN(1000))*time.Millisecond, func() { r.wait(i, *st) })
		return
	}
	name := fmt.Sprintf(r.script.NameFormat, i)
	r.inHand.Add(1)
	l.send(request(make([]byte, 0, 256), PendingPolls, name, r.script.Zone, f.etag), asked{time.Since(r.began), PendingPolls, sec, uint64(i)})
}

// ordered is when a version was, by a difference that leads to it: Unix milliseconds.
func ordered(patch []byte) float64 {
	mark := []byte(`"path":"/at","value":`)
	i := bytes.Index(patch, mark)
	if i < 0 {
		return 0
	}
	rest := patch[i+len(mark):]
	n := bytes.IndexAny(rest, ",}")
	at, err := strconv.ParseFloat(string(rest[:max(0, n)]), 64)
	if err != nil {
		return 0
	}
	return at
}

// late ends connections whose answers come too late.
func (r *Runner) late(ctx context.Context) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Since(r.began)
		for _, l := range r.lines {
			l.late(now)
		}
	}
}

// meter tells what the director costs.
func (r *Runner) meter(ctx context.Context) {
	if r.script.PID == 0 {
		return
	}
	proc, err := procfs.NewProc(r.script.PID)
	if err != nil {
		return
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	last, at := 0.0, time.Now()
	if s, err := proc.Stat(); err == nil {
		last = s.CPUTime()
	}
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s, err := proc.Stat()
		if err != nil {
			return
		}
		now := time.Now()
		sec := r.second(time.Duration(n)*time.Second, "")
		r.mu.Lock()
		sec.CPU, sec.ResidentMiB = (s.CPUTime()-last)/now.Sub(at).Seconds(), float64(s.ResidentMemory())/(1<<20)
		r.mu.Unlock()
		last, at = s.CPUTime(), now
	}
}

func (r *Runner) finished(n int) Second {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := *r.seconds[n]
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	out.P50, out.P99, out.Max = ms(out.times, 50), ms(out.times, 99), float64(out.times.Max())/1000
	if out.Changes > 0 {
		out.ChangeP50, out.ChangeP99, out.ChangeMax = ms(out.changes, 50), ms(out.changes, 99), float64(out.changes.Max())/1000
	}
	return out
}
