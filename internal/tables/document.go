// Package tables holds what a proxy is told: an immutable document with its version, the encodings of it, and
// the differences between two of them. No I/O, no clock.
package tables

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// MediaType is the content type of a whole document; PatchType that of a difference (RFC 6902).
const (
	DocumentMediaType = "application/vnd.vetchwood.tables+json"
	PatchMediaType    = "application/json-patch+json"
)

type (
	// Step counts the changes of one line of history; it never goes down, also over restarts.
	Step uint64
	// Line names the history that steps belong to; a store that was lost begins another.
	HistoryID uint64
	// Address is where a host listens, and its name in tables.
	Address string
)

// Host is what a table's reader may want to know of a host beside its address.
type Host struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	Cell string `json:"cell,omitempty"`
}

// Level is how much of a route is let in, and when a proxy tries again.
type Level struct {
	Level float64 `json:"level"`
	Tries int     `json:"tries"`
}

// Route is what holds for all calls of a route. Table names its table where proxies have tables of their own.
type Route struct {
	Level
	Table         string  `json:"table,omitempty"`
	Idempotency   string  `json:"repeat"`
	DedupScope    string  `json:"reach,omitempty"`
	DedupWindowMs float64 `json:"span_ms,omitempty"`
	SLOMs         float64 `json:"slo_ms"`
	TimeLimitMs   float64 `json:"time_limit_ms"`
	Importance    float64 `json:"importance"`
	Writes        bool    `json:"writes,omitempty"`
	OwnZone       bool    `json:"own_zone,omitempty"`
}

// Table is the lines of one slice, or of the calls that a route binds to it. Keys whose hash lies in From..To
// belong to it, both included, where there are slices.
type Table struct {
	From   *uint64             `json:"from,omitempty"`
	To     *uint64             `json:"to,omitempty"`
	Lines  map[Address]float64 `json:"lines"`
	Levels map[string]Level    `json:"levels,omitempty"`
	// Fence counts the slice's holders, where directors hold slices by lease: a greater one is a later holder's word.
	Fence uint64 `json:"fence,omitempty"`
}

// Source says which document a table of a merged one is from, and by which director of the proxy's list.
type Source struct {
	Doc      *Document
	Director int
}

// Document is all that a proxy is told, as of one step. What it points to is shared and never written again.
type Document struct {
	Version            string  `json:"version"`
	At                 float64 `json:"at"` // when it was ordered, in Unix milliseconds
	PickPolicy         string  `json:"pick"`
	EjectAfterFailures int     `json:"ejects,omitempty"`
	TryTimeoutShare    float64 `json:"try_wait,omitempty"` // of the SLO time, for a try that another may follow
	KeyHash            string  `json:"hash,omitempty"`
	// FullIsProof says that a host which turns a call away has not begun it.
	RejectedDidNotRun bool              `json:"full_is_proof,omitempty"`
	LevelUnit         string            `json:"levels_by,omitempty"` // share, rate or none
	Routes            map[string]Route  `json:"routes"`
	Hosts             map[Address]Host  `json:"hosts"`
	Masked            map[Address]bool  `json:"masked"`
	Tables            map[string]*Table `json:"tables"`

	History HistoryID `json:"-"`
	Step    Step      `json:"-"`
	// Sources is there in a document that a proxy merged of those of several directors: masks and levels hold for the
	// tables of their own document alone.
	Sources map[string]Source `json:"-"`

	made encodings
}

// encodings are made once for all that read the document, on whatever core they are; once made they are read without a lock.
type encodings struct {
	all    atomic.Pointer[encoded]
	deltas sync.Map   // *Document -> []byte
	delta  sync.Mutex // held while a difference is made
	mu     sync.Mutex
	before *Document // the step before, where that is known
	ops    []Op      // what this one changed of it
}

type encoded struct {
	whole []byte
	tag   Tag
	etag  string
}

// KeyHash is the hash that places keys; the first 32 bits of it choose the slice.
const KeyHash = "xxh64"

