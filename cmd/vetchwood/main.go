// Command vetchwood is the director, its stand-ins and its rehearsals.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"vetchwood/internal/platform"
	"vetchwood/internal/settings"
)

// Exit statuses.
const (
	exitFailed = 1 // a rule broken, or a failure
	exitUsage  = 2 // usage, or invalid input
)

type program struct {
	Log struct {
		Level  string `help:"Least level that is logged: debug, info, warn or error." enum:"debug,info,warn,error" default:"info"`
		Format string `help:"Form of the log on standard error: text or json." enum:"text,json" default:"text"`
	} `embed:"" prefix:"log-"`

	Platform platformCmd `cmd:"" help:"Run a director in service on the platform, as GW_CONFIG says."`
	Run      runCmd      `cmd:"" help:"Run a director: lay tables, publish them to proxies that poll."`
	Relay    relayCmd    `cmd:"" help:"Run a proxy: follow a director's tables and carry calls by them."`
	Check    checkCmd    `cmd:"" help:"Validate a director's file and print what follows from it."`
	Tables   tablesCmd   `cmd:"" help:"Versions of the tables: list, show, diff, go back, hold, release, verify."`
	Watch    watchCmd    `cmd:"" help:"Follow a director's tables live, over either front."`
	Load     loadCmd     `cmd:"" help:"Ask a director for more than it may be able to answer, by a script."`
	Fault    faultCmd    `cmd:"" help:"Stand between two loopback sockets and break what passes, by a script."`
	Host     hostCmd     `cmd:"" help:"Run a stand-in host, and list it at a roster."`
	Roster   rosterCmd   `cmd:"" help:"Run a stand-in for the list of hosts (Consul's health interface)."`
	Rehearse rehearseCmd `cmd:"" help:"Raise a director and stand-ins on this machine and play a day."`
}

func main() {
	notifySignals(os.Args[1:])
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errs io.Writer) int {
	var p program
	ended := -1
	parser, err := kong.New(&p, kong.Name("vetchwood"), kong.UsageOnError(), kong.Writers(out, errs),
		kong.Description("Directs the traffic of plain proxies: it lays the tables that they follow, and sees no call itself.\n\n"+
			"Exit status: 0 all is well, 1 a rule was broken or something failed, 2 usage or invalid input."),
		kong.Exit(func(code int) {
			if ended = code; code != 0 {
				ended = exitUsage
			}
		}), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(errs, "vetchwood:", err)
		return exitUsage
	}
	ctx, err := parser.Parse(args)
	if ended >= 0 {
		return ended
	}
	if err != nil {
		parser.FatalIfErrorf(err)
		return exitUsage
	}
	var level slog.Level
	level.UnmarshalText([]byte(p.Log.Level))
	var handler slog.Handler = slog.NewTextHandler(errs, &slog.HandlerOptions{Level: level})
	if p.Log.Format == "json" {
		handler = slog.NewJSONHandler(errs, &slog.HandlerOptions{Level: level})
	}
	sig, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx.BindTo(sig, (*context.Context)(nil))
	ctx.BindTo(out, (*io.Writer)(nil))
	ctx.Bind(slog.New(handler), &p)
	err = ctx.Run()
	var invalid *settings.InvalidError
	var config *platform.ConfigError
	switch {
	case err == nil || errors.Is(err, context.Canceled):
		return 0
	case errors.As(err, &invalid):
		for _, line := range invalid.Problems {
			fmt.Fprintln(errs, line)
		}
		return exitUsage
	case errors.Is(err, os.ErrNotExist), errors.As(err, &config), errors.Is(err, errUsage):
		fmt.Fprintln(errs, "vetchwood:", err)
		return exitUsage
	default:
		fmt.Fprintln(errs, "vetchwood:", err)
		return exitFailed
	}
}

var errUsage = errors.New("usage")
