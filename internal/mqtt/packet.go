package mqtt

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/eclipse/paho.golang/packets"

	"vetchwood/internal/mqttsession"
)

// protocolError is a violation of the MQTT specification by a client. Its connection is closed with the reason code.
type protocolError struct {
	code   mqttsession.ReasonCode
	reason string
}

func (f *protocolError) Error() string { return f.reason }

func protocolErrorf(code mqttsession.ReasonCode, format string, args ...any) *protocolError {
	return &protocolError{code, fmt.Sprintf(format, args...)}
}

// The reason codes that only this package uses, by their names in the specification.
const (
	malformed          mqttsession.ReasonCode = 0x81
	unsupportedVersion mqttsession.ReasonCode = 0x84
	badAuthMethod      mqttsession.ReasonCode = 0x8C
	topicAliasInvalid  mqttsession.ReasonCode = 0x94
	packetTooLarge     mqttsession.ReasonCode = 0x95
	retainNotSupported mqttsession.ReasonCode = 0x9A
	qosNotSupported    mqttsession.ReasonCode = 0x9B
	serverShuttingDown mqttsession.ReasonCode = 0x8B
)

// maxQueuedPackets is the number of packets that may be queued for one client. A client that reads too slowly to stay
// within it is disconnected.
const maxQueuedPackets = 256

// packetLength returns the length of the packet at the start of a buffer, or 0 if the buffer does not hold its length
// yet.
func packetLength(buf []byte, limit int) (int, *protocolError) {
	n, shift := 0, 0
	for i := 1; i < len(buf); i++ {
		n |= int(buf[i]&0x7f) << shift
		if buf[i] < 0x80 {
			if i > 1 && buf[i] == 0 {
				return 0, protocolErrorf(malformed, "the remaining length is not in its shortest form")
			}
			if n+1+i > limit {
				return 0, protocolErrorf(packetTooLarge, "a packet of %d bytes, of %d at most", n+1+i, limit)
			}
			return n + 1 + i, nil
		}
		if shift += 7; shift > 21 {
			return 0, protocolErrorf(malformed, "the remaining length has more than four bytes")
		}
	}
	return 0, nil
}

// reservedFlags holds the required lower four bits of the first byte by packet type. They are 0 for other types.
var reservedFlags = map[byte]byte{packets.PUBREL: 2, packets.SUBSCRIBE: 2, packets.UNSUBSCRIBE: 2}

// parsePacket parses one complete packet and validates it as sent by a client. Packets that the codec library accepts
// although the specification forbids them are rejected here.
func parsePacket(buf []byte) (p *packets.ControlPacket, perr *protocolError) {
	defer func() {
		if r := recover(); r != nil { // a panic of the codec on malformed input must not stop the server
			p, perr = nil, protocolErrorf(malformed, "the packet can't be read")
		}
	}()
	kind := buf[0] >> 4
	if kind == 0 {
		return nil, protocolErrorf(malformed, "packet type 0 is reserved")
	}
	if kind != packets.PUBLISH && buf[0]&0x0f != reservedFlags[kind] {
		return nil, protocolErrorf(malformed, "reserved flags of packet type %d are %04b", kind, buf[0]&0x0f)
	}
	if kind == packets.AUTH {
		return nil, protocolErrorf(badAuthMethod, "no authentication method is offered")
	}
	if kind == packets.PUBLISH && buf[0]&0x06 == 0x06 {
		return nil, protocolErrorf(malformed, "QoS 3")
	}
	if kind == packets.PUBLISH && buf[0]&0x0e == 0x08 {
		return nil, protocolErrorf(malformed, "DUP with QoS 0")
	}
	p, err := packets.ReadPacket(bytes.NewReader(buf))
	if err != nil {
		return nil, protocolErrorf(malformed, "the packet can't be read: %v", err)
	}
	switch c := p.Content.(type) {
	case *packets.Connect:
		return p, checkConnect(c)
	case *packets.Publish:
		return p, checkPublish(c)
	case *packets.Subscribe:
		if c.PacketID == 0 || len(c.Subscriptions) == 0 {
			return nil, protocolErrorf(mqttsession.ProtocolError, "a SUBSCRIBE needs a packet identifier and a filter")
		}
		for _, s := range c.Subscriptions {
			if s.QoS > 2 || s.RetainHandling > 2 || !isValidText(s.Topic) {
				return nil, protocolErrorf(malformed, "subscription options or filter can't be read")
			}
		}
	case *packets.Unsubscribe:
		if c.PacketID == 0 || len(c.Topics) == 0 {
			return nil, protocolErrorf(mqttsession.ProtocolError, "an UNSUBSCRIBE needs a packet identifier and a filter")
		}
	case *packets.Puback:
		if c.PacketID == 0 {
			return nil, protocolErrorf(mqttsession.ProtocolError, "a PUBACK needs a packet identifier")
		}
	case *packets.Pingreq, *packets.Disconnect:
	default:
		return nil, protocolErrorf(mqttsession.ProtocolError,
			"packet type %d is not for a server that offers QoS 1 at most", kind)
	}
	return p, nil
}

