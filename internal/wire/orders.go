package wire

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"vetchwood/logic"
)

// Reply collects the orders of one batch.
type Reply struct{ buf []byte }

// Reset begins a new reply.
func (r *Reply) Reset() { r.buf = append(r.buf[:0], `{"cmds":[`...) }

// Line ends the reply and returns it with its line feed.
func (r *Reply) Line() []byte { return append(r.buf, "]}\n"...) }

func (r *Reply) verb(name string, d logic.DirectorID) {
	if r.buf[len(r.buf)-1] == '}' {
		r.buf = append(r.buf, ',')
	}
	r.buf = append(r.buf, `{"verb":"`+name+`","Director":`...)
	r.buf = strconv.AppendInt(r.buf, int64(d), 10)
}

func (r *Reply) whole(key string, n int64) {
	r.buf = append(r.buf, `,"`+key+`":`...)
	r.buf = strconv.AppendInt(r.buf, n, 10)
}

func (r *Reply) number(key string, n float64) {
	r.buf = append(r.buf, `,"`+key+`":`...)
	r.buf = strconv.AppendFloat(r.buf, n, 'g', -1, 64)
}

func (r *Reply) flag(key string, b bool) {
	r.buf = append(r.buf, `,"`+key+`":`...)
	r.buf = strconv.AppendBool(r.buf, b)
}

func (r *Reply) text(key, s string) {
	quoted, _ := json.Marshal(s)
	r.buf = append(r.buf, `,"`+key+`":`...)
	r.buf = append(r.buf, quoted...)
}

// Broken reports that an instance's decisions failed.
func (r *Reply) Broken(d logic.DirectorID, why string) {
	r.verb("Broken", d)
	r.text("Words", why)
	r.buf = append(r.buf, '}')
}

// Add writes one order of an instance; what is no order is a fault of the program.
func (r *Reply) Add(d logic.DirectorID, o logic.Order) {
	switch o := o.(type) {
	case logic.SetLine:
		r.verb("SetLine", d)
		r.whole("RouteTable", int64(o.Table))
		r.whole("Host", int64(o.Host))
		r.number("W", o.Weight)
	case logic.DropLines:
		r.verb("DropLines", d)
		r.whole("RouteTable", int64(o.Table))
	case logic.Bind:
		r.verb("Bind", d)
		r.whole("Sidecar", int64(o.Proxy))
		r.whole("RouteTable", int64(o.Table))
		r.whole("ClassBits", int64(o.Routes))
	case logic.Mask:
		r.verb("Mask", d)
		r.whole("Host", int64(o.Host))
		r.flag("Flag", o.On)
	case logic.Throttle:
		r.verb("Valve", d)
		r.whole("RouteTable", int64(o.Table))
		r.whole("ClassBits", int64(o.Routes))
		r.number("Level", o.Level)
		r.whole("Resend", int64(o.Retries))
	case logic.Stamp:
		r.verb("Stamp", d)
		r.whole("Serial", int64(o.Serial))
		r.flag("Flag", o.All)
	case logic.SetTimer:
		r.verb("After", d)
		r.number("InMs", float64(o.Delay))
		r.buf = append(r.buf, `,"Nonce":`...)
		r.buf = strconv.AppendUint(r.buf, uint64(o.Timer), 10)
	case logic.Probe:
		r.verb("Ping", d)
		r.whole("Host", int64(o.Host))
	case logic.SendToPeer:
		r.verb("BroadcastTo", d)
		r.whole("Target", int64(o.To))
		for len(o.Payload) > 256 || !utf8.ValidString(o.Payload) {
			o.Payload = o.Payload[:len(o.Payload)-1]
		}
		r.text("Raw", o.Payload)
	case logic.WatchHosts:
		r.verb("StreamChanges", d)
		r.flag("Flag", o.On)
	case logic.RequestHosts:
		r.verb("Pull", d)
	case logic.LogText:
		r.verb("SayLog", d)
		r.text("Words", o.Text)
	default:
		panic("not an order")
	}
	r.buf = append(r.buf, '}')
}
