package standin

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/consul/api"
)

// KVStore is a stand-in for Consul's key-value store and sessions. It implements the documented behaviour that is used
// here: check-and-set, locks by session, session TTLs that are lower bounds, lock-delay, blocking queries, and atomic
// transactions of at most 64 operations.
type KVStore struct {
	// SessionTTLFactor is the time from the last renewal of a session to its expiry, as a multiple of its TTL. Values
	// below 1 count as 1.
	SessionTTLFactor float64
	// OnLockChange is called for each lock that is taken or released, with the session and its name as the holder.
	// After a release the session is empty, and the holder is empty or, if the session ended, SessionEnded.
	OnLockChange func(key, session, holder string, lockIndex uint64, value func(key string) string)

	blockingIndex
	pairs        map[string]*api.KVPair
	sessions     map[string]*session
	lockableFrom map[string]time.Time // end of the lock-delay, by key
	ignoresLocks bool                 // grants locks that other sessions hold
}

// SessionEnded is the holder's name that OnLockChange gets when a lock is released by the end of its session.
const SessionEnded = "(ended)"

type session struct {
	entry  api.SessionEntry
	ttl    time.Duration
	expiry *time.Timer
}

// maxTxnOps is Consul's documented limit of operations in a transaction.
const maxTxnOps = 64

// NewKVStore returns an empty store.
func NewKVStore() *KVStore {
	return &KVStore{SessionTTLFactor: 1, blockingIndex: blockingIndex{index: 10, changed: make(chan struct{})},
		pairs: map[string]*api.KVPair{}, sessions: map[string]*session{}, lockableFrom: map[string]time.Time{}}
}

// mount adds the store's HTTP interface to parent.
func (l *KVStore) mount(parent *http.ServeMux) {
	mux := http.NewServeMux()
	for _, path := range []string{"/v1/session/", "/v1/kv/", "/v1/txn"} {
		parent.HandleFunc(path, func(w http.ResponseWriter, q *http.Request) {
			l.mu.Lock()
			unavailable := l.unavailable
			l.mu.Unlock()
			if unavailable {
				writeNoLeader(w)
				return
			}
			mux.ServeHTTP(w, q)
		})
	}
	mux.HandleFunc("PUT /v1/session/create", l.handleSessionCreate)
	mux.HandleFunc("PUT /v1/session/renew/{id}", l.handleSessionRenew)
	mux.HandleFunc("PUT /v1/session/destroy/{id}", func(w http.ResponseWriter, q *http.Request) {
		l.mu.Lock()
		l.endSession(q.PathValue("id"), false)
		l.mu.Unlock()
		writeJSON(w, 0, true)
	})
	mux.HandleFunc("GET /v1/kv/{key...}", l.handleGet)
	mux.HandleFunc("PUT /v1/txn", l.handleTxn)
}

// SetUnavailable makes the store answer every request with an error, or ends that. Sessions do not expire meanwhile,
// and get their full TTL afterwards, as from a new Consul leader.
func (l *KVStore) SetUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
	for _, s := range l.sessions {
		if s.expiry.Stop(); !unavailable {
			s.expiry.Reset(l.sessionLifetime(s))
		}
	}
	l.notifyWaiters()
}

// Wipe deletes all data and sessions, as if the store had been set up anew.
func (l *KVStore) Wipe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		s.expiry.Stop()
	}
	l.pairs, l.sessions, l.lockableFrom, l.index = map[string]*api.KVPair{}, map[string]*session{}, map[string]time.Time{}, 1
	l.notifyWaiters()
}

// EnforceLocks sets whether the store refuses locks that other sessions hold. A store that grants them is for tests of
// the checks that have to detect this.
func (l *KVStore) EnforceLocks(enforce bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ignoresLocks = !enforce
}

// InvalidateSessions ends the sessions whose name begins with prefix, as an operator can.
func (l *KVStore) InvalidateSessions(prefix string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.sessions {
		if strings.HasPrefix(s.entry.Name, prefix) {
			l.endSession(id, true)
		}
	}
}

