// Package engines measures embedded stores with the write pattern of a director, so that the choice of a store can be
// checked again. It is a module of its own because the program needs only the chosen store.
package engines

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"go.etcd.io/bbolt"
)

// record is one key with its value.
type record struct{ key, value []byte }

// step returns the records that version n of a large deployment writes in one durable batch, those of the state and of
// the history: up to 5 of 160 tables change. Every 64th version adds a record of the size of a snapshot of all tables.
func step(n uint64, r *rand.Rand) (out []record) {
	type table struct {
		From, To uint64
		Lines    map[string]float64
	}
	changed := map[int]table{}
	for range 5 {
		changed[r.IntN(160)] = table{1 << 20, 1 << 21, map[string]float64{fmt.Sprintf("10.0.0.%d:80", r.IntN(78)): 1, fmt.Sprintf("10.0.0.%d:80", r.IntN(78)): 0.06}}
	}
	for id, t := range changed {
		text, _ := json.Marshal(t)
		out = append(out, record{fmt.Appendf(nil, "t%03d", id), text})
	}
	text, _ := json.Marshal(changed)
	out = append(out, record{binary.BigEndian.AppendUint64([]byte("h"), n), text}, record{[]byte("step"), fmt.Append(nil, n)})
	if n%64 == 0 {
		out = append(out, record{binary.BigEndian.AppendUint64([]byte("s"), n), make([]byte, 160*90)})
	}
	return out
}

// engine is a store under measurement.
type engine interface {
	write([]record) error
	close() error
}

// bolt is bbolt as an engine.
type bolt struct{ db *bbolt.DB }

func (b bolt) write(records []record) error {
	return b.db.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists([]byte("b"))
		for _, r := range records {
			if err == nil {
				err = bucket.Put(r.key, r.value)
			}
		}
		return err
	})
}
func (b bolt) close() error { return b.db.Close() }

// pebbles is Pebble as an engine.
type pebbles struct{ db *pebble.DB }

func (p pebbles) write(records []record) error {
	b := p.db.NewBatch()
	for _, r := range records {
		if err := b.Set(r.key, r.value, nil); err != nil {
			return err
		}
	}
	return b.Commit(pebble.Sync)
}
func (p pebbles) close() error { return p.db.Close() }

// quiet is a Pebble logger that discards all but fatal messages.
type quiet struct{}

func (quiet) Infof(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(f string, a ...any) {
	panic(fmt.Sprintf(f, a...))
}

// engines opens each engine in a directory.
var engines = map[string]func(dir string) (engine, error){
	"bbolt": func(dir string) (engine, error) {
		db, err := bbolt.Open(filepath.Join(dir, "db"), 0o600, &bbolt.Options{FreelistType: bbolt.FreelistMapType})
		return bolt{db}, err
	},
	"pebble": func(dir string) (engine, error) {
		db, err := pebble.Open(dir, &pebble.Options{Logger: quiet{}})
		return pebbles{db}, err
	},
}

// size returns the total size in bytes of the files in a directory.
func size(dir string) (n int64) {
	filepath.Walk(dir, func(_ string, i os.FileInfo, err error) error {
		if err == nil && !i.IsDir() {
			n += i.Size()
		}
		return nil
	})
	return n
}

// BenchmarkSteps measures the time per version, the stored bytes per version and the time to open the store again.
func BenchmarkSteps(b *testing.B) {
	for _, name := range []string{"bbolt", "pebble"} {
		b.Run(name, func(b *testing.B) {
			dir, r := b.TempDir(), rand.New(rand.NewPCG(1, 2))
			e, err := engines[name](dir)
			if err != nil {
				b.Fatal(err)
			}
			n := uint64(0)
			for b.Loop() {
				n++
				if err := e.write(step(n, r)); err != nil {
					b.Fatal(err)
				}
			}
			if err := e.close(); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(size(dir))/float64(n), "B/version")
			start := time.Now()
			if e, err = engines[name](dir); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "ms-to-open")
			e.close()
		})
	}
}
