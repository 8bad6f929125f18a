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
	"vetchwood/internal/discovery"
	"vetchwood/internal/rehearse"
	"vetchwood/internal/settings"
	"vetchwood/internal/standin"
	"vetchwood/internal/verdict"
)

// unixMs returns the current time in milliseconds since the Unix epoch.
func unixMs() float64 { return float64(time.Now().UnixMicro()) / 1000 }

type runCmd struct {
	File string `arg:"" help:"The director's settings (HCL)." type:"path"`
}

func (c *runCmd) Run(ctx context.Context, log *slog.Logger) error {
	s, err := settings.LoadDirector(c.File)
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

// Run validates a settings file and prints a summary of it.
func (c *checkCmd) Run(out io.Writer) error {
	if top, err := settings.Open(c.File, nil); err == nil && top.HasBlock("relay") {
		s, err := settings.LoadRelay(c.File)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: valid\n  relay %s listens on %s and follows %s\n", c.File, s.Name, s.Listen, strings.Join(s.Directors, ", "))
		fmt.Fprintf(out, "  at most %d calls in flight, %d queued, %d in flight at one host\n", s.Limits.MaxInFlight, s.Limits.MaxQueued, s.Limits.MaxPerHost)
		for _, r := range s.Routes {
			fmt.Fprintf(out, "  route %-24s %s%s, idempotency header %s\n", r.Route, r.Prefix, map[bool]string{true: ", any method"}[len(r.Methods) == 0], r.IdempotencyHeader)
		}
		return nil
	}
	s, err := settings.LoadDirector(c.File)
	if err != nil {
		return err
	}
	config := s.Service.Config
	fmt.Fprintf(out, "%s: valid\n", c.File)
	for _, row := range []struct {
		name  string
		value any
	}{{"director", s.Name}, {"listens on", s.Listen}, {"store", s.StorePath}, {"zones", strings.Join(s.Service.Zones, ", ")},
		{"tables", map[bool]string{true: fmt.Sprintf("%d slices of keys", config.Slices), false: "by proxy"}[config.Slices > 0]},
		{"pick", s.Service.Pick}, {"maximum number of proxies", config.Proxies},
		{"proxy lease", fmt.Sprintf("%v ms without a poll", s.Service.Lease)},
		{"drain grace period", fmt.Sprintf("%v ms", config.DrainGrace)}, {"table empty for at most", fmt.Sprintf("%v ms", config.EmptyTableLimit)},
		{"cold host overload limit", fmt.Sprintf("%v times its capacity for %v ms, until %v ms after its start", config.ColdOverloadLimit, config.ColdFailAfter, config.WarmAfter)},
		{"channel", fmt.Sprintf("%v lines per second, at most %v queued (%.1f s)", config.LinesPerSecond, config.QueueLimit, config.QueueLimit/config.LinesPerSecond)},
		{"cost of a line to all proxies", fmt.Sprintf("%v lines, %.0f ms of the channel", float64(config.Proxies)*(config.MessageOverhead+2),
			1000*float64(config.Proxies)*(config.MessageOverhead+2)/config.LinesPerSecond)},
		{"memory", fmt.Sprintf("%d MiB, enough for %d connections if file descriptors suffice", s.Memory>>20, budget.Resources{Memory: s.Memory, Descriptors: 1 << 30}.Limits().MaxConnections)},
		{"maximum wait of a poll", fmt.Sprintf("%v ms", s.Service.MaxWait)}} {
		fmt.Fprintf(out, "  %-30s %v\n", row.name, row.value)
	}
	for i, r := range s.Service.Routes {
		fmt.Fprintf(out, "  route %-24s importance %v, SLO time %v ms, time limit %v ms, %s\n", r.Name, config.Routes[i].Importance,
			r.SLOMs, r.TimeLimitMs, r.Idempotency)
	}
	return nil
}

type hostCmd struct {
	ID     string        `help:"Id in the host list." required:""`
	Listen string        `help:"Address to listen on." default:"127.0.0.1:0"`
	Roster string        `help:"URL of the discovery service to register with."`
	Zone   string        `help:"Zone of the host."`
	Cell   string        `help:"Cell of the host: a host drops repeats of keyed calls that any host of its cell received."`
	Cores  int           `help:"Calls processed concurrently." default:"4"`
	Queue  int           `help:"Calls that may be queued." default:"16"`
	Cold   float64       `help:"Share of its capacity that the host has right after its start." default:"0.2"`
	Warm   time.Duration `help:"Time from the start until the host has its full capacity." default:"15s"`
	Span   time.Duration `help:"Time during which repeats of a keyed call are dropped." default:"4s"`
}

func (c *hostCmd) Run(ctx context.Context, log *slog.Logger) error {
	h := standin.NewHost(standin.HostConfig{Cores: c.Cores, Queue: c.Queue, ColdCapacity: c.Cold, WarmAfter: c.Warm, ColdOverloadLimit: 3,
		ColdFailAfter: 2 * time.Second, Dedup: standin.NewDeduplicator(c.Span), Recorder: &verdict.Recorder{}, Now: unixMs}, "")
	if err := h.StartOn(c.Listen, false); err != nil {
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
			Meta: map[string]string{discovery.MetaZone: c.Zone, discovery.MetaCell: c.Cell, discovery.MetaStarted: fmt.Sprintf("%.0f", h.StartedAt())}})
		if err != nil {
			return err
		}
		defer client.Agent().ServiceDeregister(c.ID)
	}
	<-ctx.Done()
	return nil
}

type rosterCmd struct {
	Listen string        `help:"Address to listen on." default:"127.0.0.1:8500"`
	Delay  time.Duration `help:"Delay until changes of the list become visible." default:"0s"`
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
	Name  string `arg:"" help:"Name of a built-in day (bad-day, demo), or a file that describes one."`
	JSON  bool   `help:"Print the verdict as JSON."`
	Keep  string `help:"Folder in which the director's store, settings and log are kept." type:"path"`
	API   string `help:"Address that the director listens on." default:""`
	Front string `help:"How proxies follow the director: poll, mqtt or mixed." enum:"poll,mqtt,mixed," default:""`
}

func (c *rehearseCmd) Run(ctx context.Context, out io.Writer, log *slog.Logger) error {
	return rehearse.Play(ctx, rehearse.Request{Day: c.Name, JSON: c.JSON, KeepDir: c.Keep, Listen: c.API, Front: c.Front, Out: out, Log: log})
}
