// Package again decides whether a proxy tries a call at another host after a try failed: only as ordered, only
// what can't take effect twice, only while the budget lasts, and only what can still end in time. No I/O, no clock.
package again

import "math"

// Fate is what is known of a try that failed.
type Execution int

const (
	NeverRan Execution = iota // no byte of it reached the host
	MayHaveRun
)

// Repeat and Reach are the route's, as documents spell them.
const (
	Idempotent      = "repeatable"
	IdempotentByKey = "keyed"
	NonIdempotent   = "mutating"

	DedupAll  = "all"
	DedupZone = "zone"
	DedupCell = "cell"
)

// Route is what the tables say of one.
type Route struct {
	Idempotency, DedupScope string
	DedupWindow             float64 // milliseconds that hosts know a keyed call again
	SLO                     float64
	TryTimeoutShare         float64 // of the SLO time
}

// Place is where a host stands.
type Location struct{ Zone, Cell string }

// Call is one in hand. Times are milliseconds of one clock.
type State struct {
	route Route
	tries int // as ordered
	until float64
	made  int
	ran   []Location // hosts at which it may have run
	since float64    // when the first of those was sent
}

// Begin is a call that must end by until; tries is how further tries were ordered.
func NewState(route Route, tries int, until float64) State {
	return State{route: route, tries: tries, until: until}
}

// most is how many tries in all each order means.
func most(tries int) int {
	switch tries {
	case 0:
		return 1
	case 3:
		return 3
	}
	return 2
}

// Wait is when the try that begins now must end: a try that another may follow waits no longer than ordered.
func (c *State) TryDeadline(now float64) float64 {
	if c.tries >= 2 && c.made < most(c.tries)-1 && c.repeats() {
		return min(c.until, now+c.route.TryTimeoutShare*c.route.SLO)
	}
	return c.until
}

// repeats says whether a try that may have run can be followed by another at all.
func (c *State) repeats() bool {
	return c.route.Idempotency == Idempotent || c.route.Idempotency == IdempotentByKey
}

// Failed tells how a try ended that began at sent.
func (c *State) RecordFailure(fate Execution, at Location, sent float64) {
	c.made++
	if fate == MayHaveRun {
		if len(c.ran) == 0 {
			c.since = sent
		}
		c.ran = append(c.ran, at)
	}
}

// Verdict is why there is another try or none; for reports and traces.
type Verdict string

const (
	Retry      Verdict = "goes"
	NotAllowed Verdict = "not ordered"
	Unsafe     Verdict = "might take effect twice"
	TooLate    Verdict = "could not end in time"
	NoBudget   Verdict = "no budget"
	NoLine     Verdict = "no other line" // said by whoever picks
)

// Next says whether another try may be made now. Usual is how long answers of the route take, 0 if not known.
func (c *State) Decide(now, usual float64, b *Budget) Verdict {
	switch {
	case c.made >= most(c.tries):
		return NotAllowed
	case c.tries < 2 && len(c.ran) > 0:
		return NotAllowed
	case len(c.ran) > 0 && !c.repeats(), len(c.ran) > 0 && c.route.Idempotency == IdempotentByKey && now-c.since >= c.route.DedupWindow:
		return Unsafe
	case now+usual >= c.until:
		return TooLate
	case !b.take(now):
		return NoBudget
	}
	return Retry
}

// Among says whether the next try may go to a host: a keyed call that may have run goes only to those who would
// know it again, whichever of the earlier tries it was that ran.
func (c *State) Allows(at Location) bool {
	if c.route.Idempotency != IdempotentByKey {
		return true
	}
	for _, p := range c.ran {
		switch c.route.DedupScope {
		case DedupAll:
		case DedupZone:
			if p.Zone != at.Zone {
				return false
			}
		case DedupCell:
			if p.Cell != at.Cell || at.Cell == "" {
				return false
			}
		default:
			return false
		}
	}
	return true
}

// Arrives bounds when the next try must reach its host, so that the host still knows the first.
func (c *State) ArriveBy() float64 {
	if c.route.Idempotency == IdempotentByKey && len(c.ran) > 0 {
		return c.since + c.route.DedupWindow
	}
	return math.Inf(1)
}

// Budget bounds further tries to a share of first tries, so that a fleet that fails is not sent a multiple of what
// it failed at. A few a second are free, or a proxy with little traffic would have none.
type Budget struct {
	share, floor, most float64
	tokens, at         float64
	off                bool
}

const (
	budgetShare = 0.2
	budgetFloor = 1.0 // a second
	budgetMost  = 20.0
)

func NewBudget() *Budget {
	return &Budget{share: budgetShare, floor: budgetFloor, most: budgetMost, tokens: budgetMost}
}

// NoLimit is a budget that never ends: the plain way, to measure against.
func NewUnlimitedBudget() *Budget { return &Budget{off: true} }

func (b *Budget) flow(now float64) {
	if now > b.at {
		if b.at > 0 {
			b.tokens = min(b.most, b.tokens+b.floor*(now-b.at)/1000)
		}
		b.at = now
	}
}

// First tells of a first try.
func (b *Budget) RecordFirstTry(now float64) {
	b.flow(now)
	b.tokens = min(b.most, b.tokens+b.share)
}

func (b *Budget) take(now float64) bool {
	if b.flow(now); b.off {
		return true
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
