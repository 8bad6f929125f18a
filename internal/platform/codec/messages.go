package codec

import (
	"encoding/json"
	"strconv"
	"strings"

	"vetchwood/internal/wire"
	"vetchwood/logic"
)

// Limits of the values in reports, which hold for every deployment.
const (
	maxCount       = 1 << 31
	maxIntervalMs  = 3_600_000.0 // 1 hour
	maxSerial      = 65535
	maxUtilization = 16.0 // a fraction; the margin allows for noise
)

// Message is a decoded message that was sent to the director's listening address.
type Message struct {
	Kind  string
	Zone  logic.ZoneID // of a collector that joins
	Event any          // of a report: logic.HostSample or logic.SliceDemand
	Host  string       // the host that a logic.HostSample is about
}

type message struct {
	T        string
	Locality *string
	Endpoint *string
	Total    *float64
	Errors   *float64
	RTT      *float64
	Interval *float64
	Metrics  json.RawMessage
	Shard    *float64
	Route    *string
}

// DecodeMessage decodes a line that was sent to the director's listening address.
func (s *Schema) DecodeMessage(line []byte) (Message, error) {
	var m message
	if err := decodeObject(line, &m); err != nil {
		return Message{}, err
	}
	out, f := Message{Kind: m.T}, fieldReader{kind: m.T}
	switch m.T {
	case KindPing:
	case "collector":
		out.Zone = f.zoneID(s, m.Locality)
	case "heard":
		out.Host = f.text("endpoint", m.Endpoint)
		report := logic.HostSample{Host: IDOf(out.Host), Zone: f.zoneID(s, m.Locality), Finished: f.integer("total", m.Total, maxCount),
			Failed: f.integer("errors", m.Errors, maxCount), Period: logic.Millis(f.number("interval", m.Interval, maxIntervalMs))}
		if report.Failed > report.Finished {
			f.fail("errors", "more than total")
		}
		if m.RTT != nil || report.Finished > report.Failed { // without a successful call there is no round-trip time
			// The limit leaves room for noise in the mean, and for calls that begin in time and end after their time limit.
			report.MeanLatency = logic.Millis(f.number("rtt", m.RTT, 10*max(s.longestCallMs, 1000)))
		}
		if report.Period == 0 {
			f.fail("interval", "out of range")
		}
		if len(m.Metrics) > 0 && string(m.Metrics) != "null" {
			report.Load = f.loadReport(s, m.Metrics)
		}
		out.Event = report
	case "heat":
		route, known := s.routeID(f.text("route", m.Route))
		if f.err == nil && !known {
			f.fail("route", "unknown value")
		}
		// Errors may exceed the total: a call is counted when it arrives, and its failure when it ends.
		demand := logic.SliceDemand{Slice: logic.TableID(f.integer("shard", m.Shard, s.Slices-1)), Route: route,
			Calls: f.integer("total", m.Total, maxCount), Unanswered: f.integer("errors", m.Errors, maxCount),
			Period: logic.Millis(f.number("interval", m.Interval, maxIntervalMs))}
		if demand.Period == 0 {
			f.fail("interval", "out of range")
		}
		out.Event = demand
	default:
		f.kind = "message"
		f.fail("t", "unknown value")
	}
	return out, f.err
}

// loadReport decodes the load columns in the metrics field of a report.
func (f *fieldReader) loadReport(s *Schema, text json.RawMessage) (l logic.Load) {
	var values map[string]*float64
	if json.Unmarshal(text, &values) != nil {
		f.fail("metrics", "not an object of numbers")
		return l
	}
	for name, v := range values {
		f.loadColumn(s, &l, name, v)
	}
	return l
}

// loadColumn sets one column of a load report.
func (f *fieldReader) loadColumn(s *Schema, l *logic.Load, name string, v *float64) {
	target, limit := wire.LoadField(l, s.columnByName[name]), float64(maxCount)
	if target == nil {
		f.fail("metrics."+name, "unknown value")
		return
	}
	if target == &l.Utilization {
		limit = maxUtilization
	}
	x := f.number("metrics."+name, v, limit)
	*target = &x
}

// DecodeLoad decodes the body of a load report, a comma-separated list of name=value pairs.
func (s *Schema) DecodeLoad(body string) (logic.Load, error) {
	var l logic.Load
	f := fieldReader{kind: "load"}
	for _, part := range strings.Split(strings.TrimSpace(body), ",") {
		name, value, _ := strings.Cut(part, "=")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil {
			f.fail("metrics."+name, "not a number")
			break
		}
		f.loadColumn(s, &l, strings.TrimSpace(name), &v)
	}
	if f.err != nil {
		return logic.Load{}, f.err
	}
	return l, nil
}

// Notification is a notification from the relay.
type Notification struct {
	Kind  string // joined, left, applied, given, held, ping
	Event any    // nil for a ping
	Host  string // the host that a logic.StoredLine is about
}

