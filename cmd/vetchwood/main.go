// Command vetchwood runs directors, proxies, simulated hosts and rehearsals, and operates running directors.
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

// Exit statuses other than 0.
const (
	exitFailed = 1 // a rule was broken, or something failed
	exitUsage  = 2 // wrong usage or invalid input
)

// program is the command line. Its field names are the names of commands and flags.
type program struct {
	Log struct {
		Level  string `help:"Minimum level of logged messages: debug, info, warn or error." enum:"debug,info,warn,error" default:"info"`
		Format string `help:"Format of the log on standard error: text or json." enum:"text,json" default:"text"`
	} `embed:"" prefix:"log-"`

	Platform platformCmd `cmd:"" help:"Run a director on the platform, configured by GW_CONFIG."`
	Run      runCmd      `cmd:"" help:"Run a director: compute tables and publish them to proxies."`
	Relay    relayCmd    `cmd:"" help:"Run a proxy: follow a director's tables and forward calls by them."`
	Check    checkCmd    `cmd:"" help:"Validate a director's or a proxy's settings and print a summary."`
	Tables   tablesCmd   `cmd:"" help:"Manage versions of the tables: list, show, diff, roll back, pin, release, verify."`
	Watch    watchCmd    `cmd:"" help:"Print changes of a director's tables as they happen, over HTTP or MQTT."`
	Load     loadCmd     `cmd:"" help:"Put load on a director, up to overload, by a script."`
	Fault    faultCmd    `cmd:"" help:"Inject faults into connections between two loopback sockets, by a script."`
	Host     hostCmd     `cmd:"" help:"Run a stand-in host and register it for discovery."`
	Roster   rosterCmd   `cmd:"" help:"Run a stand-in for host discovery (Consul's health interface)."`
	Rehearse rehearseCmd `cmd:"" help:"Start a director and stand-ins on this machine and play a scripted day."`
}

func main() {
	notifySignals(os.Args[1:])
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit status.
func run(args []string, stdout, stderr io.Writer) int {
	var p program
	exitCode := -1 // set if the command line library exits, which it does after help and usage errors
	parser, err := kong.New(&p, kong.Name("vetchwood"), kong.UsageOnError(), kong.Writers(stdout, stderr),
		kong.Description("Directs the traffic of plain proxies by publishing routing tables that they follow. Calls do not pass through it.\n\n"+
			"Exit status: 0 success, 1 a rule was broken or something failed, 2 wrong usage or invalid input."),
		kong.Exit(func(code int) {
			if exitCode = code; code != 0 {
				exitCode = exitUsage
			}
		}), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(stderr, "vetchwood:", err)
		return exitUsage
	}
	ctx, err := parser.Parse(args)
	if exitCode >= 0 {
		return exitCode
	}
	if err != nil {
		parser.FatalIfErrorf(err)
		return exitUsage
	}
	var level slog.Level
	level.UnmarshalText([]byte(p.Log.Level))
	var handler slog.Handler = slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: level})
	if p.Log.Format == "json" {
		handler = slog.NewJSONHandler(stderr, &slog.HandlerOptions{Level: level})
	}
	sig, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx.BindTo(sig, (*context.Context)(nil))
	ctx.BindTo(stdout, (*io.Writer)(nil))
	ctx.Bind(slog.New(handler), &p)
	err = ctx.Run()
	var invalid *settings.InvalidError
	var config *platform.ConfigError
	switch {
	case err == nil || errors.Is(err, context.Canceled):
		return 0
	case errors.As(err, &invalid):
		for _, problem := range invalid.Problems {
			fmt.Fprintln(stderr, problem)
		}
		return exitUsage
	case errors.Is(err, os.ErrNotExist), errors.As(err, &config), errors.Is(err, errUsage):
		fmt.Fprintln(stderr, "vetchwood:", err)
		return exitUsage
	default:
		fmt.Fprintln(stderr, "vetchwood:", err)
		return exitFailed
	}
}

// errUsage marks errors that exit with exitUsage.
var errUsage = errors.New("usage")
