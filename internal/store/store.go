// Package store keeps a director's state on disk, so that what proxies were told outlives a kill. One file, one
// process; each write is durable when it returns.
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
	metaBucket   = []byte("meta")
	tablesBucket = []byte("tables")
	boundBucket  = []byte("bound")
	namesBucket  = []byte("names") // of proxies, by their numbers
	buckets      = [][]byte{metaBucket, tablesBucket, boundBucket, namesBucket, historyBucket, snapshotsBucket}
)

// Store is an open file.
type Store struct {
	db        *bbolt.DB
	retention atomic.Pointer[Retention]
}

// Open opens or makes the file.
func Open(path string, keep Retention) (*Store, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("store %s: another process holds it", path)
	}
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", path, err)
	}
	s := &Store{db: db}
	s.retention.Store(&keep)
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

// Keep says how much of the history is kept from now on.
func (s *Store) SetRetention(keep Retention) { s.retention.Store(&keep) }

func (s *Store) Close() error { return s.db.Close() }

// together takes apart the one record that an earlier version kept all proxies' names in: a fleet that joins writes each once, and
// not all of them with each.
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

func putRecord(b *bbolt.Bucket, key string, v any) error {
	text, err := encodeRecord(v)
	if err != nil {
		return err
	}
	return b.Put([]byte(key), text)
}

// Load reads all that is stored.
func (s *Store) Load() (saved control.Saved, err error) {
	err = s.db.View(func(tx *bbolt.Tx) (err error) {
		saved, err = load(tx)
		return err
	})
	if err != nil {
		return saved, fmt.Errorf("store %s: %w", s.db.Path(), err)
	}
	return saved, nil
}

func load(tx *bbolt.Tx) (saved control.Saved, err error) {
	saved.Tables = map[logic.TableID]*tables.Table{}
	saved.Bound = map[logic.ProxyID][]logic.TableID{}
	for key, to := range map[string]any{"line": &saved.Line, "step": &saved.Step, "at": &saved.At,
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
		var by []logic.TableID
		if err := decodeRecord("bound/"+string(k), b, &by); err != nil {
			return withLastReadable(tx, err, math.MaxUint64)
		}
		n, err := strconv.Atoi(string(k))
		saved.Bound[logic.ProxyID(n)] = by
		return err
	})
}

// Write makes changes durable, all or none.
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

func write(tx *bbolt.Tx, c control.Change) error {
	m := tx.Bucket(metaBucket)
	for _, part := range []struct {
		key string
		v   any
		set bool
	}{{"step", c.Step, c.Step > 0}, {"at", c.At, c.Step > 0}, {"masked", c.Masked, c.Masked != nil},
		{"levels", c.Levels, c.Levels != nil}, {"carried", c.Carried, c.Carried != nil},
		{"known", c.Known, c.Known != nil}, {"list", c.List, c.List != nil},
		{"pinned", c.Pinned, c.Pinned != nil}} {
		if part.set {
			if err := putRecord(m, part.key, part.v); err != nil {
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
	for id, by := range c.Bound {
		if err := putOrDelete(tx.Bucket(boundBucket), int(id), by, by == nil); err != nil {
			return err
		}
	}
	return nil
}

func putOrDelete(b *bbolt.Bucket, key int, v any, gone bool) error {
	if gone {
		return b.Delete([]byte(strconv.Itoa(key)))
	}
	return putRecord(b, strconv.Itoa(key), v)
}
