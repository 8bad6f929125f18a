package following

import (
	"maps"

	"vetchwood/internal/custody"
	"vetchwood/internal/tables"
)

// Merge makes one document of those of several directors: for each slice the word of its latest holder, and with it the
// masks and levels of that holder's document. A slice that its last holder tells of no more stands as it was until the
// next one's word.
type Merger struct {
	fences   custody.Seen
	tables   map[string]*tables.Table
	sources  map[string]tables.Source
	sliceIDs map[string]custody.Slice
	step     tables.Step
	rejected int
}

func NewMerger() *Merger {
	return &Merger{fences: custody.Seen{}, tables: map[string]*tables.Table{}, sources: map[string]tables.Source{},
		sliceIDs: map[string]custody.Slice{}}
}

// Refused is how many tables of deposed directors were offered.
func (m *Merger) Rejected() int { return m.rejected }

// Take brings a director's newest document and gives the merged one.
func (m *Merger) Add(from int, d *tables.Document) *tables.Document {
	for name, t := range d.Tables {
		s, known := m.sliceIDs[name]
		if !known {
			s = custody.Slice(len(m.sliceIDs))
			m.sliceIDs[name] = s
		}
		if !m.fences.Accepts(s, custody.Fence(t.Fence)) {
			m.rejected++
			continue
		}
		m.tables[name], m.sources[name] = t, tables.Source{Doc: d, From: from}
	}
	m.step++
	out := d.Copy()
	out.Sources, out.Tables = maps.Clone(m.sources), maps.Clone(m.tables)
	out.Hosts, out.Masked = map[tables.Address]tables.Host{}, map[tables.Address]bool{}
	for name, t := range out.Tables {
		for a := range t.Lines {
			out.Hosts[a] = out.Sources[name].Doc.Hosts[a]
		}
	}
	return out.Merged(m.step)
}
