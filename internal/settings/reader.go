// Package settings reads the settings files of directors and proxies, which are written in HCL. All errors in a file are
// reported together, each with file, line and column. The results are values in the units that the program uses.
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

// Reader reads the attributes and nested blocks of one block and collects the errors found in the file.
type Reader struct {
	diagnostics *diagnostics
	Name        string // type and labels of the block, or "the file" at the top level
	body        *hclsyntax.Body
	defRange    hcl.Range
	knownAttrs  map[string]bool // attributes read so far
	knownBlocks map[string]bool // types of blocks read so far
}

// diagnostics collects the errors of a file. All readers of the file share it.
type diagnostics struct{ list hcl.Diagnostics }

// Open parses text as the contents of the named file, or reads the file if text is nil. It returns the reader of the
// top level.
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

// newInvalidError converts diagnostics to an InvalidError whose texts start with the position.
func newInvalidError(diags hcl.Diagnostics) error {
	var problems []string
	for _, d := range diags {
		at := ""
		if d.Subject != nil {
			at = fmt.Sprintf("%s:%d:%d: ", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column)
		}
		text := d.Summary
		if d.Detail != "" {
			text += ": " + d.Detail
		}
		problems = append(problems, at+text)
	}
	return &InvalidError{problems}
}

// InvalidError holds all errors found in a file, one text each.
type InvalidError struct{ Problems []string }

func (e *InvalidError) Error() string { return strings.Join(e.Problems, "\n") }

// Fail records an error at an attribute, or at the block if the block has no such attribute.
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

