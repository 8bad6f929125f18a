// What the parts hold and the notes they put into each other's inboxes. Types only.
package logic

// bounds are the figures that decisions use, derived from the facts of the start.
type bounds struct {
	sliced, oneOwner, probes, asks, advice bool
	listed                                 bool // listed weights mean something
	freshRoom                              float64
	queue, pace, head                      float64
	messages                               int
	span, hurry, settle, reportEvery       Millis
	levels                                 Valve
	ways                                   []int     // further tries that can't take effect twice, by route
	cheap                                  []RouteID // routes by importance, least first
	writes                                 RouteSet
	ownZone                                RouteSet
	allRoutes                              RouteSet
	total                                  int
}

// Notes between the parts.
type (
	pulse    struct{} // a beat: judge, check, send what is due
	standing struct { // a host's word on itself, to placer and gate
		id                HostID
		usable, trial     bool
		fresh             bool
		prior, rate, busy float64
		weighed           float64 // calls a second for each unit of pressure; 0: not known
		zone              ZoneID
		cell              CellID
		from              *host
	}
	expected struct{ rate float64 } // calls a second that the placer has laid on a host
	wanted   struct {
		table  TableID
		lines  []line
		urgent bool
	}
	levelled struct { // wanted level and way, by route
		level []float64
		tries []int
	}
	bound struct {
		proxy ProxyID
		table TableID
	}
	disowned struct{ table TableID }
	kept     struct { // the store's lines of a slice
		table TableID
		lines []line
	}
	settleNow struct{}
)

type line struct {
	host   HostID
	weight float64
}

// Director is one instance.
type Director struct {
	inbox
	loop
	hosts   map[HostID]*host
	ids     []HostID
	place   *placer
	gate    *gate
	publish *publisher
	stored  map[TableID][]line
	ticking bool
	asked   Millis
	follows bool
}

// host judges one host from what little is heard of it.
type host struct {
	inbox
	*loop
	id                       HostID
	place                    *placer
	gate                     *gate
	entry                    Entry
	known                    bool
	ended, lost              sum
	rate, press, heard, busy sum
	lastLine, gap            Millis
	due                      float64 // calls a second laid on it
	dueSince                 Millis
	badSince, outUntil       Millis
	freshUntil               Millis
	outFor                   Millis
	state                    hostState
	changed                  bool
}

type hostState int

const (
	serving hostState = iota
	removed
	onTrial
)

// seat is what the placer holds of a host.
type seat struct {
	standing
	load, share float64
}

// piece is one slice (or, at sites without slices, one proxy's keys) in the placer's hands.
type piece struct {
	parts  []line // weight is the part of the slice, adding up to 1
	spare  HostID
	heat   sum
	since  Millis
	heard  bool
	weight float64 // calls a second, as used in the run at hand
	told   []line
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
	to        *publisher
	seats     map[HostID]*seat
	ids       []HostID
	own       map[TableID]*piece
	nums      []TableID
	heardAny  Millis
	nextCheck Millis
	past      int
	dirty     bool
}

// gate throttles the least important calls when the fleet can't do all, and says when to try again.
type gate struct {
	inbox
	*loop
	to     *publisher
	seats  map[HostID]standing
	asked  []sum
	level  float64 // 1: all; each route takes its turn on the way down
	next   Millis
	joined int
	told   levelled
}

// stream is a joined proxy; table is what it is bound to at sites without slices.
type stream struct {
	table TableID
	wants TableID
	zone  ZoneID
	bound bool
}

// flight is one reply's messages on their way, by what each proxy was sent.
type flight struct {
	serial SerialID
	left   map[ProxyID]float64
}

// publisher turns what is wanted into the fewest messages the channel is sure to carry.
type publisher struct {
	inbox
	*loop
	stands, wants map[TableID][]line
	urgent        map[TableID]bool
	since         Millis // first change that waits
	hurrySince    Millis
	streams       map[ProxyID]*stream
	sent          []Millis
	flights       []flight
	queued        float64
	queuedAt      Millis
	serial        SerialID
	levels, stood levelled
	shut          map[TableID]Millis // single owners: no writes until the former owner's are settled
}
