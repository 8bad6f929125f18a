package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/consul/api"

	"vetchwood/internal/budget"
	"vetchwood/internal/daemon"
	"vetchwood/internal/judge"
	"vetchwood/internal/rehearse"
	"vetchwood/internal/roster"
	"vetchwood/internal/settings"
	"vetchwood/internal/standin"
)

func unixMs() float64 { return float64(time.Now().UnixMicro()) / 1000 }

type runCmd struct {
	File string `arg:"" help:"The director's settings (HCL)." type:"path"`
}

func (c *runCmd) Run(ctx context.Context, log *slog.Logger) error {
	s, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	return daemon.Run(ctx, s, log, daemon.Reloader{File: c.File, Signal: hup})
}

type relayCmd struct {
	File string `arg:"" help:"The proxy's settings (HCL)." type:"path"`
}

func (c *relayCmd) Run(ctx context.Context, log *slog.Logger) error {
	return daemon.RunRelay(ctx, c.File, log)
}

type checkCmd struct {
	File string `arg:"" help:"A director's or a proxy's settings (HCL)." type:"path"`
}

func (c *checkCmd) Run(out io.Writer) error {
	if top, err := settings.Open(c.File, nil); err == nil && top.Has("relay") {
		s, err := settings.LoadRelay(c.File)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: valid\n  relay %s listens on %s and follows %s\n", c.File, s.Name, s.Listen, strings.Join(s.Directors, ", "))
		fmt.Fprintf(out, "  holds %d calls, %d more wait; %d at one host\n", s.Bounds.MaxInFlight, s.Bounds.MaxQueued, s.Bounds.MaxPerHost)
		for _, r := range s.Routes {
			fmt.Fprintf(out, "  route %-24s %s%s, mark %s\n", r.Route, r.Prefix, map[bool]string{true: ", any method"}[len(r.Methods) == 0], r.IdempotencyHeader)
		}
		return nil
	}
	s, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	f := s.Service.Config
	fmt.Fprintf(out, "%s: valid\n", c.File)
	for _, l := range []struct {
		name string
		v    any
	}{{"director", s.Name}, {"listens on", s.Listen}, {"store", s.StorePath}, {"zones", strings.Join(s.Service.Zones, ", ")},
		{"tables", map[bool]string{true: fmt.Sprintf("%d slices of keys", f.Slices), false: "by proxy"}[f.Slices > 0]},
		{"pick", s.Service.Pick}, {"proxies at most", f.Proxies},
		{"a proxy has left after", fmt.Sprintf("%v ms without a poll", s.Service.Lease)},
		{"drains kept within", fmt.Sprintf("%v ms", f.DrainGrace)}, {"bare at most", fmt.Sprintf("%v ms", f.EmptyTableLimit)},
		{"a cold host bears", fmt.Sprintf("%v times what it can do, for %v ms, until %v ms after its start", f.ColdOverloadLimit, f.ColdFailAfter, f.WarmAfter)},
		{"channel", fmt.Sprintf("%v lines a second, %v wait at most: %.1f s", f.LinesPerSecond, f.QueueLimit, f.QueueLimit/f.LinesPerSecond)},
		{"one line to all proxies costs", fmt.Sprintf("%v lines, %.0f ms of the channel", float64(f.Proxies)*(f.MessageOverhead+2),
			1000*float64(f.Proxies)*(f.MessageOverhead+2)/f.LinesPerSecond)},
		{"memory", fmt.Sprintf("%d MiB, for %d connections at most if there are descriptors", s.Memory>>20, budget.Resources{Memory: s.Memory, Descriptors: 1 << 30}.Limits().MaxConnections)},
		{"longest wait of a poll", fmt.Sprintf("%v ms", s.Service.MaxWait)}} {
		fmt.Fprintf(out, "  %-30s %v\n", l.name, l.v)
	}
	for i, r := range s.Service.Routes {
		fmt.Fprintf(out, "  route %-24s importance %v, SLO time %v ms, time limit %v ms, %s\n", r.Name, f.Routes[i].Importance,
			r.SLOMs, r.TimeLimitMs, r.Idempotency)
	}
	return nil
}

type hostCmd struct {
	ID     string        `help:"Id in the list." required:""`
	Listen string        `help:"Where to listen." default:"127.0.0.1:0"`
	Roster string        `help:"URL of the roster to register at."`
	Zone   string        `help:"Zone of the host."`
	Cell   string        `help:"Cell of the host: hosts that drop each other's repeats."`
	Cores  int           `help:"Calls worked on at a time." default:"4"`
	Queue  int           `help:"Calls that may wait." default:"16"`
	Cold   float64       `help:"Part of its work that it can do right after its start." default:"0.2"`
	Warm   time.Duration `help:"How long until it can do all of it." default:"15s"`
	Span   time.Duration `help:"How long repeats of a keyed call are dropped." default:"4s"`
}

func (c *hostCmd) Run(ctx context.Context, log *slog.Logger) error {
	h := standin.NewHost(standin.HostShape{Cores: c.Cores, Queue: c.Queue, ColdFrom: c.Cold, Warm: c.Warm, Tip: 3,
		Fall: 2 * time.Second, Memory: standin.NewMemory(c.Span), Book: &judge.Book{}, Now: unixMs}, "")
	if err := h.StartAt(c.Listen, false); err != nil {
		return err
	}
	log.Info("host.started", "id", c.ID, "address", string(h.Address))
	if c.Roster != "" {
		client, err := api.NewClient(&api.Config{Address: c.Roster})
		if err != nil {
			return err
		}
		ip, port, err := h.IPPort()
		if err != nil {
			return err
		}
		err = client.Agent().ServiceRegister(&api.AgentServiceRegistration{ID: c.ID, Name: "hosts", Address: ip, Port: port,
			Meta: map[string]string{roster.MetaZone: c.Zone, roster.MetaCell: c.Cell, roster.MetaStarted: fmt.Sprintf("%.0f", h.Born())}})
		if err != nil {
			return err
		}
		defer client.Agent().ServiceDeregister(c.ID)
	}
	<-ctx.Done()
	return nil
}

type rosterCmd struct {
	Listen string        `help:"Where to listen." default:"127.0.0.1:8500"`
	Delay  time.Duration `help:"How late changes show." default:"0s"`
}

func (c *rosterCmd) Run(ctx context.Context, log *slog.Logger) error {
	r, err := standin.NewRegistry(c.Listen, nil, unixMs, c.Delay)
	if err != nil {
		return err
	}
	defer r.Close()
	log.Info("roster.started", "url", r.URL())
	<-ctx.Done()
	return nil
}

type rehearseCmd struct {
	Name  string `arg:"" help:"A day that comes with the program (bad-day, demo), or a file with one."`
	JSON  bool   `help:"Print the verdict as JSON."`
	Keep  string `help:"Folder to keep the director's store, settings and log in." type:"path"`
	API   string `help:"Where the director listens." default:""`
	Front string `help:"By which proxies follow: poll, mqtt or mixed." enum:"poll,mqtt,mixed," default:""`
}

func (c *rehearseCmd) Run(ctx context.Context, out io.Writer, log *slog.Logger) error {
	return rehearse.Play(ctx, rehearse.Request{Day: c.Name, JSON: c.JSON, KeepDir: c.Keep, Listen: c.API, Front: c.Front, Out: out, Log: log})
}
