// Package choose is how a proxy picks a line: which table a call belongs to, which lines are open to it, and
// one of them by weight. No I/O, no clock; chance is handed in. It overrides nothing that a table says.
package choose

import (
	"maps"
	"slices"
	"strconv"

	"vetchwood/internal/tables"
)

// Table gives the table of a call; nil if there is none.
func Table(d *tables.Document, route, key string) (name string, t *tables.Table) {
	if d == nil {
		return "", nil
	}
	if d.Hash != "" {
		name = strconv.Itoa(tables.SliceOf(key, len(d.Tables)))
	} else {
		name = d.Routes[route].Table
	}
	return name, d.Tables[name]
}

// Level is how much of a route a table lets in, and its tries: the lower level wins, and the table's own tries.
func Level(d *tables.Document, route string, t *tables.Table) tables.Level {
	l := d.Routes[route].Level
	if t != nil {
		if own, set := t.Levels[route]; set {
			l.Tries = own.Tries
			l.Level = min(l.Level, own.Level)
		}
	}
	return l
}

// Open are the lines that a call may go to, in the order of their addresses.
func Open(d *tables.Document, route, zone string, t *tables.Table, but func(tables.Address) bool) (open []tables.Address) {
	if t == nil {
		return nil
	}
	for _, a := range slices.Sorted(maps.Keys(t.Lines)) {
		if d.Masked[a] || but(a) || d.Routes[route].OwnZone && d.Hosts[a].Zone != zone {
			continue
		}
		open = append(open, a)
	}
	return open
}

// Lottery picks one by weight; chance is in [0,1).
func Lottery(t *tables.Table, open []tables.Address, chance float64) tables.Address {
	whole := 0.0
	for _, a := range open {
		whole += t.Lines[a]
	}
	at := chance * whole
	for _, a := range open {
		if at -= t.Lines[a]; at < 0 {
			return a
		}
	}
	if len(open) == 0 {
		return ""
	}
	return open[len(open)-1]
}
