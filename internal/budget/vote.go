package budget

import "time"

// Vote is what a candidate has promised.
type Vote struct {
	Term   uint64
	Leader string
	Until  time.Duration // by its own clock: before that it promises nobody else anything
}

// GrantVote says whether a candidate that started at a time votes for another's term, number, and what its vote is then. A vote
// outlasts the term that it is given for by the drift of clocks, and after a start there is none for as long: so that terms of
// two leaders never overlap.
func GrantVote(v Vote, startedAt, now time.Duration, termLength time.Duration, requestedTerm uint64, candidate string) (Vote, bool) {
	switch {
	case now-startedAt < AtLeast(termLength):
		return v, false // it may have promised before it was started
	case requestedTerm < v.Term, requestedTerm == v.Term && v.Leader != candidate:
		return v, false
	case v.Leader != candidate && now < v.Until:
		return v, false
	}
	return Vote{requestedTerm, candidate, now + AtLeast(termLength)}, true
}
