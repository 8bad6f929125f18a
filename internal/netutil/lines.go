package netutil

import (
	"errors"
	"os"
	"time"
)

// ErrLineTooLong is returned by LineReader.Next for a line that exceeds the maximum length.
var ErrLineTooLong = errors.New("line exceeds the maximum length")

// LineReader reads lines from an outgoing connection.
type LineReader struct {
	conn     Conn
	buf      []byte
	start    int // index in buf at which the next line begins
	maxBytes int
}

// NewLineReader returns a reader of lines of up to maxBytes bytes.
func NewLineReader(c Conn, maxBytes int) *LineReader { return &LineReader{conn: c, maxBytes: maxBytes} }

// minFreeBytes is the least free space in the buffer before a read.
const minFreeBytes = 4 << 10

// Next returns the next line without its line feed. The slice is valid until the next call. The whole line must arrive
// before the deadline; if that has passed, data that has already arrived is still read, once.
func (l *LineReader) Next(deadline time.Time) ([]byte, error) {
	expired := false
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
			l.buf = nil // releases the large buffer that a long line needed
		}
		if free := cap(l.buf) - len(l.buf); free < minFreeBytes {
			l.buf = append(make([]byte, 0, 2*cap(l.buf)+minFreeBytes), l.buf...)
		}
		left := time.Until(deadline)
		if left <= 0 && expired {
			return nil, os.ErrDeadlineExceeded
		}
		expired = left <= 0
		l.conn.SetReadTimeout(max(minTimeout, left))
		n, err := l.conn.Read(l.buf[len(l.buf):cap(l.buf)])
		l.buf = l.buf[:len(l.buf)+n]
		if err != nil && n == 0 {
			return nil, err
		}
	}
}
