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

// Relay is a proxy's life: until the context ends.
func RunRelay(ctx context.Context, file string, log *slog.Logger) error {
	set, err := settings.LoadRelay(file)
	if err != nil {
		return err
	}
	log = log.With("relay", set.Name)
	r, err := relay.New(set, relay.Watch{}, log)
	if err != nil {
		return err
	}
	if set.Admin != "" {
		admin, err := r.ServeAdmin(set.Admin)
		if err != nil {
			return fmt.Errorf("admin %s: %w", set.Admin, err)
		}
		defer admin.Close()
	}
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	defer signal.Stop(again)
	go func() {
		for range again {
			set, err := settings.LoadRelay(file)
			if err == nil {
				err = r.Reload(set)
			}
			if err != nil {
				log.Error("relay.not_reloaded", "error", err)
			}
		}
	}()
	log.Info("relay.started", "listen", r.Addr().String(), "admin", set.Admin)
	err = r.Run(ctx)
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}
