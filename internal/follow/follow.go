// Package follow keeps the tables of a proxy up to date. It polls a director by the long-poll API or subscribes to it
// by MQTT, and applies a delta if its base is the document in force, a full document otherwise. When a director fails,
// it turns to the next one; while none answers, the document in force stays valid. Package followpolicy decides which
// version takes effect.
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

	"vetchwood/internal/followpolicy"
	"vetchwood/internal/tables"
)

// Update describes a document that took effect.
type Update struct {
	Doc   *tables.Document // the document in force from now on
	Lines int              // size of the update: operations of a delta, or lines, routes and masks of a full document
	Full  bool             // whether the update was a full document, not a delta
	// DirectorIndex is the place in Config.Directors of the director that sent the update, if all directors are
	// followed at once. Raw is the document that it sent; in that case, Doc is the merged document of all directors.
	DirectorIndex int
	Raw           *tables.Document
}

// Config holds the settings of a follower.
type Config struct {
	Directors    []string      // base URLs; those with the scheme MQTTScheme are subscribed to
	Proxy        string        // name of the proxy
	Zone         string        // zone of the proxy
	ExpectedRate float64       // calls per second that the proxy expects to forward
	MaxWait      time.Duration // maximum time that a director may keep a poll pending
	Watch        bool          // follow the document that is published to all proxies, without joining as a proxy
	CacheFile    string        // file that stores the document in force; empty: none
	// OnUpdate is called after each update and before the next poll, OnJoinChange whenever the proxy joins a director
	// or leaves it. Both are optional.
	OnUpdate     func(Update)
	OnJoinChange func(director string, joined bool)
	Log          *slog.Logger
}

// Follower follows one director at a time and switches to another one when it fails.
type Follower struct {
	config          Config
	pollClient      *http.Client
	reportClient    *http.Client
	epoch           time.Time
	chooser         *followpolicy.Chooser
	document        atomic.Pointer[tables.Document]
	currentDirector atomic.Int32 // index of the director polled last
	joined          bool
	staleResponses  atomic.Uint64
	mqttClient      atomic.Pointer[paho.Client] // client of the open subscription, nil without one
	needsFull       bool                        // the next response must be a full document
	cached          *tables.Document            // the document in the cache file
	cachedAt        time.Time

	mu           sync.Mutex
	blockedUntil time.Time
	cancelPoll   context.CancelFunc
}

// leaseHeader limits how long after its poll was sent a response may take effect, in milliseconds.
const leaseHeader = "Vetchwood-Lease"

var errLeaseExpired = errors.New("response arrived after the director's lease had expired")

// maxDocumentBytes limits how much of a response to a poll is read.
const maxDocumentBytes = 64 << 20

// New returns a follower, which starts with Run.
func New(config Config) *Follower {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	return &Follower{config: config, epoch: time.Now(), chooser: followpolicy.NewChooser(len(config.Directors)),
		pollClient: newClient(), reportClient: newClient()}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// Document returns the document in force, nil before the first one.
func (f *Follower) Document() *tables.Document { return f.document.Load() }

// Director returns the URL of the director polled last.
func (f *Follower) Director() string {
	return strings.TrimRight(f.config.Directors[f.currentDirector.Load()], "/")
}

// DisconnectFor cancels the current poll and sends no other one for the given duration.
func (f *Follower) DisconnectFor(duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.blockedUntil = time.Now().Add(duration); f.cancelPoll != nil {
		f.cancelPoll()
	}
}

// now returns the time since the follower was created in milliseconds.
func (f *Follower) now() float64 { return float64(time.Since(f.epoch).Microseconds()) / 1000 }

// Run follows the directors until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.loadCache()
	defer f.pollClient.CloseIdleConnections()
	defer f.reportClient.CloseIdleConnections()
	defer f.setJoined(false)
	defer f.saveCache(true)
	for ctx.Err() == nil {
		f.mu.Lock()
		pollCtx, cancel := context.WithCancel(ctx)
		f.cancelPoll = cancel
		blockedFor := time.Until(f.blockedUntil)
		f.mu.Unlock()
		director, when := f.chooser.Next(f.now())
		if wait := max(blockedFor, time.Duration((when-f.now())*float64(time.Millisecond))); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
			cancel()
			continue
		}
		f.currentDirector.Store(int32(director))
		err := f.pollOrSubscribe(pollCtx, f.config.Directors[director])
		cancel()
		switch {
		case errors.Is(err, errLeaseExpired): // The director responded, so it is polled again at once.
			f.chooser.Succeeded(director)
		case err == nil:
			f.chooser.Succeeded(director)
			f.saveCache(false)
		case ctx.Err() == nil:
			f.setJoined(false)
			f.chooser.Failed(director, f.now(), rand.Float64())
			var retryAfter *retryAfterError
			if errors.As(err, &retryAfter) {
				f.chooser.Defer(director, f.now(), retryAfter.delayMs)
			}
			f.config.Log.Warn("follow.failed", "proxy", f.config.Proxy, "director", f.config.Directors[director], "error", err)
		}
	}
}

