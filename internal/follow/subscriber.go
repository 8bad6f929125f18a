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

	"vetchwood/internal/following"
	"vetchwood/internal/subscribe"
	"vetchwood/internal/tables"
)

// Scheme of directors that are subscribed to; all others are polled.
const MQTTScheme = "mqtt"

// Of a subscription, in seconds.
const (
	keepAlive     = 10
	sessionExpiry = 60
)

// errEnded is a connection that the director or the network ended.
var errEnded = errors.New("the subscription's connection ended")

// subscribe follows a director by MQTT 5 until the connection ends. Documents are taken by the follower's own goroutine and
// acknowledged once they are in force. The version that is held goes along with CONNECT, so that a change of director or front
// goes on from it.
func (f *Follower) subscribe(ctx context.Context, director *url.URL) error {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", director.Host)
	if err != nil {
		return err
	}
	defer conn.Close()
	came, ended := make(chan *paho.Publish, 4), make(chan error, 4)
	tell := func(err error) {
		select {
		case ended <- err:
		default:
		}
	}
	client := paho.NewClient(paho.ClientConfig{ClientID: f.src.Proxy, Conn: conn, PacketTimeout: 3 * time.Second, EnableManualAcknowledgment: true,
		SendAcksInterval: time.Millisecond, OnClientError: tell,
		OnServerDisconnect: func(d *paho.Disconnect) { tell(fmt.Errorf("%w: %s", errEnded, reason(d))) },
		OnPublishReceived: []func(paho.PublishReceived) (bool, error){func(p paho.PublishReceived) (bool, error) {
			select {
			case came <- p.Packet:
			case <-ctx.Done():
			}
			return true, nil
		}}})
	if err := f.connect(ctx, client); err != nil {
		return err
	}
	f.publisher.Store(client)
	defer f.publisher.CompareAndSwap(client, nil)
	defer client.Disconnect(&paho.Disconnect{})
	asked := time.Now()
	if err := f.ask(ctx, client, false); err != nil {
		return err
	}
	f.join(true)
	f.chooser.Succeeded(int(f.at.Load()))
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-ended:
			return err
		case <-client.Done():
			return errEnded
		case p := <-came:
			props := p.Properties
			if lease, err := strconv.Atoi(props.User.Get(subscribe.PropertyLease)); err == nil &&
				!following.WithinLease(float64(lease), float64(time.Since(asked).Microseconds())/1000) {
				// Written under a lease that may be over: asked for again, it comes with what is left now.
				f.stale.Add(1)
				if err := f.ask(ctx, client, true); err != nil {
					return err
				}
				asked = time.Now()
				if err := client.Ack(p); err != nil {
					return err
				}
				continue
			}
			if err := f.document(p); err != nil {
				return err
			}
			asked = time.Now()
			if err := client.Ack(p); err != nil {
				return err
			}
			f.keep(false)
		}
	}
}

func (f *Follower) connect(ctx context.Context, client *paho.Client) error {
	expiry := uint32(sessionExpiry)
	props := &paho.ConnectProperties{SessionExpiryInterval: &expiry}
	props.User.Add(subscribe.PropertyZone, f.src.Zone).Add(subscribe.PropertyRate, strconv.FormatFloat(f.src.Rate, 'g', 4, 64))
	held := f.held.Load()
	if held != nil && !f.whole {
		props.User.Add(subscribe.PropertyHeld, held.Tag().ETag())
	}
	ack, err := client.Connect(ctx, &paho.Connect{ClientID: f.src.Proxy, KeepAlive: keepAlive, CleanStart: held == nil || f.whole, Properties: props})
	if err != nil && ack != nil && ack.Properties != nil {
		return fmt.Errorf("%w: %s", err, ack.Properties.ReasonString)
	}
	return err
}

// ask subscribes, or asks for what stands once more.
func (f *Follower) ask(ctx context.Context, client *paho.Client, again bool) error {
	props := &paho.SubscribeProperties{}
	if again {
		props.User.Add(subscribe.PropertyResend, "lease")
	}
	topic := subscribe.TablesTopic(f.src.Proxy)
	if f.src.Watch {
		topic = subscribe.AllTablesTopic
	}
	ack, err := client.Subscribe(ctx, &paho.Subscribe{Properties: props, Subscriptions: []paho.SubscribeOptions{{Topic: topic, QoS: 1}}})
	if err != nil && ack != nil && ack.Properties != nil {
		return fmt.Errorf("%w: %s", err, ack.Properties.ReasonString)
	}
	return err
}

func reason(d *paho.Disconnect) string {
	if d.Properties != nil && d.Properties.ReasonString != "" {
		return d.Properties.ReasonString
	}
	return fmt.Sprintf("reason code 0x%02x", d.ReasonCode)
}

// document takes one that was published.
func (f *Follower) document(p *paho.Publish) error {
	tag, base := p.Properties.User.Get(subscribe.PropertyTag), p.Properties.User.Get(subscribe.PropertyBase)
	if p.Properties.ContentType == tables.PatchType {
		return f.patched(p.Payload, tag, base)
	}
	return f.complete(p.Payload, tag)
}

// publish sends a report by the subscription's connection; the status is that of the other front.
func (f *Follower) publish(ctx context.Context, key string, body []byte) (status int, text string, err error) {
	client := f.publisher.Load()
	if client == nil {
		return 0, "", errEnded
	}
	props := &paho.PublishProperties{ContentType: "application/json"}
	props.User.Add(subscribe.PropertyKey, key)
	res, err := client.Publish(ctx, &paho.Publish{Topic: subscribe.ReportsTopic(f.src.Proxy), QoS: 1, Payload: body, Properties: props})
	if res == nil {
		return 0, "", err
	}
	status, known := map[subscribe.ReasonCode]int{subscribe.Success: 204, subscribe.NoMatchingSubscribers: 204, subscribe.NotAuthorized: 404,
		subscribe.QuotaExceeded: 503}[subscribe.ReasonCode(res.ReasonCode)]
	if !known {
		status = 400
	}
	if res.Properties != nil {
		text = res.Properties.ReasonString
	}
	return status, text, nil
}
