package follow

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"vetchwood/internal/following"
	"vetchwood/internal/tables"
)

// Several follows a director, or each of several that share the slices.
type Group struct {
	src   Config
	parts []*Follower
	held  atomic.Pointer[tables.Document]

	mu    sync.Mutex
	merge *following.Merger // nil: one is followed
}

// NewSeveral follows all directors of the source at once, or one of them and the next when it fails.
func NewGroup(src Config, all bool) *Group {
	s := &Group{src: src}
	if !all {
		own := src
		own.OnUpdate = func(u Update) { s.held.Store(u.Doc); s.seen(u) }
		s.parts = []*Follower{New(own)}
		return s
	}
	s.merge = following.NewMerger()
	for i, d := range src.Directors {
		part := src
		if part.Directors = []string{d}; src.CacheFile != "" {
			part.CacheFile = src.CacheFile + "." + strconv.Itoa(i+1)
		}
		part.OnUpdate = func(u Update) { s.take(i, u) }
		f := New(part)
		f.chooser.SetSlicesShared()
		s.parts = append(s.parts, f)
	}
	return s
}

func (s *Group) seen(u Update) {
	if s.src.OnUpdate != nil {
		s.src.OnUpdate(u)
	}
}

func (s *Group) take(from int, u Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.DirectorIndex, u.Raw = from, u.Doc
	u.Doc = s.merge.Add(from, u.Raw)
	s.held.Store(u.Doc)
	s.seen(u)
}

// Held is the document in force, nil before the first.
func (s *Group) Document() *tables.Document { return s.held.Load() }

// Of is the newest document of one director.
func (s *Group) DirectorDocument(i int) *tables.Document { return s.parts[i].Document() }

// Directors are those that reports go to, by their place in the list.
func (s *Group) Directors() (out []string) {
	if s.merge == nil {
		return []string{s.parts[0].Director()}
	}
	for _, d := range s.src.Directors {
		out = append(out, strings.TrimRight(d, "/"))
	}
	return out
}

// Report sends sums to one of them.
func (s *Group) Report(ctx context.Context, i int, to, key string, body []byte) (status int, text string, err error) {
	return s.parts[i].Report(ctx, to, key, body)
}

// Stale is how many answers came when the lease that they were given under was over, and Refused how many tables of
// deposed directors were offered.
func (s *Group) StaleResponses() (n uint64) {
	for _, f := range s.parts {
		n += f.stale.Load()
	}
	return n
}

func (s *Group) RejectedTables() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.merge == nil {
		return 0
	}
	return s.merge.Rejected()
}

// Cut keeps it from its directors for a while.
func (s *Group) DisconnectFor(long time.Duration) {
	for _, f := range s.parts {
		f.DisconnectFor(long)
	}
}

// Run polls until the context ends.
func (s *Group) Run(ctx context.Context) {
	var all sync.WaitGroup
	for _, f := range s.parts {
		all.Go(func() { f.Run(ctx) })
	}
	all.Wait()
}
