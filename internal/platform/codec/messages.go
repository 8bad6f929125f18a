package codec

import (
	"encoding/json"
	"strconv"
	"strings"

	"vetchwood/internal/wire"
	"vetchwood/logic"
)

// What figures of a report can't pass, whatever the deployment.
const (
	mostCount  = 1 << 31
	mostSpan   = 3_600_000.0 // an hour
	mostSerial = 65535
	mostBusy   = 16.0 // a share, with noise
)

// Message is one that came to the director's own address.
type Message struct {
	Kind string
	Zone logic.ZoneID // of a collector
	Note any          // of a report: Met or Heat
	Host string       // that a Met names
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

// Read reads a line that came to the director's own address.
func (n *Names) Read(line []byte) (Message, error) {
	var m message
	if err := object(line, &m); err != nil {
		return Message{}, err
	}
	out, f := Message{Kind: m.T}, fields{kind: m.T}
	switch m.T {
	case SignOfLife:
	case "collector":
		out.Zone = f.zone(n, m.Locality)
	case "heard":
		out.Host = f.text("endpoint", m.Endpoint)
		met := logic.HostSample{Host: ID(out.Host), Zone: f.zone(n, m.Locality), Finished: f.whole("total", m.Total, mostCount),
			Failed: f.whole("errors", m.Errors, mostCount), Period: logic.Millis(f.number("interval", m.Interval, mostSpan))}
		if met.Failed > met.Finished {
			f.wrong("errors", "more than total")
		}
		if m.RTT != nil || met.Finished > met.Failed { // of no answer there is no time
			// Means come with noise, and a call that was begun in time may end after its time limit.
			met.MeanLatency = logic.Millis(f.number("rtt", m.RTT, 10*max(n.longest, 1000)))
		}
		if met.Period == 0 {
			f.wrong("interval", "out of range")
		}
		if len(m.Metrics) > 0 && string(m.Metrics) != "null" {
			met.Load = f.load(n, m.Metrics)
		}
		out.Note = met
	case "heat":
		route, known := n.route(f.text("route", m.Route))
		if f.err == nil && !known {
			f.wrong("route", "unknown value")
		}
		// More may be lost than came: calls count when they come, and are lost when they end.
		heat := logic.SliceDemand{Slice: logic.TableID(f.whole("shard", m.Shard, n.Slices-1)), Route: route,
			Calls: f.whole("total", m.Total, mostCount), Unanswered: f.whole("errors", m.Errors, mostCount),
			Period: logic.Millis(f.number("interval", m.Interval, mostSpan))}
		if heat.Period == 0 {
			f.wrong("interval", "out of range")
		}
		out.Note = heat
	default:
		f.kind = "message"
		f.wrong("t", "unknown value")
	}
	return out, f.err
}

func (f *fields) load(n *Names, text json.RawMessage) (l logic.Load) {
	var values map[string]*float64
	if json.Unmarshal(text, &values) != nil {
		f.wrong("metrics", "not an object of numbers")
		return l
	}
	for name, v := range values {
		f.column(n, &l, name, v)
	}
	return l
}

func (f *fields) column(n *Names, l *logic.Load, name string, v *float64) {
	to, most := wire.Column(l, n.columns[name]), float64(mostCount)
	if to == nil {
		f.wrong("metrics."+name, "unknown value")
		return
	}
	if to == &l.Utilization {
		most = mostBusy
	}
	x := f.number("metrics."+name, v, most)
	*to = &x
}

// Load reads the body of a load report, a list of name=value.
func (n *Names) Load(body string) (logic.Load, error) {
	var l logic.Load
	f := fields{kind: "load"}
	for _, part := range strings.Split(strings.TrimSpace(body), ",") {
		name, value, _ := strings.Cut(part, "=")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil {
			f.wrong("metrics."+name, "not a number")
			break
		}
		f.column(n, &l, strings.TrimSpace(name), &v)
	}
	if f.err != nil {
		return logic.Load{}, f.err
	}
	return l, nil
}

// News is a notification of the relay. Host is the name that a line of the store bears.
type News struct {
	Kind string // joined, left, applied, given, held, ping
	Note any
	Host string
}

// Frame is a line from the relay: news, or the answer to a call.
type Frame struct {
	News *News
	// Of an answer:
	ID    uint64
	OK    bool   // a subscription was taken
	Count int    // of a commit: how many orders were taken; -1: not stated
	Error string // that it was refused with
}

// SignOfLife is the kind of the news that the relay sends each second while it can be reached, and of the requests for
// an answer that anybody may make.
const SignOfLife = "ping"

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

// Frame reads a line from the relay.
func (n *Names) Frame(line []byte) (Frame, error) {
	var in frame
	if err := object(line, &in); err != nil {
		return Frame{}, err
	}
	if in.Method != nil {
		news, err := n.news(*in.Method, in.Params)
		return Frame{News: news}, err
	}
	out := Frame{Count: -1}
	f := fields{kind: "answer"}
	if in.ID == nil {
		f.wrong("id", "missing")
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
			f.wrong("error", "unknown value")
		}
		return out, f.err
	}
	if json.Unmarshal(in.Result, &out.OK) == nil && out.OK {
		return out, nil
	}
	var taken struct {
		OK *float64 `json:"ok_count"`
	}
	if err := json.Unmarshal(in.Result, &taken); err != nil {
		f.wrong("result", "neither true nor a count")
		return out, f.err
	}
	out.Count = f.whole("result.ok_count", taken.OK, mostCount)
	return out, f.err
}

func (n *Names) news(kind string, p *params) (*News, error) {
	out, f := &News{Kind: kind}, fields{kind: kind}
	if p == nil {
		if kind == SignOfLife {
			return out, nil
		}
		p = &params{}
	}
	node := func() logic.ProxyID { return logic.ProxyID(f.whole("node", p.Node, n.Proxies-1)) }
	shard := func() logic.TableID { return logic.TableID(f.whole("shard", p.Shard, n.Slices-1)) }
	switch kind {
	case SignOfLife:
	case "joined":
		out.Note = logic.ProxyJoined{Proxy: node(), Zone: f.zone(n, p.Locality), Rate: f.number("w", p.W, mostCount),
			Fresh: p.Cold != nil && *p.Cold}
	case "left":
		out.Note = logic.ProxyLeft{Proxy: node()}
	case "applied":
		out.Note = logic.Acknowledged{Proxy: node(), Serial: logic.SerialID(f.whole("nonce", p.Nonce, mostSerial)),
			Latency: logic.Millis(f.number("latency", p.Latency, mostSpan))}
	case "given":
		if p.Set == nil {
			f.wrong("set", "missing")
			break
		}
		out.Note = logic.SliceOwnership{Slice: shard(), Owned: *p.Set}
	case "held":
		out.Host = f.text("endpoint", p.Endpoint)
		out.Note = logic.StoredLine{Slice: shard(), Host: ID(out.Host), Weight: f.number("w", p.W, mostCount)}
	default:
		f.wrong("method", "unknown value")
	}
	return out, f.err
}

// Endpoint is a host as discovery tells of it.
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

// List is an answer of discovery.
type List struct {
	Index     int64
	Snapshot  bool
	Endpoints []Endpoint
}

// ReadList reads one.
func ReadList(body []byte) (List, error) {
	var l struct {
		Index     *int64
		Snapshot  bool
		Endpoints []Endpoint
	}
	if err := object(body, &l); err != nil {
		return List{}, err
	}
	if l.Index == nil {
		return List{}, &Spoilt{"list", "index", "missing"}
	}
	return List{*l.Index, l.Snapshot, l.Endpoints}, nil
}
