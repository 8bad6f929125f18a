package loadshed

import "time"

// Token bucket of a client: its capacity and its refill rate. A healthy proxy needs about 2 requests per second; a
// broken one sends requests in a tight loop.
const (
	clientBurst         = 40.0
	clientRatePerSecond = 20.0
)

// ClientLimiter limits the request rate of each client, so that a broken client does not harm the others. The limit
// does not depend on the load of the director. Each limiter is for a part of the clients: a director has one per shard.
type ClientLimiter struct {
	random     func() float64
	maxClients int
	clients    map[string]*bucket
	lastSweep  time.Duration
	rejected   uint64
}

// bucket is the token bucket of a client.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

// NewClientLimiter returns a limiter that keeps the buckets of at most maxClients clients. Clients with full buckets
// are evicted first. The function random returns numbers in [0,1).
func NewClientLimiter(random func() float64, maxClients int) *ClientLimiter {
	return &ClientLimiter{random: random, maxClients: maxClients, clients: map[string]*bucket{}}
}

// Admit reports whether a request of a client is admitted. If its bucket is empty, retryAfter is the delay after which
// the client may retry.
func (l *ClientLimiter) Admit(now time.Duration, name string) (admitted bool, retryAfter time.Duration) {
	if l.takeToken(now, name) {
		return true, 0
	}
	l.rejected++
	return false, randomDelay(l.random, time.Second)
}

// Rejected returns the number of rejected requests.
func (l *ClientLimiter) Rejected() uint64 { return l.rejected }

// takeToken takes a token from the bucket of a client and returns false if the bucket is empty.
func (l *ClientLimiter) takeToken(now time.Duration, name string) bool {
	c := l.clients[name]
	if c == nil {
		if len(l.clients) >= l.maxClients {
			l.sweep(now, 0)
		}
		c = &bucket{tokens: clientBurst, updatedAt: now}
		l.clients[name] = c
	}
	c.tokens = min(clientBurst, c.tokens+clientRatePerSecond*(now-c.updatedAt).Seconds())
	c.updatedAt = now
	if now-l.lastSweep > 10*time.Second {
		l.sweep(now, 10*time.Second)
	}
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// sweep removes buckets that are full again and were unused for minIdle: a new bucket is equal to them.
func (l *ClientLimiter) sweep(now, minIdle time.Duration) {
	l.lastSweep = now
	for name, c := range l.clients {
		if c.tokens+clientRatePerSecond*(now-c.updatedAt).Seconds() >= clientBurst && now-c.updatedAt >= minIdle {
			delete(l.clients, name)
		}
	}
	// If that does not make room, arbitrary clients lose their buckets. They start with a full one again, which harms no
	// other client.
	for name := range l.clients {
		if len(l.clients) < l.maxClients {
			break
		}
		delete(l.clients, name)
	}
}
