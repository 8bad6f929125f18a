// The interface of the decisions: ids, the facts handed over at start, notes in, orders out. Types only.
package logic

type (
	HostID     uint32
	ProxyID    int
	TableID    int
	RouteID    int
	ZoneID     int
	CellID     int
	HardwareID int
	DirectorID int
	TimerID    uint64
	SerialID   int
	Millis     float64
	RouteSet   uint64
)

// EveryTable stands for all tables of all joined proxies in a Throttle order.
const AllTables TableID = 65535

// Repeat says when a call may take effect a second time without harm.
type Idempotency int

const (
	NonIdempotent Idempotency = iota
	IdempotentByKey
	Idempotent
)

// Reach names the hosts that know each other's repeats of a keyed call.
type DedupScope int

const (
	DedupNone DedupScope = iota
	DedupAll
	DedupZone
	DedupCell
)

// Valve says what a level counts.
type LevelUnit int

const (
	NoLevels LevelUnit = iota
	LevelShare
	LevelRate
)

// Pick is the way a proxy chooses one of its lines.
type PickPolicy int

const (
	PickRandom PickPolicy = iota
	PickRoundRobin
	PickTwoChoices
)

// Route is what a director is told of a route.
type Route struct {
	SLO, TimeLimit, DedupWindow Millis
	Importance, LateShare       float64
	Idempotency                 Idempotency
	DedupScope                  DedupScope
	OwnZone, IsWrite            bool
}

// Facts are the settings of a start, in our words.
type Config struct {
	Self                                         DirectorID
	Directors, Proxies                           int
	Zone                                         ZoneID
	Routes                                       []Route
	MayProbe, MayMessagePeers, HostListOnRequest bool
	HostListDeadline                             Millis
	ColdCapacity, ColdOverloadLimit              float64
	WarmAfter, ColdFailAfter, DrainGrace         Millis
	RejectedMayHaveRun, RemovalIsAdvisory        bool
	Weighted                                     bool
	LoadColumns                                  []string
	Slices                                       int
	SingleOwner, WarmKeys                        bool
	WriteLease, WriteSettle, EmptyTableLimit     Millis
	TableWait                                    Millis
	Levels                                       LevelUnit
	Pick                                         PickPolicy
	EjectAfterFailures, DefaultRetries           int
	TryTimeout                                   float64
	LinesPerSecond, ReportLinesPerSecond         float64
	QueueLimit, MessageOverhead                  float64
	Transit, WorstTransit                        Millis
	MessageLimit                                 int
	MessageWindow, ReportInterval                Millis
}

// Notes in. Handle takes any of these; each is something that happened at the time of the call.
type (
	// Roster brings entries: all there are, or only what changed.
	HostList struct {
		Kind    HostListKind
		Entries []HostEntry
	}
	ProxyJoined struct {
		Proxy ProxyID
		Fresh bool
		Rate  float64
		Zone  ZoneID
	}
	ProxyLeft struct{ Proxy ProxyID }
	// Met sums what joined proxies of one zone met at a host.
	HostSample struct {
		Host                HostID
		Zone                ZoneID
		Period, MeanLatency Millis
		Finished, Failed    int
		Load                Load
	}
	// Asked sums the calls of a route that came to a proxy; Heat those for a slice.
	RouteDemand struct {
		Proxy             ProxyID
		Route             RouteID
		Period            Millis
		Calls, Unanswered int
	}
	SliceDemand struct {
		Slice             TableID
		Route             RouteID
		Period            Millis
		Calls, Unanswered int
	}
	SliceOwnership struct {
		Slice TableID
		Owned bool
	}
	StoredLine struct {
		Slice  TableID
		Host   HostID
		Weight float64
	}
	// Masked is told at a start of a host that proxies hold a mask of from an earlier one.
	InheritedMask struct{ Host HostID }
	Acknowledged  struct {
		Proxy   ProxyID
		Serial  SerialID
		Latency Millis
	}
	// NewsAlive tells that the connection that brings acknowledgements has just shown a sign of life.
	AckStreamAlive struct{}
	// Unsure tells that the channel may have taken the reply that bore this stamp, or may not.
	Unconfirmed struct{ Serial SerialID }
	TimerFired  struct{ Timer TimerID }
	ProbeResult struct {
		Host    HostID
		Latency Millis
		Healthy bool
		Load    Load
	}
	PeerMessage struct {
		From    DirectorID
		Payload string
	}
)

type HostListKind int

const (
	HostListDelta HostListKind = iota
	HostListFull
	HostListFromDisk
	HostListFailed
)

type HostState int

const (
	Up HostState = iota
	Draining
	Gone
)

type HostEntry struct {
	Host      HostID
	State     HostState
	Cell      CellID
	Zone      ZoneID
	Hardware  HardwareID
	Weight    float64
	StartedAt Millis
}

// Load is a load report; a nil field was not in it.
type Load struct{ Utilization, Throughput, Backlog, Outstanding, RecentLatency, ErrorRate *float64 }

// Orders out.
type Order any

type (
	SetLine struct {
		Table  TableID
		Host   HostID
		Weight float64
	}
	DropLines struct{ Table TableID }
	Bind      struct {
		Proxy  ProxyID
		Table  TableID
		Routes RouteSet
	}
	Mask struct {
		Host HostID
		On   bool
	}
	Throttle struct {
		Table   TableID
		Routes  RouteSet
		Level   float64
		Retries int
	}
	Stamp struct {
		Serial SerialID
		All    bool
	}
	// Again has a reply written once more that is Unsure. An Applied of it that comes before makes it void.
	Resend   struct{ Serial SerialID }
	SetTimer struct {
		Delay Millis
		Timer TimerID
	}
	Probe      struct{ Host HostID }
	SendToPeer struct {
		To      DirectorID
		Payload string
	}
	WatchHosts   struct{ On bool }
	RequestHosts struct{}
	LogText      struct{ Text string }
)
