package replication

import (
	"cmp"
	"slices"
	"time"

	"damsontrestle/internal/balancer"
)

// Merge combines the entries that a majority sent with its promises into the state from which a successor continues: the record,
// every intent that any of them has accepted, and the outcome with the highest ballot, if any. Because two majorities have a
// replica in common, it includes everything that a majority has accepted before.
func Merge(entries []Entry) (record Record, intents []Intent, outcome *Outcome) {
	intents = mergeIntents(entries)
	lastIntentID := ""
	if len(intents) > 0 {
		lastIntentID = intents[len(intents)-1].ID
	}
	return mergeRecords(entries, lastIntentID), intents, highestOutcome(entries)
}

// mergeIntents returns all intents of the entries, ordered by ballot and attempt. An attempt has not run if any entry records
// that.
func mergeIntents(entries []Entry) []Intent {
	var intents []Intent
	for _, entry := range entries {
		for _, intent := range entry.Intents {
			i := slices.IndexFunc(intents, intent.sameAttempt)
			if i < 0 {
				intents = append(intents, intent)
				continue
			}
			intents[i].NotRun = intents[i].NotRun || intent.NotRun
			intents[i].Age = max(intents[i].Age, intent.Age)
		}
	}
	slices.SortFunc(intents, func(a, b Intent) int {
		return cmp.Or(a.Ballot.Compare(b.Ballot), cmp.Compare(a.Attempt, b.Attempt))
	})
	return intents
}

// highestOutcome returns the outcome that was accepted with the highest ballot, or nil.
func highestOutcome(entries []Entry) *Outcome {
	var outcome *Outcome
	var acceptedBy Ballot
	for _, entry := range entries {
		if entry.Outcome == nil {
			continue
		}
		if outcome == nil || entry.AcceptedBy.Compare(acceptedBy) > 0 {
			outcome = entry.Outcome
			acceptedBy = entry.AcceptedBy
		}
	}
	return outcome
}

// mergeRecords returns the record that a successor continues with. If two gateways received the same key concurrently, replicas
// may hold two records; the one that the last intent refers to belongs to the request.
func mergeRecords(entries []Entry, lastIntentID string) Record {
	var merged Record
	for i, entry := range entries {
		if i == 0 {
			merged = entry.Record
			continue
		}
		timeLeft := merged.TimeLeft
		if precedes(&entry.Record, &merged, lastIntentID) {
			merged = entry.Record
		}
		if entry.Record.Generation == merged.Generation {
			merged.TimeLeft = max(timeLeft, entry.Record.TimeLeft) // each replica counts down from its own receipt of the record; use the largest
		}
	}
	return merged
}

// precedes reports whether a record of a key takes precedence over another: first by generation, then by the last intent, then by
// ID, so that all successors choose the same one.
func precedes(record, other *Record, lastIntentID string) bool {
	switch {
	case record.Generation != other.Generation:
		return record.Generation > other.Generation
	case other.ID == lastIntentID:
		return false
	case record.ID == lastIntentID:
		return true
	}
	return record.ID < other.ID
}

// Step is the action of a successor for a request that it has claimed.
type Step uint8

// Steps.
const (
	Send         Step = iota + 1 // send it as its owner would have: no attempt can have run
	Resend                       // send it again: an attempt may have run, and the effect of the class makes another one harmless
	QueryPartner                 // ask the partner that may be running an attempt for the outcome; this starts no attempt
	GiveUp                       // fail it: an attempt may have run, or the deadline has passed
)

var steps = [...]string{"", "send", "send again", "ask the partner", "fail"}

// String returns the step as the tables of the design page spell it.
func (s Step) String() string { return steps[min(int(s), len(steps)-1)] }

// NextStep returns the first step of a successor, given the effect of the class of the request, the intents that a majority
// knows, and the time left until the client's deadline. A request is sent again only where that is harmless: an unsafe one that
// may have run fails or, if it may have run at a partner, its outcome is queried there. partner reports whether a pool belongs to
// a partner.
func NextStep(effect balancer.Effect, intents []Intent, timeLeft time.Duration, partner func(pool string) bool) Step {
	mayHaveRun := slices.DeleteFunc(slices.Clone(intents), func(intent Intent) bool { return intent.NotRun })
	switch {
	case timeLeft <= 0:
		return GiveUp
	case len(mayHaveRun) == 0:
		return Send
	case effect != balancer.Unsafe:
		return Resend
	case partner(mayHaveRun[len(mayHaveRun)-1].Pool):
		return QueryPartner
	}
	return GiveUp
}

// SuspectAfter returns how long the owner of a request may be silent, since the last heartbeat that it answered, before a replica
// suspects it although its link is still up. A link ends after silence. A request whose deadline is near and that a successor
// could still serve cannot wait for that: a third of its time left is spent on the suspicion and the rest is for the claim and
// the attempt, but the replica waits for at least two heartbeats and four round trips. A false suspicion costs the owner the
// request and a safe request one more attempt; therefore a request that a successor could only fail waits for the end of the
// link. No guarantee of the package depends on this time.
func SuspectAfter(heartbeat, rtt, silence, timeLeft time.Duration, servable bool) time.Duration {
	if !servable {
		return silence
	}
	return min(silence, max(2*heartbeat+4*rtt, timeLeft/3))
}

// Servable reports whether a successor can still have the request served.
func Servable(step Step) bool { return step == Send || step == Resend }

// ClaimDelay returns how long a replica waits after losing the owner of a request before it claims the request. The delay depends
// on its rank among the replicas other than the owner, so that their claims do not compete.
func ClaimDelay(replicas []Gateway, owner, self string) time.Duration {
	rank := 0
	for _, replica := range replicas {
		if replica.Name == self {
			break
		}
		if replica.Name != owner {
			rank++
		}
	}
	return claimGrace + time.Duration(rank)*claimRankDelay
}

// ClaimRetryDelay returns how long a replica waits after its claim was rejected by replicas that still consider the owner alive.
// Heartbeats reach each replica at a different time, so a retry can succeed soon, and a request with little time left cannot
// afford a long wait.
func ClaimRetryDelay(timeLeft time.Duration) time.Duration {
	return min(claimRetryDelay, max(claimGrace, timeLeft/8))
}

// Delays of a claim.
const (
	claimGrace     = 60 * time.Millisecond  // for a broken link to reconnect
	claimRankDelay = 150 * time.Millisecond // between replicas of adjacent ranks
)
