package lrs

import (
	"encoding/json"
	"reflect"
	"testing"

	"vetchwood/internal/control"
)

func TestReportRoundTrip(t *testing.T) {
	at, err := AddressOf("127.0.0.1:7001")
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(Request{Node: Node{ID: "p1"}, ClusterStats: []ClusterStats{
		{Name: "read", ServiceName: "17", Localities: []LocalityStats{{Metrics: []MetricStats{{Calls, 12, 12}, {Unanswered, 2, 2}}}}},
		{Name: "read", Localities: []LocalityStats{{Endpoints: []EndpointStats{{Address: at, Successful: 9, Errors: 1, Issued: 10,
			Metrics: []MetricStats{{AnswerMs, 9, 900}, {"cpu_utilization", 2, 1.5}, {"unknown", 1, 7}}}}}}},
		{Name: "note", ServiceName: "3"}}})
	if err != nil {
		t.Fatal(err)
	}
	r, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(r.Calls, []control.RouteCalls{{Route: "read", Table: "17", Calls: 12, Unanswered: 2}}) {
		t.Errorf("calls: %+v", r.Calls)
	}
	if len(r.Tries) != 1 || r.Proxy != "p1" {
		t.Fatalf("report: %+v", r)
	}
	h := r.Tries[0]
	if h.Address != "127.0.0.1:7001" || h.Ended != 10 || h.Unanswered != 1 || h.AnsweredMs != 900 || *h.Load.Utilization != 0.75 || h.Load.Throughput != nil {
		t.Errorf("tries: %+v", h)
	}
}

func TestCountsAreStringsOrNumbers(t *testing.T) {
	for text, want := range map[string]Count{`"7"`: 7, `7`: 7, `"9007199254740991"`: 1<<53 - 1} {
		var c Count
		if err := json.Unmarshal([]byte(text), &c); err != nil || c != want {
			t.Errorf("%s decoded as %d, %v", text, c, err)
		}
	}
	for _, text := range []string{`-1`, `"x"`, `1.5`, `"99999999999999999999"`, `{}`} {
		var c Count
		if err := json.Unmarshal([]byte(text), &c); err == nil {
			t.Errorf("%s decoded as %d, want an error", text, c)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"node":{"id":"p"},"cluster_stats":[{"cluster_name":"r","upstream_locality_stats":[{"upstream_endpoint_stats":[{"address":{"socket_address":{"address":"::1","port_value":80}},"total_error_requests":"3"}]}]}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := Decode(body)
		if err != nil {
			return
		}
		for _, h := range r.Tries {
			if h.Ended < h.Unanswered || h.Unanswered < 0 || !(h.AnsweredMs >= 0) || h.Address == "" {
				t.Fatalf("inconsistent tries: %+v", h)
			}
		}
		for _, c := range r.Calls {
			if c.Calls < 0 || c.Unanswered < 0 {
				t.Fatalf("negative calls: %+v", c)
			}
		}
	})
}
