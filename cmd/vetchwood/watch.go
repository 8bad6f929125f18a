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
	Table    []string      `help:"Only these tables (may be repeated)."`
	JSON     bool          `help:"A line of JSON for each change."`
	For      time.Duration `help:"End after so long; by default at a signal." default:"0s"`
}

// Run prints what differs from one version to the next, as it comes.
func (c *watchCmd) Run(ctx context.Context, out io.Writer, log *slog.Logger) error {
	if c.For > 0 {
		var end context.CancelFunc
		ctx, end = context.WithTimeout(ctx, c.For)
		defer end()
	}
	var was *tables.Document
	f := follow.New(follow.Source{Directors: []string{c.Director}, Proxy: fmt.Sprintf("watch-%08x", rand.Uint32()), Watch: true, Wait: 20 * time.Second,
		Log: log, Seen: func(u follow.Update) {
			c.printChanges(out, was, u)
			was = u.Doc
		}})
	f.Run(ctx)
	return nil
}

// change is one line of the output.
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

func (c *watchCmd) printChanges(out io.Writer, was *tables.Document, u follow.Update) {
	at := time.UnixMilli(int64(u.Doc.At)).Format("15:04:05.000")
	say := func(x change) {
		x.At, x.Version = at, u.Doc.Version
		if c.JSON {
			json.NewEncoder(out).Encode(x)
			return
		}
		parts := []string{x.At, x.Version, x.What}
		for name, v := range map[string]string{"table ": x.Table, "route ": x.Route, "": string(x.Host)} {
			if v != "" {
				parts = append(parts, name+v)
			}
		}
		slices.Sort(parts[3:])
		if x.From != nil || x.To != nil {
			parts = append(parts, fmt.Sprintf("%v -> %v", orNone(x.From), orNone(x.To)))
		}
		fmt.Fprintln(out, strings.Join(parts, "  "))
	}
	if was == nil {
		lines := 0
		for _, t := range u.Doc.Tables {
			lines += len(t.Lines)
		}
		say(change{What: fmt.Sprintf("snapshot: %d tables, %d lines, %d hosts, %d masked", len(u.Doc.Tables), lines, len(u.Doc.Hosts), len(u.Doc.Masked))})
		return
	}
	for _, name := range slices.Sorted(maps.Keys(u.Doc.Tables)) {
		before, now := was.Tables[name], u.Doc.Tables[name]
		if before == now || len(c.Table) > 0 && !slices.Contains(c.Table, name) {
			continue
		}
		if before == nil {
			before = &tables.Table{}
			say(change{Table: name, What: "table comes"})
		}
		for _, a := range slices.Sorted(maps.Keys(now.Lines)) {
			if w, had := before.Lines[a]; !had {
				say(change{Table: name, Host: a, What: "line", To: now.Lines[a]})
			} else if w != now.Lines[a] {
				say(change{Table: name, Host: a, What: "line", From: w, To: now.Lines[a]})
			}
		}
		for _, a := range slices.Sorted(maps.Keys(before.Lines)) {
			if _, stays := now.Lines[a]; !stays {
				say(change{Table: name, Host: a, What: "line", From: before.Lines[a]})
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(was.Tables)) {
		if u.Doc.Tables[name] == nil && (len(c.Table) == 0 || slices.Contains(c.Table, name)) {
			say(change{Table: name, What: "table goes"})
		}
	}
	if len(c.Table) > 0 {
		return
	}
	for _, a := range slices.Sorted(maps.Keys(u.Doc.Masked)) {
		if !was.Masked[a] {
			say(change{Host: a, What: "masked"})
		}
	}
	for _, a := range slices.Sorted(maps.Keys(was.Masked)) {
		if !u.Doc.Masked[a] {
			say(change{Host: a, What: "open"})
		}
	}
	for _, r := range slices.Sorted(maps.Keys(u.Doc.Routes)) {
		if before, now := was.Routes[r], u.Doc.Routes[r]; before.Level != now.Level {
			say(change{Route: r, What: "level", From: fmt.Sprintf("%v, %d tries", before.Level.Level, before.Tries),
				To: fmt.Sprintf("%v, %d tries", now.Level.Level, now.Tries)})
		}
	}
}

func orNone(v any) any {
	if v == nil {
		return "none"
	}
	return v
}
