// Package roster follows the list of hosts where Consul's published HTTP interface keeps it: the health endpoint
// with blocking queries. It passes on what it is told, late or wrong as it may be.
package roster

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
	"vetchwood/internal/tables"
	"vetchwood/internal/turns"
	"vetchwood/logic"
)

// Names of the service's metadata that are read.
const (
	MetaZone    = "zone"
	MetaCell    = "cell"
	MetaStarted = "started_unix_ms"
)

// Maintenance is how check ids begin where a host was told to take no more: it drains.
const MaintenanceCheckPrefix = "_service_maintenance:"

// Follow tells each list as it comes, until the context ends. It asks again after failures, each time later; after the
// second it says that the list is lost. The next list ends that, so it is told again then.
func Follow(ctx context.Context, url, service string, wait time.Duration, tell func([]control.HostEntry), lost func(), log *slog.Logger) error {
	client, err := api.NewClient(&api.Config{Address: url})
	if err != nil {
		return err
	}
	index, failures := uint64(0), 0
	var told []control.HostEntry
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
			turns.Pause(ctx, turns.Backoff(failures, 100*time.Millisecond, rand.Float64()))
			continue
		}
		failed := failures >= 2
		failures = 0
		// An index that goes back means that the server started over: the next query must not block.
		if meta.LastIndex < index || meta.LastIndex == 0 {
			log.Warn("roster.index_reset", "was", index, "is", meta.LastIndex)
			index = 0
		} else {
			index = meta.LastIndex
		}
		if hosts := read(entries, log); first || failed || !slices.Equal(hosts, told) {
			tell(hosts)
			told, first = hosts, false
		}
		if spent := time.Since(began); index == 0 && spent < 100*time.Millisecond {
			turns.Pause(ctx, 100*time.Millisecond-spent) // a server that never blocks is not asked without end
		}
	}
	return ctx.Err()
}

func read(entries []*api.ServiceEntry, log *slog.Logger) (out []control.HostEntry) {
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
		l := control.HostEntry{ID: e.Service.ID, Address: tables.Address(net.JoinHostPort(address, strconv.Itoa(e.Service.Port))),
			Zone: e.Service.Meta[MetaZone], Cell: e.Service.Meta[MetaCell], Weight: float64(e.Service.Weights.Passing),
			State: state(e.Checks)}
		if ms, err := strconv.ParseFloat(e.Service.Meta[MetaStarted], 64); err == nil && ms > 0 {
			l.Born = ms
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b control.HostEntry) int { return strings.Compare(string(a.Address), string(b.Address)) })
	return out
}

func state(checks api.HealthChecks) logic.HostState {
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
