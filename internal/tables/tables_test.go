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

// drawDocument draws a document that may share tables by pointer with a previous one, as a director's documents do.
func drawDocument(t *rapid.T, previous *Document, step Step) *Document {
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
	if previous != nil {
		for name, table := range previous.Tables {
			if rapid.Bool().Draw(t, "kept") {
				d.Tables[name] = table
			}
		}
	}
	return d.Seal(7, step, float64(step)*1.25)
}

// Applying a patch must yield exactly the document that the director encoded, with Apply as well as with any other
// implementation of RFC 6902.
func TestDeltaGivesTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawDocument(t, nil, 1)
		b := drawDocument(t, a, 2)
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
			t.Fatalf("plain RFC 6902 implementation: result %s, error %v", out, err)
		}
		if !bytes.Equal(before, a.JSON()) {
			t.Fatal("Apply modified the base document")
		}
		if parsed, err := ParseETag(b.Tag().ETag()); err != nil || parsed != b.Tag() {
			t.Fatalf("%v, %v", parsed, err)
		}
	})
}

// A patch composed over any number of steps must yield the target document, with no more operations than a patch made
// by comparing the two documents.
func TestComposedDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		docs := []*Document{drawDocument(t, nil, 1)}
		last := Step(rapid.IntRange(2, 6).Draw(t, "steps"))
		for step := Step(2); step <= last; step++ {
			previous := docs[len(docs)-1]
			d := drawDocument(t, previous, step)
			if rapid.IntRange(0, 3).Draw(t, "odd") > 0 { // in most cases the same tables with changed lines
				tables := map[string]*Table{}
				for name, table := range previous.Tables {
					if tables[name] = table; d.Tables[name] != nil && d.Tables[name] != table && len(table.Levels) == 0 {
						tables[name] = &Table{From: table.From, To: table.To, Lines: d.Tables[name].Lines}
					}
				}
				d.Tables = tables
			}
			d.SetPrevious(previous)
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
			t.Fatalf("error %v, or the result is not the target\nbase %s\npatch %s\ntarget %s", err, base.JSON(), patch, target.JSON())
		}
		if compared := Diff(base, target); len(ops) != len(compared) {
			t.Fatalf("composed patch has %d operations, wanted %d as by comparison\n%s", len(ops), len(compared), patch)
		}
	})
}

// BenchmarkMissedSteps computes the patch for a proxy that missed eight steps of a large deployment in three ways:
// composed from the patches of the steps, by comparing documents that share unchanged tables by pointer, and by
// comparing documents line by line.
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
			previous, d := docs[len(docs)-1], base.Copy()
			d.Tables = map[string]*Table{}
			for name, table := range previous.Tables {
				d.Tables[name] = table
			}
			for i := range 5 {
				d.Tables[fmt.Sprint(int(step)*7+i)] = &Table{Lines: map[Address]float64{"10.9.9.9:80": float64(step)}}
			}
			d.Seal(1, step, float64(step)).SetPrevious(previous)
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
				t.Fatalf("slice %d of %d covers %d..%d, wanted a range that starts at %d", i, n, from, to, next)
			}
			next = to + 1
			for _, h := range []uint64{from, to} {
				if got := int(h * uint64(n) >> 32); got != i {
					t.Fatalf("hash %x of %d slices is in slice %d, wanted %d", h, n, got, i)
				}
			}
		}
		if next != 1<<32 {
			t.Fatalf("%d slices cover hashes up to %x, wanted 1<<32", n, next)
		}
	}
	if SliceOf("a key", 64) < 0 || SliceOf("a key", 64) > 63 {
		t.Fatal("SliceOf returned a slice out of range")
	}
}

func TestDocumentsThatCantBeFollowedAreRefused(t *testing.T) {
	ok := `{"version":"7.2","at":1,"routes":{"r":{"level":1,"tries":1,"table":"t"}},"hosts":{},"masked":{},"tables":{"t":{"lines":{"h":1}}}}`
	if _, err := Parse([]byte(ok)); err != nil {
		t.Fatal(err)
	}
	for change, message := range map[string]string{
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
		if err == nil || !strings.Contains(err.Error(), message) {
			t.Errorf("%s: error %v, wanted one that contains %s", change, err, message)
		}
	}
}

// A patch that cannot be applied, or whose result is not a valid document, must be refused with an error that says why,
// and the base document stays in force.
func TestPatchesThatDontApply(t *testing.T) {
	base, err := Parse([]byte(`{"version":"7.2","at":1,"routes":{},"hosts":{},"masked":{},"tables":{"t":{"lines":{"h":1}}}}`))
	if err != nil {
		t.Fatal(err)
	}
	for _, patch := range []string{`{}`, `[{"op":"remove","path":"/tables/u"}]`, `[{"op":"replace","path":"/tables/t/lines/h","value":0}]`,
		`[{"op":"test","path":"/version","value":"7.3"}]`, `[{"op":"replace","path":"/version","value":"nothing"}]`, `[`,
		`[{"op":"replace","path":"","value":[]}]`} {
		if d, err := Apply(base, []byte(patch)); err == nil {
			t.Errorf("patch %s was accepted and gave %s", patch, d.JSON())
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
					t.Fatalf("weight %v was accepted", w)
				}
			}
		}
	})
}

// BenchmarkDelta computes and encodes the patch for one step of a large deployment, in which 5 of 160 or 1000 tables
// change, and encodes the whole document for comparison.
func BenchmarkDelta(b *testing.B) {
	for _, tables := range []int{160, 1000} {
		build := func(step Step) *Document {
			d := &Document{PickPolicy: "pair", KeyHash: KeyHash, Routes: map[string]Route{}, Hosts: map[Address]Host{}, Masked: map[Address]bool{},
				Tables: map[string]*Table{}}
			for i := range tables {
				d.Tables[fmt.Sprint(i)] = &Table{Lines: map[Address]float64{Address(fmt.Sprintf("10.0.0.%d:80", i%78)): 1,
					Address(fmt.Sprintf("10.0.0.%d:80", (i*7+1)%78)): 0.06}}
			}
			return d.Seal(1, step, 1)
		}
		base, target := build(1), build(2)
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
