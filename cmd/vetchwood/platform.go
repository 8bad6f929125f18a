package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"vetchwood/internal/platform"
)

// signals receives the signals sent to a director on the platform. It is set up before anything else, because a signal
// that arrives before its handler would end the process.
var signals = make(chan os.Signal, 8)

// notifySignals starts the delivery of signals if the platform command is requested.
func notifySignals(args []string) {
	if slices.Contains(args, "platform") {
		signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	}
}

type platformCmd struct{}

func (c *platformCmd) Run(log *slog.Logger) error {
	return platform.Run(context.Background(), os.Getenv, signals, log)
}
