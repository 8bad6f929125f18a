package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"

	"vetchwood/internal/control"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Retention limits the history. A version is removed only when it exceeds both limits, and together with all versions
// up to a snapshot.
type Retention struct {
	Versions int     // number of versions to retain; 0 retains all
	AgeMs    float64 // age up to which versions are retained, in milliseconds
}

var (
	historyBucket   = []byte("history")   // step -> control.Change
	snapshotsBucket = []byte("snapshots") // step -> snapshotRecord
)

// snapshotInterval is the number of steps between two snapshots. It bounds the changes that are read to restore a
// version.
const snapshotInterval = 64

// CorruptError reports a record whose content does not match its checksum.
type CorruptError struct {
	Record       string
	LastReadable tables.Step // newest snapshot that can be read without the record; 0 if there is none
}

// Error names the corrupt record and the version to fall back to, if there is one.
func (e *CorruptError) Error() string {
	if e.LastReadable > 0 {
		return fmt.Sprintf("record %s is not what was written; version %d, a whole snapshot, can be read", e.Record, e.LastReadable)
	}
	return fmt.Sprintf("record %s is not what was written", e.Record)
}

// encodeRecord encodes v as JSON, preceded by a checksum of 8 bytes.
func encodeRecord(v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(text)), text...), nil
}

// decodeRecord verifies the checksum of a record and decodes the record into v. The name of the record is for errors.
func decodeRecord(record string, b []byte, v any) error {
	if len(b) < 8 || binary.BigEndian.Uint64(b) != xxhash.Sum64(b[8:]) {
		return &CorruptError{Record: record}
	}
	if err := json.Unmarshal(b[8:], v); err != nil {
		return fmt.Errorf("record %s: %w", record, err)
	}
	return nil
}

func stepKey(s tables.Step) []byte { return binary.BigEndian.AppendUint64(nil, uint64(s)) }

func parseStepKey(key []byte) tables.Step { return tables.Step(binary.BigEndian.Uint64(key)) }

// snapshotRecord is the content of a whole version, as stored in a snapshot.
type snapshotRecord struct {
	At     float64
	Tables map[logic.TableID]*tables.Table
	Masked map[tables.Address]bool
	Levels []tables.Level
	Bound  map[logic.ProxyID][]logic.TableID
}

// recordChange adds a step's change to the history. Every snapshotInterval steps it also writes a snapshot and trims
// the history.
func recordChange(tx *bbolt.Tx, c control.Change, retention Retention) error {
	c.Named, c.Known, c.List = nil, nil, nil
	b, err := encodeRecord(c)
	if err != nil {
		return err
	}
	history, snapshots := tx.Bucket(historyBucket), tx.Bucket(snapshotsBucket)
	if err := history.Put(stepKey(c.Step), b); err != nil {
		return err
	}
	if last, _ := snapshots.Cursor().Last(); last == nil || c.Step >= parseStepKey(last)+snapshotInterval {
		saved, err := load(tx)
		if err != nil {
			return err
		}
		b, err := encodeRecord(snapshotRecord{saved.At, saved.Tables, saved.Masked, saved.Levels, saved.Bound})
		if err != nil {
			return err
		}
		if err := snapshots.Put(stepKey(c.Step), b); err != nil {
			return err
		}
		return trimHistory(tx, c, retention)
	}
	return nil
}

// trimHistory removes the versions that exceed both limits of the retention and that no joined proxy needs. It removes
// whole ranges up to a snapshot, so that every remaining version can still be restored.
func trimHistory(tx *bbolt.Tx, now control.Change, retention Retention) error {
	history, snapshots := tx.Bucket(historyBucket), tx.Bucket(snapshotsBucket)
	if retention.Versions == 0 {
		return nil
	}
	first := tables.Step(0) // first step to retain
	cur := snapshots.Cursor()
	for k, v := cur.First(); k != nil; k, v = cur.Next() {
		step := parseStepKey(k)
		if uint64(now.Step-step) < uint64(retention.Versions) || now.OldestInUse > 0 && step > now.OldestInUse {
			break
		}
		var c snapshotRecord
		if decodeRecord("", v, &c) == nil && now.At-c.At < retention.AgeMs {
			break
		}
		first = step
	}
	for _, b := range []*bbolt.Bucket{history, snapshots} {
		var expired [][]byte
		cur := b.Cursor()
		for k, _ := cur.First(); k != nil && parseStepKey(k) < first; k, _ = cur.Next() {
			expired = append(expired, append([]byte(nil), k...))
		}
		for _, k := range expired {
			if err := b.Delete(k); err != nil {
				return err
			}
		}
	}
	return nil
}

