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

	latencies, changeDelays *hdrhistogram.Histogram
}

// Runner is a run in hand.
type Runner struct {
	script        *Script
	start         time.Time
	connections   []*connection
	lastTag       atomic.Pointer[string] // of what was told last
	polledProxies sync.Map               // proxies that have polled, for reports
	continuous    atomic.Bool
	lastRequest   atomic.Uint64
	inFlight      atomic.Int64

	mu      sync.Mutex
	seconds []*Second
}

// mostInHand bounds requests in hand: past it they count as failed at once, as a machine without sockets would make them.
const maxInFlight = 50000

// Run plays a script and gives what became of each second.
func Run(ctx context.Context, s *Script, tell func(Second)) ([]Second, error) {
	r := &Runner{script: s}
	if err := r.fetchInitialTag(ctx); err != nil {
		return nil, err
	}
	most := 0
	for _, st := range s.Steps {
		most = max(most, st.Connections)
	}
	for i := range most {
		r.connections = append(r.connections, &connection{index: i, address: s.Director, timeLimit: s.TimeLimit, onResult: r.handleResult})
	}
	r.start = time.Now()
	done, stop := context.WithCancel(ctx)
	defer stop()
	go r.closeLateConnections(done)
	go r.measureDirector(done)
	draw := rand.New(rand.NewPCG(1, 2))
	at := time.Duration(0)
	for _, st := range s.Steps {
		end := at + st.Duration
		switch {
		case st.Flood > 0:
			r.continuous.Store(true)
			for i := range st.Connections {
				r.sendBatch(r.connections[i], st, st.Flood)
			}
			r.sleepUntil(ctx, end)
			r.continuous.Store(false)
		case st.Kind == PendingPolls:
			r.continuous.Store(true)
			for i := range st.Proxies {
				r.startPoll(i, st)
			}
			r.sleepUntil(ctx, end)
			r.continuous.Store(false)
			for _, l := range r.connections {
				l.close()
			}
		default:
			for range st.Burst {
				r.sendOne(st, at)
			}
			for due := at; st.Rate > 0; {
				if due += time.Duration(draw.ExpFloat64() / st.Rate * float64(time.Second)); due >= end || ctx.Err() != nil {
					break
				}
				if ahead := due - time.Since(r.start); ahead > 0 {
					time.Sleep(ahead)
				}
				r.sendOne(st, due)
			}
			r.sleepUntil(ctx, end)
		}
		at = end
	}
	for over := time.Now().Add(s.TimeLimit + time.Second); r.inFlight.Load() > 0 && time.Now().Before(over); {
		time.Sleep(5 * time.Millisecond)
	}
	for _, l := range r.connections {
		l.close()
	}
	var out []Second
	for n := range r.seconds {
		out = append(out, r.summarize(n))
		if tell != nil {
			tell(out[n])
		}
	}
	return out, ctx.Err()
}

func (r *Runner) sleepUntil(ctx context.Context, until time.Duration) {
	if rest := until - time.Since(r.start); rest > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(rest):
		}
	}
}

// first takes the version that acknowledging polls say they hold.
func (r *Runner) fetchInitialTag(ctx context.Context) error {
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
	if r.lastTag.Store(&tag); tag == "" {
		return fmt.Errorf("%s: %s: no tables to hold", r.script.Director, res.Status)
	}
	return nil
}

func (r *Runner) second(at time.Duration, step string) *Second {
	n := max(0, int(at.Seconds()))
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.seconds) <= n {
		r.seconds = append(r.seconds, &Second{At: len(r.seconds), Step: step, latencies: hdrhistogram.New(1, 120_000_000, 3),
			changeDelays: hdrhistogram.New(1, 120_000_000, 3)})
	}
	return r.seconds[n]
}

// fire sends one request that is due, whatever became of those before.
func (r *Runner) sendOne(st Step, due time.Duration) {
	n := r.lastRequest.Add(1)
	sec := r.second(due, st.Name)
	r.mu.Lock()
	sec.Scheduled++
	r.mu.Unlock()
	a := pendingRequest{due, st.Kind, sec, n % uint64(st.Proxies)}
	if r.inFlight.Add(1) > maxInFlight {
		r.handleResult(nil, result{pendingRequest: a})
		return
	}
	l := r.connections[n%uint64(st.Connections)]
	text := r.buildRequest(st.Kind, a.proxy)
	l.mu.Lock()
	alone, busy := l.conn == nil || len(l.pending) > 8, st.OnePerConnection && (len(l.pending) > 0 || l.dialing)
	l.dialing = l.conn == nil && !busy
	l.mu.Unlock()
	if busy {
		r.handleResult(nil, result{pendingRequest: a})
		return
	}
	if alone { // it has to be opened, or what was sent on it may not be read yet, which must not hold up the others
		go l.send(text, a)
		return
	}
	l.send(text, a)
}

