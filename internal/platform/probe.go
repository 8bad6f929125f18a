package platform

import (
	"context"
	"net/http"
	"time"

	"vetchwood/internal/eventloop"
	"vetchwood/internal/netutil"
	"vetchwood/internal/platform/codec"
	"vetchwood/internal/platform/hostwatch"
	"vetchwood/logic"
)

const (
	probeTimeout = time.Second
	// maxConcurrentProbes leaves room for probes that hang: during a release one host in eight may hang, and its probe
	// occupies a worker until the timeout.
	maxConcurrentProbes = 32
	maxQueuedProbes     = 64
	maxReportBytes      = 4 << 10
	// shortageRetryInterval is the wait before a probe that failed for lack of local resources is repeated.
	shortageRetryInterval = 50 * time.Millisecond
)

// prober runs health checks with bounded concurrency and at most one check per host at a time.
type prober struct {
	schema   *codec.Schema
	client   *http.Client
	inFlight map[logic.HostID]bool // hosts with a queued or running probe; used only by the event loop
	queue    chan probe
	post     func(...any)
}

// probe is a health check to be made.
type probe struct {
	host    logic.HostID
	address string
}

// probeResult is the outcome of a probe and the address that was probed.
type probeResult struct {
	logic.ProbeResult
	address string
}

func newProber(ctx context.Context, schema *codec.Schema, post func(...any)) *prober {
	p := &prober{schema: schema, client: hostwatch.NewClient(0), inFlight: map[logic.HostID]bool{},
		queue: make(chan probe, maxQueuedProbes), post: post}
	for range maxConcurrentProbes {
		go func() {
			for {
				select {
				case <-ctx.Done():
					return
				case t := <-p.queue:
					post(probeResult{p.probe(ctx, t), t.address})
				}
			}
		}()
	}
	return p
}

// enqueue queues a probe of a host. It does nothing if the host has no address, has a queued or running probe, or if
// the queue is full; the module orders another probe later. Only the event loop calls it.
func (p *prober) enqueue(host logic.HostID, address string) {
	if address == "" || p.inFlight[host] {
		return
	}
	select {
	case p.queue <- probe{host, address}:
		p.inFlight[host] = true
	default:
	}
}

func (p *prober) probe(ctx context.Context, t probe) logic.ProbeResult {
	began, path := time.Now(), "/health"
	if p.schema.HasLoadReports() {
		path = "/status/load"
	}
	result := logic.ProbeResult{Host: t.host}
	status, body, err := hostwatch.Get(ctx, p.client, "http://"+t.address+path, probeTimeout, maxReportBytes)
	for err != nil && netutil.IsLocalShortage(err) && time.Since(began) < probeTimeout && ctx.Err() == nil {
		eventloop.Pause(ctx, shortageRetryInterval) // no attempt reached the host, so this says nothing about it
		status, body, err = hostwatch.Get(ctx, p.client, "http://"+t.address+path, probeTimeout, maxReportBytes)
	}
	result.Healthy = err == nil && status == http.StatusOK
	if result.Healthy && p.schema.HasLoadReports() {
		result.Load, _ = p.schema.DecodeLoad(string(body)) // an unreadable report is ignored; the host did answer
	}
	result.Latency = logic.Millis(float64(time.Since(began).Nanoseconds()) / 1e6)
	return result
}
