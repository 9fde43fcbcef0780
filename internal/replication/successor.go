package replication

import (
	"cmp"
	"slices"
	"time"

	"damsontrestle/internal/balancer"
)

// Merge is what a successor has to go by, from the entries of a majority: every intent that any of them has taken, the outcome of
// the highest ballot, if there is one, and the record. An attempt that one of them knows not to have run has not. Where two
// gateways were given one key at once, replicas may hold two records: the one that an intent was for is the request's.
func Merge(entries []Entry) (record Record, intents []Intent, outcome *Outcome) {
	var accepted Ballot
	for _, entry := range entries {
		for _, intent := range entry.Intents {
			i := slices.IndexFunc(intents, func(o Intent) bool { return o.Ballot == intent.Ballot && o.Attempt == intent.Attempt })
			if i < 0 {
				intents = append(intents, intent)
				continue
			}
			intents[i].NotRun = intents[i].NotRun || intent.NotRun
			intents[i].Age = max(intents[i].Age, intent.Age)
		}
		if entry.Outcome != nil && (outcome == nil || entry.AcceptedBy.Compare(accepted) > 0) {
			outcome, accepted = entry.Outcome, entry.AcceptedBy
		}
	}
	slices.SortFunc(intents, func(a, b Intent) int { return cmp.Or(a.Ballot.Compare(b.Ballot), cmp.Compare(a.Attempt, b.Attempt)) })
	lastIntended := ""
	if len(intents) > 0 {
		lastIntended = intents[len(intents)-1].ID
	}
	for i, entry := range entries {
		take := i == 0 || entry.Record.Generation > record.Generation || entry.Record.Generation == record.Generation && record.ID != lastIntended && (entry.Record.ID == lastIntended || entry.Record.ID < record.ID)
		left := record.TimeLeft
		if take {
			record = entry.Record
		}
		if i > 0 && entry.Record.Generation == record.Generation {
			record.TimeLeft = max(left, entry.Record.TimeLeft) // whoever heard of it soonest knows best
		}
	}
	return record, intents, outcome
}

// Step is what a successor does with a request.
type Step uint8

// Steps.
const (
	Send         Step = iota + 1 // as the owner would have
	Resend                       // it may have run: only where the class's effect makes that harmless
	QueryPartner                 // it may run at a partner, which is asked what became of it and begins nothing for that
	GiveUp
)

var steps = [...]string{"", "send", "send again", "ask the partner", "fail"}

func (step Step) String() string { return steps[min(int(step), len(steps)-1)] }

// Next is what whoever takes a request over does first. partner says whether a pool is a partner's.
func Next(effect balancer.Effect, intents []Intent, timeLeft time.Duration, partner func(pool string) bool) Step {
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

// Suspect is how long whoever has a request in hand may be silent, by the heartbeat that it answered last, until a replica takes it
// for lost although its link stands. A link ends after silence; a request whose time is over soon, and that a successor could still
// have served, is not made to wait for that, but for two heartbeats and the way there and back at least: a third of its time
// goes to the doubt, the rest is for the claim and the attempt. a suspicion that was wrong costs the owner the request, and a request
// that is safe an attempt, so what a successor could only fail waits for the link.
func SuspectAfter(heartbeat, rtt, silence, timeLeft time.Duration, servable bool) time.Duration {
	if !servable {
		return silence
	}
	return min(silence, max(2*heartbeat+4*rtt, timeLeft/3))
}

// Servable says that a successor could still have a request served.
func Servable(step Step) bool { return step == Send || step == Resend }

// ClaimDelay is how long a replica waits, from when it lost whoever has a request in hand, until it claims the request: those first
// that come first among the replicas, so that they do not claim against one another.
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

// ClaimRetryDelay is how long a replica waits after a claim that others refused, who heard what it did not: heartbeats come to each
// of them at another time, and a request whose time is short has none to lose.
func ClaimRetryDelay(timeLeft time.Duration) time.Duration {
	return min(claimRetryDelay, max(claimGrace, timeLeft/8))
}

// Times of a claim. A link that broke may come back at once.
const (
	claimGrace     = 60 * time.Millisecond
	claimRankDelay = 150 * time.Millisecond
)
