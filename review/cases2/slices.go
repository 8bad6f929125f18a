package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["slices"] = slices }

// slices restarts a director with fewer slices in its settings, as after a busy season.
func slices(r *run) {
	const bare = 2300.0 // ms, as in the settings
	roster := r.roster()
	r.hosts(8, 10*time.Millisecond, nil, roster)
	s := directorSettings{name: "d1", listen: freeAddress(), admin: freeAddress(), roster: roster.URL(), wait: "20s", service: "  slices = 64\n" + dakarRoutes}
	d := r.director(s)
	_, address := r.relay("relay-1", "poll", "http://"+s.listen)
	time.Sleep(3 * time.Second)
	c := client()
	// refused returns the keys whose calls found no host.
	refused := func() map[string]bool {
		out := map[string]bool{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				key := fmt.Sprintf("key-%d", i)
				sent := r.now()
				status, body, err := call(context.Background(), c, "GET", "http://"+address+"/draft", map[string]string{"X-Key": key, "X-Call": key})
				r.notef("call of %s, sent at %.1f: answer %d %.90q, error %v", key, sent, status, body, err)
				if status != 200 {
					mu.Lock()
					out[key] = true
					mu.Unlock()
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		return out
	}
	if n := len(refused()); n > 0 {
		failf("%d calls were refused before the restart", n)
	}
	r.stopDirector(d)
	if r.trouble {
		s.service = "  slices = 48\n" + dakarRoutes
	}
	r.director(s)
	r.notef("the director is back, with %q", s.service[:13])
	time.Sleep(5 * time.Second)
	first, from := refused(), r.now()
	time.Sleep(time.Duration(4*bare) * time.Millisecond)
	second := refused()
	for key := range first {
		if second[key] {
			r.brokenf("calls of %s found no line to pick, now and %.1f ms ago; the limit is %.1f", key, r.now()-from, bare+slack)
		}
	}
}
