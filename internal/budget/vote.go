package budget

import "time"

// Vote is what a candidate has promised.
type Vote struct {
	Term   uint64
	Leader string
	Until  time.Duration // by its own clock: before that it promises nobody else anything
}

// MayVote says whether a candidate that started at a time votes for another's term, number, and what its vote is then. A vote
// outlasts the term that it is given for by the drift of clocks, and after a start there is none for as long: so that terms of
// two leaders never overlap.
func MayVote(v Vote, began, now time.Duration, term time.Duration, number uint64, who string) (Vote, bool) {
	switch {
	case now-began < Longer(term):
		return v, false // it may have promised before it was started
	case number < v.Term, number == v.Term && v.Leader != who:
		return v, false
	case v.Leader != who && now < v.Until:
		return v, false
	}
	return Vote{number, who, now + Longer(term)}, true
}
