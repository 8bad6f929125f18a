// Package settings reads the HCL files. All that is wrong with a file is reported in one go, each with file,
// line and column. What comes out are derived figures; the raw ones are not kept.
package settings

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

// Reader takes a block apart and gathers what is wrong.
type Reader struct {
	diagnostics *diagnostics
	Name        string // of the block: its type and labels
	body        *hclsyntax.Body
	defRange    hcl.Range
	knownAttrs  map[string]bool
	knownBlocks map[string]bool
}

type diagnostics struct{ list hcl.Diagnostics }

// Open parses a file, or the text given for it.
func Open(name string, text []byte) (*Reader, error) {
	p := hclparse.NewParser()
	var f *hcl.File
	var diags hcl.Diagnostics
	if text != nil {
		f, diags = p.ParseHCL(text, name)
	} else {
		f, diags = p.ParseHCLFile(name)
	}
	if diags.HasErrors() {
		return nil, newInvalidError(diags)
	}
	body := f.Body.(*hclsyntax.Body)
	return &Reader{diagnostics: &diagnostics{}, Name: name, body: body, defRange: body.MissingItemRange(), knownAttrs: map[string]bool{},
		knownBlocks: map[string]bool{}}, nil
}

func newInvalidError(diags hcl.Diagnostics) error {
	var lines []string
	for _, d := range diags {
		at := ""
		if d.Subject != nil {
			at = fmt.Sprintf("%s:%d:%d: ", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column)
		}
		text := d.Summary
		if d.Detail != "" {
			text += ": " + d.Detail
		}
		lines = append(lines, at+text)
	}
	return &InvalidError{lines}
}

// Invalid is all that is wrong with a file, a line each.
type InvalidError struct{ Problems []string }

func (e *InvalidError) Error() string { return strings.Join(e.Problems, "\n") }

// Fail notes something wrong with an attribute, or with the block where it is not there.
func (r *Reader) Fail(attr, format string, args ...any) {
	at := r.defRange
	if a := r.body.Attributes[attr]; a != nil {
		at = a.Expr.Range()
	}
	what := fmt.Sprintf(format, args...)
	if attr != "" {
		what = attr + ": " + what
	}
	r.diagnostics.list = append(r.diagnostics.list, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: what, Subject: &at})
}

// value reads an attribute as a type.
func (r *Reader) value(attr string, need bool, want cty.Type) (cty.Value, bool) {
	r.knownAttrs[attr] = true
	a := r.body.Attributes[attr]
	if a == nil {
		if need {
			r.Fail("", "%s needs %s", r.Name, attr)
		}
		return cty.NilVal, false
	}
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() {
		r.diagnostics.list = append(r.diagnostics.list, diags...)
		return cty.NilVal, false
	}
	v, err := convert.Convert(v, want)
	if err != nil || v.IsNull() || !v.IsWhollyKnown() {
		r.Fail(attr, "is not a %s", want.FriendlyName())
		return cty.NilVal, false
	}
	return v, true
}

// Text reads a string, one of a few where they are given.
func (r *Reader) String(attr, otherwise string, among ...string) string {
	v, ok := r.value(attr, otherwise == Required, cty.String)
	if !ok {
		if otherwise == Required {
			return ""
		}
		return otherwise
	}
	s := v.AsString()
	if len(among) > 0 && !slices.Contains(among, s) {
		r.Fail(attr, "%q is none of %s", s, strings.Join(among, ", "))
	}
	return s
}

// Needed stands for no default.
const Required = "\x00"

// Number reads a number between two bounds. NaN as the default means that it is needed.
func (r *Reader) Number(attr string, otherwise, least, most float64) float64 {
	v, ok := r.value(attr, math.IsNaN(otherwise), cty.Number)
	if !ok {
		if math.IsNaN(otherwise) {
			return least
		}
		return otherwise
	}
	f, _ := v.AsBigFloat().Float64()
	if f < least || f > most {
		r.Fail(attr, "%v is not between %v and %v", f, least, most)
		return max(least, min(most, f))
	}
	return f
}