// Frame is a decoded line from the relay: a notification, or the answer to a call.
type Frame struct {
	Notification *Notification
	// The other fields are set for the answer to a call.
	ID         uint64
	Subscribed bool   // a subscription was accepted
	Accepted   int    // how many orders of a commit were accepted; -1 if not stated
	Error      string // the error with which the call was refused
}

// KindPing is the kind of the notification that the relay sends every second while it is reachable. Requests for a
// pong, which any client may send to the director, have the same kind.
const KindPing = "ping"

type frame struct {
	ID     *uint64
	Method *string
	Params *params
	Result json.RawMessage
	Error  json.RawMessage
}

type params struct {
	Node     *float64
	Locality *string
	W        *float64
	Cold     *bool
	Nonce    *float64
	Latency  *float64
	Shard    *float64
	Set      *bool
	Endpoint *string
}

// DecodeFrame decodes a line from the relay.
func (s *Schema) DecodeFrame(line []byte) (Frame, error) {
	var in frame
	if err := decodeObject(line, &in); err != nil {
		return Frame{}, err
	}
	if in.Method != nil {
		notification, err := s.decodeNotification(*in.Method, in.Params)
		return Frame{Notification: notification}, err
	}
	out := Frame{Accepted: -1}
	f := fieldReader{kind: "answer"}
	if in.ID == nil {
		f.fail("id", "missing")
		return out, f.err
	}
	out.ID = *in.ID
	if len(in.Error) > 0 && string(in.Error) != "null" {
		var text string
		var object struct{ Message, Code json.RawMessage }
		switch {
		case json.Unmarshal(in.Error, &text) == nil:
			out.Error = text
		case json.Unmarshal(in.Error, &object) == nil && json.Unmarshal(object.Message, &out.Error) == nil:
		case json.Unmarshal(object.Code, &out.Error) == nil:
		}
		switch out.Error {
		case "throttled", "conflict", "internal", "invalid":
		default:
			f.fail("error", "unknown value")
		}
		return out, f.err
	}
	if json.Unmarshal(in.Result, &out.Subscribed) == nil && out.Subscribed {
		return out, nil
	}
	var commit struct {
		OK *float64 `json:"ok_count"`
	}
	if err := json.Unmarshal(in.Result, &commit); err != nil {
		f.fail("result", "neither true nor an object with ok_count")
		return out, f.err
	}
	out.Accepted = f.integer("result.ok_count", commit.OK, maxCount)
	return out, f.err
}

// decodeNotification decodes a notification from its method and its parameters.
func (s *Schema) decodeNotification(kind string, p *params) (*Notification, error) {
	out, f := &Notification{Kind: kind}, fieldReader{kind: kind}
	if p == nil {
		if kind == KindPing {
			return out, nil
		}
		p = &params{}
	}
	node := func() logic.ProxyID { return logic.ProxyID(f.integer("node", p.Node, s.Proxies-1)) }
	shard := func() logic.TableID { return logic.TableID(f.integer("shard", p.Shard, s.Slices-1)) }
	switch kind {
	case KindPing:
	case "joined":
		out.Event = logic.ProxyJoined{Proxy: node(), Zone: f.zoneID(s, p.Locality), Rate: f.number("w", p.W, maxCount),
			Fresh: p.Cold != nil && *p.Cold}
	case "left":
		out.Event = logic.ProxyLeft{Proxy: node()}
	case "applied":
		out.Event = logic.Acknowledged{Proxy: node(), Serial: logic.SerialID(f.integer("nonce", p.Nonce, maxSerial)),
			Latency: logic.Millis(f.number("latency", p.Latency, maxIntervalMs))}
	case "given":
		if p.Set == nil {
			f.fail("set", "missing")
			break
		}
		out.Event = logic.SliceOwnership{Slice: shard(), Owned: *p.Set}
	case "held":
		out.Host = f.text("endpoint", p.Endpoint)
		out.Event = logic.StoredLine{Slice: shard(), Host: IDOf(out.Host), Weight: f.number("w", p.W, maxCount)}
	default:
		f.fail("method", "unknown value")
	}
	return out, f.err
}

// Endpoint is the entry of a host in the host list of the discovery service.
type Endpoint struct {
	Name    string
	Address string
	Zone    string
	Type    string
	Group   int64
	Status  string
	Weight  float64
	Since   float64 `json:"since_ms"`
}

// List is a response of the discovery service: all hosts, or those that changed.
type List struct {
	Index     int64
	Snapshot  bool
	Endpoints []Endpoint
}

// DecodeList decodes a response of the discovery service. The index is required.
func DecodeList(body []byte) (List, error) {
	var l struct {
		Index     *int64
		Snapshot  bool
		Endpoints []Endpoint
	}
	if err := decodeObject(body, &l); err != nil {
		return List{}, err
	}
	if l.Index == nil {
		return List{}, &FieldError{"list", "index", "missing"}
	}
	return List{*l.Index, l.Snapshot, l.Endpoints}, nil
}
