package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"vetchwood/internal/load"
)

type loadCmd struct {
	File string `arg:"" help:"Script of the load and of the director (HCL): steps with a constant rate, or storms." type:"path"`
	Plot string `help:"File to which an SVG plot is written." type:"path"`
}

// Run puts load on a director and prints a line of JSON for each second. The results of a run that fails are printed,
// too.
func (c *loadCmd) Run(ctx context.Context, out io.Writer) error {
	s, err := load.Read(c.File, nil)
	if err != nil {
		return err
	}
	seconds, err := load.Run(ctx, s, nil)
	enc := json.NewEncoder(out)
	for _, second := range seconds {
		enc.Encode(second)
	}
	if c.Plot != "" && len(seconds) > 0 {
		f, plotErr := os.Create(c.Plot)
		if plotErr != nil {
			return plotErr
		}
		defer f.Close()
		if plotErr := load.Plot(f, c.File, seconds); plotErr != nil {
			return plotErr
		}
	}
	return err
}
