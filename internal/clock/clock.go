// Package clock tells the time that decisions go by: monotonic time, counted from what the wall clock showed once.
//
// It promises that a Clock never jumps, whatever happens to the wall clock while the process runs. Wall time for people,
// files and other machines is left to package time, and where it is read is listed in docs/design/clocks.md.
package clock

import (
	"context"
	"time"
)

// Clock tells clock time: the Unix time that the wall clock showed when the Clock was made, moved on by monotonic time. It
// is off by as much as the wall clock was then, so that it does not compare with times of other machines' clocks. A Clock
// may be copied and used by any goroutine.
type Clock struct {
	start time.Time     // read with a monotonic part
	base  time.Duration // clock time at start
}

// New returns a Clock that goes on from the wall clock's time of now.
func New() Clock { return NewAt(time.Now()) }

// From returns a Clock that goes on from another time as if that were the wall clock's of now.
func NewAt(wall time.Time) Clock {
	return Clock{start: time.Now(), base: time.Duration(wall.UnixNano()) + offset()}
}

// Now returns clock time: the time since the beginning of 1970.
func (c Clock) Now() time.Duration { return c.base + time.Since(c.start) }

// Until returns how long it is until a clock time; negative: it has passed.
func (c Clock) Until(at time.Duration) time.Duration { return at - c.Now() }

// Sleep returns after d or once ctx ends, whichever is first.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
