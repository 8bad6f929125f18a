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

// problem is an answer by RFC 9457. Close says that what follows on the connection can't be told apart.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`

	allow string
	retry time.Duration // after which it may come again
	close bool
}

func bad(status int, format string, args ...any) *problem {
	return &problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: fmt.Sprintf(format, args...)}
}

// later tells a client to come again.
func later(after time.Duration) *problem {
	p := bad(http.StatusServiceUnavailable, "the director has more to do than it can")
	p.retry = after
	return p
}

func (p *problem) last() *problem { p.close = true; return p }

// request is what has been read of one. It lies in the buffer that it came in.
type request struct {
	h1.Head
	body   []byte
	length int // of head and body
}

// next finds the first whole request in what has come so far; false if more is needed. The framing is narrower than RFC
// 9112: a body has a length, or there is none.
func (r *request) next(buf []byte, mostHead, mostBody int) (bool, *problem) {
	end, w := r.ParseRequest(buf, mostHead)
	if w != nil {
		return false, bad(w.Status, "%s", w.Message).last()
	}
	if end == 0 {
		return false, nil
	}
	if r.Chunked {
		return false, bad(http.StatusNotImplemented, "a body is taken with a Content-Length alone").last()
	}
	length := max(0, r.ContentLength)
	if length > int64(mostBody) {
		return false, bad(http.StatusRequestEntityTooLarge, "the body has %d bytes, of %d at most", length, mostBody).last()
	}
	if r.HasExpect {
		return false, bad(http.StatusExpectationFailed, "no expectation is met here").last()
	}
	if r.length = end + int(length); len(buf) < r.length {
		return false, nil
	}
	r.body = buf[end:r.length:r.length]
	return true, nil
}

// value is that of a field by its name in small letters; several of one name are one list, as RFC 9110 has it.
func (r *request) value(small string) (out []byte) {
	first := true
	for _, f := range r.Fields {
		switch {
		case len(f.Name) != len(small) || !h1.EqualFold(f.Name, small):
		case first:
			out, first = f.Value, false
		default:
			out = append(append(out[:len(out):len(out)], ','), f.Value...)
		}
	}
	return out
}

// entityTags reads an If-None-Match list. Tags that some other server made are passed over; `*` is any.
func entityTags(list []byte) (held []tables.Tag, any bool, p *problem) {
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
			return nil, false, bad(http.StatusBadRequest, "If-None-Match: %.60q is no entity tag", rest)
		}
		if t, err := tables.ParseETag(string(opaque[:end+2])); err == nil {
			held = append(held, t)
		}
		if rest = bytes.TrimLeft(opaque[end+2:], " \t"); len(rest) > 0 && rest[0] != ',' {
			return nil, false, bad(http.StatusBadRequest, "If-None-Match: %.60q does not go on with a comma", rest)
		}
		if len(held) > 16 {
			return nil, false, bad(http.StatusBadRequest, "If-None-Match: more than 16 entity tags")
		}
	}
	return held, false, nil
}

// preferredWait is that of RFC 7240, in seconds. What can't be read is passed over, as it asks for.
func preferredWait(list []byte) (logic.Millis, bool) {
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

// takes says whether A-IM (RFC 3229) names JSON Patch.
func takes(list []byte) bool {
	for len(list) > 0 {
		var part []byte
		part, list, _ = bytes.Cut(list, []byte(","))
		name, params, _ := bytes.Cut(part, []byte(";"))
		if !bytes.EqualFold(bytes.TrimSpace(name), []byte(manipulation)) {
			continue
		}
		q := strings.ReplaceAll(string(params), " ", "")
		return q != "q=0" && q != "q=0.0" && q != "q=0.00" && q != "q=0.000"
	}
	return false
}

func isJSON(r *request) bool {
	t, _, err := mime.ParseMediaType(string(r.Get("content-type")))
	return err == nil && (t == "application/json" || strings.HasSuffix(t, "+json"))
}

const manipulation = "json-patch"

// head is an answer's, in the making.
type head []byte

// today is the date as it is told, made once a second.
var today atomic.Pointer[struct {
	second int64
	text   string
}]

func date() string {
	now := time.Now()
	d := today.Load()
	if d == nil || d.second != now.Unix() {
		d = &struct {
			second int64
			text   string
		}{now.Unix(), now.UTC().Format(http.TimeFormat)}
		today.Store(d)
	}
	return d.text
}

// spare keeps heads' memory for the next.
var spare = sync.Pool{New: func() any { return new(head) }}

func newHead(status int, closes bool) *head {
	h := spare.Get().(*head)
	*h = append((*h)[:0], "HTTP/1.1 "...)
	*h = strconv.AppendInt(*h, int64(status), 10)
	*h = append(append(append(*h, ' '), http.StatusText(status)...), "\r\n"...)
	h.set("Date", date())
	if closes {
		h.set("Connection", "close")
	}
	return h
}

func (h *head) set(name, value string) {
	*h = append(append(append(append(*h, name...), ": "...), value...), "\r\n"...)
}

func (h *head) number(name string, value int) {
	*h = strconv.AppendInt(append(append(*h, name...), ": "...), int64(value), 10)
	*h = append(*h, "\r\n"...)
}

func (h *head) end(bodyType string, length int) []byte {
	if bodyType != "" {
		h.set("Content-Type", bodyType)
		h.number("Content-Length", length)
	}
	*h = append(*h, "\r\n"...)
	return *h
}

// render puts a problem into words. The head goes back once it is written.
func (p *problem) render() (h *head, body []byte) {
	body, _ = json.Marshal(p)
	h = newHead(p.Status, p.close)
	if p.allow != "" {
		h.set("Allow", p.allow)
	}
	if p.Status == http.StatusServiceUnavailable {
		h.number("Retry-After", max(1, int(math.Ceil(p.retry.Seconds()))))
	}
	h.end("application/problem+json", len(body))
	return h, body
}
