package rehearse

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"vetchwood/internal/settings"
	"vetchwood/internal/standin"
	"vetchwood/internal/verdict"
)

// director is a director of the environment, which runs as a separate process.
type director struct {
	name, file, log string
	settings        *settings.Director
	registryLink    *standin.Link // its link to the registry and the lease store; nil if it is the only director
	peerLink        *standin.Link // its peers' link to its state; nil if it is the only director

	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{} // closed when the current process exits
	exitErr        error         // result of the exited process; valid once exited is closed
	maxQueuedLines float64       // most lines ever queued in its channel, over all its processes
	maxMessages    float64       // most messages to one proxy in a message window, over all its processes
}

var errDirectorExited = errors.New("the director exited")

// leaseTTL is the time to live of leases in a rehearsal. It is short so that a day covers many expirations.
const leaseTTL = 2 * time.Second

// leasePrefix is the prefix of the keys of leases in the lease store, and of the names of their sessions.
const leasePrefix = "vetchwood"

// addDirector writes the settings file of director i and loads it. Several directors share the ownership of slices, and
// each is then reached and reaches the registry through links that faults can cut.
func (s *environment) addDirector(i int) (err error) {
	d := &director{name: "d" + strconv.Itoa(i+1)}
	if d.file, d.log = filepath.Join(s.dir, "director.hcl"), filepath.Join(s.dir, "director.log"); i > 0 {
		d.file, d.log = filepath.Join(s.dir, d.name+".hcl"), filepath.Join(s.dir, d.name+".log")
	}
	values := map[string]string{"Store": filepath.Join(s.dir, "director.db"), "Roster": s.registry.URL(), "Name": d.name, "Custody": "", "MQTT": "",
		"Listen": s.script.Listen, "Admin": s.script.Admin, "Proxies": strconv.Itoa(max(24, s.script.Fleet.Proxies+s.script.Fleet.SimulatedProxies)),
		"Lines": strconv.Itoa(8000 * max(1, (s.script.Fleet.Proxies+s.script.Fleet.SimulatedProxies)/12))}
	if s.script.Fleet.Directors > 1 {
		if d.registryLink, err = s.registry.NewLink(d.name, uint64(i)); err != nil {
			return err
		}
		values["Store"], values["Roster"] = filepath.Join(s.dir, d.name+".db"), d.registryLink.URL()
		if values["Listen"], err = freeAddress(); err != nil {
			return err
		}
		if d.peerLink, err = standin.NewLinkTo(d.name, uint64(i), values["Listen"]); err != nil {
			return err
		}
		values["Custody"] = fmt.Sprintf("custody {\n  prefix = %q\n  ttl    = %q\n  advertise = %q\n}\n", leasePrefix, leaseTTL, d.peerLink.URL())
		if !s.script.Fleet.LearnFromPeers {
			values["Custody"] = strings.Replace(values["Custody"], "ttl ", "learn  = false\n  ttl ", 1)
		}
	}
	for _, at := range []string{"Listen", "Admin"} {
		if _, port, _ := net.SplitHostPort(values[at]); port == "0" || at == "Admin" && i > 0 {
			if values[at], err = freeAddress(); err != nil {
				return err
			}
		}
	}
	if s.script.Fleet.Front != "poll" {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		values["MQTT"] = fmt.Sprintf("mqtt {\n  listen = %q\n}\n", address)
	}
	t, err := template.New("director.hcl").Option("missingkey=error").Parse(s.script.Director)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err = t.Execute(&text, values); err != nil {
		return err
	}
	if err = os.WriteFile(d.file, text.Bytes(), 0o600); err != nil {
		return err
	}
	if d.settings, err = settings.LoadDirector(d.file); err != nil {
		return err
	}
	s.directors = append(s.directors, d)
	return nil
}

