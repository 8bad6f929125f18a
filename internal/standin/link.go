package standin

import (
	"bytes"
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"time"
)

// Link is one client's network path to a server, with faults of its own. It drops requests and responses alike and
// returns no error for them: as on a real network, the client only sees that no response comes.
type Link struct {
	Name string
	ln   net.Listener
	srv  *http.Server

	mu            sync.Mutex
	faults        LinkFaults
	faultsChanged chan struct{} // closed when the faults change
	rng           *rand.Rand
}

// LinkFaults are the faults in force on a link.
type LinkFaults struct {
	Cut            bool          // nothing passes
	BlockDiscovery bool          // requests for the host list do not pass
	Delay          time.Duration // added in each direction
	LossRate       float64       // fraction of requests, and of responses, that is lost
}

// linkNameKey is the context key of the name of the link by which a request came.
type linkNameKey struct{}

// NewLink opens a link to the registry.
func (r *Registry) NewLink(name string, seed uint64) (*Link, error) {
	return NewLink(name, seed, r.mux)
}

// NewLinkTo opens a link to the server at address.
func NewLinkTo(name string, seed uint64, address string) (*Link, error) {
	return NewLink(name, seed, httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address}))
}

// NewLink opens a link to a handler, on a loopback port of its own. The seed determines which messages are lost.
func NewLink(name string, seed uint64, to http.Handler) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{Name: name, ln: ln, faultsChanged: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 3))}
	l.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { l.forward(to, w, q) })}
	go l.srv.Serve(ln)
	return l, nil
}

// URL returns the address that the client is to use.
func (l *Link) URL() string { return "http://" + l.ln.Addr().String() }

// Close closes the link and its connections.
func (l *Link) Close() { l.srv.Close() }

// SetFaults replaces the faults in force. Messages that the previous faults blocked are aborted at once.
func (l *Link) SetFaults(f LinkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	close(l.faultsChanged)
	l.faultsChanged = make(chan struct{})
}

// transfer passes one message in one direction, and returns false if it is lost. A lost message blocks until the faults
// change or its context ends, so that its sender waits as for a silent network.
func (l *Link) transfer(ctx context.Context, discovery bool) bool {
	l.mu.Lock()
	f, lost := l.faults, l.rng.Float64()
	changed := l.faultsChanged
	l.mu.Unlock()
	if f.Cut || f.BlockDiscovery && discovery || lost < f.LossRate {
		select {
		case <-ctx.Done():
		case <-changed:
		}
		return false
	}
	if f.Delay > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(f.Delay):
		}
	}
	return true
}

// bufferedResponse collects a response until it is known whether the link delivers it.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (h *bufferedResponse) Header() http.Header         { return h.header }
func (h *bufferedResponse) WriteHeader(status int)      { h.status = status }
func (h *bufferedResponse) Write(b []byte) (int, error) { return h.body.Write(b) }

func (l *Link) forward(to http.Handler, w http.ResponseWriter, q *http.Request) {
	discovery := strings.HasPrefix(q.URL.Path, "/v1/health/")
	if !l.transfer(q.Context(), discovery) {
		panic(http.ErrAbortHandler)
	}
	h := &bufferedResponse{header: http.Header{}, status: http.StatusOK}
	to.ServeHTTP(h, q.WithContext(context.WithValue(q.Context(), linkNameKey{}, l.Name)))
	if !l.transfer(q.Context(), discovery) {
		panic(http.ErrAbortHandler)
	}
	maps.Copy(w.Header(), h.header)
	w.WriteHeader(h.status)
	w.Write(h.body.Bytes())
}
