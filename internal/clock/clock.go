// Package clock tells the time that decisions go by.
package clock

import (
	"context"
	"time"
)

// Clock tells the Unix time that the wall clock showed when it was made, moved on by the monotonic clock: it never jumps,
// and is off by as much as the wall clock was. Times of other machines' clocks do not compare with it.
type Clock struct {
	start time.Time
	base  time.Duration
}

// New returns a Clock that goes on from the system's time of now.
func New() Clock { return From(time.Now()) }

// From returns a Clock that goes on from another time as if that were the system's.
func From(wall time.Time) Clock {
	return Clock{start: time.Now(), base: time.Duration(wall.UnixNano()) + offset()}
}

// Now is the time since the beginning of 1970.
func (c Clock) Now() time.Duration { return c.base + time.Since(c.start) }

// Until is how long it is to a time of this clock.
func (c Clock) Until(at time.Duration) time.Duration { return at - c.Now() }

// Sleep waits for a while or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
