package daemon

import (
	"context"
	"log/slog"
	"os"
	"strconv"

	"github.com/coreos/go-systemd/v22/daemon"
	"golang.org/x/sys/unix"

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
func (a Again) follow(ctx context.Context, was map[string]string, front *longpoll.Server, st *store.Store, ledger *budget.Ledger, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.Signal:
		}
		a.once(was, front, st, ledger, log)
	}
}

// once is one reading. The manager is told that it is over, whatever came of it, before anybody else can see that it is.
func (a Again) once(was map[string]string, front *longpoll.Server, st *store.Store, ledger *budget.Ledger, log *slog.Logger) {
	tell(log, daemon.SdNotifyReloading+"\n"+monotonic())
	plan, err := a.apply(was, front, st, ledger, log)
	tell(log, daemon.SdNotifyReady)
	if err != nil {
		log.Error("reload.refused", "error", err)
		return
	}
	log.Info("reload.done", "changed", len(plan.Now), "take_restart", len(plan.Restart))
}

// apply reads the file and has what changed in it take effect, as far as it can without a restart. A file that is wrong
// changes nothing; the error names all that is wrong with it, each with its place.
func (a Again) apply(was map[string]string, front *longpoll.Server, st *store.Store, ledger *budget.Ledger,
	log *slog.Logger) (plan reload.Plan, err error) {
	text, err := os.ReadFile(a.File)
	if err != nil {
		return plan, err
	}
	s, err := settings.Parse(a.File, text)
	if err != nil {
		return plan, err
	}
	m, err := means(s)
	if err != nil {
		return plan, err
	}
	plan = reload.Of(was, s.Written)
	ledger.Have(m)
	st.SetRetention(s.History)
	front.Limit(s.Front)
	for _, c := range plan.Now {
		log.Info("reload.changed", "what", c.String())
		was[c.Name] = c.Is // what waits for a start over is named again at the next signal
	}
	for _, c := range plan.Restart {
		log.Warn("reload.takes_restart", "what", c.String())
	}
	return plan, nil
}

// monotonic is the time of a reload as the protocol wants it.
func monotonic() string {
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return "MONOTONIC_USEC=" + strconv.FormatInt(t.Nano()/1000, 10)
}
