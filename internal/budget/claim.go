package budget

// Claim is a partner's demand for tokens of a bucket, and its share so far.
type Claim struct {
	Waiting     int     // tokens that its gateways are waiting for
	FloorCredit float64 // tokens of its floor that it was entitled to and has not received
	BeyondFloor float64 // tokens received beyond its floor, divided by its weight
}

// NextPartner returns the index of the partner that gets the next token, or -1 if none is waiting. Partners with at least one token
// of floor credit come first, the greatest credit before the others; then the partner that has received least for its weight.
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

// hasPriority reports whether a gets the next token before b.
func hasPriority(a, b Claim) bool {
	switch owedA, owedB := a.FloorCredit >= 1, b.FloorCredit >= 1; {
	case owedA != owedB:
		return owedA
	case owedA:
		return a.FloorCredit > b.FloorCredit
	}
	return a.BeyondFloor < b.BeyondFloor
}
