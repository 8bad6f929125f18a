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

// Second counts the requests that were due within one second of a run, and how they ended.
type Second struct {
	At          int     `json:"second"`
	Step        string  `json:"step"`
	Scheduled   int     `json:"asked"`
	Answered    int     `json:"answered"`
	Rejected    int     `json:"sent_away"` // answered with 503
	Failed      int     `json:"failed"`
	P50         float64 `json:"p50_ms"` // of the answered requests
	P99         float64 `json:"p99_ms"`
	Max         float64 `json:"max_ms"`
	CPU         float64 `json:"director_cpu,omitempty"` // cores used by the director
	ResidentMiB float64 `json:"director_mib,omitempty"`
	// Changes is the number of versions that reached pending polls. The delays count from the time of each version.
	Changes   int     `json:"told,omitempty"`
	ChangeP50 float64 `json:"change_p50_ms,omitempty"`
	ChangeP99 float64 `json:"change_p99_ms,omitempty"`
	ChangeMax float64 `json:"change_max_ms,omitempty"`

	latencies, changeDelays *hdrhistogram.Histogram
}

// Runner is the state of a run.
type Runner struct {
	script        *Script
	start         time.Time
	connections   []*connection
	lastTag       atomic.Pointer[string] // entity tag of the last tables received
	polledProxies sync.Map               // proxies that have polled, for reports
	continuous    atomic.Bool            // each result is followed by the next request
	lastRequest   atomic.Uint64          // number of the last request
	inFlight      atomic.Int64

	mu      sync.Mutex
	seconds []*Second
}

// maxInFlight limits the requests in flight. Further ones fail at once, as on a machine that has run out of sockets.
const maxInFlight = 50000

// Run runs a script and returns the results of each second. If onSecond is not nil, it is called with each of them at
// the end.
func Run(ctx context.Context, s *Script, onSecond func(Second)) ([]Second, error) {
	r := &Runner{script: s}
	if err := r.fetchInitialTag(ctx); err != nil {
		return nil, err
	}
	maxConnections := 0
	for _, st := range s.Steps {
		maxConnections = max(maxConnections, st.Connections)
	}
	for i := range maxConnections {
		r.connections = append(r.connections, &connection{index: i, address: s.Director, timeLimit: s.TimeLimit,
			onResult: r.handleResult})
	}
	r.start = time.Now()
	done, stop := context.WithCancel(ctx)
	defer stop()
	go r.closeLateConnections(done)
	go r.measureDirector(done)
	rng := rand.New(rand.NewPCG(1, 2))
	start := time.Duration(0)
	for _, st := range s.Steps {
		end := start + st.Duration
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
			for _, c := range r.connections {
				c.close()
			}
		default:
			for range st.Burst {
				r.sendOne(st, start)
			}
			for due := start; st.Rate > 0; {
				if due += time.Duration(rng.ExpFloat64() / st.Rate * float64(time.Second)); due >= end || ctx.Err() != nil {
					break
				}
				if ahead := due - time.Since(r.start); ahead > 0 {
					time.Sleep(ahead)
				}
				r.sendOne(st, due)
			}
			r.sleepUntil(ctx, end)
		}
		start = end
	}
	for deadline := time.Now().Add(s.TimeLimit + time.Second); r.inFlight.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	for _, c := range r.connections {
		c.close()
	}
	var out []Second
	for n := range r.seconds {
		out = append(out, r.summarize(n))
		if onSecond != nil {
			onSecond(out[n])
		}
	}
	return out, ctx.Err()
}

// sleepUntil sleeps until a time after the start of the run, or until the context ends.
func (r *Runner) sleepUntil(ctx context.Context, until time.Duration) {
	if rest := until - time.Since(r.start); rest > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(rest):
		}
	}
}

// fetchInitialTag gets the entity tag that the first acknowledging polls send.
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
		return fmt.Errorf("%s: %s: the response to GET /v1/tables has no ETag", r.script.Director, res.Status)
	}
	return nil
}

// second returns the counts of the second that contains a time since the start, which belongs to a step of the script.
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

// sendOne sends one request that is due, without regard to the results of earlier ones.
func (r *Runner) sendOne(st Step, due time.Duration) {
	n := r.lastRequest.Add(1)
	sec := r.second(due, st.Name)
	r.mu.Lock()
	sec.Scheduled++
	r.mu.Unlock()
	request := pendingRequest{due, st.Kind, sec, n % uint64(st.Proxies)}
	if r.inFlight.Add(1) > maxInFlight {
		r.handleResult(nil, result{pendingRequest: request})
		return
	}
	c := r.connections[n%uint64(st.Connections)]
	text := r.buildRequest(st.Kind, request.proxy)
	c.mu.Lock()
	mayBlock, busy := c.conn == nil || len(c.pending) > 8, st.OnePerConnection && (len(c.pending) > 0 || c.dialing)
	c.dialing = c.conn == nil && !busy
	c.mu.Unlock()
	if busy {
		r.handleResult(nil, result{pendingRequest: request})
		return
	}
	if mayBlock { // opening the connection, or writing while the director does not read, must not delay other requests
		go c.send(text, request)
		return
	}
	c.send(text, request)
}

