package fault

import (
	"net"
	"time"

	"vetchwood/internal/settings"
)

// Script holds the two addresses and the faults to inject between them.
type Script struct {
	Listen, To string
	Seed       uint64
	Rules      []Rule
}

// Read reads a script from text or, if that is nil, from the file at path. The error lists all errors in the script.
func Read(path string, text []byte) (*Script, error) {
	top, err := settings.Open(path, text)
	if err != nil {
		return nil, err
	}
	top.Name = "the file"
	s := &Script{}
	r := top.Block("fault", true)
	for attr, to := range map[string]*string{"listen": &s.Listen, "to": &s.To} {
		*to = r.String(attr, settings.Required)
		host, _, err := net.SplitHostPort(*to)
		if ip := net.ParseIP(host); *to != "" && (err != nil || ip == nil || !ip.IsLoopback()) {
			r.Fail(attr, "%q is not a loopback address with a port", *to)
		}
	}
	s.Seed = uint64(r.Int("seed", 1, 0, 1<<31))
	r.RejectUnknown()
	rules, names := top.Blocks("rule", 1, 0, 1000)
	for i, in := range rules {
		rule := Rule{Name: names[i], Kind: Kind(in.String("kind", settings.Required, string(Delay), string(Throttle), string(Drop),
			string(Garble), string(HalfClose), string(Cut))), Direction: Direction(in.String("way", string(Down), string(Up), string(Down))),
			StartAfter: in.Duration("from", 0, 0, 24*time.Hour), Duration: in.Duration("for", 0, 0, 24*time.Hour),
			Offset: int64(in.Int("after", 0, 0, 1<<40)), Bytes: int64(in.Int("bytes", 0, 0, 1<<40)),
			Connection: in.Int("connection", 0, 0, 1<<30)}
		switch rule.Kind {
		case Delay:
			rule.DelayBy = in.Duration("by", -1, time.Millisecond, time.Hour)
		case Throttle:
			rule.Rate = int64(in.Int("rate", 0, 1, 1<<40))
		}
		in.RejectUnknown()
		s.Rules = append(s.Rules, rule)
	}
	top.RejectUnknown()
	return s, top.Err()
}
