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
	history   = []byte("history")   // step -> what it changed
	snapshots = []byte("snapshots") // step -> all of it
)

// every is how many steps lie between two snapshots: so many changes at most are read to get any version.
const every = 64

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
func seal(v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(text)), text...), nil
}

func unseal(record string, b []byte, v any) error {
	if len(b) < 8 || binary.BigEndian.Uint64(b) != xxhash.Sum64(b[8:]) {
		return &CorruptError{Record: record}
	}
	if err := json.Unmarshal(b[8:], v); err != nil {
		return fmt.Errorf("record %s: %w", record, err)
	}
	return nil
}

func stepKey(s tables.Step) []byte { return binary.BigEndian.AppendUint64(nil, uint64(s)) }

func stepOf(key []byte) tables.Step { return tables.Step(binary.BigEndian.Uint64(key)) }

// content is a version whole, as a snapshot holds it.
type content struct {
	At     float64
	Tables map[logic.TableID]*tables.Table
	Masked map[tables.Address]bool
	Levels []tables.Level
	Bound  map[logic.ProxyID][]logic.TableID
}

// record writes a step's change into the history, and every so often a snapshot.
func record(tx *bbolt.Tx, c control.Change, keep Retention) error {
	c.Named, c.Known, c.List = nil, nil, nil
	b, err := seal(c)
	if err != nil {
		return err
	}
	h, s := tx.Bucket(history), tx.Bucket(snapshots)
	if err := h.Put(stepKey(c.Step), b); err != nil {
		return err
	}
	if last, _ := s.Cursor().Last(); last == nil || c.Step >= stepOf(last)+every {
		saved, err := load(tx)
		if err != nil {
			return err
		}
		b, err := seal(content{saved.At, saved.Tables, saved.Masked, saved.Levels, saved.Bound})
		if err != nil {
			return err
		}
		if err := s.Put(stepKey(c.Step), b); err != nil {
			return err
		}
		return trim(tx, c, keep)
	}
	return nil
}

// trim forgets whole stretches between snapshots that are too old by both measures, so that what stays can be read.
func trim(tx *bbolt.Tx, now control.Change, keep Retention) error {
	h, s := tx.Bucket(history), tx.Bucket(snapshots)
	if keep.Versions == 0 {
		return nil
	}
	cut := tables.Step(0)
	cur := s.Cursor()
	for k, v := cur.First(); k != nil; k, v = cur.Next() {
		step := stepOf(k)
		if uint64(now.Step-step) < uint64(keep.Versions) || now.Least > 0 && step > now.Least {
			break
		}
		var c content
		if unseal("", v, &c) == nil && now.At-c.At < keep.AgeMs {
			break
		}
		cut = step
	}
	for _, b := range []*bbolt.Bucket{h, s} {
		var gone [][]byte
		cur := b.Cursor()
		for k, _ := cur.First(); k != nil && stepOf(k) < cut; k, _ = cur.Next() {
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
		cur := tx.Bucket(history).Cursor()
		for k, v := cur.Last(); k != nil && len(out) < most; k, v = cur.Prev() {
			var c control.Change
			if err := unseal(fmt.Sprintf("history/%d", stepOf(k)), v, &c); err != nil {
				out = append(out, Version{Step: stepOf(k), Why: err.Error()})
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
		cur := tx.Bucket(snapshots).Cursor()
		k, v := cur.Seek(stepKey(step + 1))
		if k == nil {
			k, v = cur.Last()
		} else {
			k, v = cur.Prev()
		}
		if k == nil || tx.Bucket(history).Get(stepKey(step)) == nil {
			return fmt.Errorf("version %d: %w", step, ErrNoVersion)
		}
		from := stepOf(k)
		var c content
		if err := unseal(fmt.Sprintf("snapshots/%d", from), v, &c); err != nil {
			return offer(tx, err, from-1)
		}
		saved = control.Saved{Step: from, At: c.At, Tables: c.Tables, Masked: c.Masked, Levels: c.Levels, Bound: c.Bound}
		if saved.Tables == nil {
			saved.Tables = map[logic.TableID]*tables.Table{}
		}
		if saved.Bound == nil {
			saved.Bound = map[logic.ProxyID][]logic.TableID{}
		}
		for next := from + 1; next <= step; next++ {
			v := tx.Bucket(history).Get(stepKey(next))
			if v == nil {
				return fmt.Errorf("version %d: step %d is missing: %w", step, next, ErrNoVersion)
			}
			var change control.Change
			if err := unseal(fmt.Sprintf("history/%d", next), v, &change); err != nil {
				return offer(tx, err, from)
			}
			change.Carried, change.Pinned = nil, nil // a snapshot has none, and a part of them would mislead
			saved.Apply(change)
		}
		return nil
	})
	return saved, err
}

// offer names the newest whole snapshot up to a step.
func offer(tx *bbolt.Tx, err error, upTo tables.Step) error {
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) {
		return err
	}
	cur := tx.Bucket(snapshots).Cursor()
	for k, v := cur.Last(); k != nil; k, v = cur.Prev() {
		var c content
		if stepOf(k) <= upTo && unseal("", v, &c) == nil {
			corrupt.LastReadable = stepOf(k)
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
		for name, v := range map[string]func() any{"history": func() any { return &control.Change{} }, "snapshots": func() any { return &content{} }} {
			var before tables.Step
			tx.Bucket([]byte(name)).ForEach(func(k, b []byte) error {
				records++
				step := stepOf(k)
				if err := unseal(fmt.Sprintf("%s/%d", name, step), b, v()); err != nil {
					wrong = append(wrong, offer(tx, err, step-1))
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
