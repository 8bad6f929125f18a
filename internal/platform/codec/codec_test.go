package codec

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"vetchwood/internal/platform/outbox"
	"vetchwood/internal/wire"
	"vetchwood/logic"
)

func testSchema() *Schema {
	return NewSchema(logic.Config{Proxies: 4, Slices: 8, LoadColumns: []string{"utilization", "throughput"},
		Routes: []logic.Route{{TimeLimit: 3000}, {TimeLimit: 4000}}},
		wire.Names{Routes: []string{"read", "note"}, Zones: []string{"a", "b"}, HardwareTypes: []string{"m"}})
}

func TestDecodeMessage(t *testing.T) {
	s, utilization := testSchema(), 0.61
	for line, want := range map[string]any{
		`{"t":"heard","locality":"b","endpoint":"h1","total":7,"errors":2,"rtt":41.5,"interval":1000.0,"metrics":{"utilization":0.61}}`: logic.HostSample{
			Host: IDOf("h1"), Zone: 1, Finished: 7, Failed: 2, MeanLatency: 41.5, Period: 1000, Load: logic.Load{Utilization: &utilization}},
		`{"t":"heard","locality":"a","endpoint":"h1","total":7.0,"errors":7,"interval":500,"metrics":{"util":0.61}}`: logic.HostSample{
			Host: IDOf("h1"), Finished: 7, Failed: 7, Period: 500, Load: logic.Load{Utilization: &utilization}},
		`{"t":"heat","shard":7,"route":"note","total":4,"errors":1,"interval":500}`: logic.SliceDemand{Slice: 7, Route: 1, Calls: 4, Unanswered: 1, Period: 500},
		// A call is counted when it arrives and its failure when it ends, so errors may exceed the total. When such reports
		// were rejected, the demand of the busiest slices was lost.
		`{"t":"heat","shard":0,"route":"read","total":1,"errors":2,"interval":500}`: logic.SliceDemand{Calls: 1, Unanswered: 2, Period: 500},
	} {
		if m, err := s.DecodeMessage([]byte(line)); err != nil || !reflect.DeepEqual(m.Event, want) {
			t.Errorf("%s: %+v, %v", line, m.Event, err)
		}
	}
	for line, field := range map[string]string{
		`{"t":"heard","locality":"a","endpoint":"h1","total":7,"errors":8,"rtt":4,"interval":1000}`:                        "errors",
		`{"t":"heard","locality":"a","endpoint":"h1","total":7,"errors":2,"interval":1000}`:                                "rtt",
		`{"t":"heard","locality":"c","endpoint":"h1","total":7,"errors":2,"rtt":4,"interval":1000}`:                        "locality",
		`{"t":"heard","locality":"a","endpoint":"h1","total":7,"errors":2,"rtt":-4,"interval":1000}`:                       "rtt",
		`{"t":"heard","locality":"a","endpoint":"h1","total":7,"errors":2,"rtt":4,"interval":0}`:                           "interval",
		`{"t":"heard","locality":"a","endpoint":"h1","total":7,"errors":2,"rtt":4e99,"interval":1000}`:                     "rtt",
		`{"t":"heard","locality":"a","endpoint":"h1","total":"7","errors":2,"rtt":4,"interval":1000}`:                      "total",
		`{"t":"heard","locality":"a","endpoint":5,"total":7,"errors":2,"rtt":4,"interval":1000}`:                           "endpoint",
		`{"t":"heard","locality":"a","total":7,"errors":2,"rtt":4,"interval":1000}`:                                        "endpoint",
		`{"t":"heard","locality":"a","endpoint":"h1","total":7.5,"errors":2,"rtt":4,"interval":1000}`:                      "total",
		`{"t":"heard","locality":"a","endpoint":"h1","total":7,"errors":2,"rtt":4,"interval":9,"metrics":{"util":-1}}`:     "metrics.util",
		`{"t":"heard","locality":"a","endpoint":"h1","total":7,"errors":2,"rtt":4,"interval":9,"metrics":{"queue":1}}`:     "metrics.queue",
		`{"t":"heard","locality":"a","endpoint":"h1","total":7,"errors":2,"rtt":4,"interval":9,"metrics":{"util":null}}`:   "metrics.util",
		`{"t":"heard","locality":"a","endpoint":"h1","total":7,"errors":2,"rtt":4,"interval":9,"metrics":["utilization"]}`: "metrics",
		`{"t":"heat","shard":8,"route":"note","total":4,"errors":1,"interval":500}`:                                        "shard",
		`{"t":"heat","shard":-1,"route":"note","total":4,"errors":1,"interval":500}`:                                       "shard",
		`{"t":"heat","shard":1,"route":"none","total":4,"errors":1,"interval":500}`:                                        "route",
		`{"t":"heat","shard":1,"route":"note","errors":1,"interval":500}`:                                                  "total",
		`{"t":"collector","locality":"z"}`: "locality",
		`{"t":"collector"}`:                "locality",
		`{"t":"joined","node":1}`:          "t",
		`{"verb":"share"}`:                 "t",
		`{}`:                               "t",
	} {
		_, err := s.DecodeMessage([]byte(line))
		var invalid *FieldError
		if !errors.As(err, &invalid) || !strings.HasPrefix(invalid.Field, field) {
			t.Errorf("%s: error %v, want one on field %s", line, err, field)
		}
	}
	for _, line := range []string{"", "GET / HTTP/1.1", "null", "[]", "7", `"x"`, `{"t":`, "\x00\xff"} {
		if _, err := s.DecodeMessage([]byte(line)); !errors.Is(err, ErrUnreadable) {
			t.Errorf("%q: %v", line, err)
		}
	}
}

