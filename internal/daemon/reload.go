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

// Reloader reloads a settings file whenever its channel receives a signal.
type Reloader struct {
	File   string
	Signal <-chan os.Signal
}

// run reloads the file at each signal, one after the other, until the context ends. A signal during a reload causes one
// more reload. An invalid file changes nothing. The attributes in effect are kept in active.
func (r Reloader) run(ctx context.Context, active map[string]string, front *longpoll.Server, st *store.Store, resourceBudget *budget.Budget, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Signal:
		}
		r.reload(active, front, st, resourceBudget, log)
	}
}

// reload performs one reload. The service manager is notified of its end, whatever the outcome, before the outcome is
// logged.
func (r Reloader) reload(active map[string]string, front *longpoll.Server, st *store.Store, resourceBudget *budget.Budget, log *slog.Logger) {
	notifyServiceManager(log, daemon.SdNotifyReloading+"\n"+monotonicUsec())
	plan, err := r.apply(active, front, st, resourceBudget, log)
	notifyServiceManager(log, daemon.SdNotifyReady)
	if err != nil {
		log.Error("reload.refused", "error", err)
		return
	}
	log.Info("reload.done", "changed", len(plan.Live), "take_restart", len(plan.Restart))
}

// apply reads the file and applies its changes, as far as possible without a restart. An invalid file changes nothing;
// the error names all its faults, each with its position.
func (r Reloader) apply(active map[string]string, front *longpoll.Server, st *store.Store, resourceBudget *budget.Budget,
	log *slog.Logger) (plan reload.Plan, err error) {
	text, err := os.ReadFile(r.File)
	if err != nil {
		return plan, err
	}
	s, err := settings.ParseDirector(r.File, text)
	if err != nil {
		return plan, err
	}
	limits, err := applyMemoryLimit(s)
	if err != nil {
		return plan, err
	}
	plan = reload.Compare(active, s.Attributes)
	resourceBudget.SetResources(limits)
	st.SetRetention(s.History)
	front.SetLimits(s.LongPoll)
	for _, c := range plan.Live {
		log.Info("reload.changed", "what", c.String())
		active[c.Name] = c.New // a change that needs a restart stays different and is logged at each reload
	}
	for _, c := range plan.Restart {
		log.Warn("reload.takes_restart", "what", c.String())
	}
	return plan, nil
}

// monotonicUsec returns the monotonic time as the sd_notify protocol requires it with RELOADING=1.
func monotonicUsec() string {
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return "MONOTONIC_USEC=" + strconv.FormatInt(t.Nano()/1000, 10)
}
