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

// caught are the signals of a director in service. They are asked for before anything else is done: one that came earlier than its
// handler would end the process.
var signals = make(chan os.Signal, 8)

func notifySignals(args []string) {
	if slices.Contains(args, "platform") {
		signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	}
}

type platformCmd struct{}

func (c *platformCmd) Run(log *slog.Logger) error {
	return platform.Run(context.Background(), os.Getenv, signals, log)
}
