package budget

// Claim is what a partner wants of a bucket, and what it has had.
type Claim struct {
	Waiting     int     // tokens that its gateways wait for
	FloorCredit float64 // of its floor: what it could have had and has not
	BeyondFloor float64 // beyond its floor, for its weight
}

// NextPartner is whose turn it is for the next token: first those whose floor is owed, the one that is owed most; then the one that
// has had least for its weight. -1: nobody wants any.
func NextPartner(claims []Claim) int {
	best := -1
	for i, c := range claims {
		switch {
		case c.Waiting <= 0:
		case best < 0, hasPriority(c, claims[best]):
			best = i
		}
	}
	return best
}

func hasPriority(a, b Claim) bool {
	switch owedA, owedB := a.FloorCredit >= 1, b.FloorCredit >= 1; {
	case owedA != owedB:
		return owedA
	case owedA:
		return a.FloorCredit > b.FloorCredit
	}
	return a.BeyondFloor < b.BeyondFloor
}
