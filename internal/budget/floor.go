package budget

import "time"

// FloorLoan is how long a gateway lends the floor that it does not need.
const FloorLoan = time.Second

// FloorLoanEnds returns when the loan of a floor ends for the quota leader, which may lend it until then, and for the gateway that
// waived it, which draws nothing from it until then. asked is the time of the leader's message by the leader's clock; answered is
// the time of the gateway's answer by the gateway's clock. As the message was sent before the answer, the leader's loan ends first.
func FloorLoanEnds(asked, answered time.Duration) (leader, gateway time.Duration) {
	return asked + FloorLoan, answered + AtLeast(FloorLoan)
}
