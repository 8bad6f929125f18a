// Package watch follows discovery: it asks again at once, so that nothing between two answers is missed.
package watch

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

	"vetchwood/internal/nets"
	"vetchwood/internal/platform/codec"
	"vetchwood/internal/turns"
)

const (
	// waitFor is how long the agent may keep a call. It is short, since a silent agent is noticed only once that is over.
	waitFor = 1000 * time.Millisecond
	// answerFor is how long an answer may take that need not wait.
	answerFor = 500 * time.Millisecond
	retryUnit = 30 * time.Millisecond
	// idleFor is well inside the time within which the next call must come.
	idleFor  = 50 * time.Millisecond
	mostList = 8 << 20
)

// Told is put into the inbox with each answer; Source tells one who follows from the next.
type Told struct {
	Source int
	codec.List
}

// Client makes HTTP calls over our own sockets; idle ones are few and don't last.
func Client(idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: nets.DialContext, MaxIdleConns: idle, MaxIdleConnsPerHost: 1,
		DisableKeepAlives: idle == 0, IdleConnTimeout: 5 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: 8 << 10,
		WriteBufferSize: 1 << 10, ReadBufferSize: 4 << 10},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Get asks for a page that must come whole within that time.
func Get(ctx context.Context, client *http.Client, url string, within time.Duration, most int64) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, within)
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
	body, err = io.ReadAll(io.LimitReader(res.Body, most+1))
	if err == nil && int64(len(body)) > most {
		err = errors.New("the answer is longer than it may be")
	}
	return res.StatusCode, body, err
}

// Follow posts what discovery tells until the context ends. It begins with the whole list, and does so again after each failure.
func Follow(ctx context.Context, address string, source int, post func(...any), log *slog.Logger) {
	client := Client(1)
	defer client.CloseIdleConnections()
	index, failures := int64(-1), 0
	for ctx.Err() == nil {
		url, within := "http://"+address+"/v1/endpoints", answerFor
		if index >= 0 {
			url += "?after=" + strconv.FormatInt(index, 10) + "&wait_ms=" + strconv.FormatInt(waitFor.Milliseconds(), 10)
			within += waitFor
		}
		began := time.Now()
		l, err := ask(ctx, client, url, within)
		if ctx.Err() != nil {
			return
		}
		if err == nil && !l.Snapshot && l.Index < index {
			err = fmt.Errorf("the index went back from %d to %d", index, l.Index)
		}
		if err != nil {
			log.Warn("discovery.failed", "address", address, "error", err, "failures", failures)
			client.CloseIdleConnections()
			index = -1
			turns.Pause(ctx, turns.Backoff(min(failures, 8), retryUnit, rand.Float64()))
			failures++
			continue
		}
		index, failures = l.Index, 0
		if l.Snapshot || len(l.Endpoints) > 0 {
			post(Told{source, l})
		} else if spent := time.Since(began); spent < idleFor {
			turns.Pause(ctx, idleFor-spent) // an agent that never waits is not asked without end
		}
	}
}

func ask(ctx context.Context, client *http.Client, url string, within time.Duration) (codec.List, error) {
	status, body, err := Get(ctx, client, url, within, mostList)
	if err != nil {
		return codec.List{}, err
	}
	if status != http.StatusOK {
		return codec.List{}, fmt.Errorf("status %d", status)
	}
	return codec.ReadList(body)
}
