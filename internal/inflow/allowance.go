package inflow

import "time"

// Of one client: so many requests at once and a second. A proxy needs two a second or so; one that is broken asks without end.
const (
	clientBurst = 40.0
	clientRate  = 20.0
)

// Allowances are those of a part of the clients: a broken one harms none, whatever the state of the director.
type ClientLimiter struct {
	chance  func() float64
	most    int
	clients map[string]*client
	swept   time.Duration
	limited uint64
}

type client struct {
	credit float64
	at     time.Duration
}

// NewAllowances remembers so many clients at most. Those that ask little are forgotten first.
func NewClientLimiter(chance func() float64, most int) *ClientLimiter {
	return &ClientLimiter{chance: chance, most: most, clients: map[string]*client{}}
}

// Admit takes a request from a client's allowance; if it has none left, the request may come again later.
func (a *ClientLimiter) Admit(now time.Duration, name string) (in bool, later time.Duration) {
	if a.has(now, name) {
		return true, 0
	}
	a.limited++
	return false, spread(a.chance, time.Second)
}

// Limited counts requests that were sent away.
func (a *ClientLimiter) Rejected() uint64 { return a.limited }

func (a *ClientLimiter) has(now time.Duration, name string) bool {
	c := a.clients[name]
	if c == nil {
		if len(a.clients) >= a.most {
			a.sweep(now, 0)
		}
		c = &client{credit: clientBurst, at: now}
		a.clients[name] = c
	}
	c.credit = min(clientBurst, c.credit+clientRate*(now-c.at).Seconds())
	c.at = now
	if now-a.swept > 10*time.Second {
		a.sweep(now, 10*time.Second)
	}
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}

// sweep forgets clients whose allowance is whole again: they are as good as new.
func (a *ClientLimiter) sweep(now, quiet time.Duration) {
	a.swept = now
	for name, c := range a.clients {
		if c.credit+clientRate*(now-c.at).Seconds() >= clientBurst && now-c.at >= quiet {
			delete(a.clients, name)
		}
	}
	for name := range a.clients { // all are busy: some lose what they had used up, which harms nobody
		if len(a.clients) < a.most {
			break
		}
		delete(a.clients, name)
	}
}
