package relay

import (
	"errors"
	"strconv"
	"time"

	"github.com/cloudwego/netpoll"

	"vetchwood/internal/carry"
	"vetchwood/internal/h1"
	"vetchwood/internal/orca"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// answer is what a host said, as far as it is held. Rest says that more of the body is to come from conn.
type answer struct {
	head h1.Head
	raw  []byte // the head's bytes, which head points into
	body []byte
	rest bool
	from tables.Address
	conn netpoll.Connection
	load logic.Load
	chunked,
	toEnd bool // the rest ends with the connection
	left int64 // of a body with a length
}

var errHead = errors.New("the answer can't be read")

// via is what a message is marked with on its way through.
const via = "Via: 1.1 vetchwood\r\n"

// render writes a request's head as it goes to a host.
func render(to []byte, h *h1.Head, body int) []byte {
	to = append(to, h.Method...)
	to = append(to, ' ')
	to = append(to, h.Target...)
	to = append(to, " HTTP/1.1\r\n"...)
	to = passOn(to, h)
	if h.MinorVersion == 0 && h.Get("host") == nil {
		to = append(to, "Host: \r\n"...)
	}
	if body > 0 || h.ContentLength == 0 || h.Chunked {
		to = append(to, "Content-Length: "...)
		to = strconv.AppendInt(to, int64(body), 10)
		to = append(to, "\r\n"...)
	}
	to = append(to, via...)
	return append(to, "\r\n"...)
}

// passOn writes the fields that go on to the next hop, without the body's framing.
func passOn(to []byte, h *h1.Head) []byte {
	listed := h.ConnectionOptions()
next:
	for _, f := range h.Fields {
		if h.IsHopByHop(f) || h1.EqualFold(f.Name, "content-length") {
			continue
		}
		for _, name := range listed {
			if h1.EqualFold(f.Name, string(lower(name))) {
				continue next
			}
		}
		to = append(to, f.Name...)
		to = append(to, ": "...)
		to = append(to, f.Value...)
		to = append(to, "\r\n"...)
	}
	return to
}

func lower(b []byte) []byte {
	out := make([]byte, len(b))
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		out[i] = c
	}
	return out
}

// exchange sends a request to a host and reads its answer, until the time of the try is over or the client is gone.
func (s *Relay) exchange(cl *client, t carry.Try, method, head, body []byte) (*answer, carry.Failure) {
	until := s.at(t.Until)
	conn, err := s.hosts.get(t.Host, s.at(min(t.Until, t.Sent)))
	if err != nil {
		return nil, carry.NotSent
	}
	if !cl.calls(conn) || s.now() >= t.Sent { // the client is gone, or the time in which the host knows an earlier try
		cl.calls(nil)
		s.hosts.put(t.Host, conn)
		return nil, carry.NotSent
	}
	a, f := s.converse(conn, until, method, head, body)
	if a != nil {
		a.from = t.Host
	}
	gone := !cl.calls(nil)
	switch {
	case a == nil && gone:
		conn.Close()
		return nil, carry.Abandoned
	case a == nil:
		conn.Close()
	case !a.rest:
		if conn.Reader().Release(); a.head.Close {
			conn.Close()
		} else {
			s.hosts.put(t.Host, conn)
		}
	}
	return a, f
}

func (s *Relay) converse(conn netpoll.Connection, until time.Time, method, head, body []byte) (*answer, carry.Failure) {
	w := conn.Writer()
	conn.SetWriteTimeout(max(time.Until(until), time.Millisecond))
	w.WriteBinary(head)
	if len(body) > 0 {
		w.WriteBinary(body)
	}
	if w.Flush() != nil {
		return nil, carry.Unclear // some of it may have been written
	}
	a := &answer{conn: conn}
	r := conn.Reader()
	for {
		size, err := headSize(conn, until, s.in().Front.MostHead)
		if err != nil {
			return nil, carry.Unclear
		}
		raw, err := r.Next(size)
		if err != nil {
			return nil, carry.Unclear
		}
		a.raw = append(a.raw[:0], raw...)
		if n, w := a.head.ParseResponse(a.raw, len(a.raw)+1, method); w != nil || n != size || a.head.Status == 101 {
			return nil, carry.Unclear
		}
		if a.head.Status >= 200 {
			break
		}
	}
	if v := a.head.Get(orca.Header); v != nil {
		a.load, _ = orca.Parse(string(v))
	}
	if err := s.hold(a, until); err != nil {
		return nil, carry.Unclear
	}
	switch a.head.Status {
	case 503, 429:
		return a, carry.Busy
	case 500, 502, 504:
		return a, carry.Errored
	}
	return a, answered
}

