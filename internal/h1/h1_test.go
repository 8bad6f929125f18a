package h1

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

func TestAmbiguousRequestsAreRejected(t *testing.T) {
	for in, status := range map[string]int{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n":                                                        0,
		"GET /a HTTP/1.0\r\n\r\n":                                                                   0,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc":                               0,
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n":                         0,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n":             400,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n":             400,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\n":                               400,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\n":                                 400,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\n":                                 400,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0x3\r\n\r\n":                                400,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n":                                    400,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n":               400,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n":    400,
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n":    400,
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n":                   501,
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n":                        501,
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n": 501,
		"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n":                                    400,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\n":                                 400,
		"POST /a HTTP/1.1\r\nHost: h\r\n Content-Length: 3\r\n\r\n":                                 400,
		"POST /a HTTP/1.1\r\nHost: h\r\nA: b\nContent-Length: 3\r\n\r\n":                            400,
		"POST /a HTTP/1.1\r\nHost: h\r\nA: b\rContent-Length: 3\r\n\r\n":                            400,
		"GET /a HTTP/1.1\r\nHost: h\r\nA: b\x00\r\n\r\n":                                            400,
		"GET /a HTTP/1.1\r\n\r\n":                                                                   400,
		"GET /a HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n":                                             400,
		"GET  /a HTTP/1.1\r\nHost: h\r\n\r\n":                                                       400,
		"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n":                                                400,
		"GET /a\x7f HTTP/1.1\r\nHost: h\r\n\r\n":                                                    400,
		"G@T /a HTTP/1.1\r\nHost: h\r\n\r\n":                                                        400,
		"CONNECT /a HTTP/1.1\r\nHost: h\r\n\r\n":                                                    501,
		"GET /a HTTP/2.0\r\nHost: h\r\n\r\n":                                                        505,
		"GET /a HTTP/1.1 \r\nHost: h\r\n\r\n":                                                       400,
		"GET /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", 120) + "\r\n":                 431,
		"GET /a HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("b", 2000):                             431,
		"\r\n\r\n": 400,
	} {
		var h Head
		n, parseErr := h.ParseRequest([]byte(in), 1500)
		got := 0
		if parseErr != nil {
			got = parseErr.Status
		}
		if got != status || parseErr == nil && n == 0 {
			t.Errorf("%.90q: got error %v, want status %d", in, parseErr, status)
		}
	}
}

func TestParseResponse(t *testing.T) {
	for in, want := range map[string]struct {
		status  int
		length  int64
		closes  bool
		chunked bool
	}{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n":                       {200, 5, false, false},
		"HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n":                 {200, -1, false, true},
		"HTTP/1.1 200 OK\r\n\r\n":                                            {200, -1, true, false},
		"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n":                       {200, 5, true, false},
		"HTTP/1.1 204 No Content\r\n\r\n":                                    {204, 0, false, false},
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n":             {304, 0, false, false},
		"HTTP/1.1 503 \r\nConnection: x, Close\r\nContent-Length: 0\r\n\r\n": {503, 0, true, false},
		"HTTP/1.1 100 Continue\r\n\r\n":                                      {100, 0, false, false},
	} {
		var h Head
		n, parseErr := h.ParseResponse([]byte(in), 1500, []byte("GET"))
		if parseErr != nil || n != len(in) || h.Status != want.status || h.ContentLength != want.length || h.Close != want.closes || h.Chunked != want.chunked {
			t.Errorf("%q: error %v, parsed as %+v", in, parseErr, h)
		}
	}
	for _, in := range []string{"HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1 099 OK\r\n\r\n", "HTTP/1.1  200\r\n\r\n", "ICY 200 OK\r\n\r\nxxxx",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", "HTTP/1.1 100 Continue\r\nContent-Length: 6\r\n\r\n"} {
		var h Head
		if _, parseErr := h.ParseResponse([]byte(in), 1500, []byte("GET")); parseErr == nil {
			t.Errorf("%q was accepted", in)
		}
	}
	var h Head
	if _, parseErr := h.ParseResponse([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"), 1500, []byte("HEAD")); parseErr != nil || h.ContentLength != 0 {
		t.Errorf("response to HEAD: error %v, length %d, want 0", parseErr, h.ContentLength)
	}
}

func TestParseChunkSize(t *testing.T) {
	for in, want := range map[string][2]int64{"5\r\nhello": {5, 3}, "1F;a=b\r\n": {31, 8}, "0\r\n": {0, 3}, "5": {0, 0}, "a \t;x\r\n": {10, 7}} {
		size, line, parseErr := ParseChunkSize([]byte(in))
		if parseErr != nil || size != want[0] || int64(line) != want[1] {
			t.Errorf("%q: size %d, line length %d, error %v", in, size, line, parseErr)
		}
	}
	for _, in := range []string{"\r\n", "g\r\n", "-1\r\n", "+1\r\n", "0x1\r\n", " 1\r\n", "1 \r\n", "1;\x00\r\n", "1111111111111111\r\n", "5\n\r\n", strings.Repeat("1", 300)} {
		if _, _, parseErr := ParseChunkSize([]byte(in)); parseErr == nil {
			t.Errorf("%q was accepted", in)
		}
	}
}

// Every request that this package accepts, the standard library accepts as well, with the same framing. The library may
// accept further requests.
func FuzzRequest(f *testing.F) {
	for _, s := range []string{"GET /a?b HTTP/1.1\r\nHost: h\r\nConnection: close, x\r\n\r\n", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		var h Head
		n, parseErr := h.ParseRequest(in, 4096)
		if parseErr != nil || n == 0 {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(in)))
		if err != nil {
			if strings.Contains(err.Error(), "invalid URL escape") || strings.Contains(err.Error(), "malformed Host") || strings.Contains(err.Error(), "invalid") {
				return // The path or the host name is invalid, which hosts reject themselves; the framing is unambiguous.
			}
			t.Fatalf("%q was accepted, but the standard library rejects it: %v", in[:n], err)
		}
		length := h.ContentLength
		if length < 0 && !h.Chunked {
			length = 0
		}
		if r.Method != string(h.Method) || r.RequestURI != string(h.Target) || r.ContentLength != length || (len(r.TransferEncoding) > 0) != h.Chunked || r.Close != h.Close {
			t.Fatalf("%q: parsed as %+v, but the standard library has length %d, encoding %v, close %v", in[:n], h, r.ContentLength, r.TransferEncoding, r.Close)
		}
	})
}

func BenchmarkRequest(b *testing.B) {
	in := []byte("POST /batch/note HTTP/1.1\r\nHost: relay-1:9000\r\nUser-Agent: shop/1.0\r\nAccept: */*\r\nContent-Type: application/json\r\nIdempotency-Key: 5d1c9a\r\nContent-Length: 3\r\n\r\n")
	b.Run("h1", func(b *testing.B) {
		var h Head
		b.ReportAllocs()
		for b.Loop() {
			h.ParseRequest(in, 8192)
		}
	})
	b.Run("library", func(b *testing.B) {
		r := bytes.NewReader(nil)
		br := bufio.NewReader(nil)
		b.ReportAllocs()
		for b.Loop() {
			r.Reset(in)
			br.Reset(r)
			http.ReadRequest(br)
		}
	})
}