// Version describes a version without its content. Who and Why are set for changes by operators; Why holds the error
// for a version whose record is corrupt.
type Version struct {
	Step   tables.Step `json:"step"`
	At     float64     `json:"at"` // in Unix milliseconds
	Who    string      `json:"who,omitempty"`
	Why    string      `json:"why,omitempty"`
	From   tables.Step `json:"from,omitempty"` // the version that a rollback restored
	Tables int         `json:"tables"`         // number of tables changed
	Masks  bool        `json:"masks"`          // whether masks changed
	Levels bool        `json:"levels"`         // whether admission levels changed
}

// Versions returns up to limit versions, newest first.
func (s *Store) Versions(limit int) (out []Version, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		cur := tx.Bucket(historyBucket).Cursor()
		for k, v := cur.Last(); k != nil && len(out) < limit; k, v = cur.Prev() {
			var c control.Change
			if err := decodeRecord(fmt.Sprintf("history/%d", parseStepKey(k)), v, &c); err != nil {
				out = append(out, Version{Step: parseStepKey(k), Why: err.Error()})
				continue
			}
			out = append(out, Version{c.Step, c.At, c.Who, c.Why, c.From, len(c.Tables), c.Masked != nil, c.Levels != nil})
		}
		return nil
	})
	return out, err
}

// ErrNoVersion is returned for a version that the history does not hold.
var ErrNoVersion = errors.New("no such version is kept")

// At returns the content of a version: that of the last snapshot up to it, with the changes since applied.
func (s *Store) At(step tables.Step) (saved control.SavedState, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		cur := tx.Bucket(snapshotsBucket).Cursor()
		k, v := cur.Seek(stepKey(step + 1))
		if k == nil {
			k, v = cur.Last()
		} else {
			k, v = cur.Prev()
		}
		if k == nil || tx.Bucket(historyBucket).Get(stepKey(step)) == nil {
			return fmt.Errorf("version %d: %w", step, ErrNoVersion)
		}
		from := parseStepKey(k)
		var c snapshotRecord
		if err := decodeRecord(fmt.Sprintf("snapshots/%d", from), v, &c); err != nil {
			return withLastReadable(tx, err, from-1)
		}
		saved = control.SavedState{Step: from, At: c.At, Tables: c.Tables, Masked: c.Masked, Levels: c.Levels, Bound: c.Bound}
		if saved.Tables == nil {
			saved.Tables = map[logic.TableID]*tables.Table{}
		}
		if saved.Bound == nil {
			saved.Bound = map[logic.ProxyID][]logic.TableID{}
		}
		for next := from + 1; next <= step; next++ {
			v := tx.Bucket(historyBucket).Get(stepKey(next))
			if v == nil {
				return fmt.Errorf("version %d: step %d is missing: %w", step, next, ErrNoVersion)
			}
			var change control.Change
			if err := decodeRecord(fmt.Sprintf("history/%d", next), v, &change); err != nil {
				return withLastReadable(tx, err, from)
			}
			change.Carried, change.Pinned = nil, nil // snapshots do not hold these: the result would be partial
			saved.Apply(change)
		}
		return nil
	})
	return saved, err
}

// withLastReadable sets LastReadable of a CorruptError to the newest intact snapshot up to a step. It returns other
// errors unchanged.
func withLastReadable(tx *bbolt.Tx, err error, upTo tables.Step) error {
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) {
		return err
	}
	cur := tx.Bucket(snapshotsBucket).Cursor()
	for k, v := cur.Last(); k != nil; k, v = cur.Prev() {
		var c snapshotRecord
		if parseStepKey(k) <= upTo && decodeRecord("", v, &c) == nil {
			corrupt.LastReadable = parseStepKey(k)
			break
		}
	}
	return corrupt
}

// Verify reads every record. It returns the number of records in the history and the snapshots, and all errors found.
func (s *Store) Verify() (records int, faults []error) {
	err := s.db.View(func(tx *bbolt.Tx) error {
		if _, err := load(tx); err != nil {
			faults = append(faults, err)
		}
		for name, v := range map[string]func() any{"history": func() any { return &control.Change{} }, "snapshots": func() any { return &snapshotRecord{} }} {
			var previous tables.Step
			tx.Bucket([]byte(name)).ForEach(func(k, b []byte) error {
				records++
				step := parseStepKey(k)
				if err := decodeRecord(fmt.Sprintf("%s/%d", name, step), b, v()); err != nil {
					faults = append(faults, withLastReadable(tx, err, step-1))
				}
				if name == "history" && previous > 0 && step != previous+1 {
					faults = append(faults, fmt.Errorf("history: version %d follows %d", step, previous))
				}
				previous = step
				return nil
			})
		}
		return nil
	})
	if err != nil {
		faults = append(faults, err)
	}
	return records, faults
}
