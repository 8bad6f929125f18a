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
	"vetchwood/internal/operate"
	"vetchwood/internal/store"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

type tablesCmd struct {
	At   string `help:"The director's admin address." default:"http://127.0.0.1:8481"`
	JSON bool   `help:"Print JSON."`

	List     tablesList     `cmd:"" help:"List versions, the newest first."`
	Show     tablesShow     `cmd:"" help:"Show the tables of a version."`
	Diff     tablesDiff     `cmd:"" help:"Show what differs between two versions."`
	Rollback tablesRollback `cmd:"" help:"Go back to a version: its tables are pinned until they are released."`
	Pin      tablesPin      `cmd:"" help:"Pin tables as they are now, until they are released."`
	Pins     tablesPins     `cmd:"" help:"Show which tables are pinned, and which lines could not be honoured."`
	Release  tablesRelease  `cmd:"" help:"Give pinned tables back to the director."`
	Verify   tablesVerify   `cmd:"" help:"Read every record of the history."`
}

func (c *tablesCmd) client() operate.Client { return operate.Client{URL: strings.TrimRight(c.At, "/")} }

// show prints what was told, as JSON or by a table.
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

func formatTime(ms float64) string { return time.UnixMilli(int64(ms)).Format("2006-01-02 15:04:05") }

type tablesList struct {
	Most int `help:"How many." default:"20"`
}

func (c *tablesList) Run(ctx context.Context, out io.Writer, p *program) error {
	var all []store.Version
	if err := p.Tables.client().Get(ctx, fmt.Sprintf("versions?most=%d", c.Most), &all); err != nil {
		return err
	}
	return p.Tables.print(out, all, func(w io.Writer) {
		fmt.Fprintln(w, "version\tat\ttables\tmasks\tlevels\tby\twhy")
		for _, v := range all {
			who, mark := v.Who, map[bool]string{true: "yes"}
			if who == "" {
				who = "the module"
			}
			fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\t%s\t%s\n", v.Step, formatTime(v.At), v.Tables, mark[v.Masks], mark[v.Levels], who, v.Why)
		}
	})
}

type tablesShow struct {
	Version tables.Step `arg:"" help:"Which."`
}

func (c *tablesShow) Run(ctx context.Context, out io.Writer, p *program) error {
	var s control.SavedState
	if err := p.Tables.client().Get(ctx, fmt.Sprintf("versions/%d", c.Version), &s); err != nil {
		return err
	}
	return p.Tables.print(out, s, func(w io.Writer) {
		fmt.Fprintln(w, "table\thost\tweight\t")
		for _, l := range operate.Diff(control.SavedState{}, s).Lines {
			fmt.Fprintf(w, "%s\t%s\t%.4g\t%s\n", l.Table, l.Host, l.To, map[bool]string{true: "masked"}[s.Masked[l.Host]])
		}
	})
}

type tablesDiff struct {
	From tables.Step `arg:"" help:"The older."`
	To   tables.Step `arg:"" help:"The newer."`
}

func (c *tablesDiff) Run(ctx context.Context, out io.Writer, p *program) error {
	var d operate.Difference
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
			fmt.Fprintln(w, "no line differs")
		}
	})
}

type tablesRollback struct {
	Version tables.Step     `arg:"" help:"The version to go back to."`
	Table   []logic.TableID `help:"Only these tables."`
	Why     string          `help:"Why, for the history." required:""`
	Since   tables.Step     `help:"The newest version seen; refuse if another operator changed something after it."`
	Force   bool            `help:"Whatever part of the traffic it moves."`
	Yes     bool            `help:"Don't ask."`
}

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
	wish := operate.Request{To: c.Version, Tables: c.Table, LastSeen: c.Since, Who: currentUser(), Why: c.Why, Force: c.Force, DryRun: true}
	var would, done control.OperationResult
	if err := client.Post(ctx, "rollback", wish, &would); err != nil {
		return err
	}
	if !c.Yes {
		fmt.Fprintf(out, "%d tables go back to version %d; %.1f%% of the slices go to other hosts.\n", len(would.Tables), c.Version, 100*would.MovedFraction)
		printFaults(out, would)
		fmt.Fprint(out, "Go on? [y/N] ")
		line, _ := bufio.NewReader(os.Stdin).ReadString('\n')
		if !strings.EqualFold(strings.TrimSpace(line), "y") {
			return fmt.Errorf("nothing was changed")
		}
	}
	wish.DryRun = false
	if err := client.Post(ctx, "rollback", wish, &done); err != nil {
		return err
	}
	return p.Tables.print(out, done, func(w io.Writer) {
		fmt.Fprintf(w, "version %d: %d tables as in version %d, pinned until `tables release`\n", done.Version, len(done.Tables), c.Version)
		if done.Deferred > 0 {
			fmt.Fprintf(w, "%d of them follow as the channel has room\n", done.Deferred)
		}
		printFaults(w, done)
	})
}

type tablesPin struct {
	Table []logic.TableID `help:"Only these tables."`
	Why   string          `help:"Why, for the history." required:""`
}

func (c *tablesPin) Run(ctx context.Context, out io.Writer, p *program) error {
	var newest []store.Version
	if err := p.Tables.client().Get(ctx, "versions?most=1", &newest); err != nil {
		return err
	}
	if len(newest) == 0 {
		return errors.New("there is no version yet")
	}
	back := tablesRollback{Version: newest[0].Step, Table: c.Table, Why: c.Why, Since: newest[0].Step, Yes: true}
	return back.Run(ctx, out, p)
}

func printFaults(w io.Writer, o control.OperationResult) {
	for _, t := range o.Tables {
		for _, f := range t.Faults {
			fmt.Fprintf(w, "not honoured: table %d, host %s: %s\n", t.Table, f.Host, f.Why)
		}
	}
}

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
		fmt.Fprintf(w, "%d tables are pinned; %d of them wait for room in the channel\n", len(o.Tables), o.Deferred)
		for _, t := range o.Tables {
			fmt.Fprintf(w, "table %d\tas in version %d\tby %s\n", t.Table, t.Step, t.Who)
		}
		printFaults(w, o)
	})
}

type tablesRelease struct {
	Table []logic.TableID `help:"Only these tables."`
	Why   string          `help:"Why, for the history." required:""`
}

func (c *tablesRelease) Run(ctx context.Context, out io.Writer, p *program) error {
	var o control.OperationResult
	if err := p.Tables.client().Post(ctx, "release", operate.Request{Tables: c.Table, Who: currentUser(), Why: c.Why}, &o); err != nil {
		return err
	}
	return p.Tables.print(out, o, func(w io.Writer) { fmt.Fprintf(w, "version %d: %d tables given back\n", o.Version, len(o.Tables)) })
}

type tablesVerify struct{}

func (c *tablesVerify) Run(ctx context.Context, out io.Writer, p *program) error {
	var v operate.VerifyResult
	if err := p.Tables.client().Get(ctx, "verify", &v); err != nil {
		return err
	}
	err := p.Tables.print(out, v, func(w io.Writer) {
		fmt.Fprintf(w, "%d records, %d wrong\n", v.Records, len(v.Wrong))
		for _, line := range v.Wrong {
			fmt.Fprintln(w, line)
		}
	})
	if err == nil && len(v.Wrong) > 0 {
		err = fmt.Errorf("%d records are wrong", len(v.Wrong))
	}
	return err
}
