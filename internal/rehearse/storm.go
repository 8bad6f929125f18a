package rehearse

import (
	"context"
	"fmt"
	"time"

	"vetchwood/internal/load"
)

// Storm is what became of one.
type Storm struct {
	Ask      load.Kind `json:"ask"`
	Asked    int       `json:"asked"`
	Answered int       `json:"answered"`
	Away     int       `json:"sent_away"`
	Failed   int       `json:"failed"`
	SlowMs   float64   `json:"worst_p99_ms"`
}

// storm asks the director for more than the fleet does, by proxies that it makes up.
func (s *stage) storm(ctx context.Context, t Trouble, say func(string)) error {
	say(fmt.Sprintf("a storm of %s: %.0f a second, %d at once", t.Ask, t.Rate, t.Burst))
	ends := time.Now().Add(t.Last)
	script := &load.Script{Director: s.running.Listen, NameFormat: "relay-9%d", Zone: s.running.Service.Zones[0], TimeLimit: 2 * time.Second}
	st := load.Step{Name: string(t.Ask), Kind: t.Ask, Rate: t.Rate, Burst: t.Burst, Proxies: s.script.Fleet.Phantoms,
		Connections: min(1000, s.script.Fleet.Phantoms)}
	for {
		st.Duration = max(time.Second, time.Until(ends))
		script.Steps = []load.Step{st}
		all, err := load.Run(ctx, script, nil)
		if err != nil && ctx.Err() == nil && time.Now().Before(ends) { // the director is down: the storm is there as it comes back
			s.sleep(ctx, 50*time.Millisecond)
			continue
		}
		sum := Storm{Ask: t.Ask}
		for _, x := range all {
			sum.Asked += x.Scheduled
			sum.Answered += x.Answered
			sum.Away += x.Rejected
			sum.Failed += x.Failed
			sum.SlowMs = max(sum.SlowMs, x.P99)
		}
		s.mu.Lock()
		s.storms = append(s.storms, sum)
		s.mu.Unlock()
		say(fmt.Sprintf("the storm is over: %d asked, %d answered, %d sent away, %d failed", sum.Asked, sum.Answered, sum.Away, sum.Failed))
		return nil
	}
}
