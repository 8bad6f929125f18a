package store

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// BenchmarkVersions writes versions of a large deployment with 160 slices and 78 hosts, each durable before the next:
// five tables change in each version, and the masks in every fourth. It then measures the time to reopen and load the
// store, and the time to read a version from the middle of the history.
func BenchmarkVersions(b *testing.B) {
	path := filepath.Join(b.TempDir(), "d")
	s, err := Open(path, Retention{})
	if err != nil {
		b.Fatal(err)
	}
	r := rand.New(rand.NewPCG(1, 2))
	host := func() tables.Address { return tables.Address(fmt.Sprintf("10.0.0.%d:80", r.IntN(78))) }
	table := func(id int) *tables.Table {
		from, to := tables.SliceRange(id, 160)
		return &tables.Table{From: &from, To: &to, Lines: map[tables.Address]float64{host(): 1, host(): 0.06}}
	}
	first := control.Change{Step: 1, At: 1, Tables: map[logic.TableID]*tables.Table{}}
	for id := range 160 {
		first.Tables[logic.TableID(id)] = table(id)
	}
	if err := s.Write([]control.Change{first}); err != nil {
		b.Fatal(err)
	}
	step := tables.Step(1)
	for b.Loop() {
		step++
		c := control.Change{Step: step, At: float64(step), Tables: map[logic.TableID]*tables.Table{}}
		for range 5 {
			id := r.IntN(160)
			c.Tables[logic.TableID(id)] = table(id)
		}
		if step%4 == 0 {
			c.Masked = map[tables.Address]bool{host(): true}
		}
		if err := s.Write([]control.Change{c}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "versions/s")
	s.Close()
	info, err := os.Stat(path)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(info.Size())/float64(step), "B/version")
	began := time.Now()
	if s, err = Open(path, Retention{}); err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	if _, err := s.Load(); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "ms-to-start")
	began = time.Now()
	if _, err := s.At(step/2 + 40); err != nil && step > 100 {
		b.Fatal(err)
	}
	b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "ms-to-read-one")
}
