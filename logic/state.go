// The state of the actors and the messages that they post into each other's inboxes. Types only.

package logic

// params are the parameters of all decisions, derived from the Config of a start.
type params struct {
	sliced, singleOwner, hostListOnRequest, removalIsAdvisory bool
	mayProbe                                                  bool

	masksRecorded bool    // whether masks of an earlier start are reported
	sharedProxies bool    // whether proxies also hold tables of other directors
	weighted      bool    // whether the weights in the host list are meaningful
	freshShare    float64 // part of its share that a host gets just after its start
	// The queue limit of the channel and the overhead of a message in lines, and the channel's rate in lines per ms.
	queueLimit, overheadLines, linesPerMilli float64
	standbyWeight                            float64 // weight of a standby line
	reportDelay                              Millis  // from the writing of a table to the first samples of the calls that it brings
	removalTime                              Millis  // within which the removal of a host has to reach the last proxy
	messageLimit                             int     // maximum of messages to a proxy within messageWindow; 0: unlimited

	messageWindow, urgentInterval, settleTime, reportInterval Millis
	transit, worstTransit                                     Millis
	slo, warmUpTime, healthHalfLife                           Millis // slo is the shortest SLO of the routes

	levelUnit    LevelUnit
	retryModes   []int     // retry mode (see Throttle) while retries are not restricted, by route
	byImportance []RouteID // routes by importance, least important first

	writeRoutes, ownZoneRoutes, allRoutes RouteSet
}

// Messages between the actors.
type (
	tick       struct{ lastReport Millis } // a tick, with the time of the last sample of any host
	endOfBatch struct{}                    // all events of a call of Handle have been delivered: act on them
	hostStatus struct {                    // state of a host, from its actor to the placer and the admitter
		id                     HostID
		usable, onTrial, fresh bool
		cold                   bool    // its caches may not be warm yet
		unproven               bool    // listed as up, but not used, since it has not answered anything yet
		leaving                bool    // it drains, or is gone from a list whose removals are binding
		unfit                  bool    // up, but judged unfit by its failures or its silence
		implausibleLoad        bool    // its load reports contradict the calls that it answers
		resting                bool    // saturated: to be masked for restPeriod
		listedWeight           float64 // weight by the host list, 1 if that gives none
		callsPerOccupancy      float64 // calls a second for each unit of host.occupancy; 0: unknown
		utilization            float64 // smoothed utilization by its load reports, 0: none was reported
		answerTime             float64 // mean answer time in milliseconds
		loss                   float64 // share of tries without a good answer
		tryRate, capacity      float64 // tries a second that it gets, and that it could answer
		assignedRate           float64 // calls a second that the current tables send to it, also where samples cannot show them yet
		zone                   ZoneID
		cell                   CellID
		actor                  *host
		warmShare              float64 // part of its share that a recently started host can bear by now
	}
	// fleetLoad is the load of all hosts: pressure is the tries over the capacity, loss the share of tries without a
	// good answer, utilization the mean weighted by capacity, and demandPressure the demand over the capacity, 0
	// while nothing is throttled. medianLoss is the median over hosts of the share of tries without a good answer,
	// unfitShare the share of the listed hosts that are judged unfit.
	fleetLoad    struct{ pressure, loss, utilization, demandPressure, medianLoss, unfitShare float64 }
	expectedRate struct{ rate float64 } // calls a second that the current tables send to a host
	wantedTable  struct {
		table        TableID
		lines        lines
		urgent       bool
		pendingSince Millis  // since when the change has been pending
		gain         float64 // gain of writing the table, by gainOf; 1 for common tables
	}
	gainUpdate struct { // the present gain of a pending table
		table TableID
		gain  float64
	}
	tableWritten struct { // a wanted table was written to the channel
		table TableID
		lines lines
	}
	availabilityChange struct { // whether tables may offer a host
		host         HostID
		availability availability
	}
	admissionLevels struct { // the wanted level and retry mode, by route
		level      []float64
		retryModes []int
	}
	hostAdded   struct{ host HostID } // the placer learned of a host
	storedTable struct {              // the lines of a slice as found in the store
		table TableID
		lines lines
	}
)

// line is a weighted entry of a table.
type line struct {
	host   HostID
	weight float64
}

