package logic

// Hosts that are gone are forgotten, so that what is held and walked grows with the fleet and not with its history.

const (
	// forgetAfter is how long a host must be in no list and no table: well past any list that comes late.
	forgetAfter = Millis(60000)
	forgetEvery = Millis(5000)
)

// forget drops the hosts that have been gone for long. Masks that proxies hold stay known: one that comes back has
// its mask lifted.
func (d *Director) forget() {
	if d.now < d.forgetAt {
		return
	}
	d.forgetAt = d.now + forgetEvery
	named := d.publish.named()
	for id, h := range d.hosts.all() {
		if h.unlistedAt == 0 || d.now-h.unlistedAt < forgetAfter || named[id] {
			continue
		}
		d.hosts.drop(id)
		d.place.hosts.drop(id)
		d.gate.hosts.drop(id)
		d.publish.availability.drop(id)
		d.publish.changedAt.drop(id)
		if !d.publish.masked.get(id) {
			d.publish.masked.drop(id)
			d.publish.maskedAt.drop(id)
		}
	}
}

// named are the hosts of all tables, as they stand and as they are wanted.
func (p *publisher) named() map[HostID]bool {
	named := map[HostID]bool{}
	for _, table := range p.current.all() {
		for _, l := range table {
			named[l.host] = true
		}
	}
	for _, w := range p.pending.all() {
		for _, l := range w.lines {
			named[l.host] = true
		}
	}
	return named
}
