package longpoll

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"vetchwood/internal/h1"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// problem is a problem details response (RFC 9457).
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`

	allow      string
	retryAfter time.Duration // Retry-After of a 503
	closeConn  bool          // the connection is closed after this response
}

func newProblem(status int, format string, args ...any) *problem {
	return &problem{Type: "about:blank", Title: http.StatusText(status), Status: status,
		Detail: fmt.Sprintf(format, args...)}
}

// overloaded returns the problem that asks a client to retry after the given time.
func overloaded(after time.Duration) *problem {
	p := newProblem(http.StatusServiceUnavailable, "the director has more to do than it can")
	p.retryAfter = after
	return p
}

// closing marks the problem as one after which the connection is closed, as the end of the request is unknown or what
// follows it cannot be read.
func (p *problem) closing() *problem { p.closeConn = true; return p }

// request is a parsed request. Its slices point into the buffer that it was parsed from.
type request struct {
	h1.Head
	body []byte
	size int // of head and body, in bytes
}

// parse reads the first complete request in buf, and reports whether there is one. The framing is stricter than RFC
// 9112: a body needs a Content-Length.
func (r *request) parse(buf []byte, maxHead, maxBody int) (bool, *problem) {
	end, w := r.ParseRequest(buf, maxHead)
	if w != nil {
		return false, newProblem(w.Status, "%s", w.Message).closing()
	}
	if end == 0 {
		return false, nil
	}
	if r.Chunked {
		return false, newProblem(http.StatusNotImplemented,
			"a body is taken with a Content-Length alone").closing()
	}
	length := max(0, r.ContentLength)
	if length > int64(maxBody) {
		return false, newProblem(http.StatusRequestEntityTooLarge,
			"the body has %d bytes, of %d at most", length, maxBody).closing()
	}
	if r.HasExpect {
		return false, newProblem(http.StatusExpectationFailed, "no expectation is met here").closing()
	}
	if r.size = end + int(length); len(buf) < r.size {
		return false, nil
	}
	r.body = buf[end:r.size:r.size]
	return true, nil
}

// fieldValue returns the value of a header field by its name in lower case. The values of repeated fields are joined
// to a list (RFC 9110, 5.3).
func (r *request) fieldValue(lowerName string) (out []byte) {
	first := true
	for _, f := range r.Fields {
		switch {
		case len(f.Name) != len(lowerName) || !h1.EqualFold(f.Name, lowerName):
		case first:
			out, first = f.Value, false
		default:
			out = append(append(out[:len(out):len(out)], ','), f.Value...)
		}
	}
	return out
}

// parseIfNoneMatch parses an If-None-Match list. Tags that do not name a version of the tables are ignored; matchAny
// reports `*`.
func parseIfNoneMatch(list []byte) (held []tables.Tag, matchAny bool, p *problem) {
	rest := bytes.TrimSpace(list)
	if string(rest) == "*" {
		return nil, true, nil
	}
	for len(rest) > 0 {
		if rest = bytes.TrimLeft(rest, " \t,"); len(rest) == 0 {
			break
		}
		opaque := bytes.TrimPrefix(rest, []byte("W/"))
		end := -1
		if opaque[0] == '"' {
			end = bytes.IndexByte(opaque[1:], '"')
		}
		if end < 0 {
			return nil, false, newProblem(http.StatusBadRequest, "If-None-Match: %.60q is no entity tag", rest)
		}
		if t, err := tables.ParseETag(string(opaque[:end+2])); err == nil {
			held = append(held, t)
		}
		if rest = bytes.TrimLeft(opaque[end+2:], " \t"); len(rest) > 0 && rest[0] != ',' {
			return nil, false, newProblem(http.StatusBadRequest, "If-None-Match: %.60q does not go on with a comma", rest)
		}
		if len(held) > 16 {
			return nil, false, newProblem(http.StatusBadRequest, "If-None-Match: more than 16 entity tags")
		}
	}
	return held, false, nil
}

// parsePreferWait returns the wait preference of a Prefer list, which is in seconds, and whether there is one. Values
// that cannot be parsed are ignored, as RFC 7240 requires.
func parsePreferWait(list []byte) (logic.Millis, bool) {
	for len(list) > 0 {
		var part []byte
		part, list, _ = bytes.Cut(list, []byte(","))
		part, _, _ = bytes.Cut(part, []byte(";"))
		name, value, _ := bytes.Cut(part, []byte("="))
		if !bytes.EqualFold(bytes.TrimSpace(name), []byte("wait")) {
			continue
		}
		if n, err := strconv.ParseUint(string(bytes.Trim(bytes.TrimSpace(value), `"`)), 10, 31); err == nil {
			return logic.Millis(n) * 1000, true
		}
	}
	return 0, false
}