// Director is one instance of the decision module.
type Director struct {
	inbox
	loop
	hosts           orderedMap[HostID, *host]
	storedLines     orderedMap[TableID, lines]
	placer          *placer
	admitter        *admitter
	publisher       *publisher
	ticking         bool
	nextHostRequest Millis
	watchesHosts    bool
	hasLiveList     bool // whether a host list has come that is not the one from disk
	lastReport      Millis
	nextForget      Millis // when hosts that are gone are next looked for
}

// host is the actor that judges one host by the reports of proxies.
type host struct {
	inbox
	*loop
	id                                       HostID
	placer                                   *placer
	admitter                                 *admitter
	entry                                    HostEntry
	hasEntry                                 bool
	finished, failed, answered, utilizations decayingSum
	latency                                  decayingSum // time that its answers took
	tryRate                                  float64     // tries a second
	// throughput is the decaying sum of calls answered a second, occupancy that of the load at the same time: the
	// reported utilization, else the number of calls in progress. Their ratio is hostStatus.callsPerOccupancy.
	throughput, occupancy       decayingSum
	utilization                 float64 // smoothed utilization by its load reports, 0: none was reported
	lastReport, reportGap       Millis  // the time of its last sample, and the usual time between two
	lastAnswer                  Millis  // the time of its last sample that contained an answer
	expectedRate                float64 // calls a second that the current tables send to it
	expectedSince, failingSince Millis
	pendingRate                 float64 // further calls a second, by tables written too recently to show in samples
	pendingAt                   Millis  // when those are expected to show in samples
	missedAnswers               float64 // answers that were expected since the last one
	missedCountedTo             Millis  // the time up to which those have been counted
	implausibleSince            Millis
	removedUntil                Millis
	freshUntil, restUntil       Millis
	coldUntil                   Millis
	fleet                       fleetLoad
	state                       hostState
	trial                       trial
	unlistedAt                  Millis // when it was removed from the list; 0: it is listed
	unproven                    bool   // it has not answered anything yet
	trustedUntil                Millis // the time until which it is used although it is unproven
	addedLater                  bool   // it was not in the first host list, that from disk aside
	lastCondition               Condition
	nextProbe, probeInterval    Millis
	implausibleLoad             bool // its load reports contradict the calls that it answers
}

// hostState is how a host is used, as judged by its tries.
type hostState int

const (
	serving hostState = iota
	removed           // judged unfit
	onTrial           // removed before, and given a few calls again
)

// availability is whether tables may offer a host and, if not, why.
type availability int

const (
	available      availability = iota
	resting                     // saturated: masked for a moment
	excluded                    // judged unfit, not yet proven, or gone by a removal that is advisory
	excludedByRule              // drains, or is gone from a list whose removals are binding: the rules forbid calls to it
)

// placementHost is the placer's state of a host.
type placementHost struct {
	hostStatus
	load, share  float64
	currentLoad  float64      // load by the current tables, in the same unit as load
	expectedRate float64      // calls a second that reach it by the current tables
	maxLoad      float64      // load above which it counts as overloaded
	standbyLoad  float64      // the part of load that comes by its standby lines
	inUse        bool         // whether slices may be assigned to it
	availability availability // whether calls may go to it, as last posted to the publisher
}

// sliceState is the placer's state of one slice or, at sites without slices, of one proxy's calls.
type sliceState struct {
	table        TableID
	planned      lines   // planned parts: a line's weight is the part of the slice, all add up to 1
	previous     lines   // planned parts before the current assignment
	written      lines   // planned parts when the table was last written
	writtenTable lines   // the table as last written, with its standby
	unassigned   float64 // the part of the slice that the current assignment has to place
	standby      HostID
	calls        decayingSum
	since        Millis
	reported     bool
	lastReport   Millis  // time of the last report of its calls
	rate         float64 // calls a second
	wantedTable  lines   // the table as last posted to the publisher
}

// block is an aligned block of slices, or a part of one slice.
type block struct {
	first, span    int
	fraction, load float64
}

// placer assigns slices to hosts, as the controller of the paper does.
type placer struct {
	inbox
	*loop
	publisher              *publisher
	hosts                  orderedMap[HostID, *placementHost]
	owned                  orderedMap[TableID, *sliceState]
	firstReport, nextCheck Millis
	checksOverMaximum      int
	totalRate, meanRate    float64 // calls a second of all own slices, and their mean for a slice
	dirty                  bool
	fleet                  fleetLoad
	listDeadline           Millis // until when the first list after the start is awaited; 0: it no longer is
}

