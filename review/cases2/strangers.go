package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { cases["strangers"] = strangers }

// residentMiB returns the memory that a process holds.
func residentMiB(pid int) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, l := range strings.Split(string(b), "\n") {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "VmRSS:" {
			kib, _ := strconv.Atoi(f[1])
			return kib / 1024
		}
	}
	return 0
}

// strangers is no case: it shows an entry of KNOWN-RED.txt (TestAcceptingThroughShortages) with processes. To a director
// with 256 descriptors 400 strangers connect, say nothing, and leave, twice.
func strangers(r *run) {
	const memory = 192
	r.descriptors = 256
	roster := r.roster()
	s := directorSettings{name: "d1", listen: freeAddress(), admin: freeAddress(), roster: roster.URL(), wait: "20s", service: "  slices = 48\n" + dakarRoutes}
	file := strings.Replace(s.file(), "  zone   = \"a\"\n", fmt.Sprintf("  zone   = \"a\"\n  memory = \"%dMiB\"\n", memory), 1)
	p := r.startDirector("d1", r.write("d1.hcl", file), s.admin)
	for round := range 2 {
		var all []net.Conn
		for range 400 {
			if c, err := net.DialTimeout("tcp", s.listen, time.Second); err == nil {
				all = append(all, c)
			}
		}
		for range 4 {
			time.Sleep(time.Second)
			r.notef("round %d, %d strangers: %d MiB, %.1f s of processor time", round+1, len(all), residentMiB(p.Process.Pid), cpuSeconds(p.Process.Pid))
		}
		if n := residentMiB(p.Process.Pid); n > memory {
			r.brokenf("the director holds %d MiB, and may use %d", n, memory)
		}
		for _, c := range all {
			c.Close()
		}
		time.Sleep(3 * time.Second)
	}
}
