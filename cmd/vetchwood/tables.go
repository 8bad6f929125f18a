package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/operator"
	"vetchwood/internal/store"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

type tablesCmd struct {
	At   string `help:"The director's admin address." default:"http://127.0.0.1:8481"`
	JSON bool   `help:"Print JSON."`

	List     tablesList     `cmd:"" help:"List versions, the newest first."`
	Show     tablesShow     `cmd:"" help:"Show the tables of a version."`
	Diff     tablesDiff     `cmd:"" help:"Show the differences between two versions."`
	Rollback tablesRollback `cmd:"" help:"Roll back to a version. Its tables stay pinned until they are released."`
	Pin      tablesPin      `cmd:"" help:"Pin the current tables until they are released."`
	Pins     tablesPins     `cmd:"" help:"Show which tables are pinned, and which lines could not be honoured."`
	Release  tablesRelease  `cmd:"" help:"Release pinned tables, so that the director changes them again."`
	Verify   tablesVerify   `cmd:"" help:"Verify every record of the history."`
}

func (c *tablesCmd) client() operator.Client {
	return operator.Client{URL: strings.TrimRight(c.At, "/")}
}

// print writes v as JSON, or by the given function in columns that tabs separate.
func (c *tablesCmd) print(out io.Writer, v any, table func(w io.Writer)) error {
	if c.JSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// formatTime formats a time given in milliseconds since the Unix epoch.
func formatTime(ms float64) string { return time.UnixMilli(int64(ms)).Format("2006-01-02 15:04:05") }

type tablesList struct {
	Most int `help:"Maximum number of versions." default:"20"`
}

func (c *tablesList) Run(ctx context.Context, out io.Writer, p *program) error {
	var versions []store.Version
	if err := p.Tables.client().Get(ctx, fmt.Sprintf("versions?most=%d", c.Most), &versions); err != nil {
		return err
	}
	return p.Tables.print(out, versions, func(w io.Writer) {
		fmt.Fprintln(w, "version\tat\ttables\tmasks\tlevels\tby\twhy")
		for _, v := range versions {
			who, yes := v.Who, map[bool]string{true: "yes"}
			if who == "" {
				who = "decision module"
			}
			fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\t%s\t%s\n", v.Step, formatTime(v.At), v.Tables, yes[v.Masks], yes[v.Levels], who, v.Why)
		}
	})
}

type tablesShow struct {
	Version tables.Step `arg:"" help:"Version to show."`
}

func (c *tablesShow) Run(ctx context.Context, out io.Writer, p *program) error {
	var s control.SavedState
	if err := p.Tables.client().Get(ctx, fmt.Sprintf("versions/%d", c.Version), &s); err != nil {
		return err
	}
	return p.Tables.print(out, s, func(w io.Writer) {
		fmt.Fprintln(w, "table\thost\tweight\t")
		for _, l := range operator.Diff(control.SavedState{}, s).Lines {
			fmt.Fprintf(w, "%s\t%s\t%.4g\t%s\n", l.Table, l.Host, l.To, map[bool]string{true: "masked"}[s.Masked[l.Host]])
		}
	})
}

type tablesDiff struct {
	From tables.Step `arg:"" help:"Older version."`
	To   tables.Step `arg:"" help:"Newer version."`
}

func (c *tablesDiff) Run(ctx context.Context, out io.Writer, p *program) error {
	var d operator.Difference
	if err := p.Tables.client().Get(ctx, fmt.Sprintf("diff?from=%d&to=%d", c.From, c.To), &d); err != nil {
		return err
	}
	return p.Tables.print(out, d, func(w io.Writer) {
		for _, l := range d.Lines {
			switch {
			case l.From == 0:
				fmt.Fprintf(w, "+ table %s\t%s\t%.4g\n", l.Table, l.Host, l.To)
			case l.To == 0:
				fmt.Fprintf(w, "- table %s\t%s\t%.4g\n", l.Table, l.Host, l.From)
			default:
				fmt.Fprintf(w, "~ table %s\t%s\t%.4g -> %.4g\n", l.Table, l.Host, l.From, l.To)
			}
		}
		for _, h := range d.Masked {
			fmt.Fprintf(w, "- masked\t%s\t\n", h)
		}
		for _, h := range d.Unmasked {
			fmt.Fprintf(w, "+ opened\t%s\t\n", h)
		}
		if len(d.Lines)+len(d.Masked)+len(d.Unmasked) == 0 {
			fmt.Fprintln(w, "no lines or masks differ")
		}
	})
}

type tablesRollback struct {
	Version tables.Step     `arg:"" help:"Version to roll back to."`
	Table   []logic.TableID `help:"Only these tables."`
	Why     string          `help:"Reason, recorded in the history." required:""`
	Since   tables.Step     `help:"Newest version seen. The rollback is refused if another operator made a change after it."`
	Force   bool            `help:"Roll back regardless of the share of the traffic that moves."`
	Yes     bool            `help:"Do not ask for confirmation."`
}

// Run rolls tables back after a dry run. Unless the flag --yes is given, it shows the effects found by the dry run and
// asks for confirmation.
func (c *tablesRollback) Run(ctx context.Context, out io.Writer, p *program) error {
	client := p.Tables.client()
	if c.Since == 0 {
		var newest []store.Version
		if err := client.Get(ctx, "versions?most=1", &newest); err != nil {
			return err
		}
		if len(newest) > 0 {
			c.Since = newest[0].Step
		}
	}
	request := operator.Request{To: c.Version, Tables: c.Table, LastSeen: c.Since, Who: currentUser(), Why: c.Why, Force: c.Force, DryRun: true}
	var preview, done control.OperationResult
	if err := client.Post(ctx, "rollback", request, &preview); err != nil {
		return err
	}
	if !c.Yes {
		fmt.Fprintf(out, "%d tables return to version %d; %.1f%% of the slices move to other hosts.\n", len(preview.Tables), c.Version, 100*preview.MovedFraction)
		printFaults(out, preview)
		fmt.Fprint(out, "Continue? [y/N] ")
		line, _ := bufio.NewReader(os.Stdin).ReadString('\n')
		if !strings.EqualFold(strings.TrimSpace(line), "y") {
			return fmt.Errorf("rollback not confirmed: nothing was changed")
		}
	}
	request.DryRun = false
	if err := client.Post(ctx, "rollback", request, &done); err != nil {
		return err
	}
	return p.Tables.print(out, done, func(w io.Writer) {
		fmt.Fprintf(w, "version %d: %d tables as in version %d, pinned until `tables release`\n", done.Version, len(done.Tables), c.Version)
		if done.Deferred > 0 {
			fmt.Fprintf(w, "%d of them will follow when the channel has room\n", done.Deferred)
		}
		printFaults(w, done)
	})
}

type tablesPin struct {
	Table []logic.TableID `help:"Only these tables."`
	Why   string          `help:"Reason, recorded in the history." required:""`
}

// Run pins tables by a rollback to the newest version.
func (c *tablesPin) Run(ctx context.Context, out io.Writer, p *program) error {
	var newest []store.Version
	if err := p.Tables.client().Get(ctx, "versions?most=1", &newest); err != nil {
		return err
	}
	if len(newest) == 0 {
		return errors.New("the history has no version yet")
	}
	rollback := tablesRollback{Version: newest[0].Step, Table: c.Table, Why: c.Why, Since: newest[0].Step, Yes: true}
	return rollback.Run(ctx, out, p)
}

// printFaults lists the pinned lines that are not honoured.
func printFaults(w io.Writer, o control.OperationResult) {
	for _, t := range o.Tables {
		for _, f := range t.Deviations {
			fmt.Fprintf(w, "not honoured: table %d, host %s: %s\n", t.Table, f.Host, f.Reason)
		}
	}
}

// currentUser returns the user name that is recorded in the history.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

type tablesPins struct{}

func (c *tablesPins) Run(ctx context.Context, out io.Writer, p *program) error {
	var o control.OperationResult
	if err := p.Tables.client().Get(ctx, "pins", &o); err != nil {
		return err
	}
	return p.Tables.print(out, o, func(w io.Writer) {
		fmt.Fprintf(w, "%d tables are pinned; %d of them are waiting for room in the channel\n", len(o.Tables), o.Deferred)
		for _, t := range o.Tables {
			fmt.Fprintf(w, "table %d\tas in version %d\tby %s\n", t.Table, t.Step, t.Who)
		}
		printFaults(w, o)
	})
}

type tablesRelease struct {
	Table []logic.TableID `help:"Only these tables."`
	Why   string          `help:"Reason, recorded in the history." required:""`
}

func (c *tablesRelease) Run(ctx context.Context, out io.Writer, p *program) error {
	var o control.OperationResult
	if err := p.Tables.client().Post(ctx, "release", operator.Request{Tables: c.Table, Who: currentUser(), Why: c.Why}, &o); err != nil {
		return err
	}
	return p.Tables.print(out, o, func(w io.Writer) { fmt.Fprintf(w, "version %d: %d tables released\n", o.Version, len(o.Tables)) })
}

type tablesVerify struct{}

// Run verifies the history and returns an error if a fault was found.
func (c *tablesVerify) Run(ctx context.Context, out io.Writer, p *program) error {
	var v operator.VerifyResult
	if err := p.Tables.client().Get(ctx, "verify", &v); err != nil {
		return err
	}
	err := p.Tables.print(out, v, func(w io.Writer) {
		fmt.Fprintf(w, "%d records, %d wrong\n", v.Records, len(v.Faults))
		for _, line := range v.Faults {
			fmt.Fprintln(w, line)
		}
	})
	if err == nil && len(v.Faults) > 0 {
		err = fmt.Errorf("%d records are wrong", len(v.Faults))
	}
	return err
}
