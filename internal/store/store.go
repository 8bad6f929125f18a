// Package store keeps a director's state in a file on disk, so that what was published to proxies survives a crash. One
// process at a time can open the file, and each write is durable when it returns.
package store

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"go.etcd.io/bbolt"

	"vetchwood/internal/control"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

var (
	metaBucket   = []byte("meta")   // the other parts of the latest state, by name
	tablesBucket = []byte("tables") // table number -> tables.Table
	boundBucket  = []byte("bound")  // proxy number -> numbers of the tables bound to its routes
	namesBucket  = []byte("names")  // proxy number -> proxy name
	buckets      = [][]byte{metaBucket, tablesBucket, boundBucket, namesBucket, historyBucket, snapshotsBucket}
)

// Store is an open store file.
type Store struct {
	db        *bbolt.DB
	retention atomic.Pointer[Retention]
}

// Open opens the store file, and creates it if it does not exist. A new store starts a new history with a random
// identifier.
func Open(path string, retention Retention) (*Store, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("store %s: the file is locked by another process", path)
	}
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", path, err)
	}
	s := &Store{db: db}
	s.retention.Store(&retention)
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, b := range buckets {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		if tx.Bucket(metaBucket).Get([]byte("line")) == nil {
			return putRecord(tx.Bucket(metaBucket), "line", tables.HistoryID(rand.Uint64()))
		}
		return migrateProxyNames(tx)
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("store %s: %w", path, err)
	}
	return s, nil
}

// SetRetention changes the limits of the history for later writes.
func (s *Store) SetRetention(retention Retention) { s.retention.Store(&retention) }

// Close closes the file and releases its lock.
func (s *Store) Close() error { return s.db.Close() }

// migrateProxyNames splits the single record in which an earlier release kept the names of all proxies into one record
// for each proxy. With a single record, each proxy that joined caused all names to be written again.
func migrateProxyNames(tx *bbolt.Tx) error {
	b := tx.Bucket(metaBucket).Get([]byte("proxies"))
	if b == nil {
		return nil
	}
	var all map[string]logic.ProxyID
	if err := decodeRecord("meta/proxies", b, &all); err != nil {
		return withLastReadable(tx, err, math.MaxUint64)
	}
	for name, id := range all {
		if err := putRecord(tx.Bucket(namesBucket), strconv.Itoa(int(id)), name); err != nil {
			return err
		}
	}
	return tx.Bucket(metaBucket).Delete([]byte("proxies"))
}

// putRecord encodes v and stores it under a key.
func putRecord(b *bbolt.Bucket, key string, v any) error {
	encoded, err := encodeRecord(v)
	if err != nil {
		return err
	}
	return b.Put([]byte(key), encoded)
}

// Load returns the latest stored state.
func (s *Store) Load() (saved control.SavedState, err error) {
	err = s.db.View(func(tx *bbolt.Tx) (err error) {
		saved, err = load(tx)
		return err
	})
	if err != nil {
		return saved, fmt.Errorf("store %s: %w", s.db.Path(), err)
	}
	return saved, nil
}

// load reads the latest state within a transaction.
func load(tx *bbolt.Tx) (saved control.SavedState, err error) {
	saved.Tables = map[logic.TableID]*tables.Table{}
	saved.Bound = map[logic.ProxyID][]logic.TableID{}
	for key, to := range map[string]any{"line": &saved.History, "step": &saved.Step, "at": &saved.At,
		"masked": &saved.Masked, "levels": &saved.Levels, "carried": &saved.Carried,
		"known": &saved.Known, "list": &saved.List, "pinned": &saved.Pinned} {
		if b := tx.Bucket(metaBucket).Get([]byte(key)); b != nil {
			if err := decodeRecord("meta/"+key, b, to); err != nil {
				return saved, withLastReadable(tx, err, math.MaxUint64)
			}
		}
	}
	err = tx.Bucket(tablesBucket).ForEach(func(k, b []byte) error {
		t := &tables.Table{}
		if err := decodeRecord("tables/"+string(k), b, t); err != nil {
			return withLastReadable(tx, err, math.MaxUint64)
		}
		if t.Lines == nil {
			t.Lines = map[tables.Address]float64{}
		}
		n, err := strconv.Atoi(string(k))
		saved.Tables[logic.TableID(n)] = t
		return err
	})
	if err != nil {
		return saved, err
	}
	saved.Proxies = map[string]logic.ProxyID{}
	err = tx.Bucket(namesBucket).ForEach(func(k, b []byte) error {
		var name string
		if err := decodeRecord("names/"+string(k), b, &name); err != nil {
			return withLastReadable(tx, err, math.MaxUint64)
		}
		n, err := strconv.Atoi(string(k))
		saved.Proxies[name] = logic.ProxyID(n)
		return err
	})
	if err != nil {
		return saved, err
	}
	return saved, tx.Bucket(boundBucket).ForEach(func(k, b []byte) error {
		var bound []logic.TableID
		if err := decodeRecord("bound/"+string(k), b, &bound); err != nil {
			return withLastReadable(tx, err, math.MaxUint64)
		}
		n, err := strconv.Atoi(string(k))
		saved.Bound[logic.ProxyID(n)] = bound
		return err
	})
}

// Write stores changes durably in one transaction: either all of them or none.
func (s *Store) Write(changes []control.Change) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		for _, c := range changes {
			if err := write(tx, c); err != nil {
				return err
			}
			if c.Step > 0 {
				if err := recordChange(tx, c, *s.retention.Load()); err != nil {
					return err
				}
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("store %s: %w", s.db.Path(), err)
	}
	return nil
}

// write stores the parts of the latest state that a change sets.
func write(tx *bbolt.Tx, c control.Change) error {
	meta := tx.Bucket(metaBucket)
	for _, part := range []struct {
		key   string
		value any
		set   bool
	}{{"step", c.Step, c.Step > 0}, {"at", c.At, c.Step > 0}, {"masked", c.Masked, c.Masked != nil},
		{"levels", c.Levels, c.Levels != nil}, {"carried", c.Carried, c.Carried != nil},
		{"known", c.Known, c.Known != nil}, {"list", c.List, c.List != nil},
		{"pinned", c.Pinned, c.Pinned != nil}} {
		if part.set {
			if err := putRecord(meta, part.key, part.value); err != nil {
				return err
			}
		}
	}
	for id, t := range c.Tables {
		if err := putOrDelete(tx.Bucket(tablesBucket), int(id), t, t == nil); err != nil {
			return err
		}
	}
	for id, name := range c.Named {
		if err := putRecord(tx.Bucket(namesBucket), strconv.Itoa(int(id)), name); err != nil {
			return err
		}
	}
	for id, bound := range c.Bound {
		if err := putOrDelete(tx.Bucket(boundBucket), int(id), bound, bound == nil); err != nil {
			return err
		}
	}
	return nil
}

// putOrDelete stores v under a numeric key, or deletes the key.
func putOrDelete(b *bbolt.Bucket, key int, v any, remove bool) error {
	if remove {
		return b.Delete([]byte(strconv.Itoa(key)))
	}
	return putRecord(b, strconv.Itoa(key), v)
}
