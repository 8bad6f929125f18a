// The interface of the decisions: ids, the facts handed over at start, notes in, orders out. Types only.
package logic

type (
	HostID     uint32
	ProxyID    int
	TableID    int
	RouteID    int
	ZoneID     int
	CellID     int
	KindID     int
	DirectorID int
	TimerID    uint64
	SerialID   int
	Millis     float64
	RouteSet   uint64
)

// EveryTable stands for all tables of all joined proxies in a Throttle order.
const EveryTable TableID = 65535

// Repeat says when a call may take effect a second time without harm.
type Repeat int

const (
	Mutating Repeat = iota
	Keyed
	Repeatable
)

// Reach names the hosts that know each other's repeats of a keyed call.
type Reach int

const (
	ReachNone Reach = iota
	ReachAll
	ReachZone
	ReachCell
)

// Valve says what a level counts.
type Valve int

const (
	NoLevels Valve = iota
	LevelShare
	LevelRate
)

// Pick is the way a proxy chooses one of its lines.
type Pick int

const (
	PickLottery Pick = iota
	PickWheel
	PickPair
)

// Route is what a director is told of a route.
type Route struct {
	SLO, TimeLimit, RepeatSpan Millis
	Importance, LateShare      float64
	Repeat                     Repeat
	Reach                      Reach
	OwnZone, Writes            bool
}

// Facts are the settings of a start, in our words.
type Facts struct {
	Me                                 DirectorID
	Directors, Proxies                 int
	Zone                               ZoneID
	Routes                             []Route
	MayProbe, MayTell, AsksForList     bool
	AskWithin                          Millis
	ColdFrom, TipMultiple              float64
	WarmAfter, FallAfter, DrainGrace   Millis
	FullMayHaveRun, GoneIsAdvice       bool
	Weighted                           bool
	LoadColumns                        []string
	Slices                             int
	OneOwner, WarmKeys                 bool
	WriteLease, WriteSettle, BareLimit Millis
	WaitsForTable                      Millis
	Levels                             Valve
	Pick                               Pick
	EjectsAfter, TriesUnlessTold       int
	TryWait                            float64
	LinesPerSecond, IntakePerSecond    float64
	QueueLimit, HeadLines              float64
	Transit, WorstTransit              Millis
	MessageLimit                       int
	MessageSpan, ReportEvery           Millis
}

// Notes in. Handle takes any of these; each is something that happened at the time of the call.
type (
	// Roster brings entries: all there are, or only what changed.
	Roster struct {
		Kind    RosterKind
		Entries []Entry
	}
	Joined struct {
		Proxy ProxyID
		Fresh bool
		Rate  float64
		Zone  ZoneID
	}
	Left struct{ Proxy ProxyID }
	// Met sums what joined proxies of one zone met at a host.
	Met struct {
		Host        HostID
		Zone        ZoneID
		Over, Spent Millis
		Ended, Lost int
		Load        Load
	}
	// Asked sums the calls of a route that came to a proxy; Heat those for a slice.
	Asked struct {
		Proxy       ProxyID
		Route       RouteID
		Over        Millis
		Calls, Lost int
	}
	Heat struct {
		Slice       TableID
		Route       RouteID
		Over        Millis
		Calls, Lost int
	}
	Custody struct {
		Slice TableID
		Given bool
	}
	OnRecord struct {
		Slice  TableID
		Host   HostID
		Weight float64
	}
	// Masked is told at a start of a host that proxies hold a mask of from an earlier one.
	Masked  struct{ Host HostID }
	Applied struct {
		Proxy  ProxyID
		Serial SerialID
		Spent  Millis
	}
	// NewsAlive tells that the connection that brings acknowledgements has just shown a sign of life.
	NewsAlive struct{}
	// Unsure tells that the channel may have taken the reply that bore this stamp, or may not.
	Unsure struct{ Serial SerialID }
	Due    struct{ Timer TimerID }
	Probed struct {
		Host  HostID
		Spent Millis
		Good  bool
		Load  Load
	}
	Said struct {
		From  DirectorID
		Bytes string
	}
)

type RosterKind int

const (
	Changes RosterKind = iota
	Whole
	FromDisk
	AskFailed
)

type HostState int

const (
	Up HostState = iota
	Draining
	Gone
)

type Entry struct {
	Host   HostID
	State  HostState
	Cell   CellID
	Zone   ZoneID
	Kind   KindID
	Weight float64
	Born   Millis
}

// Load is a load report; a nil field was not in it.
type Load struct{ Busy, Rate, Queue, InHand, Recent, Errors *float64 }

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
		Out  bool
	}
	Throttle struct {
		Table  TableID
		Routes RouteSet
		Level  float64
		Tries  int
	}
	Stamp struct {
		Serial SerialID
		All    bool
	}
	// Again has a reply written once more that is Unsure. An Applied of it that comes before makes it void.
	Again struct{ Serial SerialID }
	After struct {
		In    Millis
		Timer TimerID
	}
	Ping struct{ Host HostID }
	Tell struct {
		To    DirectorID
		Bytes string
	}
	Follow struct{ On bool }
	Pull   struct{}
	Say    struct{ Text string }
)
