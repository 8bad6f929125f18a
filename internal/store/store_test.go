package store

import (
	"errors"
	"fmt"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
	"pgregory.net/rapid"

	"vetchwood/internal/control"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

func TestWhatIsWrittenIsReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "d.db")
	s, err := Open(path, Retention{})
	if err != nil {
		t.Fatal(err)
	}
	first, err := s.Load()
	if err != nil || first.History == 0 || first.Step != 0 {
		t.Fatalf("%+v, %v", first, err)
	}
	from, to := uint64(0), uint64(9)
	table := &tables.Table{From: &from, To: &to, Lines: map[tables.Address]float64{"a:1": 0.25}}
	err = s.Write([]control.Change{
		{Step: 1, At: 5, Tables: map[logic.TableID]*tables.Table{3: table, 4: table}, Masked: map[tables.Address]bool{"a:1": true},
			Bound: map[logic.ProxyID][]logic.TableID{2: {1, -1}}},
		{Step: 2, At: 6, Tables: map[logic.TableID]*tables.Table{4: nil}, Bound: map[logic.ProxyID][]logic.TableID{2: nil}},
		{List: []control.HostEntry{{ID: "h", Address: "a:1", State: logic.Draining, StartedAt: 12.5}},
			Known: map[tables.Address]control.KnownHost{"a:1": {Number: 9}}, Named: map[logic.ProxyID]string{3: "q"}},
		{Named: map[logic.ProxyID]string{3: "p"}}, // the number is reassigned to another proxy
	})
	if err != nil {
		t.Fatal(err)
	}
	// Stores of an earlier release hold all proxy names in one record.
	if err = s.db.Update(func(tx *bbolt.Tx) error { return putRecord(tx.Bucket(metaBucket), "proxies", map[string]int{"o": 1}) }); err != nil {
		t.Fatal(err)
	}
	s.Close()
	if s, err = Open(path, Retention{}); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	got, err := s.Load()
	want := control.SavedState{History: first.History, Step: 2, At: 6, Tables: map[logic.TableID]*tables.Table{3: table},
		Masked: map[tables.Address]bool{"a:1": true}, Bound: map[logic.ProxyID][]logic.TableID{},
		Proxies: map[string]logic.ProxyID{"o": 1, "p": 3}, Known: map[tables.Address]control.KnownHost{"a:1": {Number: 9}},
		List: []control.HostEntry{{ID: "h", Address: "a:1", State: logic.Draining, StartedAt: 12.5}}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%v\n%+v\n%+v", err, got, want)
	}
	if _, err := Open(path, Retention{}); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Fatalf("opening an open store: error %v, wanted one that names another process", err)
	}
}

func TestARecordThatCantBeReadIsNamed(t *testing.T) {
	for bucket, record := range map[string]string{"meta": "meta/levels", "tables": "tables/7", "bound": "bound/7"} {
		path := filepath.Join(t.TempDir(), "d.db")
		s, err := Open(path, Retention{})
		if err != nil {
			t.Fatal(err)
		}
		key := record[len(bucket)+1:]
		s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket([]byte(bucket)).Put([]byte(key), []byte("{torn")) })
		if _, err := s.Load(); err == nil || !strings.Contains(err.Error(), record) {
			t.Errorf("error %v, wanted one that names the unreadable record", err)
		}
		s.Close()
	}
}

// writeDrawnHistory writes a drawn history to the store and returns the content of each version as text.
func writeDrawnHistory(t *rapid.T, s *Store, steps int) map[tables.Step]string {
	contents := map[tables.Step]string{}
	state := control.SavedState{Tables: map[logic.TableID]*tables.Table{}, Bound: map[logic.ProxyID][]logic.TableID{}}
	weight := rapid.Float64Range(0.01, 9)
	for step := tables.Step(1); step <= tables.Step(steps); step++ {
		c := control.Change{Step: step, At: float64(step), Tables: map[logic.TableID]*tables.Table{}}
		for range rapid.IntRange(0, 3).Draw(t, "changes") {
			id := logic.TableID(rapid.IntRange(0, 5).Draw(t, "table"))
			if c.Tables[id] = (&tables.Table{Lines: map[tables.Address]float64{"a:1": weight.Draw(t, "a"), "b:1": weight.Draw(t, "b")}}); rapid.IntRange(0, 9).Draw(t, "gone") == 0 {
				c.Tables[id] = nil
			}
		}
		if rapid.Bool().Draw(t, "masks") {
			c.Masked = map[tables.Address]bool{"a:1": true}
		}
		if err := s.Write([]control.Change{c}); err != nil {
			t.Fatal(err)
		}
		state.Apply(c)
		contents[step] = fmt.Sprintf("%+v %v", tablesOf(state), state.Masked)
	}
	return contents
}

// tablesOf returns the tables by value, so that they are formatted by content and not by pointer.
func tablesOf(s control.SavedState) map[logic.TableID]tables.Table {
	out := map[logic.TableID]tables.Table{}
	for id, t := range s.Tables {
		out[id] = *t
	}
	return out
}

