package nets

import (
	"errors"
	"os"
	"time"
)

// ErrLong is a line that is longer than it may be.
var ErrLineTooLong = errors.New("a line is longer than it may be")

// Lines reads the lines of a connection that we opened. What it gives is good until the next call.
type LineReader struct {
	conn     Conn
	buf      []byte
	start    int // where the next line begins
	maxBytes int
}

func NewLineReader(c Conn, most int) *LineReader { return &LineReader{conn: c, maxBytes: most} }

const minFreeBytes = 4 << 10

// Next gives the next line without its end; it must come whole by then. What has come already when that is over is
// still read, once.
func (l *LineReader) Next(by time.Time) ([]byte, error) {
	over := false
	for at := l.start; ; {
		for ; at < len(l.buf); at++ {
			if l.buf[at] == '\n' {
				line := l.buf[l.start:at]
				l.start = at + 1
				return line, nil
			}
		}
		if len(l.buf)-l.start > l.maxBytes {
			return nil, ErrLineTooLong
		}
		if l.start > 0 {
			at -= l.start
			l.buf = l.buf[:copy(l.buf, l.buf[l.start:])]
			l.start = 0
		}
		if len(l.buf) == 0 && cap(l.buf) > 16*minFreeBytes {
			l.buf = nil // one long line is no reason to keep as much
		}
		if free := cap(l.buf) - len(l.buf); free < minFreeBytes {
			l.buf = append(make([]byte, 0, 2*cap(l.buf)+minFreeBytes), l.buf...)
		}
		left := time.Until(by)
		if left <= 0 && over {
			return nil, os.ErrDeadlineExceeded
		}
		over = left <= 0
		l.conn.SetReadTimeout(max(minTimeout, left))
		n, err := l.conn.Read(l.buf[len(l.buf):cap(l.buf)])
		l.buf = l.buf[:len(l.buf)+n]
		if err != nil && n == 0 {
			return nil, err
		}
	}
}