func (r *Runner) buildRequest(k Kind, proxy uint64) []byte {
	name := fmt.Sprintf(r.script.NameFormat, proxy)
	if k == Reports {
		if _, known := r.polledProxies.LoadOrStore(name, true); !known {
			k = InitialPolls // it has to poll first; that is its request
		}
	}
	return appendRequest(make([]byte, 0, 256), k, name, r.script.Zone, *r.lastTag.Load())
}

// pour sends so many requests of a flood at once.
func (r *Runner) sendBatch(l *connection, st Step, n int) {
	due := time.Since(r.start)
	sec := r.second(due, st.Name)
	var text []byte
	all := make([]pendingRequest, n)
	for i := range all {
		all[i] = pendingRequest{due, st.Kind, sec, r.lastRequest.Add(1) % uint64(st.Proxies)}
		text = appendRequest(text, st.Kind, fmt.Sprintf(r.script.NameFormat, all[i].proxy), r.script.Zone, *r.lastTag.Load())
	}
	r.inFlight.Add(int64(n))
	r.mu.Lock()
	sec.Scheduled += n
	r.mu.Unlock()
	go l.send(text, all...)
}

// wait holds a poll for a proxy.
func (r *Runner) startPoll(i int, st Step) {
	due := time.Since(r.start)
	sec := r.second(due, st.Name)
	r.inFlight.Add(1)
	go r.connections[i].send(r.buildRequest(PendingPolls, uint64(i)), pendingRequest{due, PendingPolls, sec, uint64(i)})
}

// ended counts a request that is answered, or has failed; in a flood, or while polls wait, the next follows.
func (r *Runner) handleResult(l *connection, f result) {
	took := time.Since(r.start) - f.due
	r.inFlight.Add(-1)
	if f.kind == PendingPolls {
		r.handlePollResult(l, f)
		return
	}
	if f.status == http.StatusNotFound && f.kind == Reports {
		r.polledProxies.Delete(fmt.Sprintf(r.script.NameFormat, f.proxy)) // it has left meanwhile, and polls again first
	}
	if f.etag != "" && (f.status == http.StatusOK || f.status == http.StatusIMUsed) {
		r.lastTag.Store(&f.etag)
	}
	r.mu.Lock()
	switch {
	case f.status == http.StatusServiceUnavailable:
		f.second.Rejected++
	case f.status > 0 && f.status < 400 && took <= r.script.TimeLimit:
		f.second.Answered++
		f.second.latencies.RecordValue(max(1, took.Microseconds()))
	default:
		f.second.Failed++
	}
	r.mu.Unlock()
	if r.continuous.Load() && l != nil && f.status > 0 {
		l.mu.Lock()
		empty := len(l.pending) == 0
		l.mu.Unlock()
		if st := r.currentStep(); empty && st != nil && st.Flood > 0 {
			r.sendBatch(l, *st, st.Flood)
		}
	}
}

// at is the step in hand.
func (r *Runner) currentStep() *Step {
	now := time.Since(r.start)
	for i := range r.script.Steps {
		if now -= r.script.Steps[i].Duration; now < 0 {
			return &r.script.Steps[i]
		}
	}
	return nil
}

// told takes what a poll that waited was told, and holds the next one.
func (r *Runner) handlePollResult(l *connection, f result) {
	st := r.currentStep()
	if st == nil || st.Kind != PendingPolls || !r.continuous.Load() {
		return
	}
	i := l.index
	sec := r.second(time.Since(r.start), st.Name)
	if at := publishedAt(f.body); at > 0 && f.due > 0 && f.status == http.StatusIMUsed {
		late := float64(time.Now().UnixMicro()) - at*1000
		r.mu.Lock()
		sec.Changes++
		sec.changeDelays.RecordValue(max(1, int64(late)))
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
		r.lastTag.Store(&f.etag)
	}
	if f.status == 0 || f.status >= 400 {
		time.AfterFunc(time.Duration(500+rand.IntN(1000))*time.Millisecond, func() { r.startPoll(i, *st) })
		return
	}
	name := fmt.Sprintf(r.script.NameFormat, i)
	r.inFlight.Add(1)
	l.send(appendRequest(make([]byte, 0, 256), PendingPolls, name, r.script.Zone, f.etag), pendingRequest{time.Since(r.start), PendingPolls, sec, uint64(i)})
}

// ordered is when a version was, by a difference that leads to it: Unix milliseconds.
func publishedAt(patch []byte) float64 {
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
func (r *Runner) closeLateConnections(ctx context.Context) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Since(r.start)
		for _, l := range r.connections {
			l.closeIfLate(now)
		}
	}
}

// meter tells what the director costs.
func (r *Runner) measureDirector(ctx context.Context) {
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

func (r *Runner) summarize(n int) Second {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := *r.seconds[n]
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	out.P50, out.P99, out.Max = ms(out.latencies, 50), ms(out.latencies, 99), float64(out.latencies.Max())/1000
	if out.Changes > 0 {
		out.ChangeP50, out.ChangeP99, out.ChangeMax = ms(out.changeDelays, 50), ms(out.changeDelays, 99), float64(out.changeDelays.Max())/1000
	}
	return out
}
