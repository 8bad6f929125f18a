// Package operator provides the HTTP endpoint for operators and its client: listing and comparing versions of the
// tables, rolling back to one, pinning tables and releasing them. The effects of a request are decided in packages
// control and pins.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/store"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Director is the part of a director that the endpoint uses.
type Director interface {
	Ask(ctx context.Context, in func(control.Ticket) any) (control.Answer, error)
}

// Store is the part of the history that the endpoint uses.
type Store interface {
	Versions(limit int) ([]store.Version, error)
	At(tables.Step) (control.SavedState, error)
	Verify() (int, []error)
}

// Path is the URL path under which the endpoint is mounted.
const Path = "/v1/operator/"

// Request is the body of a rollback or a release.
type Request struct {
	To       tables.Step     `json:"to,omitempty"`
	Tables   []logic.TableID `json:"tables,omitempty"` // empty for all tables
	LastSeen tables.Step     `json:"since,omitempty"`
	Who      string          `json:"who"`
	Why      string          `json:"why"`
	Force    bool            `json:"force,omitempty"`
	DryRun   bool            `json:"dry,omitempty"`
}

// LineChange is a line that differs between two versions. A weight of 0 means that the line is absent.
type LineChange struct {
	Table string         `json:"table"`
	Host  tables.Address `json:"host"`
	From  float64        `json:"from"` // weight
	To    float64        `json:"to"`
}

// Difference holds the differences between two versions.
type Difference struct {
	From     tables.Step      `json:"from"`
	To       tables.Step      `json:"to"`
	Lines    []LineChange     `json:"lines"`
	Masked   []tables.Address `json:"masked"`
	Unmasked []tables.Address `json:"opened"`
	Levels   bool             `json:"levels"`
}

// VerifyResult is the result of verifying all records of the history.
type VerifyResult struct {
	Records int      `json:"records"`
	Faults  []string `json:"wrong"`
}

// Handler serves the endpoint. It rejects requests that do not come from the loopback interface.
func Handler(d Director, s Store) http.Handler {
	mux := http.NewServeMux()
	uintParam := func(r *http.Request, name string, fallback uint64) (uint64, error) {
		text := r.URL.Query().Get(name)
		if text == "" {
			return fallback, nil
		}
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: %.40q is no whole number", name, text)
		}
		return n, nil
	}
	mux.HandleFunc("GET "+Path+"versions", func(w http.ResponseWriter, r *http.Request) {
		limit, err := uintParam(r, "most", 50)
		if err != nil {
			writeProblem(w, http.StatusBadRequest, err)
			return
		}
		respond(w)(s.Versions(int(min(limit, 100000))))
	})
	mux.HandleFunc("GET "+Path+"versions/{step}", func(w http.ResponseWriter, r *http.Request) {
		step, err := strconv.ParseUint(r.PathValue("step"), 10, 64)
		if err != nil {
			writeProblem(w, http.StatusBadRequest, fmt.Errorf("version %.40q is no whole number", r.PathValue("step")))
			return
		}
		respond(w)(s.At(tables.Step(step)))
	})
	mux.HandleFunc("GET "+Path+"diff", func(w http.ResponseWriter, r *http.Request) {
		from, err1 := uintParam(r, "from", 0)
		to, err2 := uintParam(r, "to", 0)
		if err := errors.Join(err1, err2); err != nil {
			writeProblem(w, http.StatusBadRequest, err)
			return
		}
		a, err := s.At(tables.Step(from))
		if err == nil {
			var b control.SavedState
			if b, err = s.At(tables.Step(to)); err == nil {
				respond(w)(Diff(a, b), nil)
				return
			}
		}
		respond(w)(nil, err)
	})
	mux.HandleFunc("GET "+Path+"verify", func(w http.ResponseWriter, _ *http.Request) {
		v := VerifyResult{Faults: []string{}}
		var faults []error
		v.Records, faults = s.Verify()
		for _, err := range faults {
			v.Faults = append(v.Faults, err.Error())
		}
		respond(w)(v, nil)
	})
	mux.HandleFunc("GET "+Path+"pins", func(w http.ResponseWriter, r *http.Request) {
		forward(w, r, d, func(t control.Ticket) any { return control.PinsQuery{Ticket: t} })
	})
	mux.HandleFunc("POST "+Path+"rollback", func(w http.ResponseWriter, r *http.Request) {
		q, ok := decodeRequest(w, r)
		if !ok {
			return
		}
		target, err := s.At(q.To)
		if err != nil {
			respond(w)(nil, err)
			return
		}
		content := target.Tables
		if len(q.Tables) > 0 {
			content = map[logic.TableID]*tables.Table{}
			for _, id := range q.Tables {
				if content[id] = target.Tables[id]; content[id] == nil {
					writeProblem(w, http.StatusNotFound, fmt.Errorf("version %d has no table %d", q.To, id))
					return
				}
			}
		}
		forward(w, r, d, func(t control.Ticket) any {
			return control.Rollback{Ticket: t, To: q.To, Content: content, LastSeen: q.LastSeen, Who: q.Who, Why: q.Why, Force: q.Force, DryRun: q.DryRun}
		})
	})
	mux.HandleFunc("POST "+Path+"release", func(w http.ResponseWriter, r *http.Request) {
		if q, ok := decodeRequest(w, r); ok {
			forward(w, r, d, func(t control.Ticket) any {
				return control.Release{Ticket: t, Tables: q.Tables, Who: q.Who, Why: q.Why}
			})
		}
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if at, err := netip.ParseAddrPort(r.RemoteAddr); err != nil || !at.Addr().Unmap().IsLoopback() {
			writeProblem(w, http.StatusForbidden, errors.New("operators ask from the director's own machine"))
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// decodeRequest decodes the body of a request. If the body is invalid, it writes the error and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request) (q Request, ok bool) {
	dec := json.NewDecoder(io.LimitReader(r.Body, 1<<20))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&q); err != nil {
		writeProblem(w, http.StatusBadRequest, fmt.Errorf("body: %w", err))
		return q, false
	}
	return q, true
}

// forward passes a request to the director and writes its answer. Refusals include the result that the operation would
// have had, where the director gives one.
func forward(w http.ResponseWriter, r *http.Request, d Director, in func(control.Ticket) any) {
	ctx, cancel := context.WithTimeout(r.Context(), 10*time.Second)
	defer cancel()
	a, err := d.Ask(ctx, in)
	switch {
	case err != nil:
		writeProblem(w, http.StatusServiceUnavailable, err)
	case a.Kind == control.Done:
		respond(w)(a.Body, nil)
	default:
		result, _ := a.Body.(*control.OperationResult)
		status := map[control.AnswerKind]int{control.Invalid: http.StatusBadRequest, control.Conflict: http.StatusConflict,
			control.Refused: http.StatusUnprocessableEntity}[a.Kind]
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(struct {
			Type, Title, Detail string
			Status              int
			Operated            *control.OperationResult `json:"operated,omitempty"`
		}{"about:blank", http.StatusText(status), a.Reason, status, result})
	}
}

// respond returns a function that writes a value as JSON, or an error as a problem with the status that fits it.
func respond(w http.ResponseWriter) func(v any, err error) {
	return func(v any, err error) {
		var corrupt *store.CorruptError
		switch {
		case errors.Is(err, store.ErrNoVersion):
			writeProblem(w, http.StatusNotFound, err)
		case errors.As(err, &corrupt):
			writeProblem(w, http.StatusInternalServerError, err)
		case err != nil:
			writeProblem(w, http.StatusInternalServerError, err)
		default:
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(v)
		}
	}
}

// writeProblem writes an error as a problem document (RFC 9457).
func writeProblem(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{"type": "about:blank", "title": http.StatusText(status), "status": status, "detail": err.Error()})
}

