package following

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"vetchwood/internal/tables"
)

// Whatever documents come from whichever director in whatever order, each slice is at the word of the greatest fence that
// came, with that director's masks, and none is ever lost.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMerger()
		top := map[string]uint64{}
		host := func(from int) tables.Address { return tables.Address(fmt.Sprint("h", from)) }
		var out *tables.Document
		for step := range rapid.IntRange(1, 20).Draw(t, "documents") {
			from := rapid.IntRange(0, 2).Draw(t, "director")
			d := &tables.Document{Tables: map[string]*tables.Table{}, Hosts: map[tables.Address]tables.Host{host(from): {ID: fmt.Sprint(from)}},
				Masked: map[tables.Address]bool{host(from): step%2 == 0}}
			for s := range 3 {
				if rapid.Bool().Draw(t, "holds") {
					fence := uint64(3*rapid.IntRange(1, 5).Draw(t, "fence") + from) // no two directors have one fence
					d.Tables[fmt.Sprint(s)] = &tables.Table{Fence: fence, Lines: map[tables.Address]float64{host(from): 1}}
				}
			}
			out = m.Add(from, d.Seal(tables.Line(from), tables.Step(step), 0))
			for name, table := range d.Tables {
				top[name] = max(top[name], table.Fence)
			}
			for name, fence := range top {
				table := out.Tables[name]
				if table == nil || table.Fence != fence {
					t.Fatalf("table %s is %+v, the greatest fence is %d", name, table, fence)
				}
				by := int(fence % 3)
				of, source := out.Of(name)
				if source != by || table.Lines[host(by)] != 1 || of.Line != tables.Line(by) || out.Hosts[host(by)].ID == "" {
					t.Fatalf("table %s of director %d is followed as that of %d: %+v", name, by, source, table)
				}
			}
		}
	})
}
