// What the parts hold and the notes they put into each other's inboxes. Types only.
package logic

// bounds are the figures that decisions use, derived from the facts of the start.
type bounds struct {
	sliced, oneOwner, asks, advice   bool
	probes                           bool
	shared                           bool    // proxies hold tables of other directors, too
	listed                           bool    // listed weights mean something
	freshRoom                        float64 // of its share, for a host just started
	queue, head, pace                float64 // lines in the channel, a message, and sent in a millisecond
	standby                          float64 // weight of a standby line
	heardAfter                       Millis  // from a table's writing to the first report of what it brought
	outWithin                        Millis  // from an order to the last proxy, for hosts that are to go out
	messages                         int     // most messages to a proxy within span; 0: any
	span, hurry, settle, reportEvery Millis
	transit, worstTransit            Millis
	slo, warmFor, health             Millis
	levels                           LevelUnit
	ways                             []int     // further tries that can't take effect twice, by route
	cheap                            []RouteID // routes by importance, least first
	writes, ownZone, everyRoute      RouteSet
}

// Notes between the parts.
type (
	tick       struct{ lastReport Millis } // a beat, and when a report last came
	batchEnd   struct{}                    // all of the batch is heard: act on it
	hostStatus struct {                    // a host's word on itself, to placer and gate
		id                   HostID
		usable, trial, fresh bool
		cold                 bool    // it may not be warm yet
		unproven             bool    // up, but has yet to answer anything
		leaving              bool    // it drains, or is gone where that binds
		unfit                bool    // up, but judged unfit
		implausible          bool    // its load reports can't be true
		resting              bool    // jammed: better left alone for a moment
		listedWeight         float64 // listed weight
		efficiency           float64 // calls a second for each unit of pressure; 0: not known
		utilization          float64 // share lately reported, 0: none was
		latency              float64 // mean time of an answer, in milliseconds
		loss                 float64 // share of tries lost
		tryRate, capacity    float64 // tries a second; what it could answer of them
		expectedRate         float64 // calls a second that standing tables bring it
		zone                 ZoneID
		cell                 CellID
		sender               *host
		rampUp               float64 // part of its room that a fresh host has by now
	}
	// Tries over capacity; share of them lost; busy share; all calls over capacity, where some are throttled.
	// TypicalLoss is the median of the share lost, out the part of the listed hosts that is judged unfit.
	fleetStatus struct{ pressure, loss, utilization, demandPressure, medianLoss, unfitShare float64 }
	expected    struct{ rate float64 } // calls a second that the placer has laid on a host
	wanted      struct {
		table  TableID
		lines  lines
		urgent bool
		at     Millis  // since when it waits
		gain   float64 // calls a second it takes off their host, times how over-worked that is
	}
	valued struct { // what a table that waits is worth by now
		table TableID
		gain  float64
	}
	laid struct { // a wanted table is written
		table TableID
		lines lines
	}
	door struct { // whether tables may offer a host
		host HostID
		open opening
	}
	levelled struct { // wanted level and further tries, by route
		level []float64
		tries []int
	}
	storedTable struct { // the store's lines of a slice
		table TableID
		lines lines
	}
)

type line struct {
	host   HostID
	weight float64
}

// Director is one instance.
type Director struct {
	inbox
	loop
	hosts           orderedMap[HostID, *host]
	storedLines     orderedMap[TableID, lines]
	place           *placer
	gate            *gate
	publish         *publisher
	ticking         bool
	nextHostRequest Millis
	watchesHosts    bool
	hasLiveList     bool // a list came that is not from disk
	lastReport      Millis
	nextForget      Millis // when hosts that are gone are looked for next
}

// host judges one host from what little is heard of it.
type host struct {
	inbox
	*loop
	id                                       HostID
	place                                    *placer
	gate                                     *gate
	entry                                    HostEntry
	hasEntry                                 bool
	finished, failed, answered, utilizations decayingSum
	latency                                  decayingSum // time of the answers
	tryRate                                  float64     // tries a second
	throughput, pressure                     decayingSum
	utilization                              float64 // share last reported
	lastReport, reportGap                    Millis  // when last heard of, and how long that takes as a rule
	lastAnswer                               Millis  // when an answer of it was last heard of
	expectedRate                             float64 // calls a second laid on it
	expectedSince, failingSince              Millis
	pendingRate                              float64 // more of it, by tables that were just written
	pendingAt                                Millis  // when that counts
	missedAnswers                            float64 // answers that should have come since the last one
	missedCountedTo                          Millis  // up to when those are counted
	implausibleSince                         Millis
	removedUntil                             Millis
	freshUntil, restUntil                    Millis
	coldUntil                                Millis
	fleet                                    fleetStatus
	state                                    hostState
	trial                                    trial
	unlistedAt                               Millis // when the list dropped it; 0: it is listed
	unproven                                 bool   // it has yet to answer anything
	trustedUntil                             Millis // until when it is used all the same
	addedLater                               bool   // a list came before the one that told of it first
	lastCondition                            Condition
	nextProbe, probeInterval                 Millis
	implausible                              bool // its load reports can't be true
}

