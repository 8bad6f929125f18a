// Package choose tells which route a request belongs to, and which key it bears. No I/O.
package choose

import (
	"bytes"
	"net/url"
	"slices"

	"vetchwood/internal/h1"
)

// Match is how requests of a route look.
type Match struct {
	Route              string
	Prefix             string
	Methods            []string // empty: any
	KeySource, KeyName string   // "" the path, "header" or "query"
	IdempotencyHeader  string   // header that bears the mark against repeats, in small letters
}

// Find gives the route of a request: of those that match, the one with the longest prefix.
func Find(routes []Match, h *h1.Head) *Match {
	path, _, _ := bytes.Cut(h.Target, []byte("?"))
	var best *Match
	for i := range routes {
		m := &routes[i]
		if len(path) >= len(m.Prefix) && string(path[:len(m.Prefix)]) == m.Prefix && (best == nil || len(m.Prefix) > len(best.Prefix)) &&
			(len(m.Methods) == 0 || slices.Contains(m.Methods, string(h.Method))) {
			best = m
		}
	}
	return best
}

// Key is what places a request in a slice.
func (m *Match) Key(h *h1.Head) string {
	path, query, _ := bytes.Cut(h.Target, []byte("?"))
	switch m.KeySource {
	case "header":
		return string(h.Get(m.KeyName))
	case "query":
		values, _ := url.ParseQuery(string(query))
		return values.Get(m.KeyName)
	}
	return string(path)
}

// Marked says whether a request bears the mark by which hosts know it again.
func (m *Match) HasIdempotencyKey(h *h1.Head) bool { return len(h.Get(m.IdempotencyHeader)) > 0 }
