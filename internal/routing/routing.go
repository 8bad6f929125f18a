// Package routing matches a request to its route and extracts the key that places it in a slice. It does no I/O.
package routing

import (
	"bytes"
	"net/url"
	"slices"

	"vetchwood/internal/h1"
)

// Match describes the requests of a route.
type Match struct {
	Route              string
	Prefix             string   // of the path
	Methods            []string // empty: any
	KeySource, KeyName string   // where the key is: "" for the path, "header" or "query" with the name of the field
	IdempotencyHeader  string   // header of the idempotency key, in lower case
}

// Find returns the match of a request with the longest prefix, nil if none matches.
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

// Key returns the key that places a request in a slice.
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

// HasIdempotencyKey reports whether a request has an idempotency key, by which hosts recognize a repeat.
func (m *Match) HasIdempotencyKey(h *h1.Head) bool { return len(h.Get(m.IdempotencyHeader)) > 0 }
