package replication

import (
	"context"
	"log/slog"
	"time"

	"damsontrestle/internal/peering"
)

// Links are how a gateway reaches the others of its group.
type Links interface {
	// To is the newest link to a gateway of the group; nil: there is none.
	To(name string) *peering.Link
	// All are the links to all of them.
	All() []*peering.Link
}

// Options are what a Custodian is made of.
type Options struct {
	Self           Gateway
	Links          Links
	Group          func() []Gateway // all that live, this one among them, with the lives that links tell of
	Run            Run
	Step           func(record *Record, intents []Intent, timeLeft time.Duration) Step // what a successor would do with a request; must not block
	Heartbeat      time.Duration                                                       // between two heartbeats of a link, and
	Silence        time.Duration                                                       // how long one stands without an answer
	Replicas       int                                                                 // replicas of a request in a group that has as many
	Memory         int                                                                 // bytes held for others, about
	Retention      time.Duration                                                       // that an answer is kept after it was settled
	RecoveryWindow func() time.Duration                                                // that repeats of a key may come after its first request
	MaxIntentAge   time.Duration                                                       // an intent that is older when its first byte is to be written is asked for anew
	Now            func() time.Duration
	Log            *slog.Logger
}

// Run has a request carried out, by the engine of its pool: each attempt is allowed by w.Intend before its first byte. It
// returns when the request is answered, or when ctx ends; then its outcome's kind is 0. earlier are the attempts that others made.
type Run func(ctx context.Context, record *Record, priorIntents []Intent, w *Work) Outcome

// Times of a replicator. All of them are how soon something is tried, and none is needed for what the package promises.
const (
	quorumTimeout       = 2 * time.Second        // that replicas are waited for, where the request's time is not over before
	orphanCheckInterval = 20 * time.Millisecond  // for orphans, while requests are undecided
	idleCheckInterval   = 200 * time.Millisecond // and while none is
	claimRetryDelay     = 250 * time.Millisecond // after a claim that failed, at most
	findTimeout         = 400 * time.Millisecond // that a replica holds a question for an answer
	stragglerTimeout    = 50 * time.Millisecond  // that is waited for the others once a majority knows nothing of a key
)
