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

// Schema holds the names that a director's settings define and the limits of the values in messages. It does not
// change while the director runs.
type Schema struct {
	wire.Names
	Proxies, Slices int
	columnByName    map[string]string // load report column of the settings, by the name used in messages
	longestCallMs   float64           // the longest time limit of all routes, in ms
}

// columnAliases maps the load report columns of the settings to their short names. Load reports may use either name.
var columnAliases = map[string]string{"utilization": "util", "throughput": "qps", "backlog": "queue", "outstanding": "inflight",
	"recent_ms": "latency_ms", "errors_per_s": "eps"}

// NewSchema returns the schema that follows from a director's settings.
func NewSchema(config logic.Config, names wire.Names) *Schema {
	s := &Schema{Names: names, Proxies: config.Proxies, Slices: config.Slices, columnByName: map[string]string{}}
	for _, c := range config.LoadColumns {
		s.columnByName[c] = c
		if alias, known := columnAliases[c]; known {
			s.columnByName[alias] = c
		}
	}
	for _, r := range config.Routes {
		s.longestCallMs = max(s.longestCallMs, float64(r.TimeLimit))
	}
	return s
}

// HasLoadReports reports whether hosts send load reports.
func (s *Schema) HasLoadReports() bool { return len(s.columnByName) > 0 }

func (s *Schema) zoneID(name string) (logic.ZoneID, bool) {
	i := slices.Index(s.Zones, name)
	return logic.ZoneID(i), i >= 0
}

func (s *Schema) kindID(name string) (logic.HardwareID, bool) {
	i := slices.Index(s.HardwareTypes, name)
	return logic.HardwareID(i), i >= 0
}

func (s *Schema) routeID(name string) (logic.RouteID, bool) {
	i := slices.Index(s.Routes, name)
	return logic.RouteID(i), i >= 0
}

// ErrUnreadable is returned for input that is not a JSON object. The rest of its connection cannot be trusted either.
var ErrUnreadable = errors.New("not a JSON object")

// FieldError reports an invalid field. Only the message that contains it is unusable; the messages before and after it
// on the same connection remain valid.
type FieldError struct{ Kind, Field, Why string }

func (e *FieldError) Error() string { return fmt.Sprintf("%s.%s: %s", e.Kind, e.Field, e.Why) }

// decodeObject decodes a line into a struct whose fields are pointers, so that absent fields stay nil.
func decodeObject(line []byte, into any) error {
	err := json.Unmarshal(line, into)
	var typeErr *json.UnmarshalTypeError
	switch {
	case err == nil && bytes.IndexByte(line, '{') < 0: // encoding/json accepts null as an empty object
		return ErrUnreadable
	case errors.As(err, &typeErr) && typeErr.Field != "":
		return &FieldError{"message", strings.ToLower(typeErr.Field), "not " + typeErr.Type.String()}
	case err != nil:
		return fmt.Errorf("%w: %v", ErrUnreadable, err)
	}
	return nil
}

// fieldReader reads and validates the fields of one message and keeps the first error.
type fieldReader struct {
	kind string
	err  error
}

// fail records an error unless an earlier field has failed.
func (f *fieldReader) fail(field, why string) {
	if f.err == nil {
		f.err = &FieldError{f.kind, field, why}
	}
}

// number returns a number that must be in the range [0, limit].
func (f *fieldReader) number(field string, v *float64, limit float64) float64 {
	switch {
	case v == nil:
		f.fail(field, "missing")
	case !(*v >= 0 && *v <= limit):
		f.fail(field, "out of range")
	default:
		return *v
	}
	return 0
}

// integer returns a whole number that must be in the range [0, limit].
func (f *fieldReader) integer(field string, v *float64, limit int) int {
	n := f.number(field, v, float64(limit))
	if n != math.Trunc(n) {
		f.fail(field, "not a whole number")
	}
	return int(n)
}

// text returns a string that must not be empty.
func (f *fieldReader) text(field string, v *string) string {
	if v == nil || *v == "" {
		f.fail(field, "missing")
		return ""
	}
	return *v
}

// zoneID returns the ID of the zone that the locality field names.
func (f *fieldReader) zoneID(s *Schema, v *string) logic.ZoneID {
	name := f.text("locality", v)
	zone, known := s.zoneID(name)
	if f.err == nil && !known {
		f.fail("locality", "unknown value")
	}
	return zone
}
