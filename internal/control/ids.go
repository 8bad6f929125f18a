package control

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// idRegistry maps the names of hosts, proxies, zones and cells to the numbers that the decision module uses, and back.
type idRegistry struct {
	hosts      map[tables.Address]KnownHost
	addresses  map[logic.HostID]tables.Address
	proxies    map[string]logic.ProxyID
	proxyNames map[logic.ProxyID]string
	zones      map[string]logic.ZoneID
	cells      map[string]logic.CellID
	maxProxies int                      // maximum number of proxy numbers
	nextFree   logic.ProxyID            // all lower numbers are taken
	unstored   map[logic.ProxyID]string // newly numbered proxies that are not yet stored
}

// newIDRegistry returns a registry with the numbers of the saved state. Zones are numbered by their order in the
// settings.
func newIDRegistry(zones []string, maxProxies int, saved *SavedState) *idRegistry {
	n := &idRegistry{hosts: maps.Clone(saved.Known), addresses: map[logic.HostID]tables.Address{},
		proxies: maps.Clone(saved.Proxies), proxyNames: map[logic.ProxyID]string{}, zones: map[string]logic.ZoneID{},
		cells: map[string]logic.CellID{}, maxProxies: maxProxies, unstored: map[logic.ProxyID]string{}}
	if n.hosts == nil {
		n.hosts = map[tables.Address]KnownHost{}
	}
	if n.proxies == nil {
		n.proxies = map[string]logic.ProxyID{}
	}
	for a, h := range n.hosts {
		n.addresses[h.Number] = a
	}
	for name, id := range n.proxies {
		n.proxyNames[id] = name
	}
	for i, z := range zones {
		n.zones[z] = logic.ZoneID(i)
	}
	return n
}

// host returns the number of a host, and whether its entry has changed. The number is a hash of the address, so that
// directors agree on most numbers without shared state. If the hash is 0 or taken, the next free number is used.
func (n *idRegistry) host(l HostEntry) (id logic.HostID, changed bool) {
	entry := KnownHost{Host: tables.Host{ID: l.ID, Zone: l.Zone, Cell: l.Cell}}
	if k, known := n.hosts[l.Address]; known {
		entry.Number = k.Number
		n.hosts[l.Address] = entry
		return entry.Number, entry != k
	}
	entry.Number = logic.HostID(xxhash.Sum64String(string(l.Address)))
	for ; entry.Number == 0 || n.addresses[entry.Number] != ""; entry.Number++ {
	}
	n.hosts[l.Address], n.addresses[entry.Number] = entry, l.Address
	return entry.Number, true
}

// zone returns the number of a zone, and assigns one if it is new.
func (n *idRegistry) zone(name string) logic.ZoneID {
	if _, known := n.zones[name]; !known {
		n.zones[name] = logic.ZoneID(len(n.zones))
	}
	return n.zones[name]
}

// cell returns the number of a cell, and assigns one if it is new.
func (n *idRegistry) cell(name string) logic.CellID {
	if _, known := n.cells[name]; !known {
		n.cells[name] = logic.CellID(len(n.cells))
	}
	return n.cells[name]
}

// proxy returns the number of a proxy, and assigns one if it is new. Once all numbers are taken, it reuses the number
// of a proxy that is not joined; ok is false if there is none.
func (n *idRegistry) proxy(name string, joined func(logic.ProxyID) bool) (id logic.ProxyID, ok bool) {
	if id, known := n.proxies[name]; known {
		return id, true
	}
	for ; n.nextFree < logic.ProxyID(n.maxProxies); n.nextFree++ {
		if n.proxyNames[n.nextFree] == "" {
			n.assign(name, n.nextFree)
			return n.nextFree, true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.proxyNames)) {
		if !joined(id) {
			delete(n.proxies, n.proxyNames[id])
			n.assign(name, id)
			return id, true
		}
	}
	return 0, false
}

// assign gives a number to a proxy and marks it to be stored.
func (n *idRegistry) assign(name string, id logic.ProxyID) {
	n.proxies[name], n.proxyNames[id], n.unstored[id] = id, name, name
}
