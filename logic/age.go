package logic

// Ages of hosts. The list tells when a host started, by a clock that may have been stepped since ours was read, or
// ours before the start. So a stamp is believed within bounds only: nobody starts in the future, and whoever is told
// of for the first time, or of a new start, did not start long before.

const (
	// longestWord is the time from a host's start to the list that tells of it, at most: the platform tells within 6
	// s, and a watch may wait for 2 s.
	longestWord = Millis(8000)
	// sameStep is how far apart the steps of two stamps may be that come from one step of the clock.
	sameStep = Millis(50)
)

// startOf is when a host started by our clock, 0 if that is long ago. Watched says that hosts have been followed
// since before it was told of.
func startOf(stamp, now Millis, watched bool) Millis {
	if stamp <= 0 {
		return 0
	}
	if watched && stamp < now-longestWord {
		return now // it says nothing of the host, which is as cold as can be for all we know
	}
	return min(stamp, now)
}

// restamped finds the hosts whose stamps were moved by a step of the clock: more than half of those in use, all by
// the same time, to where no new start could be. They did not start anew, and only their stamps are taken over.
func (d *Director) restamped(r HostList) {
	var moved []HostEntry
	var step Millis
	up := 0
	for _, e := range r.Entries {
		h := d.hosts.get(e.Host)
		if h == nil || h.entry.State != Up || e.State != Up {
			continue
		}
		up++
		by := e.StartedAt - h.entry.StartedAt
		if h.entry.StartedAt <= 0 || e.StartedAt <= 0 || by == 0 || e.StartedAt > d.now-longestWord && e.StartedAt <= d.now {
			continue
		}
		if len(moved) == 0 {
			step = by
		}
		if by-step > sameStep || step-by > sameStep {
			return
		}
		moved = append(moved, e)
	}
	if len(moved) < 2 || len(moved)*2 <= up {
		return
	}
	for _, e := range moved {
		d.hosts.get(e.Host).entry.StartedAt = e.StartedAt
	}
}
