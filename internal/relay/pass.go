package relay

import (
	"strconv"
	"time"

	"vetchwood/internal/admit"
	"vetchwood/internal/h1"
	"vetchwood/logic"
)

type admitTicket = admit.Ticket

var noLoad logic.Load

// pass gives a host's answer to the client: whole, or as it comes. An answer that breaks off on the way closes the
// client's connection, as nothing else would tell it.
func (s *Relay) pass(cl *client, a *answer, h *h1.Head) bool {
	closes := h.Close || s.draining.Load()
	head := statusLine(make([]byte, 0, a.head.Size+128), a.head.Status, a.head.Reason)
	head = passOn(head, &a.head)
	head = append(head, via...)
	if h.MinorVersion == 0 && !closes {
		head = append(head, "Connection: keep-alive\r\n"...)
	}
	if !a.rest {
		switch {
		case a.head.Status == 204 || a.head.Status == 304:
			if closes {
				head = append(head, "Connection: close\r\n"...)
			}
			head = append(head, "\r\n"...)
		case string(h.Method) == "HEAD":
			// Its length is that of the body which is not sent.
			if v := a.head.Get("content-length"); v != nil {
				head = append(append(append(head, "Content-Length: "...), v...), "\r\n"...)
			}
			if closes {
				head = append(head, "Connection: close\r\n"...)
			}
			head = append(head, "\r\n"...)
		default:
			head = framing(head, len(a.body), closes)
		}
		return s.write(cl, head, a.body) && !closes
	}
	return s.stream(cl, a, head, h, closes) && !closes
}

// stream passes on the rest of a long answer. HTTP/1.0 knows no chunks, so there the connection's end is the body's.
func (s *Relay) stream(cl *client, a *answer, head []byte, h *h1.Head, closes bool) (stays bool) {
	whole := false
	defer func() {
		if a.conn.Reader().Release(); !whole || a.head.Close {
			a.conn.Close()
		} else {
			s.hosts.put(a.from, a.conn)
		}
	}()
	chunks := a.left == 0 || a.chunked || a.toEnd
	switch {
	case !chunks:
		head = framing(head, int(a.left), closes)
	case h.MinorVersion == 0:
		head = append(head, "Connection: close\r\n\r\n"...)
		closes = true
	default:
		head = append(head, "Transfer-Encoding: chunked\r\n"...)
		if closes {
			head = append(head, "Connection: close\r\n"...)
		}
		head = append(head, "\r\n"...)
	}
	send := func(piece []byte) bool {
		if !chunks || h.MinorVersion == 0 {
			return s.write(cl, piece, nil)
		}
		return s.write(cl, strconv.AppendInt(nil, int64(len(piece)), 16), append(append([]byte("\r\n"), piece...), "\r\n"...))
	}
	if !s.write(cl, head, nil) || len(a.body) > 0 && !send(a.body) {
		return false
	}
	slow := func() time.Time { return time.Now().Add(s.in().Front.Slow) }
	for {
		for a.left > 0 || a.toEnd {
			err := more(a.conn, 1, slow())
			n := a.conn.Reader().Len()
			if n == 0 {
				if whole = a.toEnd && err != nil && !a.conn.IsActive(); whole {
					break
				}
				return false
			}
			if !a.toEnd {
				n = int(min(a.left, int64(n)))
			}
			piece, err := a.conn.Reader().Next(n)
			if err != nil || !send(append([]byte(nil), piece...)) {
				return false
			}
			a.left -= int64(n)
			a.conn.Reader().Release()
		}
		if !a.chunked {
			break
		}
		if crlf(a.conn, slow()) != nil {
			return false
		}
		size, err := s.chunk(a.conn, slow())
		if err != nil {
			return false
		}
		if a.left = size; size == 0 {
			break
		}
	}
	whole = true
	if chunks && h.MinorVersion == 1 {
		return s.write(cl, []byte("0\r\n\r\n"), nil)
	}
	return !closes
}