type hostState int

const (
	serving hostState = iota
	removed
	onTrial
)

type opening int

const (
	opened opening = iota
	rested
	closed // judged unfit, or no longer listed
	bound  // the same, and the rules ask for it
)

// seat is what the placer holds of a host.
type seat struct {
	hostStatus
	load, share float64
	stands      float64 // load by the tables that stand, as a part of what is reckoned
	expected    float64 // calls a second that reach it by those tables
	bears       float64 // load from which it is over-worked
	aside       float64 // the part of load that its standby lines bring
	in          bool    // counted in the run at hand
	open        opening // kept from all calls, for good or for a moment
}

// piece is one slice (or, at sites without slices, one proxy's calls) in the placer's hands.
type piece struct {
	num    TableID
	parts  lines   // weight is the part of the slice; all add up to 1
	was    lines   // the parts before the run at hand
	laid   lines   // the parts last written
	held   lines   // the table last written, with its standby
	free   float64 // the part that the run at hand is to place
	spare  HostID
	heat   decayingSum
	since  Millis
	heard  bool
	last   Millis  // when last heard of
	weight float64 // calls a second
	told   lines
}

// leaf is an aligned block of slices, or a part of one slice.
type leaf struct {
	first, span int
	part, load  float64
}

// placer is the paper's controller.
type placer struct {
	inbox
	*loop
	to              *publisher
	seats           orderedMap[HostID, *seat]
	own             orderedMap[TableID, *piece]
	firstHeat, next Millis
	past            int
	total, mean     float64 // demand of all own slices, and of one
	dirty           bool
	around          fleetStatus
	listBy          Millis // until when the first list after the start is waited for; 0: it is not
}

// gate throttles the least important calls when the fleet can't do all, and says when to try again.
type gate struct {
	inbox
	*loop
	to    *publisher
	place *placer
	seats orderedMap[HostID, hostStatus]
	asked []decayingSum
	// lasting are the calls of all routes over the last seconds, heardSince when the first were heard of.
	lasting    decayingSum
	heardSince Millis
	// unanswered are calls that were let in and got no answer, by route.
	unanswered []decayingSum
	usual      []float64 // calls a second by route when none was throttled
	level      float64   // number of routes let in whole, the most important first
	next       Millis
	joined     orderedMap[ProxyID, bool]
	told       levelled
	// As last reckoned, for the report.
	around           fleetStatus
	demand, capacity float64 // calls a second, of all and of what hosts can answer
	waiting          float64 // calls that wait at hosts
	calmSpent        float64 // time of an answer while hosts have room, in milliseconds
}

// stream is a joined proxy; table is what it is bound to at sites without slices.
type stream struct {
	table, wants TableID
	zone         ZoneID
	bound        bool
}

// flight is one reply's messages on their way, with the lines sent to each proxy.
type flight struct {
	serial SerialID
	left   orderedMap[ProxyID, float64]
	// While it is filled: who may get lines, what a message costs beside its own, and how full the queue gets.
	streams             *orderedMap[ProxyID, *stream]
	each, queue, filled float64
	unowned             float64 // what proxies have not owned up to, with this
	returning           float64 // proxies that left a moment ago, and may be back before we hear of it
	returned            float64 // lines that this message would bring those
	second              bool    // of a reply that was written again, and may be in the channel twice
	written             Millis  // when that was
	doubt               Millis  // since when it may not have reached the channel; 0: it did
	clear               Millis  // when the last of it leaves the channel at its usual pace
}

// publisher turns what is wanted into the fewest messages the channel is sure to carry.
type publisher struct {
	inbox
	*loop
	place             *placer
	stands            orderedMap[TableID, lines]
	wants             orderedMap[TableID, wanted]
	since, hurrySince Millis // since when changes, and removals, wait
	streams           orderedMap[ProxyID, *stream]
	sent              []Millis
	flights           []*flight
	ownedAt           Millis // when a proxy last acknowledged a message
	newsAt, newsSince Millis // the last sign of life of what brings acknowledgements, and since when they come
	silences          int    // times that nobody acknowledged anything
	serial            SerialID
	clear             Millis // when the channel is empty at its usual pace
	levels, stood     levelled
	stoodAt           Millis                      // when stood was written
	doors             orderedMap[HostID, opening] // hosts that were ever out, as wanted
	turned            orderedMap[HostID, Millis]  // when that changed last
	masked            orderedMap[HostID, bool]    // the same as last written, where that is known
	maskedAt          orderedMap[HostID, Millis]  // when that was written
	away              orderedMap[ProxyID, Millis] // proxies that left, and from when on they may have missed what was written
	leftAt            orderedMap[ProxyID, Millis] // when they left
	shut              orderedMap[TableID, Millis] // single owners: no writes until the former owner's are settled
}
