package relay

import (
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	_ "vetchwood/internal/netutil"
	"vetchwood/internal/settings"
	"vetchwood/internal/tables"
)

// connPool keeps idle connections to hosts for reuse. It reuses the most recently used connection first, so that
// surplus connections stay idle and are closed.
type connPool struct {
	settings settings.HostConns
	maxIdle  int
	mu       sync.Mutex
	idle     map[tables.Address][]idleConn
	isClosed bool
	dial     func(network, address string, timeout time.Duration) (netpoll.Connection, error)
}

// idleConn is an idle connection and the time since which it is idle.
type idleConn struct {
	conn  netpoll.Connection
	since time.Time
}

func newConnPool(hostSettings settings.HostConns, maxIdle int) *connPool {
	return &connPool{settings: hostSettings, maxIdle: maxIdle, idle: map[tables.Address][]idleConn{}, dial: netpoll.NewDialer().DialConnection}
}

// get returns an idle connection to a host, or a new one. An error means that nothing was sent to the host.
func (p *connPool) get(host tables.Address, deadline time.Time) (netpoll.Connection, error) {
	p.mu.Lock()
	for conns := p.idle[host]; len(conns) > 0; conns = p.idle[host] {
		c := conns[len(conns)-1].conn
		conns[len(conns)-1] = idleConn{}
		p.idle[host] = conns[:len(conns)-1]
		if c.IsActive() && c.Reader().Len() == 0 {
			p.mu.Unlock()
			return c, nil
		}
		c.Close()
	}
	connect := p.settings.ConnectTimeout
	p.mu.Unlock()
	return p.dial("tcp", string(host), min(connect, max(time.Until(deadline), time.Millisecond)))
}

// put returns a connection on which no response is outstanding to the pool. It closes the connection if it is broken,
// has unread data or exceeds the maximum of idle connections for the host.
func (p *connPool) put(host tables.Address, conn netpoll.Connection) {
	if !conn.IsActive() || conn.Reader().Len() > 0 {
		conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed || len(p.idle[host]) >= p.maxIdle {
		go conn.Close()
		return
	}
	p.idle[host] = append(p.idle[host], idleConn{conn, time.Now()})
}

// configure replaces the settings.
func (p *connPool) configure(hostSettings settings.HostConns, maxIdle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings, p.maxIdle = hostSettings, maxIdle
}

// closeIdle closes connections that are broken or have been idle for the time limit.
func (p *connPool) closeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for host, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.since) < p.settings.IdleTimeout && c.conn.IsActive() {
				kept = append(kept, c)
			} else {
				go c.conn.Close()
			}
		}
		clear(conns[len(kept):])
		if p.idle[host] = kept; len(kept) == 0 {
			delete(p.idle, host)
		}
	}
}

// close closes all idle connections. Connections that are returned later are closed, too.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for host, conns := range p.idle {
		for _, c := range conns {
			c.conn.Close()
		}
		delete(p.idle, host)
	}
}

// idleCount returns the number of idle connections.
func (p *connPool) idleCount() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		n += len(conns)
	}
	return n
}
