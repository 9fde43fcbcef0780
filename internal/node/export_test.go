package node

import (
	"time"

	"damsontrestle/internal/testpeer"
)

// For the tests outside of the package, which use packages that use it.
var (
	AskFastCGI = askFastCGI
	AskLine    = askLine
	Box        = newTestServer
	OwnConfig  = ownConfig
	Pooled     = pooled
	Quiet      = quiet
)

// Text is what a log has written.
type Text = text

// EndsSoon has a node close its listeners at once when it ends.
func EndsSoon(o Options) Options {
	o.ending = &shutdownSchedule{last: 100 * time.Millisecond, most: testpeer.Limit}
	return o
}
