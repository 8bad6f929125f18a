// Package budget decides what a director may hold for its clients, so that it stays within the memory and the descriptors that it
// has: how many connections, how many bytes of requests that are half read and answers that are half sent, and who goes when there is
// no more room. No I/O, no clock.
package budget

import "sync"

// Means are what the machine gives the process.
type Means struct {
	Memory      int64 // bytes
	Descriptors int
}

// Unlimited is for where nothing is to be bounded.
var Unlimited = Means{Memory: 1 << 50, Descriptors: 1 << 40}

// Client names one that holds something.
type Client uint64

// Shares are what follows from the means.
type Shares struct {
	Connections int   // of all fronts; past it accepting pauses
	Bytes       int64 // that all clients hold together
	Soft, Hard  int64 // live heap at which nobody new comes in; at which those who hold most go
}

const (
	// spare descriptors are for the store, the list, probes, other directors and operators: a director that can't open a socket for a
	// probe would take healthy hosts for dead.
	spareLeast = 64
	sparePart  = 0.05
	// perConnection is what one that waits may cost, and a little more: 5 KB of it were measured.
	perConnection = 12 << 10
)

// Of gives the shares. Half of the memory is for connections, a fifth for what they hold; the rest is for versions and the module.
func (m Means) Of() Shares {
	s := Shares{Connections: max(1, m.Descriptors-max(spareLeast, int(sparePart*float64(m.Descriptors)))), Bytes: m.Memory / 5,
		Soft: m.Memory / 100 * 75, Hard: m.Memory / 100 * 85}
	s.Connections = min(s.Connections, int(m.Memory/2/perConnection))
	return s
}

// Ledger is one process's. Any goroutine may ask it.
type Ledger struct {
	mu      sync.Mutex
	shares  Shares
	open    int
	held    map[Client]int64
	bytes   int64
	heap    int64
	figures Figures
	cut     func(Client)
}

// Figures are counted for the operator.
type Figures struct {
	Shares
	Open         int
	Held         int64
	Paused       bool
	Pauses, Cuts uint64
	Heap         int64
}

func New(m Means) *Ledger { return &Ledger{shares: m.Of(), held: map[Client]int64{}} }

// Have says what the machine gives from now on. What is held beyond it goes as it is touched next.
func (l *Ledger) Have(m Means) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares = m.Of()
}

// Cuts says how a client's connection is closed. It is called before anything is held.
func (l *Ledger) Cuts(by func(Client)) { l.cut = by }

func (l *Ledger) close(all []Client) {
	for _, c := range all {
		if l.cut != nil {
			l.cut(c)
		}
	}
}

// May says whether one more connection may be accepted; if not, accepting pauses and is tried again. Began says that it pauses now.
func (l *Ledger) May() (may, began bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if may = l.open < l.shares.Connections && l.heap < l.shares.Soft; may {
		l.figures.Paused = false
		return true, false
	}
	if began = !l.figures.Paused; began {
		l.figures.Paused = true
		l.figures.Pauses++
	}
	return false, began
}

// Opened and Closed count connections, each by the front that has it.
func (l *Ledger) Opened() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
}

// Closed forgets what the client held, too.
func (l *Ledger) Closed(c Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.bytes -= l.held[c]
	delete(l.held, c)
}

// Hold says how many bytes are held for a client from now on. Where all hold too much, those that hold most are cut. A client that
// sends its request whole, or reads its answer, holds nothing and is never among them.
func (l *Ledger) Hold(c Client, n int64) (cut []Client) {
	defer func() { l.close(cut) }()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += n - l.held[c]
	if l.held[c] = n; n == 0 {
		delete(l.held, c)
	}
	return l.relieve(l.shares.Bytes)
}

// Heap tells how much is live, as last seen. Where it is too much, half of what clients hold goes.
func (l *Ledger) Heap(live int64) (cut []Client) {
	defer func() { l.close(cut) }()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heap = live; live >= l.shares.Hard {
		return l.relieve(l.bytes / 2)
	}
	return nil
}

// relieve takes those that hold most until no more than so much is held.
func (l *Ledger) relieve(to int64) (cut []Client) {
	for l.bytes > to && len(l.held) > 0 {
		var worst Client
		for c, n := range l.held {
			if m := l.held[worst]; n > m || n == m && c < worst || m == 0 {
				worst = c
			}
		}
		l.bytes -= l.held[worst]
		delete(l.held, worst)
		cut = append(cut, worst)
		l.figures.Cuts++
	}
	return cut
}

// Takes says whether a request that can be put off is taken: not while memory is short.
func (l *Ledger) Takes() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heap < l.shares.Soft
}

// Figures are those of now.
func (l *Ledger) Figures() Figures {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.figures
	f.Shares, f.Open, f.Held, f.Heap = l.shares, l.open, l.bytes, l.heap
	return f
}
