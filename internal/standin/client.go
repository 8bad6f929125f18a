package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"vetchwood/internal/verdict"
)

// Client makes calls at a proxy and records their outcomes. It never retries by itself.
type Client struct {
	Proxy    string // name, for the records
	URL      string // of the proxy
	Recorder *verdict.Recorder
	Now      func() float64 // Unix milliseconds
	http     *http.Client
}

// Call is a call to be made.
type Call struct {
	ID, Route, SliceKey string
	WorkMs              float64
	SendIdempotencyKey  bool
	TimeLimit           time.Duration
}

// NewClient returns a client of the proxy at url. The proxy's name and now are used for the records.
func NewClient(proxy, url string, recorder *verdict.Recorder, now func() float64) *Client {
	return &Client{Proxy: proxy, URL: url, Recorder: recorder, Now: now, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 15 * time.Second, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do makes a call and records its outcome.
func (c *Client) Do(ctx context.Context, call Call) verdict.Outcome {
	outcome := verdict.Outcome{Proxy: c.Proxy, Route: call.Route}
	start := c.Now()
	status := c.send(ctx, call)
	outcome.Answered, outcome.Throttled = status >= 200 && status < 300, status == http.StatusTooManyRequests
	outcome.At = c.Now()
	outcome.Latency = outcome.At - start
	c.Recorder.AddOutcome(outcome)
	return outcome
}

// send returns the status of the response, or 0 if the call failed.
func (c *Client) send(ctx context.Context, call Call) (status int) {
	ctx, cancel := context.WithTimeout(ctx, call.TimeLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+"/"+call.Route, nil)
	if err != nil {
		return 0
	}
	for name, v := range map[string]string{HeaderCall: call.ID, HeaderProxy: c.Proxy, HeaderRoute: call.Route,
		HeaderSliceKey: call.SliceKey, HeaderWorkMs: strconv.FormatFloat(call.WorkMs, 'f', 3, 64)} {
		req.Header.Set(name, v)
	}
	if call.SendIdempotencyKey {
		// Header.Set would write the canonical spelling, and net/http retries requests with that header by itself:
		// the result of the retry would then be recorded as that of the first attempt.
		req.Header["idempotency-key"] = []string{call.ID}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, res.Body)
	if res.Body.Close(); err != nil {
		return 0
	}
	return res.StatusCode
}
