//go:build rig

package clock

import (
	"fmt"
	"os"
	"time"
)

// offsetVariable is the environment variable that holds the offset, as a duration of package time.
const offsetEnv = "DAMSONTRESTLE_CLOCK_OFF"

// offset is added to clock time, as the environment says. Only a build for the fault bench has it.
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
	fmt.Fprintf(os.Stderr, "the clock is off by %v, as a test has asked\n", d)
	return d
}
