package replication

import "slices"

// This file holds the rules of a replica as an acceptor (Lamport 2001, phases 1b and 2b). An Entry is the acceptor's state. Two
// invariants hold at each replica; together with the majorities that Work and Replicator require they imply the guarantees of the
// package:
//
//   - Promised only increases: a replica accepts nothing with a ballot below it.
//   - A first ballot, which had no prepare phase, is accepted only by replicas that accepted the record with that ballot.

// Verdict is a replica's reply to a record, an intent, an outcome or a claim.
type Verdict uint8

// Verdicts.
const (
	Accepted         Verdict = iota + 1 // accepted; for a claim: promised
	HigherBallot                        // the replica has promised a higher ballot
	Duplicate                           // another request has the key, or the outcome of the request is decided
	OwnerAlive                          // the replica considers the owner of the request alive
	UnknownRequest                      // the replica has accepted no such record
	NoCapacity                          // the replica has no capacity
	OtherIncarnation                    // the replica has restarted and may have forgotten what it had accepted
)

var verdicts = [...]string{"", "yes", "higher", "duplicate", "owner alive", "unknown", "full", "other incarnation"}

// String returns the verdict as the tables of the design page spell it.
func (v Verdict) String() string { return verdicts[min(int(v), len(verdicts)-1)] }

// MayRecord returns the verdict on a record that its owner sends with its first ballot. entry is what the replica holds for the
// key; nil: nothing.
func MayRecord(entry *Entry, record *Record, ballot Ballot) Verdict {
	switch {
	case entry == nil:
		return Accepted
	case record.Generation > entry.Record.Generation && entry.Outcome != nil && entry.Outcome.Kind == Rejected:
		return Accepted // a key can be reused after its request was rejected
	case record.Generation != entry.Record.Generation || record.Owner != entry.Record.Owner || record.ID != entry.Record.ID:
		return Duplicate
	case ballot.Compare(entry.Promised) < 0:
		return HigherBallot
	}
	return Accepted
}

// ballotVerdict returns the verdict on an intent or outcome by its ballot alone.
func ballotVerdict(entry *Entry, ballot Ballot) Verdict {
	switch {
	case ballot.Compare(entry.Promised) < 0:
		return HigherBallot
	case ballot.Number == 1 && ballot != entry.Promised:
		return Duplicate // another owner's ballot: a first ballot is promised only by accepting its record
	}
	return Accepted
}

// MayIntend returns the verdict on an intent with the given ballot.
func MayIntend(entry *Entry, ballot Ballot) Verdict {
	switch {
	case entry == nil:
		return UnknownRequest
	case entry.Decided:
		return Duplicate
	}
	return ballotVerdict(entry, ballot)
}

// MaySettle returns the verdict on an outcome with the given ballot. A decided outcome is never replaced.
func MaySettle(entry *Entry, ballot Ballot) Verdict {
	switch {
	case entry == nil:
		return UnknownRequest
	case entry.Decided && ballot != entry.AcceptedBy:
		return Duplicate
	}
	return ballotVerdict(entry, ballot)
}

// MayClaim returns the verdict on a claim: whether the replica promises the ballot. ownerHeard reports that the owner has a live
// link to this replica and has not relinquished the request.
func MayClaim(entry *Entry, ballot Ballot, ownerHeard bool) Verdict {
	switch {
	case entry == nil:
		return Accepted // the replica has accepted nothing for this request
	case entry.Decided:
		return Duplicate
	case ballot.Compare(entry.Promised) <= 0:
		return HigherBallot
	case ownerHeard:
		return OwnerAlive
	}
	return Accepted
}

// MayWithdraw reports whether a replica drops a request whose owner withdraws it by its first ballot, having begun no attempt. An
// accepted intent always arrives before the withdrawal, because both use the same link.
func MayWithdraw(entry *Entry, ballot Ballot) bool {
	if entry == nil || entry.Recovered {
		return false
	}
	if ballot.Number != 1 || entry.Promised != ballot {
		return false
	}
	return len(entry.Intents) == 0 && entry.Outcome == nil
}

// AcceptIntent stores an intent that MayIntend has accepted. A retransmitted intent replaces the earlier copy.
func (e *Entry) AcceptIntent(intent Intent) {
	e.Promised = intent.Ballot
	i := slices.IndexFunc(e.Intents, intent.sameAttempt)
	if i < 0 {
		e.Intents = append(e.Intents, intent)
		return
	}
	e.Intents[i] = intent
}

// AcceptOutcome stores an outcome that MaySettle has accepted.
func (e *Entry) AcceptOutcome(outcome Outcome, ballot Ballot) {
	e.Promised = ballot
	e.AcceptedBy = ballot
	e.Outcome = &outcome
}