// acceptsJSONPatch reports whether an A-IM list (RFC 3229) accepts JSON Patch.
func acceptsJSONPatch(list []byte) bool {
	for len(list) > 0 {
		var part []byte
		part, list, _ = bytes.Cut(list, []byte(","))
		name, params, _ := bytes.Cut(part, []byte(";"))
		if !bytes.EqualFold(bytes.TrimSpace(name), []byte(instanceManipulation)) {
			continue
		}
		q := strings.ReplaceAll(string(params), " ", "")
		return q != "q=0" && q != "q=0.0" && q != "q=0.00" && q != "q=0.000"
	}
	return false
}

func hasJSONBody(r *request) bool {
	t, _, err := mime.ParseMediaType(string(r.Get("content-type")))
	return err == nil && (t == "application/json" || strings.HasSuffix(t, "+json"))
}

// instanceManipulation is the name of JSON Patch in A-IM and IM (RFC 3229).
const instanceManipulation = "json-patch"

// responseHead is the head of a response as it is built.
type responseHead []byte

// cachedDate is the value of the Date header, formatted once a second.
var cachedDate atomic.Pointer[struct {
	second int64
	text   string
}]

func httpDate() string {
	now := time.Now()
	d := cachedDate.Load()
	if d == nil || d.second != now.Unix() {
		d = &struct {
			second int64
			text   string
		}{now.Unix(), now.UTC().Format(http.TimeFormat)}
		cachedDate.Store(d)
	}
	return d.text
}

// headPool reuses the memory of response heads.
var headPool = sync.Pool{New: func() any { return new(responseHead) }}

func newResponseHead(status int, closes bool) *responseHead {
	h := headPool.Get().(*responseHead)
	*h = append((*h)[:0], "HTTP/1.1 "...)
	*h = strconv.AppendInt(*h, int64(status), 10)
	*h = append(append(append(*h, ' '), http.StatusText(status)...), "\r\n"...)
	h.set("Date", httpDate())
	if closes {
		h.set("Connection", "close")
	}
	return h
}

func (h *responseHead) set(name, value string) {
	*h = append(append(append(append(*h, name...), ": "...), value...), "\r\n"...)
}

func (h *responseHead) setInt(name string, value int) {
	*h = strconv.AppendInt(append(append(*h, name...), ": "...), int64(value), 10)
	*h = append(*h, "\r\n"...)
}

func (h *responseHead) finish(bodyType string, length int) []byte {
	if bodyType != "" {
		h.set("Content-Type", bodyType)
		h.setInt("Content-Length", length)
	}
	*h = append(*h, "\r\n"...)
	return *h
}

// render returns the head and the body of a problem response. The head is returned to headPool once it is written.
func (p *problem) render() (h *responseHead, body []byte) {
	body, _ = json.Marshal(p)
	h = newResponseHead(p.Status, p.closeConn)
	if p.allow != "" {
		h.set("Allow", p.allow)
	}
	if p.Status == http.StatusServiceUnavailable {
		h.setInt("Retry-After", max(1, int(math.Ceil(p.retryAfter.Seconds()))))
	}
	h.finish("application/problem+json", len(body))
	return h, body
}
