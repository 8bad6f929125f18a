// Package budget bounds what a director holds for its clients, so that it stays within its memory and file descriptors.
// It limits the number of connections and the bytes of partly received requests and partly sent responses, and selects
// the clients to evict when a limit is exceeded. It does no I/O and reads no clock.
package budget

import "sync"

// Resources are what the process may use of the machine.
type Resources struct {
	Memory      int64 // in bytes
	Descriptors int   // file descriptors
}

// Unlimited stands for resources that impose no bound in practice.
var Unlimited = Resources{Memory: 1 << 50, Descriptors: 1 << 40}

// ClientID identifies a client for which bytes are held.
type ClientID uint64

// Limits are the bounds that follow from the available resources.
type Limits struct {
	MaxConnections int   // maximum of open connections of all listeners, above which accepting pauses
	MaxHeldBytes   int64 // maximum of bytes held for all clients together
	// SoftHeap is the live heap in bytes from which no new connection is accepted, HardHeap the live heap from which the
	// clients for which most is held are evicted.
	SoftHeap, HardHeap int64
}

const (
	// Spare descriptors are kept for the store, the host list, probes, other directors and operators: a director that
	// cannot open a socket for a probe would consider healthy hosts dead.
	minSpareDescriptors  = 64
	spareDescriptorShare = 0.05
	// bytesPerConnection is the memory reserved for a connection with a pending poll. Such a connection uses about 5 KB;
	// the rest is a margin.
	bytesPerConnection = 12 << 10
)

// Limits derives the limits from the resources. Half of the memory is for connections and a fifth for the bytes held for
// clients; the rest is for versions of the tables and the decision module.
func (r Resources) Limits() Limits {
	limits := Limits{MaxConnections: max(1, r.Descriptors-max(minSpareDescriptors, int(spareDescriptorShare*float64(r.Descriptors)))), MaxHeldBytes: r.Memory / 5,
		SoftHeap: r.Memory / 100 * 75, HardHeap: r.Memory / 100 * 85}
	limits.MaxConnections = min(limits.MaxConnections, int(r.Memory/2/bytesPerConnection))
	return limits
}

// Budget tracks the use of the resources of a process. It is safe for concurrent use.
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

// Stats are the current limits and use, for metrics.
type Stats struct {
	Limits
	Connections             int
	HeldBytes               int64
	AcceptPaused            bool
	AcceptPauses, Evictions uint64
	LiveHeap                int64
}

// New returns a budget with the limits that follow from the resources.
func New(resources Resources) *Budget {
	return &Budget{limits: resources.Limits(), heldByClient: map[ClientID]int64{}}
}

// SetResources replaces the resources. Clients that hold more than the new limits permit are evicted at the next call of
// SetHeldBytes or SetLiveHeap.
func (b *Budget) SetResources(resources Resources) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = resources.Limits()
}

// OnEvict sets the function that closes the connection of an evicted client. It must be called before any bytes are
// held.
func (b *Budget) OnEvict(closeClient func(ClientID)) { b.onEvict = closeClient }

// notifyEvicted calls the function set by OnEvict for each evicted client. The caller must not hold the lock.
func (b *Budget) notifyEvicted(clients []ClientID) {
	for _, c := range clients {
		if b.onEvict != nil {
			b.onEvict(c)
		}
	}
}

// CanAccept reports whether one more connection may be accepted. If not, accepting pauses and the caller asks again
// later; pauseStarted reports whether the pause begins with this call.
func (b *Budget) CanAccept() (canAccept, pauseStarted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if canAccept = b.connections < b.limits.MaxConnections && b.liveHeap < b.limits.SoftHeap; canAccept {
		b.stats.AcceptPaused = false
		return true, false
	}
	if pauseStarted = !b.stats.AcceptPaused; pauseStarted {
		b.stats.AcceptPaused = true
		b.stats.AcceptPauses++
	}
	return false, pauseStarted
}

// ConnectionOpened counts an open connection. The listener that accepted the connection calls it.
func (b *Budget) ConnectionOpened() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connections++
}

// ConnectionClosed counts a closed connection and releases the bytes held for its client.
func (b *Budget) ConnectionClosed(c ClientID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connections--
	b.heldBytes -= b.heldByClient[c]
	delete(b.heldByClient, c)
}

// SetHeldBytes sets the number of bytes that are held for a client. If the sum for all clients exceeds its limit, the
// clients for which most is held are evicted and returned. A client that sends its request whole and reads its response
// holds nothing, and is never evicted.
func (b *Budget) SetHeldBytes(c ClientID, n int64) (evicted []ClientID) {
	defer func() { b.notifyEvicted(evicted) }()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heldBytes += n - b.heldByClient[c]
	if b.heldByClient[c] = n; n == 0 {
		delete(b.heldByClient, c)
	}
	return b.evictDownTo(b.limits.MaxHeldBytes)
}

// SetLiveHeap sets the size of the live heap in bytes. If it reaches the hard limit, clients are evicted until at most
// half of the held bytes remain.
func (b *Budget) SetLiveHeap(live int64) (evicted []ClientID) {
	defer func() { b.notifyEvicted(evicted) }()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.liveHeap = live; live >= b.limits.HardHeap {
		return b.evictDownTo(b.heldBytes / 2)
	}
	return nil
}

// evictDownTo evicts the clients for which most is held until at most maxHeld bytes are held. The lock must be held.
func (b *Budget) evictDownTo(maxHeld int64) (evicted []ClientID) {
	for b.heldBytes > maxHeld && len(b.heldByClient) > 0 {
		var largest ClientID
		for c, n := range b.heldByClient {
			if m := b.heldByClient[largest]; n > m || n == m && c < largest || m == 0 {
				largest = c
			}
		}
		b.heldBytes -= b.heldByClient[largest]
		delete(b.heldByClient, largest)
		evicted = append(evicted, largest)
		b.stats.Evictions++
	}
	return evicted
}

// HasHeapRoom reports whether the live heap is below its soft limit. If it is not, requests that can be postponed are
// to be rejected.
func (b *Budget) HasHeapRoom() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.liveHeap < b.limits.SoftHeap
}

// Stats returns the current limits and use.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := b.stats
	stats.Limits, stats.Connections, stats.HeldBytes, stats.LiveHeap = b.limits, b.connections, b.heldBytes, b.liveHeap
	return stats
}