// value reads an attribute and converts it to a type. It returns false if the attribute is missing or invalid, and
// records an error unless the attribute is missing and not required.
func (r *Reader) value(attr string, required bool, want cty.Type) (cty.Value, bool) {
	r.knownAttrs[attr] = true
	a := r.body.Attributes[attr]
	if a == nil {
		if required {
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

// String reads a string. If allowed values are given, the string must be one of them.
func (r *Reader) String(attr, fallback string, allowed ...string) string {
	v, ok := r.value(attr, fallback == Required, cty.String)
	if !ok {
		if fallback == Required {
			return ""
		}
		return fallback
	}
	s := v.AsString()
	if len(allowed) > 0 && !slices.Contains(allowed, s) {
		r.Fail(attr, "%q is not one of %s", s, strings.Join(allowed, ", "))
	}
	return s
}

// Required, given as the fallback of a string, makes the attribute mandatory.
const Required = "\x00"

// Number reads a number between two bounds. A fallback of NaN makes the attribute mandatory.
func (r *Reader) Number(attr string, fallback, minimum, maximum float64) float64 {
	v, ok := r.value(attr, math.IsNaN(fallback), cty.Number)
	if !ok {
		if math.IsNaN(fallback) {
			return minimum
		}
		return fallback
	}
	f, _ := v.AsBigFloat().Float64()
	if f < minimum || f > maximum {
		r.Fail(attr, "%v is not between %v and %v", f, minimum, maximum)
		return max(minimum, min(maximum, f))
	}
	return f
}

// Int reads a whole number between two bounds. A fallback below the minimum makes the attribute mandatory.
func (r *Reader) Int(attr string, fallback, minimum, maximum int) int {
	numberFallback := float64(fallback)
	if fallback < minimum {
		numberFallback = math.NaN()
	}
	f := r.Number(attr, numberFallback, float64(minimum), float64(maximum))
	if f != math.Trunc(f) {
		r.Fail(attr, "%v is not a whole number", f)
	}
	return int(f)
}

// Bool reads a Boolean.
func (r *Reader) Bool(attr string, fallback bool) bool {
	if v, ok := r.value(attr, false, cty.Bool); ok {
		return v.True()
	}
	return fallback
}

// Duration reads a duration with its unit, between two bounds. A negative fallback makes the attribute mandatory.
func (r *Reader) Duration(attr string, fallback, minimum, maximum time.Duration) time.Duration {
	v, ok := r.value(attr, fallback < 0, cty.String)
	if !ok {
		return max(minimum, fallback)
	}
	d, err := time.ParseDuration(v.AsString())
	if err != nil {
		r.Fail(attr, "%q is not a duration with a unit, such as \"1.5s\" or \"250ms\"", v.AsString())
		return max(minimum, fallback)
	}
	if d < minimum || d > maximum {
		r.Fail(attr, "%v is not between %v and %v", d, minimum, maximum)
	}
	return d
}

var sizePattern = regexp.MustCompile(`^([0-9]+)(B|KiB|MiB|GiB)$`)

// Size reads a number of bytes with its unit, between two bounds.
func (r *Reader) Size(attr string, fallback, minimum, maximum int) int {
	v, ok := r.value(attr, false, cty.String)
	if !ok {
		return fallback
	}
	m := sizePattern.FindStringSubmatch(v.AsString())
	if m == nil {
		r.Fail(attr, "%q is not a size with a unit, such as \"16KiB\"", v.AsString())
		return fallback
	}
	n, err := strconv.Atoi(m[1])
	n <<= map[string]uint{"B": 0, "KiB": 10, "MiB": 20, "GiB": 30}[m[2]]
	if err != nil || n < minimum || n > maximum {
		r.Fail(attr, "%s is not between %d and %d bytes", v.AsString(), minimum, maximum)
	}
	return n
}

// Strings reads a list of distinct strings. If allowed values are given, each string must be one of them. A required
// list must not be empty.
func (r *Reader) Strings(attr string, required bool, allowed ...string) (out []string) {
	v, ok := r.value(attr, required, cty.List(cty.String))
	if !ok {
		return nil
	}
	for _, e := range v.AsValueSlice() {
		s := e.AsString()
		if slices.Contains(out, s) {
			r.Fail(attr, "%q is listed twice", s)
		}
		if len(allowed) > 0 && !slices.Contains(allowed, s) {
			r.Fail(attr, "%q is not one of %s", s, strings.Join(allowed, ", "))
		}
		out = append(out, s)
	}
	if required && len(out) == 0 {
		r.Fail(attr, "is empty")
	}
	return out
}

// Blocks returns the readers and names of the blocks of a type, in the order of the file. Each block must have the
// given number of labels. Its name consists of its labels and must be unique.
func (r *Reader) Blocks(kind string, labels int, minimum, maximum int) (out []*Reader, names []string) {
	return r.blocks(kind, labels, minimum, maximum, false)
}

// RepeatableBlocks returns the blocks of a type with one label each. Several blocks may have the same label.
func (r *Reader) RepeatableBlocks(kind string) (out []*Reader, names []string) {
	return r.blocks(kind, 1, 0, math.MaxInt, true)
}

func (r *Reader) blocks(kind string, labels int, minimum, maximum int, repeatable bool) (out []*Reader, names []string) {
	r.knownBlocks[kind] = true
	for _, b := range r.body.Blocks {
		if b.Type != kind {
			continue
		}
		block := &Reader{diagnostics: r.diagnostics, Name: strings.TrimSpace(kind + " " + strings.Join(b.Labels, " ")), body: b.Body,
			defRange: b.DefRange(), knownAttrs: map[string]bool{}, knownBlocks: map[string]bool{}}
		name := strings.Join(b.Labels, " ")
		if len(b.Labels) != labels {
			block.Fail("", "%s takes %d labels, not %d", kind, labels, len(b.Labels))
		} else if labels > 0 && name == "" {
			block.Fail("", "%s has an empty label", kind)
		} else if !repeatable && labels > 0 && slices.Contains(names, name) {
			block.Fail("", "%s %q is declared twice", kind, name)
		}
		out, names = append(out, block), append(names, name)
	}
	if len(out) < minimum {
		r.Fail("", "%s needs a block %s", r.Name, kind)
	}
	if len(out) > maximum {
		out[maximum].Fail("", "%s is declared %d times, but at most %d are permitted", kind, len(out), maximum)
	}
	return out, names
}

// Block returns the reader of the only block of a type. If there is none, the reader is empty: it returns fallbacks,
// and its errors are discarded.
func (r *Reader) Block(kind string, required bool) *Reader {
	minimum := 0
	if required {
		minimum = 1
	}
	if all, _ := r.Blocks(kind, 0, minimum, 1); len(all) > 0 {
		return all[0]
	}
	return &Reader{diagnostics: &diagnostics{}, Name: kind, body: &hclsyntax.Body{}, defRange: r.defRange, knownAttrs: map[string]bool{},
		knownBlocks: map[string]bool{}}
}

// RejectUnknown records an error for each attribute and nested block that has not been read. It must be called after
// everything known in the block has been read.
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

// Err returns all errors recorded in the file so far, ordered by position, or nil if there are none.
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

// HasBlock reports whether there is a block of a type.
func (r *Reader) HasBlock(kind string) bool {
	return slices.ContainsFunc(r.body.Blocks, func(b *hclsyntax.Block) bool { return b.Type == kind })
}

// Flatten returns the source text of each attribute by its path, such as `service.route[read].slo`. Blocks have entries
// with a fixed text, so that a comparison of two files shows added and removed blocks.
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
