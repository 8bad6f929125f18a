// Package retry decides whether a proxy retries a call at another host after a try failed. A retry must be allowed by
// the tables, must not be able to take effect twice, must fit into the retry budget and must be able to end before the
// deadline. The package does no I/O and reads no clock.
package retry

import "math"

// Execution tells whether a host may have executed a try that failed.
type Execution int

// What may be known of the execution of a failed try.
const (
	NeverRan Execution = iota // no byte was sent, or the host rejected the call before it began
	MayHaveRun
)

// The values of Route.Idempotency and Route.DedupScope, as written in documents.
const (
	Idempotent      = "repeatable"
	IdempotentByKey = "keyed"
	NonIdempotent   = "mutating"

	DedupAll  = "all"
	DedupZone = "zone"
	DedupCell = "cell"
)

// Route is what the tables say of a route's retries.
type Route struct {
	Idempotency, DedupScope string
	DedupWindow             float64 // how long hosts recognize a repeat of a keyed call, in milliseconds
	SLO                     float64 // the time within which answers are wanted, in milliseconds
	TryTimeoutShare         float64 // time limit of a try that may be retried, as a share of SLO
}

// Location is the location of a host.
type Location struct{ Zone, Cell string }

// State is the retry state of one call. All times are in milliseconds of one clock.
type State struct {
	route          Route
	mode           int // which retries the tables allow, see maxTries
	deadline       float64
	failedTries    int
	executedAt     []Location // locations of the hosts that may have executed the call
	firstExecution float64    // when the first try that may have run was sent
}

// NewState returns the state of a call that has not been tried; mode is the tries value of its level in the tables.
func NewState(route Route, mode int, deadline float64) State {
	return State{route: route, mode: mode, deadline: deadline}
}

// maxTries returns the number of tries that a mode allows, the first included. Mode 0 allows no retry, mode 1 one if
// the first try certainly never ran, mode 2 one after any failure, and mode 3 two after any failure.
func maxTries(mode int) int {
	switch mode {
	case 0:
		return 1
	case 3:
		return 3
	}
	return 2
}

// TryDeadline returns the deadline of a try that begins now. A try that may be followed by another gets only the time
// that TryTimeoutShare allows; the last one has until the deadline of the call.
func (s *State) TryDeadline(now float64) float64 {
	if s.mode >= 2 && s.failedTries < maxTries(s.mode)-1 && s.isRepeatable() {
		return min(s.deadline, now+s.route.TryTimeoutShare*s.route.SLO)
	}
	return s.deadline
}

// isRepeatable reports whether a try that may have run can be followed by another at all.
func (s *State) isRepeatable() bool {
	return s.route.Idempotency == Idempotent || s.route.Idempotency == IdempotentByKey
}

// RecordFailure records a failed try that was sent at sentAt to a host at the given location.
func (s *State) RecordFailure(execution Execution, at Location, sentAt float64) {
	s.failedTries++
	if execution == MayHaveRun {
		if len(s.executedAt) == 0 {
			s.firstExecution = sentAt
		}
		s.executedAt = append(s.executedAt, at)
	}
}

// Verdict is the decision on a retry with its reason. Its text appears in answers and traces.
type Verdict string

// The verdicts.
const (
	Allowed    Verdict = "goes"
	NotAllowed Verdict = "not ordered"
	Unsafe     Verdict = "might take effect twice"
	TooLate    Verdict = "could not end in time"
	NoBudget   Verdict = "no budget"
	NoLine     Verdict = "no other line" // not returned by Decide, but by the caller that picks the host
)

// Decide decides whether the call may be retried now. The usual latency of the route is meanLatency, 0 if unknown. If
// the verdict is Allowed, a token of the budget has been taken.
func (s *State) Decide(now, meanLatency float64, b *Budget) Verdict {
	switch {
	case s.failedTries >= maxTries(s.mode):
		return NotAllowed
	case s.mode < 2 && len(s.executedAt) > 0:
		return NotAllowed
	case len(s.executedAt) > 0 && !s.isRepeatable(),
		len(s.executedAt) > 0 && s.route.Idempotency == IdempotentByKey && now-s.firstExecution >= s.route.DedupWindow:
		return Unsafe
	case now+meanLatency >= s.deadline:
		return TooLate
	case !b.take(now):
		return NoBudget
	}
	return Allowed
}

// Allows reports whether the next try may go to a host at a location. A keyed call that may have run goes only to hosts
// that would recognize the repeat, whichever of the earlier tries was executed.
func (s *State) Allows(at Location) bool {
	if s.route.Idempotency != IdempotentByKey {
		return true
	}
	for _, executed := range s.executedAt {
		switch s.route.DedupScope {
		case DedupAll:
		case DedupZone:
			if executed.Zone != at.Zone {
				return false
			}
		case DedupCell:
			if executed.Cell != at.Cell || at.Cell == "" {
				return false
			}
		default:
			return false
		}
	}
	return true
}

// ArriveBy returns when the next try must have reached its host, so that the host still recognizes the first as the
// same call; +Inf if there is no such bound.
func (s *State) ArriveBy() float64 {
	if s.route.Idempotency == IdempotentByKey && len(s.executedAt) > 0 {
		return s.firstExecution + s.route.DedupWindow
	}
	return math.Inf(1)
}

// Budget limits retries to a share of first tries, so that retries don't multiply the load on hosts that already fail
// under it. In addition it grants some retries per second, since a proxy with little traffic would get none otherwise.
type Budget struct {
	perFirstTry, perSecond, maxTokens float64
	tokens, refilledAt                float64
	unlimited                         bool
}

// A retry costs one token.
const (
	budgetPerFirstTry = 0.2  // tokens earned by a first try
	budgetPerSecond   = 1.0  // tokens granted per second
	budgetMaxTokens   = 20.0 // tokens that can be saved up
)

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{perFirstTry: budgetPerFirstTry, perSecond: budgetPerSecond, maxTokens: budgetMaxTokens,
		tokens: budgetMaxTokens}
}

// NewUnlimitedBudget returns a budget that allows any number of retries, as a baseline for measurements.
func NewUnlimitedBudget() *Budget { return &Budget{unlimited: true} }

// refill adds the tokens granted since the last call.
func (b *Budget) refill(now float64) {
	if now > b.refilledAt {
		if b.refilledAt > 0 {
			b.tokens = min(b.maxTokens, b.tokens+b.perSecond*(now-b.refilledAt)/1000)
		}
		b.refilledAt = now
	}
}

// RecordFirstTry adds the tokens that a first try earns.
func (b *Budget) RecordFirstTry(now float64) {
	b.refill(now)
	b.tokens = min(b.maxTokens, b.tokens+b.perFirstTry)
}

// take takes a token and reports whether there was one.
func (b *Budget) take(now float64) bool {
	if b.refill(now); b.unlimited {
		return true
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
