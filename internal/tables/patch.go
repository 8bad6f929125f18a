package tables

import (
	"encoding/json"
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
}

var pointer = strings.NewReplacer("~", "~0", "/", "~1")

type patch []Op

func (p *patch) put(known bool, value any, path ...string) {
	op := "add"
	if known {
		op = "replace"
	}
	*p = append(*p, Op{op, at(path), value})
}

func (p *patch) drop(path ...string) { *p = append(*p, Op{"remove", at(path), nil}) }

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
			p.drop(under(k)...)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(to)) {
		if was, known := from[k]; !known || was != to[k] {
			p.put(known, to[k], under(k)...)
		}
	}
}

// Diff gives the patch from one document to another. Tables that both share are passed over unread.
func Diff(from, to *Document) []Op {
	p := patch{}
	p.put(true, to.Version, "version")
	if from.At != to.At {
		p.put(true, to.At, "at")
	}
	if from.Pick != to.Pick || from.Ejects != to.Ejects || from.TryWait != to.TryWait || from.Hash != to.Hash ||
		from.FullIsProof != to.FullIsProof || from.LevelsBy != to.LevelsBy {
		return []Op{{"replace", "", to}} // another deployment: nothing of the old is worth keeping
	}
	entries(&p, from.Hosts, to.Hosts, "hosts")
	entries(&p, from.Masked, to.Masked, "masked")
	for _, name := range slices.Sorted(maps.Keys(to.Tables)) {
		was, is := from.Tables[name], to.Tables[name]
		switch {
		case was == is:
		case was == nil || !same(was.From, is.From) || !same(was.To, is.To):
			p.put(was != nil, is, "tables", name)
		default:
			entries(&p, was.Lines, is.Lines, "tables", name, "lines")
			switch {
			case len(was.Levels) == 0 && len(is.Levels) == 0:
			case len(was.Levels) == 0:
				p.put(false, is.Levels, "tables", name, "levels")
			case len(is.Levels) == 0:
				p.drop("tables", name, "levels")
			default:
				entries(&p, was.Levels, is.Levels, "tables", name, "levels")
			}
		}
	}
	entries(&p, from.Routes, to.Routes, "routes")
	for _, name := range slices.Sorted(maps.Keys(from.Tables)) {
		if to.Tables[name] == nil {
			p.drop("tables", name)
		}
	}
	return p
}

func same(a, b *uint64) bool { return a == nil && b == nil || a != nil && b != nil && *a == *b }

// Apply makes a new document of a base and an encoded patch. The base stays as it is, whatever is wrong with
// the patch.
func Apply(base *Document, text []byte) (*Document, error) {
	ops, err := jsonpatch.DecodePatch(text)
	if err != nil {
		return nil, fmt.Errorf("patch on %s: %w", base.Version, err)
	}
	if base.whole == nil {
		if base.whole, err = json.Marshal(base); err != nil {
			return nil, fmt.Errorf("patch on %s: %w", base.Version, err)
		}
	}
	out, err := ops.Apply(base.whole)
	if err != nil {
		return nil, fmt.Errorf("patch on %s: %w", base.Version, err)
	}
	d, err := Parse(out)
	if err != nil {
		return nil, fmt.Errorf("patch on %s: %w", base.Version, err)
	}
	d.whole = nil // its own encoding gives the digest that the director's has
	return d, nil
}
