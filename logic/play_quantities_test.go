package logic

import (
	"fmt"
	"maps"
	"strings"
)

// The quantities that a scenario can expect, read off the tables, the orders and the messages of its run.

// offered returns the lines of a table that proxies can use.
func (s *scenarioRunner) offered(t TableID) map[HostID]float64 {
	open := maps.Clone(s.tables[t])
	maps.DeleteFunc(open, func(id HostID, _ float64) bool { return s.masked[id] })
	return open
}

// mainHost returns the host with the highest weight in a table.
func (s *scenarioRunner) mainHost(t TableID) (best HostID) {
	open := s.offered(t)
	for id, w := range open {
		if w > open[best] {
			best = id
		}
	}
	return best
}

// load returns the load of a host over all tables, in slices.
func (s *scenarioRunner) load(id HostID) (sum float64) {
	for t := range s.tables {
		lines, whole := s.offered(t), 0.0
		for _, w := range lines {
			whole += w
		}
		sum += lines[id] / max(whole, 1e-9)
	}
	return sum
}

// maxMessages returns the largest number of messages within any span of that length.
func (s *scenarioRunner) maxMessages(span Millis) (most int) {
	for i, at := range s.sentAt {
		n := 0
		for _, x := range s.sentAt[:i+1] {
			if at-x < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// expect checks an expectation: a quantity, then is, over or under, then a number.
func (s *scenarioRunner) expect(w []string) {
	var got float64
	switch w[0] {
	case "main": // of a table
		got = float64(s.mainHost(TableID(parseNumber(w[1]))))
	case "weight": // of a line: table host
		got = s.offered(TableID(parseNumber(w[1])))[HostID(parseNumber(w[2]))]
	case "lines": // of a table
		got = float64(len(s.offered(TableID(parseNumber(w[1])))))
	case "load": // of a host
		got = s.load(HostID(parseNumber(w[1])))
	case "moved":
		got = float64(s.movedSlices)
	case "messages": // the most within a span
		got = float64(s.maxMessages(Millis(parseNumber(w[1]))))
	case "waiting": // the most unacknowledged lines
		got = s.maxUnacknowledged
	case "level": // table route
		got = s.levels[w[1]+":"+w[2]].Level
	case "tries":
		got = float64(s.levels[w[1]+":"+w[2]].RetryMode)
	case "bound":
		got = float64(s.bound[ProxyID(parseNumber(w[1]))])
	case "orders": // of a kind
		for _, o := range s.orders {
			if strings.HasSuffix(fmt.Sprintf("%T", o), "."+w[1]) {
				got++
			}
		}
	default:
		panic("unknown quantity: " + w[0])
	}
	want := parseNumber(w[len(w)-1])
	if ok := map[string]bool{"is": got == want, "over": got > want, "under": got < want}[w[len(w)-2]]; !ok {
		s.t.Errorf("%s: %s: got %v at %v", s.position, strings.Join(w, " "), got, s.now)
	}
}
