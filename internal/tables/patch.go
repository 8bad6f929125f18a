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

	was   any  // what was there before; nil: nothing
	whole bool // it writes what has paths of its own below it
}

var pointer = strings.NewReplacer("~", "~0", "/", "~1")

type patch []Op

// put writes what was not there (was is nil) or was something else.
func (p *patch) put(was, value any, path ...string) {
	op := "add"
	if was != nil {
		op = "replace"
	}
	*p = append(*p, Op{Op: op, Path: at(path), Value: value, was: was})
}

func (p *patch) drop(was any, path ...string) {
	*p = append(*p, Op{Op: "remove", Path: at(path), was: was})
}

// above marks the last one as writing what has paths of its own below it.
func (p *patch) above() { (*p)[len(*p)-1].whole = true }

func at(path []string) string {
	var b strings.Builder
	for _, s := range path {
		b.WriteByte('/')
		b.WriteString(pointer.Replace(s))
	}
	return b.String()
}

// entries writes what differs between two maps below a path, in the order of the keys.
func entries[K ~string, V comparable](p *patch, from, to map[K]V, path ...string) {
	under := func(k K) []string { return append(slices.Clone(path), string(k)) }
	for _, k := range slices.Sorted(maps.Keys(from)) {
		if _, stays := to[k]; !stays {
			p.drop(from[k], under(k)...)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(to)) {
		if was, known := from[k]; !known {
			p.put(nil, to[k], under(k)...)
		} else if was != to[k] {
			p.put(was, to[k], under(k)...)
		}
	}
}

// Diff gives the patch from one document to another. Tables that both share are passed over unread.
func Diff(from, to *Document) []Op {
	p := patch{}
	p.put(from.Version, to.Version, "version")
	if from.At != to.At {
		p.put(from.At, to.At, "at")
	}
	if from.PickPolicy != to.PickPolicy || from.EjectAfterFailures != to.EjectAfterFailures || from.TryTimeoutShare != to.TryTimeoutShare || from.KeyHash != to.KeyHash ||
		from.RejectedDidNotRun != to.RejectedDidNotRun || from.LevelUnit != to.LevelUnit {
		return []Op{{Op: "replace", Value: to, was: from, whole: true}} // another deployment: nothing of the old is worth keeping
	}
	entries(&p, from.Hosts, to.Hosts, "hosts")
	entries(&p, from.Masked, to.Masked, "masked")
	for _, name := range slices.Sorted(maps.Keys(to.Tables)) {
		was, is := from.Tables[name], to.Tables[name]
		switch {
		case was == is:
		case was == nil || !same(was.From, is.From) || !same(was.To, is.To):
			if was == nil {
				p.put(nil, is, "tables", name)
			} else {
				p.put(was, is, "tables", name)
			}
			p.above()
		default:
			entries(&p, was.Lines, is.Lines, "tables", name, "lines")
			switch {
			case was.Fence == is.Fence:
			case was.Fence == 0:
				p.put(nil, is.Fence, "tables", name, "fence")
			case is.Fence == 0:
				p.drop(was.Fence, "tables", name, "fence")
			default:
				p.put(was.Fence, is.Fence, "tables", name, "fence")
			}
			switch {
			case len(was.Levels) == 0 && len(is.Levels) == 0:
			case len(was.Levels) == 0:
				p.put(nil, is.Levels, "tables", name, "levels")
				p.above()
			case len(is.Levels) == 0:
				p.drop(was.Levels, "tables", name, "levels")
				p.above()
			default:
				entries(&p, was.Levels, is.Levels, "tables", name, "levels")
			}
		}
	}
	entries(&p, from.Routes, to.Routes, "routes")
	for _, name := range slices.Sorted(maps.Keys(from.Tables)) {
		if to.Tables[name] == nil {
			p.drop(from.Tables[name], "tables", name)
			p.above()
		}
	}
	return p
}

// Compose makes one patch of the patches of steps that follow each other: for each path what was there before the
// first and what is there after the last, and nothing where both are the same. It looks at what changed and not at the
// documents. False where a step wrote something with paths of its own below it, which does not compose by path.
func Compose(steps [][]Op) ([]Op, bool) {
	if len(steps) == 1 {
		return steps[0], true
	}
	at := map[string]int{}
	var out []Op
	for _, ops := range steps {
		for _, o := range ops {
			if o.whole {
				return nil, false
			}
			i, seen := at[o.Path]
			if !seen {
				at[o.Path] = len(out)
				out = append(out, o)
				continue
			}
			out[i].Op, out[i].Value = o.Op, o.Value
		}
	}
	kept := out[:0]
	for _, o := range out {
		there := o.Op != "remove"
		switch {
		case !there && o.was == nil, there && o.was != nil && o.was == o.Value:
			continue // it came and went, or is what it was
		case there && o.was == nil:
			o.Op = "add"
		case there:
			o.Op = "replace"
		}
		kept = append(kept, o)
	}
	return kept, true
}

func same(a, b *uint64) bool { return a == nil && b == nil || a != nil && b != nil && *a == *b }

// Apply makes a new document of a base and an encoded patch. The base stays as it is, whatever is wrong with
// the patch.
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
	d.made.all.Store(nil) // its own encoding gives the digest that the director's has
	return d, nil
}
