package mqttsession

import (
	"strings"

	"vetchwood/internal/control"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Conn identifies a connection; the front assigns it.
type Conn uint64

// ReasonCode is a reason code of MQTT 5.
type ReasonCode byte

// Reason codes in use, with their names in the MQTT 5 specification.
const (
	Success                           ReasonCode = 0x00
	GrantedQoS1                       ReasonCode = 0x01
	NoMatchingSubscribers             ReasonCode = 0x10
	NoSubscriptionExisted             ReasonCode = 0x11
	UnspecifiedError                  ReasonCode = 0x80
	ProtocolError                     ReasonCode = 0x82
	ImplementationSpecificError       ReasonCode = 0x83
	ClientIDNotValid                  ReasonCode = 0x85
	NotAuthorized                     ReasonCode = 0x87
	ServerBusy                        ReasonCode = 0x89
	KeepAliveTimeout                  ReasonCode = 0x8D
	SessionTakenOver                  ReasonCode = 0x8E
	TopicFilterInvalid                ReasonCode = 0x8F
	TopicNameInvalid                  ReasonCode = 0x90
	PacketIDInUse                     ReasonCode = 0x91
	ReceiveMaximumExceeded            ReasonCode = 0x93
	QuotaExceeded                     ReasonCode = 0x97
	PayloadFormatInvalid              ReasonCode = 0x99
	SharedSubscriptionsNotSupported   ReasonCode = 0x9E
	WildcardSubscriptionsNotSupported ReasonCode = 0xA2
)

// User properties of MQTT packets, which carry what the long-poll API has in headers and query parameters.
const (
	PropertyHeld   = "held"     // in CONNECT: the entity tag of the version in force at the client
	PropertyZone   = "zone"     // in CONNECT: the zone of the proxy
	PropertyRate   = "rate"     // in CONNECT: calls per second
	PropertyKey    = "key"      // in a report: identifies it, so that a repeated report is counted once
	PropertyTag    = "etag"     // in a document: the entity tag of the version that results from it
	PropertyBase   = "base"     // in a delta: the entity tag of the version it applies to
	PropertyResend = "again"    // in SUBSCRIBE: the document in flight arrived too late and must be sent again
	PropertyLease  = "lease_ms" // in a document: how long after the client's last acknowledgement it may take effect
)

// Limits protects the front against its clients.
type Limits struct {
	MaxSessions       int          // including sessions without a connection
	MaxExpiry         logic.Millis // maximum time that a session outlives its connection
	AckTimeout        logic.Millis // a document that is not acknowledged within this time ends the connection
	ConnectsPerSecond float64      // also the maximum burst; further clients are refused as busy
	MaxWatchers       int          // subscribers to AllTablesTopic
}

// Inputs of Broker.Handle. Times are on the clock of the director.
type (
	// Connect requests a session. Held is the version that the client has in force, from another front or a previous
	// session.
	Connect struct {
		Conn       Conn
		ClientID   string
		CleanStart bool
		Expiry     logic.Millis
		Zone       string
		Rate       float64
		Held       []tables.Tag
		MaxPacket  int // maximum size of packets that the client accepts, in bytes; 0: unlimited
	}
	// Subscribe subscribes to topics.
	Subscribe struct {
		Conn    Conn
		ID      uint16
		Filters []Filter
		// Resend reports that the document in flight cannot take effect any more; it is sent again once it has been
		// acknowledged.
		Resend bool
	}
	// Filter is a topic filter of a subscription with its maximum quality of service.
	Filter struct {
		Topic string
		QoS   byte
	}
	// Unsubscribe ends subscriptions.
	Unsubscribe struct {
		Conn   Conn
		ID     uint16
		Topics []string
	}
	// Ack is the acknowledgement of a delivered document.
	Ack struct {
		Conn Conn
		ID   uint16
		Code ReasonCode
	}
	// Report is a load report that a client published. ID is 0 with QoS 0.
	Report struct {
		Conn   Conn
		ID     uint16
		Report control.Report
	}
	// ConnectionClosed reports the end of a connection. Expiry is set if the client changed the session expiry with its
	// DISCONNECT.
	ConnectionClosed struct {
		Conn   Conn
		Expiry *logic.Millis
	}
	// CoreAnswer is an answer of the core to an input that was posted.
	CoreAnswer struct{ Answer control.Answer }
)

// Outputs of Broker.Handle.
type (
	// Post passes an input to the core.
	Post struct{ Input any }
	// Accept answers Connect. SessionPresent is set if the previous session of the client was resumed.
	Accept struct {
		Conn           Conn
		SessionPresent bool
		Expiry         logic.Millis
	}
	// Refuse answers Connect with an error.
	Refuse struct {
		Conn   Conn
		Code   ReasonCode
		Reason string
	}
	// SubAck answers Subscribe.
	SubAck struct {
		Conn   Conn
		ID     uint16
		Codes  []ReasonCode
		Reason string
	}
	// UnsubAck answers Unsubscribe.
	UnsubAck struct {
		Conn  Conn
		ID    uint16
		Codes []ReasonCode
	}
	// Deliver sends a document or a delta.
	Deliver struct {
		Conn      Conn
		ID        uint16
		Topic     string
		Duplicate bool // sent before, may have arrived
		Retain    bool // the first document of a subscription, sent in full
		Doc       Document
	}
	// PubAck answers a report.
	PubAck struct {
		Conn   Conn
		ID     uint16
		Code   ReasonCode
		Reason string
	}
	// Close ends a connection.
	Close struct {
		Conn   Conn
		Code   ReasonCode
		Reason string
	}
)

// Document is a document or a delta to deliver.
type Document struct {
	Body        []byte
	ContentType string
	Tag         string       // entity tag of the resulting version
	Base        string       // entity tag of the version that the delta applies to; "" for a full document
	Lease       logic.Millis // how long it may take effect after the last acknowledgement; 0: no limit
	versionTag  tables.Tag
}

// Stats holds the current numbers of sessions, connected ones and unacknowledged documents, and counters of events.
type Stats struct {
	Sessions, Connected, InFlight                 int
	Delivered, Acknowledged, Refused, Redelivered uint64
	TakenOver, Busy                               uint64
}

// Parts of topics.
const (
	TopicRoot        = "vetchwood/"
	allTablesTopic   = TopicRoot + "tables"
	proxyTopicPrefix = TopicRoot + "proxies/"
	tablesSuffix     = "/tables"
	reportsSuffix    = "/reports"
)

// TablesTopic returns the topic of the tables of a proxy.
func TablesTopic(proxy string) string { return proxyTopicPrefix + proxy + tablesSuffix }

// ReportsTopic returns the topic of the load reports of a proxy.
func ReportsTopic(proxy string) string { return proxyTopicPrefix + proxy + reportsSuffix }

// AllTablesTopic is the topic of the document that is published to all proxies, for observers.
const AllTablesTopic = allTablesTopic

// ParseReportsTopic returns the name of the proxy in a topic of load reports, or false for any other topic.
func ParseReportsTopic(topic string) (string, bool) {
	rest, hasPrefix := strings.CutPrefix(topic, proxyTopicPrefix)
	name, hasSuffix := strings.CutSuffix(rest, reportsSuffix)
	return name, hasPrefix && hasSuffix && name != "" && !strings.Contains(name, "/")
}
