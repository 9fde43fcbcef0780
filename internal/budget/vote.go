package budget

import "time"

// Vote is the last vote of a replica.
type Vote struct {
	Term   uint64
	Leader string
	Until  time.Duration // by the replica's own clock; it votes for no other leader before that
}

// GrantVote reports whether a replica that started at startedAt votes for candidate in requestedTerm, and returns the replica's vote
// after that. A vote outlasts the term that it is granted for by the clock drift, and a replica grants none for the same time after
// its start, so that the terms of two leaders never overlap.
func GrantVote(v Vote, startedAt, now time.Duration, termLength time.Duration, requestedTerm uint64, candidate string) (Vote, bool) {
	switch {
	case now-startedAt < AtLeast(termLength):
		return v, false // it may have voted before it restarted
	case requestedTerm < v.Term, requestedTerm == v.Term && v.Leader != candidate:
		return v, false
	case v.Leader != candidate && now < v.Until:
		return v, false
	}
	return Vote{requestedTerm, candidate, now + AtLeast(termLength)}, true
}
