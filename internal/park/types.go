// Package park decides about polls that wait. A director's proxies are dealt to lots, each with a lock of its own, so that polls are
// taken and answered on all cores; what a proxy may be told, and when, is said by the one core that owns the module. A lot takes
// what came and says what to answer. No I/O, no clock, nothing global.
//
// A removal (a host that tables offer no more) is a barrier. The core shows all lots a closed view, in which they answer nothing;
// it waits until what they had answered before is written; then it opens them, and from then on none answers with anything
// older than the removal, whatever was said for a single proxy.
package park

import (
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Ticket names a question that waits for its answer; the front gives it out.
type Ticket uint64

// Visit names the stay of a proxy, from its first poll until it has left.
type SessionID uint64

// Poll asks for what a proxy is told. Held is what it says it holds, if anything. From is the front's own.
type Poll struct {
	Ticket     Ticket
	Origin     any
	Proxy      string
	Zone       string
	Rate       float64
	Held       []tables.Tag
	Wait       logic.Millis
	WantsDelta bool
}

// Broke says that the connection of a waiting poll is gone. Proxy is empty for one that looks on.
type Disconnected struct {
	Ticket Ticket
	Proxy  string
}

// Kind of answer.
type Kind int

const (
	Unchanged Kind = iota
	Full
	Delta
	Accepted // a report was counted
	Unknown  // no such proxy, or more than the settings allow
	Invalid  // it names what is not there
	Busy
	Done      // an operator's change is ordered, or told
	Conflict  // another operator was faster
	PeerFacts // facts
	Replaced  // the proxy's newer poll waits in its place
	Refused   // it would break a rule, or move too much
)

// Flight is told when an answer has been written, or never will be.
type WriteTracker interface{ WriteFinished() }

// Answer ends a poll or another question. Doc is what the proxy is told from now on; with a Base it is told the difference.
type Answer struct {
	Ticket  Ticket
	Origin  any // what the poll was from
	Kind    Kind
	Doc     *tables.Document
	Base    *tables.Document
	Patch   []byte // the difference, encoded
	Reason  string
	Lease   logic.Millis // from the sending of the poll: what is told may not take effect later; 0: no end
	Body    any          // of other questions' answers
	Tracker WriteTracker
}

// Land says that the answer is written.
func (a *Answer) WriteFinished() {
	if a.Tracker != nil {
		a.Tracker.WriteFinished()
	}
}

// View is what all lots see of the core. It is never written again.
type View struct {
	Bases    map[tables.Tag]*tables.Document // bases that differences may start from
	MinStep  tables.Step                     // nothing older is told
	Shared   *tables.Document                // the newest that is stored, where all are told the same
	Closed   bool                            // a removal is about to be told: nothing is answered
	LeaseEnd logic.Millis                    // when this director's leases are over; infinite where it has none
}

// What lots tell the core.
type (
	// Join is the first poll of a proxy that its lot does not know.
	JoinRequest struct {
		Poll
		Session SessionID
	}
	// Holds acknowledges: the proxy polled with this version in hand. 0: none that is known.
	Acknowledgement struct {
		Proxy   string
		Session SessionID
		Step    tables.Step
	}
	Left struct {
		Proxy   string
		Session SessionID
		Reason  string
	}
	// Wants asks for what is stored, for a proxy that may not be told what it was to be told.
	DocumentRequest struct {
		Proxy   string
		Session SessionID
	}
)

// What the core tells lots.
type (
	// Tell is what a proxy may be told by now. The first one lets it in.
	SetDocument struct {
		Proxy   string
		Session SessionID
		Doc     *tables.Document
	}
	// Turned refuses a proxy that wanted to join.
	RejectJoin struct {
		Proxy   string
		Session SessionID
		Kind    Kind
		Reason  string
	}
)
