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

func names() *Names {
	return NewNames(logic.Config{Proxies: 4, Slices: 8, LoadColumns: []string{"utilization", "throughput"},
		Routes: []logic.Route{{TimeLimit: 3000}, {TimeLimit: 4000}}},
		wire.Names{Routes: []string{"read", "note"}, Zones: []string{"a", "b"}, Kinds: []string{"m"}})
}

func TestWhatComesToTheDirector(t *testing.T) {
	n, x := names(), 0.61
	for line, want := range map[string]any{
		`{"t":"heard","locality":"b","endpoint":"h1","total":7,"errors":2,"rtt":41.5,"interval":1000.0,"metrics":{"utilization":0.61}}`: logic.HostSample{
			Host: ID("h1"), Zone: 1, Finished: 7, Failed: 2, MeanLatency: 41.5, Period: 1000, Load: logic.Load{Utilization: &x}},
		`{"t":"heard","locality":"a","endpoint":"h1","total":7.0,"errors":7,"interval":500,"metrics":{"util":0.61}}`: logic.HostSample{
			Host: ID("h1"), Finished: 7, Failed: 7, Period: 500, Load: logic.Load{Utilization: &x}},
		`{"t":"heat","shard":7,"route":"note","total":4,"errors":1,"interval":500}`: logic.SliceDemand{Slice: 7, Route: 1, Calls: 4, Unanswered: 1, Period: 500},
		// Calls are lost when they end and counted when they come. Found on sockets: the demand of the busiest slices was dropped.
		`{"t":"heat","shard":0,"route":"read","total":1,"errors":2,"interval":500}`: logic.SliceDemand{Calls: 1, Unanswered: 2, Period: 500},
	} {
		if m, err := n.Read([]byte(line)); err != nil || !reflect.DeepEqual(m.Note, want) {
			t.Errorf("%s: %+v, %v", line, m.Note, err)
		}
	}
	for line, place := range map[string]string{
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
		_, err := n.Read([]byte(line))
		var spoilt *Spoilt
		if !errors.As(err, &spoilt) || !strings.HasPrefix(spoilt.Field, place) {
			t.Errorf("%s: %v, wanted %s", line, err, place)
		}
	}
	for _, line := range []string{"", "GET / HTTP/1.1", "null", "[]", "7", `"x"`, `{"t":`, "\x00\xff"} {
		if _, err := n.Read([]byte(line)); !errors.Is(err, ErrUnreadable) {
			t.Errorf("%q: %v", line, err)
		}
	}
}

func TestWhatTheRelaySays(t *testing.T) {
	n := names()
	for line, want := range map[string]any{
		`{"jsonrpc":"2.0","method":"joined","params":{"node":3,"locality":"b","w":21.5,"cold":true}}`: logic.ProxyJoined{Proxy: 3, Zone: 1, Rate: 21.5, Fresh: true},
		`{"jsonrpc":"2.0","method":"left","params":{"node":3}}`:                                       logic.ProxyLeft{Proxy: 3},
		`{"jsonrpc":"2.0","method":"applied","params":{"node":0,"nonce":905,"latency":310.4}}`:        logic.Acknowledged{Serial: 905, Latency: 310.4},
		`{"jsonrpc":"2.0","method":"given","params":{"shard":7,"set":true}}`:                          logic.SliceOwnership{Slice: 7, Owned: true},
		`{"jsonrpc":"2.0","method":"held","params":{"shard":7,"endpoint":"h1","w":0.5}}`:              logic.StoredLine{Slice: 7, Host: ID("h1"), Weight: 0.5},
		`{"jsonrpc":"2.0","method":"ping"}`:                                                           nil,
	} {
		if f, err := n.Frame([]byte(line)); err != nil || f.News == nil || !reflect.DeepEqual(f.News.Note, want) {
			t.Errorf("%s: %+v, %v", line, f.News, err)
		}
	}
	if f, err := n.Frame([]byte(`{"jsonrpc":"2.0","id":8,"result":{"ok_count":2}}`)); err != nil || f.ID != 8 || f.Count != 2 {
		t.Errorf("an answer: %+v, %v", f, err)
	}
	if f, err := n.Frame([]byte(`{"jsonrpc":"2.0","id":8,"result":true}`)); err != nil || !f.OK {
		t.Errorf("a subscription: %+v, %v", f, err)
	}
	for _, e := range []string{`"throttled"`, `{"code":1,"message":"throttled"}`, `{"code":"throttled"}`} {
		if f, err := n.Frame([]byte(`{"id":8,"error":` + e + `}`)); err != nil || f.Error != "throttled" {
			t.Errorf("%s: %+v, %v", e, f, err)
		}
	}
	for _, line := range []string{`{"id":8,"result":{"ok_count":-1}}`, `{"id":8,"result":{"ok_count":"2"}}`, `{"id":8,"result":{}}`, `{"id":8}`,
		`{"result":{"ok_count":2}}`, `{"id":"8","result":{"ok_count":2}}`, `{"id":8,"result":false}`, `{"id":8,"error":"odd"}`, `{"id":8,"result":{"ok_count":1.5}}`,
		`{"method":"joined","params":{"node":4,"locality":"b","w":1}}`, `{"method":"joined"}`, `{"method":"given","params":{"shard":1}}`, `{"method":"odd","params":{}}`} {
		if _, err := n.Frame([]byte(line)); err == nil {
			t.Errorf("%s was taken", line)
		}
	}
}

