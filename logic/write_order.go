package logic

// The order in which tables are written that wait for room in the channel. What a change is worth is multiplied by
// how long it has waited, so that none waits without end behind others of more worth.

const (
	graceShare      = 0.8  // of a drain's grace may pass before the last proxy has the word
	leastOrdinary   = 0.25 // of the queue, for tables that do not press
	calmMessage     = 4    // times the time that its heads take in the channel, between ordinary messages
	crowdedMessage  = 2    // the same while tables have waited for long
	longWait        = Millis(2000)
	reservedMasks   = 3            // hosts that can always go out at once
	plainWorth      = 0.02         // of a slice's calls: for a change that relieves no host
	clearlyLess     = 0.1          // of a level: from there a change presses
	vulnerableWorth = 0.5          // the same for a table that has a single host left to offer
	wholeAfter      = Millis(1000) // that a table names a host that is out: then it is written in one step, not in two
	overdueAfter    = Millis(5000) // that a table names a host that is out: no table is to do so for long
	heavyPart       = 0.5          // of the heaviest line: a main line of a table, as its calls go there
)

// worth is what the writing of a new table is worth, in calls a second.
func (p *placer) worth(pc *piece, table lines) float64 {
	part := plainWorth
	if len(p.open(pc)) < 2 && len(table) > 1 {
		part = vulnerableWorth
	}
	return p.relief(pc, table) + part*pc.weight
}

// priority is that of a table that waits.
func (w wanted) priority(now Millis) float64 { return w.gain * float64(batchDelay+now-w.at) }

// ordinaryShare is the part of the queue that ordinary tables may fill. Whatever is to go out next finds that much
// before it, and pays the heads of one more message: it must be everywhere within the grace all the same, and find
// room even where nobody acknowledges what went before. Heads are paid for each message: in a large fleet one that
// may carry little is hardly anything else.
func (p *publisher) ordinaryShare() float64 {
	queue, proxies := max(1, p.params.queue), float64(p.streams.len())
	heads := p.messageLines()
	inTime := float64(p.params.outWithin)*p.params.pace - heads
	withRoom := queue*unacknowledgedBudget - heads - proxies*reservedMasks
	return max(leastOrdinary, min(inTime, withRoom)/queue)
}

// messageLines are what the heads of a message to all proxies cost.
func (p *publisher) messageLines() float64 { return float64(p.streams.len()) * (p.params.head + 1) }

// loadable says whether the channel has room for a message that is worth its heads: it can carry what is needed, or
// half of what the heads of an empty channel leave room for. Sent sooner, messages that carry next to nothing fill the
// channel with heads, and what they were written for never fits.
func (p *publisher) loadable(part, needed float64) bool {
	filled, unowned := p.waiting()
	heads := p.messageLines()
	least := min(needed, max(0, p.params.queue*part-heads)/2)
	return filled+heads+least <= p.params.queue*part && unowned+heads+least <= p.params.queue*unacknowledgedBudget
}

// neededLines are what the wanted tables of a kind cost, to all proxies.
func (p *publisher) neededLines(bare bool) (sum float64) {
	for _, w := range p.wantedBy(bare, func(wanted) float64 { return 0 }) {
		sum += float64(len(p.changes(w.table, w.lines)) * p.streams.len())
	}
	return sum
}

// headsTime is the time between ordinary messages that keeps heads a small part of what the channel carries.
func (p *publisher) headsTime() Millis {
	times := calmMessage
	for _, w := range p.wants.all() {
		if p.now-w.at > longWait {
			times = crowdedMessage
			break
		}
	}
	return Millis(float64(times*p.streams.len()) * (p.params.head + 1) / p.params.pace)
}

// fitsWhole says whether the message being filled has room for all wanted tables as they are.
func (p *publisher) fitsWhole(message *flight, part float64) bool {
	needed := p.neededLines(false)
	return message.fits(part, needed)
}

// nextStep is what a table is to hold next where not all that is wanted fits: what its calls need, and the rest once
// that stands.
func (p *publisher) nextStep(w wanted, spare bool) lines {
	if !p.params.sliced || p.params.oneOwner {
		return w.lines
	}
	needed := p.essential(p.stands.get(w.table), w.lines, spare)
	if spare && len(p.changes(w.table, needed)) == 0 {
		return w.lines
	}
	return needed
}

// essential are the lines of a wanted table that its calls need, beside those that stand and do no harm: lines of
// hosts that are out draw no calls, and a light one is as good a standby as the one that is wanted. Where many tables
// wait, one line in place of four moves a slice's calls. With spare the table has a second host to offer.
func (p *publisher) essential(stands, want lines, spare bool) lines {
	heavy := want.heaviest().weight * heavyPart
	var out lines
	open := 0
	for _, l := range want {
		if l.weight >= heavy || stands.contains(l.host) {
			out = append(out, l)
			open++
		}
	}
	for _, l := range stands {
		door := p.doors.get(l.host)
		if shut := door == closed || door == bound; !want.contains(l.host) && (shut || l.weight < heavy) {
			out = append(out, l)
			open += int(bit(door == opened && !p.masked.get(l.host), 0))
		}
	}
	for _, l := range want {
		if spare && open < 2 && !out.contains(l.host) {
			out = append(out, l)
			open++
		}
	}
	return out.sortByHost()
}

// outFor is how long a host has been out that a wanted table no longer names, and the one that stands does.
func (p *publisher) outFor(w wanted) (longest Millis) {
	for _, l := range p.stands.get(w.table) {
		if p.leaves(w, l) {
			longest = max(longest, p.now-p.turned.get(l.host))
		}
	}
	return longest
}

// withoutHostsOut is what stands of a table without the lines that draw no calls and are not wanted.
func (p *publisher) withoutHostsOut(w wanted) (rest lines) {
	for _, l := range p.stands.get(w.table) {
		if !p.leaves(w, l) {
			rest = append(rest, l)
		}
	}
	return rest
}

// leaves says whether a standing line goes from a wanted table since its host is out.
func (p *publisher) leaves(w wanted, l line) bool {
	door := p.doors.get(l.host)
	return (door == closed || door == bound) && !w.lines.contains(l.host)
}
