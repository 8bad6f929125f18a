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

// Group follows one director at a time, or all directors at once if they share the slices.
type Group struct {
	config    Config
	followers []*Follower
	document  atomic.Pointer[tables.Document]

	mu     sync.Mutex
	merger *following.Merger // nil: one director is followed at a time
}

// NewGroup returns a group that follows all directors of the configuration at once and merges their documents if all is
// set. Otherwise it follows one director, and the next one when it fails.
func NewGroup(config Config, all bool) *Group {
	s := &Group{config: config}
	if !all {
		single := config
		single.OnUpdate = func(u Update) { s.document.Store(u.Doc); s.notifyUpdate(u) }
		s.followers = []*Follower{New(single)}
		return s
	}
	s.merger = following.NewMerger()
	for i, d := range config.Directors {
		single := config
		if single.Directors = []string{d}; config.CacheFile != "" {
			single.CacheFile = config.CacheFile + "." + strconv.Itoa(i+1)
		}
		single.OnUpdate = func(u Update) { s.mergeUpdate(i, u) }
		f := New(single)
		f.chooser.SetSlicesShared()
		s.followers = append(s.followers, f)
	}
	return s
}

func (s *Group) notifyUpdate(u Update) {
	if s.config.OnUpdate != nil {
		s.config.OnUpdate(u)
	}
}

// mergeUpdate merges the document of a director, given by its index, into the document in force.
func (s *Group) mergeUpdate(index int, u Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.DirectorIndex, u.Raw = index, u.Doc
	u.Doc = s.merger.Add(index, u.Raw)
	s.document.Store(u.Doc)
	s.notifyUpdate(u)
}

// Document returns the document in force, nil before the first one.
func (s *Group) Document() *tables.Document { return s.document.Load() }

// DirectorDocument returns the newest document of the director with the given index.
func (s *Group) DirectorDocument(index int) *tables.Document { return s.followers[index].Document() }

// Directors returns the URLs of the directors that load reports go to, in the order of the configuration.
func (s *Group) Directors() (urls []string) {
	if s.merger == nil {
		return []string{s.followers[0].Director()}
	}
	for _, d := range s.config.Directors {
		urls = append(urls, strings.TrimRight(d, "/"))
	}
	return urls
}

// Report sends a load report to the director with the given index and URL; see Follower.Report.
func (s *Group) Report(ctx context.Context, index int, director, key string, body []byte) (
	status int, text string, err error) {
	return s.followers[index].Report(ctx, director, key, body)
}

// StaleResponses returns the number of responses that were ignored because the lease of the director had expired.
func (s *Group) StaleResponses() (n uint64) {
	for _, f := range s.followers {
		n += f.staleResponses.Load()
	}
	return n
}

// RejectedTables returns the number of tables that were rejected because their director no longer owned the slice.
func (s *Group) RejectedTables() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.merger == nil {
		return 0
	}
	return s.merger.Rejected()
}

// DisconnectFor keeps all followers from their directors for the given duration.
func (s *Group) DisconnectFor(duration time.Duration) {
	for _, f := range s.followers {
		f.DisconnectFor(duration)
	}
}

// Run follows the directors until the context ends.
func (s *Group) Run(ctx context.Context) {
	var all sync.WaitGroup
	for _, f := range s.followers {
		all.Go(func() { f.Run(ctx) })
	}
	all.Wait()
}
