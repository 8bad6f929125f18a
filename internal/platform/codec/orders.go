package codec

import (
	"encoding/json"
	"fmt"
	"strconv"

	"vetchwood/internal/platform/outbox"
	"vetchwood/logic"
)

// EncodeOrder encodes an order as a relay operation. forRelay is false for orders that are not sent to the relay.
// An order for a host whose name is not known is an error.
func (s *Schema) EncodeOrder(o logic.Order, h *Hosts) (op outbox.Op, forRelay bool, err error) {
	var text []byte
	verb := func(name string) { text = append(text, `{"verb":"`+name+`"`...) }
	host := func(id logic.HostID) {
		name := h.NameOf(id)
		if name == "" {
			err = fmt.Errorf("order for host %d: no name is known for this ID", id)
		}
		quoted, _ := json.Marshal(name)
		text = append(append(text, `,"endpoint":`...), quoted...)
	}
	table := func(t logic.TableID) {
		if t != logic.AllTables { // without a cluster, the operation applies to all tables
			text = strconv.AppendInt(append(text, `,"cluster":`...), int64(t), 10)
		}
	}
	number := func(field string, v float64) {
		text = append(text, `,"`+field+`":`...)
		text = strconv.AppendFloat(text, v, 'f', -1, 64)
	}
	op.Table = outbox.NoTable
	switch o := o.(type) {
	case logic.SetLine:
		verb("share")
		table(o.Table)
		host(o.Host)
		number("w", o.Weight)
		op.Table, op.Host, op.Weight, op.Kind = o.Table, o.Host, o.Weight, outbox.Line
	case logic.DropLines:
		verb("clear")
		table(o.Table)
		op.Table, op.Kind = o.Table, outbox.Clear
	case logic.Mask:
		if verb("restore"); o.On {
			text = text[:0]
			verb("withdraw")
		}
		host(o.Host)
		op.Host, op.Kind = o.Host, outbox.Mask
	case logic.Throttle:
		verb("admit")
		table(o.Table)
		var routes []string
		for i, name := range s.Routes {
			if o.Routes&(1<<i) != 0 {
				routes = append(routes, name)
			}
		}
		if o.Routes != 0 && len(routes) < len(s.Routes) {
			quoted, _ := json.Marshal(routes)
			text = append(append(text, `,"classes":`...), quoted...)
		}
		number("level", o.Level)
		number("retry", float64(o.RetryMode))
		if op.Kind, op.Routes = outbox.Level, o.Routes; o.Table != logic.AllTables {
			op.Table = o.Table
		}
	case logic.Stamp:
		verb("mark")
		number("ticket", float64(o.Serial))
		number("set", 0)
		if op.Kind, op.Serial = outbox.AckRequest, o.Serial; o.All {
			text[len(text)-1] = '1'
		}
	default:
		return op, false, nil
	}
	op.Text = string(append(text, '}'))
	return op, true, err
}
