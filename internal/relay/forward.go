package relay

import (
	"strconv"
	"time"

	"vetchwood/internal/admission"
	"vetchwood/internal/h1"
	"vetchwood/logic"
)

// ticket identifies a queued call.
type ticket = admission.Ticket

// noLoad is the load of a host whose response reports none.
var noLoad logic.Load

// forwardResponse sends a host's response to the client and reports whether the client's connection can be used for
// another request. If the response breaks off midway, the client's connection is closed, as there is no other way to
// signal the failure.
func (s *Relay) forwardResponse(cl *client, res *response, h *h1.Head) bool {
	closes := h.Close || s.draining.Load()
	head := appendStatusLine(make([]byte, 0, res.head.Size+128), res.head.Status, res.head.Reason)
	head = appendForwardedFields(head, &res.head)
	head = append(head, viaHeader...)
	if h.MinorVersion == 0 && !closes {
		head = append(head, "Connection: keep-alive\r\n"...)
	}
	if !res.hasMore {
		switch {
		case res.head.Status == 204 || res.head.Status == 304:
			if closes {
				head = append(head, "Connection: close\r\n"...)
			}
			head = append(head, "\r\n"...)
		case string(h.Method) == "HEAD":
			// Content-Length is that of the body that a GET would return.
			if v := res.head.Get("content-length"); v != nil {
				head = append(append(append(head, "Content-Length: "...), v...), "\r\n"...)
			}
			if closes {
				head = append(head, "Connection: close\r\n"...)
			}
			head = append(head, "\r\n"...)
		default:
			head = appendFraming(head, len(res.body), closes)
		}
		return s.write(cl, head, res.body) && !closes
	}
	return s.streamBody(cl, res, head, h, closes) && !closes
}

// streamBody sends a response that exceeds the buffer as it is received. HTTP/1.0 has no chunked encoding, so for such a
// client the end of the connection marks the end of a body of unknown length. The result is as for forwardResponse.
func (s *Relay) streamBody(cl *client, res *response, head []byte, h *h1.Head, closes bool) (keepOpen bool) {
	complete := false
	defer func() {
		if res.conn.Reader().Release(); !complete || res.head.Close {
			res.conn.Close()
		} else {
			s.hostPool.put(res.host, res.conn)
		}
	}()
	chunked := res.remaining == 0 || res.chunked || res.untilClose
	switch {
	case !chunked:
		head = appendFraming(head, int(res.remaining), closes)
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
	send := func(data []byte) bool {
		if !chunked || h.MinorVersion == 0 {
			return s.write(cl, data, nil)
		}
		return s.write(cl, strconv.AppendInt(nil, int64(len(data)), 16), append(append([]byte("\r\n"), data...), "\r\n"...))
	}
	if !s.write(cl, head, nil) || len(res.body) > 0 && !send(res.body) {
		return false
	}
	deadline := func() time.Time { return time.Now().Add(s.settings().Clients.RequestTimeout) }
	for {
		for res.remaining > 0 || res.untilClose {
			err := awaitBytes(res.conn, 1, deadline())
			n := res.conn.Reader().Len()
			if n == 0 {
				if complete = res.untilClose && err != nil && !res.conn.IsActive(); complete {
					break
				}
				return false
			}
			if !res.untilClose {
				n = int(min(res.remaining, int64(n)))
			}
			data, err := res.conn.Reader().Next(n)
			if err != nil || !send(append([]byte(nil), data...)) {
				return false
			}
			res.remaining -= int64(n)
			res.conn.Reader().Release()
		}
		if !res.chunked {
			break
		}
		if skipCRLF(res.conn, deadline()) != nil {
			return false
		}
		size, err := s.readChunkSize(res.conn, deadline())
		if err != nil {
			return false
		}
		if res.remaining = size; size == 0 {
			break
		}
	}
	complete = true
	if chunked && h.MinorVersion == 1 {
		return s.write(cl, []byte("0\r\n\r\n"), nil)
	}
	return !closes
}