// setJoined records whether the proxy has joined the current director, and calls OnJoinChange if that changed.
func (f *Follower) setJoined(joined bool) {
	if f.joined != joined {
		f.joined = joined
		if f.config.OnJoinChange != nil {
			f.config.OnJoinChange(f.Director(), joined)
		}
	}
}

// poll sends one poll to a director and applies the response.
func (f *Follower) poll(ctx context.Context, director string) error {
	current := f.document.Load()
	// The timeout ends a poll at a director whose machine failed without closing the connection.
	ctx, cancel := context.WithTimeout(ctx, f.config.MaxWait+3*time.Second)
	defer cancel()
	tablesURL := f.tablesURL(director)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, tablesURL, nil)
	if err != nil {
		return err
	}
	if current != nil && !f.needsFull {
		req.Header.Set("If-None-Match", current.Tag().ETag())
		req.Header.Set("A-IM", "json-patch")
		req.Header.Set("Prefer", "wait="+strconv.Itoa(int(f.config.MaxWait.Seconds())))
	}
	sent := time.Now()
	res, err := f.pollClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxDocumentBytes))
	if err != nil {
		return err
	}
	if lease, err := strconv.Atoi(res.Header.Get(leaseHeader)); err == nil && res.StatusCode != http.StatusNotModified &&
		!followpolicy.WithinLease(float64(lease), float64(time.Since(sent).Microseconds())/1000) {
		// The response may have been written long ago by a director that owns no slice any more; a new poll shows the
		// current state.
		f.staleResponses.Add(1)
		return errLeaseExpired
	}
	switch res.StatusCode {
	case http.StatusNotModified:
		f.setJoined(true)
		return nil
	case http.StatusOK:
		return f.applyFull(body, res.Header.Get("ETag"))
	case http.StatusIMUsed:
		if im := res.Header.Get("IM"); im != "json-patch" {
			return f.rejectf("unsupported delta encoding %.40q in the IM header", im)
		}
		return f.applyDelta(body, res.Header.Get("ETag"), res.Header.Get("Delta-Base"))
	}
	err = fmt.Errorf("poll: %s: %.200s", res.Status, body)
	if seconds, parseErr := strconv.Atoi(res.Header.Get("Retry-After")); parseErr == nil && seconds > 0 {
		// The header has whole seconds: without jitter, proxies that got the same value would all retry at once.
		return &retryAfterError{err, float64(seconds) * 1000 * (0.75 + rand.Float64()/2)}
	}
	return err
}

// retryAfterError is a failed poll whose response has a Retry-After header; delayMs is its jittered value in
// milliseconds.
type retryAfterError struct {
	error
	delayMs float64
}

// pollOrSubscribe polls a director once or, if its URL has the scheme MQTTScheme, subscribes to it until the connection
// ends.
func (f *Follower) pollOrSubscribe(ctx context.Context, director string) error {
	if u, err := url.Parse(director); err == nil && u.Scheme == MQTTScheme {
		return f.subscribe(ctx, u)
	}
	return f.poll(ctx, director)
}

// applyFull applies a full document. The parameter tag is its entity tag as given by the director.
func (f *Follower) applyFull(body []byte, tag string) error {
	d, err := tables.Parse(body)
	if err != nil {
		return f.rejectf("%v", err)
	}
	if err := f.applyDocument(tag, d, countLines(d), true); err != nil {
		return err
	}
	f.needsFull = false
	return nil
}

// applyDelta applies a JSON patch to the document in force, which must have the entity tag base. The parameter tag is
// the entity tag of the result.
func (f *Follower) applyDelta(body []byte, tag, base string) error {
	current := f.document.Load()
	if current == nil || base != current.Tag().ETag() {
		return f.rejectf("delta base %.80s is not the document in force", base)
	}
	d, err := tables.Apply(current, body)
	if err != nil {
		return f.rejectf("%v", err)
	}
	return f.applyDocument(tag, d, bytes.Count(body, []byte(`"op":`)), false)
}

