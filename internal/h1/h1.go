// Package h1 reads the heads and bodies of HTTP/1.1 messages for a proxy: strictly, in place, and with no more than
// one meaning. What two readers could take for different messages is refused, as it would be passed on.
package h1

import (
	"bytes"
	"fmt"
	"strconv"
)

// Field is one of a head; both parts lie in the buffer that was read.
type Field struct{ Name, Value []byte }

// Head is a request's or an answer's.
type Head struct {
	Method, Target []byte
	Status         int
	Reason         []byte
	MinorVersion   int // of HTTP/1.x
	Fields         []Field
	ContentLength  int64 // of the body; -1: not stated
	Chunked        bool
	Close          bool // the connection ends with this message
	KeepAlive      bool // stated, which HTTP/1.0 needs
	HasExpect      bool // 100-continue
	HasUpgrade     bool
	Size           int // of the head
}

// Wrong is what makes a message unreadable.
type ParseError struct {
	Status  int // for an answer to a request
	Message string
}

func (w *ParseError) Error() string { return w.Message }

func parseErrorf(status int, format string, args ...any) *ParseError {
	return &ParseError{status, fmt.Sprintf(format, args...)}
}

const (
	statusBadRequest          = 400
	statusNotImplemented      = 501
	statusHeadTooLarge        = 431
	statusVersionNotSupported = 505
	maxFields                 = 100
)

var crlf = []byte("\r\n")

// token holds the bytes of methods and names (RFC 9110, 5.6.2).
var isTokenByte = func() (t [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		t[c] = true
	}
	return t
}()

func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte[c] {
			return false
		}
	}
	return len(b) > 0
}

// Ends finds the end of a head in what has come; 0 if it has not come whole. From is where the last look ended.
func HeadEnd(buf []byte, from int) int {
	if from > 3 {
		from -= 3
	} else {
		from = 0
	}
	if i := bytes.Index(buf[from:], []byte("\r\n\r\n")); i >= 0 {
		return from + i + 4
	}
	return 0
}

// Request reads a request's head. Nothing is read past it; 0 and no error mean that more is to come.
func (h *Head) ParseRequest(buf []byte, most int) (int, *ParseError) {
	end := HeadEnd(buf[:min(len(buf), most)], 0)
	if end == 0 {
		if len(buf) >= most {
			return 0, parseErrorf(statusHeadTooLarge, "the head is longer than %d bytes", most)
		}
		return 0, nil
	}
	h.reset(end)
	line, rest, _ := bytes.Cut(buf[:end-2], crlf)
	sp1 := bytes.IndexByte(line, ' ')
	sp2 := bytes.LastIndexByte(line, ' ')
	if sp1 <= 0 || sp2 <= sp1 {
		return 0, parseErrorf(statusBadRequest, "the request line %.60q has not three parts", line)
	}
	h.Method, h.Target = line[:sp1], line[sp1+1:sp2]
	if !isToken(h.Method) {
		return 0, parseErrorf(statusBadRequest, "the method %.40q is no token", h.Method)
	}
	if len(h.Target) == 0 || h.Target[0] != '/' {
		return 0, parseErrorf(statusBadRequest, "the target %.60q is no path", h.Target)
	}
	for _, c := range h.Target {
		if c <= ' ' || c >= 0x7f {
			return 0, parseErrorf(statusBadRequest, "the target holds the byte %#x", c)
		}
	}
	if w := h.parseVersion(line[sp2+1:]); w != nil {
		return 0, w
	}
	if string(h.Method) == "CONNECT" {
		return 0, parseErrorf(statusNotImplemented, "CONNECT is not taken here")
	}
	hosts, w := h.parseFields(rest)
	if w != nil {
		return 0, w
	}
	if hosts > 1 || hosts == 0 && h.MinorVersion == 1 {
		return 0, parseErrorf(statusBadRequest, "%d Host fields", hosts)
	}
	if h.MinorVersion == 0 && h.Chunked {
		return 0, parseErrorf(statusBadRequest, "HTTP/1.0 knows no Transfer-Encoding")
	}
	h.Close = h.Close || h.MinorVersion == 0 && !h.KeepAlive
	return end, nil
}

