// Package codec translates between the platform's JSON messages and the events and orders of the decision module. It
// contains no decision logic and performs no I/O. A message that cannot be decoded yields an error that names the field.
package codec

import (
	"fmt"
	"hash/crc32"

	"vetchwood/logic"
)

// IDOf returns the ID of the host with the name. It is a hash of the name, so that all directors use the same ID, also
// after a restart.
func IDOf(name string) logic.HostID {
	if id := logic.HostID(crc32.ChecksumIEEE([]byte(name))); id != 0 {
		return id
	}
	return 1 // 0 is not a valid host ID
}

// Hosts maps host IDs to names and addresses. Hosts that are no longer listed are evicted once more than
// maxUnlistedHosts of them are known, the oldest first.
type Hosts struct {
	byID          map[logic.HostID]*hostRecord
	evictionQueue []logic.HostID
}

type hostRecord struct {
	name, address string
	listed        bool
	queued        bool // in evictionQueue
	entry         logic.HostEntry
}

// maxUnlistedHosts limits how many unlisted hosts keep their names. Orders that remove the lines of a host that has
// left the list still need its name.
const maxUnlistedHosts = 1024

// NewHosts returns an empty Hosts.
func NewHosts() *Hosts { return &Hosts{byID: map[logic.HostID]*hostRecord{}} }

// Register records a host name and returns its ID. If two names have the same ID, the later one is rejected.
func (h *Hosts) Register(name string) (logic.HostID, error) {
	if name == "" {
		return 0, fmt.Errorf("host name is empty")
	}
	id := IDOf(name)
	if known := h.byID[id]; known == nil {
		h.byID[id] = &hostRecord{name: name}
		h.queueForEviction(id)
	} else if known.name != name {
		return 0, fmt.Errorf("host %q has the same ID as host %q", name, known.name)
	}
	return id, nil
}

// queueForEviction appends a host to the eviction queue and trims the queue to maxUnlistedHosts. A host that leaves the
// queue is deleted unless it is listed.
func (h *Hosts) queueForEviction(id logic.HostID) {
	if h.byID[id].queued {
		return
	}
	h.evictionQueue, h.byID[id].queued = append(h.evictionQueue, id), true
	for len(h.evictionQueue) > maxUnlistedHosts {
		oldest := h.evictionQueue[0]
		h.evictionQueue = h.evictionQueue[1:]
		if h.byID[oldest].queued = false; !h.byID[oldest].listed {
			delete(h.byID, oldest)
		}
	}
}

// IsKnown reports whether a host is registered under the ID and has not been evicted.
func (h *Hosts) IsKnown(id logic.HostID) bool { return h.byID[id] != nil }

// NameOf returns the name of the host with the ID, or an empty string if the ID is unknown.
func (h *Hosts) NameOf(id logic.HostID) string {
	if k := h.byID[id]; k != nil {
		return k.name
	}
	return ""
}

// Address returns the last known address of a listed host, or an empty string if the host is not listed.
func (h *Hosts) Address(id logic.HostID) string {
	if k := h.byID[id]; k != nil && k.listed {
		return k.address
	}
	return ""
}

// ListedCount returns the number of hosts that are currently listed.
func (h *Hosts) ListedCount() (n int) {
	for _, k := range h.byID {
		if k.listed {
			n++
		}
	}
	return n
}

// Apply updates the hosts from a host list. It returns the list as an event, and an error for each entry that could
// not be used. A listed host whose entry cannot be decoded keeps its former entry.
func (h *Hosts) Apply(l List, kind logic.HostListKind, schema *Schema) (r logic.HostList, errs []error) {
	if r.Kind = kind; kind != logic.HostListFromDisk && !l.Snapshot {
		r.Kind = logic.HostListDelta
	}
	mentioned := map[logic.HostID]bool{}
	for i, e := range l.Endpoints {
		entry, err := h.decodeEntry(e, schema)
		if err != nil {
			errs = append(errs, fmt.Errorf("endpoints[%d].%w", i, err))
			if known := h.byID[IDOf(e.Name)]; e.Name == "" || known == nil || known.name != e.Name || !known.listed {
				continue
			}
			entry = h.byID[IDOf(e.Name)].entry
		}
		k := h.byID[entry.Host]
		if err == nil {
			k.address, k.entry = e.Address, entry
		}
		if k.listed = entry.State != logic.Gone; !k.listed {
			h.queueForEviction(entry.Host)
		}
		mentioned[entry.Host] = true
		r.Entries = append(r.Entries, entry)
	}
	if r.Kind != logic.HostListDelta {
		for id, k := range h.byID {
			if k.listed && !mentioned[id] {
				k.listed = false
				h.queueForEviction(id)
			}
		}
	}
	return r, errs
}

// decodeEntry validates an entry of the host list and registers the name of its host.
func (h *Hosts) decodeEntry(e Endpoint, schema *Schema) (out logic.HostEntry, err error) {
	state, known := map[string]logic.HostState{"active": logic.Up, "leaving": logic.Draining, "left": logic.Gone}[e.Status]
	if !known {
		return out, fmt.Errorf("status: unknown value %q", e.Status)
	}
	zone, isZone := schema.zoneID(e.Zone)
	kind, isKind := schema.kindID(e.Type)
	if state != logic.Gone { // for a host that has left, the name suffices
		switch {
		case !isZone:
			return out, fmt.Errorf("zone: unknown value %q", e.Zone)
		case !isKind:
			return out, fmt.Errorf("type: unknown value %q", e.Type)
		case !(e.Weight >= 0):
			return out, fmt.Errorf("weight: out of range")
		case !(e.Since >= 0):
			return out, fmt.Errorf("since_ms: out of range")
		case e.Address == "":
			return out, fmt.Errorf("address: missing")
		}
	}
	id, err := h.Register(e.Name)
	if err != nil {
		return out, fmt.Errorf("name: %w", err)
	}
	return logic.HostEntry{Host: id, State: state, Cell: logic.CellID(e.Group), Zone: zone, Hardware: kind, Weight: e.Weight,
		StartedAt: logic.Millis(e.Since)}, nil
}