// Report sends a load report to a director and returns the status and the body of the response. The key identifies the
// report, so that a repeated one is counted once. Over MQTT, the reason code is mapped to an HTTP status.
func (f *Follower) Report(ctx context.Context, director, key string, body []byte) (status int, text string, err error) {
	if u, err := url.Parse(director); err == nil && u.Scheme == MQTTScheme {
		return f.publishReport(ctx, key, body)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		director+"/v1/proxies/"+url.PathEscape(f.config.Proxy)+"/reports", bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", key)
	res, err := f.reportClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	responseBody, _ := io.ReadAll(io.LimitReader(res.Body, 1<<16))
	return res.StatusCode, string(responseBody), nil
}

// tablesURL returns the URL to poll at a director.
func (f *Follower) tablesURL(director string) string {
	if f.config.Watch {
		return strings.TrimRight(director, "/") + "/v1/tables"
	}
	return fmt.Sprintf("%s/v1/proxies/%s/tables?zone=%s&rate=%s", strings.TrimRight(director, "/"),
		url.PathEscape(f.config.Proxy), url.QueryEscape(f.config.Zone), strconv.FormatFloat(f.config.ExpectedRate, 'g', 4, 64))
}

// rejectf returns an error about a document or a delta that can't be applied, and lets the next poll request a full
// document. The document in force stays unchanged.
func (f *Follower) rejectf(format string, args ...any) error {
	f.needsFull = true
	return fmt.Errorf(format, args...)
}

func versionOf(d *tables.Document) followpolicy.Version {
	return followpolicy.Version{History: d.History, Step: d.Step, At: d.At}
}

// applyDocument puts a document into force if its content has the expected entity tag and it is newer than the document
// in force.
func (f *Follower) applyDocument(expectedTag string, d *tables.Document, lineCount int, full bool) error {
	if tag := d.Tag().ETag(); tag != expectedTag {
		return f.rejectf("entity tag mismatch: director sent %.80s, content has %s", expectedTag, tag)
	}
	var current *followpolicy.Version
	if doc := f.document.Load(); doc != nil {
		v := versionOf(doc)
		current = &v
	}
	switch followpolicy.Evaluate(current, versionOf(d)) {
	case followpolicy.Older:
		return fmt.Errorf("offered version %s is older than version %s in force", d.Version, f.document.Load().Version)
	case followpolicy.Duplicate:
		f.setJoined(true)
		return nil
	}
	f.document.Store(d)
	f.setJoined(true)
	if f.config.OnUpdate != nil {
		f.config.OnUpdate(Update{Doc: d, Raw: d, Lines: lineCount, Full: full})
	}
	return nil
}

// loadCache puts the document of the cache file into force, if the file exists and can be parsed.
func (f *Follower) loadCache() {
	if f.config.CacheFile == "" || f.document.Load() != nil {
		return
	}
	text, err := os.ReadFile(f.config.CacheFile)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var d *tables.Document
	if err == nil {
		d, err = tables.Parse(text)
	}
	if err != nil {
		f.config.Log.Warn("follow.kept_unreadable", "file", f.config.CacheFile, "error", err)
		return
	}
	f.config.Log.Info("follow.kept", "version", d.Version,
		"age", time.Since(time.UnixMilli(int64(d.At))).Round(time.Second).String())
	f.document.Store(d)
	f.cached = d
	if f.config.OnUpdate != nil {
		f.config.OnUpdate(Update{Doc: d, Raw: d, Lines: countLines(d), Full: true})
	}
}

// saveCache writes the document in force to the cache file, at most once a second unless force is set. The file is
// replaced by a rename, so that it never holds a partial document.
func (f *Follower) saveCache(force bool) {
	d := f.document.Load()
	if f.config.CacheFile == "" || d == nil || d == f.cached || !force && time.Since(f.cachedAt) < time.Second {
		return
	}
	f.cached, f.cachedAt = d, time.Now()
	tempFile := f.config.CacheFile + ".next"
	err := os.WriteFile(tempFile, d.JSON(), 0o600)
	if err == nil {
		err = os.Rename(tempFile, f.config.CacheFile)
	}
	if err != nil {
		f.config.Log.Warn("follow.not_kept", "file", f.config.CacheFile, "error", err)
	}
}

// countLines returns the number of lines, routes and masks in a document, which together are the size of a full update.
func countLines(d *tables.Document) (n int) {
	for _, t := range d.Tables {
		n += len(t.Lines)
	}
	return n + len(d.Routes) + len(d.Masked)
}
