package tables

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Op is one operation of a JSON Patch.
type Op struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value,omitempty"`

	old     any  // the value before the operation; nil if there was none
	subtree bool // the value is an object whose members are also patched by paths of their own
}

// pointerEscaper escapes a key for a JSON Pointer (RFC 6901).
var pointerEscaper = strings.NewReplacer("~", "~0", "/", "~1")

// patchBuilder collects the operations of a patch.
type patchBuilder []Op

// set appends the operation that sets a path to value: an add if old is nil, and a replace otherwise.
func (p *patchBuilder) set(old, value any, path ...string) {
	op := "add"
	if old != nil {
		op = "replace"
	}
	*p = append(*p, Op{Op: op, Path: jsonPointer(path), Value: value, old: old})
}

// remove appends the operation that removes a path, which held the value old.
func (p *patchBuilder) remove(old any, path ...string) {
	*p = append(*p, Op{Op: "remove", Path: jsonPointer(path), old: old})
}

// markSubtree marks the last operation as one on an object whose members are also patched by paths of their own.
func (p *patchBuilder) markSubtree() { (*p)[len(*p)-1].subtree = true }

// jsonPointer returns the JSON Pointer of a path.
func jsonPointer(path []string) string {
	var b strings.Builder
	for _, s := range path {
		b.WriteByte('/')
		b.WriteString(pointerEscaper.Replace(s))
	}
	return b.String()
}

// diffEntries appends the operations that turn one map below a path into another, ordered by key.
func diffEntries[K ~string, V comparable](p *patchBuilder, from, to map[K]V, path ...string) {
	pathOf := func(k K) []string { return append(slices.Clone(path), string(k)) }
	for _, k := range slices.Sorted(maps.Keys(from)) {
		if _, stays := to[k]; !stays {
			p.remove(from[k], pathOf(k)...)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(to)) {
		if old, found := from[k]; !found {
			p.set(nil, to[k], pathOf(k)...)
		} else if old != to[k] {
			p.set(old, to[k], pathOf(k)...)
		}
	}
}

// Diff returns the patch from one document to another. Tables that both documents share by pointer are not compared.
func Diff(from, to *Document) []Op {
	p := patchBuilder{}
	p.set(from.Version, to.Version, "version")
	if from.At != to.At {
		p.set(from.At, to.At, "at")
	}
	if from.PickPolicy != to.PickPolicy || from.EjectAfterFailures != to.EjectAfterFailures ||
		from.TryTimeoutShare != to.TryTimeoutShare || from.KeyHash != to.KeyHash ||
		from.RejectedDidNotRun != to.RejectedDidNotRun || from.LevelUnit != to.LevelUnit {
		// The deployment's settings changed, so nothing of the old document is worth keeping: the patch replaces it as a
		// whole.
		return []Op{{Op: "replace", Value: to, old: from, subtree: true}}
	}
	diffEntries(&p, from.Hosts, to.Hosts, "hosts")
	diffEntries(&p, from.Masked, to.Masked, "masked")
	for _, name := range slices.Sorted(maps.Keys(to.Tables)) {
		old, updated := from.Tables[name], to.Tables[name]
		switch {
		case old == updated:
		case old == nil || !equalBounds(old.From, updated.From) || !equalBounds(old.To, updated.To):
			if old == nil {
				p.set(nil, updated, "tables", name)
			} else {
				p.set(old, updated, "tables", name)
			}
			p.markSubtree()
		default:
			diffEntries(&p, old.Lines, updated.Lines, "tables", name, "lines")
			switch {
			case old.Fence == updated.Fence:
			case old.Fence == 0:
				p.set(nil, updated.Fence, "tables", name, "fence")
			case updated.Fence == 0:
				p.remove(old.Fence, "tables", name, "fence")
			default:
				p.set(old.Fence, updated.Fence, "tables", name, "fence")
			}
			switch {
			case len(old.Levels) == 0 && len(updated.Levels) == 0:
			case len(old.Levels) == 0:
				p.set(nil, updated.Levels, "tables", name, "levels")
				p.markSubtree()
			case len(updated.Levels) == 0:
				p.remove(old.Levels, "tables", name, "levels")
				p.markSubtree()
			default:
				diffEntries(&p, old.Levels, updated.Levels, "tables", name, "levels")
			}
		}
	}
	diffEntries(&p, from.Routes, to.Routes, "routes")
	for _, name := range slices.Sorted(maps.Keys(from.Tables)) {
		if to.Tables[name] == nil {
			p.remove(from.Tables[name], "tables", name)
			p.markSubtree()
		}
	}
	return p
}

// Compose combines the patches of consecutive steps into one. For each path it compares the value before the first step
// with the value after the last, and omits the path if they are equal. Its cost depends on the number of operations and
// not on the size of the documents. It returns false if a step changed an object whose members are also patched by
// paths of their own, because such operations do not compose path by path.
func Compose(steps [][]Op) ([]Op, bool) {
	if len(steps) == 1 {
		return steps[0], true
	}
	indexes := map[string]int{} // in out, by path
	var out []Op
	for _, ops := range steps {
		for _, o := range ops {
			if o.subtree {
				return nil, false
			}
			i, found := indexes[o.Path]
			if !found {
				indexes[o.Path] = len(out)
				out = append(out, o)
				continue
			}
			out[i].Op, out[i].Value = o.Op, o.Value
		}
	}
	kept := out[:0]
	for _, o := range out {
		exists := o.Op != "remove"
		switch {
		case !exists && o.old == nil, exists && o.old != nil && o.old == o.Value:
			continue // added and removed again, or back at the old value
		case exists && o.old == nil:
			o.Op = "add"
		case exists:
			o.Op = "replace"
		}
		kept = append(kept, o)
	}
	return kept, true
}

func equalBounds(a, b *uint64) bool { return a == nil && b == nil || a != nil && b != nil && *a == *b }

// Apply returns the document that results from applying an encoded patch to base. It never modifies base, even if the
// patch is invalid.
func Apply(base *Document, text []byte) (*Document, error) {
	ops, err := jsonpatch.DecodePatch(text)
	if err != nil {
		return nil, fmt.Errorf("patch on %s: %w", base.Version, err)
	}
	out, err := ops.Apply(base.JSON())
	if err != nil {
		return nil, fmt.Errorf("patch on %s: %w", base.Version, err)
	}
	d, err := Parse(out)
	if err != nil {
		return nil, fmt.Errorf("patch on %s: %w", base.Version, err)
	}
	d.cache.own.Store(nil) // the document is encoded anew when needed, which gives the same digest as at the director
	return d, nil
}
