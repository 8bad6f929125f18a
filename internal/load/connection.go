package load

import (
	"bufio"
	"net"
	"strconv"
	"sync"
	"time"

	"vetchwood/internal/h1"
)

// asked is a request that is yet to be answered.
type pendingRequest struct {
	due    time.Duration
	kind   Kind
	second *Second
	proxy  uint64
}

// fate is what became of one.
type result struct {
	pendingRequest
	status int // 0: it failed
	etag   string
	body   []byte // valid until the next answer
}

// line is a connection. What is sent on it is answered in order, and several may be in hand.
type connection struct {
	index     int
	address   string
	timeLimit time.Duration
	onResult  func(*connection, result)

	mu      sync.Mutex
	conn    net.Conn
	dialing bool
	pending []pendingRequest // in hand, oldest first
	watch   *time.Timer
}

// send writes requests that are already put into words. What can't be sent has failed.
func (l *connection) send(text []byte, all ...pendingRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		c, err := net.DialTimeout("tcp", l.address, l.timeLimit)
		if l.dialing = false; err != nil {
			l.mu.Unlock()
			for _, a := range all {
				l.onResult(l, result{pendingRequest: a})
			}
			l.mu.Lock()
			return
		}
		l.conn = c
		go l.readResponses(c)
	}
	l.pending = append(l.pending, all...)
	c := l.conn
	c.SetWriteDeadline(time.Now().Add(l.timeLimit))
	if _, err := c.Write(text); err != nil {
		c.Close() // its reader tells of what was in hand
	}
}

// read takes answers until the connection ends.
func (l *connection) readResponses(c net.Conn) {
	in := bufio.NewReaderSize(c, 1<<10)
	var head h1.Head
	var body []byte
	for {
		text, err := readHead(in)
		if err != nil {
			break
		}
		n, wrong := head.ParseResponse(text, 1<<16, nil)
		if wrong != nil || n == 0 || head.Chunked || head.ContentLength < 0 {
			break
		}
		f := result{status: head.Status, etag: string(head.Get("etag"))}
		closes, length := head.Close, int(head.ContentLength)
		in.Discard(n)
		if cap(body) < length {
			body = make([]byte, length)
		}
		f.body = body[:length]
		if _, err = readFull(in, f.body); err != nil {
			break
		}
		l.mu.Lock()
		if len(l.pending) == 0 || l.conn != c {
			l.mu.Unlock()
			break
		}
		f.pendingRequest = l.pending[0]
		if l.pending = l.pending[1:]; len(l.pending) == 0 {
			l.pending = nil
		}
		l.mu.Unlock()
		l.onResult(l, f)
		if closes {
			break
		}
	}
	c.Close()
	l.mu.Lock()
	var lost []pendingRequest
	if l.conn == c {
		lost, l.pending, l.conn = l.pending, nil, nil
	}
	l.mu.Unlock()
	for _, a := range lost {
		l.onResult(l, result{pendingRequest: a})
	}
}

// late ends a connection whose oldest request has waited too long.
func (l *connection) closeIfLate(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) > 0 && l.pending[0].kind != PendingPolls && now-l.pending[0].due > l.timeLimit && l.conn != nil {
		l.conn.Close()
	}
}

func (l *connection) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
	}
}

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

func readFull(in *bufio.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var m int
		m, err = in.Read(b[n:])
		n += m
	}
	return n, err
}

// request puts one into words.
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
