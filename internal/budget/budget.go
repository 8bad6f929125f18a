// Package budget decides what a director may hold for its clients, so that it stays within the memory and the descriptors that it
// has: how many connections, how many bytes of requests that are half read and answers that are half sent, and who goes when there is
// no more room. No I/O, no clock.
package budget

import "sync"

// Means are what the machine gives the process.
type Resources struct {
	Memory      int64 // bytes
	Descriptors int
}

// Unlimited is for where nothing is to be bounded.
var Unlimited = Resources{Memory: 1 << 50, Descriptors: 1 << 40}

// Client names one that holds something.
type ClientID uint64

// Shares are what follows from the means.
type Limits struct {
	MaxConnections     int   // of all fronts; past it accepting pauses
	MaxHeldBytes       int64 // that all clients hold together
	SoftHeap, HardHeap int64 // live heap at which nobody new comes in; at which those who hold most go
}

const (
	// spare descriptors are for the store, the list, probes, other directors and operators: a director that can't open a socket for a
	// probe would take healthy hosts for dead.
	minSpareDescriptors  = 64
	spareDescriptorShare = 0.05
	// perConnection is what one that waits may cost, and a little more: 5 KB of it were measured.
	bytesPerConnection = 12 << 10
)

// Of gives the shares. Half of the memory is for connections, a fifth for what they hold; the rest is for versions and the module.
func (m Resources) Limits() Limits {
	s := Limits{MaxConnections: max(1, m.Descriptors-max(minSpareDescriptors, int(spareDescriptorShare*float64(m.Descriptors)))), MaxHeldBytes: m.Memory / 5,
		SoftHeap: m.Memory / 100 * 75, HardHeap: m.Memory / 100 * 85}
	s.MaxConnections = min(s.MaxConnections, int(m.Memory/2/bytesPerConnection))
	return s
}

// Ledger is one process's. Any goroutine may ask it.
type Budget struct {
	mu           sync.Mutex
	limits       Limits
	connections  int
	heldByClient map[ClientID]int64
	heldBytes    int64
	liveHeap     int64
	stats        Stats
	onEvict      func(ClientID)
}

// Figures are counted for the operator.
type Stats struct {
	Limits
	Connections             int
	HeldBytes               int64
	AcceptPaused            bool
	AcceptPauses, Evictions uint64
	LiveHeap                int64
}

func New(m Resources) *Budget { return &Budget{limits: m.Limits(), heldByClient: map[ClientID]int64{}} }

// Have says what the machine gives from now on. What is held beyond it goes as it is touched next.
func (l *Budget) SetResources(m Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = m.Limits()
}

// Cuts says how a client's connection is closed. It is called before anything is held.
func (l *Budget) OnEvict(by func(ClientID)) { l.onEvict = by }

func (l *Budget) notifyEvicted(all []ClientID) {
	for _, c := range all {
		if l.onEvict != nil {
			l.onEvict(c)
		}
	}
}

// May says whether one more connection may be accepted; if not, accepting pauses and is tried again. Began says that it pauses now.
func (l *Budget) CanAccept() (may, began bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if may = l.connections < l.limits.MaxConnections && l.liveHeap < l.limits.SoftHeap; may {
		l.stats.AcceptPaused = false
		return true, false
	}
	if began = !l.stats.AcceptPaused; began {
		l.stats.AcceptPaused = true
		l.stats.AcceptPauses++
	}
	return false, began
}

// Opened and Closed count connections, each by the front that has it.
func (l *Budget) ConnectionOpened() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections++
}

// Closed forgets what the client held, too.
func (l *Budget) ConnectionClosed(c ClientID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections--
	l.heldBytes -= l.heldByClient[c]
	delete(l.heldByClient, c)
}

// Hold says how many bytes are held for a client from now on. Where all hold too much, those that hold most are cut. A client that
// sends its request whole, or reads its answer, holds nothing and is never among them.
func (l *Budget) SetHeldBytes(c ClientID, n int64) (cut []ClientID) {
	defer func() { l.notifyEvicted(cut) }()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldBytes += n - l.heldByClient[c]
	if l.heldByClient[c] = n; n == 0 {
		delete(l.heldByClient, c)
	}
	return l.evictDownTo(l.limits.MaxHeldBytes)
}

// Heap tells how much is live, as last seen. Where it is too much, half of what clients hold goes.
func (l *Budget) SetLiveHeap(live int64) (cut []ClientID) {
	defer func() { l.notifyEvicted(cut) }()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.liveHeap = live; live >= l.limits.HardHeap {
		return l.evictDownTo(l.heldBytes / 2)
	}
	return nil
}

// relieve takes those that hold most until no more than so much is held.
func (l *Budget) evictDownTo(to int64) (cut []ClientID) {
	for l.heldBytes > to && len(l.heldByClient) > 0 {
		var worst ClientID
		for c, n := range l.heldByClient {
			if m := l.heldByClient[worst]; n > m || n == m && c < worst || m == 0 {
				worst = c
			}
		}
		l.heldBytes -= l.heldByClient[worst]
		delete(l.heldByClient, worst)
		cut = append(cut, worst)
		l.stats.Evictions++
	}
	return cut
}

// Takes says whether a request that can be put off is taken: not while memory is short.
func (l *Budget) HasHeapRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.liveHeap < l.limits.SoftHeap
}

// Figures are those of now.
func (l *Budget) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.stats
	f.Limits, f.Connections, f.HeldBytes, f.LiveHeap = l.limits, l.connections, l.heldBytes, l.liveHeap
	return f
}