// Whole reads a whole number. A default under the least means that it is needed.
func (r *Reader) Int(attr string, otherwise, least, most int) int {
	need := float64(otherwise)
	if otherwise < least {
		need = math.NaN()
	}
	f := r.Number(attr, need, float64(least), float64(most))
	if f != math.Trunc(f) {
		r.Fail(attr, "%v is not a whole number", f)
	}
	return int(f)
}

// Truth reads true or false.
func (r *Reader) Bool(attr string, otherwise bool) bool {
	if v, ok := r.value(attr, false, cty.Bool); ok {
		return v.True()
	}
	return otherwise
}

// Span reads a duration with its unit, between two bounds. A negative default means that it is needed.
func (r *Reader) Duration(attr string, otherwise, least, most time.Duration) time.Duration {
	v, ok := r.value(attr, otherwise < 0, cty.String)
	if !ok {
		return max(least, otherwise)
	}
	d, err := time.ParseDuration(v.AsString())
	if err != nil {
		r.Fail(attr, "%q is no duration with a unit, such as \"1.5s\" or \"250ms\"", v.AsString())
		return max(least, otherwise)
	}
	if d < least || d > most {
		r.Fail(attr, "%v is not between %v and %v", d, least, most)
	}
	return d
}

var sizePattern = regexp.MustCompile(`^([0-9]+)(B|KiB|MiB|GiB)$`)

// Size reads a number of bytes with its unit.
func (r *Reader) Size(attr string, otherwise, least, most int) int {
	v, ok := r.value(attr, false, cty.String)
	if !ok {
		return otherwise
	}
	m := sizePattern.FindStringSubmatch(v.AsString())
	if m == nil {
		r.Fail(attr, "%q is no size with a unit, such as \"16KiB\"", v.AsString())
		return otherwise
	}
	n, err := strconv.Atoi(m[1])
	n <<= map[string]uint{"B": 0, "KiB": 10, "MiB": 20, "GiB": 30}[m[2]]
	if err != nil || n < least || n > most {
		r.Fail(attr, "%s is not between %d and %d bytes", v.AsString(), least, most)
	}
	return n
}

// Texts reads a list of strings without repeats.
func (r *Reader) Strings(attr string, need bool, among ...string) (out []string) {
	v, ok := r.value(attr, need, cty.List(cty.String))
	if !ok {
		return nil
	}
	for _, e := range v.AsValueSlice() {
		s := e.AsString()
		if slices.Contains(out, s) {
			r.Fail(attr, "%q is named twice", s)
		}
		if len(among) > 0 && !slices.Contains(among, s) {
			r.Fail(attr, "%q is none of %s", s, strings.Join(among, ", "))
		}
		out = append(out, s)
	}
	if need && len(out) == 0 {
		r.Fail(attr, "is empty")
	}
	return out
}

// Blocks gives the blocks of a type, in order; each must have so many labels.
func (r *Reader) Blocks(kind string, labels int, least, most int) (out []*Reader, names []string) {
	return r.blocks(kind, labels, least, most, false)
}

// Repeated gives blocks whose label may come again.
func (r *Reader) RepeatableBlocks(kind string) (out []*Reader, names []string) {
	return r.blocks(kind, 1, 0, math.MaxInt, true)
}

