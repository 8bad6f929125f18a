// Package h1 parses HTTP/1.0 and HTTP/1.1 message heads and chunk sizes for a proxy, strictly and without copying. It
// rejects messages that two parsers could interpret differently, because a proxy would forward the ambiguity.
package h1

import (
	"bytes"
	"fmt"
	"strconv"
)

// Field is a field of a message head. Name and Value refer to the parsed buffer.
type Field struct{ Name, Value []byte }

// Head is the head of a request or of a response. Its byte slices refer to the parsed buffer.
type Head struct {
	Method, Target []byte
	Status         int
	Reason         []byte
	MinorVersion   int // minor version of HTTP/1.x
	Fields         []Field
	ContentLength  int64 // length of the body in bytes; -1 if not stated
	Chunked        bool
	Close          bool // the connection closes after this message
	KeepAlive      bool // keep-alive is stated, as HTTP/1.0 requires for a persistent connection
	HasExpect      bool // an Expect field is present, as with 100-continue
	HasUpgrade     bool // an Upgrade field is present
	Size           int  // size of the head in bytes
}

// ParseError says why a message was rejected.
type ParseError struct {
	Status  int // status of the response to a rejected request
	Message string
}

func (e *ParseError) Error() string { return e.Message }

// parseErrorf returns a ParseError with a formatted message.
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

// isTokenByte holds the bytes that tokens may contain, such as methods and field names (RFC 9110, section 5.6.2).
var isTokenByte = func() (t [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		t[c] = true
	}
	return t
}()

// isToken reports whether b is a token (RFC 9110, section 5.6.2).
func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte[c] {
			return false
		}
	}
	return len(b) > 0
}

// HeadEnd returns the index just past the end of a message head in buf, or 0 if the head is incomplete. The parameter from
// is the length of the part of buf that an earlier call has already searched.
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

