// The interface of the decisions: ids, the configuration of a start, events and orders. Types only.

package logic

type (
	// HostID numbers a host.
	HostID uint32
	// ProxyID numbers a proxy.
	ProxyID int
	// TableID numbers a table: a slice, or at sites without slices a common table or the table of a proxy.
	TableID int
	// RouteID is the index of a route in Config.Routes.
	RouteID int
	// ZoneID numbers a zone.
	ZoneID int
	// CellID numbers a cell, a group of hosts that fail together.
	CellID int
	// HardwareID numbers a hardware type of hosts.
	HardwareID int
	// DirectorID numbers a director.
	DirectorID int
	// TimerID identifies a timer that SetTimer has set.
	TimerID uint64
	// SerialID is the number by which proxies acknowledge the orders up to a Stamp.
	SerialID int
	// Millis is a time or a duration in milliseconds.
	Millis float64
	// RouteSet is a set of routes, with one bit for each RouteID.
	RouteSet uint64
)

// AllTables stands for all tables of all joined proxies in a Throttle order.
const AllTables TableID = 65535

// Idempotency states under which condition a call may take effect a second time without harm.
type Idempotency int

// The kinds of idempotency.
const (
	NonIdempotent Idempotency = iota
	IdempotentByKey
	Idempotent
)

// DedupScope names the hosts among which repeats of a call with the same key are recognized.
type DedupScope int

// The scopes of deduplication.
const (
	DedupNone DedupScope = iota
	DedupAll
	DedupZone
	DedupCell
)

// LevelUnit is the unit of admission levels: a share of the calls, or calls a second at each proxy.
type LevelUnit int

// The units of admission levels.
const (
	NoLevels LevelUnit = iota
	LevelShare
	LevelRate
)

// PickPolicy is how a proxy picks one of the lines of a table.
type PickPolicy int

// The pick policies: weighted random, weighted round robin, and the less busy of two lines.
const (
	PickRandom PickPolicy = iota
	PickRoundRobin
	PickTwoChoices
)

// Route is the configuration of a route.
type Route struct {
	// SLO is the time within which answers are wanted, TimeLimit the deadline of a call, and DedupWindow how long
	// repeats of a call with the same key are recognized.
	SLO, TimeLimit, DedupWindow Millis
	// LateShare is the share of its importance that an answer after the SLO is still worth.
	Importance, LateShare float64
	Idempotency           Idempotency
	DedupScope            DedupScope
	// OwnZone keeps calls in the zone of their proxy.
	OwnZone, IsWrite bool
}

// Config holds the settings of a start.
type Config struct {
	Self                                         DirectorID
	Directors, Proxies                           int
	Zone                                         ZoneID
	Routes                                       []Route
	MayProbe, MayMessagePeers, HostListOnRequest bool
	HostListDeadline                             Millis
	// ColdCapacity is the capacity of a host right after its start, as a share of that of a warm one. A cold host fails
	// under more than ColdOverloadLimit times its capacity for ColdFailAfter.
	ColdCapacity, ColdOverloadLimit      float64
	WarmAfter, ColdFailAfter, DrainGrace Millis
	// RejectedMayHaveRun is set if a host may have begun a call that it rejects as overloaded, RemovalIsAdvisory if a
	// host may still be in service although the host list has dropped it.
	RejectedMayHaveRun, RemovalIsAdvisory bool
	// MasksRecorded is set if the program records masks and reports those of an earlier start as InheritedMask.
	// Otherwise a proxy that is not fresh may hold any mask of an earlier start.
	MasksRecorded bool
	// Weighted is set if the weights of the host list are meaningful.
	Weighted    bool
	LoadColumns []string
	// Slices is the number of slices of the key space, 0 at sites without slices. With SingleOwner the writes of a
	// slice go to a single host.
	Slices                int
	SingleOwner, WarmKeys bool
	// WriteLease and WriteSettle bound how long writes by an earlier table may still be sent and be in flight.
	// EmptyTableLimit is the longest time that a table may be without a usable host.
	WriteLease, WriteSettle, EmptyTableLimit Millis
	// TableWait is how long proxies let a call wait for a line to appear.
	TableWait Millis
	Levels    LevelUnit
	Pick      PickPolicy
	// EjectAfterFailures is the number of consecutive failures after which a proxy ejects a host, 0 for never.
	// DefaultRetryMode is the retry mode, as in Throttle, until one is ordered.
	EjectAfterFailures, DefaultRetryMode int
	// TryTimeout is the time limit of a try that another may follow, as a multiple of the SLO.
	TryTimeout float64
	// LinesPerSecond is the rate of the channel and ReportLinesPerSecond that of reports to the director.
	LinesPerSecond, ReportLinesPerSecond float64
	// QueueLimit is the maximum of lines queued in the channel. MessageOverhead is the cost of a message beside its
	// lines, in lines.
	QueueLimit, MessageOverhead float64
	// Transit is the usual and WorstTransit the longest time of a message through an empty channel.
	Transit, WorstTransit Millis
	// MessageLimit is the maximum of messages to a proxy within MessageWindow, 0 for no limit.
	MessageLimit                  int
	MessageWindow, ReportInterval Millis
}

