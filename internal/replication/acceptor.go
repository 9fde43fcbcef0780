package replication

import "slices"

// Verdict is a replica's word.
type Verdict uint8

// Verdicts.
const (
	Yes              Verdict = iota + 1
	Higher                   // a higher ballot was promised
	Duplicate                // another request has this key, or the request's outcome is decided
	OwnerAlive               // whoever has the request in hand is heard here
	Unknown                  // this replica has taken no such request
	Full                     // there is no room
	OtherIncarnation         // the replica is not of this incarnation: it may have forgotten what it had taken
)

var verdicts = [...]string{"", "yes", "higher", "known", "heard", "unknown", "full", "another life"}

func (verdict Verdict) String() string { return verdicts[min(int(verdict), len(verdicts)-1)] }

// MayRecord says whether a replica that has e of this key (nil: nothing) takes a record by its owner's ballot.
func MayRecord(entry *Entry, record *Record, ballot Ballot) Verdict {
	switch {
	case entry == nil:
		return Yes
	case record.Generation > entry.Record.Generation && entry.Outcome != nil && entry.Outcome.Kind == Rejected:
		return Yes // what was refused may be asked for anew
	case record.Generation != entry.Record.Generation || record.Owner != entry.Record.Owner || record.ID != entry.Record.ID:
		return Duplicate
	case ballot.Compare(entry.Promised) < 0:
		return Higher
	}
	return Yes
}

// ballotVerdict says whether a replica goes by a ballot now.
func ballotVerdict(entry *Entry, ballot Ballot) Verdict {
	switch {
	case ballot.Compare(entry.Promised) < 0:
		return Higher
	case ballot.Number == 1 && ballot != entry.Promised:
		return Duplicate // another owner's: a first ballot was promised by nobody who did not take its record
	}
	return Yes
}

// MayIntend says whether a replica takes an intent.
func MayIntend(entry *Entry, ballot Ballot) Verdict {
	switch {
	case entry == nil:
		return Unknown
	case entry.Decided:
		return Duplicate
	}
	return ballotVerdict(entry, ballot)
}

// MaySettle says whether a replica takes an outcome. One that is decided stays.
func MaySettle(entry *Entry, ballot Ballot) Verdict {
	switch {
	case entry == nil:
		return Unknown
	case entry.Decided && ballot != entry.AcceptedBy:
		return Duplicate
	}
	return ballotVerdict(entry, ballot)
}

// MayClaim says whether a replica promises a ballot. heard: whoever has the request in hand now has a link to this replica, and
// has not given the request out of hand.
func MayClaim(entry *Entry, ballot Ballot, heard bool) Verdict {
	switch {
	case entry == nil:
		return Yes // it surely has taken nothing of this request
	case entry.Decided:
		return Duplicate
	case ballot.Compare(entry.Promised) <= 0:
		return Higher
	case heard:
		return OwnerAlive
	}
	return Yes
}

// MayWithdraw says whether a replica releases a request whose owner, by its first ballot, says that nothing of it was begun. An intent
// that was taken comes before that word, for both go over one link.
func MayWithdraw(entry *Entry, ballot Ballot) bool {
	return entry != nil && ballot.Number == 1 && entry.Promised == ballot && len(entry.Intents) == 0 && entry.Outcome == nil && !entry.Recovered
}

// TakeIntent notes an intent that MayIntend allows. One that is asked for again takes its own place.
func (entry *Entry) TakeIntent(intent Intent) {
	entry.Promised = intent.Ballot
	i := slices.IndexFunc(entry.Intents, func(o Intent) bool { return o.Ballot == intent.Ballot && o.Attempt == intent.Attempt })
	if i < 0 {
		entry.Intents = append(entry.Intents, intent)
	} else {
		entry.Intents[i] = intent
	}
}

// TakeOutcome notes an outcome that MaySettle allows.
func (entry *Entry) TakeOutcome(outcome Outcome, ballot Ballot) {
	entry.Promised, entry.AcceptedBy, entry.Outcome = ballot, ballot, &outcome
}