// Of gives the document that a table's masks and levels are in, and whose it is.
func (d *Document) SourceOf(table string) (*Document, int) {
	if s, merged := d.Sources[table]; merged {
		return s.Doc, s.Director
	}
	return d, 0
}

// SliceOf gives the slice of a key among that many.
func SliceOf(key string, slices int) int {
	return int((xxhash.Sum64String(key) >> 32) * uint64(slices) >> 32)
}

// SliceRange gives the first and the last hash (upper 32 bits) of a slice.
func SliceRange(slice, slices int) (from, to uint64) {
	at := func(i int) uint64 { return (uint64(i)<<32 + uint64(slices) - 1) / uint64(slices) }
	return at(slice), at(slice+1) - 1
}

// Tag names one content of one step: `line.step.digest`, in hexadecimal but for the step.
type Tag struct {
	History HistoryID
	Step    Step
	Digest  uint64
}

func (t Tag) String() string {
	return fmt.Sprintf("%x.%d.%x", uint64(t.History), uint64(t.Step), t.Digest)
}

// ETag is the strong validator of RFC 9110 for it.
func (t Tag) ETag() string { return `"` + t.String() + `"` }

// ParseETag reads what ETag wrote.
func ParseETag(s string) (t Tag, err error) {
	if len(s) < 2 || s[0] != '"' || s[len(s)-1] != '"' {
		return t, fmt.Errorf("entity tag %.60q: not a quoted strong validator", s)
	}
	first, rest, _ := strings.Cut(s[1:len(s)-1], ".")
	second, third, _ := strings.Cut(rest, ".")
	line, err1 := strconv.ParseUint(first, 16, 64)
	step, err2 := strconv.ParseUint(second, 10, 64)
	digest, err3 := strconv.ParseUint(third, 16, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return t, fmt.Errorf("entity tag %.60q: not line.step.digest", s)
	}
	return Tag{HistoryID(line), Step(step), digest}, nil
}

// Seal gives the document its version; it is not changed from then on.
func (d *Document) Seal(line HistoryID, step Step, at float64) *Document {
	d.History, d.Step, d.At = line, step, at
	d.Version = fmt.Sprintf("%x.%d", uint64(line), uint64(step))
	return d
}

// Copy is another document of the same content, yet to be sealed.
func (d *Document) Copy() *Document {
	return &Document{At: d.At, PickPolicy: d.PickPolicy, EjectAfterFailures: d.EjectAfterFailures, TryTimeoutShare: d.TryTimeoutShare, KeyHash: d.KeyHash, RejectedDidNotRun: d.RejectedDidNotRun,
		LevelUnit: d.LevelUnit, Routes: d.Routes, Hosts: d.Hosts, Masked: d.Masked, Tables: d.Tables, Sources: d.Sources}
}

// Merged seals a document that a proxy made of several. It is encoded nowhere.
func (d *Document) SealMerged(step Step) *Document {
	d.History, d.Step, d.Version = 0, step, "merged."+strconv.FormatUint(uint64(step), 10)
	return d
}

// encode gives the document's encoding, by which it is known from then on.
func (d *Document) encode() *encoded {
	if e := d.made.all.Load(); e != nil {
		return e
	}
	b, err := json.Marshal(d)
	if err != nil {
		panic(err) // all numbers were checked as they came in
	}
	d.set(b, xxhash.Sum64(b))
	return d.made.all.Load()
}

// set gives it its encoding. Where two cores do at the same time, it is the same.
func (d *Document) set(whole []byte, digest uint64) {
	e := &encoded{whole: whole, tag: Tag{d.History, d.Step, digest}}
	e.etag = e.tag.ETag()
	d.made.all.CompareAndSwap(nil, e)
}

// Whole is the document's encoding.
func (d *Document) JSON() []byte { return d.encode().whole }

// Tag is the document's own.
func (d *Document) Tag() Tag { return d.encode().tag }

