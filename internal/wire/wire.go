// Package wire translates between the simulator's JSON lines and the notes and orders of package logic.
// It decides nothing.
package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"vetchwood/logic"
)

// Event is one thing that happened, for one instance.
type Event struct {
	Director logic.DirectorID
	Begin    *Begin
	Killed   bool
	Note     any // nil for Begin and Killed
}

// Begin starts an instance.
type Begin struct {
	Seed  uint64
	Facts logic.Config
}

// Batch is one line of input.
type Batch struct {
	Clock  logic.Millis
	Events []Event
}

// Decoder keeps the numbered lists from one batch to the next.
type Decoder struct{ lists map[int64][]logic.HostEntry }

// object reads typed fields and remembers the first that could not be read.
type object struct {
	raw map[string]json.RawMessage
	err error
}

func (o *object) fail(field, why string) {
	if o.err == nil {
		o.err = fmt.Errorf("field %s: %s", field, why)
	}
}

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

func (o *object) whole(field string, need bool) int64 {
	v, ok := o.get(field, need)
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(string(v), 10, 64)
	if err != nil {
		// 14.0 is a whole number too.
		f, err := strconv.ParseFloat(string(v), 64)
		if err != nil || f != math.Trunc(f) || math.Abs(f) > 1<<53 {
			o.fail(field, "not a whole number")
			return 0
		}
		return int64(f)
	}
	return n
}

func (o *object) ranged(field string, need bool, most int64) int64 {
	n := o.whole(field, need)
	if n < 0 || n > most {
		o.fail(field, "out of range")
		return 0
	}
	return n
}

func (o *object) natural(field string) uint64 {
	v, ok := o.get(field, true)
	if !ok {
		return 0
	}
	n, err := strconv.ParseUint(string(v), 10, 64)
	if err != nil {
		o.fail(field, "not a whole number of 0 or more")
	}
	return n
}

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

func (o *object) truth(field string) bool {
	var b bool
	if v, ok := o.get(field, false); ok && json.Unmarshal(v, &b) != nil {
		o.fail(field, "neither true nor false")
	}
	return b
}

func (o *object) text(field string, need bool) string {
	var s string
	if v, ok := o.get(field, need); ok && json.Unmarshal(v, &s) != nil {
		o.fail(field, "not a text")
	}
	return s
}

// Column is where a load report's value of that name goes; nil: it is none that decisions use.
func Column(l *logic.Load, name string) **float64 {
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
	in := object{raw: values}
	for name := range values {
		to := Column(&l, name)
		if _, ok := in.get(name, false); ok && to != nil {
			n := in.number(name, false)
			*to = &n
		}
	}
	if in.err != nil {
		o.fail(field, in.err.Error())
	}
	return l
}

func choice[T any](o *object, field string, among map[string]T) T {
	name := o.text(field, true)
	v, ok := among[name]
	if !ok {
		o.fail(field, fmt.Sprintf("unknown value %q", name))
	}
	return v
}

const (
	mostHost  = 1<<32 - 1
	mostSmall = 65535
)

// Decode reads one line.
func (d *Decoder) Decode(text []byte) (Batch, error) {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(text, &raw); err != nil {
		return Batch{}, fmt.Errorf("not a JSON object: %v", err)
	}
	top := object{raw: raw}
	b := Batch{Clock: logic.Millis(top.number("ClockMs", true))}
	var news []map[string]json.RawMessage
	if v, ok := top.get("news", true); ok {
		if err := json.Unmarshal(v, &news); err != nil {
			top.fail("news", "not an array of objects")
		}
	}
	if top.err != nil {
		return Batch{}, top.err
	}
	if d.lists == nil {
		d.lists = map[int64][]logic.HostEntry{}
	}
	for i, fields := range news {
		o := object{raw: fields}
		verb := o.text("verb", true)
		if o.err == nil && verb == "DefineList" {
			d.define(&o)
		} else if o.err == nil {
			if e, known := d.event(&o, verb); known && o.err == nil {
				b.Events = append(b.Events, e)
			}
		}
		if o.err != nil {
			return Batch{}, fmt.Errorf("event %d (%s): %w", i, verb, o.err)
		}
	}
	return b, nil
}

