package rehearse

import (
	"context"
	"fmt"
	"time"

	"vetchwood/internal/load"
)

// Storm is what became of one.
type StormResult struct {
	Kind       load.Kind `json:"ask"`
	Asked      int       `json:"asked"`
	Answered   int       `json:"answered"`
	Rejected   int       `json:"sent_away"`
	Failed     int       `json:"failed"`
	WorstP99Ms float64   `json:"worst_p99_ms"`
}

// storm asks the director for more than the fleet does, by proxies that it makes up.
func (s *stage) storm(ctx context.Context, t Fault, say func(string)) error {
	say(fmt.Sprintf("a storm of %s: %.0f a second, %d at once", t.StormKind, t.Rate, t.Burst))
	ends := time.Now().Add(t.Duration)
	script := &load.Script{Director: s.running.Listen, Names: "relay-9%d", Zone: s.running.Service.Zones[0], Limit: 2 * time.Second}
	st := load.Step{Name: string(t.StormKind), Kind: t.StormKind, Rate: t.Rate, Storm: t.Burst, Proxies: s.script.Fleet.SimulatedProxies,
		Connections: min(1000, s.script.Fleet.SimulatedProxies)}
	for {
		st.For = max(time.Second, time.Until(ends))
		script.Steps = []load.Step{st}
		all, err := load.Run(ctx, script, nil)
		if err != nil && ctx.Err() == nil && time.Now().Before(ends) { // the director is down: the storm is there as it comes back
			s.sleep(ctx, 50*time.Millisecond)
			continue
		}
		sum := StormResult{Kind: t.StormKind}
		for _, x := range all {
			sum.Asked += x.Asked
			sum.Answered += x.Answered
			sum.Rejected += x.Away
			sum.Failed += x.Failed
			sum.WorstP99Ms = max(sum.WorstP99Ms, x.P99)
		}
		s.mu.Lock()
		s.storms = append(s.storms, sum)
		s.mu.Unlock()
		say(fmt.Sprintf("the storm is over: %d asked, %d answered, %d sent away, %d failed", sum.Asked, sum.Answered, sum.Rejected, sum.Failed))
		return nil
	}
}
