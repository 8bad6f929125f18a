// Package follow keeps a proxy's tables up to date: it polls a director by the long-poll API, takes differences
// where its base allows and the whole document where it does not, and goes on with what it holds while no
// director answers.
package follow

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"vetchwood/internal/tables"
)

// Update is one answer that changed what is held.
type Update struct {
	Doc   *tables.Document
	Lines int // operations of the difference, or lines of a whole document
	Whole bool
}

// Source is where to poll, and as whom.
type Source struct {
	Director string // base URL
	Proxy    string
	Zone     string
	Rate     float64
	Wait     time.Duration
	// Seen hears of each update before the next poll, Joined of each change between being joined and not.
	Seen   func(Update)
	Joined func(bool)
	Log    *slog.Logger
	Client *http.Client
}

// Follower is a running one.
type Follower struct {
	src    Source
	held   atomic.Pointer[tables.Document]
	joined bool
	refuse int // differences refused
}

const mostDocument = 64 << 20

func New(src Source) *Follower {
	if src.Client == nil {
		src.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1,
			DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}}
	}
	if src.Log == nil {
		src.Log = slog.New(slog.DiscardHandler)
	}
	return &Follower{src: src}
}

// Held is the document in force, nil before the first.
func (f *Follower) Held() *tables.Document { return f.held.Load() }

// Hold starts from a document kept from earlier.
func (f *Follower) Hold(d *tables.Document) { f.held.Store(d) }

// Run polls until the context ends.
func (f *Follower) Run(ctx context.Context) {
	failures := 0
	defer f.join(false)
	for ctx.Err() == nil {
		err := f.poll(ctx)
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.join(false)
		failures++
		f.src.Log.Warn("follow.failed", "proxy", f.src.Proxy, "error", err, "failures", failures)
		// Jitter, so that proxies that lost a director together don't come back together.
		back := time.Duration(float64(50*time.Millisecond) * float64(min(failures, 10)) * (0.5 + rand.Float64()))
		select {
		case <-ctx.Done():
		case <-time.After(back):
		}
	}
}

func (f *Follower) join(on bool) {
	if f.joined != on {
		f.joined = on
		if f.src.Joined != nil {
			f.src.Joined(on)
		}
	}
}

func (f *Follower) poll(ctx context.Context) error {
	held := f.held.Load()
	// A director that is gone without a word must not hold the poll for ever.
	ctx, cancel := context.WithTimeout(ctx, f.src.Wait+3*time.Second)
	defer cancel()
	at := fmt.Sprintf("%s/v1/proxies/%s/tables?zone=%s&rate=%s", strings.TrimRight(f.src.Director, "/"),
		url.PathEscape(f.src.Proxy), url.QueryEscape(f.src.Zone), strconv.FormatFloat(f.src.Rate, 'g', 4, 64))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return err
	}
	if held != nil {
		req.Header.Set("If-None-Match", held.Tag().ETag())
		req.Header.Set("A-IM", "json-patch")
		req.Header.Set("Prefer", "wait="+strconv.Itoa(int(f.src.Wait.Seconds())))
	}
	res, err := f.src.Client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, mostDocument))
	if err != nil {
		return err
	}
	switch res.StatusCode {
	case http.StatusNotModified:
		f.join(true)
		return nil
	case http.StatusOK:
		d, err := tables.Parse(body)
		if err != nil {
			return err
		}
		return f.take(res, d, lines(d), true)
	case http.StatusIMUsed:
		if res.Header.Get("IM") != "json-patch" || held == nil || res.Header.Get("Delta-Base") != held.Tag().ETag() {
			return f.wrongBase("difference from %s by %q, but %s is held", res.Header.Get("Delta-Base"), res.Header.Get("IM"), held.Tag().ETag())
		}
		d, err := tables.Apply(held, body)
		if err != nil {
			return f.wrongBase("%v", err)
		}
		return f.take(res, d, bytes.Count(body, []byte(`"op":`)), false)
	default:
		return fmt.Errorf("poll: %s: %.200s", res.Status, body)
	}
}

// wrongBase lets go of what can't be followed on from: the next poll brings the whole document. Until then it
// stays in force.
func (f *Follower) wrongBase(format string, args ...any) error {
	f.refuse++
	if held := f.held.Load(); held != nil {
		stale := *held
		stale.Line = 0 // its tag is nobody's, so that nothing but a whole document can follow
		f.held.Store(&stale)
	}
	return fmt.Errorf(format, args...)
}

func (f *Follower) take(res *http.Response, d *tables.Document, n int, whole bool) error {
	if tag := d.Tag().ETag(); tag != res.Header.Get("ETag") {
		return f.wrongBase("the content of %s has the tag %s", res.Header.Get("ETag"), tag)
	}
	// A director that is behind must not take a proxy back.
	if held := f.held.Load(); held != nil && held.Line == d.Line && d.Step < held.Step {
		return fmt.Errorf("version %s is older than %s, which is held", d.Version, held.Version)
	}
	f.held.Store(d)
	f.join(true)
	if f.src.Seen != nil {
		f.src.Seen(Update{d, n, whole})
	}
	return nil
}

func lines(d *tables.Document) (n int) {
	for _, t := range d.Tables {
		n += len(t.Lines)
	}
	return n + len(d.Routes) + len(d.Masked)
}
