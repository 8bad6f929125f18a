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
	Name        string // of the director
	Facts       logic.Config
	Routes      []RouteInfo
	Zones       []string
	Pick        string
	ProxyNames  *regexp.Regexp
	Lease       logic.Millis // without a poll for so long, a proxy has left
	LongestWait logic.Millis
	Kept        int  // documents kept as bases for differences
	Learns      bool // it asks the others, where slices are held by lease
	Leased      bool // slices are held by lease, each by one of several directors
}

// What polls and answers are is package park's, where polls wait.
type (
	Ticket     = park.Ticket
	Poll       = park.Poll
	Broke      = park.Broke
	Answer     = park.Answer
	AnswerKind = park.Kind
)

const (
	Unchanged = park.Unchanged
	Whole     = park.Whole
	Delta     = park.Delta
	Taken     = park.Taken
	Unknown   = park.Unknown
	Wrong     = park.Wrong
	Busy      = park.Busy
	Done      = park.Done
	Conflict  = park.Conflict
	Told      = park.Told
	Replaced  = park.Replaced
	Refused   = park.Refused
)

// Inputs, beside those of the lots.
type (
	// Passed says that all that lots had answered when they were closed is written.
	Passed struct{}
	// Report is a proxy's sums since its last one. Key tells a repeat from a new one.
	Report struct {
		Ticket Ticket
		Proxy  string
		Key    string
		Tries  []HostTries
		Calls  []RouteCalls
	}
	HostTries struct {
		Address     tables.Address
		Ended, Lost int
		Spent       float64
		Load        logic.Load
	}
	RouteCalls struct {
		Route, Table string
		Calls, Lost  int
	}
	// List is the whole list of hosts as it was just told.
	List struct{ Hosts []Listed }
	// Stored says that all steps up to this one would outlive a crash.
	Stored struct{ Step tables.Step }
	Probed struct {
		Address tables.Address
		Spent   logic.Millis
		Good    bool
		Load    logic.Load
	}
)

// Listed is a host in the list. Born is in Unix milliseconds; 0 is a distant past.
type Listed struct {
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
	Event struct {
		Name                         string
		Proxy, Host, Version, Detail string
	}
)

// Change is what a step writes; nil parts stay as they were. Who and Why are for the audit: the module's steps have none.
type Change struct {
	Who, Why string                `json:",omitempty"`
	From     tables.Step           `json:",omitempty"` // the version that it goes back to
	Least    tables.Step           `json:"-"`          // the oldest version that a joined proxy stands on; it is kept
	Pinned   map[logic.TableID]Pin // all of them, where one changed
	Line     tables.HistoryID
	Step     tables.Step
	At       float64
	Tables   map[logic.TableID]*tables.Table // nil: gone
	Masked   map[tables.Address]bool
	Levels   []tables.Level
	Bound    map[logic.ProxyID][]logic.TableID
	Carried  map[logic.ProxyID]map[string]*tables.Table // what proxies held before the start, by route
	Named    map[logic.ProxyID]string                   // numbers that proxies got
	Known    map[tables.Address]KnownHost
	List     []Listed
}

// Apply is what a change does to what was stored.
func (s *Saved) Apply(c Change) {
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
	replace(&s.Masked, maps.Clone(c.Masked), c.Masked != nil)
	replace(&s.Levels, c.Levels, c.Levels != nil)
	replace(&s.Carried, c.Carried, c.Carried != nil)
	for id, name := range c.Named {
		maps.DeleteFunc(s.Proxies, func(_ string, has logic.ProxyID) bool { return has == id })
		if s.Proxies == nil {
			s.Proxies = map[string]logic.ProxyID{}
		}
		s.Proxies[name] = id
	}
	replace(&s.Known, c.Known, c.Known != nil)
	replace(&s.List, c.List, c.List != nil)
	replace(&s.Pinned, c.Pinned, c.Pinned != nil)
}

func replace[T any](to *T, by T, set bool) {
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
type Saved struct {
	Line    tables.HistoryID
	Step    tables.Step
	At      float64
	Tables  map[logic.TableID]*tables.Table
	Masked  map[tables.Address]bool
	Levels  []tables.Level
	Bound   map[logic.ProxyID][]logic.TableID
	Carried map[logic.ProxyID]map[string]*tables.Table
	Proxies map[string]logic.ProxyID
	Known   map[tables.Address]KnownHost
	List    []Listed
	Pinned  map[logic.TableID]Pin
}

// Figures are counted for the operator.
type Figures struct {
	Step, Stored                     tables.Step
	Joined                           int
	Waiting, MostWaiting, QueueLimit float64
	MostMessages                     int
	Reports, Repeats, Refused        uint64
	Removals                         uint64      // versions that took a host out of all tables, each a barrier
	Oldest                           tables.Step // that a joined proxy stands on
	Behind                           int         // proxies that stand on something older than what is stored
	Faults                           uint64      // found by checks before publishing
	ReportLinesWaiting               int
	Hosts, Masked                    int
	Slices                           int    // held
	Learnt                           uint64 // hosts whose state another director knew first
}
