// Package pollshard holds pending polls. A director's proxies are distributed over shards, each with its own lock, so
// that polls are accepted and answered on all processors. Which document a proxy may get, and when, is decided by the
// single core that owns the decision module. A shard takes inputs and returns the answers to give. The package does no
// I/O, reads no clock and has no global state.
//
// A removal (a host that no table offers any more, because it is masked or its last line is gone) is a barrier. The core
// publishes a closed view to all shards, in which they answer nothing; it waits until all earlier answers are written;
// then it publishes an open view. From then on no shard answers with a document older than the removal, even if the core
// had set one for a single proxy.
package pollshard

import (
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Ticket identifies a pending request. The front (the server, such as package longpoll, that received the request)
// assigns it.
type Ticket uint64

// SessionID identifies a proxy's session, which lasts from its first poll until the proxy has left.
type SessionID uint64

// Poll requests the present document of a proxy. Held lists the versions that the proxy says it holds, if any. Origin
// is opaque data of the front, returned in the answer.
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

// Disconnected reports that the connection of a pending poll is closed. Proxy is empty for a client that only watches.
type Disconnected struct {
	Ticket Ticket
	Proxy  string
}

// Kind is the kind of an answer.
type AnswerKind int

// Kinds of answers.
const (
	Unchanged AnswerKind = iota
	Full
	Delta
	Accepted // a report was counted
	Unknown  // the proxy is not configured, or more have joined than the settings allow
	Invalid  // the request names something that does not exist
	Busy
	Done       // an operator's request is carried out or answered
	Conflict   // another operator's change came first
	FactsReply // facts for another director
	Replaced   // a newer poll of the proxy took the place of this one
	Refused    // the change would break a rule or move too much
)

// WriteTracker is notified when an answer has been written or will never be written.
type WriteTracker interface{ WriteFinished() }

// Answer completes a poll or another request. Doc is the document that the proxy holds from now on; if Base is set,
// only the delta from Base to Doc is sent.
type Answer struct {
	Ticket  Ticket
	Origin  any // as in the poll
	Kind    AnswerKind
	Doc     *tables.Document
	Base    *tables.Document
	Patch   []byte // the encoded delta
	Reason  string
	Lease   logic.Millis // counted from the sending of the poll: the answer may not take effect later; 0: unlimited
	Body    any          // of answers to requests other than polls
	Tracker WriteTracker
}

// WriteFinished notifies the answer's tracker, if any, that the answer has been written or will never be written.
func (a *Answer) WriteFinished() {
	if a.Tracker != nil {
		a.Tracker.WriteFinished()
	}
}

// View is the state of the core that all shards share. It is immutable once published.
type View struct {
	Bases    map[tables.Tag]*tables.Document // documents that deltas may start from
	MinStep  tables.Step                     // no older document is sent
	Shared   *tables.Document                // document of the newest removal, if all proxies get the same one
	Closed   bool                            // a removal is being published: no poll is answered
	LeaseEnd logic.Millis                    // when this director's leases end; infinite if it has none
}

// Events from shards to the core.
type (
	// JoinRequest is the first poll of a proxy that its shard does not know.
	JoinRequest struct {
		Poll
		Session SessionID
	}
	// Acknowledgement reports a change of the version that the proxy holds, as named in its poll. Step is 0 if the shard
	// knows none of the named versions.
	Acknowledgement struct {
		Proxy   string
		Session SessionID
		Step    tables.Step
	}
	// Left reports the end of a session.
	Left struct {
		Proxy   string
		Session SessionID
		Reason  string
	}
	// DocumentRequest asks for the stored document of a proxy whose present one is older than a removal.
	DocumentRequest struct {
		Proxy   string
		Session SessionID
	}
)

// Commands from the core to shards.
type (
	// SetDocument sets the document that a proxy may get. The first one completes the proxy's join.
	SetDocument struct {
		Proxy   string
		Session SessionID
		Doc     *tables.Document
	}
	// RejectJoin refuses a proxy's join request.
	RejectJoin struct {
		Proxy   string
		Session SessionID
		Kind    AnswerKind
		Reason  string
	}
)
