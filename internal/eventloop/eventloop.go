// Package eventloop provides what the event loop that owns a decision module needs: a clock, an inbox, and pauses with
// backoff between attempts.
package eventloop

import (
	"context"
	"sync"
	"time"

	"vetchwood/logic"
)

// Clock provides the time of the decision module in Unix milliseconds. It reads the system clock once at creation and
// advances with the monotonic clock, so steps of the system clock do not affect it.
type Clock struct {
	epoch  time.Time
	offset float64
}

// NewClock returns a clock that starts at the present Unix time.
func NewClock() Clock {
	now := time.Now()
	return Clock{now, float64(now.UnixMicro()) / 1000}
}

// Now returns the present time in Unix milliseconds.
func (c Clock) Now() logic.Millis {
	return logic.Millis(c.offset + float64(time.Since(c.epoch).Nanoseconds())/1e6)
}

// Elapsed returns how long the clock has run.
func (c Clock) Elapsed() time.Duration { return time.Since(c.epoch) }

// Until returns the time left until the deadline, or 0 if it has passed.
func (c Clock) Until(deadline logic.Millis) time.Duration {
	return max(0, time.Duration(float64(deadline-c.Now())*float64(time.Millisecond)))
}

// Inbox collects items from any goroutine for the one that takes them.
type Inbox struct {
	mu     sync.Mutex
	items  []any
	oldest time.Time // when the oldest item was posted
	wake   chan struct{}
}

// NewInbox returns an empty inbox.
func NewInbox() *Inbox { return &Inbox{wake: make(chan struct{}, 1)} }

// Post adds items. The items of one call stay adjacent and in order, and a Take without a limit returns them together.
func (b *Inbox) Post(in ...any) {
	b.mu.Lock()
	if len(b.items) == 0 {
		b.oldest = time.Now()
	}
	b.items = append(b.items, in...)
	b.mu.Unlock()
	b.signal()
}

// signal wakes the owner, unless it has been woken already.
func (b *Inbox) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Wake returns a channel that delivers a value when items are present.
func (b *Inbox) Wake() <-chan struct{} { return b.wake }

// Take removes up to limit items, or all if limit is 0, and returns them with the time when the oldest was posted. If
// items remain, more is true and the owner is woken again; the remaining items keep the time of the oldest, which is
// accurate enough.
func (b *Inbox) Take(limit int) (in []any, since time.Time, more bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	in, since, b.items = b.items, b.oldest, nil
	if more = limit > 0 && len(in) > limit; more {
		in, b.items = in[:limit], append([]any(nil), in[limit:]...)
		b.signal()
	}
	return in, since, more
}

// Queue returns the number of items and the time when the oldest was posted.
func (b *Inbox) Queue() (length int, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.items), b.oldest
}

// Backoff returns the delay before the next attempt. It grows by one unit per failure up to ten units, times a factor
// of 0.5 to 1.5 set by jitter, which is in [0,1), so that clients don't retry at the same time.
func Backoff(failures int, unit time.Duration, jitter float64) time.Duration {
	return time.Duration(float64(min(failures, 10)) * (0.5 + jitter) * float64(unit))
}

// Pause waits for d or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
