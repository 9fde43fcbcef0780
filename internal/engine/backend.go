package engine

import (
	"time"

	"damsontrestle/internal/discovery"
)

// Backend carries attempts out.
type Backend interface {
	// Run makes an attempt and tells how it ended. By then its connection is closed, or of use to another
	// attempt: nothing more of it can reach the server.
	Run(*Attempt) Outcome
	// Servers tells of the list's news, before any attempt that follows from it. It must not block.
	Servers(targets []discovery.Target, full bool)
	// Ask asks a server how much it holds, and waits for that no longer than within. false: it has not said.
	Poll(to discovery.Host, within time.Duration) (busy float64, ok bool)
	// CloseIdle closes the idle connections to a server. It must not block.
	CloseIdle(discovery.Host)
}
