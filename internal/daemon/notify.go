package daemon

import (
	"log/slog"

	"github.com/coreos/go-systemd/v22/daemon"
)

// notifyServiceManager sends a state to the service manager by the sd_notify protocol. It does nothing if NOTIFY_SOCKET
// is not set.
func notifyServiceManager(log *slog.Logger, state string) {
	if _, err := daemon.SdNotify(false, state); err != nil {
		log.Warn("notify.failed", "error", err)
	}
}