// ETag is the validator of the document's tag.
func (d *Document) ETag() string { return d.encode().etag }

// After says which document this one follows.
func (d *Document) SetPrevious(before *Document) {
	d.made.mu.Lock()
	defer d.made.mu.Unlock()
	d.made.before = before
}

// changed is what the document changed of the one before, nil where none is known.
func (d *Document) changed() (*Document, []Op) {
	d.made.mu.Lock()
	defer d.made.mu.Unlock()
	if d.made.before != nil && d.made.ops == nil {
		d.made.ops = Diff(d.made.before, d)
	}
	return d.made.before, d.made.ops
}

// Changes is the patch that makes d of base: composed of what the steps between them changed where those are known, and
// by comparing the two where not.
func (d *Document) PatchFrom(base *Document) []Op {
	var steps [][]Op
	at := d
	for at != base {
		before, ops := at.changed()
		if before == nil {
			break
		}
		steps = append(steps, ops)
		at = before
	}
	if at == base && len(steps) > 0 {
		slices.Reverse(steps)
		if ops, composes := Compose(steps); composes {
			return ops
		}
	}
	return Diff(base, d)
}

// Delta is that patch, encoded once for all that hold the base. It is nil where the whole document is no longer than it.
func (d *Document) Delta(base *Document) []byte {
	if b, made := d.made.deltas.Load(base); made {
		return b.([]byte)
	}
	d.made.delta.Lock() // the first to ask makes it, and the others wait for it
	defer d.made.delta.Unlock()
	if b, made := d.made.deltas.Load(base); made {
		return b.([]byte)
	}
	b, err := json.Marshal(d.PatchFrom(base))
	if err != nil {
		panic(err)
	}
	if len(b) >= len(d.JSON()) {
		b = nil
	}
	d.made.deltas.Store(base, b)
	return b
}

// Forget lets go of the differences, and so of the documents that they start from, and of those before.
func (d *Document) ReleaseBases() {
	d.made.mu.Lock()
	defer d.made.mu.Unlock()
	d.made.before, d.made.ops = nil, nil
	d.made.deltas.Clear()
}

// Parse reads a whole document and refuses one that a proxy can't follow.
func Parse(text []byte) (*Document, error) {
	var d Document
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, fmt.Errorf("tables document: %w", err)
	}
	line, step, found := strings.Cut(d.Version, ".")
	l, err1 := strconv.ParseUint(line, 16, 64)
	s, err2 := strconv.ParseUint(step, 10, 64)
	if !found || err1 != nil || err2 != nil {
		return nil, fmt.Errorf("tables document: field version: %.60q is not line.step", d.Version)
	}
	d.History, d.Step = HistoryID(l), Step(s)
	if err := d.check(); err != nil {
		return nil, fmt.Errorf("tables document %s: %w", d.Version, err)
	}
	d.set(text, xxhash.Sum64(text))
	return &d, nil
}

func (d *Document) check() error {
	for name, t := range d.Tables {
		if t == nil || name == "" {
			return fmt.Errorf("table %q: empty", name)
		}
		for a, w := range t.Lines {
			if !(w > 0) || w > 1e9 {
				return fmt.Errorf("table %q, line %q: weight %v is not above 0 and at most 1e9", name, a, w)
			}
		}
		if (t.From == nil) != (t.To == nil) || t.From != nil && (*t.From > *t.To || *t.To >= 1<<32) {
			return fmt.Errorf("table %q: from and to are no range of hashes", name)
		}
	}
	for name, r := range d.Routes {
		if r.Table != "" && d.Tables[r.Table] == nil {
			return fmt.Errorf("route %q: names table %q, which is not there", name, r.Table)
		}
		if !(r.Level.Level >= 0) || r.Tries < 0 || r.Tries > 3 {
			return fmt.Errorf("route %q: level %v, tries %d", name, r.Level.Level, r.Tries)
		}
	}
	return nil
}
