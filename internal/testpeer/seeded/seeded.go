// Package seeded has the tests that import it draw the same cases each time, so that a run's verdict is the commit's and not
// chance's: rapid (pgregory.net/rapid) draws by the clock unless it is told a seed. A seed on the command line, -rapid.seed,
// still goes before.
package seeded

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// seed is any number but 0, which means the clock.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("seeded: " + err.Error())
	}
}
