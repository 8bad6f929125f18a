// Package verdict checks, from events recorded at the sockets, whether a director kept its rules, and computes the
// quality of service. It does not use the director's own view of the events. The package does no I/O and reads no
// clock.
package verdict

import (
	"sync"
	"time"

	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// The recorded events. All times are Unix milliseconds of one clock.
type (
	// Arrival is a try as recorded by its host.
	Arrival struct {
		At                    float64
		Host                  tables.Address
		Proxy, Route          string
		Call                  string
		WorkMs, HostStartedAt float64
		Cores                 int
		Executed              bool // the host executed the call
		Deduplicated          bool // the host recognized the call as a repeat and did not execute it
	}
	// Try is a try as recorded by the proxy that sent it.
	Try struct {
		At          float64
		Proxy, Call string
		Table       string // by which the try was routed; set only where several directors share the tables
		Host        tables.Address
	}
	// Outcome is the end of a call.
	Outcome struct {
		At, Latency float64
		Proxy       string
		Route       string
		Throttled   bool
		Answered    bool
	}
	// ProxyUpdate is a new document that took effect at a proxy or, if Doc is nil, a proxy's joining or leaving.
	ProxyUpdate struct {
		At     float64
		Proxy  string
		Joined bool
		Doc    *tables.Document // in effect at the proxy, merged from all directors
		Lines  int              // operations of the delta, or lines of the full document
		Full   bool             // a full document instead of a delta
		// Director is the sender and DirectorDoc its own document; both are set only where there are several directors.
		Director          string
		DirectorDoc       *tables.Document
		byOwnershipChange bool // a slice changed its owner: proxies fetch this by themselves, outside the channel's limits
	}
	// Ownership is the owner of a slice from At on, as recorded in the lease store; an empty Director means none.
	Ownership struct {
		At       float64
		Table    string
		Director string
		Fence    uint64
	}
	// HostList is a host list as discovery sent it to a director.
	HostList struct {
		At       float64
		Director string // set only where there are several
		Hosts    []ListedHost
	}
	// ListedHost is an entry of a host list.
	ListedHost struct {
		Address   tables.Address
		State     logic.HostState
		StartedAt float64 // 0 means long ago
	}
	// Action is something that the rehearsal did.
	Action struct {
		At   float64
		Text string
	}
	// Work is the CPU time of a call that arrived at a host.
	Work struct{ At, Ms float64 }
)

// Recorder collects events from many goroutines.
type Recorder struct {
	mu           sync.Mutex
	Arrivals     []Arrival
	Tries        []Try
	Outcomes     []Outcome
	ProxyUpdates []ProxyUpdate
	HostLists    []HostList
	Actions      []Action
	Collapses    []Try // only At and Host are set
	Ownerships   []Ownership
}

// AddArrival records a try that arrived at a host.
func (rec *Recorder) AddArrival(a Arrival) {
	rec.mu.Lock()
	rec.Arrivals = append(rec.Arrivals, a)
	rec.mu.Unlock()
}

// AddTry records a try that a proxy sent.
func (rec *Recorder) AddTry(s Try) { rec.mu.Lock(); rec.Tries = append(rec.Tries, s); rec.mu.Unlock() }

// AddOutcome records the end of a call.
func (rec *Recorder) AddOutcome(o Outcome) {
	rec.mu.Lock()
	rec.Outcomes = append(rec.Outcomes, o)
	rec.mu.Unlock()
}

// AddProxyUpdate records a new document at a proxy, or its joining or leaving.
func (rec *Recorder) AddProxyUpdate(h ProxyUpdate) {
	rec.mu.Lock()
	rec.ProxyUpdates = append(rec.ProxyUpdates, h)
	rec.mu.Unlock()
}

// AddOwnership records a change of a slice's owner.
func (rec *Recorder) AddOwnership(c Ownership) {
	rec.mu.Lock()
	rec.Ownerships = append(rec.Ownerships, c)
	rec.mu.Unlock()
}

// AddHostList records a host list that discovery sent.
func (rec *Recorder) AddHostList(t HostList) {
	rec.mu.Lock()
	rec.HostLists = append(rec.HostLists, t)
	rec.mu.Unlock()
}

// AddAction records an action of the rehearsal.
func (rec *Recorder) AddAction(n Action) {
	rec.mu.Lock()
	rec.Actions = append(rec.Actions, n)
	rec.mu.Unlock()
}

// AddCollapse records that a host failed because of overload.
func (rec *Recorder) AddCollapse(h tables.Address, at float64) {
	rec.mu.Lock()
	rec.Collapses = append(rec.Collapses, Try{At: at, Host: h})
	rec.mu.Unlock()
}

// Counts returns the calls so far and the newest version at any proxy, for a progress line.
func (rec *Recorder) Counts() (calls, answered, throttled int, step tables.Step) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, o := range rec.Outcomes {
		if o.Answered {
			answered++
		}
		if o.Throttled {
			throttled++
		}
	}
	for _, h := range rec.ProxyUpdates {
		if h.Doc != nil {
			step = max(step, h.Doc.Step)
		}
	}
	return len(rec.Outcomes), answered, throttled, step
}

// ColdStartCapacity returns the fraction of its full capacity that a host has age milliseconds after its start. It
// increases linearly from coldCapacity to 1 over warmAfter.
func ColdStartCapacity(age, coldCapacity float64, warmAfter time.Duration) float64 {
	if warmAfter <= 0 {
		return 1
	}
	return min(1, coldCapacity+(1-coldCapacity)*max(0, age)/float64(warmAfter.Milliseconds()))
}

// ColdOverload returns the work sent to a host during the last failAfter, as a fraction of what a cold host withstands
// in that time: limit times its capacity. At 1 the host fails. A warm host does not fail; the result is 0. Entries of
// work that are older than failAfter are removed.
func ColdOverload(work *[]Work, now, startedAt float64, cores int, coldCapacity float64, warmAfter time.Duration,
	limit float64, failAfter time.Duration) float64 {
	window := float64(failAfter.Milliseconds())
	for len(*work) > 0 && now-(*work)[0].At > window {
		*work = (*work)[1:]
	}
	if startedAt == 0 || now-startedAt >= float64(warmAfter.Milliseconds()) {
		return 0
	}
	sum := 0.0
	for _, w := range *work {
		sum += w.Ms
	}
	// Twice the mean work of a call is deducted: one or two calls can arrive by chance and are no overload.
	allowance := 2 * sum / float64(max(1, len(*work)))
	return max(0, sum-allowance) / (limit * ColdStartCapacity(now-startedAt, coldCapacity, warmAfter) * window * float64(cores))
}

// LastHostList returns the last host list that discovery sent, if any.
func (rec *Recorder) LastHostList() (HostList, bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.HostLists) == 0 {
		return HostList{}, false
	}
	return rec.HostLists[len(rec.HostLists)-1], true
}

// Propagation returns how many milliseconds after from the last proxy reached a version, and the largest number of
// documents that a proxy received from then on until it had that version.
func (rec *Recorder) Propagation(step tables.Step, from float64) (ms float64, documents int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	received := map[string]int{}
	reached := map[string]bool{}
	for _, h := range rec.ProxyUpdates {
		if h.Doc == nil || h.At < from || reached[h.Proxy] {
			continue
		}
		received[h.Proxy]++
		if h.Doc.Step >= step {
			reached[h.Proxy] = true
			ms, documents = max(ms, h.At-from), max(documents, received[h.Proxy])
		}
	}
	return ms, documents
}
