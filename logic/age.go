package logic

// Ages of hosts. The host list gives the time when a host started, by a clock that may have been stepped since the
// director read its own clock, or that may differ from the director's, which was stepped before the director started.
// So a start time is accepted only within bounds: no host starts in the future, and a host that is reported for the
// first time, or with a new start, did not start long before.

const (
	// maxListDelay is the longest time from the start of a host to the host list that reports it: the platform reports
	// within 6 s, and a watch may wait for 2 s.
	maxListDelay = Millis(8000)
	// clockStepTolerance is the largest difference between the shifts of two start times that one clock step causes.
	clockStepTolerance = Millis(50)
)

// startTime returns when a host started by the director's clock, 0 if that is long ago. It takes the start time that
// the host list reports, and whether host lists have been followed since before the first one with this start.
func startTime(reported, now Millis, watched bool) Millis {
	if reported <= 0 {
		return 0
	}
	if watched && reported < now-maxListDelay {
		return now // the time is wrong, and the host may have started just now
	}
	return min(reported, now)
}

// acceptClockStep detects start times that a clock step has shifted: those of more than half of the hosts that are up,
// all by the same amount, to times at which no host can have started anew. It takes over the new times without treating
// these hosts as restarted.
func (d *Director) acceptClockStep(list HostList) {
	var shifted []HostEntry
	var step Millis
	up := 0
	for _, e := range list.Entries {
		h := d.hosts.get(e.Host)
		if h == nil || h.entry.State != Up || e.State != Up {
			continue
		}
		up++
		shift := e.StartedAt - h.entry.StartedAt
		if h.entry.StartedAt <= 0 || e.StartedAt <= 0 || shift == 0 ||
			e.StartedAt > d.now-maxListDelay && e.StartedAt <= d.now {
			continue
		}
		if len(shifted) == 0 {
			step = shift
		}
		if shift-step > clockStepTolerance || step-shift > clockStepTolerance {
			return
		}
		shifted = append(shifted, e)
	}
	if len(shifted) < 2 || len(shifted)*2 <= up {
		return
	}
	for _, e := range shifted {
		d.hosts.get(e.Host).entry.StartedAt = e.StartedAt
	}
}
