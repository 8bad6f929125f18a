// Package orca reads and writes load reports in HTTP responses. It implements the TEXT and JSON forms of the header
// `endpoint-load-metrics` of the published Open Request Cost Aggregation (ORCA).
package orca

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"vetchwood/logic"
)

// Header is the name of the response header.
const Header = "endpoint-load-metrics"

// Names of the metrics that the decision module uses.
const (
	Utilization   = "cpu_utilization"
	Throughput    = "rps_fractional"
	ErrorRate     = "eps"
	Backlog       = "named_metrics.queue"
	Outstanding   = "named_metrics.in_hand"
	RecentLatency = "named_metrics.recent_ms"
)

// SetMetric sets the metric of the given name. Unknown names and values that are negative, infinite or not numbers are
// ignored.
func SetMetric(l *logic.Load, name string, v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return
	}
	switch name {
	case Utilization:
		l.Utilization = &v
	case Throughput:
		l.Throughput = &v
	case ErrorRate:
		l.ErrorRate = &v
	case Backlog:
		l.Backlog = &v
	case Outstanding:
		l.Outstanding = &v
	case RecentLatency:
		l.RecentLatency = &v
	}
}

// EachMetric calls yield with the name and value of each metric that a load report holds.
func EachMetric(l logic.Load, yield func(name string, v float64)) {
	for _, m := range []struct {
		name string
		v    *float64
	}{{Utilization, l.Utilization}, {Throughput, l.Throughput}, {ErrorRate, l.ErrorRate}, {Backlog, l.Backlog}, {Outstanding, l.Outstanding}, {RecentLatency, l.RecentLatency}} {
		if m.v != nil {
			yield(m.name, *m.v)
		}
	}
}

// Format returns the TEXT form of a load report.
func Format(l logic.Load) string {
	var parts []string
	EachMetric(l, func(name string, v float64) {
		parts = append(parts, name+"="+strconv.FormatFloat(v, 'g', 6, 64))
	})
	return "TEXT " + strings.Join(parts, ",")
}

// Parse reads a header in either form. An empty header is an empty load report.
func Parse(header string) (l logic.Load, err error) {
	form, rest, _ := strings.Cut(strings.TrimSpace(header), " ")
	switch form {
	case "TEXT":
		for _, part := range strings.Split(rest, ",") {
			name, text, found := strings.Cut(strings.TrimSpace(part), "=")
			if name == "" && !found {
				continue
			}
			v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			if err != nil {
				return l, fmt.Errorf("%s: metric %.40q: not a number", Header, name)
			}
			SetMetric(&l, strings.TrimSpace(name), v)
		}
	case "JSON":
		var all struct {
			Utilization *float64           `json:"cpu_utilization"`
			Throughput  *float64           `json:"rps_fractional"`
			ErrorRate   *float64           `json:"eps"`
			Named       map[string]float64 `json:"named_metrics"`
		}
		if err := json.Unmarshal([]byte(rest), &all); err != nil {
			return l, fmt.Errorf("%s: %w", Header, err)
		}
		for name, v := range map[string]*float64{Utilization: all.Utilization, Throughput: all.Throughput, ErrorRate: all.ErrorRate} {
			if v != nil {
				SetMetric(&l, name, *v)
			}
		}
		for name, v := range all.Named {
			SetMetric(&l, "named_metrics."+name, v)
		}
	case "":
	default:
		return l, fmt.Errorf("%s: form %.20q is neither TEXT nor JSON", Header, form)
	}
	return l, nil
}

// FromMetrics returns the load report with the given metrics. Unknown names are ignored.
func FromMetrics(metrics map[string]float64) (l logic.Load) {
	for name, v := range metrics {
		SetMetric(&l, name, v)
	}
	return l
}
