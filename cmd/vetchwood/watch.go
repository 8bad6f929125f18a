package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"vetchwood/internal/follow"
	"vetchwood/internal/tables"
)

type watchCmd struct {
	Director string        `arg:"" help:"URL of a director: http://HOST:PORT to poll, mqtt://HOST:PORT to subscribe."`
	Table    []string      `help:"Print only these tables (may be repeated)."`
	JSON     bool          `help:"Print a line of JSON for each change."`
	For      time.Duration `help:"Time after which to stop; 0 runs until a signal." default:"0s"`
}

// Run prints the differences from each version to the next as they arrive.
func (c *watchCmd) Run(ctx context.Context, out io.Writer, log *slog.Logger) error {
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	var previous *tables.Document
	f := follow.New(follow.Config{Directors: []string{c.Director}, Proxy: fmt.Sprintf("watch-%08x", rand.Uint32()), Watch: true, MaxWait: 20 * time.Second,
		Log: log, OnUpdate: func(u follow.Update) {
			c.printChanges(out, previous, u)
			previous = u.Doc
		}})
	f.Run(ctx)
	return nil
}

// change is one line of the output. The values of What are part of the JSON format.
type change struct {
	At      string         `json:"at"`
	Version string         `json:"version"`
	Table   string         `json:"table,omitempty"`
	Host    tables.Address `json:"host,omitempty"`
	Route   string         `json:"route,omitempty"`
	What    string         `json:"what"`
	From    any            `json:"from,omitempty"`
	To      any            `json:"to,omitempty"`
}

// printChanges prints the differences between the previous document and the one of an update, or a summary if there is
// no previous one.
func (c *watchCmd) printChanges(out io.Writer, previous *tables.Document, u follow.Update) {
	at := time.UnixMilli(int64(u.Doc.At)).Format("15:04:05.000")
	report := func(x change) {
		x.At, x.Version = at, u.Doc.Version
		if c.JSON {
			json.NewEncoder(out).Encode(x)
			return
		}
		fields := []string{x.At, x.Version, x.What}
		for name, v := range map[string]string{"table ": x.Table, "route ": x.Route, "": string(x.Host)} {
			if v != "" {
				fields = append(fields, name+v)
			}
		}
		slices.Sort(fields[3:])
		if x.From != nil || x.To != nil {
			fields = append(fields, fmt.Sprintf("%v -> %v", orNone(x.From), orNone(x.To)))
		}
		fmt.Fprintln(out, strings.Join(fields, "  "))
	}
	if previous == nil {
		lines := 0
		for _, t := range u.Doc.Tables {
			lines += len(t.Lines)
		}
		report(change{What: fmt.Sprintf("snapshot: %d tables, %d lines, %d hosts, %d masked", len(u.Doc.Tables), lines, len(u.Doc.Hosts), len(u.Doc.Masked))})
		return
	}
	for _, name := range slices.Sorted(maps.Keys(u.Doc.Tables)) {
		before, now := previous.Tables[name], u.Doc.Tables[name]
		if before == now || len(c.Table) > 0 && !slices.Contains(c.Table, name) {
			continue
		}
		if before == nil {
			before = &tables.Table{}
			report(change{Table: name, What: "table comes"})
		}
		for _, a := range slices.Sorted(maps.Keys(now.Lines)) {
			if weight, found := before.Lines[a]; !found {
				report(change{Table: name, Host: a, What: "line", To: now.Lines[a]})
			} else if weight != now.Lines[a] {
				report(change{Table: name, Host: a, What: "line", From: weight, To: now.Lines[a]})
			}
		}
		for _, a := range slices.Sorted(maps.Keys(before.Lines)) {
			if _, found := now.Lines[a]; !found {
				report(change{Table: name, Host: a, What: "line", From: before.Lines[a]})
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(previous.Tables)) {
		if u.Doc.Tables[name] == nil && (len(c.Table) == 0 || slices.Contains(c.Table, name)) {
			report(change{Table: name, What: "table goes"})
		}
	}
	if len(c.Table) > 0 {
		return
	}
	for _, a := range slices.Sorted(maps.Keys(u.Doc.Masked)) {
		if !previous.Masked[a] {
			report(change{Host: a, What: "masked"})
		}
	}
	for _, a := range slices.Sorted(maps.Keys(previous.Masked)) {
		if !u.Doc.Masked[a] {
			report(change{Host: a, What: "open"})
		}
	}
	for _, r := range slices.Sorted(maps.Keys(u.Doc.Routes)) {
		if before, now := previous.Routes[r], u.Doc.Routes[r]; before.Level != now.Level {
			report(change{Route: r, What: "level", From: fmt.Sprintf("%v, %d tries", before.Level.Level, before.RetryMode),
				To: fmt.Sprintf("%v, %d tries", now.Level.Level, now.RetryMode)})
		}
	}
}

// orNone returns the text "none" in place of nil.
func orNone(v any) any {
	if v == nil {
		return "none"
	}
	return v
}
