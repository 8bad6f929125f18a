package rehearse

import (
	"context"
	"fmt"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/operator"
	"vetchwood/internal/tables"
)

// RollbackResult describes a rollback and how it reached the proxies, as observed at the proxies.
type RollbackResult struct {
	To               tables.Step `json:"to"`
	Version          tables.Step `json:"version"`
	Tables           int         `json:"tables"`
	MovedFraction    float64     `json:"moved"`
	LinesNotHonoured int         `json:"lines_not_honoured"`
	Proxies          int         `json:"proxies"`
	MostPolls        int         `json:"most_polls"` // most answers that a proxy needed to hold the version
	SlowestMs        float64     `json:"slowest_ms"`
}

func (s *environment) operatorClient() operator.Client {
	return operator.Client{URL: "http://" + s.settings.Admin}
}

// rollback returns to the tables of the day's start, as an operator does, and waits at most 10 s until every proxy
// holds them.
func (s *environment) rollback(ctx context.Context, report func(string)) error {
	var o control.OperationResult
	began := s.now()
	if err := s.operatorClient().Post(ctx, "rollback", operator.Request{To: s.startVersion, LastSeen: 1 << 60, Who: "rehearsal", Why: "the day's script", Force: true}, &o); err != nil {
		return err
	}
	u := RollbackResult{To: s.startVersion, Version: o.Version, Tables: len(o.Tables), MovedFraction: o.MovedFraction, Proxies: len(s.proxies)}
	for _, t := range o.Tables {
		u.LinesNotHonoured += len(t.Deviations)
	}
	report(fmt.Sprintf("an operator rolls back to version %d: new version %d, %d tables, %d lines not honoured", s.startVersion, o.Version, u.Tables, u.LinesNotHonoured))
	for end := time.Now().Add(10 * time.Second); ; {
		updated := 0
		for _, p := range s.proxies {
			if d := p.Document(); d != nil && d.Step >= o.Version {
				updated++
			}
		}
		if updated == len(s.proxies) {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d proxies hold version %d after 10 s", updated, len(s.proxies), o.Version)
		}
		if !s.sleep(ctx, 2*time.Millisecond) {
			return nil
		}
	}
	u.SlowestMs, u.MostPolls = s.recorder.Propagation(o.Version, began)
	s.mu.Lock()
	s.rollbacks = append(s.rollbacks, u)
	s.mu.Unlock()
	report(fmt.Sprintf("all %d proxies hold the version: the slowest after %.0f ms, %d polls at most", u.Proxies, u.SlowestMs, u.MostPolls))
	return nil
}
