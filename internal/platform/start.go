package platform

import (
	"context"
	"errors"
	"log/slog"
	"syscall"
	"time"

	"vetchwood/internal/eventloop"
	"vetchwood/internal/netutil"
	"vetchwood/internal/platform/reports"
)

// Timeouts and retry intervals for the start and for reloads. Transient failures of the system are retried.
const (
	startTimeout       = 5 * time.Second // for the configuration file and the listening address
	startRetryInterval = 100 * time.Millisecond
	// A configuration that cannot be loaded is retried: the file may be half written, or the system may be short of a
	// resource for a moment. The former addresses close 1.5 s after the signal, so retries end before that.
	reloadTimeout       = 1400 * time.Millisecond
	reloadRetryInterval = 50 * time.Millisecond
)

// loadWithRetry reads the configuration and retries while the system temporarily cannot read the file.
func loadWithRetry(ctx context.Context, env func(string) string, log *slog.Logger) (config *Config, err error) {
	err = retryTransient(ctx, log.With("what", "configuration"), syscall.EIO, func() error {
		config, err = Load(env)
		return err
	})
	return config, err
}

// listenWithRetry opens the director's listening address. It retries while the system is short of a resource or a
// former process still holds the address.
func listenWithRetry(ctx context.Context, config *Config, d *director,
	log *slog.Logger) (server *reports.Server, err error) {
	err = retryTransient(ctx, log.With("what", config.Listen), syscall.EADDRINUSE, func() error {
		server, err = reports.Listen(config.Listen, config.Schema, d.budget, d.inbox.Post, log)
		return err
	})
	return server, err
}

// retryTransient repeats try for up to startTimeout while it fails with the given transient error or for lack of local
// resources.
func retryTransient(ctx context.Context, log *slog.Logger, transient error, try func() error) error {
	for began := time.Now(); ; eventloop.Pause(ctx, startRetryInterval) {
		err := try()
		isTransient := netutil.IsLocalShortage(err) || errors.Is(err, transient)
		if err == nil || !isTransient || ctx.Err() != nil || time.Since(began) > startTimeout {
			return err
		}
		log.Warn("start.waits", "error", err)
	}
}

// reload reads the configuration again and applies it. Queued calls go to the new relay once the call in flight has
// ended. If the configuration cannot be loaded, reload returns a channel that fires when it is to be retried, or nil if
// reloadTimeout has passed.
func (d *director) reload(ctx context.Context, env func(string) string, started time.Time) (again <-chan time.Time) {
	config, err := Load(env)
	if err != nil {
		spent := time.Since(started)
		level := slog.LevelDebug // the first and the last attempt are logged as errors
		if spent < reloadRetryInterval || spent >= reloadTimeout {
			level = slog.LevelError
		}
		d.log.Log(ctx, level, "reload.refused", "error", err, "asked_before", spent.String(),
			"again", spent < reloadTimeout)
		if spent < reloadTimeout {
			return time.After(reloadRetryInterval)
		}
		return nil
	}
	if config.Listen != d.config.Listen || config.Name != d.config.Name {
		d.log.Warn("reload.kept", "listen", d.config.Listen, "name", d.config.Name,
			"why", "changes of the listen address or name require a restart")
		config.Listen, config.Name = d.config.Listen, d.config.Name
	}
	config.Settings, config.Schema, config.Resolution = d.config.Settings, d.config.Schema, d.config.Resolution
	d.log.Info("reload.taken", "discovery", config.Discovery, "relay", config.Relay)
	d.budget.SetResources(applyLimits(config))
	d.connect(ctx, config)
	return nil
}