// buildRequest returns the text of a request. A proxy that has not polled yet sends a poll instead of a report.
func (r *Runner) buildRequest(k Kind, proxy uint64) []byte {
	name := fmt.Sprintf(r.script.NameFormat, proxy)
	if k == Reports {
		if _, known := r.polledProxies.LoadOrStore(name, true); !known {
			k = InitialPolls // the director accepts reports only after a poll
		}
	}
	return appendRequest(make([]byte, 0, 256), k, name, r.script.Zone, *r.lastTag.Load())
}

// sendBatch sends n requests of a flood at once.
func (r *Runner) sendBatch(c *connection, st Step, n int) {
	due := time.Since(r.start)
	sec := r.second(due, st.Name)
	var text []byte
	requests := make([]pendingRequest, n)
	for i := range requests {
		requests[i] = pendingRequest{due, st.Kind, sec, r.lastRequest.Add(1) % uint64(st.Proxies)}
		text = appendRequest(text, st.Kind, fmt.Sprintf(r.script.NameFormat, requests[i].proxy), r.script.Zone, *r.lastTag.Load())
	}
	r.inFlight.Add(int64(n))
	r.mu.Lock()
	sec.Scheduled += n
	r.mu.Unlock()
	go c.send(text, requests...)
}

// startPoll sends a pending poll of proxy i.
func (r *Runner) startPoll(i int, st Step) {
	due := time.Since(r.start)
	sec := r.second(due, st.Name)
	r.inFlight.Add(1)
	go r.connections[i].send(r.buildRequest(PendingPolls, uint64(i)), pendingRequest{due, PendingPolls, sec, uint64(i)})
}

// handleResult counts a request that was answered or has failed. During a flood, or with pending polls, it sends the
// next one.
func (r *Runner) handleResult(c *connection, res result) {
	took := time.Since(r.start) - res.dueAt
	r.inFlight.Add(-1)
	if res.kind == PendingPolls {
		r.handlePollResult(c, res)
		return
	}
	if res.status == http.StatusNotFound && res.kind == Reports {
		// The director has dropped the proxy, which has to poll again first.
		r.polledProxies.Delete(fmt.Sprintf(r.script.NameFormat, res.proxy))
	}
	if res.etag != "" && (res.status == http.StatusOK || res.status == http.StatusIMUsed) {
		r.lastTag.Store(&res.etag)
	}
	r.mu.Lock()
	switch {
	case res.status == http.StatusServiceUnavailable:
		res.second.Rejected++
	case res.status > 0 && res.status < 400 && took <= r.script.TimeLimit:
		res.second.Answered++
		res.second.latencies.RecordValue(max(1, took.Microseconds()))
	default:
		res.second.Failed++
	}
	r.mu.Unlock()
	if r.continuous.Load() && c != nil && res.status > 0 {
		c.mu.Lock()
		empty := len(c.pending) == 0
		c.mu.Unlock()
		if st := r.currentStep(); empty && st != nil && st.Flood > 0 {
			r.sendBatch(c, *st, st.Flood)
		}
	}
}

// currentStep returns the step of the script that is being run, or nil after the end.
func (r *Runner) currentStep() *Step {
	now := time.Since(r.start)
	for i := range r.script.Steps {
		if now -= r.script.Steps[i].Duration; now < 0 {
			return &r.script.Steps[i]
		}
	}
	return nil
}

// handlePollResult counts the result of a pending poll and sends the next one. After an error it waits for 500 to
// 1500 ms first.
func (r *Runner) handlePollResult(c *connection, res result) {
	st := r.currentStep()
	if st == nil || st.Kind != PendingPolls || !r.continuous.Load() {
		return
	}
	i := c.index
	sec := r.second(time.Since(r.start), st.Name)
	if published := publishedAt(res.body); published > 0 && res.dueAt > 0 && res.status == http.StatusIMUsed {
		delayMicros := float64(time.Now().UnixMicro()) - published*1000
		r.mu.Lock()
		sec.Changes++
		sec.changeDelays.RecordValue(max(1, int64(delayMicros)))
		r.mu.Unlock()
	}
	r.mu.Lock()
	switch {
	case res.status == 0:
		sec.Failed++
	case res.status == http.StatusServiceUnavailable:
		sec.Rejected++
	default:
		sec.Answered++
	}
	sec.Scheduled++
	r.mu.Unlock()
	if res.etag != "" {
		r.lastTag.Store(&res.etag)
	}
	if res.status == 0 || res.status >= 400 {
		time.AfterFunc(time.Duration(500+rand.IntN(1000))*time.Millisecond, func() { r.startPoll(i, *st) })
		return
	}
	name := fmt.Sprintf(r.script.NameFormat, i)
	r.inFlight.Add(1)
	c.send(appendRequest(make([]byte, 0, 256), PendingPolls, name, r.script.Zone, res.etag),
		pendingRequest{time.Since(r.start), PendingPolls, sec, uint64(i)})
}

// publishedAt returns the time of the version to which a delta leads, in Unix milliseconds, or 0 if the delta has none.
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

// closeLateConnections closes connections whose responses exceed the time limit.
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
		for _, c := range r.connections {
			c.closeIfLate(now)
		}
	}
}

// measureDirector measures the CPU time and the memory of the director's process each second.
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

// summarize returns the counts of a second with its percentiles.
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
