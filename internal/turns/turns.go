// Package turns is what every loop that owns a module needs: its clock, its inbox, gathering, and waits between tries.
package turns

import (
	"context"
	"sync"
	"time"

	"vetchwood/logic"
)

// Clock is the module's time: Unix milliseconds at the start, and from then on by the steady clock.
type Clock struct {
	epoch  time.Time
	offset float64
}

func NewClock() Clock {
	now := time.Now()
	return Clock{now, float64(now.UnixMicro()) / 1000}
}

// Now is the module's time.
func (c Clock) Now() logic.Millis {
	return logic.Millis(c.offset + float64(time.Since(c.epoch).Nanoseconds())/1e6)
}

// Elapsed is how long the clock has run.
func (c Clock) Elapsed() time.Duration { return time.Since(c.epoch) }

// Until is how long it is till then, 0 if it is over.
func (c Clock) Until(then logic.Millis) time.Duration {
	return max(0, time.Duration(float64(then-c.Now())*float64(time.Millisecond)))
}

// Inbox gathers what any goroutine puts in for the one that empties it.
type Inbox struct {
	mu     sync.Mutex
	items  []any
	oldest time.Time // the oldest came
	wake   chan struct{}
}

func NewInbox() *Inbox { return &Inbox{wake: make(chan struct{}, 1)} }

// Post puts things in; those of one call are taken together.
func (b *Inbox) Post(in ...any) {
	b.mu.Lock()
	if len(b.items) == 0 {
		b.oldest = time.Now()
	}
	b.items = append(b.items, in...)
	b.mu.Unlock()
	b.signal()
}

func (b *Inbox) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Wake tells that something is there.
func (b *Inbox) Wake() <-chan struct{} { return b.wake }

// Take empties the inbox of at most so many, 0 for all, and says since when the oldest waited. More stays, as old as what goes,
// near enough, and wakes its owner again.
func (b *Inbox) Take(most int) (in []any, since time.Time, more bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	in, since, b.items = b.items, b.oldest, nil
	if more = most > 0 && len(in) > most; more {
		in, b.items = in[:most], append([]any(nil), in[most:]...)
		b.signal()
	}
	return in, since, more
}

// Queue says how many wait, and since when the oldest does.
func (b *Inbox) Queue() (length int, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.items), b.oldest
}

// Backoff is the wait before the next try: longer after each failure, up to ten units, and apart from what others wait; chance
// is in [0,1).
func Backoff(failures int, unit time.Duration, chance float64) time.Duration {
	return time.Duration(float64(min(failures, 10)) * (0.5 + chance) * float64(unit))
}

// Pause waits, no longer than the context lasts.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
