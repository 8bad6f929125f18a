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

// worstHosts is the maximum number of hosts logged at info level with each report: those with the most failed tries.
const worstHosts = 3

// ackLatency accumulates the time from orders to their acknowledgements by proxies since the last figures.
type ackLatency struct {
	acknowledged int
	sum, longest logic.Millis
}

func (l *ackLatency) add(spent logic.Millis) {
	l.acknowledged++
	l.sum += spent
	l.longest = max(l.longest, spent)
}

// logHostChanges logs each change of a host's condition, with the reason and the state of the host.
func (d *director) logHostChanges() {
	for _, c := range d.module.Changes() {
		d.log.Info("host.changed", "host", d.hosts.NameOf(c.Host), "from", c.From.String(), "to", c.To.String(),
			"why", c.Reason.String(), "tries_per_s", round(c.TriesPerSecond), "failed_per_s", round(c.FailedPerSecond),
			"busy", round(c.Utilization), "quiet_ms", sinceLastReport(c), "expected_per_s", round(c.ExpectedPerSecond))
	}
}

// sinceLastReport formats the time in milliseconds since the last report on a host: "never" if there was none.
func sinceLastReport(c logic.HostChange) string {
	if !c.HasReports {
		return "never"
	}
	return strconv.Itoa(int(c.SinceReport))
}

// logLoad logs the inputs and results of admission control while calls are rejected, hosts are saturated or answers take
// longer than the shortest SLO, and once when that is over.
func (d *director) logLoad() {
	r := d.module.Load()
	isOverloaded := r.SaturatedHosts > 0 || r.AnswerTime > d.config.shortestSLO()
	for _, level := range slices.Concat(r.Levels, r.WrittenLevels) {
		isOverloaded = isOverloaded || level < 1
	}
	if !isOverloaded && !d.overloaded {
		return
	}
	d.overloaded = isOverloaded
	d.log.Info("load", "calls_per_s", round(r.Calls), "let_in_per_s", round(r.Admitted),
		"unanswered_per_s", round(r.Unanswered), "tries_per_s", round(r.Tries), "demand_per_s", round(r.Demand),
		"capacity_per_s", round(r.Capacity), "busy", round(r.Utilization), "loss", round(r.Loss),
		"answer_ms", int(r.AnswerTime), "in_hand", round(r.Outstanding), "waiting", round(r.Queued),
		"full_hosts", r.SaturatedHosts, "hosts", r.HostsInUse,
		"levels", joinNumbers(r.Levels), "levels_written", joinNumbers(r.WrittenLevels), "written_for_ms", int(r.WrittenAge))
}

// shortestSLO returns the shortest answer time objective of all routes.
func (c *Config) shortestSLO() logic.Millis {
	shortest := logic.Millis(math.Inf(1))
	for _, route := range c.Settings.Routes {
		shortest = min(shortest, route.SLO)
	}
	return shortest
}

// logDecisions logs the state of the decision module: demand and capacity, admission levels, hosts by condition, and
// pending tables and lines.
func (d *director) logDecisions() {
	r := d.module.Report()
	byCondition, cold := map[logic.Condition]int{}, 0
	for _, h := range r.Hosts {
		byCondition[h.Condition]++
		if h.Cold {
			cold++
		}
	}
	d.log.Info("decisions", "demand", round(r.Demand), "capacity", round(r.Capacity), "pressure", round(r.Pressure),
		"wanted", round(r.DemandPressure), "busy", round(r.Utilization), "loss", round(r.Loss), "levels", joinNumbers(r.Levels),
		"tries", joinNumbers(r.RetryModes), "levels_stand", r.LevelsPublished, "serving", byCondition[logic.Serving], "cold", cold,
		"resting", byCondition[logic.Resting], "removed", byCondition[logic.Removed], "on_trial", byCondition[logic.OnTrial],
		"unproven", byCondition[logic.Unproven], "drained", byCondition[logic.Drained], "masked", r.Masked,
		"tables_waiting", r.PendingTables, "oldest_wait_ms", int(r.OldestPending), "queued_lines", int(r.QueuedLines),
		"unacknowledged_lines", int(r.UnacknowledgedLines), "messages", r.UnacknowledgedMessages, "silences", r.ChannelResets,
		"acknowledged", d.ackLatency.acknowledged, "lag_ms", mean(d.ackLatency.sum, d.ackLatency.acknowledged),
		"longest_lag_ms", int(d.ackLatency.longest))
	d.ackLatency = ackLatency{}
	d.logHosts(r.Hosts)
}

// logHosts logs one line per host, sorted by failed tries in descending order. The first worstHosts are logged at info
// level if they have failed tries, the others at debug level.
func (d *director) logHosts(hosts []logic.HostReport) {
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

// round rounds to two decimals for the log.
func round(x float64) float64 {
	v, _ := strconv.ParseFloat(strconv.FormatFloat(x, 'f', 2, 64), 64)
	return v
}

// joinNumbers formats numbers as a space-separated list.
func joinNumbers[T int | float64](values []T) string {
	var parts []string
	for _, v := range values {
		parts = append(parts, strconv.FormatFloat(float64(v), 'f', -1, 64))
	}
	return strings.Join(parts, " ")
}
