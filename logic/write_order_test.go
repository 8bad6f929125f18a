package logic

import "testing"

// The platform judges drains later than its settings say. Messages may carry as much more as leaves a part of that, too,
// to what could come between: 240 proxies pay 4,560 lines for the heads of each message.
func TestSlackOfDrainsLeavesRoomInMessages(t *testing.T) {
	f := Facts{Slices: 1, QueueLimit: 13000, HeadLines: 18, LinesPerSecond: 9600, DrainGrace: 2000, WorstTransit: 400}
	share := func(slack Millis) float64 {
		f.DrainSlack = slack
		p := New(1, f).publish
		for n := range 240 {
			p.streams.put(ProxyID(n), &stream{})
		}
		return p.ordinaryShare()
	}
	without, with := share(0), share(300)
	more := (with - without) * f.QueueLimit
	if most := 300 * f.LinesPerSecond / 1000; more <= 0 || more >= most {
		t.Errorf("%.0f lines more for 300 ms, which carry %.0f", more, most)
	}
}
