package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"vetchwood/internal/judge"
)

// Client makes calls at a proxy and books how they end. It repeats nothing by itself.
type Client struct {
	Proxy    string // name, for the book
	URL      string // of the proxy
	Recorder *judge.Recorder
	Now      func() float64
	http     *http.Client
}

// Call is one to be made.
type Call struct {
	ID, Route, SliceKey string
	WorkMs              float64
	SendIdempotencyKey  bool
	TimeLimit           time.Duration
}

func NewClient(proxy, url string, book *judge.Recorder, now func() float64) *Client {
	return &Client{Proxy: proxy, URL: url, Recorder: book, Now: now, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64,
		IdleConnTimeout: 15 * time.Second, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
}

// Close lets go of its connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Make carries out a call and books its end.
func (c *Client) Do(ctx context.Context, call Call) judge.Outcome {
	end := judge.Outcome{Proxy: c.Proxy, Route: call.Route}
	began := c.Now()
	status := c.send(ctx, call)
	end.Answered, end.Throttled = status >= 200 && status < 300, status == http.StatusTooManyRequests
	end.At = c.Now()
	end.Latency = end.At - began
	c.Recorder.AddOutcome(end)
	return end
}

func (c *Client) send(ctx context.Context, call Call) (status int) {
	ctx, cancel := context.WithTimeout(ctx, call.TimeLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+"/"+call.Route, nil)
	if err != nil {
		return 0
	}
	for name, v := range map[string]string{HeaderCall: call.ID, HeaderProxy: c.Proxy, HeaderRoute: call.Route, HeaderSliceKey: call.SliceKey,
		HeaderWorkMs: strconv.FormatFloat(call.WorkMs, 'f', 3, 64)} {
		req.Header.Set(name, v)
	}
	if call.SendIdempotencyKey {
		// Not by Set: the library tries requests again by itself that bear the header in its own spelling, and
		// what the second try met would be taken for the first one's fate.
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