// recordOwnership records every change of the ownership of a slice as the lease store makes it. The fence of an owner
// is the stored epoch plus the lock index of the key.
func (s *environment) recordOwnership() {
	s.registry.KV.OnLockChange = func(key, session, holder string, lockIndex uint64, value func(string) string) {
		number, found := strings.CutPrefix(key, leasePrefix+"/slices/")
		slice, err := strconv.Atoi(number)
		if !found || err != nil {
			return
		}
		director := ""
		if session != "" {
			director = strings.TrimPrefix(holder, leasePrefix+" ")
		}
		epoch, _ := strconv.ParseUint(value(leasePrefix+"/epoch"), 10, 64)
		s.recorder.AddOwnership(verdict.Ownership{At: s.now(), Table: strconv.Itoa(slice), Director: director, Fence: epoch + lockIndex})
	}
}

// directorURLs returns the URLs at which proxies follow the directors.
func (s *environment) directorURLs(mqtt bool) (out []string) {
	for _, d := range s.directors {
		if mqtt {
			out = append(out, "mqtt://"+d.settings.MQTT.Listen)
			continue
		}
		out = append(out, "http://"+d.settings.Listen)
	}
	return out
}

// directorName returns the name of the director with the given URL, or "" in an environment with a single director.
func (s *environment) directorName(url string) string {
	if len(s.directors) > 1 {
		for _, d := range s.directors {
			if url == "http://"+d.settings.Listen || d.settings.MQTT != nil && url == "mqtt://"+d.settings.MQTT.Listen {
				return d.name
			}
		}
	}
	return ""
}

// start starts the director's process and appends its standard error to its log file.
func (d *director) start(command func(string) *exec.Cmd) error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd = command(d.file)
	d.cmd.Stderr = log
	if err := d.cmd.Start(); err != nil {
		d.cmd = nil
		return err
	}
	ended := make(chan struct{})
	go func(c *exec.Cmd) { d.exitErr = c.Wait(); close(ended) }(d.cmd)
	d.exited = ended
	return nil
}

// stop signals the process and waits for its exit; after 15 s it is killed. The metrics are read before the signal,
// except when one of several directors is killed.
func (d *director) stop(sig os.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	if sig != syscall.SIGKILL || d.registryLink == nil {
		d.readMetrics()
	}
	d.cmd.Process.Signal(sig)
	select {
	case <-d.exited:
	case <-time.After(15 * time.Second):
		d.cmd.Process.Kill()
		<-d.exited
	}
	d.cmd = nil
}

// setPaused suspends the process (SIGSTOP) or resumes it (SIGCONT).
func (d *director) setPaused(paused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		d.cmd.Process.Signal(map[bool]os.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[paused])
	}
}

// readMetrics updates the maxima from the director's metrics.
func (d *director) readMetrics() {
	d.maxQueuedLines = math.Max(d.maxQueuedLines, d.metric("vetchwood_channel_most_lines"))
	d.maxMessages = math.Max(d.maxMessages, d.metric("vetchwood_messages_most"))
}

// metric returns one of the director's metrics, or 0 if the director does not answer within 1 s.
func (d *director) metric(name string) float64 {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + d.settings.Admin + "/metrics")
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	var b bytes.Buffer
	b.ReadFrom(res.Body)
	return parseMetric(b.Bytes(), name)
}

func (s *environment) startDirector() error       { return s.directors[0].start(s.command) }
func (s *environment) stopDirector(sig os.Signal) { s.directors[0].stop(sig) }
func (s *environment) directorLog() string        { return filepath.Join(s.dir, "director.log") }
func (s *environment) forEachDirector(f func(*director) error) (err error) {
	for _, d := range s.directors {
		err = errors.Join(err, f(d))
	}
	return err
}

// Handover describes the handover of slices around a director's fault: for how long slices had no owner according to
// the lease store, and how long it took from then until every proxy held the new owner's tables.
type Handover struct {
	Fault         string    `json:"trouble"`
	Director      string    `json:"director"`
	Slices        int       `json:"slices"` // owned by the director when the fault began
	LongestGapMs  float64   `json:"without_holder_ms"`
	GapsMs        []float64 `json:"-"`
	PropagationMs float64   `json:"until_told_ms"`

	from, until float64
}

