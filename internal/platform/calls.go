package platform

import (
	"fmt"
	"slices"

	"vetchwood/internal/platform/outbox"
	"vetchwood/internal/platform/uplink"
	"vetchwood/logic"
)

// Calls to the relay: the module's orders become calls, and how a call ended becomes events for the module.

// executeOrders executes the module's orders: it sets timers and starts probes, and queues the remaining orders for the
// relay as one call.
func (d *director) executeOrders(now logic.Millis, orders []logic.Order) {
	var ops []outbox.Op
	for _, o := range orders {
		switch o := o.(type) {
		case logic.SetTimer:
			d.timers.add(now+o.Delay, o.Timer)
		case logic.Probe:
			d.prober.enqueue(o.Host, d.hosts.Address(o.Host))
		case logic.LogText:
			d.log.Info("module", "says", o.Text)
		case logic.Resend:
			d.resend(o.Serial)
		case logic.WatchHosts, logic.RequestHosts, logic.SendToPeer:
			// The host list is always followed here, and directors on the platform cannot reach each other.
		default:
			op, forRelay, err := d.config.Schema.EncodeOrder(o, d.hosts)
			if err != nil || !forRelay {
				d.log.Error("order.dropped", "order", fmt.Sprintf("%T%+v", o, o), "error", err)
				continue
			}
			ops = append(ops, op)
		}
	}
	if len(ops) == 0 {
		return
	}
	d.traceOrders(ops)
	if dropped, err := d.outbox.Add(ops); err != nil {
		d.log.Error("orders.dropped", "error", err, "orders", len(dropped))
		d.restoreAfterDrop(dropped)
	}
}

// restoreAfterDrop corrects the module's view after orders were dropped: it passes the stored state of the tables
// concerned to the module again.
func (d *director) restoreAfterDrop(ops []outbox.Op) {
	d.resyncSlices(ops)
	isMaskOrLevel := func(o outbox.Op) bool { return o.Table == outbox.NoTable && o.Kind != outbox.AckRequest }
	if slices.ContainsFunc(ops, isMaskOrLevel) {
		// Masks or levels were dropped: the module writes them again for proxies that it takes for newly joined.
		d.events = append(d.events, d.relayState.ResyncProxies()...)
	}
}

// resyncSlices passes the stored state of the slices that the orders concern to the module again, and drops the other
// queued orders for these slices.
func (d *director) resyncSlices(ops []outbox.Op) {
	handled := map[logic.TableID]bool{outbox.NoTable: true}
	for _, o := range ops {
		if !handled[o.Table] {
			handled[o.Table] = true
			d.outbox.DiscardTable(o.Table)
			d.events = append(d.events, d.relayState.ResyncSlice(o.Table)...)
		}
	}
}

// startNextCall sends the next call to the relay, unless one is in flight or unconfirmed.
func (d *director) startNextCall() {
	if d.callInFlight || d.callUnconfirmed {
		return
	}
	if c := d.outbox.Next(); c != nil {
		if c.IsRetry() {
			d.log.Debug("call.again", "id", c.ID, "ops", len(c.Ops))
		} else {
			d.callConfirmed = false
		}
		d.callInFlight = true
		d.counters.calls++
		d.calls.Submit(d.relayAddress, c)
	}
}

