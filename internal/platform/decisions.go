package platform

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"strings"

	"vetchwood/logic"
)

// worstHosts is how many hosts the regular report names: those with the most failed tries.
const worstHosts = 3

// lag sums how long orders took to their proxies since the last figures.
type lag struct {
	acknowledged int
	sum, longest logic.Millis
}

func (l *lag) add(spent logic.Millis) {
	l.acknowledged++
	l.sum += spent
	l.longest = max(l.longest, spent)
}

// logHostChanges writes each change of a host's condition with its reason and what was known of the host.
func (d *director) logHostChanges() {
	for _, c := range d.module.Changes() {
		d.log.Info("host.changed", "host", d.hosts.NameOf(c.Host), "from", c.From.String(), "to", c.To.String(),
			"why", c.Reason.String(), "tries_per_s", round(c.TriesPerSecond), "failed_per_s", round(c.FailedPerSecond),
			"busy", round(c.Utilization), "quiet_ms", quiet(c), "expected_per_s", round(c.ExpectedPerSecond))
	}
}

// quiet is the time since the last report of a host, for the log: a host that was not reported on has none.
func quiet(c logic.HostChange) string {
	if !c.HasReports {
		return "never"
	}
	return strconv.Itoa(int(c.SinceReport))
}

// reportLoad writes what admission reckons with, each second in which calls are turned away, hosts are full or answers
// are late, and once when that is over.
func (d *director) reportLoad() {
	r := d.module.Load()
	strained := r.SaturatedHosts > 0 || r.AnswerTime > d.start.tightestGoal()
	for _, level := range slices.Concat(r.Levels, r.WrittenLevels) {
		strained = strained || level < 1
	}
	if !strained && !d.strained {
		return
	}
	d.strained = strained
	d.log.Info("load", "calls_per_s", round(r.Calls), "let_in_per_s", round(r.Admitted),
		"unanswered_per_s", round(r.Unanswered), "tries_per_s", round(r.Tries), "demand_per_s", round(r.Demand),
		"capacity_per_s", round(r.Capacity), "busy", round(r.Utilization), "loss", round(r.Loss),
		"answer_ms", int(r.AnswerTime), "in_hand", round(r.Outstanding), "waiting", round(r.Queued),
		"full_hosts", r.SaturatedHosts, "hosts", r.HostsInUse,
		"levels", joined(r.Levels), "levels_written", joined(r.WrittenLevels), "written_for_ms", int(r.WrittenAge))
}

// tightestGoal is the shortest time within which a route wants its answers.
func (s *Start) tightestGoal() logic.Millis {
	goal := logic.Millis(math.Inf(1))
	for _, route := range s.Facts.Routes {
		goal = min(goal, route.SLO)
	}
	return goal
}

// reportDecisions writes what the module believes and wants: demand against capacity, levels, hosts by condition,
// and what waits.
func (d *director) reportDecisions() {
	r := d.module.Report()
	by, cold := map[logic.Condition]int{}, 0
	for _, h := range r.Hosts {
		by[h.Condition]++
		if h.Cold {
			cold++
		}
	}
	d.log.Info("decisions", "demand", round(r.Demand), "capacity", round(r.Capacity), "pressure", round(r.Pressure),
		"wanted", round(r.DemandPressure), "busy", round(r.Utilization), "loss", round(r.Loss), "levels", joined(r.Levels),
		"tries", joined(r.Retries), "levels_stand", r.LevelsPublished, "serving", by[logic.Serving], "cold", cold,
		"resting", by[logic.Resting], "removed", by[logic.Removed], "on_trial", by[logic.OnTrial],
		"unproven", by[logic.Unproven], "drained", by[logic.Drained], "masked", r.Masked,
		"tables_waiting", r.PendingTables, "oldest_wait_ms", int(r.OldestPending), "queued_lines", int(r.QueuedLines),
		"unacknowledged_lines", int(r.UnacknowledgedLines), "messages", r.UnacknowledgedMessages, "silences", r.ChannelResets,
		"acknowledged", d.lag.acknowledged, "lag_ms", mean(d.lag.sum, d.lag.acknowledged),
		"longest_lag_ms", int(d.lag.longest))
	d.lag = lag{}
	d.reportHosts(r.Hosts)
}

// reportHosts writes a line a host, those with the most failed tries first; all but the first few at debug level.
func (d *director) reportHosts(hosts []logic.HostReport) {
	slices.SortStableFunc(hosts, func(a, b logic.HostReport) int { return cmp.Compare(b.Loss*b.Tries, a.Loss*a.Tries) })
	for i, h := range hosts {
		level := slog.LevelDebug
		if i < worstHosts && h.Loss > 0 {
			level = slog.LevelInfo
		}
		d.log.Log(context.Background(), level, "host", "host", d.hosts.NameOf(h.Host),
			"condition", h.Condition.String(), "cold_ms", int(h.ColdFor), "tries", round(h.Tries), "loss", round(h.Loss),
			"busy", round(h.Utilization), "capacity", round(h.Capacity), "laid", round(h.AssignedLoad), "share", round(h.Share),
			"tolerated", round(h.MaxLoad), "answer_ms", int(h.AnswerTime), "tables", h.Tables)
	}
}

// round keeps two decimals, enough for a log.
func round(x float64) float64 {
	v, _ := strconv.ParseFloat(strconv.FormatFloat(x, 'f', 2, 64), 64)
	return v
}

func joined[T int | float64](values []T) string {
	var parts []string
	for _, v := range values {
		parts = append(parts, strconv.FormatFloat(float64(v), 'f', -1, 64))
	}
	return strings.Join(parts, " ")
}
