package budget

import "time"

// MaxDrift is the maximum relative difference between the rates of two clocks.
const MaxDrift = 0.02

// AtLeast returns a duration that lasts at least d as measured by any other clock.
func AtLeast(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 + MaxDrift)) }

// AtMost returns a duration that lasts at most d as measured by any other clock.
func AtMost(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 - MaxDrift)) }
