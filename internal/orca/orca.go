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
	Busy   = "cpu_utilization"
	Rate   = "rps_fractional"
	Errors = "eps"
	Queue  = "named_metrics.queue"
	InHand = "named_metrics.in_hand"
	Recent = "named_metrics.recent_ms"
)

// Set puts a metric where it belongs; one that is not known, or no number, is passed over.
func Set(l *logic.Load, name string, v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return
	}
	switch name {
	case Busy:
		l.Utilization = &v
	case Rate:
		l.Throughput = &v
	case Errors:
		l.ErrorRate = &v
	case Queue:
		l.Backlog = &v
	case InHand:
		l.Outstanding = &v
	case Recent:
		l.RecentLatency = &v
	}
}

// Each gives the metrics that a load holds, by name.
func Each(l logic.Load, yield func(name string, v float64)) {
	for _, m := range []struct {
		name string
		v    *float64
	}{{Busy, l.Utilization}, {Rate, l.Throughput}, {Errors, l.ErrorRate}, {Queue, l.Backlog}, {InHand, l.Outstanding}, {Recent, l.RecentLatency}} {
		if m.v != nil {
			yield(m.name, *m.v)
		}
	}
}

// Text is the TEXT form.
func Text(l logic.Load) string {
	var parts []string
	Each(l, func(name string, v float64) {
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
			Set(&l, strings.TrimSpace(name), v)
		}
	case "JSON":
		var all struct {
			Busy   *float64           `json:"cpu_utilization"`
			Rate   *float64           `json:"rps_fractional"`
			Errors *float64           `json:"eps"`
			Named  map[string]float64 `json:"named_metrics"`
		}
		if err := json.Unmarshal([]byte(rest), &all); err != nil {
			return l, fmt.Errorf("%s: %w", Header, err)
		}
		for name, v := range map[string]*float64{Busy: all.Busy, Rate: all.Rate, Errors: all.Errors} {
			if v != nil {
				Set(&l, name, *v)
			}
		}
		for name, v := range all.Named {
			Set(&l, "named_metrics."+name, v)
		}
	case "":
	default:
		return l, fmt.Errorf("%s: form %.20q is neither TEXT nor JSON", Header, form)
	}
	return l, nil
}

// Of is a load by the names of its metrics; unknown ones are passed over.
func Of(metrics map[string]float64) (l logic.Load) {
	for name, v := range metrics {
		Set(&l, name, v)
	}
	return l
}
