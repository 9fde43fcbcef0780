package replication

import "slices"

// The rules of a replica as an acceptor (Lamport 2001, phases 1b and 2b), with an Entry for its state. Two invariants hold at each
// replica, and with the majorities that Work and Replicator ask for they make up what the package promises:
//
//   - Promised only rises: nothing is accepted by a ballot below it.
//   - A first ballot, for which nobody asked a majority, is accepted only where the record came with that ballot.

// Verdict is a replica's reply to a record, an intent, an outcome or a claim.
type Verdict uint8

// Verdicts.
const (
	Accepted         Verdict = iota + 1 // accepted or, to a claim, promised
	HigherBallot                        // a higher ballot was promised
	Duplicate                           // another request has this key, or the request's outcome is decided
	OwnerAlive                          // the request's owner is heard here
	UnknownRequest                      // this replica has accepted no such record
	NoCapacity                          // there is no capacity
	OtherIncarnation                    // the replica is of another incarnation: it may have forgotten what it had accepted
)

var verdicts = [...]string{"", "yes", "higher", "duplicate", "owner alive", "unknown", "full", "other incarnation"}

// String is the verdict in the words of the design page.
func (v Verdict) String() string { return verdicts[min(int(v), len(verdicts)-1)] }

// MayRecord says whether a replica with this entry of the key (nil: none) accepts a record by its owner's ballot.
func MayRecord(entry *Entry, record *Record, ballot Ballot) Verdict {
	switch {
	case entry == nil:
		return Accepted
	case record.Generation > entry.Record.Generation && entry.Outcome != nil && entry.Outcome.Kind == Rejected:
		return Accepted // a key whose request was rejected may be used anew
	case record.Generation != entry.Record.Generation || record.Owner != entry.Record.Owner || record.ID != entry.Record.ID:
		return Duplicate
	case ballot.Compare(entry.Promised) < 0:
		return HigherBallot
	}
	return Accepted
}

// ballotVerdict says whether a replica accepts by a ballot now.
func ballotVerdict(entry *Entry, ballot Ballot) Verdict {
	switch {
	case ballot.Compare(entry.Promised) < 0:
		return HigherBallot
	case ballot.Number == 1 && ballot != entry.Promised:
		return Duplicate // another owner's: a first ballot is promised only by accepting its record
	}
	return Accepted
}

// MayIntend says whether a replica accepts an intent by a ballot.
func MayIntend(entry *Entry, ballot Ballot) Verdict {
	switch {
	case entry == nil:
		return UnknownRequest
	case entry.Decided:
		return Duplicate
	}
	return ballotVerdict(entry, ballot)
}

// MaySettle says whether a replica accepts an outcome by a ballot. One that is decided stays.
func MaySettle(entry *Entry, ballot Ballot) Verdict {
	switch {
	case entry == nil:
		return UnknownRequest
	case entry.Decided && ballot != entry.AcceptedBy:
		return Duplicate
	}
	return ballotVerdict(entry, ballot)
}

// MayClaim says whether a replica promises a ballot. ownerHeard: the owner has a link to this replica, and has not given the
// request up.
func MayClaim(entry *Entry, ballot Ballot, ownerHeard bool) Verdict {
	switch {
	case entry == nil:
		return Accepted // it surely has accepted nothing of this request
	case entry.Decided:
		return Duplicate
	case ballot.Compare(entry.Promised) <= 0:
		return HigherBallot
	case ownerHeard:
		return OwnerAlive
	}
	return Accepted
}

// MayWithdraw says whether a replica drops a request whose owner, by its first ballot, says that no attempt of it was begun. An
// intent that was accepted comes before that notice, for both go over one link.
func MayWithdraw(entry *Entry, ballot Ballot) bool {
	if entry == nil || entry.Recovered {
		return false
	}
	if ballot.Number != 1 || entry.Promised != ballot {
		return false
	}
	return len(entry.Intents) == 0 && entry.Outcome == nil
}

// AcceptIntent accepts an intent that MayIntend allows. One that is sent again replaces itself.
func (e *Entry) AcceptIntent(intent Intent) {
	e.Promised = intent.Ballot
	i := slices.IndexFunc(e.Intents, intent.sameAttempt)
	if i < 0 {
		e.Intents = append(e.Intents, intent)
		return
	}
	e.Intents[i] = intent
}

// AcceptOutcome accepts an outcome that MaySettle allows.
func (e *Entry) AcceptOutcome(outcome Outcome, ballot Ballot) {
	e.Promised = ballot
	e.AcceptedBy = ballot
	e.Outcome = &outcome
}