// handleCallEnd processes the outcome of the call in flight.
func (d *director) handleCallEnd(e uplink.CallEnded) {
	d.callInFlight = false
	switch e.Result {
	case outbox.Unconfirmed:
		d.counters.unconfirmed++
	case outbox.NotSent:
		d.counters.notSent++
	case outbox.Retryable:
		d.counters.retryable++
	}
	if e.Result != outbox.Answered {
		d.log.Info("call.failed", "id", e.ID, "how", int(e.Result), "why", e.Reason,
			"spent", e.Elapsed.String(), "waiting", d.outbox.Queued())
	}
	if d.discardUnanswered && e.Result != outbox.Answered {
		// The relay resends its state, and all proxies are reported as joined again. That state includes whatever the
		// relay applied of this call, and the module orders the rest again if it is still needed. Sending orders from
		// before the gap could undo what another director did during it.
		d.discardUnanswered = false
		if e.Result == outbox.Unconfirmed {
			d.outbox.Finish(e.Result, 0) // it may be in the channel all the same
		}
		d.discardOrders()
		return
	}
	d.discardUnanswered = false
	if c := d.outbox.InFlight(); d.callConfirmed && c != nil && e.Result != outbox.Answered {
		d.log.Info("call.proven", "id", c.ID)
		e.Result, e.Applied = outbox.Answered, len(c.Ops) // a proxy has acknowledged the call, so the answer is not needed
	} else if e.Result == outbox.Unconfirmed && c != nil {
		serials := c.Serials()
		for _, serial := range serials {
			d.events = append(d.events, logic.Unconfirmed{Serial: serial})
		}
		d.callUnconfirmed = len(serials) > 0
	}
	d.finishCall(e.Result, e.Applied, e.Reason)
}

// discardOrders drops all orders from before a gap in the notifications, during which another director may have written
// the same slices.
func (d *director) discardOrders() {
	ops := d.outbox.Reset()
	d.log.Info("orders.void", "orders", len(ops), "why", "relay connection was lost; the relay resends its state")
	d.reportDropped() // before the events of the state that the relay resends
	d.resyncSlices(ops)
}

// reportDropped tells the module of the orders that left the outbox without being carried out.
func (d *director) reportDropped() {
	for _, dropped := range d.outbox.TakeDropped() {
		d.log.Info("orders.given_up", "serial", int(dropped.Serial), "copies", dropped.Copies)
		d.events = append(d.events, logic.Dropped{Serial: dropped.Serial, Copies: dropped.Copies})
	}
}

// resend lets the unconfirmed call be sent again. If the serial is of no current call, that is known to be written.
func (d *director) resend(serial logic.SerialID) {
	if d.clearUnconfirmed(serial) {
		return
	}
	if c := d.outbox.InFlight(); c == nil || !slices.Contains(c.Serials(), serial) {
		d.log.Info("call.again_void", "serial", int(serial))
		d.events = append(d.events, logic.ResendVoid{Serial: serial})
	}
}

// clearUnconfirmed ends the wait for the acknowledgement of an unconfirmed call: either a proxy has acknowledged it, or
// the module allows it to be sent again. It reports whether the serial belongs to that call.
func (d *director) clearUnconfirmed(serial logic.SerialID) (isCurrent bool) {
	if c := d.outbox.InFlight(); d.callUnconfirmed && c != nil && slices.Contains(c.Serials(), serial) {
		d.callUnconfirmed = false
		return true
	}
	return false
}

// confirmCall marks the current call as applied as a whole once a proxy has acknowledged one of its serials. An
// unconfirmed call is finished by that.
func (d *director) confirmCall(n logic.Acknowledged) {
	c := d.outbox.InFlight()
	if c == nil || d.callConfirmed || !slices.Contains(c.Serials(), n.Serial) {
		return
	}
	d.callConfirmed = true // also while the call is in flight, since its answer may still be lost
	if d.clearUnconfirmed(n.Serial) {
		d.log.Info("call.proven", "id", c.ID, "by", int(n.Proxy))
		d.finishCall(outbox.Answered, len(c.Ops), "")
	}
}

// finishCall records the outcome of the current call and corrects the module's view after orders were rejected.
func (d *director) finishCall(result outbox.Result, applied int, reason string) {
	outcome := d.outbox.Finish(result, applied)
	d.counters.appliedOrders += uint64(len(outcome.Applied))
	d.counters.ordersByKind.add(outcome.Applied)
	d.relayState.OrdersApplied(outcome.Applied)
	for _, o := range outcome.Rejected {
		d.counters.rejected++
		d.log.Error("order.refused", "order", o.Text, "why", reason)
	}
	d.restoreAfterDrop(outcome.Rejected)
}
