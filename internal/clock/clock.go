// Package clock provides the time on which decisions are based: monotonic time, counted from one reading of the wall clock.
//
// A Clock never jumps, whatever happens to the wall clock while the process runs. Wall time for people, files and other
// machines comes from package time; docs/design/clocks.md lists where it is read.
package clock

import (
	"context"
	"time"
)

// Clock provides clock time: the Unix time of the wall clock when the Clock was created, advanced by monotonic time. It keeps
// the error that the wall clock had then, so that its times cannot be compared with those of other machines. A Clock may be
// copied and is safe for concurrent use.
type Clock struct {
	start time.Time     // with a monotonic reading
	base  time.Duration // clock time at start
}

// New returns a Clock that starts at the wall clock's current time.
func New() Clock { return NewAt(time.Now()) }

// NewAt returns a Clock that starts at wall, as if that were the wall clock's current time.
func NewAt(wall time.Time) Clock {
	return Clock{start: time.Now(), base: time.Duration(wall.UnixNano()) + offset()}
}

// Now returns the clock time: the time since the start of 1970.
func (c Clock) Now() time.Duration { return c.base + time.Since(c.start) }

// Until returns the duration until the clock time at; it is negative if at has passed.
func (c Clock) Until(at time.Duration) time.Duration { return at - c.Now() }

// Sleep returns after d or when ctx is done, whichever happens first.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
