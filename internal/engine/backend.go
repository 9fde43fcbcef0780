package engine

import (
	"time"

	"damsontrestle/internal/discovery"
)

// Backend runs attempts over a protocol.
type Backend interface {
	// Run runs an attempt and returns its outcome. When it returns, the connection is closed or reusable for another
	// attempt, and nothing more of this one can reach the server. Each call has its own goroutine.
	Run(*Attempt) Outcome
	// Servers receives an update of the endpoint list, before any attempt that results from it. It must not block.
	Servers(targets []discovery.Target, full bool)
	// Poll asks a server for its load, for at most timeout. ok is false if the server did not report one.
	Poll(to discovery.Host, timeout time.Duration) (busy float64, ok bool)
	// CloseIdle closes the idle connections to a server. It must not block.
	CloseIdle(discovery.Host)
}