func FuzzLines(f *testing.F) {
	for _, s := range []string{`{"t":"heat","shard":7,"route":"note","total":4,"errors":1,"interval":500}`, `{"t":"heard","locality":"a","endpoint":"h",` +
		`"total":7,"errors":2,"rtt":4,"interval":9,"metrics":{"util":0.5}}`, `{"id":8,"result":{"ok_count":2}}`, `{"id":1,"error":{"code":{}}}`,
		`{"method":"held","params":{"shard":7,"endpoint":"h1","w":0.5}}`, `{"index":4,"snapshot":true,"endpoints":[{"name":"h","status":"left"}]}`, "util=0.5,qps=3"} {
		f.Add([]byte(s))
	}
	n := names()
	f.Fuzz(func(t *testing.T, line []byte) {
		if m, err := n.Read(line); err == nil {
			if heat, is := m.Note.(logic.SliceDemand); is && (heat.Slice < 0 || int(heat.Slice) >= n.Slices || heat.Period <= 0 || heat.Calls < 0) {
				t.Errorf("%q: %+v", line, heat)
			}
			if met, is := m.Note.(logic.HostSample); is && (met.Failed < 0 || met.Failed > met.Finished || met.Period <= 0 || met.MeanLatency < 0) {
				t.Errorf("%q: %+v", line, met)
			}
		}
		n.Frame(line)
		n.Load(string(line))
		if l, err := ReadList(line); err == nil {
			NewHosts().Roster(l, logic.HostListFull, n)
		}
	})
}

func TestTheList(t *testing.T) {
	h, n := NewHosts(), names()
	read := func(kind logic.HostListKind, text string) logic.HostList {
		t.Helper()
		l, err := ReadList([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		r, _ := h.Roster(l, kind, n)
		return r
	}
	const h1, h2 = `{"name":"h1","address":"127.0.0.1:1","zone":"b","type":"m","group":3,"status":"active","weight":1,"since_ms":5}`,
		`{"name":"h2","address":"127.0.0.1:2","zone":"a","type":"m","group":3,"status":"active","weight":1,"since_ms":0}`
	r := read(logic.HostListFromDisk, `{"index":1,"snapshot":true,"endpoints":[`+h1+`,`+h2+`]}`)
	if r.Kind != logic.HostListFromDisk || len(r.Entries) != 2 || r.Entries[0] != (logic.HostEntry{Host: ID("h1"), Cell: 3, Zone: 1, Weight: 1, StartedAt: 5}) {
		t.Fatalf("%+v", r)
	}
	// A host comes back under another address; one whose entry can't be read stays as it was; one that left needs a name alone.
	r = read(logic.HostListFull, `{"index":2,"snapshot":false,"endpoints":[{"name":"h1","address":"127.0.0.1:9","zone":"b","type":"m","group":3,"status":"active",`+
		`"weight":1,"since_ms":9},{"name":"h2","address":"127.0.0.1:3","zone":"moon","type":"m","status":"active"},{"name":"h3","status":"left"}]}`)
	if r.Kind != logic.HostListDelta || len(r.Entries) != 3 || r.Entries[1].Zone != 0 || r.Entries[2].State != logic.Gone ||
		h.Address(ID("h1")) != "127.0.0.1:9" || h.Address(ID("h2")) != "127.0.0.1:2" || h.Listed() != 2 {
		t.Fatalf("%+v", r)
	}
	if r = read(logic.HostListFull, `{"index":3,"snapshot":true,"endpoints":[`+h2+`]}`); r.Kind != logic.HostListFull || h.Address(ID("h1")) != "" || h.NameOf(ID("h1")) != "h1" {
		t.Fatalf("%+v, h1 at %q", r, h.Address(ID("h1")))
	}
	for i := range 3 * mostGone {
		h.Name(strings.Repeat("x", i+1))
	}
	if len(h.by) > mostGone+2 || h.NameOf(ID("h2")) != "h2" {
		t.Errorf("%d hosts are known", len(h.by))
	}
}

func TestOrders(t *testing.T) {
	h, n := NewHosts(), names()
	id, _ := h.Name("h1")
	for _, c := range []struct {
		order logic.Order
		text  string
	}{
		{logic.SetLine{Table: 4, Host: id, Weight: 1.5}, `{"verb":"share","cluster":4,"endpoint":"h1","w":1.5}`},
		{logic.SetLine{Table: 4, Host: id, Weight: 1e-7}, `{"verb":"share","cluster":4,"endpoint":"h1","w":0.0000001}`},
		{logic.DropLines{Table: 4}, `{"verb":"clear","cluster":4}`},
		{logic.Mask{Host: id, On: true}, `{"verb":"withdraw","endpoint":"h1"}`},
		{logic.Mask{Host: id}, `{"verb":"restore","endpoint":"h1"}`},
		{logic.Throttle{Table: 4, Routes: 2, Level: 0.9, Retries: 1}, `{"verb":"admit","cluster":4,"classes":["note"],"level":0.9,"retry":1}`},
		{logic.Throttle{Table: logic.AllTables, Routes: 3, Level: 1}, `{"verb":"admit","level":1,"retry":0}`},
		{logic.Stamp{Serial: 905, All: true}, `{"verb":"mark","ticket":905,"set":1}`},
		{logic.Stamp{Serial: 905}, `{"verb":"mark","ticket":905,"set":0}`},
	} {
		if op, relays, err := n.Op(c.order, h); err != nil || !relays || op.Text != c.text {
			t.Errorf("%+v: %s, %v", c.order, op.Text, err)
		}
	}
	if op, _, _ := n.Op(logic.Throttle{Table: logic.AllTables, Routes: 1}, h); op.Table != outbox.NoTable || op.Kind != outbox.Level {
		t.Errorf("%+v", op)
	}
	if _, _, err := n.Op(logic.SetLine{Table: 4, Host: id + 1}, h); err == nil {
		t.Error("an order for a host without a name")
	}
}
