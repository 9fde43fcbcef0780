package engine

import (
	"time"

	"damsontrestle/internal/discovery"
)

// Backend carries attempts out, by a protocol of its own.
type Backend interface {
	// Run makes an attempt and returns its outcome. By then its connection is closed, or of use to another
	// attempt: nothing more of it can reach the server. It is called in a goroutine of the attempt's own.
	Run(*Attempt) Outcome
	// Servers tells of an update of the endpoint list, before any attempt that follows from it. It must not block.
	Servers(targets []discovery.Target, full bool)
	// Poll polls a server for how much it holds, and waits for that no longer than timeout. false: the server did not say.
	Poll(to discovery.Host, timeout time.Duration) (busy float64, ok bool)
	// CloseIdle closes the idle connections to a server. It must not block.
	CloseIdle(discovery.Host)
}
