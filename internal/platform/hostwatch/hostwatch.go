// Package hostwatch follows the host list of the discovery service by long polling. It polls again at once after each
// response, so that no change is missed.
package hostwatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"vetchwood/internal/eventloop"
	"vetchwood/internal/netutil"
	"vetchwood/internal/platform/codec"
)

const (
	// pollWait is how long the service may hold a poll. It is short, because an unresponsive service is detected only
	// after it has elapsed.
	pollWait = 1000 * time.Millisecond
	// answerTimeout is how long the service may take to respond, in addition to pollWait for a poll that it may hold.
	answerTimeout = 500 * time.Millisecond
	backoffUnit   = 30 * time.Millisecond
	// minPollInterval is the pause before polling again if the service did not hold the poll. It is well below the time
	// within which the next poll must follow.
	minPollInterval = 50 * time.Millisecond
	maxListBytes    = 8 << 20
)

// Update is a response of the discovery service, posted to the inbox. WatchID is the ID that was passed to Follow.
type Update struct {
	WatchID int
	codec.List
}

// NewClient returns an HTTP client that dials with package netutil. It keeps at most the given number of idle
// connections, for up to 5 s each.
func NewClient(idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: netutil.DialContext, MaxIdleConns: idle, MaxIdleConnsPerHost: 1,
		DisableKeepAlives: idle == 0, IdleConnTimeout: 5 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: 8 << 10,
		WriteBufferSize: 1 << 10, ReadBufferSize: 4 << 10},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Get requests a URL. The complete response must arrive within the timeout, and its body must not exceed maxBytes.
func Get(ctx context.Context, client *http.Client, url string, timeout time.Duration, maxBytes int64) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	body, err = io.ReadAll(io.LimitReader(res.Body, maxBytes+1))
	if err == nil && int64(len(body)) > maxBytes {
		err = errors.New("response body exceeds the size limit")
	}
	return res.StatusCode, body, err
}

// Follow posts the responses of the discovery service as Updates with the ID of the watch, until the context is
// cancelled. It requests the complete host list at first and again after each failure.
func Follow(ctx context.Context, address string, watchID int, post func(...any), log *slog.Logger) {
	client := NewClient(1)
	defer client.CloseIdleConnections()
	index, failures := int64(-1), 0
	for ctx.Err() == nil {
		url, timeout := "http://"+address+"/v1/endpoints", answerTimeout
		if index >= 0 {
			url += "?after=" + strconv.FormatInt(index, 10) + "&wait_ms=" + strconv.FormatInt(pollWait.Milliseconds(), 10)
			timeout += pollWait
		}
		began := time.Now()
		l, err := fetchList(ctx, client, url, timeout)
		if ctx.Err() != nil {
			return
		}
		if err == nil && !l.Snapshot && l.Index < index {
			err = fmt.Errorf("index went back from %d to %d", index, l.Index)
		}
		if err != nil {
			log.Warn("discovery.failed", "address", address, "error", err, "failures", failures)
			client.CloseIdleConnections()
			index = -1
			eventloop.Pause(ctx, eventloop.Backoff(min(failures, 8), backoffUnit, rand.Float64()))
			failures++
			continue
		}
		index, failures = l.Index, 0
		if l.Snapshot || len(l.Endpoints) > 0 {
			post(Update{watchID, l})
		} else if spent := time.Since(began); spent < minPollInterval {
			eventloop.Pause(ctx, minPollInterval-spent) // avoid a busy loop if the service does not hold polls
		}
	}
}

// fetchList requests a host list and decodes it.
func fetchList(ctx context.Context, client *http.Client, url string, timeout time.Duration) (codec.List, error) {
	status, body, err := Get(ctx, client, url, timeout, maxListBytes)
	if err != nil {
		return codec.List{}, err
	}
	if status != http.StatusOK {
		return codec.List{}, fmt.Errorf("status %d", status)
	}
	return codec.DecodeList(body)
}