// Events. Handle takes any of these; each is something that happened at the time of the call.
type (
	// HostList brings entries of the host list: all there are, or only those that changed.
	HostList struct {
		Kind    HostListKind
		Entries []HostEntry
	}
	// ProxyJoined reports that a proxy has connected. A fresh one holds neither tables nor masks.
	ProxyJoined struct {
		Proxy ProxyID
		Fresh bool
		Rate  float64
		Zone  ZoneID
	}
	// ProxyLeft reports that a proxy has disconnected.
	ProxyLeft struct{ Proxy ProxyID }
	// HostSample sums up the tries that the joined proxies of a zone made at a host within a period, with the host's
	// latest load report.
	HostSample struct {
		Host                HostID
		Zone                ZoneID
		Period, MeanLatency Millis
		Finished, Failed    int
		Load                Load
	}
	// RouteDemand sums up the calls of a route that a proxy received within a period.
	RouteDemand struct {
		Proxy             ProxyID
		Route             RouteID
		Period            Millis
		Calls, Unanswered int
	}
	// SliceDemand sums up the calls of a route for a slice within a period.
	SliceDemand struct {
		Slice             TableID
		Route             RouteID
		Period            Millis
		Calls, Unanswered int
	}
	// SliceOwnership reports whether this director owns a slice. A StoredLine for each line of its table follows if so.
	SliceOwnership struct {
		Slice TableID
		Owned bool
	}
	// StoredLine is a line of the stored table of a slice.
	StoredLine struct {
		Slice  TableID
		Host   HostID
		Weight float64
	}
	// InheritedMask reports, at a start, a host that proxies still mask by an order of an earlier start.
	InheritedMask struct{ Host HostID }
	// Acknowledged reports that a proxy has applied all orders up to a stamp. Latency is the time since they were
	// written.
	Acknowledged struct {
		Proxy   ProxyID
		Serial  SerialID
		Latency Millis
	}
	// AckStreamAlive reports that the connection that brings acknowledgements has just shown a sign of life.
	AckStreamAlive struct{}
	// Unconfirmed reports that it is unknown whether the channel took the reply with this stamp.
	Unconfirmed struct{ Serial SerialID }
	// Dropped reports that the program has given up the reply with this stamp and will not write it any more. Copies is
	// how often the channel may hold it, or a part of it, all the same: once for each attempt with an unknown outcome.
	Dropped struct {
		Serial SerialID
		Copies int
	}
	// ResendVoid reports that a Resend was not carried out, since the reply with this stamp is known to be written.
	ResendVoid struct{ Serial SerialID }
	// TimerFired reports that a timer has expired.
	TimerFired struct{ Timer TimerID }
	// ProbeResult is the outcome of a Probe.
	ProbeResult struct {
		Host    HostID
		Latency Millis
		Healthy bool
		Load    Load
	}
	// PeerMessage is a message from another director.
	PeerMessage struct {
		From    DirectorID
		Payload string
	}
)

// HostListKind is the kind of a HostList: which entries it holds, or that the request for it failed.
type HostListKind int

// The kinds of host lists: the changed entries, all entries, the list as stored on disk, and a failed request.
const (
	HostListDelta HostListKind = iota
	HostListFull
	HostListFromDisk
	HostListFailed
)

// HostState is the state of a host in the host list.
type HostState int

// The states of a host in the host list.
const (
	Up HostState = iota
	Draining
	Gone
)

// HostEntry is the entry of a host in the host list.
type HostEntry struct {
	Host     HostID
	State    HostState
	Cell     CellID
	Zone     ZoneID
	Hardware HardwareID
	Weight   float64
	// StartedAt is when the host started, by the clock of the host list; 0 is a distant past.
	StartedAt Millis
}

// Load is a load report; a nil field was not in it.
type Load struct{ Utilization, Throughput, Backlog, Outstanding, RecentLatency, ErrorRate *float64 }

// Order is an instruction to the program around the decisions, one of the types below.
type Order any

type (
	// SetLine sets the weight of a host in a table; a weight of 0 removes the line.
	SetLine struct {
		Table  TableID
		Host   HostID
		Weight float64
	}
	// DropLines removes all lines of a table.
	DropLines struct{ Table TableID }
	// Bind has a proxy use a table for some routes.
	Bind struct {
		Proxy  ProxyID
		Table  TableID
		Routes RouteSet
	}
	// Mask keeps all proxies from a host, or lifts that.
	Mask struct {
		Host HostID
		On   bool
	}
	// Throttle sets the admission level and the retry mode of some routes. The mode tells when a failed call is tried
	// again: 0 never, 1 once if the first try certainly never ran, 2 once after any failure, 3 twice after any failure.
	Throttle struct {
		Table     TableID
		Routes    RouteSet
		Level     float64
		RetryMode int
	}
	// Stamp ends the messages of a reply with a serial number, which proxies acknowledge. With All it goes to every
	// proxy, also to those that no order of the reply concerns.
	Stamp struct {
		Serial SerialID
		All    bool
	}
	// Resend writes an Unconfirmed reply once more. If the reply is Acknowledged before, a ResendVoid answers it.
	Resend struct{ Serial SerialID }
	// SetTimer asks for a TimerFired after a delay.
	SetTimer struct {
		Delay Millis
		Timer TimerID
	}
	// Probe asks for a ProbeResult of a host.
	Probe struct{ Host HostID }
	// SendToPeer sends a message to another director.
	SendToPeer struct {
		To      DirectorID
		Payload string
	}
	// WatchHosts asks to be sent the host list and its changes.
	WatchHosts struct{ On bool }
	// RequestHosts asks for the host list once.
	RequestHosts struct{}
	// LogText writes a text to the log.
	LogText struct{ Text string }
)