// answered is no failure.
const answered carry.Failure = -1

// headSize waits for a whole head and gives its size. Nothing is taken off.
func headSize(conn netpoll.Connection, until time.Time, most int) (int, error) {
	r, looked := conn.Reader(), 0
	for {
		if n := r.Len(); n > looked {
			buf, err := r.Peek(min(n, most))
			if err != nil {
				return 0, err
			}
			if size := h1.HeadEnd(buf, looked); size > 0 {
				return size, nil
			}
			if looked = len(buf); looked >= most {
				return 0, errHead
			}
		}
		if err := more(conn, looked+1, until); err != nil {
			return 0, err
		}
	}
}

// more waits until so many bytes are there.
func more(conn netpoll.Connection, n int, until time.Time) error {
	if conn.Reader().Len() >= n {
		return nil
	}
	left := time.Until(until)
	if left <= 0 {
		return netpoll.ErrReadTimeout
	}
	conn.SetReadTimeout(left)
	_, err := conn.Reader().Peek(n)
	return err
}

// hold reads the body as far as the buffer goes. What is whole can still be replaced by another try's; what is not goes
// to the client as it comes.
func (s *Relay) hold(a *answer, until time.Time) error {
	r, most := a.conn.Reader(), s.in().Hosts.Buffer
	switch {
	case a.head.Chunked:
		for {
			size, err := s.chunk(a.conn, until)
			if err != nil {
				return err
			}
			if size == 0 {
				return nil
			}
			if int64(len(a.body))+size > int64(most) {
				a.rest, a.chunked, a.left = true, true, size
				return nil
			}
			if a.body, err = s.read(a.conn, a.body, size, until); err != nil {
				return err
			}
			if err := crlf(a.conn, until); err != nil {
				return err
			}
		}
	case a.head.ContentLength >= 0:
		if a.head.ContentLength > int64(most) {
			a.rest, a.left = true, a.head.ContentLength
			return nil
		}
		var err error
		a.body, err = s.read(a.conn, nil, a.head.ContentLength, until)
		return err
	default:
		for {
			err := more(a.conn, 1, until)
			if n := r.Len(); n > 0 {
				var wrong error
				if a.body, wrong = s.read(a.conn, a.body, int64(n), until); wrong != nil {
					return wrong
				}
			} else if errors.Is(err, netpoll.ErrEOF) || errors.Is(err, netpoll.ErrConnClosed) {
				return nil
			} else if err != nil {
				return err
			}
			if len(a.body) > most {
				a.rest, a.toEnd = true, true
				return nil
			}
		}
	}
}

// read takes so many bytes of a body.
func (s *Relay) read(conn netpoll.Connection, to []byte, n int64, until time.Time) ([]byte, error) {
	for n > 0 {
		if err := more(conn, 1, until); err != nil && conn.Reader().Len() == 0 {
			return to, err
		}
		piece, err := conn.Reader().Next(int(min(n, int64(conn.Reader().Len()))))
		if err != nil {
			return to, err
		}
		to = append(to, piece...)
		n -= int64(len(piece))
	}
	return to, nil
}

// chunk takes the line that begins a chunk; with the last one the trailer too, which is not passed on.
func (s *Relay) chunk(conn netpoll.Connection, until time.Time) (int64, error) {
	r := conn.Reader()
	for {
		if n := r.Len(); n > 0 {
			buf, err := r.Peek(min(n, 256))
			if err != nil {
				return 0, err
			}
			size, line, w := h1.ParseChunkSize(buf)
			if w != nil {
				return 0, w
			}
			if line > 0 {
				if size > 0 {
					return size, r.Skip(line)
				}
				return 0, s.trailer(conn, line, until)
			}
		}
		if err := more(conn, r.Len()+1, until); err != nil {
			return 0, err
		}
	}
}

// trailer takes the last chunk's line and what stands behind it, to the empty line.
func (s *Relay) trailer(conn netpoll.Connection, line int, until time.Time) error {
	r := conn.Reader()
	if err := more(conn, line+2, until); err != nil {
		return err
	}
	buf, err := r.Peek(line + 2)
	if err != nil {
		return err
	}
	if buf[line] == '\r' && buf[line+1] == '\n' {
		return r.Skip(line + 2)
	}
	size, err := headSize(conn, until, s.in().Front.MostHead)
	if err != nil {
		return err
	}
	return r.Skip(size)
}

func crlf(conn netpoll.Connection, until time.Time) error {
	if err := more(conn, 2, until); err != nil {
		return err
	}
	b, err := conn.Reader().Next(2)
	if err == nil && (b[0] != '\r' || b[1] != '\n') {
		err = errHead
	}
	return err
}
