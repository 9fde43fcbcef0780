package quota

import (
	"math"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/peering"
)

// leader is a candidate's part of a quota: its vote, its own term, and the token bucket that counts while it is the leader. It
// has no lock and no clock of its own; the Limiter that owns it locks it.
type leader struct {
	terms      budget.Terms
	self       string // partner/gateway
	candidates []string
	startedAt  time.Duration

	vote        budget.Vote
	highestTerm uint64        // that was heard of
	term        uint64        // the own one
	until       time.Duration // when the own term ends; 0: this candidate is not the leader

	tokens   float64       // in the bucket
	filledAt time.Duration // until when the bucket was filled
	claims   map[string]*budget.Claim
	waivers  map[string]*floorWaiver               // by partner/gateway
	pending  map[peering.GatewayID]*pendingRequest // that wait for tokens, the last of each gateway
	order    []peering.GatewayID                   // in which gateways are served: the last served last
	granted  int64                                 // tokens since the start
}

// floorWaiver is a gateway's part of its partner's floor that it has waived.
type floorWaiver struct {
	partner string
	floor   float64 // requests a second
	until   time.Duration
}

// pendingRequest is a gateway's request for tokens that has no reply yet.
type pendingRequest struct {
	wanted    int
	returning int // of those wanted, for clients that return at the time that they were advised
	granted   int // that go with the reply
	reply     func(tokens int, hint time.Duration)
}

// missing is how many tokens the request still waits for.
func (p *pendingRequest) missing() int { return max(0, p.wanted-p.granted) }

func newLeader(t budget.Terms, self string, candidates []string, now time.Duration) *leader {
	return &leader{
		terms:      t,
		self:       self,
		candidates: candidates,
		startedAt:  now,
		claims:     map[string]*budget.Claim{},
		waivers:    map[string]*floorWaiver{},
		pending:    map[peering.GatewayID]*pendingRequest{},
	}
}

// isLeader says whether this candidate is the leader now.
func (l *leader) isLeader(now time.Duration) bool { return l.until > 0 && now < l.until }

// nextTerm is a term higher than all that were heard of, to campaign for.
func (l *leader) nextTerm() uint64 {
	l.highestTerm = max(l.highestTerm, l.vote.Term) + 1
	return l.highestTerm
}

// begin starts a term. The bucket starts empty, as if the leader before had granted all of it.
func (l *leader) begin(now time.Duration, number uint64) {
	l.term = number
	l.tokens = 0
	l.filledAt = now
	l.claims = map[string]*budget.Claim{}
	l.waivers = map[string]*floorWaiver{}
}

// stepDown ends the own term and replies to all that wait with nothing.
func (l *leader) stepDown() {
	l.until = 0
	for from, p := range l.pending {
		delete(l.pending, from)
		p.reply(0, 0)
	}
}

// addPending takes a gateway's request. An earlier one of it gets what it has by now.
func (l *leader) addPending(from peering.GatewayID, p *pendingRequest) {
	if earlier := l.pending[from]; earlier != nil {
		earlier.reply(earlier.granted, 0)
	} else {
		l.addToOrder(from)
	}
	l.pending[from] = p
}

// expire replies to a request whose wait is over with what it has, unless it has had its reply.
func (l *leader) expire(from peering.GatewayID, p *pendingRequest, now time.Duration) {
	if l.pending[from] != p {
		return
	}
	l.distribute(now, false)
	if l.pending[from] != p {
		return
	}
	delete(l.pending, from)
	p.reply(p.granted, l.timeFor(len(l.pending)+1, now))
}

// minHintRate is the rate, in tokens a second, that a hint counts with at least.
const minHintRate = 1e-3

// timeFor is how long the bucket takes to fill by some tokens.
func (l *leader) timeFor(tokens int, now time.Duration) time.Duration {
	return time.Duration(float64(tokens) / max(l.rate(now), minHintRate) * float64(time.Second))
}

// turnsPerDistribution is about how many turns a full bucket is distributed in.
const turnsPerDistribution = 512

// distribute grants what the bucket holds, turn by turn (budget.NextPartner), and replies to those that have got all that they
// wanted. Each token leaves the bucket before it is granted. final: the others get their reply too, with what they have and when
// to come back.
func (l *leader) distribute(now time.Duration, final bool) {
	l.fill(now)
	claims := l.currentClaims()
	least := leastBeyondFloor(claims)
	perTurn := max(1, int(l.tokens)/turnsPerDistribution)
	for l.tokens >= 1 {
		i := budget.NextPartner(claims)
		if i < 0 {
			break
		}
		claim := &claims[i]
		partner := l.terms.Partners[i]
		n := l.grant(partner.Name, min(perTurn, claim.Waiting, int(l.tokens)))
		if n == 0 {
			claim.Waiting = 0
			continue
		}
		l.tokens -= float64(n)
		l.granted += int64(n)
		claim.Waiting -= n
		if claim.FloorCredit >= 1 {
			claim.FloorCredit -= float64(n)
		} else {
			claim.BeyondFloor = max(claim.BeyondFloor, least) + float64(n)/l.weight(partner.Name)
		}
	}
	waiting := l.storeClaims(claims)
	for from, p := range l.pending {
		missing := p.missing()
		if missing > 0 && !final {
			continue
		}
		hint := time.Duration(0)
		if missing > 0 {
			hint = l.timeFor(waiting+1, now)
		}
		delete(l.pending, from)
		p.reply(p.granted, hint)
	}
}

// currentClaims are the claims of all partners, in the order of the terms, with what their gateways wait for now.
func (l *leader) currentClaims() []budget.Claim {
	claims := make([]budget.Claim, len(l.terms.Partners))
	for i, partner := range l.terms.Partners {
		claim := l.claim(partner.Name)
		claim.Waiting = 0
		for from, p := range l.pending {
			if from.Partner == partner.Name {
				claim.Waiting += p.missing()
			}
		}
		claims[i] = *claim
	}
	return claims
}

// storeClaims keeps what partners have had and are owed after a distribution, and returns how many tokens are still waited for.
func (l *leader) storeClaims(claims []budget.Claim) (waiting int) {
	for i, partner := range l.terms.Partners {
		claim := l.claims[partner.Name]
		claim.FloorCredit = claims[i].FloorCredit
		claim.BeyondFloor = claims[i].BeyondFloor
		waiting += max(0, claims[i].Waiting)
	}
	return waiting
}

// leastBeyondFloor is what the partner that has had least beyond its floor, of those that want tokens, has had. Who wants again
// after a while counts as if it had had as little, and not less.
func leastBeyondFloor(claims []budget.Claim) float64 {
	least := math.Inf(1)
	for _, claim := range claims {
		if claim.Waiting > 0 {
			least = min(least, claim.BeyondFloor)
		}
	}
	if math.IsInf(least, 1) {
		return 0 // nobody wants any
	}
	return least
}

// grant adds up to n tokens to the request of the partner's gateway whose turn it is, and says how many: requests for returning
// clients go first.
func (l *leader) grant(partner string, n int) int {
	for _, returningOnly := range []bool{true, false} {
		for i, gateway := range l.order {
			p := l.pending[gateway]
			if gateway.Partner != partner || p == nil {
				continue
			}
			limit := p.wanted
			if returningOnly {
				limit = min(p.wanted, p.returning)
			}
			if p.granted >= limit {
				continue
			}
			n = min(n, limit-p.granted)
			p.granted += n
			l.moveToEnd(i)
			return n
		}
	}
	return 0
}
