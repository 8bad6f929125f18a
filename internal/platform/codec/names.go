package codec

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"vetchwood/internal/wire"
	"vetchwood/logic"
)

// Names are what a director's settings name, and how far figures can go. They don't change while it runs.
type Names struct {
	wire.Names
	Proxies, Slices int
	columns         map[string]string // of load reports: the settings' word for each name on the sockets
	longest         float64           // a call lasts
}

// plainNames are the columns of load reports in plain words. Reports bear the words of the settings or these.
var plainNames = map[string]string{"utilization": "util", "throughput": "qps", "backlog": "queue", "outstanding": "inflight",
	"recent_ms": "latency_ms", "errors_per_s": "eps"}

func NewNames(f logic.Config, n wire.Names) *Names {
	out := &Names{Names: n, Proxies: f.Proxies, Slices: f.Slices, columns: map[string]string{}}
	for _, c := range f.LoadColumns {
		out.columns[c] = c
		if plain, known := plainNames[c]; known {
			out.columns[plain] = c
		}
	}
	for _, r := range f.Routes {
		out.longest = max(out.longest, float64(r.TimeLimit))
	}
	return out
}

// Loads says whether hosts report their load.
func (n *Names) Loads() bool { return len(n.columns) > 0 }

func (n *Names) zone(name string) (logic.ZoneID, bool) {
	i := slices.Index(n.Zones, name)
	return logic.ZoneID(i), i >= 0
}

func (n *Names) kind(name string) (logic.HardwareID, bool) {
	i := slices.Index(n.Kinds, name)
	return logic.HardwareID(i), i >= 0
}

func (n *Names) route(name string) (logic.RouteID, bool) {
	i := slices.Index(n.Routes, name)
	return logic.RouteID(i), i >= 0
}

// ErrUnreadable is what is no message at all: the rest of its connection can't be trusted either.
var ErrUnreadable = errors.New("not a JSON object")

// Spoilt is a message that can't be used, while those around it can.
type Spoilt struct{ Kind, Field, Why string }

func (s *Spoilt) Error() string { return fmt.Sprintf("%s.%s: %s", s.Kind, s.Field, s.Why) }

// object decodes a line into fields of pointers: what is absent stays nil.
func object(line []byte, into any) error {
	err := json.Unmarshal(line, into)
	var kind *json.UnmarshalTypeError
	switch {
	case err == nil && bytes.IndexByte(line, '{') < 0: // null is read as an object of nothing
		return ErrUnreadable
	case errors.As(err, &kind) && kind.Field != "":
		return &Spoilt{"message", strings.ToLower(kind.Field), "not " + kind.Type.String()}
	case err != nil:
		return fmt.Errorf("%w: %v", ErrUnreadable, err)
	}
	return nil
}

// fields reads the figures of one message and keeps the first that is wrong.
type fields struct {
	kind string
	err  error
}

func (f *fields) wrong(field, why string) {
	if f.err == nil {
		f.err = &Spoilt{f.kind, field, why}
	}
}

// number is at least 0 and at most so much.
func (f *fields) number(field string, v *float64, most float64) float64 {
	switch {
	case v == nil:
		f.wrong(field, "missing")
	case !(*v >= 0 && *v <= most):
		f.wrong(field, "out of range")
	default:
		return *v
	}
	return 0
}

// whole is a whole number of at least 0 and at most so much.
func (f *fields) whole(field string, v *float64, most int) int {
	n := f.number(field, v, float64(most))
	if n != math.Trunc(n) {
		f.wrong(field, "not a whole number")
	}
	return int(n)
}

func (f *fields) text(field string, v *string) string {
	if v == nil || *v == "" {
		f.wrong(field, "missing")
		return ""
	}
	return *v
}

func (f *fields) zone(n *Names, v *string) logic.ZoneID {
	name := f.text("locality", v)
	zone, known := n.zone(name)
	if f.err == nil && !known {
		f.wrong("locality", "unknown value")
	}
	return zone
}
