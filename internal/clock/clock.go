// Package clock tells the time that decisions go by.
package clock

import (
	"context"
	"time"
)

// Clock tells Unix time, moved by the monotonic clock: it compares with the start times that discovery
// gives, and never jumps.
type Clock struct {
	start time.Time
	base  time.Duration
}

// New returns a Clock that goes on from the system's time of now.
func New() Clock {
	now := time.Now()
	return Clock{start: now, base: time.Duration(now.UnixNano()) + offset()}
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
