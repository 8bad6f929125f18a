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

// Locks is a stand-in for Consul's key-value store and its sessions, as far as published and used here: check-and-set,
// locks by session, a time to live that is a lower bound, lock-delay, blocking queries, transactions of at most 64
// operations that do all or nothing.
type KVStore struct {
	SessionTTLFactor float64 // a session ends so many times its time to live after its last renewal; at least 1
	// Changed hears of each lock that changes hands: the session and its name; nobody, or Ended where a session's end let go.
	OnLockChange func(key, session, holder string, lockIndex uint64, value func(key string) string)

	indexed
	pairs    map[string]*api.KVPair
	sessions map[string]*session
	delayed  map[string]time.Time // no lock before
	careless bool
}

// Ended stands for a holder's name where its session ended.
const SessionEnded = "(ended)"

type session struct {
	entry api.SessionEntry
	ttl   time.Duration
	end   *time.Timer
}

// mostOps is the published limit of a transaction.
const mostOps = 64

func NewKVStore() *KVStore {
	return &KVStore{SessionTTLFactor: 1, indexed: indexed{index: 10, changed: make(chan struct{})}, pairs: map[string]*api.KVPair{}, sessions: map[string]*session{},
		delayed: map[string]time.Time{}}
}

func (l *KVStore) mount(all *http.ServeMux) {
	mux := http.NewServeMux()
	for _, path := range []string{"/v1/session/", "/v1/kv/", "/v1/txn"} {
		all.HandleFunc(path, func(w http.ResponseWriter, q *http.Request) {
			l.mu.Lock()
			away := l.away
			l.mu.Unlock()
			if away {
				leaderless(w)
				return
			}
			mux.ServeHTTP(w, q)
		})
	}
	mux.HandleFunc("PUT /v1/session/create", l.create)
	mux.HandleFunc("PUT /v1/session/renew/{id}", l.renew)
	mux.HandleFunc("PUT /v1/session/destroy/{id}", func(w http.ResponseWriter, q *http.Request) {
		l.mu.Lock()
		l.drop(q.PathValue("id"), false)
		l.mu.Unlock()
		answer(w, 0, true)
	})
	mux.HandleFunc("GET /v1/kv/{key...}", l.get)
	mux.HandleFunc("PUT /v1/txn", l.txn)
}

// Away stops all answers, or starts them again. A new leader gives each session its whole time to live anew.
func (l *KVStore) SetUnavailable(away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = away
	for _, s := range l.sessions {
		if s.end.Stop(); !away {
			s.end.Reset(l.lasts(s))
		}
	}
	l.wake()
}

// Wipe loses all that is kept, as a store that was raised anew.
func (l *KVStore) Wipe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		s.end.Stop()
	}
	l.pairs, l.sessions, l.delayed, l.index = map[string]*api.KVPair{}, map[string]*session{}, map[string]time.Time{}, 1
	l.wake()
}

// Promise says whether a lock that is held is refused to others. A store that does not keep it is for checks that must
// find it.
func (l *KVStore) EnforceLocks(kept bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.careless = !kept
}

// End ends the sessions whose name has a prefix, as an operator may.
func (l *KVStore) InvalidateSessions(prefix string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.sessions {
		if strings.HasPrefix(s.entry.Name, prefix) {
			l.drop(id, true)
		}
	}
}

