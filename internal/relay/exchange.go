package relay

import (
	"errors"
	"strconv"
	"time"

	"github.com/cloudwego/netpoll"

	"vetchwood/internal/dispatch"
	"vetchwood/internal/h1"
	"vetchwood/internal/orca"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// response is a host's response with as much of its body as is buffered.
type response struct {
	head    h1.Head
	raw     []byte // bytes of the head, which head refers to
	body    []byte
	hasMore bool // more of the body is to be read from conn
	host    tables.Address
	conn    netpoll.Connection
	load    logic.Load
	// chunked and untilClose tell how the rest of the body is framed: in chunks, or by the end of the connection.
	chunked, untilClose bool
	remaining           int64 // unread bytes of the body, or of the current chunk
}

var errMalformed = errors.New("malformed message")

// viaHeader is added to each forwarded message.
const viaHeader = "Via: 1.1 vetchwood\r\n"

// appendRequestHead appends the head of a request as it is sent to a host, with a body of bodySize bytes.
func appendRequestHead(buf []byte, h *h1.Head, bodySize int) []byte {
	buf = append(buf, h.Method...)
	buf = append(buf, ' ')
	buf = append(buf, h.Target...)
	buf = append(buf, " HTTP/1.1\r\n"...)
	buf = appendForwardedFields(buf, h)
	if h.MinorVersion == 0 && h.Get("host") == nil {
		buf = append(buf, "Host: \r\n"...)
	}
	if bodySize > 0 || h.ContentLength == 0 || h.Chunked {
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, int64(bodySize), 10)
		buf = append(buf, "\r\n"...)
	}
	buf = append(buf, viaHeader...)
	return append(buf, "\r\n"...)
}

// appendForwardedFields appends the fields that are forwarded to the next hop. It leaves out hop-by-hop fields and
// Content-Length, as the caller frames the body.
func appendForwardedFields(buf []byte, h *h1.Head) []byte {
	connectionOptions := h.ConnectionOptions()
next:
	for _, f := range h.Fields {
		if h.IsHopByHop(f) || h1.EqualFold(f.Name, "content-length") {
			continue
		}
		for _, name := range connectionOptions {
			if h1.EqualFold(f.Name, string(toLower(name))) {
				continue next
			}
		}
		buf = append(buf, f.Name...)
		buf = append(buf, ": "...)
		buf = append(buf, f.Value...)
		buf = append(buf, "\r\n"...)
	}
	return buf
}

// toLower returns a copy of b with ASCII letters in lower case.
func toLower(b []byte) []byte {
	out := make([]byte, len(b))
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		out[i] = c
	}
	return out
}

// exchange sends a request to a host and reads its response, until the deadline of the try passes or the client
// disconnects. It returns a nil response if the head or the part of the body that is to be buffered was not received.
func (s *Relay) exchange(cl *client, try dispatch.Try, method, head, body []byte) (*response, dispatch.Failure) {
	deadline := s.timeAt(try.Deadline)
	conn, err := s.hostPool.get(try.Host, s.timeAt(min(try.Deadline, try.ArriveBy)))
	if err != nil {
		return nil, dispatch.NotSent
	}
	if !cl.setHostConn(conn) || s.now() >= try.ArriveBy {
		// Nothing is sent: the client has disconnected, or the host may no longer recognize an earlier try of the call.
		cl.setHostConn(nil)
		s.hostPool.put(try.Host, conn)
		return nil, dispatch.NotSent
	}
	res, failure := s.roundTrip(conn, deadline, method, head, body)
	if res != nil {
		res.host = try.Host
	}
	disconnected := !cl.setHostConn(nil)
	switch {
	case res == nil && disconnected:
		conn.Close()
		return nil, dispatch.Canceled
	case res == nil:
		conn.Close()
	case !res.hasMore:
		if conn.Reader().Release(); res.head.Close {
			conn.Close()
		} else {
			s.hostPool.put(try.Host, conn)
		}
	}
	return res, failure
}

// roundTrip writes a request to conn and reads the response, and classifies the outcome by the response's status.
func (s *Relay) roundTrip(conn netpoll.Connection, deadline time.Time, method, head, body []byte) (*response, dispatch.Failure) {
	w := conn.Writer()
	conn.SetWriteTimeout(max(time.Until(deadline), time.Millisecond))
	w.WriteBinary(head)
	if len(body) > 0 {
		w.WriteBinary(body)
	}
	if w.Flush() != nil {
		return nil, dispatch.NoAnswer // part of the request may have been written
	}
	res := &response{conn: conn}
	r := conn.Reader()
	for {
		size, err := awaitHead(conn, deadline, s.settings().Clients.MaxHead)
		if err != nil {
			return nil, dispatch.NoAnswer
		}
		raw, err := r.Next(size)
		if err != nil {
			return nil, dispatch.NoAnswer
		}
		res.raw = append(res.raw[:0], raw...)
		if n, w := res.head.ParseResponse(res.raw, len(res.raw)+1, method); w != nil || n != size || res.head.Status == 101 {
			return nil, dispatch.NoAnswer
		}
		if res.head.Status >= 200 {
			break
		}
	}
	if v := res.head.Get(orca.Header); v != nil {
		res.load, _ = orca.Parse(string(v))
	}
	if err := s.bufferBody(res, deadline); err != nil {
		return nil, dispatch.NoAnswer
	}
	switch res.head.Status {
	case 503, 429:
		return res, dispatch.Rejected
	case 500, 502, 504:
		return res, dispatch.ServerError
	}
	return res, noFailure
}

