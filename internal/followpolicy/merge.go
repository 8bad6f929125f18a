package followpolicy

import (
	"maps"

	"vetchwood/internal/ownership"
	"vetchwood/internal/tables"
)

// Merger merges the documents of several directors into one. For each slice it takes the table of the latest owner and,
// with it, the masks and levels of that owner's document. A slice that its last owner no longer publishes keeps its
// table until the next owner publishes one.
type Merger struct {
	fences   ownership.HighestFences // the highest fence of each slice
	tables   map[string]*tables.Table
	sources  map[string]tables.Source
	sliceIDs map[string]ownership.Slice
	step     tables.Step
	rejected int
}

// NewMerger returns a merger without documents.
func NewMerger() *Merger {
	return &Merger{fences: ownership.HighestFences{}, tables: map[string]*tables.Table{}, sources: map[string]tables.Source{},
		sliceIDs: map[string]ownership.Slice{}}
}

// Rejected returns the number of tables that were rejected because their director no longer owned the slice.
func (m *Merger) Rejected() int { return m.rejected }

// Add adds the newest document of a director, given by its index, and returns the merged document.
func (m *Merger) Add(director int, d *tables.Document) *tables.Document {
	for name, t := range d.Tables {
		slice, known := m.sliceIDs[name]
		if !known {
			slice = ownership.Slice(len(m.sliceIDs))
			m.sliceIDs[name] = slice
		}
		if !m.fences.Accept(slice, ownership.Fence(t.Fence)) {
			m.rejected++
			continue
		}
		m.tables[name], m.sources[name] = t, tables.Source{Doc: d, Director: director}
	}
	m.step++
	merged := d.Copy()
	merged.Sources, merged.Tables = maps.Clone(m.sources), maps.Clone(m.tables)
	merged.Hosts, merged.Masked = map[tables.Address]tables.Host{}, map[tables.Address]bool{}
	for name, t := range merged.Tables {
		for a := range t.Lines {
			merged.Hosts[a] = merged.Sources[name].Doc.Hosts[a]
		}
	}
	return merged.SealMerged(m.step)
}
