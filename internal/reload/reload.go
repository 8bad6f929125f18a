// Package reload compares two versions of a settings file and decides which changes take effect in a running director,
// all in one step, and which need a restart. The configuration that the decision module was started with needs a
// restart. The package does no I/O and reads no clock.
package reload

import (
	"maps"
	"slices"
	"strings"
)

// Change is an attribute of the file whose value has changed. An empty value means that the attribute is absent.
type Change struct {
	Name, Old, New string
}

// String returns the change as "name: old to new".
func (c Change) String() string {
	return c.Name + ": " + displayValue(c.Old) + " to " + displayValue(c.New)
}

func displayValue(v string) string {
	if v == "" {
		return "(not set)"
	}
	return v
}

// Plan is the outcome of a comparison: changes that take effect in the running director, and changes that need a
// restart.
type Plan struct {
	Live, Restart []Change
}

// appliesLive holds the attributes that take effect while the director runs.
var appliesLive = map[string]bool{"director.memory": true, "history.versions": true, "history.age": true,
	"poll.most_head": true, "poll.most_body": true, "poll.slow_request": true, "poll.idle": true}

// Compare compares the attributes of two files by their paths. Block labels, such as the director's, don't matter to
// whether a change takes effect live.
func Compare(before, after map[string]string) (p Plan) {
	names := map[string]bool{}
	for n := range before {
		names[n] = true
	}
	for n := range after {
		names[n] = true
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		if before[n] == after[n] {
			continue
		}
		if c := (Change{n, before[n], after[n]}); appliesLive[stripLabels(n)] || stripLabels(n) == "poll" || stripLabels(n) == "history" {
			p.Live = append(p.Live, c)
		} else {
			p.Restart = append(p.Restart, c)
		}
	}
	return p
}

// stripLabels removes the labels of blocks: "director[d1].memory" becomes "director.memory".
func stripLabels(name string) string {
	for {
		start := strings.IndexByte(name, '[')
		end := strings.IndexByte(name, ']')
		if start < 0 || end < start {
			return name
		}
		name = name[:start] + name[end+1:]
	}
}
