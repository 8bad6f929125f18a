// Package news keeps which proxies have joined and what the store holds of the slices in our charge, as the relay tells it, and
// turns what changed into notes. Each subscription begins with the present state; what was known and is not in it is gone. No
// I/O, no clock: times are handed in.
package news

import (
	"maps"
	"slices"

	"vetchwood/internal/platform/codec"
	"vetchwood/internal/platform/outbox"
	"vetchwood/logic"
)

// gatherFor is how long a slice that was just given waits for more of its lines: the module takes custody and lines together, and
// the network may deliver them in pieces. A line that comes later still tells the slice anew.
const gatherFor logic.Millis = 25

// presentQuiet is the pause in the present state after which it counts as told. What is told of it in pieces is a part of
// the fleet: orders reckoned for that part go to all proxies, and fill the channel past its limit.
const presentQuiet logic.Millis = 200

type table = map[logic.HostID]float64

type slice struct {
	lines    table // as the store has them, as far as we know
	told     bool  // the module has heard of it
	touched  bool  // orders for it ended since the present state began
	since    logic.Millis
	gathered table // lines told since it was given; nil: not being given
	fresh    bool  // given anew, whatever was known of it
	doubted  bool  // orders for it were dropped: it is told anew in any case
}

// Book is that of one director.
type Book struct {
	proxies map[logic.ProxyID]logic.ProxyJoined
	slices  map[logic.TableID]*slice

	present    bool         // the present state is being told
	toldAt     logic.Millis // when the last of it came; 0: nothing did yet
	continuous bool         // nothing can have been missed before it
	seen       map[logic.ProxyID]bool
	given      map[logic.TableID]bool
	gathering  map[logic.TableID]bool // slices that are being given: all others cost nothing when news come
	// Forgotten is told of each slice whose waiting orders are void.
	Forgotten func(logic.TableID)
}

func New() *Book {
	return &Book{proxies: map[logic.ProxyID]logic.ProxyJoined{}, slices: map[logic.TableID]*slice{}, gathering: map[logic.TableID]bool{},
		Forgotten: func(logic.TableID) {}}
}

// Figures are how many proxies have joined and slices are in our charge.
func (b *Book) Figures() (proxies, slices int) { return len(b.proxies), len(b.slices) }

// Begin says that a subscription was taken and that the present state follows. Continuous: the one before it carried all news up
// to now, so that nobody left and came back unseen.
func (b *Book) Begin(continuous bool) {
	b.present, b.continuous, b.toldAt = true, continuous, 0
	b.seen, b.given = map[logic.ProxyID]bool{}, map[logic.TableID]bool{}
	for _, s := range b.slices {
		s.touched, s.gathered = false, nil
	}
	clear(b.gathering)
}

// Take takes one piece of news and gives the notes that follow from it and from what was gathered before it.
func (b *Book) Take(now logic.Millis, in codec.News) (notes []any) {
	if b.present {
		b.toldAt = now
	}
	if held, is := in.Note.(logic.StoredLine); is {
		return b.held(now, held)
	}
	if custody, is := in.Note.(logic.SliceOwnership); is && custody.Owned {
		return b.give(now, custody.Slice)
	}
	if _, is := in.Note.(logic.ProxyJoined); !is {
		// Only these three tell the present state: anything else comes behind it.
		notes = append(b.Gathered(now, true), b.end()...)
	}
	switch n := in.Note.(type) {
	case logic.ProxyJoined:
		notes = append(notes, b.join(n)...)
	case logic.ProxyLeft:
		if _, known := b.proxies[n.Proxy]; known {
			delete(b.proxies, n.Proxy)
			notes = append(notes, n)
		}
	case logic.SliceOwnership:
		notes = append(notes, b.lose(n.Slice)...)
	case logic.Acknowledged:
		if _, known := b.proxies[n.Proxy]; known {
			notes = append(notes, n)
		}
	}
	return notes
}

// join tells of a proxy. One that was there before a gap may have left and come back in it, without the masks and levels that
// were written meanwhile, or may have been there all along: the module hears that it joined, and not that it left, since what
// was written to it may still wait in the channel. Within a whole run of news it is the same proxy still.
func (b *Book) join(n logic.ProxyJoined) (notes []any) {
	was, known := b.proxies[n.Proxy]
	b.proxies[n.Proxy] = n
	if first := b.present && !b.seen[n.Proxy]; first {
		b.seen[n.Proxy] = true
		if known && !n.Fresh && was.Zone == n.Zone {
			if b.continuous {
				return nil
			}
			return append(notes, n)
		}
	}
	if known {
		notes = append(notes, logic.ProxyLeft{Proxy: n.Proxy})
	}
	return append(notes, n)
}

