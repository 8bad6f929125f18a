// Package follow keeps a proxy's tables up to date: it polls a director by the long-poll API, takes differences
// where its base allows and the whole document where it does not, goes on to another director when one fails, and
// with what it holds while none answers. Which version takes effect is decided in package following.
package follow

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eclipse/paho.golang/paho"

	"vetchwood/internal/following"
	"vetchwood/internal/tables"
)

// Update is one answer that took effect.
type Update struct {
	Doc   *tables.Document
	Lines int // operations of the difference, or lines of a whole document
	Full  bool
	// From is the director's place in the list, where all of them are followed; Raw is its own document then, and Doc what
	// came of all.
	DirectorIndex int
	Raw           *tables.Document
}

// Source is where to poll, and as whom.
type Config struct {
	Directors []string // base URLs
	Proxy     string
	Zone      string
	Rate      float64
	MaxWait   time.Duration
	Watch     bool   // look on: follow what all proxies are told, without being one
	CacheFile string // file that the document in force is kept in; empty: none
	// Seen hears of each update before the next poll, Joined of each change between being joined and not.
	OnUpdate     func(Update)
	OnJoinChange func(director string, on bool)
	Log          *slog.Logger
}

// Follower is a running one.
type Follower struct {
	src       Config
	client    *http.Client
	reports   *http.Client
	epoch     time.Time
	chooser   *following.Chooser
	held      atomic.Pointer[tables.Document]
	at        atomic.Int32 // the director polled last
	joined    bool
	stale     atomic.Uint64
	publisher atomic.Pointer[paho.Client] // of the subscription that is up
	whole     bool                        // the next answer must be whole
	kept      *tables.Document
	keptAt    time.Time

	mu  sync.Mutex
	cut time.Time
	end context.CancelFunc
}

// leaseHeader says for how many milliseconds after its poll was sent an answer may take effect.
const leaseHeader = "Vetchwood-Lease"

var errStale = errors.New("the answer's lease is over")

const mostDocument = 64 << 20

func New(src Config) *Follower {
	if src.Log == nil {
		src.Log = slog.New(slog.DiscardHandler)
	}
	return &Follower{src: src, epoch: time.Now(), chooser: following.NewChooser(len(src.Directors)),
		client: newClient(), reports: newClient()}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
}

// Held is the document in force, nil before the first.
func (f *Follower) Document() *tables.Document { return f.held.Load() }

// Director is the one polled last.
func (f *Follower) Director() string {
	return strings.TrimRight(f.src.Directors[f.at.Load()], "/")
}

// Cut keeps it from its directors for a while.
func (f *Follower) DisconnectFor(long time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut = time.Now().Add(long); f.end != nil {
		f.end()
	}
}

func (f *Follower) now() float64 { return float64(time.Since(f.epoch).Microseconds()) / 1000 }

// Run polls until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.load()
	defer f.client.CloseIdleConnections()
	defer f.reports.CloseIdleConnections()
	defer f.join(false)
	defer f.keep(true)
	for ctx.Err() == nil {
		f.mu.Lock()
		poll, end := context.WithCancel(ctx)
		f.end = end
		cut := time.Until(f.cut)
		f.mu.Unlock()
		director, when := f.chooser.Next(f.now())
		if wait := max(cut, time.Duration((when-f.now())*float64(time.Millisecond))); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
			end()
			continue
		}
		f.at.Store(int32(director))
		err := f.contact(poll, f.src.Directors[director])
		end()
		switch {
		case errors.Is(err, errStale):
			f.chooser.Succeeded(director)
		case err == nil:
			f.chooser.Succeeded(director)
			f.keep(false)
		case ctx.Err() == nil:
			f.join(false)
			f.chooser.Failed(director, f.now(), rand.Float64())
			var later *laterError
			if errors.As(err, &later) {
				f.chooser.Defer(director, f.now(), later.wait)
			}
			f.src.Log.Warn("follow.failed", "proxy", f.src.Proxy, "director", f.src.Directors[director], "error", err)
		}
	}
}

func (f *Follower) join(on bool) {
	if f.joined != on {
		f.joined = on
		if f.src.OnJoinChange != nil {
			f.src.OnJoinChange(f.Director(), on)
		}
	}
}

func (f *Follower) poll(ctx context.Context, director string) error {
	held := f.held.Load()
	// A director that is gone without a word must not hold the poll for ever.
	ctx, cancel := context.WithTimeout(ctx, f.src.MaxWait+3*time.Second)
	defer cancel()
	at := f.path(director)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return err
	}
	if held != nil && !f.whole {
		req.Header.Set("If-None-Match", held.Tag().ETag())
		req.Header.Set("A-IM", "json-patch")
		req.Header.Set("Prefer", "wait="+strconv.Itoa(int(f.src.MaxWait.Seconds())))
	}
	sent := time.Now()
	res, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, mostDocument))
	if err != nil {
		return err
	}
	if lease, err := strconv.Atoi(res.Header.Get(leaseHeader)); err == nil && res.StatusCode != http.StatusNotModified &&
		!following.WithinLease(float64(lease), float64(time.Since(sent).Microseconds())/1000) {
		// It may have come long after it was written, from a director that holds nothing any more: a new poll tells.
		f.stale.Add(1)
		return errStale
	}
	switch res.StatusCode {
	case http.StatusNotModified:
		f.join(true)
		return nil
	case http.StatusOK:
		return f.complete(body, res.Header.Get("ETag"))
	case http.StatusIMUsed:
		if im := res.Header.Get("IM"); im != "json-patch" {
			return f.refuse("a difference by %.40q", im)
		}
		return f.patched(body, res.Header.Get("ETag"), res.Header.Get("Delta-Base"))
	}
	err = fmt.Errorf("poll: %s: %.200s", res.Status, body)
	if after, unread := strconv.Atoi(res.Header.Get("Retry-After")); unread == nil && after > 0 {
		// Seconds are whole: many that are told the same would come back together.
		return &laterError{err, float64(after) * 1000 * (0.75 + rand.Float64()/2)}
	}
	return err
}

