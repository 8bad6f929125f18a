package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestDrill(t *testing.T) {
	begin := `{"verb":"Begin","Director":3,"Nonce64":1,"Facts":{"Specifics":{"Slices":2}}}`
	for _, c := range []struct{ in, out, fails string }{
		{`{"ClockMs":1,"news":[]}`, "{\"cmds\":[]}\n", ""},
		{`{"ClockMs":1,"news":[` + begin + `,{"verb":"Killed","Director":3}]}`, "{\"cmds\":[]}\n", ""},
		{`{"ClockMs":1,"news":[` + begin + `,{"verb":"Killed","Director":3},` + begin + `]}`,
			"{\"cmds\":[{\"verb\":\"After\",\"Director\":3,\"InMs\":100,\"Nonce\":0}]}\n", ""},
		{`{"ClockMs":1,"news":[` + begin + `]}` + "\n" + `{"ClockMs":2,"news":[{"verb":"TickDue","Director":4,"Nonce":0}]}`,
			"{\"cmds\":[{\"verb\":\"After\",\"Director\":3,\"InMs\":100,\"Nonce\":0}]}\n", "line 2: event 0: field Director"},
		{"{\"ClockMs\":1,\"news\":[]}\nnonsense", "{\"cmds\":[]}\n", "line 2: not a JSON object"},
		{`{"ClockMs":1,"news":[{"verb":"TickDue","Director":4}]}`, "", "line 1: event 0 (TickDue): field Nonce: missing"},
	} {
		var out bytes.Buffer
		err := run(strings.NewReader(c.in), &out)
		if out.String() != c.out {
			t.Errorf("%s: wrote %q", c.in, out.String())
		}
		if (err == nil) != (c.fails == "") || err != nil && !strings.Contains(err.Error(), c.fails) {
			t.Errorf("%s: error %v", c.in, err)
		}
	}
}