func (b *Book) give(now logic.Millis, t logic.TableID) (notes []any) {
	s := b.slices[t]
	if s == nil {
		s = &slice{lines: table{}}
		b.slices[t] = s
	}
	if s.fresh = !b.present || !s.told || s.doubted; b.present {
		b.given[t] = true
	}
	s.since, s.gathered, b.gathering[t] = now, table{}, true
	return nil
}

func (b *Book) held(now logic.Millis, n logic.StoredLine) []any {
	s := b.slices[n.Slice]
	if s == nil {
		return nil // a line of what is not ours
	}
	if s.gathered == nil { // it comes late
		s.gathered, s.fresh = maps.Clone(s.lines), true
		if s.gathered == nil {
			s.gathered = table{}
		}
	}
	s.since, b.gathering[n.Slice] = now, true
	s.gathered[n.Host] = n.Weight
	return nil
}

func (b *Book) lose(t logic.TableID) (notes []any) {
	if s := b.slices[t]; s != nil {
		delete(b.slices, t)
		delete(b.gathering, t)
		b.Forgotten(t)
		if s.told {
			notes = append(notes, logic.SliceOwnership{Slice: t})
		}
	}
	return notes
}

// Telling says until when a part of the present state alone may be known; 0: it was told whole. Whatever else comes ends
// it, a sign of life at the latest.
func (b *Book) Telling(now logic.Millis) (until logic.Millis) {
	if !b.present || b.toldAt == 0 || now >= b.toldAt+presentQuiet {
		return 0
	}
	return b.toldAt + presentQuiet
}

// Gathering says until when lines of a given slice are waited for; 0: none is being given.
func (b *Book) Gathering() (until logic.Millis) {
	for t := range b.gathering {
		if s := b.slices[t]; until == 0 || s.since+gatherFor < until {
			until = s.since + gatherFor
		}
	}
	return until
}

// Gathered tells the slices that have been quiet for long enough, or all of them.
func (b *Book) Gathered(now logic.Millis, all bool) (notes []any) {
	for _, t := range slices.Sorted(maps.Keys(b.gathering)) {
		s := b.slices[t]
		if !all && now < s.since+gatherFor {
			continue
		}
		lines := s.gathered
		s.gathered = nil
		delete(b.gathering, t)
		// What stands as we know it is no news, and would cost the module all it has heard of the slice. Where our own orders
		// ended while the state was told, it may be older than they are.
		if !s.fresh && s.told && (s.touched || maps.Equal(lines, s.lines)) {
			continue
		}
		s.lines, s.told, s.doubted = lines, true, false
		b.Forgotten(t)
		notes = append(notes, b.Retell(t)...)
	}
	return notes
}

// Retell are the notes that tell the module of a slice as the store has it.
func (b *Book) Retell(t logic.TableID) (notes []any) {
	s := b.slices[t]
	if s == nil || !s.told {
		return nil
	}
	notes = append(notes, logic.SliceOwnership{Slice: t, Owned: true})
	for _, h := range slices.Sorted(maps.Keys(s.lines)) {
		notes = append(notes, logic.StoredLine{Slice: t, Host: h, Weight: s.lines[h]})
	}
	return notes
}

// end closes the present state: whoever was not in it has left, and slices that were not in it were taken.
func (b *Book) end() (notes []any) {
	if !b.present {
		return nil
	}
	b.present = false
	for _, p := range slices.Sorted(maps.Keys(b.proxies)) {
		if !b.seen[p] {
			delete(b.proxies, p)
			notes = append(notes, logic.ProxyLeft{Proxy: p})
		}
	}
	for _, t := range slices.Sorted(maps.Keys(b.slices)) {
		if !b.given[t] {
			notes = append(notes, b.lose(t)...)
		}
	}
	return notes
}

// Taken says which orders the relay has carried out.
func (b *Book) Taken(ops []outbox.Op) {
	for _, o := range ops {
		s := b.slices[o.Table]
		if s == nil {
			continue
		}
		s.touched = true
		switch {
		case o.Kind == outbox.Clear:
			s.lines = table{}
		case o.Kind == outbox.Line && o.Weight > 0:
			s.lines[o.Host] = o.Weight
		case o.Kind == outbox.Line:
			delete(s.lines, o.Host)
		}
	}
}

// Doubt says that orders for a slice were dropped, so that the module may take it for other than it is. While the present state
// is told it follows with that, else at once.
func (b *Book) Doubt(t logic.TableID) []any {
	s := b.slices[t]
	if s == nil {
		return nil
	}
	if b.present && (!b.given[t] || s.gathered != nil) {
		s.fresh, s.doubted = true, true
		return nil
	}
	return b.Retell(t)
}

// Rejoin are the notes that tell the module of all proxies as if they came anew: what it wrote to them may not have reached them.
func (b *Book) Rejoin() (notes []any) {
	for _, p := range slices.Sorted(maps.Keys(b.proxies)) {
		n := b.proxies[p]
		n.Fresh = false
		notes = append(notes, n)
	}
	return notes
}
