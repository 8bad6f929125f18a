package logic

// Removal of hosts that are gone, so that memory and the work for each event grow with the fleet and not with its
// history.

const (
	// forgetAfter is how long a host must be in no host list and no table before it is forgotten. It is well above the
	// delay of any late host list.
	forgetAfter = Millis(60000)
	// forgetInterval is the time between two searches for such hosts.
	forgetInterval = Millis(5000)
)

// forgetHosts deletes the hosts that have been gone for forgetAfter. Masks that proxies still hold stay recorded, so
// that the mask of a host that comes back is lifted.
func (d *Director) forgetHosts() {
	if d.now < d.nextForget {
		return
	}
	d.nextForget = d.now + forgetInterval
	referenced := d.publisher.referencedHosts()
	for id, h := range d.hosts.all() {
		if h.unlistedAt == 0 || d.now-h.unlistedAt < forgetAfter || referenced[id] {
			continue
		}
		d.hosts.delete(id)
		d.placer.hosts.delete(id)
		d.admitter.hosts.delete(id)
		d.publisher.forgetHost(id)
	}
}

// namedHosts returns the hosts that any published table names.
func (p *publisher) namedHosts() map[HostID]bool {
	named := map[HostID]bool{}
	for _, table := range p.current.all() {
		for _, l := range table {
			named[l.host] = true
		}
	}
	return named
}

// referencedHosts returns the hosts that any published or wanted table names.
func (p *publisher) referencedHosts() map[HostID]bool {
	referenced := p.namedHosts()
	for _, w := range p.pending.all() {
		for _, l := range w.lines {
			referenced[l.host] = true
		}
	}
	return referenced
}