func (l *KVStore) create(w http.ResponseWriter, q *http.Request) {
	var in struct{ Name, TTL, LockDelay, Behavior string }
	if err := json.NewDecoder(q.Body).Decode(&in); err != nil {
		http.Error(w, "Request decode failed: "+err.Error(), http.StatusBadRequest)
		return
	}
	s := &session{entry: api.SessionEntry{ID: fmt.Sprintf("%x", random()), Name: in.Name, TTL: in.TTL, Behavior: in.Behavior,
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
	s.end = time.AfterFunc(l.lasts(s), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.drop(id, true)
	})
	l.sessions[id] = s
	answer(w, 0, map[string]string{"ID": id})
}

func random() []byte {
	b := make([]byte, 16)
	rand.Read(b)
	return b
}

func (l *KVStore) lasts(s *session) time.Duration {
	return time.Duration(float64(s.ttl) * max(1, l.SessionTTLFactor))
}

func (l *KVStore) renew(w http.ResponseWriter, q *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sessions[q.PathValue("id")]
	if s == nil {
		http.Error(w, "Session id '"+q.PathValue("id")+"' not found", http.StatusNotFound)
		return
	}
	s.end.Reset(l.lasts(s))
	answer(w, 0, []*api.SessionEntry{&s.entry})
}

// drop ends a session. What it held is free, after the lock-delay if it was not let go by its holder.
func (l *KVStore) drop(id string, invalidated bool) {
	s := l.sessions[id]
	if s == nil {
		return
	}
	s.end.Stop()
	delete(l.sessions, id)
	l.index++
	for key, p := range l.pairs {
		if p.Session != id {
			continue
		}
		if invalidated && s.entry.LockDelay > 0 {
			l.delayed[key] = time.Now().Add(s.entry.LockDelay)
		}
		if s.entry.Behavior == api.SessionBehaviorDelete {
			delete(l.pairs, key)
		} else {
			n := *p
			n.Session, n.ModifyIndex = "", l.index
			l.pairs[key] = &n
		}
		l.tell(key, "", SessionEnded, p.LockIndex)
	}
	l.wake()
}

func (l *KVStore) tell(key, session, holder string, lockIndex uint64) {
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

func (l *KVStore) under(prefix string, whole bool) (out []*api.KVPair, index uint64) {
	index = 1
	for key, p := range l.pairs {
		if key == prefix || whole && strings.HasPrefix(key, prefix) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *api.KVPair) int { return strings.Compare(a.Key, b.Key) })
	return out, max(index, l.index)
}

func (l *KVStore) get(w http.ResponseWriter, q *http.Request) {
	key, values := q.PathValue("key"), q.URL.Query()
	l.mu.Lock()
	if !l.await(w, q) {
		return
	}
	pairs, index := l.under(key, values.Has("recurse"))
	l.mu.Unlock()
	if len(pairs) == 0 {
		w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, index, pairs)
}

func answer(w http.ResponseWriter, index uint64, v any) {
	w.Header().Set("Content-Type", "application/json")
	if index > 0 {
		w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	}
	json.NewEncoder(w).Encode(v)
}

func (l *KVStore) txn(w http.ResponseWriter, q *http.Request) {
	var ops []struct{ KV *api.KVTxnOp }
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, 512<<10))
	if err == nil {
		err = json.Unmarshal(body, &ops)
	}
	if err != nil || len(ops) > mostOps {
		http.Error(w, "Transaction can't be read, is too large, or has more than 64 operations", http.StatusRequestEntityTooLarge)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.pairs
	l.pairs = make(map[string]*api.KVPair, len(was))
	for k, p := range was {
		l.pairs[k] = p
	}
	l.index++
	out := api.TxnResponse{Results: api.TxnResults{}, Errors: api.TxnErrors{}}
	for i, op := range ops {
		if op.KV == nil {
			out.Errors = append(out.Errors, &api.TxnError{OpIndex: i, What: "unknown operation type"})
			continue
		}
		if p, wrong := l.do(op.KV); wrong != "" {
			out.Errors = append(out.Errors, &api.TxnError{OpIndex: i, What: wrong})
		} else if p != nil {
			out.Results = append(out.Results, &api.TxnResult{KV: p})
		}
	}
	if len(out.Errors) > 0 {
		l.pairs, out.Results = was, nil
		l.index--
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		json.NewEncoder(w).Encode(out)
		return
	}
	for _, op := range ops {
		if verb := op.KV.Verb; verb == api.KVLock || verb == api.KVUnlock {
			p := l.pairs[op.KV.Key]
			l.tell(p.Key, p.Session, "", p.LockIndex)
		}
	}
	l.wake()
	answer(w, 0, out)
}

// do is one operation of a transaction; the pairs that it changes are copies.
func (l *KVStore) do(op *api.KVTxnOp) (*api.KVPair, string) {
	is := l.pairs[op.Key]
	write := func(change func(*api.KVPair)) (*api.KVPair, string) {
		n := &api.KVPair{Key: op.Key, CreateIndex: l.index}
		if is != nil {
			*n = *is
		}
		n.ModifyIndex = l.index
		change(n)
		l.pairs[op.Key] = n
		told := *n
		told.Value = nil
		return &told, ""
	}
	switch op.Verb {
	case api.KVSet:
		return write(func(n *api.KVPair) { n.Value, n.Flags = op.Value, op.Flags })
	case api.KVCAS:
		if (is == nil) != (op.Index == 0) || is != nil && is.ModifyIndex != op.Index {
			return nil, "failed to set key " + strconv.Quote(op.Key) + ", index is stale"
		}
		return write(func(n *api.KVPair) { n.Value, n.Flags = op.Value, op.Flags })
	case api.KVLock:
		switch {
		case l.sessions[op.Session] == nil:
			return nil, "failed to lock key " + strconv.Quote(op.Key) + ", invalid session"
		case is != nil && is.Session != "" && is.Session != op.Session && !l.careless:
			return nil, "failed to lock key " + strconv.Quote(op.Key) + ", lock is already held"
		case time.Now().Before(l.delayed[op.Key]):
			return nil, "failed to lock key " + strconv.Quote(op.Key) + ", lock delay"
		}
		return write(func(n *api.KVPair) {
			if n.Session != op.Session {
				n.LockIndex++
			}
			n.Session, n.Value = op.Session, op.Value
		})
	case api.KVUnlock:
		if is == nil || is.Session != op.Session {
			return nil, "failed to unlock key " + strconv.Quote(op.Key) + ", lock isn't held by the session"
		}
		return write(func(n *api.KVPair) { n.Session, n.Value = "", op.Value })
	case api.KVCheckSession:
		if is == nil || is.Session != op.Session {
			return nil, "failed session check for key " + strconv.Quote(op.Key)
		}
		return is, ""
	case api.KVGet, api.KVGetOrEmpty:
		if is == nil && op.Verb == api.KVGet {
			return nil, "key " + strconv.Quote(op.Key) + " doesn't exist"
		}
		return is, ""
	}
	return nil, "unknown KV operation " + strconv.Quote(string(op.Verb))
}
