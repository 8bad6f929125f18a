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

// Door is a client's own way to a server, with troubles of its own. It drops requests and answers alike without a word, as a
// network does.
type Link struct {
	Name string
	ln   net.Listener
	srv  *http.Server

	mu     sync.Mutex
	faults LinkFaults
	mended chan struct{} // closed when the faults change
	random *rand.Rand
}

// DoorFaults are troubles on the way.
type LinkFaults struct {
	Cut            bool          // nothing comes through
	BlockDiscovery bool          // nothing of the list
	Delay          time.Duration // each way takes longer
	LossRate       float64       // part of the requests, and of the answers, that is lost
}

// doorOf tells a handler which way its request came.
type doorOf struct{}

// Open makes another way to the registry.
func (r *Registry) NewLink(name string, seed uint64) (*Link, error) {
	return NewLink(name, seed, r.mux)
}

// Before makes a way to a server at an address.
func NewLinkTo(name string, seed uint64, address string) (*Link, error) {
	return NewLink(name, seed, httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address}))
}

// OpenDoor makes a way to a handler.
func NewLink(name string, seed uint64, to http.Handler) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Link{Name: name, ln: ln, mended: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 3))}
	d.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { d.pass(to, w, q) })}
	go d.srv.Serve(ln)
	return d, nil
}

func (d *Link) URL() string { return "http://" + d.ln.Addr().String() }
func (d *Link) Close()      { d.srv.Close() }

// Set changes the troubles from now on, also for what is on its way.
func (d *Link) SetFaults(f LinkFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = f
	close(d.mended)
	d.mended = make(chan struct{})
}

// way is one direction; false if what went by it is lost. What a cut holds up is lost too.
func (d *Link) way(ctx context.Context, list bool) bool {
	d.mu.Lock()
	f, lost := d.faults, d.random.Float64()
	mended := d.mended
	d.mu.Unlock()
	if f.Cut || f.BlockDiscovery && list || lost < f.LossRate {
		select {
		case <-ctx.Done():
		case <-mended:
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

// held is an answer that waits for its way back.
type held struct {
	head   http.Header
	status int
	body   bytes.Buffer
}

func (h *held) Header() http.Header         { return h.head }
func (h *held) WriteHeader(status int)      { h.status = status }
func (h *held) Write(b []byte) (int, error) { return h.body.Write(b) }

func (d *Link) pass(to http.Handler, w http.ResponseWriter, q *http.Request) {
	list := strings.HasPrefix(q.URL.Path, "/v1/health/")
	if !d.way(q.Context(), list) {
		panic(http.ErrAbortHandler)
	}
	h := &held{head: http.Header{}, status: http.StatusOK}
	to.ServeHTTP(h, q.WithContext(context.WithValue(q.Context(), doorOf{}, d.Name)))
	if !d.way(q.Context(), list) {
		panic(http.ErrAbortHandler)
	}
	maps.Copy(w.Header(), h.head)
	w.WriteHeader(h.status)
	w.Write(h.body.Bytes())
}
