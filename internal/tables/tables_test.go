package tables

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"pgregory.net/rapid"
)

// drawn makes documents that share tables by pointer now and then, as the director's do.
func drawn(t *rapid.T, was *Document, step Step) *Document {
	names := rapid.SampledFrom([]string{"0", "1", "2", "a/b", "c~d", "~1"})
	hosts := rapid.SampledFrom([]Address{"127.0.0.1:1", "127.0.0.1:2", "[::1]:3", "10.0.0.1:4"})
	levels := rapid.Custom(func(t *rapid.T) Level {
		return Level{rapid.SampledFrom([]float64{0, 0.05, 0.35, 1}).Draw(t, "level"), rapid.IntRange(0, 3).Draw(t, "tries")}
	})
	table := rapid.Custom(func(t *rapid.T) *Table {
		n := uint64(rapid.Uint32().Draw(t, "to"))
		from := n / 2
		return &Table{From: &from, To: &n, Lines: rapid.MapOfN(hosts, rapid.Float64Range(1e-9, 1e9), 0, 4).Draw(t, "lines"),
			Levels: rapid.MapOfN(rapid.SampledFrom([]string{"read", "note"}), levels, 0, 2).Draw(t, "levels")}
	})
	d := &Document{PickPolicy: "lottery", KeyHash: KeyHash, Tables: rapid.MapOfN(names, table, 0, 5).Draw(t, "tables"),
		Masked: rapid.MapOfN(hosts, rapid.Just(true), 0, 3).Draw(t, "masked"),
		Hosts: rapid.MapOfN(hosts, rapid.Custom(func(t *rapid.T) Host {
			return Host{ID: rapid.StringN(0, 4, 8).Draw(t, "id"), Zone: "z"}
		}), 0, 4).Draw(t, "hosts"),
		Routes: map[string]Route{"read": {Level: levels.Draw(t, "read"), Idempotency: "repeatable", SLOMs: 1200, TimeLimitMs: 3000}}}
	if was != nil {
		for name, table := range was.Tables {
			if rapid.Bool().Draw(t, "kept") {
				d.Tables[name] = table
			}
		}
	}
	return d.Seal(7, step, float64(step)*1.25)
}

// A patch must give just what the director encoded, by our own reader and by any other that knows RFC 6902.
func TestDeltaGivesTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawn(t, nil, 1)
		b := drawn(t, a, 2)
		patch, err := json.Marshal(Diff(a, b))
		if err != nil {
			t.Fatal(err)
		}
		before := bytes.Clone(a.JSON())
		got, err := Apply(a, patch)
		if err != nil {
			t.Fatalf("%v\n%s", err, patch)
		}
		if got.Tag() != b.Tag() {
			t.Fatalf("tag %v, wanted %v\n%s\n%s\n%s", got.Tag(), b.Tag(), a.JSON(), patch, got.JSON())
		}
		other, err := jsonpatch.DecodePatch(patch)
		if err != nil {
			t.Fatal(err)
		}
		out, err := other.Apply(a.JSON())
		if err != nil || !jsonpatch.Equal(out, b.JSON()) {
			t.Fatalf("another reader gets %s, %v", out, err)
		}
		if !bytes.Equal(before, a.JSON()) {
			t.Fatal("the base was written to")
		}
		if parsed, err := ParseETag(b.Tag().ETag()); err != nil || parsed != b.Tag() {
			t.Fatalf("%v, %v", parsed, err)
		}
	})
}

