package budget

import "time"

// FloorLoan is how long a floor is lent that its gateway does not need.
const FloorLoan = time.Second

// FloorLoanEnds says until when a quota leader may lend a floor whose gateway waived it in an answer to a message of the quota leader's of a
// time, and until when, by its own clock, the gateway draws nothing of it then. The quota leader's message came before the answer
// went out, so that the first is over before the second.
func FloorLoanEnds(asked, answered time.Duration) (leader, gateway time.Duration) {
	return asked + FloorLoan, answered + AtLeast(FloorLoan)
}