// Every retained version must be read as it was written, across snapshots and a restart, and versions beyond the
// retention must be reported as not stored.
func TestEveryKeptVersionIsReadAsItWas(t *testing.T) {
	dir := t.TempDir()
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		n++
		path := filepath.Join(dir, fmt.Sprint(n))
		s, err := Open(path, Retention{Versions: 40})
		if err != nil {
			t.Fatal(err)
		}
		s.db.NoSync = true
		steps := rapid.IntRange(1, 160).Draw(t, "steps")
		contents := writeDrawnHistory(t, s, steps)
		s.Close()
		if s, err = Open(path, Retention{Versions: 40}); err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		retained := 0
		for step, want := range contents {
			got, err := s.At(step)
			if errors.Is(err, ErrNoVersion) && int(step) <= steps-40 {
				continue
			}
			if retained++; err != nil || fmt.Sprintf("%+v %v", tablesOf(got), got.Masked) != want {
				t.Fatalf("version %d of %d: %v\n%+v\n%s", step, steps, err, tablesOf(got), want)
			}
		}
		if _, faults := s.Verify(); len(faults) > 0 || retained > 40+2*snapshotInterval {
			t.Fatalf("faults %v; %d versions retained", faults, retained)
		}
		if _, err := s.At(tables.Step(steps + 1)); !errors.Is(err, ErrNoVersion) {
			t.Fatalf("reading a version that is not written yet: error %v, wanted ErrNoVersion", err)
		}
	})
}

// If a record is corrupt, reading a version that depends on it must fail with an error that names the record and the
// last intact snapshot before it, while all other versions remain readable.
func TestACorruptVersionIsRefused(t *testing.T) {
	s, err := Open(filepath.Join(t.TempDir(), "d"), Retention{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.db.NoSync = true
	for step := tables.Step(1); step <= 150; step++ {
		table := &tables.Table{Lines: map[tables.Address]float64{"a:1": float64(step)}}
		if err := s.Write([]control.Change{{Step: step, At: float64(step), Tables: map[logic.TableID]*tables.Table{0: table}}}); err != nil {
			t.Fatal(err)
		}
	}
	s.db.Update(func(tx *bbolt.Tx) error {
		b := append([]byte(nil), tx.Bucket(historyBucket).Get(stepKey(100))...)
		b[len(b)/2] ^= 1
		return tx.Bucket(historyBucket).Put(stepKey(100), b)
	})
	for step, ok := range map[tables.Step]bool{99: true, 100: false, 120: false, 129: true, 150: true} {
		got, err := s.At(step)
		var corrupt *CorruptError
		if ok && (err != nil || got.Tables[0].Lines["a:1"] != float64(step)) || !ok && (!errors.As(err, &corrupt) || corrupt.Record != "history/100" || corrupt.LastReadable != 65) {
			t.Errorf("version %d: %v, %v", step, got.Tables[0], err)
		}
	}
	if n, faults := s.Verify(); n < 150 || len(faults) != 1 || !strings.Contains(faults[0].Error(), "history/100") {
		t.Errorf("%d records, faults: %v", n, faults)
	}
	if all, err := s.Versions(60); err != nil || len(all) != 60 || all[50].Step != 100 || !strings.Contains(all[50].Why, "history/100") {
		t.Errorf("Versions does not report the corrupt record: %v", err)
	}
}

// A version that a joined proxy holds must be retained, however old it is.
func TestVersionHeldByAProxyIsRetained(t *testing.T) {
	s, err := Open(filepath.Join(t.TempDir(), "d"), Retention{Versions: 10})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.db.NoSync = true
	for step := tables.Step(1); step <= 400; step++ {
		least := tables.Step(100)
		if step > 300 {
			least = step
		}
		if err := s.Write([]control.Change{{Step: step, At: float64(step), OldestInUse: least}}); err != nil {
			t.Fatal(err)
		}
		_, err := s.At(100)
		if (err == nil) != (step >= 100 && step < 321) { // the first snapshot after step 300 trims the history
			t.Fatalf("after step %d: reading version 100: %v", step, err)
		}
	}
}

func FuzzDecodeRecord(f *testing.F) {
	good, _ := encodeRecord(control.Change{Step: 3, Tables: map[logic.TableID]*tables.Table{1: {Lines: map[tables.Address]float64{"a:1": 1}}}})
	f.Add(good)
	f.Add(good[:9])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		var c control.Change
		if err := decodeRecord("r", b, &c); err == nil {
			again, err := encodeRecord(c)
			var d control.Change
			if err != nil || decodeRecord("r", again, &d) != nil {
				t.Fatalf("%v", err)
			}
		} else if !strings.Contains(err.Error(), "record r") {
			t.Fatalf("the error does not name the record: %v", err)
		}
	})
}
