package daemon

import (
	"log/slog"

	"github.com/coreos/go-systemd/v22/daemon"
)

// tell tells a service manager how things stand, by its published protocol, where it has named a socket for that.
func notifyManager(log *slog.Logger, state string) {
	if _, err := daemon.SdNotify(false, state); err != nil {
		log.Warn("notify.failed", "error", err)
	}
}