// laterError is a director's wish to be left alone for some milliseconds.
type laterError struct {
	error
	wait float64
}

// contact polls a director once, or subscribes to it until the connection ends, by its URL.
func (f *Follower) contact(ctx context.Context, director string) error {
	if u, err := url.Parse(director); err == nil && u.Scheme == MQTTScheme {
		return f.subscribe(ctx, u)
	}
	return f.poll(ctx, director)
}

// complete takes a whole document, patched a difference from what is held.
func (f *Follower) complete(body []byte, tag string) error {
	d, err := tables.Parse(body)
	if err != nil {
		return f.refuse("%v", err)
	}
	if err := f.take(tag, d, lines(d), true); err != nil {
		return err
	}
	f.whole = false
	return nil
}

func (f *Follower) patched(body []byte, tag, base string) error {
	held := f.held.Load()
	if held == nil || base != held.Tag().ETag() {
		return f.refuse("difference from %.80s is not from what is held", base)
	}
	d, err := tables.Apply(held, body)
	if err != nil {
		return f.refuse("%v", err)
	}
	return f.take(tag, d, bytes.Count(body, []byte(`"op":`)), false)
}

// Report sends sums to the director that is followed, and gives the status by which they were taken.
func (f *Follower) Report(ctx context.Context, director, key string, body []byte) (status int, text string, err error) {
	if u, err := url.Parse(director); err == nil && u.Scheme == MQTTScheme {
		return f.publish(ctx, key, body)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, director+"/v1/proxies/"+url.PathEscape(f.src.Proxy)+"/reports", bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", key)
	res, err := f.reports.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	answer, _ := io.ReadAll(io.LimitReader(res.Body, 1<<16))
	return res.StatusCode, string(answer), nil
}

func (f *Follower) path(director string) string {
	if f.src.Watch {
		return strings.TrimRight(director, "/") + "/v1/tables"
	}
	return fmt.Sprintf("%s/v1/proxies/%s/tables?zone=%s&rate=%s", strings.TrimRight(director, "/"),
		url.PathEscape(f.src.Proxy), url.QueryEscape(f.src.Zone), strconv.FormatFloat(f.src.Rate, 'g', 4, 64))
}

// refuse lets go of a difference that can't be followed: the next poll brings the whole document. What is held stays
// in force.
func (f *Follower) refuse(format string, args ...any) error {
	f.whole = true
	return fmt.Errorf(format, args...)
}

func version(d *tables.Document) following.Version {
	return following.Version{Line: d.Line, Step: d.Step, At: d.At}
}

func (f *Follower) take(told string, d *tables.Document, n int, whole bool) error {
	if tag := d.Tag().ETag(); tag != told {
		return f.refuse("the content of %.80s has the tag %s", told, tag)
	}
	var held *following.Version
	if was := f.held.Load(); was != nil {
		v := version(was)
		held = &v
	}
	switch following.Evaluate(held, version(d)) {
	case following.Older:
		return fmt.Errorf("version %s is older than %s, which is held", d.Version, f.held.Load().Version)
	case following.Duplicate:
		f.join(true)
		return nil
	}
	f.held.Store(d)
	f.join(true)
	if f.src.OnUpdate != nil {
		f.src.OnUpdate(Update{Doc: d, Raw: d, Lines: n, Full: whole})
	}
	return nil
}

// load starts from the document that was kept, if there is one that can be followed.
func (f *Follower) load() {
	if f.src.CacheFile == "" || f.held.Load() != nil {
		return
	}
	text, err := os.ReadFile(f.src.CacheFile)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var d *tables.Document
	if err == nil {
		d, err = tables.Parse(text)
	}
	if err != nil {
		f.src.Log.Warn("follow.kept_unreadable", "file", f.src.CacheFile, "error", err)
		return
	}
	f.src.Log.Info("follow.kept", "version", d.Version, "age", time.Since(time.UnixMilli(int64(d.At))).Round(time.Second).String())
	f.held.Store(d)
	f.kept = d
	if f.src.OnUpdate != nil {
		f.src.OnUpdate(Update{Doc: d, Raw: d, Lines: lines(d), Full: true})
	}
}

// keep writes the document in force, now and then; a file is replaced whole or not at all.
func (f *Follower) keep(last bool) {
	d := f.held.Load()
	if f.src.CacheFile == "" || d == nil || d == f.kept || !last && time.Since(f.keptAt) < time.Second {
		return
	}
	f.kept, f.keptAt = d, time.Now()
	next := f.src.CacheFile + ".next"
	err := os.WriteFile(next, d.Whole(), 0o600)
	if err == nil {
		err = os.Rename(next, f.src.CacheFile)
	}
	if err != nil {
		f.src.Log.Warn("follow.not_kept", "file", f.src.CacheFile, "error", err)
	}
}

func lines(d *tables.Document) (n int) {
	for _, t := range d.Tables {
		n += len(t.Lines)
	}
	return n + len(d.Routes) + len(d.Masked)
}
