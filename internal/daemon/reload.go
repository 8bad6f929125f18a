package daemon

import (
	"context"
	"log/slog"
	"os"

	"vetchwood/internal/budget"
	"vetchwood/internal/longpoll"
	"vetchwood/internal/reload"
	"vetchwood/internal/settings"
	"vetchwood/internal/store"
)

// Again is a file of settings that is read anew whenever something comes on a channel.
type Again struct {
	File   string
	Signal <-chan os.Signal
}

// follow reads the file anew at each signal, one after the other: a signal that comes meanwhile is met by one more reading. A file
// that is wrong changes nothing.
func (a Again) follow(ctx context.Context, front *longpoll.Server, st *store.Store, ledger *budget.Ledger, log *slog.Logger) {
	if a.Signal == nil {
		return
	}
	text, err := os.ReadFile(a.File)
	if err != nil {
		log.Error("reload.failed", "error", err)
	}
	was, _ := settings.Flat(text, a.File)
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.Signal:
		}
		text, err := os.ReadFile(a.File)
		if err != nil {
			log.Error("reload.refused", "error", err)
			continue
		}
		s, err := settings.Parse(a.File, text)
		if err != nil { // all that is wrong with it, each with its place
			log.Error("reload.refused", "error", err)
			continue
		}
		is, err := settings.Flat(text, a.File)
		if err != nil {
			log.Error("reload.refused", "error", err)
			continue
		}
		plan := reload.Of(was, is)
		m, err := means(s)
		if err != nil {
			log.Error("reload.refused", "error", err)
			continue
		}
		ledger.Have(m)
		st.Keep(s.History)
		front.Limit(s.Front)
		for _, c := range plan.Now {
			log.Info("reload.changed", "what", c.String())
			was[c.Name] = c.Is // what waits for a start over is named again at the next signal
		}
		for _, c := range plan.Restart {
			log.Warn("reload.takes_restart", "what", c.String())
		}
		log.Info("reload.done", "changed", len(plan.Now), "take_restart", len(plan.Restart))
	}
}
