// Package codec translates between the platform's messages and the module's notes and orders. It decides nothing and has no
// I/O; what can't be read is an error that names the place.
package codec

import (
	"fmt"
	"hash/crc32"

	"vetchwood/logic"
)

// ID is the number of a host: a hash of its name, so that every director has the same, also after a start over.
func ID(name string) logic.HostID {
	if id := logic.HostID(crc32.ChecksumIEEE([]byte(name))); id != 0 {
		return id
	}
	return 1 // 0 is no host
}

// Hosts are the names and addresses behind the numbers. Those of hosts long gone are forgotten, the oldest first.
type Hosts struct {
	by   map[logic.HostID]*host
	gone []logic.HostID
}

type host struct {
	name, address string
	listed        bool
	filed         bool // among those gone
	entry         logic.HostEntry
}

// mostGone is how many hosts that are listed no more are still known by name, for orders that take their lines away.
const mostGone = 1024

func NewHosts() *Hosts { return &Hosts{by: map[logic.HostID]*host{}} }

// Name takes a host's name in and gives its number; two names of one number are an error for the later.
func (h *Hosts) Name(name string) (logic.HostID, error) {
	if name == "" {
		return 0, fmt.Errorf("a host without a name")
	}
	id := ID(name)
	if known := h.by[id]; known == nil {
		h.by[id] = &host{name: name}
		h.file(id)
	} else if known.name != name {
		return 0, fmt.Errorf("host %q has the number of %q", name, known.name)
	}
	return id, nil
}

func (h *Hosts) file(id logic.HostID) {
	if h.by[id].filed {
		return
	}
	h.gone, h.by[id].filed = append(h.gone, id), true
	for len(h.gone) > mostGone {
		old := h.gone[0]
		h.gone = h.gone[1:]
		if h.by[old].filed = false; !h.by[old].listed {
			delete(h.by, old)
		}
	}
}

// Known says whether a number is a host's that was ever named.
func (h *Hosts) Known(id logic.HostID) bool { return h.by[id] != nil }

// NameOf gives the name of a number, empty if there is none.
func (h *Hosts) NameOf(id logic.HostID) string {
	if k := h.by[id]; k != nil {
		return k.name
	}
	return ""
}

// Address is where a host listens, as last told; empty if it is listed no more.
func (h *Hosts) Address(id logic.HostID) string {
	if k := h.by[id]; k != nil && k.listed {
		return k.address
	}
	return ""
}

// Listed is how many hosts are listed now.
func (h *Hosts) Listed() (n int) {
	for _, k := range h.by {
		if k.listed {
			n++
		}
	}
	return n
}

// Roster takes a list in: what its entries mean, and an error for each that could not be used. A host whose entry can't be
// read stays as it was.
func (h *Hosts) Roster(l List, kind logic.HostListKind, n *Names) (r logic.HostList, wrong []error) {
	if r.Kind = kind; kind != logic.HostListFromDisk && !l.Snapshot {
		r.Kind = logic.HostListDelta
	}
	named := map[logic.HostID]bool{}
	for i, e := range l.Endpoints {
		entry, err := h.entry(e, n)
		if err != nil {
			wrong = append(wrong, fmt.Errorf("endpoints[%d].%w", i, err))
			if known := h.by[ID(e.Name)]; e.Name == "" || known == nil || known.name != e.Name || !known.listed {
				continue
			}
			entry = h.by[ID(e.Name)].entry
		}
		k := h.by[entry.Host]
		if err == nil {
			k.address, k.entry = e.Address, entry
		}
		if k.listed = entry.State != logic.Gone; !k.listed {
			h.file(entry.Host)
		}
		named[entry.Host] = true
		r.Entries = append(r.Entries, entry)
	}
	if r.Kind != logic.HostListDelta {
		for id, k := range h.by {
			if k.listed && !named[id] {
				k.listed = false
				h.file(id)
			}
		}
	}
	return r, wrong
}

func (h *Hosts) entry(e Endpoint, n *Names) (out logic.HostEntry, err error) {
	state, known := map[string]logic.HostState{"active": logic.Up, "leaving": logic.Draining, "left": logic.Gone}[e.Status]
	if !known {
		return out, fmt.Errorf("status: unknown value %q", e.Status)
	}
	zone, isZone := n.zone(e.Zone)
	kind, isKind := n.kind(e.Type)
	if state != logic.Gone { // of one that has left the name is enough
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
	id, err := h.Name(e.Name)
	if err != nil {
		return out, fmt.Errorf("name: %w", err)
	}
	return logic.HostEntry{Host: id, State: state, Cell: logic.CellID(e.Group), Zone: zone, Hardware: kind, Weight: e.Weight,
		StartedAt: logic.Millis(e.Since)}, nil
}