func TestDecodeFrame(t *testing.T) {
	s := testSchema()
	for line, want := range map[string]any{
		`{"jsonrpc":"2.0","method":"joined","params":{"node":3,"locality":"b","w":21.5,"cold":true}}`: logic.ProxyJoined{Proxy: 3, Zone: 1, Rate: 21.5, Fresh: true},
		`{"jsonrpc":"2.0","method":"left","params":{"node":3}}`:                                       logic.ProxyLeft{Proxy: 3},
		`{"jsonrpc":"2.0","method":"applied","params":{"node":0,"nonce":905,"latency":310.4}}`:        logic.Acknowledged{Serial: 905, Latency: 310.4},
		`{"jsonrpc":"2.0","method":"given","params":{"shard":7,"set":true}}`:                          logic.SliceOwnership{Slice: 7, Owned: true},
		`{"jsonrpc":"2.0","method":"held","params":{"shard":7,"endpoint":"h1","w":0.5}}`:              logic.StoredLine{Slice: 7, Host: IDOf("h1"), Weight: 0.5},
		`{"jsonrpc":"2.0","method":"ping"}`:                                                           nil,
	} {
		if f, err := s.DecodeFrame([]byte(line)); err != nil || f.Notification == nil || !reflect.DeepEqual(f.Notification.Event, want) {
			t.Errorf("%s: %+v, %v", line, f.Notification, err)
		}
	}
	if f, err := s.DecodeFrame([]byte(`{"jsonrpc":"2.0","id":8,"result":{"ok_count":2}}`)); err != nil || f.ID != 8 || f.Accepted != 2 {
		t.Errorf("answer to a commit: %+v, %v", f, err)
	}
	if f, err := s.DecodeFrame([]byte(`{"jsonrpc":"2.0","id":8,"result":true}`)); err != nil || !f.Subscribed {
		t.Errorf("answer to a subscription: %+v, %v", f, err)
	}
	for _, e := range []string{`"throttled"`, `{"code":1,"message":"throttled"}`, `{"code":"throttled"}`} {
		if f, err := s.DecodeFrame([]byte(`{"id":8,"error":` + e + `}`)); err != nil || f.Error != "throttled" {
			t.Errorf("%s: %+v, %v", e, f, err)
		}
	}
	for _, line := range []string{`{"id":8,"result":{"ok_count":-1}}`, `{"id":8,"result":{"ok_count":"2"}}`, `{"id":8,"result":{}}`, `{"id":8}`,
		`{"result":{"ok_count":2}}`, `{"id":"8","result":{"ok_count":2}}`, `{"id":8,"result":false}`, `{"id":8,"error":"odd"}`, `{"id":8,"result":{"ok_count":1.5}}`,
		`{"method":"joined","params":{"node":4,"locality":"b","w":1}}`, `{"method":"joined"}`, `{"method":"given","params":{"shard":1}}`, `{"method":"odd","params":{}}`} {
		if _, err := s.DecodeFrame([]byte(line)); err == nil {
			t.Errorf("%s was accepted", line)
		}
	}
}

func FuzzLines(f *testing.F) {
	for _, s := range []string{`{"t":"heat","shard":7,"route":"note","total":4,"errors":1,"interval":500}`, `{"t":"heard","locality":"a","endpoint":"h",` +
		`"total":7,"errors":2,"rtt":4,"interval":9,"metrics":{"util":0.5}}`, `{"id":8,"result":{"ok_count":2}}`, `{"id":1,"error":{"code":{}}}`,
		`{"method":"held","params":{"shard":7,"endpoint":"h1","w":0.5}}`, `{"index":4,"snapshot":true,"endpoints":[{"name":"h","status":"left"}]}`, "util=0.5,qps=3"} {
		f.Add([]byte(s))
	}
	schema := testSchema()
	f.Fuzz(func(t *testing.T, line []byte) {
		if m, err := schema.DecodeMessage(line); err == nil {
			if demand, is := m.Event.(logic.SliceDemand); is && (demand.Slice < 0 || int(demand.Slice) >= schema.Slices || demand.Period <= 0 ||
				demand.Calls < 0) {
				t.Errorf("%q: %+v", line, demand)
			}
			if report, is := m.Event.(logic.HostSample); is && (report.Failed < 0 || report.Failed > report.Finished || report.Period <= 0 || report.MeanLatency < 0) {
				t.Errorf("%q: %+v", line, report)
			}
		}
		schema.DecodeFrame(line)
		schema.DecodeLoad(string(line))
		if l, err := DecodeList(line); err == nil {
			NewHosts().Apply(l, logic.HostListFull, schema)
		}
	})
}

