//go:build rig

package clock

import (
	"fmt"
	"os"
	"time"
)

// offset is by how much the clock is off, as DAMSONTRESTLE_CLOCK_OFF says. Only a build for the fault bench reads it.
func offset() time.Duration {
	text := os.Getenv("DAMSONTRESTLE_CLOCK_OFF")
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		fmt.Fprintf(os.Stderr, "DAMSONTRESTLE_CLOCK_OFF: %v\n", err)
		os.Exit(1)
	}
	fmt.Fprintf(os.Stderr, "the clock is off by %v, as a test has asked\n", d)
	return d
}
