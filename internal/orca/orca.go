// Package orca reads and writes load reports in answers: the header `endpoint-load-metrics` of the published
// Open Request Cost Aggregation, in its TEXT and JSON forms.
package orca

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"vetchwood/logic"
)

// Header is the name of the answer's header.
const Header = "endpoint-load-metrics"

// Names of the metrics that the module can use.
const (
	Utilization   = "cpu_utilization"
	Throughput    = "rps_fractional"
	ErrorRate     = "eps"
	Backlog       = "named_metrics.queue"
	Outstanding   = "named_metrics.in_hand"
	RecentLatency = "named_metrics.recent_ms"
)

// Set puts a metric where it belongs; one that is not known, or no number, is passed over.
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

// Each gives the metrics that a load holds, by name.
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

// Text is the TEXT form.
func Format(l logic.Load) string {
	var parts []string
	EachMetric(l, func(name string, v float64) {
		parts = append(parts, name+"="+strconv.FormatFloat(v, 'g', 6, 64))
	})
	return "TEXT " + strings.Join(parts, ",")
}

// Parse reads either form.
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

// Of is a load by the names of its metrics; unknown ones are passed over.
func FromMetrics(metrics map[string]float64) (l logic.Load) {
	for name, v := range metrics {
		SetMetric(&l, name, v)
	}
	return l
}
