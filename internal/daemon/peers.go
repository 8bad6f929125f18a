package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/director"
	"vetchwood/internal/lease"
	"vetchwood/internal/peerfacts"
)

// maxFactsBytes is the maximum length of another director's facts. Longer ones are cut off and fail to decode.
const maxFactsBytes = 16 << 20

// peerTimeout limits one request for facts. At a start, facts that take longer are not worth waiting for.
const peerTimeout = 700 * time.Millisecond

// peerQuery returns a function that requests the facts of all other directors concurrently and posts those received,
// with their ages. A peer that fails is logged and left out.
func peerQuery(leases *lease.Manager, d *director.Director, log *slog.Logger) func(context.Context) {
	client := &http.Client{Timeout: peerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second,
		DialContext: (&net.Dialer{Timeout: peerTimeout / 2}).DialContext}}
	return func(ctx context.Context) {
		var mu sync.Mutex
		var reports []peerfacts.Report
		var requests sync.WaitGroup
		for _, p := range leases.Peers() {
			requests.Go(func() {
				began := time.Now()
				f, err := fetchFacts(ctx, client, p)
				if err != nil {
					log.Warn("peer.not_heard", "peer", p.Name, "error", err)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				reports = append(reports, peerfacts.Report{Facts: f, Age: float64(time.Since(began).Microseconds()) / 1000})
			})
		}
		requests.Wait()
		if len(reports) > 0 {
			d.Post(control.PeerFacts{Peers: reports})
		}
	}
}

// fetchFacts requests a peer's facts and checks that they are that peer's.
func fetchFacts(ctx context.Context, client *http.Client, p lease.Peer) (f peerfacts.Facts, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(p.URL, "/")+"/v1/peers/facts", nil)
	if err != nil {
		return f, err
	}
	res, err := client.Do(req)
	if err != nil {
		return f, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxFactsBytes))
	if err != nil {
		return f, err
	}
	if res.StatusCode != http.StatusOK {
		return f, fmt.Errorf("%s: %.200s", res.Status, body)
	}
	if err := json.Unmarshal(body, &f); err != nil {
		return f, err
	}
	if f.Director != p.Name {
		return f, fmt.Errorf("director at %s identifies itself as %q", p.URL, f.Director)
	}
	f.Leaving = p.Leaving
	return f, nil
}
