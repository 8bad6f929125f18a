// Package control is one director without its sockets: it feeds the module what happened, and turns the
// module's orders into versions of what each proxy is told, into messages that wait for the channel, and into
// answers to polls. No I/O, no clock, nothing global: what comes in at a time decides what goes out. It places
// nothing and judges nothing; that is package logic's.
package control

import (
	"maps"
	"regexp"

	"vetchwood/internal/park"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// RouteInfo is a route by its name, with what proxies are told of it.
type RouteInfo struct {
	Name string
	tables.Route
}

// Service is what is directed, in the words of the settings.
type Service struct {
	Name         string // of the director
	Config       logic.Config
	Routes       []RouteInfo
	Zones        []string
	Pick         string
	ProxyNames   *regexp.Regexp
	Lease        logic.Millis // without a poll for so long, a proxy has left
	MaxWait      logic.Millis
	MaxBases     int  // documents kept as bases for differences
	QueriesPeers bool // it asks the others, where slices are held by lease
	SlicesLeased bool // slices are held by lease, each by one of several directors
}

// What polls and answers are is package park's, where polls wait.
type (
	Ticket       = park.Ticket
	Poll         = park.Poll
	Disconnected = park.Broke
	Answer       = park.Answer
	AnswerKind   = park.Kind
)

const (
	Unchanged  = park.Unchanged
	Full       = park.Whole
	Delta      = park.Delta
	Accepted   = park.Taken
	Unknown    = park.Unknown
	Invalid    = park.Wrong
	Busy       = park.Busy
	Done       = park.Done
	Conflict   = park.Conflict
	FactsReply = park.Told
	Replaced   = park.Replaced
	Refused    = park.Refused
)

// Inputs, beside those of the lots.
type (
	// Passed says that all that lots had answered when they were closed is written.
	AnswersFlushed struct{}
	// Report is a proxy's sums since its last one. Key tells a repeat from a new one.
	Report struct {
		Ticket Ticket
		Proxy  string
		Key    string
		Tries  []HostTries
		Calls  []RouteCalls
	}
	HostTries struct {
		Address           tables.Address
		Ended, Unanswered int
		AnsweredMs        float64
		Load              logic.Load
	}
	RouteCalls struct {
		Route, Table      string
		Calls, Unanswered int
	}
	// List is the whole list of hosts as it was just told.
	HostList struct{ Hosts []HostEntry }
	// Stored says that all steps up to this one would outlive a crash.
	Stored      struct{ Step tables.Step }
	ProbeResult struct {
		Address tables.Address
		Latency logic.Millis
		Healthy bool
		Load    logic.Load
	}
)

// Listed is a host in the list. Born is in Unix milliseconds; 0 is a distant past.
type HostEntry struct {
	ID      string          `json:"id"`
	Address tables.Address  `json:"address"`
	Zone    string          `json:"zone"`
	Cell    string          `json:"cell"`
	State   logic.HostState `json:"state"`
	Weight  float64         `json:"weight"`
	Born    float64         `json:"born"`
}

// Outputs.
type (
	// Publish shows all lots a view, before anything else of the same turn is carried out. With a Barrier, Passed is wanted once
	// what they had answered by then is written.
	Publish struct {
		View    *park.View
		Barrier bool
	}
	// Persist must outlive a crash before Stored is said.
	Persist struct{ Change Change }
	Probe   struct{ Address tables.Address }
	// AskPeers asks for what other directors know; Learnt brings it.
	AskPeers struct{}
	// Event is one thing that happened, for the log.
	LogEvent struct {
		Name                         string
		Proxy, Host, Version, Detail string
	}
)

// Change is what a step writes; nil parts stay as they were. Who and Why are for the audit: the module's steps have none.
type Change struct {
	Who, Why    string                `json:",omitempty"`
	From        tables.Step           `json:",omitempty"` // the version that it goes back to
	OldestInUse tables.Step           `json:"-"`          // the oldest version that a joined proxy stands on; it is kept
	Pinned      map[logic.TableID]Pin // all of them, where one changed
	Line        tables.Line
	Step        tables.Step
	At          float64
	Tables      map[logic.TableID]*tables.Table // nil: gone
	Masked      map[tables.Address]bool
	Levels      []tables.Level
	Bound       map[logic.ProxyID][]logic.TableID
	Carried     map[logic.ProxyID]map[string]*tables.Table // what proxies held before the start, by route
	Named       map[logic.ProxyID]string                   // numbers that proxies got
	Known       map[tables.Address]KnownHost
	List        []HostEntry
}

// Apply is what a change does to what was stored.
func (s *SavedState) Apply(c Change) {
	if c.Step > 0 {
		s.Step, s.At = c.Step, c.At
	}
	for id, t := range c.Tables {
		if s.Tables[id] = t; t == nil {
			delete(s.Tables, id)
		}
	}
	for id, by := range c.Bound {
		if s.Bound[id] = by; by == nil {
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

func replaceIf[T any](to *T, by T, set bool) {
	if set {
		*to = by
	}
}

// Pin is a table that an operator holds as it is.
type Pin struct {
	Lines map[tables.Address]float64
	Step  tables.Step // the version that its lines are from
	Who   string
}

// KnownHost keeps a host's number over restarts.
type KnownHost struct {
	Number logic.HostID `json:"number"`
	tables.Host
}

// Saved is all that was stored.
type SavedState struct {
	Line    tables.Line
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

// Figures are counted for the operator.
type Stats struct {
	Step, Stored                            tables.Step
	Joined                                  int
	QueuedLines, MaxQueuedLines, QueueLimit float64
	MaxMessagesInWindow                     int
	Reports, RepeatedReports, Refused       uint64
	Removals                                uint64      // versions that took a host out of all tables, each a barrier
	OldestHeld                              tables.Step // that a joined proxy stands on
	ProxiesBehind                           int         // proxies that stand on something older than what is stored
	CheckFailures                           uint64      // found by checks before publishing
	PendingReportLines                      int
	Hosts, Masked                           int
	Slices                                  int    // held
	HostsLearnt                             uint64 // hosts whose state another director knew first
}
