// Package reload decides what a changed file of settings comes to for a director that runs: what takes effect now, all in one step, and
// what only a start over can bring, by name. Facts that the decisions were begun with are of the second kind. No I/O, no clock.
package reload

import (
	"maps"
	"slices"
	"strings"
)

// Change is an attribute of the file that is another than before. An empty text stands for one that is not there.
type Change struct {
	Name, Old, New string
}

func (c Change) String() string { return c.Name + ": " + display(c.Old) + " to " + display(c.New) }

func display(v string) string {
	if v == "" {
		return "(not stated)"
	}
	return v
}

// Plan is what a reload does.
type Plan struct {
	Live, Restart []Change
}

// atOnce are the attributes that take effect while the director runs.
var appliesLive = map[string]bool{"director.memory": true, "history.versions": true, "history.age": true,
	"poll.most_head": true, "poll.most_body": true, "poll.slow_request": true, "poll.idle": true}

// Of compares two files, each attribute by its path. The label of the director's block is no part of it.
func Compare(was, is map[string]string) (p Plan) {
	names := map[string]bool{}
	for n := range was {
		names[n] = true
	}
	for n := range is {
		names[n] = true
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		if was[n] == is[n] {
			continue
		}
		if c := (Change{n, was[n], is[n]}); appliesLive[stripLabels(n)] || stripLabels(n) == "poll" || stripLabels(n) == "history" {
			p.Live = append(p.Live, c)
		} else {
			p.Restart = append(p.Restart, c)
		}
	}
	return p
}

// plain leaves out a block's labels: "director[d1].memory" is "director.memory".
func stripLabels(name string) string {
	for {
		from := strings.IndexByte(name, '[')
		to := strings.IndexByte(name, ']')
		if from < 0 || to < from {
			return name
		}
		name = name[:from] + name[to+1:]
	}
}