// admitter throttles the least important calls when the fleet cannot serve all, and restricts retries.
type admitter struct {
	inbox
	*loop
	publisher *publisher
	placer    *placer
	hosts     orderedMap[HostID, hostStatus]
	callSums  []decayingSum
	// recentCalls sums the calls of all routes over the last seconds, firstReport is the time of the first report of
	// calls.
	recentCalls decayingSum
	firstReport Millis
	// unanswered sums the calls that were admitted and got no answer, by route.
	unanswered []decayingSum
	usualRates []float64 // calls a second by route while none is throttled
	level      float64   // number of routes that are admitted whole, the most important first
	nextUpdate Millis
	proxies    orderedMap[ProxyID, bool]
	published  admissionLevels
	// The results of the last update.
	fleet            fleetLoad
	demand, capacity float64 // calls a second: the total demand, and what hosts can answer
	queuedCalls      float64 // calls that are queued at hosts
	calmAnswerTime   float64 // mean answer time in milliseconds while hosts have room
}

// joinedProxy is the state of a joined proxy. At sites without slices, table is the one that it is bound to if bound
// is set, and wantedTable the one that it is to be bound to.
type joinedProxy struct {
	table, wantedTable TableID
	zone               ZoneID
	bound              bool
	joinedAt           Millis
}

// channelMessage is the messages of one reply that are in flight, with the number of lines sent to each proxy.
type channelMessage struct {
	serial         SerialID
	unacknowledged orderedMap[ProxyID, float64]
	linesEach      float64 // most lines to one proxy
	isWritten      bool    // the channel has taken it by now, if at all; later proxies do not get it
	isGivenUp      bool    // the program will not write it any more
	// Used while the message is filled: the proxies that may get lines, the overhead of a message to a proxy in lines,
	// the queue limit, and the lines in the queue including this message.
	proxies                      *orderedMap[ProxyID, *joinedProxy]
	overhead, queueLimit, filled float64
	totalUnacknowledged          float64 // lines that proxies have not acknowledged, including this message
	returningProxies             float64 // proxies that left recently and may be back unnoticed
	returningLines               float64 // lines of this message that would go to those proxies
	isRepeat                     bool    // the repeat of an unconfirmed reply, which may be in the channel twice
	writtenAt                    Millis  // when it was written to the channel
	unconfirmedSince             Millis  // since when it is uncertain whether it reached the channel; 0: it did
	clearAt                      Millis  // when the last of it leaves the channel at the usual rate
}

// publisher writes what is wanted in the fewest messages that the channel is certain to carry.
type publisher struct {
	inbox
	*loop
	placer                    *placer
	current                   orderedMap[TableID, lines] // tables as last written
	pending                   orderedMap[TableID, wantedTable]
	pendingSince, urgentSince Millis // since when ordinary changes, and urgent ones, have been pending
	proxies                   orderedMap[ProxyID, *joinedProxy]
	sentAt                    []Millis
	inFlight                  []*channelMessage
	acknowledgedAt            Millis // when a proxy last acknowledged a message
	// The last sign of life of the connection that brings acknowledgements, and since when these come without a gap.
	aliveAt, aliveSince   Millis
	channelResets         int // how often messages were dropped because no proxy acknowledged anything
	serial                SerialID
	clearAt               Millis // when the channel is empty at the usual rate
	levels, writtenLevels admissionLevels
	levelsWrittenAt       Millis
	availability          orderedMap[HostID, availability] // wanted availability of hosts that were ever unavailable
	changedAt             orderedMap[HostID, Millis]       // when the wanted availability last changed
	masked                orderedMap[HostID, bool]         // the masks as last written, where they are known
	maskedAt              orderedMap[HostID, Millis]       // when they were written
	inherited             inheritedMasks
	// Proxies that left, with the time since when they may have missed what was written, and when they left.
	missedSince orderedMap[ProxyID, Millis]
	leftAt      orderedMap[ProxyID, Millis]
	// Single owners: slices whose writes are stopped until those of the former owner have settled; 0: the stop is not
	// written yet.
	writesStoppedUntil orderedMap[TableID, Millis]
}
