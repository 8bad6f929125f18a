package main

import (
	"context"
	"os"
	"syscall"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/operator"
	"vetchwood/internal/store"
	"vetchwood/internal/tables"
	"vetchwood/logic"
)

func init() { cases["rollback"] = rollback }

// rollback kills the director as soon as it has answered an operator's rollback as done, ten times, and starts it again:
// what was taken on has to be there. Without the trouble it is ended with SIGTERM. WAIT is a time before the signal.
func rollback(r *run) {
	wait, _ := time.ParseDuration(os.Getenv("WAIT"))
	roster := r.roster()
	hosts := r.hosts(8, 10*time.Millisecond, nil, roster)
	s := directorSettings{name: "d1", listen: freeAddress(), admin: freeAddress(), roster: roster.URL(), wait: "20s", service: "  slices = 64\n" + dakarRoutes}
	p := r.director(s)
	ctx, c := context.Background(), operator.Client{URL: "http://" + s.admin}
	newest := func() tables.Step {
		var versions []store.Version
		must(c.Get(ctx, "versions", &versions))
		return versions[0].Step
	}
	time.Sleep(3 * time.Second)
	for n := range 10 {
		good := newest()
		// The tables change: a host drains.
		h := hosts[n%len(hosts)].id
		roster.SetState(h, logic.Draining)
		r.await("a new version", 5*time.Second, func() bool { return newest() > good })
		roster.SetState(h, logic.Up)
		time.Sleep(200 * time.Millisecond)
		var done, kept control.OperationResult
		must(c.Post(ctx, "rollback", operator.Request{To: good, LastSeen: newest(), Who: "review", Why: "wrong weights", Force: true}, &done))
		time.Sleep(wait)
		if r.trouble {
			r.signal(p, syscall.SIGKILL)
			<-p.exited
		} else {
			r.stopDirector(p)
		}
		p = r.director(s)
		must(c.Get(ctx, "pins", &kept))
		r.notef("rollback to version %d answered as done: version %d, %d tables pinned to it; after the end and a start %d tables pinned", good, done.Version,
			len(done.Tables), len(kept.Tables))
		if len(kept.Tables) < len(done.Tables) {
			r.brokenf("the rollback that was answered as done, as version %d, is lost", done.Version)
		}
		if len(kept.Tables) > 0 {
			must(c.Post(ctx, "release", operator.Request{Who: "review", Why: "mended"}, &done))
		}
		time.Sleep(500 * time.Millisecond)
	}
}
