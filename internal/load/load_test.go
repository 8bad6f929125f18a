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

// A director that stalls for half a second: what should have been asked meanwhile is asked all the same, and its time counts
// from then, so the stall shows. One that sends away, and one that fails, are counted as such.
func TestAStallShows(t *testing.T) {
	t.Parallel()
	began := time.Now()
	var gate atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"1.1.1"`)
		since := time.Since(began)
		switch {
		case r.URL.Path == "/v1/tables":
			began = time.Now()
		case strings.HasSuffix(r.URL.Path, "/reports"):
			w.WriteHeader(http.StatusServiceUnavailable)
		case since > 500*time.Millisecond && since < time.Second:
			gate.Add(1)
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
	if p.Scheduled < 140 || p.Answered != p.Scheduled || p.P99 < 350 || p.P50 > 350 || gate.Load() < 60 {
		t.Errorf("a stall of half a second: %+v, %d asked in it", p, gate.Load())
	}
	if r.Scheduled < 80 || r.Rejected < 50 || r.Rejected+r.Answered != r.Scheduled {
		t.Errorf("sent away: %+v", r)
	}
	var b bytes.Buffer
	if err := Plot(&b, "a <stall>", all); err != nil || strings.Count(b.String(), "<polyline") != 6 || strings.Contains(b.String(), "<stall>") {
		t.Error("the plot", err)
	}
}
