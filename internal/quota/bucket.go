package quota

import (
	"slices"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/peering"
)

// setTerms has other terms hold from now on. What was filled by the old ones stays, as far as the new depth allows.
func (l *leader) setTerms(t budget.Terms, now time.Duration) {
	l.fill(now)
	l.terms = t
	l.tokens = min(l.tokens, t.Depth())
}

// rate is how fast the bucket fills now, in tokens a second: floors that nobody has waived are left to their owners.
func (l *leader) rate(now time.Duration) float64 {
	if l.terms.Fallback != budget.Floor {
		return l.terms.Rate
	}
	rate := l.terms.Rate
	for _, partner := range l.terms.Partners {
		rate -= max(0, l.unwaivedFloor(partner, now))
	}
	return max(0, rate)
}

// unwaivedFloor is the part of a partner's floor that its gateways may draw by themselves. No more waivers count than the
// partner has gateways by the terms.
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

// fill fills the bucket up to now, and the credit of floors.
func (l *leader) fill(now time.Duration) {
	if elapsed := (now - l.filledAt).Seconds(); elapsed > 0 {
		l.tokens = min(l.terms.Depth(), l.tokens+elapsed*l.rate(now))
		for _, partner := range l.terms.Partners {
			if claim := l.claims[partner.Name]; claim != nil && partner.Floor > 0 {
				claim.FloorCredit = min(max(1, partner.Floor), claim.FloorCredit+elapsed*partner.Floor)
			}
		}
	}
	l.filledAt = now
}

// putBack takes tokens that a gateway returns unused.
func (l *leader) putBack(tokens int) {
	l.tokens = min(l.terms.Depth(), l.tokens+float64(tokens))
}

// claim is what a partner has had and is owed, made if it is not there.
func (l *leader) claim(partner string) *budget.Claim {
	c := l.claims[partner]
	if c == nil {
		c = &budget.Claim{}
		l.claims[partner] = c
	}
	return c
}

// weight is a partner's, 1 where the terms have none.
func (l *leader) weight(partner string) float64 {
	for _, p := range l.terms.Partners {
		if p.Name == partner && p.Weight > 0 {
			return p.Weight
		}
	}
	return 1
}

// waive notes that a gateway's part of its partner's floor, in requests a second, may be lent until a time.
func (l *leader) waive(gateway peering.GatewayID, floor float64, until time.Duration) {
	l.waivers[gateway.String()] = &floorWaiver{gateway.Partner, floor, until}
}

// addToOrder has a gateway served after all others, unless it has its place.
func (l *leader) addToOrder(gateway peering.GatewayID) {
	if !slices.Contains(l.order, gateway) {
		l.order = append(l.order, gateway)
	}
}

// moveToEnd has the gateway at a place of the order served after all others.
func (l *leader) moveToEnd(place int) {
	gateway := l.order[place]
	l.order = append(slices.Delete(l.order, place, place+1), gateway)
}
