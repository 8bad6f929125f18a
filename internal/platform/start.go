package platform

import (
	"context"
	"errors"
	"log/slog"
	"syscall"
	"time"

	"vetchwood/internal/nets"
	"vetchwood/internal/platform/collect"
	"vetchwood/internal/turns"
)

// What a director needs from the system to start, and to read its configuration anew. What can't be had for a moment
// is tried again.
const (
	listenFor   = 5 * time.Second // an address that can't be had at the start is tried for so long
	listenPause = 100 * time.Millisecond
	// A configuration that can't be read is tried again: it may be half written, or the system may lack something
	// for a moment. The former addresses close 1.5 s after the signal.
	reloadFor   = 1400 * time.Millisecond
	reloadPause = 50 * time.Millisecond
)

// loadAtStart reads the configuration. Where the system can't read the file for a moment it is tried again.
func loadAtStart(ctx context.Context, env func(string) string, log *slog.Logger) (s *Start, err error) {
	err = persist(ctx, log.With("what", "configuration"), syscall.EIO, func() error {
		s, err = Load(env)
		return err
	})
	return s, err
}

// listen opens the director's address. What the system lacks for a moment, or a former process still holds, is
// waited for.
func listen(ctx context.Context, s *Start, d *director, log *slog.Logger) (front *collect.Server, err error) {
	err = persist(ctx, log.With("what", s.Listen), syscall.EADDRINUSE, func() error {
		front, err = collect.Listen(s.Listen, s.Names, d.ledger, d.inbox.Post, log)
		return err
	})
	return front, err
}

// persist tries again for listenFor, as long as what failed is a shortage of this machine or the error that passes.
func persist(ctx context.Context, log *slog.Logger, passes error, try func() error) error {
	for began := time.Now(); ; turns.Pause(ctx, listenPause) {
		err := try()
		passing := nets.IsLocalShortage(err) || errors.Is(err, passes)
		if err == nil || !passing || ctx.Err() != nil || time.Since(began) > listenFor {
			return err
		}
		log.Warn("start.waits", "error", err)
	}
}

// reload reads the configuration anew. Calls that wait go to the new relay once the one in hand has ended. One that
// can't be read is tried again after what is given; nil: not any more.
func (d *director) reload(ctx context.Context, env func(string) string, asked time.Time) (again <-chan time.Time) {
	s, err := Load(env)
	if err != nil {
		spent := time.Since(asked)
		level := slog.LevelDebug // but for the first try and the last
		if spent < reloadPause || spent >= reloadFor {
			level = slog.LevelError
		}
		d.log.Log(ctx, level, "reload.refused", "error", err, "asked_before", spent.String(), "again", spent < reloadFor)
		if spent < reloadFor {
			return time.After(reloadPause)
		}
		return nil
	}
	if s.Listen != d.start.Listen || s.Name != d.start.Name {
		d.log.Warn("reload.kept", "listen", d.start.Listen, "name", d.start.Name, "why", "they take a restart")
		s.Listen, s.Name = d.start.Listen, d.start.Name
	}
	s.Facts, s.Names, s.Resolution = d.start.Facts, d.start.Names, d.start.Resolution
	d.log.Info("reload.taken", "discovery", s.Discovery, "relay", s.Relay)
	d.ledger.Have(limit(s))
	d.connect(ctx, s)
	return nil
}
