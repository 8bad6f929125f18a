// Package control implements a director without its sockets. It passes events to the decision module (package logic)
// and turns the orders of the module into versions of the documents of the proxies, into messages that are queued for
// the channel, and into answers to polls. It does no I/O, reads no clock and has no global state: its outputs depend
// only on its inputs and their times. Placement and health are decided by package logic, not here.
package control

import (
	"maps"
	"regexp"

	"vetchwood/internal/pollshard"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// RouteInfo is a named route with the settings that are published to proxies.
type RouteInfo struct {
	Name string
	tables.Route
}

// Service holds the settings of a director and of the service that it directs.
type Service struct {
	Name         string // name of the director
	Config       logic.Config
	Routes       []RouteInfo
	Zones        []string
	Pick         string         // policy by which proxies pick a line of a table
	ProxyNames   *regexp.Regexp // pattern of the valid proxy names
	Lease        logic.Millis   // a proxy that has not polled for this long has left
	MaxWait      logic.Millis   // maximum time that a poll stays pending
	MaxBases     int            // maximum number of documents kept as bases of deltas
	QueriesPeers bool           // queries other directors for their facts; only with SlicesLeased
	SlicesLeased bool           // each slice is held under a lease by one of several directors
}

// Polls and answers are defined by package pollshard, which keeps the pending polls.
type (
	Ticket       = pollshard.Ticket
	Poll         = pollshard.Poll
	Disconnected = pollshard.Disconnected
	Answer       = pollshard.Answer
	AnswerKind   = pollshard.AnswerKind
)

// Kinds of answers; see package pollshard.
const (
	Unchanged  = pollshard.Unchanged
	Full       = pollshard.Full
	Delta      = pollshard.Delta
	Accepted   = pollshard.Accepted
	Unknown    = pollshard.Unknown
	Invalid    = pollshard.Invalid
	Busy       = pollshard.Busy
	Done       = pollshard.Done
	Conflict   = pollshard.Conflict
	FactsReply = pollshard.FactsReply
	Replaced   = pollshard.Replaced
	Refused    = pollshard.Refused
)

// Inputs of Core.Handle, in addition to those that come from shards (package pollshard).
type (
	// AnswersFlushed reports that all answers that shards had given before they were closed are written.
	AnswersFlushed struct{}
	// Report is a load report of a proxy: sums since its previous report. A report with the Key of the previous one is a
	// repetition and is not counted again.
	Report struct {
		Ticket Ticket
		Proxy  string
		Key    string
		Tries  []HostTries
		Calls  []RouteCalls
	}
	// HostTries sums the tries of a proxy at a host.
	HostTries struct {
		Address           tables.Address
		Ended, Unanswered int
		AnsweredMs        float64 // total duration of the answered tries in milliseconds
		Load              logic.Load
	}
	// RouteCalls counts the calls of a proxy by route and table.
	RouteCalls struct {
		Route, Table      string
		Calls, Unanswered int
	}
	// HostList is the complete host list that discovery has just reported.
	HostList struct{ Hosts []HostEntry }
	// Stored reports that all steps up to Step are durable.
	Stored struct{ Step tables.Step }
	// ProbeResult is the outcome of a Probe. Latency is the duration of the probe.
	ProbeResult struct {
		Address tables.Address
		Latency logic.Millis
		Healthy bool
		Load    logic.Load
	}
)

// HostEntry is a host of the host list. StartedAt is the start time of the host in Unix milliseconds; 0 means long ago.
type HostEntry struct {
	ID        string          `json:"id"`
	Address   tables.Address  `json:"address"`
	Zone      string          `json:"zone"`
	Cell      string          `json:"cell"`
	State     logic.HostState `json:"state"`
	Weight    float64         `json:"weight"`
	StartedAt float64         `json:"born"`
}

// Outputs of New and Core.Handle.
type (
	// Publish passes a view to all shards, before any other output of the same call is carried out. With Barrier, the
	// caller sends AnswersFlushed once all answers that the shards had given by then are written.
	Publish struct {
		View    *pollshard.View
		Barrier bool
	}
	// Persist passes a change to the store. Stored is sent only after the change is durable.
	Persist struct{ Change Change }
	// Probe requests a health check of a host.
	Probe struct{ Address tables.Address }
	// QueryPeers requests the facts of other directors, which arrive as PeerFacts.
	QueryPeers struct{}
	// LogEvent is an entry for the log.
	LogEvent struct {
		Name                         string
		Proxy, Host, Version, Detail string
	}
)

// Change is the part of the stored state that a step writes; nil fields stay unchanged. Who and Why are for the audit
// history and are empty in steps of the decision module.
type Change struct {
	Who, Why    string                `json:",omitempty"`
	From        tables.Step           `json:",omitempty"` // the version that a rollback restores
	OldestInUse tables.Step           `json:"-"`          // the oldest version held by a joined proxy; kept in the history
	Pinned      map[logic.TableID]Pin // all pins, where one has changed
	History     tables.HistoryID      `json:"Line"`
	Step        tables.Step
	At          float64
	Tables      map[logic.TableID]*tables.Table // nil: the table is deleted
	Masked      map[tables.Address]bool
	Levels      []tables.Level
	Bound       map[logic.ProxyID][]logic.TableID
	Carried     map[logic.ProxyID]map[string]*tables.Table // tables of earlier starts that proxies still follow, by route
	Named       map[logic.ProxyID]string                   // names of newly numbered proxies
	Known       map[tables.Address]KnownHost
	List        []HostEntry
}

// Apply applies a change to the stored state.
func (s *SavedState) Apply(c Change) {
	if c.Step > 0 {
		s.Step, s.At = c.Step, c.At
	}
	for id, t := range c.Tables {
		if s.Tables[id] = t; t == nil {
			delete(s.Tables, id)
		}
	}
	for id, byRoute := range c.Bound {
		if s.Bound[id] = byRoute; byRoute == nil {
			delete(s.Bound, id)
		}
	}
	replaceIf(&s.Masked, maps.Clone(c.Masked), c.Masked != nil)
	replaceIf(&s.Levels, c.Levels, c.Levels != nil)
	replaceIf(&s.Carried, c.Carried, c.Carried != nil)
	for id, name := range c.Named {
		maps.DeleteFunc(s.Proxies, func(_ string, has logic.ProxyID) bool { return has == id })
		if s.Proxies == nil {
			s.Proxies = map[string]logic.ProxyID{}
		}
		s.Proxies[name] = id
	}
	replaceIf(&s.Known, c.Known, c.Known != nil)
	replaceIf(&s.List, c.List, c.List != nil)
	replaceIf(&s.Pinned, c.Pinned, c.Pinned != nil)
}

func replaceIf[T any](to *T, value T, set bool) {
	if set {
		*to = value
	}
}

// Pin fixes a table at the lines that an operator has chosen.
type Pin struct {
	Lines map[tables.Address]float64
	Step  tables.Step // the version that Lines come from
	Who   string
}

// KnownHost preserves the number of a host across restarts.
type KnownHost struct {
	Number logic.HostID `json:"number"`
	tables.Host
}

// SavedState is the complete stored state.
type SavedState struct {
	History tables.HistoryID `json:"Line"`
	Step    tables.Step
	At      float64
	Tables  map[logic.TableID]*tables.Table
	Masked  map[tables.Address]bool
	Levels  []tables.Level
	Bound   map[logic.ProxyID][]logic.TableID
	Carried map[logic.ProxyID]map[string]*tables.Table
	Proxies map[string]logic.ProxyID
	Known   map[tables.Address]KnownHost
	List    []HostEntry
	Pinned  map[logic.TableID]Pin
}

// Stats holds the statistics of a director for the operator.
type Stats struct {
	Step, Stored                            tables.Step
	Joined                                  int
	QueuedLines, MaxQueuedLines, QueueLimit float64
	MaxMessagesInWindow                     int // most messages to one proxy within Config.MessageWindow
	Reports, RepeatedReports, Refused       uint64
	Removals                                uint64      // versions that removed a host from all tables; each starts a barrier
	OldestHeld                              tables.Step // oldest version that a joined proxy holds
	ProxiesBehind                           int         // proxies that hold a version older than the stored one
	CheckFailures                           uint64      // faults that checks found before publishing
	PendingReportLines                      int
	Hosts, Masked                           int
	Slices                                  int    // slices whose tables this director holds
	HostsLearnt                             uint64 // host states taken over from other directors
}
