package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"vetchwood/internal/choose"
	"vetchwood/internal/follow"
	"vetchwood/internal/judge"
	"vetchwood/internal/lrs"
	"vetchwood/internal/orca"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Caller is a plain proxy with its callers inside: it follows the tables, sends calls that it makes up itself,
// and reports its sums. The calls' client side has no socket of its own.
type Caller struct {
	Name, Zone, Director string
	Rate                 float64
	Report               time.Duration
	WaitsForTable        time.Duration
	Book                 *judge.Book
	Now                  func() float64
	Log                  *slog.Logger

	follow *follow.Follower
	client *http.Client
	mu     sync.Mutex
	tries  map[string]map[tables.Address]*tried // by route
	calls  map[[2]string]*[2]int                // by route and slice: came, unanswered
	bad    map[tables.Address]int               // failures in a row
	until  map[tables.Address]float64           // avoided until then
	fresh  chan struct{}                        // closed when the tables change
	sent   int
	began  int64
	cut    time.Time // no director is reached until then
	stop   context.CancelFunc
}

type tried struct {
	good, lost int
	spent      float64
	load       logic.Load
}

// Call is one to be made.
type Call struct {
	ID, Route, Key string
	Work           float64
}

// Run follows and reports until the context ends. A caller that starts anew holds nothing but what is given.
func (c *Caller) Run(ctx context.Context, held *tables.Document) {
	c.mu.Lock()
	c.tries, c.calls = map[string]map[tables.Address]*tried{}, map[[2]string]*[2]int{}
	c.bad, c.until, c.fresh = map[tables.Address]int{}, map[tables.Address]float64{}, make(chan struct{})
	c.began = time.Now().UnixNano()
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 15 * time.Second,
		DialContext: (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext}}
	c.follow = follow.New(follow.Source{Director: c.Director, Proxy: c.Name, Zone: c.Zone, Rate: c.Rate,
		Wait: 5 * time.Second, Log: c.Log, Seen: c.see, Joined: func(on bool) {
			c.Book.Hold(judge.Held{At: c.Now(), Proxy: c.Name, Joined: on})
		}})
	if held != nil {
		c.follow.Hold(held)
	}
	c.mu.Unlock()
	defer c.client.CloseIdleConnections()
	done := make(chan struct{})
	go func() { c.keep(ctx); close(done) }()
	tick := time.NewTicker(c.Report)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			<-done
			return
		case <-tick.C:
			c.report(ctx)
		}
	}
}

// keep follows, but for the times that it is cut off.
func (c *Caller) keep(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		on, stop := context.WithCancel(ctx)
		wait := time.Until(c.cut)
		c.stop = stop
		c.mu.Unlock()
		if wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		} else {
			c.follow.Run(on)
		}
		stop()
	}
}

// Cut keeps it from its director for a while; it goes on by what it holds.
func (c *Caller) Cut(long time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut = time.Now().Add(long); c.stop != nil {
		c.stop()
	}
}

// Held is the document in force.
func (c *Caller) Held() *tables.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.follow == nil {
		return nil
	}
	return c.follow.Held()
}

func (c *Caller) see(u follow.Update) {
	c.Book.Hold(judge.Held{At: c.Now(), Proxy: c.Name, Doc: u.Doc, Lines: u.Lines, Whole: u.Whole})
	c.mu.Lock()
	close(c.fresh)
	c.fresh = make(chan struct{})
	c.mu.Unlock()
}

// Make carries out a call and books its end.
func (c *Caller) Make(ctx context.Context, call Call) {
	began := c.Now()
	end := judge.Outcome{Proxy: c.Name, Route: call.Route}
	end.Throttled, end.Answered = c.carry(ctx, call)
	if ctx.Err() != nil {
		return // the proxy itself died
	}
	end.At = c.Now()
	end.Took = end.At - began
	c.Book.End(end)
}

func (c *Caller) carry(ctx context.Context, call Call) (throttled, answered bool) {
	d, name, table, open := c.lines(ctx, call, "")
	if d == nil {
		return false, false
	}
	route := d.Routes[call.Route]
	level := choose.Level(d, call.Route, table)
	limit, cancel := context.WithTimeout(ctx, time.Duration(route.TimeLimitMs*float64(time.Millisecond)))
	defer cancel()
	c.came(call.Route, name, 1, 0)
	if rand.Float64() >= level.Level {
		return true, false
	}
	tries := map[int]int{0: 1, 1: 2, 2: 2, 3: 3}[level.Tries]
	for n := 1; n <= tries && len(open) > 0; n++ {
		host := choose.Lottery(table, open, rand.Float64())
		per := limit
		if level.Tries >= 2 && n < tries {
			var stop context.CancelFunc
			per, stop = context.WithTimeout(limit, time.Duration(d.TryWait*route.SLOMs*float64(time.Millisecond)))
			defer stop()
		}
		good, ran := c.try(per, call, route, host)
		if good {
			return false, true
		}
		if limit.Err() != nil || level.Tries == 0 || level.Tries == 1 && ran {
			break
		}
		if d, name, table, open = c.lines(limit, call, host); d == nil {
			break
		}
	}
	c.came(call.Route, name, 0, 1)
	return false, false
}

