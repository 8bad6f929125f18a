package platform

import (
	"context"
	"net/http"
	"time"

	"vetchwood/internal/nets"
	"vetchwood/internal/platform/codec"
	"vetchwood/internal/platform/watch"
	"vetchwood/internal/turns"
	"vetchwood/logic"
)

const (
	probeFor   = time.Second
	mostProbes = 32 // at once: of the hosts of a release one of eight may hang, and each holds its place for the whole time
	mostAsked  = 64
	mostReport = 4 << 10
	// shortagePause is the wait before a probe that failed for a want of our own is tried again.
	shortagePause = 50 * time.Millisecond
)

// prober asks hosts for their health, few at once and each host once at a time.
type prober struct {
	names  *codec.Schema
	client *http.Client
	asked  map[logic.HostID]bool
	todo   chan probe
	post   func(...any)
}

type probe struct {
	host    logic.HostID
	address string
}

// answer is a probe's outcome, and where it was asked.
type answer struct {
	logic.ProbeResult
	address string
}

func newProber(ctx context.Context, names *codec.Schema, post func(...any)) *prober {
	p := &prober{names: names, client: watch.NewClient(0), asked: map[logic.HostID]bool{}, todo: make(chan probe, mostAsked), post: post}
	for range mostProbes {
		go func() {
			for {
				select {
				case <-ctx.Done():
					return
				case t := <-p.todo:
					post(answer{p.probe(ctx, t), t.address})
				}
			}
		}()
	}
	return p
}

// ask is called by the loop alone. A host that is being asked, or has no address, or one too many, is not asked; the module asks
// again by itself.
func (p *prober) ask(host logic.HostID, address string) {
	if address == "" || p.asked[host] {
		return
	}
	select {
	case p.todo <- probe{host, address}:
		p.asked[host] = true
	default:
	}
}

func (p *prober) probe(ctx context.Context, t probe) logic.ProbeResult {
	began, page := time.Now(), "/health"
	if p.names.HasLoadReports() {
		page = "/status/load"
	}
	out := logic.ProbeResult{Host: t.host}
	status, body, err := watch.Get(ctx, p.client, "http://"+t.address+page, probeFor, mostReport)
	for err != nil && nets.IsLocalShortage(err) && time.Since(began) < probeFor && ctx.Err() == nil {
		turns.Pause(ctx, shortagePause) // no word of the host: it was not asked
		status, body, err = watch.Get(ctx, p.client, "http://"+t.address+page, probeFor, mostReport)
	}
	out.Healthy = err == nil && status == http.StatusOK
	if out.Healthy && p.names.HasLoadReports() {
		out.Load, _ = p.names.DecodeLoad(string(body)) // what can't be read is no report; the host answers all the same
	}
	out.Latency = logic.Millis(float64(time.Since(began).Nanoseconds()) / 1e6)
	return out
}