func TestApplyList(t *testing.T) {
	h, schema := NewHosts(), testSchema()
	read := func(kind logic.HostListKind, text string) logic.HostList {
		t.Helper()
		l, err := DecodeList([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		r, _ := h.Apply(l, kind, schema)
		return r
	}
	const h1, h2 = `{"name":"h1","address":"127.0.0.1:1","zone":"b","type":"m","group":3,"status":"active","weight":1,"since_ms":5}`,
		`{"name":"h2","address":"127.0.0.1:2","zone":"a","type":"m","group":3,"status":"active","weight":1,"since_ms":0}`
	r := read(logic.HostListFromDisk, `{"index":1,"snapshot":true,"endpoints":[`+h1+`,`+h2+`]}`)
	if r.Kind != logic.HostListFromDisk || len(r.Entries) != 2 || r.Entries[0] != (logic.HostEntry{Host: IDOf("h1"), Cell: 3, Zone: 1, Weight: 1, StartedAt: 5}) {
		t.Fatalf("%+v", r)
	}
	// h1 returns with another address. h2 keeps its former entry, because the new one is invalid. h3 has left, so that its
	// name suffices.
	r = read(logic.HostListFull, `{"index":2,"snapshot":false,"endpoints":[{"name":"h1","address":"127.0.0.1:9","zone":"b","type":"m","group":3,"status":"active",`+
		`"weight":1,"since_ms":9},{"name":"h2","address":"127.0.0.1:3","zone":"moon","type":"m","status":"active"},{"name":"h3","status":"left"}]}`)
	if r.Kind != logic.HostListDelta || len(r.Entries) != 3 || r.Entries[1].Zone != 0 || r.Entries[2].State != logic.Gone ||
		h.Address(IDOf("h1")) != "127.0.0.1:9" || h.Address(IDOf("h2")) != "127.0.0.1:2" || h.ListedCount() != 2 {
		t.Fatalf("%+v", r)
	}
	if r = read(logic.HostListFull, `{"index":3,"snapshot":true,"endpoints":[`+h2+`]}`); r.Kind != logic.HostListFull || h.Address(IDOf("h1")) != "" || h.NameOf(IDOf("h1")) != "h1" {
		t.Fatalf("%+v, h1 at %q", r, h.Address(IDOf("h1")))
	}
	for i := range 3 * maxUnlistedHosts {
		h.Register(strings.Repeat("x", i+1))
	}
	if len(h.byID) > maxUnlistedHosts+2 || h.NameOf(IDOf("h2")) != "h2" {
		t.Errorf("%d hosts are still registered", len(h.byID))
	}
}

func TestEncodeOrder(t *testing.T) {
	h, schema := NewHosts(), testSchema()
	id, _ := h.Register("h1")
	for _, c := range []struct {
		order logic.Order
		text  string
	}{
		{logic.SetLine{Table: 4, Host: id, Weight: 1.5}, `{"verb":"share","cluster":4,"endpoint":"h1","w":1.5}`},
		{logic.SetLine{Table: 4, Host: id, Weight: 1e-7}, `{"verb":"share","cluster":4,"endpoint":"h1","w":0.0000001}`},
		{logic.DropLines{Table: 4}, `{"verb":"clear","cluster":4}`},
		{logic.Mask{Host: id, On: true}, `{"verb":"withdraw","endpoint":"h1"}`},
		{logic.Mask{Host: id}, `{"verb":"restore","endpoint":"h1"}`},
		{logic.Throttle{Table: 4, Routes: 2, Level: 0.9, RetryMode: 1}, `{"verb":"admit","cluster":4,"classes":["note"],"level":0.9,"retry":1}`},
		{logic.Throttle{Table: logic.AllTables, Routes: 3, Level: 1}, `{"verb":"admit","level":1,"retry":0}`},
		{logic.Stamp{Serial: 905, All: true}, `{"verb":"mark","ticket":905,"set":1}`},
		{logic.Stamp{Serial: 905}, `{"verb":"mark","ticket":905,"set":0}`},
	} {
		if op, forRelay, err := schema.EncodeOrder(c.order, h); err != nil || !forRelay || op.Text != c.text {
			t.Errorf("%+v: %s, %v", c.order, op.Text, err)
		}
	}
	if op, _, _ := schema.EncodeOrder(logic.Throttle{Table: logic.AllTables, Routes: 1}, h); op.Table != outbox.NoTable || op.Kind != outbox.Level {
		t.Errorf("%+v", op)
	}
	if _, _, err := schema.EncodeOrder(logic.SetLine{Table: 4, Host: id + 1}, h); err == nil {
		t.Error("an order for a host without a name was encoded")
	}
}
