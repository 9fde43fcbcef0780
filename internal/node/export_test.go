package node

import (
	"time"

	"damsontrestle/internal/testpeer"
)

// Helpers for the tests in package node_test, which import packages that depend on package node.
var (
	RequestFastCGI    = requestFastCGI
	RequestManagement = requestManagement
	NewTestServer     = newTestServer
	ConfigWithPools   = configWithPools
	StaticPool        = staticPool
	DiscardLog        = discardLog
)

// WithShortShutdown makes a node close its listeners as soon as its shutdown begins.
func WithShortShutdown(options Options) Options {
	options.schedule = &shutdownSchedule{answerAll: 100 * time.Millisecond, finish: testpeer.Limit}
	return options
}
