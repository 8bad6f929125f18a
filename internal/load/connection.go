package load

import (
	"bufio"
	"net"
	"strconv"
	"sync"
	"time"

	"vetchwood/internal/h1"
)

// pendingRequest is a request without a response yet.
type pendingRequest struct {
	dueAt  time.Duration
	kind   Kind
	second *Second
	proxy  uint64
}

// result is the outcome of a request.
type result struct {
	pendingRequest
	status int // 0: no response
	etag   string
	body   []byte // valid until the next response
}

// connection is a connection to the director that is opened when needed. Responses come in the order of the requests,
// of which several may be pending.
type connection struct {
	index     int
	address   string
	timeLimit time.Duration
	onResult  func(*connection, result)

	mu      sync.Mutex
	conn    net.Conn
	dialing bool
	pending []pendingRequest // oldest first
	timer   *time.Timer
}

// send writes the text of requests, opening the connection if necessary. Requests that cannot be sent have failed.
func (c *connection) send(text []byte, requests ...pendingRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, c.timeLimit)
		if c.dialing = false; err != nil {
			c.mu.Unlock()
			for _, request := range requests {
				c.onResult(c, result{pendingRequest: request})
			}
			c.mu.Lock()
			return
		}
		c.conn = conn
		go c.readResponses(conn)
	}
	c.pending = append(c.pending, requests...)
	conn := c.conn
	conn.SetWriteDeadline(time.Now().Add(c.timeLimit))
	if _, err := conn.Write(text); err != nil {
		conn.Close() // readResponses reports the pending requests as failed
	}
}

// readResponses reads responses until the connection ends. Requests that are pending then have failed.
func (c *connection) readResponses(conn net.Conn) {
	in := bufio.NewReaderSize(conn, 1<<10)
	var head h1.Head
	var body []byte
	for {
		text, err := readHead(in)
		if err != nil {
			break
		}
		n, parseErr := head.ParseResponse(text, 1<<16, nil)
		if parseErr != nil || n == 0 || head.Chunked || head.ContentLength < 0 {
			break
		}
		res := result{status: head.Status, etag: string(head.Get("etag"))}
		closes, length := head.Close, int(head.ContentLength)
		in.Discard(n)
		if cap(body) < length {
			body = make([]byte, length)
		}
		res.body = body[:length]
		if _, err = readFull(in, res.body); err != nil {
			break
		}
		c.mu.Lock()
		if len(c.pending) == 0 || c.conn != conn {
			c.mu.Unlock()
			break
		}
		res.pendingRequest = c.pending[0]
		if c.pending = c.pending[1:]; len(c.pending) == 0 {
			c.pending = nil
		}
		c.mu.Unlock()
		c.onResult(c, res)
		if closes {
			break
		}
	}
	conn.Close()
	c.mu.Lock()
	var unanswered []pendingRequest
	if c.conn == conn {
		unanswered, c.pending, c.conn = c.pending, nil, nil
	}
	c.mu.Unlock()
	for _, request := range unanswered {
		c.onResult(c, result{pendingRequest: request})
	}
}

// closeIfLate closes the connection if its oldest request has been pending for longer than the time limit. Pending
// polls are exempt.
func (c *connection) closeIfLate(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 && c.pending[0].kind != PendingPolls && now-c.pending[0].dueAt > c.timeLimit && c.conn != nil {
		c.conn.Close()
	}
}

// close closes the connection if it is open.
func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
	}
}

// readHead returns the head of a response without consuming it.
func readHead(in *bufio.Reader) ([]byte, error) {
	for from := 0; ; {
		if _, err := in.Peek(from + 1); err != nil {
			return nil, err
		}
		text, _ := in.Peek(in.Buffered())
		if end := h1.HeadEnd(text, from); end > 0 {
			return text[:end], nil
		}
		if from = len(text); from >= in.Size() {
			return nil, bufio.ErrBufferFull
		}
	}
}

// readFull fills b.
func readFull(in *bufio.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var m int
		m, err = in.Read(b[n:])
		n += m
	}
	return n, err
}

// appendRequest appends the text of a request to text. InitialPolls do not send the tag.
func appendRequest(text []byte, k Kind, name, zone, tag string) []byte {
	if k == Reports {
		body := `{"node":{"id":` + strconv.Quote(name) + `}}`
		text = append(text, "POST /v1/proxies/"+name+"/reports HTTP/1.1\r\nHost: d\r\nContent-Type: application/json\r\nContent-Length: "...)
		text = strconv.AppendInt(text, int64(len(body)), 10)
		text = append(text, "\r\n\r\n"...)
		return append(text, body...)
	}
	text = append(text, "GET /v1/proxies/"+name+"/tables"...)
	if zone != "" {
		text = append(text, "?zone="+zone...)
	}
	text = append(text, " HTTP/1.1\r\nHost: d\r\nA-IM: json-patch\r\n"...)
	if k == PendingPolls {
		text = append(text, "Prefer: wait=30\r\n"...)
	}
	if tag != "" && k != InitialPolls {
		text = append(text, "If-None-Match: "+tag+"\r\n"...)
	}
	return append(text, "\r\n"...)
}
