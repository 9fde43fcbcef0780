package replication

import (
	"cmp"
	"slices"
	"time"

	"damsontrestle/internal/balancer"
)

// Merge is what a successor goes by, from the entries that a majority sent with its promises: every intent that any of them has
// accepted, the outcome of the highest ballot, if there is one, and the record. Two majorities meet, so that nothing that one has
// accepted before is missing.
func Merge(entries []Entry) (record Record, intents []Intent, outcome *Outcome) {
	intents = mergeIntents(entries)
	lastIntentID := ""
	if len(intents) > 0 {
		lastIntentID = intents[len(intents)-1].ID
	}
	return mergeRecords(entries, lastIntentID), intents, highestOutcome(entries)
}

// mergeIntents are all intents of the entries by ballot and attempt. An attempt that one of them knows not to have run has not.
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

// highestOutcome is the outcome that was accepted by the highest ballot; nil: none was accepted.
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

// mergeRecords is the record that a successor goes on with. Where two gateways were given one key at once, replicas may hold two
// records: the one that the last intent was for is the request's.
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
			merged.TimeLeft = max(timeLeft, entry.Record.TimeLeft) // whoever heard of it soonest knows best
		}
	}
	return merged
}

// precedes says whether one record of a key goes before another: by its generation, else by the last intent, else by its id, so
// that all successors choose alike.
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

// Step is what a successor does with a request that it has claimed.
type Step uint8

// Steps.
const (
	Send         Step = iota + 1 // as its owner would have: no attempt may have run
	Resend                       // an attempt may have run, and the class's effect makes another one harmless
	QueryPartner                 // an attempt may run at a partner, which is asked for its outcome and begins nothing for that
	GiveUp                       // it has failed: an attempt may have run, or its time is over
)

var steps = [...]string{"", "send", "send again", "ask the partner", "fail"}

// String is the step in the words of the design page.
func (s Step) String() string { return steps[min(int(s), len(steps)-1)] }

// NextStep is what a successor does first, by the effect of the request's class, the intents that a majority knows of and the time
// left until its client's deadline. It sends a request again only where that is harmless: what is unsafe and may have run fails,
// or is asked for at the partner that may run it. partner says whether a pool is a partner's.
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

// SuspectAfter is how long the owner of a request may be silent, since the last heartbeat that it answered, until a replica takes
// it for lost although its link stands. A link ends after silence. A request whose time is over soon, and that a successor could
// still have served, doesn't wait for that: a third of its time goes to the suspicion, the rest is for the claim and the attempt,
// but two heartbeats and four round trips are waited for at least. A suspicion that was wrong costs the owner the request, and a
// safe request one more attempt, so what a successor could only fail waits for the link. Nothing that the package promises depends
// on it.
func SuspectAfter(heartbeat, rtt, silence, timeLeft time.Duration, servable bool) time.Duration {
	if !servable {
		return silence
	}
	return min(silence, max(2*heartbeat+4*rtt, timeLeft/3))
}

// Servable says that a successor could still have a request served.
func Servable(step Step) bool { return step == Send || step == Resend }

// ClaimDelay is how long a replica waits, from when it lost the owner of a request, until it claims the request: by its rank among
// the replicas, the owner left out, so that they don't claim against one another.
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

// ClaimRetryDelay is how long a replica waits after a claim that others rejected because they hear the owner: heartbeats come to
// each of them at another time, and a request whose time is short has none to lose.
func ClaimRetryDelay(timeLeft time.Duration) time.Duration {
	return min(claimRetryDelay, max(claimGrace, timeLeft/8))
}

// Times of a claim.
const (
	claimGrace     = 60 * time.Millisecond  // a link that broke may come back at once
	claimRankDelay = 150 * time.Millisecond // between replicas of neighbouring ranks
)
