package longpoll

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

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
	close bool
}

func bad(status int, format string, args ...any) *problem {
	return &problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: fmt.Sprintf(format, args...)}
}

func (p *problem) last() *problem { p.close = true; return p }

// request is what has been read of one.
type request struct {
	*http.Request
	body   []byte
	length int // of head and body
}

var endOfHead = []byte("\r\n\r\n")

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 1024) }}

// next finds the first whole request in what has come so far; nil if more is needed. The framing is narrower
// than RFC 9112: a body has a length, or there is none.
func next(buf []byte, mostHead, mostBody int) (*request, *problem) {
	end := bytes.Index(buf[:min(len(buf), mostHead)], endOfHead)
	if end < 0 {
		if len(buf) >= mostHead {
			return nil, bad(http.StatusRequestHeaderFieldsTooLarge, "the head is longer than %d bytes", mostHead).last()
		}
		return nil, nil
	}
	end += len(endOfHead)
	in := readers.Get().(*bufio.Reader)
	defer readers.Put(in)
	in.Reset(bytes.NewReader(buf[:end]))
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, bad(http.StatusBadRequest, "the head can't be read: %v", err).last()
	}
	if len(r.TransferEncoding) > 0 {
		return nil, bad(http.StatusNotImplemented, "a body is taken with a Content-Length alone").last()
	}
	if r.ProtoMajor != 1 {
		return nil, bad(http.StatusHTTPVersionNotSupported, "HTTP/1.1 alone is spoken here").last()
	}
	if r.ContentLength > int64(mostBody) {
		return nil, bad(http.StatusRequestEntityTooLarge, "the body has %d bytes, of %d at most", r.ContentLength, mostBody).last()
	}
	if r.Header.Get("Expect") != "" {
		return nil, bad(http.StatusExpectationFailed, "no expectation is met here").last()
	}
	whole := end + int(r.ContentLength)
	if len(buf) < whole {
		return nil, nil
	}
	return &request{r, buf[end:whole:whole], whole}, nil
}

// entityTags reads an If-None-Match list. Tags that some other server made are passed over; `*` is any.
func entityTags(headers []string) (held []tables.Tag, any bool, p *problem) {
	rest := strings.TrimSpace(strings.Join(headers, ","))
	if rest == "*" {
		return nil, true, nil
	}
	for rest != "" {
		rest = strings.TrimLeft(rest, " \t,")
		if rest == "" {
			break
		}
		opaque := strings.TrimPrefix(rest, "W/")
		end := -1
		if strings.HasPrefix(opaque, `"`) {
			end = strings.IndexByte(opaque[1:], '"')
		}
		if end < 0 {
			return nil, false, bad(http.StatusBadRequest, "If-None-Match: %.60q is no entity tag", rest)
		}
		if t, err := tables.ParseETag(opaque[:end+2]); err == nil {
			held = append(held, t)
		}
		if rest = strings.TrimLeft(opaque[end+2:], " \t"); rest != "" && rest[0] != ',' {
			return nil, false, bad(http.StatusBadRequest, "If-None-Match: %.60q does not go on with a comma", rest)
		}
		if len(held) > 16 {
			return nil, false, bad(http.StatusBadRequest, "If-None-Match: more than 16 entity tags")
		}
	}
	return held, false, nil
}

// preferredWait is that of RFC 7240, in seconds. What can't be read is passed over, as it asks for.
func preferredWait(headers []string) (logic.Millis, bool) {
	for _, h := range headers {
		for _, part := range strings.Split(h, ",") {
			name, value, _ := strings.Cut(strings.Split(part, ";")[0], "=")
			if !strings.EqualFold(strings.TrimSpace(name), "wait") {
				continue
			}
			if n, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(value), `"`), 10, 31); err == nil {
				return logic.Millis(n) * 1000, true
			}
		}
	}
	return 0, false
}

// takes says whether A-IM (RFC 3229) names JSON Patch.
func takes(headers []string) bool {
	for _, h := range headers {
		for _, part := range strings.Split(h, ",") {
			name, params, _ := strings.Cut(part, ";")
			if !strings.EqualFold(strings.TrimSpace(name), manipulation) {
				continue
			}
			q := strings.ReplaceAll(params, " ", "")
			return q != "q=0" && q != "q=0.0" && q != "q=0.00" && q != "q=0.000"
		}
	}
	return false
}

func isJSON(r *http.Request) bool {
	t, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return err == nil && (t == "application/json" || strings.HasSuffix(t, "+json"))
}

const manipulation = "json-patch"

// head writes an answer's head.
type head struct{ bytes.Buffer }

func newHead(status int, closes bool) *head {
	h := &head{}
	h.Grow(320)
	text := http.StatusText(status)
	fmt.Fprintf(h, "HTTP/1.1 %d %s\r\n", status, text)
	h.set("Date", time.Now().UTC().Format(http.TimeFormat))
	if closes {
		h.set("Connection", "close")
	}
	return h
}

func (h *head) set(name, value string) {
	h.WriteString(name)
	h.WriteString(": ")
	h.WriteString(value)
	h.WriteString("\r\n")
}

func (h *head) end(bodyType string, length int) []byte {
	if bodyType != "" {
		h.set("Content-Type", bodyType)
		h.set("Content-Length", strconv.Itoa(length))
	}
	h.WriteString("\r\n")
	return h.Bytes()
}

func (p *problem) render() (head, body []byte) {
	body, _ = json.Marshal(p)
	h := newHead(p.Status, p.close)
	if p.allow != "" {
		h.set("Allow", p.allow)
	}
	if p.Status == http.StatusServiceUnavailable {
		h.set("Retry-After", "1")
	}
	return h.end("application/problem+json", len(body)), body
}