// ParseRequest parses the head of a request and returns its size. It returns 0 and no error if the head is incomplete. A
// head that does not end within the first maxSize bytes is an error.
func (h *Head) ParseRequest(buf []byte, maxSize int) (int, *ParseError) {
	end := HeadEnd(buf[:min(len(buf), maxSize)], 0)
	if end == 0 {
		if len(buf) >= maxSize {
			return 0, parseErrorf(statusHeadTooLarge, "the head is longer than %d bytes", maxSize)
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
	if parseErr := h.parseVersion(line[sp2+1:]); parseErr != nil {
		return 0, parseErr
	}
	if string(h.Method) == "CONNECT" {
		return 0, parseErrorf(statusNotImplemented, "CONNECT is not taken here")
	}
	hosts, parseErr := h.parseFields(rest)
	if parseErr != nil {
		return 0, parseErr
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

// ParseResponse parses the head of the response to a request of the given method. Results are as for ParseRequest.
func (h *Head) ParseResponse(buf []byte, maxSize int, method []byte) (int, *ParseError) {
	end := HeadEnd(buf[:min(len(buf), maxSize)], 0)
	if end == 0 {
		if len(buf) >= maxSize {
			return 0, parseErrorf(0, "the response head is longer than %d bytes", maxSize)
		}
		return 0, nil
	}
	h.reset(end)
	line, rest, _ := bytes.Cut(buf[:end-2], crlf)
	if len(line) < 12 || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return 0, parseErrorf(0, "the status line %.60q is malformed", line)
	}
	if parseErr := h.parseVersion(line[:8]); parseErr != nil {
		return 0, parseErr
	}
	for _, c := range line[9:12] {
		if c < '0' || c > '9' {
			return 0, parseErrorf(0, "the status %q is not a number", line[9:12])
		}
		h.Status = h.Status*10 + int(c-'0')
	}
	if h.Status < 100 || h.Status > 599 {
		return 0, parseErrorf(0, "the status %d is outside 100 to 599", h.Status)
	}
	if len(line) > 13 {
		h.Reason = line[13:]
		if !isFieldValue(h.Reason) {
			return 0, parseErrorf(0, "the reason phrase %.40q contains an invalid byte", h.Reason)
		}
	}
	if _, parseErr := h.parseFields(rest); parseErr != nil {
		return 0, parseErr
	}
	h.Close = h.Close || h.MinorVersion == 0 && !h.KeepAlive
	if h.Status < 200 || h.Status == 204 || h.Status == 304 || string(method) == "HEAD" {
		if h.Status < 200 && (h.Chunked || h.ContentLength > 0) {
			return 0, parseErrorf(0, "a response of status %d has a body", h.Status)
		}
		h.ContentLength, h.Chunked = 0, false
	} else if h.ContentLength < 0 && !h.Chunked {
		h.Close = true // the end of the connection marks the end of the body
	}
	return end, nil
}

// reset clears the head for a new message of the given head size and keeps the capacity of Fields.
func (h *Head) reset(size int) {
	*h = Head{Fields: h.Fields[:0], ContentLength: -1, Size: size}
}

// parseVersion sets MinorVersion from the protocol version.
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

// isFieldValue reports whether v contains only bytes that are permitted in a field value.
func isFieldValue(v []byte) bool {
	for _, c := range v {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// parseFields parses the fields of a head and returns the number of Host fields.
func (h *Head) parseFields(rest []byte) (hosts int, parseErr *ParseError) {
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

// EqualFold reports whether b equals lower, ignoring the case of ASCII letters in b. The parameter lower must be in
// lower case.
func EqualFold(b []byte, lower string) bool {
	if len(b) != len(lower) {
		return false
	}
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

// ListContains reports whether a comma-separated list contains the element lower, which must be in lower case.
func ListContains(value []byte, lower string) bool {
	for len(value) > 0 {
		var element []byte
		element, value, _ = bytes.Cut(value, []byte(","))
		if EqualFold(bytes.Trim(element, " \t"), lower) {
			return true
		}
	}
	return false
}

// Get returns the value of the first field of the given lower-case name, or nil if there is none.
func (h *Head) Get(lower string) []byte {
	for _, f := range h.Fields {
		if EqualFold(f.Name, lower) {
			return f.Value
		}
	}
	return nil
}

// IsHopByHop reports whether a field applies to a single connection (RFC 9110, section 7.6.1) and must not be forwarded.
// The fields that Connection fields name are hop-by-hop, too, and are given by ConnectionOptions.
func (h *Head) IsHopByHop(f Field) bool {
	for _, name := range []string{"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding",
		"upgrade", "expect", "proxy-authenticate", "proxy-authorization"} {
		if EqualFold(f.Name, name) {
			return true
		}
	}
	return false
}

// ConnectionOptions returns the names listed in Connection fields other than close and keep-alive.
func (h *Head) ConnectionOptions() (names [][]byte) {
	for _, f := range h.Fields {
		if !EqualFold(f.Name, "connection") {
			continue
		}
		for rest := f.Value; len(rest) > 0; {
			var option []byte
			option, rest, _ = bytes.Cut(rest, []byte(","))
			if option = bytes.Trim(option, " \t"); len(option) > 0 && !EqualFold(option, "close") && !EqualFold(option, "keep-alive") {
				names = append(names, option)
			}
		}
	}
	return names
}

// ParseChunkSize parses the line that begins a chunk and returns the size of the chunk and the length of the line. It
// returns 0, 0 and no error if the line is incomplete. Chunk extensions are ignored.
func ParseChunkSize(buf []byte) (size int64, lineSize int, parseErr *ParseError) {
	end := bytes.Index(buf[:min(len(buf), 256)], crlf)
	if end < 0 {
		if len(buf) >= 256 {
			return 0, 0, parseErrorf(statusBadRequest, "the line of a chunk's size has no end")
		}
		return 0, 0, nil
	}
	digits := buf[:end]
	if i := bytes.IndexByte(digits, ';'); i >= 0 {
		if !isFieldValue(digits[i:]) {
			return 0, 0, parseErrorf(statusBadRequest, "a chunk's extension holds a byte that it may not")
		}
		digits = bytes.TrimRight(digits[:i], " \t")
	}
	if len(digits) == 0 || len(digits) > 15 {
		return 0, 0, parseErrorf(statusBadRequest, "a chunk's size %.30q is none", digits)
	}
	for _, c := range digits {
		switch {
		case '0' <= c && c <= '9':
			size = size<<4 | int64(c-'0')
		case 'a' <= c && c <= 'f':
			size = size<<4 | int64(c-'a'+10)
		case 'A' <= c && c <= 'F':
			size = size<<4 | int64(c-'A'+10)
		default:
			return 0, 0, parseErrorf(statusBadRequest, "a chunk's size %.30q is none", digits)
		}
	}
	return size, end + 2, nil
}
