package clock

import (
	"testing"
	"time"
	"unsafe"
)

// stepWall returns at with its wall clock reading stepped and its monotonic reading unchanged, as if the wall clock had been
// stepped the other way since.
func stepWall(t *testing.T, at time.Time, by time.Duration) time.Time {
	t.Helper()
	stepped := at
	// The first word holds the seconds from bit 30 on; its highest bit is set if there is a monotonic reading.
	*(*uint64)(unsafe.Pointer(&stepped)) += uint64(int64(by/time.Second) << 30)
	if got := stepped.Round(0).Sub(at.Round(0)); got != by {
		t.Fatalf("the wall clock reading was stepped by %v, want %v", got, by)
	}
	return stepped
}

// A step of the wall clock while a process runs does not affect its Clock, which advances by monotonic time only. A step before
// the start shifts all clock times by the same amount and leaves the durations between them unchanged.
func TestWallClockStepsAreIgnored(t *testing.T) {
	for _, by := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		startedAt := time.Now()
		c := NewAt(startedAt)
		stepped := Clock{start: stepWall(t, c.start, by), base: c.base}
		before, now, after := c.Now(), stepped.Now(), c.Now()
		if now < before || now > after {
			t.Errorf("wall clock stepped by %v while the process runs: clock time %v, want between %v and %v", -by, now, before, after)
		}
		if left := stepped.Until(before + time.Hour); left > time.Hour || left < time.Hour-time.Minute {
			t.Errorf("wall clock stepped by %v while the process runs: Until returned %v for a time one hour ahead", -by, left)
		}
		shifted := NewAt(startedAt.Add(by))
		if got := shifted.Now() - c.Now(); got < by-time.Minute || got > by+time.Minute {
			t.Errorf("wall clock stepped by %v before the start: clock time shifted by %v", by, got)
		}
	}
}
