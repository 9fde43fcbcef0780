package replication

import (
	"context"
	"log/slog"
	"time"

	"damsontrestle/internal/peering"
)

// Links looks up the links to the other gateways of the group.
type Links interface {
	// To returns the newest link to a gateway of the group, or nil.
	To(name string) *peering.Link
	// All returns the newest link to each connected gateway of the group.
	All() []*peering.Link
}

// Options configures a Replicator.
type Options struct {
	Self  Gateway
	Links Links
	// Group returns the live gateways of the group, including this one, with the incarnations known from links.
	Group func() []Gateway
	Run   RunFunc
	// NextStep returns what a successor would do with a request. It must not block.
	NextStep func(record *Record, intents []Intent, timeLeft time.Duration) Step
	// Heartbeat is the interval between heartbeats of a link. Silence is how long a link stays up without a reply to them.
	Heartbeat time.Duration
	Silence   time.Duration
	// Replicas is the number of replicas of a request in a group of at least that many gateways.
	Replicas int
	// Memory limits the approximate number of bytes stored as a replica.
	Memory int
	// Retention is how long a response is kept after its decision.
	Retention time.Duration
	// RecoveryWindow returns how long after the first request of a key a repeated one may arrive.
	RecoveryWindow func() time.Duration
	// MaxIntentAge is the age beyond which an intent is requested again before the first byte of the attempt is written.
	MaxIntentAge time.Duration
	// Now reads a monotonic clock.
	Now func() time.Duration
	Log *slog.Logger
}

// RunFunc executes a request on the engine of its pool; work.Intend permits each attempt before its first byte. It returns when
// the request has a response, or when ctx ends, with Kind 0. priorIntents are the attempts that earlier owners were permitted.
type RunFunc func(ctx context.Context, record *Record, priorIntents []Intent, work *Work) Outcome

// Timeouts and intervals of a replicator. The guarantees of the package depend on none of them.
const (
	quorumTimeout       = 2 * time.Second        // for the replies of replicas, unless the request's deadline is earlier
	orphanCheckInterval = 20 * time.Millisecond  // between checks for orphans while requests are undecided
	idleCheckInterval   = 200 * time.Millisecond // between checks for orphans otherwise
	claimRetryDelay     = 250 * time.Millisecond // maximum delay after a failed claim
	findTimeout         = 400 * time.Millisecond // maximum time that a replica delays its reply to a query until the outcome is decided
	stragglerTimeout    = 50 * time.Millisecond  // for the remaining gateways once a majority of replicas hold nothing for a key
)
