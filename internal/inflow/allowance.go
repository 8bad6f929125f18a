package inflow

import "time"

// Of one client: so many requests at once and a second. A proxy needs two a second or so; one that is broken asks without end.
const (
	clientBurst         = 40.0
	clientRatePerSecond = 20.0
)

// Allowances are those of a part of the clients: a broken one harms none, whatever the state of the director.
type ClientLimiter struct {
	random     func() float64
	maxClients int
	clients    map[string]*bucket
	lastSweep  time.Duration
	rejected   uint64
}

type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

// NewAllowances remembers so many clients at most. Those that ask little are forgotten first.
func NewClientLimiter(chance func() float64, most int) *ClientLimiter {
	return &ClientLimiter{random: chance, maxClients: most, clients: map[string]*bucket{}}
}

// Admit takes a request from a client's allowance; if it has none left, the request may come again later.
func (a *ClientLimiter) Admit(now time.Duration, name string) (in bool, later time.Duration) {
	if a.takeToken(now, name) {
		return true, 0
	}
	a.rejected++
	return false, randomDelay(a.random, time.Second)
}

// Limited counts requests that were sent away.
func (a *ClientLimiter) Rejected() uint64 { return a.rejected }

func (a *ClientLimiter) takeToken(now time.Duration, name string) bool {
	c := a.clients[name]
	if c == nil {
		if len(a.clients) >= a.maxClients {
			a.sweep(now, 0)
		}
		c = &bucket{tokens: clientBurst, updatedAt: now}
		a.clients[name] = c
	}
	c.tokens = min(clientBurst, c.tokens+clientRatePerSecond*(now-c.updatedAt).Seconds())
	c.updatedAt = now
	if now-a.lastSweep > 10*time.Second {
		a.sweep(now, 10*time.Second)
	}
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// sweep forgets clients whose allowance is whole again: they are as good as new.
func (a *ClientLimiter) sweep(now, quiet time.Duration) {
	a.lastSweep = now
	for name, c := range a.clients {
		if c.tokens+clientRatePerSecond*(now-c.updatedAt).Seconds() >= clientBurst && now-c.updatedAt >= quiet {
			delete(a.clients, name)
		}
	}
	for name := range a.clients { // all are busy: some lose what they had used up, which harms nobody
		if len(a.clients) < a.maxClients {
			break
		}
		delete(a.clients, name)
	}
}
