//go:build !rig

package clock

import "time"

// offset returns the duration that is added to clock time, which is always 0 in this build.
func offset() time.Duration { return 0 }