// noFailure is the outcome of a try that succeeded.
const noFailure dispatch.Failure = -1

// awaitHead waits for a complete message head and returns its size in bytes without consuming it.
func awaitHead(conn netpoll.Connection, deadline time.Time, maxSize int) (int, error) {
	r, searched := conn.Reader(), 0
	for {
		if n := r.Len(); n > searched {
			buf, err := r.Peek(min(n, maxSize))
			if err != nil {
				return 0, err
			}
			if size := h1.HeadEnd(buf, searched); size > 0 {
				return size, nil
			}
			if searched = len(buf); searched >= maxSize {
				return 0, errMalformed
			}
		}
		if err := awaitBytes(conn, searched+1, deadline); err != nil {
			return 0, err
		}
	}
}

// awaitBytes waits until at least n bytes can be read from conn.
func awaitBytes(conn netpoll.Connection, n int, deadline time.Time) error {
	if conn.Reader().Len() >= n {
		return nil
	}
	timeout := time.Until(deadline)
	if timeout <= 0 {
		return netpoll.ErrReadTimeout
	}
	conn.SetReadTimeout(timeout)
	_, err := conn.Reader().Peek(n)
	return err
}

// bufferBody reads the body up to the size of the buffer. A response that is buffered whole can still be replaced by
// that of a further try; the remainder of a longer one is streamed to the client.
func (s *Relay) bufferBody(res *response, deadline time.Time) error {
	r, maxBuffer := res.conn.Reader(), s.settings().HostConns.MaxBuffered
	switch {
	case res.head.Chunked:
		for {
			size, err := s.readChunkSize(res.conn, deadline)
			if err != nil {
				return err
			}
			if size == 0 {
				return nil
			}
			if int64(len(res.body))+size > int64(maxBuffer) {
				res.hasMore, res.chunked, res.remaining = true, true, size
				return nil
			}
			if res.body, err = s.readBytes(res.conn, res.body, size, deadline); err != nil {
				return err
			}
			if err := skipCRLF(res.conn, deadline); err != nil {
				return err
			}
		}
	case res.head.ContentLength >= 0:
		if res.head.ContentLength > int64(maxBuffer) {
			res.hasMore, res.remaining = true, res.head.ContentLength
			return nil
		}
		var err error
		res.body, err = s.readBytes(res.conn, nil, res.head.ContentLength, deadline)
		return err
	default:
		for {
			err := awaitBytes(res.conn, 1, deadline)
			if n := r.Len(); n > 0 {
				var readErr error
				if res.body, readErr = s.readBytes(res.conn, res.body, int64(n), deadline); readErr != nil {
					return readErr
				}
			} else if errors.Is(err, netpoll.ErrEOF) || errors.Is(err, netpoll.ErrConnClosed) {
				return nil
			} else if err != nil {
				return err
			}
			if len(res.body) > maxBuffer {
				res.hasMore, res.untilClose = true, true
				return nil
			}
		}
	}
}

// readBytes reads the remaining bytes of a body and appends them to buf.
func (s *Relay) readBytes(conn netpoll.Connection, buf []byte, remaining int64, deadline time.Time) ([]byte, error) {
	for remaining > 0 {
		if err := awaitBytes(conn, 1, deadline); err != nil && conn.Reader().Len() == 0 {
			return buf, err
		}
		part, err := conn.Reader().Next(int(min(remaining, int64(conn.Reader().Len()))))
		if err != nil {
			return buf, err
		}
		buf = append(buf, part...)
		remaining -= int64(len(part))
	}
	return buf, nil
}

// readChunkSize reads the line that begins a chunk and returns the size of the chunk. After the last chunk, of size 0,
// it also reads the trailer, which is not forwarded.
func (s *Relay) readChunkSize(conn netpoll.Connection, deadline time.Time) (int64, error) {
	r := conn.Reader()
	for {
		if n := r.Len(); n > 0 {
			buf, err := r.Peek(min(n, 256)) // h1.ParseChunkSize examines at most 256 bytes
			if err != nil {
				return 0, err
			}
			size, lineSize, parseErr := h1.ParseChunkSize(buf)
			if parseErr != nil {
				return 0, parseErr
			}
			if lineSize > 0 {
				if size > 0 {
					return size, r.Skip(lineSize)
				}
				return 0, s.skipTrailer(conn, lineSize, deadline)
			}
		}
		if err := awaitBytes(conn, r.Len()+1, deadline); err != nil {
			return 0, err
		}
	}
}

// skipTrailer skips the line of the last chunk, of lineSize bytes, and the trailer up to and including the empty line.
func (s *Relay) skipTrailer(conn netpoll.Connection, lineSize int, deadline time.Time) error {
	r := conn.Reader()
	if err := awaitBytes(conn, lineSize+2, deadline); err != nil {
		return err
	}
	buf, err := r.Peek(lineSize + 2)
	if err != nil {
		return err
	}
	if buf[lineSize] == '\r' && buf[lineSize+1] == '\n' {
		return r.Skip(lineSize + 2)
	}
	size, err := awaitHead(conn, deadline, s.settings().Clients.MaxHead)
	if err != nil {
		return err
	}
	return r.Skip(size)
}

// skipCRLF reads the CRLF that ends the data of a chunk.
func skipCRLF(conn netpoll.Connection, deadline time.Time) error {
	if err := awaitBytes(conn, 2, deadline); err != nil {
		return err
	}
	b, err := conn.Reader().Next(2)
	if err == nil && (b[0] != '\r' || b[1] != '\n') {
		err = errMalformed
	}
	return err
}
