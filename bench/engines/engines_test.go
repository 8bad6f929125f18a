// Package engines measures embedded stores on the director's write pattern, so that the choice can be looked at again. It
// is a module of its own: the program needs only the one that was chosen.
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

// A step of a large deployment: five of 160 tables change, now and then a mask; the state's records and the history's
// are written in one durable batch.
type record struct{ key, value []byte }

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

type engine interface {
	write([]record) error
	close() error
}

type bolt struct{ db *bbolt.DB }

func (b bolt) write(all []record) error {
	return b.db.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists([]byte("b"))
		for _, r := range all {
			if err == nil {
				err = bucket.Put(r.key, r.value)
			}
		}
		return err
	})
}
func (b bolt) close() error { return b.db.Close() }

type pebbles struct{ db *pebble.DB }

func (p pebbles) write(all []record) error {
	b := p.db.NewBatch()
	for _, r := range all {
		if err := b.Set(r.key, r.value, nil); err != nil {
			return err
		}
	}
	return b.Commit(pebble.Sync)
}
func (p pebbles) close() error { return p.db.Close() }

type quiet struct{}

func (quiet) Infof(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(f string, a ...any) {
	panic(fmt.Sprintf(f, a...))
}

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

func size(dir string) (n int64) {
	filepath.Walk(dir, func(_ string, i os.FileInfo, err error) error {
		if err == nil && !i.IsDir() {
			n += i.Size()
		}
		return nil
	})
	return n
}

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
			began := time.Now()
			if e, err = engines[name](dir); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "ms-to-open")
			e.close()
		})
	}
}