func (r *Reader) blocks(kind string, labels int, least, most int, again bool) (out []*Reader, names []string) {
	r.knownBlocks[kind] = true
	for _, b := range r.body.Blocks {
		if b.Type != kind {
			continue
		}
		in := &Reader{diagnostics: r.diagnostics, Name: strings.TrimSpace(kind + " " + strings.Join(b.Labels, " ")), body: b.Body,
			defRange: b.DefRange(), knownAttrs: map[string]bool{}, knownBlocks: map[string]bool{}}
		name := strings.Join(b.Labels, " ")
		if len(b.Labels) != labels {
			in.Fail("", "%s takes %d labels, not %d", kind, labels, len(b.Labels))
		} else if labels > 0 && name == "" {
			in.Fail("", "%s has an empty label", kind)
		} else if !again && labels > 0 && slices.Contains(names, name) {
			in.Fail("", "%s %q is there twice", kind, name)
		}
		out, names = append(out, in), append(names, name)
	}
	if len(out) < least {
		r.Fail("", "%s needs a block %s", r.Name, kind)
	}
	if len(out) > most {
		out[most].Fail("", "%s is there %d times, of %d at most", kind, len(out), most)
	}
	return out, names
}

// One gives the one block of a type; an empty one where there is none and it may be left out.
func (r *Reader) Block(kind string, need bool) *Reader {
	least := 0
	if need {
		least = 1
	}
	if all, _ := r.Blocks(kind, 0, least, 1); len(all) > 0 {
		return all[0]
	}
	return &Reader{diagnostics: &diagnostics{}, Name: kind, body: &hclsyntax.Body{}, defRange: r.defRange, knownAttrs: map[string]bool{},
		knownBlocks: map[string]bool{}}
}

// Done notes what was given and not asked for. Each block's reader ends with it.
func (r *Reader) RejectUnknown() {
	for _, name := range slices.Sorted(maps.Keys(r.body.Attributes)) {
		if !r.knownAttrs[name] {
			at := r.body.Attributes[name].NameRange
			r.diagnostics.list = append(r.diagnostics.list, &hcl.Diagnostic{Severity: hcl.DiagError, Subject: &at,
				Summary: fmt.Sprintf("%s knows no %s; it takes %s", r.Name, name,
					strings.Join(slices.Sorted(maps.Keys(r.knownAttrs)), ", "))})
		}
	}
	for _, b := range r.body.Blocks {
		if !r.knownBlocks[b.Type] {
			at := b.TypeRange
			r.diagnostics.list = append(r.diagnostics.list, &hcl.Diagnostic{Severity: hcl.DiagError, Subject: &at,
				Summary: fmt.Sprintf("%s knows no block %s; it takes %s", r.Name, b.Type,
					strings.Join(slices.Sorted(maps.Keys(r.knownBlocks)), ", "))})
		}
	}
}

// Err is all that was wrong so far, by place.
func (r *Reader) Err() error {
	if !r.diagnostics.list.HasErrors() {
		return nil
	}
	slices.SortStableFunc(r.diagnostics.list, func(a, b *hcl.Diagnostic) int {
		if a.Subject == nil || b.Subject == nil {
			return 0
		}
		return a.Subject.Start.Byte - b.Subject.Start.Byte
	})
	return newInvalidError(r.diagnostics.list)
}

// Has says whether there is a block of a type.
func (r *Reader) HasBlock(kind string) bool {
	return slices.ContainsFunc(r.body.Blocks, func(b *hclsyntax.Block) bool { return b.Type == kind })
}

// Flat gives each attribute of the file by its path, such as `service.route[read].slo`, as it is written.
func Flatten(text []byte, name string) (map[string]string, error) {
	f, diags := hclparse.NewParser().ParseHCL(text, name)
	if diags.HasErrors() {
		return nil, newInvalidError(diags)
	}
	out := map[string]string{}
	var walk func(*hclsyntax.Body, string)
	walk = func(b *hclsyntax.Body, under string) {
		for n, a := range b.Attributes {
			out[under+n] = strings.TrimSpace(string(a.Expr.Range().SliceBytes(text)))
		}
		for _, block := range b.Blocks {
			path := under + block.Type
			for _, l := range block.Labels {
				path += "[" + l + "]"
			}
			out[path] = "there"
			walk(block.Body, path+".")
		}
	}
	walk(f.Body.(*hclsyntax.Body), "")
	return out, nil
}
