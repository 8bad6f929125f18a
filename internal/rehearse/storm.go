package rehearse

import (
	"context"
	"fmt"
	"time"

	"vetchwood/internal/load"
)

// StormResult counts the requests of a storm.
type StormResult struct {
	Kind       load.Kind `json:"ask"`
	Scheduled  int       `json:"asked"`
	Answered   int       `json:"answered"`
	Rejected   int       `json:"sent_away"`
	Failed     int       `json:"failed"`
	WorstP99Ms float64   `json:"worst_p99_ms"`
}

// runStorm sends requests from simulated proxies to the first director, on top of what the fleet sends.
func (s *environment) runStorm(ctx context.Context, t Fault, report func(string)) error {
	report(fmt.Sprintf("storm of %s starts: %.0f requests per second, %d at once at its start", t.StormKind, t.Rate, t.Burst))
	end := time.Now().Add(t.Duration)
	script := &load.Script{Director: s.settings.Listen, NameFormat: "relay-9%d", Zone: s.settings.Service.Zones[0], TimeLimit: 2 * time.Second}
	st := load.Step{Name: string(t.StormKind), Kind: t.StormKind, Rate: t.Rate, Burst: t.Burst, Proxies: s.script.Fleet.SimulatedProxies,
		Connections: min(1000, s.script.Fleet.SimulatedProxies)}
	for {
		st.Duration = max(time.Second, time.Until(end))
		script.Steps = []load.Step{st}
		all, err := load.Run(ctx, script, nil)
		if err != nil && ctx.Err() == nil && time.Now().Before(end) { // the director is down; the storm continues once it is back
			s.sleep(ctx, 50*time.Millisecond)
			continue
		}
		sum := StormResult{Kind: t.StormKind}
		for _, x := range all {
			sum.Scheduled += x.Scheduled
			sum.Answered += x.Answered
			sum.Rejected += x.Rejected
			sum.Failed += x.Failed
			sum.WorstP99Ms = max(sum.WorstP99Ms, x.P99)
		}
		s.mu.Lock()
		s.storms = append(s.storms, sum)
		s.mu.Unlock()
		report(fmt.Sprintf("the storm has ended: %d requests, %d answered, %d rejected, %d failed", sum.Scheduled, sum.Answered, sum.Rejected, sum.Failed))
		return nil
	}
}
