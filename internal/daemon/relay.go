package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"vetchwood/internal/relay"
	"vetchwood/internal/settings"
)

// RunRelay runs a relay with the settings in a file until the context ends. SIGHUP reloads the file.
func RunRelay(ctx context.Context, file string, log *slog.Logger) error {
	s, err := settings.LoadRelay(file)
	if err != nil {
		return err
	}
	log = log.With("relay", s.Name)
	r, err := relay.New(s, relay.Hooks{}, log)
	if err != nil {
		return err
	}
	if s.Admin != "" {
		admin, err := r.ServeAdmin(s.Admin)
		if err != nil {
			return fmt.Errorf("admin %s: %w", s.Admin, err)
		}
		defer admin.Close()
	}
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	go func() {
		for range reloads {
			s, err := settings.LoadRelay(file)
			if err == nil {
				err = r.Reload(s)
			}
			if err != nil {
				log.Error("relay.not_reloaded", "error", err)
			}
		}
	}()
	log.Info("relay.started", "listen", r.Addr().String(), "admin", s.Admin)
	err = r.Run(ctx)
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}
