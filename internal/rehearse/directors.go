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

	"vetchwood/internal/judge"
	"vetchwood/internal/settings"
	"vetchwood/internal/standin"
)

// director is one of those that a stage raises, as a process of its own.
type director struct {
	name, file, log string
	running         *settings.Running
	door            *standin.Door // its way to the list and the leases, where there are several
	facts           *standin.Door // the others' way to what it knows

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{} // closed at the end of the process at hand
	failed error         // and how it ended
	most   float64       // watermark of its channel, over all its lives
	dense  float64
}

var errEnded = errors.New("the director ended")

// leaseOf is a rehearsal's time to live: short, so that a day can hold many.
const leaseOf = 2 * time.Second

// prefix of the keys that leases are held by.
const prefix = "vetchwood"

// prepare writes a director's settings.
func (s *stage) prepare(i int) (err error) {
	d := &director{name: "d" + strconv.Itoa(i+1)}
	if d.file, d.log = filepath.Join(s.dir, "director.hcl"), filepath.Join(s.dir, "director.log"); i > 0 {
		d.file, d.log = filepath.Join(s.dir, d.name+".hcl"), filepath.Join(s.dir, d.name+".log")
	}
	fill := map[string]string{"Store": filepath.Join(s.dir, "director.db"), "Roster": s.registry.URL(), "Name": d.name, "Custody": "", "MQTT": "",
		"Listen": s.script.Listen, "Admin": s.script.Admin, "Proxies": strconv.Itoa(max(24, s.script.Fleet.Proxies+s.script.Fleet.SimulatedProxies)),
		"Lines": strconv.Itoa(8000 * max(1, (s.script.Fleet.Proxies+s.script.Fleet.SimulatedProxies)/12))}
	if s.script.Fleet.Directors > 1 {
		if d.door, err = s.registry.Open(d.name, uint64(i)); err != nil {
			return err
		}
		fill["Store"], fill["Roster"] = filepath.Join(s.dir, d.name+".db"), d.door.URL()
		if fill["Listen"], err = freePort(); err != nil {
			return err
		}
		if d.facts, err = standin.Before(d.name, uint64(i), fill["Listen"]); err != nil {
			return err
		}
		fill["Custody"] = fmt.Sprintf("custody {\n  prefix = %q\n  ttl    = %q\n  advertise = %q\n}\n", prefix, leaseOf, d.facts.URL())
		if !s.script.Fleet.LearnFromPeers {
			fill["Custody"] = strings.Replace(fill["Custody"], "ttl ", "learn  = false\n  ttl ", 1)
		}
	}
	for _, at := range []string{"Listen", "Admin"} {
		if _, port, _ := net.SplitHostPort(fill[at]); port == "0" || at == "Admin" && i > 0 {
			if fill[at], err = freePort(); err != nil {
				return err
			}
		}
	}
	if s.script.Fleet.Front != "poll" {
		port, err := freePort()
		if err != nil {
			return err
		}
		fill["MQTT"] = fmt.Sprintf("mqtt {\n  listen = %q\n}\n", port)
	}
	t, err := template.New("director.hcl").Option("missingkey=error").Parse(s.script.Director)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err = t.Execute(&text, fill); err != nil {
		return err
	}
	if err = os.WriteFile(d.file, text.Bytes(), 0o600); err != nil {
		return err
	}
	if d.running, err = settings.Load(d.file); err != nil {
		return err
	}
	s.directors = append(s.directors, d)
	return nil
}

// charges has the store of leases tell the book who holds what.
func (s *stage) charges() {
	s.registry.Locks.Changed = func(key, session, holder string, count uint64, value func(string) string) {
		number, is := strings.CutPrefix(key, prefix+"/slices/")
		slice, err := strconv.Atoi(number)
		if !is || err != nil {
			return
		}
		director := ""
		if session != "" {
			director = strings.TrimPrefix(holder, prefix+" ")
		}
		base, _ := strconv.ParseUint(value(prefix+"/epoch"), 10, 64)
		s.book.Charged(judge.Charge{At: s.now(), Table: strconv.Itoa(slice), Director: director, Fence: base + count})
	}
}

// urls are where proxies find the directors, and named gives a director's name by one of them.
func (s *stage) urls(mqtt bool) (out []string) {
	for _, d := range s.directors {
		if mqtt {
			out = append(out, "mqtt://"+d.running.MQTT.Listen)
			continue
		}
		out = append(out, "http://"+d.running.Listen)
	}
	return out
}

func (s *stage) named(url string) string {
	if len(s.directors) > 1 {
		for _, d := range s.directors {
			if url == "http://"+d.running.Listen || d.running.MQTT != nil && url == "mqtt://"+d.running.MQTT.Listen {
				return d.name
			}
		}
	}
	return ""
}

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
	go func(c *exec.Cmd) { d.failed = c.Wait(); close(ended) }(d.cmd)
	d.ended = ended
	return nil
}

// stop ends it with a signal, after a last look at its figures.
func (d *director) stop(sig os.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	if sig != syscall.SIGKILL || d.door == nil {
		d.readFigures()
	}
	d.cmd.Process.Signal(sig)
	select {
	case <-d.ended:
	case <-time.After(15 * time.Second):
		d.cmd.Process.Kill()
		<-d.ended
	}
	d.cmd = nil
}