// Answer reads an answer's head, to a request of that method.
func (h *Head) ParseResponse(buf []byte, most int, method []byte) (int, *ParseError) {
	end := HeadEnd(buf[:min(len(buf), most)], 0)
	if end == 0 {
		if len(buf) >= most {
			return 0, parseErrorf(0, "the answer's head is longer than %d bytes", most)
		}
		return 0, nil
	}
	h.reset(end)
	line, rest, _ := bytes.Cut(buf[:end-2], crlf)
	if len(line) < 12 || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return 0, parseErrorf(0, "the status line %.60q is none", line)
	}
	if w := h.parseVersion(line[:8]); w != nil {
		return 0, w
	}
	for _, c := range line[9:12] {
		if c < '0' || c > '9' {
			return 0, parseErrorf(0, "the status %q is no number", line[9:12])
		}
		h.Status = h.Status*10 + int(c-'0')
	}
	if h.Status < 100 || h.Status > 599 {
		return 0, parseErrorf(0, "the status %d is out of range", h.Status)
	}
	if len(line) > 13 {
		h.Reason = line[13:]
		if !isFieldValue(h.Reason) {
			return 0, parseErrorf(0, "the reason %.40q holds a byte that it may not", h.Reason)
		}
	}
	if _, w := h.parseFields(rest); w != nil {
		return 0, w
	}
	h.Close = h.Close || h.MinorVersion == 0 && !h.KeepAlive
	if h.Status < 200 || h.Status == 204 || h.Status == 304 || string(method) == "HEAD" {
		if h.Status < 200 && (h.Chunked || h.ContentLength > 0) {
			return 0, parseErrorf(0, "a status of %d bears a body", h.Status)
		}
		h.ContentLength, h.Chunked = 0, false
	} else if h.ContentLength < 0 && !h.Chunked {
		h.Close = true // its body ends with the connection
	}
	return end, nil
}

func (h *Head) reset(size int) {
	*h = Head{Fields: h.Fields[:0], ContentLength: -1, Size: size}
}

func (h *Head) parseVersion(v []byte) *ParseError {
	switch string(v) {
	case "HTTP/1.1":
		h.MinorVersion = 1
	case "HTTP/1.0":
	default:
		return parseErrorf(statusVersionNotSupported, "the version %.20q is neither HTTP/1.0 nor HTTP/1.1", v)
	}
	return nil
}

func isFieldValue(v []byte) bool {
	for _, c := range v {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func (h *Head) parseFields(rest []byte) (hosts int, w *ParseError) {
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, crlf)
		colon := bytes.IndexByte(line, ':')
		if colon <= 0 || !isToken(line[:colon]) {
			return 0, parseErrorf(statusBadRequest, "the field %.60q has no name that is a token", line)
		}
		if len(h.Fields) >= maxFields {
			return 0, parseErrorf(statusHeadTooLarge, "more than %d fields", maxFields)
		}
		f := Field{line[:colon], bytes.Trim(line[colon+1:], " \t")}
		if !isFieldValue(f.Value) {
			return 0, parseErrorf(statusBadRequest, "the field %.40s holds a byte that it may not", f.Name)
		}
		h.Fields = append(h.Fields, f)
		switch len(f.Name) {
		case 4:
			if EqualFold(f.Name, "host") {
				hosts++
			}
		case 6:
			h.HasExpect = h.HasExpect || EqualFold(f.Name, "expect")
		case 7:
			h.HasUpgrade = h.HasUpgrade || EqualFold(f.Name, "upgrade")
		case 10:
			if EqualFold(f.Name, "connection") {
				h.Close = h.Close || ListContains(f.Value, "close")
				h.KeepAlive = h.KeepAlive || ListContains(f.Value, "keep-alive")
			}
		case 14:
			if EqualFold(f.Name, "content-length") {
				if h.ContentLength >= 0 {
					return 0, parseErrorf(statusBadRequest, "two Content-Length fields")
				}
				n, err := strconv.ParseUint(string(f.Value), 10, 62)
				if err != nil || len(f.Value) > 18 || f.Value[0] == '+' {
					return 0, parseErrorf(statusBadRequest, "the Content-Length %.40q is no length", f.Value)
				}
				h.ContentLength = int64(n)
			}
		case 17:
			if EqualFold(f.Name, "transfer-encoding") {
				if h.Chunked || !EqualFold(f.Value, "chunked") {
					return 0, parseErrorf(statusNotImplemented, "the Transfer-Encoding %.40q is not chunked, once", f.Value)
				}
				h.Chunked = true
			}
		}
	}
	if h.Chunked && h.ContentLength >= 0 {
		return 0, parseErrorf(statusBadRequest, "both Content-Length and Transfer-Encoding")
	}
	return hosts, nil
}

