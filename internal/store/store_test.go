package store

import (
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"go.etcd.io/bbolt"

	"vetchwood/internal/control"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

func TestWhatIsWrittenIsReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "d.db")
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	first, err := s.Load()
	if err != nil || first.Line == 0 || first.Step != 0 {
		t.Fatalf("%+v, %v", first, err)
	}
	from, to := uint64(0), uint64(9)
	table := &tables.Table{From: &from, To: &to, Lines: map[tables.Address]float64{"a:1": 0.25}}
	err = s.Write([]control.Change{
		{Step: 1, At: 5, Tables: map[logic.TableID]*tables.Table{3: table, 4: table}, Masked: map[tables.Address]bool{"a:1": true},
			Bound: map[logic.ProxyID][]logic.TableID{2: {1, -1}}},
		{Step: 2, At: 6, Tables: map[logic.TableID]*tables.Table{4: nil}, Bound: map[logic.ProxyID][]logic.TableID{2: nil}},
		{List: []control.Listed{{ID: "h", Address: "a:1", State: logic.Draining, Born: 12.5}},
			Known: map[tables.Address]control.KnownHost{"a:1": {Number: 9}}, Proxies: map[string]logic.ProxyID{"p": 3}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	if s, err = Open(path); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	got, err := s.Load()
	want := control.Saved{Line: first.Line, Step: 2, At: 6, Tables: map[logic.TableID]*tables.Table{3: table},
		Masked: map[tables.Address]bool{"a:1": true}, Bound: map[logic.ProxyID][]logic.TableID{},
		Proxies: map[string]logic.ProxyID{"p": 3}, Known: map[tables.Address]control.KnownHost{"a:1": {Number: 9}},
		List: []control.Listed{{ID: "h", Address: "a:1", State: logic.Draining, Born: 12.5}}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%v\n%+v\n%+v", err, got, want)
	}
	if _, err := Open(path); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Fatalf("a second opener got %v", err)
	}
}

func TestARecordThatCantBeReadIsNamed(t *testing.T) {
	for bucket, says := range map[string]string{"meta": "meta/levels", "tables": "tables/7", "bound": "bound/7"} {
		path := filepath.Join(t.TempDir(), "d.db")
		s, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		key := says[len(bucket)+1:]
		s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket([]byte(bucket)).Put([]byte(key), []byte("{torn")) })
		if _, err := s.Load(); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%v", err)
		}
		s.Close()
	}
}
