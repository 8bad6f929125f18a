package rehearse

import (
	"context"
	"fmt"
	"time"

	"vetchwood/internal/control"
	"vetchwood/internal/operate"
	"vetchwood/internal/tables"
)

// Undone is how a rollback reached the proxies, as they saw it.
type RollbackResult struct {
	To               tables.Step `json:"to"`
	Version          tables.Step `json:"version"`
	Tables           int         `json:"tables"`
	MovedFraction    float64     `json:"moved"`
	LinesNotHonoured int         `json:"lines_not_honoured"`
	Proxies          int         `json:"proxies"`
	MostPolls        int         `json:"most_polls"` // answers that the slowest proxy took to hold it
	SlowestMs        float64     `json:"slowest_ms"`
}

func (s *stage) operators() operate.Client { return operate.Client{URL: "http://" + s.running.Admin} }

// rollback goes back to the tables of the day's start, and waits until every proxy holds them.
func (s *stage) rollback(ctx context.Context, say func(string)) error {
	var o control.OperationResult
	began := s.now()
	if err := s.operators().Post(ctx, "rollback", operate.Wish{To: s.start, Since: 1 << 60, Who: "rehearsal", Why: "the day's script", Force: true}, &o); err != nil {
		return err
	}
	u := RollbackResult{To: s.start, Version: o.Version, Tables: len(o.Tables), MovedFraction: o.MovedFraction, Proxies: len(s.proxies)}
	for _, t := range o.Tables {
		u.LinesNotHonoured += len(t.Faults)
	}
	say(fmt.Sprintf("an operator goes back to version %d: version %d, %d tables, %d lines not honoured", s.start, o.Version, u.Tables, u.LinesNotHonoured))
	for end := time.Now().Add(10 * time.Second); ; {
		there := 0
		for _, p := range s.proxies {
			if d := p.Document(); d != nil && d.Step >= o.Version {
				there++
			}
		}
		if there == len(s.proxies) {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("after 10 s %d of %d proxies hold version %d", there, len(s.proxies), o.Version)
		}
		if !s.sleep(ctx, 2*time.Millisecond) {
			return nil
		}
	}
	u.SlowestMs, u.MostPolls = s.book.Reached(o.Version, began)
	s.mu.Lock()
	s.rollbacks = append(s.rollbacks, u)
	s.mu.Unlock()
	say(fmt.Sprintf("all %d proxies hold it: the slowest after %.0f ms and %d polls", u.Proxies, u.SlowestMs, u.MostPolls))
	return nil
}
