// Package daemon wires a director together: its store, the front, the list, the probes, metrics and health.
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
	"vetchwood/internal/lease"
	"vetchwood/internal/longpoll"
	"vetchwood/internal/mqtt"
	"vetchwood/internal/orca"
	"vetchwood/internal/roster"
	"vetchwood/internal/settings"
	"vetchwood/internal/store"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Run is a director's life: until the context ends, or something that it can't do without fails.
func Run(ctx context.Context, s *settings.Running, log *slog.Logger, again ...Again) error {
	log = log.With("director", s.Name)
	st, err := store.Open(s.StorePath, s.History)
	if err != nil {
		return err
	}
	defer st.Close()
	d, err := director.New(s.Service, st, prober(s), log)
	if err != nil {
		return err
	}
	var holder *lease.Manager
	if s.Custody != nil {
		terms := *s.Custody
		terms.UnixMillis = func() float64 { return float64(time.Now().UnixMilli()) }
		if holder, err = lease.New(s.Name, d.Line(), terms, d.Now, d.Post, log); err != nil {
			return err
		}
		d.Record(holder.StoreRecord)
		d.Peers(peers(holder, d, log))
	}
	ledger, err := memory(ctx, s)
	if err != nil {
		return err
	}
	front, err := longpoll.Listen(s.Listen, d.Entrance(0), s.Front, log)
	if err != nil {
		return fmt.Errorf("listen %s: %w", s.Listen, err)
	}
	fronts := []director.Front{front}
	var second *mqtt.Server
	ledger.Cuts(func(c budget.Client) {
		if front.Cut(c); second != nil {
			second.Cut(c)
		}
	})
	if s.MQTT != nil {
		if second, err = mqtt.Listen(s.MQTT.Listen, d.Entrance(1), s.MQTT.Limits, log); err != nil {
			front.Close()
			return fmt.Errorf("mqtt listen %s: %w", s.MQTT.Listen, err)
		}
		fronts = append(fronts, second)
	}
	asked := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	failed := make(chan error, 4)
	if s.Admin != "" {
		admin, err := serveAdmin(s.Admin, d, front, second, st, holder, ledger)
		if err != nil {
			front.Close()
			return fmt.Errorf("admin %s: %w", s.Admin, err)
		}
		defer admin.Close()
	}
	go func() { failed <- front.Serve() }()
	go func() {
		err := roster.Follow(ctx, s.Roster.Consul, s.Roster.Service, s.Roster.Wait,
			func(hosts []control.HostEntry) { d.Post(control.HostList{Hosts: hosts}) }, func() { d.Post(control.DiscoveryLost{}) }, log)
		if ctx.Err() == nil {
			failed <- err
		}
	}()
	ran := make(chan error, 1)
	go func() { ran <- d.Run(ctx, fronts...) }()
	if second != nil {
		go func() { failed <- second.Serve() }()
		log.Info("mqtt.started", "listen", second.Addr().String())
	}
	if holder != nil {
		go holder.Run(ctx)
	}
	go func() { // ready once polls are answered
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for !d.Ready() {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
		tell(log, daemon.SdNotifyReady)
		for _, a := range again { // a signal that came before is met now
			go a.follow(ctx, maps.Clone(s.Written), front, st, ledger, log)
		}
	}()
	log.Info("director.started", "listen", front.Addr().String(), "admin", s.Admin)
	select {
	case <-asked.Done():
		log.Info("director.stopping")
		tell(log, daemon.SdNotifyStopping)
		err = nil
		if holder != nil { // all goes on while others take over
			begun := time.Now()
			wait, end := context.WithTimeout(ctx, min(10*time.Second, s.Custody.TTL))
			holder.Leave(wait)
			end()
			log.Info("director.handed_over", "slices_left", holder.HeldSlices(), "after", time.Since(begun).String())
		}
	case err = <-failed:
	case err = <-ran:
		ran <- nil
	}
	cancel()
	front.Close()
	if second != nil {
		second.Close()
	}
	err = errors.Join(err, <-ran)
	log.Info("director.stopped", "step", uint64(d.Figures().Stored))
	return err
}

func prober(s *settings.Running) director.Prober {
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
