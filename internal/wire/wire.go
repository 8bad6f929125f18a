// Package wire translates between the JSON lines of the simulator and the events and orders of package logic. It
// contains no decision logic.
package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"vetchwood/logic"
)

// Event is an event for one instance.
type Event struct {
	Director logic.DirectorID
	Start    *Start
	Killed   bool
	Payload  any // the event for package logic; nil if Start or Killed is set
}

// Start starts an instance.
type Start struct {
	Seed   uint64
	Config logic.Config
}

// Batch is one line of input: the events at one time.
type Batch struct {
	Clock  logic.Millis
	Events []Event
}

// Decoder decodes batches. It keeps the host lists that a batch has defined by number for later batches.
type Decoder struct{ lists map[int64][]logic.HostEntry }

// object reads typed fields of a JSON object and keeps the first error.
type object struct {
	raw map[string]json.RawMessage
	err error
}

// fail records an error unless an earlier field has failed.
func (o *object) fail(field, why string) {
	if o.err == nil {
		o.err = fmt.Errorf("field %s: %s", field, why)
	}
}

// get returns the raw value of a field and whether it is present. Null counts as absent.
func (o *object) get(field string, need bool) (json.RawMessage, bool) {
	v, ok := o.raw[field]
	if !ok || bytes.Equal(v, []byte("null")) {
		if need {
			o.fail(field, "missing")
		}
		return nil, false
	}
	return v, true
}

// integer returns a whole number.
func (o *object) integer(field string, need bool) int64 {
	v, ok := o.get(field, need)
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(string(v), 10, 64)
	if err != nil {
		// A number such as 14.0 is a whole number, too.
		f, err := strconv.ParseFloat(string(v), 64)
		if err != nil || f != math.Trunc(f) || math.Abs(f) > 1<<53 {
			o.fail(field, "not a whole number")
			return 0
		}
		return int64(f)
	}
	return n
}

// boundedInteger returns a whole number that must be in the range [0, limit].
func (o *object) boundedInteger(field string, need bool, limit int64) int64 {
	n := o.integer(field, need)
	if n < 0 || n > limit {
		o.fail(field, "out of range")
		return 0
	}
	return n
}

// unsigned returns a required whole number of up to 64 bits that must not be negative.
func (o *object) unsigned(field string) uint64 {
	v, ok := o.get(field, true)
	if !ok {
		return 0
	}
	n, err := strconv.ParseUint(string(v), 10, 64)
	if err != nil {
		o.fail(field, "not a non-negative whole number")
	}
	return n
}

// number returns a finite number.
func (o *object) number(field string, need bool) float64 {
	v, ok := o.get(field, need)
	if !ok {
		return 0
	}
	f, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		o.fail(field, "not a number")
	}
	return f
}

// boolean returns a boolean; an absent field is false.
func (o *object) boolean(field string) bool {
	var b bool
	if v, ok := o.get(field, false); ok && json.Unmarshal(v, &b) != nil {
		o.fail(field, "not a boolean")
	}
	return b
}

// text returns a string.
func (o *object) text(field string, need bool) string {
	var s string
	if v, ok := o.get(field, need); ok && json.Unmarshal(v, &s) != nil {
		o.fail(field, "not a string")
	}
	return s
}

// LoadField returns the field of a load report for the column with the name, or nil if the decision module does not
// use the column.
func LoadField(l *logic.Load, name string) **float64 {
	switch name {
	case "utilization":
		return &l.Utilization
	case "throughput":
		return &l.Throughput
	case "backlog":
		return &l.Backlog
	case "outstanding":
		return &l.Outstanding
	case "recent_ms":
		return &l.RecentLatency
	case "errors_per_s":
		return &l.ErrorRate
	}
	return nil
}

// load returns a load report. Columns that the decision module does not use are ignored.
func (o *object) load(field string) logic.Load {
	var l logic.Load
	v, ok := o.get(field, false)
	if !ok {
		return l
	}
	var values map[string]json.RawMessage
	if json.Unmarshal(v, &values) != nil {
		o.fail(field, "not an object")
		return l
	}
	columns := object{raw: values}
	for name := range values {
		target := LoadField(&l, name)
		if _, ok := columns.get(name, false); ok && target != nil {
			n := columns.number(name, false)
			*target = &n
		}
	}
	if columns.err != nil {
		o.fail(field, columns.err.Error())
	}
	return l
}

// enum returns the value for the name in a required field; the name must be one of the keys.
func enum[T any](o *object, field string, values map[string]T) T {
	name := o.text(field, true)
	v, ok := values[name]
	if !ok {
		o.fail(field, fmt.Sprintf("unknown value %q", name))
	}
	return v
}

const (
	maxHostID  = 1<<32 - 1
	maxSmallID = 65535
)

// Decode decodes one line of input.
func (d *Decoder) Decode(text []byte) (Batch, error) {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(text, &raw); err != nil {
		return Batch{}, fmt.Errorf("not a JSON object: %v", err)
	}
	top := object{raw: raw}
	b := Batch{Clock: logic.Millis(top.number("ClockMs", true))}
	var events []map[string]json.RawMessage
	if v, ok := top.get("news", true); ok {
		if err := json.Unmarshal(v, &events); err != nil {
			top.fail("news", "not an array of objects")
		}
	}
	if top.err != nil {
		return Batch{}, top.err
	}
	if d.lists == nil {
		d.lists = map[int64][]logic.HostEntry{}
	}
	for i, fields := range events {
		o := object{raw: fields}
		verb := o.text("verb", true)
		if o.err == nil && verb == "DefineList" {
			d.defineList(&o)
		} else if o.err == nil {
			if e, known := d.decodeEvent(&o, verb); known && o.err == nil {
				b.Events = append(b.Events, e)
			}
		}
		if o.err != nil {
			return Batch{}, fmt.Errorf("event %d (%s): %w", i, verb, o.err)
		}
	}
	return b, nil
}

