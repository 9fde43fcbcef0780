//go:build rig

package clock

import (
	"fmt"
	"os"
	"time"
)

// offsetEnv is the environment variable that holds the offset, in the format of time.ParseDuration.
const offsetEnv = "DAMSONTRESTLE_CLOCK_OFF"

// offset returns the duration that is added to clock time, read from the environment. Only builds for the fault bench read it.
func offset() time.Duration {
	text := os.Getenv(offsetEnv)
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", offsetEnv, err)
		os.Exit(1)
	}
	fmt.Fprintf(os.Stderr, "the clock is off by %v, as requested by a test\n", d)
	return d
}
