package load

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A director stalls for half a second. The requests that are due meanwhile must be sent all the same, with latencies
// that count from when they were due, so that the stall shows. Rejected requests must be counted as such.
func TestAStallShows(t *testing.T) {
	t.Parallel()
	start := time.Now()
	var stalled atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"1.1.1"`)
		since := time.Since(start)
		switch {
		case r.URL.Path == "/v1/tables":
			start = time.Now()
		case strings.HasSuffix(r.URL.Path, "/reports"):
			w.WriteHeader(http.StatusServiceUnavailable)
		case since > 500*time.Millisecond && since < time.Second:
			stalled.Add(1)
			time.Sleep(time.Second - since)
		}
	}))
	defer s.Close()
	script, err := Read("l.hcl", []byte(`load {
  director = "`+s.URL+`"
  time_limit = "2s"
}
step "polls" {
  kind = "polls"
  rate = 200
  for  = "1s"
}
step "reports" {
  kind    = "reports"
  rate    = 100
  storm   = 20
  proxies = 10
  for     = "1s"
}`))
	if err != nil {
		t.Fatal(err)
	}
	all, err := Run(t.Context(), script, nil)
	if err != nil || len(all) != 2 {
		t.Fatal(err, len(all))
	}
	p, r := all[0], all[1]
	if p.Scheduled < 140 || p.Answered != p.Scheduled || p.P99 < 350 || p.P50 > 350 || stalled.Load() < 60 {
		t.Errorf("stall of half a second: %+v, %d requests during it", p, stalled.Load())
	}
	if r.Scheduled < 80 || r.Rejected < 50 || r.Rejected+r.Answered != r.Scheduled {
		t.Errorf("rejected reports: %+v", r)
	}
	var b bytes.Buffer
	if err := Plot(&b, "a <stall>", all); err != nil || strings.Count(b.String(), "<polyline") != 6 || strings.Contains(b.String(), "<stall>") {
		t.Error("unexpected plot", err)
	}
}
