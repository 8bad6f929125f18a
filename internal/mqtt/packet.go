package mqtt

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/eclipse/paho.golang/packets"

	"vetchwood/internal/subscribe"
)

// fault is a client's breach of the specification: the code that its connection ends with, and why.
type fault struct {
	code subscribe.ReasonCode
	why  string
}

func (f *fault) Error() string { return f.why }

func breach(code subscribe.ReasonCode, format string, args ...any) *fault {
	return &fault{code, fmt.Sprintf(format, args...)}
}

// Codes that the front gives by itself, by their names in the specification.
const (
	malformed          subscribe.ReasonCode = 0x81
	unsupportedVersion subscribe.ReasonCode = 0x84
	badAuthMethod      subscribe.ReasonCode = 0x8C
	topicAliasInvalid  subscribe.ReasonCode = 0x94
	packetTooLarge     subscribe.ReasonCode = 0x95
	retainNotSupported subscribe.ReasonCode = 0x9A
	qosNotSupported    subscribe.ReasonCode = 0x9B
	serverShuttingDown subscribe.ReasonCode = 0x8B
)

// mostWaiting is how many packets may wait to be written to one client.
const mostWaiting = 256

// length says how long the packet at the start of a buffer is, 0 if more is needed to tell.
func length(buf []byte, most int) (int, *fault) {
	n, shift := 0, 0
	for i := 1; i < len(buf); i++ {
		n |= int(buf[i]&0x7f) << shift
		if buf[i] < 0x80 {
			if i > 1 && buf[i] == 0 {
				return 0, breach(malformed, "the remaining length is not in its shortest form")
			}
			if n+1+i > most {
				return 0, breach(packetTooLarge, "a packet of %d bytes, of %d at most", n+1+i, most)
			}
			return n + 1 + i, nil
		}
		if shift += 7; shift > 21 {
			return 0, breach(malformed, "the remaining length has more than four bytes")
		}
	}
	return 0, nil
}

// flags are the reserved bits of each packet's first byte.
var flags = map[byte]byte{packets.PUBREL: 2, packets.SUBSCRIBE: 2, packets.UNSUBSCRIBE: 2}

// parse reads one whole packet and holds it to the rules that concern a client. The codec is the library's; what it takes
// more kindly than the specification is refused here.
func parse(buf []byte) (p *packets.ControlPacket, wrong *fault) {
	defer func() {
		if r := recover(); r != nil { // the codec must not bring the front down, whatever is sent
			p, wrong = nil, breach(malformed, "the packet can't be read")
		}
	}()
	kind := buf[0] >> 4
	if kind == 0 {
		return nil, breach(malformed, "packet type 0 is reserved")
	}
	if kind != packets.PUBLISH && buf[0]&0x0f != flags[kind] {
		return nil, breach(malformed, "reserved flags of packet type %d are %04b", kind, buf[0]&0x0f)
	}
	if kind == packets.AUTH {
		return nil, breach(badAuthMethod, "no authentication method is offered")
	}
	if kind == packets.PUBLISH && buf[0]&0x06 == 0x06 {
		return nil, breach(malformed, "QoS 3")
	}
	if kind == packets.PUBLISH && buf[0]&0x0e == 0x08 {
		return nil, breach(malformed, "DUP with QoS 0")
	}
	p, err := packets.ReadPacket(bytes.NewReader(buf))
	if err != nil {
		return nil, breach(malformed, "the packet can't be read: %v", err)
	}
	switch c := p.Content.(type) {
	case *packets.Connect:
		return p, checkConnect(c)
	case *packets.Publish:
		return p, checkPublish(c)
	case *packets.Subscribe:
		if c.PacketID == 0 || len(c.Subscriptions) == 0 {
			return nil, breach(subscribe.ProtocolError, "a SUBSCRIBE needs a packet identifier and a filter")
		}
		for _, s := range c.Subscriptions {
			if s.QoS > 2 || s.RetainHandling > 2 || !text(s.Topic) {
				return nil, breach(malformed, "subscription options or filter can't be read")
			}
		}
	case *packets.Unsubscribe:
		if c.PacketID == 0 || len(c.Topics) == 0 {
			return nil, breach(subscribe.ProtocolError, "an UNSUBSCRIBE needs a packet identifier and a filter")
		}
	case *packets.Puback:
		if c.PacketID == 0 {
			return nil, breach(subscribe.ProtocolError, "a PUBACK needs a packet identifier")
		}
	case *packets.Pingreq, *packets.Disconnect:
	default:
		return nil, breach(subscribe.ProtocolError, "packet type %d is not for a server that offers QoS 1 at most", kind)
	}
	return p, nil
}

// text says whether a string may stand in a packet: UTF-8 without the null character.
func text(s string) bool { return s != "" && utf8.ValidString(s) && !strings.ContainsRune(s, 0) }

func checkConnect(c *packets.Connect) *fault {
	switch {
	case c.ProtocolName != "MQTT" || c.ProtocolVersion != 5:
		return breach(unsupportedVersion, "%.10q version %d: version 5 alone is spoken", c.ProtocolName, c.ProtocolVersion)
	case c.WillFlag && (c.WillQOS > 2 || !text(c.WillTopic)):
		return breach(malformed, "the will can't be read")
	case c.Properties != nil && c.Properties.ReceiveMaximum != nil && *c.Properties.ReceiveMaximum == 0:
		return breach(subscribe.ProtocolError, "a receive maximum of 0")
	case c.Properties != nil && c.Properties.MaximumPacketSize != nil && *c.Properties.MaximumPacketSize == 0:
		return breach(subscribe.ProtocolError, "a maximum packet size of 0")
	case c.Properties != nil && c.Properties.AuthMethod != "":
		return breach(badAuthMethod, "no authentication method is offered")
	}
	return nil
}

func checkPublish(c *packets.Publish) *fault {
	switch {
	case c.Properties != nil && c.Properties.TopicAlias != nil:
		return breach(topicAliasInvalid, "topic aliases are not taken: the topic alias maximum is 0")
	case !text(c.Topic) || strings.ContainsAny(c.Topic, "+#"):
		return breach(subscribe.TopicNameInvalid, "topic %.60q", c.Topic)
	case c.QoS > 1:
		return breach(qosNotSupported, "QoS 2: the maximum is 1")
	case c.Retain:
		return breach(retainNotSupported, "clients' messages are not retained")
	case c.QoS > 0 && c.PacketID == 0:
		return breach(subscribe.ProtocolError, "a PUBLISH with QoS 1 needs a packet identifier")
	}
	return nil
}

func render(p interface {
	ToControlPacket() *packets.ControlPacket
}) []byte {
	var b bytes.Buffer
	p.ToControlPacket().WriteTo(&b)
	return b.Bytes()
}

func pack(kind byte, content packets.Packet) []byte {
	var b bytes.Buffer
	c := packets.NewControlPacket(kind)
	c.Content = content
	c.WriteTo(&b)
	return b.Bytes()
}