func (l *KVStore) handleSessionCreate(w http.ResponseWriter, q *http.Request) {
	var in struct{ Name, TTL, LockDelay, Behavior string }
	if err := json.NewDecoder(q.Body).Decode(&in); err != nil {
		http.Error(w, "Request decode failed: "+err.Error(), http.StatusBadRequest)
		return
	}
	s := &session{entry: api.SessionEntry{ID: fmt.Sprintf("%x", randomID()), Name: in.Name, TTL: in.TTL, Behavior: in.Behavior,
		LockDelay: 15 * time.Second}}
	var err error
	if s.ttl, err = time.ParseDuration(in.TTL); err != nil || s.ttl <= 0 {
		http.Error(w, "Invalid Session TTL", http.StatusBadRequest)
		return
	}
	if in.LockDelay != "" {
		if s.entry.LockDelay, err = time.ParseDuration(in.LockDelay); err != nil {
			http.Error(w, "Invalid Session LockDelay", http.StatusBadRequest)
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	id := s.entry.ID
	s.expiry = time.AfterFunc(l.sessionLifetime(s), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.endSession(id, true)
	})
	l.sessions[id] = s
	writeJSON(w, 0, map[string]string{"ID": id})
}

// randomID returns the bytes of a new session ID.
func randomID() []byte {
	b := make([]byte, 16)
	rand.Read(b)
	return b
}

// sessionLifetime returns the time after which a session expires without a renewal.
func (l *KVStore) sessionLifetime(s *session) time.Duration {
	return time.Duration(float64(s.ttl) * max(1, l.SessionTTLFactor))
}

func (l *KVStore) handleSessionRenew(w http.ResponseWriter, q *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sessions[q.PathValue("id")]
	if s == nil {
		http.Error(w, "Session id '"+q.PathValue("id")+"' not found", http.StatusNotFound)
		return
	}
	s.expiry.Reset(l.sessionLifetime(s))
	writeJSON(w, 0, []*api.SessionEntry{&s.entry})
}

// endSession ends a session and releases its locks; with invalidated, only after the lock-delay. The caller holds the
// lock.
func (l *KVStore) endSession(id string, invalidated bool) {
	s := l.sessions[id]
	if s == nil {
		return
	}
	s.expiry.Stop()
	delete(l.sessions, id)
	l.index++
	for key, p := range l.pairs {
		if p.Session != id {
			continue
		}
		if invalidated && s.entry.LockDelay > 0 {
			l.lockableFrom[key] = time.Now().Add(s.entry.LockDelay)
		}
		if s.entry.Behavior == api.SessionBehaviorDelete {
			delete(l.pairs, key)
		} else {
			n := *p
			n.Session, n.ModifyIndex = "", l.index
			l.pairs[key] = &n
		}
		l.notifyLockChange(key, "", SessionEnded, p.LockIndex)
	}
	l.notifyWaiters()
}

// notifyLockChange calls OnLockChange. If the session exists, its name replaces holder.
func (l *KVStore) notifyLockChange(key, session, holder string, lockIndex uint64) {
	if l.OnLockChange != nil {
		if s := l.sessions[session]; s != nil {
			holder = s.entry.Name
		}
		l.OnLockChange(key, session, holder, lockIndex, func(key string) string {
			if p := l.pairs[key]; p != nil {
				return string(p.Value)
			}
			return ""
		})
	}
}

// list returns the pair of a key or, with recurse, all pairs with that prefix, sorted by key, and the index to report.
func (l *KVStore) list(prefix string, recurse bool) (out []*api.KVPair, index uint64) {
	index = 1
	for key, p := range l.pairs {
		if key == prefix || recurse && strings.HasPrefix(key, prefix) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *api.KVPair) int { return strings.Compare(a.Key, b.Key) })
	return out, max(index, l.index)
}

func (l *KVStore) handleGet(w http.ResponseWriter, q *http.Request) {
	key, values := q.PathValue("key"), q.URL.Query()
	l.mu.Lock()
	if !l.waitForChange(w, q) {
		return
	}
	pairs, index := l.list(key, values.Has("recurse"))
	l.mu.Unlock()
	if len(pairs) == 0 {
		w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, index, pairs)
}

// writeJSON writes v as JSON, with a Consul index unless that is 0.
func writeJSON(w http.ResponseWriter, index uint64, v any) {
	w.Header().Set("Content-Type", "application/json")
	if index > 0 {
		w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	}
	json.NewEncoder(w).Encode(v)
}

