package follow

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"vetchwood/internal/followpolicy"
	"vetchwood/internal/tables"
)

// Group follows one director at a time, or all directors at once if they share the slices.
type Group struct {
	config    Config
	followers []*Follower
	document  atomic.Pointer[tables.Document]

	mu     sync.Mutex
	merger *followpolicy.Merger // nil: one director is followed at a time
}

// NewGroup returns a group that follows all directors of the configuration at once and merges their documents if all is
// set. Otherwise it follows one director, and the next one when it fails.
func NewGroup(config Config, all bool) *Group {
	g := &Group{config: config}
	if !all {
		single := config
		single.OnUpdate = func(u Update) { g.document.Store(u.Doc); g.notifyUpdate(u) }
		g.followers = []*Follower{New(single)}
		return g
	}
	g.merger = followpolicy.NewMerger()
	for i, d := range config.Directors {
		single := config
		if single.Directors = []string{d}; config.CacheFile != "" {
			single.CacheFile = config.CacheFile + "." + strconv.Itoa(i+1)
		}
		single.OnUpdate = func(u Update) { g.mergeUpdate(i, u) }
		f := New(single)
		f.chooser.SetSlicesShared()
		g.followers = append(g.followers, f)
	}
	return g
}

func (g *Group) notifyUpdate(u Update) {
	if g.config.OnUpdate != nil {
		g.config.OnUpdate(u)
	}
}

// mergeUpdate merges the document of a director, given by its index, into the document in force.
func (g *Group) mergeUpdate(index int, u Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u.DirectorIndex, u.Raw = index, u.Doc
	u.Doc = g.merger.Add(index, u.Raw)
	g.document.Store(u.Doc)
	g.notifyUpdate(u)
}

// Document returns the document in force, nil before the first one.
func (g *Group) Document() *tables.Document { return g.document.Load() }

// DirectorDocument returns the newest document of the director with the given index.
func (g *Group) DirectorDocument(index int) *tables.Document { return g.followers[index].Document() }

// Directors returns the URLs of the directors that load reports go to, in the order of the configuration.
func (g *Group) Directors() (urls []string) {
	if g.merger == nil {
		return []string{g.followers[0].Director()}
	}
	for _, d := range g.config.Directors {
		urls = append(urls, strings.TrimRight(d, "/"))
	}
	return urls
}

// Report sends a load report to the director with the given index and URL; see Follower.Report.
func (g *Group) Report(ctx context.Context, index int, director, key string, body []byte) (
	status int, text string, err error) {
	return g.followers[index].Report(ctx, director, key, body)
}

// StaleResponses returns the number of responses that were ignored because the lease of the director had expired.
func (g *Group) StaleResponses() (n uint64) {
	for _, f := range g.followers {
		n += f.staleResponses.Load()
	}
	return n
}

// RejectedTables returns the number of tables that were rejected because their director no longer owned the slice.
func (g *Group) RejectedTables() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.merger == nil {
		return 0
	}
	return g.merger.Rejected()
}

// DisconnectFor keeps all followers from their directors for the given duration.
func (g *Group) DisconnectFor(duration time.Duration) {
	for _, f := range g.followers {
		f.DisconnectFor(duration)
	}
}

// Run follows the directors until the context ends.
func (g *Group) Run(ctx context.Context) {
	var all sync.WaitGroup
	for _, f := range g.followers {
		all.Go(func() { f.Run(ctx) })
	}
	all.Wait()
}
