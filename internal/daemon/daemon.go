// Package daemon assembles and runs the processes of a director and a relay. For a director it connects the store, the
// fronts, discovery, the probes, slice leases, memory limits, metrics, health and reloads.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"time"

	"github.com/coreos/go-systemd/v22/daemon"

	"vetchwood/internal/budget"
	"vetchwood/internal/control"
	"vetchwood/internal/director"
	"vetchwood/internal/discovery"
	"vetchwood/internal/lease"
	"vetchwood/internal/longpoll"
	"vetchwood/internal/mqtt"
	"vetchwood/internal/orca"
	"vetchwood/internal/settings"
	"vetchwood/internal/store"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Run runs a director until the context ends or an essential part fails. When the context ends, the director hands its
// slices over to others before it stops.
func Run(ctx context.Context, s *settings.Director, log *slog.Logger, reloaders ...Reloader) error {
	log = log.With("director", s.Name)
	st, err := store.Open(s.StorePath, s.History)
	if err != nil {
		return err
	}
	defer st.Close()
	d, err := director.New(s.Service, st, newProber(s), log)
	if err != nil {
		return err
	}
	var leases *lease.Manager
	if s.SliceLease != nil {
		leaseConfig := *s.SliceLease
		leaseConfig.UnixMillis = func() float64 { return float64(time.Now().UnixMilli()) }
		if leases, err = lease.New(s.Name, d.HistoryID(), leaseConfig, d.Now, d.Post, log); err != nil {
			return err
		}
		d.OnRecord(leases.StoreRecord)
		d.OnQueryPeers(peerQuery(leases, d, log))
	}
	resourceBudget, err := setUpMemory(ctx, s)
	if err != nil {
		return err
	}
	front, err := longpoll.Listen(s.Listen, d.ForFront(0), s.LongPoll, log)
	if err != nil {
		return fmt.Errorf("listen %s: %w", s.Listen, err)
	}
	fronts := []director.Front{front}
	var mqttFront *mqtt.Server
	resourceBudget.OnEvict(func(c budget.ClientID) {
		if front.CloseClient(c); mqttFront != nil {
			mqttFront.CloseClient(c)
		}
	})
	if s.MQTT != nil {
		if mqttFront, err = mqtt.Listen(s.MQTT.Listen, d.ForFront(1), s.MQTT.Limits, log); err != nil {
			front.Close()
			return fmt.Errorf("mqtt listen %s: %w", s.MQTT.Listen, err)
		}
		fronts = append(fronts, mqttFront)
	}
	shutdown := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failed := make(chan error, 4)
	if s.Admin != "" {
		admin, err := serveAdmin(s.Admin, d, front, mqttFront, st, leases, resourceBudget)
		if err != nil {
			front.Close()
			return fmt.Errorf("admin %s: %w", s.Admin, err)
		}
		defer admin.Close()
	}
	go func() { failed <- front.Serve() }()
	go func() {
		err := discovery.Follow(ctx, s.Discovery.Consul, s.Discovery.Service, s.Discovery.QueryWait,
			func(hosts []control.HostEntry) { d.Post(control.HostList{Hosts: hosts}) }, func() { d.Post(control.DiscoveryLost{}) }, log)
		if ctx.Err() == nil {
			failed <- err
		}
	}()
	ran := make(chan error, 1)
	go func() { ran <- d.Run(ctx, fronts...) }()
	if mqttFront != nil {
		go func() { failed <- mqttFront.Serve() }()
		log.Info("mqtt.started", "listen", mqttFront.Addr().String())
	}
	if leases != nil {
		go leases.Run(ctx)
	}
	go func() { // notifies the service manager once polls are answered
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for !d.Ready() {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
		notifyServiceManager(log, daemon.SdNotifyReady)
		for _, r := range reloaders { // handles signals that arrived earlier, too
			go r.run(ctx, maps.Clone(s.Attributes), front, st, resourceBudget, log)
		}
	}()
	log.Info("director.started", "listen", front.Addr().String(), "admin", s.Admin)
	select {
	case <-shutdown.Done():
		log.Info("director.stopping")
		notifyServiceManager(log, daemon.SdNotifyStopping)
		err = nil
		if leases != nil { // the director keeps serving while others take over its slices
			began := time.Now()
			wait, cancelWait := context.WithTimeout(ctx, min(10*time.Second, s.SliceLease.TTL))
			leases.Leave(wait)
			cancelWait()
			log.Info("director.handed_over", "slices_left", leases.HeldSlices(), "after", time.Since(began).String())
		}
	case err = <-failed:
	case err = <-ran:
		ran <- nil
	}
	cancel()
	front.Close()
	if mqttFront != nil {
		mqttFront.Close()
	}
	err = errors.Join(err, <-ran)
	log.Info("director.stopped", "step", uint64(d.Stats().Stored))
	return err
}

// newProber returns a prober that requests the probe path of a host by HTTP. A status below 400 counts as healthy.
func newProber(s *settings.Director) director.Prober {
	client := &http.Client{Timeout: s.ProbeTimeout, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: (&net.Dialer{Timeout: s.ProbeTimeout}).DialContext}}
	return func(ctx context.Context, host tables.Address) (bool, logic.Load) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(host)+s.ProbePath, nil)
		if err != nil {
			return false, logic.Load{}
		}
		res, err := client.Do(req)
		if err != nil {
			return false, logic.Load{}
		}
		res.Body.Close()
		load, _ := orca.Parse(res.Header.Get(orca.Header))
		return res.StatusCode < 400, load
	}
}