func (d *Decoder) define(o *object) {
	id := o.ranged("RosterId", true, 15)
	var items []map[string]json.RawMessage
	if v, ok := o.get("Items", false); ok && json.Unmarshal(v, &items) != nil {
		o.fail("Items", "not an array of objects")
	}
	entries := make([]logic.HostEntry, 0, len(items))
	for i, fields := range items {
		in := object{raw: fields}
		entries = append(entries, logic.HostEntry{
			Host: logic.HostID(in.ranged("Host", true, mostHost)),
			State: choice(&in, "Availability", map[string]logic.HostState{
				"up": logic.Up, "draining": logic.Draining, "removed": logic.Gone}),
			Cell: logic.CellID(in.whole("Block", false)), Zone: logic.ZoneID(in.whole("Az", false)),
			Hardware: logic.HardwareID(in.whole("GenerationHw", false)), Weight: in.number("W", false),
			StartedAt: logic.Millis(in.number("BornMs", false))})
		if in.err != nil {
			o.fail(fmt.Sprintf("Items[%d]", i), in.err.Error())
		}
	}
	d.lists[id] = entries
}

func (d *Decoder) event(o *object, verb string) (Event, bool) {
	e := Event{Director: logic.DirectorID(o.ranged("Director", true, 1<<31))}
	host := func() logic.HostID { return logic.HostID(o.ranged("Host", true, mostHost)) }
	proxy := func() logic.ProxyID { return logic.ProxyID(o.ranged("Sidecar", true, mostSmall)) }
	table := func() logic.TableID { return logic.TableID(o.ranged("RouteTable", true, mostSmall)) }
	zone := func() logic.ZoneID { return logic.ZoneID(o.whole("Az", false)) }
	count := func(field string) int { return int(o.ranged(field, false, 1<<53)) }
	span := func(field string) logic.Millis { return logic.Millis(o.number(field, false)) }
	switch verb {
	case "Begin":
		e.Begin = &Begin{Seed: o.natural("Nonce64")}
		e.Begin.Facts, _ = facts(o)
	case "Killed":
		e.Killed = true
	case "Sync":
		r := logic.HostList{Kind: choice(o, "Kind", map[string]logic.HostListKind{"diff": logic.HostListDelta,
			"snapshot": logic.HostListFull, "disk": logic.HostListFromDisk, "error": logic.HostListFailed})}
		if r.Kind != logic.HostListFailed {
			entries, known := d.lists[o.whole("RosterId", true)]
			if !known {
				o.fail("RosterId", "no such list was defined")
			}
			r.Entries = entries
		}
		e.Note = r
	case "TickDue":
		e.Note = logic.TimerFired{Timer: logic.TimerID(o.natural("Nonce"))}
	case "Checked":
		how := choice(o, "How", map[string]string{"delivered": "delivered", "app_error": "", "shed": "",
			"expired": "", "dial_failed": "", "dropped": "", "revoked": "", "unused": ""})
		e.Note = logic.ProbeResult{Host: host(), Latency: span("SpentMs"), Healthy: how != "", Load: o.load("HealthInfo")}
	case "Heard":
		e.Note = logic.PeerMessage{From: logic.DirectorID(o.whole("Neighbour", true)), Payload: o.text("Raw", false)}
	case "Joined":
		e.Note = logic.ProxyJoined{Proxy: proxy(), Fresh: o.truth("Flag"), Rate: o.number("W", false), Zone: zone()}
	case "DroppedOff":
		e.Note = logic.ProxyLeft{Proxy: proxy()}
	case "TrafficReport":
		e.Note = logic.HostSample{Host: host(), Zone: zone(), Period: span("PeriodLenMs"), MeanLatency: span("SpentMs"),
			Finished: count("Many"), Failed: count("Lost"), Load: o.load("HealthInfo")}
	case "Demand":
		e.Note = logic.RouteDemand{Proxy: proxy(), Route: logic.RouteID(o.ranged("Lane", true, 63)),
			Period: span("PeriodLenMs"), Calls: count("Many"), Unanswered: count("Lost")}
	case "Heat":
		e.Note = logic.SliceDemand{Slice: table(), Route: logic.RouteID(o.ranged("Lane", true, 63)),
			Period: span("PeriodLenMs"), Calls: count("Many"), Unanswered: count("Lost")}
	case "Custody":
		e.Note = logic.SliceOwnership{Slice: table(), Owned: o.truth("Flag")}
	case "OnRecord":
		e.Note = logic.StoredLine{Slice: table(), Host: host(), Weight: o.number("W", true)}
	case "TookEffect":
		e.Note = logic.Acknowledged{Proxy: proxy(), Serial: logic.SerialID(o.ranged("Serial", true, mostSmall)),
			Latency: span("SpentMs")}
	default:
		return e, false // a later wire's event; like an unknown key, it is skipped
	}
	return e, true
}
