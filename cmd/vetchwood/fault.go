package main

import (
	"context"
	"io"
	"log/slog"

	"vetchwood/internal/fault"
)

type faultCmd struct {
	File string `arg:"" help:"Script of the faults and of the two loopback sockets (HCL)." type:"path"`
}

// Run injects the faults of the script and prints a line of JSON for each one when it takes place.
func (c *faultCmd) Run(ctx context.Context, out io.Writer, log *slog.Logger) error {
	s, err := fault.Read(c.File, nil)
	if err != nil {
		return err
	}
	b, err := fault.New(s, out)
	if err != nil {
		return err
	}
	log.Info("fault.started", "listen", b.Addr().String(), "to", s.To, "seed", s.Seed, "rules", len(s.Rules))
	return b.Run(ctx)
}
