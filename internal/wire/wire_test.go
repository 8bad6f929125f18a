package wire

import (
	"reflect"
	"strings"
	"testing"

	"vetchwood/logic"
)

const startEvent = `{"verb":"Begin","Director":1,"Nonce64":9223372036854775808,"Facts":{"Me":1,"Novel":{"x":1},
"Classes":[{"Repeat":"keyed","Group":"cell","TargetMs":1200.5,"Worth":3},{"Repeat":"unsafe"}],
"Specifics":{"Admission":"rps","SelectsBy":"pair","Slices":7,"WriteClasses":[false,true],"OneOwner":true}}}`

// decode decodes a batch of these events.
func decode(t *testing.T, events ...string) (Batch, error) {
	t.Helper()
	var d Decoder
	return d.Decode([]byte(`{"ClockMs":1.5,"extra":[],"news":[` + strings.Join(events, ",") + `]}`))
}

func TestDecode(t *testing.T) {
	b, err := decode(t, startEvent,
		`{"verb":"DefineList","RosterId":3,"Items":[{"Availability":"up","Host":4294967295,"W":1,"BornMs":6.5}]}`,
		`{"verb":"Sync","Director":1,"Serial":1,"RosterId":3,"Kind":"disk"}`,
		`{"verb":"DefineList","RosterId":3,"Items":[]}`,
		`{"verb":"Sync","Director":1,"Serial":2,"RosterId":3,"Kind":"diff"}`,
		`{"verb":"Sync","Director":1,"Kind":"error"}`,
		`{"verb":"TickDue","Director":1,"Nonce":9223372036854775807}`,
		`{"verb":"Novelty","Director":1}`,
		`{"verb":"TrafficReport","Director":1,"Host":5,"Many":14,"Lost":1,"HealthInfo":{"utilization":0.5,"new":"x"}}`)
	if err != nil {
		t.Fatal(err)
	}
	if b.Clock != 1.5 || len(b.Events) != 6 {
		t.Fatalf("clock %v, %d events", b.Clock, len(b.Events))
	}
	start := b.Events[0].Start
	if start.Seed != 1<<63 || start.Config.Slices != 7 || start.Config.Levels != logic.LevelRate || !start.Config.SingleOwner ||
		start.Config.Routes[0].DedupScope != logic.DedupCell || !start.Config.Routes[1].IsWrite || start.Config.Pick != logic.PickTwoChoices {
		t.Errorf("start: %+v", start)
	}
	// A later list replaces the former one of the same number, also within a batch.
	first, second := b.Events[1].Payload.(logic.HostList), b.Events[2].Payload.(logic.HostList)
	if len(first.Entries) != 1 || first.Entries[0].Host != 1<<32-1 || len(second.Entries) != 0 {
		t.Errorf("lists: %+v, %+v", first, second)
	}
	if due := b.Events[4].Payload.(logic.TimerFired); due.Timer != 1<<63-1 {
		t.Errorf("nonce %d", due.Timer)
	}
	if report := b.Events[5].Payload.(logic.HostSample); report.Load.Utilization == nil || *report.Load.Utilization != 0.5 || report.Load.Throughput != nil {
		t.Errorf("load: %+v", report.Load)
	}
}