// defineList stores a host list under its number.
func (d *Decoder) defineList(o *object) {
	id := o.boundedInteger("RosterId", true, 15)
	var items []map[string]json.RawMessage
	if v, ok := o.get("Items", false); ok && json.Unmarshal(v, &items) != nil {
		o.fail("Items", "not an array of objects")
	}
	entries := make([]logic.HostEntry, 0, len(items))
	for i, fields := range items {
		item := object{raw: fields}
		entries = append(entries, logic.HostEntry{
			Host: logic.HostID(item.boundedInteger("Host", true, maxHostID)),
			State: enum(&item, "Availability", map[string]logic.HostState{
				"up": logic.Up, "draining": logic.Draining, "removed": logic.Gone}),
			Cell: logic.CellID(item.integer("Block", false)), Zone: logic.ZoneID(item.integer("Az", false)),
			Hardware: logic.HardwareID(item.integer("GenerationHw", false)), Weight: item.number("W", false),
			StartedAt: logic.Millis(item.number("BornMs", false))})
		if item.err != nil {
			o.fail(fmt.Sprintf("Items[%d]", i), item.err.Error())
		}
	}
	d.lists[id] = entries
}

// decodeEvent decodes an event. It returns false for an unknown verb.
func (d *Decoder) decodeEvent(o *object, verb string) (Event, bool) {
	e := Event{Director: logic.DirectorID(o.boundedInteger("Director", true, 1<<31))}
	host := func() logic.HostID { return logic.HostID(o.boundedInteger("Host", true, maxHostID)) }
	proxy := func() logic.ProxyID { return logic.ProxyID(o.boundedInteger("Sidecar", true, maxSmallID)) }
	table := func() logic.TableID { return logic.TableID(o.boundedInteger("RouteTable", true, maxSmallID)) }
	zone := func() logic.ZoneID { return logic.ZoneID(o.integer("Az", false)) }
	count := func(field string) int { return int(o.boundedInteger(field, false, 1<<53)) }
	duration := func(field string) logic.Millis { return logic.Millis(o.number(field, false)) }
	switch verb {
	case "Begin":
		e.Start = &Start{Seed: o.unsigned("Nonce64")}
		e.Start.Config, _ = decodeConfig(o)
	case "Killed":
		e.Killed = true
	case "Sync":
		r := logic.HostList{Kind: enum(o, "Kind", map[string]logic.HostListKind{"diff": logic.HostListDelta,
			"snapshot": logic.HostListFull, "disk": logic.HostListFromDisk, "error": logic.HostListFailed})}
		if r.Kind != logic.HostListFailed {
			entries, known := d.lists[o.integer("RosterId", true)]
			if !known {
				o.fail("RosterId", "list is not defined")
			}
			r.Entries = entries
		}
		e.Payload = r
	case "TickDue":
		e.Payload = logic.TimerFired{Timer: logic.TimerID(o.unsigned("Nonce"))}
	case "Checked":
		outcome := enum(o, "How", map[string]string{"delivered": "delivered", "app_error": "", "shed": "",
			"expired": "", "dial_failed": "", "dropped": "", "revoked": "", "unused": ""})
		e.Payload = logic.ProbeResult{Host: host(), Latency: duration("SpentMs"), Healthy: outcome != "", Load: o.load("HealthInfo")}
	case "Heard":
		e.Payload = logic.PeerMessage{From: logic.DirectorID(o.integer("Neighbour", true)), Payload: o.text("Raw", false)}
	case "Joined":
		e.Payload = logic.ProxyJoined{Proxy: proxy(), Fresh: o.boolean("Flag"), Rate: o.number("W", false), Zone: zone()}
	case "DroppedOff":
		e.Payload = logic.ProxyLeft{Proxy: proxy()}
	case "TrafficReport":
		e.Payload = logic.HostSample{Host: host(), Zone: zone(), Period: duration("PeriodLenMs"), MeanLatency: duration("SpentMs"),
			Finished: count("Many"), Failed: count("Lost"), Load: o.load("HealthInfo")}
	case "Demand":
		e.Payload = logic.RouteDemand{Proxy: proxy(), Route: logic.RouteID(o.boundedInteger("Lane", true, 63)),
			Period: duration("PeriodLenMs"), Calls: count("Many"), Unanswered: count("Lost")}
	case "Heat":
		e.Payload = logic.SliceDemand{Slice: table(), Route: logic.RouteID(o.boundedInteger("Lane", true, 63)),
			Period: duration("PeriodLenMs"), Calls: count("Many"), Unanswered: count("Lost")}
	case "Custody":
		e.Payload = logic.SliceOwnership{Slice: table(), Owned: o.boolean("Flag")}
	case "OnRecord":
		e.Payload = logic.StoredLine{Slice: table(), Host: host(), Weight: o.number("W", true)}
	case "TookEffect":
		e.Payload = logic.Acknowledged{Proxy: proxy(), Serial: logic.SerialID(o.boundedInteger("Serial", true, maxSmallID)),
			Latency: duration("SpentMs")}
	default:
		return e, false // events of later protocol versions are skipped, like unknown keys
	}
	return e, true
}
