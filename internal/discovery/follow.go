// Package discovery follows the host list of a service in Consul, by blocking queries to the health endpoint of its
// HTTP API. It does not check whether a list is current or correct.
package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/consul/api"

	"vetchwood/internal/control"
	"vetchwood/internal/eventloop"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Keys of the service metadata that describe a host.
const (
	MetaZone    = "zone"
	MetaCell    = "cell"
	MetaStarted = "started_unix_ms"
)

// MaintenanceCheckPrefix is the prefix of the IDs of the checks that Consul adds to a service in maintenance mode. Such
// a host drains.
const MaintenanceCheckPrefix = "_service_maintenance:"

// Follow calls notify with the host list whenever it changes, until the context ends. Each blocking query lasts up to
// wait. After failures it retries with backoff; after the second failure in a row it calls lost. The next list that
// arrives is passed on even if it is unchanged, because it ends that state.
func Follow(ctx context.Context, url, service string, wait time.Duration, notify func([]control.HostEntry), lost func(), log *slog.Logger) error {
	client, err := api.NewClient(&api.Config{Address: url})
	if err != nil {
		return err
	}
	index, failures := uint64(0), 0
	var notified []control.HostEntry
	first := true
	for ctx.Err() == nil {
		began := time.Now()
		entries, meta, err := client.Health().Service(service, "", false,
			(&api.QueryOptions{WaitIndex: index, WaitTime: wait}).WithContext(ctx))
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			if failures++; failures == 2 {
				lost()
			}
			log.Warn("roster.failed", "error", err, "failures", failures)
			index = 0
			eventloop.Pause(ctx, eventloop.Backoff(failures, 100*time.Millisecond, rand.Float64()))
			continue
		}
		wasLost := failures >= 2
		failures = 0
		// A lower index means that the server restarted: the next query must not block.
		if meta.LastIndex < index || meta.LastIndex == 0 {
			log.Warn("roster.index_reset", "was", index, "is", meta.LastIndex)
			index = 0
		} else {
			index = meta.LastIndex
		}
		if hosts := parseHosts(entries, log); first || wasLost || !slices.Equal(hosts, notified) {
			notify(hosts)
			notified, first = hosts, false
		}
		if spent := time.Since(began); index == 0 && spent < 100*time.Millisecond {
			eventloop.Pause(ctx, 100*time.Millisecond-spent) // limits the query rate to a server that never blocks
		}
	}
	return ctx.Err()
}

// parseHosts returns the hosts of a health response, sorted by address. It skips entries without a valid address and
// port.
func parseHosts(entries []*api.ServiceEntry, log *slog.Logger) (hosts []control.HostEntry) {
	for _, e := range entries {
		if e.Service == nil {
			continue
		}
		address := e.Service.Address
		if address == "" && e.Node != nil {
			address = e.Node.Address
		}
		if net.ParseIP(address) == nil || e.Service.Port <= 0 {
			log.Warn("roster.entry_skipped", "id", e.Service.ID, "address", address, "port", e.Service.Port)
			continue
		}
		h := control.HostEntry{ID: e.Service.ID, Address: tables.Address(net.JoinHostPort(address, strconv.Itoa(e.Service.Port))),
			Zone: e.Service.Meta[MetaZone], Cell: e.Service.Meta[MetaCell], Weight: float64(e.Service.Weights.Passing),
			State: hostState(e.Checks)}
		if ms, err := strconv.ParseFloat(e.Service.Meta[MetaStarted], 64); err == nil && ms > 0 {
			h.StartedAt = ms
		}
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b control.HostEntry) int { return strings.Compare(string(a.Address), string(b.Address)) })
	return hosts
}

// hostState returns Draining for a host in maintenance, Gone for one with a critical check, and Up otherwise.
func hostState(checks api.HealthChecks) logic.HostState {
	state := logic.Up
	for _, c := range checks {
		if strings.HasPrefix(c.CheckID, MaintenanceCheckPrefix) || c.CheckID == "_node_maintenance" {
			return logic.Draining
		}
		if c.Status == api.HealthCritical {
			state = logic.Gone
		}
	}
	return state
}
