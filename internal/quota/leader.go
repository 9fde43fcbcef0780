package quota

import (
	"math"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/peering"
)

// leader is a candidate's election state (its vote and its own term) and the token bucket that it distributes from while it is
// the leader. It has no lock or clock of its own; its Limiter's mu guards it.
type leader struct {
	terms      budget.Terms
	self       string // partner/gateway
	candidates []string
	startedAt  time.Duration

	vote        budget.Vote
	highestTerm uint64        // highest term seen
	term        uint64        // this candidate's own term
	termEnd     time.Duration // expiry of the own term; 0 if not the leader

	tokens       float64       // tokens in the bucket
	filledAt     time.Duration // time of the last refill
	claims       map[string]*budget.Claim
	waivers      map[string]*floorWaiver               // by partner/gateway
	pending      map[peering.GatewayID]*pendingRequest // the latest waiting request of each gateway
	serviceOrder []peering.GatewayID                   // least recently served gateway first
	granted      int64                                 // tokens granted since the start
}

// floorWaiver is a gateway's waived share of its partner's floor.
type floorWaiver struct {
	partner string
	floor   float64 // requests per second
	until   time.Duration
}

// pendingRequest is a gateway's lease request that has not been replied to.
type pendingRequest struct {
	wanted  int
	retries int // of wanted, for clients that retry at the advised time
	granted int // tokens to be sent with the reply
	reply   func(tokens int, hint time.Duration)
}

// missing returns how many tokens the request still waits for.
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

// isLeader reports whether this candidate is the leader now.
func (l *leader) isLeader(now time.Duration) bool { return l.termEnd > 0 && now < l.termEnd }

// nextTerm returns a term number higher than any seen so far.
func (l *leader) nextTerm() uint64 {
	l.highestTerm = max(l.highestTerm, l.vote.Term) + 1
	return l.highestTerm
}

// startTerm starts a term with an empty bucket, as if the previous leader had granted all of its tokens.
func (l *leader) startTerm(now time.Duration, term uint64) {
	l.term = term
	l.tokens = 0
	l.filledAt = now
	l.claims = map[string]*budget.Claim{}
	l.waivers = map[string]*floorWaiver{}
}

// stepDown ends the own term and replies to all pending requests without tokens.
func (l *leader) stepDown() {
	l.termEnd = 0
	for from, request := range l.pending {
		delete(l.pending, from)
		request.reply(0, 0)
	}
}

// addPending queues a gateway's request. An earlier one of the same gateway is replied to with the tokens it has so far.
func (l *leader) addPending(from peering.GatewayID, request *pendingRequest) {
	if earlier := l.pending[from]; earlier != nil {
		earlier.reply(earlier.granted, 0)
	} else {
		l.addToOrder(from)
	}
	l.pending[from] = request
}

// expire replies to a request whose wait is over with the tokens it has, unless it has already been replied to.
func (l *leader) expire(from peering.GatewayID, request *pendingRequest, now time.Duration) {
	if l.pending[from] != request {
		return
	}
	l.distribute(now, false)
	if l.pending[from] != request {
		return
	}
	delete(l.pending, from)
	request.reply(request.granted, l.fillTime(len(l.pending)+1, now))
}

// minFillRate is the lowest fill rate, in tokens per second, that fillTime assumes.
const minFillRate = 1e-3

// fillTime returns how long the bucket takes to gain the given number of tokens.
func (l *leader) fillTime(tokens int, now time.Duration) time.Duration {
	return time.Duration(float64(tokens) / max(l.fillRate(now), minFillRate) * float64(time.Second))
}

// batchesPerDistribution is about how many batches the bucket's tokens are distributed in.
const batchesPerDistribution = 512

// distribute grants the bucket's tokens in batches, to the partner that budget.NextPartner selects for each, and replies to
// requests that have all wanted tokens. Each token leaves the bucket before its grant is sent. With replyAll, the other
// requests are replied to as well, with the tokens that they have and the time until the next one.
func (l *leader) distribute(now time.Duration, replyAll bool) {
	l.refill(now)
	claims := l.currentClaims()
	least := leastBeyondFloor(claims)
	batch := max(1, int(l.tokens)/batchesPerDistribution)
	for l.tokens >= 1 {
		i := budget.NextPartner(claims)
		if i < 0 {
			break
		}
		claim := &claims[i]
		partner := l.terms.Partners[i]
		n := l.grant(partner.Name, min(batch, claim.Waiting, int(l.tokens)))
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
	for from, request := range l.pending {
		missing := request.missing()
		if missing > 0 && !replyAll {
			continue
		}
		nextTokenIn := time.Duration(0)
		if missing > 0 {
			nextTokenIn = l.fillTime(waiting+1, now)
		}
		delete(l.pending, from)
		request.reply(request.granted, nextTokenIn)
	}
}

// currentClaims returns the claims of all partners in the order of the terms, with the tokens that their gateways wait for now.
func (l *leader) currentClaims() []budget.Claim {
	claims := make([]budget.Claim, len(l.terms.Partners))
	for i, partner := range l.terms.Partners {
		claim := l.claim(partner.Name)
		claim.Waiting = 0
		for from, request := range l.pending {
			if from.Partner == partner.Name {
				claim.Waiting += request.missing()
			}
		}
		claims[i] = *claim
	}
	return claims
}

// storeClaims saves the partners' claims after a distribution and returns how many tokens are still waited for.
func (l *leader) storeClaims(claims []budget.Claim) (waiting int) {
	for i, partner := range l.terms.Partners {
		claim := l.claims[partner.Name]
		claim.FloorCredit = claims[i].FloorCredit
		claim.BeyondFloor = claims[i].BeyondFloor
		waiting += max(0, claims[i].Waiting)
	}
	return waiting
}

// leastBeyondFloor returns the lowest BeyondFloor of the partners that want tokens. A partner that wants tokens again after a
// pause is raised to this value, so that it cannot make up for tokens it did not want.
func leastBeyondFloor(claims []budget.Claim) float64 {
	least := math.Inf(1)
	for _, claim := range claims {
		if claim.Waiting > 0 {
			least = min(least, claim.BeyondFloor)
		}
	}
	if math.IsInf(least, 1) {
		return 0 // no partner wants tokens
	}
	return least
}

// grant adds up to n tokens to one request of the partner, of the least recently served gateway first, and returns how many.
// Tokens for retries go first.
func (l *leader) grant(partner string, n int) int {
	for _, retriesOnly := range []bool{true, false} {
		for i, gateway := range l.serviceOrder {
			request := l.pending[gateway]
			if gateway.Partner != partner || request == nil {
				continue
			}
			limit := request.wanted
			if retriesOnly {
				limit = min(request.wanted, request.retries)
			}
			if request.granted >= limit {
				continue
			}
			n = min(n, limit-request.granted)
			request.granted += n
			l.moveToEnd(i)
			return n
		}
	}
	return 0
}