// lines gives what a call may go to; where that is nothing, it waits a little for tables.
func (c *Caller) lines(ctx context.Context, call Call, but tables.Address) (*tables.Document, string, *tables.Table, []tables.Address) {
	end := time.After(c.WaitsForTable)
	for {
		c.mu.Lock()
		fresh, now := c.fresh, c.Now()
		d := c.follow.Held()
		name, table := choose.Table(d, call.Route, call.Key)
		if table != nil {
			avoid := func(a tables.Address) bool { return a == but || c.until[a] > now }
			open := choose.Open(d, call.Route, c.Zone, table, avoid)
			if len(open) == 0 && but == "" { // all are avoided: the least bad is better than none
				open = choose.Open(d, call.Route, c.Zone, table, func(tables.Address) bool { return false })
			}
			if len(open) > 0 || but != "" {
				c.mu.Unlock()
				return d, name, table, open
			}
		}
		c.mu.Unlock()
		select {
		case <-fresh:
		case <-end:
			return nil, "", nil, nil
		case <-ctx.Done():
			return nil, "", nil, nil
		}
	}
}

// try sends a call to a host. Ran says that it may have taken effect.
func (c *Caller) try(ctx context.Context, call Call, route tables.Route, host tables.Address) (good, ran bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(host)+"/"+call.Route, nil)
	if err != nil {
		return false, false
	}
	req.Header.Set(HeaderCall, call.ID)
	req.Header.Set(HeaderProxy, c.Name)
	req.Header.Set(HeaderRoute, call.Route)
	req.Header.Set(HeaderWork, strconv.FormatFloat(call.Work, 'f', 3, 64))
	if route.Repeat == "keyed" {
		// Not by Set: the library tries requests again by itself that bear the header in its own spelling, and
		// what the second try met would be taken for the first one's fate.
		req.Header["idempotency-key"] = []string{call.ID}
	}
	began := c.Now()
	c.Book.Send(judge.Sent{At: began, Proxy: c.Name, Call: call.ID, Host: host})
	res, err := c.client.Do(req)
	var load logic.Load
	ran = true
	if err == nil {
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
		load, _ = orca.Parse(res.Header.Get(orca.Header))
		good = res.StatusCode == http.StatusOK
	} else {
		var op *net.OpError
		ran = !(errors.As(err, &op) && op.Op == "dial")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	by := c.tries[call.Route]
	if by == nil {
		by = map[tables.Address]*tried{}
		c.tries[call.Route] = by
	}
	t := by[host]
	if t == nil {
		t = &tried{}
		by[host] = t
	}
	if load != (logic.Load{}) {
		t.load = load
	}
	now := c.Now()
	if good {
		t.good, t.spent, c.bad[host] = t.good+1, t.spent+now-began, 0
		return good, ran
	}
	t.lost++
	c.bad[host]++
	if d := c.follow.Held(); d != nil && d.Ejects > 0 && c.bad[host] >= d.Ejects {
		c.bad[host], c.until[host] = 0, now+2000+rand.Float64()*4000
	}
	return good, ran
}

func (c *Caller) came(route, table string, calls, lost int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := [2]string{route, table}
	if c.calls[at] == nil {
		c.calls[at] = &[2]int{}
	}
	c.calls[at][0] += calls
	c.calls[at][1] += lost
}

// report posts the sums since the last one, in the form of load stats.
func (c *Caller) report(ctx context.Context) {
	c.mu.Lock()
	if time.Now().Before(c.cut) {
		c.mu.Unlock()
		return
	}
	tries, calls := c.tries, c.calls
	c.tries, c.calls = map[string]map[tables.Address]*tried{}, map[[2]string]*[2]int{}
	c.sent++
	key := fmt.Sprintf("%x-%d", c.began, c.sent)
	c.mu.Unlock()
	q := lrs.Request{Node: lrs.Node{ID: c.Name, Locality: lrs.Locality{Zone: c.Zone}}}
	for _, at := range slices.SortedFunc(maps.Keys(calls), func(a, b [2]string) int {
		return slices.Compare(a[:], b[:])
	}) {
		n := calls[at]
		q.ClusterStats = append(q.ClusterStats, lrs.Cluster{Name: at[0], ServiceName: at[1], Localities: []lrs.Upstream{{
			Metrics: []lrs.Metric{{Name: lrs.Calls, Finished: lrs.Count(n[0]), Total: float64(n[0])},
				{Name: lrs.Unanswered, Finished: lrs.Count(n[1]), Total: float64(n[1])}}}}})
	}
	for _, route := range slices.Sorted(maps.Keys(tries)) {
		up := lrs.Upstream{Locality: lrs.Locality{Zone: c.Zone}}
		for _, a := range slices.Sorted(maps.Keys(tries[route])) {
			t := tries[route][a]
			at, err := lrs.At(a)
			if err != nil {
				continue
			}
			e := lrs.Endpoint{Address: at, Successful: lrs.Count(t.good), Errors: lrs.Count(t.lost),
				Issued: lrs.Count(t.good + t.lost), Metrics: []lrs.Metric{{Name: lrs.Spent, Finished: lrs.Count(t.good), Total: t.spent}}}
			orca.Each(t.load, func(name string, v float64) {
				e.Metrics = append(e.Metrics, lrs.Metric{Name: name, Finished: 1, Total: v})
			})
			up.Endpoints = append(up.Endpoints, e)
		}
		q.ClusterStats = append(q.ClusterStats, lrs.Cluster{Name: route, Localities: []lrs.Upstream{up}})
	}
	if len(q.ClusterStats) == 0 {
		return
	}
	body, err := json.Marshal(q)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Director+"/v1/proxies/"+c.Name+"/reports", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", key)
	if res, err := c.client.Do(req); err == nil {
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
}
