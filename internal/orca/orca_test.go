package orca

import (
	"strings"
	"testing"

	"vetchwood/logic"
)

// valueOrMinus1 returns the value that p points to, or -1 if p is nil.
func valueOrMinus1(p *float64) float64 {
	if p == nil {
		return -1
	}
	return *p
}

func TestBothForms(t *testing.T) {
	for header, want := range map[string][4]float64{
		"TEXT cpu_utilization=0.62,rps_fractional=140.5,named_metrics.queue=3": {0.62, 140.5, 3, -1},
		"TEXT cpu_utilization=0.62, mem_utilization=0.3, eps=2":                {0.62, -1, -1, 2},
		`JSON {"cpu_utilization":0.5,"named_metrics":{"queue":4,"other":1}}`:   {0.5, -1, 4, -1},
		"TEXT cpu_utilization=-1,rps_fractional=NaN":                           {-1, -1, -1, -1},
		"TEXT": {-1, -1, -1, -1},
		"":     {-1, -1, -1, -1},
	} {
		l, err := Parse(header)
		if got := [4]float64{valueOrMinus1(l.Utilization), valueOrMinus1(l.Throughput), valueOrMinus1(l.Backlog), valueOrMinus1(l.ErrorRate)}; err != nil || got != want {
			t.Errorf("Parse(%q) = %v, %v", header, got, err)
		}
	}
	for header, want := range map[string]string{"TEXT cpu_utilization=much": "cpu_utilization", "JSON {": "JSON", "BIN AAAA": `"BIN"`} {
		if _, err := Parse(header); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Parse(%q): error %v", header, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add("TEXT cpu_utilization=0.62,rps_fractional=140")
	f.Add(`JSON {"cpu_utilization":0.5,"named_metrics":{"queue":4}}`)
	f.Fuzz(func(t *testing.T, header string) {
		l, err := Parse(header)
		if err != nil {
			return
		}
		EachMetric(l, func(name string, v float64) {
			if !(v >= 0) {
				t.Fatalf("metric %s is %v, want a value of at least 0", name, v)
			}
		})
		if again, err := Parse(Format(l)); err != nil || (again.Utilization == nil) != (l.Utilization == nil) {
			t.Fatalf("%q formatted as %q, which parses with error %v or another utilization", header, Format(l), err)
		}
	})
}

func TestFormatWritesPresentMetrics(t *testing.T) {
	busy, rate := 0.25, 12.0
	if got := Format(logic.Load{Utilization: &busy, Throughput: &rate}); got != "TEXT cpu_utilization=0.25,rps_fractional=12" {
		t.Fatal(got)
	}
}
