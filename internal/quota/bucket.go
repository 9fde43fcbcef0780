package quota

import (
	"slices"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/peering"
)

// setTerms replaces the terms. Tokens already in the bucket stay, up to the new depth.
func (l *leader) setTerms(t budget.Terms, now time.Duration) {
	l.refill(now)
	l.terms = t
	l.tokens = min(l.tokens, t.Depth())
}

// fillRate returns the bucket's current fill rate in tokens per second. Under the floor fallback it leaves out floors that have
// not been waived, since their owners may draw them on their own.
func (l *leader) fillRate(now time.Duration) float64 {
	if l.terms.Fallback != budget.Floor {
		return l.terms.Rate
	}
	rate := l.terms.Rate
	for _, partner := range l.terms.Partners {
		rate -= max(0, l.unwaivedFloor(partner, now))
	}
	return max(0, rate)
}

// unwaivedFloor returns the part of a partner's floor that its gateways may draw on their own. At most as many waivers count as
// the partner has gateways in the terms.
func (l *leader) unwaivedFloor(partner budget.Partner, now time.Duration) float64 {
	left := partner.Floor
	waived := 0
	for _, w := range l.waivers {
		if w.partner == partner.Name && now < w.until && waived < partner.Gateways {
			left -= w.floor
			waived++
		}
	}
	return left
}

// refill adds the tokens accrued since the last refill to the bucket and to the partners' floor credits.
func (l *leader) refill(now time.Duration) {
	if elapsed := (now - l.filledAt).Seconds(); elapsed > 0 {
		l.tokens = min(l.terms.Depth(), l.tokens+elapsed*l.fillRate(now))
		for _, partner := range l.terms.Partners {
			if claim := l.claims[partner.Name]; claim != nil && partner.Floor > 0 {
				claim.FloorCredit = min(max(1, partner.Floor), claim.FloorCredit+elapsed*partner.Floor)
			}
		}
	}
	l.filledAt = now
}

// returnTokens puts unused tokens of a gateway back into the bucket.
func (l *leader) returnTokens(tokens int) {
	l.tokens = min(l.terms.Depth(), l.tokens+float64(tokens))
}

// claim returns the account of what a partner has received and is owed, creating it if needed.
func (l *leader) claim(partner string) *budget.Claim {
	c := l.claims[partner]
	if c == nil {
		c = &budget.Claim{}
		l.claims[partner] = c
	}
	return c
}

// weight returns a partner's weight, 1 if the terms set none.
func (l *leader) weight(partner string) float64 {
	for _, p := range l.terms.Partners {
		if p.Name == partner && p.Weight > 0 {
			return p.Weight
		}
	}
	return 1
}

// waive records that a gateway's share of its partner's floor, in requests per second, may be lent to others until the given
// time.
func (l *leader) waive(gateway peering.GatewayID, floor float64, until time.Duration) {
	l.waivers[gateway.String()] = &floorWaiver{gateway.Partner, floor, until}
}

// addToOrder appends a gateway to the service order unless it is already in it.
func (l *leader) addToOrder(gateway peering.GatewayID) {
	if !slices.Contains(l.serviceOrder, gateway) {
		l.serviceOrder = append(l.serviceOrder, gateway)
	}
}

// moveToEnd moves the gateway at an index of the service order to its end.
func (l *leader) moveToEnd(index int) {
	gateway := l.serviceOrder[index]
	l.serviceOrder = append(slices.Delete(l.serviceOrder, index, index+1), gateway)
}