// Diff compares two versions by table and host.
func Diff(a, b control.SavedState) *Difference {
	d := &Difference{From: a.Step, To: b.Step, Lines: []LineChange{}, Masked: []tables.Address{}, Unmasked: []tables.Address{},
		Levels: !slices.Equal(a.Levels, b.Levels)}
	ids := map[logic.TableID]bool{}
	for _, all := range []map[logic.TableID]*tables.Table{a.Tables, b.Tables} {
		for id := range all {
			ids[id] = true
		}
	}
	lines := func(t *tables.Table) map[tables.Address]float64 {
		if t == nil {
			return nil
		}
		return t.Lines
	}
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		before, after := lines(a.Tables[id]), lines(b.Tables[id])
		hosts := maps.Clone(before)
		if hosts == nil {
			hosts = map[tables.Address]float64{}
		}
		maps.Copy(hosts, after)
		for _, h := range slices.Sorted(maps.Keys(hosts)) {
			if before[h] != after[h] {
				d.Lines = append(d.Lines, LineChange{strconv.Itoa(int(id)), h, before[h], after[h]})
			}
		}
	}
	for _, h := range slices.Sorted(maps.Keys(b.Masked)) {
		if !a.Masked[h] {
			d.Masked = append(d.Masked, h)
		}
	}
	for _, h := range slices.Sorted(maps.Keys(a.Masked)) {
		if !b.Masked[h] {
			d.Unmasked = append(d.Unmasked, h)
		}
	}
	return d
}

// Client sends requests to a director's endpoint.
type Client struct{ URL string }

// ResponseError is a response with a status other than 200.
type ResponseError struct {
	Status int
	Detail string
}

func (e *ResponseError) Error() string { return e.Detail }

// Get reads the resource at a path below Path into the value that to points to.
func (c Client) Get(ctx context.Context, path string, to any) error {
	return c.do(ctx, http.MethodGet, path, nil, to)
}

// Post sends a request to a path below Path and reads the answer into the value that to points to.
func (c Client) Post(ctx context.Context, path string, r Request, to any) error {
	body, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return c.do(ctx, http.MethodPost, path, body, to)
}

// do sends one request. Connections are not reused.
func (c Client) do(ctx context.Context, method, path string, body []byte, to any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+Path+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	client := http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		var p struct{ Detail string }
		if json.Unmarshal(text, &p) != nil || p.Detail == "" {
			p.Detail = fmt.Sprintf("%s: %.200s", res.Status, text)
		}
		return &ResponseError{res.StatusCode, p.Detail}
	}
	return json.Unmarshal(text, to)
}