func TestDecodeRejectsInvalidFields(t *testing.T) {
	for event, field := range map[string]string{
		`{"Director":1}`:                                                                         "verb",
		`{"verb":"TrafficReport","Director":1}`:                                                  "Host",
		`{"verb":"TrafficReport","Director":1,"Host":"a"}`:                                       "Host",
		`{"verb":"TrafficReport","Director":1,"Host":4294967296}`:                                "Host",
		`{"verb":"TrafficReport","Director":1,"Host":1,"HealthInfo":[]}`:                         "HealthInfo",
		`{"verb":"Sync","Director":1,"RosterId":4,"Kind":"diff"}`:                                "RosterId",
		`{"verb":"Sync","Director":1,"RosterId":4,"Kind":"odd"}`:                                 "Kind",
		`{"verb":"Custody","Director":1,"Flag":7,"RouteTable":1}`:                                "Flag",
		`{"verb":"Begin","Director":1,"Nonce64":-1,"Facts":{}}`:                                  "Nonce64",
		`{"verb":"Begin","Director":1,"Nonce64":1,"Facts":{"Rules":{"ColdFrom":"x"}}}`:           "ColdFrom",
		`{"verb":"DefineList","RosterId":1,"Items":[{"Host":1,"Availability":"sideways"}]}`:      "Availability",
		`{"verb":"DefineList","RosterId":16,"Items":[]}`:                                         "RosterId",
		`{"verb":"OnRecord","Director":1,"RouteTable":1,"Host":2}`:                               "W",
		`{"verb":"Begin","Director":1,"Nonce64":1,"Facts":{"Classes":[{"Repeat":"sometimes"}]}}`: "Repeat",
	} {
		if _, err := decode(t, event); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v, want one on field %s", event, err, field)
		}
	}
}

func TestOrders(t *testing.T) {
	var r Reply
	r.Reset()
	if got := string(r.Line()); got != "{\"cmds\":[]}\n" {
		t.Errorf("empty reply %q", got)
	}
	r.Reset()
	for _, o := range []logic.Order{logic.SetLine{Table: 1, Host: 1<<32 - 1, Weight: 0.75}, logic.DropLines{Table: 2},
		logic.Bind{Proxy: 3, Table: 1, Routes: 2}, logic.Mask{Host: 4, On: true}, logic.Stamp{Serial: 9},
		logic.Throttle{Table: logic.AllTables, Routes: 2, Level: 0.5, RetryMode: 1}, logic.SetTimer{Delay: 0.5, Timer: 1 << 63},
		logic.Probe{Host: 4}, logic.SendToPeer{To: -1, Payload: "hi"}, logic.WatchHosts{On: true}, logic.RequestHosts{}, logic.LogText{Text: "\"\n"}} {
		r.Add(3, o)
	}
	r.AddFailure(3, "x")
	want := `{"cmds":[{"verb":"SetLine","Director":3,"RouteTable":1,"Host":4294967295,"W":0.75},` +
		`{"verb":"DropLines","Director":3,"RouteTable":2},{"verb":"Bind","Director":3,"Sidecar":3,"RouteTable":1,"ClassBits":2},` +
		`{"verb":"Mask","Director":3,"Host":4,"Flag":true},{"verb":"Stamp","Director":3,"Serial":9,"Flag":false},` +
		`{"verb":"Valve","Director":3,"RouteTable":65535,"ClassBits":2,"Level":0.5,"Resend":1},` +
		`{"verb":"After","Director":3,"InMs":0.5,"Nonce":9223372036854775808},{"verb":"Ping","Director":3,"Host":4},` +
		`{"verb":"BroadcastTo","Director":3,"Target":-1,"Raw":"hi"},{"verb":"StreamChanges","Director":3,"Flag":true},` +
		`{"verb":"Pull","Director":3},{"verb":"SayLog","Director":3,"Words":"\"\n"},{"verb":"Broken","Director":3,"Words":"x"}]}` + "\n"
	if got := string(r.Line()); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// For any input the decoder returns a batch or an error, the same one each time, and never panics.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"ClockMs":1,"news":[{"verb":"Heat","Director":1,"RouteTable":1,"Lane":0,"Many":3}]}`))
	f.Add([]byte(`{"ClockMs":1,"news":[{"verb":"DefineList","RosterId":0,"Items":[{}]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var d, other Decoder
		first, err := d.Decode(text)
		second, err2 := other.Decode(text)
		if (err == nil) != (err2 == nil) || err == nil && !reflect.DeepEqual(first, second) {
			t.Error("decoding the same line twice gave different results")
		}
	})
}
