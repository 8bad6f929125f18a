package wire

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"vetchwood/logic"
)

// Reply builds the reply to one batch: the orders of all instances.
type Reply struct{ buf []byte }

// Reset starts a new reply.
func (r *Reply) Reset() { r.buf = append(r.buf[:0], `{"cmds":[`...) }

// Line completes the reply and returns it, including the line feed.
func (r *Reply) Line() []byte { return append(r.buf, "]}\n"...) }

// openOrder writes the beginning of an order. The caller adds its fields and the closing brace.
func (r *Reply) openOrder(name string, d logic.DirectorID) {
	if r.buf[len(r.buf)-1] == '}' {
		r.buf = append(r.buf, ',')
	}
	r.buf = append(r.buf, `{"verb":"`+name+`","Director":`...)
	r.buf = strconv.AppendInt(r.buf, int64(d), 10)
}

func (r *Reply) integer(key string, n int64) {
	r.buf = append(r.buf, `,"`+key+`":`...)
	r.buf = strconv.AppendInt(r.buf, n, 10)
}

func (r *Reply) number(key string, n float64) {
	r.buf = append(r.buf, `,"`+key+`":`...)
	r.buf = strconv.AppendFloat(r.buf, n, 'g', -1, 64)
}

func (r *Reply) boolean(key string, b bool) {
	r.buf = append(r.buf, `,"`+key+`":`...)
	r.buf = strconv.AppendBool(r.buf, b)
}

func (r *Reply) text(key, s string) {
	quoted, _ := json.Marshal(s)
	r.buf = append(r.buf, `,"`+key+`":`...)
	r.buf = append(r.buf, quoted...)
}

// AddFailure reports that the decision module of an instance has panicked.
func (r *Reply) AddFailure(d logic.DirectorID, why string) {
	r.openOrder("Broken", d)
	r.text("Words", why)
	r.buf = append(r.buf, '}')
}

// Add appends an order of an instance. It panics if o is of no order type that the simulator knows.
func (r *Reply) Add(d logic.DirectorID, o logic.Order) {
	switch o := o.(type) {
	case logic.SetLine:
		r.openOrder("SetLine", d)
		r.integer("RouteTable", int64(o.Table))
		r.integer("Host", int64(o.Host))
		r.number("W", o.Weight)
	case logic.DropLines:
		r.openOrder("DropLines", d)
		r.integer("RouteTable", int64(o.Table))
	case logic.Bind:
		r.openOrder("Bind", d)
		r.integer("Sidecar", int64(o.Proxy))
		r.integer("RouteTable", int64(o.Table))
		r.integer("ClassBits", int64(o.Routes))
	case logic.Mask:
		r.openOrder("Mask", d)
		r.integer("Host", int64(o.Host))
		r.boolean("Flag", o.On)
	case logic.Throttle:
		r.openOrder("Valve", d)
		r.integer("RouteTable", int64(o.Table))
		r.integer("ClassBits", int64(o.Routes))
		r.number("Level", o.Level)
		r.integer("Resend", int64(o.RetryMode))
	case logic.Stamp:
		r.openOrder("Stamp", d)
		r.integer("Serial", int64(o.Serial))
		r.boolean("Flag", o.All)
	case logic.SetTimer:
		r.openOrder("After", d)
		r.number("InMs", float64(o.Delay))
		r.buf = append(r.buf, `,"Nonce":`...)
		r.buf = strconv.AppendUint(r.buf, uint64(o.Timer), 10)
	case logic.Probe:
		r.openOrder("Ping", d)
		r.integer("Host", int64(o.Host))
	case logic.SendToPeer:
		r.openOrder("BroadcastTo", d)
		r.integer("Target", int64(o.To))
		// The message is truncated to at most 256 bytes of valid UTF-8.
		for len(o.Payload) > 256 || !utf8.ValidString(o.Payload) {
			o.Payload = o.Payload[:len(o.Payload)-1]
		}
		r.text("Raw", o.Payload)
	case logic.WatchHosts:
		r.openOrder("StreamChanges", d)
		r.boolean("Flag", o.On)
	case logic.RequestHosts:
		r.openOrder("Pull", d)
	case logic.LogText:
		r.openOrder("SayLog", d)
		r.text("Words", o.Text)
	default:
		panic("unknown order type")
	}
	r.buf = append(r.buf, '}')
}
