package budget

import "time"

// Drift is the share by which clocks may differ in rate.
const Drift = 0.02

// Longer is a time that lasts at least d by any other clock.
func Longer(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 + Drift)) }

// Shorter is a time that lasts at most d by any other clock.
func Shorter(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 - Drift)) }