// isValidText reports whether s is a non-empty string that MQTT allows: valid UTF-8 without U+0000.
func isValidText(s string) bool { return s != "" && utf8.ValidString(s) && !strings.ContainsRune(s, 0) }

func checkConnect(c *packets.Connect) *protocolError {
	switch {
	case c.ProtocolName != "MQTT" || c.ProtocolVersion != 5:
		return protocolErrorf(unsupportedVersion,
			"%.10q version %d: version 5 alone is spoken", c.ProtocolName, c.ProtocolVersion)
	case c.WillFlag && (c.WillQOS > 2 || !isValidText(c.WillTopic)):
		return protocolErrorf(malformed, "the will can't be read")
	case c.Properties != nil && c.Properties.ReceiveMaximum != nil && *c.Properties.ReceiveMaximum == 0:
		return protocolErrorf(mqttsession.ProtocolError, "a receive maximum of 0")
	case c.Properties != nil && c.Properties.MaximumPacketSize != nil && *c.Properties.MaximumPacketSize == 0:
		return protocolErrorf(mqttsession.ProtocolError, "a maximum packet size of 0")
	case c.Properties != nil && c.Properties.AuthMethod != "":
		return protocolErrorf(badAuthMethod, "no authentication method is offered")
	}
	return nil
}

func checkPublish(c *packets.Publish) *protocolError {
	switch {
	case c.Properties != nil && c.Properties.TopicAlias != nil:
		return protocolErrorf(topicAliasInvalid, "topic aliases are not taken: the topic alias maximum is 0")
	case !isValidText(c.Topic) || strings.ContainsAny(c.Topic, "+#"):
		return protocolErrorf(mqttsession.TopicNameInvalid, "topic %.60q", c.Topic)
	case c.QoS > 1:
		return protocolErrorf(qosNotSupported, "QoS 2: the maximum is 1")
	case c.Retain:
		return protocolErrorf(retainNotSupported, "clients' messages are not retained")
	case c.QoS > 0 && c.PacketID == 0:
		return protocolErrorf(mqttsession.ProtocolError, "a PUBLISH with QoS 1 needs a packet identifier")
	}
	return nil
}

// encode encodes a packet with the header flags that its type sets.
func encode(p interface {
	ToControlPacket() *packets.ControlPacket
}) []byte {
	var b bytes.Buffer
	p.ToControlPacket().WriteTo(&b)
	return b.Bytes()
}

// encodeAs encodes a packet of the given type with the default header flags of the type.
func encodeAs(kind byte, content packets.Packet) []byte {
	var b bytes.Buffer
	c := packets.NewControlPacket(kind)
	c.Content = content
	c.WriteTo(&b)
	return b.Bytes()
}
