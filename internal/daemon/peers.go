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
	"vetchwood/internal/learn"
	"vetchwood/internal/lease"
)

// mostFacts is what another director's facts may be long.
const mostFacts = 16 << 20

// peerPatience is for one answer: facts that take longer are not worth waiting for at a start.
const peerPatience = 700 * time.Millisecond

// peers asks all other directors at once for what they know, and passes on what comes, each by itself.
func peers(holder *lease.Manager, d *director.Director, log *slog.Logger) func(context.Context) {
	client := &http.Client{Timeout: peerPatience, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second,
		DialContext: (&net.Dialer{Timeout: peerPatience / 2}).DialContext}}
	return func(ctx context.Context) {
		var mu sync.Mutex
		var all []learn.PeerFacts
		var asked sync.WaitGroup
		for _, p := range holder.Peers() {
			asked.Go(func() {
				began := time.Now()
				f, err := ask(ctx, client, p)
				if err != nil {
					log.Warn("peer.not_heard", "peer", p.Name, "error", err)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				all = append(all, learn.PeerFacts{Facts: f, Age: float64(time.Since(began).Microseconds()) / 1000})
			})
		}
		asked.Wait()
		if len(all) > 0 {
			d.Post(control.PeerFacts{Peers: all})
		}
	}
}

func ask(ctx context.Context, client *http.Client, p lease.Peer) (f learn.Facts, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(p.URL, "/")+"/v1/peers/facts", nil)
	if err != nil {
		return f, err
	}
	res, err := client.Do(req)
	if err != nil {
		return f, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, mostFacts))
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
		return f, fmt.Errorf("%s answers as %q", p.URL, f.Director)
	}
	f.Leaving = p.Leaving
	return f, nil
}