// pause stops it in its tracks, or lets it go on.
func (d *director) pause(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		d.cmd.Process.Signal(map[bool]os.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[on])
	}
}

func (d *director) readFigures() {
	d.most = math.Max(d.most, d.metric("vetchwood_channel_most_lines"))
	d.dense = math.Max(d.dense, d.metric("vetchwood_messages_most"))
}

// metric is a figure of its own, 0 if it does not answer.
func (d *director) metric(name string) float64 {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + d.running.Admin + "/metrics")
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	var b bytes.Buffer
	b.ReadFrom(res.Body)
	return metric(b.Bytes(), name)
}

func (s *stage) startDirector() error       { return s.directors[0].start(s.command) }
func (s *stage) stopDirector(sig os.Signal) { s.directors[0].stop(sig) }
func (s *stage) logFile() string            { return filepath.Join(s.dir, "director.log") }
func (s *stage) all(do func(*director) error) (err error) {
	for _, d := range s.directors {
		err = errors.Join(err, do(d))
	}
	return err
}

// Handed is how slices got along after a director's trouble: for how long they had no holder by the store of leases, and
// how long it took after that until every proxy held the new holder's word.
type Handover struct {
	Fault         string    `json:"trouble"`
	Director      string    `json:"director"`
	Slices        int       `json:"slices"` // that it held
	LongestGapMs  float64   `json:"without_holder_ms"`
	GapsMs        []float64 `json:"-"`
	PropagationMs float64   `json:"until_told_ms"`

	from, until float64
}

// upset plays a director's trouble.
func (s *stage) upset(ctx context.Context, t Fault, say func(string)) error {
	d := s.directors[t.Director-1]
	from, held := s.now(), int(d.metric("vetchwood_slices_held"))
	s.mu.Lock()
	s.hands = append(s.hands, Handover{Fault: t.Kind, Director: d.name, Slices: held, from: from})
	mine := len(s.hands) - 1
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.hands[mine].until = s.now()
	}()
	who := "the director"
	if len(s.directors) > 1 {
		who = "director " + d.name
	}
	var over func() error
	switch t.Kind {
	case "kill_director":
		say(who + " is killed")
		d.stop(syscall.SIGKILL)
		over = func() error { say(who + " starts over"); return d.start(s.command) }
	case "stop_director":
		say(who + " is asked to stop")
		d.stop(syscall.SIGTERM)
		over = func() error { say(who + " starts over"); return d.start(s.command) }
	case "pause_director":
		say(who + " is paused")
		d.pause(true)
		over = func() error { say(who + " goes on"); d.pause(false); return nil }
	case "cut_director":
		say(who + " is cut off from the list and the leases")
		d.door.Set(standin.DoorFaults{Cut: true})
		over = func() error { say(who + " is back"); d.door.Set(standin.DoorFaults{}); return nil }
	case "lossy_director":
		say(who + " loses requests and answers")
		d.door.Set(standin.DoorFaults{Lose: t.LossProbability, Slow: 30 * time.Millisecond})
		over = func() error { d.door.Set(standin.DoorFaults{}); return nil }
	case "cut_peer":
		say("no other director hears from " + d.name + ", which hears from them")
		d.facts.Set(standin.DoorFaults{Cut: true})
		over = func() error { d.facts.Set(standin.DoorFaults{}); return nil }
	case "flap_leases":
		say(who + " loses its session again and again")
		for end := time.Now().Add(t.Duration); time.Now().Before(end); {
			s.registry.Locks.End(prefix + " " + d.name)
			if !s.sleep(ctx, 400*time.Millisecond) {
				return nil
			}
		}
		t.Duration, over = 0, func() error { return nil }
	}
	on := s.sleep(ctx, t.Duration)
	if on || t.Kind == "pause_director" {
		return over()
	}
	return nil
}

// handed reads from the book how each director's trouble went.
func (s *stage) handed() []Handover {
	if len(s.directors) < 2 {
		return nil
	}
	for i := range s.hands {
		h := &s.hands[i]
		until := h.until + 5000 // what began at the trouble's end belongs to it
		switch h.Fault {
		case "stop_director", "flap_leases", "lossy_director", "cut_peer":
			for _, g := range s.book.Gaps(h.from, h.until) {
				h.GapsMs = append(h.GapsMs, g.Ms)
				h.LongestGapMs = max(h.LongestGapMs, g.Ms)
			}
		default:
			h.GapsMs = s.book.Without(h.Director, h.from, until, h.Fault != "cut_director")
			for _, ms := range h.GapsMs {
				h.LongestGapMs = max(h.LongestGapMs, ms)
			}
		}
		h.PropagationMs = s.book.Words(h.from, h.until)
	}
	return s.hands
}

// leasesAway is a store that answers nobody. Who held a slice is in charge of it until the lease is over that was
// renewed last; from then on nobody can know, until it is back.
func (s *stage) leasesAway(ctx context.Context, long time.Duration) {
	s.registry.Locks.Away(true)
	if !s.sleep(ctx, min(long, leaseOf)) {
		return
	}
	held := s.book.InCharge()
	for _, c := range held {
		s.book.Charged(judge.Charge{At: s.now(), Table: c.Table})
	}
	s.sleep(ctx, long-leaseOf)
	s.registry.Locks.Away(false)
	for _, c := range held {
		c.At = s.now()
		s.book.Charged(c)
	}
}