// Over any number of steps the composed patch gives the target, and says no more than a comparison would.
func TestComposedDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		docs := []*Document{drawn(t, nil, 1)}
		last := Step(rapid.IntRange(2, 6).Draw(t, "steps"))
		for step := Step(2); step <= last; step++ {
			was := docs[len(docs)-1]
			d := drawn(t, was, step)
			if rapid.IntRange(0, 3).Draw(t, "odd") > 0 { // as a rule the same tables with other lines
				tables := map[string]*Table{}
				for name, table := range was.Tables {
					if tables[name] = table; d.Tables[name] != nil && d.Tables[name] != table && len(table.Levels) == 0 {
						tables[name] = &Table{From: table.From, To: table.To, Lines: d.Tables[name].Lines}
					}
				}
				d.Tables = tables
			}
			d.SetPrevious(was)
			docs = append(docs, d)
		}
		base, target := docs[rapid.IntRange(0, len(docs)-2).Draw(t, "base")], docs[len(docs)-1]
		ops := target.PatchFrom(base)
		patch, err := json.Marshal(ops)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Apply(base, patch)
		if err != nil || got.Tag() != target.Tag() {
			t.Fatalf("%v\n%s\n%s\n%s", err, base.JSON(), patch, target.JSON())
		}
		if plain := Diff(base, target); len(ops) != len(plain) {
			t.Fatalf("%d operations, a comparison says %d\n%s", len(ops), len(plain), patch)
		}
	})
}

// A proxy that missed eight steps of a large deployment: what changed, composed; both documents compared, tables shared;
// and compared line by line, as without any record of what changed.
func BenchmarkMissedSteps(b *testing.B) {
	for _, lines := range []int{1000, 100000} {
		build := func() *Document {
			d := &Document{PickPolicy: "pair", KeyHash: KeyHash, Routes: map[string]Route{}, Hosts: map[Address]Host{}, Masked: map[Address]bool{},
				Tables: map[string]*Table{}}
			for i := range lines / 10 {
				t := &Table{Lines: map[Address]float64{}}
				for j := range 10 {
					t.Lines[Address(fmt.Sprintf("10.0.%d.%d:80", j, i%78))] = 1
				}
				d.Tables[fmt.Sprint(i)] = t
			}
			return d.Seal(1, 1, 1)
		}
		base := build()
		docs := []*Document{base}
		for step := Step(2); step < 10; step++ {
			was, d := docs[len(docs)-1], base.Copy()
			d.Tables = map[string]*Table{}
			for name, table := range was.Tables {
				d.Tables[name] = table
			}
			for i := range 5 {
				d.Tables[fmt.Sprint(int(step)*7+i)] = &Table{Lines: map[Address]float64{"10.9.9.9:80": float64(step)}}
			}
			d.Seal(1, step, float64(step)).SetPrevious(was)
			docs = append(docs, d)
		}
		target, copied := docs[len(docs)-1], build()
		target.PatchFrom(base)
		b.Run(fmt.Sprintf("lines=%d/composed", lines), func(b *testing.B) {
			for b.Loop() {
				target.PatchFrom(base)
			}
		})
		b.Run(fmt.Sprintf("lines=%d/shared", lines), func(b *testing.B) {
			for b.Loop() {
				Diff(base, target)
			}
		})
		b.Run(fmt.Sprintf("lines=%d/plain", lines), func(b *testing.B) {
			for b.Loop() {
				Diff(copied, target)
			}
		})
	}
}

func TestSlicesCoverAllKeys(t *testing.T) {
	for _, n := range []int{1, 2, 3, 64, 71, 4096} {
		next := uint64(0)
		for i := range n {
			from, to := SliceRange(i, n)
			if from != next || to < from {
				t.Fatalf("slice %d of %d: %d..%d after %d", i, n, from, to, next)
			}
			next = to + 1
			for _, h := range []uint64{from, to} {
				if got := int(h * uint64(n) >> 32); got != i {
					t.Fatalf("hash %x of %d slices is in %d, not %d", h, n, got, i)
				}
			}
		}
		if next != 1<<32 {
			t.Fatalf("%d slices end at %x", n, next)
		}
	}
	if SliceOf("a key", 64) < 0 || SliceOf("a key", 64) > 63 {
		t.Fatal("out of range")
	}
}

