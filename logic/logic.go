// Package logic holds every decision of vetchwood. A program calls New(seed, facts) at each start and Handle(now,
// notes) whenever something happened; orders take effect as they come. The same notes give the same orders: no
// clock, no I/O, nothing global.
//
// The interface is in api.go, what parts hold in parts.go, inboxes in loop.go, sums and maps in collections.go, what
// operators are told in observe.go, the reasons in docs/design.md. Parts: Director (logic.go, forget.go), a host
// actor for each host (host.go, health.go, age.go), placer (placement.go: the block tree and the paper's run;
// traffic.go), gate (admission.go: levels, further tries), publisher (publish.go, draft.go, masks.go,
// channel.go, write_order.go: what stands, what is wanted, what the channel bears).
package logic

import (
	"cmp"
	"slices"
)

const (
	maximum     = 1.1          // imbalance tolerated, from the paper
	chunk       = 1.0 / 40     // of the load: below it a leaf need only not overload
	chunkPart   = 0.3          // of a host's share: the same where hosts are so many that a share is less
	roomy       = 0.6          // busy share below which a host is not over-worked, whatever was reckoned
	headroom    = 0.8          // of what a host can do: while its fullest has so much, the fleet bears imbalance
	checkEvery  = Millis(1000) // two checks past the maximum call for a rerun
	worthMoving = 0.9          // a rerun is installed when it leaves at most this of the imbalance
	gather      = Millis(500)  // ordinary changes wait this long for company
	freshRoom   = 0.25         // of its share, for a host that has just started
	freshFor    = Millis(10000)
	beat        = Millis(100)

	demandMemory = Millis(4000)
	healthMemory = Millis(1500)
	gateMemory   = Millis(1000) // a burst is let in for no longer than routes want their answers, as a rule
	loadMemory   = Millis(4000)

	trialAfter  = Millis(2000) // before a removed host is tried again
	standbyPart = 0.06         // weight of a standby line beside a whole slice
	pairPart    = 0.4          // the same where proxies pick the less busy of two: they use it as they need it
	trialPart   = 0.1          // the same where the standby is a host on trial
	trialSlices = 8
	commonSize  = 8 // hosts in the first table of a site without slices

	ordinaryPart = 0.5  // of the messages that a proxy may get; the rest is for removals
	barePart     = 0.65 // for the tables of sites without slices and the writes of single owners
	urgentPart   = 0.85 // for hosts that go out and for tables that have nothing to offer
	surePart     = 0.95 // for all that proxies have not owned up to: it holds at any pace
	slowest      = 10   // times as long as usual, the way through a full channel at most takes

	restFor = Millis(2000) // a jammed host is left alone for so long, and then as long at least in use

	full      = 0.8     // busy share from which a host that turns calls away has too much to do, not a fault
	strain    = 0.8     // tries for each that the fleet can do: the gate steers to it
	idle      = 0.7     // busy share of the fleet below which nothing is throttled
	crowd     = 1.0 / 3 // fresh part of the fleet from which reports of the others are too old to tell of it
	levelEase = 0.1     // a second, in routes
	levelLow  = 0.05

	commonTable TableID = 0
	zoneTables  TableID = 60000
)

func derive(f Config) bounds {
	b := bounds{sliced: f.Slices > 0, oneOwner: f.SingleOwner, asks: f.HostListOnRequest, probes: f.MayProbe,
		shared: f.Directors > 1 && f.Slices > 0 && !f.SingleOwner,
		advice: f.RemovalIsAdvisory, listed: f.Weighted, queue: f.QueueLimit, head: f.MessageOverhead,
		pace: max(1, f.LinesPerSecond) / 1000, transit: f.Transit, worstTransit: f.WorstTransit, messages: f.MessageLimit,
		span:   f.MessageWindow,
		levels: f.Levels, reportEvery: max(1, f.ReportInterval), warmFor: f.WarmAfter,
		settle: f.WriteLease + f.WriteSettle + f.WorstTransit}
	b.health = max(healthMemory, b.reportEvery*5/4) // shorter, it would see but the last report
	// Quarter room is right only while cold keys and chance can't take it past what tips a cold host.
	b.freshRoom = min(freshRoom, max(0.05, f.ColdCapacity*f.ColdOverloadLimit/3))
	if b.standby = standbyPart; f.Pick == PickTwoChoices {
		b.standby = pairPart
	}
	if b.hurry = max(0, min(gather, (f.DrainGrace-f.WorstTransit)/4)); b.messages > 0 {
		b.hurry = max(b.hurry, min(b.span/Millis(b.messages), (f.DrainGrace-f.WorstTransit)/2))
	}
	b.heardAfter = f.WorstTransit + Millis(b.queue/b.pace) + reportsOfDelay*b.reportEvery
	b.outWithin = f.DrainGrace*graceShare - f.WorstTransit - beat
	for i, r := range f.Routes {
		// One that may take effect twice is tried again only after proof that it never ran.
		b.ways = append(b.ways, 1+int(bit(r.Idempotency == Idempotent, 0)))
		b.cheap = append(b.cheap, RouteID(i))
		b.everyRoute |= bit(true, i)
		b.writes |= bit(r.IsWrite, i)
		b.ownZone |= bit(r.OwnZone, i)
		if b.slo == 0 || r.SLO < b.slo {
			b.slo = r.SLO
		}
	}
	slices.SortStableFunc(b.cheap, func(x, y RouteID) int {
		return cmp.Compare(f.Routes[x].Importance, f.Routes[y].Importance)
	})
	return b
}

