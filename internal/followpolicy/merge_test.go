package followpolicy

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"vetchwood/internal/tables"
)

// Documents arrive from any director in any order. Each slice has the table with the highest fence so far, with the
// masks of the same director's document, and no slice is ever lost.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMerger()
		highestFence := map[string]uint64{}
		host := func(director int) tables.Address { return tables.Address(fmt.Sprint("h", director)) }
		var merged *tables.Document
		for step := range rapid.IntRange(1, 20).Draw(t, "documents") {
			director := rapid.IntRange(0, 2).Draw(t, "director")
			d := &tables.Document{Tables: map[string]*tables.Table{},
				Hosts:  map[tables.Address]tables.Host{host(director): {ID: fmt.Sprint(director)}},
				Masked: map[tables.Address]bool{host(director): step%2 == 0}}
			for s := range 3 {
				if rapid.Bool().Draw(t, "holds") {
					fence := uint64(3*rapid.IntRange(1, 5).Draw(t, "fence") + director) // no two directors have the same fence
					d.Tables[fmt.Sprint(s)] = &tables.Table{Fence: fence, Lines: map[tables.Address]float64{host(director): 1}}
				}
			}
			merged = m.Add(director, d.Seal(tables.HistoryID(director), tables.Step(step), 0))
			for name, table := range d.Tables {
				highestFence[name] = max(highestFence[name], table.Fence)
			}
			for name, fence := range highestFence {
				table := merged.Tables[name]
				if table == nil || table.Fence != fence {
					t.Fatalf("table %s is %+v, want the one with the highest fence %d", name, table, fence)
				}
				owner := int(fence % 3)
				doc, source := merged.SourceOf(name)
				if source != owner || table.Lines[host(owner)] != 1 || doc.History != tables.HistoryID(owner) ||
					merged.Hosts[host(owner)].ID == "" {
					t.Fatalf("table %s of director %d has source %d: %+v", name, owner, source, table)
				}
			}
		}
	})
}