func TestDocumentsThatCantBeFollowedAreRefused(t *testing.T) {
	ok := `{"version":"7.2","at":1,"routes":{"r":{"level":1,"tries":1,"table":"t"}},"hosts":{},"masked":{},"tables":{"t":{"lines":{"h":1}}}}`
	if _, err := Parse([]byte(ok)); err != nil {
		t.Fatal(err)
	}
	for change, says := range map[string]string{
		`"7.2"|"7"`:                       "version",
		`"7.2"|"x.2"`:                     "version",
		`{"h":1}|{"h":0}`:                 "weight",
		`{"h":1}|{"h":-1}`:                "weight",
		`{"h":1}|{"h":1e300}`:             "weight",
		`{"h":1}|{"h":"1"}`:               "lines",
		`"table":"t"|"table":"u"`:         `"u"`,
		`"tries":1|"tries":9`:             "tries",
		`"level":1|"level":-1`:            "level",
		`"lines":{"h":1}|"from":5`:        "from and to",
		`{"lines":{"h":1}}|null`:          "empty",
		`{"version"|{{"version"`:          "invalid",
		`"tables":{"t"|"tables":{"t":1,"`: "tables",
	} {
		from, to, _ := strings.Cut(change, "|")
		_, err := Parse([]byte(strings.Replace(ok, from, to, 1)))
		if err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%s: error %v, wanted one that says %s", change, err, says)
		}
	}
}

// A patch that does not apply must leave the base in force and say why.
func TestPatchesThatDontApply(t *testing.T) {
	base, err := Parse([]byte(`{"version":"7.2","at":1,"routes":{},"hosts":{},"masked":{},"tables":{"t":{"lines":{"h":1}}}}`))
	if err != nil {
		t.Fatal(err)
	}
	for _, patch := range []string{`{}`, `[{"op":"remove","path":"/tables/u"}]`, `[{"op":"replace","path":"/tables/t/lines/h","value":0}]`,
		`[{"op":"test","path":"/version","value":"7.3"}]`, `[{"op":"replace","path":"/version","value":"nothing"}]`, `[`,
		`[{"op":"replace","path":"","value":[]}]`} {
		if d, err := Apply(base, []byte(patch)); err == nil {
			t.Errorf("%s gave %s", patch, d.JSON())
		}
	}
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(`[{"op":"replace","path":"/version","value":"7.3"}]`))
	f.Add([]byte(`[{"op":"add","path":"/tables/u","value":{"lines":{"a":1}}},{"op":"move","from":"/tables/u","path":"/tables/v"}]`))
	f.Fuzz(func(t *testing.T, patch []byte) {
		base, _ := Parse([]byte(`{"version":"7.2","at":1,"routes":{},"hosts":{},"masked":{},"tables":{"t":{"lines":{"h":1}}}}`))
		d, err := Apply(base, patch)
		if err != nil {
			return
		}
		for _, table := range d.Tables {
			for _, w := range table.Lines {
				if !(w > 0) || math.IsInf(w, 0) {
					t.Fatalf("weight %v", w)
				}
			}
		}
	})
}

// One step of a large deployment: a few lines of 160 tables change.
func BenchmarkDelta(b *testing.B) {
	for _, tables := range []int{160, 1000} {
		make := func(step Step) *Document {
			d := &Document{PickPolicy: "pair", KeyHash: KeyHash, Routes: map[string]Route{}, Hosts: map[Address]Host{}, Masked: map[Address]bool{},
				Tables: map[string]*Table{}}
			for i := range tables {
				d.Tables[fmt.Sprint(i)] = &Table{Lines: map[Address]float64{Address(fmt.Sprintf("10.0.0.%d:80", i%78)): 1,
					Address(fmt.Sprintf("10.0.0.%d:80", (i*7+1)%78)): 0.06}}
			}
			return d.Seal(1, step, 1)
		}
		base, target := make(1), make(2)
		for name := range base.Tables {
			target.Tables[name] = base.Tables[name]
		}
		for i := range 5 {
			target.Tables[fmt.Sprint(i)] = &Table{Lines: map[Address]float64{"10.0.0.99:80": 1}}
		}
		b.Run(fmt.Sprintf("tables=%d/shared", tables), func(b *testing.B) {
			for b.Loop() {
				json.Marshal(Diff(base, target))
			}
		})
		b.Run(fmt.Sprintf("tables=%d/whole", tables), func(b *testing.B) {
			for b.Loop() {
				json.Marshal(target)
			}
		})
	}
}