// injectDirectorFault applies a fault of a director, ends it after its duration, and records the period for the report.
func (s *environment) injectDirectorFault(ctx context.Context, t Fault, report func(string)) error {
	d := s.directors[t.Director-1]
	from, held := s.now(), int(d.metric("vetchwood_slices_held"))
	s.mu.Lock()
	s.handovers = append(s.handovers, Handover{Fault: t.Kind, Director: d.name, Slices: held, from: from})
	index := len(s.handovers) - 1
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.handovers[index].until = s.now()
	}()
	name := "the director"
	if len(s.directors) > 1 {
		name = "director " + d.name
	}
	var end func() error
	switch t.Kind {
	case "kill_director":
		report(name + " is killed")
		d.stop(syscall.SIGKILL)
		end = func() error { report(name + " is started again"); return d.start(s.command) }
	case "stop_director":
		report(name + " is sent SIGTERM")
		d.stop(syscall.SIGTERM)
		end = func() error { report(name + " is started again"); return d.start(s.command) }
	case "pause_director":
		report(name + " is paused")
		d.setPaused(true)
		end = func() error { report(name + " is resumed"); d.setPaused(false); return nil }
	case "cut_director":
		report(name + " is cut off from the host list and the lease store")
		d.registryLink.SetFaults(standin.LinkFaults{Cut: true})
		end = func() error {
			report(name + " is reconnected")
			d.registryLink.SetFaults(standin.LinkFaults{})
			return nil
		}
	case "lossy_director":
		report(name + " loses requests to the registry and answers from it")
		d.registryLink.SetFaults(standin.LinkFaults{LossRate: t.LossProbability, Delay: 30 * time.Millisecond})
		end = func() error { d.registryLink.SetFaults(standin.LinkFaults{}); return nil }
	case "cut_peer":
		report("the other directors cannot reach " + d.name + ", but it can reach them")
		d.peerLink.SetFaults(standin.LinkFaults{Cut: true})
		end = func() error { d.peerLink.SetFaults(standin.LinkFaults{}); return nil }
	case "flap_leases":
		report(name + " loses its session every 400 ms")
		for deadline := time.Now().Add(t.Duration); time.Now().Before(deadline); {
			s.registry.KV.InvalidateSessions(leasePrefix + " " + d.name)
			if !s.sleep(ctx, 400*time.Millisecond) {
				return nil
			}
		}
		t.Duration, end = 0, func() error { return nil }
	}
	completed := s.sleep(ctx, t.Duration)
	if completed || t.Kind == "pause_director" {
		return end()
	}
	return nil
}

// measureHandovers computes from the records how the slices were handed over around each fault of a director. It
// returns nil for a single director.
func (s *environment) measureHandovers() []Handover {
	if len(s.directors) < 2 {
		return nil
	}
	for i := range s.handovers {
		h := &s.handovers[i]
		until := h.until + 5000 // handovers within 5 s of the end of the fault are attributed to it
		switch h.Fault {
		case "stop_director", "flap_leases", "lossy_director", "cut_peer":
			for _, g := range s.recorder.Gaps(h.from, h.until) {
				h.GapsMs = append(h.GapsMs, g.Ms)
				h.LongestGapMs = max(h.LongestGapMs, g.Ms)
			}
		default:
			h.GapsMs = s.recorder.FailoverTimes(h.Director, h.from, until, h.Fault != "cut_director")
			for _, ms := range h.GapsMs {
				h.LongestGapMs = max(h.LongestGapMs, ms)
			}
		}
		h.PropagationMs = s.recorder.LongestHandover(h.from, h.until)
	}
	return s.handovers
}

// stopLeaseStore makes the lease store unavailable for a while. The owner of a slice stays in charge until its last
// renewed lease expires; after that the owner is unknown until the store is back, so the records show none for that
// time.
func (s *environment) stopLeaseStore(ctx context.Context, duration time.Duration) {
	s.registry.KV.SetUnavailable(true)
	if !s.sleep(ctx, min(duration, leaseTTL)) {
		return
	}
	held := s.recorder.Owners()
	for _, c := range held {
		s.recorder.AddOwnership(verdict.Ownership{At: s.now(), Table: c.Table})
	}
	s.sleep(ctx, duration-leaseTTL)
	s.registry.KV.SetUnavailable(false)
	for _, c := range held {
		c.At = s.now()
		s.recorder.AddOwnership(c)
	}
}
