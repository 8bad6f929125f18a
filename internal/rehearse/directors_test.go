package rehearse

import (
	"log/slog"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"vetchwood/internal/standin"
	"vetchwood/logic"
)

// several raises a fleet with so many directors and calls coming in, and returns once each director has its part.
func several(t *testing.T, directors, hosts, proxies int, learns bool) *stage {
	script, err := LoadScript("short-day")
	if err != nil {
		t.Fatal(err)
	}
	script.Fleet.Hosts, script.Fleet.Proxies, script.Fleet.ListDelay = hosts, proxies, 0
	script.Fleet.Directors, script.Fleet.LearnFromPeers, script.Faults = directors, learns, nil
	s, err := raise(t.Context(), script, t.TempDir(), self, slog.New(slog.DiscardHandler))
	t.Cleanup(func() {
		if s != nil {
			s.lower()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	s.began = time.Now()
	for i := range s.proxies {
		s.busy.Add(1)
		go s.call(t.Context(), i)
	}
	s.shared(t)
	return s
}

// shared waits until every director has slices and all are held.
func (s *stage) shared(t *testing.T) {
	t.Helper()
	eventually(t, "every director has its part", func() bool {
		held, all := 0.0, true
		for _, d := range s.directors {
			n := d.metric("vetchwood_slices_held")
			held, all = held+n, all && n > 0
		}
		return all && int(held) == s.running.Service.Config.Slices
	})
}

func rounds(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

func spread(all []float64) string {
	if slices.Sort(all); len(all) == 0 {
		return "none"
	}
	at := func(p float64) string {
		return strconv.FormatFloat(all[min(len(all)-1, int(p*float64(len(all))))], 'f', 0, 64)
	}
	return at(0.5) + " in the middle, " + at(0.9) + " of nine in ten, " + at(1) + " at most, of " + strconv.Itoa(len(all))
}

// A director's end and its troubles, one after the other, as many times over as VETCHWOOD_ROUNDS says: how long slices go
// without a holder, and whether any proxy is ever without a line.
func TestWithoutAHolder(t *testing.T) {
	t.Parallel()
	s := several(t, 3, 6, 4, true)
	lease := float64(leaseOf.Milliseconds())
	for _, k := range []struct {
		kind string
		last time.Duration
		most float64
	}{{"stop_director", time.Millisecond, 0}, {"kill_director", 3 * time.Second, lease + 500}, {"pause_director", 3 * time.Second, lease + 500},
		{"cut_director", 3 * time.Second, lease + 500}} {
		var each []float64
		for round := range rounds("VETCHWOOD_ROUNDS", 1) {
			if err := s.upset(t.Context(), Fault{Kind: k.kind, Duration: k.last, Director: round%3 + 1}, func(string) {}); err != nil {
				t.Fatal(err)
			}
			s.shared(t)
		}
		for _, h := range s.handed() {
			if h.Fault == k.kind {
				if h.Slices == 0 {
					t.Fatalf("%s: director %s had nothing", k.kind, h.Director)
				}
				each = append(each, h.GapsMs...)
				if h.LongestGapMs > k.most {
					t.Errorf("%s: a slice was without a holder for %.0f ms, of %.0f", k.kind, h.LongestGapMs, k.most)
				}
			}
		}
		t.Logf("%s: slices without a holder for milliseconds: %s", k.kind, spread(each))
		s.hands = nil
	}
	v := s.book.Judge(s.terms(0, s.now()))
	for _, r := range v.Rules {
		if !r.Kept {
			t.Errorf("%+v", r)
		}
	}
	if v.Backwards > 0 || v.Calls < 100 {
		t.Errorf("%d words of deposed directors followed; %d calls", v.Backwards, v.Calls)
	}
}

// A director starts over while its way to the list is shut, and a host drains of which the others were told. The slices it
// gets must stop sending there within the grace: it learns of the drain from them. VETCHWOOD_BASELINE plays the same with
// learning off.
func TestADrainIsLearnt(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var latest []float64
	var after []int
	var all sync.WaitGroup
	n := rounds("VETCHWOOD_ROUNDS", 1)
	four := make(chan struct{}, 3)
	for range n {
		all.Go(func() {
			four <- struct{}{}
			defer func() { <-four }()
			ms, sends := drainLearnt(t, os.Getenv("VETCHWOOD_BASELINE") == "")
			mu.Lock()
			defer mu.Unlock()
			latest, after = append(latest, ms), append(after, sends)
		})
	}
	all.Wait()
	kept := 0
	for _, a := range after {
		if a == 0 {
			kept++
		}
	}
	t.Logf("kept in %d of %d; latest send after the giving, ms: %s; sends past the grace: %v", kept, n, spread(latest), after)
	if os.Getenv("VETCHWOOD_BASELINE") == "" && kept < n {
		t.Errorf("kept in %d of %d", kept, n)
	}
}

// drainLearnt gives the latest send to the draining host after the slices were given, and how many came past the grace.
func drainLearnt(t *testing.T, learns bool) (latest float64, past int) {
	s := several(t, 2, 6, 4, learns)
	d, host := s.directors[1], s.hosts[2]
	d.stop(syscall.SIGKILL)
	eventually(t, "the other director has all", func() bool { return s.directors[0].metric("vetchwood_slices_held") == 64 })
	d.door.Set(standin.DoorFaults{NoList: true})
	if err := d.start(s.command); err != nil {
		t.Error(err)
		return math.Inf(1), 1
	}
	time.Sleep(leaseOf - 100*time.Millisecond) // just before it counts as steady
	s.registry.State(host.id, logic.Draining)
	eventually(t, "it has its part again", func() bool { return d.metric("vetchwood_slices_held") > 0 })
	given := map[string]float64{}
	for _, c := range s.book.InCharge() {
		if c.Director == d.name {
			given[c.Table] = c.At
		}
	}
	grace := float64(s.running.Service.Config.DrainGrace)
	time.Sleep(time.Duration(grace)*time.Millisecond + 4*time.Second)
	for _, x := range s.book.Sends() {
		if at, mine := given[x.Table]; mine && x.Host == host.Address && x.At > at {
			latest = max(latest, x.At-at)
			if x.At > at+grace {
				past++
			}
		}
	}
	log, _ := os.ReadFile(d.log)
	if learns && !strings.Contains(string(log), "host.learnt") {
		t.Errorf("nothing was learnt; %d bytes of log", len(log))
	}
	return latest, past
}
