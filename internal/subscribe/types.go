package subscribe

import (
	"strings"

	"vetchwood/internal/control"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// Conn names a connection; the front gives it out.
type Conn uint64

// Code is a reason code of MQTT 5.
type ReasonCode byte

// The reason codes that are used here, by their names in the specification.
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

// User properties of MQTT, by which a client and the front tell what headers tell on the other front.
const (
	PropertyHeld   = "held"     // at CONNECT: the entity tag of the version that the client holds
	PropertyZone   = "zone"     // at CONNECT
	PropertyRate   = "rate"     // at CONNECT: calls a second
	PropertyKey    = "key"      // of a report: a repeat of it counts once
	PropertyTag    = "etag"     // of a document: the version that it makes
	PropertyBase   = "base"     // of a difference: the version that it starts from
	PropertyResend = "again"    // at SUBSCRIBE: what is on its way came too late, and is to be told anew
	PropertyLease  = "lease_ms" // for how long after the client's last acknowledgement it may take effect
)

// Limits guard the front against its clients.
type Limits struct {
	MaxSessions       int          // with those whose connection is gone
	MaxExpiry         logic.Millis // how long a session may outlive its connection at most
	AckTimeout        logic.Millis // a document that is not acknowledged for so long ends the connection
	ConnectsPerSecond float64      // a second; beyond some that may come at once the rest is told to come later
	MaxWatchers       int
}

// Inputs. Times are the director's.
type (
	// Connect asks for a session. Held is what the client says it holds, from another front or an earlier session.
	Connect struct {
		Conn       Conn
		ClientID   string
		CleanStart bool
		Expiry     logic.Millis
		Zone       string
		Rate       float64
		Held       []tables.Tag
		// Most is the longest packet that the client takes; 0: any.
		MaxPacket int
	}
	Subscribe struct {
		Conn    Conn
		ID      uint16
		Filters []Filter
		// Again says that what is on its way can't take effect any more: it is told anew once that was acknowledged.
		Resend bool
	}
	Filter struct {
		Topic string
		QoS   byte
	}
	Unsubscribe struct {
		Conn   Conn
		ID     uint16
		Topics []string
	}
	// Ack is a client's word on a document that it was sent.
	Ack struct {
		Conn Conn
		ID   uint16
		Code ReasonCode
	}
	// Report is one that came by a publish.
	Report struct {
		Conn   Conn
		ID     uint16
		Report control.Report
	}
	// Gone is a connection's end. Expiry is set where the client changed it as it left.
	ConnectionClosed struct {
		Conn   Conn
		Expiry *logic.Millis
	}
	// Told is the core's answer.
	CoreAnswer struct{ Answer control.Answer }
)

// Outputs.
type (
	// Post goes to the core.
	Post struct{ Input any }
	// Accept and Refuse answer a Connect.
	Accept struct {
		Conn           Conn
		SessionPresent bool
		Expiry         logic.Millis
	}
	Refuse struct {
		Conn   Conn
		Code   ReasonCode
		Reason string
	}
	SubAck struct {
		Conn   Conn
		ID     uint16
		Codes  []ReasonCode
		Reason string
	}
	UnsubAck struct {
		Conn  Conn
		ID    uint16
		Codes []ReasonCode
	}
	// Deliver sends a document or a difference.
	Deliver struct {
		Conn      Conn
		ID        uint16
		Topic     string
		Duplicate bool // it may have come before
		Retain    bool // the document that stands, as a subscription begins
		Doc       Document
	}
	// Acked answers a report.
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

// Document is one on its way.
type Document struct {
	Body        []byte
	ContentType string
	Tag         string // of what it makes
	Base        string // "" for a whole one
	Lease       logic.Millis
	versionTag  tables.Tag
}

// Figures are counted for the operator.
type Stats struct {
	Sessions, Connected, InFlight                 int
	Delivered, Acknowledged, Refused, Redelivered uint64
	TakenOver, Busy                               uint64
}

// Topics.
const (
	TopicRoot        = "vetchwood/"
	allTablesTopic   = TopicRoot + "tables"
	proxyTopicPrefix = TopicRoot + "proxies/"
	tablesSuffix     = "/tables"
	reportsSuffix    = "/reports"
)

// TablesOf is the topic of a proxy's tables, ReportsOf that of its reports.
func TablesTopic(proxy string) string  { return proxyTopicPrefix + proxy + tablesSuffix }
func ReportsTopic(proxy string) string { return proxyTopicPrefix + proxy + reportsSuffix }

// AllTables is the topic for those that look on.
const AllTablesTopic = allTablesTopic

// ProxyOfReports reads a report's topic.
func ParseReportsTopic(topic string) (string, bool) {
	rest, is := strings.CutPrefix(topic, proxyTopicPrefix)
	name, ends := strings.CutSuffix(rest, reportsSuffix)
	return name, is && ends && name != "" && !strings.Contains(name, "/")
}
