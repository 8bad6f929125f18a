package logic

// The order in which pending tables are written. The gain of a change is multiplied by the time that it has been
// pending, so that no table waits forever behind others with more gain.

const (
	graceShare            = 0.8  // of a drain's grace period, within which a removal has to reach the last proxy
	minOrdinaryShare      = 0.25 // of the queue, for tables that are not urgent
	calmIntervalFactor    = 4    // interval of ordinary messages, in times that their overhead takes in the channel
	backlogIntervalFactor = 2    // the same while tables have been pending for long
	backlogAfter          = Millis(2000)
	reservedMasks         = 3            // number of hosts that can always be masked at once
	plainGainShare        = 0.02         // of a slice's calls: the gain of a change that relieves no host
	urgentLevelDrop       = 0.1          // of a level: the decrease from which a change is urgent
	singleHostGainShare   = 0.5          // of a slice's calls: the gain for a table with fewer than two usable hosts
	writeWholeAfter       = Millis(1000) // that a table names an excluded host: then one step, not two
	overdueAfter          = Millis(5000) // the same: then it goes first, as no table may do so for long
	mainLineShare         = 0.5          // of the heaviest line's weight: from there a line is a main line, as its calls go there
)

// gainOf returns the gain of writing a new table, in calls a second.
func (p *placer) gainOf(slice *sliceState, table lines) float64 {
	part := plainGainShare
	if len(p.usableLines(slice)) < 2 && len(table) > 1 {
		part = singleHostGainShare
	}
	return p.relief(slice, table) + part*slice.rate
}

// priority returns the priority of a pending table.
func (w wantedTable) priority(now Millis) float64 {
	return w.gain * float64(batchDelay+now-w.pendingSince)
}

// ordinaryShare returns the part of the queue that ordinary tables may fill. The next removal of a host finds that much
// ahead of it and adds the overhead of one more message: it still has to reach every proxy within the grace period, and
// to find room even if nothing before it has been acknowledged. The overhead is paid for each message: in a large
// fleet, a message that may carry little consists of hardly anything else.
func (p *publisher) ordinaryShare() float64 {
	queue, proxies := max(1, p.params.queueLimit), float64(p.proxies.len())
	overhead := p.messageOverhead()
	inTime := float64(p.params.removalTime)*p.params.linesPerMilli - overhead
	withRoom := queue*unacknowledgedBudget - overhead - proxies*reservedMasks
	return max(minOrdinaryShare, min(inTime, withRoom)/queue)
}

// messageOverhead returns the overhead, in lines, of a message to all proxies.
func (p *publisher) messageOverhead() float64 {
	return float64(p.proxies.len()) * (p.params.overheadLines + 1)
}

// isWorthSending reports whether the channel has room for a message that justifies its overhead: one that can carry
// what is needed, or half of what an empty channel has room for beside the overhead. Sent earlier, messages that carry
// next to nothing fill the channel with overhead, and the changes that they were sent for never fit.
func (p *publisher) isWorthSending(part, needed float64) bool {
	filled, unacknowledged := p.queuedLines()
	overhead := p.messageOverhead()
	least := min(needed, max(0, p.params.queueLimit*part-overhead)/2)
	return filled+overhead+least <= p.params.queueLimit*part &&
		unacknowledged+overhead+least <= p.params.queueLimit*unacknowledgedBudget
}

// pendingLines returns the lines, to all proxies, of the pending tables that are exhausted, or of the others.
func (p *publisher) pendingLines(exhausted bool) (sum float64) {
	for _, w := range p.pendingTables(exhausted, func(wantedTable) float64 { return 0 }) {
		sum += float64(len(p.tableOrders(w.table, w.lines)) * p.proxies.len())
	}
	return sum
}

// overheadInterval returns the interval of ordinary messages that keeps overhead a small part of what the channel
// carries.
func (p *publisher) overheadInterval() Millis {
	times := calmIntervalFactor
	for _, w := range p.pending.all() {
		if p.now-w.pendingSince > backlogAfter {
			times = backlogIntervalFactor
			break
		}
	}
	return Millis(float64(times*p.proxies.len()) * (p.params.overheadLines + 1) / p.params.linesPerMilli)
}

// fitsAllPending reports whether the message being filled has room for all pending tables as wanted.
func (p *publisher) fitsAllPending(message *channelMessage, part float64) bool {
	needed := p.pendingLines(false)
	return message.hasRoom(part, needed)
}

// nextStep returns what a table is to hold next where not all pending changes fit: first what its calls need, and the
// rest once that is written.
func (p *publisher) nextStep(w wantedTable, spare bool) lines {
	if !p.params.sliced || p.params.singleOwner {
		return w.lines
	}
	needed := p.essentialLines(p.current.get(w.table), w.lines, spare)
	if spare && len(p.tableOrders(w.table, needed)) == 0 {
		return w.lines
	}
	return needed
}

// essentialLines returns the lines of a wanted table that its calls need, and the current ones that do no harm: lines
// of excluded hosts get no calls, and any light line is as good a standby as the wanted one. Where many tables are
// pending, one line instead of four moves the calls of a slice. With spare, the table gets a second host to offer.
func (p *publisher) essentialLines(current, want lines, spare bool) lines {
	heavy := want.heaviest().weight * mainLineShare
	var out lines
	offered := 0
	for _, l := range want {
		if l.weight >= heavy || current.contains(l.host) {
			out = append(out, l)
			offered++
		}
	}
	for _, l := range current {
		state := p.availability.get(l.host)
		if isExcluded := state == excluded || state == excludedByRule; !want.contains(l.host) &&
			(isExcluded || l.weight < heavy) {
			out = append(out, l)
			offered += int(bit(state == available && !p.masked.get(l.host), 0))
		}
	}
	for _, l := range want {
		if spare && offered < 2 && !out.contains(l.host) {
			out = append(out, l)
			offered++
		}
	}
	return out.sortByHost()
}

// excludedFor returns how long a host has been excluded that the current table names and the wanted one does not.
func (p *publisher) excludedFor(w wantedTable) (longest Millis) {
	for _, l := range p.current.get(w.table) {
		if p.isObsolete(w, l) {
			longest = max(longest, p.now-p.changedAt.get(l.host))
		}
	}
	return longest
}

// withoutExcludedHosts returns the current lines of a table without those that get no calls and are no longer wanted.
func (p *publisher) withoutExcludedHosts(w wantedTable) (rest lines) {
	for _, l := range p.current.get(w.table) {
		if !p.isObsolete(w, l) {
			rest = append(rest, l)
		}
	}
	return rest
}

// isObsolete reports whether a current line is to go because its host is excluded and the wanted table does not name
// it.
func (p *publisher) isObsolete(w wantedTable, l line) bool {
	state := p.availability.get(l.host)
	return (state == excluded || state == excludedByRule) && !w.lines.contains(l.host)
}
