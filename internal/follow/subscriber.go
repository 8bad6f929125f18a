package follow

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/eclipse/paho.golang/paho"

	"vetchwood/internal/followpolicy"
	"vetchwood/internal/mqttsession"
	"vetchwood/internal/tables"
)

// MQTTScheme is the URL scheme of directors that are subscribed to; all others are polled.
const MQTTScheme = "mqtt"

// Keep-alive interval of the connection and expiry of the MQTT session, in seconds.
const (
	keepAliveSeconds     = 10
	sessionExpirySeconds = 60
)

// errConnectionClosed reports that the director or the network closed the connection of the subscription.
var errConnectionClosed = errors.New("MQTT connection closed")

// subscribe follows a director by MQTT 5 until the connection ends. Documents are applied on the goroutine of Run and
// acknowledged once they are in force. CONNECT carries the version in force, so that the first document can be a delta
// from it, also if that version came from another director or by long polls.
func (f *Follower) subscribe(ctx context.Context, director *url.URL) error {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", director.Host)
	if err != nil {
		return err
	}
	defer conn.Close()
	published, failed := make(chan *paho.Publish, 4), make(chan error, 4)
	reportError := func(err error) {
		select {
		case failed <- err:
		default:
		}
	}
	client := paho.NewClient(paho.ClientConfig{ClientID: f.config.Proxy, Conn: conn, PacketTimeout: 3 * time.Second,
		EnableManualAcknowledgment: true, SendAcksInterval: time.Millisecond, OnClientError: reportError,
		OnServerDisconnect: func(d *paho.Disconnect) {
			reportError(fmt.Errorf("%w: %s", errConnectionClosed, disconnectReason(d)))
		},
		OnPublishReceived: []func(paho.PublishReceived) (bool, error){func(p paho.PublishReceived) (bool, error) {
			select {
			case published <- p.Packet:
			case <-ctx.Done():
			}
			return true, nil
		}}})
	if err := f.connect(ctx, client); err != nil {
		return err
	}
	f.mqttClient.Store(client)
	defer f.mqttClient.CompareAndSwap(client, nil)
	defer client.Disconnect(&paho.Disconnect{})
	leaseStart := time.Now()
	if err := f.sendSubscribe(ctx, client, false); err != nil {
		return err
	}
	f.setJoined(true)
	f.chooser.Succeeded(int(f.currentDirector.Load()))
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return err
		case <-client.Done():
			return errConnectionClosed
		case p := <-published:
			props := p.Properties
			if lease, err := strconv.Atoi(props.User.Get(mqttsession.PropertyLease)); err == nil &&
				!followpolicy.WithinLease(float64(lease), float64(time.Since(leaseStart).Microseconds())/1000) {
				// The director's lease may have expired since it wrote the document. Once this delivery is acknowledged,
				// the director sends the document again with the time that its lease has left then.
				f.staleResponses.Add(1)
				if err := f.sendSubscribe(ctx, client, true); err != nil {
					return err
				}
				leaseStart = time.Now()
				if err := client.Ack(p); err != nil {
					return err
				}
				continue
			}
			if err := f.handlePublish(p); err != nil {
				return err
			}
			leaseStart = time.Now()
			if err := client.Ack(p); err != nil {
				return err
			}
			f.saveCache(false)
		}
	}
}

// connect sends CONNECT with the zone and rate of the proxy and the version in force.
func (f *Follower) connect(ctx context.Context, client *paho.Client) error {
	expiry := uint32(sessionExpirySeconds)
	props := &paho.ConnectProperties{SessionExpiryInterval: &expiry}
	props.User.Add(mqttsession.PropertyZone, f.config.Zone).
		Add(mqttsession.PropertyRate, strconv.FormatFloat(f.config.ExpectedRate, 'g', 4, 64))
	current := f.document.Load()
	if current != nil && !f.needsFull {
		props.User.Add(mqttsession.PropertyHeld, current.Tag().ETag())
	}
	ack, err := client.Connect(ctx, &paho.Connect{ClientID: f.config.Proxy, KeepAlive: keepAliveSeconds,
		CleanStart: current == nil || f.needsFull, Properties: props})
	if err != nil && ack != nil && ack.Properties != nil {
		return fmt.Errorf("%w: %s", err, ack.Properties.ReasonString)
	}
	return err
}

// sendSubscribe sends SUBSCRIBE; with resend, it requests the document in flight again because its lease had expired.
func (f *Follower) sendSubscribe(ctx context.Context, client *paho.Client, resend bool) error {
	props := &paho.SubscribeProperties{}
	if resend {
		props.User.Add(mqttsession.PropertyResend, "lease")
	}
	topic := mqttsession.TablesTopic(f.config.Proxy)
	if f.config.Watch {
		topic = mqttsession.AllTablesTopic
	}
	ack, err := client.Subscribe(ctx, &paho.Subscribe{Properties: props,
		Subscriptions: []paho.SubscribeOptions{{Topic: topic, QoS: 1}}})
	if err != nil && ack != nil && ack.Properties != nil {
		return fmt.Errorf("%w: %s", err, ack.Properties.ReasonString)
	}
	return err
}

// disconnectReason returns the reason string of a DISCONNECT packet, or its reason code without one.
func disconnectReason(d *paho.Disconnect) string {
	if d.Properties != nil && d.Properties.ReasonString != "" {
		return d.Properties.ReasonString
	}
	return fmt.Sprintf("reason code 0x%02x", d.ReasonCode)
}

// handlePublish applies a published document or delta.
func (f *Follower) handlePublish(p *paho.Publish) error {
	tag, base := p.Properties.User.Get(mqttsession.PropertyTag), p.Properties.User.Get(mqttsession.PropertyBase)
	if p.Properties.ContentType == tables.PatchMediaType {
		return f.applyDelta(p.Payload, tag, base)
	}
	return f.applyFull(p.Payload, tag)
}

// publishReport sends a load report over the connection of the subscription. The reason code is returned as the status
// that the HTTP API has for the same outcome.
func (f *Follower) publishReport(ctx context.Context, key string, body []byte) (status int, text string, err error) {
	client := f.mqttClient.Load()
	if client == nil {
		return 0, "", errConnectionClosed
	}
	props := &paho.PublishProperties{ContentType: "application/json"}
	props.User.Add(mqttsession.PropertyKey, key)
	res, err := client.Publish(ctx, &paho.Publish{Topic: mqttsession.ReportsTopic(f.config.Proxy), QoS: 1, Payload: body,
		Properties: props})
	if res == nil {
		return 0, "", err
	}
	status, known := map[mqttsession.ReasonCode]int{mqttsession.Success: 204, mqttsession.NoMatchingSubscribers: 204,
		mqttsession.NotAuthorized: 404, mqttsession.QuotaExceeded: 503}[mqttsession.ReasonCode(res.ReasonCode)]
	if !known {
		status = 400
	}
	if res.Properties != nil {
		text = res.Properties.ReasonString
	}
	return status, text, nil
}
