package load

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Plot writes an SVG chart with two panels: the requests of each second by result, and their latencies.
func Plot(w io.Writer, title string, all []Second) error {
	const width, height, left, top, gap = 900.0, 230.0, 70.0, 40.0, 60.0
	maxRate, maxLatency := 1.0, 1.0
	for _, s := range all {
		maxRate, maxLatency = max(maxRate, float64(s.Scheduled)), max(maxLatency, s.P99)
	}
	x := func(i int) float64 { return left + width*float64(i)/math.Max(1, float64(len(all)-1)) }
	line := func(y0, maxValue float64, value func(Second) float64) string {
		var b strings.Builder
		for i, s := range all {
			fmt.Fprintf(&b, "%.1f,%.1f ", x(i), y0+height-height*value(s)/maxValue)
		}
		return b.String()
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %.0f %.0f" font-family="sans-serif" font-size="13">`+"\n", left+width+140, 2*height+top+gap+50)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%.0f" y="22" font-size="16">%s</text>`+"\n", left, strings.NewReplacer("&", "&amp;", "<", "&lt;").Replace(title))
	panel := func(y0, maxValue float64, unit string, lines []struct {
		name, colour string
		value        func(Second) float64
	}) {
		for i := range 5 {
			y := y0 + height*float64(i)/4
			fmt.Fprintf(&b, `<line x1="%.0f" y1="%.1f" x2="%.0f" y2="%.1f" stroke="#ddd"/><text x="%.0f" y="%.1f" text-anchor="end">%.4g</text>`+"\n",
				left, y, left+width, y, left-6, y+4, maxValue*float64(4-i)/4)
		}
		fmt.Fprintf(&b, `<text x="%.0f" y="%.0f">%s</text>`+"\n", left, y0-6, unit)
		for i, l := range lines {
			fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="2" points="%s"/><text x="%.0f" y="%.0f" fill="%s">%s</text>`+"\n",
				l.colour, line(y0, maxValue, l.value), left+width+10, y0+16+18*float64(i), l.colour, l.name)
		}
	}
	type curve = struct {
		name, colour string
		value        func(Second) float64
	}
	panel(top+10, maxRate, "requests per second", []curve{{"due", "#888", func(s Second) float64 { return float64(s.Scheduled) }},
		{"answered", "#1a7f37", func(s Second) float64 { return float64(s.Answered) }}, {"rejected", "#bf8700", func(s Second) float64 { return float64(s.Rejected) }},
		{"failed", "#cf222e", func(s Second) float64 { return float64(s.Failed) }}})
	second := top + height + gap
	panel(second, maxLatency, "latency in milliseconds, from when the request was due", []curve{
		{"p99", "#8250df", func(s Second) float64 { return s.P99 }}, {"median", "#0969da", func(s Second) float64 { return s.P50 }}})
	step := ""
	for i, s := range all {
		if s.Step != step {
			step = s.Step
			fmt.Fprintf(&b, `<line x1="%.1f" y1="%.0f" x2="%.1f" y2="%.0f" stroke="#bbb" stroke-dasharray="3 3"/><text x="%.1f" y="%.0f">%s</text>`+"\n",
				x(i), top, x(i), second+height, x(i)+3, second+height+18, step)
		}
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}
