package relay

import (
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	_ "vetchwood/internal/nets"
	"vetchwood/internal/settings"
	"vetchwood/internal/tables"
)

// hosts keeps connections to hosts that have ended a call well. The one used last is used first, so that the rest
// may grow idle and close.
type hosts struct {
	set   settings.RelayHosts
	most  int
	mu    sync.Mutex
	idle  map[tables.Address][]idle
	shut  bool
	dials func(network, address string, timeout time.Duration) (netpoll.Connection, error)
}

type idle struct {
	conn  netpoll.Connection
	since time.Time
}

func newHosts(set settings.RelayHosts, most int) *hosts {
	return &hosts{set: set, most: most, idle: map[tables.Address][]idle{}, dials: netpoll.NewDialer().DialConnection}
}

// get gives a connection that stands, or a new one. What it says is proof that nothing was sent.
func (h *hosts) get(a tables.Address, until time.Time) (netpoll.Connection, error) {
	h.mu.Lock()
	for all := h.idle[a]; len(all) > 0; all = h.idle[a] {
		c := all[len(all)-1].conn
		all[len(all)-1] = idle{}
		h.idle[a] = all[:len(all)-1]
		if c.IsActive() && c.Reader().Len() == 0 {
			h.mu.Unlock()
			return c, nil
		}
		c.Close()
	}
	connect := h.set.Connect
	h.mu.Unlock()
	return h.dials("tcp", string(a), min(connect, max(time.Until(until), time.Millisecond)))
}

// put takes back a connection on which nothing is owed.
func (h *hosts) put(a tables.Address, c netpoll.Connection) {
	if !c.IsActive() || c.Reader().Len() > 0 {
		c.Close()
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.shut || len(h.idle[a]) >= h.most {
		go c.Close()
		return
	}
	h.idle[a] = append(h.idle[a], idle{c, time.Now()})
}

// change puts other settings in force.
func (h *hosts) change(set settings.RelayHosts, most int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set, h.most = set, most
}

func (h *hosts) sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for a, all := range h.idle {
		kept := all[:0]
		for _, i := range all {
			if now.Sub(i.since) < h.set.Idle && i.conn.IsActive() {
				kept = append(kept, i)
			} else {
				go i.conn.Close()
			}
		}
		clear(all[len(kept):])
		if h.idle[a] = kept; len(kept) == 0 {
			delete(h.idle, a)
		}
	}
}

func (h *hosts) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shut = true
	for a, all := range h.idle {
		for _, i := range all {
			i.conn.Close()
		}
		delete(h.idle, a)
	}
}

// open is how many connections stand idle.
func (h *hosts) open() (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, all := range h.idle {
		n += len(all)
	}
	return n
}
