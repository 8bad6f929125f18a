package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// blockingIndex is the state behind blocking queries as Consul documents them: an index that increases with each
// change.
type blockingIndex struct {
	mu          sync.Mutex
	index       uint64
	changed     chan struct{} // closed and replaced at each change
	unavailable bool
}

// notifyWaiters wakes all blocked queries. The caller holds the lock.
func (x *blockingIndex) notifyWaiters() {
	close(x.changed)
	x.changed = make(chan struct{})
}

// waitForChange blocks until the index exceeds the query's, the query's wait time is over, or the server is made
// unavailable. It returns false if the client is gone or if it has answered that there is no leader. The caller holds
// the lock; on return it is held only if the result is true.
func (x *blockingIndex) waitForChange(w http.ResponseWriter, q *http.Request) bool {
	since, _ := strconv.ParseUint(q.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(q.URL.Query().Get("wait"))
	if err != nil || wait <= 0 {
		wait = 5 * time.Minute
	}
	timeout := time.After(wait)
	for since > 0 && since >= x.index && !x.unavailable {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			since = 0
		case <-q.Context().Done():
			return false
		}
		x.mu.Lock()
	}
	if x.unavailable {
		x.mu.Unlock()
		writeNoLeader(w)
		return false
	}
	return true
}

// writeNoLeader answers as Consul does while it has no leader.
func writeNoLeader(w http.ResponseWriter) {
	http.Error(w, "rpc error: No cluster leader", http.StatusInternalServerError)
}
