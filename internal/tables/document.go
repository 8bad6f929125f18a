// Package tables defines the routing tables document that directors publish to proxies: an immutable, versioned
// document, its encodings, and the deltas between two documents. The package does no I/O and reads no clock.
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

// DocumentMediaType is the content type of a whole document, and PatchMediaType that of a delta (JSON Patch, RFC 6902).
const (
	DocumentMediaType = "application/vnd.vetchwood.tables+json"
	PatchMediaType    = "application/json-patch+json"
)

type (
	// Step numbers the versions of one history. It never decreases, not even across restarts.
	Step uint64
	// HistoryID identifies the history that steps belong to. A director whose store was lost starts a new history.
	HistoryID uint64
	// Address is the address that a host listens on. It also identifies the host in tables.
	Address string
)

// Host describes a host apart from its address.
type Host struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	Cell string `json:"cell,omitempty"`
}

// Level is the admission level and the retry mode of a route.
type Level struct {
	// Level is in the unit that Document.LevelUnit names.
	Level float64 `json:"level"`
	// RetryMode tells when a failed call is tried again: 0 never, 1 once if the first try certainly never ran, 2 once
	// after any failure, 3 twice after any failure.
	RetryMode int `json:"tries"`
}

// Route is the configuration of all calls of a route.
type Route struct {
	Level
	// Table names the route's table in deployments that assign tables to each proxy instead of slicing the key space.
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

// Table holds the weighted lines of one slice, or of the routes that are bound to it.
type Table struct {
	// From and To bound the key hashes (upper 32 bits) of the slice, both inclusive. They are nil without slices.
	From   *uint64             `json:"from,omitempty"`
	To     *uint64             `json:"to,omitempty"`
	Lines  map[Address]float64 `json:"lines"`
	Levels map[string]Level    `json:"levels,omitempty"`
	// Fence counts the successive owners of the slice where directors own slices by lease. Of two tables of a slice,
	// the one with the greater fence is from the later owner.
	Fence uint64 `json:"fence,omitempty"`
}

// Source tells where a table of a merged document comes from.
type Source struct {
	Doc      *Document
	Director int // index in the proxy's list of directors
}

// Document is the whole configuration that is published to a proxy at one step. The maps and tables that it refers to
// are shared between documents and are not modified once the document is sealed.
type Document struct {
	Version            string  `json:"version"`
	At                 float64 `json:"at"` // when the decision module ordered it, in Unix milliseconds
	PickPolicy         string  `json:"pick"`
	EjectAfterFailures int     `json:"ejects,omitempty"`
	TryTimeoutShare    float64 `json:"try_wait,omitempty"` // timeout of a try that may be retried, as a share of the SLO
	KeyHash            string  `json:"hash,omitempty"`     // the hash function of keys; empty without slices
	// RejectedDidNotRun tells that a host that rejects a call as overloaded has not begun to execute it.
	RejectedDidNotRun bool              `json:"full_is_proof,omitempty"`
	LevelUnit         string            `json:"levels_by,omitempty"` // "share", "rate" or "none"
	Routes            map[string]Route  `json:"routes"`
	Hosts             map[Address]Host  `json:"hosts"`
	Masked            map[Address]bool  `json:"masked"`
	Tables            map[string]*Table `json:"tables"`

	History HistoryID `json:"-"`
	Step    Step      `json:"-"`
	// Sources is set only in a document that a proxy merged from the documents of several directors. Masks and levels
	// apply only to the tables that come from the same document.
	Sources map[string]Source `json:"-"`

	cache encodingCache
}

// encodingCache caches a document's encoding and deltas, so that each is computed once for all readers on all cores.
// Cached values are read without a lock.
type encodingCache struct {
	own      atomic.Pointer[encoding]
	deltas   sync.Map   // *Document -> []byte
	deltaMu  sync.Mutex // held while a delta is computed
	mu       sync.Mutex // guards previous and patch
	previous *Document  // the preceding document, if known
	patch    []Op       // from previous to this document
}

type encoding struct {
	text []byte
	tag  Tag
	etag string
}

// KeyHash names the hash function of keys. The upper 32 bits of a key's hash determine its slice.
const KeyHash = "xxh64"

// SourceOf returns the document that holds a table's masks and levels, and the index of the director that published it.
func (d *Document) SourceOf(table string) (*Document, int) {
	if s, merged := d.Sources[table]; merged {
		return s.Doc, s.Director
	}
	return d, 0
}

// SliceOf returns the slice of a key when the key space is divided into the given number of slices.
func SliceOf(key string, slices int) int {
	return int((xxhash.Sum64String(key) >> 32) * uint64(slices) >> 32)
}

// SliceRange returns the first and the last hash (upper 32 bits) of a slice.
func SliceRange(slice, slices int) (from, to uint64) {
	start := func(i int) uint64 { return (uint64(i)<<32 + uint64(slices) - 1) / uint64(slices) }
	return start(slice), start(slice+1) - 1
}

// Tag identifies one content of one step. It is written history.step.digest, with the step in decimal and the rest in
// hexadecimal.
type Tag struct {
	History HistoryID
	Step    Step
	Digest  uint64
}

// String returns the tag as history.step.digest.
func (t Tag) String() string {
	return fmt.Sprintf("%x.%d.%x", uint64(t.History), uint64(t.Step), t.Digest)
}

// ETag returns the tag as a strong entity tag (RFC 9110).
func (t Tag) ETag() string { return `"` + t.String() + `"` }

// ParseETag parses an entity tag that ETag returned.
func ParseETag(s string) (t Tag, err error) {
	if len(s) < 2 || s[0] != '"' || s[len(s)-1] != '"' {
		return t, fmt.Errorf("entity tag %.60q: not a quoted strong validator", s)
	}
	historyText, rest, _ := strings.Cut(s[1:len(s)-1], ".")
	stepText, digestText, _ := strings.Cut(rest, ".")
	history, err1 := strconv.ParseUint(historyText, 16, 64)
	step, err2 := strconv.ParseUint(stepText, 10, 64)
	digest, err3 := strconv.ParseUint(digestText, 16, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return t, fmt.Errorf("entity tag %.60q: not line.step.digest", s)
	}
	return Tag{HistoryID(history), Step(step), digest}, nil
}

// Seal sets the document's version and time, and returns the document. A sealed document must not be modified.
func (d *Document) Seal(history HistoryID, step Step, at float64) *Document {
	d.History, d.Step, d.At = history, step, at
	d.Version = fmt.Sprintf("%x.%d", uint64(history), uint64(step))
	return d
}

// Copy returns an unsealed document with the same content.
func (d *Document) Copy() *Document {
	return &Document{At: d.At, PickPolicy: d.PickPolicy, EjectAfterFailures: d.EjectAfterFailures, TryTimeoutShare: d.TryTimeoutShare, KeyHash: d.KeyHash, RejectedDidNotRun: d.RejectedDidNotRun,
		LevelUnit: d.LevelUnit, Routes: d.Routes, Hosts: d.Hosts, Masked: d.Masked, Tables: d.Tables, Sources: d.Sources}
}

// SealMerged seals a document that a proxy merged from those of several directors. Merged documents are never encoded.
func (d *Document) SealMerged(step Step) *Document {
	d.History, d.Step, d.Version = 0, step, "merged."+strconv.FormatUint(uint64(step), 10)
	return d
}

// encode returns the document's encoding and computes it on the first call. The digest in the document's tag is that of
// this encoding.
func (d *Document) encode() *encoding {
	if e := d.cache.own.Load(); e != nil {
		return e
	}
	b, err := json.Marshal(d)
	if err != nil {
		panic(err) // cannot happen: all numbers were validated on input
	}
	d.setEncoding(b, xxhash.Sum64(b))
	return d.cache.own.Load()
}

// setEncoding caches the document's encoding. Concurrent callers set the same encoding, so the first one is kept.
func (d *Document) setEncoding(text []byte, digest uint64) {
	e := &encoding{text: text, tag: Tag{d.History, d.Step, digest}}
	e.etag = e.tag.ETag()
	d.cache.own.CompareAndSwap(nil, e)
}

// JSON returns the encoding of the whole document.
func (d *Document) JSON() []byte { return d.encode().text }

// Tag returns the tag of the document's step and encoding.
func (d *Document) Tag() Tag { return d.encode().tag }

// ETag returns the document's tag as a strong entity tag.
func (d *Document) ETag() string { return d.encode().etag }

// SetPrevious sets the document that precedes this one.
func (d *Document) SetPrevious(previous *Document) {
	d.cache.mu.Lock()
	defer d.cache.mu.Unlock()
	d.cache.previous = previous
}

// patchFromPrevious returns the preceding document and the patch from it to this one, or nil if none is known.
func (d *Document) patchFromPrevious() (*Document, []Op) {
	d.cache.mu.Lock()
	defer d.cache.mu.Unlock()
	if d.cache.previous != nil && d.cache.patch == nil {
		d.cache.patch = Diff(d.cache.previous, d)
	}
	return d.cache.previous, d.cache.patch
}

// PatchFrom returns the patch that turns base into d. It composes the patches of the steps between the two documents if
// all of them are known and can be composed, and compares the two documents otherwise.
func (d *Document) PatchFrom(base *Document) []Op {
	var steps [][]Op
	current := d
	for current != base {
		previous, ops := current.patchFromPrevious()
		if previous == nil {
			break
		}
		steps = append(steps, ops)
		current = previous
	}
	if current == base && len(steps) > 0 {
		slices.Reverse(steps)
		if ops, composes := Compose(steps); composes {
			return ops
		}
	}
	return Diff(base, d)
}

// Delta returns the encoded patch from base to d. It is computed once for all proxies that hold the base. Delta returns
// nil if the patch is not shorter than the whole document.
func (d *Document) Delta(base *Document) []byte {
	if b, cached := d.cache.deltas.Load(base); cached {
		return b.([]byte)
	}
	d.cache.deltaMu.Lock() // the first caller computes the delta while the others wait
	defer d.cache.deltaMu.Unlock()
	if b, cached := d.cache.deltas.Load(base); cached {
		return b.([]byte)
	}
	b, err := json.Marshal(d.PatchFrom(base))
	if err != nil {
		panic(err)
	}
	if len(b) >= len(d.JSON()) {
		b = nil
	}
	d.cache.deltas.Store(base, b)
	return b
}

// ReleaseBases drops the cached deltas and the link to the preceding document, so that earlier documents can be freed.
func (d *Document) ReleaseBases() {
	d.cache.mu.Lock()
	defer d.cache.mu.Unlock()
	d.cache.previous, d.cache.patch = nil, nil
	d.cache.deltas.Clear()
}

// Parse decodes a whole document. It returns an error if a proxy could not apply the document.
func Parse(text []byte) (*Document, error) {
	var d Document
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, fmt.Errorf("tables document: %w", err)
	}
	historyText, stepText, found := strings.Cut(d.Version, ".")
	history, err1 := strconv.ParseUint(historyText, 16, 64)
	step, err2 := strconv.ParseUint(stepText, 10, 64)
	if !found || err1 != nil || err2 != nil {
		return nil, fmt.Errorf("tables document: field version: %.60q is not of the form history.step", d.Version)
	}
	d.History, d.Step = HistoryID(history), Step(step)
	if err := d.validate(); err != nil {
		return nil, fmt.Errorf("tables document %s: %w", d.Version, err)
	}
	d.setEncoding(text, xxhash.Sum64(text))
	return &d, nil
}

// validate returns an error if the document has values that a proxy cannot apply.
func (d *Document) validate() error {
	for name, t := range d.Tables {
		if t == nil || name == "" {
			return fmt.Errorf("table %q: empty", name)
		}
		for a, w := range t.Lines {
			if !(w > 0) || w > 1e9 {
				return fmt.Errorf("table %q, line %q: weight %v is out of range: it must be above 0 and at most 1e9", name, a, w)
			}
		}
		if (t.From == nil) != (t.To == nil) || t.From != nil && (*t.From > *t.To || *t.To >= 1<<32) {
			return fmt.Errorf("table %q: from and to are not a valid range of 32-bit hashes", name)
		}
	}
	for name, r := range d.Routes {
		if r.Table != "" && d.Tables[r.Table] == nil {
			return fmt.Errorf("route %q: refers to table %q, which does not exist", name, r.Table)
		}
		if !(r.Level.Level >= 0) || r.RetryMode < 0 || r.RetryMode > 3 {
			return fmt.Errorf("route %q: level %v or tries %d is out of range: level must be at least 0, tries 0 to 3", name, r.Level.Level, r.RetryMode)
		}
	}
	return nil
}
