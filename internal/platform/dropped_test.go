package platform

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchwood/internal/platform/outbox"
	"vetchwood/internal/platform/uplink"
	"vetchwood/logic"
)

// Orders that leave the outbox without being carried out are reported to the module.

// resetExcuse is how much longer the rules' time limits are after the relay breaks off its only subscription, by the
// protocol's page; drainLimit is the grace of a drain in testSettings with the page's slack.
const (
	resetExcuse = 4 * time.Second
	drainLimit  = 2300 * time.Millisecond
)

// Guards against a director that orders nothing for seconds after one reset of its relay's connections under a call:
// the call was dropped, while the module counted it twice as in a channel that has no room for that at this size.
func TestADrainIsKeptAfterAResetUnderItsCall(t *testing.T) {
	const proxies = 150
	s := newTestEnv(t)
	config, _ := os.ReadFile(s.configPath)
	larger := strings.Replace(string(config), `"DataPlaneSize":4`, fmt.Sprintf(`"DataPlaneSize":%d`, proxies), 1)
	if err := os.WriteFile(s.configPath, []byte(larger), 0o600); err != nil {
		t.Fatal(err)
	}
	for p := range proxies { // they hold tables, so the relay reports the same again after the reset
		s.relay.notify("joined", fmt.Sprintf(`"node":%d,"locality":"a","w":2,"cold":false`, p))
	}
	s.relay.proxies, s.relay.ackDelay = proxies, 100*time.Millisecond
	s.start()
	s.within("the first orders", 3*time.Second, func() bool {
		return s.relay.check(func() bool { return len(s.relay.marks) > 0 })
	})
	s.relay.injectFaults("reset")
	s.discovery.setStatus("h1", 0, "leaving")
	s.within("the mask after the reset", resetExcuse+drainLimit, s.isMasked("h1"))
}

// takeDropped runs a turn without sending a call, and returns the events that report dropped orders to the module.
func takeDropped(d *director) (dropped []logic.Dropped) {
	d.reportDropped()
	for _, e := range d.events {
		if e, is := e.(logic.Dropped); is {
			dropped = append(dropped, e)
		}
	}
	return dropped
}

// Guards against a module that goes on counting, or waiting for, a call and queued orders that a subscription without
// continuity discards. A call without an answer may be in the channel; what was queued behind it never was.
func TestDiscardedOrdersAreReported(t *testing.T) {
	for _, callEndsFirst := range []bool{true, false} {
		d := newOfflineDirector(t)
		d.followerID = 1
		add := func(serial logic.SerialID) {
			d.outbox.Add([]outbox.Op{{Text: "{1}", Kind: outbox.Mask, Table: outbox.NoTable, Host: logic.HostID(serial)},
				{Text: "{2}", Kind: outbox.AckRequest, Table: outbox.NoTable, Serial: serial}})
		}
		add(1)
		d.outbox.Next()
		d.callInFlight = true
		add(2)
		end, subscribed := uplink.CallEnded{Result: outbox.Unconfirmed}, uplink.Subscribed{FollowerID: 1, SubscriptionID: 9}
		if callEndsFirst {
			d.handleEvent(1, end)
			d.handleEvent(2, subscribed)
		} else {
			d.handleEvent(1, subscribed)
			d.handleEvent(2, end)
		}
		if got, want := takeDropped(d), []logic.Dropped{{Serial: 1, Copies: 1}, {Serial: 2}}; !slices.Equal(got, want) {
			t.Errorf("call ends first: %v: %+v were reported, want %+v", callEndsFirst, got, want)
		}
	}
}

// Guards against a Resend that is lost without a word: the module would count the call twice.
func TestAResendOfAnUnknownCallIsAnswered(t *testing.T) {
	d := newOfflineDirector(t)
	d.executeOrders(1, []logic.Order{logic.Resend{Serial: 7}})
	if len(d.events) != 1 || d.events[0] != (logic.ResendVoid{Serial: 7}) {
		t.Errorf("%+v, want that the Resend was void", d.events)
	}
}
