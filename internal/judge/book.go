// Package judge tells from what was seen on the sockets whether the five rules held, and how good the service
// was. What a director believes is no witness. No I/O, no clock.
package judge

import (
	"sync"
	"time"

	"vetchwood/internal/tables"
	"vetchwood/logic"
)

// All times are Unix milliseconds of one clock.
type (
	// Arrival is a try as its host saw it.
	Arrival struct {
		At                    float64
		Host                  tables.Address
		Proxy, Route          string
		Call                  string
		WorkMs, HostStartedAt float64
		Cores                 int
		Executed              bool // it ran
		Deduplicated          bool // a repeat that the host knew
	}
	// Sent is a try as its proxy sent it.
	Try struct {
		At          float64
		Proxy, Call string
		Table       string // by which it went; there where several directors share them
		Host        tables.Address
	}
	// Outcome ends a call.
	Outcome struct {
		At, Latency float64
		Proxy       string
		Route       string
		Throttled   bool
		Answered    bool
	}
	// Held is a proxy's new document, or its joining or leaving (Doc nil).
	ProxyUpdate struct {
		At     float64
		Proxy  string
		Joined bool
		Doc    *tables.Document
		Lines  int
		Full   bool
		// Director is whose word it is, where there are several; Raw is that one's own document.
		Director          string
		DirectorDoc       *tables.Document
		byOwnershipChange bool // it came by a slice's change of hands, which proxies read by themselves
	}
	// Charge is a slice's holder from a time on, as the store of leases has it; "" is nobody.
	Ownership struct {
		At       float64
		Table    string
		Director string
		Fence    uint64
	}
	// Told is a list as the director was told it.
	HostList struct {
		At       float64
		Director string // which director, where there are several
		Hosts    []ListedHost
	}
	ListedHost struct {
		Address   tables.Address
		State     logic.HostState
		StartedAt float64
	}
	// Note is what the rehearsal did.
	Action struct {
		At   float64
		Text string
	}
	Work struct{ At, Ms float64 }
)

// Book gathers records from many goroutines.
type Recorder struct {
	mu           sync.Mutex
	Arrivals     []Arrival
	Tries        []Try
	Outcomes     []Outcome
	ProxyUpdates []ProxyUpdate
	HostLists    []HostList
	Actions      []Action
	Collapses    []Try
	Ownerships   []Ownership
}

func (b *Recorder) AddArrival(a Arrival) {
	b.mu.Lock()
	b.Arrivals = append(b.Arrivals, a)
	b.mu.Unlock()
}
func (b *Recorder) AddTry(s Try) { b.mu.Lock(); b.Tries = append(b.Tries, s); b.mu.Unlock() }
func (b *Recorder) AddOutcome(o Outcome) {
	b.mu.Lock()
	b.Outcomes = append(b.Outcomes, o)
	b.mu.Unlock()
}
func (b *Recorder) AddProxyUpdate(h ProxyUpdate) {
	b.mu.Lock()
	b.ProxyUpdates = append(b.ProxyUpdates, h)
	b.mu.Unlock()
}
func (b *Recorder) AddOwnership(c Ownership) {
	b.mu.Lock()
	b.Ownerships = append(b.Ownerships, c)
	b.mu.Unlock()
}
func (b *Recorder) AddHostList(t HostList) {
	b.mu.Lock()
	b.HostLists = append(b.HostLists, t)
	b.mu.Unlock()
}
func (b *Recorder) AddAction(n Action) { b.mu.Lock(); b.Actions = append(b.Actions, n); b.mu.Unlock() }
func (b *Recorder) AddCollapse(h tables.Address, at float64) {
	b.mu.Lock()
	b.Collapses = append(b.Collapses, Try{At: at, Host: h})
	b.mu.Unlock()
}

// Counts are how the day goes, for a line on a terminal.
func (b *Recorder) Counts() (calls, answered, throttled int, step tables.Step) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.Outcomes {
		if o.Answered {
			answered++
		}
		if o.Throttled {
			throttled++
		}
	}
	for _, h := range b.ProxyUpdates {
		if h.Doc != nil {
			step = max(step, h.Doc.Step)
		}
	}
	return len(b.Outcomes), answered, throttled, step
}

// Ability is the part of its work that a host can do so many milliseconds after its start.
func ColdStartCapacity(age, coldFrom float64, warm time.Duration) float64 {
	if warm <= 0 {
		return 1
	}
	return min(1, coldFrom+(1-coldFrom)*max(0, age)/float64(warm.Milliseconds()))
}

// Tipped is the work sent to a host in the window that ends now, as a part of what a cold one bears; 1 tips it.
// It forgets what lies before the window. A warm host can't be tipped.
func ColdOverload(work *[]Work, now, born float64, cores int, coldFrom float64, warm time.Duration, tip float64, fall time.Duration) float64 {
	span := float64(fall.Milliseconds())
	for len(*work) > 0 && now-(*work)[0].At > span {
		*work = (*work)[1:]
	}
	if born == 0 || now-born >= float64(warm.Milliseconds()) {
		return 0
	}
	sum := 0.0
	for _, w := range *work {
		sum += w.Ms
	}
	// A call or two is chance, not a load.
	slack := 2 * sum / float64(max(1, len(*work)))
	return max(0, sum-slack) / (tip * ColdStartCapacity(now-born, coldFrom, warm) * span * float64(cores))
}

// LastTold is the list as it was told last.
func (b *Recorder) LastHostList() (HostList, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.HostLists) == 0 {
		return HostList{}, false
	}
	return b.HostLists[len(b.HostLists)-1], true
}

// Reached says when the last proxy held a version, in milliseconds after a time, and how many answers the slowest took
// from then on.
func (b *Recorder) Propagation(step tables.Step, from float64) (ms float64, answers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	took := map[string]int{}
	there := map[string]bool{}
	for _, h := range b.ProxyUpdates {
		if h.Doc == nil || h.At < from || there[h.Proxy] {
			continue
		}
		took[h.Proxy]++
		if h.Doc.Step >= step {
			there[h.Proxy] = true
			ms, answers = max(ms, h.At-from), max(answers, took[h.Proxy])
		}
	}
	return ms, answers
}