// Is compares a name or a word with one in small letters.
func EqualFold(b []byte, small string) bool {
	if len(b) != len(small) {
		return false
	}
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != small[i] {
			return false
		}
	}
	return true
}

// Lists says whether a comma-separated value names a word.
func ListContains(value []byte, small string) bool {
	for len(value) > 0 {
		var part []byte
		part, value, _ = bytes.Cut(value, []byte(","))
		if EqualFold(bytes.Trim(part, " \t"), small) {
			return true
		}
	}
	return false
}

// Get is the value of the first field of a name in small letters, nil if there is none.
func (h *Head) Get(small string) []byte {
	for _, f := range h.Fields {
		if EqualFold(f.Name, small) {
			return f.Value
		}
	}
	return nil
}

// OneHop says whether a field concerns one connection alone (RFC 9110, 7.6.1) and is not passed on. Names that
// Connection lists count too.
func (h *Head) IsHopByHop(f Field) bool {
	for _, name := range []string{"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding",
		"upgrade", "expect", "proxy-authenticate", "proxy-authorization"} {
		if EqualFold(f.Name, name) {
			return true
		}
	}
	return false
}

// Listed gives the names that Connection fields list beside close and keep-alive.
func (h *Head) ConnectionOptions() (names [][]byte) {
	for _, f := range h.Fields {
		if !EqualFold(f.Name, "connection") {
			continue
		}
		for rest := f.Value; len(rest) > 0; {
			var part []byte
			part, rest, _ = bytes.Cut(rest, []byte(","))
			if part = bytes.Trim(part, " \t"); len(part) > 0 && !EqualFold(part, "close") && !EqualFold(part, "keep-alive") {
				names = append(names, part)
			}
		}
	}
	return names
}

// Chunk reads the line that begins a chunk: its size, and how long the line is. 0, 0 means that more is to come.
// Extensions are passed over.
func ParseChunkSize(buf []byte) (size int64, line int, w *ParseError) {
	end := bytes.Index(buf[:min(len(buf), 256)], crlf)
	if end < 0 {
		if len(buf) >= 256 {
			return 0, 0, parseErrorf(statusBadRequest, "the line of a chunk's size has no end")
		}
		return 0, 0, nil
	}
	text := buf[:end]
	if i := bytes.IndexByte(text, ';'); i >= 0 {
		if !isFieldValue(text[i:]) {
			return 0, 0, parseErrorf(statusBadRequest, "a chunk's extension holds a byte that it may not")
		}
		text = bytes.TrimRight(text[:i], " \t")
	}
	if len(text) == 0 || len(text) > 15 {
		return 0, 0, parseErrorf(statusBadRequest, "a chunk's size %.30q is none", text)
	}
	for _, c := range text {
		switch {
		case '0' <= c && c <= '9':
			size = size<<4 | int64(c-'0')
		case 'a' <= c && c <= 'f':
			size = size<<4 | int64(c-'a'+10)
		case 'A' <= c && c <= 'F':
			size = size<<4 | int64(c-'A'+10)
		default:
			return 0, 0, parseErrorf(statusBadRequest, "a chunk's size %.30q is none", text)
		}
	}
	return size, end + 2, nil
}