func (l *KVStore) handleTxn(w http.ResponseWriter, q *http.Request) {
	var ops []struct{ KV *api.KVTxnOp }
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, 512<<10))
	if err == nil {
		err = json.Unmarshal(body, &ops)
	}
	if err != nil || len(ops) > maxTxnOps {
		http.Error(w, "Transaction can't be read, is too large, or has more than 64 operations", http.StatusRequestEntityTooLarge)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.pairs
	l.pairs = make(map[string]*api.KVPair, len(previous))
	for k, p := range previous {
		l.pairs[k] = p
	}
	l.index++
	out := api.TxnResponse{Results: api.TxnResults{}, Errors: api.TxnErrors{}}
	for i, op := range ops {
		if op.KV == nil {
			out.Errors = append(out.Errors, &api.TxnError{OpIndex: i, What: "unknown operation type"})
			continue
		}
		if p, failure := l.applyOp(op.KV); failure != "" {
			out.Errors = append(out.Errors, &api.TxnError{OpIndex: i, What: failure})
		} else if p != nil {
			out.Results = append(out.Results, &api.TxnResult{KV: p})
		}
	}
	if len(out.Errors) > 0 {
		l.pairs, out.Results = previous, nil
		l.index--
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		json.NewEncoder(w).Encode(out)
		return
	}
	for _, op := range ops {
		if verb := op.KV.Verb; verb == api.KVLock || verb == api.KVUnlock {
			p := l.pairs[op.KV.Key]
			l.notifyLockChange(p.Key, p.Session, "", p.LockIndex)
		}
	}
	l.notifyWaiters()
	writeJSON(w, 0, out)
}

// applyOp applies one operation of a transaction to copies of the pairs that it changes. It returns the pair for the
// results, or the text of an error.
func (l *KVStore) applyOp(op *api.KVTxnOp) (*api.KVPair, string) {
	existing := l.pairs[op.Key]
	write := func(change func(*api.KVPair)) (*api.KVPair, string) {
		n := &api.KVPair{Key: op.Key, CreateIndex: l.index}
		if existing != nil {
			*n = *existing
		}
		n.ModifyIndex = l.index
		change(n)
		l.pairs[op.Key] = n
		result := *n
		result.Value = nil
		return &result, ""
	}
	switch op.Verb {
	case api.KVSet:
		return write(func(n *api.KVPair) { n.Value, n.Flags = op.Value, op.Flags })
	case api.KVCAS:
		if (existing == nil) != (op.Index == 0) || existing != nil && existing.ModifyIndex != op.Index {
			return nil, "failed to set key " + strconv.Quote(op.Key) + ", index is stale"
		}
		return write(func(n *api.KVPair) { n.Value, n.Flags = op.Value, op.Flags })
	case api.KVLock:
		switch {
		case l.sessions[op.Session] == nil:
			return nil, "failed to lock key " + strconv.Quote(op.Key) + ", invalid session"
		case existing != nil && existing.Session != "" && existing.Session != op.Session && !l.ignoresLocks:
			return nil, "failed to lock key " + strconv.Quote(op.Key) + ", lock is already held"
		case time.Now().Before(l.lockableFrom[op.Key]):
			return nil, "failed to lock key " + strconv.Quote(op.Key) + ", lock delay"
		}
		return write(func(n *api.KVPair) {
			if n.Session != op.Session {
				n.LockIndex++
			}
			n.Session, n.Value = op.Session, op.Value
		})
	case api.KVUnlock:
		if existing == nil || existing.Session != op.Session {
			return nil, "failed to unlock key " + strconv.Quote(op.Key) + ", lock isn't held by the session"
		}
		return write(func(n *api.KVPair) { n.Session, n.Value = "", op.Value })
	case api.KVCheckSession:
		if existing == nil || existing.Session != op.Session {
			return nil, "failed session check for key " + strconv.Quote(op.Key)
		}
		return existing, ""
	case api.KVGet, api.KVGetOrEmpty:
		if existing == nil && op.Verb == api.KVGet {
			return nil, "key " + strconv.Quote(op.Key) + " doesn't exist"
		}
		return existing, ""
	}
	return nil, "unknown KV operation " + strconv.Quote(string(op.Verb))
}
