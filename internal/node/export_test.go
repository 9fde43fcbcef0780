package node

import (
	"time"

	"damsontrestle/internal/testpeer"
)

// For the tests outside of the package, which use packages that use it.
var (
	RequestFastCGI    = requestFastCGI
	RequestManagement = requestManagement
	NewTestServer     = newTestServer
	ConfigWithPools   = configWithPools
	StaticPool        = staticPool
	DiscardLog        = discardLog
)

// WithShortShutdown has a node close its listeners as soon as its shutdown begins.
func WithShortShutdown(o Options) Options {
	o.schedule = &shutdownSchedule{answerAll: 100 * time.Millisecond, finish: testpeer.Limit}
	return o
}