func New(seed uint64, f Config) *Director {
	d := &Director{}
	d.seed, d.rules = seed, derive(f)
	d.publish = &publisher{loop: &d.loop}
	d.place = &placer{loop: &d.loop, to: d.publish, mean: 1}
	d.publish.place = d.place
	n := len(f.Routes)
	d.gate = &gate{loop: &d.loop, to: d.publish, place: d.place, level: float64(n), asked: make([]sum, n),
		unanswered: make([]sum, n), usual: make([]float64, n)}
	return d
}

func (d *Director) Handle(now Millis, notes []any) []Order {
	d.now, d.out, d.changes = now, nil, nil
	if !d.ticking {
		d.ticking = true
		d.order(SetTimer{beat, 0})
		d.place.listBy = now + listWithin
	}
	if d.rules.asks && !d.follows && now >= d.askAgain {
		d.follows = true
		d.order(WatchHosts{true})
	}
	for _, n := range notes {
		d.post(d, n)
	}
	d.empty()
	// The store's lines come one by one behind their custody, so they are whole only here.
	for t, held := range d.stored.all() {
		d.unlist(held)
		d.vouch(held)
		d.post(d.place, kept{t, held})
		d.post(d.publish, kept{t, held})
		d.stored.drop(t)
	}
	for _, h := range d.hosts.all() {
		d.post(h, settleNow{})
	}
	// Placing waits for all of the batch, so that a removal and its replacement go in one reply.
	for _, p := range []part{d.place, d.publish} {
		d.empty()
		d.post(p, settleNow{})
	}
	d.empty()
	return d.out
}

func (d *Director) roster(r HostList) {
	if r.Kind == HostListFailed {
		d.follows, d.askAgain = false, d.now+checkEvery
		return
	}
	d.restamped(r)
	named, standing := map[HostID]bool{}, d.publish.named()
	for _, e := range r.Entries {
		named[e.Host] = true
		if !d.hosts.has(e.Host) {
			// One that the list adds later may be none of ours, and take calls that it never answers.
			h := d.meet(e.Host)
			h.unproven = d.rules.probes && r.Kind != HostListFromDisk
			h.followed = d.told
			if standing[e.Host] {
				h.vouchedUntil = d.now + vouchFor
			}
		}
		d.post(d.hosts.get(e.Host), e)
	}
	for id, h := range d.hosts.all() {
		if r.Kind != HostListDelta && !named[id] {
			d.post(h, HostEntry{Host: id, State: Gone})
		}
	}
	if r.Kind != HostListFromDisk && !d.told {
		d.told, d.place.listBy, d.place.dirty = true, 0, true
		for _, held := range d.publish.stands.all() {
			d.unlist(held)
		}
	}
}

func (d *Director) meet(id HostID) *host {
	h := &host{loop: &d.loop, id: id, place: d.place, gate: d.gate}
	d.hosts.put(id, h)
	return h
}

// unlist takes hosts of the store's lines that are in no list for gone: they left it while we were down, and
// calls that still go there break the grace once their slice is ours. Without a note of its own such a host
// was never masked, and its lines waited for the room that ordinary changes have. The list from disk is too
// old to say so: a host that came since would be masked.
func (d *Director) unlist(held lines) {
	for _, l := range held {
		if d.told && !d.hosts.has(l.host) {
			d.post(d.meet(l.host), HostEntry{Host: l.host, State: Gone})
		}
	}
}

// vouch takes the hosts of the store's lines for proven until they answer: an earlier director wrote them. Taken for
// unproven, each of them lost all its slices by a restart.
func (d *Director) vouch(held lines) {
	for _, l := range held {
		if h := d.hosts.get(l.host); h != nil {
			h.vouchedUntil = d.now + vouchFor
		}
	}
}
