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

// Retention says how much of the history is kept.
type Retention struct {
	Versions int
	AgeMs    float64
}

var (
	historyBucket   = []byte("history")   // step -> what it changed
	snapshotsBucket = []byte("snapshots") // step -> all of it
)

// every is how many steps lie between two snapshots: so many changes at most are read to get any version.
const snapshotInterval = 64

// Corrupt is a record whose content is not what was written. Whole is the newest version before it that can be read
// without it; 0: none.
type CorruptError struct {
	Record       string
	LastReadable tables.Step
}

func (e *CorruptError) Error() string {
	if e.LastReadable > 0 {
		return fmt.Sprintf("record %s is not what was written; version %d, a whole snapshot, can be read", e.Record, e.LastReadable)
	}
	return fmt.Sprintf("record %s is not what was written", e.Record)
}

// seal puts a checksum before a record, and open takes it off.
func encodeRecord(v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(text)), text...), nil
}

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

func keyStep(key []byte) tables.Step { return tables.Step(binary.BigEndian.Uint64(key)) }

// content is a version whole, as a snapshot holds it.
type snapshotRecord struct {
	At     float64
	Tables map[logic.TableID]*tables.Table
	Masked map[tables.Address]bool
	Levels []tables.Level
	Bound  map[logic.ProxyID][]logic.TableID
}

// record writes a step's change into the history, and every so often a snapshot.
func recordChange(tx *bbolt.Tx, c control.Change, keep Retention) error {
	c.Named, c.Known, c.List = nil, nil, nil
	b, err := encodeRecord(c)
	if err != nil {
		return err
	}
	h, s := tx.Bucket(historyBucket), tx.Bucket(snapshotsBucket)
	if err := h.Put(stepKey(c.Step), b); err != nil {
		return err
	}
	if last, _ := s.Cursor().Last(); last == nil || c.Step >= keyStep(last)+snapshotInterval {
		saved, err := load(tx)
		if err != nil {
			return err
		}
		b, err := encodeRecord(snapshotRecord{saved.At, saved.Tables, saved.Masked, saved.Levels, saved.Bound})
		if err != nil {
			return err
		}
		if err := s.Put(stepKey(c.Step), b); err != nil {
			return err
		}
		return trimHistory(tx, c, keep)
	}
	return nil
}

// trim forgets whole stretches between snapshots that are too old by both measures, so that what stays can be read.
func trimHistory(tx *bbolt.Tx, now control.Change, keep Retention) error {
	h, s := tx.Bucket(historyBucket), tx.Bucket(snapshotsBucket)
	if keep.Versions == 0 {
		return nil
	}
	cut := tables.Step(0)
	cur := s.Cursor()
	for k, v := cur.First(); k != nil; k, v = cur.Next() {
		step := keyStep(k)
		if uint64(now.Step-step) < uint64(keep.Versions) || now.Least > 0 && step > now.Least {
			break
		}
		var c snapshotRecord
		if decodeRecord("", v, &c) == nil && now.At-c.At < keep.AgeMs {
			break
		}
		cut = step
	}
	for _, b := range []*bbolt.Bucket{h, s} {
		var gone [][]byte
		cur := b.Cursor()
		for k, _ := cur.First(); k != nil && keyStep(k) < cut; k, _ = cur.Next() {
			gone = append(gone, append([]byte(nil), k...))
		}
		for _, k := range gone {
			if err := b.Delete(k); err != nil {
				return err
			}
		}
	}
	return nil
}

// Version tells of one without its content.
type Version struct {
	Step   tables.Step `json:"step"`
	At     float64     `json:"at"`
	Who    string      `json:"who,omitempty"`
	Why    string      `json:"why,omitempty"`
	From   tables.Step `json:"from,omitempty"`
	Tables int         `json:"tables"`
	Masks  bool        `json:"masks"`
	Levels bool        `json:"levels"`
}

// Versions gives the newest, the newest first.
func (s *Store) Versions(most int) (out []Version, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		cur := tx.Bucket(historyBucket).Cursor()
		for k, v := cur.Last(); k != nil && len(out) < most; k, v = cur.Prev() {
			var c control.Change
			if err := decodeRecord(fmt.Sprintf("history/%d", keyStep(k)), v, &c); err != nil {
				out = append(out, Version{Step: keyStep(k), Why: err.Error()})
				continue
			}
			out = append(out, Version{c.Step, c.At, c.Who, c.Why, c.From, len(c.Tables), c.Masked != nil, c.Levels != nil})
		}
		return nil
	})
	return out, err
}

// ErrNoVersion says that a version is not kept.
var ErrNoVersion = errors.New("no such version is kept")

// At gives a version's content: the last snapshot before it, and what changed since.
func (s *Store) At(step tables.Step) (saved control.Saved, err error) {
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
		from := keyStep(k)
		var c snapshotRecord
		if err := decodeRecord(fmt.Sprintf("snapshots/%d", from), v, &c); err != nil {
			return withLastReadable(tx, err, from-1)
		}
		saved = control.Saved{Step: from, At: c.At, Tables: c.Tables, Masked: c.Masked, Levels: c.Levels, Bound: c.Bound}
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
			change.Carried, change.Pinned = nil, nil // a snapshot has none, and a part of them would mislead
			saved.Apply(change)
		}
		return nil
	})
	return saved, err
}

// offer names the newest whole snapshot up to a step.
func withLastReadable(tx *bbolt.Tx, err error, upTo tables.Step) error {
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) {
		return err
	}
	cur := tx.Bucket(snapshotsBucket).Cursor()
	for k, v := cur.Last(); k != nil; k, v = cur.Prev() {
		var c snapshotRecord
		if keyStep(k) <= upTo && decodeRecord("", v, &c) == nil {
			corrupt.LastReadable = keyStep(k)
			break
		}
	}
	return corrupt
}

// Verify reads every record and gives what is wrong, and how many there are.
func (s *Store) Verify() (records int, wrong []error) {
	err := s.db.View(func(tx *bbolt.Tx) error {
		if _, err := load(tx); err != nil {
			wrong = append(wrong, err)
		}
		for name, v := range map[string]func() any{"history": func() any { return &control.Change{} }, "snapshots": func() any { return &snapshotRecord{} }} {
			var before tables.Step
			tx.Bucket([]byte(name)).ForEach(func(k, b []byte) error {
				records++
				step := keyStep(k)
				if err := decodeRecord(fmt.Sprintf("%s/%d", name, step), b, v()); err != nil {
					wrong = append(wrong, withLastReadable(tx, err, step-1))
				}
				if name == "history" && before > 0 && step != before+1 {
					wrong = append(wrong, fmt.Errorf("history: version %d follows %d", step, before))
				}
				before = step
				return nil
			})
		}
		return nil
	})
	if err != nil {
		wrong = append(wrong, err)
	}
	return records, wrong
}
