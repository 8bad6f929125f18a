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

// startSharedFleet starts a fleet with several directors under load, and returns once each director owns slices.
func startSharedFleet(t *testing.T, directors, hosts, proxies int, learn bool) *environment {
	script, err := LoadScript("short-day")
	if err != nil {
		t.Fatal(err)
	}
	script.Fleet.Hosts, script.Fleet.Proxies, script.Fleet.ListDelay = hosts, proxies, 0
	script.Fleet.Directors, script.Fleet.LearnFromPeers, script.Faults = directors, learn, nil
	s, err := startEnvironment(t.Context(), script, t.TempDir(), directorCommand, slog.New(slog.DiscardHandler))
	t.Cleanup(func() {
		if s != nil {
			s.stop()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	s.dayStart = time.Now()
	for i := range s.proxies {
		s.pending.Add(1)
		go s.generateCalls(t.Context(), i)
	}
	s.awaitSharedSlices(t)
	return s
}

// awaitSharedSlices waits until every director owns slices and every slice has an owner.
func (s *environment) awaitSharedSlices(t *testing.T) {
	t.Helper()
	eventually(t, "every director owns slices", func() bool {
		held, all := 0.0, true
		for _, d := range s.directors {
			n := d.metric("vetchwood_slices_held")
			held, all = held+n, all && n > 0
		}
		return all && int(held) == s.settings.Service.Config.Slices
	})
}

// envInt returns the value of an environment variable, or fallback if it is not set to a whole number.
func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// summarize sorts the values and returns their median, 90th percentile and maximum as text.
func summarize(all []float64) string {
	if slices.Sort(all); len(all) == 0 {
		return "none"
	}
	at := func(p float64) string {
		return strconv.FormatFloat(all[min(len(all)-1, int(p*float64(len(all))))], 'f', 0, 64)
	}
	return at(0.5) + " (median), " + at(0.9) + " (90th percentile), " + at(1) + " (maximum), of " + strconv.Itoa(len(all))
}

// Guards against slices that stay without an owner, and proxies without lines, when a director stops, is killed, is
// paused or is cut off. VETCHWOOD_ROUNDS sets how often each fault is repeated.
func TestWithoutAHolder(t *testing.T) {
	t.Parallel()
	s := startSharedFleet(t, 3, 6, 4, true)
	lease := float64(leaseTTL.Milliseconds())
	for _, k := range []struct {
		kind     string
		duration time.Duration
		limit    float64
	}{{"stop_director", time.Millisecond, 0}, {"kill_director", 3 * time.Second, lease + 500}, {"pause_director", 3 * time.Second, lease + 500},
		{"cut_director", 3 * time.Second, lease + 500}} {
		var each []float64
		for round := range envInt("VETCHWOOD_ROUNDS", 1) {
			if err := s.injectDirectorFault(t.Context(), Fault{Kind: k.kind, Duration: k.duration, Director: round%3 + 1}, func(string) {}); err != nil {
				t.Fatal(err)
			}
			s.awaitSharedSlices(t)
		}
		for _, h := range s.measureHandovers() {
			if h.Fault == k.kind {
				if h.Slices == 0 {
					t.Fatalf("%s: director %s owned no slices", k.kind, h.Director)
				}
				each = append(each, h.GapsMs...)
				if h.LongestGapMs > k.limit {
					t.Errorf("%s: a slice had no owner for %.0f ms; the limit is %.0f ms", k.kind, h.LongestGapMs, k.limit)
				}
			}
		}
		t.Logf("%s: slices without an owner, in ms: %s", k.kind, summarize(each))
		s.handovers = nil
	}
	v := s.recorder.Judge(s.criteria(0, s.now()))
	for _, r := range v.Rules {
		if !r.Kept {
			t.Errorf("%+v", r)
		}
	}
	if v.Regressions > 0 || v.Calls < 100 {
		t.Errorf("proxies followed tables of former owners %d times; %d calls, want at least 100", v.Regressions, v.Calls)
	}
}

// Guards against calls to a draining host through a director that restarted without access to the host list. The drain
// is known only to its peer, from which the director must learn of it; the slices that it receives must stop sending to
// the host within the grace period. VETCHWOOD_BASELINE runs the same without learning from peers.
func TestADrainIsLearnt(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var latest []float64
	var after []int
	var all sync.WaitGroup
	n := envInt("VETCHWOOD_ROUNDS", 1)
	slots := make(chan struct{}, 3)
	for range n {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			ms, sends := drainWithoutList(t, os.Getenv("VETCHWOOD_BASELINE") == "")
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
	t.Logf("grace period kept in %d of %d rounds; latest try after the handover, ms: %s; tries after the grace period: %v", kept, n, summarize(latest), after)
	if os.Getenv("VETCHWOOD_BASELINE") == "" && kept < n {
		t.Errorf("grace period kept in %d of %d rounds", kept, n)
	}
}

// drainWithoutList returns the latest try at the draining host after the handover of its slice, in ms, and the number
// of tries after the grace period.
func drainWithoutList(t *testing.T, learn bool) (latest float64, past int) {
	s := startSharedFleet(t, 2, 6, 4, learn)
	d, host := s.directors[1], s.hosts[2]
	d.stop(syscall.SIGKILL)
	eventually(t, "the other director owns all slices", func() bool { return s.directors[0].metric("vetchwood_slices_held") == 64 })
	d.registryLink.SetFaults(standin.LinkFaults{BlockDiscovery: true})
	if err := d.start(s.command); err != nil {
		t.Error(err)
		return math.Inf(1), 1
	}
	time.Sleep(leaseTTL - 100*time.Millisecond) // just before the director counts as steady
	s.registry.SetState(host.id, logic.Draining)
	eventually(t, "the restarted director owns slices again", func() bool { return d.metric("vetchwood_slices_held") > 0 })
	assigned := map[string]float64{}
	for _, c := range s.recorder.Owners() {
		if c.Director == d.name {
			assigned[c.Table] = c.At
		}
	}
	grace := float64(s.settings.Service.Config.DrainGrace)
	time.Sleep(time.Duration(grace)*time.Millisecond + 4*time.Second)
	for _, x := range s.recorder.TriesSoFar() {
		if at, owned := assigned[x.Table]; owned && x.Host == host.Address && x.At > at {
			latest = max(latest, x.At-at)
			if x.At > at+grace {
				past++
			}
		}
	}
	log, _ := os.ReadFile(d.log)
	if learn && !strings.Contains(string(log), "host.learnt") {
		t.Errorf("no host.learnt event in %d bytes of log", len(log))
	}
	return latest, past
}
