package budget

import "time"

// MaxDrift is the share by which clocks may differ in rate.
const MaxDrift = 0.02

// AtLeast is a time that lasts at least d by any other clock.
func AtLeast(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 + MaxDrift)) }

// AtMost is a time that lasts at most d by any other clock.
func AtMost(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 - MaxDrift)) }
