package clock

import (
	"testing"
	"time"
	"unsafe"
)

// stepWall is a reading of the system's clocks with its wall part stepped, its monotonic part left: as it would be had the
// wall clock been stepped the other way since.
func stepWall(t *testing.T, at time.Time, by time.Duration) time.Time {
	t.Helper()
	stepped := at
	// The first word holds the seconds from bit 30 on, and tells by its highest bit that there is a monotonic part.
	*(*uint64)(unsafe.Pointer(&stepped)) += uint64(int64(by/time.Second) << 30)
	if got := stepped.Round(0).Sub(at.Round(0)); got != by {
		t.Fatalf("the wall part was stepped by %v, want %v", got, by)
	}
	return stepped
}

// A step of the wall clock while a process runs changes nothing: only monotonic time counts. A step before it started
// moves all clock times, and no span between them.
func TestWallClockStepsAreIgnored(t *testing.T) {
	for _, by := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		began := time.Now()
		c := NewAt(began)
		stepped := Clock{start: stepWall(t, c.start, by), base: c.base}
		before, now, after := c.Now(), stepped.Now(), c.Now()
		if now < before || now > after {
			t.Errorf("wall clock stepped by %v while it runs: %v, want between %v and %v", -by, now, before, after)
		}
		if left := stepped.Until(before + time.Hour); left > time.Hour || left < time.Hour-time.Minute {
			t.Errorf("wall clock stepped by %v while it runs: an hour is %v", -by, left)
		}
		moved := NewAt(began.Add(by))
		if got := moved.Now() - c.Now(); got < by-time.Minute || got > by+time.Minute {
			t.Errorf("wall clock stepped by %v before the start: the clock has moved by %v", by, got)
		}
	}
}
