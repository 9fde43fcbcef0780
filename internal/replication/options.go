package replication

import (
	"context"
	"log/slog"
	"time"

	"damsontrestle/internal/peering"
)

// Links are how a gateway reaches the others of its group.
type Links interface {
	// To returns the newest link to a gateway of the group; nil: there is none.
	To(name string) *peering.Link
	// All returns the newest link to each gateway of the group that has one.
	All() []*peering.Link
}

// Options are what a Replicator is made of.
type Options struct {
	Self  Gateway
	Links Links
	// Group returns all gateways of the group that are alive, this one among them, with the incarnations that links know.
	Group func() []Gateway
	Run   RunFunc
	// Step returns what a successor would do with a request. It must not block.
	NextStep func(record *Record, intents []Intent, timeLeft time.Duration) Step
	// Heartbeat is the time between two heartbeats of a link, and Silence how long a link stands without an answer to them.
	Heartbeat time.Duration
	Silence   time.Duration
	// Replicas is how many replicas a request has, in a group that has as many gateways.
	Replicas int
	// Memory is how many bytes are stored for others, about.
	Memory int
	// Retention is how long a response is kept after it was decided.
	Retention time.Duration
	// RecoveryWindow returns how long repeats of a key may come after its first request.
	RecoveryWindow func() time.Duration
	// MaxIntentAge is the age past which an intent is asked for again before the attempt's first byte is written.
	MaxIntentAge time.Duration
	// Now is a monotonic clock.
	Now func() time.Duration
	Log *slog.Logger
}

// RunFunc carries a request out, by the engine of its pool; w.Intend allows each attempt before its first byte. It returns when the
// request has a response, or when ctx ends: then the outcome's kind is 0. priorIntents are the attempts that earlier owners
// were allowed.
type RunFunc func(ctx context.Context, record *Record, priorIntents []Intent, w *Work) Outcome

// Times of a replicator. Each is how soon something is tried; nothing that the package promises depends on them.
const (
	quorumTimeout       = 2 * time.Second        // for the replies of replicas, unless the request's time is over before
	orphanCheckInterval = 20 * time.Millisecond  // between looks for orphans, while requests are undecided
	idleCheckInterval   = 200 * time.Millisecond // and while none is
	claimRetryDelay     = 250 * time.Millisecond // at most, after a claim that failed
	findTimeout         = 400 * time.Millisecond // that a replica holds a query for an outcome
	stragglerTimeout    = 50 * time.Millisecond  // for the other gateways, once a majority of replicas knows nothing of a key
)
